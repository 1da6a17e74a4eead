package birchusher.membership;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.TestJobs;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.mesh.PeerRecord.Cancellation;
import birchusher.mesh.PeerRecord.RevisionQuery;
import birchusher.mesh.PeerRecord.RevisionReply;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks up to which moment a controller's view counts as up to date, for each kind of evidence. It has two peers. */
class StalenessTest {
    private static final long INCARNATION = 5;
    private static final String PEER_SETTINGS =
            "\"seeds\":[{\"member\":\"b\",\"area\":\"z\",\"peer_addr\":\"1.1.1.1:5\"},"
                    + "{\"member\":\"c\",\"area\":\"z\",\"peer_addr\":\"1.1.1.1:6\"}]";

    /** The view and staleness of one controller; the test answers its calls to the state service. */
    private static final class TestController {
        final Settings settings = SettingsReader.read(
                TestJobs.SETTINGS.replace("\"seeds\":[]", PEER_SETTINGS).getBytes(StandardCharsets.UTF_8));
        final Catalog catalog = new Catalog(settings);
        final Effects effects = new Effects();
        final StoreView view = new StoreView(catalog, new JobCodec(catalog));
        final StoreClient store = new StoreClient(effects, view, settings, new Tuning());
        final Staleness staleness = new Staleness(effects, settings, view, store);
        long now = 100_000;

        TestController(long revision) {
            effects.setTime(now, now);
            store.tick();
            answerCalls("/store?", 200, Map.of("rows", List.of(), "has_next", false, "epoch", revision));
            answerCalls("/watch", 200, Map.of("events", List.of(), "epoch", revision));
        }

        List<Effect.Call> drainCalls(String path) {
            List<Effect.Call> calls = new ArrayList<>();
            for (Effect effect : effects.drain()) {
                if (effect instanceof Effect.Call call && call.path().startsWith(path)) {
                    calls.add(call);
                }
            }
            return calls;
        }

        void answerCalls(String path, int status, Map<String, Object> body) {
            drainCalls(path).forEach(call -> effects.completeCall(call.id(), status, body));
        }

        /** Lets this much time pass, in which the state service answers every call with 503. */
        void refuseStoreCalls(long durationMs) {
            for (long endMs = now + durationMs; now < endMs; ) {
                now += 100;
                effects.setTime(now, now);
                store.tick();
                answerCalls("/", 503, Map.of());
            }
        }

        void addCancellation(String id, long revision) {
            view.put("b/end/" + id, StoreView.endedJobRow(false, 1), revision);
        }
    }

    private final TestController controller = new TestController(40);
    private final TestController peer = new TestController(40);

    /**
     * The reply, to a query sent at that time, of a peer that the state service does not answer and whose view
     * contains nothing newer.
     */
    private static RevisionReply replyWithNothingNewer(long querySentAtMs) {
        return new RevisionReply(querySentAtMs, INCARNATION, false, 40, 40, List.of());
    }

    @Test
    void viewIsUpToDateAsOfTheSendingOfAReadOnly() {
        controller.now += 3_000;
        controller.effects.setTime(controller.now, controller.now);
        controller.store.tick();
        long sentAtMs = controller.now;
        List<Effect.Call> reads = controller.drainCalls("/watch");
        controller.now += 900;
        controller.effects.setTime(controller.now, controller.now);
        controller.store.callLease("POST", "/leases/1/extend", Map.of(), (status, body) -> {});
        controller.answerCalls("/leases", 200, Map.of());
        assertThat(controller.staleness.upToDateAsOfMs()).isEqualTo(100_000);
        reads.forEach(
                call -> controller.effects.completeCall(call.id(), 200, Map.of("events", List.of(), "epoch", 41L)));
        assertThat(controller.staleness.upToDateAsOfMs()).isEqualTo(sentAtMs);
    }

    @Test
    void repliesOfAllPeersAreNeededAndCountFromTheirQueries() {
        controller.refuseStoreCalls(20_000);
        controller.staleness.handleReply(1, replyWithNothingNewer(controller.now - 300), INCARNATION);
        assertThat(controller.staleness.upToDateAsOfMs())
                .as("one of two is not enough")
                .isEqualTo(100_000);
        controller.staleness.handleReply(2, replyWithNothingNewer(controller.now - 7_000), INCARNATION);
        assertThat(controller.staleness.upToDateAsOfMs())
                .as("a reply that was delayed")
                .isEqualTo(controller.now - 7_000);
        assertThat(controller.staleness.isUpToDate()).isTrue();
        controller.refuseStoreCalls(Math.round(controller.settings.stalenessLimitMs()));
        assertThat(controller.staleness.isUpToDate()).as("age above the bound").isFalse();
    }

    @Test
    void repliesThatDoNotProveTheViewAreIgnored() {
        controller.refuseStoreCalls(20_000);
        controller.staleness.handleReply(2, replyWithNothingNewer(controller.now), INCARNATION);
        for (RevisionReply reply : List.of(
                new RevisionReply(controller.now, INCARNATION, true, 40, 40, List.of()),
                new RevisionReply(controller.now, INCARNATION - 1, false, 40, 40, List.of()),
                new RevisionReply(controller.now + 1, INCARNATION, false, 40, 40, List.of()),
                new RevisionReply(controller.now, INCARNATION, false, 41, -1, List.of()),
                new RevisionReply(controller.now, INCARNATION, false, 41, 41, List.of()),
                new RevisionReply(controller.now, INCARNATION, false, -1, -1, List.of()))) {
            controller.staleness.handleReply(1, reply, INCARNATION);
            assertThat(controller.staleness.upToDateAsOfMs()).as("%s", reply).isEqualTo(100_000);
        }
        controller.staleness.handleReply(
                1,
                new RevisionReply(controller.now, INCARNATION, false, 44, 40, List.of(new Cancellation("wk-7", 43))),
                INCARNATION);
        assertThat(controller.staleness.upToDateAsOfMs()).isEqualTo(controller.now);
        assertThat(controller.view.isCancelled("wk-7")).isTrue();
    }

    @Test
    void replyHoldsOnlyCancellationsAfterTheQueriedRevision() {
        peer.addCancellation("wk-1", 39);
        peer.addCancellation("wk-2", 41);
        peer.addCancellation("wk-3", 45);
        peer.refuseStoreCalls(4_000);
        assertThat(peer.staleness.answerQuery(new RevisionQuery(7, 41), INCARNATION))
                .isEqualTo(new RevisionReply(7, INCARNATION, false, 45, 41, List.of(new Cancellation("wk-3", 45))));
        assertThat(peer.staleness
                        .answerQuery(new RevisionQuery(7, 40), INCARNATION)
                        .cancellations())
                .extracting(Cancellation::job)
                .containsExactly("wk-2", "wk-3");
    }

    /**
     * A controller that read all rows cannot list the cancellations among them with their revisions, though an earlier
     * incarnation may have reported them to users: ended jobs are read last.
     */
    @Test
    void peerCannotListCancellationsFromBeforeItsFullRead() {
        TestController restarted = new TestController(50);
        restarted.refuseStoreCalls(4_000);
        RevisionReply reply = restarted.staleness.answerQuery(new RevisionQuery(controller.now, 40), INCARNATION);
        assertThat(reply.knownRevision()).isEqualTo(50);
        assertThat(reply.sinceRevision()).isEqualTo(-1);
        assertThat(restarted
                        .staleness
                        .answerQuery(new RevisionQuery(controller.now, 50), INCARNATION)
                        .sinceRevision())
                .isEqualTo(50);
    }

    @Test
    void peerThatHasNotLoadedTheStoreProvesNothing() {
        TestController unloaded = new TestController(50);
        unloaded.answerCalls("/", 200, Map.of());
        // After a watch from a revision that is too old, all rows have to be read again.
        unloaded.now += 3_000;
        unloaded.effects.setTime(unloaded.now, unloaded.now);
        unloaded.store.tick();
        unloaded.answerCalls("/watch", 410, Map.of());
        assertThat(unloaded.store.loaded()).isFalse();
        assertThat(unloaded.staleness
                        .answerQuery(new RevisionQuery(controller.now, 60), INCARNATION)
                        .knownRevision())
                .isEqualTo(-1);
    }

    @Test
    void tooManyCancellationsToSendOrToKeepProveNothing() {
        for (int round = 0; round < 501; round++) {
            peer.addCancellation("wk-" + round, 41 + round);
        }
        peer.refuseStoreCalls(4_000);
        RevisionReply reply = peer.staleness.answerQuery(new RevisionQuery(controller.now, 40), INCARNATION);
        assertThat(reply.sinceRevision()).isEqualTo(-1);
        assertThat(reply.cancellations()).isEmpty();
        controller.refuseStoreCalls(20_000);
        controller.staleness.handleReply(2, replyWithNothingNewer(controller.now), INCARNATION);
        for (int round = 0; round < 5; round++) {
            List<Cancellation> many = new ArrayList<>();
            for (int j = 0; j < 450; j++) {
                many.add(new Cancellation("wk-" + round + j * 10, 1_000));
            }
            controller.staleness.handleReply(
                    1, new RevisionReply(controller.now, INCARNATION, false, 1_000, 40, many), INCARNATION);
            assertThat(controller.staleness.upToDateAsOfMs() == controller.now)
                    .as("round %s", round)
                    .isEqualTo(round < 4);
            controller.refuseStoreCalls(100);
            controller.staleness.handleReply(2, replyWithNothingNewer(controller.now), INCARNATION);
        }
    }

    /**
     * The view bounds the cancellations that it keeps. After a full read or a long outage, a query from before the oldest
     * kept one gets null, not a list that lacks the dropped ones.
     */
    @Test
    void keptCancellationsAreBounded() {
        for (int i = 0; i < 2_500; i++) {
            peer.addCancellation("wk-" + i, 41 + i);
        }
        assertThat(peer.view.cancellations().since(41 + 2_000, 10_000)).hasSize(499);
        assertThat(peer.view.cancellations().since(41 + 100, 10_000)).isNull();
    }
}
