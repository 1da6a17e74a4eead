package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.jobs.JobAnswers.Request;
import birchusher.jobs.JobStatus.Kind;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.settings.Settings;
import birchusher.store.Change;
import birchusher.store.Chunk;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.wire.JobCodec;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers the requests of users about single jobs (submissions, polls, cancellations). What is told of a job is
 * decided by {@link JobStatusResolver}.
 *
 * <p>Not thread-safe: all calls run on the controller's event loop. Requests are answered through {@link Effects}, at
 * once or later; {@code exchange} identifies the request.
 */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    /** Retry-After when a queue is full or the state service did not answer as needed. */
    private static final int LONG_RETRY_AFTER_S = 2;
    /** Retry-After in other cases. */
    private static final int RETRY_AFTER_S = 1;

    private static final int CANCELLATION_RANK = 1;
    private static final int ACCEPTANCE_RANK = 2;
    private static final long COMMIT_TIMEOUT_MS = 2_500;
    private static final int MIN_CHUNK_SIZE = 16;
    private static final int MAX_CHUNK_SIZE = 500;
    /** Bytes of a placement row's value that are not used for claims. */
    private static final int PLACEMENT_ROW_OVERHEAD_BYTES = 512;

    private final Effects effects;
    private final Catalog catalog;
    private final JobCodec codec;
    private final StoreView view;
    private final StoreClient store;
    private final int chunkSize;
    private final JobStatusResolver statuses;
    private final JobAnswers answers;
    private final JobArchiver archiver;

    public JobApi(
            Effects effects,
            Settings settings,
            Catalog catalog,
            JobCodec codec,
            StoreView view,
            StoreClient store,
            Membership membership) {
        this.effects = effects;
        this.catalog = catalog;
        this.codec = codec;
        this.view = view;
        this.store = store;
        archiver = new JobArchiver(effects, codec, view, store, membership);
        statuses = new JobStatusResolver(view, store, settings.confirmsCancelWhenStopped());
        answers = new JobAnswers(effects, view);
        if (settings.confirmsCancelWhenStopped()) {
            LOG.warn(
                    "cancel_s {} is too short compared with lease_s {}: cancellations are confirmed only when all tasks of the job are gone",
                    settings.cancelLimitS(),
                    settings.workerLeaseS());
        }
        // A placement row must fit the store's limit on values even when all tasks in it are placed.
        chunkSize = (int) Math.max(
                MIN_CHUNK_SIZE,
                Math.min(
                        MAX_CHUNK_SIZE,
                        (settings.maxValueKb() * 1024 - PLACEMENT_ROW_OVERHEAD_BYTES) / Chunk.CLAIM_BYTES));
    }

    /** Returns where the states of jobs that users are told are decided. */
    JobStatusResolver statuses() {
        return statuses;
    }

    /** Returns the record of what users were told of jobs. */
    JobAnswers answers() {
        return answers;
    }

    /** Returns the counters of answers for the log. */
    public String logText() {
        return answers.logText();
    }

    // ---- polls

    /**
     * Answers a poll with the job's state, or 404 if it was never accepted. A view that may be stale is refreshed
     * first.
     */
    public void poll(long exchange, String id) {
        if (!JobCodec.isJobId(id)) {
            answerUnknown(exchange);
            return;
        }
        JobStatus finalStatus = statuses.finalStatus(id);
        if (finalStatus != null) {
            answers.tell(exchange, 200, Request.POLL, id, finalStatus);
            return;
        }
        answerFromFreshView(exchange, Request.POLL, id, () -> answerUnknown(exchange));
    }

    private void answerUnknown(long exchange) {
        effects.answer(exchange, 404, Map.of("error", "no such job"));
    }

    /**
     * Answers with a job's state from a view that is at least as new as this call; runs {@code unknown} if the job
     * was never accepted.
     */
    private void answerFromFreshView(long exchange, Request request, String id, Runnable unknown) {
        withFreshStatus(exchange, id, status -> {
            if (status.kind() == Kind.NEVER_ACCEPTED) {
                answers.tellNeverAccepted(exchange, request, id, unknown);
            } else {
                answers.tell(exchange, 200, request, id, status);
            }
        });
    }

    /** Passes on a job's status from a view that is at least as new as this call, or refuses the request. */
    private void withFreshStatus(long exchange, String id, Consumer<JobStatus> handler) {
        boolean queued = store.whenUpToDate(ok -> {
            if (!ok) {
                effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
                return;
            }
            JobStatus status = statuses.currentStatus(id);
            if (status.kind() == Kind.NOT_IN_VIEW) {
                readEndedJob(exchange, id, handler);
            } else {
                handler.accept(status);
            }
        });
        if (!queued) {
            effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
        }
    }

    /** Reads the final state of a job that an up-to-date view does not show; a job without one was never accepted. */
    private void readEndedJob(long exchange, String id, Consumer<JobStatus> handler) {
        boolean sent = store.get(Keys.ENDED_JOB + id, (status, reply) -> {
            if (status == 200) {
                // Kept in the view, so that every state reported to users by this controller stays in its view.
                view.put(Keys.ENDED_JOB + id, reply.get(Wire.VALUE), Fields.count(reply, Wire.VERSION));
                JobStatus stored = statuses.finalStatus(id);
                handler.accept(stored != null ? stored : JobStatus.UNDECIDED);
            } else if (status == 404) {
                JobStatus now = statuses.currentStatus(id);
                handler.accept(now.kind() == Kind.NOT_IN_VIEW ? JobStatus.NEVER_ACCEPTED : now);
            } else {
                effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
            }
        });
        if (!sent) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
        }
    }

    // ---- submissions

    /**
     * Handles a submission: 201 for an accepted job, 200 with the state for a known id, 400 for a malformed body, 422
     * for a job that can never run, 503 if it is to be repeated.
     */
    public void submit(long exchange, byte[] body) {
        JobSpec spec = null;
        InvalidInputException malformed = null;
        JobCodec.UnrunnableJobException unrunnable = null;
        String id = null;
        try {
            Map<String, Object> fields = Fields.map(MessagePackCodec.decode(body), "body");
            id = fields.get(Wire.ID) instanceof String text && JobCodec.isJobId(text) ? text : null;
            if (catalog.typesKnown()) {
                spec = codec.decodeSubmission(fields);
            }
        } catch (InvalidInputException failure) {
            malformed = failure;
        } catch (JobCodec.UnrunnableJobException failure) {
            unrunnable = failure;
        }
        JobStatus finalStatus = id == null ? null : statuses.finalStatus(id);
        if (finalStatus != null) {
            answers.tell(exchange, 200, Request.SUBMIT, id, finalStatus);
            return;
        }
        if (id != null && view.job(id) != null) {
            answerFromFreshView(
                    exchange, Request.SUBMIT, id, () -> effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S));
            return;
        }
        if (malformed != null && id == null) {
            effects.answer(exchange, 400, Map.of("error", malformed.getMessage()));
            return;
        }
        if (spec == null && malformed == null && unrunnable == null || !store.healthy()) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            return;
        }
        String reason = malformed != null
                ? malformed.getMessage()
                : unrunnable != null ? unrunnable.getMessage() : catalog.unschedulableReason(spec);
        if (reason != null) {
            // A repeated submission of an accepted id is answered with the job's state, whatever its body has become.
            int status = malformed != null ? 400 : 422;
            answerFromFreshView(
                    exchange, Request.SUBMIT, id, () -> effects.answer(exchange, status, Map.of("error", reason)));
            return;
        }
        if (!store.enqueue(new AcceptJob(exchange, spec))) {
            effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
        }
    }

    /** Writes the row of a new job, on condition that the id has neither a job row nor the row of an ended job. */
    private final class AcceptJob implements Change {
        private final long exchange;
        private final JobSpec spec;
        private final long deadlineMs = effects.now() + COMMIT_TIMEOUT_MS;

        AcceptJob(long exchange, JobSpec spec) {
            this.exchange = exchange;
            this.spec = spec;
        }

        @Override
        public int rank() {
            return ACCEPTANCE_RANK;
        }

        @Override
        public int maxWrites() {
            return 1;
        }

        @Override
        public long expiresAtMs() {
            return deadlineMs;
        }

        @Override
        public boolean build(Transaction tx) {
            if (view.job(spec.id()) != null
                    || view.isUnreadable(spec.id())
                    || view.endedJob(spec.id()) != null
                    || tx.writes(Keys.JOB + spec.id())
                    || effects.now() > deadlineMs) {
                return false;
            }
            tx.requireUnchanged(Keys.ENDED_JOB + spec.id());
            tx.put(Keys.JOB + spec.id(), JobRow.ofNewJob(codec, spec, chunkSize, effects.wallTime()));
            return true;
        }

        @Override
        public void committed(long revision) {
            LOG.info("job {} accepted: {} {} tasks, {}", spec.id(), spec.shape(), spec.tasks(), spec.priority());
            JobStatus status = statuses.currentStatus(spec.id());
            if (status.kind() == Kind.QUEUED || status.kind() == Kind.RUNNING) {
                answers.tell(exchange, 201, Request.SUBMIT, spec.id(), JobStatus.ACCEPTED);
            } else {
                // The response was late, and the job has ended meanwhile.
                dropped();
            }
        }

        @Override
        public boolean settledByConflict(Set<String> failed) {
            if (failed.contains(Keys.ENDED_JOB + spec.id()) || failed.contains(Keys.JOB + spec.id())) {
                dropped();
                return true;
            }
            return false;
        }

        @Override
        public void dropped() {
            answerFromFreshView(
                    exchange, Request.SUBMIT, spec.id(), () -> effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S));
        }
    }

    // ---- cancellations

    /** Handles a cancellation: 200 with the final state, 404 for an unknown job, 503 if it is to be repeated. */
    public void cancel(long exchange, String id) {
        if (!JobCodec.isJobId(id)) {
            answerUnknown(exchange);
            return;
        }
        JobStatus finalStatus = statuses.finalStatus(id);
        if (finalStatus != null) {
            answers.tell(exchange, 200, Request.CANCEL, id, finalStatus);
            return;
        }
        if (!store.healthy() || view.isUnreadable(id)) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            return;
        }
        if (view.job(id) != null) {
            enqueueCancellation(exchange, id);
            return;
        }
        // A job that another controller has just accepted is cancelled like any other. Answering with its state
        // alone would leave it running.
        withFreshStatus(exchange, id, status -> {
            if (status.kind() == Kind.NEVER_ACCEPTED) {
                answers.tellNeverAccepted(exchange, Request.CANCEL, id, () -> answerUnknown(exchange));
            } else if (view.job(id) != null && !status.isFinal()) {
                enqueueCancellation(exchange, id);
            } else if (status.isFinal()) {
                answers.tell(exchange, 200, Request.CANCEL, id, status);
            } else {
                effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
            }
        });
    }

    private void enqueueCancellation(long exchange, String id) {
        if (!store.enqueue(new CancelJob(exchange, id))) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
        }
    }

    /** Marks an open job as cancelled, on condition that not all of its tasks are done. */
    private final class CancelJob implements Change {
        private final long exchange;
        private final String id;
        private final long deadlineMs = effects.now() + COMMIT_TIMEOUT_MS;

        CancelJob(long exchange, String id) {
            this.exchange = exchange;
            this.id = id;
        }

        @Override
        public int rank() {
            return CANCELLATION_RANK;
        }

        @Override
        public int maxWrites() {
            return 1;
        }

        @Override
        public long expiresAtMs() {
            return deadlineMs;
        }

        @Override
        public boolean build(Transaction tx) {
            Job job = view.job(id);
            if (job == null
                    || job.state() != Job.State.OPEN
                    || job.allDone()
                    || tx.writes(Keys.JOB + id)
                    || effects.now() > deadlineMs) {
                return false;
            }
            // Another controller may be about to see, and to report, that the last task is done: then this
            // transaction must fail.
            int firstOpen = 0;
            while (job.chunks.get(firstOpen) != null
                    && job.chunks.get(firstOpen).allDone()) {
                firstOpen++;
            }
            if (tx.editsChunk(id, firstOpen)) {
                return false;
            }
            tx.requireUnchanged(Keys.placement(id, firstOpen));
            tx.put(Keys.JOB + id, JobRow.withState(codec, job, Job.State.CANCELLED));
            return true;
        }

        @Override
        public void committed(long revision) {
            LOG.info("job {} cancelled", id);
            dropped();
        }

        @Override
        public void dropped() {
            JobStatus finalStatus = statuses.finalStatus(id);
            if (finalStatus != null) {
                answers.tell(exchange, 200, Request.CANCEL, id, finalStatus);
            } else {
                // Not committed in time, or the job ended in the meantime: the user's repeated request will show it.
                effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            }
        }
    }

    /** Writes final states, and archives ended jobs. To be called periodically. */
    public void tick() {
        archiver.tick();
    }
}
