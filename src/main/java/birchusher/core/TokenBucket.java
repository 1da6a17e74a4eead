package birchusher.core;

/**
 * A token bucket: a rate limit that allows bursts. Where several processes share one limit, each adapts its rate: it
 * grows slowly while no request is refused and shrinks on each "too many requests", but never below its fair share.
 *
 * <p>Time is an input, in ms of the steady clock. Not thread-safe.
 */
public final class TokenBucket {
    private static final double GROWTH_FRACTION_PER_MS = 0.00002;
    private static final double SHRINK_FACTOR = 0.75;
    private static final long MIN_SHRINK_INTERVAL_MS = 500;

    private final double minTokensPerMs;
    private final double maxTokensPerMs;
    private double tokensPerMs;
    private final double burst;
    private long lastShrinkMs = -1_000_000;
    private double tokens;
    private long lastRefillMs;
    private long blockedUntilMs;

    /** Creates a full bucket with a fixed rate. */
    public TokenBucket(double perSecond, double burst) {
        this(perSecond, perSecond, perSecond, burst);
    }

    /**
     * Creates a full bucket with an adaptive rate.
     *
     * @param perSecond the initial rate in tokens per second
     * @param minPerSecond the lowest rate in tokens per second
     * @param maxPerSecond the highest rate in tokens per second
     * @param burst the capacity in tokens, at least 1
     */
    public TokenBucket(double perSecond, double minPerSecond, double maxPerSecond, double burst) {
        this.tokensPerMs = perSecond / 1000.0;
        this.minTokensPerMs = minPerSecond / 1000.0;
        this.maxTokensPerMs = maxPerSecond / 1000.0;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    /**
     * Whether the bucket holds an amount of tokens, or is full if the amount exceeds its capacity, and is not
     * blocked.
     */
    public boolean canTake(long now, double amount) {
        if (now > lastRefillMs) {
            tokens = Math.min(burst, tokens + (now - lastRefillMs) * tokensPerMs);
            tokensPerMs = Math.min(
                    maxTokensPerMs, tokensPerMs + maxTokensPerMs * GROWTH_FRACTION_PER_MS * (now - lastRefillMs));
            lastRefillMs = now;
        }
        return now >= blockedUntilMs && tokens >= Math.min(amount, burst);
    }

    /** Takes an amount of tokens if {@link #canTake}; returns whether it did. */
    public boolean tryTake(long now, double amount) {
        if (!canTake(now, amount)) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes tokens even if there are too few: for requests that must not wait, at the expense of those that can. */
    public void overdraw(long now, double amount) {
        canTake(now, 0);
        tokens -= amount;
    }

    /** Handles a "too many requests" reply: blocks the bucket until the given time and lowers its rate. */
    public void block(long now, long untilMs) {
        blockedUntilMs = Math.max(blockedUntilMs, untilMs);
        if (now - lastShrinkMs > MIN_SHRINK_INTERVAL_MS) {
            lastShrinkMs = now;
            tokensPerMs = Math.max(minTokensPerMs, tokensPerMs * SHRINK_FACTOR);
        }
    }

    /** Returns how empty the bucket is, from 0 (full) to 1 (no tokens left). */
    public double shortage(long now) {
        canTake(now, 0);
        return Math.max(0, Math.min(1, 1 - tokens / burst));
    }

    /** Returns the current rate. */
    public double tokensPerSecond() {
        return tokensPerMs * 1000;
    }
}
