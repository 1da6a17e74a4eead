package birchusher.store;

import birchusher.core.Effect.Destination;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.TokenBucket;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All dealings with the state service: reading everything once, following it, proving that the view is fresh, and
 * one transaction at a time that gathers the changes waiting.
 */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final int MAX_QUEUE_LENGTH = 4000;
    private static final long WATCH_WAIT_MS = 10_000;
    private static final long TXN_TIMEOUT_MS = 2_500;
    /** A quiet watch proves nothing until it is answered: then a read of its own does. */
    private static final long MAX_UNCONFIRMED_MS = 2_000;

    private static final int ROWS_PER_PAGE = 500;
    private static final int ENDED_JOBS_PER_PAGE = 1_000;
    private static final long MAX_BATCH_DELAY_MS = 2_000;
    private static final int MAX_CHANGES_PER_TXN = 64;
    private static final int MAX_TXN_BYTES = 64 * 1024;
    /** Changes up to this rank are waited for by somebody; the others leave so many rows to them. */
    private static final int MAX_AWAITED_RANK = 3;

    private static final int ROWS_KEPT_FOR_AWAITED = 2;

    /** {@code unclear}: sent once without an answer, it may yet be applied. */
    private record QueuedChange(Change change, long sequence, long queuedAtMs, boolean outcomeUnknown) {}

    /** {@code turn}: only what is read by a later request is as new as the question; two may come in one millisecond. */
    private record FreshnessRequest(long requestedAtMs, long sequence, Consumer<Boolean> callback) {}

    private final Effects effects;
    private final StoreView view;
    private final String address;
    private final Settings settings;
    private final TokenBucket requestLimit;
    private final TokenBucket writeLimit;
    private final PriorityQueue<QueuedChange> queue = new PriorityQueue<>((a, b) -> a.change.rank() != b.change.rank()
            ? Integer.compare(a.change.rank(), b.change.rank())
            : Long.compare(a.sequence, b.sequence));
    private final List<FreshnessRequest> whenUpToDate = new ArrayList<>();
    private final long watchGapMs;
    private final long freshnessCheckGapMs;
    private final long txnGapMs;
    private boolean loaded;
    private boolean loading;
    /** Where a reading goes on after a page that was refused; null: from the beginning. */
    private String loadResumeKey;

    private long loadResumeRevision;
    /** Whether all rows of ended jobs have been read since the live ones were, so that what is not in the view does not exist. */
    private boolean endedJobsLoaded;

    private boolean loadingEndedJobs;
    private String endedJobsAfterKey = "";
    private long nextEndedJobsLoadMs;
    private boolean watchPending;
    private boolean freshnessCheckPending;
    private boolean txnPending;
    private long nextChangeSequence;
    private long nextLoadMs;
    private long nextWatchMs;
    private long nextFreshnessCheckMs;
    private long nextTxnMs;
    /** When the first of the queued changes wants to be sent; the others then go with it. */
    private long earliestDueMs = Long.MAX_VALUE;

    private long upToDateAsOfMs = -1_000_000;
    private final long maxUnconfirmedMs;
    private long failingSinceMs = -1;
    /** After a conflict or an unclear answer, nothing is built before the view has come this far. */
    private long requiredRevision;

    private boolean freshnessCheckRequired;
    private long loadGeneration;
    /** Counts questions and reads, in their order. */
    private long nextRequestSequence;

    private long transactions;
    private long rowsWritten;
    private long conflicts;
    private long throttledRequests;

    public StoreClient(Effects effects, StoreView view, Settings s, Tuning t) {
        this.effects = effects;
        this.view = view;
        this.settings = s;
        this.address = s.store().toString();
        // The published limits are for all controllers together: each begins near its part and finds out what is free.
        double share = Math.min(1, t.num("store.share"));
        double fair = 1.0 / (1 + s.peers().size());
        double start = Math.min(share, 1.5 * fair);
        requestLimit = new TokenBucket(
                s.stateRps() * start,
                s.stateRps() * Math.min(share, fair * 0.8),
                s.stateRps() * share,
                s.stateRps() * start * 0.6);
        writeLimit = new TokenBucket(
                s.stateWriteRps() * start,
                s.stateWriteRps() * Math.min(share, fair * 0.8),
                s.stateWriteRps() * share,
                Math.max(s.txnOps(), s.stateWriteRps() * start));
        watchGapMs = t.ms("store.watch-gap-s");
        freshnessCheckGapMs = t.ms("store.fresh-gap-s");
        txnGapMs = t.ms("store.batch-gap-s");
        maxUnconfirmedMs = Math.min(MAX_UNCONFIRMED_MS, s.staleMs() / 4);
    }

    public boolean loaded() {
        return loaded;
    }

    /** Whether the state service answers us, as far as we have lately seen. */
    public boolean healthy() {
        return loaded && (failingSinceMs < 0 || effects.now() - failingSinceMs < 1_500);
    }

    /**
     * The moment up to which every change is certainly in the view: when we sent the last read that was answered with all changes.
     * Not when any answer came: a lease may be extended, and an answer may be long on its way, while the view lags.
     */
    public long upToDateAsOfMs() {
        return upToDateAsOfMs;
    }

    public boolean enqueue(Change c) {
        if (queue.size() >= MAX_QUEUE_LENGTH) {
            return false;
        }
        QueuedChange q = new QueuedChange(c, nextChangeSequence++, effects.now(), false);
        queue.add(q);
        earliestDueMs = Math.min(earliestDueMs, dueMs(q));
        sendDueRequests();
        return true;
    }

    /** Calls back with true once the view is at least as new as this moment, or with false when that can't be had. */
    public boolean whenUpToDate(Consumer<Boolean> then) {
        if (!healthy() || whenUpToDate.size() >= MAX_QUEUE_LENGTH) {
            return false;
        }
        whenUpToDate.add(new FreshnessRequest(effects.now(), nextRequestSequence++, then));
        sendDueRequests();
        return true;
    }

    /** One plain read; status 0 or 503 when it can't be had now. */
    public boolean get(String key, Effects.ReplyHandler reply) {
        if (!requestLimit.tryTake(effects.now(), 1)) {
            return false;
        }
        call("GET", Wire.STORE + "/" + key, null, 2_000, reply);
        return true;
    }

    /** Rows under a prefix, after a key or from the first one on ({@code ""}); as with {@link #get}. */
    public boolean readPage(String prefix, String after, int most, Effects.ReplyHandler reply) {
        if (!requestLimit.tryTake(effects.now(), 1)) {
            return false;
        }
        call("GET", pagePath(prefix, after, most), null, 2_000, reply);
        return true;
    }

    private static String pagePath(String prefix, String after, int most) {
        return Wire.STORE + "?" + Wire.PREFIX + "=" + prefix + "&" + Wire.AFTER + "=" + after + "&" + Wire.LIMIT + "="
                + most;
    }

    /** Lease calls are never held back: everything hangs on them. */
    public void callLease(String method, String path, Object body, Effects.ReplyHandler reply) {
        requestLimit.overdraw(effects.now(), 1);
        call(method, path, body, 3_000, reply);
    }

    private void call(String method, String path, Object body, int timeout, Effects.ReplyHandler reply) {
        effects.call(Destination.STORE, address, method, path, body, timeout, (status, m) -> {
            recordStatus(status);
            reply.onReply(status, m);
        });
    }

    private void recordStatus(int status) {
        if (status == 429) {
            throttledRequests++;
            requestLimit.block(
                    effects.now(), effects.now() + 100 + (effects.now() * 31 + nextChangeSequence * 17) % 150);
        } else if (status == 0 || status == 503) {
            if (failingSinceMs < 0) {
                failingSinceMs = effects.now();
            }
        } else {
            if (failingSinceMs >= 0 && effects.now() - failingSinceMs > 3_000) {
                LOG.info("state service answers again after {} ms", effects.now() - failingSinceMs);
            }
            failingSinceMs = -1;
        }
    }

    public void tick() {
        long now = effects.now();
        if (!loaded) {
            if (!loading && now >= nextLoadMs) {
                load();
            }
            return;
        }
        sendDueRequests();
        if (!endedJobsLoaded && !loadingEndedJobs && now >= nextEndedJobsLoadMs && healthy()) {
            loadEndedJobs();
        }
        if (failingSinceMs >= 0 || now - upToDateAsOfMs > maxUnconfirmedMs) {
            checkFreshness();
        }
    }

    /** Starts whatever may start now. */
    public void sendDueRequests() {
        if (!loaded) {
            return;
        }
        long now = effects.now();
        expireWaiting(now);
        boolean behind = !whenUpToDate.isEmpty() || freshnessCheckRequired || view.appliedRevision() < requiredRevision;
        if (!watchPending && now >= nextWatchMs && requestLimit.tryTake(now, 1)) {
            // Sent after whoever waits for a fresh view came, an answer at once serves the watch and them.
            watch(behind ? 0 : WATCH_WAIT_MS);
        } else if (watchPending && behind) {
            checkFreshness();
        }
        if (!txnPending
                && !queue.isEmpty()
                && now >= nextTxnMs
                && now >= earliestDueMs
                && !freshnessCheckRequired
                && view.appliedRevision() >= requiredRevision) {
            sendTransaction(now);
        }
    }

    private void expireWaiting(long now) {
        for (int i = 0; i < whenUpToDate.size(); ) {
            if (now - whenUpToDate.get(i).requestedAtMs > 1_200 || !healthy()) {
                whenUpToDate.remove(i).callback.accept(false);
            } else {
                i++;
            }
        }
        if (!queue.isEmpty() && (now & 7) == 0 || failingSinceMs >= 0) {
            List<Change> late = new ArrayList<>();
            queue.removeIf(q -> {
                boolean over = now > q.change.expiresAtMs();
                if (over) {
                    late.add(q.change);
                }
                return over;
            });
            late.forEach(Change::dropped);
        }
    }

    // ---- reading

    private void load() {
        loading = true;
        if (loadResumeKey != null) {
            // From where it was refused: begun anew each time, a long reading that everybody does at once never came to
            // its end.
            readPage(loadResumeKey, loadResumeRevision, loadGeneration);
            return;
        }
        loadGeneration++;
        endedJobsLoaded = false;
        loadingEndedJobs = false;
        endedJobsAfterKey = "";
        view.clear();
        readPage("", -1, loadGeneration);
    }

    /**
     * The final states of all jobs, a page at a time and after everything else. With them a poll about a job that has ended, or that
     * nobody submitted, costs no read of its own; before, each took one, and after a restart of all controllers most polls are such.
     */
    private void loadEndedJobs() {
        long gen = loadGeneration;
        loadingEndedJobs = readPage(Keys.ENDED_JOB, endedJobsAfterKey, ENDED_JOBS_PER_PAGE, (status, m) -> {
            if (gen != loadGeneration) {
                return;
            }
            loadingEndedJobs = false;
            nextEndedJobsLoadMs = effects.now() + (status == 200 ? 50 : 500);
            if (status != 200) {
                return;
            }
            for (Object o : Fields.list(m, Wire.ITEMS)) {
                endedJobsAfterKey = applyRow(Fields.map(o, "row"));
            }
            endedJobsLoaded = !Boolean.TRUE.equals(m.get(Wire.MORE));
        });
    }

    /** Takes over one row of a listing, and returns its key. One that can't be read must not stop the reading. */
    private String applyRow(Map<String, Object> row) {
        String key = Fields.text(row, Wire.KEY);
        view.put(key, row.get(Wire.VALUE), Fields.count(row, Wire.VERSION));
        return key;
    }

    /** Whether a job that a fresh view does not show was never accepted. */
    public boolean allEndedJobsKnown() {
        return endedJobsLoaded && view.allEndedJobsKept();
    }

    private void readPage(String after, long firstRevision, long gen) {
        requestLimit.overdraw(effects.now(), 1);
        call("GET", pagePath(Keys.LIVE, after, ROWS_PER_PAGE), null, 3_000, (status, m) -> {
            if (gen != loadGeneration) {
                return;
            }
            if (status != 200) {
                loading = false;
                nextLoadMs = effects.now() + 300;
                loadResumeKey = firstRevision >= 0 ? after : null;
                loadResumeRevision = firstRevision;
                return;
            }
            long revision = firstRevision >= 0 ? firstRevision : Fields.count(m, Wire.REVISION);
            String last = after;
            for (Object o : Fields.list(m, Wire.ITEMS)) {
                last = applyRow(Fields.map(o, "row"));
            }
            if (Boolean.TRUE.equals(m.get(Wire.MORE))) {
                readPage(last, revision, gen);
                return;
            }
            view.loadCompleted(revision);
            loading = false;
            loaded = true;
            loadResumeKey = null;
            freshnessCheckRequired = true;
            LOG.info("state read: revision {}, {} jobs", revision, view.jobs().size());
            sendDueRequests();
        });
    }

    private void watch(long wait) {
        watchPending = true;
        long gen = loadGeneration;
        long sent = effects.now();
        long at = nextRequestSequence++;
        boolean clears = freshnessCheckRequired;
        Effects.ReplyHandler reply = (status, m) -> {
            watchPending = false;
            // Every change wakes every controller's watch: the gap keeps that within each one's part of the requests.
            nextWatchMs = effects.now()
                    + (status == 200
                            ? Math.max(watchGapMs, Math.round(1_000 / (0.4 * requestLimit.tokensPerSecond())))
                            : 500);
            if (gen == loadGeneration) {
                applyWatchResponse(status, m, sent, at, clears);
            }
        };
        if (wait > 0) {
            effects.call(Destination.WATCH, address, "GET", watchPath(wait), null, (int) wait + 3_000, reply);
        } else {
            call("GET", watchPath(0), null, 2_000, reply);
        }
    }

    /** All changes up to the answer are in, so whoever came before the request was sent has its fresh view. */
    private void applyWatchResponse(int status, Map<String, Object> m, long sent, long at, boolean clears) {
        applyEvents(status, m);
        if (status != 200) {
            return;
        }
        upToDateAsOfMs = Math.max(upToDateAsOfMs, sent);
        if (clears) {
            freshnessCheckRequired = false;
        }
        List<FreshnessRequest> ready = new ArrayList<>();
        whenUpToDate.removeIf(w -> w.sequence < at && ready.add(w));
        ready.forEach(w -> w.callback.accept(true));
    }

    private String watchPath(long wait) {
        return Wire.WATCH + "?" + Wire.PREFIX + "=" + Keys.ALL + "&" + Wire.AFTER + "=" + view.appliedRevision()
                + "&wait_ms=" + wait;
    }

    /** A watch that does not wait tells the current revision and every change up to it: proof of a fresh view. */
    private void checkFreshness() {
        long now = effects.now();
        if (freshnessCheckPending || now < nextFreshnessCheckMs) {
            return;
        }
        if (now - upToDateAsOfMs > 2 * maxUnconfirmedMs) {
            // Our workers' leases hang on it.
            requestLimit.overdraw(now, 1);
        } else if (!requestLimit.tryTake(now, 1)) {
            return;
        }
        freshnessCheckPending = true;
        nextFreshnessCheckMs = now + freshnessCheckGapMs;
        long at = nextRequestSequence++;
        long gen = loadGeneration;
        boolean clears = freshnessCheckRequired;
        call("GET", watchPath(0), null, 2_000, (status, m) -> {
            freshnessCheckPending = false;
            if (gen != loadGeneration) {
                return;
            }
            applyWatchResponse(status, m, now, at, clears);
            if (status != 200) {
                nextFreshnessCheckMs = Math.max(nextFreshnessCheckMs, effects.now() + 250);
            }
            sendDueRequests();
        });
    }

    private void applyEvents(int status, Map<String, Object> m) {
        if (status == 410) {
            LOG.info("watch too old, reading everything again");
            loaded = false;
            nextLoadMs = effects.now();
            return;
        }
        if (status != 200) {
            return;
        }
        for (Object o : Fields.list(m, Wire.EVENTS)) {
            Map<String, Object> e = Fields.map(o, "event");
            long version = Fields.count(e, Wire.VERSION);
            if (e.get(Wire.PUT) != null) {
                view.put(Fields.text(e, Wire.PUT), e.get(Wire.VALUE), version);
            } else {
                view.remove(Fields.text(e, Wire.DELETE), version);
            }
        }
        view.appliedRevision(Fields.count(m, Wire.REVISION));
        sendDueRequests();
    }

    // ---- writing

    private void requeueOutcomeUnknown(QueuedChange q) {
        q.change.outcomeUnknown();
        requeue(new QueuedChange(q.change, q.sequence, q.queuedAtMs, true));
    }

    private void requeue(QueuedChange q) {
        queue.add(q);
        earliestDueMs = Math.min(earliestDueMs, dueMs(q));
    }

    /**
     * From when on a change wants to be sent for its own sake. The scarcer changes are, the longer those that can wait do,
     * so that more of them share the writing of a row.
     */
    private long dueMs(QueuedChange q) {
        long patience = q.change.maxDelayMs();
        return patience == 0
                ? q.queuedAtMs
                : q.queuedAtMs
                        + Math.min(patience, 50 + Math.round(MAX_BATCH_DELAY_MS * writeLimit.shortage(effects.now())));
    }

    /** How many rows this controller may expect to write within a time, at its present part of the changes. */
    public int expectedRowsWithin(long ms) {
        return (int) Math.round(writeLimit.tokensPerSecond() * ms / 1000);
    }

    /** How the state service was used: transactions, rows written, conflicts, refusals, queue, present rates. */
    public String logText() {
        return "txns=" + transactions + " rows=" + rowsWritten + " conflicts=" + conflicts + " too_many="
                + throttledRequests
                + " queue=" + queue.size() + " rps=" + Math.round(requestLimit.tokensPerSecond()) + " write_rps="
                + Math.round(writeLimit.tokensPerSecond());
    }

    /**
     * What a change leaves to those that somebody waits for: submissions, cancellations, replicas, takeovers. Without this, a swarm's
     * claims and ends took every row as soon as there was one, and each submission waited for the next.
     */
    private static int rowsKeptForAwaited(Change c) {
        return c.rank() > MAX_AWAITED_RANK ? ROWS_KEPT_FOR_AWAITED : 0;
    }

    /** A dozen full rows of a huge array pass what a transaction may hold: it would be refused whole, again and again. */
    private boolean fitsMaxBytes(Transaction tx, int rows) {
        return tx.maxBytes() + rows * settings.valueKb() * 1024 <= MAX_TXN_BYTES;
    }

    private void sendTransaction(long now) {
        Change first = queue.peek().change;
        if (!writeLimit.canTake(now, Math.min(settings.txnOps(), first.maxWrites()) + rowsKeptForAwaited(first))
                || !requestLimit.canTake(now, 1)) {
            return;
        }
        Transaction tx = new Transaction(view);
        List<QueuedChange> batch = new ArrayList<>();
        List<Change> done = new ArrayList<>();
        List<QueuedChange> waiting = new ArrayList<>();
        boolean full = false;
        while (!queue.isEmpty()) {
            QueuedChange q = queue.poll();
            int writesAfter = tx.writeCount() + q.change.maxWrites();
            full = full
                    || !batch.isEmpty()
                            && (writesAfter > settings.txnOps()
                                    || tx.conditionCount() + q.change.maxConditions(tx) > settings.txnOps() * 4
                                    || !writeLimit.canTake(now, writesAfter + rowsKeptForAwaited(q.change))
                                    || !fitsMaxBytes(tx, q.change.maxWrites())
                                    || batch.size() >= MAX_CHANGES_PER_TXN);
            if (full || dueMs(q) > now) {
                waiting.add(q);
            } else if (q.change.build(tx)) {
                batch.add(q);
            } else {
                done.add(q.change);
            }
        }
        for (QueuedChange q : waiting) {
            if (!batch.isEmpty()
                    && batch.size() < MAX_CHANGES_PER_TXN
                    && tx.conditionCount() + q.change.maxConditions(tx) <= settings.txnOps() * 4
                    && q.change.addsNoWrites(tx)
                    && fitsMaxBytes(tx, 1)) {
                if (q.change.build(tx)) {
                    batch.add(q);
                } else {
                    done.add(q.change);
                }
            } else {
                queue.add(q);
            }
        }
        earliestDueMs = Long.MAX_VALUE;
        queue.forEach(q -> earliestDueMs = Math.min(earliestDueMs, dueMs(q)));
        done.forEach(Change::dropped);
        if (batch.isEmpty()) {
            return;
        }
        txnPending = true;
        transactions++;
        rowsWritten += tx.writeCount();
        writeLimit.overdraw(now, tx.writeCount());
        requestLimit.overdraw(now, 1);
        long gen = loadGeneration;
        Map<String, Object> body = tx.toRequestBody();
        call("POST", Wire.MULTI, body, (int) TXN_TIMEOUT_MS, (status, m) -> {
            txnPending = false;
            nextTxnMs = effects.now() + txnGapMs;
            if (gen != loadGeneration) {
                freshnessCheckRequired = true;
                batch.forEach(this::requeueOutcomeUnknown);
                return;
            }
            switch (status) {
                case 200 -> {
                    long rev = Fields.count(m, Wire.REVISION);
                    tx.applyTo(view, rev);
                    batch.forEach(q -> q.change.committed(rev));
                }
                case 409 -> {
                    conflicts++;
                    Set<String> failed = new HashSet<>();
                    Fields.list(m, Wire.FAILED).forEach(k -> failed.add(String.valueOf(k)));
                    LOG.debug("conflict on {}", failed);
                    requiredRevision = Math.max(requiredRevision, Fields.countOr(m, Wire.REVISION, 0));
                    batch.forEach(q -> {
                        if (!q.change.settledByConflict(failed)) {
                            requeue(q);
                        }
                    });
                }
                case 400 -> {
                    nextTxnMs = effects.now() + 250;
                    LOG.error(
                            "transaction refused as malformed: {} ({} rows, {} conditions)",
                            m,
                            Fields.list(body, Wire.THEN).size(),
                            tx.conditionCount());
                    // Such as a lease that has ended. What was sent before without an answer may yet be applied,
                    // whatever becomes of this:
                    // a handover given up here would be answered for by two.
                    batch.forEach(q -> {
                        if (q.outcomeUnknown) {
                            requeue(q);
                        } else {
                            q.change.dropped();
                        }
                    });
                }
                case 429 -> {
                    writeLimit.block(effects.now(), effects.now() + 150 + (effects.now() * 13) % 200);
                    batch.forEach(this::requeue);
                }
                case 503 -> {
                    nextTxnMs = effects.now() + 250;
                    batch.forEach(this::requeue);
                }
                default -> {
                    // No answer: it may be applied later, so nothing is built before a fresh view.
                    freshnessCheckRequired = true;
                    nextTxnMs = effects.now() + 100;
                    batch.forEach(this::requeueOutcomeUnknown);
                }
            }
            sendDueRequests();
        });
    }
}
