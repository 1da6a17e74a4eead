package birchusher.store;

import birchusher.model.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A job that has not been put away yet, with its placement. */
public final class Job {
    /** A job's state as its row has it; a job whose tasks are all done counts as done before its row says so. */
    public enum State {
        OPEN,
        DONE,
        CANCELLED
    }

    public final JobSpec spec;
    public final int chunkSize;
    /** Time of day when it was accepted, in ms. */
    public final long acceptedAtMs;

    private State state;
    /** The revision that accepted it orders jobs by age. */
    public final long acceptedRevision;
    /** Read only outside of the view; a row that does not exist yet is null. */
    public final List<Chunk> chunks = new ArrayList<>();

    private int doneTasks;
    private int standingClaims;
    /** Claims that are proven gone while their row still shows them; by task. Small: only between a proof and its writing. */
    private final Map<Integer, ReleasedClaim> released = new HashMap<>(2);

    public Job(JobSpec spec, int chunkSize, long acceptedAt, State state, long age) {
        this.spec = spec;
        this.chunkSize = chunkSize;
        this.acceptedAtMs = acceptedAt;
        this.state = state;
        this.acceptedRevision = age;
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

    public State state() {
        return state;
    }

    void state(State s) {
        state = s;
    }

    /** Puts a row in its place; the counts are kept here, as every pass over the jobs asks for them. */
    void replaceChunk(int i, Chunk c) {
        Chunk old = chunks.set(i, c);
        doneTasks += (c == null ? 0 : c.done.cardinality()) - (old == null ? 0 : old.done.cardinality());
        standingClaims += (c == null ? 0 : c.claims.size()) - (old == null ? 0 : old.claims.size());
    }

    /**
     * A claim whose task is proven gone. The proof is its owner's, and good for writing only while that owner's term stands; our
     * {@code own} proof holds as long as we own the shard, whatever its term. {@code started}: the task had been ordered to start.
     */
    public record ReleasedClaim(Claim claim, long term, boolean ownProof, boolean started) {}

    /** The proof that a task's recorded claim is over, or null. */
    public ReleasedClaim released(int task) {
        return released.isEmpty() ? null : released.get(task);
    }

    public Collection<ReleasedClaim> released() {
        return released.values();
    }

    /** Whether a task has a machine, as far as is known: a claim that is not proven gone. */
    public boolean isPlaced(int task) {
        return claim(task) != null && released(task) == null;
    }

    public int placedCount() {
        return standingClaims - released.size();
    }

    void addReleased(ReleasedClaim g) {
        released.put(g.claim().task(), g);
    }

    boolean removeReleased(Claim c) {
        ReleasedClaim g = released(c.task());
        return g != null && g.claim() == c && released.remove(c.task()) != null;
    }

    /** Whether any of its tasks has a place or is done. */
    public boolean hasStarted() {
        return doneTasks + placedCount() > 0;
    }

    public int doneCount() {
        return doneTasks;
    }

    public int claimCount() {
        return standingClaims;
    }

    public long lastAttempt() {
        long n = 0;
        for (Chunk c : chunks) {
            n = Math.max(n, c == null ? 0 : c.lastAttempt);
        }
        return n;
    }

    /** Errors since one of its tasks last ended well, as far as its rows tell. */
    public long consecutiveErrors() {
        long n = 0;
        for (Chunk c : chunks) {
            n += c == null ? 0 : c.consecutiveErrors;
        }
        return n;
    }

    public boolean allDone() {
        return doneCount() >= spec.tasks();
    }
}
