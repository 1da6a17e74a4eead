package birchusher.lease;

import java.util.Collection;

/**
 * Decides when a task of a gang is started on a machine that has its image. The task waits there for the gang's other tasks, but no
 * longer than the workers allow; then it exits and the attempt has failed. So it is started only when the other machines are
 * expected to have fetched the image within that limit. A task whose machine has to fetch the image starts at once, since a fetch that
 * begins later would delay the gang. Times are in ms; this class reads no clock.
 */
public final class GangStart {
    /** By the protocol, images are fetched at the published rate, give or take a third. */
    private static final double MAX_FETCH_FACTOR = 1.5;
    /** The share of the workers' limit that is planned; the rest is for commands and reports on their way. */
    private static final double PLANNED_WAIT_SHARE = 0.8;
    /** A start is not held for longer than this many times the longest fetch may take. */
    private static final double MAX_HOLD_FACTOR = 2;

    private final double plannedWaitMs;

    /** @param maxWaitMs how long a task waits for its gang, by the workers' settings */
    public GangStart(double maxWaitMs) {
        plannedWaitMs = PLANNED_WAIT_SHARE * maxWaitMs;
    }

    /**
     * The fetch of the gang's image on one machine.
     *
     * @param fullMs expected time of the whole fetch at the published rate
     * @param remainingMs the part of it that is still to come; 0: the machine has the image
     * @param concurrentFetches number of images being fetched there, this one included, which may share the rate
     */
    public record Fetch(double fullMs, double remainingMs, int concurrentFetches) {
        /** The machine has the image. */
        public static final Fetch NONE = new Fetch(0, 0, 0);

        /** The longest time until the machine has the image, 0 if it has it. */
        double maxRemainingMs() {
            return remainingMs <= 0 ? 0 : concurrentFetches * (remainingMs + (MAX_FETCH_FACTOR - 1) * fullMs);
        }

        /** The longest time of the whole fetch. */
        double maxFullMs() {
            return concurrentFetches * MAX_FETCH_FACTOR * fullMs;
        }
    }

    /**
     * Returns whether a task whose machine has the image may be started now. Since what is known of other machines may be missing or wrong,
     * a start is held for a limited time only.
     *
     * @param others the fetches on the machines of the gang's other tasks
     * @param heldMs for how long the task has been claimed
     */
    public boolean mayStart(Collection<Fetch> others, long heldMs) {
        double longestWaitMs = 0;
        double longestFetchMs = 0;
        for (Fetch other : others) {
            longestWaitMs = Math.max(longestWaitMs, other.maxRemainingMs());
            longestFetchMs = Math.max(longestFetchMs, other.maxFullMs());
        }
        return longestWaitMs <= plannedWaitMs || heldMs > MAX_HOLD_FACTOR * longestFetchMs;
    }
}
