package birchusher.store;

/**
 * A task's place on a machine, as the store records it. It stays until there is proof that the task is gone. The object
 * lives as long as the record does, so that what is remembered of it need not be looked up by name.
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
    /** When this controller first saw the record, by the steady clock; -1 before it is in the view. */
    private long seenAtMs = -1;
    /** The machine's kind, see the hazards; -1: not known when the record was seen. */
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

    public long session() {
        return session;
    }

    public int shard() {
        return shard;
    }

    public String taskKey() {
        return taskKey;
    }

    public String attemptKey() {
        return attemptKey;
    }

    public long seenAtMs() {
        return seenAtMs;
    }

    public int machineKind() {
        return machineKind;
    }

    void markSeen(long now, int machinesKind) {
        if (seenAtMs < 0) {
            seenAtMs = now;
            machineKind = machinesKind;
        }
    }
}
