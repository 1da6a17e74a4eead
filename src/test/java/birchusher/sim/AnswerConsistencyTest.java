package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.sim.AnswerHistory.RequestKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What any controller told a user, no controller may take back: answers about one job asked at all of them within milliseconds. */
class AnswerConsistencyTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /** The owner of a job's machine commits its last end, not having seen that another controller has cancelled the job. */
    @ParameterizedTest
    @CsvSource({"1, 3", "2, 3", "3, 3", "4, 7", "5, 7", "6, 7"})
    void cancellationAndCompletionAreNeverBothReported(long seed, int controllers) {
        World w = new World(seed, controllers, 16);
        w.submit("wk-web", "standing", 3, "production", true, false);
        int n = 8;
        int met = 0;
        w.run(25_000);
        for (int i = 0; i < n; i++) {
            w.fixedRunTimesMs.put("wk-e" + i + "/0", 60_000L);
            w.submit("wk-e" + i, "sweep", 1, "standard", false, false);
        }
        w.run(14_000);
        for (int i = 0; i < n; i++) {
            String id = "wk-e" + i;
            FakeWorker m = w.endRunningTasks(id);
            assertThat(m).as("the task runs").isNotNull();
            int owner = w.ownerOf(m);
            java.util.Arrays.fill(w.viewLagging, true);
            int through = (owner + 1 + i % (controllers - 1)) % controllers;
            w.viewLagging[through] = false;
            if (i % 2 == 0) {
                // The end is on its way to the state service while the cancellation is.
                w.run(w.random.nextInt(120));
            }
            w.sendCancellation(through, id);
            for (int k = 0; k < 12; k++) {
                w.run(120);
                w.recheckEverywhere(id);
            }
            met += "done".equals(w.reportedState(id)) || "cancelled".equals(w.reportedState(id)) ? 1 : 0;
            java.util.Arrays.fill(w.viewLagging, false);
            w.run(300);
            w.recheckEverywhere(id);
        }
        assertThat(met).as("told in the midst of it").isPositive();
        w.run(30_000);
        assertThat(w.violations).isEmpty();
        for (int i = 0; i < n; i++) {
            assertThat(w.reportedState("wk-e" + i)).isIn("done", "cancelled");
        }
    }

    /** Whoever has not seen the job yet must cancel it, not tell its state; and a controller that knows nobody's must say so. */
    @ParameterizedTest
    @CsvSource({"11, 3", "12, 7"})
    void cancellationRightAfterAcceptanceWorksAtAnyController(long seed, int controllers) {
        World w = new World(seed, controllers, 16);
        w.run(10_000);
        for (int i = 0; i < controllers; i++) {
            Map<String, Object> body = World.submission("wk-n" + i, "standing", 1, "red");
            w.registerUnpolledJob(body);
            String path = "/v2/runs/wk-n" + i;
            assertThat(w.requestAndWait(i, "POST", path + "/withdraw", null))
                    .as("nobody submitted it yet")
                    .startsWith("404");
            w.viewLagging[(i + 1) % controllers] = true;
            assertThat(w.requestAndWait(i, "POST", "/v2/runs", body)).startsWith("201");
            // That other one's watch is answered a little later than the cancellation comes.
            int next = (i + 1) % controllers;
            w.schedule(w.nowMs + 250, () -> w.viewLagging[next] = false);
            assertThat(w.requestAndWait(next, "POST", path + "/withdraw", null)).isEqualTo("200 cancelled");
            for (int k = 0; k < controllers; k++) {
                assertThat(w.requestAndWait(k, "GET", path, null)).isEqualTo("200 cancelled");
                assertThat(w.requestAndWait(k, "POST", path + "/withdraw", null))
                        .isEqualTo("200 cancelled");
                assertThat(w.requestAndWait(k, "POST", "/v2/runs", body)).isEqualTo("200 cancelled");
            }
        }
        assertThat(w.violations).isEmpty();
    }

    /** With another body, or one that can't be, a repeat gets the job's state, whether it is open, done or put away. */
    @Test
    void repeatedSubmissionReturnsTheJobStateWhateverItsBody() {
        World w = new World(21, 3, 16);
        w.run(10_000);
        Map<String, Object> body = World.submission("wk-a", "sweep", 1, "red");
        w.registerUnpolledJob(body);
        assertThat(w.requestAndWait(0, "POST", "/v2/runs", body)).startsWith("201");
        Map<String, Object> other = new HashMap<>(body);
        other.put("pieces", 40L);
        Map<String, Object> never = new HashMap<>(body);
        never.put("crew", "nobody");
        Map<String, Object> wrong = new HashMap<>(body);
        wrong.remove("shape");
        for (Map<String, Object> b : List.of(body, other, never, wrong)) {
            for (int i = 0; i < 3; i++) {
                assertThat(w.requestAndWait(i, "POST", "/v2/runs", b)).startsWith("200 ");
            }
        }
        w.run(60_000);
        for (Map<String, Object> b : List.of(body, other, never, wrong)) {
            for (int i = 0; i < 3; i++) {
                assertThat(w.requestAndWait(i, "POST", "/v2/runs", b)).isEqualTo("200 done");
            }
        }
        assertThat(w.violations).isEmpty();
    }

    /** Users look closely at every job, some call theirs off in the very moment of its end; views are read anew and controllers end. */
    @ParameterizedTest
    @CsvSource({"31, 3, false", "32, 3, true", "33, 7, true", "34, 3, true", "35, 7, false"})
    void noControllerReportsAnOlderState(long seed, int controllers, boolean troubles) {
        World w = new World(seed, controllers, 16);
        w.recheckAtAllControllers = true;
        w.cancelAtCompletionRate = 0.5;
        w.submit("wk-web", "standing", 2, "production", true, false);
        w.run(20_000);
        for (int i = 0; i < 24; i++) {
            w.submit("wk-s" + i, i % 4 == 3 ? "gang" : "sweep", 1 + i % 3, "standard", false, false);
            w.submit("wk-c" + i, "standing", 1, "standard", false, false);
            w.run(1_500 + w.random.nextInt(1_500));
            w.requestCancellation("wk-c" + i);
            if (troubles && i % 5 == 1) {
                w.crash(w.random.nextInt(controllers), 300 + w.random.nextInt(4_000));
            }
            if (troubles && i % 7 == 2) {
                w.store.compactHistory();
            }
            if (troubles && i % 6 == 4) {
                int slow = w.random.nextInt(controllers);
                w.viewLagging[slow] = true;
                w.run(2_500);
                w.viewLagging[slow] = false;
            }
        }
        w.run(60_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.unansweredJobs(10_000)).isEmpty();
        for (int i = 0; i < 24; i++) {
            assertThat(w.reportedState("wk-s" + i)).as("wk-s" + i).isIn("done", "cancelled");
            assertThat(w.isCancelled("wk-c" + i)).isTrue();
        }
    }

    /** The checker itself: each answer that it is there for is noticed. */
    @Test
    void checkerDetectsEveryOlderAnswer() {
        assertThat(violationAfter(201, "queued", RequestKind.POLL, 404, null)).startsWith("forgotten");
        assertThat(violationAfter(201, "queued", RequestKind.SUBMIT, 422, null)).startsWith("forgotten");
        assertThat(violationAfter(201, "queued", RequestKind.SUBMIT, 201, "queued"))
                .startsWith("accepted twice");
        assertThat(violationAfter(200, "done", RequestKind.POLL, 200, "running"))
                .startsWith("went_back");
        assertThat(violationAfter(200, "cancelled", RequestKind.SUBMIT, 200, "queued"))
                .startsWith("went_back");
        assertThat(violationAfter(200, "running", RequestKind.CANCEL, 200, "running"))
                .startsWith("cancellation answered");
        assertThat(violationAfter(200, "cancelled", RequestKind.POLL, 200, "done"))
                .startsWith("went_back");
        assertThat(violationAfter(200, "running", RequestKind.POLL, 200, "queued"))
                .isNull();
        assertThat(violationAfter(200, "done", RequestKind.POLL, 503, null)).isNull();
        AnswerHistory overlapping = new AnswerHistory();
        AnswerHistory.SentRequest before = overlapping.requestSent(RequestKind.POLL);
        overlapping.checkAnswer(overlapping.requestSent(RequestKind.POLL), 200, "done");
        assertThat(overlapping.checkAnswer(before, 200, "running"))
                .as("asked before it was told")
                .isNull();
        assertThat(overlapping.checkAnswer(before, 200, "cancelled"))
                .as("only one of both, whenever asked")
                .isNotNull();
    }

    private static String violationAfter(int status, String stage, RequestKind kind, int nextStatus, String nextStage) {
        AnswerHistory t = new AnswerHistory();
        assertThat(t.checkAnswer(t.requestSent(RequestKind.SUBMIT), status, stage))
                .isNull();
        return t.checkAnswer(t.requestSent(kind), nextStatus, nextStage);
    }
}
