package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
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
import birchusher.wire.Pack;
import birchusher.wire.Wire;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The users' side: submissions, polls, cancellations and the final states. */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    private static final long COMMIT_TIMEOUT_MS = 2_500;

    private final Effects effects;
    private final Catalog catalog;
    private final JobCodec codec;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final int chunkSize;
    private final int txnOps;
    private final boolean confirmsCancelWhenStopped;
    private final Set<String> endingJobs = new HashSet<>();
    private long nextSweepMs;

    public JobApi(
            Effects effects,
            Settings s,
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
        this.membership = membership;
        txnOps = s.txnOps();
        confirmsCancelWhenStopped = s.cancelsLate();
        if (confirmsCancelWhenStopped) {
            LOG.warn(
                    "cancel_s {} leaves too little beyond lease_s {}: cancellations are confirmed only when the job's tasks are gone",
                    s.cancelS(),
                    s.leaseS());
        }
        // A row must fit the store's limit even when all tasks are placed.
        chunkSize = (int) Math.max(16, Math.min(500, (s.valueKb() * 1024 - 512) / Chunk.CLAIM_BYTES));
    }

    private static Map<String, Object> stateBody(String id, String state, int done, int running) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put(Wire.ID, id);
        m.put(Wire.STATE, state);
        m.put(Wire.DONE, done);
        m.put(Wire.RUNNING, running);
        return m;
    }

    static Map<String, Object> endedBody(String id, StoreView.EndedJob e) {
        return e.done() ? stateBody(id, Wire.DONE, e.tasks(), 0) : stateBody(id, Wire.CANCELLED, 0, 0);
    }

    /** What may be told of a job without asking anybody: final states are final. Null if it has none yet. */
    private Map<String, Object> finalState(String id) {
        StoreView.EndedJob e = view.endedJob(id);
        if (e != null) {
            return endedBody(id, e);
        }
        Job j = view.job(id);
        if (j != null
                && (j.state() == Job.State.DONE
                        || j.state() == Job.State.OPEN && j.allDone() && viewCoversClaimRows(j))) {
            return stateBody(id, Wire.DONE, j.spec.tasks(), 0);
        }
        return j != null && j.state() == Job.State.CANCELLED && mayConfirmCancel(j)
                ? stateBody(id, Wire.CANCELLED, 0, 0)
                : null;
    }

    /**
     * Done sets never shrink, so a job whose tasks are all recorded as done is done before its row says so. But our own end of the last
     * task is in the view ahead of others' changes, and a cancellation that we have not seen may come before it: without this one
     * controller told its user cancelled, and then another told done. Once the view has everything up to the last end, the job's row
     * tells which came first; no cancellation is written after it, as each conditions on a row of tasks that was not full.
     */
    private boolean viewCoversClaimRows(Job j) {
        for (int i = 0; i < j.chunks.size(); i++) {
            if (view.version(Keys.placement(j.spec.id(), i)) > view.appliedRevision()) {
                return false;
            }
        }
        return true;
    }

    /** Where leases are too long for a cancellation's time, it is told only when no task is left, as far as a view of its own age shows. */
    private boolean mayConfirmCancel(Job j) {
        return !confirmsCancelWhenStopped
                || j.claimCount() == 0 && view.appliedRevision() >= view.version(Keys.JOB + j.spec.id());
    }

    private static Map<String, Object> openBody(Job j) {
        int running = j.claimCount();
        return stateBody(j.spec.id(), running > 0 ? Wire.RUNNING : Wire.QUEUED, j.doneCount(), running);
    }

    /** What a poll may be told of a job that is in the view, if the view is new enough. */
    Map<String, Object> currentState(Job j) {
        Map<String, Object> known = finalState(j.spec.id());
        return known != null ? known : openBody(j);
    }

    // ---- polls

    public void poll(long exchange, String id) {
        if (!JobCodec.isId(id)) {
            effects.answer(exchange, 404, Map.of("error", "no such job"));
            return;
        }
        Map<String, Object> known = finalState(id);
        if (known != null) {
            effects.answer(exchange, 200, known);
            return;
        }
        answerFromFreshView(exchange, id, () -> effects.answer(exchange, 404, Map.of("error", "no such job")));
    }

    /** Answers a job's state from a view that is as new as this moment; {@code unknown} if it was never accepted. */
    private void answerFromFreshView(long exchange, String id, Runnable unknown) {
        answerFromFreshView(exchange, id, j -> effects.answer(exchange, 200, openBody(j)), unknown);
    }

    /** The same, with what is to be done with a job that has no final state. */
    private void answerFromFreshView(long exchange, String id, Consumer<Job> unfinished, Runnable unknown) {
        boolean asked = store.whenUpToDate(ok -> {
            if (!ok) {
                effects.refuseWithRetry(exchange, 503, 2);
                return;
            }
            Map<String, Object> last = finalState(id);
            Job j = view.job(id);
            if (last != null) {
                effects.answer(exchange, 200, last);
                return;
            }
            if (j != null) {
                unfinished.accept(j);
                return;
            }
            if (view.unreadable(id)) {
                effects.answer(exchange, 200, stateBody(id, Wire.QUEUED, 0, 0));
                return;
            }
            if (store.allEndedJobsKnown()) {
                unknown.run();
                return;
            }
            boolean sent = store.get(Keys.ENDED_JOB + id, (status, m) -> {
                if (status == 200) {
                    // Kept, so that what users are told from here is known to be known here.
                    view.put(Keys.ENDED_JOB + id, m.get(Wire.VALUE), Fields.count(m, Wire.VERSION));
                    Map<String, Object> kept = finalState(id);
                    if (kept != null) {
                        effects.answer(exchange, 200, kept);
                    } else {
                        effects.refuseWithRetry(exchange, 503, 2);
                    }
                } else if (status == 404) {
                    unknown.run();
                } else {
                    effects.refuseWithRetry(exchange, 503, 2);
                }
            });
            if (!sent) {
                effects.refuseWithRetry(exchange, 503, 1);
            }
        });
        if (!asked) {
            effects.refuseWithRetry(exchange, 503, 2);
        }
    }

    // ---- submissions

    public void submit(long exchange, byte[] body) {
        JobSpec spec = null;
        InvalidInputException bad = null;
        JobCodec.Never never = null;
        String id = null;
        try {
            Map<String, Object> m = Fields.map(Pack.decode(body), "body");
            id = m.get(Wire.ID) instanceof String s && JobCodec.isId(s) ? s : null;
            if (catalog.typesKnown()) {
                spec = codec.read(m);
            }
        } catch (InvalidInputException e) {
            bad = e;
        } catch (JobCodec.Never e) {
            never = e;
        }
        Map<String, Object> known = id == null ? null : finalState(id);
        if (known != null) {
            effects.answer(exchange, 200, known);
            return;
        }
        if (id != null && view.job(id) != null) {
            String jobId = id;
            answerFromFreshView(exchange, jobId, () -> effects.refuseWithRetry(exchange, 503, 1));
            return;
        }
        if (bad != null && id == null) {
            effects.answer(exchange, 400, Map.of("error", bad.getMessage()));
            return;
        }
        if (spec == null && bad == null && never == null || !store.healthy()) {
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        String why =
                bad != null ? bad.getMessage() : never != null ? never.getMessage() : catalog.unschedulableReason(spec);
        if (why != null) {
            // A repeat of an accepted id is answered with its state, whatever its body has become.
            int status = bad != null ? 400 : 422;
            answerFromFreshView(exchange, id, () -> effects.answer(exchange, status, Map.of("error", why)));
            return;
        }
        if (!store.enqueue(new AcceptJob(exchange, spec))) {
            effects.refuseWithRetry(exchange, 503, 2);
        }
    }

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
            return 2;
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
                    || view.unreadable(spec.id())
                    || view.endedJob(spec.id()) != null
                    || tx.writes(Keys.JOB + spec.id())
                    || effects.now() > deadlineMs) {
                return false;
            }
            tx.requireUnchanged(Keys.ENDED_JOB + spec.id());
            tx.put(Keys.JOB + spec.id(), jobRow(spec, chunkSize, effects.wallTime(), Job.State.OPEN));
            return true;
        }

        @Override
        public void committed(long revision) {
            LOG.info("job {} accepted: {} {} tasks, {}", spec.id(), spec.shape(), spec.tasks(), spec.priority());
            effects.answer(exchange, 201, stateBody(spec.id(), Wire.QUEUED, 0, 0));
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
            answerFromFreshView(exchange, spec.id(), () -> effects.refuseWithRetry(exchange, 503, 1));
        }
    }

    private Map<String, Object> jobRow(JobSpec s, int chunk, long acceptedAt, Job.State state) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("s", state.name());
        m.put("k", chunk);
        m.put("t", acceptedAt);
        m.put("j", codec.write(s));
        return m;
    }

    // ---- cancellations

    public void cancel(long exchange, String id) {
        if (!JobCodec.isId(id)) {
            effects.answer(exchange, 404, Map.of("error", "no such job"));
            return;
        }
        Map<String, Object> known = finalState(id);
        if (known != null) {
            effects.answer(exchange, 200, known);
            return;
        }
        if (!store.healthy() || view.unreadable(id)) {
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        if (view.job(id) == null) {
            // Accepted elsewhere a moment ago, it is to be cancelled like any other: its state alone was no answer to a
            // cancellation.
            answerFromFreshView(
                    exchange,
                    id,
                    j -> cancel(exchange, j),
                    () -> effects.answer(exchange, 404, Map.of("error", "no such job")));
            return;
        }
        cancel(exchange, view.job(id));
    }

    private void cancel(long exchange, Job j) {
        if (!store.enqueue(new CancelJob(exchange, j.spec.id()))) {
            effects.refuseWithRetry(exchange, 503, 1);
        }
    }

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
            return 1;
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
            Job j = view.job(id);
            if (j == null
                    || j.state() != Job.State.OPEN
                    || j.allDone()
                    || tx.writes(Keys.JOB + id)
                    || effects.now() > deadlineMs) {
                return false;
            }
            // Another controller may be about to see, and to tell, that the last task is done: then this must fail.
            int open = 0;
            while (j.chunks.get(open) != null && j.chunks.get(open).allDone()) {
                open++;
            }
            if (tx.editsChunk(id, open)) {
                return false;
            }
            tx.requireUnchanged(Keys.placement(id, open));
            tx.put(Keys.JOB + id, jobRow(j.spec, j.chunkSize, j.acceptedAtMs, Job.State.CANCELLED));
            return true;
        }

        @Override
        public void committed(long revision) {
            LOG.info("job {} cancelled", id);
            dropped();
        }

        @Override
        public void dropped() {
            Map<String, Object> known = finalState(id);
            if (known != null) {
                effects.answer(exchange, 200, known);
            } else {
                // Not settled in time, or the job ended meanwhile: the repeat will find out.
                effects.refuseWithRetry(exchange, 503, 1);
            }
        }
    }

    // ---- endings

    /** Writes final states, and puts ended jobs away once nothing of them is on any machine. */
    public void tick() {
        long now = effects.now();
        if (!store.loaded() || !store.healthy() || !membership.canAct() || now < nextSweepMs) {
            return;
        }
        nextSweepMs = now + 200;
        for (Job j : view.jobs()) {
            boolean over = (j.state() != Job.State.OPEN || j.allDone()) && j.claimCount() == 0;
            if (over && membership.schedules(j.spec.id()) && endingJobs.size() < 100 && endingJobs.add(j.spec.id())) {
                if (!store.enqueue(new EndJob(j.spec.id(), Math.min(txnOps, j.chunks.size() + 2)))) {
                    endingJobs.remove(j.spec.id());
                }
            }
        }
    }

    private final class EndJob implements Change {
        private final String id;
        private final int cost;
        private boolean archives;
        private boolean done;

        EndJob(String id, int cost) {
            this.id = id;
            this.cost = cost;
        }

        @Override
        public int rank() {
            return 9;
        }

        /** Polls are answered from the done set; the row is only put away. */
        @Override
        public long maxDelayMs() {
            return 1_000;
        }

        @Override
        public int maxWrites() {
            return cost;
        }

        @Override
        public boolean build(Transaction tx) {
            Job j = view.job(id);
            if (j == null || tx.writes(Keys.JOB + id)) {
                return false;
            }
            done = j.state() == Job.State.DONE || j.state() == Job.State.OPEN && j.allDone();
            if (!done && j.state() != Job.State.CANCELLED) {
                return false;
            }
            int places = 0;
            for (Chunk c : j.chunks) {
                places += c == null ? 0 : 1;
            }
            archives = j.claimCount() == 0 && places + 2 <= txnOps;
            if (archives) {
                for (Chunk c : j.chunks) {
                    if (c != null) {
                        tx.remove(Keys.placement(id, c.index));
                    }
                }
                tx.remove(Keys.JOB + id);
                tx.put(Keys.ENDED_JOB + id, StoreView.endedJobRow(done, j.spec.tasks()));
                return true;
            }
            if (j.state() == Job.State.OPEN) {
                for (Chunk c : j.chunks) {
                    tx.requireUnchanged(Keys.placement(id, c.index));
                    if (tx.conditionCount() > 3 * txnOps) {
                        break;
                    }
                }
                tx.put(Keys.JOB + id, jobRow(j.spec, j.chunkSize, j.acceptedAtMs, Job.State.DONE));
                return true;
            }
            if (j.claimCount() > 0) {
                return false;
            }
            int n = 0;
            for (Chunk c : j.chunks) {
                if (c != null && n++ < txnOps - 1) {
                    tx.remove(Keys.placement(id, c.index));
                }
            }
            tx.requireUnchanged(Keys.JOB + id);
            return true;
        }

        @Override
        public void committed(long revision) {
            endingJobs.remove(id);
            if (archives) {
                LOG.info("job {} ended: {}", id, done ? "done" : "cancelled");
            }
        }

        @Override
        public void dropped() {
            endingJobs.remove(id);
        }
    }
}
