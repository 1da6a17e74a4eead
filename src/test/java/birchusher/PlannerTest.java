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

/** What the planner does with jobs and machines; each case is a fault that was seen, or a line of the design. */
class PlannerTest {
    private static final long NOW_MS = 1_000_000;
    private final Catalog catalog = new Catalog(SettingsReader.read(TestJobs.SETTINGS
            .replace("\"zones\":[\"z\"]", "\"zones\":[\"z\",\"y\"]")
            .replace("\"gpus\":4,\"gpus_max\":8", "\"gpus\":2,\"gpus_max\":8")
            .getBytes(StandardCharsets.UTF_8)));
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog));
    private final LossRates hazards = new LossRates();
    private final LostTasks losses = new LostTasks(10_000, 1);
    private final Planner planner = new Planner(
            catalog,
            view,
            new EstimateBias(),
            hazards,
            losses,
            new LeaseSettings(90_000, 30_000, 4, 5_000),
            List.of(),
            150);
    private final Catalog.MachineType machineType =
            new Catalog.MachineType(catalog.typeNames.add("g4"), "g4", 8, 4, 64, 50, 1, 4, 1, 40, new int[] {0, 1});
    private long revision;

    PlannerTest() {
        catalog.addTypes(List.of(machineType));
    }

    private Job job(String id, Map<String, Object> changes) {
        Map<String, Object> m = TestJobs.job();
        m.put("name_id", id);
        m.put("pieces", 1L);
        m.putAll(changes);
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", NOW_MS, "j", m)), ++revision);
        return view.job(id);
    }

    private Slot slot(String name, int zone, double gpus, double speed, int... images) {
        return new Slot(name, machineType, zone, false, 1, zone, speed, new int[0], images, 0, true, 8, gpus, 64);
    }

    private static Planner.SchedulingState schedulingState(IntPredicate held) {
        return schedulingState(held, machine -> false);
    }

    private static Planner.SchedulingState schedulingState(IntPredicate held, Predicate<String> returning) {
        return new Planner.SchedulingState() {
            @Override
            public IntPredicate heldTasks(String job) {
                return held;
            }

            @Override
            public Set<String> refusedMachines(String job) {
                return null;
            }

            @Override
            public boolean backingOff(Job j) {
                return false;
            }

            @Override
            public boolean probing(Job j) {
                return false;
            }

            @Override
            public boolean reconnecting(String machine, long session) {
                return returning.test(machine);
            }
        };
    }

    /** Seen on vernis-fjord: tasks of 150 s were lost two and three times on machines taken back 15 times an hour. */
    @Test
    void longTasksAvoidMachinesWithHighLossRatesButShortTasksDoNot() {
        for (int i = 0; i < 100; i++) {
            hazards.observe(LossRates.kind(machineType.index(), true), 200, true, 0);
            hazards.observe(LossRates.kind(machineType.index(), false), 200, false, 0);
        }
        Slot taken = new Slot(
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
        Map<String, Object> how = Map.of("loaners", true, "bundle", "img-1", "size_gb", 2.0);
        Map<String, Object> shorter = new HashMap<>(how);
        shorter.put("expect_s", 10.0);
        Map<String, Object> longer = new HashMap<>(how);
        longer.put("expect_s", 150.0);
        job("wk-short", shorter);
        assertThat(plan(NOW_MS, List.of(), taken, slot("own", 0, 4, 1))).containsExactly("wk-short/0 on spot");
        view.remove(Keys.JOB + "wk-short", ++revision);
        job("wk-long", longer);
        assertThat(plan(NOW_MS, List.of(), taken, slot("own", 0, 4, 1))).containsExactly("wk-long/0 on own");
    }

    private List<String> plan(long wall, List<Planner.Placement> underway, Slot... slots) {
        Planner.Plan p = planner.plan(new ArrayList<>(List.of(slots)), schedulingState(t -> false), underway, 0, wall);
        return p.placements().stream()
                .map(c -> c.job().spec.id() + "/" + c.task() + " on " + c.slot().machine())
                .toList();
    }

    @Test
    void productionReplicaBeyondGuaranteeIsPlannedBeforeGuaranteedBatchJob() {
        job("wk-batch", Map.of("pieces", 2L));
        job("wk-web", Map.of("shape", "standing", "rank", "production", "expect_s", 0.0));
        assertThat(planner.guaranteedJobs()).containsExactly("wk-batch");
        assertThat(plan(NOW_MS, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-web/0 on m");
    }

    @Test
    void jobThatCannotMeetItsDeadlineYieldsToOneThatCan() {
        job("wk-late", Map.of("pieces", 3L, "due_s", 20.0, "expect_s", 50.0));
        job("wk-fine", Map.of("pieces", 3L, "due_s", 90.0, "expect_s", 50.0));
        assertThat(plan(NOW_MS, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-fine/0 on m");
    }

    /** A swarm looks at the slots once, not once for each job, and never gets a place that somebody else has taken in between. */
    @Test
    void equivalentJobsShareOneScanOfTheSlots() {
        for (int i = 0; i < 40; i++) {
            job("wk-one" + i, Map.of("pieces", 1L, "cards", 0.0, "cores", 2.0));
            job("wk-two" + i, Map.of("pieces", 1L, "cards", 0.0, "cores", 6.0));
        }
        List<Slot> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            fleet.add(slot("m" + i, 0, 4, 1));
        }
        Planner.Plan p = planner.plan(fleet, schedulingState(t -> false), List.of(), 0, NOW_MS);
        assertThat(p.placements()).hasSize(80);
        assertThat(p.slotsExamined()).as("slots looked at").isLessThan(10 * 60);
        Map<String, Double> used = new HashMap<>();
        p.placements().forEach(c -> used.merge(c.slot().machine(), c.job().spec.cpus(), Double::sum));
        assertThat(used.values()).allSatisfy(n -> assertThat(n).isLessThanOrEqualTo(8));
    }

    /** Large jobs, and those too late for any aim, gave way to whatever came after them, for ever under steady load. */
    @Test
    void jobNotStartedByItsLatestDueTimeIsPlannedFirstWhateverItsSizeOrDeadline() {
        job("wk-large", Map.of("pieces", 50L, "due_s", 90.0, "expect_s", 50.0));
        job("wk-late", Map.of("pieces", 3L, "due_s", 60.0, "expect_s", 50.0));
        long soon = NOW_MS + 149_000;
        long then = NOW_MS + 151_000;
        jobAcceptedAt("wk-new", soon);
        assertThat(plan(soon, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-new/0 on m");
        assertThat(plan(then, List.of(), slot("m", 0, 2, 1)).get(0)).isEqualTo("wk-large/0 on m");
        view.remove(Keys.JOB + "wk-large", ++revision);
        assertThat(plan(then, List.of(), slot("m", 0, 1, 1))).containsExactly("wk-late/0 on m");
    }

    /** A job accepted at some time of day, with time to spare. */
    private void jobAcceptedAt(String id, long wall) {
        Map<String, Object> m = birchusher.TestJobs.job();
        m.putAll(Map.of("name_id", id, "pieces", 1L, "due_s", 90.0, "expect_s", 50.0));
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", wall, "j", m)), ++revision);
    }

    @Test
    void longTaskUsesSlowMachineOnlyWithoutAFasterOne() {
        job("wk-long", Map.of("expect_s", 100.0));
        Slot slow = slot("slow", 0, 4, 0.1, catalog.images.find("i"));
        assertThat(plan(NOW_MS, List.of(), slow, slot("fast", 0, 4, 1))).containsExactly("wk-long/0 on fast");
        assertThat(plan(NOW_MS, List.of(), slot("slow", 0, 4, 0.1))).containsExactly("wk-long/0 on slow");
    }

    @Test
    void machineWithTheImageIsPreferred() {
        job("wk-a", Map.of("size_gb", 10.0));
        assertThat(plan(NOW_MS, List.of(), slot("bare", 0, 1, 1), slot("has", 0, 4, 1, catalog.images.find("i"))))
                .containsExactly("wk-a/0 on has");
    }

    @Test
    void inFlightTasksCountTowardsZoneLimits() {
        Job web = job("wk-web", Map.of("shape", "standing", "pieces", 2L, "scatter", true, "expect_s", 0.0));
        Planner.Placement first = new Planner.Placement(web, 0, slot("a", 0, 4, 1), 0);
        Planner.Plan p = planner.plan(
                new ArrayList<>(List.of(slot("b", 0, 4, 1), slot("c", 1, 4, 1))),
                schedulingState(t -> t == 0),
                List.of(first),
                0,
                NOW_MS);
        assertThat(p.placements())
                .singleElement()
                .satisfies(c -> assertThat(c.slot().machine()).isEqualTo("c"));
    }

    @Test
    void earlierClaimsOfTheSameTransactionCountTowardsZoneLimits() {
        Job web = job("wk-web", Map.of("shape", "standing", "pieces", 2L, "scatter", true, "expect_s", 0.0));
        Transaction tx = new Transaction(view);
        Chunk chunk = tx.editChunk(web, 0);
        chunk.claims.put(0, new Claim(web, 0, 1, "a", 1, 0));
        assertThat(Planner.tasksByZone(web, s -> s, web.chunks::get, c -> false))
                .isEmpty();
        assertThat(Planner.tasksByZone(web, s -> s, i -> tx.peekChunk(web, i), c -> false))
                .containsEntry(0, 1);
    }

    @Test
    void oneZoneGangIsPlacedWholeOrNotAtAll() {
        job("wk-gang", Map.of("shape", "gang", "pieces", 3L, "one_zone", true));
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 1, 2, 1)))
                .isEmpty();
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 2, 1), slot("b", 1, 2, 1), slot("c", 1, 1, 1)))
                .hasSize(3)
                .allMatch(s -> s.endsWith("b") || s.endsWith("c"));
    }

    @Test
    void planStaysWithinTheTeamLimit() {
        job("wk-many", Map.of("pieces", 20L));
        assertThat(plan(NOW_MS, List.of(), slot("a", 0, 4, 1), slot("b", 0, 4, 1), slot("c", 1, 4, 1)))
                .hasSize(8);
        Planner.Plan none = planner.plan(new ArrayList<>(), schedulingState(t -> false), List.of(), 0, NOW_MS);
        assertThat(none.unplaced()).singleElement().satisfies(u -> assertThat(u.taskCount())
                .isEqualTo(8));
    }

    /** A job of one row whose tasks are recorded on these machines, in the order of the tasks. */
    private Job jobWithClaims(String id, Map<String, Object> changes, String... machines) {
        Job j = job(id, changes);
        Transaction tx = new Transaction(view);
        for (int i = 0; i < machines.length; i++) {
            tx.editChunk(j, 0).claims.put(i, new Claim(j, i, 1, machines[i], 1, 0));
        }
        tx.toRequestBody();
        tx.applyTo(view, ++revision);
        return j;
    }

    private void dropTask(Job j, int task) {
        view.markReleased(new Job.ReleasedClaim(j.claim(task), 1, true, true));
        losses.recordDropped(j.spec.id(), task, j.claim(task).machine(), 0);
    }

    /** Seen on both larger fleets after a crash of all: 10 % came back where they ran, the queue had taken their room. */
    @Test
    void droppedTaskReturnsToItsMachineBeforeEqualButNotBeforeHigherPriority() {
        Job lost = jobWithClaims("wk-lost", Map.of("pieces", 1L, "due_s", 900.0), "home");
        job("wk-sooner", Map.of("due_s", 60.0));
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-sooner/0 on home");
        dropTask(lost, 0);
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-lost/0 on home");
        job("wk-web", Map.of("shape", "standing", "rank", "production", "expect_s", 0.0));
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-web/0 on home");
    }

    @Test
    void droppedTaskWaitsForItsMachineForALimitedTime() {
        dropTask(jobWithClaims("wk-lost", Map.of("pieces", 1L), "home"), 0);
        assertThat(plan(NOW_MS, List.of(), slot("other", 0, 4, 1))).isEmpty();
        Planner.Plan later = planner.plan(
                new ArrayList<>(List.of(slot("other", 0, 4, 1))),
                schedulingState(t -> false),
                List.of(),
                1_600,
                NOW_MS);
        assertThat(later.placements())
                .singleElement()
                .satisfies(c -> assertThat(c.slot().machine()).isEqualTo("other"));
    }

    /**
     * A loss that another controller's job suffered is known here from its machine's report or from its row. Planned anywhere in the
     * meantime, it took the room that our own dropped task was to go back to, and that one was offered for a third one's room.
     */
    @Test
    void taskRestoredByAnotherControllerIsPlannedOnItsOwnMachineOnly() {
        Job proven = jobWithClaims("wk-proven", Map.of("pieces", 1L), "away");
        view.markReleased(new Job.ReleasedClaim(proven.claim(0), 1, true, true));
        losses.recordDroppedForPeer("wk-proven", 0, "away", 0);
        Job ours = jobWithClaims("wk-ours", Map.of("pieces", 1L, "due_s", 900.0), "home");
        dropTask(ours, 0);
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1))).containsExactly("wk-ours/0 on home");
        assertThat(plan(NOW_MS, List.of(), slot("home", 0, 1, 1), slot("away", 0, 1, 1)))
                .containsExactlyInAnyOrder("wk-ours/0 on home", "wk-proven/0 on away");
    }

    /** From a row that lost a claim, only a later session of its machine shows that the task was dropped there. */
    @Test
    void claimRemovedFromItsRowReturnsOnlyToALaterSession() {
        Job job = job("wk-row", Map.of("pieces", 1L));
        losses.recordReleased(new Claim(job, 0, 1, "home", 1, 0), 0);
        losses.tick(100);
        assertThat(losses.tasksToRestore())
                .as("only proven losses are expected back")
                .isZero();
        Slot[] slots = {slot("home", 0, 1, 1), slot("other", 0, 1, 1)};
        assertThat(planner.plan(new ArrayList<>(List.of(slots)), schedulingState(t -> false), List.of(), 0, NOW_MS)
                        .placements())
                .hasSize(1);
        assertThat(losses.isLaterSession("wk-row", 0, 1)).isFalse();
        assertThat(losses.isLaterSession("wk-row", 0, 2)).isTrue();
        losses.recordPlaced(new Claim(job, 0, 2, "home", 2, 0));
        assertThat(losses.hasLostTasks("wk-row")).isFalse();
    }

    /** It reports, and has still to show its owner's term: up to a report interval, where a fixed 1.5 s sent its tasks elsewhere. */
    @Test
    void droppedTaskWaitsForAReportingMachineOnly() {
        dropTask(jobWithClaims("wk-lost", Map.of("pieces", 1L), "home"), 0);
        boolean[] reports = {true};
        Planner.SchedulingState waiting = schedulingState(t -> false, machine -> machine.equals("home") && reports[0]);
        List<Slot> slots = List.of(slot("other", 0, 4, 1));
        assertThat(planner.plan(new ArrayList<>(slots), waiting, List.of(), 4_000, NOW_MS)
                        .placements())
                .isEmpty();
        reports[0] = false;
        assertThat(planner.plan(new ArrayList<>(slots), waiting, List.of(), 4_000, NOW_MS)
                        .placements())
                .hasSize(1);
        reports[0] = true;
        assertThat(planner.plan(new ArrayList<>(slots), waiting, List.of(), 10_100, NOW_MS)
                        .placements())
                .as("no longer than dropped tasks are expected back")
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

    /** Proven gone, a task leaves its machine's room and its zone; its team's use only with its row. */
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
