package birchusher.kv;

import java.util.List;

/** What a client of the state service may ask, read and bounded by its edge. */
public sealed interface Request {
    /** Reads one row. */
    record Get(String key) implements Request {}

    /** Rows whose key begins with {@code prefix} and comes after {@code after}, at most {@code most}. */
    record Page(String prefix, String after, int maxRows) implements Request {}

    /** A row must have this stamp; 0: there must be none. */
    record Condition(String key, long modRevision) {}

    /** @param bytes the size of the whole request, counted as JSON; {@code largest}: that of its largest value */
    record Transaction(List<Condition> conditions, List<Write> writes, int sizeBytes, int largestValueBytes)
            implements Request {
        public Transaction {
            conditions = List.copyOf(conditions);
            writes = List.copyOf(writes);
        }
    }

    /** Asks for a lease of so many milliseconds. */
    record GrantLease(long ttlMs) implements Request {}

    /** Extends a lease by its whole life. */
    record RenewLease(long leaseId) implements Request {}

    /** Ends a lease, with the rows attached to it. */
    record EndLease(long leaseId) implements Request {}

    /** Waits until a key under the prefix has changed after {@code since}, or for that long. */
    record Watch(String prefix, long afterRevision, long waitMs) implements Request {}
}
