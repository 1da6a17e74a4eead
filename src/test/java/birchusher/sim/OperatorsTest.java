package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What the operators' two deployments brought, each alone and with a controller's crash and an outage of the state service; the rules are
 * checked at every step by the world.
 */
class OperatorsTest {
    /** What comes on top of the trouble itself. */
    enum With {
        NOTHING,
        CRASH,
        OUTAGE
    }

    @BeforeAll
    static void quiet() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static void along(World w, With with, int controllers) {
        switch (with) {
            case CRASH -> {
                w.crash(w.random.nextInt(controllers), 3_000);
                w.run(4_000);
                w.crash(w.random.nextInt(controllers), 200);
            }
            case OUTAGE -> {
                w.store.setOutage(true, w.nowMs);
                w.run(12_000);
                w.store.setOutage(false, w.nowMs);
            }
            default -> {}
        }
    }

    private static void answeredAndWell(World w) {
        assertThat(w.unansweredJobs(10_000)).isEmpty();
        assertThat(w.violations).isEmpty();
    }

    /** A third of all machines never comes up and the rest takes twice as long: work is done, and not much more is rented than that. */
    @ParameterizedTest
    @CsvSource({"301, 3, NOTHING", "302, 3, CRASH", "303, 7, OUTAGE"})
    void machinesThatComeLateOrNeverAreReplacedAndNotTwice(long seed, int controllers, With with) {
        World w = new World(seed, controllers, 60);
        w.neverReadyRate = 0.33;
        w.bootTimeFactor = 2;
        for (int i = 0; i < 4; i++) {
            w.submit("wk-web" + i, "standing", 6, "production", true, false);
        }
        w.submit("wk-arr", "sweep", 16, "standard", false, false);
        w.run(20_000);
        along(w, with, controllers);
        w.run(130_000);
        for (int i = 0; i < 4; i++) {
            assertThat(w.reportedState("wk-web" + i)).isEqualTo("running");
        }
        assertThat(w.reportedState("wk-arr")).isEqualTo("done");
        // Ten machines hold all of it; a third of those rented never came.
        assertThat(w.machinesRented).isLessThan(40);
        answeredAndWell(w);
    }

    /** Jobs with a mistake fail wherever they run: others don't wait for it, machines stay, and attempts are bounded. */
    @ParameterizedTest
    @CsvSource({"311, 3, NOTHING", "312, 3, CRASH", "313, 7, OUTAGE", "314, 7, CRASH"})
    void jobsThatFailEverywhereCostOthersLittleAndNoMachine(long seed, int controllers, With with) {
        World w = new World(seed, controllers, 60);
        w.submit("wk-web", "standing", 20, "production", true, false);
        for (int i = 0; i < 4; i++) {
            w.failingJobs.add("wk-bad" + i);
            w.submit("wk-bad" + i, i == 3 ? "gang" : "sweep", i == 3 ? 2 : 20, "standard", false, false);
        }
        w.submit("wk-arr", "sweep", 30, "standard", false, false);
        w.run(30_000);
        along(w, with, controllers);
        w.run(60_000);
        assertThat(w.reportedState("wk-arr")).isEqualTo("done");
        assertThat(w.reportedState("wk-web")).isEqualTo("running");
        assertThat(w.taskErrors).as("errors of 62 tasks in 90 s").isBetween(8, 140);
        // A machine that is given up takes its replicas with it.
        assertThat(w.store
                        .dump()
                        .lines()
                        .filter(l -> l.startsWith("b/live/place/wk-web/0"))
                        .findFirst()
                        .orElseThrow())
                .contains("r=0");
        for (int i = 0; i < 4; i++) {
            w.requestCancellation("wk-bad" + i);
        }
        w.run(20_000);
        for (int i = 0; i < 4; i++) {
            assertThat(w.isCancelled("wk-bad" + i)).isTrue();
        }
        answeredAndWell(w);
    }

    /** Low work of a team without a guarantee and without an objective: on idle machines, and nothing is rented for it before it has waited. */
    @ParameterizedTest
    @CsvSource({"321, 3, NOTHING", "322, 3, CRASH", "323, 7, OUTAGE"})
    void guestsUseIdleRoomAndAreServedInTheEnd(long seed, int controllers, With with) {
        World w = new World(seed, controllers, 200);
        w.submit("wk-web", "standing", 5, "production", false, false);
        w.run(40_000);
        int before = w.machinesRented;
        w.submit("wk-guest", "sweep", 12, "low", false, false).put("crew", "guests");
        along(w, with, controllers);
        w.run(60_000);
        assertThat(w.machinesRented).as("rented for guests").isEqualTo(before);
        w.submit("wk-own", "sweep", 8, "standard", false, false);
        w.run(120_000);
        assertThat(w.reportedState("wk-own")).isEqualTo("done");
        w.run(150_000);
        assertThat(w.reportedState("wk-guest")).as("not starved").isEqualTo("done");
        answeredAndWell(w);
    }

    /** A swarm of single jobs and thousands of questions, among them about jobs that nobody submitted: rows and reads are bounded. */
    @ParameterizedTest
    @CsvSource({"331, 3, NOTHING", "332, 3, CRASH", "333, 7, OUTAGE"})
    void aSwarmAndAStormOfQuestionsDelayNobody(long seed, int controllers, With with) {
        World w = new World(seed, controllers, 120);
        w.submit("wk-web", "standing", 4, "production", false, false);
        w.run(30_000);
        int rows = w.store.rowsWritten;
        for (int i = 0; i < 100; i++) {
            w.submit("wk-one" + i, "sweep", 1, "low", false, false);
        }
        w.run(3_000);
        along(w, with, controllers);
        w.run(8_000);
        int reads = w.store.rowReads;
        for (int i = 0; i < 300; i++) {
            w.requestAndWait(i % controllers, "GET", "/v2/runs/wk-never" + i, null);
        }
        assertThat(w.store.rowReads - reads).as("reads for 300 unknown ids").isLessThan(30);
        w.submit("wk-late", "standing", 1, "production", false, false);
        w.run(20_000);
        assertThat(w.reportedState("wk-late")).as("in the midst of it").isEqualTo("running");
        w.run(90_000);
        for (int i = 0; i < 100; i++) {
            assertThat(w.reportedState("wk-one" + i)).isEqualTo("done");
        }
        assertThat(w.store.rowsWritten - rows).as("rows for 100 jobs").isLessThan(100 * 8);
        answeredAndWell(w);
    }
}
