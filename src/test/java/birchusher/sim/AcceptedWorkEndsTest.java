package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Accepted work ends once the troubles are over: faults that broke no safety rule and left a job waiting for ever. */
class AcceptedWorkEndsTest {
    /** More tasks than one placement row of the simulated state service holds. */
    private static final int TASKS_IN_TWO_ROWS = 200;
    /** By the users' pages, no job waits for this long while a machine that fits has room and no trouble is left. */
    private static final long MAX_WAIT_BESIDE_ROOM_MS = 90_000;

    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /** Submits a gang whose tasks are recorded in two rows and fit on two machines. */
    private static void submitGangInTwoRows(World world) {
        Map<String, Object> gang = world.submit("wk-gang", "gang", TASKS_IN_TWO_ROWS, "standard", false, false);
        gang.put("cores", 0.03);
        gang.put("cards", 0.03);
        gang.put("memory_gb", 0.03);
    }

    private static void runUntilRunning(World world, FakeWorker.Task task) {
        for (int i = 0; i < 600 && !task.state.equals("running"); i++) {
            world.run(100);
        }
        assertThat(task.state).as("state of %s", task.key).isEqualTo("running");
    }

    private static FakeWorker workerOf(World world, String taskKey) {
        for (int i = 0; i < 600; i++) {
            for (FakeWorker worker : world.workers.values()) {
                if (worker.tasks.containsKey(taskKey + "#1")) {
                    return worker;
                }
            }
            world.run(100);
        }
        throw new AssertionError(taskKey + " is on no machine");
    }

    /** Guards against a gang that has completed and is never done, because its end was recorded in one of its rows only. */
    @Test
    void gangInTwoRowsIsDoneAlthoughTheMachineOfItsSecondRowIsLostAtItsEnd() {
        World world = new World(401, 3, 220);
        submitGangInTwoRows(world);
        FakeWorker machineOfSecondRow = workerOf(world, "wk-gang/199");
        runUntilRunning(world, machineOfSecondRow.tasks.get("wk-gang/199#1"));
        world.run(6_000);
        assertThat(machineOfSecondRow.tasks).doesNotContainKey("wk-gang/0#1");
        machineOfSecondRow.setCutOff(true);
        world.run(40_000);
        assertThat(world.reportedState("wk-gang")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
    }

    /** Guards against a gang that an earlier version left with its end in one of its rows: it must not wait for ever. */
    @Test
    void gangWhoseEndIsInOneOfItsRowsOnlyIsDone() {
        World world = new World(402, 3, 220);
        submitGangInTwoRows(world);
        runUntilRunning(world, workerOf(world, "wk-gang/199").tasks.get("wk-gang/199#1"));
        for (int task = 0; task < TASKS_IN_TWO_ROWS; task++) {
            world.taskFinished("wk-gang/" + task);
        }
        String all182TasksDone = "ffffffffffffffff,ffffffffffffffff,3fffffffffffff";
        world.store.injectRow(
                "b/live/place/wk-gang/0", Map.of("a", 1L, "r", 0L, "e", 0L, "d", all182TasksDone, "c", ""));
        world.run(10_000);
        assertThat(world.reportedState("wk-gang")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
    }

    /** Guards against a job that is never started again on the only machine that has room, because a task of it failed there once. */
    @Test
    void jobThatFailedOnTheOnlyMachineWithRoomIsStartedThereAgain() {
        World world = new World(403);
        world.maxMachines = 1;
        world.submit("wk-web", "standing", 1, "production", false, false);
        world.run(30_000);
        world.failingJobs.add("wk-one");
        world.submit("wk-one", "sweep", 1, "standard", false, false);
        for (int i = 0; i < 200 && world.taskErrors == 0; i++) {
            world.run(100);
        }
        assertThat(world.taskErrors).isEqualTo(1);
        world.failingJobs.clear();
        world.run(MAX_WAIT_BESIDE_ROOM_MS);
        assertThat(world.reportedState("wk-one")).isIn("running", "done");
        assertThat(world.violations).isEmpty();
    }

    /**
     * Guards against a gang that never runs, because one machine has its image and the task there gives up waiting each time before the
     * other machine has fetched it.
     */
    @Test
    void gangRunsAlthoughOneMachineFetchesForLongerThanTheOtherMayWait() {
        World world = new World(404);
        world.maxMachines = 2;
        world.fetchesBySize = true;
        double imageGb = 1.5 * World.GANG_WAIT_MS / 1000 * World.FETCH_GB_PER_S;
        world.submit("wk-web", "standing", 1, "production", false, false).put("size_gb", imageGb);
        world.run(60_000);
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
        Map<String, Object> gang = world.submit("wk-gang", "gang", 2, "standard", false, false);
        gang.put("size_gb", imageGb);
        gang.put("cards", 3.0);
        world.run(MAX_WAIT_BESIDE_ROOM_MS);
        assertThat(world.reportedState("wk-gang")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
    }

    /** Guards against a later start of a gang: a machine that has to fetch the image must not wait for one whose fetch takes longer. */
    @Test
    void machineThatHasToFetchTheImageOfItsGangStartsAtOnce() {
        World world = new World(405);
        world.maxMachines = 2;
        world.fetchesBySize = true;
        double imageGb = 1.5 * World.GANG_WAIT_MS / 1000 * World.FETCH_GB_PER_S;
        Map<String, Object> service = world.submit("wk-web", "standing", 1, "production", false, false);
        service.put("bundle", "img-web");
        service.put("size_gb", 2 * imageGb);
        world.submit("wk-full", "standing", 1, "production", false, false).put("cards", 4.0);
        world.run(25_000);
        world.requestCancellation("wk-full");
        Map<String, Object> gang = world.submit("wk-gang", "gang", 2, "standard", false, false);
        gang.put("bundle", "img-gang");
        gang.put("size_gb", imageGb);
        gang.put("cards", 3.0);
        FakeWorker first = workerOf(world, "wk-gang/0");
        FakeWorker second = workerOf(world, "wk-gang/1");
        assertThat(first).isNotEqualTo(second);
        long firstEndsMs = first.tasks.get("wk-gang/0#1").stateEndsMs;
        long secondEndsMs = second.tasks.get("wk-gang/1#1").stateEndsMs;
        assertThat(Math.abs(firstEndsMs - secondEndsMs))
                .as("ms between the ends of both fetches")
                .isLessThan(3_000);
    }
}
