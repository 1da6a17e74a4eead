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
    private final Map<String, Slot> usableSlots = new HashMap<>();

    private final Map<String, Obstacle> obstacles = new HashMap<>();
    private Planner.SchedulingState schedulingState;
    private long nowMs;

    RestorePlanner(LostTasks losses) {
        this.losses = losses;
    }

    void beginPlan(List<Slot> all, Planner.SchedulingState planMarks, long steadyNow) {
        schedulingState = planMarks;
        nowMs = steadyNow;
        usableSlots.clear();
        obstacles.clear();
        if (losses.size() == 0) {
            return;
        }
        for (Slot slot : all) {
            if (slot.available) {
                usableSlots.put(slot.machine, slot);
            }
        }
    }

    /**
     * Whether the machine that a task was dropped on is about to be there again. A worker whose first answer comes after its session's
     * end shows the term only with its next report; sent elsewhere after a fixed time, its tasks took rooms of tasks that were dropped
     * there, one of which then found only rooms that its zone rule forbids.
     */
    boolean awaitsMachine(String job, int task) {
        LostTasks.LostRun home = losses.lostRun(job, task);
        if (home == null || usableSlots.containsKey(home.machine())) {
            return false;
        }
        return losses.awaitedMachine(job, task, nowMs) != null
                || losses.isRecent(home, nowMs) && schedulingState.reconnecting(home.machine(), home.session());
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
    List<Planner.Placement> plan(
            Job job, IntPredicate held, Set<String> refused, Map<Integer, Integer> zones, IntPredicate overLimit) {
        JobSpec spec = job.spec;
        Map<Integer, String> homes = losses.machinesByTask(spec.id());
        if (spec.isGang() && (homes.size() < spec.tasks() || job.placedCount() > 0)) {
            return List.of();
        }
        Set<String> refusedBy = refused == null ? Set.of() : refused;
        List<Planner.Placement> choices = new ArrayList<>();
        List<Slot.Snapshot> before = new ArrayList<>();
        homes.forEach((task, machine) -> {
            if (task >= spec.tasks() || job.isDone(task) || job.isPlaced(task) || held != null && held.test(task)) {
                return;
            }
            Slot slot = usableSlots.get(machine);
            Obstacle obstacle = refusedBy.contains(machine) ? Obstacle.REFUSED : obstacle(spec, task, slot, zones);
            if (obstacle == null && overLimit.test(choices.size() + 1)) {
                obstacle = Obstacle.QUOTA;
            }
            if (obstacle != null) {
                obstacles.put(spec.id() + "/" + task, obstacle);
                return;
            }
            before.add(slot.snapshot());
            choices.add(new Planner.Placement(job, task, slot, slot.startDelayMs(spec)));
            slot.allocate(spec);
            zones.merge(slot.zone, 1, Integer::sum);
        });
        if (spec.isGang() && choices.size() < spec.tasks()) {
            for (int i = before.size() - 1; i >= 0; i--) {
                choices.get(i).slot().restore(before.get(i));
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
