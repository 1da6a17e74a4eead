package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long simulated runs of controller cores under faults. {@link World} checks every rule of the protocol as an invariant. */
class SimulationTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static World worldWithJobs(long seed) {
        World world = new World(seed);
        world.submit("wk-web", "standing", 2, "production", true, false);
        world.submit("wk-arr", "sweep", 14, "standard", false, false);
        world.submit("wk-gang", "gang", 3, "standard", false, true);
        return world;
    }

    @Test
    void faultFreeRunFinishesAllJobsWithinTheTeamLimit() {
        World world = worldWithJobs(1);
        world.run(120_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        assertThat(world.reportedState("wk-gang")).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
    }

    @Test
    void arrayStoredInSeveralRowsFinishes() {
        World world = new World(5);
        world.submit("wk-big", "sweep", 220, "standard", false, false);
        world.run(400_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-big")).as(world.store.dump()).isEqualTo("done");
    }

    @Test
    void cancelledServiceStopsThoughItsMachineHangs() {
        World world = worldWithJobs(2);
        world.run(40_000);
        world.workers.values().forEach(worker -> worker.hungUntilMs = world.nowMs + 6_000);
        assertCancelledInTime(world);
    }

    @Test
    void acceptedJobsSurviveACrashOfAllControllers() {
        World world = worldWithJobs(3);
        world.run(20_000);
        for (int i = 0; i < 3; i++) {
            world.crash(i, 5_000);
        }
        world.run(120_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
    }

    /** Returns the member and the incarnation of the autoscaler, as stored in its row. */
    private static String autoscalerMember(World world) {
        Matcher row = Pattern.compile("b/live/buyer = \\{(.*)}").matcher(world.store.dump());
        assertThat(row.find()).isTrue();
        return Pattern.compile("[mi]=[^,]*")
                .matcher(row.group(1))
                .results()
                .map(match -> match.group())
                .sorted()
                .toList()
                .toString();
    }

    /**
     * Guards against a deadlock after a restart of all controllers: the others waited for the restarted autoscaler, and
     * it waited for a member of lower name.
     */
    @Test
    void autoscalerRestartedWithAllOthersResumesItsRole() {
        World world = worldWithJobs(7);
        world.run(20_000);
        world.crash(0, 30_000);
        world.run(40_000);
        String second = autoscalerMember(world);
        assertThat(second).contains("m=perch-1");
        for (int i = 0; i < 3; i++) {
            world.crash(i, 5_000);
        }
        world.run(20_000);
        assertThat(autoscalerMember(world)).isNotEqualTo(second);
        assertThat(world.violations).isEmpty();
    }

    @Test
    void stateOutageLongerThanMemberLeasesLosesNoJob() {
        World world = worldWithJobs(4);
        world.run(30_000);
        world.store.setOutage(true, world.nowMs);
        world.run(70_000);
        world.store.setOutage(false, world.nowMs);
        world.run(100_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
    }

    /**
     * Guards against expired worker leases: shards that were handed over as an outage began had no owner to answer their
     * workers until its end.
     */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void workersKeepLeasesWhenSevenControllersNoticeAnOutageOneByOne(long seed) {
        World world = new World(seed, 7, 10);
        world.submit("wk-arr", "sweep", 8, "standard", false, false);
        world.submit("wk-web", "standing", 2, "production", true, false);
        world.run(60_000 + seed * 37);
        for (int i = 0; i < 32; i++) {
            String name = "x-" + i;
            world.workers.put(name, new FakeWorker(world, name, i % 2 == 0 ? "east" : "west", false, world.nowMs));
        }
        world.run(5_000);
        world.refusedByStore[(int) seed % 7] = true;
        world.refusedByStore[(int) (seed + 2) % 7] = true;
        world.run(2_700 + 100 * (seed % 4));
        world.store.setOutage(true, world.nowMs);
        world.run(25_000);
        world.store.setOutage(false, world.nowMs);
        java.util.Arrays.fill(world.refusedByStore, false);
        assertThat(world.workers.values())
                .isNotEmpty()
                .allSatisfy(worker -> assertThat(worker.session).as(worker.name).isEqualTo(1));
        world.run(30_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
    }

    /**
     * Guards against a cancelled task that runs on: a controller answered its workers until its member lease expired and
     * did not receive the cancellation.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void controllerThatReachesOnlyItsWorkersStopsServingThemInTimeForCancellations(int isolated) {
        World world = worldWithJobs(70 + isolated);
        world.run(40_000);
        world.refusedByStore[isolated] = true;
        world.setPeerLinkDown(isolated, (isolated + 1) % 3, true);
        world.setPeerLinkDown(isolated, (isolated + 2) % 3, true);
        world.run(2_000);
        assertCancelledInTime(world);
    }

    /**
     * Guards against worker leases that expire too late: in an isolated zone the workers reached no other controller
     * than their own.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void workerLeasesInAnIsolatedZoneExpireInTimeForCancellations(int isolated) {
        World world = worldWithJobs(80 + isolated);
        world.run(40_000);
        world.isolateWithWorkers(isolated);
        world.run(1_000);
        assertCancelledInTime(world);
    }

    private static void assertCancelledInTime(World world) {
        world.requestCancellation("wk-web");
        world.run(60_000);
        assertThat(world.isCancelled("wk-web")).isTrue();
        assertThat(world.violations).isEmpty();
    }

    /**
     * Guards against shards that change owners twice a second: without peer connections, each controller considered
     * itself the only member.
     */
    @Test
    void lossOfPeerConnectionsAloneMovesNoShard() {
        World world = new World(41, 7, 10);
        world.submit("wk-arr", "sweep", 8, "standard", false, false);
        world.submit("wk-web", "standing", 2, "production", true, false);
        world.run(60_000);
        String termBefore = world.latestTermRow();
        for (int first = 0; first < 7; first++) {
            for (int second = 0; second < first; second++) {
                world.setPeerLinkDown(first, second, true);
            }
        }
        world.run(40_000);
        assertThat(world.latestTermRow()).isEqualTo(termBefore);
        assertThat(world.workers.values())
                .isNotEmpty()
                .allSatisfy(worker -> assertThat(worker.session).as(worker.name).isEqualTo(1));
        assertThat(world.violations).isEmpty();
    }

    /**
     * A start that arrives after the reap of its attempt starts the attempt once more, so an attempt must not be reaped
     * while a start may still arrive.
     */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void attemptWithAStartInFlightIsNotReaped(long seed) {
        World world = new World(seed);
        world.directCommandDelayMs = 14_000;
        world.submit("wk-arr", "sweep", 14, "standard", false, false);
        world.submit("wk-two", "sweep", 14, "standard", false, false);
        world.run(180_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        assertThat(world.reportedState("wk-two")).isEqualTo("done");
    }

    /** Cost is counted, not timed: the rows written for each task must stay few, whatever the number of machines. */
    @Test
    void hundredsOfMachinesAndSevenControllersBreakNoRuleAndWriteFewRows() {
        World world = new World(61, 7, 600);
        for (int i = 0; i < 12; i++) {
            world.submit("wk-arr" + i, "sweep", 60, "standard", false, false);
            world.submit("wk-web" + i, "standing", 4, "production", true, false);
            world.submit("wk-gang" + i, "gang", 4, "urgent", false, true);
        }
        world.run(60_000);
        world.crash(2, 4_000);
        world.run(10_000);
        world.crash(5, 6_000);
        world.setPeerLinkDown(0, 1, true);
        world.store.setOutage(true, world.nowMs);
        world.run(8_000);
        world.store.setOutage(false, world.nowMs);
        world.run(150_000);
        assertThat(world.violations).isEmpty();
        for (int i = 0; i < 12; i++) {
            assertThat(world.reportedState("wk-arr" + i)).isEqualTo("done");
            assertThat(world.reportedState("wk-gang" + i)).isEqualTo("done");
            assertThat(world.reportedState("wk-web" + i)).isEqualTo("running");
        }
        assertThat(world.taskStarts).isGreaterThanOrEqualTo(12 * 68);
        assertThat(world.store.rowsWritten)
                .as("rows written for %d starts", world.taskStarts)
                .isLessThan(world.taskStarts * 5 / 4);
    }

    /** Returns a full cluster: all machines run small tasks of lower priority than the gangs that need whole machines. */
    private static World fullFleet(long seed) {
        World world = new World(seed, 5, 1_000);
        world.maxMachines = 24;
        for (int i = 0; i < 4; i++) {
            world.submit("wk-arr" + i, "sweep", 300, "standard", false, false);
        }
        world.run(45_000);
        return world;
    }

    /** Submits a gang in one zone, each of whose tasks is as large as a machine. */
    private static void submitWholeMachineGang(World world, String id, int tasks) {
        world.submit(id, "gang", tasks, "urgent", false, true).put("cards", 4.0);
    }

    /**
     * Guards against starvation: gangs waited for minutes until eight large machines were free of small tasks at the
     * same moment.
     */
    @ParameterizedTest
    @ValueSource(longs = {91, 92, 93})
    void gangPreemptsLowerPriorityTasksAtOnceAndStartsNoTaskTooEarly(long seed) {
        World world = fullFleet(seed);
        submitWholeMachineGang(world, "wk-gang", 8);
        world.run(9_000);
        assertThat(world.reportedState("wk-gang")).isEqualTo("running");
        world.run(12_000);
        assertThat(world.reportedState("wk-gang"))
                .as("the whole gang ran at once")
                .isEqualTo("done");
        assertThat(world.reportedState("wk-arr3"))
                .as("small tasks are still waiting")
                .isNotEqualTo("done");
        world.run(180_000);
        assertThat(world.refusedStarts).isZero();
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr3")).isEqualTo("done");
    }

    /**
     * With twelve machines in each zone these gangs do not all fit at once, and none may keep capacity that it cannot
     * use.
     */
    @ParameterizedTest
    @ValueSource(longs = {94, 95})
    void competingGangsNeitherHoldPartialCapacityNorPreemptEachOther(long seed) {
        World world = fullFleet(seed);
        for (int i = 0; i < 3; i++) {
            submitWholeMachineGang(world, "wk-gang" + i, 8);
            submitWholeMachineGang(world, "wk-trio" + i, 3);
        }
        world.setPeerLinkDown(0, 1, true);
        world.run(8_000);
        world.crash(2, 5_000);
        world.run(120_000);
        for (int i = 0; i < 3; i++) {
            assertThat(world.reportedState("wk-gang" + i))
                    .as(world.store.dump())
                    .isEqualTo("done");
            assertThat(world.reportedState("wk-trio" + i))
                    .as(world.store.dump())
                    .isEqualTo("done");
        }
        world.setPeerLinkDown(0, 1, false);
        world.run(200_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr3")).isEqualTo("done");
    }

    /**
     * Guards against a scheduler that freezes when the link between two zones flaps, as reported of the previous
     * scheduler; here with five controllers.
     */
    @ParameterizedTest
    @ValueSource(longs = {96, 97})
    void flappingZoneLinkMovesNoShardAndStartsNoTaskTwice(long seed) {
        World world = fullFleet(seed);
        String termBefore = world.latestTermRow();
        int startedBefore = world.taskStarts;
        for (int flap = 0; flap < 12; flap++) {
            for (int east = 0; east < 5; east += 2) {
                for (int west = 1; west < 5; west += 2) {
                    world.setPeerLinkDown(east, west, flap % 2 == 0);
                }
            }
            if (flap == 4) {
                submitWholeMachineGang(world, "wk-gang", 8);
            }
            world.run(2_000 + 1_000 * (flap % 3));
        }
        assertThat(world.latestTermRow()).isEqualTo(termBefore);
        assertThat(world.workers.values())
                .isNotEmpty()
                .allSatisfy(worker -> assertThat(worker.session).as(worker.name).isEqualTo(1));
        assertThat(world.taskStarts - startedBefore)
                .as("small tasks started while the link flapped")
                .isGreaterThan(150);
        world.run(40_000);
        assertThat(world.reportedState("wk-gang")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
    }

    /**
     * Cost is counted, not timed: the tasks of an array of 2,500 share rows, so a start and an end together write far
     * less than one row.
     */
    @Test
    void arrayOfThousandsWritesFewRowsPerTask() {
        World world = new World(98, 5, 1_000);
        world.maxMachines = 120;
        world.submit("wk-huge", "sweep", 2_500, "standard", false, false);
        world.run(240_000);
        assertThat(world.reportedState("wk-huge")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
        assertThat(world.taskStarts).isGreaterThanOrEqualTo(2_500);
        assertThat(world.store.rowsWritten)
                .as("rows written for %d starts", world.taskStarts)
                .isLessThan(world.taskStarts / 2);
    }

    /**
     * The previous owner may have answered a silent worker until its member lease expired, so the worker's lease counts
     * from then.
     */
    @Test
    void silentWorkerLeaseCountsFromTheEndOfTheDeadOwnersMemberLease() {
        World world = worldWithJobs(6);
        world.run(40_000);
        Matcher claim = Pattern.compile("b/live/place/wk-web/0 = .*c=0:(\\d+):(n-\\d+):\\d+:(\\d+)")
                .matcher(world.store.dump());
        assertThat(claim.find()).as(world.store.dump()).isTrue();
        String leaseOfTheClaim = "0:" + claim.group(1) + ":" + claim.group(2) + ":";
        int shard = Integer.parseInt(claim.group(3));
        String zone = shard < 2 ? "east" : "west";
        Matcher owner = Pattern.compile("b/live/shard/" + zone + "/" + shard % 2 + " = .*m=perch-(\\d)")
                .matcher(world.store.dump());
        assertThat(owner.find()).isTrue();
        int deadOwner = Integer.parseInt(owner.group(1));
        world.workers.get(claim.group(2)).hungUntilMs = world.nowMs + 500_000;
        world.crash(deadOwner, 500_000);
        for (int i = 0; i < 12; i++) {
            world.run(2_500);
            for (int index = 0; index < 6; index++) {
                // Reports of workers that have lost their owner make another controller take over the shard.
                world.requestAndWait(
                        (deadOwner + 1) % 3, "POST", "/hello", FakeWorker.report("x-" + index, zone, i + 1));
                world.requestAndWait(
                        (deadOwner + 2) % 3, "POST", "/hello", FakeWorker.report("x-" + index, zone, 100 + i));
            }
        }
        assertThat(world.store.dump())
                .doesNotContain("m=perch-" + deadOwner + ", o=")
                .contains(leaseOfTheClaim);
        world.run(60_000);
        assertThat(world.store.dump()).doesNotContain(leaseOfTheClaim);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void randomFaultsBreakNoRule(long seed) {
        World world = worldWithJobs(seed);
        Random faults = new Random(seed * 7);
        world.messageLossRate = 0.02;
        world.longDelayRate = 0.02;
        for (int step = 0; step < 40; step++) {
            world.run(5_000);
            int kind = faults.nextInt(10);
            if (kind == 0) {
                world.crash(faults.nextInt(3), 2_000 + faults.nextInt(20_000));
            } else if (kind == 1) {
                world.store.setOutage(true, world.nowMs);
                world.run(faults.nextInt(15_000));
                world.store.setOutage(false, world.nowMs);
            } else if (kind <= 3 && !world.workers.isEmpty()) {
                FakeWorker worker = world.workers.values().stream()
                        .skip(faults.nextInt(world.workers.size()))
                        .findFirst()
                        .orElseThrow();
                worker.hungUntilMs = world.nowMs + faults.nextInt(25_000);
            } else if (kind == 4) {
                int first = faults.nextInt(3);
                world.setPeerLinkDown(first, (first + 1) % 3, faults.nextBoolean());
            } else if (kind == 5) {
                String id = "wk-x" + step;
                world.submit(
                        id,
                        faults.nextBoolean() ? "sweep" : "gang",
                        1 + faults.nextInt(4),
                        "standard",
                        false,
                        faults.nextBoolean());
                if (faults.nextBoolean()) {
                    world.run(8_000);
                    world.requestCancellation(id);
                }
            } else if (kind == 6) {
                String id = "wk-s" + step;
                world.submit(id, "standing", 1 + faults.nextInt(3), "production", true, false);
                world.run(15_000);
                world.requestCancellation(id);
            }
        }
        world.messageLossRate = 0;
        world.longDelayRate = 0;
        world.setPeerLinkDown(0, 1, false);
        world.setPeerLinkDown(1, 2, false);
        world.setPeerLinkDown(0, 2, false);
        world.run(120_000);
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr")).as(world.store.dump()).isEqualTo("done");
        assertThat(world.reportedState("wk-gang")).as(world.store.dump()).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).as(world.store.dump()).isEqualTo("running");
        assertThat(world.taskStarts).isGreaterThan(18);
    }
}
