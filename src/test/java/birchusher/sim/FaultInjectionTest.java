package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Single and combined faults: machines that do not receive responses, duplicates of old reports, isolated controllers,
 * quick restarts, unreadable rows and refused reads.
 */
class FaultInjectionTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static World worldWithJobs(long seed, int controllers) {
        World world = new World(seed, controllers, 14);
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.submit("wk-arr", "sweep", 12, "standard", false, false);
        world.submit("wk-gang", "gang", 3, "standard", false, true);
        return world;
    }

    /**
     * Lets 90 s pass, then asserts that no rule was broken, that every ready controller answers for each accepted job
     * within 10 s, that the finite jobs are done and that the service runs.
     */
    private static void runAndAssertHealthy(World world) {
        world.run(90_000);
        assertThat(world.unansweredJobs(10_000)).isEmpty();
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-arr")).as(world.store.dump()).isEqualTo("done");
        assertThat(world.reportedState("wk-gang")).as(world.store.dump()).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).as(world.store.dump()).isEqualTo("running");
    }

    private static boolean isClaimedInSession(World world, String machine, long session) {
        return Pattern.compile(":" + machine + ":" + session + ":")
                .matcher(world.store.dump())
                .find();
    }

    private static FakeWorker workerRunningWebReplica(World world) {
        Matcher matcher =
                Pattern.compile("b/live/place/wk-web/0 = .*c=0:\\d+:(n-\\d+):").matcher(world.store.dump());
        assertThat(matcher.find()).as(world.store.dump()).isTrue();
        return world.workers.get(matcher.group(1));
    }

    /**
     * The reports of a machine that does not receive responses look as recent as those of any other. Guards against
     * placing new tasks on it with every new session, which it loses again, and against moving its shard from
     * controller to controller.
     */
    @ParameterizedTest
    @CsvSource({"101, 3", "102, 3", "103, 7", "104, 7"})
    void machineThatDoesNotReceiveResponsesIsReplacedAndMovesNoShard(long seed, int controllers) {
        World world = worldWithJobs(seed, controllers);
        world.run(45_000);
        FakeWorker worker = workerRunningWebReplica(world);
        worker.cannotReceive = true;
        String term = world.latestTermRow();
        world.run(20_000);
        world.submit("wk-more", "sweep", 30, "standard", false, false);
        for (int i = 0; i < 20; i++) {
            world.run(3_000);
            assertThat(isClaimedInSession(world, worker.name, 2) || isClaimedInSession(world, worker.name, 3))
                    .as("new claim on " + worker.name)
                    .isFalse();
        }
        assertThat(world.latestTermRow()).isEqualTo(term);
        assertThat(worker.deleted).as("returned").isTrue();
        assertThat(world.reportedState("wk-more")).isEqualTo("done");
        runAndAssertHealthy(world);
    }

    /**
     * As long as the cloud does not delete a machine that does not receive responses, the machine begins session after
     * session with its owner, each with reports that look as recent as any. None of the later sessions may get a task.
     */
    @ParameterizedTest
    @CsvSource({"106, 3", "107, 3", "108, 7"})
    void machineThatDoesNotReceiveResponsesGetsNoTasksInLaterSessions(long seed, int controllers) {
        World world = worldWithJobs(seed, controllers);
        world.run(45_000);
        FakeWorker worker = workerRunningWebReplica(world);
        worker.cannotReceive = true;
        world.cloudRefusesDeletions = true;
        String term = world.latestTermRow();
        for (int i = 0; i < 40; i++) {
            if (i % 4 == 0) {
                world.submit("wk-more" + i, "sweep", 6, "standard", false, false);
            }
            world.run(2_000);
            for (int session = 2; session < 9; session++) {
                assertThat(isClaimedInSession(world, worker.name, session))
                        .as("claimed in session " + session)
                        .isFalse();
            }
        }
        assertThat(worker.session).isGreaterThan(3);
        assertThat(world.latestTermRow()).isEqualTo(term);
        worker.cannotReceive = false;
        world.cloudRefusesDeletions = false;
        runAndAssertHealthy(world);
    }

    @Test
    void machineThatReceivesResponsesAgainIsUsedAgain() {
        World world = new World(105, 3, 4);
        world.maxMachines = 1;
        world.submit("wk-a", "sweep", 4, "standard", false, false);
        world.run(14_000);
        FakeWorker onlyMachine = world.workers.values().iterator().next();
        world.run(10_000);
        onlyMachine.cannotReceive = true;
        world.run(12_000);
        onlyMachine.cannotReceive = false;
        world.submit("wk-b", "sweep", 4, "standard", false, false);
        world.run(60_000);
        assertThat(world.reportedState("wk-b")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
    }

    /**
     * A duplicate report that arrives after its machine was returned shows it as running, idle and under the present
     * term. Only the record that the machine was returned shows that it must get no tasks.
     */
    @ParameterizedTest
    @ValueSource(longs = {111, 112, 113})
    void duplicateReportOfReturnedMachineBringsItNoTasks(long seed) {
        World world = new World(seed, 3, 8);
        world.submit("wk-one", "sweep", 8, "standard", false, false);
        world.run(16_000);
        FakeWorker returned = world.workers.values().iterator().next();
        int owner = world.ownerOf(returned);
        Map<String, Object> duplicate = returned.report();
        duplicate.put("tick", returned.reportNumber + 5);
        world.run(160_000);
        assertThat(returned.deleted).as("idle and returned").isTrue();
        world.sendDuplicateReport(owner, duplicate);
        world.run(400);
        world.submit("wk-two", "sweep", 8, "standard", false, false);
        for (int i = 0; i < 10; i++) {
            world.run(500);
            assertThat(world.store.dump()).doesNotContain(":" + returned.name + ":");
            // The next one of several duplicates: in order, and as close to each other as a worker's reports are.
            duplicate.put("tick", returned.reportNumber + 6 + i);
            world.sendDuplicateReport(owner, duplicate);
        }
        world.run(60_000);
        assertThat(world.reportedState("wk-two")).isEqualTo("done");
        assertThat(world.violations).isEmpty();
    }

    /**
     * Two duplicates of different age that reach another controller look like a worker that was sent to its owner and
     * came back. They must move no shard while the owner receives the machine's reports.
     */
    @Test
    void duplicateReportsAtAnotherControllerMoveNoShard() {
        World world = worldWithJobs(114, 3);
        world.run(40_000);
        String term = world.latestTermRow();
        FakeWorker machine = world.workers.values().iterator().next();
        int otherController = (world.ownerOf(machine) + 1) % 3;
        Map<String, Object> first = machine.report();
        Map<String, Object> second = machine.report();
        world.run(8_000);
        world.sendDuplicateReport(otherController, first);
        world.run(6_000);
        world.sendDuplicateReport(otherController, second);
        world.run(10_000);
        assertThat(world.latestTermRow()).isEqualTo(term);
        for (int i = 0; i < 4; i++) {
            // So recent that the machine has sent no report since, but its owner receives its reports.
            world.sendDuplicateReport(otherController, machine.report());
            world.run(2_500);
        }
        assertThat(world.latestTermRow()).isEqualTo(term);
        runAndAssertHealthy(world);
    }

    /**
     * A controller loses only the connections to its workers. Another controller must take them over as soon as it asks
     * them and they answer, and must not hand them back while they cannot reach the first one. A controller whose only
     * machine is idle has nothing to be taken over: with seed 119 the machine of controller 0 was returned 1.45 s after
     * the partition began.
     *
     * <p>Guards against handing a shard to a controller without any sign that a worker reaches it: the shard then moved
     * back and forth every 45 s of the partition, and the leases of its workers expired. Seed 117, times from the start
     * of the partition:
     *
     * <pre>
     *  7950 ms  shard 1 is taken over under term 5
     * 52950 ms  shard 1 is handed over to perch-2
     * 54450 ms  the worker is sent there, gets no answer, and is back 6.7 s later; its last answered report was sent at 51450 ms
     * 59750 ms  the workers of shard 1 cannot reach their owner; shard 1 is taken over under term 7
     * </pre>
     */
    @ParameterizedTest
    @CsvSource({"119, 2", "124, 0", "116, 1", "117, 2"})
    void workersCutOffFromTheirOwnerAreTakenOver(long seed, int controller) {
        World world = worldWithJobs(seed, 3);
        world.run(40_000);
        long termBefore = latestTerm(world);
        assertThat(List.copyOf(world.workers.values()))
                .as("machines of the controller that have tasks, so that there is something to take over")
                .anyMatch(machine -> world.ownerOf(machine) == controller && !machine.tasks.isEmpty());
        world.cutOffFromWorkers[controller] = true;
        world.run(25_000);
        int startsBefore = world.taskStarts;
        world.submit("wk-more", "sweep", 12, "standard", false, false);
        world.run(35_000);
        assertThat(latestTerm(world) - termBefore).as("takeovers of two shards").isBetween(1L, 2L);
        assertThat(world.taskStarts).isGreaterThanOrEqualTo(startsBefore + 12);
        assertThat(world.reportedState("wk-arr")).isEqualTo("done");
        assertThat(world.reportedState("wk-web")).isEqualTo("running");
        world.cutOffFromWorkers[controller] = false;
        runAndAssertHealthy(world);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void isolatedControllerRejectsUsersAtOnceAndLosesItsWorkersInTime(int controller) {
        World world = worldWithJobs(120 + controller, 3);
        world.run(45_000);
        world.setIsolated(controller, true);
        world.run(6_000);
        assertThat(world.requestAndWait(controller, "GET", "/ready", null)).startsWith("503");
        assertThat(world.requestAndWait(controller, "GET", "/v2/runs/wk-web", null))
                .startsWith("503");
        assertThat(world.requestAndWait((controller + 1) % 3, "GET", "/ready", null))
                .startsWith("200");
        world.requestCancellation("wk-web");
        world.submit("wk-new", "standing", 2, "production", false, false);
        world.run(50_000);
        assertThat(world.reportedState("wk-new")).isEqualTo("running");
        assertThat(world.isCancelled("wk-web")).isTrue();
        world.setIsolated(controller, false);
        world.run(60_000);
        assertThat(world.requestAndWait(controller, "GET", "/ready", null)).startsWith("200");
        assertThat(world.unansweredJobs(10_000)).isEmpty();
        assertThat(world.violations).isEmpty();
    }

    /**
     * A controller restarts within half a second, before its peers notice, while its member lease and its shards are
     * still stored and its transactions are under way, with or without its clock set back.
     */
    @ParameterizedTest
    @CsvSource({
        "131, 50, 0",
        "132, 120, 0",
        "133, 300, 0",
        "134, 500, 0",
        "135, 50, -2000",
        "136, 300, -2000",
        "137, 120, -900000"
    })
    void controllerThatRestartsWithinHalfASecondServesAgain(long seed, long downMs, long clockOffsetMs) {
        World world = worldWithJobs(seed, 3);
        world.run(25_000 + seed * 13);
        for (int i = 0; i < 6; i++) {
            int controller = (int) (seed + i) % 3;
            world.setClockOffset(controller, clockOffsetMs);
            world.crash(controller, downMs);
            if (i % 3 == 2) {
                world.crash((controller + 1) % 3, downMs + 30);
            }
            world.run(i % 2 == 0 ? downMs + 150 : 9_000);
        }
        world.run(30_000);
        for (int i = 0; i < 3; i++) {
            assertThat(world.requestAndWait(i, "GET", "/ready", null))
                    .as("controller " + i)
                    .startsWith("200");
        }
        assertThat(world.store
                        .dump()
                        .lines()
                        .filter(line -> line.startsWith("b/live/shard/"))
                        .map(line -> line.replaceAll(".*m=(perch-\\d).*", "$1"))
                        .distinct())
                .as("controllers that own a shard")
                .hasSize(3);
        runAndAssertHealthy(world);
    }

    /** Incarnation numbers increase, whatever rows the last incarnation left and although the clock is set back. */
    @Test
    void everyRestartGetsAHigherIncarnation() {
        World world = worldWithJobs(138, 3);
        world.run(30_000);
        long previousIncarnation = incarnationOfFirstController(world);
        for (int i = 0; i < 4; i++) {
            world.setClockOffset(0, -10_000 * (i + 1));
            world.crash(0, 60);
            world.run(8_000);
            assertThat(incarnationOfFirstController(world)).isGreaterThan(previousIncarnation);
            previousIncarnation = incarnationOfFirstController(world);
        }
        runAndAssertHealthy(world);
    }

    private static long latestTerm(World world) {
        return Long.parseLong(world.latestTermRow().replaceAll("\\D+", ""));
    }

    private static long incarnationOfFirstController(World world) {
        Matcher matcher =
                Pattern.compile("b/live/seat/perch-0 = \\{.*?i=(\\d+)").matcher(world.store.dump());
        assertThat(matcher.find()).isTrue();
        return Long.parseLong(matcher.group(1));
    }

    /**
     * After a process pause longer than the time for which silent machines are tolerated, a controller has received no
     * report of its machines, although they are well. It must not delete them.
     */
    @Test
    void processPauseOfAControllerDeletesNoMachine() {
        World world = new World(139, 3, 40);
        for (int i = 0; i < 6; i++) {
            world.submit("wk-web" + i, "standing", 3, "production", true, false);
        }
        world.run(60_000);
        java.util.Set<String> machinesBefore = java.util.Set.copyOf(world.workers.keySet());
        world.pause(0, 7_500);
        world.run(30_000);
        assertThat(world.workers.keySet()).containsAll(machinesBefore);
        assertThat(world.violations).isEmpty();
    }

    /** A row that cannot be read keeps its own job from running and affects no other job. */
    @Test
    void unreadableRowLeavesItsJobKnown() {
        World world = worldWithJobs(141, 3);
        world.run(20_000);
        world.store.injectRow(
                "b/live/job/wk-torn",
                Map.of("s", "OPEN", "k", 100L, "t", 1L, "j", Map.of("name_id", "wk-torn", "crew", "nobody")));
        world.store.injectRow("b/live/job/wk-odd", "not a map");
        world.store.injectRow("b/live/place/wk-arr/x", Map.of("a", 1L));
        world.run(2_000);
        world.crash(1, 2_000);
        world.run(12_000);
        for (int i = 0; i < 3; i++) {
            assertThat(world.requestAndWait(i, "GET", "/v2/runs/wk-torn", null)).isEqualTo("200 queued");
            assertThat(world.requestAndWait(i, "GET", "/v2/runs/wk-odd", null)).isEqualTo("200 queued");
            assertThat(world.requestAndWait(i, "GET", "/v2/runs/wk-nobody", null))
                    .startsWith("404");
        }
        runAndAssertHealthy(world);
    }

    /** Status queries for ended or unknown jobs cause no read each, even after a restart of all controllers. */
    @Test
    void statusQueriesAfterRestartOfAllControllersReadNoRows() {
        World world = new World(142, 3, 10);
        world.store.maxRowsPerListing = 20;
        for (int i = 0; i < 45; i++) {
            world.submit("wk-e" + i, "sweep", 1, "standard", false, false);
        }
        world.run(150_000);
        for (int i = 0; i < 3; i++) {
            world.crash(i, 2_000);
        }
        world.run(15_000);
        int readsBefore = world.store.rowReads;
        for (int round = 0; round < 200; round++) {
            world.requestAndWait(round % 3, "GET", "/v2/runs/wk-e" + round % 45, null);
            world.requestAndWait(round % 3, "GET", "/v2/runs/wk-never" + round, null);
        }
        assertThat(world.store.rowReads - readsBefore).isZero();
        assertThat(world.requestAndWait(0, "GET", "/v2/runs/wk-e7", null)).isEqualTo("200 done");
        assertThat(world.requestAndWait(1, "GET", "/v2/runs/wk-never1", null)).startsWith("404");
        assertThat(world.violations).isEmpty();
    }

    /** Pages of a listing are refused for a while; a read that began anew each time would outlast the refusals. */
    @Test
    void listingOfManyPagesResumesAtTheRefusedPage() {
        World world = new World(143, 3, 10);
        world.store.maxRowsPerListing = 10;
        for (int i = 0; i < 60; i++) {
            world.submit("wk-q" + i, "standing", 1, "low", false, false);
        }
        world.run(40_000);
        world.store.listingsToRefuse = 40;
        int listingsBefore = world.store.listingsAnswered;
        world.crash(0, 1_000);
        world.run(20_000);
        assertThat(world.requestAndWait(0, "GET", "/v2/runs/wk-q59", null)).startsWith("200");
        assertThat(world.store.listingsAnswered - listingsBefore)
                .as("listings answered")
                .isLessThan(25);
        assertThat(world.violations).isEmpty();
    }

    /**
     * All of these faults in one run, drawn by the seed; in the end every ready controller knows every accepted job.
     */
    @ParameterizedTest
    @CsvSource({"201, 3", "202, 3", "203, 3", "204, 3", "205, 7", "206, 7"})
    void randomFaultsLoseNoJobAndBreakNoRule(long seed, int controllers) {
        runRandomFaults(seed, controllers);
    }

    /** Searches for failing seeds by hand, for example with {@code -Dsim.from=1000 -Dsim.seeds=500}. */
    @Test
    void seedSearch() {
        SeedSearch.forEachSeed("sim", seed -> runRandomFaults(seed, seed % 3 == 0 ? 7 : 3));
    }

    private static void runRandomFaults(long seed, int controllers) {
        World world = worldWithJobs(seed, controllers);
        Random random = new Random(seed * 31);
        world.messageLossRate = 0.01;
        world.longDelayRate = 0.01;
        world.duplicateReportRate = 0.2;
        world.duplicatePeerRecordRate = 0.05;
        for (int step = 0; step < 26; step++) {
            world.run(2_000 + random.nextInt(6_000));
            int controller = random.nextInt(controllers);
            switch (random.nextInt(11)) {
                case 0 -> world.crash(controller, 50 + random.nextInt(450));
                case 1 -> {
                    world.crash(controller, 50 + random.nextInt(450));
                    world.run(random.nextInt(700));
                    world.crash(controller, 50 + random.nextInt(450));
                    world.crash((controller + 1) % controllers, 50 + random.nextInt(10_000));
                }
                case 2 -> {
                    world.setIsolated(controller, true);
                    world.run(random.nextInt(30_000));
                    world.setIsolated(controller, false);
                }
                case 3 -> {
                    world.store.setOutage(true, world.nowMs);
                    world.run(random.nextInt(20_000));
                    if (random.nextBoolean()) {
                        world.crash(controller, 50 + random.nextInt(3_000));
                    }
                    world.store.setOutage(false, world.nowMs);
                }
                case 4, 5 -> anyWorker(world, random).ifPresent(worker -> worker.cannotReceive = true);
                case 6 -> anyWorker(world, random).ifPresent(worker -> worker.cannotReceive = false);
                case 7 -> anyWorker(world, random)
                        .ifPresent(worker -> worker.hungUntilMs = world.nowMs + random.nextInt(25_000));
                case 8 -> world.setOneWayPeerLinkDown(controller, (controller + 1) % controllers, random.nextBoolean());
                case 9 -> {
                    String id = "wk-s" + step;
                    world.submit(
                            id,
                            random.nextBoolean() ? "standing" : "gang",
                            1 + random.nextInt(3),
                            "urgent",
                            false,
                            false);
                    world.run(random.nextInt(12_000));
                    world.requestCancellation(id);
                }
                default -> {
                    for (int i = 0; i < controllers; i++) {
                        world.crash(i, 50 + random.nextInt(4_000));
                    }
                }
            }
        }
        world.messageLossRate = 0;
        world.longDelayRate = 0;
        world.duplicateReportRate = 0;
        world.duplicatePeerRecordRate = 0;
        for (int sender = 0; sender < controllers; sender++) {
            for (int receiver = 0; receiver < controllers; receiver++) {
                world.setOneWayPeerLinkDown(sender, receiver, false);
            }
        }
        world.workers.values().forEach(machine -> machine.cannotReceive = false);
        world.run(30_000);
        runAndAssertHealthy(world);
    }

    private static Optional<FakeWorker> anyWorker(World world, Random random) {
        List<FakeWorker> workers = List.copyOf(world.workers.values());
        return workers.isEmpty() ? Optional.empty() : Optional.of(workers.get(random.nextInt(workers.size())));
    }
}
