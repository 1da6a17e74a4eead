package birchusher.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * The jobs that get no tasks on one machine for a limited time, because a task of theirs failed there. An exclusion ends with its time
 * if no task shows earlier that the machine is sound: the machine may be the only one that the job fits on. Times are ms of the steady
 * clock. Not thread-safe.
 */
final class JobExclusions {
    private final Map<String, Long> untilMsByJob = new HashMap<>();

    /** Excludes a job until a time, and forgets the exclusions that are over. */
    void exclude(String job, long now, long untilMs) {
        untilMsByJob.values().removeIf(endMs -> now >= endMs);
        untilMsByJob.put(job, untilMs);
    }

    /** Returns whether a job is excluded at this time. */
    boolean isExcluded(String job, long now) {
        Long untilMs = untilMsByJob.get(job);
        return untilMs != null && now < untilMs;
    }

    /** Ends all exclusions, as a task has ended well on the machine. */
    void clear() {
        untilMsByJob.clear();
    }
}
