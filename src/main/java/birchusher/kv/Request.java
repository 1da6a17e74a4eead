package birchusher.kv;

import java.util.List;

/** What a client of the state service may ask, read and bounded by its edge. */
public sealed interface Request {
    /** Reads one row. */
    record Get(String key) implements Request {}

    /** Rows whose key begins with {@code prefix} and comes after {@code after}, at most {@code most}. */
    record Page(String prefix, String after, int most) implements Request {}

    /** A row must have this stamp; 0: there must be none. */
    record Condition(String key, long stamp) {}

    /** @param bytes the size of the whole request, counted as JSON; {@code largest}: that of its largest value */
    record Txn(List<Condition> conditions, List<Write> writes, int bytes, int largest) implements Request {
        public Txn {
            conditions = List.copyOf(conditions);
            writes = List.copyOf(writes);
        }
    }

    /** Asks for a lease of so many milliseconds. */
    record Grant(long lifeMs) implements Request {}

    /** Extends a lease by its whole life. */
    record Extend(long lease) implements Request {}

    /** Ends a lease, with the rows attached to it. */
    record End(long lease) implements Request {}

    /** Waits until a key under the prefix has changed after {@code since}, or for that long. */
    record Watch(String prefix, long since, long waitMs) implements Request {}
}
