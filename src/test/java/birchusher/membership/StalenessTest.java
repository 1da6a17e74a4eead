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

/** Up to which moment a controller is informed, word by word. The controller has two peers. */
class StalenessTest {
    private static final long INCARNATION = 5;
    private static final String PEER_SETTINGS =
            "\"seeds\":[{\"member\":\"b\",\"area\":\"z\",\"peer_addr\":\"1.1.1.1:5\"},"
                    + "{\"member\":\"c\",\"area\":\"z\",\"peer_addr\":\"1.1.1.1:6\"}]";

    /** One controller's knowledge, its state service answered by hand. */
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
            List<Effect.Call> l = new ArrayList<>();
            for (Effect e : effects.drain()) {
                if (e instanceof Effect.Call c && c.path().startsWith(path)) {
                    l.add(c);
                }
            }
            return l;
        }

        void answerCalls(String path, int status, Map<String, Object> body) {
            drainCalls(path).forEach(c -> effects.completeCall(c.id(), status, body));
        }

        /** Time in which the state service answers 503. */
        void refuseStoreCalls(long ms) {
            for (long end = now + ms; now < end; ) {
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

    /** What a peer that is out as well and knows nothing newer would say to a question of that time. */
    private static RevisionReply replyWithoutNews(long sentAt) {
        return new RevisionReply(sentAt, INCARNATION, false, 40, 40, List.of());
    }

    @Test
    void viewIsUpToDateAsOfTheSendingOfAReadOnly() {
        controller.now += 3_000;
        controller.effects.setTime(controller.now, controller.now);
        controller.store.tick();
        long sent = controller.now;
        List<Effect.Call> reads = controller.drainCalls("/watch");
        controller.now += 900;
        controller.effects.setTime(controller.now, controller.now);
        controller.store.callLease("POST", "/leases/1/extend", Map.of(), (s, m) -> {});
        controller.answerCalls("/leases", 200, Map.of());
        assertThat(controller.staleness.upToDateAtMs()).isEqualTo(100_000);
        reads.forEach(c -> controller.effects.completeCall(c.id(), 200, Map.of("events", List.of(), "epoch", 41L)));
        assertThat(controller.staleness.upToDateAtMs()).isEqualTo(sent);
    }

    @Test
    void repliesOfAllPeersAreNeededAndCountFromTheirQueries() {
        controller.refuseStoreCalls(20_000);
        controller.staleness.handleReply(1, replyWithoutNews(controller.now - 300), INCARNATION);
        assertThat(controller.staleness.upToDateAtMs())
                .as("one of two is not enough")
                .isEqualTo(100_000);
        controller.staleness.handleReply(2, replyWithoutNews(controller.now - 7_000), INCARNATION);
        assertThat(controller.staleness.upToDateAtMs()).as("long on its way").isEqualTo(controller.now - 7_000);
        assertThat(controller.staleness.isUpToDate()).isTrue();
        controller.refuseStoreCalls(Math.round(controller.settings.staleMs()));
        assertThat(controller.staleness.isUpToDate()).as("the bound").isFalse();
    }

    @Test
    void repliesThatDoNotProveTheViewAreIgnored() {
        controller.refuseStoreCalls(20_000);
        controller.staleness.handleReply(2, replyWithoutNews(controller.now), INCARNATION);
        for (RevisionReply r : List.of(
                new RevisionReply(controller.now, INCARNATION, true, 40, 40, List.of()),
                new RevisionReply(controller.now, INCARNATION - 1, false, 40, 40, List.of()),
                new RevisionReply(controller.now + 1, INCARNATION, false, 40, 40, List.of()),
                new RevisionReply(controller.now, INCARNATION, false, 41, -1, List.of()),
                new RevisionReply(controller.now, INCARNATION, false, 41, 41, List.of()),
                new RevisionReply(controller.now, INCARNATION, false, -1, -1, List.of()))) {
            controller.staleness.handleReply(1, r, INCARNATION);
            assertThat(controller.staleness.upToDateAtMs()).as("%s", r).isEqualTo(100_000);
        }
        controller.staleness.handleReply(
                1,
                new RevisionReply(controller.now, INCARNATION, false, 44, 40, List.of(new Cancellation("wk-7", 43))),
                INCARNATION);
        assertThat(controller.staleness.upToDateAtMs()).isEqualTo(controller.now);
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

    /** Final states are read last, and an earlier life may have told users of one: what it read as a whole it can't list. */
    @Test
    void peerCannotListCancellationsFromBeforeItsFullRead() {
        TestController back = new TestController(50);
        back.refuseStoreCalls(4_000);
        RevisionReply r = back.staleness.answerQuery(new RevisionQuery(controller.now, 40), INCARNATION);
        assertThat(r.knownRevision()).isEqualTo(50);
        assertThat(r.sinceRevision()).isEqualTo(-1);
        assertThat(back.staleness
                        .answerQuery(new RevisionQuery(controller.now, 50), INCARNATION)
                        .sinceRevision())
                .isEqualTo(50);
    }

    @Test
    void peerThatHasNotLoadedTheStoreProvesNothing() {
        TestController blank = new TestController(50);
        blank.answerCalls("/", 200, Map.of());
        // As after a watch that was too old: all is read anew.
        blank.now += 3_000;
        blank.effects.setTime(blank.now, blank.now);
        blank.store.tick();
        blank.answerCalls("/watch", 410, Map.of());
        assertThat(blank.store.loaded()).isFalse();
        assertThat(blank.staleness
                        .answerQuery(new RevisionQuery(controller.now, 60), INCARNATION)
                        .knownRevision())
                .isEqualTo(-1);
    }

    @Test
    void tooManyCancellationsToSendOrToKeepProveNothing() {
        for (int i = 0; i < 501; i++) {
            peer.addCancellation("wk-" + i, 41 + i);
        }
        peer.refuseStoreCalls(4_000);
        RevisionReply r = peer.staleness.answerQuery(new RevisionQuery(controller.now, 40), INCARNATION);
        assertThat(r.sinceRevision()).isEqualTo(-1);
        assertThat(r.cancellations()).isEmpty();
        controller.refuseStoreCalls(20_000);
        controller.staleness.handleReply(2, replyWithoutNews(controller.now), INCARNATION);
        for (int i = 0; i < 5; i++) {
            List<Cancellation> many = new ArrayList<>();
            for (int k = 0; k < 450; k++) {
                many.add(new Cancellation("wk-" + i + k * 10, 1_000));
            }
            controller.staleness.handleReply(
                    1, new RevisionReply(controller.now, INCARNATION, false, 1_000, 40, many), INCARNATION);
            assertThat(controller.staleness.upToDateAtMs() == controller.now)
                    .as("round %s", i)
                    .isEqualTo(i < 4);
            controller.refuseStoreCalls(100);
            controller.staleness.handleReply(2, replyWithoutNews(controller.now), INCARNATION);
        }
    }

    /** A reading, or a long outage, may hide what the view dropped: what is kept is bounded, and says so. */
    @Test
    void keptCancellationsAreBounded() {
        for (int i = 0; i < 2_500; i++) {
            peer.addCancellation("wk-" + i, 41 + i);
        }
        assertThat(peer.view.cancellations().since(41 + 2_000, 10_000)).hasSize(499);
        assertThat(peer.view.cancellations().since(41 + 100, 10_000)).isNull();
    }
}
