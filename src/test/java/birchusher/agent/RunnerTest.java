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

/** Real processes: nothing of a task outlives its end, whatever it does. */
class RunnerTest {
    private static final long PATIENCE_S = 60;

    @TempDir
    Path dir;

    private final String tag = "test-" + ProcessHandle.current().pid() + "-" + System.nanoTime();
    private final BlockingQueue<Integer> exits = new LinkedBlockingQueue<>();
    private Logs logs;
    private Runner runner;

    @BeforeEach
    void start() throws IOException {
        logs = new Logs(dir.resolve("logs"), new Logs.Bounds(10_000, 50_000));
        runner = new Runner(tag, dir, dir.resolve("saves"), logs, (key, code) -> exits.add(code));
    }

    @AfterEach
    void nothingIsLeft() throws IOException, InterruptedException {
        List<Long> left = Tagged.find(tag);
        Tagged.killAll(tag);
        assertThat(left).isEmpty();
    }

    private static Action.Key key(long attempt) {
        return new Action.Key("wk-1", 0, attempt);
    }

    private void run(long attempt, String script) {
        runner.run(new Action.Run(
                key(attempt),
                new Description(
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

    private int exit() throws InterruptedException {
        Integer code = exits.poll(PATIENCE_S, TimeUnit.SECONDS);
        assertThat(code).as("the task has not ended").isNotNull();
        return code;
    }

    /** Waits until the task has said that it is so far. */
    private void said(long attempt, String word) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!text(attempt).contains(word)) {
            assertThat(System.nanoTime())
                    .as("waiting for " + word + ": " + text(attempt))
                    .isLessThan(end);
            Thread.sleep(10);
        }
    }

    private String text(long attempt) throws IOException {
        return logs.list("wk-1", 0).stream().anyMatch(m -> m.get("try").equals(attempt))
                ? (String) logs.read(key(attempt), 0).get("text")
                : "";
    }

    @Test
    void whatATaskLeavesBehindIsKilledBeforeItsExitIsTold() throws Exception {
        run(
                1,
                "(setsid sh -c 'trap \"\" TERM; sleep 600' &) ; (sleep 600 &) ; echo $MINE $BIRCHUSHER_JOB $BIRCHUSHER_ATTEMPT");
        assertThat(exit()).isZero();
        assertThat(Tagged.find(tag)).isEmpty();
        assertThat(text(1)).isEqualTo("yes wk-1 1\n");
        // Its result is kept: another attempt does not run it again.
        run(2, "echo again");
        assertThat(exit()).isZero();
        assertThat(logs.list("wk-1", 0)).hasSize(1);
    }

    @Test
    void aTaskThatIgnoresSignalsAndForksIsKilled() throws Exception {
        run(1, "trap '' TERM INT; for i in 1 2 3 4 5; do (while :; do sleep 1; done) & done; echo up; wait");
        said(1, "up");
        runner.signal(new Action.Signal(key(1), "TERM"));
        runner.kill(key(1));
        assertThat(exit()).isEqualTo(137);
    }

    @Test
    void aTaskThatIsKilledBeforeItHasBegunNeverRuns() throws Exception {
        for (int i = 1; i <= 20; i++) {
            run(i, "echo ran; sleep 600");
            runner.kill(key(i));
            assertThat(exit()).isNotZero();
        }
        run(99, "sleep 600");
        CountDownLatch gone = new CountDownLatch(1);
        runner.killAll(gone::countDown);
        assertThat(gone.await(PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(exit()).isNotZero();
    }

    @Test
    void aTaskSavesAndGoesOnWhereItWas() throws Exception {
        String script = "cd $BIRCHUSHER_CHECKPOINT; n=$(cat n 2>/dev/null || echo 0); trap 'echo 7 > n; exit 75' USR1; "
                + "echo from $n; if [ $n = 7 ]; then exit 0; fi; while :; do sleep 0.05; done";
        run(1, script);
        said(1, "from 0");
        runner.signal(new Action.Signal(key(1), "USR1"));
        assertThat(exit()).isEqualTo(Worker.SAVED);
        run(2, script);
        assertThat(exit()).isZero();
        assertThat(text(2)).isEqualTo("from 7\n");
    }

    @Test
    void anExitWithZeroAfterASignalIsNoResult() throws Exception {
        run(1, "trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done");
        said(1, "up");
        runner.signal(new Action.Signal(key(1), "TERM"));
        assertThat(exit()).isZero();
        run(2, "echo again");
        assertThat(exit()).isZero();
        assertThat(text(2)).isEqualTo("again\n");
    }

    @Test
    void aTaskThatPrintsTooMuchKeepsItsBeginningAndItsEnd() throws Exception {
        run(1, "echo first; i=0; while [ $i -lt 3000 ]; do echo line $i; i=$((i+1)); done; echo last");
        assertThat(exit()).isZero();
        long bytes = (Long) logs.list("wk-1", 0).get(0).get("bytes");
        assertThat(bytes).isLessThanOrEqualTo(20_000);
        Map<String, Object> head = logs.read(key(1), 0);
        assertThat((String) head.get("text")).startsWith("first\nline 0\n");
        Map<String, Object> tail = logs.read(key(1), (Long) head.get("next"));
        assertThat((String) tail.get("text")).endsWith("last\n");
        assertThat(tail.get("cut")).isEqualTo(true);
        for (int i = 2; i < 10; i++) {
            logs.copy(key(i), new java.io.ByteArrayInputStream(new byte[9_000]));
        }
        logs.prune();
        assertThat(logs.list("wk-1", 0)).hasSizeBetween(3, 5);
        run(20, "exit 3");
        assertThat(exit()).as("its result stands").isZero();
    }

    @Test
    void aProgramThatIsNotThereIsAnErrorWithItsReason() throws Exception {
        runner.run(new Action.Run(
                key(1),
                new Description(
                        "wk-1", 1, false, false, 1, 0, 1, false, 0, List.of("/no/such/program"), Map.of(), "TERM"),
                List.of()));
        assertThat(exit()).isEqualTo(Runner.FAILED);
        assertThat(text(1)).contains("/no/such/program");
    }

    private Process warden() throws IOException {
        return new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Warden.class.getName(),
                        tag)
                .inheritIO()
                .redirectInput(ProcessBuilder.Redirect.PIPE)
                .start();
    }

    @Test
    void theWardenKillsWhenNobodyRenewsAndWhenNobodyIsThere() throws Exception {
        Process w = warden();
        OutputStream pipe = w.getOutputStream();
        run(1, "echo up; sleep 600");
        said(1, "up");
        pipe.write("600000\n300\n".getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
        assertThat(exit()).as("its lease was over").isEqualTo(137);
        pipe.write("600000\n".getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
        run(2, "setsid sleep 600 & echo up; wait");
        said(2, "up");
        pipe.close();
        assertThat(exit()).as("its agent was gone").isEqualTo(137);
        assertThat(w.waitFor(PATIENCE_S, TimeUnit.SECONDS)).isTrue();
    }
}
