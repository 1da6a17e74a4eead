package birchusher.store;

import birchusher.model.JobSpec;
import java.util.ArrayList;
import java.util.List;

/** A job that has not been put away yet, with its placement. */
public final class Job {
    public enum State { OPEN, DONE, CANCELLED }

    public final JobSpec spec;
    public final int chunkSize;
    /** Time of day when it was accepted, in ms. */
    public final long acceptedAt;
    public final State state;
    /** The revision that accepted it orders jobs by age. */
    public final long age;
    public final List<Chunk> chunks = new ArrayList<>();

    public Job(JobSpec spec, int chunkSize, long acceptedAt, State state, long age) {
        this.spec = spec;
        this.chunkSize = chunkSize;
        this.acceptedAt = acceptedAt;
        this.state = state;
        this.age = age;
        int n = (spec.tasks() + chunkSize - 1) / chunkSize;
        for (int i = 0; i < n; i++) {
            chunks.add(null);
        }
    }

    public Chunk chunkOf(int task) {
        return chunks.get(task / chunkSize);
    }

    public boolean isDone(int task) {
        Chunk c = chunkOf(task);
        return c != null && c.done.get(task - c.index * chunkSize);
    }

    public Claim claim(int task) {
        Chunk c = chunkOf(task);
        return c == null ? null : c.claims.get(task);
    }

    public int doneCount() {
        int n = 0;
        for (Chunk c : chunks) {
            n += c == null ? 0 : c.done.cardinality();
        }
        return n;
    }

    public int claimCount() {
        int n = 0;
        for (Chunk c : chunks) {
            n += c == null ? 0 : c.claims.size();
        }
        return n;
    }

    public long attempts() {
        long n = 0;
        for (Chunk c : chunks) {
            n = Math.max(n, c == null ? 0 : c.attempts);
        }
        return n;
    }

    public boolean allDone() {
        return doneCount() >= spec.tasks();
    }
}
