package birchusher.kv;

import birchusher.kv.State.Event;
import java.io.IOException;
import java.util.ArrayDeque;

/** Rebuilds a state from storage: first the records of a snapshot, then the log entries after it. */
public final class StateRestorer {
    private State state = State.EMPTY;
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private long compactedRevision;

    /** Starts again from the empty state. */
    public void reset() {
        state = State.EMPTY;
        history.clear();
        compactedRevision = 0;
    }

    /** Applies the next record of a snapshot. */
    public void addSnapshotRecord(byte[] bytes) throws IOException {
        state = Codec.withRestoredRecord(state, bytes);
        compactedRevision = state.revision();
    }

    /** Applies the next log entry after the snapshot. */
    public void applyLogRecord(byte[] bytes) throws IOException {
        state = state.apply(Codec.decode(bytes), history::add);
        compactedRevision = trimHistory(history, compactedRevision);
    }

    /** The state rebuilt so far. */
    public State state() {
        return state;
    }

    /** The latest changes, oldest first. */
    ArrayDeque<Event> history() {
        return history;
    }

    /** Changes up to and including this revision are not in the history; a watch must start at it or after it. */
    long compactedRevision() {
        return compactedRevision;
    }

    /** Removes the oldest changes beyond {@link Limits#MAX_HISTORY_EVENTS}; returns the new compacted revision. */
    static long trimHistory(ArrayDeque<Event> history, long compactedRevision) {
        long compacted = compactedRevision;
        while (history.size() > Limits.MAX_HISTORY_EVENTS) {
            compacted = history.removeFirst().revision();
        }
        // All changes of a revision are kept, or none of them. Otherwise a watch would report part of a transaction as
        // the whole of it.
        while (!history.isEmpty() && history.getFirst().revision() <= compacted) {
            history.removeFirst();
        }
        return compacted;
    }
}
