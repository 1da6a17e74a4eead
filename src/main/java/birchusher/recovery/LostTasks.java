package birchusher.recovery;

import birchusher.store.Claim;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Where tasks ran that their workers dropped, all at once, as a lease ended: a machine that lives still has their images, and what
 * ran there before fits there again. Remembered from the proof, or from the row's change, until the task has a place again, by every
 * controller that sees it: its driver plans it there first, see the order in {@code docs/recovery.md}, and the others leave it that
 * room. Only a hint, gone with the process.
 */
public final class LostTasks {
    private static final int MAX_TASKS = 20_000;
    /** What found no way back for so long is no longer there where it ran. */
    private static final long RETENTION_MS = 60_000;

    /**
     * For so long a task waits until its machine is told of as usable again: half a second until the worker shows the new term, and
     * as long again for its owner's picture and for the news of it.
     */
    private static final long MACHINE_WAIT_MS = 1_500;

    /** Before every session: a proven loss needs no other evidence. */
    private static final long BEFORE_ANY_SESSION = -1;

    /**
     * @param session the session of the machine that the task was placed for
     * @param at steady time at which the loss was seen
     * @param proven by the worker's report of a later session; else only the row tells that the task is gone
     * @param ours the job was ours to drive when the loss was proven
     */
    public record LostRun(String machine, long session, long seenAtMs, boolean proven, boolean scheduledHere) {}

    private final Map<String, TreeMap<Integer, LostRun>> lostRuns = new HashMap<>();
    private int taskCount;
    private int tasksToRestore;
    private final long reconnectTimeMs;
    /** What the others tell of theirs, by member. */
    private final int[] tasksToRestoreOfPeers;

    private final long[] peerReportAtMs;
    private long nextCleanupMs;

    /**
     * @param patienceMs for how long what was dropped is expected to find its place again by itself, see {@link Inventory}
     * @param members of the cluster, ourselves included
     */
    public LostTasks(long patienceMs, int members) {
        this.reconnectTimeMs = patienceMs;
        tasksToRestoreOfPeers = new int[members];
        peerReportAtMs = new long[members];
    }

    /** A worker's later session proves that it dropped a task of a job that we drive. */
    public void recordDropped(String job, int task, String machine, long now) {
        remember(job, task, new LostRun(machine, BEFORE_ANY_SESSION, now, true, true));
    }

    /**
     * The same of a job that another controller drives: it plans the task back there, and our plan has to leave it that room and no
     * other. Without this, plans of owners and of drivers gave the same rooms to different tasks.
     */
    public void recordDroppedForPeer(String job, int task, String machine, long now) {
        remember(job, task, new LostRun(machine, BEFORE_ANY_SESSION, now, true, false));
    }

    /** A claim has left its row and its task has still to run. Whether it was dropped, a later session of the machine tells. */
    public void recordReleased(Claim claim, long now) {
        LostRun known = lostRun(claim.job().spec.id(), claim.task());
        if (known == null || !known.machine.equals(claim.machine())) {
            remember(
                    claim.job().spec.id(),
                    claim.task(),
                    new LostRun(claim.machine(), claim.session(), now, false, false));
        }
    }

    private void remember(String job, int task, LostRun home) {
        if (taskCount < MAX_TASKS
                && lostRuns.computeIfAbsent(job, k -> new TreeMap<>()).put(task, home) == null) {
            taskCount++;
        }
    }

    /** Where a task ran that was lost lately, or null. */
    public LostRun lostRun(String job, int task) {
        TreeMap<Integer, LostRun> of = lostRuns.get(job);
        return of == null ? null : of.get(task);
    }

    /** Whether a loss is so young that its task may still find its place again by itself. */
    public boolean isRecent(LostRun home, long now) {
        return now - home.seenAtMs < reconnectTimeMs;
    }

    /** Whether a machine with this session is one that has dropped the task. */
    public boolean isLaterSession(String job, int task, long session) {
        LostRun home = lostRun(job, task);
        return home != null && session > home.session;
    }

    /** The task has a place again. */
    public void recordPlaced(Claim c) {
        TreeMap<Integer, LostRun> of = lostRuns.get(c.job().spec.id());
        if (of != null && of.remove(c.task()) != null) {
            taskCount--;
            if (of.isEmpty()) {
                lostRuns.remove(c.job().spec.id());
            }
        }
    }

    public boolean hasLostTasks(String job) {
        return lostRuns.containsKey(job);
    }

    /** The machine on which a task may be expected back although it is not in the picture yet, or null. */
    public String awaitedMachine(String job, int task, long now) {
        LostRun h = lostRun(job, task);
        return h == null || !h.proven || now - h.seenAtMs > MACHINE_WAIT_MS ? null : h.machine;
    }

    /** Task and machine, by task. */
    public Map<Integer, String> machinesByTask(String job) {
        TreeMap<Integer, String> l = new TreeMap<>();
        lostRuns.getOrDefault(job, new TreeMap<>()).forEach((task, home) -> l.put(task, home.machine));
        return l;
    }

    public void tick(long now) {
        if (now < nextCleanupMs) {
            return;
        }
        nextCleanupMs = now + 1_000;
        lostRuns.values().removeIf(of -> {
            of.values().removeIf(h -> now - h.seenAtMs > RETENTION_MS);
            return of.isEmpty();
        });
        taskCount = 0;
        tasksToRestore = 0;
        for (TreeMap<Integer, LostRun> of : lostRuns.values()) {
            taskCount += of.size();
            for (LostRun h : of.values()) {
                tasksToRestore += h.scheduledHere && isRecent(h, now) ? 1 : 0;
            }
        }
    }

    /** Our own tasks that were dropped lately and have no place yet. */
    public int tasksToRestore() {
        return tasksToRestore;
    }

    public void handlePeerReport(int member, int tasks, long now) {
        tasksToRestoreOfPeers[member] = tasks;
        peerReportAtMs[member] = now;
    }

    /**
     * The same of the whole cluster. Nothing is rented for as many tasks: the room that they left is theirs, or somebody's whom they
     * make room for, but only their drivers see it before their rows are written.
     */
    public int tasksToRestoreOfAll(long now) {
        int n = tasksToRestore;
        for (int i = 0; i < tasksToRestoreOfPeers.length; i++) {
            n += now - peerReportAtMs[i] < reconnectTimeMs ? tasksToRestoreOfPeers[i] : 0;
        }
        return n;
    }

    public int size() {
        return taskCount;
    }
}
