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
    public long taskErrors;
    public long condemned;
    public long notices;
    public long done;
    public long restarts;
    public long claims;
    public long rentals;
    public long returns;
    /** Plans made, and slots looked at for them. */
    public long plans;

    public long slotsLookedAt;
    /** Reports that nobody waits for any more: copies, and what their workers gave up. */
    public long staleReports;
    /** Reports that the answer to a direct command has overtaken; they are answered and renew the worker's lease. */
    public long overtakenReports;
    /** Safety rules found broken ({@link SafetyChecks}); anything but 0 is a fault of ours. */
    public long safetyViolations;

    private final Histogram startWaitsMs = new Histogram(3_600_000L, 2);

    public void recordStartWait(long waitMs) {
        startWaitsMs.recordValue(Math.max(0, Math.min(3_600_000L, waitMs)));
    }

    public void recordOutcome(boolean finished) {
        if (finished) {
            done++;
        } else {
            restarts++;
        }
    }

    public String logText() {
        return "renewed=" + renewed + " at_cap=" + atCap + " lapsed=" + lapsed + " speed_limited=" + speedLimited
                + " refused=" + refused + " stops=" + stops + " errors=" + taskErrors + " condemned=" + condemned
                + " notices=" + notices + " copies=" + staleReports + " overtaken=" + overtakenReports + " unsafe="
                + safetyViolations
                + " done=" + done + " restarts=" + restarts + " claims=" + claims + " rentals="
                + rentals + " returns=" + returns + " plans=" + plans + " slots_looked_at=" + slotsLookedAt
                + " wait_p50_ms="
                + startWaitsMs.getValueAtPercentile(50) + " wait_p95_ms="
                + startWaitsMs.getValueAtPercentile(95);
    }
}
