package birchusher.store;

/**
 * The stored record that assigns an attempt of a task to a machine, in one worker session. It stays in its row until there is proof that
 * the task is gone. The same object represents the claim for as long as the record exists, so what this controller notes
 * about the claim is kept in it, without a lookup by key.
 */
public final class Claim {
    private final Job job;
    private final int task;
    private final long attempt;
    private final String machine;
    private final long session;
    private final int shard;
    private final String taskKey;
    private final String attemptKey;
    /** Steady time at which this controller first saw the record; -1 before it is in the view. */
    private long seenAtMs = -1;
    /** The kind of the machine, see {@link birchusher.lease.LossRates#kind}; -1: not known when the record was seen. */
    private int machineKind = -1;

    public Claim(Job job, int task, long attempt, String machine, long session, int shard) {
        this.job = job;
        this.task = task;
        this.attempt = attempt;
        this.machine = machine;
        this.session = session;
        this.shard = shard;
        taskKey = job.spec.id() + "/" + task;
        attemptKey = attemptKey(job.spec.id(), task, attempt);
    }

    /** Returns the key of an attempt: {@code JOB/TASK#ATTEMPT}. */
    public static String attemptKey(String job, int task, long attempt) {
        return job + "/" + task + "#" + attempt;
    }

    public Job job() {
        return job;
    }

    public int task() {
        return task;
    }

    public long attempt() {
        return attempt;
    }

    public String machine() {
        return machine;
    }

    /** Returns the worker session in which the attempt is to run. */
    public long session() {
        return session;
    }

    /** Returns the shard of the machine. */
    public int shard() {
        return shard;
    }

    /** Returns the key of the task: {@code JOB/TASK}. */
    public String taskKey() {
        return taskKey;
    }

    /** Returns the key of the attempt, see {@link #attemptKey(String, int, long)}. */
    public String attemptKey() {
        return attemptKey;
    }

    /** Returns the steady time at which this controller first saw the claim, -1 before. */
    public long seenAtMs() {
        return seenAtMs;
    }

    /** Returns the kind of the machine, -1 if it was not known when the claim was first seen. */
    public int machineKind() {
        return machineKind;
    }

    /** Records when the claim was first seen and the kind of its machine then; later calls have no effect. */
    void markSeen(long now, int kind) {
        if (seenAtMs < 0) {
            seenAtMs = now;
            machineKind = kind;
        }
    }
}
