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
 * Plans dropped tasks, which their workers ended as the worker leases expired, back onto the machines where they ran,
 * as far as capacity and rules allow. A plan calls {@link #beginPlan} first, then {@link #plan} for each job in its
 * order.
 */
final class RestorePlanner {
    /** Why a dropped task can't return to its machine. */
    enum Obstacle {
        NOT_USABLE,
        NO_ROOM,
        NOT_ALLOWED,
        REFUSED,
        ZONE_RULE,
        QUOTA,
        GANG_INCOMPLETE
    }

    private final LostTasks lostTasks;
    /** Slots with available capacity, by machine name; empty while no task is lost. */
    private final Map<String, Slot> usableSlots = new HashMap<>();

    private final Map<String, Obstacle> obstacles = new HashMap<>();
    private Planner.SchedulingState schedulingState;
    private long nowMs;

    RestorePlanner(LostTasks lostTasks) {
        this.lostTasks = lostTasks;
    }

    void beginPlan(List<Slot> slots, Planner.SchedulingState state, long steadyNowMs) {
        schedulingState = state;
        nowMs = steadyNowMs;
        usableSlots.clear();
        obstacles.clear();
        if (lostTasks.size() == 0) {
            return;
        }
        for (Slot slot : slots) {
            if (slot.available) {
                usableSlots.put(slot.machine, slot);
            }
        }
    }

    /**
     * Whether the machine on which a task was dropped is about to be usable again. A worker that receives its first
     * response after its session's end confirms the term only with its next report. When its tasks were placed
     * elsewhere after a fixed time, they took the capacity of tasks dropped there, one of which then fitted only where
     * its zone rule forbids it.
     */
    boolean awaitsMachine(String job, int task) {
        LostTasks.LostRun lostRun = lostTasks.lostRun(job, task);
        if (lostRun == null || usableSlots.containsKey(lostRun.machine())) {
            return false;
        }
        return lostTasks.awaitedMachine(job, task, nowMs) != null
                || lostTasks.isRecent(lostRun, nowMs)
                        && schedulingState.reconnecting(lostRun.machine(), lostRun.session());
    }

    /** What prevents a dropped task from returning in this plan; null if it returns, or was not dropped recently. */
    Obstacle obstacle(String job, int task) {
        return obstacles.get(job + "/" + task);
    }

    /**
     * Placements of the job's dropped tasks that return to their machines, allocated in their slots; of a gang all or
     * none.
     *
     * @param held tests which tasks are offered or being claimed already; may be null
     * @param refused machines that recently refused the job; may be null
     * @param tasksByZone the job's tasks in each zone; those that return are added
     * @param exceedsLimit whether this many more tasks would exceed the team's limit
     */
    List<Planner.Placement> plan(
            Job job,
            IntPredicate held,
            Set<String> refused,
            Map<Integer, Integer> tasksByZone,
            IntPredicate exceedsLimit) {
        JobSpec spec = job.spec;
        Map<Integer, String> machinesByTask = lostTasks.machinesByTask(spec.id());
        if (spec.isGang() && (machinesByTask.size() < spec.tasks() || job.placedCount() > 0)) {
            return List.of();
        }
        Set<String> refusedMachines = refused == null ? Set.of() : refused;
        List<Planner.Placement> placements = new ArrayList<>();
        List<Slot.Snapshot> snapshots = new ArrayList<>();
        machinesByTask.forEach((task, machine) -> {
            if (task >= spec.tasks() || job.isDone(task) || job.isPlaced(task) || held != null && held.test(task)) {
                return;
            }
            Slot slot = usableSlots.get(machine);
            Obstacle obstacle =
                    refusedMachines.contains(machine) ? Obstacle.REFUSED : obstacle(spec, task, slot, tasksByZone);
            if (obstacle == null && exceedsLimit.test(placements.size() + 1)) {
                obstacle = Obstacle.QUOTA;
            }
            if (obstacle != null) {
                obstacles.put(spec.id() + "/" + task, obstacle);
                return;
            }
            snapshots.add(slot.snapshot());
            placements.add(new Planner.Placement(job, task, slot, slot.startDelayMs(spec)));
            slot.allocate(spec);
            tasksByZone.merge(slot.zone, 1, Integer::sum);
        });
        if (spec.isGang() && placements.size() < spec.tasks()) {
            for (int i = snapshots.size() - 1; i >= 0; i--) {
                placements.get(i).slot().restore(snapshots.get(i));
                obstacles.put(spec.id() + "/" + placements.get(i).task(), Obstacle.GANG_INCOMPLETE);
            }
            return List.of();
        }
        return placements;
    }

    private Obstacle obstacle(JobSpec spec, int task, Slot slot, Map<Integer, Integer> tasksByZone) {
        if (slot == null || !lostTasks.isLaterSession(spec.id(), task, slot.session)) {
            return Obstacle.NOT_USABLE;
        }
        if (!slot.fits(spec)) {
            return Obstacle.NO_ROOM;
        }
        if (!slot.allows(spec)) {
            return Obstacle.NOT_ALLOWED;
        }
        return spec.allowsZone(tasksByZone, slot.zone) ? null : Obstacle.ZONE_RULE;
    }
}
