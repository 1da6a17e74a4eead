package birchusher.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests with real processes: no process of a task outlives the task, whatever the task does. */
class RunnerTest {
    private static final long TIMEOUT_S = 60;

    @TempDir
    Path dir;

    private final String tag = "test-" + ProcessHandle.current().pid() + "-" + System.nanoTime();
    private final BlockingQueue<Integer> exitCodes = new LinkedBlockingQueue<>();
    private TaskLogs logs;
    private Runner runner;

    @BeforeEach
    void setUp() throws IOException {
        logs = new TaskLogs(dir.resolve("logs"), new TaskLogs.Limits(10_000, 50_000));
        runner = new Runner(tag, dir, dir.resolve("saves"), logs, (key, code) -> exitCodes.add(code));
    }

    @AfterEach
    void killAndCheckLeftovers() throws IOException, InterruptedException {
        List<Long> leftovers = TaggedProcesses.find(tag);
        TaggedProcesses.killAll(tag);
        assertThat(leftovers).isEmpty();
    }

    private static Action.AttemptKey attemptKey(long attempt) {
        return new Action.AttemptKey("wk-1", 0, attempt);
    }

    private void startTask(long attempt, String script) {
        runner.run(new Action.StartProcess(
                attemptKey(attempt),
                new JobDescription(
                        "wk-1",
                        1,
                        false,
                        false,
                        1,
                        0,
                        1,
                        true,
                        1_000,
                        List.of("sh", "-c", script),
                        Map.of("MINE", "yes"),
                        "USR1"),
                List.of()));
    }

    private int awaitExitCode() throws InterruptedException {
        Integer exitCode = exitCodes.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(exitCode).as("the task did not end in time").isNotNull();
        return exitCode;
    }

    /** Waits until the task's log contains a text. */
    private void awaitOutput(long attempt, String expected) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!logText(attempt).contains(expected)) {
            assertThat(System.nanoTime())
                    .as("waiting for " + expected + ": " + logText(attempt))
                    .isLessThan(deadlineNs);
            Thread.sleep(10);
        }
    }

    private String logText(long attempt) throws IOException {
        return logs.list("wk-1", 0).stream().anyMatch(log -> log.get("try").equals(attempt))
                ? (String) logs.read(attemptKey(attempt), 0).get("text")
                : "";
    }

    @Test
    void processesLeftByATaskAreKilledBeforeItsExitIsReported() throws Exception {
        startTask(
                1,
                "(setsid sh -c 'trap \"\" TERM; sleep 600' &) ; (sleep 600 &) ; echo $MINE $BIRCHUSHER_JOB $BIRCHUSHER_ATTEMPT");
        assertThat(awaitExitCode()).isZero();
        assertThat(TaggedProcesses.find(tag)).isEmpty();
        assertThat(logText(1)).isEqualTo("yes wk-1 1\n");
        // The task is marked as done: another attempt does not run it again.
        startTask(2, "echo again");
        assertThat(awaitExitCode()).isZero();
        assertThat(logs.list("wk-1", 0)).hasSize(1);
    }

    @Test
    void taskThatIgnoresSignalsAndForksIsKilled() throws Exception {
        startTask(1, "trap '' TERM INT; for i in 1 2 3 4 5; do (while :; do sleep 1; done) & done; echo up; wait");
        awaitOutput(1, "up");
        runner.sendSignal(new Action.SendSignal(attemptKey(1), "TERM"));
        runner.kill(attemptKey(1));
        assertThat(awaitExitCode()).isEqualTo(137);
    }

    @Test
    void taskKilledBeforeItsStartNeverRuns() throws Exception {
        for (int i = 1; i <= 20; i++) {
            startTask(i, "echo ran; sleep 600");
            runner.kill(attemptKey(i));
            assertThat(awaitExitCode()).isNotZero();
        }
        startTask(99, "sleep 600");
        CountDownLatch gone = new CountDownLatch(1);
        runner.killAll(gone::countDown);
        assertThat(gone.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(awaitExitCode()).isNotZero();
    }

    @Test
    void taskResumesFromItsCheckpoint() throws Exception {
        String script = "cd $BIRCHUSHER_CHECKPOINT; n=$(cat n 2>/dev/null || echo 0); trap 'echo 7 > n; exit 75' USR1; "
                + "echo from $n; if [ $n = 7 ]; then exit 0; fi; while :; do sleep 0.05; done";
        startTask(1, script);
        awaitOutput(1, "from 0");
        runner.sendSignal(new Action.SendSignal(attemptKey(1), "USR1"));
        assertThat(awaitExitCode()).isEqualTo(Worker.SAVED_EXIT_CODE);
        startTask(2, script);
        assertThat(awaitExitCode()).isZero();
        assertThat(logText(2)).isEqualTo("from 7\n");
    }

    @Test
    void exitCodeZeroAfterASignalIsNotRecordedAsDone() throws Exception {
        startTask(1, "trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done");
        awaitOutput(1, "up");
        runner.sendSignal(new Action.SendSignal(attemptKey(1), "TERM"));
        assertThat(awaitExitCode()).isZero();
        startTask(2, "echo again");
        assertThat(awaitExitCode()).isZero();
        assertThat(logText(2)).isEqualTo("again\n");
    }

    @Test
    void longLogKeepsItsBeginningAndItsEnd() throws Exception {
        startTask(1, "echo first; i=0; while [ $i -lt 3000 ]; do echo line $i; i=$((i+1)); done; echo last");
        assertThat(awaitExitCode()).isZero();
        long bytes = (Long) logs.list("wk-1", 0).get(0).get("bytes");
        assertThat(bytes).isLessThanOrEqualTo(20_000);
        Map<String, Object> head = logs.read(attemptKey(1), 0);
        assertThat((String) head.get("text")).startsWith("first\nline 0\n");
        Map<String, Object> tail = logs.read(attemptKey(1), (Long) head.get("next"));
        assertThat((String) tail.get("text")).endsWith("last\n");
        assertThat(tail.get("cut")).isEqualTo(true);
        for (int i = 2; i < 10; i++) {
            logs.copy(attemptKey(i), new java.io.ByteArrayInputStream(new byte[9_000]));
        }
        logs.prune();
        assertThat(logs.list("wk-1", 0)).hasSizeBetween(3, 5);
        startTask(20, "exit 3");
        assertThat(awaitExitCode())
                .as("the task is already done and is not run again")
                .isZero();
    }

    @Test
    void missingProgramFailsAndLogsTheReason() throws Exception {
        runner.run(new Action.StartProcess(
                attemptKey(1),
                new JobDescription(
                        "wk-1", 1, false, false, 1, 0, 1, false, 0, List.of("/no/such/program"), Map.of(), "TERM"),
                List.of()));
        assertThat(awaitExitCode()).isEqualTo(Runner.START_FAILED_EXIT_CODE);
        assertThat(logText(1)).contains("/no/such/program");
    }

    private Process startSupervisor() throws IOException {
        return new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Supervisor.class.getName(),
                        tag)
                .inheritIO()
                .redirectInput(ProcessBuilder.Redirect.PIPE)
                .start();
    }

    @Test
    void supervisorKillsWhenTheLeaseExpiresAndWhenTheAgentIsGone() throws Exception {
        Process supervisor = startSupervisor();
        OutputStream pipe = supervisor.getOutputStream();
        startTask(1, "echo up; sleep 600");
        awaitOutput(1, "up");
        pipe.write("600000\n300\n".getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
        assertThat(awaitExitCode()).as("killed because its lease expired").isEqualTo(137);
        pipe.write("600000\n".getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
        startTask(2, "setsid sleep 600 & echo up; wait");
        awaitOutput(2, "up");
        pipe.close();
        assertThat(awaitExitCode()).as("killed because its agent was gone").isEqualTo(137);
        assertThat(supervisor.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }
}
