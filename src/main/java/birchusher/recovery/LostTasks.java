package birchusher.recovery;

import birchusher.store.Claim;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Remembers where tasks ran that were lost, so that they are restored there. A worker whose lease expires drops all
 * of its tasks at once; if its machine still exists, it has their images, and the tasks that ran there fit there
 * again.
 *
 * <p>A loss is remembered from its proof, or from the change of the stored claim, until the task is placed again, by
 * every controller that sees it: the task's job scheduler plans it for that machine first, and the other controllers
 * leave it that capacity. The order is described in {@code docs/recovery.md}. This is only a hint, which is lost when
 * the process ends.
 *
 * <p>Times are in ms of the steady clock. Not thread-safe.
 */
public final class LostTasks {
    private static final int MAX_TASKS = 20_000;
    /** A task that could not be restored for this long is no longer planned for the machine where it ran. */
    private static final long RETENTION_MS = 60_000;

    /**
     * How long a task waits until its machine is published as usable again: half a second until the worker shows the
     * new term, and as long again for its owner's status update and for the publication of it.
     */
    private static final long MACHINE_WAIT_MS = 1_500;

    private static final long CLEANUP_INTERVAL_MS = 1_000;

    /** Lower than every session: after a proven loss, any session of the machine is a later one. */
    private static final long BEFORE_ANY_SESSION = -1;

    /**
     * Where a lost task ran.
     *
     * @param session the worker session that the task was placed for
     * @param seenAtMs steady time at which the loss was seen
     * @param proven whether the report of a later worker session proves the loss; else only the stored claim was
     *     released
     * @param scheduledHere whether this controller was the job's scheduler when the loss was proven
     */
    public record LostRun(String machine, long session, long seenAtMs, boolean proven, boolean scheduledHere) {}

    private final Map<String, TreeMap<Integer, LostRun>> lostRuns = new HashMap<>();
    private int taskCount;
    private int tasksToRestore;
    private final long reconnectTimeMs;
    /** By member: the last reported number of its tasks to restore. */
    private final int[] tasksToRestoreOfPeers;

    private final long[] peerReportAtMs;
    private long nextCleanupMs;

    /**
     * Creates an empty memory of lost tasks.
     *
     * @param reconnectTimeMs for how long a dropped task is expected to be placed again on its machine, see
     *     {@link Inventory#reconnectTimeMs}
     * @param members number of members of the cluster, including this controller
     */
    public LostTasks(long reconnectTimeMs, int members) {
        this.reconnectTimeMs = reconnectTimeMs;
        tasksToRestoreOfPeers = new int[members];
        peerReportAtMs = new long[members];
    }

    /** Records that a worker's later session proves that it dropped a task of a job that this controller schedules. */
    public void recordDropped(String job, int task, String machine, long now) {
        remember(job, task, new LostRun(machine, BEFORE_ANY_SESSION, now, true, true));
    }

    /**
     * Records the same of a job that another controller schedules. That controller plans to restore the task on its
     * machine, and the plan made here has to leave it that capacity and no other. Without this, the plans of owners
     * and of job schedulers gave the same capacity to different tasks.
     */
    public void recordDroppedForPeer(String job, int task, String machine, long now) {
        remember(job, task, new LostRun(machine, BEFORE_ANY_SESSION, now, true, false));
    }

    /**
     * Records that a claim was released whose task has still to run. Whether its worker dropped the task becomes
     * known when the machine has a later session.
     */
    public void recordReleased(Claim claim, long now) {
        LostRun known = lostRun(claim.job().spec.id(), claim.task());
        if (known == null || !known.machine.equals(claim.machine())) {
            remember(
                    claim.job().spec.id(),
                    claim.task(),
                    new LostRun(claim.machine(), claim.session(), now, false, false));
        }
    }

    private void remember(String job, int task, LostRun run) {
        if (taskCount < MAX_TASKS
                && lostRuns.computeIfAbsent(job, key -> new TreeMap<>()).put(task, run) == null) {
            taskCount++;
        }
    }

    /** Returns where a task ran that was lost in the last minute, or null. */
    public LostRun lostRun(String job, int task) {
        TreeMap<Integer, LostRun> runsOfJob = lostRuns.get(job);
        return runsOfJob == null ? null : runsOfJob.get(task);
    }

    /** Whether a loss is so recent that its task may still be restored on its machine without further action. */
    public boolean isRecent(LostRun run, long now) {
        return now - run.seenAtMs < reconnectTimeMs;
    }

    /** Whether a worker session of the machine is later than the lost run, so that its worker has dropped the task. */
    public boolean isLaterSession(String job, int task, long session) {
        LostRun run = lostRun(job, task);
        return run != null && session > run.session;
    }

    /** Records that a task is placed again, and forgets its loss. */
    public void recordPlaced(Claim claim) {
        TreeMap<Integer, LostRun> runsOfJob = lostRuns.get(claim.job().spec.id());
        if (runsOfJob != null && runsOfJob.remove(claim.task()) != null) {
            taskCount--;
            if (runsOfJob.isEmpty()) {
                lostRuns.remove(claim.job().spec.id());
            }
        }
    }

    /** Whether any lost task of a job is remembered. */
    public boolean hasLostTasks(String job) {
        return lostRuns.containsKey(job);
    }

    /**
     * Returns the machine on which a task is expected to be restored although it is not published as usable yet, or
     * null.
     */
    public String awaitedMachine(String job, int task, long now) {
        LostRun run = lostRun(job, task);
        return run == null || !run.proven || now - run.seenAtMs > MACHINE_WAIT_MS ? null : run.machine;
    }

    /** Returns the machines of a job's lost tasks, by task index. */
    public Map<Integer, String> machinesByTask(String job) {
        TreeMap<Integer, String> machines = new TreeMap<>();
        lostRuns.getOrDefault(job, new TreeMap<>()).forEach((task, run) -> machines.put(task, run.machine));
        return machines;
    }

    /** Forgets old losses and updates the counts, at most once per {@link #CLEANUP_INTERVAL_MS}. */
    public void tick(long now) {
        if (now < nextCleanupMs) {
            return;
        }
        nextCleanupMs = now + CLEANUP_INTERVAL_MS;
        lostRuns.values().removeIf(runsOfJob -> {
            runsOfJob.values().removeIf(run -> now - run.seenAtMs > RETENTION_MS);
            return runsOfJob.isEmpty();
        });
        taskCount = 0;
        tasksToRestore = 0;
        for (TreeMap<Integer, LostRun> runsOfJob : lostRuns.values()) {
            taskCount += runsOfJob.size();
            for (LostRun run : runsOfJob.values()) {
                tasksToRestore += run.scheduledHere && isRecent(run, now) ? 1 : 0;
            }
        }
    }

    /** Returns how many tasks that this controller schedules were dropped recently and are not placed yet. */
    public int tasksToRestore() {
        return tasksToRestore;
    }

    /** Records how many tasks a peer has to restore, as {@link #tasksToRestore} counts them. */
    public void handlePeerReport(int member, int tasks, long now) {
        tasksToRestoreOfPeers[member] = tasks;
        peerReportAtMs[member] = now;
    }

    /**
     * Returns how many tasks the whole cluster has to restore. Nothing is rented for that many tasks: the capacity
     * that they left is for them, or for tasks that preempt them, but before the claims are written only their job
     * schedulers account for it.
     */
    public int tasksToRestoreOfAll(long now) {
        int total = tasksToRestore;
        for (int i = 0; i < tasksToRestoreOfPeers.length; i++) {
            total += now - peerReportAtMs[i] < reconnectTimeMs ? tasksToRestoreOfPeers[i] : 0;
        }
        return total;
    }

    /** Returns the number of remembered lost tasks. */
    public int size() {
        return taskCount;
    }
}
