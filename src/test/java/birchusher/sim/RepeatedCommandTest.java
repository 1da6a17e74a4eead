package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Direct commands that reach their machines once more after they were carried out and answered. */
class RepeatedCommandTest {
    private static final String JOB = "wk-moved";
    private static final String FIRST_ATTEMPT = JOB + "/0#1";
    private static final int SHORT_TASKS = 1_000;
    private static final long ENDLESS_MS = 600_000;
    /** Longer than it takes until the end of an attempt is stored and its exit may be reaped. */
    private static final long SETTLE_MS = 8_000;
    /** Longer than a start with a cached image takes, shorter than the time until the worker's next report. */
    private static final long START_MS = 300;

    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static World worldWithMachines(long seed) {
        World world = new World(seed, 3, 12);
        world.imagesCached = true;
        world.keepDirectCommands = true;
        world.submit("wk-web", "standing", 6, "production", true, false);
        world.run(40_000);
        return world;
    }

    /** Submits the job, whose first attempt fails if {@code fails}, and returns the machine of that attempt. */
    private static FakeWorker startFirstAttempt(World world, boolean fails) {
        if (fails) {
            world.failingJobs.add(JOB);
        }
        world.fixedRunTimesMs.put(JOB + "/0", ENDLESS_MS);
        world.submit(JOB, "sweep", 1, "standard", false, false);
        runUntil(world, 40_000, () -> world.directlyStartedOn(FIRST_ATTEMPT) != null);
        runUntil(world, 5_000, () -> !fails || world.taskErrors > 0);
        world.failingJobs.clear();
        return world.directlyStartedOn(FIRST_ATTEMPT);
    }

    private static void runUntil(World world, long timeoutMs, BooleanSupplier condition) {
        long endMs = world.nowMs + timeoutMs;
        while (!condition.getAsBoolean()) {
            assertThat(world.nowMs).as("time of the run").isLessThan(endMs);
            world.run(10);
        }
    }

    /** The task's attempt that runs on another machine than its first one, or on any if {@code other} is null. */
    private static boolean runs(World world, FakeWorker other) {
        return world.workers.values().stream()
                .filter(worker -> worker != other)
                .flatMap(worker -> worker.tasks.values().stream())
                .anyMatch(task -> task.key.equals(JOB + "/0") && task.state.equals("running"));
    }

    /** Lets the job's task fail and run on another machine, and returns the machine of its first attempt. */
    private static FakeWorker moveTask(World world) {
        FakeWorker first = startFirstAttempt(world, true);
        runUntil(world, 90_000, () -> runs(world, first));
        world.run(SETTLE_MS);
        return first;
    }

    private static void repeatStartAndCheck(World world, FakeWorker worker) {
        world.repeatDirectStarts(worker, FIRST_ATTEMPT);
        world.run(START_MS);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3})
    void repeatedStartRunsNoTaskThatMovedToAnotherMachine(long seed) {
        World world = worldWithMachines(seed);
        FakeWorker first = moveTask(world);
        repeatStartAndCheck(world, first);
        world.run(10_000);
        repeatStartAndCheck(world, first);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedStartRunsNoTaskOfACancelledJob(long seed) {
        World world = worldWithMachines(seed);
        FakeWorker first = startFirstAttempt(world, false);
        runUntil(world, 5_000, () -> runs(world, null));
        assertThat(world.cancelAndWait(0, JOB)).isTrue();
        world.run(World.CANCEL_DEADLINE_MS + 1_000);
        repeatStartAndCheck(world, first);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedStartRunsNoMovedTaskWhileItsControllerRestarts(long seed) {
        World world = worldWithMachines(seed);
        FakeWorker first = moveTask(world);
        world.crash(world.ownerOf(first), 300);
        for (int i = 0; i < 40; i++) {
            repeatStartAndCheck(world, first);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedStartRunsNoMovedTaskWhileItsMachineChangesOwner(long seed) {
        World world = worldWithMachines(seed);
        FakeWorker first = moveTask(world);
        int owner = world.ownerOf(first);
        world.crash(owner, 60_000);
        for (int i = 0; i < 60; i++) {
            repeatStartAndCheck(world, first);
        }
        assertThat(world.ownerOf(first)).isNotEqualTo(owner);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedStartRunsNoEarlierAttemptAfterARestartOnTheSameMachine(long seed) {
        World world = new World(seed, 3, 12);
        world.maxMachines = 1;
        world.submit("wk-web", "standing", 1, "production", false, false);
        world.imagesCached = true;
        world.keepDirectCommands = true;
        FakeWorker only = startFirstAttempt(world, true);
        runUntil(world, 90_000, () -> runs(world, null));
        world.run(SETTLE_MS);
        repeatStartAndCheck(world, only);
        world.endRunningTasks(JOB);
        world.run(5_000);
        repeatStartAndCheck(world, only);
    }

    /** Starts, stops with and without grace, reaps and batches of them, of tasks that run, save, ended, moved or were cancelled. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedCommandsOfAllKindsStartAndStopNothing(long seed) {
        World world = worldWithMachines(seed);
        for (int i = 0; i < 4; i++) {
            Map<String, Object> body = world.submit("wk-save" + i, "sweep", 2, "low", false, false);
            body.put("mark_every_s", 1.0);
            body.put("mark_take_s", 1.0);
        }
        startFirstAttempt(world, true);
        world.submit("wk-gang", "gang", 4, "urgent", false, true);
        world.run(6_000);
        world.requestCancellation("wk-save0");
        for (int i = 0; i < 8; i++) {
            world.run(5_000);
            List<String> before = world.unfinishedTasks();
            int startsBefore = world.taskStarts;
            world.repeatAllDirectCommands();
            assertThat(world.unfinishedTasks()).isEqualTo(before);
            assertThat(world.taskStarts).isEqualTo(startsBefore);
        }
        world.run(World.CANCEL_DEADLINE_MS);
        assertThat(world.violations).isEmpty();
    }

    @Test
    void repeatedCallsOfAllKindsBreakNoRule() {
        SeedSearch.forEachSeed("repeat", RepeatedCommandTest::playRepeatedCalls);
    }

    /** Two minutes in which a third of all calls is repeated, machines hang, controllers restart at once and some jobs are cancelled. */
    private static void playRepeatedCalls(long seed) {
        World world = new World(seed, 3, 24);
        world.imagesCached = true;
        world.repeatedCallRate = 0.3;
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.submit("wk-gang", "gang", 3, "standard", false, true);
        Random random = new Random(seed);
        for (int i = 0; i < 30; i++) {
            String id = "wk-a" + i;
            long submitMs = world.nowMs + random.nextInt(80_000);
            world.schedule(submitMs, () -> world.submit(id, "sweep", 1 + random.nextInt(3), "standard", false, false));
            if (i % 3 == 0) {
                world.schedule(submitMs + random.nextInt(15_000), () -> world.requestCancellation(id));
            }
        }
        for (long atMs = 25_000; atMs < 100_000; atMs += 7_000) {
            int controller = random.nextInt(3);
            int machine = random.nextInt(100);
            world.schedule(atMs, () -> world.crash(controller, 300));
            world.schedule(atMs + 3_000, () -> world.workers.values().stream()
                    .skip(machine % Math.max(1, world.workers.size()))
                    .findFirst()
                    .ifPresent(worker -> worker.hungUntilMs = world.nowMs + 3_000));
        }
        world.run(120_000);
        assertThat(world.violations).isEmpty();
    }

    /** Four times as many short tasks as one machine may keep exits of: its shard's term is raised, and starts go on in responses meanwhile. */
    @Test
    void shortTasksNeitherOutgrowAReportNorWaitForAHigherTerm() {
        World world = new World(7, 3, 100);
        world.maxMachines = 1;
        world.imagesCached = true;
        Map<String, Object> body = world.submit(JOB, "sweep", SHORT_TASKS, "standard", false, false);
        body.put("cards", 0.0);
        body.put("cores", 0.1);
        body.put("memory_gb", 0.1);
        for (int task = 0; task < SHORT_TASKS; task++) {
            world.fixedRunTimesMs.put(JOB + "/" + task, 1L);
        }
        int mostListed = 0;
        while (!"done".equals(world.reportedState(JOB)) && world.nowMs < 120_000) {
            world.run(100);
            for (FakeWorker worker : world.workers.values()) {
                mostListed = Math.max(mostListed, worker.tasks.size());
            }
        }
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState(JOB)).isEqualTo("done");
        assertThat(mostListed).as("attempts in one report").isGreaterThan(200);
    }
}
