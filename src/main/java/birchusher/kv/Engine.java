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
 * The state service as its protocol publishes it, as a pure machine: no I/O, no clock, no thread.
 *
 * <p>A change is applied at once to the newest state and given out to be made durable; {@link #durable} and {@link #failed} tell
 * what became of it. <b>Every answer waits until everything it rests on is durable</b>, reads and failed conditions too:
 * otherwise a client could act on what a power cut then takes back. After a failure all that is not durable is taken
 * back here, changes are refused for a while, and an empty entry tries the disk before any client's change does.
 *
 * <p>Leases end by this machine's time, up to a tick late and never early. How long they have left is not kept: after a
 * start, and after changes were impossible, each has its full time again, as its holder may have been refused meanwhile.
 *
 * <p>What became of an entry is told before the next ones are tried: {@link #durable} is never told after a {@link #failed} of
 * an entry before it.
 *
 * <p>Source: the answer after the log's sync is group commit (Gray and Reuter, Transaction Processing, 1992).
 */
public final class Engine {
    private static final long DISK_RETRY_DELAY_MS = 1_000;
    /** An entry that changes nothing: no lease has this number. */
    private static final Entry PROBE_ENTRY = new Entry.LeaseEnded(0);

    /** What the edge has to do. */
    public sealed interface Output {}

    /** The reply to the request with this ticket. */
    public record Answer(long requestId, Reply reply) implements Output {}

    /** Make it durable as this record, in this order. */
    public record Append(long sequence, Entry entry) implements Output {}

    /** An entry not durable yet, and how to take it back. */
    private record PendingEntry(long sequence, State stateBefore, int eventCount) {}

    private record PendingAnswer(long sequence, long requestId, Reply reply, boolean appendedEntry) {}

    private static final class Watcher {
        final String prefix;
        final long deadlineMs;
        long afterRevision;

        Watcher(String prefix, long since, long until) {
            this.prefix = prefix;
            this.afterRevision = since;
            this.deadlineMs = until;
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
    /** Up to this revision, changes are not remembered. */
    private long compactedRevision;

    private final Map<Long, Long> leaseExpiresAtMs = new HashMap<>();
    private final Map<Long, Watcher> watchers = new LinkedHashMap<>();
    private boolean readOnly;
    private boolean probing;
    private long nextProbeMs;
    private List<Output> outputs = new ArrayList<>();

    /** @param sequence the last record kept; the next entry is one more */
    public Engine(StateRestorer kept, long sequence, Limits limits, long now) {
        this.limits = limits;
        this.requestRateLimiter = new TokenBucket(limits.maxRequestsPerS(), limits.maxRequestsPerS());
        this.writeRateLimiter = new TokenBucket(limits.maxWritesPerS(), limits.maxWritesPerS());
        this.newestState = kept.state();
        this.appendedSequence = sequence;
        this.history = kept.history();
        this.compactedRevision = kept.compactedRevision();
        restartLeaseTimers(now);
    }

    /** All that is durable, for a snapshot; never changes. */
    public State durableState() {
        return pendingEntries.isEmpty()
                ? newestState
                : pendingEntries.getFirst().stateBefore();
    }

    /** The last record that is durable. */
    public long durableSequence() {
        return pendingEntries.isEmpty()
                ? appendedSequence
                : pendingEntries.getFirst().sequence() - 1;
    }

    /** Whether changes are refused as they can't be made durable. */
    public boolean readOnly() {
        return readOnly;
    }

    /** One request; its answer comes now or later, always exactly one. Tickets are never used twice. */
    public List<Output> handle(long now, long ticket, Request r) {
        if (!requestRateLimiter.tryTake(now, 1)) {
            outputs.add(new Answer(ticket, new Reply.LimitExceeded(1)));
        } else if (r instanceof Request.Watch w) {
            startWatch(now, ticket, w);
        } else {
            long before = appendedSequence;
            Reply reply = execute(now, r);
            answerWhenDurable(ticket, reply, appendedSequence != before);
        }
        return drainOutputs();
    }

    /** Ends leases and watches whose time is over, and tries the disk again after a failure. */
    public List<Output> tick(long now) {
        if (readOnly) {
            if (!probing && now >= nextProbeMs) {
                probing = true;
                append(PROBE_ENTRY);
            }
        } else {
            for (Lease l : List.copyOf(newestState.leases().values())) {
                if (now > leaseExpiresAtMs.get(l.id())) {
                    endLease(l.id());
                }
            }
        }
        for (Map.Entry<Long, Watcher> e : List.copyOf(watchers.entrySet())) {
            if (now >= e.getValue().deadlineMs) {
                watchers.remove(e.getKey());
                outputs.add(new Answer(
                        e.getKey(), new Reply.Events(List.of(), durableState().revision())));
            }
        }
        return drainOutputs();
    }

    /** All entries up to that record are durable. */
    public List<Output> onDurable(long now, long sequence) {
        while (!pendingEntries.isEmpty() && pendingEntries.getFirst().sequence() <= sequence) {
            pendingEntries.removeFirst();
        }
        if (readOnly) {
            readOnly = false;
            probing = false;
            restartLeaseTimers(now);
        }
        while (!pendingAnswers.isEmpty() && pendingAnswers.getFirst().sequence() <= sequence) {
            PendingAnswer h = pendingAnswers.removeFirst();
            outputs.add(new Answer(h.requestId(), h.reply()));
        }
        for (Map.Entry<Long, Watcher> e : List.copyOf(watchers.entrySet())) {
            answerWatch(e.getKey(), e.getValue());
        }
        return drainOutputs();
    }

    /**
     * No entry that is not durable counts. Those who wrote are told so, or, if the entries may come back after a restart,
     * are told nothing; those who read what is taken back may ask again.
     */
    public List<Output> onWriteFailed(long now, boolean unclear) {
        if (!pendingEntries.isEmpty()) {
            newestState = pendingEntries.getFirst().stateBefore();
            appendedSequence = pendingEntries.getFirst().sequence() - 1;
            pendingEntries.forEach(s -> {
                for (int i = 0; i < s.eventCount(); i++) {
                    history.pollLast();
                }
            });
            pendingEntries.clear();
        }
        readOnly = true;
        probing = false;
        nextProbeMs = now + DISK_RETRY_DELAY_MS;
        restartLeaseTimers(now);
        for (PendingAnswer h : pendingAnswers) {
            outputs.add(new Answer(
                    h.requestId(),
                    unclear && h.appendedEntry() ? new Reply.OutcomeUnknown() : new Reply.Unavailable(1)));
        }
        pendingAnswers.clear();
        return drainOutputs();
    }

    private List<Output> drainOutputs() {
        List<Output> o = outputs;
        outputs = new ArrayList<>();
        return o;
    }

    private void answerWhenDurable(long ticket, Reply reply, boolean wrote) {
        // While stalled, all that can be under way is the empty entry, and nothing rests on that: reads go on
        // meanwhile.
        if (pendingEntries.isEmpty() || readOnly) {
            outputs.add(new Answer(ticket, reply));
        } else {
            pendingAnswers.add(new PendingAnswer(appendedSequence, ticket, reply, wrote));
        }
    }

    private void append(Entry e) {
        State before = newestState;
        int[] events = {0};
        newestState = newestState.apply(e, event -> {
            history.add(event);
            events[0]++;
        });
        pendingEntries.add(new PendingEntry(++appendedSequence, before, events[0]));
        compactedRevision = StateRestorer.trimHistory(history, compactedRevision);
        outputs.add(new Append(appendedSequence, e));
    }

    private void restartLeaseTimers(long now) {
        leaseExpiresAtMs.clear();
        newestState.leases().values().forEach(l -> leaseExpiresAtMs.put(l.id(), now + l.ttlMs()));
    }

    private void endLease(long lease) {
        append(new Entry.LeaseEnded(lease));
        leaseExpiresAtMs.remove(lease);
    }

    private Reply execute(long now, Request r) {
        if (r instanceof Request.Get g) {
            Row row = newestState.rows().get(g.key());
            return row == null ? new Reply.NotFound(newestState.revision()) : new Reply.Found(g.key(), row);
        }
        if (r instanceof Request.Page p) {
            return readPage(p);
        }
        if (r instanceof Request.RenewLease e) {
            if (!newestState.leases().containsKey(e.leaseId())) {
                return new Reply.LeaseNotFound();
            }
            leaseExpiresAtMs.put(
                    e.leaseId(), now + newestState.leases().get(e.leaseId()).ttlMs());
            return new Reply.Done();
        }
        if (r instanceof Request.Transaction t) {
            return executeTransaction(now, t);
        }
        if (readOnly) {
            return new Reply.Unavailable(1);
        }
        if (r instanceof Request.GrantLease g) {
            if (g.ttlMs() < Limits.MIN_TTL_MS || g.ttlMs() > Limits.MAX_TTL_MS) {
                return new Reply.InvalidRequest("life_ms: " + Limits.MIN_TTL_MS + " to " + Limits.MAX_TTL_MS);
            }
            if (newestState.leases().size() >= Limits.MAX_LEASES) {
                return new Reply.LimitExceeded(1);
            }
            long id = newestState.nextLeaseId();
            append(new Entry.LeaseGranted(id, g.ttlMs()));
            leaseExpiresAtMs.put(id, now + g.ttlMs());
            return new Reply.LeaseGranted(id);
        }
        long lease = ((Request.EndLease) r).leaseId();
        if (!newestState.leases().containsKey(lease)) {
            return new Reply.LeaseNotFound();
        }
        endLease(lease);
        return new Reply.Done();
    }

    private Reply readPage(Request.Page p) {
        int most = Math.max(1, Math.min(p.maxRows(), Limits.MAX_PAGE_ROWS));
        boolean within = p.after() != null && p.after().compareTo(p.prefix()) >= 0;
        List<Map.Entry<String, Row>> rows = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, Row> e : newestState
                .rows()
                .tailMap(within ? p.after() : p.prefix(), !within)
                .entrySet()) {
            if (!e.getKey().startsWith(p.prefix())) {
                break;
            }
            bytes += e.getKey().length() + e.getValue().value().length + 32;
            if (rows.size() == most || !rows.isEmpty() && bytes > Limits.MAX_PAGE_BYTES) {
                return new Reply.Rows(rows, true, newestState.revision());
            }
            rows.add(e);
        }
        return new Reply.Rows(rows, false, newestState.revision());
    }

    /** What is wrong with a transaction by itself, null if nothing. */
    private String validationError(Request.Transaction t) {
        if (t.writes().size() > limits.maxWritesPerTransaction()) {
            return "writes: " + t.writes().size() + ", " + limits.maxWritesPerTransaction() + " are the most";
        }
        if (t.conditions().size() > 4 * limits.maxWritesPerTransaction()) {
            return "if: " + t.conditions().size() + " conditions, " + 4 * limits.maxWritesPerTransaction()
                    + " are the most";
        }
        if (t.sizeBytes() > Limits.MAX_TRANSACTION_BYTES) {
            return "body: over " + Limits.MAX_TRANSACTION_BYTES + " bytes";
        }
        if (t.largestValueBytes() > limits.maxValueBytes()) {
            return "value: over " + limits.maxValueBytes() + " bytes";
        }
        Set<String> written = new HashSet<>();
        for (Write w : t.writes()) {
            if (!written.add(w.key())) {
                return "writes: " + w.key() + " twice";
            }
            if (!isValidKey(w.key())) {
                return "writes: a key has 1 to " + Limits.MAX_KEY_BYTES + " bytes and no spaces";
            }
        }
        return null;
    }

    /** Whether it may be a key. */
    public static boolean isValidKey(String key) {
        return !key.isEmpty()
                && key.getBytes(StandardCharsets.UTF_8).length <= Limits.MAX_KEY_BYTES
                && key.chars().noneMatch(c -> c <= ' ');
    }

    private Reply executeTransaction(long now, Request.Transaction t) {
        String wrong = validationError(t);
        if (wrong != null) {
            return new Reply.InvalidRequest(wrong);
        }
        if (!t.writes().isEmpty() && readOnly) {
            return new Reply.Unavailable(1);
        }
        if (!t.writes().isEmpty() && !writeRateLimiter.tryTake(now, t.writes().size())) {
            return new Reply.LimitExceeded(1);
        }
        for (Write w : t.writes()) {
            if (w instanceof Write.Set s
                    && s.leaseId() != 0
                    && !newestState.leases().containsKey(s.leaseId())) {
                return new Reply.LeaseNotFound();
            }
        }
        List<String> failed = new ArrayList<>();
        for (Request.Condition c : t.conditions()) {
            Row row = newestState.rows().get(c.key());
            if ((row == null ? 0 : row.modRevision()) != c.modRevision()) {
                failed.add(c.key());
            }
        }
        if (!failed.isEmpty()) {
            return new Reply.ConditionsFailed(failed, newestState.revision());
        }
        if (t.writes().stream()
                .anyMatch(w -> w instanceof Write.Set || newestState.rows().containsKey(w.key()))) {
            append(new Entry.RowsChanged(t.writes()));
        }
        return new Reply.Committed(newestState.revision());
    }

    private void startWatch(long now, long ticket, Request.Watch w) {
        // A revision that is not known here comes from a state that this one does not go back to, as after an old
        // backup.
        if (w.afterRevision() < compactedRevision
                || w.afterRevision() > durableState().revision()) {
            outputs.add(new Answer(ticket, new Reply.RevisionCompacted()));
            return;
        }
        Watcher watcher =
                new Watcher(w.prefix(), w.afterRevision(), now + Math.min(w.waitMs(), Limits.MAX_WATCH_WAIT_MS));
        if (!answerWatch(ticket, watcher)) {
            if (w.waitMs() <= 0) {
                outputs.add(new Answer(
                        ticket, new Reply.Events(List.of(), durableState().revision())));
            } else if (watchers.size() >= Limits.MAX_WATCHES) {
                outputs.add(new Answer(ticket, new Reply.LimitExceeded(1)));
            } else {
                watchers.put(ticket, watcher);
            }
        }
    }

    /** Answers a watch if there is something durable to tell. */
    private boolean answerWatch(long ticket, Watcher w) {
        long upTo = durableState().revision();
        if (w.afterRevision < compactedRevision) {
            watchers.remove(ticket);
            outputs.add(new Answer(ticket, new Reply.RevisionCompacted()));
            return true;
        }
        List<Event> events = new ArrayList<>();
        for (Iterator<Event> i = history.descendingIterator(); i.hasNext(); ) {
            Event e = i.next();
            if (e.revision() <= w.afterRevision) {
                break;
            }
            if (e.revision() <= upTo && e.key().startsWith(w.prefix)) {
                events.add(e);
            }
        }
        w.afterRevision = upTo;
        if (events.isEmpty()) {
            return false;
        }
        Collections.reverse(events);
        watchers.remove(ticket);
        outputs.add(new Answer(ticket, new Reply.Events(events, upTo)));
        return true;
    }
}
