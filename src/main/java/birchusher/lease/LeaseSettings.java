package birchusher.lease;

import birchusher.model.JobSpec;
import birchusher.settings.Tuning;

/**
 * Durations of task leases, from the operators' settings.
 *
 * @param baseMs duration of a new lease without the image fetch
 * @param renewMs how far ahead of a fresh report a renewal moves the end
 * @param capFactor renewals end at this many times the estimated run time
 * @param sweepIntervalMs how often expired leases are looked for
 */
public record LeaseSettings(long baseMs, long renewMs, double capFactor, long sweepIntervalMs) {
    /** Lower bound of a machine's speed in {@link #fitsCap}. */
    private static final double MIN_SPEED = 0.01;

    /** Reads the durations from the operators' settings. */
    public static LeaseSettings from(Tuning tuning) {
        return new LeaseSettings(
                tuning.durationMs("lease.base-s"),
                tuning.durationMs("lease.renew-s"),
                tuning.value("lease.cap-factor"),
                tuning.durationMs("lease.sweep-s"));
    }

    /** Duration in ms of a new lease for a task whose image takes this long to fetch. */
    public long initialMs(long fetchMs) {
        return baseMs + fetchMs;
    }

    /** For how long after a task began to run renewals are granted, in ms; never below the initial lease. Services have no cap. */
    public long capMs(JobSpec spec, long fetchMs) {
        return spec.isService()
                ? Long.MAX_VALUE
                : Math.max(initialMs(fetchMs), Math.round(capFactor * spec.estimateS() * 1000));
    }

    /** Whether a machine of this speed is expected to finish a task of this run time within its lease cap. */
    public boolean fitsCap(JobSpec spec, double expectedS, double speed) {
        return spec.isService() || expectedS / Math.max(MIN_SPEED, speed) * 1000 <= capMs(spec, 0);
    }
}
