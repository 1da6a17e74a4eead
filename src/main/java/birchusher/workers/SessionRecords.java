package birchusher.workers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When the newest session of each worker was first heard, and when its last report was answered. Kept for {@link SafetyChecks} alone, apart from
 * {@link WorkerLease}, so that a fault of one does not hide in the other. Bounded: the machines heard longest ago are dropped first.
 *
 * <p>Not thread-safe: used on the controller's thread. Times are ms of the steady clock.
 */
final class SessionRecords {
    private static final int MAX_MACHINES = 20_000;

    private static final class Entry {
        long session;
        long firstMessageAtMs;
        long lastMessageAtMs;
        /** The latest time at which an answered report can have been sent; below 0: none was answered. */
        long answeredAtMs = -1;
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_MACHINES;
        }
    };

    /** Notes a report or an answer to a direct command of a worker. */
    void onMessage(String machine, long session, long now) {
        Entry entry = entries.computeIfAbsent(machine, name -> new Entry());
        if (session > entry.session) {
            entry.session = session;
            entry.firstMessageAtMs = now;
        }
        entry.lastMessageAtMs = now;
    }

    /** Notes that a report was answered with a renewal; it was sent before the newest message arrived. */
    void onAnswered(String machine) {
        Entry entry = entries.get(machine);
        if (entry != null) {
            entry.answeredAtMs = entry.lastMessageAtMs;
        }
    }

    /** Whether the worker may still hold a lease of {@code leaseMs}, by what was heard from it here. */
    boolean mayHoldLease(String machine, long leaseMs, long now) {
        Entry entry = entries.get(machine);
        return entry != null && now - Math.max(entry.firstMessageAtMs, entry.answeredAtMs) <= leaseMs;
    }

    /** What is kept of a worker, as fields of a log line; times are ms since the event. */
    String logFields(String machine, long now) {
        Entry entry = entries.get(machine);
        return entry == null
                ? "record=none"
                : "record_session=" + entry.session + " first_message_ms=" + (now - entry.firstMessageAtMs)
                        + " answered_ms=" + (entry.answeredAtMs < 0 ? -1 : now - entry.answeredAtMs);
    }
}
