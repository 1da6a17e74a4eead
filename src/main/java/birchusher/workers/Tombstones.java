package birchusher.workers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last message of each machine that is not followed any more. The order of a machine's messages is known only by comparison:
 * without this, a copy that came long after its machine was returned showed it as up, free and under our term, and got work.
 * Bounded; the longest departed are forgotten first, when copies of theirs are long over.
 */
final class Tombstones {
    private static final int MAX_MACHINES = 20_000;

    private record LastMessage(long session, long seq, boolean deleted) {}

    private final Map<String, LastMessage> lastMessages = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LastMessage> e) {
            return size() > MAX_MACHINES;
        }
    };

    void recordRemoval(Machine m) {
        LastMessage old = lastMessages.get(m.name);
        lastMessages.put(m.name, new LastMessage(m.session, m.lastSeq, m.deleted || old != null && old.deleted));
    }

    /** The cloud confirmed the deletion. Names are never given again, so that is for good. */
    void recordDeletion(String machine) {
        LastMessage old = lastMessages.get(machine);
        lastMessages.put(machine, new LastMessage(old == null ? 0 : old.session, old == null ? 0 : old.seq, true));
    }

    /** Whether a report may begin a machine's following: it is not gone, and this is newer than all that was heard of it. */
    boolean admits(Report r) {
        LastMessage l = lastMessages.get(r.machine());
        return l == null || !l.deleted && (r.session() > l.session || r.session() == l.session && r.seq() > l.seq);
    }
}
