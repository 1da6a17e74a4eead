package birchusher.recovery;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The account of what this controller orders, by cause, and of orders that contradict each other: money or work spent on an order
 * that the next one takes back. Counts only; bounded by what is ordered within a boot time.
 */
public final class Orders {
    /** By the users' rules a start that is stopped sooner does not count. */
    private static final long STOPPED_SOON_MS = 30_000;

    private static final int MAX_KEPT = 20_000;

    private record Returned(int kind, long at) {}

    private final Map<String, Long> starts = new LinkedHashMap<>();
    private final ArrayDeque<Returned> returned = new ArrayDeque<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private long stoppedSoon;
    private long rentedAgain;

    /** @param again whether the task had been started before */
    public void start(String attempt, boolean again, long now) {
        for (Iterator<Long> oldest = starts.values().iterator(); oldest.hasNext(); ) {
            if (now - oldest.next() <= STOPPED_SOON_MS && starts.size() < MAX_KEPT) {
                break;
            }
            oldest.remove();
        }
        starts.put(attempt, now);
        count(again ? "restart" : "start", 1);
    }

    /** Notices and cancellations are nobody's contradiction. */
    public void stop(String attempt, String cause, long now) {
        Long at = starts.remove(attempt);
        if (at != null && now - at <= STOPPED_SOON_MS && !cause.equals("notice")) {
            stoppedSoon++;
        }
        // "makes room for JOB" and the like: the cause without the name.
        int name = cause.indexOf(" for ");
        count("stop " + (name < 0 ? cause : cause.substring(0, name)), 1);
    }

    public void giveBack(int kind, long now) {
        if (returned.size() >= MAX_KEPT) {
            returned.poll();
        }
        returned.add(new Returned(kind, now));
        count("return", 1);
    }

    /** Of the machines rented now, as many are contradictions as ones of their kind went within a boot time before. */
    public void rent(int kind, int n, long bootMs, long now) {
        returned.removeIf(r -> r.kind == kind && now - r.at > bootMs);
        int left = n;
        for (Iterator<Returned> i = returned.iterator(); i.hasNext() && left > 0; ) {
            if (i.next().kind == kind) {
                i.remove();
                left--;
                rentedAgain++;
            }
        }
        count("rent", n);
    }

    private void count(String cause, long n) {
        counts.merge(cause, n, Long::sum);
    }

    public long stoppedSoon() {
        return stoppedSoon;
    }

    public long rentedAgain() {
        return rentedAgain;
    }

    public long count(String cause) {
        return counts.getOrDefault(cause, 0L);
    }

    public String line() {
        return "orders=" + counts + " stopped_within_30s=" + stoppedSoon + " rented_again=" + rentedAgain;
    }
}
