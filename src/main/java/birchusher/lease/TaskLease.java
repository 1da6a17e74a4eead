package birchusher.lease;

/** The lease of one task attempt, in ms of the caller's clock; this class reads none. */
public final class TaskLease {
    /** Effect of a report on a task's lease. The names are matched by recorded traces. */
    public enum Renewal {
        /** The end was moved. */
        GRANTED,
        /** The task has run up to the cap; its lease is not renewed any more and does not expire. */
        AT_CAP,
        /** The lease had expired before the report arrived. */
        LAPSED,
        /** The lease already ends as late as this report allows. */
        NOTHING_NEW
    }

    private final long renewMs;
    private final long capMs;
    private long endMs;
    private long runningSinceMs = -1;
    private boolean atCap;

    /**
     * The lease of an attempt that is started at {@code startedAtMs}.
     *
     * @param fetchMs expected time of the image fetch
     * @param capMs for how long after it began to run it is renewed; {@link Long#MAX_VALUE}: without end
     */
    public TaskLease(LeaseSettings settings, long startedAtMs, long fetchMs, long capMs) {
        this.renewMs = settings.renewMs();
        this.capMs = capMs;
        this.endMs = startedAtMs + settings.initialMs(fetchMs);
    }

    /** Renews the lease, as a fresh report lists the task. An expired lease is not renewed, and no renewal goes beyond the cap. */
    public Renewal renew(long now, boolean running) {
        if (expired(now)) {
            return Renewal.LAPSED;
        }
        if (running && runningSinceMs < 0) {
            runningSinceMs = now;
        }
        long newEndMs = now + renewMs;
        if (runningSinceMs >= 0 && capMs != Long.MAX_VALUE && newEndMs > runningSinceMs + capMs) {
            newEndMs = runningSinceMs + capMs;
            if (now >= runningSinceMs + capMs) {
                atCap = true;
                return Renewal.AT_CAP;
            }
        }
        if (newEndMs <= endMs) {
            return Renewal.NOTHING_NEW;
        }
        endMs = newEndMs;
        return Renewal.GRANTED;
    }

    /** Whether the lease ended before its cap: no report has listed the task for too long. */
    public boolean expired(long now) {
        return !atCap
                && now >= endMs
                && !(runningSinceMs >= 0 && capMs != Long.MAX_VALUE && endMs >= runningSinceMs + capMs);
    }

    /** Whether the cap is reached: the task has run for as long as renewals are granted. */
    public boolean atCap(long now) {
        return atCap || runningSinceMs >= 0 && capMs != Long.MAX_VALUE && now >= runningSinceMs + capMs;
    }

    /** When a report first listed the task as running; -1: not yet. */
    public long runningSinceMs() {
        return runningSinceMs;
    }

    /** When the lease ends unless it is renewed. */
    public long endMs() {
        return endMs;
    }
}
