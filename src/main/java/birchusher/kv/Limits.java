package birchusher.kv;

/**
 * The published limits of the state service.
 *
 * @param requestsPerS requests a second, watches and extensions included; bursts of one second's worth
 * @param writesPerS sets and removals a second, those of transactions whose conditions fail included
 * @param writes sets and removals in a transaction; four times as many conditions
 * @param valueBytes of one value, counted as JSON by whoever reads the request
 */
public record Limits(double requestsPerS, double writesPerS, int writes, int valueBytes) {
    public static final int TXN_BYTES = 64 * 1024;
    public static final int KEY_BYTES = 200;
    public static final int PAGE = 1_000;
    public static final int PAGE_BYTES = 512 * 1024;
    public static final int HISTORY = 10_000;
    public static final long LEAST_LIFE_MS = 100;
    public static final long MOST_LIFE_MS = 600_000;
    public static final long MOST_WAIT_MS = 60_000;
    /** Ours, for what the protocol leaves open. */
    public static final int MAX_WATCHES = 1_000;

    public static final int MAX_LEASES = 10_000;

    public Limits {
        if (!(requestsPerS >= 1) || !(writesPerS >= 1) || writes < 1 || valueBytes < 1 || valueBytes > TXN_BYTES) {
            throw new IllegalArgumentException("state limits: at least 1 each, values up to " + TXN_BYTES + " bytes");
        }
    }
}
