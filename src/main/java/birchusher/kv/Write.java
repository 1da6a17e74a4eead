package birchusher.kv;

/** One change within a transaction: a new value, or none. */
public sealed interface Write {
    String key();

    record Set(String key, byte[] value, long lease) implements Write {}

    record Remove(String key) implements Write {}
}
