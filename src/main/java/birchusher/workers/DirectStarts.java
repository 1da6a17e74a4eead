package birchusher.workers;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The starts that this owner has sent directly to one worker in its present session, until their attempts are neither claimed nor listed by the
 * worker any more. A direct start may be carried out late, and once more after it was answered, for as long as the worker has the session and the
 * term that it carries; starts in responses to reports are not kept here, as a worker carries out no response late.
 *
 * <p>Not thread-safe: used on the controller's thread. Times are ms of the steady clock.
 */
final class DirectStarts {
    /** Below every term. */
    private static final long NOT_SENT = 0;

    private static final class Start {
        long sentAtMs;
        long term;
        boolean answered;
    }

    private final Map<String, Start> starts = new HashMap<>();

    /** Notes that a start is sent under a term of the worker's shard. */
    void onSent(String attemptKey, long term, long now) {
        Start start = starts.computeIfAbsent(attemptKey, key -> new Start());
        start.sentAtMs = now;
        start.term = term;
        start.answered = false;
    }

    /** Notes the answer to the direct call of {@code sentAtMs}, whatever its status. */
    void onAnswered(String attemptKey, long sentAtMs) {
        Start start = starts.get(attemptKey);
        if (start != null && start.sentAtMs == sentAtMs) {
            start.answered = true;
        }
    }

    /** Notes the highest term that the worker has shown: it no longer carries out starts with lower ones. */
    void onTermShown(long term) {
        starts.values().forEach(start -> start.answered |= start.term < term);
    }

    /** Whether a start of the attempt may still be carried out for the first time. */
    boolean isUnanswered(String attemptKey) {
        Start start = starts.get(attemptKey);
        return start != null && !start.answered;
    }

    /** Whether a start of the attempt has been unanswered for over {@code timeoutMs} under {@code term} or a higher one. */
    boolean isOverdue(String attemptKey, long term, long timeoutMs, long now) {
        Start start = starts.get(attemptKey);
        return start != null && !start.answered && now - start.sentAtMs > timeoutMs && start.term >= term;
    }

    /** The term under which the attempt was last started directly, 0 if it was not. */
    long term(String attemptKey) {
        Start start = starts.get(attemptKey);
        return start == null ? NOT_SENT : start.term;
    }

    /** Whether a copy of a start of the attempt may still be carried out by a worker that has seen {@code term} and forgotten the attempt. */
    boolean isRepeatable(String attemptKey, long term) {
        return term(attemptKey) >= term;
    }

    /** The number of attempts for which {@link #isRepeatable} holds. */
    int countRepeatable(long term) {
        int count = 0;
        for (Start start : starts.values()) {
            count += start.term >= term ? 1 : 0;
        }
        return count;
    }

    /** Forgets the answered starts of attempts for which {@code isNeeded} is false. */
    void retainAnswered(Predicate<String> isNeeded) {
        starts.entrySet().removeIf(entry -> entry.getValue().answered && !isNeeded.test(entry.getKey()));
    }

    /** Forgets all starts: the worker has begun a new session and rejects those of the old one. */
    void clear() {
        starts.clear();
    }
}
