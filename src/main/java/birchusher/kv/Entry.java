package birchusher.kv;

import java.util.List;

/** What happened, in the order in which it counts: all that has to be kept to know the state again. */
public sealed interface Entry {
    /** A transaction that was applied; its writes share one revision. */
    record RowsChanged(List<Write> writes) implements Entry {
        public RowsChanged {
            writes = List.copyOf(writes);
        }
    }

    /** A lease was granted, for a life in milliseconds. */
    record LeaseGranted(long leaseId, long ttlMs) implements Entry {}

    /** A lease that ended, by its time or by request; its keys go with it, at one revision if there are any. */
    record LeaseEnded(long leaseId) implements Entry {}
}
