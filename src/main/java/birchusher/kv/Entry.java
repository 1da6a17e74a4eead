package birchusher.kv;

import java.util.List;

/** A change of the state, as written to the log. The state can be rebuilt from its entries in order. */
public sealed interface Entry {
    /** A transaction that was applied; its writes share one revision. */
    record RowsChanged(List<Write> writes) implements Entry {
        public RowsChanged {
            writes = List.copyOf(writes);
        }
    }

    /** A lease was granted with the given time to live. */
    record LeaseGranted(long leaseId, long ttlMs) implements Entry {}

    /** A lease expired or was ended by request; its rows, if any, are removed at one new revision. */
    record LeaseEnded(long leaseId) implements Entry {}
}
