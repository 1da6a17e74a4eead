package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.jobs.JobStatus.Kind;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the states of jobs to users, and checks that no answer is older than one that this controller gave before: after done or
 * cancelled nothing else is told of a job, and after any state not that it was never accepted. Such an answer is a fault of the
 * scheduler: it is refused with 503, counted ({@code answers_unsafe=}) and logged as an error; where assertions are enabled, as in
 * tests, it throws an {@link AssertionError}. What was told is kept for the last jobs that were asked about.
 *
 * <p>Not thread-safe: used on the controller's thread.
 */
final class JobAnswers {
    private static final Logger LOG = LoggerFactory.getLogger(JobAnswers.class);
    private static final int MAX_JOBS = 20_000;
    private static final int RETRY_AFTER_S = 1;
    private static final long LOG_PERIOD_MS = 1_000;
    private static final int MAX_LINES_PER_PERIOD = 20;

    /** Kinds of requests that are answered with the state of a job. */
    enum Request {
        SUBMIT,
        POLL,
        CANCEL,
        LIST,
        DESCRIBE
    }

    private final Effects effects;
    private final StoreView view;
    /** By job id; the least recently used entries are dropped first. */
    private final Map<String, Kind> told = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Kind> eldest) {
            return size() > MAX_JOBS;
        }
    };

    private long answers;
    private long finalStatesTold;
    private long linesSuppressed;
    private long unsafeAnswers;
    private long errorLoggedMs = Long.MIN_VALUE / 2;
    private long periodStartMs = Long.MIN_VALUE / 2;
    private int linesInPeriod;

    JobAnswers(Effects effects, StoreView view) {
        this.effects = effects;
        this.view = view;
    }

    /**
     * Answers a request about an accepted job: with {@code httpStatus} and the job's state, or with 503 if it has none that can be told
     * now.
     */
    void tell(long exchange, int httpStatus, Request request, String id, JobStatus status) {
        if (mayTell(exchange, request, id, status)) {
            effects.answer(exchange, httpStatus, status.toBody(id));
        }
    }

    /**
     * Returns whether the answer to a request may contain this status, which then counts as told; otherwise refuses the request with
     * 503.
     */
    boolean mayTell(long exchange, Request request, String id, JobStatus status) {
        if (!status.hasState()) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            return false;
        }
        if (isOlderThanTold(id, status)) {
            refuseOlder(exchange, request, id, status);
            return false;
        }
        record(request, id, status);
        return true;
    }

    /** Answers a request about a job that was never accepted. */
    void tellNeverAccepted(long exchange, Request request, String id, Runnable answer) {
        if (isOlderThanTold(id, JobStatus.NEVER_ACCEPTED)) {
            refuseOlder(exchange, request, id, JobStatus.NEVER_ACCEPTED);
        } else {
            answer.run();
        }
    }

    /** Whether a status contradicts what was told of the job. */
    private boolean isOlderThanTold(String id, JobStatus status) {
        Kind before = told.get(id);
        boolean ended = before == Kind.DONE || before == Kind.CANCELLED;
        return ended && before != status.kind() || before != null && status.kind() == Kind.NEVER_ACCEPTED;
    }

    /** Refuses a request whose answer would be older than one that was given. */
    private void refuseOlder(long exchange, Request request, String id, JobStatus status) {
        effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
        unsafeAnswers++;
        Kind before = told.get(id);
        if (effects.now() - errorLoggedMs >= LOG_PERIOD_MS) {
            errorLoggedMs = effects.now();
            LOG.error(
                    "safety rule broken rule=answer_went_back job={} told={} now={} request={} evidence={} applied={} row_version={}",
                    id,
                    before,
                    status.kind(),
                    request,
                    status.evidenceText(),
                    view.appliedRevision(),
                    view.version(Keys.JOB + id));
        }
        assert false : "answer_went_back: " + id + " from " + before + " to " + status.kind();
    }

    private void record(Request request, String id, JobStatus status) {
        answers++;
        Kind before = told.put(id, status.kind());
        if (status.isFinal() && before != status.kind()) {
            finalStatesTold++;
            logFinalState(request, id, status);
        }
    }

    private void logFinalState(Request request, String id, JobStatus status) {
        if (effects.now() - periodStartMs >= LOG_PERIOD_MS) {
            periodStartMs = effects.now();
            linesInPeriod = 0;
        }
        if (linesInPeriod++ >= MAX_LINES_PER_PERIOD) {
            linesSuppressed++;
            return;
        }
        LOG.info(
                "final state told job={} state={} request={} evidence={} applied={} row_version={}",
                id,
                status.wireState(),
                request.name().toLowerCase(Locale.ROOT),
                status.evidenceText(),
                view.appliedRevision(),
                view.version(Keys.JOB + id));
    }

    /** Returns the counters for the log: states told, final states told first, log lines left out, violations. */
    String logText() {
        return "answers=" + answers + " final_told=" + finalStatesTold + " final_unlogged=" + linesSuppressed
                + " answers_unsafe=" + unsafeAnswers;
    }
}
