package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A worker renews its lease with every accepted response of status 200, counted from the time at which the answered
 * report was sent. The owner must count every such response. Otherwise it takes the lease for expired before the worker
 * does and starts tasks elsewhere while they still run.
 */
class WorkerLeaseTest {
    private static final int REPORT_INTERVAL_MS = 3_000;

    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /**
     * Returns a world with one service and several arrays that can be cancelled, on machines that the cloud does not
     * delete.
     */
    private static World worldWithJobs(long seed) {
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
        Matcher matcher = claim.matcher(world.store.dump());
        assertThat(matcher.find()).as(world.store.dump()).isTrue();
        return world.workers.get(matcher.group(1));
    }

    /** Returns the id of a job other than the service that has a task on this machine. */
    private static String otherJobOn(FakeWorker worker) {
        return worker.tasks.values().stream()
                .filter(task -> !task.exited() && task.key.startsWith("wk-long"))
                .findFirst()
                .orElseThrow()
                .key
                .replace("/0", "");
    }

    /**
     * Lets time pass until the worker has just sent a report an ordinary report interval after the last one that was
     * answered.
     */
    private static void runUntilRegularReport(World world, FakeWorker worker) {
        for (int i = 0;
                i < 3_000 && !(worker.reportInFlight && world.nowMs - worker.leaseStartMs >= REPORT_INTERVAL_MS - 200);
                i++) {
            world.run(10);
        }
        assertThat(worker.reportInFlight).isTrue();
    }

    private static void runUntilRenewed(World world, FakeWorker worker) {
        long leaseStartBeforeMs = worker.leaseStartMs;
        for (int i = 0; i < 600 && worker.leaseStartMs == leaseStartBeforeMs; i++) {
            world.run(10);
        }
        assertThat(worker.leaseStartMs).isGreaterThan(leaseStartBeforeMs);
    }

    /**
     * The reply to a direct command arrives before a report that was sent earlier, so the report is not the newest
     * message when it arrives. The report is answered, the worker renews its lease, and the machine is cut off. The
     * owner must not take the lease for expired before the worker does.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 5, 6})
    void responseToOvertakenReportRenewsTheLease(long seed) {
        World world = worldWithJobs(seed);
        FakeWorker worker = workerHolding(world, "wk-web/0");
        String otherJob = otherJobOn(worker);
        runUntilRenewed(world, worker);
        worker.reportDelayMs = 2_500;
        runUntilRegularReport(world, worker);
        world.cancelAndWait(world.ownerOf(worker), otherJob);
        assertThat(worker.reportInFlight)
                .as("the direct command was answered while the report was under way")
                .isTrue();
        assertThat(worker.tasks.keySet())
                .noneMatch(key ->
                        key.startsWith(otherJob) && !worker.tasks.get(key).exited());
        runUntilRenewed(world, worker);
        worker.setCutOff(true);
        world.run(40_000);
        assertThat(world.violations).isEmpty();
        assertThat(workerHolding(world, "wk-web/0"))
                .as("started elsewhere in the end")
                .isNotEqualTo(worker);
    }

    private static boolean ownsShardOf(World world, int controller, FakeWorker worker) {
        return world.requestAndWait(controller, "POST", "/hello", FakeWorker.report(worker.name, worker.zone, 0))
                .startsWith("200");
    }

    /**
     * Sends a worker's reports to the other controllers in turn until one of them has taken over its shard, and returns
     * that controller.
     */
    private static int moveToNewOwner(World world, FakeWorker worker, int oldOwner) {
        for (int i = 0; i < 100; i++) {
            int controller = (oldOwner + 1 + i % 2) % 3;
            worker.controllerIndex = controller;
            worker.nextReportMs = world.nowMs;
            world.run(100);
            if (ownsShardOf(world, controller, worker)) {
                return controller;
            }
        }
        throw new AssertionError("no controller took the shard over");
    }

    /**
     * A new owner receives a report of a worker before its own response reaches the worker. Until the worker reports
     * the new term, it accepts responses of the previous owner, so its lease may last longer than what the new owner
     * has granted.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 33})
    void previousOwnersResponseCountsUntilTheWorkerReportsTheNewTerm(long seed) {
        World world = worldWithJobs(seed);
        FakeWorker worker = workerHolding(world, "wk-web/0");
        String otherJob = otherJobOn(worker);
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
        long heardAtMs = world.nowMs;
        worker.controllerIndex = oldOwner;
        world.sendCancellation(newOwner, otherJob);
        world.run(2_200);
        worker.nextReportMs = world.nowMs;
        world.run(300);
        assertThat(worker.leaseStartMs).as("renewed by the previous owner").isGreaterThan(heardAtMs + 2_000);
        long termBefore = worker.fencingToken;
        world.run(500);
        assertThat(worker.fencingToken).as("reports the new owner's term").isGreaterThan(termBefore);
        worker.setCutOff(true);
        world.run(40_000);
        assertThat(world.violations).isEmpty();
        assertThat(workerHolding(world, "wk-web/0"))
                .as("started elsewhere in the end")
                .isNotEqualTo(worker);
    }

    /**
     * A report of a machine that was cut off is delivered after the machine's lease has expired. The tasks in it are
     * over by then, and it must break no rule.
     */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void reportDelayedPastItsLeaseShowsNoRunningTask(long seed) {
        World world = worldWithJobs(seed);
        FakeWorker worker = workerHolding(world, "wk-web/0");
        int owner = world.ownerOf(worker);
        worker.setCutOff(true);
        Map<String, Object> heldReport = worker.report();
        for (int i = 0; i < 400 && world.store.dump().contains(":" + worker.name + ":"); i++) {
            world.run(50);
        }
        world.sendDuplicateReport(owner, heldReport);
        world.run(40_000);
        assertThat(world.violations).isEmpty();
    }
}
