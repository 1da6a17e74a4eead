package birchusher.recovery;

import birchusher.store.Claim;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Where tasks ran that their workers dropped, all at once, as a lease ended: a machine that lives still has their images, and what
 * ran there before fits there again. Remembered from the proof until the task has a place again; whoever drives the job plans it
 * there first, see the order in {@code docs/recovery.md}. Only a hint, gone with the process.
 */
public final class Losses {
    private static final int MAX_KEPT = 20_000;
    /** What found no way back for so long is no longer there where it ran. */
    private static final long KEPT_MS = 60_000;

    private record Home(String machine, long at) { }

    private final Map<String, TreeMap<Integer, Home>> homes = new HashMap<>();
    private int kept;
    private long nextForget;

    public void dropped(String job, int task, String machine, long now) {
        if (kept < MAX_KEPT && homes.computeIfAbsent(job, k -> new TreeMap<>()).put(task, new Home(machine, now)) == null) {
            kept++;
        }
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
        kept = homes.values().stream().mapToInt(TreeMap::size).sum();
    }

    public int count() {
        return kept;
    }
}
