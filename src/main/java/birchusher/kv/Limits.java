package birchusher.kv;

/**
 * The published limits of the state service.
 *
 * @param requestsPerS requests a second, watches and extensions included; bursts of one second's worth
 * @param writesPerS sets and removals a second, those of transactions whose conditions fail included
 * @param writes sets and removals in a transaction; four times as many conditions
 * @param valueBytes of one value, counted as JSON by whoever reads the request
 */
public record Limits(double maxRequestsPerS, double maxWritesPerS, int maxWritesPerTransaction, int maxValueBytes) {
    public static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    public static final int MAX_KEY_BYTES = 200;
    public static final int MAX_PAGE_ROWS = 1_000;
    public static final int MAX_PAGE_BYTES = 512 * 1024;
    public static final int MAX_HISTORY_EVENTS = 10_000;
    public static final long MIN_TTL_MS = 100;
    public static final long MAX_TTL_MS = 600_000;
    public static final long MAX_WATCH_WAIT_MS = 60_000;
    /** Ours, for what the protocol leaves open. */
    public static final int MAX_WATCHES = 1_000;

    public static final int MAX_LEASES = 10_000;

    public Limits {
        if (!(maxRequestsPerS >= 1)
                || !(maxWritesPerS >= 1)
                || maxWritesPerTransaction < 1
                || maxValueBytes < 1
                || maxValueBytes > MAX_TRANSACTION_BYTES) {
            throw new IllegalArgumentException(
                    "state limits: at least 1 each, values up to " + MAX_TRANSACTION_BYTES + " bytes");
        }
    }
}
