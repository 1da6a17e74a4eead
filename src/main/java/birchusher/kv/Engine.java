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
    private static final long TRY_AGAIN_MS = 1_000;
    /** An entry that changes nothing: no lease has this number. */
    private static final Entry NOTHING = new Entry.Ended(0);

    /** What the edge has to do. */
    public sealed interface Output {}

    /** The reply to the request with this ticket. */
    public record Answer(long ticket, Reply reply) implements Output {}

    /** Make it durable as this record, in this order. */
    public record Append(long sequence, Entry entry) implements Output {}

    /** An entry not durable yet, and how to take it back. */
    private record Step(long sequence, State before, int events) {}

    private record Held(long sequence, long ticket, Reply reply, boolean wrote) {}

    private static final class Watcher {
        final String prefix;
        final long until;
        long since;

        Watcher(String prefix, long since, long until) {
            this.prefix = prefix;
            this.since = since;
            this.until = until;
        }
    }

    private final Limits limits;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private State head;
    private long appended;
    private final ArrayDeque<Step> steps = new ArrayDeque<>();
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    private final ArrayDeque<Event> history;
    /** Up to this revision, changes are not remembered. */
    private long forgotten;

    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Watcher> watchers = new LinkedHashMap<>();
    private boolean stalled;
    private boolean trying;
    private long tryAt;
    private List<Output> out = new ArrayList<>();

    /** @param sequence the last record kept; the next entry is one more */
    public Engine(Restore kept, long sequence, Limits limits, long now) {
        this.limits = limits;
        this.requests = new TokenBucket(limits.requestsPerS(), limits.requestsPerS());
        this.writes = new TokenBucket(limits.writesPerS(), limits.writesPerS());
        this.head = kept.state();
        this.appended = sequence;
        this.history = kept.history();
        this.forgotten = kept.forgotten();
        fullTime(now);
    }

    /** All that is durable, for a snapshot; never changes. */
    public State durableState() {
        return steps.isEmpty() ? head : steps.getFirst().before();
    }

    /** The last record that is durable. */
    public long durableSequence() {
        return steps.isEmpty() ? appended : steps.getFirst().sequence() - 1;
    }

    /** Whether changes are refused as they can't be made durable. */
    public boolean stalled() {
        return stalled;
    }

    /** One request; its answer comes now or later, always exactly one. Tickets are never used twice. */
    public List<Output> handle(long now, long ticket, Request r) {
        if (!requests.tryTake(now, 1)) {
            out.add(new Answer(ticket, new Reply.TooMany(1)));
        } else if (r instanceof Request.Watch w) {
            watch(now, ticket, w);
        } else {
            long before = appended;
            Reply reply = reply(now, r);
            answer(ticket, reply, appended != before);
        }
        return taken();
    }

    /** Ends leases and watches whose time is over, and tries the disk again after a failure. */
    public List<Output> tick(long now) {
        if (stalled) {
            if (!trying && now >= tryAt) {
                trying = true;
                append(NOTHING);
            }
        } else {
            for (Lease l : List.copyOf(head.leases().values())) {
                if (now > leaseEnds.get(l.id())) {
                    end(l.id());
                }
            }
        }
        for (Map.Entry<Long, Watcher> e : List.copyOf(watchers.entrySet())) {
            if (now >= e.getValue().until) {
                watchers.remove(e.getKey());
                out.add(new Answer(
                        e.getKey(), new Reply.Events(List.of(), durableState().revision())));
            }
        }
        return taken();
    }

    /** All entries up to that record are durable. */
    public List<Output> durable(long now, long sequence) {
        while (!steps.isEmpty() && steps.getFirst().sequence() <= sequence) {
            steps.removeFirst();
        }
        if (stalled) {
            stalled = false;
            trying = false;
            fullTime(now);
        }
        while (!held.isEmpty() && held.getFirst().sequence() <= sequence) {
            Held h = held.removeFirst();
            out.add(new Answer(h.ticket(), h.reply()));
        }
        for (Map.Entry<Long, Watcher> e : List.copyOf(watchers.entrySet())) {
            tell(e.getKey(), e.getValue());
        }
        return taken();
    }

    /**
     * No entry that is not durable counts. Those who wrote are told so, or, if the entries may come back after a restart,
     * are told nothing; those who read what is taken back may ask again.
     */
    public List<Output> failed(long now, boolean unclear) {
        if (!steps.isEmpty()) {
            head = steps.getFirst().before();
            appended = steps.getFirst().sequence() - 1;
            steps.forEach(s -> {
                for (int i = 0; i < s.events(); i++) {
                    history.pollLast();
                }
            });
            steps.clear();
        }
        stalled = true;
        trying = false;
        tryAt = now + TRY_AGAIN_MS;
        fullTime(now);
        for (Held h : held) {
            out.add(new Answer(h.ticket(), unclear && h.wrote() ? new Reply.Unclear() : new Reply.Unavailable(1)));
        }
        held.clear();
        return taken();
    }

    private List<Output> taken() {
        List<Output> o = out;
        out = new ArrayList<>();
        return o;
    }

    private void answer(long ticket, Reply reply, boolean wrote) {
        // While stalled, all that can be under way is the empty entry, and nothing rests on that: reads go on
        // meanwhile.
        if (steps.isEmpty() || stalled) {
            out.add(new Answer(ticket, reply));
        } else {
            held.add(new Held(appended, ticket, reply, wrote));
        }
    }

    private void append(Entry e) {
        State before = head;
        int[] events = {0};
        head = head.apply(e, event -> {
            history.add(event);
            events[0]++;
        });
        steps.add(new Step(++appended, before, events[0]));
        forgotten = Restore.trim(history, forgotten);
        out.add(new Append(appended, e));
    }

    private void fullTime(long now) {
        leaseEnds.clear();
        head.leases().values().forEach(l -> leaseEnds.put(l.id(), now + l.lifeMs()));
    }

    private void end(long lease) {
        append(new Entry.Ended(lease));
        leaseEnds.remove(lease);
    }

    private Reply reply(long now, Request r) {
        if (r instanceof Request.Get g) {
            Row row = head.rows().get(g.key());
            return row == null ? new Reply.Missing(head.revision()) : new Reply.Found(g.key(), row);
        }
        if (r instanceof Request.Page p) {
            return page(p);
        }
        if (r instanceof Request.Extend e) {
            if (!head.leases().containsKey(e.lease())) {
                return new Reply.NoLease();
            }
            leaseEnds.put(e.lease(), now + head.leases().get(e.lease()).lifeMs());
            return new Reply.Done();
        }
        if (r instanceof Request.Txn t) {
            return txn(now, t);
        }
        if (stalled) {
            return new Reply.Unavailable(1);
        }
        if (r instanceof Request.Grant g) {
            if (g.lifeMs() < Limits.LEAST_LIFE_MS || g.lifeMs() > Limits.MOST_LIFE_MS) {
                return new Reply.Bad("life_ms: " + Limits.LEAST_LIFE_MS + " to " + Limits.MOST_LIFE_MS);
            }
            if (head.leases().size() >= Limits.MAX_LEASES) {
                return new Reply.TooMany(1);
            }
            long id = head.nextLease();
            append(new Entry.Granted(id, g.lifeMs()));
            leaseEnds.put(id, now + g.lifeMs());
            return new Reply.Leased(id);
        }
        long lease = ((Request.End) r).lease();
        if (!head.leases().containsKey(lease)) {
            return new Reply.NoLease();
        }
        end(lease);
        return new Reply.Done();
    }

    private Reply page(Request.Page p) {
        int most = Math.max(1, Math.min(p.most(), Limits.PAGE));
        boolean within = p.after() != null && p.after().compareTo(p.prefix()) >= 0;
        List<Map.Entry<String, Row>> rows = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, Row> e :
                head.rows().tailMap(within ? p.after() : p.prefix(), !within).entrySet()) {
            if (!e.getKey().startsWith(p.prefix())) {
                break;
            }
            bytes += e.getKey().length() + e.getValue().value().length + 32;
            if (rows.size() == most || !rows.isEmpty() && bytes > Limits.PAGE_BYTES) {
                return new Reply.Rows(rows, true, head.revision());
            }
            rows.add(e);
        }
        return new Reply.Rows(rows, false, head.revision());
    }

    /** What is wrong with a transaction by itself, null if nothing. */
    private String wrong(Request.Txn t) {
        if (t.writes().size() > limits.writes()) {
            return "writes: " + t.writes().size() + ", " + limits.writes() + " are the most";
        }
        if (t.conditions().size() > 4 * limits.writes()) {
            return "if: " + t.conditions().size() + " conditions, " + 4 * limits.writes() + " are the most";
        }
        if (t.bytes() > Limits.TXN_BYTES) {
            return "body: over " + Limits.TXN_BYTES + " bytes";
        }
        if (t.largest() > limits.valueBytes()) {
            return "value: over " + limits.valueBytes() + " bytes";
        }
        Set<String> written = new HashSet<>();
        for (Write w : t.writes()) {
            if (!written.add(w.key())) {
                return "writes: " + w.key() + " twice";
            }
            if (!key(w.key())) {
                return "writes: a key has 1 to " + Limits.KEY_BYTES + " bytes and no spaces";
            }
        }
        return null;
    }

    /** Whether it may be a key. */
    public static boolean key(String key) {
        return !key.isEmpty()
                && key.getBytes(StandardCharsets.UTF_8).length <= Limits.KEY_BYTES
                && key.chars().noneMatch(c -> c <= ' ');
    }

    private Reply txn(long now, Request.Txn t) {
        String wrong = wrong(t);
        if (wrong != null) {
            return new Reply.Bad(wrong);
        }
        if (!t.writes().isEmpty() && stalled) {
            return new Reply.Unavailable(1);
        }
        if (!t.writes().isEmpty() && !writes.tryTake(now, t.writes().size())) {
            return new Reply.TooMany(1);
        }
        for (Write w : t.writes()) {
            if (w instanceof Write.Set s && s.lease() != 0 && !head.leases().containsKey(s.lease())) {
                return new Reply.NoLease();
            }
        }
        List<String> failed = new ArrayList<>();
        for (Request.Condition c : t.conditions()) {
            Row row = head.rows().get(c.key());
            if ((row == null ? 0 : row.stamp()) != c.stamp()) {
                failed.add(c.key());
            }
        }
        if (!failed.isEmpty()) {
            return new Reply.Failed(failed, head.revision());
        }
        if (t.writes().stream()
                .anyMatch(w -> w instanceof Write.Set || head.rows().containsKey(w.key()))) {
            append(new Entry.Changed(t.writes()));
        }
        return new Reply.Committed(head.revision());
    }

    private void watch(long now, long ticket, Request.Watch w) {
        // A revision that is not known here comes from a state that this one does not go back to, as after an old
        // backup.
        if (w.since() < forgotten || w.since() > durableState().revision()) {
            out.add(new Answer(ticket, new Reply.TooOld()));
            return;
        }
        Watcher watcher = new Watcher(w.prefix(), w.since(), now + Math.min(w.waitMs(), Limits.MOST_WAIT_MS));
        if (!tell(ticket, watcher)) {
            if (w.waitMs() <= 0) {
                out.add(new Answer(
                        ticket, new Reply.Events(List.of(), durableState().revision())));
            } else if (watchers.size() >= Limits.MAX_WATCHES) {
                out.add(new Answer(ticket, new Reply.TooMany(1)));
            } else {
                watchers.put(ticket, watcher);
            }
        }
    }

    /** Answers a watch if there is something durable to tell. */
    private boolean tell(long ticket, Watcher w) {
        long upTo = durableState().revision();
        if (w.since < forgotten) {
            watchers.remove(ticket);
            out.add(new Answer(ticket, new Reply.TooOld()));
            return true;
        }
        List<Event> events = new ArrayList<>();
        for (Iterator<Event> i = history.descendingIterator(); i.hasNext(); ) {
            Event e = i.next();
            if (e.stamp() <= w.since) {
                break;
            }
            if (e.stamp() <= upTo && e.key().startsWith(w.prefix)) {
                events.add(e);
            }
        }
        w.since = upTo;
        if (events.isEmpty()) {
            return false;
        }
        Collections.reverse(events);
        watchers.remove(ticket);
        out.add(new Answer(ticket, new Reply.Events(events, upTo)));
        return true;
    }
}
