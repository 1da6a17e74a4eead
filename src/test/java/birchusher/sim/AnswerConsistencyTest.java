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

/**
 * No controller may answer with an older state of a job than any controller has reported to a user: users
 * send requests about one job to all controllers within milliseconds.
 */
class AnswerConsistencyTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /**
     * The owner of a job's machine commits the end of the last task while its view lacks a cancellation that another
     * controller has accepted. Only one of the two final states may be reported.
     */
    @ParameterizedTest
    @CsvSource({"1, 3", "2, 3", "3, 3", "4, 7", "5, 7", "6, 7"})
    void cancellationAndCompletionAreNeverBothReported(long seed, int controllers) {
        World world = new World(seed, controllers, 16);
        world.submit("wk-web", "standing", 3, "production", true, false);
        int jobCount = 8;
        int endedWhileLagging = 0;
        world.run(25_000);
        for (int i = 0; i < jobCount; i++) {
            world.fixedRunTimesMs.put("wk-e" + i + "/0", 60_000L);
            world.submit("wk-e" + i, "sweep", 1, "standard", false, false);
        }
        world.run(14_000);
        for (int i = 0; i < jobCount; i++) {
            String id = "wk-e" + i;
            FakeWorker worker = world.endRunningTasks(id);
            assertThat(worker).as("the task runs").isNotNull();
            int owner = world.ownerOf(worker);
            java.util.Arrays.fill(world.viewLagging, true);
            int canceller = (owner + 1 + i % (controllers - 1)) % controllers;
            world.viewLagging[canceller] = false;
            if (i % 2 == 0) {
                // The end and the cancellation are on their way to the state service at the same time.
                world.run(world.random.nextInt(120));
            }
            world.sendCancellation(canceller, id);
            for (int round = 0; round < 12; round++) {
                world.run(120);
                world.recheckEverywhere(id);
            }
            endedWhileLagging +=
                    "done".equals(world.reportedState(id)) || "cancelled".equals(world.reportedState(id)) ? 1 : 0;
            java.util.Arrays.fill(world.viewLagging, false);
            world.run(300);
            world.recheckEverywhere(id);
        }
        assertThat(endedWhileLagging)
                .as("final states reported while other views lag")
                .isPositive();
        world.run(30_000);
        assertThat(world.violations).isEmpty();
        for (int i = 0; i < jobCount; i++) {
            assertThat(world.reportedState("wk-e" + i)).isIn("done", "cancelled");
        }
    }

    /**
     * A controller whose view lacks a job that was just accepted must still cancel it, not report its state; for a job
     * that nobody submitted it must answer 404.
     */
    @ParameterizedTest
    @CsvSource({"11, 3", "12, 7"})
    void cancellationRightAfterAcceptanceWorksAtAnyController(long seed, int controllers) {
        World world = new World(seed, controllers, 16);
        world.run(10_000);
        for (int i = 0; i < controllers; i++) {
            Map<String, Object> body = World.submission("wk-n" + i, "standing", 1, "red");
            world.registerUnpolledJob(body);
            String path = "/v2/runs/wk-n" + i;
            assertThat(world.requestAndWait(i, "POST", path + "/withdraw", null))
                    .as("not submitted yet")
                    .startsWith("404");
            world.viewLagging[(i + 1) % controllers] = true;
            assertThat(world.requestAndWait(i, "POST", "/v2/runs", body)).startsWith("201");
            // The watch of that controller is answered shortly after the cancellation has arrived.
            int next = (i + 1) % controllers;
            world.schedule(world.nowMs + 250, () -> world.viewLagging[next] = false);
            assertThat(world.requestAndWait(next, "POST", path + "/withdraw", null))
                    .isEqualTo("200 cancelled");
            for (int k = 0; k < controllers; k++) {
                assertThat(world.requestAndWait(k, "GET", path, null)).isEqualTo("200 cancelled");
                assertThat(world.requestAndWait(k, "POST", path + "/withdraw", null))
                        .isEqualTo("200 cancelled");
                assertThat(world.requestAndWait(k, "POST", "/v2/runs", body)).isEqualTo("200 cancelled");
            }
        }
        assertThat(world.violations).isEmpty();
    }

    /**
     * A repeated submission, also with another or an invalid body, is answered with the job's state, whether the job is
     * open, done or archived.
     */
    @Test
    void repeatedSubmissionReturnsTheJobStateWhateverItsBody() {
        World world = new World(21, 3, 16);
        world.run(10_000);
        Map<String, Object> body = World.submission("wk-a", "sweep", 1, "red");
        world.registerUnpolledJob(body);
        assertThat(world.requestAndWait(0, "POST", "/v2/runs", body)).startsWith("201");
        Map<String, Object> otherSize = new HashMap<>(body);
        otherSize.put("pieces", 40L);
        Map<String, Object> unknownTeam = new HashMap<>(body);
        unknownTeam.put("crew", "nobody");
        Map<String, Object> withoutShape = new HashMap<>(body);
        withoutShape.remove("shape");
        for (Map<String, Object> repeated : List.of(body, otherSize, unknownTeam, withoutShape)) {
            for (int i = 0; i < 3; i++) {
                assertThat(world.requestAndWait(i, "POST", "/v2/runs", repeated))
                        .startsWith("200 ");
            }
        }
        world.run(60_000);
        for (Map<String, Object> repeated : List.of(body, otherSize, unknownTeam, withoutShape)) {
            for (int i = 0; i < 3; i++) {
                assertThat(world.requestAndWait(i, "POST", "/v2/runs", repeated))
                        .isEqualTo("200 done");
            }
        }
        assertThat(world.violations).isEmpty();
    }

    /**
     * Users poll all controllers about every job and cancel some jobs at the moment of their end, while controllers read
     * their views anew and crash.
     */
    @ParameterizedTest
    @CsvSource({"31, 3, false", "32, 3, true", "33, 7, true", "34, 3, true", "35, 7, false"})
    void noControllerReportsAnOlderState(long seed, int controllers, boolean faults) {
        World world = new World(seed, controllers, 16);
        world.recheckAtAllControllers = true;
        world.cancelAtCompletionRate = 0.5;
        world.submit("wk-web", "standing", 2, "production", true, false);
        world.run(20_000);
        for (int i = 0; i < 24; i++) {
            world.submit("wk-s" + i, i % 4 == 3 ? "gang" : "sweep", 1 + i % 3, "standard", false, false);
            world.submit("wk-c" + i, "standing", 1, "standard", false, false);
            world.run(1_500 + world.random.nextInt(1_500));
            world.requestCancellation("wk-c" + i);
            if (faults && i % 5 == 1) {
                world.crash(world.random.nextInt(controllers), 300 + world.random.nextInt(4_000));
            }
            if (faults && i % 7 == 2) {
                world.store.compactHistory();
            }
            if (faults && i % 6 == 4) {
                int lagging = world.random.nextInt(controllers);
                world.viewLagging[lagging] = true;
                world.run(2_500);
                world.viewLagging[lagging] = false;
            }
        }
        world.run(60_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.unansweredJobs(10_000)).isEmpty();
        for (int i = 0; i < 24; i++) {
            assertThat(world.reportedState("wk-s" + i)).as("wk-s" + i).isIn("done", "cancelled");
            assertThat(world.isCancelled("wk-c" + i)).isTrue();
        }
    }

    /** Guards against a gang that was called done and is called running while the claims on its other machines are removed. */
    @ParameterizedTest
    @CsvSource({"2, 3", "6, 3", "3, 7", "11, 7"})
    void gangCalledDoneIsNotCalledRunningWhileItsClaimsAreRemoved(long seed, int controllers) {
        World world = new World(seed, controllers, 64);
        world.recheckAtAllControllers = true;
        world.submit("wk-web", "standing", 2, "production", true, false);
        world.run(20_000);
        world.slowStoreReplyRate = 0.3;
        for (int i = 0; i < 25; i++) {
            world.submit("wk-g" + i, i % 3 == 0 ? "sweep" : "gang", 10, "standard", false, false);
            if (i % 4 == 1) {
                world.requestCancellation("wk-g" + (i - 1));
            }
            for (int round = 0; round < 30; round++) {
                world.run(50 + world.random.nextInt(40));
                for (int k = Math.max(0, i - 8); k <= i; k++) {
                    world.recheckEverywhere("wk-g" + k);
                }
            }
        }
        world.run(30_000);
        assertThat(world.violations).isEmpty();
    }

    /** Tests the checker itself: it detects each kind of answer that it is meant to detect. */
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
                .as("sent before the final state was reported")
                .isNull();
        assertThat(overlapping.checkAnswer(before, 200, "cancelled"))
                .as("only one of the final states, whenever the request was sent")
                .isNotNull();
    }

    private static String violationAfter(
            int status, String state, RequestKind nextKind, int nextStatus, String nextState) {
        AnswerHistory history = new AnswerHistory();
        assertThat(history.checkAnswer(history.requestSent(RequestKind.SUBMIT), status, state))
                .isNull();
        return history.checkAnswer(history.requestSent(nextKind), nextStatus, nextState);
    }
}
