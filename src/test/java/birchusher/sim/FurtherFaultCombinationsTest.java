package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Further fault combinations: cancellations, rentals, zone rules and takeovers under two or more faults at the same
 * time.
 */
class FurtherFaultCombinationsTest {
    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    /**
     * Lets time pass, then asserts that no rule was broken, that every ready controller answers for each accepted job
     * within 10 s, and that the service runs.
     */
    private static void runAndAssertHealthy(World world, long durationMs) {
        world.run(durationMs);
        assertThat(world.unansweredJobs(10_000)).isEmpty();
        assertThat(world.violations).isEmpty();
        assertThat(world.reportedState("wk-web")).as(world.store.dump()).isEqualTo("running");
    }

    /**
     * A team is at its quota, and a job of it is cancelled whose machines hang ({@code hang}), do not receive responses
     * ({@code deaf}) or cannot send reports ({@code mute}), while their owner crashes. Guards against releasing the
     * quota before the end of each task is proven.
     */
    @ParameterizedTest
    @CsvSource({"1, 3, hang", "2, 3, deaf", "3, 3, mute", "4, 7, hang", "5, 7, deaf", "6, 7, mute"})
    void cancelledTaskCountsTowardsItsQuotaUntilProvenGone(long seed, int controllers, String fault) {
        World world = new World(seed, controllers, 12);
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.submit("wk-old", "standing", 9, "standard", false, false);
        world.run(45_000);
        assertThat(world.unfinishedTaskCount("wk-web") + world.unfinishedTaskCount("wk-old"))
                .as("running tasks of the team, which is at its quota")
                .isEqualTo(12);
        world.submit("wk-new", "standing", 9, "standard", false, false);
        world.run(4_000);
        FakeWorker machine = world.workers.values().stream()
                .filter(worker -> worker.tasks.values().stream().anyMatch(task -> task.key.startsWith("wk-old")))
                .findFirst()
                .orElseThrow();
        int owner = world.ownerOf(machine);
        world.workers.values().forEach(worker -> {
            worker.hungUntilMs = fault.equals("hang") ? world.nowMs + 9_500 : 0;
            worker.cannotReceive = fault.equals("deaf");
            worker.cannotReport = fault.equals("mute");
        });
        assertThat(world.cancelAndWait((owner + 1) % controllers, "wk-old")).isTrue();
        world.crash(owner, 2_500 + world.random.nextInt(4_000));
        for (int i = 0; i < 20; i++) {
            world.run(1_000);
            assertThat(world.violations).isEmpty();
        }
        world.workers.values().forEach(worker -> {
            worker.cannotReceive = false;
            worker.cannotReport = false;
        });
        world.run(90_000);
        assertThat(world.unfinishedTaskCount("wk-new"))
                .as("tasks that use the released quota")
                .isEqualTo(9);
        runAndAssertHealthy(world, 1_000);
    }

    /**
     * Jobs are cancelled within the seconds in which shards, job schedulers and the autoscaler move to another
     * controller and back, while responses and direct commands are delayed.
     */
    @ParameterizedTest
    @CsvSource({"11, 3", "12, 3", "13, 7", "14, 7", "15, 3", "16, 7"})
    void tasksCancelledDuringTakeoversAreGoneInTime(long seed, int controllers) {
        World world = new World(seed, controllers, 24);
        world.submit("wk-web", "standing", 3, "production", true, false);
        for (int i = 0; i < 12; i++) {
            world.submit("wk-c" + i, "standing", 1 + i % 2, "standard", false, false);
        }
        world.run(40_000);
        world.lateResponseRate = 0.3;
        world.directCommandDelayMs = seed % 2 == 0 ? 2_000 : 0;
        world.lostTransactionReplyRate = 0.1;
        Random random = new Random(seed);
        for (int i = 0; i < 12; i++) {
            int controller = random.nextInt(controllers);
            switch (i % 4) {
                case 0 -> world.crash(controller, 300 + random.nextInt(3_000));
                case 1 -> {
                    world.viewLagging[controller] = true;
                    world.schedule(world.nowMs + 3_500, () -> world.viewLagging[controller] = false);
                }
                case 2 -> world.lateTransactionRate = 0.2;
                default -> world.lateTransactionRate = 0;
            }
            // A restarted controller gets its shards back after 6 s.
            world.run(random.nextInt(4_500));
            world.submit("wk-g" + i, "gang", 2, "urgent", false, i % 2 == 0);
            world.run(random.nextInt(4_000));
            world.workers.values().stream()
                    .filter(worker -> random.nextInt(4) == 0)
                    .forEach(worker -> worker.hungUntilMs = world.nowMs + random.nextInt(9_500));
            world.requestCancellation("wk-c" + i);
            world.requestCancellation("wk-g" + i);
            world.run(400);
            assertThat(world.violations).isEmpty();
        }
        world.lateResponseRate = 0;
        world.directCommandDelayMs = 0;
        world.lostTransactionReplyRate = 0;
        world.lateTransactionRate = 0;
        world.run(World.CANCEL_DEADLINE_MS + 15_000);
        for (int i = 0; i < 12; i++) {
            assertThat(world.isCancelled("wk-c" + i)).isTrue();
            assertThat(world.unfinishedTaskCount("wk-c" + i) + world.unfinishedTaskCount("wk-g" + i))
                    .isZero();
            assertThat(world.reportedState("wk-g" + i)).isIn("done", "cancelled");
        }
        runAndAssertHealthy(world, 10_000);
    }

    /**
     * A machine is ready within 2 s: it reports before the cloud has replied to the rental and before the row with its
     * name is stored, the autoscaler crashes, and tasks come to the machine at once. It must neither be used twice nor
     * be left out when idle machines are returned.
     */
    @ParameterizedTest
    @CsvSource({"21, 3", "22, 3", "23, 7", "24, 3"})
    void machinesThatReportBeforeTheirRentalIsStoredAreUsedAndReturned(long seed, int controllers) {
        World world = new World(seed, controllers, 30);
        world.fastBoot = true;
        world.maxCloudReplyDelayMs = 2_400;
        world.lateTransactionRate = 0.15;
        world.maxExtraStoreDelayMs = 400;
        world.submit("wk-web", "standing", 3, "production", true, false);
        for (int i = 0; i < 10; i++) {
            world.submit("wk-a" + i, "sweep", 5, "standard", false, false);
            world.run(1_200);
            int autoscaler = Integer.parseInt(world.store
                    .dump()
                    .lines()
                    .filter(line -> line.startsWith("b/live/buyer"))
                    .findFirst()
                    .orElse("m=perch-0")
                    .replaceAll(".*m=perch-(\\d+).*", "$1"));
            if (i % 3 == 1) {
                world.crash(autoscaler, 1_500 + world.random.nextInt(3_000));
            }
            world.run(3_500);
            assertThat(world.violations).isEmpty();
        }
        world.lateTransactionRate = 0;
        world.maxExtraStoreDelayMs = 0;
        world.maxCloudReplyDelayMs = 0;
        world.run(40_000);
        for (int i = 0; i < 10; i++) {
            assertThat(world.reportedState("wk-a" + i)).isEqualTo("done");
        }
        assertThat(world.machinesReturnedWithTasks)
                .as("machines returned with unfinished tasks")
                .isZero();
        runAndAssertHealthy(world, 120_000);
        assertThat(world.workers.size())
                .as("machines left after idle ones were returned")
                .isLessThanOrEqualTo(3);
    }

    /**
     * A machine cannot send reports, but direct commands reach it, and each reply to a command makes the machine look
     * alive for as long as a report would. The replies do not show which tasks have ended, though, so the machine gets
     * at most what fits beside its previous tasks, later nothing, and its tasks are placed elsewhere.
     */
    @ParameterizedTest
    @CsvSource({"61, 3", "62, 3", "63, 7"})
    void machineThatCannotSendReportsSoonGetsNoNewTasks(long seed, int controllers) {
        World world = new World(seed, controllers, 40);
        world.cloudRefusesDeletions = true;
        world.submit("wk-web", "standing", 6, "production", true, false);
        world.run(30_000);
        List<FakeWorker> nonReporting = world.workers.values().stream()
                .filter(machine -> !machine.tasks.isEmpty())
                .limit(2)
                .toList();
        nonReporting.forEach(machine -> machine.cannotReport = true);
        // Until its reports are missed, the machine may get some of these tasks by direct commands to which it replies.
        for (int i = 0; i < 7; i++) {
            world.submit("wk-b" + i, "sweep", 4, "standard", false, false);
            world.run(1_000);
        }
        Map<String, Long> attemptsBefore = new java.util.HashMap<>();
        nonReporting.forEach(machine -> machine.tasks
                .values()
                .forEach(task -> attemptsBefore.put(machine.name + " " + task.key, task.attempt)));
        for (int i = 0; i < 30; i++) {
            world.submit("wk-a" + i, "sweep", 2, "standard", false, false);
            world.run(1_000);
            for (FakeWorker machine : nonReporting) {
                machine.tasks.values().forEach(task -> assertThat(attemptsBefore)
                        .as("attempts, none of them new, on " + machine.name)
                        .containsEntry(machine.name + " " + task.key, task.attempt));
            }
        }
        assertThat(world.unfinishedTaskCount("wk-web"))
                .as("replicas that run, all on other machines")
                .isEqualTo(6);
        nonReporting.forEach(machine -> machine.cannotReport = false);
        runAndAssertHealthy(world, 60_000);
    }

    /**
     * Jobs restricted to one zone, an array among them, lose machines. Their remaining tasks and the replacements must
     * stay in one zone.
     */
    @ParameterizedTest
    @CsvSource({"71, 3", "72, 3", "73, 7", "74, 7"})
    void oneZoneJobsStayInTheirZoneAfterMachineLosses(long seed, int controllers) {
        World world = new World(seed, controllers, 40);
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.submit("wk-tied", "standing", 6, "standard", false, true);
        world.submit("wk-row", "sweep", 20, "standard", false, true);
        for (int task = 0; task < 20; task++) {
            world.fixedRunTimesMs.put("wk-row/" + task, 25_000L);
        }
        world.run(30_000);
        Random random = new Random(seed);
        for (int i = 0; i < 6; i++) {
            List<FakeWorker> affected = world.workers.values().stream()
                    .filter(machine -> machine.tasks.values().stream()
                            .anyMatch(task -> task.key.startsWith("wk-tied") || task.key.startsWith("wk-row")))
                    .toList();
            for (FakeWorker machine : affected) {
                switch (random.nextInt(4)) {
                    case 0 -> machine.hungUntilMs = world.nowMs + 14_000;
                    case 1 -> machine.cannotReport = true;
                    case 2 -> machine.reclaimNoticeS = 12;
                    default -> {}
                }
            }
            world.submit("wk-g" + i, "gang", 3, "urgent", false, true);
            if (i % 2 == 1) {
                world.crash(random.nextInt(controllers), 2_000 + random.nextInt(6_000));
            }
            world.run(9_000);
            world.workers.values().forEach(machine -> {
                machine.cannotReport = false;
                machine.reclaimNoticeS = -1;
            });
            world.run(6_000);
            assertThat(world.violations).isEmpty();
        }
        world.run(80_000);
        assertThat(world.reportedState("wk-row")).isEqualTo("done");
        assertThat(world.unfinishedTaskCount("wk-tied")).isEqualTo(6);
        for (int i = 0; i < 6; i++) {
            assertThat(world.reportedState("wk-g" + i)).isEqualTo("done");
        }
        runAndAssertHealthy(world, 1_000);
    }

    /**
     * Owners and the autoscaler crash one after the other, ten times in two minutes, in some cases partly during an
     * outage of the state service. Jobs and cancellations must stay known, and long tasks must go on or run again.
     */
    @ParameterizedTest
    @CsvSource({"81, 3, false", "82, 3, true", "83, 7, false", "84, 7, true"})
    void tenOwnerCrashesInTwoMinutesLoseNoJob(long seed, int controllers, boolean outage) {
        World world = new World(seed, controllers, 24);
        world.submit("wk-web", "standing", 4, "production", true, false);
        world.fixedRunTimesMs.put("wk-long/0", 90_000L);
        world.fixedRunTimesMs.put("wk-long/1", 70_000L);
        world.submit("wk-long", "sweep", 2, "urgent", false, false);
        world.run(30_000);
        for (int i = 0; i < 10; i++) {
            world.submit("wk-s" + i, "sweep", 3, "standard", false, false);
            world.submit("wk-c" + i, "standing", 1, "standard", false, false);
            world.run(2_000 + world.random.nextInt(1_500));
            int owner = world.ownerOf(world.workers.values().iterator().next());
            world.crash(owner < 0 ? i % controllers : owner, 1_000 + world.random.nextInt(5_000));
            world.requestCancellation("wk-c" + i);
            if (outage && i == 4) {
                world.store.setOutage(true, world.nowMs);
            }
            if (outage && i == 6) {
                world.store.setOutage(false, world.nowMs);
            }
            world.run(8_500);
            assertThat(world.violations).isEmpty();
        }
        world.run(60_000);
        for (int i = 0; i < 10; i++) {
            assertThat(world.reportedState("wk-s" + i)).as("wk-s" + i).isEqualTo("done");
            assertThat(world.isCancelled("wk-c" + i)).isTrue();
        }
        runAndAssertHealthy(world, 90_000);
        assertThat(world.reportedState("wk-long")).isEqualTo("done");
    }

    /**
     * A network partition separates a controller and its workers from all others for longer than a worker lease, while
     * users cancel jobs through the others. No task may run twice, neither during the partition nor after it.
     */
    @ParameterizedTest
    @CsvSource({"91, 3", "92, 3", "93, 7", "94, 7"})
    void networkPartitionLongerThanALeaseRunsNoTaskTwice(long seed, int controllers) {
        World world = new World(seed, controllers, 24);
        world.submit("wk-web", "standing", 4, "production", true, false);
        world.submit("wk-one", "standing", 4, "standard", false, true);
        for (int i = 0; i < 4; i++) {
            world.submit("wk-c" + i, "standing", 2, "standard", false, false);
        }
        world.run(40_000);
        int controller = world.ownerOf(world.workers.values().iterator().next());
        world.isolateWithWorkers(controller);
        world.run(1_500);
        for (int i = 0; i < 4; i++) {
            world.cancelAndWait((controller + 1) % controllers, "wk-c" + i);
        }
        world.run(2 * World.WORKER_LEASE_MS + 15_000);
        assertThat(world.violations).isEmpty();
        world.endIsolation();
        world.run(World.CANCEL_DEADLINE_MS);
        for (int i = 0; i < 4; i++) {
            assertThat(world.isCancelled("wk-c" + i)).isTrue();
            assertThat(world.unfinishedTaskCount("wk-c" + i)).isZero();
        }
        assertThat(world.unfinishedTaskCount("wk-one")).isEqualTo(4);
        runAndAssertHealthy(world, 30_000);
    }

    /**
     * Duplicates of reports of earlier sessions and attempts reach every controller before the first current report
     * does, just when a new owner takes over. They must not end tasks that run.
     */
    @ParameterizedTest
    @CsvSource({"31, 3", "32, 3", "33, 7", "34, 7"})
    void staleReportsToAllControllersDuringTakeoverEndNoTask(long seed, int controllers) {
        // Worker leases are longer than the time without an owner, so any task that is started again was ended by a
        // duplicate.
        World world = new World(seed, controllers, 16, 20_000, 60_000);
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.fixedRunTimesMs.put("wk-long/0", 150_000L);
        world.fixedRunTimesMs.put("wk-long/1", 140_000L);
        world.keepReports = true;
        // Otherwise the autoscaler deletes silent machines while no controller receives reports, and their tasks start
        // elsewhere.
        world.cloudRefusesDeletions = true;
        world.submit("wk-arr", "sweep", 10, "standard", false, false);
        world.submit("wk-long", "sweep", 2, "urgent", false, false);
        world.run(32_000);
        world.keepReports = false;
        world.run(8_000);
        int startsBefore = world.taskStarts;
        for (int round = 0; round < 3; round++) {
            int owner = world.ownerOf(world.workers.values().iterator().next());
            world.crash(owner, 9_000);
            java.util.Arrays.fill(world.cutOffFromWorkers, true);
            for (int i = 0; i < 8; i++) {
                world.run(350);
                world.replayKeptReportsToAll();
            }
            java.util.Arrays.fill(world.cutOffFromWorkers, false);
            for (int i = 0; i < 8; i++) {
                world.run(500);
                world.replayKeptReportsToAll();
            }
            world.run(12_000);
            assertThat(world.violations).isEmpty();
        }
        assertThat(world.taskStarts).as("task starts").isEqualTo(startsBefore);
        runAndAssertHealthy(world, 100_000);
        assertThat(world.reportedState("wk-long")).isEqualTo("done");
    }

    /**
     * After a takeover a duplicate of an old report arrives first, then the newest report, then the duplicate again.
     * The old report must not count as the state of the machine at any of these moments.
     */
    @Test
    void olderReportDoesNotReplaceNewerMachineState() {
        World world = new World(41, 3, 16);
        world.neverReadyRate = 1;
        world.run(6_000);
        ScriptedWorker worker = new ScriptedWorker(world, "x-1");
        Map<String, Object> staleReport = worker.nextReport(Map.of());
        worker.submitAndAwaitClaim("wk-x", "standing");
        Map<String, Object> runningReport = ScriptedWorker.taskReport("wk-x/0", 1, "running", null);
        for (int i = 0; i < 6; i++) {
            world.run(500);
            worker.report(runningReport);
        }
        world.crash(worker.owner, 60_000);
        for (int i = 0; i < 12; i++) {
            world.run(400);
            for (int controller = 0; controller < 3; controller++) {
                world.sendDuplicateReport(controller, staleReport);
            }
        }
        worker.findOwner();
        world.sendDuplicateReport(worker.owner, staleReport);
        world.run(300);
        assertThat(worker.holdsClaim("wk-x"))
                .as("a report from before the start does not prove that the task is gone")
                .isTrue();
        assertThat(worker.report(runningReport)).startsWith("200");
        world.run(600);
        assertThat(worker.report(runningReport))
                .as("the worker's fencing token is the term of the new owner")
                .startsWith("200");
        world.sendDuplicateReport(worker.owner, staleReport);
        world.run(1_500);
        assertThat(worker.holdsClaim("wk-x"))
                .as("the duplicate is older than the reports already processed")
                .isTrue();
        assertThat(world.violations).isEmpty();
    }

    /**
     * The worker's report is the only proof that a task has ended. If the exited task were reaped before its end is
     * stored and the owner crashed at that moment, the task would run again.
     */
    @Test
    void exitedTaskIsReapedOnlyOnceItsEndIsStored() {
        World world = new World(42, 3, 16);
        world.neverReadyRate = 1;
        world.run(6_000);
        ScriptedWorker worker = new ScriptedWorker(world, "x-1");
        worker.submitAndAwaitClaim("wk-x", "sweep");
        world.run(500);
        worker.report(ScriptedWorker.taskReport("wk-x/0", 1, "running", null));
        world.run(500);
        world.store.setOutage(true, world.nowMs);
        Map<String, Object> exitedReport = ScriptedWorker.taskReport("wk-x/0", 1, "exited", "done");
        world.taskFinished("wk-x/0");
        for (int i = 0; i < 8; i++) {
            assertThat(worker.report(exitedReport))
                    .as("the end of the task cannot be stored during the outage")
                    .isEqualTo("200");
            world.run(700);
        }
        world.store.setOutage(false, world.nowMs);
        world.run(4_000);
        worker.findOwner();
        assertThat(worker.report(exitedReport)).isEqualTo("200 reap wk-x/0");
        assertThat(world.requestAndWait(1, "GET", "/v2/runs/wk-x", null)).isEqualTo("200 done");
        assertThat(world.violations).isEmpty();
    }
}
