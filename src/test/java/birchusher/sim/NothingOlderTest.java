package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.sim.AnswerHistory.Kind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What any controller told a user, no controller may take back: answers about one job asked at all of them within milliseconds. */
class NothingOlderTest {
    @BeforeAll
    static void quiet() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /** The owner of a job's machine commits its last end, not having seen that another controller has cancelled the job. */
    @ParameterizedTest
    @CsvSource({"1, 3", "2, 3", "3, 3", "4, 7", "5, 7", "6, 7"})
    void ofACancellationAndALastEndOnlyOneIsTold(long seed, int controllers) {
        World w = new World(seed, controllers, 16);
        w.submit("wk-web", "standing", 3, "production", true, false);
        int n = 8;
        int met = 0;
        w.run(25_000);
        for (int i = 0; i < n; i++) {
            w.runs.put("wk-e" + i + "/0", 60_000L);
            w.submit("wk-e" + i, "sweep", 1, "standard", false, false);
        }
        w.run(14_000);
        for (int i = 0; i < n; i++) {
            String id = "wk-e" + i;
            FakeWorker m = w.endNow(id);
            assertThat(m).as("the task runs").isNotNull();
            int owner = w.owner(m);
            java.util.Arrays.fill(w.lagging, true);
            int through = (owner + 1 + i % (controllers - 1)) % controllers;
            w.lagging[through] = false;
            if (i % 2 == 0) {
                // The end is on its way to the state service while the cancellation is.
                w.run(w.random.nextInt(120));
            }
            w.cancelAt(through, id);
            for (int k = 0; k < 12; k++) {
                w.run(120);
                w.look(id);
            }
            met += "done".equals(w.state(id)) || "cancelled".equals(w.state(id)) ? 1 : 0;
            java.util.Arrays.fill(w.lagging, false);
            w.run(300);
            w.look(id);
        }
        assertThat(met).as("told in the midst of it").isPositive();
        w.run(30_000);
        assertThat(w.broken).isEmpty();
        for (int i = 0; i < n; i++) {
            assertThat(w.state("wk-e" + i)).isIn("done", "cancelled");
        }
    }

    /** Whoever has not seen the job yet must cancel it, not tell its state; and a controller that knows nobody's must say so. */
    @ParameterizedTest
    @CsvSource({"11, 3", "12, 7"})
    void aCancellationRightAfterTheAcceptanceCancelsAtAnyController(long seed, int controllers) {
        World w = new World(seed, controllers, 16);
        w.run(10_000);
        for (int i = 0; i < controllers; i++) {
            Map<String, Object> body = World.body("wk-n" + i, "standing", 1, "red");
            w.foreign(body);
            String path = "/v2/runs/wk-n" + i;
            assertThat(w.tell(i, "POST", path + "/withdraw", null))
                    .as("nobody submitted it yet")
                    .startsWith("404");
            w.lagging[(i + 1) % controllers] = true;
            assertThat(w.tell(i, "POST", "/v2/runs", body)).startsWith("201");
            // That other one's watch is answered a little later than the cancellation comes.
            int next = (i + 1) % controllers;
            w.at(w.now + 250, () -> w.lagging[next] = false);
            assertThat(w.tell(next, "POST", path + "/withdraw", null)).isEqualTo("200 cancelled");
            for (int k = 0; k < controllers; k++) {
                assertThat(w.tell(k, "GET", path, null)).isEqualTo("200 cancelled");
                assertThat(w.tell(k, "POST", path + "/withdraw", null)).isEqualTo("200 cancelled");
                assertThat(w.tell(k, "POST", "/v2/runs", body)).isEqualTo("200 cancelled");
            }
        }
        assertThat(w.broken).isEmpty();
    }

    /** With another body, or one that can't be, a repeat gets the job's state, whether it is open, done or put away. */
    @Test
    void aRepeatedSubmissionIsAnsweredWithItsStateWhateverItsBody() {
        World w = new World(21, 3, 16);
        w.run(10_000);
        Map<String, Object> body = World.body("wk-a", "sweep", 1, "red");
        w.foreign(body);
        assertThat(w.tell(0, "POST", "/v2/runs", body)).startsWith("201");
        Map<String, Object> other = new HashMap<>(body);
        other.put("pieces", 40L);
        Map<String, Object> never = new HashMap<>(body);
        never.put("crew", "nobody");
        Map<String, Object> wrong = new HashMap<>(body);
        wrong.remove("shape");
        for (Map<String, Object> b : List.of(body, other, never, wrong)) {
            for (int i = 0; i < 3; i++) {
                assertThat(w.tell(i, "POST", "/v2/runs", b)).startsWith("200 ");
            }
        }
        w.run(60_000);
        for (Map<String, Object> b : List.of(body, other, never, wrong)) {
            for (int i = 0; i < 3; i++) {
                assertThat(w.tell(i, "POST", "/v2/runs", b)).isEqualTo("200 done");
            }
        }
        assertThat(w.broken).isEmpty();
    }

    /** Users look closely at every job, some call theirs off in the very moment of its end; views are read anew and controllers end. */
    @ParameterizedTest
    @CsvSource({"31, 3, false", "32, 3, true", "33, 7, true", "34, 3, true", "35, 7, false"})
    void nobodyIsToldAnythingOlder(long seed, int controllers, boolean troubles) {
        World w = new World(seed, controllers, 16);
        w.closeLooks = true;
        w.cancelAtEnd = 0.5;
        w.submit("wk-web", "standing", 2, "production", true, false);
        w.run(20_000);
        for (int i = 0; i < 24; i++) {
            w.submit("wk-s" + i, i % 4 == 3 ? "gang" : "sweep", 1 + i % 3, "standard", false, false);
            w.submit("wk-c" + i, "standing", 1, "standard", false, false);
            w.run(1_500 + w.random.nextInt(1_500));
            w.cancel("wk-c" + i);
            if (troubles && i % 5 == 1) {
                w.crash(w.random.nextInt(controllers), 300 + w.random.nextInt(4_000));
            }
            if (troubles && i % 7 == 2) {
                w.store.forgetHistory();
            }
            if (troubles && i % 6 == 4) {
                int slow = w.random.nextInt(controllers);
                w.lagging[slow] = true;
                w.run(2_500);
                w.lagging[slow] = false;
            }
        }
        w.run(60_000);
        assertThat(w.broken).isEmpty();
        assertThat(w.unanswered(10_000)).isEmpty();
        for (int i = 0; i < 24; i++) {
            assertThat(w.state("wk-s" + i)).as("wk-s" + i).isIn("done", "cancelled");
            assertThat(w.cancelled("wk-c" + i)).isTrue();
        }
    }

    /** The checker itself: each answer that it is there for is noticed. */
    @Test
    void everyOlderAnswerIsNoticed() {
        assertThat(after(201, "queued", Kind.POLL, 404, null)).startsWith("forgotten");
        assertThat(after(201, "queued", Kind.SUBMIT, 422, null)).startsWith("forgotten");
        assertThat(after(201, "queued", Kind.SUBMIT, 201, "queued")).startsWith("accepted twice");
        assertThat(after(200, "done", Kind.POLL, 200, "running")).startsWith("went_back");
        assertThat(after(200, "cancelled", Kind.SUBMIT, 200, "queued")).startsWith("went_back");
        assertThat(after(200, "running", Kind.CANCEL, 200, "running")).startsWith("cancellation answered");
        assertThat(after(200, "cancelled", Kind.POLL, 200, "done")).startsWith("went_back");
        assertThat(after(200, "running", Kind.POLL, 200, "queued")).isNull();
        assertThat(after(200, "done", Kind.POLL, 503, null)).isNull();
        AnswerHistory overlapping = new AnswerHistory();
        AnswerHistory.Question before = overlapping.ask(Kind.POLL);
        overlapping.answered(overlapping.ask(Kind.POLL), 200, "done");
        assertThat(overlapping.answered(before, 200, "running"))
                .as("asked before it was told")
                .isNull();
        assertThat(overlapping.answered(before, 200, "cancelled"))
                .as("only one of both, whenever asked")
                .isNotNull();
    }

    private static String after(int status, String stage, Kind kind, int nextStatus, String nextStage) {
        AnswerHistory t = new AnswerHistory();
        assertThat(t.answered(t.ask(Kind.SUBMIT), status, stage)).isNull();
        return t.answered(t.ask(kind), nextStatus, nextStage);
    }
}
