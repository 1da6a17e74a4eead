package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Faults and loads seen in operation, each alone and together with controller crashes or an outage of the state
 * service. {@link World} checks the rules at every step.
 */
class OperationalFaultsTest {
    /** A fault that is injected in addition to that of the test. */
    enum AdditionalFault {
        NOTHING,
        CRASH,
        OUTAGE
    }

    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static void inject(World world, AdditionalFault additionalFault, int controllers) {
        switch (additionalFault) {
            case CRASH -> {
                world.crash(world.random.nextInt(controllers), 3_000);
                world.run(4_000);
                world.crash(world.random.nextInt(controllers), 200);
            }
            case OUTAGE -> {
                world.store.setOutage(true, world.nowMs);
                world.run(12_000);
                world.store.setOutage(false, world.nowMs);
            }
            default -> {}
        }
    }

    private static void assertHealthy(World world) {
        assertThat(world.unansweredJobs(10_000)).isEmpty();
        assertThat(world.violations).isEmpty();
    }

    /**
     * A third of all machines never becomes ready, and the others take twice as long to boot. The services must run and
     * the array must finish, and not many more machines may be rented than needed.
     */
    @ParameterizedTest
    @CsvSource({"301, 3, NOTHING", "302, 3, CRASH", "303, 7, OUTAGE"})
    void slowAndFailedBootsAreReplacedOnlyOnce(long seed, int controllers, AdditionalFault additionalFault) {
        World world = new World(seed, controllers, 60);
        world.neverReadyRate = 0.33;
        world.bootTimeFactor = 2;
        for (int i = 0; i < 4; i++) {
            world.submit("wk-web" + i, "standing", 6, "production", true, false);
        }
        world.submit("wk-arr", "sweep", 16, "standard", false, false);
        world.run(20_000);
        inject(world, additionalFault, controllers);
        world.run(130_000);
        for (int i = 0; i < 4; i++) {
            assertThat(world.reportedState("wk-web" + i)).isEqualTo("running");
        }
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        // Ten machines hold all tasks; a third of the rented ones never becomes ready.
        assertThat(world.machinesRented).isLessThan(40);
        assertHealthy(world);
    }

    /**
     * Faulty jobs fail on every machine. They must not delay other jobs or cause machines to be returned, and their
     * attempts must be bounded.
     */
    @ParameterizedTest
    @CsvSource({"311, 3, NOTHING", "312, 3, CRASH", "313, 7, OUTAGE", "314, 7, CRASH"})
    void jobsThatFailEverywhereDelayNoOtherJobAndCostNoMachine(
            long seed, int controllers, AdditionalFault additionalFault) {
        World world = new World(seed, controllers, 60);
        world.submit("wk-web", "standing", 20, "production", true, false);
        for (int i = 0; i < 4; i++) {
            world.failingJobs.add("wk-bad" + i);
            world.submit("wk-bad" + i, i == 3 ? "gang" : "sweep", i == 3 ? 2 : 20, "standard", false, false);
        }
        world.submit("wk-arr", "sweep", 30, "standard", false, false);
        world.run(30_000);
        inject(world, additionalFault, controllers);
        world.run(60_000);
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
        assertThat(world.taskErrors).as("errors of 62 tasks in 90 s").isBetween(8, 140);
        // A machine that is returned as faulty would take its replicas with it.
        assertThat(world.store
                        .dump()
                        .lines()
                        .filter(line -> line.startsWith("b/live/place/wk-web/0"))
                        .findFirst()
                        .orElseThrow())
                .contains("r=0");
        for (int i = 0; i < 4; i++) {
            world.requestCancellation("wk-bad" + i);
        }
        world.run(20_000);
        for (int i = 0; i < 4; i++) {
            assertThat(world.isCancelled("wk-bad" + i)).isTrue();
        }
        assertHealthy(world);
    }

    /**
     * Low-priority tasks of a team without a guarantee and without a wait objective run on idle machines. No machine
     * may be rented for them before they have waited.
     */
    @ParameterizedTest
    @CsvSource({"321, 3, NOTHING", "322, 3, CRASH", "323, 7, OUTAGE"})
    void teamWithoutGuaranteeUsesIdleCapacityAndIsNotStarved(
            long seed, int controllers, AdditionalFault additionalFault) {
        World world = new World(seed, controllers, 200);
        world.submit("wk-web", "standing", 5, "production", false, false);
        world.run(40_000);
        int rentedBefore = world.machinesRented;
        world.submit("wk-guest", "sweep", 12, "low", false, false).put("crew", "guests");
        inject(world, additionalFault, controllers);
        world.run(60_000);
        assertThat(world.machinesRented)
                .as("machines rented, none expected for the team without a guarantee")
                .isEqualTo(rentedBefore);
        world.submit("wk-own", "sweep", 8, "standard", false, false);
        world.run(120_000);
        assertThat(world.reportedState("wk-own")).isEqualTo("done");
        world.run(150_000);
        assertThat(world.reportedState("wk-guest"))
                .as("job of the team without a guarantee")
                .isEqualTo("done");
        assertHealthy(world);
    }

    /**
     * A hundred jobs of one task each and hundreds of status queries for jobs that were never submitted must delay no
     * other job, and the rows written and read for them must be bounded.
     */
    @ParameterizedTest
    @CsvSource({"331, 3, NOTHING", "332, 3, CRASH", "333, 7, OUTAGE"})
    void manySmallJobsAndStatusQueriesDelayNoOtherJob(long seed, int controllers, AdditionalFault additionalFault) {
        World world = new World(seed, controllers, 120);
        world.submit("wk-web", "standing", 4, "production", false, false);
        world.run(30_000);
        int rowsBefore = world.store.rowsWritten;
        for (int i = 0; i < 100; i++) {
            world.submit("wk-one" + i, "sweep", 1, "low", false, false);
        }
        world.run(3_000);
        inject(world, additionalFault, controllers);
        world.run(8_000);
        int readsBefore = world.store.rowReads;
        for (int i = 0; i < 300; i++) {
            world.requestAndWait(i % controllers, "GET", "/v2/runs/wk-never" + i, null);
        }
        assertThat(world.store.rowReads - readsBefore)
                .as("reads for 300 unknown ids")
                .isLessThan(30);
        world.submit("wk-late", "standing", 1, "production", false, false);
        world.run(20_000);
        assertThat(world.reportedState("wk-late"))
                .as("submitted while the other jobs run")
                .isEqualTo("running");
        world.run(90_000);
        for (int i = 0; i < 100; i++) {
            assertThat(world.reportedState("wk-one" + i)).isEqualTo("done");
        }
        assertThat(world.store.rowsWritten - rowsBefore).as("rows for 100 jobs").isLessThan(100 * 8);
        assertHealthy(world);
    }
}
