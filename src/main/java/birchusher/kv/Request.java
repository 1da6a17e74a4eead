package birchusher.kv;

import java.util.List;

/** A request to the state service, as parsed and checked by the protocol layer. */
public sealed interface Request {
    /** Reads one row. */
    record Get(String key) implements Request {}

    /** Reads up to {@code maxRows} rows whose key begins with {@code prefix} and sorts after {@code after}, if not null. */
    record Page(String prefix, String after, int maxRows) implements Request {}

    /** The row must have been changed last at {@code modRevision}; 0 means that there must be no such row. */
    record Condition(String key, long modRevision) {}

    /**
     * Applies all writes if all conditions hold.
     *
     * @param sizeBytes the size of the whole request, counted as JSON
     * @param largestValueBytes the size of its largest value, counted as JSON
     */
    record Transaction(List<Condition> conditions, List<Write> writes, int sizeBytes, int largestValueBytes)
            implements Request {
        public Transaction {
            conditions = List.copyOf(conditions);
            writes = List.copyOf(writes);
        }
    }

    /** Requests a new lease with the given time to live. */
    record GrantLease(long ttlMs) implements Request {}

    /** Restarts the time to live of a lease. */
    record RenewLease(long leaseId) implements Request {}

    /** Ends a lease and removes the rows attached to it. */
    record EndLease(long leaseId) implements Request {}

    /** Waits up to {@code waitMs} for a change after {@code afterRevision} of a key that begins with {@code prefix}. */
    record Watch(String prefix, long afterRevision, long waitMs) implements Request {}
}
