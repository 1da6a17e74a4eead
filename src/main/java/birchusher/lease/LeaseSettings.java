package birchusher.lease;

import birchusher.model.JobSpec;
import birchusher.settings.Tuning;

/** The lengths that task leases are made of, in ms; from the operators' settings. */
public record LeaseSettings(long baseMs, long renewMs, double capFactor, long sweepIntervalMs) {
    public static LeaseSettings from(Tuning t) {
        return new LeaseSettings(
                t.ms("lease.base-s"), t.ms("lease.renew-s"), t.num("lease.cap-factor"), t.ms("lease.sweep-s"));
    }

    /** Base lease of a task whose image takes this long to fetch. */
    public long initialMs(long fetchMs) {
        return baseMs + fetchMs;
    }

    /** How long after running start renewals are granted: never below the base; services have no cap. */
    public long capMs(JobSpec j, long fetchMs) {
        return j.isService()
                ? Long.MAX_VALUE
                : Math.max(initialMs(fetchMs), Math.round(capFactor * j.estimateS() * 1000));
    }

    /** The gate: whether a machine of this speed is expected to finish a task of this run time within its cap. */
    public boolean fitsCap(JobSpec j, double expectedS, double speed) {
        return j.isService() || expectedS / Math.max(0.01, speed) * 1000 <= capMs(j, 0);
    }
}
