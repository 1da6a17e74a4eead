package birchusher.kv;

import birchusher.core.TokenBucket;
import birchusher.kv.State.Event;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state service's key-value store as a deterministic state machine: no I/O, no clock, no threads. The caller passes the
 * time, in milliseconds, to each call.
 *
 * <p>A change is applied to the newest state at once and emitted as an {@link Append}; the caller reports with
 * {@link #onDurable} or {@link #onWriteFailed} whether it was made durable. <b>Every answer is held back until each entry
 * that it depends on is durable</b>, answers to reads and failed conditions included: otherwise a client could act on a
 * change that a power cut then undoes. After a failed write, every entry that is not durable is rolled back, changes are
 * refused until the disk has been tested by writing an entry that changes nothing.
 *
 * <p>Leases expire by the time of this machine, up to one tick late and never early. The remaining time of a lease is not
 * stored: after a start, and after a period in which changes were refused, each lease has its full time to live again, as
 * its holder's requests may have been refused meanwhile.
 *
 * <p>Order: the result of an entry is reported before the next ones are written, so {@link #onDurable} is never called for
 * an entry that follows one passed to {@link #onWriteFailed}.
 *
 * <p>Answering only after the log's sync, with many requests sharing one sync, is group commit (Gray and Reuter, Transaction
 * Processing, 1992).
 */
public final class Engine {
    private static final long DISK_RETRY_DELAY_MS = 1_000;
    /** Value of Retry-After in replies that may be retried. */
    private static final int RETRY_AFTER_S = 1;

    private static final int MAX_CONDITIONS_PER_WRITE = 4;
    /** Estimated size of a row in a response, besides its key and its value. */
    private static final int ROW_OVERHEAD_BYTES = 32;
    /** An entry that changes nothing, as no lease has the id 0; written to test the disk. */
    private static final Entry PROBE_ENTRY = new Entry.LeaseEnded(0);

    /** An action for the caller. */
    public sealed interface Output {}

    /** Sends the reply to the request with this id. */
    public record Answer(long requestId, Reply reply) implements Output {}

    /** Makes the entry durable as the log record with this sequence number; entries are emitted in log order. */
    public record Append(long sequence, Entry entry) implements Output {}

    /** An entry that is not durable yet, with the state and the number of events needed to roll it back. */
    private record PendingEntry(long sequence, State stateBefore, int eventCount) {}

    /**
     * An answer held back until the entry {@code sequence} is durable.
     *
     * @param appendedEntry whether the request made that entry
     */
    private record PendingAnswer(long sequence, long requestId, Reply reply, boolean appendedEntry) {}

    /** A watch that waits for changes. */
    private static final class Watcher {
        final String prefix;
        final long deadlineMs;
        long afterRevision;

        Watcher(String prefix, long afterRevision, long deadlineMs) {
            this.prefix = prefix;
            this.afterRevision = afterRevision;
            this.deadlineMs = deadlineMs;
        }
    }

    private final Limits limits;
    private final TokenBucket requestRateLimiter;
    private final TokenBucket writeRateLimiter;
    private State newestState;
    private long appendedSequence;
    private final ArrayDeque<PendingEntry> pendingEntries = new ArrayDeque<>();
    private final ArrayDeque<PendingAnswer> pendingAnswers = new ArrayDeque<>();
    private final ArrayDeque<Event> history;
    /** Changes up to and including this revision are no longer in {@code history}. */
    private long compactedRevision;

    private final Map<Long, Long> leaseExpiresAtMs = new HashMap<>();
    private final Map<Long, Watcher> watchers = new LinkedHashMap<>();
    private boolean readOnly;
    private boolean probing;
    private long nextProbeMs;
    private List<Output> outputs = new ArrayList<>();

    /** @param sequence the sequence number of the last record in the log; the next entry gets the one after it */
    public Engine(StateRestorer restored, long sequence, Limits limits, long nowMs) {
        this.limits = limits;
        this.requestRateLimiter = new TokenBucket(limits.maxRequestsPerS(), limits.maxRequestsPerS());
        this.writeRateLimiter = new TokenBucket(limits.maxWritesPerS(), limits.maxWritesPerS());
        this.newestState = restored.state();
        this.appendedSequence = sequence;
        this.history = restored.history();
        this.compactedRevision = restored.compactedRevision();
        restartLeaseTimers(nowMs);
    }

    /** The state after the last durable entry. It is immutable, so a snapshot may be written from it. */
    public State durableState() {
        return pendingEntries.isEmpty()
                ? newestState
                : pendingEntries.getFirst().stateBefore();
    }

    /** The sequence number of the last durable log record. */
    public long durableSequence() {
        return pendingEntries.isEmpty()
                ? appendedSequence
                : pendingEntries.getFirst().sequence() - 1;
    }

    /** Whether changes are refused because the last write failed; reads and lease renewals are still served. */
    public boolean readOnly() {
        return readOnly;
    }

    /**
     * Executes one request. Exactly one {@link Answer} follows for it, from this call or a later one.
     *
     * @param requestId must not have been used before
     */
    public List<Output> handle(long nowMs, long requestId, Request request) {
        if (!requestRateLimiter.tryTake(nowMs, 1)) {
            outputs.add(new Answer(requestId, new Reply.LimitExceeded(RETRY_AFTER_S)));
        } else if (request instanceof Request.Watch watch) {
            startWatch(nowMs, requestId, watch);
        } else {
            long sequenceBefore = appendedSequence;
            Reply reply = execute(nowMs, request);
            answerWhenDurable(requestId, reply, appendedSequence != sequenceBefore);
        }
        return drainOutputs();
    }

    /** Expires leases, answers watches that have timed out, and tests the disk again after a failed write. */
    public List<Output> tick(long nowMs) {
        if (readOnly) {
            if (!probing && nowMs >= nextProbeMs) {
                probing = true;
                append(PROBE_ENTRY);
            }
        } else {
            for (Lease lease : List.copyOf(newestState.leases().values())) {
                if (nowMs > leaseExpiresAtMs.get(lease.id())) {
                    endLease(lease.id());
                }
            }
        }
        for (Map.Entry<Long, Watcher> entry : List.copyOf(watchers.entrySet())) {
            if (nowMs >= entry.getValue().deadlineMs) {
                watchers.remove(entry.getKey());
                outputs.add(new Answer(
                        entry.getKey(),
                        new Reply.Events(List.of(), durableState().revision())));
            }
        }
        return drainOutputs();
    }

    /** Reports that all entries up to and including {@code sequence} are durable. */
    public List<Output> onDurable(long nowMs, long sequence) {
        while (!pendingEntries.isEmpty() && pendingEntries.getFirst().sequence() <= sequence) {
            pendingEntries.removeFirst();
        }
        if (readOnly) {
            readOnly = false;
            probing = false;
            restartLeaseTimers(nowMs);
        }
        while (!pendingAnswers.isEmpty() && pendingAnswers.getFirst().sequence() <= sequence) {
            PendingAnswer answer = pendingAnswers.removeFirst();
            outputs.add(new Answer(answer.requestId(), answer.reply()));
        }
        for (Map.Entry<Long, Watcher> entry : List.copyOf(watchers.entrySet())) {
            answerWatch(entry.getKey(), entry.getValue());
        }
        return drainOutputs();
    }

    /**
     * Reports that a write failed: every entry that is not durable is rolled back. Requests that made such an entry are
     * answered as not executed or, if {@code outcomeUnknown}, as having an unknown outcome; requests that only read a state
     * that is rolled back are answered as unavailable and may be repeated.
     *
     * @param outcomeUnknown whether the entries may reappear after a restart
     */
    public List<Output> onWriteFailed(long nowMs, boolean outcomeUnknown) {
        if (!pendingEntries.isEmpty()) {
            newestState = pendingEntries.getFirst().stateBefore();
            appendedSequence = pendingEntries.getFirst().sequence() - 1;
            pendingEntries.forEach(entry -> {
                for (int i = 0; i < entry.eventCount(); i++) {
                    history.pollLast();
                }
            });
            pendingEntries.clear();
        }
        readOnly = true;
        probing = false;
        nextProbeMs = nowMs + DISK_RETRY_DELAY_MS;
        restartLeaseTimers(nowMs);
        for (PendingAnswer answer : pendingAnswers) {
            outputs.add(new Answer(
                    answer.requestId(),
                    outcomeUnknown && answer.appendedEntry()
                            ? new Reply.OutcomeUnknown()
                            : new Reply.Unavailable(RETRY_AFTER_S)));
        }
        pendingAnswers.clear();
        return drainOutputs();
    }

    private List<Output> drainOutputs() {
        List<Output> drained = outputs;
        outputs = new ArrayList<>();
        return drained;
    }

    private void answerWhenDurable(long requestId, Reply reply, boolean appendedEntry) {
        // While changes are refused, the only pending entry is the probe, on which no answer depends, so reads are
        // answered at once.
        if (pendingEntries.isEmpty() || readOnly) {
            outputs.add(new Answer(requestId, reply));
        } else {
            pendingAnswers.add(new PendingAnswer(appendedSequence, requestId, reply, appendedEntry));
        }
    }

    private void append(Entry entry) {
        State stateBefore = newestState;
        int[] eventCount = {0};
        newestState = newestState.apply(entry, event -> {
            history.add(event);
            eventCount[0]++;
        });
        pendingEntries.add(new PendingEntry(++appendedSequence, stateBefore, eventCount[0]));
        compactedRevision = StateRestorer.trimHistory(history, compactedRevision);
        outputs.add(new Append(appendedSequence, entry));
    }

    private void restartLeaseTimers(long nowMs) {
        leaseExpiresAtMs.clear();
        newestState.leases().values().forEach(lease -> leaseExpiresAtMs.put(lease.id(), nowMs + lease.ttlMs()));
    }

    private void endLease(long leaseId) {
        append(new Entry.LeaseEnded(leaseId));
        leaseExpiresAtMs.remove(leaseId);
    }

    private Reply execute(long nowMs, Request request) {
        if (request instanceof Request.Get get) {
            Row row = newestState.rows().get(get.key());
            return row == null ? new Reply.NotFound(newestState.revision()) : new Reply.Found(get.key(), row);
        }
        if (request instanceof Request.Page page) {
            return readPage(page);
        }
        if (request instanceof Request.RenewLease renewal) {
            if (!newestState.leases().containsKey(renewal.leaseId())) {
                return new Reply.LeaseNotFound();
            }
            leaseExpiresAtMs.put(
                    renewal.leaseId(),
                    nowMs + newestState.leases().get(renewal.leaseId()).ttlMs());
            return new Reply.Done();
        }
        if (request instanceof Request.Transaction transaction) {
            return executeTransaction(nowMs, transaction);
        }
        if (readOnly) {
            return new Reply.Unavailable(RETRY_AFTER_S);
        }
        if (request instanceof Request.GrantLease grant) {
            if (grant.ttlMs() < Limits.MIN_TTL_MS || grant.ttlMs() > Limits.MAX_TTL_MS) {
                return new Reply.InvalidRequest("life_ms: " + Limits.MIN_TTL_MS + " to " + Limits.MAX_TTL_MS);
            }
            if (newestState.leases().size() >= Limits.MAX_LEASES) {
                return new Reply.LimitExceeded(RETRY_AFTER_S);
            }
            long newLeaseId = newestState.nextLeaseId();
            append(new Entry.LeaseGranted(newLeaseId, grant.ttlMs()));
            leaseExpiresAtMs.put(newLeaseId, nowMs + grant.ttlMs());
            return new Reply.LeaseGranted(newLeaseId);
        }
        long leaseId = ((Request.EndLease) request).leaseId();
        if (!newestState.leases().containsKey(leaseId)) {
            return new Reply.LeaseNotFound();
        }
        endLease(leaseId);
        return new Reply.Done();
    }

    private Reply readPage(Request.Page request) {
        int maxRows = Math.max(1, Math.min(request.maxRows(), Limits.MAX_PAGE_ROWS));
        boolean startsAfterKey = request.after() != null && request.after().compareTo(request.prefix()) >= 0;
        List<Map.Entry<String, Row>> rows = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, Row> entry : newestState
                .rows()
                .tailMap(startsAfterKey ? request.after() : request.prefix(), !startsAfterKey)
                .entrySet()) {
            if (!entry.getKey().startsWith(request.prefix())) {
                break;
            }
            bytes += entry.getKey().length() + entry.getValue().value().length + ROW_OVERHEAD_BYTES;
            if (rows.size() == maxRows || !rows.isEmpty() && bytes > Limits.MAX_PAGE_BYTES) {
                return new Reply.Rows(rows, true, newestState.revision());
            }
            rows.add(entry);
        }
        return new Reply.Rows(rows, false, newestState.revision());
    }

    /** Returns why the transaction is invalid whatever the state, or null if it is valid. */
    private String validationError(Request.Transaction transaction) {
        if (transaction.writes().size() > limits.maxWritesPerTransaction()) {
            return "writes: " + transaction.writes().size() + ", " + limits.maxWritesPerTransaction() + " at most";
        }
        if (transaction.conditions().size() > MAX_CONDITIONS_PER_WRITE * limits.maxWritesPerTransaction()) {
            return "if: " + transaction.conditions().size() + " conditions, "
                    + MAX_CONDITIONS_PER_WRITE * limits.maxWritesPerTransaction() + " at most";
        }
        if (transaction.sizeBytes() > Limits.MAX_TRANSACTION_BYTES) {
            return "body: over " + Limits.MAX_TRANSACTION_BYTES + " bytes";
        }
        if (transaction.largestValueBytes() > limits.maxValueBytes()) {
            return "value: over " + limits.maxValueBytes() + " bytes";
        }
        Set<String> keys = new HashSet<>();
        for (Write write : transaction.writes()) {
            if (!keys.add(write.key())) {
                return "writes: " + write.key() + " twice";
            }
            if (!isValidKey(write.key())) {
                return "writes: a key must have 1 to " + Limits.MAX_KEY_BYTES + " bytes and no spaces";
            }
        }
        return null;
    }

    /** Whether the text is a key: 1 to {@link Limits#MAX_KEY_BYTES} bytes of UTF-8 without spaces or control characters. */
    public static boolean isValidKey(String key) {
        return !key.isEmpty()
                && key.getBytes(StandardCharsets.UTF_8).length <= Limits.MAX_KEY_BYTES
                && key.chars().noneMatch(character -> character <= ' ');
    }

    private Reply executeTransaction(long nowMs, Request.Transaction transaction) {
        String error = validationError(transaction);
        if (error != null) {
            return new Reply.InvalidRequest(error);
        }
        if (!transaction.writes().isEmpty() && readOnly) {
            return new Reply.Unavailable(RETRY_AFTER_S);
        }
        if (!transaction.writes().isEmpty()
                && !writeRateLimiter.tryTake(nowMs, transaction.writes().size())) {
            return new Reply.LimitExceeded(RETRY_AFTER_S);
        }
        for (Write write : transaction.writes()) {
            if (write instanceof Write.Set set
                    && set.leaseId() != 0
                    && !newestState.leases().containsKey(set.leaseId())) {
                return new Reply.LeaseNotFound();
            }
        }
        List<String> failedKeys = new ArrayList<>();
        for (Request.Condition condition : transaction.conditions()) {
            Row row = newestState.rows().get(condition.key());
            if ((row == null ? 0 : row.modRevision()) != condition.modRevision()) {
                failedKeys.add(condition.key());
            }
        }
        if (!failedKeys.isEmpty()) {
            return new Reply.ConditionsFailed(failedKeys, newestState.revision());
        }
        if (transaction.writes().stream()
                .anyMatch(write ->
                        write instanceof Write.Set || newestState.rows().containsKey(write.key()))) {
            append(new Entry.RowsChanged(transaction.writes()));
        }
        return new Reply.Committed(newestState.revision());
    }

    private void startWatch(long nowMs, long requestId, Request.Watch request) {
        // A revision above the newest durable one belongs to a history that was lost, as after the restoration of an
        // old backup.
        if (request.afterRevision() < compactedRevision
                || request.afterRevision() > durableState().revision()) {
            outputs.add(new Answer(requestId, new Reply.RevisionCompacted()));
            return;
        }
        Watcher watcher = new Watcher(
                request.prefix(),
                request.afterRevision(),
                nowMs + Math.min(request.waitMs(), Limits.MAX_WATCH_WAIT_MS));
        if (!answerWatch(requestId, watcher)) {
            if (request.waitMs() <= 0) {
                outputs.add(new Answer(
                        requestId, new Reply.Events(List.of(), durableState().revision())));
            } else if (watchers.size() >= Limits.MAX_WATCHES) {
                outputs.add(new Answer(requestId, new Reply.LimitExceeded(RETRY_AFTER_S)));
            } else {
                watchers.put(requestId, watcher);
            }
        }
    }

    /** Answers the watch if a durable change matches it or its revision is compacted; returns whether it was answered. */
    private boolean answerWatch(long requestId, Watcher watcher) {
        long durableRevision = durableState().revision();
        if (watcher.afterRevision < compactedRevision) {
            watchers.remove(requestId);
            outputs.add(new Answer(requestId, new Reply.RevisionCompacted()));
            return true;
        }
        List<Event> events = new ArrayList<>();
        for (Iterator<Event> iterator = history.descendingIterator(); iterator.hasNext(); ) {
            Event event = iterator.next();
            if (event.revision() <= watcher.afterRevision) {
                break;
            }
            if (event.revision() <= durableRevision && event.key().startsWith(watcher.prefix)) {
                events.add(event);
            }
        }
        watcher.afterRevision = durableRevision;
        if (events.isEmpty()) {
            return false;
        }
        Collections.reverse(events);
        watchers.remove(requestId);
        outputs.add(new Answer(requestId, new Reply.Events(events, durableRevision)));
        return true;
    }
}
