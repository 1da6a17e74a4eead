package birchusher.kv;

/**
 * The published limits of the state service.
 *
 * @param maxRequestsPerS requests per second, watches and lease renewals included; bursts of up to one second's amount
 * @param maxWritesPerS rows set or removed per second, those of transactions whose conditions fail included
 * @param maxWritesPerTransaction rows set or removed by a transaction, which may have four times as many conditions
 * @param maxValueBytes the size of one value, counted as JSON by the protocol layer
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
    /** Not part of the published protocol, which sets no limit. */
    public static final int MAX_WATCHES = 1_000;

    /** Not part of the published protocol, which sets no limit. */
    public static final int MAX_LEASES = 10_000;

    public Limits {
        if (!(maxRequestsPerS >= 1)
                || !(maxWritesPerS >= 1)
                || maxWritesPerTransaction < 1
                || maxValueBytes < 1
                || maxValueBytes > MAX_TRANSACTION_BYTES) {
            throw new IllegalArgumentException("state limits: each must be at least 1, the value size at most "
                    + MAX_TRANSACTION_BYTES + " bytes");
        }
    }
}
