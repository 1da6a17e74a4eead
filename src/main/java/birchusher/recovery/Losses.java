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
public final class Losses {
    private static final int MAX_KEPT = 20_000;
    /** What found no way back for so long is no longer there where it ran. */
    private static final long KEPT_MS = 60_000;

    /**
     * For so long a task waits until its machine is told of as usable again: half a second until the worker shows the new term, and
     * as long again for its owner's picture and for the news of it.
     */
    private static final long AWAIT_MS = 1_500;

    /** Before every session: a proven loss needs no other evidence. */
    private static final long NO_SESSION = -1;

    /**
     * @param session the session of the machine that the task was placed for
     * @param at steady time at which the loss was seen
     * @param proven by the worker's report of a later session; else only the row tells that the task is gone
     * @param ours the job was ours to drive when the loss was proven
     */
    public record Home(String machine, long session, long at, boolean proven, boolean ours) {}

    private final Map<String, TreeMap<Integer, Home>> homes = new HashMap<>();
    private int kept;
    private int returning;
    private final long patienceMs;
    /** What the others tell of theirs, by member. */
    private final int[] elsewhere;

    private final long[] toldAt;
    private long nextForget;

    /**
     * @param patienceMs for how long what was dropped is expected to find its place again by itself, see {@link Inventory}
     * @param members of the cluster, ourselves included
     */
    public Losses(long patienceMs, int members) {
        this.patienceMs = patienceMs;
        elsewhere = new int[members];
        toldAt = new long[members];
    }

    /** A worker's later session proves that it dropped a task of a job that we drive. */
    public void dropped(String job, int task, String machine, long now) {
        put(job, task, new Home(machine, NO_SESSION, now, true, true));
    }

    /**
     * The same of a job that another controller drives: it plans the task back there, and our plan has to leave it that room and no
     * other. Without this, plans of owners and of drivers gave the same rooms to different tasks.
     */
    public void droppedForOther(String job, int task, String machine, long now) {
        put(job, task, new Home(machine, NO_SESSION, now, true, false));
    }

    /** A claim has left its row and its task has still to run. Whether it was dropped, a later session of the machine tells. */
    public void left(Claim claim, long now) {
        Home known = home(claim.job().spec.id(), claim.task());
        if (known == null || !known.machine.equals(claim.machine())) {
            put(claim.job().spec.id(), claim.task(), new Home(claim.machine(), claim.session(), now, false, false));
        }
    }

    private void put(String job, int task, Home home) {
        if (kept < MAX_KEPT && homes.computeIfAbsent(job, k -> new TreeMap<>()).put(task, home) == null) {
            kept++;
        }
    }

    /** Where a task ran that was lost lately, or null. */
    public Home home(String job, int task) {
        TreeMap<Integer, Home> of = homes.get(job);
        return of == null ? null : of.get(task);
    }

    /** Whether a loss is so young that its task may still find its place again by itself. */
    public boolean recent(Home home, long now) {
        return now - home.at < patienceMs;
    }

    /** Whether a machine with this session is one that has dropped the task. */
    public boolean followedBy(String job, int task, long session) {
        Home home = home(job, task);
        return home != null && session > home.session;
    }

    /** The task has a place again. */
    public void back(Claim c) {
        TreeMap<Integer, Home> of = homes.get(c.job().spec.id());
        if (of != null && of.remove(c.task()) != null) {
            kept--;
            if (of.isEmpty()) {
                homes.remove(c.job().spec.id());
            }
        }
    }

    public boolean any(String job) {
        return homes.containsKey(job);
    }

    /** The machine on which a task may be expected back although it is not in the picture yet, or null. */
    public String awaits(String job, int task, long now) {
        Home h = home(job, task);
        return h == null || !h.proven || now - h.at > AWAIT_MS ? null : h.machine;
    }

    /** Task and machine, by task. */
    public Map<Integer, String> of(String job) {
        TreeMap<Integer, String> l = new TreeMap<>();
        homes.getOrDefault(job, new TreeMap<>()).forEach((task, home) -> l.put(task, home.machine));
        return l;
    }

    public void tick(long now) {
        if (now < nextForget) {
            return;
        }
        nextForget = now + 1_000;
        homes.values().removeIf(of -> {
            of.values().removeIf(h -> now - h.at > KEPT_MS);
            return of.isEmpty();
        });
        kept = 0;
        returning = 0;
        for (TreeMap<Integer, Home> of : homes.values()) {
            kept += of.size();
            for (Home h : of.values()) {
                returning += h.ours && recent(h, now) ? 1 : 0;
            }
        }
    }

    /** Our own tasks that were dropped lately and have no place yet. */
    public int returning() {
        return returning;
    }

    public void told(int member, int tasks, long now) {
        elsewhere[member] = tasks;
        toldAt[member] = now;
    }

    /**
     * The same of the whole cluster. Nothing is rented for as many tasks: the room that they left is theirs, or somebody's whom they
     * make room for, but only their drivers see it before their rows are written.
     */
    public int returningOfAll(long now) {
        int n = returning;
        for (int i = 0; i < elsewhere.length; i++) {
            n += now - toldAt[i] < patienceMs ? elsewhere[i] : 0;
        }
        return n;
    }

    public int count() {
        return kept;
    }
}
