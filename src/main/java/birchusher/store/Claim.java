package birchusher.store;

/** A task's place on a machine, as the store records it. It stays until there is proof that the task is gone. */
public record Claim(Job job, int task, long attempt, String machine, long session, int shard) {
    public String key() {
        return job.spec.id() + "/" + task;
    }
}
