package birchusher.placement;

import birchusher.model.JobSpec;
import birchusher.recovery.LostTasks;
import birchusher.store.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Plans tasks that their workers dropped back onto the machines they ran on, as far as there is room and the rules allow it. One
 * plan calls {@link #begin} first, then {@link #plan} for each job in the plan's order.
 */
final class RestorePlanner {
    /** Why a dropped task can't go back to its machine. */
    enum Obstacle {
        NOT_USABLE,
        NO_ROOM,
        NOT_ALLOWED,
        REFUSED,
        ZONE_RULE,
        QUOTA,
        GANG_INCOMPLETE
    }

    private final LostTasks losses;
    /** Machines that can take tasks now, by name; only filled while something was dropped. */
    private final Map<String, Slot> usable = new HashMap<>();

    private final Map<String, Obstacle> obstacles = new HashMap<>();
    private Planner.Marks marks;
    private long now;

    RestorePlanner(LostTasks losses) {
        this.losses = losses;
    }

    void begin(List<Slot> all, Planner.Marks planMarks, long steadyNow) {
        marks = planMarks;
        now = steadyNow;
        usable.clear();
        obstacles.clear();
        if (losses.size() == 0) {
            return;
        }
        for (Slot slot : all) {
            if (slot.real) {
                usable.put(slot.machine, slot);
            }
        }
    }

    /**
     * Whether the machine that a task was dropped on is about to be there again. A worker whose first answer comes after its session's
     * end shows the term only with its next report; sent elsewhere after a fixed time, its tasks took rooms of tasks that were dropped
     * there, one of which then found only rooms that its zone rule forbids.
     */
    boolean awaited(String job, int task) {
        LostTasks.LostRun home = losses.lostRun(job, task);
        if (home == null || usable.containsKey(home.machine())) {
            return false;
        }
        return losses.awaitedMachine(job, task, now) != null
                || losses.isRecent(home, now) && marks.returning(home.machine(), home.session());
    }

    /** What kept a task of this plan from going back; null if it goes back, or was not dropped lately. */
    Obstacle obstacle(String job, int task) {
        return obstacles.get(job + "/" + task);
    }

    /**
     * The tasks of a job that go back, their room taken from their slots; of a gang, all or nothing.
     *
     * @param zones tasks of the job by zone; those that go back are added
     * @param overLimit whether so many more tasks would pass the team's limit
     */
    List<Planner.Choice> plan(
            Job job, IntPredicate held, Set<String> refused, Map<Integer, Integer> zones, IntPredicate overLimit) {
        JobSpec spec = job.spec;
        Map<Integer, String> homes = losses.machinesByTask(spec.id());
        if (spec.gang() && (homes.size() < spec.tasks() || job.placedCount() > 0)) {
            return List.of();
        }
        Set<String> refusedBy = refused == null ? Set.of() : refused;
        List<Planner.Choice> choices = new ArrayList<>();
        List<Slot.Mark> before = new ArrayList<>();
        homes.forEach((task, machine) -> {
            if (task >= spec.tasks() || job.isDone(task) || job.isPlaced(task) || held != null && held.test(task)) {
                return;
            }
            Slot slot = usable.get(machine);
            Obstacle obstacle = refusedBy.contains(machine) ? Obstacle.REFUSED : obstacle(spec, task, slot, zones);
            if (obstacle == null && overLimit.test(choices.size() + 1)) {
                obstacle = Obstacle.QUOTA;
            }
            if (obstacle != null) {
                obstacles.put(spec.id() + "/" + task, obstacle);
                return;
            }
            before.add(slot.mark());
            choices.add(new Planner.Choice(job, task, slot, slot.startDelay(spec)));
            slot.take(spec);
            zones.merge(slot.zone, 1, Integer::sum);
        });
        if (spec.gang() && choices.size() < spec.tasks()) {
            for (int i = before.size() - 1; i >= 0; i--) {
                choices.get(i).slot().reset(before.get(i));
                obstacles.put(spec.id() + "/" + choices.get(i).task(), Obstacle.GANG_INCOMPLETE);
            }
            return List.of();
        }
        return choices;
    }

    private Obstacle obstacle(JobSpec spec, int task, Slot slot, Map<Integer, Integer> zones) {
        if (slot == null || !losses.isLaterSession(spec.id(), task, slot.session)) {
            return Obstacle.NOT_USABLE;
        }
        if (!slot.fits(spec)) {
            return Obstacle.NO_ROOM;
        }
        if (!slot.allows(spec)) {
            return Obstacle.NOT_ALLOWED;
        }
        return spec.allowsZone(zones, slot.zone) ? null : Obstacle.ZONE_RULE;
    }
}
