package birchusher.kv;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.kv.Engine.Answer;
import birchusher.kv.Engine.Append;
import birchusher.kv.Engine.Output;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The engine against a plain model, and what its published protocol says of leases, watches and limits. */
class EngineTest {
    private static final Limits LIMITS = new Limits(100_000, 100_000, 8, 100);

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private static Request.Txn txn(List<Request.Condition> conditions, Write... writes) {
        return new Request.Txn(conditions, List.of(writes), 100, 10);
    }

    private static Write set(String key, String value) {
        return new Write.Set(key, bytes(value), 0);
    }

    /** One machine whose entries become durable only when the test says so. */
    private static final class Bed {
        final Engine engine;
        final Map<Long, Reply> answers = new HashMap<>();
        final List<Append> appends = new ArrayList<>();
        long now = 1_000;
        long ticket;

        Bed(Limits limits) {
            engine = new Engine(new Restore(), 0, limits, now);
        }

        void take(List<Output> outputs) {
            for (Output o : outputs) {
                if (o instanceof Answer a) {
                    assertThat(answers.put(a.ticket(), a.reply()))
                            .as("one answer for each request")
                            .isNull();
                } else {
                    appends.add((Append) o);
                }
            }
        }

        long ask(Request r) {
            take(engine.handle(now, ++ticket, r));
            return ticket;
        }

        void durable() {
            if (!appends.isEmpty()) {
                long last = appends.get(appends.size() - 1).sequence();
                appends.clear();
                take(engine.durable(now, last));
            }
        }

        void failed(boolean unclear) {
            appends.clear();
            take(engine.failed(now, unclear));
        }

        Reply get(Request r) {
            long t = ask(r);
            durable();
            return answers.get(t);
        }
    }

    /** What the protocol says, in the plainest form: rows by key, revision, leases with their keys. */
    private static final class Plain {
        final TreeMap<String, String> values = new TreeMap<>();
        final TreeMap<String, Long> stamps = new TreeMap<>();
        final TreeMap<String, Long> leaseOf = new TreeMap<>();
        final TreeMap<Long, Long> leases = new TreeMap<>();
        long revision;
        long nextLease = 1;

        Plain copy() {
            Plain p = new Plain();
            p.values.putAll(values);
            p.stamps.putAll(stamps);
            p.leaseOf.putAll(leaseOf);
            p.leases.putAll(leases);
            p.revision = revision;
            p.nextLease = nextLease;
            return p;
        }

        private void remove(String key) {
            values.remove(key);
            stamps.remove(key);
            leaseOf.remove(key);
        }

        Reply run(Request r) {
            if (r instanceof Request.Get g) {
                return values.containsKey(g.key())
                        ? new Reply.Found(
                                g.key(), new Row(bytes(values.get(g.key())), stamps.get(g.key()), leaseOf.get(g.key())))
                        : new Reply.Missing(revision);
            }
            if (r instanceof Request.Grant g) {
                leases.put(nextLease, g.lifeMs());
                return new Reply.Leased(nextLease++);
            }
            if (r instanceof Request.End e) {
                if (leases.remove(e.lease()) == null) {
                    return new Reply.NoLease();
                }
                List<String> gone = leaseOf.entrySet().stream()
                        .filter(x -> x.getValue() == e.lease())
                        .map(Map.Entry::getKey)
                        .toList();
                revision += gone.isEmpty() ? 0 : 1;
                gone.forEach(this::remove);
                return new Reply.Done();
            }
            Request.Txn t = (Request.Txn) r;
            for (Write w : t.writes()) {
                if (w instanceof Write.Set s && s.lease() != 0 && !leases.containsKey(s.lease())) {
                    return new Reply.NoLease();
                }
            }
            List<String> failed = t.conditions().stream()
                    .filter(c -> stamps.getOrDefault(c.key(), 0L) != c.stamp())
                    .map(Request.Condition::key)
                    .toList();
            if (!failed.isEmpty()) {
                return new Reply.Failed(failed, revision);
            }
            if (t.writes().stream().anyMatch(w -> w instanceof Write.Set || values.containsKey(w.key()))) {
                revision++;
            }
            for (Write w : t.writes()) {
                remove(w.key());
                if (w instanceof Write.Set s) {
                    values.put(s.key(), new String(s.value(), StandardCharsets.UTF_8));
                    stamps.put(s.key(), revision);
                    leaseOf.put(s.key(), s.lease());
                }
            }
            return new Reply.Committed(revision);
        }
    }

    /** A client that follows by watches; reads everything when it is told that it is too late. */
    private static final class Follower {
        final Bed bed;
        final TreeMap<String, String> seen = new TreeMap<>();
        long since;
        long ticket;

        Follower(Bed bed) {
            this.bed = bed;
            ticket = bed.ask(new Request.Watch("k", 0, 10_000));
        }

        void step() {
            Reply r = bed.answers.get(ticket);
            if (r instanceof Reply.Events e) {
                for (State.Event x : e.events()) {
                    assertThat(x.stamp()).isGreaterThan(since);
                    if (x.value() == null) {
                        assertThat(seen.remove(x.key())).isNotNull();
                    } else {
                        seen.put(x.key(), new String(x.value(), StandardCharsets.UTF_8));
                    }
                }
                assertThat(e.revision()).isGreaterThanOrEqualTo(since);
                since = e.revision();
                ticket = bed.ask(new Request.Watch("k", since, 10_000));
            } else {
                assertThat(r).isNull();
            }
        }
    }

    private static Request random(SplittableRandom r, Plain p) {
        String key = "k" + r.nextInt(6);
        int kind = r.nextInt(10);
        if (kind < 2) {
            return new Request.Get(key);
        }
        if (kind == 2) {
            return new Request.Grant(60_000);
        }
        long lease = r.nextInt(3) > 0 || p.nextLease == 1 ? 0 : r.nextLong(1, p.nextLease + 1);
        if (kind == 3) {
            return new Request.End(lease);
        }
        List<Request.Condition> conditions = new ArrayList<>();
        for (int i = r.nextInt(3); i > 0; i--) {
            String k = "k" + r.nextInt(6);
            conditions.add(new Request.Condition(k, r.nextInt(5) == 0 ? r.nextInt(20) : p.stamps.getOrDefault(k, 0L)));
        }
        List<Write> writes = new ArrayList<>();
        for (int i = 0; i < r.nextInt(4); i++) {
            String k = "k" + (r.nextInt(3) + 3 * (i % 2));
            if (writes.stream().noneMatch(w -> w.key().equals(k))) {
                writes.add(
                        r.nextInt(4) == 0
                                ? new Write.Remove(k)
                                : new Write.Set(k, bytes("v" + r.nextInt(1000)), lease));
            }
        }
        return new Request.Txn(conditions, writes, 100, 10);
    }

    private static boolean same(Reply a, Reply b) {
        if (a instanceof Reply.Found x && b instanceof Reply.Found y) {
            return x.key().equals(y.key())
                    && new String(x.row().value(), StandardCharsets.UTF_8)
                            .equals(new String(y.row().value(), StandardCharsets.UTF_8))
                    && x.row().stamp() == y.row().stamp()
                    && x.row().lease() == y.row().lease();
        }
        return a.equals(b);
    }

    @Test
    void seededHistoriesMatchThePlainModelThroughLateAndFailedSyncs() {
        int compared = 0;
        int takenBack = 0;
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Bed bed = new Bed(LIMITS);
            Plain plain = new Plain();
            Plain durable = plain.copy();
            ArrayDeque<Long> open = new ArrayDeque<>();
            Map<Long, Reply> expected = new HashMap<>();
            Follower follower = new Follower(bed);
            for (int i = 0; i < 120; i++) {
                bed.now += r.nextInt(20);
                if (r.nextInt(25) == 0) {
                    // Everything not durable is taken back, and nobody is told that it was done.
                    bed.failed(r.nextBoolean());
                    for (long t : open) {
                        assertThat(bed.answers.get(t)).isInstanceOfAny(Reply.Unavailable.class, Reply.Unclear.class);
                        takenBack++;
                    }
                    open.clear();
                    plain = durable.copy();
                    bed.now += 2_000;
                    bed.take(bed.engine.tick(bed.now));
                    bed.durable();
                    assertThat(bed.engine.stalled()).isFalse();
                } else if (r.nextInt(4) == 0) {
                    bed.durable();
                    durable = plain.copy();
                    open.clear();
                } else {
                    Request q = random(r, plain);
                    boolean idle = bed.appends.isEmpty();
                    long t = bed.ask(q);
                    expected.put(t, plain.run(q));
                    if (idle && bed.appends.isEmpty()) {
                        assertThat(bed.answers).containsKey(t);
                    } else {
                        assertThat(bed.answers)
                                .as("answered before it was durable")
                                .doesNotContainKey(t);
                        open.add(t);
                    }
                }
                follower.step();
            }
            bed.durable();
            for (Map.Entry<Long, Reply> e : expected.entrySet()) {
                Reply got = bed.answers.get(e.getKey());
                if (!(got instanceof Reply.Unavailable) && !(got instanceof Reply.Unclear)) {
                    assertThat(same(got, e.getValue()))
                            .as("seed %s: %s, not %s", seed, got, e.getValue())
                            .isTrue();
                    compared++;
                }
            }
            follower.step();
            assertThat(follower.seen).isEqualTo(plain.values);
        }
        assertThat(compared).isGreaterThan(15_000);
        assertThat(takenBack).isGreaterThan(500);
    }

    @Test
    void aLeaseEndsAfterItsTimeNeverBeforeAndTakesItsKeysAlong() {
        Bed bed = new Bed(LIMITS);
        long lease = ((Reply.Leased) bed.get(new Request.Grant(5_000))).lease();
        bed.get(new Request.Txn(List.of(), List.of(new Write.Set("a", bytes("1"), lease), set("b", "2")), 100, 10));
        bed.now += 4_000;
        assertThat(bed.get(new Request.Extend(lease))).isEqualTo(new Reply.Done());
        bed.now += 5_000;
        bed.take(bed.engine.tick(bed.now));
        assertThat(bed.get(new Request.Get("a"))).isInstanceOf(Reply.Found.class);
        bed.now += 1;
        bed.take(bed.engine.tick(bed.now));
        assertThat(bed.get(new Request.Get("a"))).isEqualTo(new Reply.Missing(2));
        assertThat(bed.get(new Request.Get("b"))).isInstanceOf(Reply.Found.class);
        assertThat(bed.get(new Request.Extend(lease))).isEqualTo(new Reply.NoLease());
        assertThat(bed.get(txn(List.of(new Request.Condition("b", 7)), new Write.Set("c", bytes("3"), lease))))
                .as("whatever its conditions")
                .isEqualTo(new Reply.NoLease());
    }

    @Test
    void whileNothingCanBeWrittenChangesAreRefusedLeasesLiveAndReadsGoOn() {
        Bed bed = new Bed(LIMITS);
        long lease = ((Reply.Leased) bed.get(new Request.Grant(5_000))).lease();
        bed.get(new Request.Txn(List.of(), List.of(new Write.Set("a", bytes("1"), lease)), 100, 10));
        long lost = bed.ask(txn(List.of(), set("b", "2")));
        bed.failed(false);
        assertThat(bed.answers.get(lost)).isEqualTo(new Reply.Unavailable(1));
        assertThat(bed.get(txn(List.of(), set("b", "3")))).isEqualTo(new Reply.Unavailable(1));
        assertThat(bed.get(new Request.Grant(1_000))).isEqualTo(new Reply.Unavailable(1));
        assertThat(bed.get(new Request.Get("b"))).isEqualTo(new Reply.Missing(1));
        for (int i = 0; i < 5; i++) {
            bed.now += 20_000;
            bed.take(bed.engine.tick(bed.now));
            assertThat(bed.appends).as("one try of the disk").hasSize(1);
            long read = bed.ask(new Request.Get("a"));
            assertThat(bed.answers.get(read)).as("a read does not wait for it").isInstanceOf(Reply.Found.class);
            bed.failed(false);
        }
        bed.now += 20_000;
        bed.take(bed.engine.tick(bed.now));
        bed.durable();
        assertThat(bed.engine.stalled()).isFalse();
        bed.take(bed.engine.tick(bed.now + 5_000));
        assertThat(bed.get(new Request.Get("a")))
                .as("its lease had its full time again")
                .isInstanceOf(Reply.Found.class);
    }

    @Test
    void watchesTellOnlyWhatIsDurableInOrderAndSayWhenItIsTooLate() {
        Bed bed = new Bed(LIMITS);
        long w = bed.ask(new Request.Watch("a/", 0, 10_000));
        long other = bed.ask(new Request.Watch("z/", 0, 3_000));
        bed.ask(txn(List.of(), set("a/1", "x"), set("b/1", "y")));
        assertThat(bed.answers).doesNotContainKey(w);
        bed.durable();
        assertThat(((Reply.Events) bed.answers.get(w)).events())
                .extracting(State.Event::key)
                .containsExactly("a/1");
        bed.now += 3_000;
        bed.take(bed.engine.tick(bed.now));
        assertThat(bed.answers.get(other)).isEqualTo(new Reply.Events(List.of(), 1));
        for (int i = 0; i < Limits.HISTORY / 8 + 2; i++) {
            Write[] many = new Write[8];
            for (int k = 0; k < 8; k++) {
                many[k] = set("m/" + k, "" + i);
            }
            bed.get(txn(List.of(), many));
        }
        assertThat(bed.get(new Request.Watch("a/", 1, 0))).isEqualTo(new Reply.TooOld());
        assertThat(bed.get(new Request.Watch("a/", 1_000_000, 0)))
                .as("a revision from nowhere")
                .isEqualTo(new Reply.TooOld());
        long revision = ((Reply.Missing) bed.get(new Request.Get("none"))).revision();
        // What is remembered is whole transactions.
        Reply.Events all = (Reply.Events) bed.get(new Request.Watch("m/", revision - 1_000, 0));
        assertThat(all.events()).hasSize(8_000);
    }

    @Test
    void pagesAreOrderedBoundedAndGoOnAfterAKey() {
        Bed bed = new Bed(LIMITS);
        for (int i = 0; i < 30; i++) {
            bed.get(txn(List.of(), set(String.format("p/%02d", i), "v"), set("q/" + i, "v")));
        }
        List<String> keys = new ArrayList<>();
        String after = null;
        Reply.Rows page;
        do {
            page = (Reply.Rows) bed.get(new Request.Page("p/", after, 7));
            page.rows().forEach(e -> keys.add(e.getKey()));
            after = keys.get(keys.size() - 1);
        } while (page.more());
        assertThat(keys).hasSize(30).isSorted().allMatch(k -> k.startsWith("p/"));
    }

    @Test
    void limitsAreKeptAndNamed() {
        Bed bed = new Bed(new Limits(50, 10, 2, 100));
        assertThat(bed.get(txn(List.of(), set("a", "1"), set("b", "1"), set("c", "1"))))
                .isInstanceOf(Reply.Bad.class);
        assertThat(bed.get(txn(List.of(), set("a", "1"), set("a", "2")))).isEqualTo(new Reply.Bad("writes: a twice"));
        assertThat(bed.get(txn(List.of(), set("a b", "1")))).isInstanceOf(Reply.Bad.class);
        assertThat(bed.get(new Request.Txn(List.of(), List.of(set("a", "1")), 70_000, 10)))
                .isInstanceOf(Reply.Bad.class);
        assertThat(bed.get(new Request.Txn(List.of(), List.of(set("a", "1")), 200, 101)))
                .isInstanceOf(Reply.Bad.class);
        assertThat(bed.get(new Request.Grant(50))).isInstanceOf(Reply.Bad.class);
        for (int i = 0; i < 10; i++) {
            // Refused conditions count as changes too.
            assertThat(bed.get(txn(List.of(new Request.Condition("a", 9)), set("a", "1"))))
                    .isInstanceOf(Reply.Failed.class);
        }
        assertThat(bed.get(txn(List.of(), set("a", "1")))).isEqualTo(new Reply.TooMany(1));
        bed.now += 100;
        assertThat(bed.get(txn(List.of(), set("a", "1")))).isEqualTo(new Reply.Committed(1));
        for (int i = 0; i < 50; i++) {
            bed.get(new Request.Get("a"));
        }
        assertThat(bed.get(new Request.Get("a"))).isEqualTo(new Reply.TooMany(1));
    }
}
