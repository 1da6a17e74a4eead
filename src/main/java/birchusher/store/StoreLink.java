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
    private static final int MAX_ROWS = 500;

    private record Queued(Change change, long seq) { }

    private record Waiting(long since, Consumer<Boolean> then) { }

    private final Effects fx;
    private final View view;
    private final String address;
    private final Settings settings;
    private final Bucket requests;
    private final Bucket writes;
    private final PriorityQueue<Queued> queue = new PriorityQueue<>((a, b) -> a.change.rank() != b.change.rank()
            ? Integer.compare(a.change.rank(), b.change.rank()) : Long.compare(a.seq, b.seq));
    private final List<Waiting> fresh = new ArrayList<>();
    private final long watchGap;
    private final long freshGap;
    private final long txnGap;
    private boolean loaded;
    private boolean loading;
    private boolean watching;
    private boolean asking;
    private boolean sending;
    private long seq;
    private long nextLoad;
    private long nextWatch;
    private long nextFresh;
    private long nextTxn;
    private long lastOk = -1_000_000;
    private long failingSince = -1;
    /** After a conflict or an unclear answer, nothing is built before the view has come this far. */
    private long needRevision;
    private boolean needFresh;
    private long generation;

    public StoreLink(Effects fx, View view, Settings s, Tuning t) {
        this.fx = fx;
        this.view = view;
        this.settings = s;
        this.address = s.store().toString();
        double share = Math.min(1, t.num("store.share"));
        requests = new Bucket(s.stateRps() * share, s.stateRps() * share * 0.6);
        writes = new Bucket(s.stateWriteRps() * share, Math.max(s.txnOps(), s.stateWriteRps() * share));
        watchGap = t.ms("store.watch-gap-s");
        freshGap = t.ms("store.fresh-gap-s");
        txnGap = t.ms("store.batch-gap-s");
    }

    public boolean loaded() {
        return loaded;
    }

    /** Whether the state service answers us, as far as we have lately seen. */
    public boolean healthy() {
        return loaded && (failingSince < 0 || fx.now() - failingSince < 1_500);
    }

    public boolean offer(Change c) {
        if (queue.size() >= MAX_WAITING) {
            return false;
        }
        queue.add(new Queued(c, seq++));
        pump();
        return true;
    }

    /** Calls back with true once the view is at least as new as this moment, or with false when that can't be had. */
    public boolean fresh(Consumer<Boolean> then) {
        if (!healthy() || fresh.size() >= MAX_WAITING) {
            return false;
        }
        fresh.add(new Waiting(fx.now(), then));
        pump();
        return true;
    }

    /** One plain read; status 0 or 503 when it can't be had now. */
    public boolean get(String key, Effects.Reply reply) {
        if (!requests.take(fx.now(), 1)) {
            return false;
        }
        call("GET", Wire.STORE + "/" + key, null, 2_000, reply);
        return true;
    }

    /** Lease calls are never held back: everything hangs on them. */
    public void lease(String method, String path, Object body, Effects.Reply reply) {
        requests.force(fx.now(), 1);
        call(method, path, body, 3_000, reply);
    }

    private void call(String method, String path, Object body, int timeout, Effects.Reply reply) {
        fx.call(Target.STORE, address, method, path, body, timeout, (status, m) -> {
            note(status);
            reply.got(status, m);
        });
    }

    private void note(int status) {
        if (status == 429) {
            requests.block(fx.now() + 100 + (fx.now() * 31 + seq * 17) % 150);
        } else if (status == 0 || status == 503) {
            if (failingSince < 0) {
                failingSince = fx.now();
            }
        } else {
            lastOk = fx.now();
            if (failingSince >= 0 && fx.now() - failingSince > 3_000) {
                LOG.info("state service answers again after {} ms", fx.now() - failingSince);
            }
            failingSince = -1;
        }
    }

    public void tick() {
        long now = fx.now();
        if (!loaded) {
            if (!loading && now >= nextLoad) {
                load();
            }
            return;
        }
        pump();
        if (failingSince >= 0 || now - lastOk > 2_000) {
            askFresh();
        }
    }

    /** Starts whatever may start now. */
    public void pump() {
        if (!loaded) {
            return;
        }
        long now = fx.now();
        expire(now);
        if (!watching && now >= nextWatch && requests.take(now, 1)) {
            watch();
        }
        if ((!fresh.isEmpty() || needFresh || view.applied() < needRevision)) {
            askFresh();
        }
        if (!sending && !queue.isEmpty() && now >= nextTxn && !needFresh && view.applied() >= needRevision) {
            send(now);
        }
    }

    private void expire(long now) {
        for (int i = 0; i < fresh.size();) {
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
        generation++;
        view.clear();
        page("", -1, generation);
    }

    private void page(String after, long firstRevision, long gen) {
        requests.force(fx.now(), 1);
        call("GET", Wire.STORE + "?" + Wire.PREFIX + "=" + Keys.LIVE + "&" + Wire.AFTER + "=" + after + "&"
                + Wire.LIMIT + "=" + MAX_ROWS, null, 3_000, (status, m) -> {
            if (gen != generation) {
                return;
            }
            if (status != 200) {
                loading = false;
                nextLoad = fx.now() + 300;
                return;
            }
            long revision = firstRevision >= 0 ? firstRevision : Fields.count(m, Wire.REVISION);
            String last = after;
            for (Object o : Fields.list(m, Wire.ITEMS)) {
                Map<String, Object> row = Fields.map(o, "row");
                last = Fields.text(row, Wire.KEY);
                view.put(last, Fields.map(row.get(Wire.VALUE), "value"), Fields.count(row, Wire.VERSION));
            }
            if (Boolean.TRUE.equals(m.get(Wire.MORE))) {
                page(last, revision, gen);
                return;
            }
            view.applied(revision);
            loading = false;
            loaded = true;
            needFresh = true;
            LOG.info("state read: revision {}, {} jobs", revision, view.jobs().size());
            pump();
        });
    }

    private void watch() {
        watching = true;
        long gen = generation;
        fx.call(Target.WATCH, address, "GET", watchPath(WATCH_MS), null, (int) WATCH_MS + 3_000, (status, m) -> {
            watching = false;
            nextWatch = fx.now() + (status == 200 ? watchGap : 500);
            if (gen == generation) {
                events(status, m);
            }
        });
    }

    private String watchPath(long wait) {
        return Wire.WATCH + "?" + Wire.PREFIX + "=" + Keys.ALL + "&" + Wire.AFTER + "=" + view.applied() + "&wait_ms="
                + wait;
    }

    /** A watch that does not wait tells the current revision and every change up to it: proof of a fresh view. */
    private void askFresh() {
        long now = fx.now();
        if (asking || now < nextFresh || !requests.take(now, 1)) {
            return;
        }
        asking = true;
        nextFresh = now + freshGap;
        long gen = generation;
        boolean clears = needFresh;
        call("GET", watchPath(0), null, 2_000, (status, m) -> {
            asking = false;
            if (gen != generation) {
                return;
            }
            if (status == 200) {
                events(status, m);
                if (clears) {
                    needFresh = false;
                }
                List<Waiting> ready = new ArrayList<>();
                fresh.removeIf(w -> w.since <= now && ready.add(w));
                ready.forEach(w -> w.then.accept(true));
            } else {
                events(status, m);
                nextFresh = Math.max(nextFresh, fx.now() + 250);
            }
            pump();
        });
    }

    private void events(int status, Map<String, Object> m) {
        if (status == 410) {
            LOG.info("watch too old, reading everything again");
            loaded = false;
            nextLoad = fx.now();
            return;
        }
        if (status != 200) {
            return;
        }
        for (Object o : Fields.list(m, Wire.EVENTS)) {
            Map<String, Object> e = Fields.map(o, "event");
            long version = Fields.count(e, Wire.VERSION);
            if (e.get(Wire.PUT) != null) {
                view.put(Fields.text(e, Wire.PUT), Fields.map(e.get(Wire.VALUE), "value"), version);
            } else {
                view.remove(Fields.text(e, Wire.DELETE), version);
            }
        }
        view.applied(Fields.count(m, Wire.REVISION));
        pump();
    }

    // ---- writing

    private void send(long now) {
        if (!writes.has(now, Math.min(settings.txnOps(), queue.peek().change.cost())) || !requests.has(now, 1)) {
            return;
        }
        Tx tx = new Tx(view);
        List<Queued> batch = new ArrayList<>();
        List<Change> done = new ArrayList<>();
        while (!queue.isEmpty()) {
            Queued q = queue.peek();
            int writesAfter = tx.writeCount() + q.change.cost();
            if (!batch.isEmpty() && (writesAfter > settings.txnOps()
                    || tx.conditionCount() + 4 * q.change.cost() + 4 > settings.txnOps() * 4
                    || !writes.has(now, writesAfter) || batch.size() >= 64)) {
                break;
            }
            queue.poll();
            if (q.change.build(tx)) {
                batch.add(q);
            } else {
                done.add(q.change);
            }
        }
        done.forEach(Change::dropped);
        if (batch.isEmpty()) {
            return;
        }
        sending = true;
        writes.force(now, tx.writeCount());
        requests.force(now, 1);
        long gen = generation;
        Map<String, Object> body = tx.body();
        call("POST", Wire.MULTI, body, (int) TXN_TIMEOUT_MS, (status, m) -> {
            sending = false;
            nextTxn = fx.now() + txnGap;
            if (gen != generation) {
                needFresh = true;
                batch.forEach(queue::add);
                return;
            }
            switch (status) {
                case 200 -> {
                    long rev = Fields.count(m, Wire.REVISION);
                    tx.applyTo(view, rev);
                    batch.forEach(q -> q.change.committed(rev));
                }
                case 409 -> {
                    Set<String> failed = new HashSet<>();
                    Fields.list(m, Wire.FAILED).forEach(k -> failed.add(String.valueOf(k)));
                    LOG.debug("conflict on {}", failed);
                    needRevision = Math.max(needRevision, Fields.countOr(m, Wire.REVISION, 0));
                    batch.forEach(q -> {
                        if (!q.change.refused(failed)) {
                            queue.add(q);
                        }
                    });
                }
                case 400 -> {
                    LOG.error("transaction refused as malformed: {}", m);
                    batch.forEach(q -> q.change.dropped());
                }
                case 429 -> {
                    writes.block(fx.now() + 150 + (fx.now() * 13) % 200);
                    batch.forEach(queue::add);
                }
                case 503 -> {
                    nextTxn = fx.now() + 250;
                    batch.forEach(queue::add);
                }
                default -> {
                    // No answer: it may be applied later, so nothing is built before a fresh view.
                    needFresh = true;
                    nextTxn = fx.now() + 100;
                    batch.forEach(queue::add);
                }
            }
            pump();
        });
    }
}
