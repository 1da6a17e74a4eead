package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole days of three cores under failures; every rule of the protocol is an invariant of the stand-ins. */
class SimulationTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static World worldWithJobs(long seed) {
        World w = new World(seed);
        w.submit("wk-web", "standing", 2, "production", true, false);
        w.submit("wk-arr", "sweep", 14, "standard", false, false);
        w.submit("wk-gang", "gang", 3, "standard", false, true);
        return w;
    }

    @Test
    void faultFreeRunFinishesAllJobsWithinTheTeamLimit() {
        World w = worldWithJobs(1);
        w.run(120_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr")).isEqualTo("done");
        assertThat(w.reportedState("wk-gang")).isEqualTo("done");
        assertThat(w.reportedState("wk-web")).isEqualTo("running");
    }

    @Test
    void arrayStoredInSeveralRowsFinishes() {
        World w = new World(5);
        w.submit("wk-big", "sweep", 220, "standard", false, false);
        w.run(400_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-big")).as(w.store.dump()).isEqualTo("done");
    }

    @Test
    void cancelledServiceStopsThoughItsMachineHangs() {
        World w = worldWithJobs(2);
        w.run(40_000);
        w.workers.values().forEach(m -> m.hungUntilMs = w.nowMs + 6_000);
        assertCancelledInTime(w);
    }

    @Test
    void acceptedJobsSurviveACrashOfAllControllers() {
        World w = worldWithJobs(3);
        w.run(20_000);
        for (int i = 0; i < 3; i++) {
            w.crash(i, 5_000);
        }
        w.run(120_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr")).isEqualTo("done");
        assertThat(w.reportedState("wk-web")).isEqualTo("running");
    }

    /** The member and the life of the autoscaler, as its row tells. */
    private static String autoscalerMember(World w) {
        Matcher m = Pattern.compile("b/live/buyer = \\{(.*)}").matcher(w.store.dump());
        assertThat(m.find()).isTrue();
        return Pattern.compile("[mi]=[^,]*")
                .matcher(m.group(1))
                .results()
                .map(r -> r.group())
                .sorted()
                .toList()
                .toString();
    }

    /** Seen on both larger fleets: the others waited for the autoscaler that was back, and it for a member of lower name. */
    @Test
    void autoscalerRestartedWithAllOthersResumesItsRole() {
        World w = worldWithJobs(7);
        w.run(20_000);
        w.crash(0, 30_000);
        w.run(40_000);
        String second = autoscalerMember(w);
        assertThat(second).contains("m=perch-1");
        for (int i = 0; i < 3; i++) {
            w.crash(i, 5_000);
        }
        w.run(20_000);
        assertThat(autoscalerMember(w)).isNotEqualTo(second);
        assertThat(w.violations).isEmpty();
    }

    @Test
    void stateOutageLongerThanMemberLeasesLosesNoJob() {
        World w = worldWithJobs(4);
        w.run(30_000);
        w.store.setOutage(true, w.nowMs);
        w.run(70_000);
        w.store.setOutage(false, w.nowMs);
        w.run(100_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr")).isEqualTo("done");
        assertThat(w.reportedState("wk-web")).isEqualTo("running");
    }

    /** Seen on mahr-galleries-grown: shards handed over as an outage began had nobody to answer their workers until its end. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void workersKeepLeasesWhenSevenControllersNoticeAnOutageOneByOne(long seed) {
        World w = new World(seed, 7, 10);
        w.submit("wk-arr", "sweep", 8, "standard", false, false);
        w.submit("wk-web", "standing", 2, "production", true, false);
        w.run(60_000 + seed * 37);
        for (int i = 0; i < 32; i++) {
            String name = "x-" + i;
            w.workers.put(name, new FakeWorker(w, name, i % 2 == 0 ? "east" : "west", false, w.nowMs));
        }
        w.run(5_000);
        w.refusedByStore[(int) seed % 7] = true;
        w.refusedByStore[(int) (seed + 2) % 7] = true;
        w.run(2_700 + 100 * (seed % 4));
        w.store.setOutage(true, w.nowMs);
        w.run(25_000);
        w.store.setOutage(false, w.nowMs);
        java.util.Arrays.fill(w.refusedByStore, false);
        assertThat(w.workers.values())
                .isNotEmpty()
                .allSatisfy(m -> assertThat(m.session).as(m.name).isEqualTo(1));
        w.run(30_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-web")).isEqualTo("running");
    }

    /** Seen in a hunt: it went on answering its workers until its seat ended, and did not hear of a cancellation. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void controllerThatReachesOnlyItsWorkersStopsServingThemInTimeForCancellations(int blind) {
        World w = worldWithJobs(70 + blind);
        w.run(40_000);
        w.refusedByStore[blind] = true;
        w.setPeerLinkDown(blind, (blind + 1) % 3, true);
        w.setPeerLinkDown(blind, (blind + 2) % 3, true);
        w.run(2_000);
        assertCancelledInTime(w);
    }

    /** Seen on teintes-laurier-grown: with its zone cut off, the workers had nobody else, and their leases ended too late. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void workerLeasesInAnIsolatedZoneExpireInTimeForCancellations(int island) {
        World w = worldWithJobs(80 + island);
        w.run(40_000);
        w.isolateWithWorkers(island);
        w.run(1_000);
        assertCancelledInTime(w);
    }

    private static void assertCancelledInTime(World w) {
        w.requestCancellation("wk-web");
        w.run(60_000);
        assertThat(w.isCancelled("wk-web")).isTrue();
        assertThat(w.violations).isEmpty();
    }

    /** Seen on mahr-galleries-grown: with no mesh each thought itself alone, and shards went round twice a second. */
    @Test
    void lossOfPeerConnectionsAloneMovesNoShard() {
        World w = new World(41, 7, 10);
        w.submit("wk-arr", "sweep", 8, "standard", false, false);
        w.submit("wk-web", "standing", 2, "production", true, false);
        w.run(60_000);
        String before = w.latestTermRow();
        for (int a = 0; a < 7; a++) {
            for (int b = 0; b < a; b++) {
                w.setPeerLinkDown(a, b, true);
            }
        }
        w.run(40_000);
        assertThat(w.latestTermRow()).isEqualTo(before);
        assertThat(w.workers.values())
                .isNotEmpty()
                .allSatisfy(m -> assertThat(m.session).as(m.name).isEqualTo(1));
        assertThat(w.violations).isEmpty();
    }

    /** A start that comes after the reap of its attempt starts it once more: until then the attempt must not be reaped. */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void attemptWithAStartInFlightIsNotReaped(long seed) {
        World w = new World(seed);
        w.directCommandDelayMs = 14_000;
        w.submit("wk-arr", "sweep", 14, "standard", false, false);
        w.submit("wk-two", "sweep", 14, "standard", false, false);
        w.run(180_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr")).isEqualTo("done");
        assertThat(w.reportedState("wk-two")).isEqualTo("done");
    }

    /** Growth is counted, not timed: rows written for a task, and slots looked at, whatever the number of machines. */
    @Test
    void hundredsOfMachinesAndSevenControllersBreakNoRuleAndWriteFewRows() {
        World w = new World(61, 7, 600);
        for (int i = 0; i < 12; i++) {
            w.submit("wk-arr" + i, "sweep", 60, "standard", false, false);
            w.submit("wk-web" + i, "standing", 4, "production", true, false);
            w.submit("wk-gang" + i, "gang", 4, "urgent", false, true);
        }
        w.run(60_000);
        w.crash(2, 4_000);
        w.run(10_000);
        w.crash(5, 6_000);
        w.setPeerLinkDown(0, 1, true);
        w.store.setOutage(true, w.nowMs);
        w.run(8_000);
        w.store.setOutage(false, w.nowMs);
        w.run(150_000);
        assertThat(w.violations).isEmpty();
        for (int i = 0; i < 12; i++) {
            assertThat(w.reportedState("wk-arr" + i)).isEqualTo("done");
            assertThat(w.reportedState("wk-gang" + i)).isEqualTo("done");
            assertThat(w.reportedState("wk-web" + i)).isEqualTo("running");
        }
        assertThat(w.taskStarts).isGreaterThanOrEqualTo(12 * 68);
        assertThat(w.store.rowsWritten)
                .as("rows written for %d starts", w.taskStarts)
                .isLessThan(w.taskStarts * 5 / 4);
    }

    /** A full fleet: gangs of whole machines that all are taken by small tasks of lower priority. */
    private static World fullFleet(long seed) {
        World w = new World(seed, 5, 1_000);
        w.maxMachines = 24;
        for (int i = 0; i < 4; i++) {
            w.submit("wk-arr" + i, "sweep", 300, "standard", false, false);
        }
        w.run(45_000);
        return w;
    }

    /** A gang in one zone, each of its tasks as large as a machine. */
    private static void submitWholeMachineGang(World w, String id, int tasks) {
        w.submit(id, "gang", tasks, "urgent", false, true).put("cards", 4.0);
    }

    /** Seen on vernis-fjord: gangs waited for minutes until eight large machines were free of small tasks at one moment. */
    @ParameterizedTest
    @ValueSource(longs = {91, 92, 93})
    void gangPreemptsLowerPriorityTasksAtOnceAndStartsNoTaskTooEarly(long seed) {
        World w = fullFleet(seed);
        submitWholeMachineGang(w, "wk-gang", 8);
        w.run(9_000);
        assertThat(w.reportedState("wk-gang")).isEqualTo("running");
        w.run(12_000);
        assertThat(w.reportedState("wk-gang")).as("all of it ran together").isEqualTo("done");
        assertThat(w.reportedState("wk-arr3")).as("small tasks still wait").isNotEqualTo("done");
        w.run(180_000);
        assertThat(w.refusedStarts).isZero();
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr3")).isEqualTo("done");
    }

    /** Twelve machines a zone: not all of these find room at once, and none may keep what it can't use. */
    @ParameterizedTest
    @ValueSource(longs = {94, 95})
    void competingGangsNeitherHoldPartialCapacityNorPreemptEachOther(long seed) {
        World w = fullFleet(seed);
        for (int i = 0; i < 3; i++) {
            submitWholeMachineGang(w, "wk-gang" + i, 8);
            submitWholeMachineGang(w, "wk-trio" + i, 3);
        }
        w.setPeerLinkDown(0, 1, true);
        w.run(8_000);
        w.crash(2, 5_000);
        w.run(120_000);
        for (int i = 0; i < 3; i++) {
            assertThat(w.reportedState("wk-gang" + i)).as(w.store.dump()).isEqualTo("done");
            assertThat(w.reportedState("wk-trio" + i)).as(w.store.dump()).isEqualTo("done");
        }
        w.setPeerLinkDown(0, 1, false);
        w.run(200_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr3")).isEqualTo("done");
    }

    /** The deployment that came with "the old scheduler froze when the link flickered": five controllers, the link between two zones. */
    @ParameterizedTest
    @ValueSource(longs = {96, 97})
    void flappingZoneLinkMovesNoShardAndStartsNoTaskTwice(long seed) {
        World w = fullFleet(seed);
        String before = w.latestTermRow();
        int startedBefore = w.taskStarts;
        for (int flick = 0; flick < 12; flick++) {
            for (int east = 0; east < 5; east += 2) {
                for (int west = 1; west < 5; west += 2) {
                    w.setPeerLinkDown(east, west, flick % 2 == 0);
                }
            }
            if (flick == 4) {
                submitWholeMachineGang(w, "wk-gang", 8);
            }
            w.run(2_000 + 1_000 * (flick % 3));
        }
        assertThat(w.latestTermRow()).isEqualTo(before);
        assertThat(w.workers.values())
                .isNotEmpty()
                .allSatisfy(m -> assertThat(m.session).as(m.name).isEqualTo(1));
        assertThat(w.taskStarts - startedBefore).as("small tasks go on").isGreaterThan(150);
        w.run(40_000);
        assertThat(w.reportedState("wk-gang")).isEqualTo("done");
        assertThat(w.violations).isEmpty();
    }

    /** Growth is counted, not timed: an array of 2,500 shares rows, so a start and end together write far less than one. */
    @Test
    void arrayOfThousandsWritesFewRowsPerTask() {
        World w = new World(98, 5, 1_000);
        w.maxMachines = 120;
        w.submit("wk-huge", "sweep", 2_500, "standard", false, false);
        w.run(240_000);
        assertThat(w.reportedState("wk-huge")).isEqualTo("done");
        assertThat(w.violations).isEmpty();
        assertThat(w.taskStarts).isGreaterThanOrEqualTo(2_500);
        assertThat(w.store.rowsWritten)
                .as("rows written for %d starts", w.taskStarts)
                .isLessThan(w.taskStarts / 2);
    }

    /** The old owner may have answered a silent worker until its seat ended, so the worker's lease counts from there. */
    @Test
    void silentWorkerLeaseCountsFromTheEndOfTheDeadOwnersMemberLease() {
        World w = worldWithJobs(6);
        w.run(40_000);
        Matcher claim = Pattern.compile("b/live/place/wk-web/0 = .*c=0:(\\d+):(n-\\d+):\\d+:(\\d+)")
                .matcher(w.store.dump());
        assertThat(claim.find()).as(w.store.dump()).isTrue();
        String held = "0:" + claim.group(1) + ":" + claim.group(2) + ":";
        int shard = Integer.parseInt(claim.group(3));
        String zone = shard < 2 ? "east" : "west";
        Matcher owner = Pattern.compile("b/live/shard/" + zone + "/" + shard % 2 + " = .*m=perch-(\\d)")
                .matcher(w.store.dump());
        assertThat(owner.find()).isTrue();
        int dead = Integer.parseInt(owner.group(1));
        w.workers.get(claim.group(2)).hungUntilMs = w.nowMs + 500_000;
        w.crash(dead, 500_000);
        for (int i = 0; i < 12; i++) {
            w.run(2_500);
            for (int x = 0; x < 6; x++) {
                // Workers that have lost their owner: they make another controller take the shard.
                w.requestAndWait((dead + 1) % 3, "POST", "/hello", FakeWorker.report("x-" + x, zone, i + 1));
                w.requestAndWait((dead + 2) % 3, "POST", "/hello", FakeWorker.report("x-" + x, zone, 100 + i));
            }
        }
        assertThat(w.store.dump()).doesNotContain("m=perch-" + dead + ", o=").contains(held);
        w.run(60_000);
        assertThat(w.store.dump()).doesNotContain(held);
        assertThat(w.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void randomFaultsBreakNoRule(long seed) {
        World w = worldWithJobs(seed);
        Random r = new Random(seed * 7);
        w.messageLossRate = 0.02;
        w.longDelayRate = 0.02;
        for (int step = 0; step < 40; step++) {
            w.run(5_000);
            int what = r.nextInt(10);
            if (what == 0) {
                w.crash(r.nextInt(3), 2_000 + r.nextInt(20_000));
            } else if (what == 1) {
                w.store.setOutage(true, w.nowMs);
                w.run(r.nextInt(15_000));
                w.store.setOutage(false, w.nowMs);
            } else if (what <= 3 && !w.workers.isEmpty()) {
                FakeWorker m = w.workers.values().stream()
                        .skip(r.nextInt(w.workers.size()))
                        .findFirst()
                        .orElseThrow();
                m.hungUntilMs = w.nowMs + r.nextInt(25_000);
            } else if (what == 4) {
                int a = r.nextInt(3);
                w.setPeerLinkDown(a, (a + 1) % 3, r.nextBoolean());
            } else if (what == 5) {
                String id = "wk-x" + step;
                w.submit(id, r.nextBoolean() ? "sweep" : "gang", 1 + r.nextInt(4), "standard", false, r.nextBoolean());
                if (r.nextBoolean()) {
                    w.run(8_000);
                    w.requestCancellation(id);
                }
            } else if (what == 6) {
                String id = "wk-s" + step;
                w.submit(id, "standing", 1 + r.nextInt(3), "production", true, false);
                w.run(15_000);
                w.requestCancellation(id);
            }
        }
        w.messageLossRate = 0;
        w.longDelayRate = 0;
        w.setPeerLinkDown(0, 1, false);
        w.setPeerLinkDown(1, 2, false);
        w.setPeerLinkDown(0, 2, false);
        w.run(120_000);
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-arr")).as(w.store.dump()).isEqualTo("done");
        assertThat(w.reportedState("wk-gang")).as(w.store.dump()).isEqualTo("done");
        assertThat(w.reportedState("wk-web")).as(w.store.dump()).isEqualTo("running");
        assertThat(w.taskStarts).isGreaterThan(18);
    }
}
