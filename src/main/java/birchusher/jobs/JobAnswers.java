package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the states of jobs to users, and logs the first time that a final state is told of a job. What was told is kept for the last
 * jobs that were asked about.
 *
 * <p>Not thread-safe: used on the controller's thread.
 */
final class JobAnswers {
    private static final Logger LOG = LoggerFactory.getLogger(JobAnswers.class);
    private static final int MAX_JOBS = 20_000;
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
    private final Map<String, JobStatus.Kind> told = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobStatus.Kind> eldest) {
            return size() > MAX_JOBS;
        }
    };

    private long answers;
    private long finalStatesTold;
    private long linesSuppressed;
    private long periodStartMs = Long.MIN_VALUE / 2;
    private int linesInPeriod;

    JobAnswers(Effects effects, StoreView view) {
        this.effects = effects;
        this.view = view;
    }

    /** Answers a request with the state of a job; {@code httpStatus} is 200, or 201 for a job that this controller has just accepted. */
    void tell(long exchange, int httpStatus, Request request, String id, JobStatus status) {
        record(request, id, status);
        effects.answer(exchange, httpStatus, status.toBody(id));
    }

    /** Keeps that the state of a job is told in an answer that the caller forms. */
    void record(Request request, String id, JobStatus status) {
        answers++;
        JobStatus.Kind before = told.put(id, status.kind());
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

    /** Returns the counters for the log: answers with a state, first answers with a final state, log lines left out. */
    String logText() {
        return "answers=" + answers + " final_told=" + finalStatesTold + " final_unlogged=" + linesSuppressed;
    }
}
