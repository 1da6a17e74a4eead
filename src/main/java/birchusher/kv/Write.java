package birchusher.kv;

/** One change within a transaction: a new value, or none. */
public sealed interface Write {
    String key();

    /** Writes a row; {@code lease} 0: attached to none. */
    record Set(String key, byte[] value, long leaseId) implements Write {}

    /** Removes a row. */
    record Remove(String key) implements Write {}
}
