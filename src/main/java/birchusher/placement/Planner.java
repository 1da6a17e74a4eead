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
 * Works out, for all jobs in one global order, where each waiting task would go. Every controller computes the same
 * order, acts only on the jobs it drives, and so leaves room for the jobs ahead of its own.
 */
public final class Planner {
    /** A task and where it goes. */
    public record Placement(Job job, int task, Slot slot, double startDelayMs) {
        /** "Soon" again, though the job has waited for as long as that already: others came for the room that freed. */
        boolean overdue(long wall) {
            return !slot.available && !slot.booting() && wall - job.acceptedAtMs > slot.type.rentBreakEvenMs();
        }
    }

    /** Tasks of a job that found no room, not even soon. */
    public record UnplacedTasks(Job job, int taskCount, boolean guaranteed) {}

    /** {@code work} counts the slots looked at, so that planning can be paced by what it costs. */
    public record Plan(
            List<Placement> placements,
            List<UnplacedTasks> unplaced,
            Set<String> guaranteedJobs,
            long speedLimited,
            long slotsExamined,
            List<Slot> bootingSlots) {
        /**
         * What machines should be bought for: tasks without room, and those that keep being planned to room that frees soon,
         * less what the machines that boot already have room for. Without the second, hundreds of tasks once waited for
         * minutes, always "soon" placed, as new work came for all the room that freed.
         */
        public List<UnplacedTasks> rentalDemand(long wall) {
            List<UnplacedTasks> l = new ArrayList<>(unplaced);
            Map<Job, Integer> overdue = new LinkedHashMap<>();
            Map<Slot, Slot.Snapshot> taken = new LinkedHashMap<>();
            for (Placement c : placements) {
                if (c.overdue(wall)) {
                    Slot coming = null;
                    for (Slot s : bootingSlots) {
                        if (s.fits(c.job().spec) && s.allows(c.job().spec)) {
                            coming = s;
                            break;
                        }
                    }
                    if (coming == null) {
                        overdue.merge(c.job(), 1, Integer::sum);
                    } else {
                        taken.putIfAbsent(coming, coming.snapshot());
                        coming.allocate(c.job().spec);
                    }
                }
            }
            taken.forEach(Slot::restore);
            overdue.forEach((j, n) -> l.add(new UnplacedTasks(j, n, guaranteedJobs.contains(j.spec.id()))));
            return l;
        }
    }

    /** What this controller has under way, asked for once per job. */
    public interface SchedulingState {
        /** Which tasks of a job are offered or being claimed already; null: none. */
        IntPredicate heldTasks(String job);

        /** Machines that lately refused a job; null: none. */
        Set<String> refusedMachines(String job);

        /** Whether a job backs off. */
        boolean backingOff(Job j);

        /** Whether a job has only failed so far: then one task at a time shows whether it still does. */
        boolean probing(Job j);

        /**
         * Whether a machine reports in a session later than the given one and is only not usable yet: its worker has still to show
         * its owner's term.
         */
        default boolean reconnecting(String machine, long session) {
            return false;
        }
    }

    /** A need that found no room; whatever needs as much and is allowed no more finds none either. */
    private record UnplaceableNeed(JobSpec spec) {
        boolean covers(JobSpec o) {
            return o.cpus() >= spec.cpus()
                    && o.gpus() >= spec.gpus()
                    && o.memoryGb() >= spec.memoryGb()
                    && (spec.allowsSpot() || !o.allowsSpot())
                    && (spec.zone() < 0 || spec.zone() == o.zone())
                    && (spec.allowedTypes() == null || Arrays.equals(spec.allowedTypes(), o.allowedTypes()));
        }
    }

    private final Catalog catalog;
    private final StoreView view;
    private final EstimateBias speeds;
    private final LossRates hazards;
    private final LostTasks losses;
    private final RestorePlanner restorePlanner;
    private static final double DEFAULT_START_WITHIN_S = 600;
    /** Batch work that slows down fetches mostly holds up several tasks, often replicas. */
    private static final double BATCH_FETCH_SLOWDOWN_WEIGHT = 1.5;
    /** A start may be this much later on a fuller machine, as an empty one can be returned. */
    private static final double EMPTY_MACHINE_PENALTY_MS = 2_500;
    /** By how many times the time that a job would take all machines it counts as due later. */
    private static final double JOB_SIZE_WEIGHT = 10;
    /** So many tasks of a job are given places in one plan: more than are offered before the next. Tens of thousands cost more than all others. */
    private static final int MAX_PLACEMENTS_PER_JOB = 1_000;

    private final LeaseSettings leaseSettings;
    /** By when, in s, a job is to begin whatever its size, where no aim of its class says so. */
    private final double startWithinS;
    /** What a class's jobs should keep: to have started, or to be complete, so long after their submission. */
    private record ClassObjective(boolean forStart, double withinS) {}

    private final Int2ObjectOpenHashMap<List<ClassObjective>> objectivesByClass = new Int2ObjectOpenHashMap<>();

    public Planner(
            Catalog catalog,
            StoreView view,
            EstimateBias speeds,
            LossRates hazards,
            LostTasks losses,
            LeaseSettings terms,
            List<Settings.Objective> objectives,
            double beginByS) {
        this.startWithinS = beginByS;
        this.catalog = catalog;
        this.view = view;
        this.speeds = speeds;
        this.hazards = hazards;
        this.losses = losses;
        restorePlanner = new RestorePlanner(losses);
        this.leaseSettings = terms;
        for (Settings.Objective o : objectives) {
            boolean start = o.kind().equals("wait");
            if (o.cls() != null && (start || o.kind().equals("finished"))) {
                objectivesByClass
                        .computeIfAbsent(catalog.classes.add(o.cls()), c -> new ArrayList<>())
                        .add(new ClassObjective(start, o.withinS()));
            }
        }
    }

    public double expectedRunS(JobSpec j) {
        return j.estimateS() * speeds.bias(j.jobClass());
    }

    /** Ids of the open jobs that lie within their team's guarantee together with the team's earlier unfinished jobs. */
    public Set<String> guaranteedJobs() {
        double[][] sum = new double[catalog.teams.size()][2];
        List<Job> byAge = new ArrayList<>(view.jobs());
        byAge.sort((a, b) -> Long.compare(a.acceptedRevision, b.acceptedRevision));
        Set<String> in = new HashSet<>();
        for (Job j : byAge) {
            if (j.state() != Job.State.OPEN) {
                continue;
            }
            int left = j.spec.tasks() - j.doneCount();
            double[] s = sum[j.spec.team()];
            s[0] += left * j.spec.cpus();
            s[1] += left * j.spec.gpus();
            if (catalog.withinGuarantee(j.spec.team(), s[0], s[1])) {
                in.add(j.spec.id());
            }
        }
        return in;
    }

    /**
     * The next moment by which a job's tasks have to start if it is to keep its deadline or one of its class's aims. -1 if
     * none can be kept any more: such a job makes way for those that can still be in time.
     */
    private long nextStartDeadlineMs(Job j, long wall) {
        long run = Math.round(expectedRunS(j.spec) * 800);
        long next = Long.MAX_VALUE;
        boolean any = false;
        List<ClassObjective> list = objectivesByClass.get(j.spec.jobClass());
        for (int i = -1; i < (list == null ? 0 : list.size()); i++) {
            double s = i < 0 ? j.spec.deadlineS() : list.get(i).withinS;
            if (s > 0) {
                any = true;
                long at = j.acceptedAtMs + Math.round(s * 1000) - (i >= 0 && list.get(i).forStart ? 0 : run);
                next = at >= wall ? Math.min(next, at) : next;
            }
        }
        if (!any || j.spec.isService() && next == Long.MAX_VALUE) {
            return j.acceptedAtMs + Math.round(DEFAULT_START_WITHIN_S * 1000);
        }
        return next == Long.MAX_VALUE ? -1 : next;
    }

    /** How much later a job may start and still keep its next aim; without end if there is none that it can keep. */
    double startSlackMs(Job j, long wall) {
        long by = nextStartDeadlineMs(j, wall);
        return by < 0 ? Double.MAX_VALUE : by - wall;
    }

    private static boolean hasWaitingTasks(Job j) {
        return j.state() == Job.State.OPEN && j.doneCount() + j.placedCount() < j.spec.tasks();
    }

    /** Whether any task has no place yet. */
    boolean anyWaiting() {
        for (Job j : view.jobs()) {
            if (hasWaitingTasks(j)) {
                return true;
            }
        }
        return false;
    }

    /**
     * A large job counts as due later. When more is due than can be done in time, strictly by due time everybody is late; whoever
     * gives way should be the one for whose work many others can be in time. That ages away, for large ones as for those that can
     * keep no aim any more: what has not begun by {@code latest} was due then. Without this, under steady load the largest never began.
     */
    private static long sizeAdjustedDueMs(long startBy, double drainMs, long latest, long wall) {
        if (wall >= latest) {
            return startBy < 0 ? latest : Math.min(startBy, latest);
        }
        return startBy < 0 ? startBy : startBy + Math.round(JOB_SIZE_WEIGHT * drainMs);
    }

    /** When a job is due at the latest whatever its size: by the last aim for its class's starts, or the operators' property. */
    private long latestDueMs(Job j) {
        if (j.hasStarted()) {
            return Long.MAX_VALUE;
        }
        double s = 0;
        for (ClassObjective a : objectivesByClass.getOrDefault(j.spec.jobClass(), List.of())) {
            s = a.forStart ? Math.max(s, a.withinS) : s;
        }
        return j.acceptedAtMs + Math.round(1000 * (s > 0 ? Math.min(s, startWithinS) : startWithinS));
    }

    /** For how long all machines together would be busy with what is left of a job, in ms. */
    private double drainMs(Job j, double cpus, double gpus) {
        int left = j.spec.tasks() - j.doneCount();
        double each = Math.max(cpus > 0 ? j.spec.cpus() / cpus : 0, gpus > 0 ? j.spec.gpus() / gpus : 0);
        return j.spec.isService() ? 0 : left * each * expectedRunS(j.spec) * 1000;
    }

    private List<RankedJob> rankJobs(List<Slot> slots, Set<String> guaranteed, long wall) {
        double cpus = 0;
        double gpus = 0;
        for (Slot s : slots) {
            cpus += s.available ? s.type.cpus() : 0;
            gpus += s.available ? s.type.gpus() : 0;
        }
        List<RankedJob> ranked = new ArrayList<>();
        for (Job j : view.jobs()) {
            if (hasWaitingTasks(j)) {
                RankedJob r = new RankedJob(
                        j,
                        j.spec.priority() == Priority.PRODUCTION,
                        guaranteed.contains(j.spec.id()),
                        false,
                        sizeAdjustedDueMs(nextStartDeadlineMs(j, wall), drainMs(j, cpus, gpus), latestDueMs(j), wall));
                ranked.add(r);
                if (losses.hasLostTasks(j.spec.id())) {
                    ranked.add(new RankedJob(j, r.production, r.guaranteed, true, r.dueMs));
                }
            }
        }
        ranked.sort(Planner::compareRank);
        return ranked;
    }

    /** {@code back}: only the tasks that their workers dropped, and only where they ran. */
    private record RankedJob(Job job, boolean production, boolean guaranteed, boolean restoring, long dueMs) {}

    private static int compareRank(RankedJob a, RankedJob b) {
        // Production goes before guarantees: a replica beyond its team's guarantee must not starve behind batch work.
        if (a.production != b.production) {
            return a.production ? -1 : 1;
        }
        if (a.guaranteed != b.guaranteed) {
            return a.guaranteed ? -1 : 1;
        }
        int p = a.job.spec.priority().compareTo(b.job.spec.priority());
        if (p != 0) {
            return p;
        }
        if (a.restoring != b.restoring) {
            // It starts at once where it ran; given to others first, its room waits for their images, and it for
            // another room and image.
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
     * @param now steady time, for what has been seen of losses
     * @param wall time of day, for due times
     * @param underway tasks offered or being claimed, with their machines
     */
    public Plan plan(List<Slot> all, SchedulingState marks, List<Placement> underway, long now, long wall) {
        updateLossRates(now);
        Set<String> guaranteed = guaranteedJobs();
        List<Placement> choices = new ArrayList<>();
        List<UnplacedTasks> unplaced = new ArrayList<>();
        List<UnplaceableNeed> misfits = new ArrayList<>();
        double[][] use = new double[catalog.teams.size()][2];
        long limited = 0;
        for (int t = 0; t < use.length; t++) {
            use[t][0] = view.claimedCpus(t);
            use[t][1] = view.claimedGpus(t);
        }
        List<RankedJob> order = rankJobs(all, guaranteed, wall);
        Slot[] slots = slotsWithCapacity(all, order);
        Map<String, List<Placement>> underwayOf = new HashMap<>();
        underway.forEach(c -> underwayOf
                .computeIfAbsent(c.job().spec.id(), k -> new ArrayList<>())
                .add(c));
        slotsExamined = all.size();
        Map<EquivalenceClass, CandidateHeap> alike = new HashMap<>();
        Map<String, Set<Integer>> back = new HashMap<>();
        restorePlanner.beginPlan(all, marks, now);
        for (RankedJob r : order) {
            Job j = r.job;
            JobSpec s = j.spec;
            if (marks.backingOff(j)) {
                continue;
            }
            IntPredicate held = marks.heldTasks(s.id());
            Set<String> refused = marks.refusedMachines(s.id());
            if (r.restoring) {
                List<Placement> home = restorePlanner.plan(
                        j,
                        held,
                        refused,
                        tasksByZone(j, underwayOf.getOrDefault(s.id(), List.of())),
                        n -> exceedsLimit(s, use[s.team()], n));
                home.forEach(
                        c -> back.computeIfAbsent(s.id(), k -> new HashSet<>()).add(c.task()));
                choices.addAll(home);
                use[s.team()][0] += home.size() * s.cpus();
                use[s.team()][1] += home.size() * s.gpus();
                continue;
            }
            Set<Integer> isBack = back.getOrDefault(s.id(), Set.of());
            if (s.isGang()) {
                if (j.placedCount() > 0
                        || !isBack.isEmpty()
                        || held != null && held.test(0)
                        || restorePlanner.awaitsMachine(s.id(), 0)) {
                    continue;
                }
                List<Placement> gang =
                        knownUnplaceable(s, misfits) ? null : placeGang(j, slots, refused, use[s.team()]);
                if (gang != null) {
                    choices.addAll(gang);
                    use[s.team()][0] += s.tasks() * s.cpus();
                    use[s.team()][1] += s.tasks() * s.gpus();
                } else if (!exceedsLimit(s, use[s.team()], s.tasks())) {
                    unplaced.add(new UnplacedTasks(j, s.tasks(), r.guaranteed));
                }
                continue;
            }
            Map<Integer, Integer> zones = tasksByZone(j, underwayOf.getOrDefault(s.id(), List.of()));
            for (Placement c : isBack.isEmpty() ? List.<Placement>of() : choices) {
                if (c.job() == j) {
                    zones.merge(c.slot().zone, 1, Integer::sum);
                }
            }
            CandidateHeap candidates = null;
            int missing = 0;
            int placed = 0;
            int chosen = 0;
            boolean doubted = marks.probing(j);
            for (int task = 0; task < s.tasks(); task++) {
                if (j.isDone(task) || j.isPlaced(task)) {
                    continue;
                }
                if (held != null && held.test(task)
                        || isBack.contains(task)
                        || restorePlanner.awaitsMachine(s.id(), task)) {
                    // On its way already: not to be bought for.
                    placed++;
                    continue;
                }
                if (exceedsLimit(s, use[s.team()], 1)
                        || doubted && placed + j.placedCount() > 0
                        || chosen >= MAX_PLACEMENTS_PER_JOB) {
                    break;
                }
                Slot slot = null;
                if (s.spread() || s.oneZone()) {
                    slot = knownUnplaceable(s, misfits) ? null : bestSlot(j, slots, zones, -1, refused);
                } else {
                    if (candidates == null && !knownUnplaceable(s, misfits)) {
                        candidates = refused == null
                                ? alike.computeIfAbsent(
                                        EquivalenceClass.of(s), k -> new CandidateHeap(j, slots, refused))
                                : new CandidateHeap(j, slots, refused);
                        candidates.switchTo(j);
                    }
                    slot = candidates == null ? null : candidates.first();
                    if (slot == null && refused == null) {
                        misfits.add(new UnplaceableNeed(s));
                    }
                }
                if (slot == null) {
                    // Its tasks are all alike: the rest finds no room either, and need not be looked at one by one.
                    missing = tasksWithinLimit(
                            s, use[s.team()], doubted ? 1 : s.tasks() - j.doneCount() - j.placedCount() - placed);
                    use[s.team()][0] += missing * s.cpus();
                    use[s.team()][1] += missing * s.gpus();
                    break;
                }
                placed++;
                chosen++;
                use[s.team()][0] += s.cpus();
                use[s.team()][1] += s.gpus();
                if (!leaseSettings.fitsCap(s, expectedRunS(s), slot.speed)) {
                    limited++;
                }
                double delay = slot.startDelayMs(s);
                slot.allocate(s);
                zones.merge(slot.zone, 1, Integer::sum);
                if (candidates != null) {
                    candidates.updateFirst();
                }
                choices.add(new Placement(j, task, slot, delay));
            }
            if (missing > 0) {
                unplaced.add(new UnplacedTasks(j, missing, r.guaranteed));
            }
        }
        return new Plan(
                choices,
                unplaced,
                guaranteed,
                limited,
                slotsExamined,
                all.stream().filter(Slot::booting).toList());
    }

    private long slotsExamined;

    /** Why the last plan sent a dropped task elsewhere than where it ran; null if it was not dropped lately or goes back. */
    RestorePlanner.Obstacle restoreObstacle(Placement choice) {
        return restorePlanner.obstacle(choice.job().spec.id(), choice.task());
    }

    private static boolean knownUnplaceable(JobSpec s, List<UnplaceableNeed> misfits) {
        for (UnplaceableNeed m : misfits) {
            if (m.covers(s)) {
                return true;
            }
        }
        return false;
    }

    /** Only slots that could take the smallest waiting task: full machines are most of a busy fleet. */
    private static Slot[] slotsWithCapacity(List<Slot> all, List<RankedJob> order) {
        double cpus = Double.MAX_VALUE;
        double gpus = Double.MAX_VALUE;
        double mem = Double.MAX_VALUE;
        for (RankedJob r : order) {
            cpus = Math.min(cpus, r.job.spec.cpus());
            gpus = Math.min(gpus, r.job.spec.gpus());
            mem = Math.min(mem, r.job.spec.memoryGb());
        }
        List<Slot> l = new ArrayList<>();
        for (Slot s : all) {
            if (s.freeCpus + Catalog.EPSILON >= cpus
                    && s.freeGpus + Catalog.EPSILON >= gpus
                    && s.freeMemoryGb + Catalog.EPSILON >= mem) {
                l.add(s);
            }
        }
        return l.toArray(new Slot[0]);
    }

    private static final Map<Integer, Integer> NO_ZONES = Map.of();
    /** A difference in delay that is not worth looking at all slots again. */
    private static final double SCORE_TOLERANCE_MS = 500;

    /**
     * Jobs that need and may use the same: all of a swarm. Each looked at every slot by itself, and plans came seconds apart for
     * everybody. Estimates count by their power of two.
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
        static EquivalenceClass of(JobSpec s) {
            return new EquivalenceClass(
                    s.jobClass(),
                    s.image(),
                    s.cpus(),
                    s.gpus(),
                    s.memoryGb(),
                    s.allowedTypes() == null
                            ? null
                            : Arrays.stream(s.allowedTypes()).boxed().toList(),
                    s.zone(),
                    s.allowsSpot(),
                    s.priority(),
                    s.checkpointIntervalS(),
                    Math.getExponent(s.estimateS()));
        }
    }

    /** The slots one job, or several alike, may use, best first. Taking a task changes only its own slot's score, so a heap serves all tasks. */
    private final class CandidateHeap {
        private Job job;
        private final Slot[] slots;
        private final double[] scores;
        private int size;

        CandidateHeap(Job j, Slot[] all, Set<String> refused) {
            job = j;
            slots = new Slot[all.length];
            scores = new double[all.length];
            slotsExamined += all.length;
            for (Slot s : all) {
                if (s.fits(j.spec) && s.allows(j.spec) && (refused == null || !refused.contains(s.machine))) {
                    slots[size] = s;
                    scores[size++] = scoreMs(j, s, NO_ZONES);
                }
            }
            for (int i = size / 2 - 1; i >= 0; i--) {
                siftDown(i);
            }
        }

        /** Another job like the first. Others have taken room meanwhile: what comes first is looked at again before it is given. */
        void switchTo(Job j) {
            if (j == job) {
                return;
            }
            job = j;
            while (size > 0) {
                slotsExamined++;
                if (!slots[0].fits(job.spec)) {
                    removeFirst();
                } else {
                    double before = scores[0];
                    scores[0] = scoreMs(job, slots[0], NO_ZONES);
                    if (scores[0] <= before + SCORE_TOLERANCE_MS) {
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
                // Taken by others since the first of several jobs alike looked.
                removeFirst();
                siftDown(0);
            }
        }

        private void siftDown(int from) {
            int i = from;
            while (2 * i + 1 < size) {
                int c = 2 * i + 1;
                if (c + 1 < size && scores[c + 1] < scores[c]) {
                    c++;
                }
                if (scores[i] <= scores[c]) {
                    return;
                }
                Slot s = slots[i];
                double d = scores[i];
                slots[i] = slots[c];
                scores[i] = scores[c];
                slots[c] = s;
                scores[c] = d;
                i = c;
            }
        }
    }

    /** How many of n more tasks a team's limit allows. */
    private int tasksWithinLimit(JobSpec s, double[] use, int n) {
        double most = n;
        double cpusMax = catalog.team(s.team()).cpusMax();
        double gpusMax = catalog.team(s.team()).gpusMax();
        if (cpusMax > 0 && s.cpus() > 0) {
            most = Math.min(most, (cpusMax - use[0] + Catalog.EPSILON) / s.cpus());
        }
        if (gpusMax > 0 && s.gpus() > 0) {
            most = Math.min(most, (gpusMax - use[1] + Catalog.EPSILON) / s.gpus());
        }
        return (int) Math.max(0, most);
    }

    private boolean exceedsLimit(JobSpec s, double[] use, int n) {
        return Catalog.exceeds(catalog.team(s.team()).cpusMax(), use[0] + n * s.cpus())
                || Catalog.exceeds(catalog.team(s.team()).gpusMax(), use[1] + n * s.gpus());
    }

    /** How many tasks of a job are recorded in each zone; whatever is not proven gone counts. */
    public static Map<Integer, Integer> tasksByZone(
            Job j, IntUnaryOperator zoneOfShard, IntFunction<Chunk> chunks, Predicate<Claim> gone) {
        Map<Integer, Integer> n = new HashMap<>();
        for (int i = 0; i < j.chunks.size(); i++) {
            Chunk c = chunks.apply(i);
            if (c != null) {
                for (Claim x : c.claims.values()) {
                    if (!gone.test(x)) {
                        n.merge(zoneOfShard.applyAsInt(x.shard()), 1, Integer::sum);
                    }
                }
            }
        }
        return n;
    }

    private IntUnaryOperator zoneOfShard = i -> i;

    public void zoneOfShard(IntUnaryOperator f) {
        zoneOfShard = f;
    }

    /** Zones of a job's recorded tasks, and of those on their way into a record. */
    public Map<Integer, Integer> tasksByZone(Job j, Iterable<Placement> underway) {
        Map<Integer, Integer> n = tasksByZone(j, zoneOfShard, j.chunks::get, x -> !j.isPlaced(x.task()));
        for (Placement c : underway) {
            if (c.job().spec.id().equals(j.spec.id()) && !j.isPlaced(c.task())) {
                n.merge(c.slot().zone, 1, Integer::sum);
            }
        }
        return n;
    }

    private List<Placement> placeGang(Job j, Slot[] slots, Set<String> refused, double[] use) {
        if (exceedsLimit(j.spec, use, j.spec.tasks())) {
            return null;
        }
        List<Placement> best = null;
        double bestScore = Double.MAX_VALUE;
        int from = j.spec.oneZone() ? 0 : -1;
        int to = j.spec.oneZone() ? catalog.zones.size() : 0;
        for (int zone = from; zone < to; zone++) {
            List<Placement> got = new ArrayList<>();
            List<Slot.Snapshot> marks = new ArrayList<>();
            Map<Integer, Integer> zones = new HashMap<>();
            double worst = 0;
            for (int task = 0; task < j.spec.tasks(); task++) {
                Slot slot = bestSlot(j, slots, zones, zone, refused);
                if (slot == null) {
                    break;
                }
                worst = Math.max(worst, scoreMs(j, slot, zones));
                double delay = slot.startDelayMs(j.spec);
                marks.add(slot.snapshot());
                slot.allocate(j.spec);
                zones.merge(slot.zone, 1, Integer::sum);
                got.add(new Placement(j, task, slot, delay));
            }
            // Backwards, so that a slot taken twice ends as it was; a trial must not leave fetches that nobody plans.
            for (int i = marks.size() - 1; i >= 0; i--) {
                got.get(i).slot().restore(marks.get(i));
            }
            if (got.size() == j.spec.tasks() && worst < bestScore) {
                best = got;
                bestScore = worst;
            }
        }
        if (best != null) {
            best.forEach(c -> c.slot().allocate(j.spec));
        }
        return best;
    }

    private Slot bestSlot(Job j, Slot[] slots, Map<Integer, Integer> zones, int zone, Set<String> refused) {
        slotsExamined += slots.length;
        Slot best = null;
        double bestScore = Double.MAX_VALUE;
        for (Slot s : slots) {
            if (zone >= 0 && s.zone != zone
                    || !s.fits(j.spec)
                    || !s.allows(j.spec)
                    || refused != null && refused.contains(s.machine)) {
                continue;
            }
            if (!j.spec.allowsZone(zones, s.zone)) {
                continue;
            }
            double score = scoreMs(j, s, zones);
            if (score < bestScore) {
                bestScore = score;
                best = s;
            }
        }
        return best;
    }

    /** Per kind of machine the rate of losses, as it is when a plan begins. */
    private double[] lossRates = new double[0];

    private void updateLossRates(long now) {
        int n = 0;
        for (Catalog.MachineType t : catalog.types()) {
            n = Math.max(n, LossRates.kind(t.index(), true) + 1);
        }
        lossRates = lossRates.length == n ? lossRates : new double[n];
        for (int i = 0; i < n; i++) {
            lossRates[i] = hazards.lossesPerS(i, now);
        }
    }

    /** Lower is better, in ms of expected delay; ties go to full machines, so that others become empty. */
    private double scoreMs(Job j, Slot s, Map<Integer, Integer> zones) {
        JobSpec spec = j.spec;
        double score = s.startDelayMs(spec)
                + (spec.priority() == Priority.PRODUCTION ? 1 : BATCH_FETCH_SLOWDOWN_WEIGHT) * s.fetchSlowdownMs(spec);
        if (!s.available) {
            // Room that is only expected may come late or go to somebody else.
            score += 2_000 + 0.5 * s.etaMs;
        }
        double expected = expectedRunS(spec);
        double run = expected / Math.max(0.05, s.speed);
        score += (run - expected) * 1000;
        if (!spec.isService()) {
            // Long tasks keep off machines that are often taken back, or emptied for work of higher priority.
            score += LossRates.expectedDelayS(
                            lossRates[LossRates.kind(s.type.index(), s.spot)], run, spec.checkpointIntervalS())
                    * 1000;
        }
        if (!leaseSettings.fitsCap(spec, expected, s.speed)) {
            // The gate: such a machine is taken only when no capable one has room.
            score += 3_600_000;
        }
        double left = Math.max(
                (s.freeCpus - spec.cpus()) / s.type.cpus(),
                s.type.gpus() > 0 ? (s.freeGpus - spec.gpus()) / s.type.gpus() : 0);
        score += left * EMPTY_MACHINE_PENALTY_MS;
        if (spec.allowsSpot() && !s.spot) {
            score += 300;
        }
        if (spec.spread()) {
            score += zones.getOrDefault(s.zone, 0) * 500.0;
        }
        return score;
    }
}
