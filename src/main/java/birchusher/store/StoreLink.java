package birchusher.store;

import birchusher.core.Bucket;
import birchusher.core.Effect.Target;
import birchusher.core.Effects;
import birchusher.core.Fields;
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
public final class StoreLink {
    private static final Logger LOG = LoggerFactory.getLogger(StoreLink.class);
    private static final int MAX_WAITING = 4000;
    private static final long WATCH_MS = 10_000;
    private static final long TXN_TIMEOUT_MS = 2_500;
    /** A quiet watch proves nothing until it is answered: then a read of its own does. */
    private static final long MOST_UNPROVEN_MS = 2_000;

    private static final int MAX_ROWS = 500;
    private static final int MAX_ENDS = 1_000;
    private static final long PATIENCE_MS = 2_000;
    private static final int MAX_BATCH = 64;
    private static final int TXN_BYTES = 64 * 1024;
    /** Changes up to this rank are waited for by somebody; the others leave so many rows to them. */
    private static final int LAST_AWAITED = 3;

    private static final int SPARED_ROWS = 2;

    /** {@code unclear}: sent once without an answer, it may yet be applied. */
    private record Queued(Change change, long seq, long since, boolean unclear) {}

    /** {@code turn}: only what is read by a later request is as new as the question; two may come in one millisecond. */
    private record Waiting(long since, long turn, Consumer<Boolean> then) {}

    private final Effects effects;
    private final View view;
    private final String address;
    private final Settings settings;
    private final Bucket requests;
    private final Bucket writes;
    private final PriorityQueue<Queued> queue = new PriorityQueue<>((a, b) -> a.change.rank() != b.change.rank()
            ? Integer.compare(a.change.rank(), b.change.rank())
            : Long.compare(a.seq, b.seq));
    private final List<Waiting> fresh = new ArrayList<>();
    private final long watchGap;
    private final long freshGap;
    private final long txnGap;
    private boolean loaded;
    private boolean loading;
    /** Where a reading goes on after a page that was refused; null: from the beginning. */
    private String resumeAfter;

    private long resumeRevision;
    /** Whether all rows of ended jobs have been read since the live ones were, so that what is not in the view does not exist. */
    private boolean endsRead;

    private boolean endsReading;
    private String endsAfter = "";
    private long nextEnds;
    private boolean watching;
    private boolean asking;
    private boolean sending;
    private long seq;
    private long nextLoad;
    private long nextWatch;
    private long nextFresh;
    private long nextTxn;
    /** When the first of the queued changes wants to be sent; the others then go with it. */
    private long nextDue = Long.MAX_VALUE;

    private long provenAt = -1_000_000;
    private final long proveEvery;
    private long failingSince = -1;
    /** After a conflict or an unclear answer, nothing is built before the view has come this far. */
    private long needRevision;

    private boolean needFresh;
    private long generation;
    /** Counts questions and reads, in their order. */
    private long turn;

    private long transactions;
    private long rowsWritten;
    private long conflicts;
    private long tooMany;

    public StoreLink(Effects effects, View view, Settings s, Tuning t) {
        this.effects = effects;
        this.view = view;
        this.settings = s;
        this.address = s.store().toString();
        // The published limits are for all controllers together: each begins near its part and finds out what is free.
        double share = Math.min(1, t.num("store.share"));
        double fair = 1.0 / (1 + s.peers().size());
        double start = Math.min(share, 1.5 * fair);
        requests = new Bucket(
                s.stateRps() * start,
                s.stateRps() * Math.min(share, fair * 0.8),
                s.stateRps() * share,
                s.stateRps() * start * 0.6);
        writes = new Bucket(
                s.stateWriteRps() * start,
                s.stateWriteRps() * Math.min(share, fair * 0.8),
                s.stateWriteRps() * share,
                Math.max(s.txnOps(), s.stateWriteRps() * start));
        watchGap = t.ms("store.watch-gap-s");
        freshGap = t.ms("store.fresh-gap-s");
        txnGap = t.ms("store.batch-gap-s");
        proveEvery = Math.min(MOST_UNPROVEN_MS, s.staleMs() / 4);
    }

    public boolean loaded() {
        return loaded;
    }

    /** Whether the state service answers us, as far as we have lately seen. */
    public boolean healthy() {
        return loaded && (failingSince < 0 || effects.now() - failingSince < 1_500);
    }

    /**
     * The moment up to which every change is certainly in the view: when we sent the last read that was answered with all changes.
     * Not when any answer came: a lease may be extended, and an answer may be long on its way, while the view lags.
     */
    public long provenAt() {
        return provenAt;
    }

    public boolean offer(Change c) {
        if (queue.size() >= MAX_WAITING) {
            return false;
        }
        Queued q = new Queued(c, seq++, effects.now(), false);
        queue.add(q);
        nextDue = Math.min(nextDue, due(q));
        pump();
        return true;
    }

    /** Calls back with true once the view is at least as new as this moment, or with false when that can't be had. */
    public boolean fresh(Consumer<Boolean> then) {
        if (!healthy() || fresh.size() >= MAX_WAITING) {
            return false;
        }
        fresh.add(new Waiting(effects.now(), turn++, then));
        pump();
        return true;
    }

    /** One plain read; status 0 or 503 when it can't be had now. */
    public boolean get(String key, Effects.Reply reply) {
        if (!requests.take(effects.now(), 1)) {
            return false;
        }
        call("GET", Wire.STORE + "/" + key, null, 2_000, reply);
        return true;
    }

    /** Rows under a prefix, after a key or from the first one on ({@code ""}); as with {@link #get}. */
    public boolean page(String prefix, String after, int most, Effects.Reply reply) {
        if (!requests.take(effects.now(), 1)) {
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
    public void lease(String method, String path, Object body, Effects.Reply reply) {
        requests.force(effects.now(), 1);
        call(method, path, body, 3_000, reply);
    }

    private void call(String method, String path, Object body, int timeout, Effects.Reply reply) {
        effects.call(Target.STORE, address, method, path, body, timeout, (status, m) -> {
            note(status);
            reply.got(status, m);
        });
    }

    private void note(int status) {
        if (status == 429) {
            tooMany++;
            requests.block(effects.now(), effects.now() + 100 + (effects.now() * 31 + seq * 17) % 150);
        } else if (status == 0 || status == 503) {
            if (failingSince < 0) {
                failingSince = effects.now();
            }
        } else {
            if (failingSince >= 0 && effects.now() - failingSince > 3_000) {
                LOG.info("state service answers again after {} ms", effects.now() - failingSince);
            }
            failingSince = -1;
        }
    }

    public void tick() {
        long now = effects.now();
        if (!loaded) {
            if (!loading && now >= nextLoad) {
                load();
            }
            return;
        }
        pump();
        if (!endsRead && !endsReading && now >= nextEnds && healthy()) {
            readEnds();
        }
        if (failingSince >= 0 || now - provenAt > proveEvery) {
            askFresh();
        }
    }

    /** Starts whatever may start now. */
    public void pump() {
        if (!loaded) {
            return;
        }
        long now = effects.now();
        expire(now);
        boolean behind = !fresh.isEmpty() || needFresh || view.applied() < needRevision;
        if (!watching && now >= nextWatch && requests.take(now, 1)) {
            // Sent after whoever waits for a fresh view came, an answer at once serves the watch and them.
            watch(behind ? 0 : WATCH_MS);
        } else if (watching && behind) {
            askFresh();
        }
        if (!sending
                && !queue.isEmpty()
                && now >= nextTxn
                && now >= nextDue
                && !needFresh
                && view.applied() >= needRevision) {
            send(now);
        }
    }

    private void expire(long now) {
        for (int i = 0; i < fresh.size(); ) {
            if (now - fresh.get(i).since > 1_200 || !healthy()) {
                fresh.remove(i).then.accept(false);
            } else {
                i++;
            }
        }
        if (!queue.isEmpty() && (now & 7) == 0 || failingSince >= 0) {
            List<Change> late = new ArrayList<>();
            queue.removeIf(q -> {
                boolean over = now > q.change.expires();
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
        if (resumeAfter != null) {
            // From where it was refused: begun anew each time, a long reading that everybody does at once never came to
            // its end.
            page(resumeAfter, resumeRevision, generation);
            return;
        }
        generation++;
        endsRead = false;
        endsReading = false;
        endsAfter = "";
        view.clear();
        page("", -1, generation);
    }

    /**
     * The final states of all jobs, a page at a time and after everything else. With them a poll about a job that has ended, or that
     * nobody submitted, costs no read of its own; before, each took one, and after a restart of all controllers most polls are such.
     */
    private void readEnds() {
        long gen = generation;
        endsReading = page(Keys.END, endsAfter, MAX_ENDS, (status, m) -> {
            if (gen != generation) {
                return;
            }
            endsReading = false;
            nextEnds = effects.now() + (status == 200 ? 50 : 500);
            if (status != 200) {
                return;
            }
            for (Object o : Fields.list(m, Wire.ITEMS)) {
                endsAfter = row(Fields.map(o, "row"));
            }
            endsRead = !Boolean.TRUE.equals(m.get(Wire.MORE));
        });
    }

    /** Takes over one row of a listing, and returns its key. One that can't be read must not stop the reading. */
    private String row(Map<String, Object> row) {
        String key = Fields.text(row, Wire.KEY);
        view.put(key, row.get(Wire.VALUE), Fields.count(row, Wire.VERSION));
        return key;
    }

    /** Whether a job that a fresh view does not show was never accepted. */
    public boolean knowsAllEnds() {
        return endsRead && view.keepsAllEnded();
    }

    private void page(String after, long firstRevision, long gen) {
        requests.force(effects.now(), 1);
        call("GET", pagePath(Keys.LIVE, after, MAX_ROWS), null, 3_000, (status, m) -> {
            if (gen != generation) {
                return;
            }
            if (status != 200) {
                loading = false;
                nextLoad = effects.now() + 300;
                resumeAfter = firstRevision >= 0 ? after : null;
                resumeRevision = firstRevision;
                return;
            }
            long revision = firstRevision >= 0 ? firstRevision : Fields.count(m, Wire.REVISION);
            String last = after;
            for (Object o : Fields.list(m, Wire.ITEMS)) {
                last = row(Fields.map(o, "row"));
            }
            if (Boolean.TRUE.equals(m.get(Wire.MORE))) {
                page(last, revision, gen);
                return;
            }
            view.read(revision);
            loading = false;
            loaded = true;
            resumeAfter = null;
            needFresh = true;
            LOG.info("state read: revision {}, {} jobs", revision, view.jobs().size());
            pump();
        });
    }

    private void watch(long wait) {
        watching = true;
        long gen = generation;
        long sent = effects.now();
        long at = turn++;
        boolean clears = needFresh;
        Effects.Reply reply = (status, m) -> {
            watching = false;
            // Every change wakes every controller's watch: the gap keeps that within each one's part of the requests.
            nextWatch = effects.now()
                    + (status == 200 ? Math.max(watchGap, Math.round(1_000 / (0.4 * requests.perSecond()))) : 500);
            if (gen == generation) {
                upToDate(status, m, sent, at, clears);
            }
        };
        if (wait > 0) {
            effects.call(Target.WATCH, address, "GET", watchPath(wait), null, (int) wait + 3_000, reply);
        } else {
            call("GET", watchPath(0), null, 2_000, reply);
        }
    }

    /** All changes up to the answer are in, so whoever came before the request was sent has its fresh view. */
    private void upToDate(int status, Map<String, Object> m, long sent, long at, boolean clears) {
        events(status, m);
        if (status != 200) {
            return;
        }
        provenAt = Math.max(provenAt, sent);
        if (clears) {
            needFresh = false;
        }
        List<Waiting> ready = new ArrayList<>();
        fresh.removeIf(w -> w.turn < at && ready.add(w));
        ready.forEach(w -> w.then.accept(true));
    }

    private String watchPath(long wait) {
        return Wire.WATCH + "?" + Wire.PREFIX + "=" + Keys.ALL + "&" + Wire.AFTER + "=" + view.applied() + "&wait_ms="
                + wait;
    }

    /** A watch that does not wait tells the current revision and every change up to it: proof of a fresh view. */
    private void askFresh() {
        long now = effects.now();
        if (asking || now < nextFresh) {
            return;
        }
        if (now - provenAt > 2 * proveEvery) {
            // Our workers' leases hang on it.
            requests.force(now, 1);
        } else if (!requests.take(now, 1)) {
            return;
        }
        asking = true;
        nextFresh = now + freshGap;
        long at = turn++;
        long gen = generation;
        boolean clears = needFresh;
        call("GET", watchPath(0), null, 2_000, (status, m) -> {
            asking = false;
            if (gen != generation) {
                return;
            }
            upToDate(status, m, now, at, clears);
            if (status != 200) {
                nextFresh = Math.max(nextFresh, effects.now() + 250);
            }
            pump();
        });
    }

    private void events(int status, Map<String, Object> m) {
        if (status == 410) {
            LOG.info("watch too old, reading everything again");
            loaded = false;
            nextLoad = effects.now();
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
        view.applied(Fields.count(m, Wire.REVISION));
        pump();
    }

    // ---- writing

    private void unclear(Queued q) {
        q.change.unclear();
        again(new Queued(q.change, q.seq, q.since, true));
    }

    private void again(Queued q) {
        queue.add(q);
        nextDue = Math.min(nextDue, due(q));
    }

    /**
     * From when on a change wants to be sent for its own sake. The scarcer changes are, the longer those that can wait do,
     * so that more of them share the writing of a row.
     */
    private long due(Queued q) {
        long patience = q.change.patienceMs();
        return patience == 0
                ? q.since
                : q.since + Math.min(patience, 50 + Math.round(PATIENCE_MS * writes.shortage(effects.now())));
    }

    /** How many rows this controller may expect to write within a time, at its present part of the changes. */
    public int rowsWithin(long ms) {
        return (int) Math.round(writes.perSecond() * ms / 1000);
    }

    /** How the state service was used: transactions, rows written, conflicts, refusals, queue, present rates. */
    public String line() {
        return "txns=" + transactions + " rows=" + rowsWritten + " conflicts=" + conflicts + " too_many=" + tooMany
                + " queue=" + queue.size() + " rps=" + Math.round(requests.perSecond()) + " write_rps="
                + Math.round(writes.perSecond());
    }

    /**
     * What a change leaves to those that somebody waits for: submissions, cancellations, replicas, takeovers. Without this, a swarm's
     * claims and ends took every row as soon as there was one, and each submission waited for the next.
     */
    private static int spared(Change c) {
        return c.rank() > LAST_AWAITED ? SPARED_ROWS : 0;
    }

    /** A dozen full rows of a huge array pass what a transaction may hold: it would be refused whole, again and again. */
    private boolean hasBytes(Tx tx, int rows) {
        return tx.bytes() + rows * settings.valueKb() * 1024 <= TXN_BYTES;
    }

    private void send(long now) {
        Change first = queue.peek().change;
        if (!writes.has(now, Math.min(settings.txnOps(), first.cost()) + spared(first)) || !requests.has(now, 1)) {
            return;
        }
        Tx tx = new Tx(view);
        List<Queued> batch = new ArrayList<>();
        List<Change> done = new ArrayList<>();
        List<Queued> waiting = new ArrayList<>();
        boolean full = false;
        while (!queue.isEmpty()) {
            Queued q = queue.poll();
            int writesAfter = tx.writeCount() + q.change.cost();
            full = full
                    || !batch.isEmpty()
                            && (writesAfter > settings.txnOps()
                                    || tx.conditionCount() + q.change.conditions(tx) > settings.txnOps() * 4
                                    || !writes.has(now, writesAfter + spared(q.change))
                                    || !hasBytes(tx, q.change.cost())
                                    || batch.size() >= MAX_BATCH);
            if (full || due(q) > now) {
                waiting.add(q);
            } else if (q.change.build(tx)) {
                batch.add(q);
            } else {
                done.add(q.change);
            }
        }
        for (Queued q : waiting) {
            if (!batch.isEmpty()
                    && batch.size() < MAX_BATCH
                    && tx.conditionCount() + q.change.conditions(tx) <= settings.txnOps() * 4
                    && q.change.rides(tx)
                    && hasBytes(tx, 1)) {
                if (q.change.build(tx)) {
                    batch.add(q);
                } else {
                    done.add(q.change);
                }
            } else {
                queue.add(q);
            }
        }
        nextDue = Long.MAX_VALUE;
        queue.forEach(q -> nextDue = Math.min(nextDue, due(q)));
        done.forEach(Change::dropped);
        if (batch.isEmpty()) {
            return;
        }
        sending = true;
        transactions++;
        rowsWritten += tx.writeCount();
        writes.force(now, tx.writeCount());
        requests.force(now, 1);
        long gen = generation;
        Map<String, Object> body = tx.body();
        call("POST", Wire.MULTI, body, (int) TXN_TIMEOUT_MS, (status, m) -> {
            sending = false;
            nextTxn = effects.now() + txnGap;
            if (gen != generation) {
                needFresh = true;
                batch.forEach(this::unclear);
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
                    needRevision = Math.max(needRevision, Fields.countOr(m, Wire.REVISION, 0));
                    batch.forEach(q -> {
                        if (!q.change.refused(failed)) {
                            again(q);
                        }
                    });
                }
                case 400 -> {
                    nextTxn = effects.now() + 250;
                    LOG.error(
                            "transaction refused as malformed: {} ({} rows, {} conditions)",
                            m,
                            Fields.list(body, Wire.THEN).size(),
                            tx.conditionCount());
                    // Such as a lease that has ended. What was sent before without an answer may yet be applied,
                    // whatever becomes of this:
                    // a handover given up here would be answered for by two.
                    batch.forEach(q -> {
                        if (q.unclear) {
                            again(q);
                        } else {
                            q.change.dropped();
                        }
                    });
                }
                case 429 -> {
                    writes.block(effects.now(), effects.now() + 150 + (effects.now() * 13) % 200);
                    batch.forEach(this::again);
                }
                case 503 -> {
                    nextTxn = effects.now() + 250;
                    batch.forEach(this::again);
                }
                default -> {
                    // No answer: it may be applied later, so nothing is built before a fresh view.
                    needFresh = true;
                    nextTxn = effects.now() + 100;
                    batch.forEach(this::unclear);
                }
            }
            pump();
        });
    }
}
