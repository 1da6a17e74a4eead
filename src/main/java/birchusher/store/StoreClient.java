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
 * Client of the state service. Loads all live rows into the {@link StoreView} once, follows them with a watch, confirms that the view
 * is up to date, and sends the queued {@link Change}s, at most one transaction at a time. A transaction batches as many queued changes
 * as fit. Requests stay within this controller's adaptive rate limits, except those that must not wait: loading, leases and overdue
 * freshness checks.
 *
 * <p>Not thread-safe. Times are steady time in milliseconds.
 */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final int MAX_QUEUE_LENGTH = 4000;
    private static final long WATCH_WAIT_MS = 10_000;
    private static final long TXN_TIMEOUT_MS = 2_500;
    private static final int READ_TIMEOUT_MS = 2_000;
    private static final int LOAD_TIMEOUT_MS = 3_000;
    private static final int LEASE_CALL_TIMEOUT_MS = 3_000;
    /** Time that the state service has, on top of the wait itself, to answer a watch. */
    private static final int WATCH_TIMEOUT_MARGIN_MS = 3_000;

    private static final int LOAD_RETRY_DELAY_MS = 300;
    private static final int ENDED_JOBS_PAGE_GAP_MS = 50;
    private static final int ENDED_JOBS_RETRY_DELAY_MS = 500;
    private static final int WATCH_RETRY_DELAY_MS = 500;
    private static final int FRESHNESS_CHECK_RETRY_DELAY_MS = 250;
    private static final int TXN_RETRY_DELAY_MS = 250;
    private static final int UNANSWERED_TXN_DELAY_MS = 100;
    /** The state service counts as healthy until its requests have failed for this long. */
    private static final int MAX_FAILING_MS = 1_500;
    /** The end of an outage of the state service is logged if it lasted longer than this. */
    private static final int MIN_LOGGED_OUTAGE_MS = 3_000;

    private static final int MAX_FRESHNESS_WAIT_MS = 1_200;
    /** The part of this controller's request rate that its watches may use. */
    private static final double WATCH_REQUEST_SHARE = 0.4;
    /** The initial rates, as a multiple of this controller's fair share of the published limits. */
    private static final double INITIAL_SHARE_FACTOR = 1.5;
    /** The lowest rates, as a multiple of this controller's fair share of the published limits. */
    private static final double MIN_SHARE_FACTOR = 0.8;
    /** The requests that may be sent in a burst, in seconds of the initial request rate. */
    private static final double REQUEST_BURST_S = 0.6;
    /** Conditions per transaction, as a multiple of the writes that the settings allow. */
    private static final int CONDITIONS_PER_WRITE = 4;
    /**
     * After this long without a confirmation that the view is up to date, a separate read is sent: a pending watch confirms nothing
     * before it is answered.
     */
    private static final long MAX_UNCONFIRMED_MS = 2_000;

    private static final int ROWS_PER_PAGE = 500;
    private static final int ENDED_JOBS_PER_PAGE = 1_000;
    private static final long MAX_BATCH_DELAY_MS = 2_000;
    private static final long MIN_BATCH_DELAY_MS = 50;
    private static final int MAX_CHANGES_PER_TXN = 64;
    private static final int MAX_TXN_BYTES = 64 * 1024;
    /** A user or a controller waits for changes up to this rank. */
    private static final int MAX_AWAITED_RANK = 3;

    /** Rows of the write limit that changes of a higher rank leave to awaited ones. */
    private static final int ROWS_KEPT_FOR_AWAITED = 2;

    /** A change in the queue. {@code outcomeUnknown}: sent once without a response, so it may still be applied. */
    private record QueuedChange(Change change, long sequence, long queuedAtMs, boolean outcomeUnknown) {}

    /**
     * A caller that waits for an up-to-date view. Only a read with a higher {@code sequence} answers it; times would not do, as a read
     * and a request may fall into the same millisecond.
     */
    private record FreshnessRequest(long requestedAtMs, long sequence, Consumer<Boolean> callback) {}

    private final Effects effects;
    private final StoreView view;
    private final String address;
    private final Settings settings;
    private final TokenBucket requestLimit;
    private final TokenBucket writeLimit;
    private final PriorityQueue<QueuedChange> queue =
            new PriorityQueue<>((left, right) -> left.change.rank() != right.change.rank()
                    ? Integer.compare(left.change.rank(), right.change.rank())
                    : Long.compare(left.sequence, right.sequence));
    private final List<FreshnessRequest> freshnessRequests = new ArrayList<>();
    private final long watchGapMs;
    private final long freshnessCheckGapMs;
    private final long txnGapMs;
    private boolean loaded;
    private boolean loading;
    /** The key after which loading resumes once a page has failed; null: from the beginning. */
    private String loadResumeKey;

    /** The revision of the first page of the load to be resumed. */
    private long loadResumeRevision;
    /** Whether all rows of ended jobs have been read since the live rows were, so that a job absent from the view does not exist. */
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
    /** The earliest due time of the queued changes; no transaction is built before it. */
    private long earliestDueMs = Long.MAX_VALUE;

    private long upToDateAsOfMs = -1_000_000;
    private final long maxUnconfirmedMs;
    private long failingSinceMs = -1;
    /** After a conflict, no transaction is built before the view has reached this revision. */
    private long requiredRevision;

    /** After a load or a transaction without a response, no transaction is built before a read sent later has been answered. */
    private boolean freshnessCheckRequired;

    /** Number of loads begun from the first page; responses to requests of an earlier load are ignored. */
    private long loadGeneration;
    /** Orders freshness requests and reads. */
    private long nextRequestSequence;

    private long transactions;
    private long rowsWritten;
    private long conflicts;
    /** Requests and transactions answered with status 429. */
    private long throttledRequests;

    public StoreClient(Effects effects, StoreView view, Settings settings, Tuning tuning) {
        this.effects = effects;
        this.view = view;
        this.settings = settings;
        this.address = settings.stateAddress().toString();
        // The published limits hold for all controllers together: each starts near its fair share and adapts.
        double share = Math.min(1, tuning.value("store.share"));
        double fairShare = 1.0 / (1 + settings.peers().size());
        double initialShare = Math.min(share, INITIAL_SHARE_FACTOR * fairShare);
        requestLimit = new TokenBucket(
                settings.stateRequestsPerS() * initialShare,
                settings.stateRequestsPerS() * Math.min(share, fairShare * MIN_SHARE_FACTOR),
                settings.stateRequestsPerS() * share,
                settings.stateRequestsPerS() * initialShare * REQUEST_BURST_S);
        writeLimit = new TokenBucket(
                settings.stateWritesPerS() * initialShare,
                settings.stateWritesPerS() * Math.min(share, fairShare * MIN_SHARE_FACTOR),
                settings.stateWritesPerS() * share,
                Math.max(settings.maxTransactionOps(), settings.stateWritesPerS() * initialShare));
        watchGapMs = tuning.durationMs("store.watch-gap-s");
        freshnessCheckGapMs = tuning.durationMs("store.fresh-gap-s");
        txnGapMs = tuning.durationMs("store.batch-gap-s");
        maxUnconfirmedMs = Math.min(MAX_UNCONFIRMED_MS, settings.stalenessLimitMs() / 4);
    }

    /** Returns whether all live rows have been read. */
    public boolean loaded() {
        return loaded;
    }

    /** Returns whether the rows are loaded and requests to the state service have been failing for less than 1.5 s, if at all. */
    public boolean healthy() {
        return loaded && (failingSinceMs < 0 || effects.now() - failingSinceMs < MAX_FAILING_MS);
    }

    /**
     * Returns the time up to which every change is certainly in the view: when the latest read that was answered with all changes was
     * sent. The time of a response does not qualify: a lease may be extended, or a response be delayed, while the view lags.
     */
    public long upToDateAsOfMs() {
        return upToDateAsOfMs;
    }

    /** Queues a change and sends it as soon as it is due; returns false if the queue is full. */
    public boolean enqueue(Change change) {
        if (queue.size() >= MAX_QUEUE_LENGTH) {
            return false;
        }
        QueuedChange queued = new QueuedChange(change, nextChangeSequence++, effects.now(), false);
        queue.add(queued);
        earliestDueMs = Math.min(earliestDueMs, dueMs(queued));
        sendDueRequests();
        return true;
    }

    /**
     * Calls back with true once the view holds every change up to the time of this call, or with false if that takes over 1.2 s or the
     * state service fails. Returns false, without a later callback, if the state service is failing or too many callers wait.
     */
    public boolean whenUpToDate(Consumer<Boolean> callback) {
        if (!healthy() || freshnessRequests.size() >= MAX_QUEUE_LENGTH) {
            return false;
        }
        freshnessRequests.add(new FreshnessRequest(effects.now(), nextRequestSequence++, callback));
        sendDueRequests();
        return true;
    }

    /**
     * Reads one row by its key. The handler gets status 0 (no response) or 503 if the state service is unavailable. Returns false,
     * without calling the handler, if the rate limit is exhausted.
     */
    public boolean get(String key, Effects.ReplyHandler replyHandler) {
        if (!requestLimit.tryTake(effects.now(), 1)) {
            return false;
        }
        call("GET", Wire.STORE + "/" + key, null, READ_TIMEOUT_MS, replyHandler);
        return true;
    }

    /** Reads up to {@code limit} rows under a prefix, from after a key or from the first ({@code ""}); otherwise as {@link #get}. */
    public boolean readPage(String prefix, String afterKey, int limit, Effects.ReplyHandler replyHandler) {
        if (!requestLimit.tryTake(effects.now(), 1)) {
            return false;
        }
        call("GET", pagePath(prefix, afterKey, limit), null, READ_TIMEOUT_MS, replyHandler);
        return true;
    }

    private static String pagePath(String prefix, String afterKey, int limit) {
        return Wire.STORE + "?" + Wire.PREFIX + "=" + prefix + "&" + Wire.AFTER + "=" + afterKey + "&" + Wire.LIMIT
                + "=" + limit;
    }

    /** Sends a lease request, regardless of the rate limit, as a late renewal would end this controller's membership. */
    public void callLease(String method, String path, Object body, Effects.ReplyHandler replyHandler) {
        requestLimit.overdraw(effects.now(), 1);
        call(method, path, body, LEASE_CALL_TIMEOUT_MS, replyHandler);
    }

    private void call(String method, String path, Object body, int timeoutMs, Effects.ReplyHandler replyHandler) {
        effects.call(Destination.STORE, address, method, path, body, timeoutMs, (status, response) -> {
            recordStatus(status);
            replyHandler.onReply(status, response);
        });
    }

    private void recordStatus(int status) {
        if (status == 429) {
            throttledRequests++;
            // A pause of 100 to 249 ms that varies from call to call.
            requestLimit.block(
                    effects.now(), effects.now() + 100 + (effects.now() * 31 + nextChangeSequence * 17) % 150);
        } else if (status == 0 || status == 503) {
            if (failingSinceMs < 0) {
                failingSinceMs = effects.now();
            }
        } else {
            if (failingSinceMs >= 0 && effects.now() - failingSinceMs > MIN_LOGGED_OUTAGE_MS) {
                LOG.info("state service reachable again after {} ms", effects.now() - failingSinceMs);
            }
            failingSinceMs = -1;
        }
    }

    /** Loads the rows if needed, and sends what is due; to be called periodically. */
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

    /** Sends the watch, freshness check and transaction that are due and not pending. Does nothing before the rows are loaded. */
    public void sendDueRequests() {
        if (!loaded) {
            return;
        }
        long now = effects.now();
        expireWaiting(now);
        boolean catchUpNeeded =
                !freshnessRequests.isEmpty() || freshnessCheckRequired || view.appliedRevision() < requiredRevision;
        if (!watchPending && now >= nextWatchMs && requestLimit.tryTake(now, 1)) {
            // Sent after the waiting freshness requests, so an immediate response serves both the watch and them.
            watch(catchUpNeeded ? 0 : WATCH_WAIT_MS);
        } else if (watchPending && catchUpNeeded) {
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
        for (int i = 0; i < freshnessRequests.size(); ) {
            if (now - freshnessRequests.get(i).requestedAtMs > MAX_FRESHNESS_WAIT_MS || !healthy()) {
                freshnessRequests.remove(i).callback.accept(false);
            } else {
                i++;
            }
        }
        if (!queue.isEmpty() && (now & 7) == 0 || failingSinceMs >= 0) {
            List<Change> expired = new ArrayList<>();
            queue.removeIf(queued -> {
                boolean isExpired = now > queued.change.expiresAtMs();
                if (isExpired) {
                    expired.add(queued.change);
                }
                return isExpired;
            });
            expired.forEach(Change::dropped);
        }
    }

    // ---- reads

    private void load() {
        loading = true;
        if (loadResumeKey != null) {
            // Resumes at the failed page: restarted from the beginning each time, a long load that all controllers
            // did at once never finished.
            loadPage(loadResumeKey, loadResumeRevision, loadGeneration);
            return;
        }
        loadGeneration++;
        endedJobsLoaded = false;
        loadingEndedJobs = false;
        endedJobsAfterKey = "";
        view.clear();
        loadPage("", -1, loadGeneration);
    }

    /**
     * Reads the next page of the final states of all jobs, after the live rows. With them, a poll of a job that has ended or was never
     * submitted needs no read of its own; after a restart of all controllers most polls are of that kind.
     */
    private void loadEndedJobs() {
        long generation = loadGeneration;
        loadingEndedJobs = readPage(Keys.ENDED_JOB, endedJobsAfterKey, ENDED_JOBS_PER_PAGE, (status, response) -> {
            if (generation != loadGeneration) {
                return;
            }
            loadingEndedJobs = false;
            nextEndedJobsLoadMs = effects.now() + (status == 200 ? ENDED_JOBS_PAGE_GAP_MS : ENDED_JOBS_RETRY_DELAY_MS);
            if (status != 200) {
                return;
            }
            for (Object item : Fields.list(response, Wire.ROWS)) {
                endedJobsAfterKey = applyRow(Fields.map(item, "row"));
            }
            endedJobsLoaded = !Boolean.TRUE.equals(response.get(Wire.HAS_MORE));
        });
    }

    /** Puts one row of a page into the view and returns its key. A row that the view can't read does not stop the load. */
    private String applyRow(Map<String, Object> row) {
        String key = Fields.text(row, Wire.KEY);
        view.put(key, row.get(Wire.VALUE), Fields.count(row, Wire.VERSION));
        return key;
    }

    /** Returns whether a job that is absent from an up-to-date view was never accepted. */
    public boolean allEndedJobsKnown() {
        return endedJobsLoaded && view.allEndedJobsKept();
    }

    /**
     * Reads a page of the live rows and then the next ones.
     *
     * @param firstRevision revision of the load's first page, negative if this is the first
     */
    private void loadPage(String afterKey, long firstRevision, long generation) {
        requestLimit.overdraw(effects.now(), 1);
        call("GET", pagePath(Keys.LIVE, afterKey, ROWS_PER_PAGE), null, LOAD_TIMEOUT_MS, (status, response) -> {
            if (generation != loadGeneration) {
                return;
            }
            if (status != 200) {
                loading = false;
                nextLoadMs = effects.now() + LOAD_RETRY_DELAY_MS;
                loadResumeKey = firstRevision >= 0 ? afterKey : null;
                loadResumeRevision = firstRevision;
                return;
            }
            long revision = firstRevision >= 0 ? firstRevision : Fields.count(response, Wire.REVISION);
            String last = afterKey;
            for (Object item : Fields.list(response, Wire.ROWS)) {
                last = applyRow(Fields.map(item, "row"));
            }
            if (Boolean.TRUE.equals(response.get(Wire.HAS_MORE))) {
                loadPage(last, revision, generation);
                return;
            }
            view.loadCompleted(revision);
            loading = false;
            loaded = true;
            loadResumeKey = null;
            freshnessCheckRequired = true;
            LOG.info("state loaded: revision {}, {} jobs", revision, view.jobs().size());
            sendDueRequests();
        });
    }

    private void watch(long waitMs) {
        watchPending = true;
        long generation = loadGeneration;
        long sentAtMs = effects.now();
        long sequence = nextRequestSequence++;
        boolean meetsRequiredCheck = freshnessCheckRequired;
        Effects.ReplyHandler replyHandler = (status, response) -> {
            watchPending = false;
            // Every change completes the watches of all controllers: the gap limits the watches to a share of this
            // controller's request rate.
            nextWatchMs = effects.now()
                    + (status == 200
                            ? Math.max(
                                    watchGapMs,
                                    Math.round(1_000 / (WATCH_REQUEST_SHARE * requestLimit.tokensPerSecond())))
                            : WATCH_RETRY_DELAY_MS);
            if (generation == loadGeneration) {
                applyWatchResponse(status, response, sentAtMs, sequence, meetsRequiredCheck);
            }
        };
        if (waitMs > 0) {
            effects.call(
                    Destination.WATCH,
                    address,
                    "GET",
                    watchPath(waitMs),
                    null,
                    (int) waitMs + WATCH_TIMEOUT_MARGIN_MS,
                    replyHandler);
        } else {
            call("GET", watchPath(0), null, READ_TIMEOUT_MS, replyHandler);
        }
    }

    /**
     * Applies a watch response, which holds all changes up to it, and answers the freshness requests made before the watch was sent.
     *
     * @param sequence request sequence number of the watch
     * @param meetsRequiredCheck the watch was sent when a freshness check was required already
     */
    private void applyWatchResponse(
            int status, Map<String, Object> response, long sentAtMs, long sequence, boolean meetsRequiredCheck) {
        applyEvents(status, response);
        if (status != 200) {
            return;
        }
        upToDateAsOfMs = Math.max(upToDateAsOfMs, sentAtMs);
        if (meetsRequiredCheck) {
            freshnessCheckRequired = false;
        }
        List<FreshnessRequest> ready = new ArrayList<>();
        freshnessRequests.removeIf(request -> request.sequence < sequence && ready.add(request));
        ready.forEach(request -> request.callback.accept(true));
    }

    private String watchPath(long waitMs) {
        return Wire.WATCH + "?" + Wire.PREFIX + "=" + Keys.ALL + "&" + Wire.AFTER + "=" + view.appliedRevision()
                + "&wait_ms=" + waitMs;
    }

    /** Sends a watch that does not wait: its response has the current revision and every change up to it. */
    private void checkFreshness() {
        long now = effects.now();
        if (freshnessCheckPending || now < nextFreshnessCheckMs) {
            return;
        }
        if (now - upToDateAsOfMs > 2 * maxUnconfirmedMs) {
            // Exceeds the rate limit if need be, as the leases of this controller's workers depend on it.
            requestLimit.overdraw(now, 1);
        } else if (!requestLimit.tryTake(now, 1)) {
            return;
        }
        freshnessCheckPending = true;
        nextFreshnessCheckMs = now + freshnessCheckGapMs;
        long sequence = nextRequestSequence++;
        long generation = loadGeneration;
        boolean meetsRequiredCheck = freshnessCheckRequired;
        call("GET", watchPath(0), null, READ_TIMEOUT_MS, (status, response) -> {
            freshnessCheckPending = false;
            if (generation != loadGeneration) {
                return;
            }
            applyWatchResponse(status, response, now, sequence, meetsRequiredCheck);
            if (status != 200) {
                nextFreshnessCheckMs = Math.max(nextFreshnessCheckMs, effects.now() + FRESHNESS_CHECK_RETRY_DELAY_MS);
            }
            sendDueRequests();
        });
    }

    private void applyEvents(int status, Map<String, Object> response) {
        if (status == 410) {
            LOG.info("revision of the watch no longer kept by the state service; loading all rows again");
            loaded = false;
            nextLoadMs = effects.now();
            return;
        }
        if (status != 200) {
            return;
        }
        WatchResponse.parse(response).applyTo(view);
        sendDueRequests();
    }

    // ---- writes

    private void requeueOutcomeUnknown(QueuedChange queued) {
        queued.change.outcomeUnknown();
        requeue(new QueuedChange(queued.change, queued.sequence, queued.queuedAtMs, true));
    }

    private void requeue(QueuedChange queued) {
        queue.add(queued);
        earliestDueMs = Math.min(earliestDueMs, dueMs(queued));
    }

    /**
     * Returns the time from which a change is sent even if no other change is due. The scarcer writes are, the longer changes with a
     * delay wait, so that more of them share the write of a row.
     */
    private long dueMs(QueuedChange queued) {
        long maxDelayMs = queued.change.maxDelayMs();
        return maxDelayMs == 0
                ? queued.queuedAtMs
                : queued.queuedAtMs
                        + Math.min(
                                maxDelayMs,
                                MIN_BATCH_DELAY_MS
                                        + Math.round(MAX_BATCH_DELAY_MS * writeLimit.shortage(effects.now())));
    }

    /** Returns the highest number of rows that the state service accepts in one transaction. */
    public int maxWritesPerTransaction() {
        return settings.maxTransactionOps();
    }

    /** Returns how many rows this controller can expect to write within a time at its current write rate. */
    public int expectedRowsWithin(long ms) {
        return (int) Math.round(writeLimit.tokensPerSecond() * ms / 1000);
    }

    /** Returns the counters for the log: transactions, rows written, conflicts, throttled requests, queue length, rates, loads, view. */
    public String logText() {
        return "txns=" + transactions + " rows=" + rowsWritten + " conflicts=" + conflicts + " too_many="
                + throttledRequests
                + " queue=" + queue.size() + " rps=" + Math.round(requestLimit.tokensPerSecond()) + " write_rps="
                + Math.round(writeLimit.tokensPerSecond()) + " loads=" + loadGeneration + " " + view.logText();
    }

    /**
     * Returns how many rows of the write limit a change leaves to awaited ones: submissions, cancellations, replicas and takeovers.
     * Without this, the claims and outcomes of a large array of short tasks took every row as it became free, and each submission
     * waited for the next.
     */
    private static int rowsKeptForAwaited(Change change) {
        return change.rank() > MAX_AWAITED_RANK ? ROWS_KEPT_FOR_AWAITED : 0;
    }

    /**
     * Returns whether so many more rows fit. A dozen full rows of a huge array exceed the size of a transaction, which would be rejected
     * as a whole again and again.
     */
    private boolean fitsMaxBytes(Transaction tx, int rows) {
        return tx.maxBytes() + rows * settings.maxValueKb() * 1024 <= MAX_TXN_BYTES;
    }

    private void sendTransaction(long now) {
        Change first = queue.peek().change;
        if (!writeLimit.canTake(
                        now, Math.min(settings.maxTransactionOps(), first.maxWrites()) + rowsKeptForAwaited(first))
                || !requestLimit.canTake(now, 1)) {
            return;
        }
        Transaction tx = new Transaction(view);
        List<QueuedChange> batch = new ArrayList<>();
        List<Change> nothingToDo = new ArrayList<>();
        List<QueuedChange> deferred = new ArrayList<>();
        boolean full = false;
        while (!queue.isEmpty()) {
            QueuedChange queued = queue.poll();
            int writesAfter = tx.writeCount() + queued.change.maxWrites();
            full = full
                    || !batch.isEmpty()
                            && (writesAfter > settings.maxTransactionOps()
                                    || tx.conditionCount() + queued.change.maxConditions(tx)
                                            > settings.maxTransactionOps() * CONDITIONS_PER_WRITE
                                    || !writeLimit.canTake(now, writesAfter + rowsKeptForAwaited(queued.change))
                                    || !fitsMaxBytes(tx, queued.change.maxWrites())
                                    || batch.size() >= MAX_CHANGES_PER_TXN);
            if (full || dueMs(queued) > now) {
                deferred.add(queued);
            } else if (queued.change.build(tx)) {
                batch.add(queued);
            } else {
                nothingToDo.add(queued.change);
            }
        }
        for (QueuedChange queued : deferred) {
            if (!batch.isEmpty()
                    && batch.size() < MAX_CHANGES_PER_TXN
                    && tx.conditionCount() + queued.change.maxConditions(tx)
                            <= settings.maxTransactionOps() * CONDITIONS_PER_WRITE
                    && queued.change.addsNoWrites(tx)
                    && fitsMaxBytes(tx, 1)) {
                if (queued.change.build(tx)) {
                    batch.add(queued);
                } else {
                    nothingToDo.add(queued.change);
                }
            } else {
                queue.add(queued);
            }
        }
        earliestDueMs = Long.MAX_VALUE;
        queue.forEach(queued -> earliestDueMs = Math.min(earliestDueMs, dueMs(queued)));
        nothingToDo.forEach(Change::dropped);
        if (batch.isEmpty()) {
            return;
        }
        txnPending = true;
        transactions++;
        rowsWritten += tx.writeCount();
        writeLimit.overdraw(now, tx.writeCount());
        requestLimit.overdraw(now, 1);
        long generation = loadGeneration;
        Map<String, Object> body = tx.toRequestBody();
        call("POST", Wire.TRANSACTIONS, body, (int) TXN_TIMEOUT_MS, (status, response) -> {
            txnPending = false;
            nextTxnMs = effects.now() + txnGapMs;
            if (generation != loadGeneration) {
                freshnessCheckRequired = true;
                batch.forEach(this::requeueOutcomeUnknown);
                return;
            }
            switch (status) {
                case 200 -> {
                    long revision = Fields.count(response, Wire.REVISION);
                    tx.applyTo(view, revision);
                    batch.forEach(queued -> queued.change.committed(revision));
                }
                case 409 -> {
                    conflicts++;
                    Set<String> failedKeys = new HashSet<>();
                    Fields.list(response, Wire.FAILED_CONDITIONS).forEach(key -> failedKeys.add(String.valueOf(key)));
                    LOG.debug("conflict on {}", failedKeys);
                    requiredRevision = Math.max(requiredRevision, Fields.countOr(response, Wire.REVISION, 0));
                    batch.forEach(queued -> {
                        if (!queued.change.settledByConflict(failedKeys)) {
                            requeue(queued);
                        }
                    });
                }
                case 400 -> {
                    nextTxnMs = effects.now() + TXN_RETRY_DELAY_MS;
                    LOG.error(
                            "transaction rejected as invalid: {} ({} rows, {} conditions)",
                            response,
                            Fields.list(body, Wire.WRITES).size(),
                            tx.conditionCount());
                    // For example, a lease in it has expired. A change that was sent earlier without a response may
                    // still be applied, whatever became of this transaction: with a shard handover dropped here, two
                    // controllers would answer the workers of the shard.
                    batch.forEach(queued -> {
                        if (queued.outcomeUnknown) {
                            requeue(queued);
                        } else {
                            queued.change.dropped();
                        }
                    });
                }
                case 429 -> {
                    // A pause of 150 to 349 ms that varies from call to call.
                    writeLimit.block(effects.now(), effects.now() + 150 + (effects.now() * 13) % 200);
                    batch.forEach(this::requeue);
                }
                case 503 -> {
                    nextTxnMs = effects.now() + TXN_RETRY_DELAY_MS;
                    batch.forEach(this::requeue);
                }
                default -> {
                    // No response: it may still be applied, so nothing is built before the view is up to date.
                    freshnessCheckRequired = true;
                    nextTxnMs = effects.now() + UNANSWERED_TXN_DELAY_MS;
                    batch.forEach(this::requeueOutcomeUnknown);
                }
            }
            sendDueRequests();
        });
    }
}
