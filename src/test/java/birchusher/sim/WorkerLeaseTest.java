package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A worker renews its lease with every accepted 200, counted from when the answered report was sent. Its owner must count every such answer,
 * or it restarts tasks elsewhere that still run ({@code docs/incidents/2026-12-02-ran-twice.md}).
 */
class WorkerLeaseTest {
    private static final int REPORT_INTERVAL_MS = 3_000;

    @BeforeAll
    static void silenceLog() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /** A service and arrays that can be called off, on several machines that the cloud does not take back. */
    private static World world(long seed) {
        World world = new World(seed, 3, 12);
        world.imagesCached = true;
        world.submit("wk-web", "standing", 1, "production", false, false);
        for (int i = 0; i < 7; i++) {
            world.submit("wk-long" + i, "sweep", 1, "standard", false, false);
            world.fixedRunTimesMs.put("wk-long" + i + "/0", 600_000L);
        }
        world.run(45_000);
        world.cloudRefusesDeletions = true;
        return world;
    }

    private static FakeWorker workerHolding(World world, String task) {
        Pattern claim = Pattern.compile("b/live/place/" + task.replace("/0", "/0 = ") + ".*c=0:\\d+:(n-\\d+):");
        Matcher found = claim.matcher(world.store.dump());
        assertThat(found.find()).as(world.store.dump()).isTrue();
        return world.workers.get(found.group(1));
    }

    /** A job other than the service that has its task on this machine. */
    private static String otherJobOn(FakeWorker worker) {
        return worker.tasks.values().stream()
                .filter(t -> !t.exited() && t.key.startsWith("wk-long"))
                .findFirst()
                .orElseThrow()
                .key
                .replace("/0", "");
    }

    /** Runs until the worker has just sent a report that is an ordinary interval younger than the one answered before. */
    private static void runUntilRegularReport(World world, FakeWorker worker) {
        for (int i = 0;
                i < 3_000 && !(worker.reportInFlight && world.nowMs - worker.leaseStartMs >= REPORT_INTERVAL_MS - 200);
                i++) {
            world.run(10);
        }
        assertThat(worker.reportInFlight).isTrue();
    }

    private static void runUntilRenewed(World world, FakeWorker worker) {
        long before = worker.leaseStartMs;
        for (int i = 0; i < 600 && worker.leaseStartMs == before; i++) {
            world.run(10);
        }
        assertThat(worker.leaseStartMs).isGreaterThan(before);
    }

    /**
     * The answer to a direct command overtakes a report on its way, so the report is not the newest message when it arrives. It is answered, the
     * worker renews its lease, and the machine is cut off. Its owner must not take the lease for over before the worker does.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 5, 6})
    void responseToOvertakenReportRenewsTheLease(long seed) {
        World world = world(seed);
        FakeWorker worker = workerHolding(world, "wk-web/0");
        String neighbour = otherJobOn(worker);
        runUntilRenewed(world, worker);
        worker.reportDelayMs = 2_500;
        runUntilRegularReport(world, worker);
        world.cancelAndWait(world.ownerOf(worker), neighbour);
        assertThat(worker.reportInFlight)
                .as("the direct command was answered while the report was under way")
                .isTrue();
        assertThat(worker.tasks.keySet())
                .noneMatch(k -> k.startsWith(neighbour) && !worker.tasks.get(k).exited());
        runUntilRenewed(world, worker);
        worker.setCutOff(true);
        world.run(40_000);
        assertThat(world.violations).isEmpty();
        assertThat(workerHolding(world, "wk-web/0"))
                .as("started elsewhere in the end")
                .isNotEqualTo(worker);
    }

    private static boolean ownsShardOf(World world, int node, FakeWorker worker) {
        return world.requestAndWait(node, "POST", "/hello", FakeWorker.report(worker.name, worker.zone, 0))
                .startsWith("200");
    }

    /** Sends a worker's reports to one other controller after the other until one of them has taken its shard. */
    private static int moveToNewOwner(World world, FakeWorker worker, int oldOwner) {
        for (int i = 0; i < 100; i++) {
            int node = (oldOwner + 1 + i % 2) % 3;
            worker.controllerIndex = node;
            worker.nextReportMs = world.nowMs;
            world.run(100);
            if (ownsShardOf(world, node, worker)) {
                return node;
            }
        }
        throw new AssertionError("nobody took the shard");
    }

    /**
     * A new owner hears a worker before its own answer reaches it. Until the worker shows the new term it takes the answers of the owner before,
     * so its lease may be longer than what the new owner has granted.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 33})
    void previousOwnersResponseCountsUntilTheWorkerReportsTheNewTerm(long seed) {
        World world = world(seed);
        FakeWorker worker = workerHolding(world, "wk-web/0");
        String neighbour = otherJobOn(worker);
        int oldOwner = world.ownerOf(worker);
        world.setIsolated(oldOwner, true);
        int newOwner = moveToNewOwner(world, worker, oldOwner);
        worker.connectionsResetBy.add(newOwner);
        worker.commandDelayMs = 2_900;
        worker.controllerIndex = newOwner;
        worker.nextReportMs = world.nowMs;
        for (int i = 0; i < 500 && worker.controllerIndex == newOwner; i++) {
            world.run(10);
        }
        long heard = world.nowMs;
        worker.controllerIndex = oldOwner;
        world.sendCancellation(newOwner, neighbour);
        world.run(2_200);
        worker.nextReportMs = world.nowMs;
        world.run(300);
        assertThat(worker.leaseStartMs).as("renewed by the owner before").isGreaterThan(heard + 2_000);
        long term = worker.fencingToken;
        world.run(500);
        assertThat(worker.fencingToken).as("shows the new owner's term").isGreaterThan(term);
        worker.setCutOff(true);
        world.run(40_000);
        assertThat(world.violations).isEmpty();
        assertThat(workerHolding(world, "wk-web/0"))
                .as("started elsewhere in the end")
                .isNotEqualTo(worker);
    }

    /** Packets of a machine that was cut off are delivered later: its tasks in them are over, and none of them breaks a rule. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void reportDelayedPastItsLeaseShowsNoRunningTask(long seed) {
        World world = world(seed);
        FakeWorker worker = workerHolding(world, "wk-web/0");
        int owner = world.ownerOf(worker);
        worker.setCutOff(true);
        Map<String, Object> held = worker.report();
        for (int i = 0; i < 400 && world.store.dump().contains(":" + worker.name + ":"); i++) {
            world.run(50);
        }
        world.sendDuplicateReport(owner, held);
        world.run(40_000);
        assertThat(world.violations).isEmpty();
    }
}
