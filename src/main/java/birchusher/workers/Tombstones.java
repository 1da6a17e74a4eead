package birchusher.workers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last message of each machine that is no longer tracked. Whether a report is newer can be determined only by comparing it with the last message.
 * Without this, a duplicate that arrived long after its machine was returned showed the machine as up, free and under the present term, and
 * the machine got tasks. Bounded: the machines removed longest ago are dropped first, when duplicates of theirs no longer arrive.
 */
final class Tombstones {
    private static final int MAX_MACHINES = 20_000;

    private record LastMessage(long session, long seq, boolean deleted) {}

    private final Map<String, LastMessage> lastMessages = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LastMessage> eldest) {
            return size() > MAX_MACHINES;
        }
    };

    /** Keeps the last message of a machine that is no longer tracked. */
    void recordRemoval(Machine machine) {
        LastMessage old = lastMessages.get(machine.name);
        lastMessages.put(
                machine.name,
                new LastMessage(machine.session, machine.lastSeq, machine.deleted || old != null && old.deleted));
    }

    /** Notes that the cloud confirmed the deletion of a machine. Names are never reused, so no later report of it is admitted. */
    void recordDeletion(String machine) {
        LastMessage old = lastMessages.get(machine);
        lastMessages.put(machine, new LastMessage(old == null ? 0 : old.session, old == null ? 0 : old.seq, true));
    }

    /** Whether a report may start the tracking of its machine: the machine is not deleted, and the report is newer than its last message. */
    boolean admits(Report report) {
        LastMessage last = lastMessages.get(report.machine());
        return last == null
                || !last.deleted
                        && (report.session() > last.session
                                || report.session() == last.session && report.seq() > last.seq);
    }
}
