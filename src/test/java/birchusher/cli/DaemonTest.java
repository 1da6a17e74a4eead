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

/** The whole daemon as processes: killed at any moment, it forgets nothing and doubles nothing. */
class DaemonTest {
    private static final long WAIT_LIMIT_S = 150;

    @TempDir
    Path dir;

    private static Map<String, Object> jobRequest(String id, Object... more) {
        Map<String, Object> m = new HashMap<>(Map.of(
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
        m.putAll(Map.of(
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
        for (int i = 0; i < more.length; i += 2) {
            m.put((String) more[i], more[i + 1]);
        }
        return m;
    }

    private static void submitJob(RetryingClient c, Map<String, Object> job, String script) throws Exception {
        assertThat(c.call("POST", "/v2/programs/" + job.get("name_id"), Map.of("command", List.of("sh", "-c", script)))
                        .isSuccess())
                .isTrue();
        RetryingClient.Response g = c.call("POST", Wire.JOBS, job);
        assertThat(g.isSuccess()).as(g.errorMessage()).isTrue();
    }

    private static String stateOf(RetryingClient c, String id) throws Exception {
        RetryingClient.Response g = c.call("GET", Wire.JOBS + "/" + id, null);
        return g.isSuccess() ? (String) g.body().get(Wire.STATE) : String.valueOf(g.status());
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void waitUntil(DaemonProcesses p, String what, Condition c) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_S);
        while (!c.holds()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(what + " did not come\n" + p.logTail());
            }
            Thread.sleep(50);
        }
    }

    private static List<String> readLines(Path p) throws Exception {
        return Files.exists(p) ? Files.readAllLines(p) : List.of();
    }

    /** Appends a line when it begins and one when it ends; between them nobody else may begin. */
    private String exclusiveRunScript(Path ran, String id, String does) {
        return "f=" + ran + "/" + id + "; mkdir $f.lock 2>/dev/null || echo twice >> $f; echo begin >> $f; " + does
                + "; echo end >> $f; rmdir $f.lock";
    }

    /** What one client was told of the jobs, in order: what is over stays as it is, what is accepted stays known. */
    private static final class ObservedStates {
        final Map<String, String> lastStateById = new ConcurrentHashMap<>();
        final List<String> violations = new ArrayList<>();

        synchronized void observe(String id, String stage) {
            String before = lastStateById.put(id, stage);
            boolean over = Wire.DONE.equals(before) || Wire.CANCELLED.equals(before);
            if (over && !stage.equals(before) || before != null && stage.equals("404")) {
                violations.add(id + ": " + before + ", then " + stage);
            }
        }
    }

    private void runClient(DaemonProcesses p, Path ran, ObservedStates told, int seed, int jobs) throws Exception {
        SplittableRandom r = new SplittableRandom(seed);
        RetryingClient c = p.newClient();
        for (int i = 0; i < jobs; i++) {
            // Each id is used by two clients, so that submissions and cancellations of it meet.
            String id = "wk-" + (seed / 2) + "-" + r.nextInt(jobs);
            switch (r.nextInt(4)) {
                case 0 -> {
                    RetryingClient.Response g = c.call("POST", Wire.JOBS + "/" + id + Wire.CANCEL, null);
                    if (g.isSuccess()) {
                        told.observe(id, (String) g.body().get(Wire.STATE));
                    }
                }
                case 1 -> {
                    String s = stateOf(c, id);
                    if (!s.equals("404") || told.lastStateById.containsKey(id)) {
                        told.observe(id, s);
                    }
                }
                default -> {
                    submitJob(c, jobRequest(id), exclusiveRunScript(ran, id, "sleep 0.1"));
                    told.observe(id, stateOf(c, id));
                }
            }
        }
    }

    @Test
    void killedDaemonLosesNoJobAndRunsNoneTwice() throws Exception {
        killDaemonRepeatedly(dir, 5, 24);
    }

    /** By hand, for long: so many kills. Argument: their number, and an empty directory. */
    public static void main(String[] args) throws Exception {
        new DaemonTest()
                .killDaemonRepeatedly(
                        Files.createDirectories(Path.of(args[1])),
                        Integer.parseInt(args[0]),
                        Integer.parseInt(args[0]) * 5);
    }

    private void killDaemonRepeatedly(Path at, int kills, int jobs) throws Exception {
        Path ran = Files.createDirectories(at.resolve("ran"));
        try (DaemonProcesses p = new DaemonProcesses(at, List.of("a"), "workers.lease-s=30")) {
            p.startDaemon();
            p.startAgent("a");
            // Each client hears for itself: two that ask at once may hear old and new in any order.
            List<ObservedStates> told = new ArrayList<>();
            List<Throwable> failures = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                ObservedStates t = new ObservedStates();
                told.add(t);
                int seed = i;
                Thread c = new Thread(() -> {
                    try {
                        runClient(p, ran, t, seed, jobs);
                    } catch (Exception | AssertionError e) {
                        synchronized (failures) {
                            failures.add(e);
                        }
                    }
                });
                clients.add(c);
                c.start();
            }
            SplittableRandom r = new SplittableRandom(7);
            for (int i = 0; i < kills; i++) {
                Thread.sleep(1_500 + r.nextInt(2_500));
                p.kill("daemon");
                p.startDaemon();
            }
            for (Thread c : clients) {
                c.join();
            }
            assertThat(failures).as(p.logTail()).isEmpty();
            RetryingClient c = p.newClient();
            Map<String, String> all = new HashMap<>();
            told.forEach(t -> all.putAll(t.lastStateById));
            for (String id : all.keySet()) {
                waitUntil(p, "the end of " + id, () -> List.of(Wire.DONE, Wire.CANCELLED, "404")
                        .contains(stateOf(c, id)));
                for (ObservedStates t : told) {
                    if (t.lastStateById.containsKey(id)) {
                        t.observe(id, stateOf(c, id));
                    }
                }
            }
            for (ObservedStates t : told) {
                assertThat(t.violations).as(p.logTail()).isEmpty();
            }
            int done = 0;
            for (String id : all.keySet()) {
                List<String> l = readLines(ran.resolve(id));
                if (stateOf(c, id).equals(Wire.DONE)) {
                    done++;
                    // The agent outlived every kill, so nothing was run again either.
                    assertThat(l).as(id).containsExactly("begin", "end");
                } else {
                    assertThat(l).as(id).doesNotContain("twice");
                }
            }
            assertThat(done).isGreaterThan(jobs / 4);
            assertThat(p.terminate("daemon")).as("SIGTERM ends in order").isEqualTo(143);
        }
    }

    @Test
    void agentThatDiesOrLosesTheDaemonLeavesNoTaskRunning() throws Exception {
        Path ran = Files.createDirectories(dir.resolve("ran"));
        try (DaemonProcesses p =
                new DaemonProcesses(dir, List.of("a", "b"), "workers.lease-s=10", "workers.gang-peer-s=4")) {
            p.startDaemon();
            p.startAgent("a");
            RetryingClient c = p.newClient();
            // The process beats as long as it lives; the first attempt only ends by force.
            String beats = "f=" + ran
                    + "/beats; mkdir $f.lock 2>/dev/null || echo twice >> $f; echo $BIRCHUSHER_ATTEMPT $$ >> $f; "
                    + "if [ $BIRCHUSHER_ATTEMPT = 3 ]; then exit 0; fi; trap '' TERM; while :; do sleep 0.1; done";
            submitJob(c, jobRequest("wk-beats", "expect_s", 30.0), beats);
            waitUntil(p, "attempt 1", () -> readLines(ran.resolve("beats")).size() == 1);
            long first = Long.parseLong(readLines(ran.resolve("beats")).get(0).split(" ")[1]);

            p.kill("a");
            waitUntil(p, "the end of attempt 1", () -> ProcessHandle.of(first)
                    .filter(ProcessHandle::isAlive)
                    .isEmpty());
            Files.deleteIfExists(ran.resolve("beats.lock"));
            p.startAgent("a");
            waitUntil(p, "attempt 2", () -> readLines(ran.resolve("beats")).size() == 2);
            long second = Long.parseLong(readLines(ran.resolve("beats")).get(1).split(" ")[1]);

            // Away for longer than the lease: the agent ends the task by itself.
            p.kill("daemon");
            waitUntil(p, "the end of attempt 2", () -> ProcessHandle.of(second)
                    .filter(ProcessHandle::isAlive)
                    .isEmpty());
            Files.deleteIfExists(ran.resolve("beats.lock"));
            p.startDaemon();
            waitUntil(p, "attempt 3", () -> stateOf(c, "wk-beats").equals(Wire.DONE));
            assertThat(readLines(ran.resolve("beats"))).hasSize(3).doesNotContain("twice");

            // A gang over two hosts starts together and is done together.
            p.startAgent("b");
            submitJob(
                    c,
                    jobRequest("wk-gang", "shape", "gang", "pieces", 2L, "cores", 3.0),
                    "echo $BIRCHUSHER_INDEX $BIRCHUSHER_GANG_HOSTS >> " + ran + "/gang; while [ $(wc -l < " + ran
                            + "/gang) -lt 2 ]; do sleep 0.05; done");
            waitUntil(p, "the gang's end", () -> stateOf(c, "wk-gang").equals(Wire.DONE));
            assertThat(readLines(ran.resolve("gang")))
                    .containsExactlyInAnyOrder("0 127.0.0.1,127.0.0.1", "1 127.0.0.1,127.0.0.1");

            // What people ask.
            assertThat(c.call("GET", Wire.JOBS + "?stage=done", null)
                            .body()
                            .get("runs")
                            .toString())
                    .contains("wk-beats", "wk-gang");
            submitJob(c, jobRequest("wk-more", "pieces", 3L), "echo out; sleep 600");
            waitUntil(
                    p,
                    "three tasks",
                    () -> Fields.list(
                                            c.call("GET", Wire.JOBS + "/wk-more/describe", null)
                                                    .body(),
                                            "pieces")
                                    .size()
                            == 3);
            assertThat(c.call("GET", Wire.JOBS + "/wk-more/describe", null)
                            .body()
                            .get("events")
                            .toString())
                    .contains("placed");
            assertThat(c.call("GET", Wire.JOBS + "?crew=main&stage=running", null)
                            .body()
                            .get("runs")
                            .toString())
                    .contains("wk-more");
            assertThat(c.call("GET", Wire.JOBS + "?crew=other", null).body().get("runs"))
                    .isEqualTo(List.of());
            assertThat(c.call("GET", Wire.JOBS + "?stage=what", null).status()).isEqualTo(400);
            waitUntil(p, "a log", () -> c.call("GET", "/v2/logs/wk-more/1", null)
                    .body()
                    .get("hosts")
                    .toString()
                    .contains("try"));
            assertThat(c.call("POST", Wire.JOBS + "/wk-more" + Wire.CANCEL, null)
                            .body()
                            .get(Wire.STATE))
                    .isEqualTo(Wire.CANCELLED);
            waitUntil(p, "nothing left of it", () -> Fields.list(
                            c.call("GET", Wire.JOBS + "?stage=cancelled", null).body(), "runs")
                    .toString()
                    .contains("wk-more"));
            assertThat(p.terminate("a")).isEqualTo(143);
            assertThat(p.terminate("daemon")).isEqualTo(143);
        }
    }
}
