package birchusher.placement;

import birchusher.lease.EstimateBias;
import birchusher.lease.LeaseSettings;
import birchusher.lease.LossRates;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.recovery.LostTasks;
import birchusher.settings.Settings;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreView;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;

/**
 * Plans, for all jobs of the cluster in one global order, a slot for each waiting task. Every controller computes the
 * same order but acts only on the jobs that it schedules, and so leaves capacity for the jobs ahead of its own. Not
 * thread-safe.
 */
public final class Planner {
    /** A task, the slot planned for it, and the expected delay until it can start there. */
    public record Placement(Job job, int task, Slot slot, double startDelayMs) {
        /**
         * Whether the slot's capacity is still expected soon although the job has waited for as long as that already:
         * other tasks have taken the capacity that became free.
         */
        boolean overdue(long wallTime) {
            return !slot.available && !slot.booting() && wallTime - job.acceptedAtMs > slot.type.rentBreakEvenMs();
        }
    }

    /** Tasks of a job without capacity, available or expected soon. */
    public record UnplacedTasks(Job job, int taskCount, boolean guaranteed) {}

    /**
     * The result of planning.
     *
     * @param placements in the order of the plan
     * @param unplaced tasks without capacity, by job
     * @param guaranteedJobs ids of the jobs within their team's guarantee
     * @param speedLimited placements on machines that may be too slow to finish the task within its lease cap
     * @param slotsExamined cost of the plan, by which planning is paced
     * @param bootingSlots slots of machines that boot
     */
    public record Plan(
            List<Placement> placements,
            List<UnplacedTasks> unplaced,
            Set<String> guaranteedJobs,
            long speedLimited,
            long slotsExamined,
            List<Slot> bootingSlots) {
        /**
         * The tasks to rent machines for: those without capacity and those that are overdue, less the overdue ones that
         * fit on booting machines. Without the overdue ones, hundreds of tasks once waited for minutes, always planned
         * on capacity expected soon, as new jobs took all the capacity that became free.
         */
        public List<UnplacedTasks> rentalDemand(long wallTime) {
            List<UnplacedTasks> demand = new ArrayList<>(unplaced);
            Map<Job, Integer> overdueTasks = new LinkedHashMap<>();
            Map<Slot, Slot.Snapshot> snapshots = new LinkedHashMap<>();
            for (Placement placement : placements) {
                if (placement.overdue(wallTime)) {
                    Slot bootingSlot = null;
                    for (Slot slot : bootingSlots) {
                        if (slot.fits(placement.job().spec) && slot.allows(placement.job().spec)) {
                            bootingSlot = slot;
                            break;
                        }
                    }
                    if (bootingSlot == null) {
                        overdueTasks.merge(placement.job(), 1, Integer::sum);
                    } else {
                        snapshots.putIfAbsent(bootingSlot, bootingSlot.snapshot());
                        bootingSlot.allocate(placement.job().spec);
                    }
                }
            }
            snapshots.forEach(Slot::restore);
            overdueTasks.forEach(
                    (job, count) -> demand.add(new UnplacedTasks(job, count, guaranteedJobs.contains(job.spec.id()))));
            return demand;
        }
    }

    /** State of the job scheduler that a plan depends on; queried once per job. */
    public interface SchedulingState {
        /** Tests which tasks of a job are offered or being claimed already; null if none are. */
        IntPredicate heldTasks(String job);

        /** Machines that recently refused offers of a job; null if there are none. */
        Set<String> refusedMachines(String job);

        /** Whether the job waits in its back-off after errors. */
        boolean backingOff(Job job);

        /** Whether all tasks of a job have failed so far. Only one of its tasks is then run at a time. */
        boolean probing(Job job);

        /**
         * Whether a machine reports in a session later than the given one but is not usable yet, because its worker has
         * not confirmed its owner's term.
         */
        default boolean reconnecting(String machine, long session) {
            return false;
        }
    }

    /**
     * The needs of a job that fit no slot. A job that needs at least as much and has no fewer constraints fits none
     * either.
     */
    private record UnplaceableNeed(JobSpec spec) {
        boolean covers(JobSpec other) {
            return other.cpus() >= spec.cpus()
                    && other.gpus() >= spec.gpus()
                    && other.memoryGb() >= spec.memoryGb()
                    && (spec.allowsSpot() || !other.allowsSpot())
                    && (spec.zone() < 0 || spec.zone() == other.zone())
                    && (spec.allowedTypes() == null || Arrays.equals(spec.allowedTypes(), other.allowedTypes()));
        }
    }

    private final Catalog catalog;
    private final StoreView view;
    private final EstimateBias estimateBias;
    private final LossRates lossRates;
    private final LostTasks lostTasks;
    private final RestorePlanner restorePlanner;
    private static final double DEFAULT_START_WITHIN_S = 600;
    /**
     * Weight of the slowdown of other fetches in the score of a batch task: it mostly delays several tasks, often
     * replicas.
     */
    private static final double BATCH_FETCH_SLOWDOWN_WEIGHT = 1.5;
    /**
     * Penalty for an entirely empty machine: a start may be this much later on a fuller machine, as an empty one can be
     * returned.
     */
    private static final double EMPTY_MACHINE_PENALTY_MS = 2_500;
    /** Factor by which the time that a job would occupy all machines makes it due later. */
    private static final double JOB_SIZE_WEIGHT = 10;
    /** A task is taken to run for at least 80 % of its expected run time, here in ms per second. */
    private static final double MIN_RUN_MS_PER_EXPECTED_S = 800;
    /** Penalty for capacity that is not available yet, besides the time until it is expected. */
    private static final double EXPECTED_CAPACITY_PENALTY_MS = 2_000;
    /** Additional weight of the time until capacity is expected. */
    private static final double EXPECTED_CAPACITY_DELAY_WEIGHT = 0.5;
    /** Penalty for a machine on which the task may exceed its lease cap. */
    private static final double LEASE_CAP_PENALTY_MS = 3_600_000;
    /** Penalty for a machine that is not a spot machine, for jobs that may use spot machines. */
    private static final double ON_DEMAND_PENALTY_MS = 300;
    /** Penalty for each task of a spread job that is in the zone already. */
    private static final double SAME_ZONE_PENALTY_MS = 500.0;
    /** Lower bound of a machine's speed in scores. */
    private static final double MIN_SPEED = 0.05;
    /**
     * Maximum number of a job's tasks that one plan places: more than are offered before the next plan. Planning tens
     * of thousands of tasks of one job cost more than all other jobs.
     */
    private static final int MAX_PLACEMENTS_PER_JOB = 1_000;

    private final LeaseSettings leaseSettings;
    /**
     * Time in seconds after which a job is due whatever its size, unless an objective of its class requires it earlier.
     */
    private final double startWithinS;
    /**
     * An objective of a job class: its jobs should have started, or be complete, within this time after their
     * submission.
     */
    private record ClassObjective(boolean forStart, double withinS) {}

    private final Int2ObjectOpenHashMap<List<ClassObjective>> objectivesByClass = new Int2ObjectOpenHashMap<>();

    /**
     * @param objectives only those for the start or the completion of a class's jobs are used
     * @param startWithinS time in seconds after which a job is due whatever its size
     */
    public Planner(
            Catalog catalog,
            StoreView view,
            EstimateBias estimateBias,
            LossRates lossRates,
            LostTasks lostTasks,
            LeaseSettings leaseSettings,
            List<Settings.Objective> objectives,
            double startWithinS) {
        this.startWithinS = startWithinS;
        this.catalog = catalog;
        this.view = view;
        this.estimateBias = estimateBias;
        this.lossRates = lossRates;
        this.lostTasks = lostTasks;
        restorePlanner = new RestorePlanner(lostTasks);
        this.leaseSettings = leaseSettings;
        for (Settings.Objective objective : objectives) {
            boolean forStart = objective.kind().equals("wait");
            if (objective.jobClass() != null && (forStart || objective.kind().equals("finished"))) {
                objectivesByClass
                        .computeIfAbsent(catalog.classes.add(objective.jobClass()), jobClass -> new ArrayList<>())
                        .add(new ClassObjective(forStart, objective.withinS()));
            }
        }
    }

    /** Expected run time of a task in seconds: the estimate, corrected by the observations of its class. */
    public double expectedRunS(JobSpec spec) {
        return spec.estimateS() * estimateBias.bias(spec.jobClass());
    }

    /** Ids of the open jobs that lie within their team's guarantee together with the team's earlier unfinished jobs. */
    public Set<String> guaranteedJobs() {
        double[][] usedByTeam = new double[catalog.teams.size()][2];
        List<Job> byAge = new ArrayList<>(view.jobs());
        byAge.sort((a, b) -> Long.compare(a.acceptedRevision, b.acceptedRevision));
        Set<String> guaranteed = new HashSet<>();
        for (Job job : byAge) {
            if (job.state() != Job.State.OPEN) {
                continue;
            }
            int unfinished = job.spec.tasks() - job.doneCount();
            double[] used = usedByTeam[job.spec.team()];
            used[0] += unfinished * job.spec.cpus();
            used[1] += unfinished * job.spec.gpus();
            if (catalog.withinGuarantee(job.spec.team(), used[0], used[1])) {
                guaranteed.add(job.spec.id());
            }
        }
        return guaranteed;
    }

    /**
     * The next wall-clock time by which a job's tasks have to start to keep its deadline or an objective of its class;
     * -1 if none can be kept any more. Such a job yields to those that can still be in time.
     */
    private long nextStartDeadlineMs(Job job, long wallTime) {
        long runMs = Math.round(expectedRunS(job.spec) * MIN_RUN_MS_PER_EXPECTED_S);
        long nextMs = Long.MAX_VALUE;
        boolean hasDeadline = false;
        List<ClassObjective> objectives = objectivesByClass.get(job.spec.jobClass());
        for (int i = -1; i < (objectives == null ? 0 : objectives.size()); i++) {
            double withinS = i < 0 ? job.spec.deadlineS() : objectives.get(i).withinS;
            if (withinS > 0) {
                hasDeadline = true;
                long startByMs = job.acceptedAtMs
                        + Math.round(withinS * 1000)
                        - (i >= 0 && objectives.get(i).forStart ? 0 : runMs);
                nextMs = startByMs >= wallTime ? Math.min(nextMs, startByMs) : nextMs;
            }
        }
        if (!hasDeadline || job.spec.isService() && nextMs == Long.MAX_VALUE) {
            return job.acceptedAtMs + Math.round(DEFAULT_START_WITHIN_S * 1000);
        }
        return nextMs == Long.MAX_VALUE ? -1 : nextMs;
    }

    /**
     * Time in ms by which a job's start may be delayed without missing its next deadline or objective;
     * {@code Double.MAX_VALUE} if there is none that it can keep.
     */
    double startSlackMs(Job job, long wallTime) {
        long startByMs = nextStartDeadlineMs(job, wallTime);
        return startByMs < 0 ? Double.MAX_VALUE : startByMs - wallTime;
    }

    private static boolean hasWaitingTasks(Job job) {
        return job.state() == Job.State.OPEN && job.doneCount() + job.placedCount() < job.spec.tasks();
    }

    /** Whether any job has tasks that are neither finished nor placed. */
    boolean anyWaiting() {
        for (Job job : view.jobs()) {
            if (hasWaitingTasks(job)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Due time of a job in the planning order, or -1 if it can keep no objective any more. A large job counts as due
     * later: when more work is due than can be done in time, a strict order of due times makes all jobs late, so the
     * job that yields should be one whose capacity lets many others be in time. A job that has not started by
     * {@code latestDueMs}, large or too late, is due at that time. Without this bound the largest jobs never started
     * under steady load.
     */
    private static long sizeAdjustedDueMs(long startByMs, double drainMs, long latestDueMs, long wallTime) {
        if (wallTime >= latestDueMs) {
            return startByMs < 0 ? latestDueMs : Math.min(startByMs, latestDueMs);
        }
        return startByMs < 0 ? startByMs : startByMs + Math.round(JOB_SIZE_WEIGHT * drainMs);
    }

    /**
     * Wall-clock time at which a job is due whatever its size, by the last start objective of its class or the
     * operators' property, whichever is earlier; {@code Long.MAX_VALUE} once it has started.
     */
    private long latestDueMs(Job job) {
        if (job.hasStarted()) {
            return Long.MAX_VALUE;
        }
        double withinS = 0;
        for (ClassObjective objective : objectivesByClass.getOrDefault(job.spec.jobClass(), List.of())) {
            withinS = objective.forStart ? Math.max(withinS, objective.withinS) : withinS;
        }
        return job.acceptedAtMs + Math.round(1000 * (withinS > 0 ? Math.min(withinS, startWithinS) : startWithinS));
    }

    /** Time in ms for which the unfinished tasks of a job would occupy all machines of the fleet. */
    private double drainMs(Job job, double fleetCpus, double fleetGpus) {
        int unfinished = job.spec.tasks() - job.doneCount();
        double share = Math.max(
                fleetCpus > 0 ? job.spec.cpus() / fleetCpus : 0, fleetGpus > 0 ? job.spec.gpus() / fleetGpus : 0);
        return job.spec.isService() ? 0 : unfinished * share * expectedRunS(job.spec) * 1000;
    }

    private List<RankedJob> rankJobs(List<Slot> slots, Set<String> guaranteed, long wallTime) {
        double fleetCpus = 0;
        double fleetGpus = 0;
        for (Slot slot : slots) {
            fleetCpus += slot.available ? slot.type.cpus() : 0;
            fleetGpus += slot.available ? slot.type.gpus() : 0;
        }
        List<RankedJob> ranked = new ArrayList<>();
        for (Job job : view.jobs()) {
            if (hasWaitingTasks(job)) {
                RankedJob rankedJob = new RankedJob(
                        job,
                        job.spec.priority() == Priority.PRODUCTION,
                        guaranteed.contains(job.spec.id()),
                        false,
                        sizeAdjustedDueMs(
                                nextStartDeadlineMs(job, wallTime),
                                drainMs(job, fleetCpus, fleetGpus),
                                latestDueMs(job),
                                wallTime));
                ranked.add(rankedJob);
                if (lostTasks.hasLostTasks(job.spec.id())) {
                    ranked.add(new RankedJob(job, rankedJob.production, rankedJob.guaranteed, true, rankedJob.dueMs));
                }
            }
        }
        ranked.sort(Planner::compareRank);
        return ranked;
    }

    /**
     * A job in the planning order. {@code restoring}: an entry for the job's dropped tasks only, to be placed where
     * they ran.
     */
    private record RankedJob(Job job, boolean production, boolean guaranteed, boolean restoring, long dueMs) {}

    private static int compareRank(RankedJob a, RankedJob b) {
        // Production precedes guarantees: a replica beyond its team's guarantee must not starve behind batch jobs.
        if (a.production != b.production) {
            return a.production ? -1 : 1;
        }
        if (a.guaranteed != b.guaranteed) {
            return a.guaranteed ? -1 : 1;
        }
        int byPriority = a.job.spec.priority().compareTo(b.job.spec.priority());
        if (byPriority != 0) {
            return byPriority;
        }
        if (a.restoring != b.restoring) {
            // A dropped task starts at once where it ran. If others got that capacity first, their images would have
            // to be fetched there, and the image of the dropped task elsewhere.
            return a.restoring ? -1 : 1;
        }
        if (a.dueMs < 0 != b.dueMs < 0) {
            return a.dueMs < 0 ? 1 : -1;
        }
        return a.dueMs != b.dueMs
                ? Long.compare(a.dueMs, b.dueMs)
                : Long.compare(a.job.acceptedRevision, b.job.acceptedRevision);
    }

    /**
     * Plans all waiting tasks. The free capacity of the slots is reduced by what is planned.
     *
     * @param inFlight tasks offered or being claimed, with their machines
     * @param now steady time in ms, for loss rates and lost tasks
     * @param wallTime wall-clock time in ms, for due times
     */
    public Plan plan(List<Slot> allSlots, SchedulingState state, List<Placement> inFlight, long now, long wallTime) {
        updateLossRates(now);
        Set<String> guaranteedJobs = guaranteedJobs();
        List<Placement> placements = new ArrayList<>();
        List<UnplacedTasks> unplaced = new ArrayList<>();
        List<UnplaceableNeed> unplaceableNeeds = new ArrayList<>();
        double[][] usedByTeam = new double[catalog.teams.size()][2];
        long speedLimited = 0;
        for (int team = 0; team < usedByTeam.length; team++) {
            usedByTeam[team][0] = view.claimedCpus(team);
            usedByTeam[team][1] = view.claimedGpus(team);
        }
        List<RankedJob> rankedJobs = rankJobs(allSlots, guaranteedJobs, wallTime);
        Slot[] slots = slotsWithCapacity(allSlots, rankedJobs);
        Map<String, List<Placement>> inFlightByJob = new HashMap<>();
        inFlight.forEach(placement -> inFlightByJob
                .computeIfAbsent(placement.job().spec.id(), key -> new ArrayList<>())
                .add(placement));
        slotsExamined = allSlots.size();
        Map<EquivalenceClass, CandidateHeap> heaps = new HashMap<>();
        Map<String, Set<Integer>> restoredTasks = new HashMap<>();
        restorePlanner.beginPlan(allSlots, state, now);
        for (RankedJob rankedJob : rankedJobs) {
            Job job = rankedJob.job;
            JobSpec spec = job.spec;
            if (state.backingOff(job)) {
                continue;
            }
            IntPredicate heldTasks = state.heldTasks(spec.id());
            Set<String> refusedMachines = state.refusedMachines(spec.id());
            if (rankedJob.restoring) {
                List<Placement> restored = restorePlanner.plan(
                        job,
                        heldTasks,
                        refusedMachines,
                        tasksByZone(job, inFlightByJob.getOrDefault(spec.id(), List.of())),
                        count -> exceedsLimit(spec, usedByTeam[spec.team()], count));
                restored.forEach(placement -> restoredTasks
                        .computeIfAbsent(spec.id(), key -> new HashSet<>())
                        .add(placement.task()));
                placements.addAll(restored);
                usedByTeam[spec.team()][0] += restored.size() * spec.cpus();
                usedByTeam[spec.team()][1] += restored.size() * spec.gpus();
                continue;
            }
            Set<Integer> restoredOfJob = restoredTasks.getOrDefault(spec.id(), Set.of());
            if (spec.isGang()) {
                if (job.placedCount() > 0
                        || !restoredOfJob.isEmpty()
                        || heldTasks != null && heldTasks.test(0)
                        || restorePlanner.awaitsMachine(spec.id(), 0)) {
                    continue;
                }
                List<Placement> gang = knownUnplaceable(spec, unplaceableNeeds)
                        ? null
                        : placeGang(job, slots, refusedMachines, usedByTeam[spec.team()]);
                if (gang != null) {
                    placements.addAll(gang);
                    usedByTeam[spec.team()][0] += spec.tasks() * spec.cpus();
                    usedByTeam[spec.team()][1] += spec.tasks() * spec.gpus();
                } else if (!exceedsLimit(spec, usedByTeam[spec.team()], spec.tasks())) {
                    unplaced.add(new UnplacedTasks(job, spec.tasks(), rankedJob.guaranteed));
                }
                continue;
            }
            Map<Integer, Integer> tasksByZone = tasksByZone(job, inFlightByJob.getOrDefault(spec.id(), List.of()));
            for (Placement placement : restoredOfJob.isEmpty() ? List.<Placement>of() : placements) {
                if (placement.job() == job) {
                    tasksByZone.merge(placement.slot().zone, 1, Integer::sum);
                }
            }
            CandidateHeap heap = null;
            int unplacedCount = 0;
            int placedCount = 0;
            int plannedCount = 0;
            boolean probing = state.probing(job);
            for (int task = 0; task < spec.tasks(); task++) {
                if (job.isDone(task) || job.isPlaced(task)) {
                    continue;
                }
                if (heldTasks != null && heldTasks.test(task)
                        || restoredOfJob.contains(task)
                        || restorePlanner.awaitsMachine(spec.id(), task)) {
                    // In flight already: no machine is to be rented for it.
                    placedCount++;
                    continue;
                }
                if (exceedsLimit(spec, usedByTeam[spec.team()], 1)
                        || probing && placedCount + job.placedCount() > 0
                        || plannedCount >= MAX_PLACEMENTS_PER_JOB) {
                    break;
                }
                Slot slot = null;
                if (spec.spread() || spec.oneZone()) {
                    slot = knownUnplaceable(spec, unplaceableNeeds)
                            ? null
                            : bestSlot(job, slots, tasksByZone, -1, refusedMachines);
                } else {
                    if (heap == null && !knownUnplaceable(spec, unplaceableNeeds)) {
                        heap = refusedMachines == null
                                ? heaps.computeIfAbsent(
                                        EquivalenceClass.of(spec),
                                        key -> new CandidateHeap(job, slots, refusedMachines))
                                : new CandidateHeap(job, slots, refusedMachines);
                        heap.switchTo(job);
                    }
                    slot = heap == null ? null : heap.first();
                    if (slot == null && refusedMachines == null) {
                        unplaceableNeeds.add(new UnplaceableNeed(spec));
                    }
                }
                if (slot == null) {
                    // The tasks of a job have equal needs: the rest does not fit either and need not be examined one by
                    // one.
                    unplacedCount = tasksWithinLimit(
                            spec,
                            usedByTeam[spec.team()],
                            probing ? 1 : spec.tasks() - job.doneCount() - job.placedCount() - placedCount);
                    usedByTeam[spec.team()][0] += unplacedCount * spec.cpus();
                    usedByTeam[spec.team()][1] += unplacedCount * spec.gpus();
                    break;
                }
                placedCount++;
                plannedCount++;
                usedByTeam[spec.team()][0] += spec.cpus();
                usedByTeam[spec.team()][1] += spec.gpus();
                if (!leaseSettings.fitsCap(spec, expectedRunS(spec), slot.speed)) {
                    speedLimited++;
                }
                double startDelayMs = slot.startDelayMs(spec);
                slot.allocate(spec);
                tasksByZone.merge(slot.zone, 1, Integer::sum);
                if (heap != null) {
                    heap.updateFirst();
                }
                placements.add(new Placement(job, task, slot, startDelayMs));
            }
            if (unplacedCount > 0) {
                unplaced.add(new UnplacedTasks(job, unplacedCount, rankedJob.guaranteed));
            }
        }
        return new Plan(
                placements,
                unplaced,
                guaranteedJobs,
                speedLimited,
                slotsExamined,
                allSlots.stream().filter(Slot::booting).toList());
    }

    private long slotsExamined;

    /**
     * Why the last plan placed a dropped task elsewhere than where it ran; null if it was not dropped recently or
     * returns there.
     */
    RestorePlanner.Obstacle restoreObstacle(Placement placement) {
        return restorePlanner.obstacle(placement.job().spec.id(), placement.task());
    }

    private static boolean knownUnplaceable(JobSpec spec, List<UnplaceableNeed> unplaceableNeeds) {
        for (UnplaceableNeed need : unplaceableNeeds) {
            if (need.covers(spec)) {
                return true;
            }
        }
        return false;
    }

    /** Slots that could hold the smallest waiting task. Most machines of a busy fleet are full. */
    private static Slot[] slotsWithCapacity(List<Slot> allSlots, List<RankedJob> rankedJobs) {
        double cpus = Double.MAX_VALUE;
        double gpus = Double.MAX_VALUE;
        double memoryGb = Double.MAX_VALUE;
        for (RankedJob rankedJob : rankedJobs) {
            cpus = Math.min(cpus, rankedJob.job.spec.cpus());
            gpus = Math.min(gpus, rankedJob.job.spec.gpus());
            memoryGb = Math.min(memoryGb, rankedJob.job.spec.memoryGb());
        }
        List<Slot> result = new ArrayList<>();
        for (Slot slot : allSlots) {
            if (slot.freeCpus + Catalog.EPSILON >= cpus
                    && slot.freeGpus + Catalog.EPSILON >= gpus
                    && slot.freeMemoryGb + Catalog.EPSILON >= memoryGb) {
                result.add(slot);
            }
        }
        return result.toArray(new Slot[0]);
    }

    private static final Map<Integer, Integer> NO_ZONES = Map.of();
    /** Increase of a score, in ms, that does not justify examining all slots again. */
    private static final double SCORE_TOLERANCE_MS = 500;

    /**
     * Jobs with equal needs and constraints share one scan of the slots. With a scan for each of many similar jobs,
     * plans were seconds apart for all jobs. Estimates are equal if they have the same power of two.
     */
    private record EquivalenceClass(
            int jobClass,
            int image,
            double cpus,
            double gpus,
            double memoryGb,
            List<Integer> allowedTypes,
            int zone,
            boolean allowsSpot,
            Priority priority,
            double checkpointIntervalS,
            int estimateExponent) {
        static EquivalenceClass of(JobSpec spec) {
            return new EquivalenceClass(
                    spec.jobClass(),
                    spec.image(),
                    spec.cpus(),
                    spec.gpus(),
                    spec.memoryGb(),
                    spec.allowedTypes() == null
                            ? null
                            : Arrays.stream(spec.allowedTypes()).boxed().toList(),
                    spec.zone(),
                    spec.allowsSpot(),
                    spec.priority(),
                    spec.checkpointIntervalS(),
                    Math.getExponent(spec.estimateS()));
        }
    }

    /**
     * The slots that the jobs of one equivalence class may use, best first. Placing a task changes only the score of
     * its own slot, so one heap serves all tasks.
     */
    private final class CandidateHeap {
        private Job job;
        private final Slot[] slots;
        private final double[] scores;
        private int size;

        CandidateHeap(Job job, Slot[] allSlots, Set<String> refusedMachines) {
            this.job = job;
            slots = new Slot[allSlots.length];
            scores = new double[allSlots.length];
            slotsExamined += allSlots.length;
            for (Slot slot : allSlots) {
                if (slot.fits(job.spec)
                        && slot.allows(job.spec)
                        && (refusedMachines == null || !refusedMachines.contains(slot.machine))) {
                    slots[size] = slot;
                    scores[size++] = scoreMs(job, slot, NO_ZONES);
                }
            }
            for (int i = size / 2 - 1; i >= 0; i--) {
                siftDown(i);
            }
        }

        /**
         * Switches to another job of the equivalence class. Other jobs have taken capacity in the meantime, so the
         * first slot is scored again before it is used.
         */
        void switchTo(Job nextJob) {
            if (nextJob == job) {
                return;
            }
            job = nextJob;
            while (size > 0) {
                slotsExamined++;
                if (!slots[0].fits(job.spec)) {
                    removeFirst();
                } else {
                    double previousMs = scores[0];
                    scores[0] = scoreMs(job, slots[0], NO_ZONES);
                    if (scores[0] <= previousMs + SCORE_TOLERANCE_MS) {
                        return;
                    }
                }
                siftDown(0);
            }
        }

        private void removeFirst() {
            size--;
            slots[0] = slots[size];
            scores[0] = scores[size];
        }

        Slot first() {
            return size == 0 ? null : slots[0];
        }

        void updateFirst() {
            slotsExamined++;
            if (slots[0].fits(job.spec)) {
                scores[0] = scoreMs(job, slots[0], NO_ZONES);
            } else {
                removeFirst();
            }
            siftDown(0);
            while (size > 0 && !slots[0].fits(job.spec)) {
                // Other jobs have taken the capacity since the scan.
                removeFirst();
                siftDown(0);
            }
        }

        private void siftDown(int start) {
            int parent = start;
            while (2 * parent + 1 < size) {
                int child = 2 * parent + 1;
                if (child + 1 < size && scores[child + 1] < scores[child]) {
                    child++;
                }
                if (scores[parent] <= scores[child]) {
                    return;
                }
                Slot slot = slots[parent];
                double scoreMs = scores[parent];
                slots[parent] = slots[child];
                scores[parent] = scores[child];
                slots[child] = slot;
                scores[child] = scoreMs;
                parent = child;
            }
        }
    }

    /** How many of {@code count} more tasks the team's limit allows. */
    private int tasksWithinLimit(JobSpec spec, double[] used, int count) {
        double allowed = count;
        double cpusMax = catalog.team(spec.team()).cpusMax();
        double gpusMax = catalog.team(spec.team()).gpusMax();
        if (cpusMax > 0 && spec.cpus() > 0) {
            allowed = Math.min(allowed, (cpusMax - used[0] + Catalog.EPSILON) / spec.cpus());
        }
        if (gpusMax > 0 && spec.gpus() > 0) {
            allowed = Math.min(allowed, (gpusMax - used[1] + Catalog.EPSILON) / spec.gpus());
        }
        return (int) Math.max(0, allowed);
    }

    private boolean exceedsLimit(JobSpec spec, double[] used, int count) {
        return Catalog.exceeds(catalog.team(spec.team()).cpusMax(), used[0] + count * spec.cpus())
                || Catalog.exceeds(catalog.team(spec.team()).gpusMax(), used[1] + count * spec.gpus());
    }

    /** Number of a job's recorded tasks in each zone, without the claims that {@code gone} accepts as proven gone. */
    public static Map<Integer, Integer> tasksByZone(
            Job job, IntUnaryOperator zoneOfShard, IntFunction<Chunk> chunks, Predicate<Claim> gone) {
        Map<Integer, Integer> counts = new HashMap<>();
        for (int i = 0; i < job.chunks.size(); i++) {
            Chunk chunk = chunks.apply(i);
            if (chunk != null) {
                for (Claim claim : chunk.claims.values()) {
                    if (!gone.test(claim)) {
                        counts.merge(zoneOfShard.applyAsInt(claim.shard()), 1, Integer::sum);
                    }
                }
            }
        }
        return counts;
    }

    private IntUnaryOperator zoneOfShard = i -> i;

    /** Sets the function that maps a shard to its zone. */
    public void zoneOfShard(IntUnaryOperator zoneOfShard) {
        this.zoneOfShard = zoneOfShard;
    }

    /** Number of a job's tasks in each zone, recorded and in flight. */
    public Map<Integer, Integer> tasksByZone(Job job, Iterable<Placement> inFlight) {
        Map<Integer, Integer> counts =
                tasksByZone(job, zoneOfShard, job.chunks::get, claim -> !job.isPlaced(claim.task()));
        for (Placement placement : inFlight) {
            if (placement.job().spec.id().equals(job.spec.id()) && !job.isPlaced(placement.task())) {
                counts.merge(placement.slot().zone, 1, Integer::sum);
            }
        }
        return counts;
    }

    private List<Placement> placeGang(Job job, Slot[] slots, Set<String> refusedMachines, double[] used) {
        if (exceedsLimit(job.spec, used, job.spec.tasks())) {
            return null;
        }
        List<Placement> best = null;
        double bestScoreMs = Double.MAX_VALUE;
        int firstZone = job.spec.oneZone() ? 0 : -1;
        int endZone = job.spec.oneZone() ? catalog.zones.size() : 0;
        for (int zone = firstZone; zone < endZone; zone++) {
            List<Placement> placements = new ArrayList<>();
            List<Slot.Snapshot> snapshots = new ArrayList<>();
            Map<Integer, Integer> tasksByZone = new HashMap<>();
            double worstScoreMs = 0;
            for (int task = 0; task < job.spec.tasks(); task++) {
                Slot slot = bestSlot(job, slots, tasksByZone, zone, refusedMachines);
                if (slot == null) {
                    break;
                }
                worstScoreMs = Math.max(worstScoreMs, scoreMs(job, slot, tasksByZone));
                double startDelayMs = slot.startDelayMs(job.spec);
                snapshots.add(slot.snapshot());
                slot.allocate(job.spec);
                tasksByZone.merge(slot.zone, 1, Integer::sum);
                placements.add(new Placement(job, task, slot, startDelayMs));
            }
            // In reverse order, so that a slot with several of the tasks is restored to its first state; a trial must
            // not leave planned fetches behind.
            for (int i = snapshots.size() - 1; i >= 0; i--) {
                placements.get(i).slot().restore(snapshots.get(i));
            }
            if (placements.size() == job.spec.tasks() && worstScoreMs < bestScoreMs) {
                best = placements;
                bestScoreMs = worstScoreMs;
            }
        }
        if (best != null) {
            best.forEach(placement -> placement.slot().allocate(job.spec));
        }
        return best;
    }

    private Slot bestSlot(
            Job job, Slot[] slots, Map<Integer, Integer> tasksByZone, int zone, Set<String> refusedMachines) {
        slotsExamined += slots.length;
        Slot best = null;
        double bestScoreMs = Double.MAX_VALUE;
        for (Slot slot : slots) {
            if (zone >= 0 && slot.zone != zone
                    || !slot.fits(job.spec)
                    || !slot.allows(job.spec)
                    || refusedMachines != null && refusedMachines.contains(slot.machine)) {
                continue;
            }
            if (!job.spec.allowsZone(tasksByZone, slot.zone)) {
                continue;
            }
            double slotScoreMs = scoreMs(job, slot, tasksByZone);
            if (slotScoreMs < bestScoreMs) {
                bestScoreMs = slotScoreMs;
                best = slot;
            }
        }
        return best;
    }

    /** Losses per second of run time by kind of machine, as of the start of the plan. */
    private double[] lossRatesByKind = new double[0];

    private void updateLossRates(long now) {
        int kindCount = 0;
        for (Catalog.MachineType type : catalog.types()) {
            kindCount = Math.max(kindCount, LossRates.kind(type.index(), true) + 1);
        }
        lossRatesByKind = lossRatesByKind.length == kindCount ? lossRatesByKind : new double[kindCount];
        for (int kind = 0; kind < kindCount; kind++) {
            lossRatesByKind[kind] = lossRates.lossesPerS(kind, now);
        }
    }

    /**
     * Score of a slot for a task in ms of expected delay; lower is better. Fuller machines are preferred, so that
     * others become empty.
     */
    private double scoreMs(Job job, Slot slot, Map<Integer, Integer> tasksByZone) {
        JobSpec spec = job.spec;
        double score = slot.startDelayMs(spec)
                + (spec.priority() == Priority.PRODUCTION ? 1 : BATCH_FETCH_SLOWDOWN_WEIGHT)
                        * slot.fetchSlowdownMs(spec);
        if (!slot.available) {
            // Expected capacity may become available late or be taken by another task.
            score += EXPECTED_CAPACITY_PENALTY_MS + EXPECTED_CAPACITY_DELAY_WEIGHT * slot.etaMs;
        }
        double expectedS = expectedRunS(spec);
        double runS = expectedS / Math.max(MIN_SPEED, slot.speed);
        score += (runS - expectedS) * 1000;
        if (!spec.isService()) {
            // Long tasks avoid machines that are often reclaimed by the cloud or whose tasks are often preempted.
            score += LossRates.expectedDelayS(
                            lossRatesByKind[LossRates.kind(slot.type.index(), slot.spot)],
                            runS,
                            spec.checkpointIntervalS())
                    * 1000;
        }
        if (!leaseSettings.fitsCap(spec, expectedS, slot.speed)) {
            // A machine on which the task may exceed its lease cap is used only if no faster one has capacity.
            score += LEASE_CAP_PENALTY_MS;
        }
        double leftShare = Math.max(
                (slot.freeCpus - spec.cpus()) / slot.type.cpus(),
                slot.type.gpus() > 0 ? (slot.freeGpus - spec.gpus()) / slot.type.gpus() : 0);
        score += leftShare * EMPTY_MACHINE_PENALTY_MS;
        if (spec.allowsSpot() && !slot.spot) {
            score += ON_DEMAND_PENALTY_MS;
        }
        if (spec.spread()) {
            score += tasksByZone.getOrDefault(slot.zone, 0) * SAME_ZONE_PENALTY_MS;
        }
        return score;
    }
}
