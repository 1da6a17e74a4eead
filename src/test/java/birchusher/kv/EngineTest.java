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

    private static Request.Transaction txn(List<Request.Condition> conditions, Write... writes) {
        return new Request.Transaction(conditions, List.of(writes), 100, 10);
    }

    private static Write set(String key, String value) {
        return new Write.Set(key, bytes(value), 0);
    }

    /** One machine whose entries become durable only when the test says so. */
    private static final class TestEngine {
        final Engine engine;
        final Map<Long, Reply> answers = new HashMap<>();
        final List<Append> appends = new ArrayList<>();
        long nowMs = 1_000;
        long lastRequestId;

        TestEngine(Limits limits) {
            engine = new Engine(new StateRestorer(), 0, limits, nowMs);
        }

        void collectOutputs(List<Output> outputs) {
            for (Output o : outputs) {
                if (o instanceof Answer a) {
                    assertThat(answers.put(a.requestId(), a.reply()))
                            .as("one answer for each request")
                            .isNull();
                } else {
                    appends.add((Append) o);
                }
            }
        }

        long submit(Request r) {
            collectOutputs(engine.handle(nowMs, ++lastRequestId, r));
            return lastRequestId;
        }

        void completeWrites() {
            if (!appends.isEmpty()) {
                long last = appends.get(appends.size() - 1).sequence();
                appends.clear();
                collectOutputs(engine.onDurable(nowMs, last));
            }
        }

        void failWrites(boolean unclear) {
            appends.clear();
            collectOutputs(engine.onWriteFailed(nowMs, unclear));
        }

        Reply submitAndComplete(Request r) {
            long t = submit(r);
            completeWrites();
            return answers.get(t);
        }
    }

    /** What the protocol says, in the plainest form: rows by key, revision, leases with their keys. */
    private static final class ReferenceModel {
        final TreeMap<String, String> values = new TreeMap<>();
        final TreeMap<String, Long> modRevisions = new TreeMap<>();
        final TreeMap<String, Long> leaseIds = new TreeMap<>();
        final TreeMap<Long, Long> ttlMsByLease = new TreeMap<>();
        long revision;
        long nextLeaseId = 1;

        ReferenceModel copy() {
            ReferenceModel p = new ReferenceModel();
            p.values.putAll(values);
            p.modRevisions.putAll(modRevisions);
            p.leaseIds.putAll(leaseIds);
            p.ttlMsByLease.putAll(ttlMsByLease);
            p.revision = revision;
            p.nextLeaseId = nextLeaseId;
            return p;
        }

        private void remove(String key) {
            values.remove(key);
            modRevisions.remove(key);
            leaseIds.remove(key);
        }

        Reply execute(Request r) {
            if (r instanceof Request.Get g) {
                return values.containsKey(g.key())
                        ? new Reply.Found(
                                g.key(),
                                new Row(bytes(values.get(g.key())), modRevisions.get(g.key()), leaseIds.get(g.key())))
                        : new Reply.NotFound(revision);
            }
            if (r instanceof Request.GrantLease g) {
                ttlMsByLease.put(nextLeaseId, g.ttlMs());
                return new Reply.LeaseGranted(nextLeaseId++);
            }
            if (r instanceof Request.EndLease e) {
                if (ttlMsByLease.remove(e.leaseId()) == null) {
                    return new Reply.LeaseNotFound();
                }
                List<String> gone = leaseIds.entrySet().stream()
                        .filter(x -> x.getValue() == e.leaseId())
                        .map(Map.Entry::getKey)
                        .toList();
                revision += gone.isEmpty() ? 0 : 1;
                gone.forEach(this::remove);
                return new Reply.Done();
            }
            Request.Transaction t = (Request.Transaction) r;
            for (Write w : t.writes()) {
                if (w instanceof Write.Set s && s.leaseId() != 0 && !ttlMsByLease.containsKey(s.leaseId())) {
                    return new Reply.LeaseNotFound();
                }
            }
            List<String> failed = t.conditions().stream()
                    .filter(c -> modRevisions.getOrDefault(c.key(), 0L) != c.modRevision())
                    .map(Request.Condition::key)
                    .toList();
            if (!failed.isEmpty()) {
                return new Reply.ConditionsFailed(failed, revision);
            }
            if (t.writes().stream().anyMatch(w -> w instanceof Write.Set || values.containsKey(w.key()))) {
                revision++;
            }
            for (Write w : t.writes()) {
                remove(w.key());
                if (w instanceof Write.Set s) {
                    values.put(s.key(), new String(s.value(), StandardCharsets.UTF_8));
                    modRevisions.put(s.key(), revision);
                    leaseIds.put(s.key(), s.leaseId());
                }
            }
            return new Reply.Committed(revision);
        }
    }

    /** A client that follows by watches; reads everything when it is told that it is too late. */
    private static final class WatchClient {
        final TestEngine engine;
        final TreeMap<String, String> rows = new TreeMap<>();
        long afterRevision;
        long requestId;

        WatchClient(TestEngine bed) {
            this.engine = bed;
            requestId = bed.submit(new Request.Watch("k", 0, 10_000));
        }

        void poll() {
            Reply r = engine.answers.get(requestId);
            if (r instanceof Reply.Events e) {
                for (State.Event x : e.events()) {
                    assertThat(x.revision()).isGreaterThan(afterRevision);
                    if (x.value() == null) {
                        assertThat(rows.remove(x.key())).isNotNull();
                    } else {
                        rows.put(x.key(), new String(x.value(), StandardCharsets.UTF_8));
                    }
                }
                assertThat(e.revision()).isGreaterThanOrEqualTo(afterRevision);
                afterRevision = e.revision();
                requestId = engine.submit(new Request.Watch("k", afterRevision, 10_000));
            } else {
                assertThat(r).isNull();
            }
        }
    }

    private static Request randomRequest(SplittableRandom r, ReferenceModel p) {
        String key = "k" + r.nextInt(6);
        int kind = r.nextInt(10);
        if (kind < 2) {
            return new Request.Get(key);
        }
        if (kind == 2) {
            return new Request.GrantLease(60_000);
        }
        long lease = r.nextInt(3) > 0 || p.nextLeaseId == 1 ? 0 : r.nextLong(1, p.nextLeaseId + 1);
        if (kind == 3) {
            return new Request.EndLease(lease);
        }
        List<Request.Condition> conditions = new ArrayList<>();
        for (int i = r.nextInt(3); i > 0; i--) {
            String k = "k" + r.nextInt(6);
            conditions.add(
                    new Request.Condition(k, r.nextInt(5) == 0 ? r.nextInt(20) : p.modRevisions.getOrDefault(k, 0L)));
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
        return new Request.Transaction(conditions, writes, 100, 10);
    }

    private static boolean sameReply(Reply a, Reply b) {
        if (a instanceof Reply.Found x && b instanceof Reply.Found y) {
            return x.key().equals(y.key())
                    && new String(x.row().value(), StandardCharsets.UTF_8)
                            .equals(new String(y.row().value(), StandardCharsets.UTF_8))
                    && x.row().modRevision() == y.row().modRevision()
                    && x.row().leaseId() == y.row().leaseId();
        }
        return a.equals(b);
    }

    @Test
    void seededHistoriesMatchTheReferenceModelThroughDelayedAndFailedSyncs() {
        int compared = 0;
        int takenBack = 0;
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            TestEngine bed = new TestEngine(LIMITS);
            ReferenceModel plain = new ReferenceModel();
            ReferenceModel durable = plain.copy();
            ArrayDeque<Long> open = new ArrayDeque<>();
            Map<Long, Reply> expected = new HashMap<>();
            WatchClient follower = new WatchClient(bed);
            for (int i = 0; i < 120; i++) {
                bed.nowMs += r.nextInt(20);
                if (r.nextInt(25) == 0) {
                    // Everything not durable is taken back, and nobody is told that it was done.
                    bed.failWrites(r.nextBoolean());
                    for (long t : open) {
                        assertThat(bed.answers.get(t))
                                .isInstanceOfAny(Reply.Unavailable.class, Reply.OutcomeUnknown.class);
                        takenBack++;
                    }
                    open.clear();
                    plain = durable.copy();
                    bed.nowMs += 2_000;
                    bed.collectOutputs(bed.engine.tick(bed.nowMs));
                    bed.completeWrites();
                    assertThat(bed.engine.readOnly()).isFalse();
                } else if (r.nextInt(4) == 0) {
                    bed.completeWrites();
                    durable = plain.copy();
                    open.clear();
                } else {
                    Request q = randomRequest(r, plain);
                    boolean idle = bed.appends.isEmpty();
                    long t = bed.submit(q);
                    expected.put(t, plain.execute(q));
                    if (idle && bed.appends.isEmpty()) {
                        assertThat(bed.answers).containsKey(t);
                    } else {
                        assertThat(bed.answers)
                                .as("answered before it was durable")
                                .doesNotContainKey(t);
                        open.add(t);
                    }
                }
                follower.poll();
            }
            bed.completeWrites();
            for (Map.Entry<Long, Reply> e : expected.entrySet()) {
                Reply got = bed.answers.get(e.getKey());
                if (!(got instanceof Reply.Unavailable) && !(got instanceof Reply.OutcomeUnknown)) {
                    assertThat(sameReply(got, e.getValue()))
                            .as("seed %s: %s, not %s", seed, got, e.getValue())
                            .isTrue();
                    compared++;
                }
            }
            follower.poll();
            assertThat(follower.rows).isEqualTo(plain.values);
        }
        assertThat(compared).isGreaterThan(15_000);
        assertThat(takenBack).isGreaterThan(500);
    }

    @Test
    void aLeaseExpiresOnlyAfterItsTtlAndRemovesItsRows() {
        TestEngine bed = new TestEngine(LIMITS);
        long lease = ((Reply.LeaseGranted) bed.submitAndComplete(new Request.GrantLease(5_000))).leaseId();
        bed.submitAndComplete(new Request.Transaction(
                List.of(), List.of(new Write.Set("a", bytes("1"), lease), set("b", "2")), 100, 10));
        bed.nowMs += 4_000;
        assertThat(bed.submitAndComplete(new Request.RenewLease(lease))).isEqualTo(new Reply.Done());
        bed.nowMs += 5_000;
        bed.collectOutputs(bed.engine.tick(bed.nowMs));
        assertThat(bed.submitAndComplete(new Request.Get("a"))).isInstanceOf(Reply.Found.class);
        bed.nowMs += 1;
        bed.collectOutputs(bed.engine.tick(bed.nowMs));
        assertThat(bed.submitAndComplete(new Request.Get("a"))).isEqualTo(new Reply.NotFound(2));
        assertThat(bed.submitAndComplete(new Request.Get("b"))).isInstanceOf(Reply.Found.class);
        assertThat(bed.submitAndComplete(new Request.RenewLease(lease))).isEqualTo(new Reply.LeaseNotFound());
        assertThat(bed.submitAndComplete(
                        txn(List.of(new Request.Condition("b", 7)), new Write.Set("c", bytes("3"), lease))))
                .as("whatever its conditions")
                .isEqualTo(new Reply.LeaseNotFound());
    }

    @Test
    void whileWritesFailChangesAreRefusedAndLeasesAndReadsContinue() {
        TestEngine bed = new TestEngine(LIMITS);
        long lease = ((Reply.LeaseGranted) bed.submitAndComplete(new Request.GrantLease(5_000))).leaseId();
        bed.submitAndComplete(
                new Request.Transaction(List.of(), List.of(new Write.Set("a", bytes("1"), lease)), 100, 10));
        long lost = bed.submit(txn(List.of(), set("b", "2")));
        bed.failWrites(false);
        assertThat(bed.answers.get(lost)).isEqualTo(new Reply.Unavailable(1));
        assertThat(bed.submitAndComplete(txn(List.of(), set("b", "3")))).isEqualTo(new Reply.Unavailable(1));
        assertThat(bed.submitAndComplete(new Request.GrantLease(1_000))).isEqualTo(new Reply.Unavailable(1));
        assertThat(bed.submitAndComplete(new Request.Get("b"))).isEqualTo(new Reply.NotFound(1));
        for (int i = 0; i < 5; i++) {
            bed.nowMs += 20_000;
            bed.collectOutputs(bed.engine.tick(bed.nowMs));
            assertThat(bed.appends).as("one try of the disk").hasSize(1);
            long read = bed.submit(new Request.Get("a"));
            assertThat(bed.answers.get(read)).as("a read does not wait for it").isInstanceOf(Reply.Found.class);
            bed.failWrites(false);
        }
        bed.nowMs += 20_000;
        bed.collectOutputs(bed.engine.tick(bed.nowMs));
        bed.completeWrites();
        assertThat(bed.engine.readOnly()).isFalse();
        bed.collectOutputs(bed.engine.tick(bed.nowMs + 5_000));
        assertThat(bed.submitAndComplete(new Request.Get("a")))
                .as("its lease had its full time again")
                .isInstanceOf(Reply.Found.class);
    }

    @Test
    void watchesReportDurableChangesInOrderAndRejectCompactedRevisions() {
        TestEngine bed = new TestEngine(LIMITS);
        long w = bed.submit(new Request.Watch("a/", 0, 10_000));
        long other = bed.submit(new Request.Watch("z/", 0, 3_000));
        bed.submit(txn(List.of(), set("a/1", "x"), set("b/1", "y")));
        assertThat(bed.answers).doesNotContainKey(w);
        bed.completeWrites();
        assertThat(((Reply.Events) bed.answers.get(w)).events())
                .extracting(State.Event::key)
                .containsExactly("a/1");
        bed.nowMs += 3_000;
        bed.collectOutputs(bed.engine.tick(bed.nowMs));
        assertThat(bed.answers.get(other)).isEqualTo(new Reply.Events(List.of(), 1));
        for (int i = 0; i < Limits.MAX_HISTORY_EVENTS / 8 + 2; i++) {
            Write[] many = new Write[8];
            for (int k = 0; k < 8; k++) {
                many[k] = set("m/" + k, "" + i);
            }
            bed.submitAndComplete(txn(List.of(), many));
        }
        assertThat(bed.submitAndComplete(new Request.Watch("a/", 1, 0))).isEqualTo(new Reply.RevisionCompacted());
        assertThat(bed.submitAndComplete(new Request.Watch("a/", 1_000_000, 0)))
                .as("a revision from nowhere")
                .isEqualTo(new Reply.RevisionCompacted());
        long revision = ((Reply.NotFound) bed.submitAndComplete(new Request.Get("none"))).revision();
        // What is remembered is whole transactions.
        Reply.Events all = (Reply.Events) bed.submitAndComplete(new Request.Watch("m/", revision - 1_000, 0));
        assertThat(all.events()).hasSize(8_000);
    }

    @Test
    void pagesAreOrderedBoundedAndContinueAfterAKey() {
        TestEngine bed = new TestEngine(LIMITS);
        for (int i = 0; i < 30; i++) {
            bed.submitAndComplete(txn(List.of(), set(String.format("p/%02d", i), "v"), set("q/" + i, "v")));
        }
        List<String> keys = new ArrayList<>();
        String after = null;
        Reply.Rows page;
        do {
            page = (Reply.Rows) bed.submitAndComplete(new Request.Page("p/", after, 7));
            page.rows().forEach(e -> keys.add(e.getKey()));
            after = keys.get(keys.size() - 1);
        } while (page.hasMore());
        assertThat(keys).hasSize(30).isSorted().allMatch(k -> k.startsWith("p/"));
    }

    @Test
    void limitsAreEnforced() {
        TestEngine bed = new TestEngine(new Limits(50, 10, 2, 100));
        assertThat(bed.submitAndComplete(txn(List.of(), set("a", "1"), set("b", "1"), set("c", "1"))))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(bed.submitAndComplete(txn(List.of(), set("a", "1"), set("a", "2"))))
                .isEqualTo(new Reply.InvalidRequest("writes: a twice"));
        assertThat(bed.submitAndComplete(txn(List.of(), set("a b", "1")))).isInstanceOf(Reply.InvalidRequest.class);
        assertThat(bed.submitAndComplete(new Request.Transaction(List.of(), List.of(set("a", "1")), 70_000, 10)))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(bed.submitAndComplete(new Request.Transaction(List.of(), List.of(set("a", "1")), 200, 101)))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(bed.submitAndComplete(new Request.GrantLease(50))).isInstanceOf(Reply.InvalidRequest.class);
        for (int i = 0; i < 10; i++) {
            // Refused conditions count as changes too.
            assertThat(bed.submitAndComplete(txn(List.of(new Request.Condition("a", 9)), set("a", "1"))))
                    .isInstanceOf(Reply.ConditionsFailed.class);
        }
        assertThat(bed.submitAndComplete(txn(List.of(), set("a", "1")))).isEqualTo(new Reply.LimitExceeded(1));
        bed.nowMs += 100;
        assertThat(bed.submitAndComplete(txn(List.of(), set("a", "1")))).isEqualTo(new Reply.Committed(1));
        for (int i = 0; i < 50; i++) {
            bed.submitAndComplete(new Request.Get("a"));
        }
        assertThat(bed.submitAndComplete(new Request.Get("a"))).isEqualTo(new Reply.LimitExceeded(1));
    }
}
