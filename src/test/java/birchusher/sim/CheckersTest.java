package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The checkers of the tests' world and of the soak, each made to see its rule broken. */
class CheckersTest {
    @BeforeAll
    static void quiet() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /** Controllers whose answers to polls are replaced. */
    private static final class FalseAnswers extends World {
        private int status;
        private String stage;

        FalseAnswers() {
            super(1, 3, 12);
        }

        @Override
        void ask(int node, String method, String path, byte[] body, BiConsumer<Integer, Map<String, Object>> reply) {
            boolean poll = method.equals("GET") && path.startsWith("/v2/runs/");
            super.ask(
                    node,
                    method,
                    path,
                    body,
                    (got, answer) -> reply.accept(
                            poll && status != 0 ? status : got,
                            poll && stage != null ? Map.of("stage", stage) : answer));
        }
    }

    private static FalseAnswers world() {
        FalseAnswers world = new FalseAnswers();
        world.imagesCached = true;
        world.submit("wk-web", "standing", 4, "production", true, false);
        world.submit("wk-near", "standing", 1, "production", false, true);
        world.submit("wk-arr", "sweep", 6, "standard", false, false);
        for (int i = 0; i < 6; i++) {
            world.runs.put("wk-arr/" + i, 500_000L);
        }
        world.run(40_000);
        assertThat(world.broken).isEmpty();
        return world;
    }

    private static void start(FakeWorker worker, String task, World world) {
        worker.execute(List.of(Map.of("verb", "start", "piece", task, "try", 99L)), world.now);
        world.run(300);
    }

    private static FakeWorker without(World world, String task, String zone) {
        return world.workers.values().stream()
                .filter(w -> w.upAt < world.now
                        && (zone == null || w.zone.equals(zone))
                        && w.tasks.values().stream().noneMatch(t -> t.key.equals(task)))
                .findFirst()
                .orElseThrow();
    }

    private static FakeWorker holder(World world, String task) {
        return world.workers.values().stream()
                .filter(w -> w.tasks.values().stream().anyMatch(t -> t.key.equals(task) && !t.exited()))
                .findFirst()
                .orElseThrow();
    }

    /** Room for one more task. */
    private static FakeWorker withRoom(FakeWorker worker) {
        worker.tasks.clear();
        return worker;
    }

    @Test
    void aTaskInTwoPlaces() {
        World world = world();
        start(withRoom(without(world, "wk-web/0", null)), "wk-web/0", world);
        assertThat(world.broken).anyMatch(b -> b.startsWith("ran_twice: wk-web/0"));
    }

    @Test
    void zonesAndLimits() {
        World world = world();
        FakeWorker near = holder(world, "wk-near/0");
        start(withRoom(without(world, "wk-near/0", near.zone.equals("east") ? "west" : "east")), "wk-near/0", world);
        assertThat(world.broken).anyMatch(b -> b.startsWith("wrong_place: wk-near"));
        World full = world();
        full.submit("wk-more", "sweep", 12, "low", false, false);
        int next = 0;
        for (FakeWorker worker : full.workers.values()) {
            for (int i = 0; i < 6; i++) {
                FakeWorker.Task task = new FakeWorker.Task("wk-more/" + next, 9, Long.MAX_VALUE);
                task.stage = "running";
                worker.tasks.put("wk-more/" + next++ + "#9", task);
            }
        }
        full.run(200);
        assertThat(full.broken).anyMatch(b -> b.startsWith("quota"));
    }

    @Test
    void cancelledWorkThatGoesOn() {
        World world = world();
        assertThat(world.withdraw(0, "wk-near")).isTrue();
        world.run(World.CANCEL_MS + 1_000);
        assertThat(world.broken).isEmpty();
        start(withRoom(without(world, "wk-near/0", null)), "wk-near/0", world);
        assertThat(world.broken).anyMatch(b -> b.startsWith("ran_cancelled: wk-near/0"));
    }

    @Test
    void answersThatCantBe() {
        FalseAnswers done = world();
        done.status = 200;
        done.stage = "done";
        done.run(1_500);
        assertThat(done.broken).anyMatch(b -> b.startsWith("not_done")).anyMatch(b -> b.startsWith("invented"));
        done.broken.clear();
        done.stage = "running";
        done.run(1_500);
        assertThat(done.broken).anyMatch(b -> b.startsWith("went_back from done to running"));
        FalseAnswers cancelled = world();
        cancelled.status = 200;
        cancelled.stage = "cancelled";
        cancelled.run(1_500);
        assertThat(cancelled.broken).anyMatch(b -> b.contains("cancelled by nobody"));
    }

    @Test
    void acceptedJobsThatAreForgotten() {
        FalseAnswers world = world();
        world.status = 404;
        world.run(1_500);
        assertThat(world.broken).anyMatch(b -> b.startsWith("forgotten"));
    }

    @Test
    void writesWithoutTheirConditions() {
        World world = world();
        world.store.handle(
                world.now,
                "POST",
                "/multi",
                Map.of("if", List.of(), "writes", List.of(Map.of("set", "b/live/job/wk-x", "value", Map.of()))),
                (status, body) -> {});
        world.run(200);
        assertThat(world.broken).anyMatch(b -> b.startsWith("unconditional write"));
    }
}
