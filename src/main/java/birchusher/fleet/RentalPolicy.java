package birchusher.fleet;

import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.settings.Settings;
import birchusher.store.Job;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;

/**
 * What may be rented for a job. Low work of a team without a guarantee takes idle room: nothing dear is rented for it before it has
 * waited, and where no objective speaks for its class nothing at all, except to let it begin. Without this, a third of the fleet was
 * rented at four times the price for work that its users only wanted on idle machines.
 */
final class RentalPolicy {
    /** How many tasks to rent for, and whether only spot machines will do. */
    record RentalLimit(int tasks, boolean spotOnly) {}

    private final Catalog catalog;
    private final IntOpenHashSet classesWithObjective = new IntOpenHashSet();
    private final long beginByMs;

    RentalPolicy(Catalog catalog, List<Settings.Objective> objectives, long beginByMs) {
        this.catalog = catalog;
        this.beginByMs = beginByMs;
        for (Settings.Objective o : objectives) {
            if (o.cls() != null) {
                classesWithObjective.add(catalog.classes.add(o.cls()));
            }
        }
    }

    /** @param tasks those of the job that found no room */
    RentalLimit limitFor(Job j, int tasks, long wall) {
        JobSpec s = j.spec;
        Settings.Team team = catalog.team(s.team());
        if (s.priority() != Priority.LOW || team.cpus() > 0 || team.gpus() > 0) {
            return new RentalLimit(tasks, false);
        }
        boolean waited = wall - j.acceptedAtMs > beginByMs;
        if (classesWithObjective.contains(s.jobClass())) {
            return new RentalLimit(tasks, s.allowsSpot() && !waited);
        }
        return new RentalLimit(!waited || j.hasStarted() ? 0 : s.isGang() ? tasks : Math.min(1, tasks), s.allowsSpot());
    }
}
