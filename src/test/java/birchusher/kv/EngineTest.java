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

/** Checks the engine against a reference model, and the published rules for leases, watches, pages and limits. */
class EngineTest {
    private static final Limits LIMITS = new Limits(100_000, 100_000, 8, 100);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Request.Transaction transaction(List<Request.Condition> conditions, Write... writes) {
        return new Request.Transaction(conditions, List.of(writes), 100, 10);
    }

    private static Write set(String key, String value) {
        return new Write.Set(key, bytes(value), 0);
    }

    /** An engine whose entries become durable, or fail, only when the test says so. */
    private static final class TestEngine {
        final Engine delegate;
        final Map<Long, Reply> answers = new HashMap<>();
        final List<Append> appends = new ArrayList<>();
        long nowMs = 1_000;
        long lastRequestId;

        TestEngine(Limits limits) {
            delegate = new Engine(new StateRestorer(), 0, limits, nowMs);
        }

        void collectOutputs(List<Output> outputs) {
            for (Output output : outputs) {
                if (output instanceof Answer answer) {
                    assertThat(answers.put(answer.requestId(), answer.reply()))
                            .as("one answer for each request")
                            .isNull();
                } else {
                    appends.add((Append) output);
                }
            }
        }

        long submit(Request request) {
            collectOutputs(delegate.handle(nowMs, ++lastRequestId, request));
            return lastRequestId;
        }

        void completeWrites() {
            if (!appends.isEmpty()) {
                long last = appends.get(appends.size() - 1).sequence();
                appends.clear();
                collectOutputs(delegate.onDurable(nowMs, last));
            }
        }

        void failWrites(boolean outcomeUnknown) {
            appends.clear();
            collectOutputs(delegate.onWriteFailed(nowMs, outcomeUnknown));
        }

        Reply submitAndComplete(Request request) {
            long requestId = submit(request);
            completeWrites();
            return answers.get(requestId);
        }
    }

    /** The simplest implementation of the published protocol: rows by key, the revision, and the leases. */
    private static final class ReferenceModel {
        final TreeMap<String, String> values = new TreeMap<>();
        final TreeMap<String, Long> modRevisions = new TreeMap<>();
        final TreeMap<String, Long> leaseIds = new TreeMap<>();
        final TreeMap<Long, Long> ttlMsByLease = new TreeMap<>();
        long revision;
        long nextLeaseId = 1;

        ReferenceModel copy() {
            ReferenceModel copy = new ReferenceModel();
            copy.values.putAll(values);
            copy.modRevisions.putAll(modRevisions);
            copy.leaseIds.putAll(leaseIds);
            copy.ttlMsByLease.putAll(ttlMsByLease);
            copy.revision = revision;
            copy.nextLeaseId = nextLeaseId;
            return copy;
        }

        private void remove(String key) {
            values.remove(key);
            modRevisions.remove(key);
            leaseIds.remove(key);
        }

        Reply execute(Request request) {
            if (request instanceof Request.Get get) {
                return values.containsKey(get.key())
                        ? new Reply.Found(
                                get.key(),
                                new Row(
                                        bytes(values.get(get.key())),
                                        modRevisions.get(get.key()),
                                        leaseIds.get(get.key())))
                        : new Reply.NotFound(revision);
            }
            if (request instanceof Request.GrantLease grant) {
                ttlMsByLease.put(nextLeaseId, grant.ttlMs());
                return new Reply.LeaseGranted(nextLeaseId++);
            }
            if (request instanceof Request.EndLease end) {
                if (ttlMsByLease.remove(end.leaseId()) == null) {
                    return new Reply.LeaseNotFound();
                }
                List<String> removedKeys = leaseIds.entrySet().stream()
                        .filter(entry -> entry.getValue() == end.leaseId())
                        .map(Map.Entry::getKey)
                        .toList();
                revision += removedKeys.isEmpty() ? 0 : 1;
                removedKeys.forEach(this::remove);
                return new Reply.Done();
            }
            Request.Transaction transaction = (Request.Transaction) request;
            for (Write write : transaction.writes()) {
                if (write instanceof Write.Set set && set.leaseId() != 0 && !ttlMsByLease.containsKey(set.leaseId())) {
                    return new Reply.LeaseNotFound();
                }
            }
            List<String> failedKeys = transaction.conditions().stream()
                    .filter(condition -> modRevisions.getOrDefault(condition.key(), 0L) != condition.modRevision())
                    .map(Request.Condition::key)
                    .toList();
            if (!failedKeys.isEmpty()) {
                return new Reply.ConditionsFailed(failedKeys, revision);
            }
            if (transaction.writes().stream()
                    .anyMatch(write -> write instanceof Write.Set || values.containsKey(write.key()))) {
                revision++;
            }
            for (Write write : transaction.writes()) {
                remove(write.key());
                if (write instanceof Write.Set set) {
                    values.put(set.key(), new String(set.value(), StandardCharsets.UTF_8));
                    modRevisions.put(set.key(), revision);
                    leaseIds.put(set.key(), set.leaseId());
                }
            }
            return new Reply.Committed(revision);
        }
    }

    /** A client that keeps a copy of all rows by watches alone. */
    private static final class WatchClient {
        final TestEngine engine;
        final TreeMap<String, String> rows = new TreeMap<>();
        long afterRevision;
        long requestId;

        WatchClient(TestEngine engine) {
            this.engine = engine;
            requestId = engine.submit(new Request.Watch("k", 0, 10_000));
        }

        void poll() {
            Reply reply = engine.answers.get(requestId);
            if (reply instanceof Reply.Events events) {
                for (State.Event event : events.events()) {
                    assertThat(event.revision()).isGreaterThan(afterRevision);
                    if (event.value() == null) {
                        assertThat(rows.remove(event.key())).isNotNull();
                    } else {
                        rows.put(event.key(), new String(event.value(), StandardCharsets.UTF_8));
                    }
                }
                assertThat(events.revision()).isGreaterThanOrEqualTo(afterRevision);
                afterRevision = events.revision();
                requestId = engine.submit(new Request.Watch("k", afterRevision, 10_000));
            } else {
                assertThat(reply).isNull();
            }
        }
    }

    private static Request randomRequest(SplittableRandom random, ReferenceModel model) {
        String key = "k" + random.nextInt(6);
        int kind = random.nextInt(10);
        if (kind < 2) {
            return new Request.Get(key);
        }
        if (kind == 2) {
            return new Request.GrantLease(60_000);
        }
        long leaseId = random.nextInt(3) > 0 || model.nextLeaseId == 1 ? 0 : random.nextLong(1, model.nextLeaseId + 1);
        if (kind == 3) {
            return new Request.EndLease(leaseId);
        }
        List<Request.Condition> conditions = new ArrayList<>();
        for (int i = random.nextInt(3); i > 0; i--) {
            String otherKey = "k" + random.nextInt(6);
            conditions.add(new Request.Condition(
                    otherKey,
                    random.nextInt(5) == 0 ? random.nextInt(20) : model.modRevisions.getOrDefault(otherKey, 0L)));
        }
        List<Write> writes = new ArrayList<>();
        for (int i = 0; i < random.nextInt(4); i++) {
            String otherKey = "k" + (random.nextInt(3) + 3 * (i % 2));
            if (writes.stream().noneMatch(write -> write.key().equals(otherKey))) {
                writes.add(
                        random.nextInt(4) == 0
                                ? new Write.Remove(otherKey)
                                : new Write.Set(otherKey, bytes("v" + random.nextInt(1000)), leaseId));
            }
        }
        return new Request.Transaction(conditions, writes, 100, 10);
    }

    private static boolean sameReply(Reply first, Reply second) {
        if (first instanceof Reply.Found firstFound && second instanceof Reply.Found secondFound) {
            return firstFound.key().equals(secondFound.key())
                    && new String(firstFound.row().value(), StandardCharsets.UTF_8)
                            .equals(new String(secondFound.row().value(), StandardCharsets.UTF_8))
                    && firstFound.row().modRevision() == secondFound.row().modRevision()
                    && firstFound.row().leaseId() == secondFound.row().leaseId();
        }
        return first.equals(second);
    }

    @Test
    void seededHistoriesMatchTheReferenceModelThroughDelayedAndFailedSyncs() {
        int compared = 0;
        int rolledBack = 0;
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TestEngine engine = new TestEngine(LIMITS);
            ReferenceModel model = new ReferenceModel();
            ReferenceModel durableModel = model.copy();
            ArrayDeque<Long> pendingRequests = new ArrayDeque<>();
            Map<Long, Reply> expected = new HashMap<>();
            WatchClient watchClient = new WatchClient(engine);
            for (int i = 0; i < 120; i++) {
                engine.nowMs += random.nextInt(20);
                if (random.nextInt(25) == 0) {
                    // Every entry that is not durable is rolled back; no pending request may be answered as done.
                    engine.failWrites(random.nextBoolean());
                    for (long requestId : pendingRequests) {
                        assertThat(engine.answers.get(requestId))
                                .isInstanceOfAny(Reply.Unavailable.class, Reply.OutcomeUnknown.class);
                        rolledBack++;
                    }
                    pendingRequests.clear();
                    model = durableModel.copy();
                    engine.nowMs += 2_000;
                    engine.collectOutputs(engine.delegate.tick(engine.nowMs));
                    engine.completeWrites();
                    assertThat(engine.delegate.readOnly()).isFalse();
                } else if (random.nextInt(4) == 0) {
                    engine.completeWrites();
                    durableModel = model.copy();
                    pendingRequests.clear();
                } else {
                    Request request = randomRequest(random, model);
                    boolean idle = engine.appends.isEmpty();
                    long requestId = engine.submit(request);
                    expected.put(requestId, model.execute(request));
                    if (idle && engine.appends.isEmpty()) {
                        assertThat(engine.answers).containsKey(requestId);
                    } else {
                        assertThat(engine.answers)
                                .as("answered before it was durable")
                                .doesNotContainKey(requestId);
                        pendingRequests.add(requestId);
                    }
                }
                watchClient.poll();
            }
            engine.completeWrites();
            for (Map.Entry<Long, Reply> entry : expected.entrySet()) {
                Reply reply = engine.answers.get(entry.getKey());
                if (!(reply instanceof Reply.Unavailable) && !(reply instanceof Reply.OutcomeUnknown)) {
                    assertThat(sameReply(reply, entry.getValue()))
                            .as("seed %s: answered %s, expected %s", seed, reply, entry.getValue())
                            .isTrue();
                    compared++;
                }
            }
            watchClient.poll();
            assertThat(watchClient.rows).isEqualTo(model.values);
        }
        assertThat(compared).isGreaterThan(15_000);
        assertThat(rolledBack).isGreaterThan(500);
    }

    @Test
    void aLeaseExpiresOnlyAfterItsTtlAndRemovesItsRows() {
        TestEngine engine = new TestEngine(LIMITS);
        long leaseId = ((Reply.LeaseGranted) engine.submitAndComplete(new Request.GrantLease(5_000))).leaseId();
        engine.submitAndComplete(new Request.Transaction(
                List.of(), List.of(new Write.Set("a", bytes("1"), leaseId), set("b", "2")), 100, 10));
        engine.nowMs += 4_000;
        assertThat(engine.submitAndComplete(new Request.RenewLease(leaseId))).isEqualTo(new Reply.Done());
        engine.nowMs += 5_000;
        engine.collectOutputs(engine.delegate.tick(engine.nowMs));
        assertThat(engine.submitAndComplete(new Request.Get("a"))).isInstanceOf(Reply.Found.class);
        engine.nowMs += 1;
        engine.collectOutputs(engine.delegate.tick(engine.nowMs));
        assertThat(engine.submitAndComplete(new Request.Get("a"))).isEqualTo(new Reply.NotFound(2));
        assertThat(engine.submitAndComplete(new Request.Get("b"))).isInstanceOf(Reply.Found.class);
        assertThat(engine.submitAndComplete(new Request.RenewLease(leaseId))).isEqualTo(new Reply.LeaseNotFound());
        assertThat(engine.submitAndComplete(
                        transaction(List.of(new Request.Condition("b", 7)), new Write.Set("c", bytes("3"), leaseId))))
                .as("a missing lease is reported before failed conditions")
                .isEqualTo(new Reply.LeaseNotFound());
    }

    @Test
    void whileWritesFailChangesAreRefusedAndLeasesAndReadsContinue() {
        TestEngine engine = new TestEngine(LIMITS);
        long leaseId = ((Reply.LeaseGranted) engine.submitAndComplete(new Request.GrantLease(5_000))).leaseId();
        engine.submitAndComplete(
                new Request.Transaction(List.of(), List.of(new Write.Set("a", bytes("1"), leaseId)), 100, 10));
        long lostWrite = engine.submit(transaction(List.of(), set("b", "2")));
        engine.failWrites(false);
        assertThat(engine.answers.get(lostWrite)).isEqualTo(new Reply.Unavailable(1));
        assertThat(engine.submitAndComplete(transaction(List.of(), set("b", "3"))))
                .isEqualTo(new Reply.Unavailable(1));
        assertThat(engine.submitAndComplete(new Request.GrantLease(1_000))).isEqualTo(new Reply.Unavailable(1));
        assertThat(engine.submitAndComplete(new Request.Get("b"))).isEqualTo(new Reply.NotFound(1));
        for (int i = 0; i < 5; i++) {
            engine.nowMs += 20_000;
            engine.collectOutputs(engine.delegate.tick(engine.nowMs));
            assertThat(engine.appends).as("one probe of the disk").hasSize(1);
            long read = engine.submit(new Request.Get("a"));
            assertThat(engine.answers.get(read))
                    .as("a read does not wait for the probe")
                    .isInstanceOf(Reply.Found.class);
            engine.failWrites(false);
        }
        engine.nowMs += 20_000;
        engine.collectOutputs(engine.delegate.tick(engine.nowMs));
        engine.completeWrites();
        assertThat(engine.delegate.readOnly()).isFalse();
        engine.collectOutputs(engine.delegate.tick(engine.nowMs + 5_000));
        assertThat(engine.submitAndComplete(new Request.Get("a")))
                .as("the lease has its full time to live again")
                .isInstanceOf(Reply.Found.class);
    }

    @Test
    void watchesReportDurableChangesInOrderAndRejectCompactedRevisions() {
        TestEngine engine = new TestEngine(LIMITS);
        long watch = engine.submit(new Request.Watch("a/", 0, 10_000));
        long otherWatch = engine.submit(new Request.Watch("z/", 0, 3_000));
        engine.submit(transaction(List.of(), set("a/1", "x"), set("b/1", "y")));
        assertThat(engine.answers).doesNotContainKey(watch);
        engine.completeWrites();
        assertThat(((Reply.Events) engine.answers.get(watch)).events())
                .extracting(State.Event::key)
                .containsExactly("a/1");
        engine.nowMs += 3_000;
        engine.collectOutputs(engine.delegate.tick(engine.nowMs));
        assertThat(engine.answers.get(otherWatch)).isEqualTo(new Reply.Events(List.of(), 1));
        for (int i = 0; i < Limits.MAX_HISTORY_EVENTS / 8 + 2; i++) {
            Write[] writes = new Write[8];
            for (int j = 0; j < 8; j++) {
                writes[j] = set("m/" + j, "" + i);
            }
            engine.submitAndComplete(transaction(List.of(), writes));
        }
        assertThat(engine.submitAndComplete(new Request.Watch("a/", 1, 0))).isEqualTo(new Reply.RevisionCompacted());
        assertThat(engine.submitAndComplete(new Request.Watch("a/", 1_000_000, 0)))
                .as("a revision that this store has not reached")
                .isEqualTo(new Reply.RevisionCompacted());
        long revision = ((Reply.NotFound) engine.submitAndComplete(new Request.Get("none"))).revision();
        // The history holds whole transactions: 1,000 revisions of 8 changes each.
        Reply.Events allChanges = (Reply.Events) engine.submitAndComplete(new Request.Watch("m/", revision - 1_000, 0));
        assertThat(allChanges.events()).hasSize(8_000);
    }

    @Test
    void pagesAreOrderedBoundedAndContinueAfterAKey() {
        TestEngine engine = new TestEngine(LIMITS);
        for (int i = 0; i < 30; i++) {
            engine.submitAndComplete(transaction(List.of(), set(String.format("p/%02d", i), "v"), set("q/" + i, "v")));
        }
        List<String> keys = new ArrayList<>();
        String after = null;
        Reply.Rows page;
        do {
            page = (Reply.Rows) engine.submitAndComplete(new Request.Page("p/", after, 7));
            page.rows().forEach(entry -> keys.add(entry.getKey()));
            after = keys.get(keys.size() - 1);
        } while (page.hasMore());
        assertThat(keys).hasSize(30).isSorted().allMatch(key -> key.startsWith("p/"));
    }

    @Test
    void limitsAreEnforced() {
        TestEngine engine = new TestEngine(new Limits(50, 10, 2, 100));
        assertThat(engine.submitAndComplete(transaction(List.of(), set("a", "1"), set("b", "1"), set("c", "1"))))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(engine.submitAndComplete(transaction(List.of(), set("a", "1"), set("a", "2"))))
                .isEqualTo(new Reply.InvalidRequest("writes: a twice"));
        assertThat(engine.submitAndComplete(transaction(List.of(), set("a b", "1"))))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(engine.submitAndComplete(new Request.Transaction(List.of(), List.of(set("a", "1")), 70_000, 10)))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(engine.submitAndComplete(new Request.Transaction(List.of(), List.of(set("a", "1")), 200, 101)))
                .isInstanceOf(Reply.InvalidRequest.class);
        assertThat(engine.submitAndComplete(new Request.GrantLease(50))).isInstanceOf(Reply.InvalidRequest.class);
        for (int i = 0; i < 10; i++) {
            // The write rate limit also counts transactions whose conditions fail.
            assertThat(engine.submitAndComplete(transaction(List.of(new Request.Condition("a", 9)), set("a", "1"))))
                    .isInstanceOf(Reply.ConditionsFailed.class);
        }
        assertThat(engine.submitAndComplete(transaction(List.of(), set("a", "1"))))
                .isEqualTo(new Reply.LimitExceeded(1));
        engine.nowMs += 100;
        assertThat(engine.submitAndComplete(transaction(List.of(), set("a", "1"))))
                .isEqualTo(new Reply.Committed(1));
        for (int i = 0; i < 50; i++) {
            engine.submitAndComplete(new Request.Get("a"));
        }
        assertThat(engine.submitAndComplete(new Request.Get("a"))).isEqualTo(new Reply.LimitExceeded(1));
    }
}
