package birchusher.core;

/** A rate limit that allows bursts; time is an input. */
public final class Bucket {
    private final double perMs;
    private final double burst;
    private double level;
    private long last;
    private long blockedUntil;

    public Bucket(double perSecond, double burst) {
        this.perMs = perSecond / 1000.0;
        this.burst = Math.max(1, burst);
        this.level = this.burst;
    }

    public boolean has(long now, double amount) {
        if (now > last) {
            level = Math.min(burst, level + (now - last) * perMs);
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

    /** The other side said "too many": nothing more until then. */
    public void block(long until) {
        blockedUntil = Math.max(blockedUntil, until);
    }
}
