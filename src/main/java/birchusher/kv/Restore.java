package birchusher.kv;

import birchusher.kv.State.Event;
import java.io.IOException;
import java.util.ArrayDeque;

/** Makes a state again from what was kept: the records of a whole one, then entries. */
public final class Restore {
    private State state = State.EMPTY;
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private long forgotten;

    /** From nothing. */
    public void begin() {
        state = State.EMPTY;
        history.clear();
        forgotten = 0;
    }

    /** One record of a whole state. */
    public void row(byte[] bytes) throws IOException {
        state = Codec.restored(state, bytes);
        forgotten = state.revision();
    }

    public void entry(byte[] bytes) throws IOException {
        state = state.apply(Codec.decode(bytes), history::add);
        forgotten = trim(history, forgotten);
    }

    public State state() {
        return state;
    }

    /** The latest changes, oldest first. */
    ArrayDeque<Event> history() {
        return history;
    }

    /** Watches must ask from this revision on. */
    long forgotten() {
        return forgotten;
    }

    /** Drops the oldest changes beyond what is kept; returns up to which revision nothing is remembered. */
    static long trim(ArrayDeque<Event> history, long forgotten) {
        long f = forgotten;
        while (history.size() > Limits.HISTORY) {
            f = history.removeFirst().stamp();
        }
        // A revision is remembered in whole or not at all: half of a transaction would be told as all of it.
        while (!history.isEmpty() && history.getFirst().stamp() <= f) {
            history.removeFirst();
        }
        return f;
    }
}
