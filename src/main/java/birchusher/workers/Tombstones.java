package birchusher.workers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last message of each machine that is not followed any more. The order of a machine's messages is known only by comparison:
 * without this, a copy that came long after its machine was returned showed it as up, free and under our term, and got work.
 * Bounded; the longest departed are forgotten first, when copies of theirs are long over.
 */
final class Tombstones {
    private static final int MAX_KEPT = 20_000;

    private record Last(long session, long seq, boolean gone) {}

    private final Map<String, Last> machines = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Last> e) {
            return size() > MAX_KEPT;
        }
    };

    void leaves(Machine m) {
        Last old = machines.get(m.name);
        machines.put(m.name, new Last(m.session, m.seq, m.gone || old != null && old.gone));
    }

    /** The cloud confirmed the deletion. Names are never given again, so that is for good. */
    void gone(String machine) {
        Last old = machines.get(machine);
        machines.put(machine, new Last(old == null ? 0 : old.session, old == null ? 0 : old.seq, true));
    }

    /** Whether a report may begin a machine's following: it is not gone, and this is newer than all that was heard of it. */
    boolean admits(Report r) {
        Last l = machines.get(r.machine());
        return l == null || !l.gone && (r.session() > l.session || r.session() == l.session && r.seq() > l.seq);
    }
}
