package birchusher.placement;

import birchusher.model.Shape;
import birchusher.store.Job;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Delays further starts of jobs whose tasks fail, so that a job that fails everywhere does not occupy machines with restarts. Times are
 * ms of the steady clock. Not thread-safe.
 */
final class ErrorBackoff {
    private static final long MIN_BACKOFF_MS = 500;
    private static final long MAX_BACKOFF_MS = 60_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 7;
    /** Fewer consecutive errors than this cause no back-off. */
    private static final int MIN_ERRORS = 2;
    /** Consecutive errors after which the back-off of a job doubles; as many as it has tasks if these are fewer. */
    private static final int ERRORS_PER_DOUBLING = 8;
    /**
     * Consecutive errors, without any finished task, after which an array runs one task at a time. One faulty machine
     * at the start causes fewer.
     */
    private static final int PROBE_AFTER_ERRORS = 6;

    /** The consecutive errors of a job as last seen, and when the back-off that they caused ends. */
    private record Backoff(long errors, long endMs) {}

    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** Returns whether a job waits in its back-off, which begins anew with each change of the number of its errors. */
    boolean isActive(Job job, long now) {
        long errors = job.consecutiveErrors();
        if (errors < MIN_ERRORS) {
            backoffs.remove(job.spec.id());
            return false;
        }
        Backoff backoff = backoffs.get(job.spec.id());
        if (backoff == null || backoff.errors != errors) {
            backoff = new Backoff(errors, now + durationMs(errors, job.spec.tasks()));
            backoffs.put(job.spec.id(), backoff);
        }
        return now < backoff.endMs;
    }

    private static long durationMs(long errors, int tasks) {
        long doublings = errors / Math.max(1, Math.min(ERRORS_PER_DOUBLING, tasks));
        return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(MAX_BACKOFF_DOUBLINGS, doublings));
    }

    /** Returns whether all tasks of an array have failed so far, so that one task at a time is tried. */
    static boolean isProbing(Job job) {
        return job.spec.shape() == Shape.ARRAY
                && job.doneCount() == 0
                && job.consecutiveErrors() >= Math.min(PROBE_AFTER_ERRORS, Math.max(2, job.spec.tasks()));
    }

    /** Forgets the jobs, by id, that have ended. */
    void forgetEnded(Predicate<String> hasEnded) {
        backoffs.keySet().removeIf(hasEnded);
    }
}
