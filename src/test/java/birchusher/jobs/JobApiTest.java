package birchusher.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.TestJobs;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import birchusher.wire.MessagePackCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Answers to users whose requests wait for responses of the state service that come in an unusual order. */
class JobApiTest {
    private static final String ID = "wk-1";
    private static final long NOW_MS = 1_000;

    private final Settings settings = SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8));
    private final Catalog catalog = new Catalog(settings);
    private final JobCodec codec = new JobCodec(catalog);
    private final Effects effects = new Effects();
    private final StoreView view = new StoreView(catalog, codec);
    private final StoreClient store = new StoreClient(effects, view, settings, new Tuning());
    private final JobApi jobApi = new JobApi(
            effects,
            settings,
            catalog,
            codec,
            view,
            store,
            new Membership(effects, settings, catalog, view, store, new Tuning()));
    private final List<Effect.Call> calls = new ArrayList<>();
    private final List<Effect.Answer> answers = new ArrayList<>();

    JobApiTest() {
        effects.setTime(NOW_MS, NOW_MS);
        catalog.addTypes(List.of(
                new Catalog.MachineType(catalog.typeNames.add("g4"), "g4", 8, 4, 64, 50, 1, 4, 1, 40, new int[] {0})));
        store.tick();
        reply("/store?", Map.of("rows", List.of(), "has_next", false, "epoch", 1L));
        reply("/watch", Map.of("events", List.of(), "epoch", 1L));
    }

    private void collect() {
        for (Effect effect : effects.drain()) {
            if (effect instanceof Effect.Call call) {
                calls.add(call);
            } else if (effect instanceof Effect.Answer answer) {
                answers.add(answer);
            }
        }
    }

    /** Answers the oldest request to the state service with this path. */
    private void reply(String path, Map<String, Object> body) {
        collect();
        Effect.Call call = calls.stream()
                .filter(sent -> sent.path().startsWith(path))
                .findFirst()
                .orElseThrow();
        calls.remove(call);
        effects.completeCall(call.id(), 200, body);
        collect();
    }

    /** Guards against an acceptance that is answered late with queued, after the view has seen the job's end. */
    @Test
    void acceptanceWhoseResponseIsLateIsAnsweredWithTheEndThatTheViewShows() {
        jobApi.submit(7, MessagePackCodec.encode(TestJobs.job()));
        collect();
        effects.setTime(NOW_MS + 1_000, NOW_MS + 1_000);
        store.tick();
        Map<String, Object> ended = StoreView.endedJobRow(true, 2);
        reply(
                "/watch",
                Map.of(
                        "events",
                        List.of(Map.of("set", Keys.ENDED_JOB + ID, "value", ended, "stamp", 4L)),
                        "epoch",
                        4L));
        reply("/multi", Map.of("epoch", 2L));
        for (int i = 0; i < 3 && answers.isEmpty(); i++) {
            effects.setTime(effects.now() + 300, effects.now() + 300);
            store.tick();
            reply("/watch", Map.of("events", List.of(), "epoch", 4L));
        }
        assertThat(answers).hasSize(1);
        assertThat(((Map<?, ?>) answers.get(0).body()).get("stage")).isEqualTo("done");
    }

    /** Guards against an acceptance that waits for a further read, because its response came after the start of the job's tasks. */
    @Test
    void acceptanceOfAJobThatRunsAlreadyIsAnsweredAtOnce() {
        jobApi.submit(7, MessagePackCodec.encode(TestJobs.job()));
        collect();
        effects.setTime(NOW_MS + 1_000, NOW_MS + 1_000);
        store.tick();
        Map<String, Object> row = Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", TestJobs.job());
        Map<String, Object> placement = Map.of("a", 1L, "d", "", "c", "0:1:n-000001:1:0");
        reply(
                "/watch",
                Map.of(
                        "events",
                        List.of(
                                Map.of("set", Keys.JOB + ID, "value", row, "stamp", 2L),
                                Map.of("set", Keys.placement(ID, 0), "value", placement, "stamp", 3L)),
                        "epoch",
                        3L));
        reply("/multi", Map.of("epoch", 2L));
        assertThat(answers).hasSize(1);
        assertThat(answers.get(0).status()).isEqualTo(201);
    }
}
