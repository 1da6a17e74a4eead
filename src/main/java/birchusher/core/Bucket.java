package birchusher.core;

/**
 * A rate limit that allows bursts; time is an input. One that is shared with others finds its part by itself: it grows
 * slowly while nobody is refused and shrinks when it is told "too many", never below its fair part.
 */
public final class Bucket {
    private static final double GROWTH_PER_MS = 0.00002;
    private static final double SHRINK = 0.75;
    private final double least;
    private final double most;
    private double perMs;
    private final double burst;
    private long shrunkAt = -1_000_000;
    private double level;
    private long last;
    private long blockedUntil;

    public Bucket(double perSecond, double burst) {
        this(perSecond, perSecond, perSecond, burst);
    }

    /** Starts at a rate and stays between the least and the most. */
    public Bucket(double perSecond, double least, double most, double burst) {
        this.perMs = perSecond / 1000.0;
        this.least = least / 1000.0;
        this.most = most / 1000.0;
        this.burst = Math.max(1, burst);
        this.level = this.burst;
    }

    public boolean has(long now, double amount) {
        if (now > last) {
            level = Math.min(burst, level + (now - last) * perMs);
            perMs = Math.min(most, perMs + most * GROWTH_PER_MS * (now - last));
            last = now;
        }
        return now >= blockedUntil && level >= Math.min(amount, burst);
    }

    public boolean take(long now, double amount) {
        if (!has(now, amount)) {
            return false;
        }
        level -= amount;
        return true;
    }

    /** Takes even what is not there: for requests that must not wait, paid for by those that can. */
    public void force(long now, double amount) {
        has(now, 0);
        level -= amount;
    }

    /** The other side said "too many": nothing more until then, and less from then on. */
    public void block(long now, long until) {
        blockedUntil = Math.max(blockedUntil, until);
        if (now - shrunkAt > 500) {
            shrunkAt = now;
            perMs = Math.max(least, perMs * SHRINK);
        }
    }

    /** From 0, nothing is short, to 1, nothing is left. */
    public double shortage(long now) {
        has(now, 0);
        return Math.max(0, Math.min(1, 1 - level / burst));
    }

    public double perSecond() {
        return perMs * 1000;
    }
}
