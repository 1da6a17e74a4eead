package birchusher.workers;

import org.HdrHistogram.Histogram;

/** What operators want counted; logged at intervals. */
public final class Counters {
    public long renewed;
    public long atCap;
    public long lapsed;
    public long speedLimited;
    public long refused;
    public long stops;
    public long errors;
    public long condemned;
    public long notices;
    public long done;
    public long restarts;
    public long claims;
    public long rentals;
    public long returns;
    /** Plans made, and slots looked at for them. */
    public long plans;

    public long planned;
    /** Reports that nobody waits for any more: copies, and what their workers gave up. */
    public long copies;
    /** Reports that the answer to a direct command has overtaken; they are answered and renew the worker's lease. */
    public long overtaken;
    /** Safety rules found broken ({@link SafetyChecks}); anything but 0 is a fault of ours. */
    public long unsafe;

    private final Histogram waits = new Histogram(3_600_000L, 2);

    public void started(long waitMs) {
        waits.recordValue(Math.max(0, Math.min(3_600_000L, waitMs)));
    }

    public void outcome(boolean finished) {
        if (finished) {
            done++;
        } else {
            restarts++;
        }
    }

    public String line() {
        return "renewed=" + renewed + " at_cap=" + atCap + " lapsed=" + lapsed + " speed_limited=" + speedLimited
                + " refused=" + refused + " stops=" + stops + " errors=" + errors + " condemned=" + condemned
                + " notices=" + notices + " copies=" + copies + " overtaken=" + overtaken + " unsafe=" + unsafe
                + " done=" + done + " restarts=" + restarts + " claims=" + claims + " rentals="
                + rentals + " returns=" + returns + " plans=" + plans + " slots_looked_at=" + planned + " wait_p50_ms="
                + waits.getValueAtPercentile(50) + " wait_p95_ms="
                + waits.getValueAtPercentile(95);
    }
}
