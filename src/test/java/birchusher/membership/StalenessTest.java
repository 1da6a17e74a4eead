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
    private static final long LIFE = 5;
    private static final String PEERS = "\"seeds\":[{\"member\":\"b\",\"area\":\"z\",\"peer_addr\":\"1.1.1.1:5\"},"
            + "{\"member\":\"c\",\"area\":\"z\",\"peer_addr\":\"1.1.1.1:6\"}]";

    /** One controller's knowledge, its state service answered by hand. */
    private static final class Side {
        final Settings settings = SettingsReader.read(
                TestJobs.SETTINGS.replace("\"seeds\":[]", PEERS).getBytes(StandardCharsets.UTF_8));
        final Catalog catalog = new Catalog(settings);
        final Effects effects = new Effects();
        final StoreView view = new StoreView(catalog, new JobCodec(catalog));
        final StoreClient store = new StoreClient(effects, view, settings, new Tuning());
        final Staleness staleness = new Staleness(effects, settings, view, store);
        long now = 100_000;

        Side(long revision) {
            effects.time(now, now);
            store.tick();
            answer("/store?", 200, Map.of("rows", List.of(), "has_next", false, "epoch", revision));
            answer("/watch", 200, Map.of("events", List.of(), "epoch", revision));
        }

        List<Effect.Call> calls(String path) {
            List<Effect.Call> l = new ArrayList<>();
            for (Effect e : effects.drain()) {
                if (e instanceof Effect.Call c && c.path().startsWith(path)) {
                    l.add(c);
                }
            }
            return l;
        }

        void answer(String path, int status, Map<String, Object> body) {
            calls(path).forEach(c -> effects.reply(c.id(), status, body));
        }

        /** Time in which the state service answers 503. */
        void out(long ms) {
            for (long end = now + ms; now < end; ) {
                now += 100;
                effects.time(now, now);
                store.tick();
                answer("/", 503, Map.of());
            }
        }

        void cancelled(String id, long revision) {
            view.put("b/end/" + id, StoreView.endedJobRow(false, 1), revision);
        }
    }

    private final Side us = new Side(40);
    private final Side other = new Side(40);

    /** What a peer that is out as well and knows nothing newer would say to a question of that time. */
    private static RevisionReply word(long sentAt) {
        return new RevisionReply(sentAt, LIFE, false, 40, 40, List.of());
    }

    @Test
    void aReadCountsFromWhenItWasSentAndOtherAnswersNotAtAll() {
        us.now += 3_000;
        us.effects.time(us.now, us.now);
        us.store.tick();
        long sent = us.now;
        List<Effect.Call> reads = us.calls("/watch");
        us.now += 900;
        us.effects.time(us.now, us.now);
        us.store.callLease("POST", "/leases/1/extend", Map.of(), (s, m) -> {});
        us.answer("/leases", 200, Map.of());
        assertThat(us.staleness.informedUpTo()).isEqualTo(100_000);
        reads.forEach(c -> us.effects.reply(c.id(), 200, Map.of("events", List.of(), "epoch", 41L)));
        assertThat(us.staleness.informedUpTo()).isEqualTo(sent);
    }

    @Test
    void itTakesTheWordOfEveryOtherMemberAndEachCountsFromItsQuestion() {
        us.out(20_000);
        us.staleness.replied(1, word(us.now - 300), LIFE);
        assertThat(us.staleness.informedUpTo()).as("one of two is not enough").isEqualTo(100_000);
        us.staleness.replied(2, word(us.now - 7_000), LIFE);
        assertThat(us.staleness.informedUpTo()).as("long on its way").isEqualTo(us.now - 7_000);
        assertThat(us.staleness.informed()).isTrue();
        us.out(Math.round(us.settings.staleMs()));
        assertThat(us.staleness.informed()).as("the bound").isFalse();
    }

    @Test
    void noWordIsWhatIsServedOrAnswersAnotherLifeOrComesFromTheFutureOrKnowsMore() {
        us.out(20_000);
        us.staleness.replied(2, word(us.now), LIFE);
        for (RevisionReply r : List.of(
                new RevisionReply(us.now, LIFE, true, 40, 40, List.of()),
                new RevisionReply(us.now, LIFE - 1, false, 40, 40, List.of()),
                new RevisionReply(us.now + 1, LIFE, false, 40, 40, List.of()),
                new RevisionReply(us.now, LIFE, false, 41, -1, List.of()),
                new RevisionReply(us.now, LIFE, false, 41, 41, List.of()),
                new RevisionReply(us.now, LIFE, false, -1, -1, List.of()))) {
            us.staleness.replied(1, r, LIFE);
            assertThat(us.staleness.informedUpTo()).as("%s", r).isEqualTo(100_000);
        }
        us.staleness.replied(
                1, new RevisionReply(us.now, LIFE, false, 44, 40, List.of(new Cancellation("wk-7", 43))), LIFE);
        assertThat(us.staleness.informedUpTo()).isEqualTo(us.now);
        assertThat(us.view.isCancelled("wk-7")).isTrue();
    }

    @Test
    void aPeerTellsWhatTheAskerLacksAndNothingOlder() {
        other.cancelled("wk-1", 39);
        other.cancelled("wk-2", 41);
        other.cancelled("wk-3", 45);
        other.out(4_000);
        assertThat(other.staleness.reply(new RevisionQuery(7, 41), LIFE))
                .isEqualTo(new RevisionReply(7, LIFE, false, 45, 41, List.of(new Cancellation("wk-3", 45))));
        assertThat(other.staleness.reply(new RevisionQuery(7, 40), LIFE).cancellations())
                .extracting(Cancellation::job)
                .containsExactly("wk-2", "wk-3");
    }

    /** Final states are read last, and an earlier life may have told users of one: what it read as a whole it can't list. */
    @Test
    void aPeerThatReadEverythingAnewCantTellWhatCameBefore() {
        Side back = new Side(50);
        back.out(4_000);
        RevisionReply r = back.staleness.reply(new RevisionQuery(us.now, 40), LIFE);
        assertThat(r.knownRevision()).isEqualTo(50);
        assertThat(r.sinceRevision()).isEqualTo(-1);
        assertThat(back.staleness.reply(new RevisionQuery(us.now, 50), LIFE).sinceRevision())
                .isEqualTo(50);
    }

    @Test
    void aPeerThatHasReadNothingGivesNoWord() {
        Side blank = new Side(50);
        blank.answer("/", 200, Map.of());
        // As after a watch that was too old: all is read anew.
        blank.now += 3_000;
        blank.effects.time(blank.now, blank.now);
        blank.store.tick();
        blank.answer("/watch", 410, Map.of());
        assertThat(blank.store.loaded()).isFalse();
        assertThat(blank.staleness.reply(new RevisionQuery(us.now, 60), LIFE).knownRevision())
                .isEqualTo(-1);
    }

    @Test
    void tooManyToTellIsNoWordAndTooManyToKeepNeither() {
        for (int i = 0; i < 501; i++) {
            other.cancelled("wk-" + i, 41 + i);
        }
        other.out(4_000);
        RevisionReply r = other.staleness.reply(new RevisionQuery(us.now, 40), LIFE);
        assertThat(r.sinceRevision()).isEqualTo(-1);
        assertThat(r.cancellations()).isEmpty();
        us.out(20_000);
        us.staleness.replied(2, word(us.now), LIFE);
        for (int i = 0; i < 5; i++) {
            List<Cancellation> many = new ArrayList<>();
            for (int k = 0; k < 450; k++) {
                many.add(new Cancellation("wk-" + i + k * 10, 1_000));
            }
            us.staleness.replied(1, new RevisionReply(us.now, LIFE, false, 1_000, 40, many), LIFE);
            assertThat(us.staleness.informedUpTo() == us.now).as("round %s", i).isEqualTo(i < 4);
            us.out(100);
            us.staleness.replied(2, word(us.now), LIFE);
        }
    }

    /** A reading, or a long outage, may hide what the view dropped: what is kept is bounded, and says so. */
    @Test
    void whatIsKeptOfCancellationsIsBounded() {
        for (int i = 0; i < 2_500; i++) {
            other.cancelled("wk-" + i, 41 + i);
        }
        assertThat(other.view.cancellations().since(41 + 2_000, 10_000)).hasSize(499);
        assertThat(other.view.cancellations().since(41 + 100, 10_000)).isNull();
    }
}
