package birchusher.cli;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the daemon and its agents as processes and kills them: no accepted job may be lost and no task may run twice. */
class DaemonTest {
    private static final long WAIT_LIMIT_S = 150;

    @TempDir
    Path dir;

    private static Map<String, Object> jobRequest(String id, Object... moreFields) {
        Map<String, Object> fields = new HashMap<>(Map.of(
                "name_id",
                id,
                "lane",
                "l",
                "crew",
                "main",
                "shape",
                "sweep",
                "rank",
                "standard",
                "pieces",
                1L,
                "cores",
                0.5,
                "cards",
                0.0,
                "memory_gb",
                0.1));
        fields.putAll(Map.of(
                "bundle",
                "none",
                "size_gb",
                0.0,
                "one_zone",
                false,
                "scatter",
                false,
                "loaners",
                false,
                "expect_s",
                2.0,
                "mark_every_s",
                0.0,
                "mark_take_s",
                0.0));
        for (int i = 0; i < moreFields.length; i += 2) {
            fields.put((String) moreFields[i], moreFields[i + 1]);
        }
        return fields;
    }

    private static void submitJob(RetryingClient client, Map<String, Object> job, String script) throws Exception {
        assertThat(client.call(
                                "POST",
                                "/v2/programs/" + job.get("name_id"),
                                Map.of("command", List.of("sh", "-c", script)))
                        .isSuccess())
                .isTrue();
        RetryingClient.Response response = client.call("POST", Wire.JOBS, job);
        assertThat(response.isSuccess()).as(response.errorMessage()).isTrue();
    }

    private static String stateOf(RetryingClient client, String id) throws Exception {
        RetryingClient.Response response = client.call("GET", Wire.JOBS + "/" + id, null);
        return response.isSuccess() ? (String) response.body().get(Wire.STATE) : String.valueOf(response.status());
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void waitUntil(DaemonProcesses processes, String expectation, Condition condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_S);
        while (!condition.holds()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError(expectation + " not reached in time\n" + processes.logTail());
            }
            Thread.sleep(50);
        }
    }

    private static List<String> readLines(Path path) throws Exception {
        return Files.exists(path) ? Files.readAllLines(path) : List.of();
    }

    /** A script that records its begin and its end, and records {@code twice} if another run of the job has not ended yet. */
    private String exclusiveRunScript(Path runDir, String id, String commands) {
        return "f=" + runDir + "/" + id + "; mkdir $f.lock 2>/dev/null || echo twice >> $f; echo begin >> $f; "
                + commands + "; echo end >> $f; rmdir $f.lock";
    }

    /**
     * The states of jobs that one client has seen, in order. A job that has ended must keep its state, and an accepted job must stay
     * known.
     */
    private static final class ObservedStates {
        final Map<String, String> lastStateById = new ConcurrentHashMap<>();
        final List<String> violations = new ArrayList<>();

        synchronized void observe(String id, String state) {
            String previous = lastStateById.put(id, state);
            boolean ended = Wire.DONE.equals(previous) || Wire.CANCELLED.equals(previous);
            if (ended && !state.equals(previous) || previous != null && state.equals("404")) {
                violations.add(id + ": " + previous + ", then " + state);
            }
        }
    }

    private void runClient(DaemonProcesses processes, Path runDir, ObservedStates observed, int seed, int jobs)
            throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        RetryingClient client = processes.newClient();
        for (int i = 0; i < jobs; i++) {
            // Two clients use the same ids, so that submissions and cancellations of a job race.
            String id = "wk-" + (seed / 2) + "-" + random.nextInt(jobs);
            switch (random.nextInt(4)) {
                case 0 -> {
                    RetryingClient.Response response = client.call("POST", Wire.JOBS + "/" + id + Wire.CANCEL, null);
                    if (response.isSuccess()) {
                        observed.observe(id, (String) response.body().get(Wire.STATE));
                    }
                }
                case 1 -> {
                    String state = stateOf(client, id);
                    if (!state.equals("404") || observed.lastStateById.containsKey(id)) {
                        observed.observe(id, state);
                    }
                }
                default -> {
                    submitJob(client, jobRequest(id), exclusiveRunScript(runDir, id, "sleep 0.1"));
                    observed.observe(id, stateOf(client, id));
                }
            }
        }
    }

    /**
     * Guards against jobs that are lost, run twice or change after their end when the daemon is killed at random times while clients
     * submit and cancel jobs.
     */
    @Test
    void killedDaemonLosesNoJobAndRunsNoneTwice() throws Exception {
        killDaemonRepeatedly(dir, 5, 24);
    }

    /** Runs the same test by hand for longer. Arguments: the number of kills, and an empty directory. */
    public static void main(String[] args) throws Exception {
        new DaemonTest()
                .killDaemonRepeatedly(
                        Files.createDirectories(Path.of(args[1])),
                        Integer.parseInt(args[0]),
                        Integer.parseInt(args[0]) * 5);
    }

    private void killDaemonRepeatedly(Path baseDir, int kills, int jobs) throws Exception {
        Path runDir = Files.createDirectories(baseDir.resolve("ran"));
        try (DaemonProcesses processes = new DaemonProcesses(baseDir, List.of("a"), "workers.lease-s=30")) {
            processes.startDaemon();
            processes.startAgent("a");
            // One record per client: two clients that ask at the same time may see old and new states in any order.
            List<ObservedStates> observedByClient = new ArrayList<>();
            List<Throwable> failures = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                ObservedStates observed = new ObservedStates();
                observedByClient.add(observed);
                int seed = i;
                Thread client = new Thread(() -> {
                    try {
                        runClient(processes, runDir, observed, seed, jobs);
                    } catch (Exception | AssertionError e) {
                        synchronized (failures) {
                            failures.add(e);
                        }
                    }
                });
                clients.add(client);
                client.start();
            }
            SplittableRandom random = new SplittableRandom(7);
            for (int i = 0; i < kills; i++) {
                Thread.sleep(1_500 + random.nextInt(2_500));
                processes.kill("daemon");
                processes.startDaemon();
            }
            for (Thread client : clients) {
                client.join();
            }
            assertThat(failures).as(processes.logTail()).isEmpty();
            RetryingClient client = processes.newClient();
            Map<String, String> observedStates = new HashMap<>();
            observedByClient.forEach(observed -> observedStates.putAll(observed.lastStateById));
            for (String id : observedStates.keySet()) {
                waitUntil(processes, "the end of " + id, () -> List.of(Wire.DONE, Wire.CANCELLED, "404")
                        .contains(stateOf(client, id)));
                for (ObservedStates observed : observedByClient) {
                    if (observed.lastStateById.containsKey(id)) {
                        observed.observe(id, stateOf(client, id));
                    }
                }
            }
            for (ObservedStates observed : observedByClient) {
                assertThat(observed.violations).as(processes.logTail()).isEmpty();
            }
            int doneJobs = 0;
            for (String id : observedStates.keySet()) {
                List<String> lines = readLines(runDir.resolve(id));
                if (stateOf(client, id).equals(Wire.DONE)) {
                    doneJobs++;
                    // The agent survived every kill of the daemon, so no task was restarted.
                    assertThat(lines).as(id).containsExactly("begin", "end");
                } else {
                    assertThat(lines).as(id).doesNotContain("twice");
                }
            }
            assertThat(doneJobs).isGreaterThan(jobs / 4);
            assertThat(processes.terminate("daemon"))
                    .as("exit code after SIGTERM")
                    .isEqualTo(143);
        }
    }

    /**
     * Guards against task processes that outlive their lease: after the agent is killed, and while the daemon is down for longer than
     * the lease. Then runs a gang and the queries of clients against the same daemon.
     */
    @Test
    void agentThatDiesOrLosesTheDaemonLeavesNoTaskRunning() throws Exception {
        Path runDir = Files.createDirectories(dir.resolve("ran"));
        try (DaemonProcesses processes =
                new DaemonProcesses(dir, List.of("a", "b"), "workers.lease-s=10", "workers.gang-peer-s=4")) {
            processes.startDaemon();
            processes.startAgent("a");
            RetryingClient client = processes.newClient();
            // The script ignores SIGTERM, so the first two attempts end only by SIGKILL; the third exits at once.
            String script = "f=" + runDir
                    + "/beats; mkdir $f.lock 2>/dev/null || echo twice >> $f; echo $BIRCHUSHER_ATTEMPT $$ >> $f; "
                    + "if [ $BIRCHUSHER_ATTEMPT = 3 ]; then exit 0; fi; trap '' TERM; while :; do sleep 0.1; done";
            submitJob(client, jobRequest("wk-beats", "expect_s", 30.0), script);
            waitUntil(
                    processes,
                    "attempt 1",
                    () -> readLines(runDir.resolve("beats")).size() == 1);
            long firstPid =
                    Long.parseLong(readLines(runDir.resolve("beats")).get(0).split(" ")[1]);

            processes.kill("a");
            waitUntil(processes, "the end of attempt 1", () -> ProcessHandle.of(firstPid)
                    .filter(ProcessHandle::isAlive)
                    .isEmpty());
            Files.deleteIfExists(runDir.resolve("beats.lock"));
            processes.startAgent("a");
            waitUntil(
                    processes,
                    "attempt 2",
                    () -> readLines(runDir.resolve("beats")).size() == 2);
            long secondPid =
                    Long.parseLong(readLines(runDir.resolve("beats")).get(1).split(" ")[1]);

            // The daemon is down for longer than the lease, so the agent must end the task itself.
            processes.kill("daemon");
            waitUntil(processes, "the end of attempt 2", () -> ProcessHandle.of(secondPid)
                    .filter(ProcessHandle::isAlive)
                    .isEmpty());
            Files.deleteIfExists(runDir.resolve("beats.lock"));
            processes.startDaemon();
            waitUntil(processes, "attempt 3", () -> stateOf(client, "wk-beats").equals(Wire.DONE));
            assertThat(readLines(runDir.resolve("beats"))).hasSize(3).doesNotContain("twice");

            // The tasks of a gang on two hosts start together and are done together.
            processes.startAgent("b");
            submitJob(
                    client,
                    jobRequest("wk-gang", "shape", "gang", "pieces", 2L, "cores", 3.0),
                    "echo $BIRCHUSHER_INDEX $BIRCHUSHER_GANG_HOSTS >> " + runDir + "/gang; while [ $(wc -l < " + runDir
                            + "/gang) -lt 2 ]; do sleep 0.05; done");
            waitUntil(processes, "the gang's end", () -> stateOf(client, "wk-gang")
                    .equals(Wire.DONE));
            assertThat(readLines(runDir.resolve("gang")))
                    .containsExactlyInAnyOrder("0 127.0.0.1,127.0.0.1", "1 127.0.0.1,127.0.0.1");

            // Queries of clients: lists, details and logs.
            assertThat(client.call("GET", Wire.JOBS + "?stage=done", null)
                            .body()
                            .get("runs")
                            .toString())
                    .contains("wk-beats", "wk-gang");
            submitJob(client, jobRequest("wk-more", "pieces", 3L), "echo out; sleep 600");
            waitUntil(
                    processes,
                    "three tasks",
                    () -> Fields.list(
                                            client.call("GET", Wire.JOBS + "/wk-more/describe", null)
                                                    .body(),
                                            "pieces")
                                    .size()
                            == 3);
            assertThat(client.call("GET", Wire.JOBS + "/wk-more/describe", null)
                            .body()
                            .get("events")
                            .toString())
                    .contains("placed");
            assertThat(client.call("GET", Wire.JOBS + "?crew=main&stage=running", null)
                            .body()
                            .get("runs")
                            .toString())
                    .contains("wk-more");
            assertThat(client.call("GET", Wire.JOBS + "?crew=other", null)
                            .body()
                            .get("runs"))
                    .isEqualTo(List.of());
            assertThat(client.call("GET", Wire.JOBS + "?stage=what", null).status())
                    .isEqualTo(400);
            waitUntil(processes, "a log", () -> client.call("GET", "/v2/logs/wk-more/1", null)
                    .body()
                    .get("hosts")
                    .toString()
                    .contains("try"));
            assertThat(client.call("POST", Wire.JOBS + "/wk-more" + Wire.CANCEL, null)
                            .body()
                            .get(Wire.STATE))
                    .isEqualTo(Wire.CANCELLED);
            waitUntil(processes, "the cancelled job in the list", () -> Fields.list(
                            client.call("GET", Wire.JOBS + "?stage=cancelled", null)
                                    .body(),
                            "runs")
                    .toString()
                    .contains("wk-more"));
            assertThat(processes.terminate("a")).isEqualTo(143);
            assertThat(processes.terminate("daemon")).isEqualTo(143);
        }
    }
}
