package birchusher.store;

import birchusher.model.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A job that has live rows, with the placement of its tasks. Its tasks are numbered from 0 and divided into chunks, each stored as one
 * placement row. Changed only by {@link StoreView}; not thread-safe.
 */
public final class Job {
    /** The state in the row of a job, stored by name. A job whose tasks are all done counts as done while its row is still open. */
    public enum State {
        OPEN,
        DONE,
        CANCELLED
    }

    public final JobSpec spec;
    /** Number of tasks in each chunk but the last, which may have fewer. */
    public final int chunkSize;
    /** Time of day when the job was accepted. */
    public final long acceptedAtMs;

    private State state;
    /** The revision at which the job was accepted; orders jobs by age. */
    public final long acceptedRevision;
    /** The chunks by index; null where there is no row yet. Not to be changed outside of the view. */
    public final List<Chunk> chunks = new ArrayList<>();

    private int doneTasks;
    private int totalClaims;
    /** Released claims by task. Few, as they are kept only from the proof until the row without the claim is written. */
    private final Map<Integer, ReleasedClaim> released = new HashMap<>(2);

    public Job(JobSpec spec, int chunkSize, long acceptedAtMs, State state, long acceptedRevision) {
        this.spec = spec;
        this.chunkSize = chunkSize;
        this.acceptedAtMs = acceptedAtMs;
        this.state = state;
        this.acceptedRevision = acceptedRevision;
        int chunkCount = (spec.tasks() + chunkSize - 1) / chunkSize;
        for (int i = 0; i < chunkCount; i++) {
            chunks.add(null);
        }
    }

    /** Returns the chunk of a task, or null if it has no row yet. */
    public Chunk chunkOf(int task) {
        return chunks.get(task / chunkSize);
    }

    public boolean isDone(int task) {
        Chunk chunk = chunkOf(task);
        return chunk != null && chunk.done.get(task - chunk.index * chunkSize);
    }

    /** Returns the claim on record for a task, released or not, or null. */
    public Claim claim(int task) {
        Chunk chunk = chunkOf(task);
        return chunk == null ? null : chunk.claims.get(task);
    }

    public State state() {
        return state;
    }

    void state(State newState) {
        state = newState;
    }

    /** Replaces a chunk, null: its row was removed. Updates the counts, which each planning pass reads for every job. */
    void replaceChunk(int index, Chunk chunk) {
        Chunk previous = chunks.set(index, chunk);
        doneTasks +=
                (chunk == null ? 0 : chunk.done.cardinality()) - (previous == null ? 0 : previous.done.cardinality());
        totalClaims += (chunk == null ? 0 : chunk.claims.size()) - (previous == null ? 0 : previous.claims.size());
    }

    /**
     * A claim whose task is proven gone while its row still holds it.
     *
     * @param term the term of the shard's owner that has the proof; it may be written only while this term is current
     * @param ownProof the proof is this controller's own and holds as long as it owns the shard, whatever its term
     * @param started the task had been ordered to start
     */
    public record ReleasedClaim(Claim claim, long term, boolean ownProof, boolean started) {}

    /** Returns a task's claim with the proof that the task is gone, or null if there is no claim or no proof. */
    public ReleasedClaim released(int task) {
        return released.isEmpty() ? null : released.get(task);
    }

    /** Returns all released claims of the job; not to be changed. */
    public Collection<ReleasedClaim> released() {
        return released.values();
    }

    /** Returns whether a task has a claim that is not released. */
    public boolean isPlaced(int task) {
        return claim(task) != null && released(task) == null;
    }

    /** Returns the number of claims that are not released. */
    public int placedCount() {
        return totalClaims - released.size();
    }

    void addReleased(ReleasedClaim releasedClaim) {
        released.put(releasedClaim.claim().task(), releasedClaim);
    }

    boolean removeReleased(Claim claim) {
        ReleasedClaim releasedClaim = released(claim.task());
        return releasedClaim != null && releasedClaim.claim() == claim && released.remove(claim.task()) != null;
    }

    /** Returns whether any task is placed or done. */
    public boolean hasStarted() {
        return doneTasks + placedCount() > 0;
    }

    /** Returns the number of tasks done. */
    public int doneCount() {
        return doneTasks;
    }

    /** Returns the number of claims, released ones included. */
    public int claimCount() {
        return totalClaims;
    }

    /** Returns the highest attempt number given out in any chunk, 0 if none was. */
    public long lastAttempt() {
        long highest = 0;
        for (Chunk chunk : chunks) {
            highest = Math.max(highest, chunk == null ? 0 : chunk.lastAttempt);
        }
        return highest;
    }

    /** Returns the sum over the chunks of the errors since one of a chunk's tasks last succeeded. */
    public long consecutiveErrors() {
        long sum = 0;
        for (Chunk chunk : chunks) {
            sum += chunk == null ? 0 : chunk.consecutiveErrors;
        }
        return sum;
    }

    /** Returns the revision by which all tasks were done, whatever was written to their rows since; only if {@link #allDone}. */
    public long allDoneRevision() {
        long latest = 0;
        for (Chunk chunk : chunks) {
            latest = Math.max(latest, chunk == null ? Long.MAX_VALUE : chunk.completeRevision());
        }
        return latest;
    }

    public boolean allDone() {
        return doneCount() >= spec.tasks();
    }
}
