package birchusher.kv;

import birchusher.kv.State.Event;
import java.io.IOException;
import java.util.ArrayDeque;

/** Makes a state again from what was kept: the records of a whole one, then entries. */
public final class StateRestorer {
    private State state = State.EMPTY;
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private long compactedRevision;

    /** From nothing. */
    public void reset() {
        state = State.EMPTY;
        history.clear();
        compactedRevision = 0;
    }

    /** One record of a whole state. */
    public void addSnapshotRecord(byte[] bytes) throws IOException {
        state = Codec.withRestoredRecord(state, bytes);
        compactedRevision = state.revision();
    }

    public void applyLogRecord(byte[] bytes) throws IOException {
        state = state.apply(Codec.decode(bytes), history::add);
        compactedRevision = trimHistory(history, compactedRevision);
    }

    public State state() {
        return state;
    }

    /** The latest changes, oldest first. */
    ArrayDeque<Event> history() {
        return history;
    }

    /** Watches must ask from this revision on. */
    long compactedRevision() {
        return compactedRevision;
    }

    /** Drops the oldest changes beyond what is kept; returns up to which revision nothing is remembered. */
    static long trimHistory(ArrayDeque<Event> history, long forgotten) {
        long f = forgotten;
        while (history.size() > Limits.MAX_HISTORY_EVENTS) {
            f = history.removeFirst().revision();
        }
        // A revision is remembered in whole or not at all: half of a transaction would be told as all of it.
        while (!history.isEmpty() && history.getFirst().revision() <= f) {
            history.removeFirst();
        }
        return f;
    }
}
