package birchusher.kv;

/** One change within a transaction: sets or removes a row. */
public sealed interface Write {
    String key();

    /** Sets a row; {@code leaseId} 0 attaches it to no lease. */
    record Set(String key, byte[] value, long leaseId) implements Write {}

    /** Removes a row. */
    record Remove(String key) implements Write {}
}
