package birchusher.core;

/**
 * A rate limit that allows bursts; time is an input. One that is shared with others finds its part by itself: it grows
 * slowly while nobody is refused and shrinks when it is told "too many", never below its fair part.
 */
public final class TokenBucket {
    private static final double GROWTH_FRACTION_PER_MS = 0.00002;
    private static final double SHRINK_FACTOR = 0.75;
    private final double minPerMs;
    private final double maxPerMs;
    private double tokensPerMs;
    private final double burst;
    private long lastShrinkMs = -1_000_000;
    private double tokens;
    private long lastRefillMs;
    private long blockedUntilMs;

    public TokenBucket(double perSecond, double burst) {
        this(perSecond, perSecond, perSecond, burst);
    }

    /** Starts at a rate and stays between the least and the most. */
    public TokenBucket(double perSecond, double least, double most, double burst) {
        this.tokensPerMs = perSecond / 1000.0;
        this.minPerMs = least / 1000.0;
        this.maxPerMs = most / 1000.0;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    public boolean canTake(long now, double amount) {
        if (now > lastRefillMs) {
            tokens = Math.min(burst, tokens + (now - lastRefillMs) * tokensPerMs);
            tokensPerMs = Math.min(maxPerMs, tokensPerMs + maxPerMs * GROWTH_FRACTION_PER_MS * (now - lastRefillMs));
            lastRefillMs = now;
        }
        return now >= blockedUntilMs && tokens >= Math.min(amount, burst);
    }

    public boolean tryTake(long now, double amount) {
        if (!canTake(now, amount)) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes even what is not there: for requests that must not wait, paid for by those that can. */
    public void overdraw(long now, double amount) {
        canTake(now, 0);
        tokens -= amount;
    }

    /** The other side said "too many": nothing more until then, and less from then on. */
    public void block(long now, long until) {
        blockedUntilMs = Math.max(blockedUntilMs, until);
        if (now - lastShrinkMs > 500) {
            lastShrinkMs = now;
            tokensPerMs = Math.max(minPerMs, tokensPerMs * SHRINK_FACTOR);
        }
    }

    /** From 0, nothing is short, to 1, nothing is left. */
    public double shortage(long now) {
        canTake(now, 0);
        return Math.max(0, Math.min(1, 1 - tokens / burst));
    }

    public double tokensPerSecond() {
        return tokensPerMs * 1000;
    }
}
