package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests the invariant checkers of {@link World}, which the soak uses too: each detects that its rule is broken. */
class InvariantCheckersTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /** A world in which the answers to polls are replaced by false ones. */
    private static final class FalseAnswers extends World {
        private int falseStatus;
        private String falseState;

        FalseAnswers() {
            super(1, 3, 12);
        }

        @Override
        void sendRequest(
                int controller,
                String method,
                String path,
                byte[] body,
                BiConsumer<Integer, Map<String, Object>> replyHandler) {
            boolean isPoll = method.equals("GET") && path.startsWith("/v2/runs/");
            super.sendRequest(
                    controller,
                    method,
                    path,
                    body,
                    (receivedStatus, answer) -> replyHandler.accept(
                            isPoll && falseStatus != 0 ? falseStatus : receivedStatus,
                            isPoll && falseState != null ? Map.of("stage", falseState) : answer));
        }
    }

    private static FalseAnswers worldWithJobs() {
        FalseAnswers world = new FalseAnswers();
        world.imagesCached = true;
        world.submit("wk-web", "standing", 4, "production", true, false);
        world.submit("wk-near", "standing", 1, "production", false, true);
        world.submit("wk-arr", "sweep", 6, "standard", false, false);
        for (int i = 0; i < 6; i++) {
            world.fixedRunTimesMs.put("wk-arr/" + i, 500_000L);
        }
        world.run(40_000);
        assertThat(world.violations).isEmpty();
        return world;
    }

    private static void startTask(FakeWorker worker, String task, World world) {
        worker.execute(List.of(Map.of("verb", "start", "piece", task, "try", 99L)), world.nowMs);
        world.run(300);
    }

    private static FakeWorker machineWithout(World world, String task, String zone) {
        return world.workers.values().stream()
                .filter(worker -> worker.readyAtMs < world.nowMs
                        && (zone == null || worker.zone.equals(zone))
                        && worker.tasks.values().stream().noneMatch(held -> held.key.equals(task)))
                .findFirst()
                .orElseThrow();
    }

    private static FakeWorker machineRunning(World world, String task) {
        return world.workers.values().stream()
                .filter(worker ->
                        worker.tasks.values().stream().anyMatch(held -> held.key.equals(task) && !held.exited()))
                .findFirst()
                .orElseThrow();
    }

    /** Removes the tasks of a worker, so that it has capacity for one more. */
    private static FakeWorker withoutTasks(FakeWorker worker) {
        worker.tasks.clear();
        return worker;
    }

    @Test
    void detectsTaskRunningTwice() {
        World world = worldWithJobs();
        startTask(withoutTasks(machineWithout(world, "wk-web/0", null)), "wk-web/0", world);
        assertThat(world.violations).anyMatch(violation -> violation.startsWith("ran_twice: wk-web/0"));
    }

    @Test
    void detectsZoneAndQuotaViolations() {
        World world = worldWithJobs();
        FakeWorker near = machineRunning(world, "wk-near/0");
        startTask(
                withoutTasks(machineWithout(world, "wk-near/0", near.zone.equals("east") ? "west" : "east")),
                "wk-near/0",
                world);
        assertThat(world.violations).anyMatch(violation -> violation.startsWith("wrong_place: wk-near"));
        World full = worldWithJobs();
        full.submit("wk-more", "sweep", 12, "low", false, false);
        int next = 0;
        for (FakeWorker worker : full.workers.values()) {
            for (int i = 0; i < 6; i++) {
                FakeWorker.Task task = new FakeWorker.Task("wk-more/" + next, 9, Long.MAX_VALUE);
                task.state = "running";
                worker.tasks.put("wk-more/" + next++ + "#9", task);
            }
        }
        full.run(200);
        assertThat(full.violations).anyMatch(violation -> violation.startsWith("quota"));
    }

    @Test
    void detectsCancelledTaskStillRunning() {
        World world = worldWithJobs();
        assertThat(world.cancelAndWait(0, "wk-near")).isTrue();
        world.run(World.CANCEL_DEADLINE_MS + 1_000);
        assertThat(world.violations).isEmpty();
        startTask(withoutTasks(machineWithout(world, "wk-near/0", null)), "wk-near/0", world);
        assertThat(world.violations).anyMatch(violation -> violation.startsWith("ran_cancelled: wk-near/0"));
    }

    @Test
    void detectsImpossibleAnswers() {
        FalseAnswers done = worldWithJobs();
        done.falseStatus = 200;
        done.falseState = "done";
        done.run(1_500);
        assertThat(done.violations)
                .anyMatch(violation -> violation.startsWith("not_done"))
                .anyMatch(violation -> violation.startsWith("invented"));
        done.violations.clear();
        done.falseState = "running";
        done.run(1_500);
        assertThat(done.violations).anyMatch(violation -> violation.startsWith("went_back from done to running"));
        FalseAnswers cancelled = worldWithJobs();
        cancelled.falseStatus = 200;
        cancelled.falseState = "cancelled";
        cancelled.run(1_500);
        assertThat(cancelled.violations)
                .anyMatch(violation -> violation.contains("reported as cancelled without a request"));
    }

    @Test
    void detectsForgottenJob() {
        FalseAnswers world = worldWithJobs();
        world.falseStatus = 404;
        world.run(1_500);
        assertThat(world.violations).anyMatch(violation -> violation.startsWith("forgotten"));
    }

    @Test
    void detectsUnconditionalWrite() {
        World world = worldWithJobs();
        world.store.handle(
                world.nowMs,
                "POST",
                "/multi",
                Map.of("if", List.of(), "writes", List.of(Map.of("set", "b/live/job/wk-x", "value", Map.of()))),
                (status, body) -> {});
        world.run(200);
        assertThat(world.violations).anyMatch(violation -> violation.startsWith("unconditional write"));
    }
}
