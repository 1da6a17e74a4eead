package birchusher;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.lease.EstimateBias;
import birchusher.lease.LeaseSettings;
import birchusher.lease.LossRates;
import birchusher.model.Catalog;
import birchusher.placement.Planner;
import birchusher.placement.Slot;
import birchusher.recovery.LostTasks;
import birchusher.settings.SettingsReader;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** The order and the placements that {@link Planner} chooses. Each case guards a design rule or a regression. */
class PlannerTest {
    private static final long NOW_MS = 1_000_000;
    private final Catalog catalog = new Catalog(SettingsReader.read(TestJobs.SETTINGS
            .replace("\"zones\":[\"z\"]", "\"zones\":[\"z\",\"y\"]")
            .replace("\"gpus\":4,\"gpus_max\":8", "\"gpus\":2,\"gpus_max\":8")
            .getBytes(StandardCharsets.UTF_8)));
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog));
    private final LossRates lossRates = new LossRates();
    private final LostTasks lostTasks = new LostTasks(10_000, 1);
    private final Planner planner = new Planner(
            catalog,
            view,
            new EstimateBias(),
            lossRates,
            lostTasks,
            new LeaseSettings(90_000, 30_000, 4, 5_000),
            List.of(),
            150);
    private final Catalog.MachineType machineType =
            new Catalog.MachineType(catalog.typeNames.add("g4"), "g4", 8, 4, 64, 50, 1, 4, 1, 40, new int[] {0, 1});
    private long revision;

    PlannerTest() {
        catalog.addTypes(List.of(machineType));
    }

    private Job addJob(String id, Map<String, Object> changes) {
        Map<String, Object> fields = TestJobs.job();
        fields.put("name_id", id);
        fields.put("pieces", 1L);
        fields.putAll(changes);
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", NOW_MS, "j", fields)), ++revision);
        return view.job(id);
    }

    private Slot slot(String name, int zone, double gpus, double speed, int... images) {
        return new Slot(name, machineType, zone, false, 1, zone, speed, new int[0], images, 0, true, 8, gpus, 64);
    }

    private static Planner.SchedulingState schedulingState(IntPredicate heldTasks) {
        return schedulingState(heldTasks, machine -> false);
    }

    private static Planner.SchedulingState schedulingState(IntPredicate heldTasks, Predicate<String> reconnecting) {
        return new Planner.SchedulingState() {
            @Override
            public IntPredicate heldTasks(String job) {
                return heldTasks;
            }

            @Override
            public Set<String> refusedMachines(String job) {
                return null;
            }

            @Override
            public boolean backingOff(Job job) {
                return false;
            }

            @Override
            public boolean probing(Job job) {
                return false;
            }

            @Override
            public boolean reconnecting(String machine, long session) {
                return reconnecting.test(machine);
            }
        };
    }

    /**
     * Tasks of 150 s were lost two and three times on spot machines that the cloud reclaimed 15 times an hour. Long
     * tasks have to avoid such machines.
     */
    @Test
    void longTasksAvoidMachinesWithHighLossRatesButShortTasksDoNot() {
        for (int i = 0; i < 100; i++) {
            lossRates.observe(LossRates.kind(machineType.index(), true), 200, true, 0);
            lossRates.observe(LossRates.kind(machineType.index(), false), 200, false, 0);
        }
        Slot spot = new Slot(
                "spot",
                machineType,
                0,
                true,
                1,
                0,
                1,
                new int[0],
                new int[] {catalog.images.add("img-1")},
                0,
                true,
                8,
                4,
                64);
        Map<String, Object> common = Map.of("loaners", true, "bundle", "img-1", "size_gb", 2.0);
        Map<String, Object> shorter = new HashMap<>(common);
        shorter.put("expect_s", 10.0);
        Map<String, Object> longer = new HashMap<>(common);
        longer.put("expect_s", 150.0);
        addJob("wk-short", shorter);
        assertThat(plan(NOW_MS, List.of(), spot, slot("own", 0, 4, 1))).containsExactly("wk-short/0 on spot");
        view.remove(Keys.JOB + "wk-short", ++revision);
        addJob("wk-long", longer);
        assertThat(plan(NOW_MS, List.of(), spot, slot("own", 0, 4, 1))).containsExactly("wk-long/0 on own");
    }

    private List<String> plan(long wallTime, List<Planner.Placement> inFlight, Slot... slots) {
        Planner.Plan plan =
                planner.plan(new ArrayList<>(List.of(slots)), schedulingState(t -> false), inFlight, 0, wallTime);
        return plan.placements().stream()
                .map(placement -> placement.job().spec.id() + "/" + placement.task() + " on "
                        + placement.slot().machine())
                .toList();
    }

    @Test
    void productionReplicaBeyondGuaranteeIsPlannedBeforeGuaranteedBatchJob() {
        addJob("wk-batch", Map.of("pieces", 2L));
        addJob("wk-web", Map.of("shape", "standing", "rank", "production", "expect_s", 0.0));
        assertThat(planner.guaranteedJobs()).containsExactly("wk-batch");
        assertThat(plan(NOW_MS, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-web/0 on m");
    }

    @Test
    void jobThatCannotMeetItsDeadlineYieldsToOneThatCan() {
        addJob("wk-late", Map.of("pieces", 3L, "due_s", 20.0, "expect_s", 50.0));
        addJob("wk-fine", Map.of("pieces", 3L, "due_s", 90.0, "expect_s", 50.0));
        assertThat(plan(NOW_MS, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-fine/0 on m");
    }

    /**
     * Many equal jobs examine the slots once, not once for each job, and never get capacity that another job has taken
     * since.
     */
    @Test
    void equivalentJobsShareOneScanOfTheSlots() {
        for (int i = 0; i < 40; i++) {
            addJob("wk-one" + i, Map.of("pieces", 1L, "cards", 0.0, "cores", 2.0));
            addJob("wk-two" + i, Map.of("pieces", 1L, "cards", 0.0, "cores", 6.0));
        }
        List<Slot> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            fleet.add(slot("m" + i, 0, 4, 1));
        }
        Planner.Plan plan = planner.plan(fleet, schedulingState(t -> false), List.of(), 0, NOW_MS);
        assertThat(plan.placements()).hasSize(80);
        assertThat(plan.slotsExamined()).as("slots examined").isLessThan(10 * 60);
        Map<String, Double> used = new HashMap<>();
        plan.placements()
                .forEach(placement -> used.merge(
                        placement.slot().machine(), placement.job().spec.cpus(), Double::sum));
        assertThat(used.values()).allSatisfy(cpus -> assertThat(cpus).isLessThanOrEqualTo(8));
    }

    /**
     * Large jobs, and jobs too late for any objective, used to yield to all later jobs, without end under steady load.
     */
    @Test
    void jobNotStartedByItsLatestDueTimeIsPlannedFirstWhateverItsSizeOrDeadline() {
        addJob("wk-large", Map.of("pieces", 50L, "due_s", 90.0, "expect_s", 50.0));
        addJob("wk-late", Map.of("pieces", 3L, "due_s", 60.0, "expect_s", 50.0));
        long beforeDue = NOW_MS + 149_000;
        long afterDue = NOW_MS + 151_000;
        addJobAcceptedAt("wk-new", beforeDue);
        assertThat(plan(beforeDue, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-new/0 on m");
        assertThat(plan(afterDue, List.of(), slot("m", 0, 2, 1)).get(0)).isEqualTo("wk-large/0 on m");
        view.remove(Keys.JOB + "wk-large", ++revision);
        assertThat(plan(afterDue, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-late/0 on m");
    }

    /** Adds a job accepted at a wall-clock time, with time to spare before its deadline. */
    private void addJobAcceptedAt(String id, long wallTime) {
        Map<String, Object> fields = birchusher.TestJobs.job();
        fields.putAll(Map.of("name_id", id, "pieces", 1L, "due_s", 90.0, "expect_s", 50.0));
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", wallTime, "j", fields)), ++revision);
    }

    @Test
    void longTaskUsesSlowMachineOnlyWithoutAFasterOne() {
        addJob("wk-long", Map.of("expect_s", 100.0));
        Slot slow = slot("slow", 0, 4, 0.1, catalog.images.find("i"));
        assertThat(plan(NOW_MS, List.of(), slow, slot("fast", 0, 4, 1))).containsExactly("wk-long/0 on fast");
        assertThat(plan(NOW_MS, List.of(), slot("slow", 0, 4, 0.1))).containsExactly("wk-long/0 on slow");
    }

    @Test
    void machineWithTheImageIsPreferred() {
        addJob("wk-a", Map.of("size_gb", 10.0));
        assertThat(plan(NOW_MS, List.of(), slot("bare", 0, 1, 1), slot("has", 0, 4, 1, catalog.images.find("i"))))
                .containsExactly("wk-a/0 on has");
    }

    @Test
    void inFlightTasksCountTowardsZoneLimits() {
        Job web = addJob("wk-web", Map.of("shape", "standing", "pieces", 2L, "scatter", true, "expect_s", 0.0));
        Planner.Placement first = new Planner.Placement(web, 0, slot("a", 0, 4, 1), 0);
        Planner.Plan plan = planner.plan(
                new ArrayList<>(List.of(slot("b", 0, 4, 1), slot("c", 1, 4, 1))),
                schedulingState(task -> task == 0),
                List.of(first),
                0,
                NOW_MS);
        assertThat(plan.placements())
                .singleElement()
                .satisfies(placement -> assertThat(placement.slot().machine()).isEqualTo("c"));
    }

    @Test
    void earlierClaimsOfTheSameTransactionCountTowardsZoneLimits() {
        Job web = addJob("wk-web", Map.of("shape", "standing", "pieces", 2L, "scatter", true, "expect_s", 0.0));
        Transaction tx = new Transaction(view);
        Chunk chunk = tx.editChunk(web, 0);
        chunk.claims.put(0, new Claim(web, 0, 1, "a", 1, 0));
        assertThat(Planner.tasksByZone(web, shard -> shard, web.chunks::get, claim -> false))
                .isEmpty();
        assertThat(Planner.tasksByZone(web, shard -> shard, row -> tx.peekChunk(web, row), claim -> false))
                .containsEntry(0, 1);
    }

    @Test
    void oneZoneGangIsPlacedWholeOrNotAtAll() {
        addJob("wk-gang", Map.of("shape", "gang", "pieces", 3L, "one_zone", true));
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 1, 2, 1)))
                .isEmpty();
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 1, 2, 1), slot("c", 1, 1, 1)))
                .hasSize(3)
                .allMatch(placement -> placement.endsWith("b") || placement.endsWith("c"));
    }

    @Test
    void planStaysWithinTheTeamLimit() {
        addJob("wk-many", Map.of("pieces", 20L));
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 4, 1), slot("b", 0, 4, 1), slot("c", 1, 4, 1)))
                .hasSize(8);
        Planner.Plan planWithoutSlots =
                planner.plan(new ArrayList<>(), schedulingState(t -> false), List.of(), 0, NOW_MS);
        assertThat(planWithoutSlots.unplaced()).singleElement().satisfies(unplaced -> assertThat(unplaced.taskCount())
                .isEqualTo(8));
    }

    /** Adds a job of one row, with claims for its tasks on these machines, in the order of the tasks. */
    private Job jobWithClaims(String id, Map<String, Object> changes, String... machines) {
        Job job = addJob(id, changes);
        Transaction tx = new Transaction(view);
        for (int task = 0; task < machines.length; task++) {
            tx.editChunk(job, 0).claims.put(task, new Claim(job, task, 1, machines[task], 1, 0));
        }
        tx.toRequestBody();
        tx.applyTo(view, ++revision);
        return job;
    }

    /** Marks a claimed task as dropped by its worker, with the proof that it is gone. */
    private void dropTask(Job job, int task) {
        view.markReleased(new Job.ReleasedClaim(job.claim(task), 1, true, true));
        lostTasks.recordDropped(job.spec.id(), task, job.claim(task).machine(), 0);
    }

    /**
     * After a crash of all controllers only 10 % of the dropped tasks of two large fleets returned where they ran, as
     * queued jobs had taken their capacity.
     */
    @Test
    void droppedTaskReturnsToItsMachineBeforeEqualButNotBeforeHigherPriority() {
        Job lost = jobWithClaims("wk-lost", Map.of("pieces", 1L, "due_s", 900.0), "home");
        addJob("wk-sooner", Map.of("due_s", 60.0));
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-sooner/0 on home");
        dropTask(lost, 0);
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-lost/0 on home");
        addJob("wk-web", Map.of("shape", "standing", "rank", "production", "expect_s", 0.0));
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-web/0 on home");
    }

    @Test
    void droppedTaskWaitsForItsMachineForALimitedTime() {
        dropTask(jobWithClaims("wk-lost", Map.of("pieces", 1L), "home"), 0);
        assertThat(plan(NOW_MS, List.of(), slot("other", 0, 4, 1))).isEmpty();
        Planner.Plan laterPlan = planner.plan(
                new ArrayList<>(List.of(slot("other", 0, 4, 1))),
                schedulingState(t -> false),
                List.of(),
                1_600,
                NOW_MS);
        assertThat(laterPlan.placements())
                .singleElement()
                .satisfies(placement -> assertThat(placement.slot().machine()).isEqualTo("other"));
    }

    /**
     * A lost task of another controller's job is known here from its machine's report or from its row. If it could be
     * planned anywhere in the meantime, it would take the capacity to which a dropped task of this controller's jobs
     * should return, and that task would be offered the capacity of a third one.
     */
    @Test
    void taskRestoredByAnotherControllerIsPlannedOnItsOwnMachineOnly() {
        Job proven = jobWithClaims("wk-proven", Map.of("pieces", 1L), "away");
        view.markReleased(new Job.ReleasedClaim(proven.claim(0), 1, true, true));
        lostTasks.recordDroppedForPeer("wk-proven", 0, "away", 0);
        Job own = jobWithClaims("wk-ours", Map.of("pieces", 1L, "due_s", 900.0), "home");
        dropTask(own, 0);
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-ours/0 on home");
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1), slot("away", 0, 1, 1)))
                .containsExactlyInAnyOrder("wk-ours/0 on home", "wk-proven/0 on away");
    }

    /** After a claim leaves its row, only a later session of its machine proves that the task was dropped there. */
    @Test
    void claimRemovedFromItsRowReturnsOnlyToALaterSession() {
        Job job = addJob("wk-row", Map.of("pieces", 1L));
        lostTasks.recordReleased(new Claim(job, 0, 1, "home", 1, 0), 0);
        lostTasks.tick(100);
        assertThat(lostTasks.tasksToRestore())
                .as("only proven losses are waited for")
                .isZero();
        Slot[] slots = {slot("home", 0, 1, 1), slot("other", 0, 1, 1)};
        assertThat(planner.plan(new ArrayList<>(List.of(slots)), schedulingState(t -> false), List.of(), 0, NOW_MS)
                        .placements())
                .hasSize(1);
        assertThat(lostTasks.isLaterSession("wk-row", 0, 1)).isFalse();
        assertThat(lostTasks.isLaterSession("wk-row", 0, 2)).isTrue();
        lostTasks.recordPlaced(new Claim(job, 0, 2, "home", 2, 0));
        assertThat(lostTasks.hasLostTasks("wk-row")).isFalse();
    }

    /**
     * Such a machine has still to confirm its owner's term, which takes up to a report interval. A fixed wait of 1.5 s
     * sent its tasks to other machines.
     */
    @Test
    void droppedTaskWaitsForAReportingMachineOnly() {
        dropTask(jobWithClaims("wk-lost", Map.of("pieces", 1L), "home"), 0);
        boolean[] reports = {true};
        Planner.SchedulingState state = schedulingState(t -> false, machine -> machine.equals("home") && reports[0]);
        List<Slot> slots = List.of(slot("other", 0, 4, 1));
        assertThat(planner.plan(new ArrayList<>(slots), state, List.of(), 4_000, NOW_MS)
                        .placements())
                .isEmpty();
        reports[0] = false;
        assertThat(planner.plan(new ArrayList<>(slots), state, List.of(), 4_000, NOW_MS)
                        .placements())
                .hasSize(1);
        reports[0] = true;
        assertThat(planner.plan(new ArrayList<>(slots), state, List.of(), 10_100, NOW_MS)
                        .placements())
                .as("after the time in which dropped tasks are restored")
                .hasSize(1);
    }

    @Test
    void droppedGangReturnsWholeOrIsPlannedAnew() {
        Job gang = jobWithClaims("wk-gang", Map.of("shape", "gang", "pieces", 2L), "a", "b");
        dropTask(gang, 0);
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 0, 1, 1)))
                .isEmpty();
        dropTask(gang, 1);
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 0, 1, 1)))
                .containsExactly("wk-gang/0 on a", "wk-gang/1 on b");
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 0, 0, 1)))
                .containsExactly("wk-gang/0 on a", "wk-gang/1 on a");
    }

    /**
     * A task that is proven gone frees the capacity that it used on its machine and in its zone at once; it counts as its
     * team's use until its claim is removed.
     */
    @Test
    void provenGoneTaskFreesCapacityAndZoneBeforeItsClaimIsRemoved() {
        Job web = jobWithClaims(
                "wk-web", Map.of("shape", "standing", "pieces", 2L, "scatter", true, "expect_s", 0.0), "a", "b");
        view.markReleased(new Job.ReleasedClaim(web.claim(0), 1, true, true));
        assertThat(view.capacityUsedOn("a")).containsExactly(0, 0, 0);
        assertThat(view.claimedGpus(web.spec.team())).isEqualTo(2);
        assertThat(planner.tasksByZone(web, List.of())).containsEntry(0, 1);
        view.markReleased(new Job.ReleasedClaim(web.claim(0), 2, false, true));
        assertThat(web.released(0).term()).isEqualTo(2);
        assertThat(view.releasedClaimCount()).isEqualTo(1);
        Transaction tx = new Transaction(view);
        tx.editChunk(web, 0).claims.put(0, new Claim(web, 0, 2, "a", 2, 0));
        tx.toRequestBody();
        tx.applyTo(view, ++revision);
        assertThat(view.releasedClaimCount()).isZero();
        assertThat(web.isPlaced(0)).isTrue();
        assertThat(view.capacityUsedOn("a")[1]).isEqualTo(1);
    }
}
