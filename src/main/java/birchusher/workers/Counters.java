package birchusher.workers;

import org.HdrHistogram.Histogram;

/** Counters for operators, since the start of the process; logged at intervals. Not thread-safe: used on the controller's thread. */
public final class Counters {
    private static final long MAX_START_WAIT_MS = 3_600_000L;

    /** Renewals of task leases. */
    public long renewed;
    /** Attempts that reached the cap of their task lease. */
    public long atCap;
    /** Task leases that expired. */
    public long lapsed;
    /** Planned placements on machines that may be too slow to finish the task within its lease cap. */
    public long speedLimited;
    /** Offers of tasks that owners refused. */
    public long refused;
    /** Requests to stop an attempt. */
    public long stops;
    /** Attempts that exited with an error. */
    public long taskErrors;
    /** Machines found to be faulty. */
    public long condemned;
    /** Machines with an interruption notice. */
    public long notices;
    /** Attempts that finished their task. */
    public long done;
    /** Attempts whose claims were removed without a finished task. */
    public long restarts;
    /** Claims written. */
    public long claims;
    /** Machines rented. */
    public long rentals;
    /** Machines returned to the cloud. */
    public long returns;
    /** Plans made. */
    public long plans;
    /** Slots examined for plans. */
    public long slotsLookedAt;
    /** Reports that no worker waits for any more: duplicates, and those whose worker has stopped waiting. */
    public long staleReports;
    /** Reports overtaken by the answer to a direct command; they are answered and renew the worker's lease. */
    public long overtakenReports;
    /** Attempts reported as not exited after this owner had reaped them; any other value than 0 is a fault. */
    public long secondStarts;
    /** Releases of a silent machine's claim that were withheld within its session's lease; any other value than 0 is a fault. */
    public long earlyReleases;
    /** Direct calls and reaps that were not logged, because there were too many. */
    public long unloggedCommands;
    /** Violations found by {@link SafetyChecks}; any other value than 0 is a fault of the scheduler. */
    public long safetyViolations;

    private final Histogram startWaitsMs = new Histogram(MAX_START_WAIT_MS, 2);

    /** Records the time from a job's acceptance until one of its tasks runs; counted as at most an hour. */
    public void recordStartWait(long waitMs) {
        startWaitsMs.recordValue(Math.max(0, Math.min(MAX_START_WAIT_MS, waitMs)));
    }

    /** Counts an attempt that left the store, finished or to be restarted. */
    public void recordOutcome(boolean finished) {
        if (finished) {
            done++;
        } else {
            restarts++;
        }
    }

    /** All counters as {@code key=value} fields of one log line. */
    public String logText() {
        return "renewed=" + renewed + " at_cap=" + atCap + " lapsed=" + lapsed + " speed_limited=" + speedLimited
                + " refused=" + refused + " stops=" + stops + " errors=" + taskErrors + " condemned=" + condemned
                + " notices=" + notices + " copies=" + staleReports + " overtaken=" + overtakenReports + " unsafe="
                + safetyViolations + " second_starts=" + secondStarts + " early_releases=" + earlyReleases
                + " commands_unlogged="
                + unloggedCommands
                + " done=" + done + " restarts=" + restarts + " claims=" + claims + " rentals="
                + rentals + " returns=" + returns + " plans=" + plans + " slots_looked_at=" + slotsLookedAt
                + " wait_p50_ms="
                + startWaitsMs.getValueAtPercentile(50) + " wait_p95_ms="
                + startWaitsMs.getValueAtPercentile(95);
    }
}
