package birchusher.recovery;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the actions of this controller by cause (starts, stops, rentals, returns), and the pairs of actions that
 * contradict each other: a start or rental whose cost is wasted because a later action undoes it.
 *
 * <p>These are counters only; nothing is decided by them. Memory is bounded by the actions within one boot time of a
 * machine. Times are in ms of the steady clock. Not thread-safe.
 */
public final class ActionCounters {
    /** By the cluster's objectives, a start that is stopped within this time does not count as a start. */
    private static final long STOPPED_SOON_MS = 30_000;

    private static final int MAX_ENTRIES = 20_000;

    private record ReturnedMachine(int kind, long returnedAtMs) {}

    private final Map<String, Long> startedAtMs = new LinkedHashMap<>();
    private final ArrayDeque<ReturnedMachine> returnedMachines = new ArrayDeque<>();
    private final Map<String, Long> countsByCause = new TreeMap<>();
    private long stoppedSoon;
    private long rentedAgain;

    /**
     * Records the start of a task attempt.
     *
     * @param again whether the task had been started before
     */
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

    /** Records the stop of a task attempt. Stops for interruption notices and cancellations contradict no start. */
    public void recordStop(String attempt, String cause, long now) {
        Long startMs = startedAtMs.remove(attempt);
        if (startMs != null && now - startMs <= STOPPED_SOON_MS && !cause.equals("notice")) {
            stoppedSoon++;
        }
        // Drops the job's name from causes such as "makes room for JOB".
        int suffix = cause.indexOf(" for ");
        count("stop " + (suffix < 0 ? cause : cause.substring(0, suffix)), 1);
    }

    /** Records that a machine of a kind is returned to the cloud. */
    public void recordReturn(int kind, long now) {
        if (returnedMachines.size() >= MAX_ENTRIES) {
            returnedMachines.poll();
        }
        returnedMachines.add(new ReturnedMachine(kind, now));
        count("return", 1);
    }

    /**
     * Records the rental of machines of one kind. As many of them are contradictions as machines of this kind were
     * returned within the boot time before.
     */
    public void recordRental(int kind, int machines, long bootMs, long now) {
        returnedMachines.removeIf(machine -> machine.kind == kind && now - machine.returnedAtMs > bootMs);
        int remaining = machines;
        for (Iterator<ReturnedMachine> i = returnedMachines.iterator(); i.hasNext() && remaining > 0; ) {
            if (i.next().kind == kind) {
                i.remove();
                remaining--;
                rentedAgain++;
            }
        }
        count("rent", machines);
    }

    private void count(String cause, long amount) {
        countsByCause.merge(cause, amount, Long::sum);
    }

    /** Returns how many starts were stopped within 30 s. */
    public long stoppedSoon() {
        return stoppedSoon;
    }

    /** Returns how many machines were rented within a boot time of the return of one of the same kind. */
    public long rentedAgain() {
        return rentedAgain;
    }

    /** Returns the number of actions with a cause: {@code start}, {@code stop CAUSE}, {@code rent} and so on. */
    public long count(String cause) {
        return countsByCause.getOrDefault(cause, 0L);
    }

    /** Returns the counters for the counters' log line. */
    public String logText() {
        return "orders=" + countsByCause + " stopped_within_30s=" + stoppedSoon + " rented_again=" + rentedAgain;
    }
}
