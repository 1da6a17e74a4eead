package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** More meetings of two troubles, of the users' letter "The hunt goes on"; docs/meetings.md says which guard each test shows. */
class FurtherFaultCombinationsTest {
    @BeforeAll
    static void silenceLog() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static void runAndAssertHealthy(World w, long ms) {
        w.run(ms);
        assertThat(w.unansweredJobs(10_000)).isEmpty();
        assertThat(w.violations).isEmpty();
        assertThat(w.reportedState("wk-web")).as(w.store.dump()).isEqualTo("running");
    }

    /** The team is at its limit; what is cancelled runs on machines that hang, hear nobody or reach nobody, and their owner ends. */
    @ParameterizedTest
    @CsvSource({"1, 3, hang", "2, 3, deaf", "3, 3, mute", "4, 7, hang", "5, 7, deaf", "6, 7, mute"})
    void cancelledTaskCountsTowardsItsQuotaUntilProvenGone(long seed, int controllers, String trouble) {
        World w = new World(seed, controllers, 12);
        w.submit("wk-web", "standing", 3, "production", true, false);
        w.submit("wk-old", "standing", 9, "standard", false, false);
        w.run(45_000);
        assertThat(w.unfinishedTaskCount("wk-web") + w.unfinishedTaskCount("wk-old"))
                .as("at its limit")
                .isEqualTo(12);
        w.submit("wk-new", "standing", 9, "standard", false, false);
        w.run(4_000);
        FakeWorker m = w.workers.values().stream()
                .filter(x -> x.tasks.values().stream().anyMatch(t -> t.key.startsWith("wk-old")))
                .findFirst()
                .orElseThrow();
        int owner = w.ownerOf(m);
        w.workers.values().forEach(x -> {
            x.hungUntilMs = trouble.equals("hang") ? w.nowMs + 9_500 : 0;
            x.cannotReceive = trouble.equals("deaf");
            x.cannotReport = trouble.equals("mute");
        });
        assertThat(w.cancelAndWait((owner + 1) % controllers, "wk-old")).isTrue();
        w.crash(owner, 2_500 + w.random.nextInt(4_000));
        for (int i = 0; i < 20; i++) {
            w.run(1_000);
            assertThat(w.violations).isEmpty();
        }
        w.workers.values().forEach(x -> {
            x.cannotReceive = false;
            x.cannotReport = false;
        });
        w.run(90_000);
        assertThat(w.unfinishedTaskCount("wk-new")).as("its room is used again").isEqualTo(9);
        runAndAssertHealthy(w, 1_000);
    }

    /** Cancelled in the seconds in which shards, drivers and the autoscaler change hands and back, with commands held up on both sides. */
    @ParameterizedTest
    @CsvSource({"11, 3", "12, 3", "13, 7", "14, 7", "15, 3", "16, 7"})
    void tasksCancelledDuringTakeoversAreGoneInTime(long seed, int controllers) {
        World w = new World(seed, controllers, 24);
        w.submit("wk-web", "standing", 3, "production", true, false);
        for (int i = 0; i < 12; i++) {
            w.submit("wk-c" + i, "standing", 1 + i % 2, "standard", false, false);
        }
        w.run(40_000);
        w.lateResponseRate = 0.3;
        w.directCommandDelayMs = seed % 2 == 0 ? 2_000 : 0;
        w.lostTransactionReplyRate = 0.1;
        Random r = new Random(seed);
        for (int i = 0; i < 12; i++) {
            int node = r.nextInt(controllers);
            switch (i % 4) {
                case 0 -> w.crash(node, 300 + r.nextInt(3_000));
                case 1 -> {
                    w.viewLagging[node] = true;
                    w.schedule(w.nowMs + 3_500, () -> w.viewLagging[node] = false);
                }
                case 2 -> w.lateTransactionRate = 0.2;
                default -> w.lateTransactionRate = 0;
            }
            // Six seconds after its return a controller is given its shards back.
            w.run(r.nextInt(4_500));
            w.submit("wk-g" + i, "gang", 2, "urgent", false, i % 2 == 0);
            w.run(r.nextInt(4_000));
            w.workers.values().stream()
                    .filter(x -> r.nextInt(4) == 0)
                    .forEach(x -> x.hungUntilMs = w.nowMs + r.nextInt(9_500));
            w.requestCancellation("wk-c" + i);
            w.requestCancellation("wk-g" + i);
            w.run(400);
            assertThat(w.violations).isEmpty();
        }
        w.lateResponseRate = 0;
        w.directCommandDelayMs = 0;
        w.lostTransactionReplyRate = 0;
        w.lateTransactionRate = 0;
        w.run(World.CANCEL_DEADLINE_MS + 15_000);
        for (int i = 0; i < 12; i++) {
            assertThat(w.isCancelled("wk-c" + i)).isTrue();
            assertThat(w.unfinishedTaskCount("wk-c" + i) + w.unfinishedTaskCount("wk-g" + i))
                    .isZero();
            assertThat(w.reportedState("wk-g" + i)).isIn("done", "cancelled");
        }
        runAndAssertHealthy(w, 10_000);
    }

    /** A machine reports before its rental's answer and before the row that names it, and the autoscaler ends; work comes to it at once. */
    @ParameterizedTest
    @CsvSource({"21, 3", "22, 3", "23, 7", "24, 3"})
    void machinesThatReportBeforeTheirRentalIsStoredAreUsedAndReturned(long seed, int controllers) {
        World w = new World(seed, controllers, 30);
        w.fastBoot = true;
        w.maxCloudReplyDelayMs = 2_400;
        w.lateTransactionRate = 0.15;
        w.maxExtraStoreDelayMs = 400;
        w.submit("wk-web", "standing", 3, "production", true, false);
        for (int i = 0; i < 10; i++) {
            w.submit("wk-a" + i, "sweep", 5, "standard", false, false);
            w.run(1_200);
            int autoscaler = Integer.parseInt(w.store
                    .dump()
                    .lines()
                    .filter(l -> l.startsWith("b/live/buyer"))
                    .findFirst()
                    .orElse("m=perch-0")
                    .replaceAll(".*m=perch-(\\d+).*", "$1"));
            if (i % 3 == 1) {
                w.crash(autoscaler, 1_500 + w.random.nextInt(3_000));
            }
            w.run(3_500);
            assertThat(w.violations).isEmpty();
        }
        w.lateTransactionRate = 0;
        w.maxExtraStoreDelayMs = 0;
        w.maxCloudReplyDelayMs = 0;
        w.run(40_000);
        for (int i = 0; i < 10; i++) {
            assertThat(w.reportedState("wk-a" + i)).isEqualTo("done");
        }
        assertThat(w.machinesReturnedWithTasks)
                .as("a machine with work was returned")
                .isZero();
        runAndAssertHealthy(w, 120_000);
        assertThat(w.workers.size()).as("what nobody needs has gone back").isLessThanOrEqualTo(3);
    }

    /**
     * Its reports reach nobody and direct commands reach it. Each answered command makes it look alive for as long as a report would; it shows
     * nothing of its ends, though, so it gets no more than fits beside what it had, then nothing, and its tasks go elsewhere.
     */
    @ParameterizedTest
    @CsvSource({"61, 3", "62, 3", "63, 7"})
    void machineThatCannotSendReportsSoonGetsNoNewTasks(long seed, int controllers) {
        World w = new World(seed, controllers, 40);
        w.cloudRefusesDeletions = true;
        w.submit("wk-web", "standing", 6, "production", true, false);
        w.run(30_000);
        List<FakeWorker> mute = w.workers.values().stream()
                .filter(m -> !m.tasks.isEmpty())
                .limit(2)
                .toList();
        mute.forEach(m -> m.cannotReport = true);
        // While reports are not missed yet it may get some, by commands that it answers.
        for (int i = 0; i < 7; i++) {
            w.submit("wk-b" + i, "sweep", 4, "standard", false, false);
            w.run(1_000);
        }
        Map<String, Long> had = new java.util.HashMap<>();
        mute.forEach(m -> m.tasks.values().forEach(t -> had.put(m.name + " " + t.key, t.attempt)));
        for (int i = 0; i < 30; i++) {
            w.submit("wk-a" + i, "sweep", 2, "standard", false, false);
            w.run(1_000);
            for (FakeWorker m : mute) {
                m.tasks.values().forEach(t -> assertThat(had)
                        .as("new on " + m.name)
                        .containsEntry(m.name + " " + t.key, t.attempt));
            }
        }
        assertThat(w.unfinishedTaskCount("wk-web"))
                .as("its tasks run elsewhere")
                .isEqualTo(6);
        mute.forEach(m -> m.cannotReport = false);
        runAndAssertHealthy(w, 60_000);
    }

    /** Jobs bound to one zone, an array among them, lose machines; what is left and what comes anew stay in one zone. */
    @ParameterizedTest
    @CsvSource({"71, 3", "72, 3", "73, 7", "74, 7"})
    void oneZoneJobsStayInTheirZoneAfterMachineLosses(long seed, int controllers) {
        World w = new World(seed, controllers, 40);
        w.submit("wk-web", "standing", 3, "production", true, false);
        w.submit("wk-tied", "standing", 6, "standard", false, true);
        w.submit("wk-row", "sweep", 20, "standard", false, true);
        for (int t = 0; t < 20; t++) {
            w.fixedRunTimesMs.put("wk-row/" + t, 25_000L);
        }
        w.run(30_000);
        Random r = new Random(seed);
        for (int i = 0; i < 6; i++) {
            List<FakeWorker> busy = w.workers.values().stream()
                    .filter(m -> m.tasks.values().stream()
                            .anyMatch(t -> t.key.startsWith("wk-tied") || t.key.startsWith("wk-row")))
                    .toList();
            for (FakeWorker m : busy) {
                switch (r.nextInt(4)) {
                    case 0 -> m.hungUntilMs = w.nowMs + 14_000;
                    case 1 -> m.cannotReport = true;
                    case 2 -> m.reclaimNoticeS = 12;
                    default -> {}
                }
            }
            w.submit("wk-g" + i, "gang", 3, "urgent", false, true);
            if (i % 2 == 1) {
                w.crash(r.nextInt(controllers), 2_000 + r.nextInt(6_000));
            }
            w.run(9_000);
            w.workers.values().forEach(m -> {
                m.cannotReport = false;
                m.reclaimNoticeS = -1;
            });
            w.run(6_000);
            assertThat(w.violations).isEmpty();
        }
        w.run(80_000);
        assertThat(w.reportedState("wk-row")).isEqualTo("done");
        assertThat(w.unfinishedTaskCount("wk-tied")).isEqualTo(6);
        for (int i = 0; i < 6; i++) {
            assertThat(w.reportedState("wk-g" + i)).isEqualTo("done");
        }
        runAndAssertHealthy(w, 1_000);
    }

    /** Owners and the autoscaler end one after the other, ten in two minutes, for a part of that in an outage; long tasks go on or run again. */
    @ParameterizedTest
    @CsvSource({"81, 3, false", "82, 3, true", "83, 7, false", "84, 7, true"})
    void tenOwnerCrashesInTwoMinutesLoseNoJob(long seed, int controllers, boolean outage) {
        World w = new World(seed, controllers, 24);
        w.submit("wk-web", "standing", 4, "production", true, false);
        w.fixedRunTimesMs.put("wk-long/0", 90_000L);
        w.fixedRunTimesMs.put("wk-long/1", 70_000L);
        w.submit("wk-long", "sweep", 2, "urgent", false, false);
        w.run(30_000);
        for (int i = 0; i < 10; i++) {
            w.submit("wk-s" + i, "sweep", 3, "standard", false, false);
            w.submit("wk-c" + i, "standing", 1, "standard", false, false);
            w.run(2_000 + w.random.nextInt(1_500));
            int owner = w.ownerOf(w.workers.values().iterator().next());
            w.crash(owner < 0 ? i % controllers : owner, 1_000 + w.random.nextInt(5_000));
            w.requestCancellation("wk-c" + i);
            if (outage && i == 4) {
                w.store.setOutage(true, w.nowMs);
            }
            if (outage && i == 6) {
                w.store.setOutage(false, w.nowMs);
            }
            w.run(8_500);
            assertThat(w.violations).isEmpty();
        }
        w.run(60_000);
        for (int i = 0; i < 10; i++) {
            assertThat(w.reportedState("wk-s" + i)).as("wk-s" + i).isEqualTo("done");
            assertThat(w.isCancelled("wk-c" + i)).isTrue();
        }
        runAndAssertHealthy(w, 90_000);
        assertThat(w.reportedState("wk-long")).isEqualTo("done");
    }

    /** A controller and its workers are cut off from everybody for longer than a lease, and come back; users cancel through the others. */
    @ParameterizedTest
    @CsvSource({"91, 3", "92, 3", "93, 7", "94, 7"})
    void networkPartitionLongerThanALeaseRunsNoTaskTwice(long seed, int controllers) {
        World w = new World(seed, controllers, 24);
        w.submit("wk-web", "standing", 4, "production", true, false);
        w.submit("wk-one", "standing", 4, "standard", false, true);
        for (int i = 0; i < 4; i++) {
            w.submit("wk-c" + i, "standing", 2, "standard", false, false);
        }
        w.run(40_000);
        int node = w.ownerOf(w.workers.values().iterator().next());
        w.isolateWithWorkers(node);
        w.run(1_500);
        for (int i = 0; i < 4; i++) {
            w.cancelAndWait((node + 1) % controllers, "wk-c" + i);
        }
        w.run(2 * World.WORKER_LEASE_MS + 15_000);
        assertThat(w.violations).isEmpty();
        w.endIsolation();
        w.run(World.CANCEL_DEADLINE_MS);
        for (int i = 0; i < 4; i++) {
            assertThat(w.isCancelled("wk-c" + i)).isTrue();
            assertThat(w.unfinishedTaskCount("wk-c" + i)).isZero();
        }
        assertThat(w.unfinishedTaskCount("wk-one")).isEqualTo(4);
        runAndAssertHealthy(w, 30_000);
    }

    /** Copies of earlier sessions and attempts reach everybody before the first true report does, just as a new owner begins. */
    @ParameterizedTest
    @CsvSource({"31, 3", "32, 3", "33, 7", "34, 7"})
    void staleReportsToAllControllersDuringTakeoverEndNoTask(long seed, int controllers) {
        // Leases outlast the time without an owner, so that whatever starts anew was ended by a copy.
        World w = new World(seed, controllers, 16, 20_000, 60_000);
        w.submit("wk-web", "standing", 3, "production", true, false);
        w.fixedRunTimesMs.put("wk-long/0", 150_000L);
        w.fixedRunTimesMs.put("wk-long/1", 140_000L);
        w.keepReports = true;
        // Else the autoscaler deletes what is silent while nobody is heard, and that starts elsewhere.
        w.cloudRefusesDeletions = true;
        w.submit("wk-arr", "sweep", 10, "standard", false, false);
        w.submit("wk-long", "sweep", 2, "urgent", false, false);
        w.run(32_000);
        w.keepReports = false;
        w.run(8_000);
        int starts = w.taskStarts;
        for (int round = 0; round < 3; round++) {
            int owner = w.ownerOf(w.workers.values().iterator().next());
            w.crash(owner, 9_000);
            java.util.Arrays.fill(w.cutOffFromWorkers, true);
            for (int i = 0; i < 8; i++) {
                w.run(350);
                w.replayKeptReportsToAll();
            }
            java.util.Arrays.fill(w.cutOffFromWorkers, false);
            for (int i = 0; i < 8; i++) {
                w.run(500);
                w.replayKeptReportsToAll();
            }
            w.run(12_000);
            assertThat(w.violations).isEmpty();
        }
        assertThat(w.taskStarts).as("nothing was started anew").isEqualTo(starts);
        runAndAssertHealthy(w, 100_000);
        assertThat(w.reportedState("wk-long")).isEqualTo("done");
    }

    /** Message by message: after the takeover an old copy first, then the newest report, then a copy again. */
    @Test
    void olderReportDoesNotReplaceNewerMachineState() {
        World w = new World(41, 3, 16);
        w.neverReadyRate = 1;
        w.run(6_000);
        ScriptedWorker x = new ScriptedWorker(w, "x-1");
        Map<String, Object> old = x.nextReport(Map.of());
        x.submitAndAwaitClaim("wk-x", "standing");
        Map<String, Object> runs = ScriptedWorker.taskReport("wk-x/0", 1, "running", null);
        for (int i = 0; i < 6; i++) {
            w.run(500);
            x.report(runs);
        }
        w.crash(x.owner, 60_000);
        for (int i = 0; i < 12; i++) {
            w.run(400);
            for (int k = 0; k < 3; k++) {
                w.sendDuplicateReport(k, old);
            }
        }
        x.findOwner();
        w.sendDuplicateReport(x.owner, old);
        w.run(300);
        assertThat(x.holdsClaim("wk-x"))
                .as("a copy of before the start proves nothing")
                .isTrue();
        assertThat(x.report(runs)).startsWith("200");
        w.run(600);
        assertThat(x.report(runs)).as("it has our term now").startsWith("200");
        w.sendDuplicateReport(x.owner, old);
        w.run(1_500);
        assertThat(x.holdsClaim("wk-x")).as("older than what was shown").isTrue();
        assertThat(w.violations).isEmpty();
    }

    /** Reaped before its end is written, a task would run again if its owner ended now: the report is the only proof. */
    @Test
    void exitedTaskIsReapedOnlyOnceItsEndIsStored() {
        World w = new World(42, 3, 16);
        w.neverReadyRate = 1;
        w.run(6_000);
        ScriptedWorker x = new ScriptedWorker(w, "x-1");
        x.submitAndAwaitClaim("wk-x", "sweep");
        w.run(500);
        x.report(ScriptedWorker.taskReport("wk-x/0", 1, "running", null));
        w.run(500);
        w.store.setOutage(true, w.nowMs);
        Map<String, Object> done = ScriptedWorker.taskReport("wk-x/0", 1, "exited", "done");
        w.taskFinished("wk-x/0");
        for (int i = 0; i < 8; i++) {
            assertThat(x.report(done)).as("the end can't be written").isEqualTo("200");
            w.run(700);
        }
        w.store.setOutage(false, w.nowMs);
        w.run(4_000);
        x.findOwner();
        assertThat(x.report(done)).isEqualTo("200 reap wk-x/0");
        assertThat(w.requestAndWait(1, "GET", "/v2/runs/wk-x", null)).isEqualTo("200 done");
        assertThat(w.violations).isEmpty();
    }
}
