package birchusher.fleet;

import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.settings.Settings;
import birchusher.store.Job;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;

/**
 * Decides for how many tasks of a job machines may be rented, and whether only spot machines. Low-priority jobs of a
 * team without a guarantee use idle capacity. Until such a job has waited for {@code placement.begin-by-s}, only spot
 * machines are rented for it if it allows them, and nothing at all if no objective names its class. A job of a class
 * without an objective gets machines after that time only to let it start. Without this, a third of the fleet was
 * rented at four times the price for jobs that their users only wanted on idle machines.
 */
final class RentalPolicy {
    /** For how many tasks to rent machines, and whether only spot machines may be rented. */
    record RentalLimit(int tasks, boolean spotOnly) {}

    private final Catalog catalog;
    private final IntOpenHashSet classesWithObjective = new IntOpenHashSet();
    private final long startWithinMs;

    /** @param startWithinMs how long a low-priority job waits before its limits are relaxed */
    RentalPolicy(Catalog catalog, List<Settings.Objective> objectives, long startWithinMs) {
        this.catalog = catalog;
        this.startWithinMs = startWithinMs;
        for (Settings.Objective objective : objectives) {
            if (objective.jobClass() != null) {
                classesWithObjective.add(catalog.classes.add(objective.jobClass()));
            }
        }
    }

    /**
     * Returns what may be rented for a job.
     *
     * @param tasks the number of the job's tasks that found no capacity
     * @param wallMs the wall-clock time
     */
    RentalLimit limitFor(Job job, int tasks, long wallMs) {
        JobSpec spec = job.spec;
        Settings.Team team = catalog.team(spec.team());
        if (spec.priority() != Priority.LOW || team.cpus() > 0 || team.gpus() > 0) {
            return new RentalLimit(tasks, false);
        }
        boolean waited = wallMs - job.acceptedAtMs > startWithinMs;
        if (classesWithObjective.contains(spec.jobClass())) {
            return new RentalLimit(tasks, spec.allowsSpot() && !waited);
        }
        return new RentalLimit(
                !waited || job.hasStarted() ? 0 : spec.isGang() ? tasks : Math.min(1, tasks), spec.allowsSpot());
    }
}
