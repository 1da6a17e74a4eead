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
public final class ActionCounters {
    /** By the users' rules a start that is stopped sooner does not count. */
    private static final long STOPPED_SOON_MS = 30_000;

    private static final int MAX_ENTRIES = 20_000;

    private record ReturnedMachine(int kind, long returnedAtMs) {}

    private final Map<String, Long> startedAtMs = new LinkedHashMap<>();
    private final ArrayDeque<ReturnedMachine> returnedMachines = new ArrayDeque<>();
    private final Map<String, Long> countsByCause = new TreeMap<>();
    private long stoppedSoon;
    private long rentedAgain;

    /** @param again whether the task had been started before */
    public void recordStart(String attempt, boolean again, long now) {
        for (Iterator<Long> oldest = startedAtMs.values().iterator(); oldest.hasNext(); ) {
            if (now - oldest.next() <= STOPPED_SOON_MS && startedAtMs.size() < MAX_ENTRIES) {
                break;
            }
            oldest.remove();
        }
        startedAtMs.put(attempt, now);
        count(again ? "restart" : "start", 1);
    }

    /** Notices and cancellations are nobody's contradiction. */
    public void recordStop(String attempt, String cause, long now) {
        Long at = startedAtMs.remove(attempt);
        if (at != null && now - at <= STOPPED_SOON_MS && !cause.equals("notice")) {
            stoppedSoon++;
        }
        // "makes room for JOB" and the like: the cause without the name.
        int name = cause.indexOf(" for ");
        count("stop " + (name < 0 ? cause : cause.substring(0, name)), 1);
    }

    public void recordReturn(int kind, long now) {
        if (returnedMachines.size() >= MAX_ENTRIES) {
            returnedMachines.poll();
        }
        returnedMachines.add(new ReturnedMachine(kind, now));
        count("return", 1);
    }

    /** Of the machines rented now, as many are contradictions as ones of their kind went within a boot time before. */
    public void recordRental(int kind, int n, long bootMs, long now) {
        returnedMachines.removeIf(r -> r.kind == kind && now - r.returnedAtMs > bootMs);
        int left = n;
        for (Iterator<ReturnedMachine> i = returnedMachines.iterator(); i.hasNext() && left > 0; ) {
            if (i.next().kind == kind) {
                i.remove();
                left--;
                rentedAgain++;
            }
        }
        count("rent", n);
    }

    private void count(String cause, long n) {
        countsByCause.merge(cause, n, Long::sum);
    }

    public long stoppedSoon() {
        return stoppedSoon;
    }

    public long rentedAgain() {
        return rentedAgain;
    }

    public long count(String cause) {
        return countsByCause.getOrDefault(cause, 0L);
    }

    public String logText() {
        return "orders=" + countsByCause + " stopped_within_30s=" + stoppedSoon + " rented_again=" + rentedAgain;
    }
}
