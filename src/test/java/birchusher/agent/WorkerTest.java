package birchusher.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the worker's state machine: inputs with their times, and the actions that it returns, written as text. */
class WorkerTest {
    private static final Action.AttemptKey KEY = new Action.AttemptKey("wk-1", 0, 1);

    private final Worker worker = new Worker("h:1", new SplittableRandom(1));
    private final List<String> performed = new ArrayList<>();
    private Action.SendReport report;

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.SendReport sent) {
                report = sent;
                performed.add("report " + summary(sent.body()));
            } else if (action instanceof Action.SendResponse response) {
                performed.add("answer " + response.status());
            } else if (action instanceof Action.FetchDescription fetch) {
                performed.add("fetch " + fetch.jobId());
            } else if (action instanceof Action.StartProcess start) {
                performed.add("run " + start.key().taskName());
            } else if (action instanceof Action.SendSignal signal) {
                performed.add(signal.name() + " " + signal.key().taskName());
            } else if (action instanceof Action.KillTask kill) {
                performed.add("kill " + kill.key().taskName());
            } else if (action instanceof Action.KillAllTasks) {
                performed.add("kill all");
            } else if (action instanceof Action.DeleteWorkDir delete) {
                performed.add("forget " + delete.key().taskName());
            } else if (action instanceof Action.SendGangStatus status) {
                performed.add("say " + status.phase());
            } else if (action instanceof Action.ExtendSupervisorLease lease) {
                performed.add("lease " + lease.remainingMs());
            }
        }
    }

    private static String summary(Map<String, ?> body) {
        List<String> tasks = new ArrayList<>();
        for (Object item : (List<?>) body.get("pieces")) {
            Map<?, ?> task = (Map<?, ?>) item;
            tasks.add(task.get("piece") + "#" + task.get("try") + " " + task.get("stage")
                    + (task.containsKey("cause") ? " " + task.get("cause") : "")
                    + (task.containsKey("kept") ? " kept" : ""));
        }
        return body.get("host") + " " + body.get("tenure") + " " + tasks;
    }

    private String drainPerformed() {
        String drained = String.join(", ", performed);
        performed.clear();
        return drained;
    }

    private static Assignment assignment(String machine) {
        return new Assignment(
                machine,
                "small",
                "z",
                4,
                0,
                8,
                2_000,
                20_000,
                5_000,
                List.of(new Assignment.Controller("p", "c:1"), new Assignment.Controller("q", "c:2")));
    }

    private static JobDescription jobDescription(String shape, int taskCount, double cpus, boolean usesCheckpoints) {
        return new JobDescription(
                "wk-1",
                taskCount,
                shape.equals("gang"),
                shape.equals("standing"),
                cpus,
                0,
                1,
                usesCheckpoints,
                3_000,
                List.of("x"),
                Map.of(),
                "USR1");
    }

    private static Map<String, Object> response(long fencingToken, Object... commands) {
        Map<String, Object> body = new HashMap<>();
        body.put("baton", fencingToken);
        body.put("orders", List.of(commands));
        return body;
    }

    private static Map<String, Object> startCommand(String taskName, long attempt) {
        return Map.of("verb", "start", "piece", taskName, "try", attempt);
    }

    private static Map<String, Object> stopCommand(String taskName, double graceS) {
        return Map.of("verb", "stop", "piece", taskName, "try", 1L, "wind_down_s", graceS);
    }

    /** Runs as machine n-1 from 1,000 ms on, with one task running from 1,100 ms on. */
    private void startRunning(JobDescription description) {
        perform(worker.onAssignment(1_000, 900, assignment("n-1")));
        perform(worker.tick(1_000));
        perform(worker.onReportResponse(1_050, report.id(), 200, response(5, startCommand("wk-1/0", 1))));
        perform(worker.onDescription(1_100, "wk-1", description));
        performed.clear();
    }

    private void tick(long nowMs) {
        perform(worker.tick(nowMs));
    }

    @Test
    void taskLifecycleFromStartToReap() {
        perform(worker.onAssignment(1_000, 900, assignment("n-1")));
        assertThat(drainPerformed()).isEqualTo("lease 18400");
        perform(worker.tick(1_000));
        assertThat(drainPerformed()).isEqualTo("report n-1 1 []");
        perform(worker.onReportResponse(
                1_050, report.id(), 200, response(5, startCommand("wk-1/0", 1), startCommand("wk-1/0", 1))));
        assertThat(drainPerformed()).isEqualTo("lease 18350, fetch wk-1");
        tick(1_500);
        assertThat(drainPerformed()).isEqualTo("report n-1 1 [wk-1/0#1 fetching]");
        perform(worker.onDescription(1_600, "wk-1", jobDescription("sweep", 1, 1, false)));
        perform(worker.onReportResponse(1_700, report.id(), 200, response(5)));
        assertThat(drainPerformed()).isEqualTo("run wk-1/0, lease 17700");
        perform(worker.onTaskExit(2_500, KEY, 0));
        tick(2_600);
        assertThat(drainPerformed()).isEqualTo("report n-1 1 [wk-1/0#1 exited done]");
        perform(worker.onReportResponse(
                2_650, report.id(), 200, response(5, Map.of("verb", "reap", "piece", "wk-1/0", "try", 1L))));
        assertThat(drainPerformed()).isEqualTo("lease 16750, forget wk-1/0");
    }

    @Test
    void descriptionIsFetchedOncePerJobAndRetried() {
        perform(worker.onAssignment(1_000, 900, assignment("n-1")));
        perform(worker.tick(1_000));
        performed.clear();
        perform(worker.onReportResponse(
                1_050,
                report.id(),
                200,
                response(5, startCommand("wk-1/0", 1), startCommand("wk-1/1", 1), startCommand("wk-2/0", 1))));
        assertThat(drainPerformed()).isEqualTo("lease 18350, fetch wk-1, fetch wk-2");
        perform(worker.tick(5_050));
        assertThat(drainPerformed()).contains("fetch wk-1, fetch wk-2").doesNotContain("fetch wk-1, fetch wk-1");
        perform(worker.onDescription(5_100, "wk-1", jobDescription("sweep", 2, 1, false)));
        assertThat(drainPerformed()).isEqualTo("run wk-1/0, run wk-1/1");
    }

    @Test
    void staleOrInvalidResponsesNeitherRenewTheLeaseNorCommand() {
        startRunning(jobDescription("sweep", 1, 1, false));
        tick(2_000);
        perform(worker.onReportResponse(2_100, report.id(), 200, response(4, stopCommand("wk-1/0", 0))));
        tick(5_000);
        perform(worker.onReportResponse(5_100, report.id(), 200, Map.of("orders", List.of(stopCommand("wk-1/0", 0)))));
        perform(worker.onReportResponse(5_100, report.id() - 1, 200, response(9, stopCommand("wk-1/0", 0))));
        perform(worker.onDirectRequest(
                5_200,
                1,
                "POST",
                "/do",
                Map.of("baton", 4L, "tenure", 1L, "orders", List.of(stopCommand("wk-1/0", 0)))));
        perform(worker.onDirectRequest(
                5_200,
                2,
                "POST",
                "/do",
                Map.of("baton", 9L, "tenure", 2L, "orders", List.of(stopCommand("wk-1/0", 0)))));
        assertThatThrownBy(() -> worker.onDirectRequest(5_200, 3, "POST", "/do", Map.of("baton", 9L)))
                .isInstanceOf(InvalidInputException.class);
        assertThat(drainPerformed())
                .isEqualTo("report n-1 1 [wk-1/0#1 running], report n-1 1 [wk-1/0#1 running], answer 409, answer 409");
        perform(worker.onAssignment(6_000, 5_900, assignment("n-1")));
        // The lease counts from the sending of the last report with a valid response, at 1,000 ms.
        perform(worker.tick(19_499));
        assertThat(drainPerformed()).contains("report");
        perform(worker.tick(19_501));
        assertThat(drainPerformed()).isEqualTo("kill all");
    }

    @Test
    void expiredLeaseKillsAllTasksBeforeTheNextReport() {
        startRunning(jobDescription("sweep", 1, 1, false));
        perform(worker.onAssignment(19_000, 18_900, assignment("n-1")));
        performed.clear();
        perform(worker.tick(19_600));
        perform(worker.tick(22_000));
        perform(worker.onTaskExit(22_100, KEY, 137));
        perform(worker.onDirectRequest(22_200, 1, "GET", "/show", null));
        assertThat(drainPerformed()).isEqualTo("kill all, answer 503");
        perform(worker.onAllKilled(23_000));
        perform(worker.tick(23_000));
        assertThat(drainPerformed()).isEqualTo("forget wk-1/0, report n-1 2 []");
        perform(worker.onReportResponse(23_050, report.id(), 200, response(5, startCommand("wk-1/0", 1))));
        assertThat(drainPerformed()).contains("fetch wk-1");
    }

    @Test
    void expiredPoolLeaseEndsTheMachineAndSessionNumbersContinue() {
        startRunning(jobDescription("sweep", 1, 1, false));
        tick(18_000);
        perform(worker.onReportResponse(18_100, report.id(), 200, response(5)));
        performed.clear();
        perform(worker.tick(19_500));
        perform(worker.onAllKilled(19_600));
        perform(worker.tick(19_700));
        assertThat(worker.currentMachine()).isNull();
        assertThat(drainPerformed()).isEqualTo("kill all, forget wk-1/0");
        perform(worker.onAssignment(30_000, 29_900, assignment("n-1")));
        perform(worker.tick(30_000));
        assertThat(drainPerformed()).isEqualTo("lease 18400, report n-1 2 []");
        perform(worker.onAssignment(31_000, 30_900, assignment("n-2")));
        assertThat(drainPerformed()).isEqualTo("kill all");
        assertThat(worker.currentMachine()).as("until all processes are gone").isEqualTo("n-1");
        perform(worker.onAllKilled(31_100));
        perform(worker.tick(31_100));
        assertThat(drainPerformed()).isEqualTo("report n-2 1 []");
    }

    @Test
    void stopWithEnoughGraceSavesAndIsNeverReportedDone() {
        startRunning(jobDescription("sweep", 1, 1, true));
        perform(worker.onDirectRequest(
                2_000,
                1,
                "POST",
                "/do",
                Map.of("baton", 5L, "tenure", 1L, "orders", List.of(stopCommand("wk-1/0", 4)))));
        assertThat(drainPerformed()).isEqualTo("USR1 wk-1/0, answer 200");
        perform(worker.onTaskExit(3_000, KEY, Worker.SAVED_EXIT_CODE));
        tick(3_000);
        assertThat(drainPerformed()).isEqualTo("report n-1 1 [wk-1/0#1 exited halted kept]");
    }

    @Test
    void programThatIgnoresItsStopIsKilledAfterTheGracePeriod() {
        startRunning(jobDescription("sweep", 1, 1, true));
        perform(worker.onDirectRequest(
                2_000,
                1,
                "POST",
                "/do",
                Map.of("baton", 5L, "tenure", 1L, "orders", List.of(stopCommand("wk-1/0", 4)))));
        performed.clear();
        perform(worker.tick(5_900));
        assertThat(drainPerformed()).isEqualTo("report n-1 1 [wk-1/0#1 flushing]");
        perform(worker.tick(6_000));
        assertThat(drainPerformed()).isEqualTo("kill wk-1/0");
        perform(worker.onTaskExit(6_100, KEY, 137));
        perform(worker.onReportResponse(6_100, report.id(), 503, Map.of()));
        tick(8_000);
        assertThat(drainPerformed()).isEqualTo("report n-1 1 [wk-1/0#1 exited halted]");
        assertThat(report.address()).as("reports go to the next controller").isEqualTo("c:2");
    }

    @Test
    void exitCodeZeroAfterAStopIsNotReportedDone() {
        startRunning(jobDescription("sweep", 1, 1, false));
        perform(worker.onDirectRequest(
                2_000,
                1,
                "POST",
                "/do",
                Map.of("baton", 5L, "tenure", 1L, "orders", List.of(stopCommand("wk-1/0", 4)))));
        assertThat(drainPerformed()).startsWith("TERM wk-1/0");
        perform(worker.onTaskExit(2_100, KEY, 0));
        tick(3_000);
        assertThat(drainPerformed()).isEqualTo("report n-1 1 [wk-1/0#1 exited halted]");
    }

    @Test
    void rejectedStartsReportTheirCause() {
        startRunning(jobDescription("sweep", 2, 3, false));
        perform(worker.onReportResponse(1_150, report.id(), 200, response(5)));
        perform(worker.onDirectRequest(
                2_000,
                1,
                "POST",
                "/do",
                Map.of(
                        "baton",
                        5L,
                        "tenure",
                        1L,
                        "orders",
                        List.of(
                                startCommand("wk-1/0", 2),
                                startCommand("wk-1/1", 1),
                                startCommand("wk-2/0", 1),
                                startCommand("wk-1/7", 1),
                                startCommand("wk-3/0", 1)))));
        perform(worker.onDescription(2_100, "wk-1", jobDescription("sweep", 2, 3, false)));
        perform(worker.onDescription(2_100, "wk-2", null));
        perform(worker.onDescription(
                2_100,
                "wk-3",
                new JobDescription("wk-3", 1, false, false, 1, 0, 1, false, 0, List.of(), Map.of(), "TERM")));
        performed.clear();
        tick(3_500);
        assertThat(drainPerformed())
                .isEqualTo("report n-1 1 [wk-1/0#1 running, wk-1/0#2 exited in_use, wk-1/1#1 exited full, "
                        + "wk-2/0#1 exited no_such, wk-1/7#1 exited no_such, wk-3/0#1 exited error]");
        for (String taskName : List.of("../0", "wk-1", "wk-1/x", "wk/../../1", "/1")) {
            assertThatThrownBy(() -> worker.onDirectRequest(
                            4_000,
                            9,
                            "POST",
                            "/do",
                            Map.of("baton", 5L, "tenure", 1L, "orders", List.of(startCommand(taskName, 1)))))
                    .as(taskName)
                    .isInstanceOf(InvalidInputException.class);
        }
    }

    @Test
    void gangTaskStartsAndIsDoneOnlyWithItsGang() {
        startRunning(jobDescription("gang", 2, 1, false));
        perform(worker.tick(2_200));
        assertThat(drainPerformed()).contains("say waiting").doesNotContain("run");
        perform(worker.onGangInstruction(2_300, KEY, "go", List.of("h", "i")));
        assertThat(drainPerformed()).isEqualTo("run wk-1/0");
        perform(worker.onTaskExit(4_000, KEY, 0));
        assertThat(drainPerformed()).isEqualTo("say ended");
        perform(worker.onGangInstruction(4_100, KEY, "all", List.of()));
        perform(worker.onReportResponse(4_100, report.id(), 200, response(5)));
        tick(4_200);
        assertThat(drainPerformed()).contains("[wk-1/0#1 exited done]");
    }

    @Test
    void incompleteAndBrokenGangsExitWithDifferentCauses() {
        startRunning(jobDescription("gang", 2, 1, false));
        perform(worker.tick(6_200));
        assertThat(drainPerformed()).contains("say leaving");
        perform(worker.tick(6_800));
        perform(worker.onReportResponse(
                6_900,
                report.id(),
                200,
                response(5, Map.of("verb", "reap", "piece", "wk-1/0", "try", 1L), startCommand("wk-1/0", 1))));
        perform(worker.onDescription(7_000, "wk-1", jobDescription("gang", 2, 1, false)));
        perform(worker.onGangInstruction(7_100, KEY, "go", List.of()));
        performed.clear();
        perform(worker.onGangInstruction(7_200, KEY, "broken", List.of()));
        assertThat(drainPerformed()).isEqualTo("kill wk-1/0");
        perform(worker.onTaskExit(7_300, KEY, 137));
        tick(9_500);
        assertThat(drainPerformed()).contains("[wk-1/0#1 exited mates_gone]");
    }

    @Test
    void repeatedStartForAnEarlierMachineOfTheHostStartsNothing() {
        startRunning(jobDescription("sweep", 1, 1, false));
        Map<String, Object> start =
                Map.of("host", "n-1", "baton", 5L, "tenure", 1L, "orders", List.of(startCommand("wk-1/0", 1)));
        perform(worker.onAssignment(3_000, 3_000, assignment(null)));
        perform(worker.onAllKilled(3_100));
        perform(worker.onAssignment(3_200, 3_200, assignment("n-2")));
        performed.clear();
        perform(worker.onDirectRequest(3_300, 1, "POST", "/do", start));
        assertThat(drainPerformed()).isEqualTo("answer 409");
    }
}
