package birchusher.kv;

import java.util.List;

/** What happened, in the order in which it counts: all that has to be kept to know the state again. */
public sealed interface Entry {
    /** A transaction that was applied; its writes share one revision. */
    record Changed(List<Write> writes) implements Entry {
        public Changed {
            writes = List.copyOf(writes);
        }
    }

    /** A lease was granted, for a life in milliseconds. */
    record Granted(long lease, long lifeMs) implements Entry {}

    /** A lease that ended, by its time or by request; its keys go with it, at one revision if there are any. */
    record Ended(long lease) implements Entry {}
}
