package birchusher.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.TestJobs;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import birchusher.wire.JobCodec;
import birchusher.wire.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How changes are batched into transactions, which go first when writes are scarce, and when a view counts as up to date. */
class StoreClientTest {
    private final Settings settings = SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8));
    private final Catalog catalog = new Catalog(settings);
    private final Effects effects = new Effects();
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog));
    private final StoreClient store = new StoreClient(effects, view, settings, new Tuning());
    private final List<String> builtChanges = new ArrayList<>();
    private long now = 1_000;

    StoreClientTest() {
        effects.setTime(now, now);
        store.tick();
        replyTo("/store?", 200, Map.of("rows", List.of(), "has_next", false, "epoch", 1L));
        replyTo("/watch", 200, Map.of("events", List.of(), "epoch", 1L));
    }

    private List<Effect.Call> calls(String path) {
        return effects.drain().stream()
                .filter(effect ->
                        effect instanceof Effect.Call call && call.path().startsWith(path))
                .map(effect -> (Effect.Call) effect)
                .toList();
    }

    private void replyTo(String path, int status, Map<String, Object> body) {
        calls(path).forEach(call -> effects.completeCall(call.id(), status, body));
    }

    private void enqueue(String key, int rank, int bytes) {
        store.enqueue(new Change() {
            @Override
            public int rank() {
                return rank;
            }

            @Override
            public int maxWrites() {
                return 1;
            }

            @Override
            public boolean build(Transaction tx) {
                tx.put("b/live/" + key, Map.of("x", "y".repeat(bytes)));
                builtChanges.add(key);
                return true;
            }

            @Override
            public void committed(long revision) {}

            @Override
            public void dropped() {}
        });
    }

    private void advance(long durationMs) {
        now += durationMs;
        effects.setTime(now, now);
        store.tick();
    }

    /**
     * A dozen full rows stay within the number of writes but exceed 64 KiB. Such a transaction was rejected as a whole, and built again
     * unchanged.
     */
    @Test
    void transactionStaysWithinMaxBytes() {
        enqueue("first", 4, 10);
        Effect.Call first = calls("/multi").get(0);
        for (int i = 0; i < 11; i++) {
            enqueue("row" + i, 4, 8_000);
        }
        effects.completeCall(first.id(), 200, Map.of("epoch", 2L));
        advance(3_000);
        Effect.Call second = calls("/multi").get(0);
        assertThat(Json.sizeBytes(second.body())).isBetween(30_000, 64 * 1024);
    }

    /**
     * Outcomes of many short tasks took every row of the write limit as it became free, so that a submission had to wait for the next
     * ones.
     */
    @Test
    void unawaitedChangesLeaveRowsToAwaitedOnes() {
        for (int i = 0; i < 60; i++) {
            enqueue("end" + i, 9, 10);
        }
        for (int i = 0; i < 400 && builtChanges.size() < 50; i++) {
            advance(10);
            replyTo("/multi", 200, Map.of("epoch", 2L + i));
        }
        int builtBefore = builtChanges.size();
        enqueue("submitted", 2, 10);
        advance(40);
        assertThat(builtChanges.subList(builtBefore, builtChanges.size())).contains("submitted");
        assertThat(calls("/multi")).isNotEmpty();
    }

    /**
     * A shard handover that got no response may still be applied. When it was dropped because a lease in the same transaction had ended
     * before the second attempt, its controller answered workers again, in parallel with the new owner.
     */
    @Test
    void changeWithUnknownOutcomeSurvivesRejectedTransaction() {
        enqueue("handover", 1, 10);
        effects.completeCall(calls("/multi").get(0).id(), 0, Map.of());
        advance(500);
        replyTo("/watch", 200, Map.of("events", List.of(), "epoch", 1L));
        advance(300);
        effects.completeCall(calls("/multi").get(0).id(), 400, Map.of("error", "no such lease"));
        builtChanges.clear();
        advance(1_000);
        replyTo("/watch", 200, Map.of("events", List.of(), "epoch", 1L));
        advance(300);
        assertThat(builtChanges).as("built again").contains("handover");
    }

    /**
     * A read sent in the same millisecond as a request for an up-to-date view, but before it, does not answer the request: its result may
     * be older than what another controller has reported to the user.
     */
    @Test
    void readInProgressDoesNotAnswerALaterRequest() {
        List<String> results = new ArrayList<>();
        advance(3_000);
        replyTo("/watch", 200, Map.of("events", List.of(), "epoch", 1L));
        advance(1_000);
        store.whenUpToDate(ok -> results.add("first " + ok));
        List<Effect.Call> watches = calls("/watch");
        assertThat(watches).isNotEmpty();
        store.whenUpToDate(ok -> results.add("second " + ok));
        effects.completeCall(watches.get(watches.size() - 1).id(), 200, Map.of("events", List.of(), "epoch", 1L));
        assertThat(results).isNotEmpty().doesNotContain("second true");
        for (int i = 0; i < 10; i++) {
            advance(100);
            replyTo("/watch", 200, Map.of("events", List.of(), "epoch", 1L));
        }
        assertThat(results).contains("second true");
    }

    private static final int REMOVALS = 4_200;

    private static Map<String, Object> put(String key, Map<String, Object> value, long version) {
        return Map.of("set", key, "value", value, "stamp", version);
    }

    private static Map<String, Object> remove(String key, long version) {
        return Map.of("remove", key, "stamp", version);
    }

    /** A watch response that shows a row written at 2 and removed at 3, and thousands of other removals after that. */
    private static Map<String, Object> responseWithManyRemovals(String key, Map<String, Object> value) {
        List<Object> changes = new ArrayList<>(List.of(put(key, value, 2), remove(key, 3)));
        for (long version = 4; version < 4 + REMOVALS; version++) {
            changes.add(remove("b/live/job/wk-old-" + version, version));
        }
        return Map.of("events", changes, "epoch", 4L + REMOVALS);
    }

    /** Guards against an archived job that lives again, because a watch response comes after the one that overtook it. */
    @Test
    void rowRemovedByANewerResponseIsNotRevivedByAnOlderOne() {
        Map<String, Object> row = Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", TestJobs.job());
        advance(1_000);
        Effect.Call longWatch = calls("/watch").get(0);
        assertThat(longWatch.path()).endsWith("wait_ms=10000");
        store.whenUpToDate(ok -> {});
        Effect.Call overtaking = calls("/watch").get(0);
        effects.completeCall(overtaking.id(), 200, responseWithManyRemovals("b/live/job/wk-1", row));
        assertThat(view.appliedRevision()).isEqualTo(4 + REMOVALS);
        effects.completeCall(
                longWatch.id(), 200, Map.of("events", List.of(put("b/live/job/wk-1", row, 2)), "epoch", 2L));
        assertThat(view.job("wk-1")).isNull();
        assertThat(view.version("b/live/job/wk-1")).isZero();
    }

    /** Guards against a removed row that lives again, because the response to the transaction that wrote it comes late. */
    @Test
    void rowRemovedByOthersIsNotRevivedByTheLateResponseToItsOwnTransaction() {
        enqueue("ask", 4, 10);
        Effect.Call transaction = calls("/multi").get(0);
        advance(1_000);
        effects.completeCall(
                calls("/watch").get(0).id(), 200, responseWithManyRemovals("b/live/ask", Map.of("x", "y")));
        assertThat(view.appliedRevision()).isEqualTo(4 + REMOVALS);
        effects.completeCall(transaction.id(), 200, Map.of("epoch", 2L));
        assertThat(view.row("b/live/ask")).isNull();
    }

    /** Guards against a view that holds half of a response, the other half of which can't be read. */
    @Test
    void responseWithAMalformedChangeIsRefusedWhole() {
        advance(3_000);
        List<Object> changes = List.of(put("b/live/a", Map.of("x", "y"), 2), Map.of("stamp", 3L));
        assertThatThrownBy(() -> replyTo("/watch", 200, Map.of("events", changes, "epoch", 3L)))
                .isInstanceOf(Fields.InvalidInputException.class);
        assertThat(view.row("b/live/a")).isNull();
        advance(3_000);
        replyTo("/watch", 200, Map.of("events", List.of(put("b/live/a", Map.of("x", "y"), 2)), "epoch", 3L));
        assertThat(view.row("b/live/a")).isNotNull();
    }
}
