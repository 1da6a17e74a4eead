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
    private long end;
    private long runningSince = -1;
    private boolean atCap;

    public TaskLease(LeaseTerms terms, long startedAt, long fetchMs, long capMs) {
        this.renewMs = terms.renewMs();
        this.capMs = capMs;
        this.end = startedAt + terms.base(fetchMs);
    }

    /** A fresh report lists the task. A lapsed lease gets nothing, and nothing goes beyond the cap. */
    public Renewal report(long now, boolean running) {
        if (lapsed(now)) {
            return Renewal.LAPSED;
        }
        if (running && runningSince < 0) {
            runningSince = now;
        }
        long wanted = now + renewMs;
        if (runningSince >= 0 && capMs != Long.MAX_VALUE && wanted > runningSince + capMs) {
            wanted = runningSince + capMs;
            if (now >= runningSince + capMs) {
                atCap = true;
                return Renewal.AT_CAP;
            }
        }
        if (wanted <= end) {
            return Renewal.NOTHING_NEW;
        }
        end = wanted;
        return Renewal.GRANTED;
    }

    /** Past its end without having reached the cap: nobody has heard of the task for too long. */
    public boolean lapsed(long now) {
        return !atCap && now >= end && !(runningSince >= 0 && capMs != Long.MAX_VALUE && end >= runningSince + capMs);
    }

    public boolean atCap(long now) {
        return atCap || runningSince >= 0 && capMs != Long.MAX_VALUE && now >= runningSince + capMs;
    }

    public long runningSince() {
        return runningSince;
    }

    public long end() {
        return end;
    }
}
