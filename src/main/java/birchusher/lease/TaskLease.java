package birchusher.lease;

/** The lease of one attempt. Time comes in from outside; nothing here reads a clock. */
public final class TaskLease {
    /** What a report did to a task's lease. */
    public enum Renewal {
        GRANTED,
        AT_CAP,
        LAPSED,
        NOTHING_NEW
    }

    private final long renewMs;
    private final long capMs;
    private long endMs;
    private long runningSinceMs = -1;
    private boolean atCap;

    public TaskLease(LeaseSettings terms, long startedAt, long fetchMs, long capMs) {
        this.renewMs = terms.renewMs();
        this.capMs = capMs;
        this.endMs = startedAt + terms.initialMs(fetchMs);
    }

    /** A fresh report lists the task. A lapsed lease gets nothing, and nothing goes beyond the cap. */
    public Renewal renew(long now, boolean running) {
        if (expired(now)) {
            return Renewal.LAPSED;
        }
        if (running && runningSinceMs < 0) {
            runningSinceMs = now;
        }
        long wanted = now + renewMs;
        if (runningSinceMs >= 0 && capMs != Long.MAX_VALUE && wanted > runningSinceMs + capMs) {
            wanted = runningSinceMs + capMs;
            if (now >= runningSinceMs + capMs) {
                atCap = true;
                return Renewal.AT_CAP;
            }
        }
        if (wanted <= endMs) {
            return Renewal.NOTHING_NEW;
        }
        endMs = wanted;
        return Renewal.GRANTED;
    }

    /** Past its end without having reached the cap: nobody has heard of the task for too long. */
    public boolean expired(long now) {
        return !atCap
                && now >= endMs
                && !(runningSinceMs >= 0 && capMs != Long.MAX_VALUE && endMs >= runningSinceMs + capMs);
    }

    public boolean atCap(long now) {
        return atCap || runningSinceMs >= 0 && capMs != Long.MAX_VALUE && now >= runningSinceMs + capMs;
    }

    public long runningSinceMs() {
        return runningSinceMs;
    }

    public long endMs() {
        return endMs;
    }
}
