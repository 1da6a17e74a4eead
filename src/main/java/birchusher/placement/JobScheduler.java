package birchusher.placement;

import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.mesh.PeerRecord;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.model.Shape;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.store.Change;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.workers.Counters;
import birchusher.workers.MachineStatus;
import birchusher.workers.WorkerRegistry;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Places the tasks of the jobs this controller drives: plan, offer to the machines' owners, claim by one transaction. */
public final class JobScheduler {
    private static final Logger LOG = LoggerFactory.getLogger(JobScheduler.class);
    private static final int MAX_OFFERED_TASKS = 400;
    /** Offers under way that are always allowed in a return, however scarce changes are. */
    private static final int MIN_OPEN_BATCHES = 8;
    /** Waiting jobs for which one plan looks for work to stop. */
    private static final int MAX_PREEMPTION_REQUESTS = 12;

    private static final int MAX_PREEMPTIONS_PER_PLAN = 8;
    /** A job that has asked for others' room does not ask again before it can be seen what came of it. */
    private static final long PREEMPTION_RETRY_MS = 3_000;

    private static final String JOB_NOT_IN_VIEW = "job not known yet";

    /** Sends a record to a member; index 0 is ourselves. */
    public interface PeerSender {
        void send(int member, PeerRecord r);
    }

    /** Tasks of one job offered together; for a gang all of them must be accepted. */
    private static final class OfferBatch {
        final Job job;
        final List<Planner.Placement> placements;
        final Map<Integer, Long> acceptedTerms = new TreeMap<>();
        /** Counts on room that the owners make once its claim stands. */
        final boolean withPreemption;

        int awaitedReplies;
        boolean anyRefused;
        long offeredAtMs;

        OfferBatch(Job job, List<Planner.Placement> choices, boolean makesRoom, long since) {
            this.job = job;
            this.placements = choices;
            this.withPreemption = makesRoom;
            this.offeredAtMs = since;
        }
    }

    /** A job that would be served late, by how much, and whether it lies within its team's guarantee. */
    private record PreemptionRequest(Job job, boolean guaranteed, double delayS) {}

    /** So many errors without a task that ended well are more than one faulty machine at the beginning makes. */
    private static final int PROBE_AFTER_ERRORS = 6;

    private record PendingOffer(OfferBatch batch, List<Planner.Placement> placements) {}

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final WorkerRegistry workerRegistry;
    private final Planner planner;
    private final Quotas quotas;
    private final Preemption preemption;
    private final Counters counters;
    private final PeerSender peerSender;
    /** Whether the fleet has been heard since the rows were read: until then work is not stopped for want of room. */
    private final BooleanSupplier fleetKnown;
    /** Dropped tasks of the cluster that are to find their places again. */
    private final IntSupplier tasksToRestore;
    /** Per job and task: until when it is on its way and must not be planned again. */
    private final Map<String, Map<Integer, Long>> heldTasks = new HashMap<>();

    private int heldTaskCount;
    /** Per job and machine: until when an offer there is not repeated. */
    private final Map<String, Map<String, Long>> refusedMachines = new HashMap<>();

    private final Map<Long, PendingOffer> pendingOffers = new HashMap<>();
    /** Offered, and not yet claimed or given up. Each takes a row or more. */
    private final Set<OfferBatch> openBatches = new HashSet<>();
    /** Jobs that have asked for others' room: until when they don't ask again. */
    private final Map<String, Long> preemptionRetryAt = new HashMap<>();

    private final Map<String, long[]> errorBackoff = new HashMap<>();
    private final long offerTimeoutMs;
    private final long planGapMs;
    private final double slotsPerMs;
    private final double preemptDelayMs;
    private long nextPlanMs;
    private long plannedViewChanges = -1;
    private long plannedAtMs = -1_000_000;
    private long nextExpiryMs;
    /** The fleet as it was when the plan at hand began. */
    private Map<String, MachineStatus> machineStatuses = Map.of();
    /** Of offers. Begins anew with each life's time of day: a verdict on an earlier life's offer must not pass for one on ours. */
    private long nextOfferId;

    private Planner.Plan lastPlan = new Planner.Plan(List.of(), List.of(), Set.of(), 0, 0, List.of());

    public JobScheduler(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            WorkerRegistry workerRegistry,
            Planner planner,
            Counters counters,
            Tuning t,
            PeerSender mesh,
            BooleanSupplier fleetKnown,
            IntSupplier returning) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.workerRegistry = workerRegistry;
        this.planner = planner;
        quotas = new Quotas(catalog, view, 1 + s.peers().size());
        preemption = new Preemption(view, this::runningMs);
        this.counters = counters;
        this.peerSender = mesh;
        this.fleetKnown = fleetKnown;
        this.tasksToRestore = returning;
        nextOfferId = effects.wallTime() << 20;
        offerTimeoutMs = t.ms("placement.offer-s");
        preemptDelayMs = t.num("placement.preempt-delay-s") * 1000;
        planGapMs = t.ms("placement.plan-gap-s");
        slotsPerMs = t.num("placement.slots-per-s") / 1000;
        planner.zoneOfShard(membership::zoneOf);
    }

    /** What the last plan made of the waiting tasks: room now, room soon, none; overdue of the second. */
    public String logText() {
        long now =
                lastPlan.placements().stream().filter(c -> c.slot().available).count();
        return "room_now=" + now + " room_soon=" + (lastPlan.placements().size() - now) + " no_room="
                + lastPlan.unplaced().stream()
                        .mapToInt(Planner.UnplacedTasks::taskCount)
                        .sum() + " overdue="
                + lastPlan.placements().stream()
                        .filter(c -> c.overdue(effects.wallTime()))
                        .count();
    }

    public Planner.Plan lastPlan() {
        return lastPlan;
    }

    /** Whether a plan is due; the pictures need to be drawn only then. */
    public boolean planDue() {
        long now = effects.now();
        return store.loaded()
                && catalog.typesKnown()
                && now >= nextPlanMs
                && (plannedViewChanges != view.changeCount() || now - plannedAtMs >= 1_000);
    }

    /** {@code coming}: room that is not there yet; looked for only when something waits. */
    public void tick(Map<String, MachineStatus> pictures, Supplier<List<Slot>> coming) {
        machineStatuses = pictures;
        long now = effects.now();
        plannedAtMs = now;
        plannedViewChanges = view.changeCount();
        removeExpired(now);
        if (!planner.anyWaiting()) {
            lastPlan = new Planner.Plan(List.of(), List.of(), planner.guaranteedJobs(), 0, 0, List.of());
            nextPlanMs = now + planGapMs;
            return;
        }
        List<Slot> slots = freeSlots(pictures);
        slots.addAll(coming.get());
        Planner.Plan plan = planner.plan(slots, schedulingState, inFlight(), now, effects.wallTime());
        lastPlan = plan;
        // Large fleets and long queues make plans dear: they are then made less often, not at the cost of the reports.
        // Every claim
        // is looked at too, for the room that it will leave.
        nextPlanMs = now + Math.max(planGapMs, Math.round((plan.slotsExamined() + view.claimCount()) / slotsPerMs));
        counters.plans++;
        counters.slotsLookedAt += plan.slotsExamined();
        counters.speedLimited += plan.speedLimited();
        if (membership.canAct() && store.healthy()) {
            offerPlanned(plan, pictures, now);
            if (fleetKnown.getAsBoolean()) {
                requestPreemptions(plan, pictures, now);
            }
        }
    }

    private void removeExpired(long now) {
        if (now >= nextExpiryMs) {
            nextExpiryMs = now + 100;
            heldTasks.values().removeIf(m -> {
                m.values().removeIf(until -> now > until);
                return m.isEmpty();
            });
            heldTaskCount = heldTasks.values().stream().mapToInt(Map::size).sum();
            refusedMachines.values().removeIf(m -> {
                m.values().removeIf(until -> now > until);
                return m.isEmpty();
            });
            preemptionRetryAt.values().removeIf(until -> now > until);
            // An owner that died answers no offer: forgetting it only with the next offer once left a replica waiting
            // for
            // good, as its own old offer took the one place its zone rule allowed.
            pendingOffers.values().removeIf(a -> now - a.batch.offeredAtMs > offerTimeoutMs);
            openBatches.removeIf(g -> g.awaitedReplies > 0 && now - g.offeredAtMs > offerTimeoutMs);
            errorBackoff.keySet().removeIf(id -> view.job(id) == null);
        }
    }

    private void holdTask(Planner.Placement c, long until) {
        if (heldTasks.computeIfAbsent(c.job().spec.id(), k -> new HashMap<>()).put(c.task(), until) == null) {
            heldTaskCount++;
        }
    }

    private void releaseTask(Planner.Placement c) {
        Map<Integer, Long> m = heldTasks.get(c.job().spec.id());
        if (m != null && m.remove(c.task()) != null) {
            heldTaskCount--;
        }
    }

    private final Planner.SchedulingState schedulingState = new Planner.SchedulingState() {
        @Override
        public IntPredicate heldTasks(String job) {
            Map<Integer, Long> m = heldTasks.get(job);
            IntOpenHashSet others = reservedElsewhere.get(job);
            if (m == null || m.isEmpty()) {
                return others == null ? null : others::contains;
            }
            return others == null ? m::containsKey : t -> m.containsKey(t) || others.contains(t);
        }

        @Override
        public Set<String> refusedMachines(String job) {
            Map<String, Long> m = refusedMachines.get(job);
            return m == null || m.isEmpty() ? null : m.keySet();
        }

        @Override
        public boolean backingOff(Job j) {
            return JobScheduler.this.backingOff(j);
        }

        @Override
        public boolean probing(Job j) {
            return j.spec.shape() == Shape.ARRAY
                    && j.doneCount() == 0
                    && j.consecutiveErrors() >= Math.min(PROBE_AFTER_ERRORS, Math.max(2, j.spec.tasks()));
        }

        @Override
        public boolean reconnecting(String machine, long session) {
            MachineStatus status = machineStatuses.get(machine);
            return status != null && status.session() > session && status.pendingConfirmation();
        }
    };

    /** For how long this controller has seen a claim stand, in ms. */
    public long runningMs(Claim c) {
        return c.seenAtMs() < 0 ? 0 : effects.now() - c.seenAtMs();
    }

    /** Expected end of a claim by what this controller has seen of it, in steady ms. */
    public long expectedEndMs(Claim c) {
        if (c.job().spec.isService()) {
            return Long.MAX_VALUE;
        }
        long ran = runningMs(c);
        double left = planner.expectedRunS(c.job().spec) * 1000 + 3_000 - ran;
        // The longer a task is overdue, the less its end is near: "any moment now" kept others waiting for minutes.
        return effects.now() + Math.round(Math.max(left, 0.4 * ran));
    }

    /** A job whose tasks keep failing waits longer and longer, so that it does not wear out machines. */
    private boolean backingOff(Job j) {
        long errors = j.consecutiveErrors();
        if (errors < 2) {
            errorBackoff.remove(j.spec.id());
            return false;
        }
        long[] seen = errorBackoff.computeIfAbsent(j.spec.id(), k -> new long[] {0, 0});
        if (seen[0] != errors) {
            seen[0] = errors;
            seen[1] = effects.now()
                    + Math.min(60_000, 500L << Math.min(7, errors / Math.max(1, Math.min(8, j.spec.tasks()))));
        }
        return effects.now() < seen[1];
    }

    private List<Planner.Placement> inFlight() {
        List<Planner.Placement> l = new ArrayList<>(pendingClaims.values());
        pendingOffers.values().forEach(a -> l.addAll(a.placements()));
        return l;
    }

    /** Free room on every machine in the pictures, less what the store records. */
    public List<Slot> freeSlots(Map<String, MachineStatus> pictures) {
        List<Slot> slots = new ArrayList<>(pictures.size());
        reservedElsewhere.clear();
        Map<String, List<Planner.Placement>> underway = new HashMap<>();
        for (Planner.Placement c : inFlight()) {
            underway.computeIfAbsent(c.slot().machine, k -> new ArrayList<>()).add(c);
        }
        for (MachineStatus p : pictures.values()) {
            Catalog.MachineType t = catalog.type(p.type());
            if (!p.usable() || t == null) {
                continue;
            }
            double[] used = view.capacityUsedOn(p.machine());
            double[] f = {
                t.cpus() - p.unclaimedUse()[0] - used[0],
                t.gpus() - p.unclaimedUse()[1] - used[1],
                t.memoryGb() - p.unclaimedUse()[2] - used[2]
            };
            for (Planner.Placement c : underway.getOrDefault(p.machine(), List.of())) {
                Claim stands = c.job().isPlaced(c.task()) ? c.job().claim(c.task()) : null;
                if (stands == null || !stands.machine().equals(p.machine())) {
                    subtract(f, c.job().spec);
                }
            }
            for (String key : p.reservedTasks()) {
                int slash = key.lastIndexOf('/');
                Job j = view.job(key.substring(0, Math.max(0, slash)));
                if (j != null && !pendingOffers(j, key.substring(slash + 1), p.machine(), underway)) {
                    subtract(f, j.spec);
                }
            }
            slots.add(Slot.of(p, t, p.shard(), 0, true, f));
        }
        return slots;
    }

    /** Whether a reservation is already counted: as a claim that stands, or as an offer of our own. */
    private boolean pendingOffers(Job j, String task, String machine, Map<String, List<Planner.Placement>> underway) {
        int n = Integer.parseInt(task);
        if (n >= j.spec.tasks() || j.isPlaced(n)) {
            return true;
        }
        for (Planner.Placement c : underway.getOrDefault(machine, List.of())) {
            if (c.task() == n && c.job().spec.id().equals(j.spec.id())) {
                return true;
            }
        }
        reservedElsewhere
                .computeIfAbsent(j.spec.id(), k -> new IntOpenHashSet())
                .add(n);
        return false;
    }

    /** Per job the tasks that other drivers' reservations are for: as good as placed. */
    private final Map<String, IntOpenHashSet> reservedElsewhere = new HashMap<>();

    private final Map<String, Planner.Placement> pendingClaims = new HashMap<>();

    private static void subtract(double[] f, JobSpec j) {
        f[0] -= j.cpus();
        f[1] -= j.gpus();
        f[2] -= j.memoryGb();
    }

    // ---- offers

    private void offerPlanned(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        Map<String, List<Planner.Placement>> groups = new LinkedHashMap<>();
        Map<String, Boolean> whole = new HashMap<>();
        for (Planner.Placement c : plan.placements()) {
            JobSpec s = c.job().spec;
            if (!c.slot().available) {
                whole.put(s.id(), false);
                continue;
            }
            if (heldTaskCount + groups.size() > MAX_OFFERED_TASKS || !membership.schedules(s.id())) {
                continue;
            }
            String key = s.isGang() ? s.id() : s.id() + "/" + c.task() / c.job().chunkSize;
            groups.computeIfAbsent(key, k -> new ArrayList<>()).add(c);
        }
        // In a return no more than can be claimed before the offers end, the first in the plan's order: ten times as
        // many were offered,
        // and most of them only kept room from the others until they were given up. On other days the limit made arrays
        // late.
        int rows = Math.max(MIN_OPEN_BATCHES, store.expectedRowsWithin(offerTimeoutMs));
        int most = tasksToRestore.getAsInt() > rows ? rows : Integer.MAX_VALUE;
        for (List<Planner.Placement> choices : groups.values()) {
            if (openBatches.size() >= most) {
                return;
            }
            Job j = choices.get(0).job();
            if (j.spec.isGang() && (!whole.getOrDefault(j.spec.id(), true) || choices.size() < j.spec.tasks())) {
                continue;
            }
            List<Planner.Placement> sooner = preemptingGangPlacement(j, choices, plan, pictures);
            sendOffers(sooner == null ? new OfferBatch(j, choices, false, now) : new OfferBatch(j, sooner, true, now));
        }
    }

    /** For a gang that would miss an aim only as its images have to come: places where they are, if others may be stopped there. */
    private List<Planner.Placement> preemptingGangPlacement(
            Job j, List<Planner.Placement> choices, Planner.Plan plan, Map<String, MachineStatus> pictures) {
        if (!j.spec.isMultiTaskGang()) {
            return null;
        }
        double spareMs = planner.startSlackMs(j, effects.wallTime());
        if (choices.stream().noneMatch(c -> c.startDelayMs() > spareMs)) {
            return null;
        }
        List<Slot> slots = freeSlots(pictures);
        allocateHigherRanked(plan, j, slots);
        List<Planner.Placement> l = preemption.placeGang(
                j,
                plan.guaranteedJobs().contains(j.spec.id()),
                Double.MAX_VALUE,
                spareMs,
                plan,
                slots,
                catalog.zones.size(),
                schedulingState.refusedMachines(j.spec.id()));
        return l == null || l.stream().anyMatch(c -> c.startDelayMs() > spareMs) ? null : l;
    }

    private void sendOffers(OfferBatch g) {
        Map<Integer, List<Planner.Placement>> byOwner = new TreeMap<>();
        for (Planner.Placement c : g.placements) {
            int owner = membership.owns(c.slot().shard) ? 0 : membership.connectedOwner(c.slot().shard);
            if (owner < 0 || owner == 0 && !membership.owns(c.slot().shard)) {
                g.anyRefused = true;
                continue;
            }
            byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(c);
        }
        if (g.anyRefused && g.job.spec.isGang()) {
            return;
        }
        for (Planner.Placement c : g.placements) {
            holdTask(c, effects.now() + offerTimeoutMs);
            RestorePlanner.Obstacle obstacle = planner.restoreObstacle(c);
            if (obstacle != null && LOG.isDebugEnabled()) {
                LOG.debug(
                        "dropped task offered elsewhere task={} machine={} obstacle={}",
                        taskKey(c),
                        c.slot().machine,
                        obstacle);
            }
        }
        openBatches.add(g);
        g.awaitedReplies = byOwner.size();
        if (g.awaitedReplies == 0) {
            openBatches.remove(g);
        }
        byOwner.forEach((owner, items) -> {
            long id = nextOfferId++;
            pendingOffers.put(id, new PendingOffer(g, items));
            List<PeerRecord.OfferedTask> list = new ArrayList<>();
            items.forEach(c -> list.add(offerItem(c)));
            PeerRecord.Offer offer =
                    new PeerRecord.Offer(id, g.job.spec.isGang() || g.withPreemption, g.withPreemption, list);
            if (owner == 0) {
                handleReply(evaluateOffer(offer));
            } else {
                peerSender.send(owner, offer);
            }
        });
    }

    private static String taskKey(Planner.Placement c) {
        return c.job().spec.id() + "/" + c.task();
    }

    /** As owner: checks an offer against the truth, keeping room for what is accepted. */
    public PeerRecord.OfferReply evaluateOffer(PeerRecord.Offer offer) {
        List<String> refusals = new ArrayList<>();
        List<Long> terms = new ArrayList<>();
        boolean all = true;
        for (PeerRecord.OfferedTask i : offer.tasks()) {
            Job j = view.job(i.job());
            String no = j == null
                    ? JOB_NOT_IN_VIEW
                    : workerRegistry.reserve(j.spec, i.task(), i.machine(), i.session(), offer.withPreemption());
            refusals.add(no == null ? "" : no);
            all &= no == null;
            Integer shard = workerRegistry.shardOf(i.machine());
            terms.add(shard == null ? 0 : membership.term(shard));
        }
        if (offer.allOrNothing() && !all) {
            releaseReservations(new PeerRecord.WithdrawnOffer(offer.tasks()));
        }
        return new PeerRecord.OfferReply(offer.id(), refusals, terms);
    }

    /** As owner: frees the room kept for offers that come to nothing. */
    public void releaseReservations(PeerRecord.WithdrawnOffer o) {
        o.tasks().forEach(i -> workerRegistry.cancelReservation(i.machine(), i.job() + "/" + i.task()));
    }

    /** As driver: tells the owners that what they accepted will not be claimed. */
    private void withdrawOffers(List<Planner.Placement> choices) {
        Map<Integer, List<PeerRecord.OfferedTask>> byOwner = new TreeMap<>();
        for (Planner.Placement c : choices) {
            int owner = membership.owns(c.slot().shard) ? 0 : membership.connectedOwner(c.slot().shard);
            if (owner >= 0) {
                byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(offerItem(c));
            }
        }
        byOwner.forEach((owner, items) -> {
            PeerRecord.WithdrawnOffer o = new PeerRecord.WithdrawnOffer(items);
            if (owner == 0) {
                releaseReservations(o);
            } else {
                peerSender.send(owner, o);
            }
        });
    }

    private static PeerRecord.OfferedTask offerItem(Planner.Placement c) {
        return new PeerRecord.OfferedTask(c.job().spec.id(), c.task(), c.slot().machine, c.slot().session);
    }

    public void handleReply(PeerRecord.OfferReply v) {
        PendingOffer a = pendingOffers.remove(v.id());
        if (a == null
                || v.refusals().size() != a.placements().size()
                || v.terms().size() != a.placements().size()) {
            return;
        }
        OfferBatch g = a.batch();
        for (int i = 0; i < a.placements().size(); i++) {
            Planner.Placement c = a.placements().get(i);
            String no = v.refusals().get(i);
            if (no.isEmpty()) {
                g.acceptedTerms.put(c.task(), v.terms().get(i));
            } else {
                g.anyRefused = true;
                counters.refused++;
                LOG.debug("offer of {} to {} refused: {}", taskKey(c), c.slot().machine, no);
                releaseTask(c);
                refusedMachines
                        .computeIfAbsent(c.job().spec.id(), k -> new HashMap<>())
                        .put(c.slot().machine, effects.now() + refusalTimeoutMs(no));
            }
        }
        if (--g.awaitedReplies > 0) {
            return;
        }
        if (g.job.spec.isGang() && g.anyRefused || g.acceptedTerms.isEmpty()) {
            openBatches.remove(g);
            g.placements.forEach(this::releaseTask);
            preemptionRetryAt.remove(g.job.spec.id());
            withdrawOffers(g.placements.stream()
                    .filter(c -> g.acceptedTerms.containsKey(c.task()))
                    .toList());
            return;
        }
        submitClaims(g);
    }

    private static long refusalTimeoutMs(String why) {
        return switch (why) {
            case "failed here" -> 60_000;
                // The owner's view is a watch behind: waiting for longer made gangs miss their start for nothing.
            case JOB_NOT_IN_VIEW -> 250;
            default -> 1_500;
        };
    }

    // ---- claims

    private void submitClaims(OfferBatch g) {
        JobSpec s = g.job.spec;
        List<Planner.Placement> list = new ArrayList<>();
        List<Planner.Placement> over = new ArrayList<>();
        IntOpenHashSet rows = new IntOpenHashSet();
        if (zoneRulesSpanRows(g.job)) {
            rows.add(0);
        }
        Set<String> shards = new HashSet<>();
        for (Planner.Placement c : g.placements) {
            if (!g.acceptedTerms.containsKey(c.task())) {
                continue;
            }
            int row = c.task() / g.job.chunkSize;
            if (!s.isGang() && !rows.contains(row) && rows.size() + 2 > settings.txnOps()) {
                // Lost tasks of a huge array stand in more rows than a transaction may write: the others are planned
                // again.
                over.add(c);
                releaseTask(c);
                continue;
            }
            rows.add(row);
            shards.add(membership.shardKey(c.slot().shard));
            list.add(c);
            pendingClaims.put(taskKey(c), c);
            holdTask(c, effects.now() + 30_000);
        }
        withdrawOffers(over);
        boolean queued = store.enqueue(new Change() {
            private List<Planner.Placement> made = List.of();
            /** What was sent without an answer: carried out all the same, if the rows show it. */
            private List<Planner.Placement> inDoubt = List.of();

            /** Whole gangs and replicas are few and somebody waits for them: not behind the ends of hundreds of small tasks. */
            @Override
            public int rank() {
                return s.shape() == Shape.ARRAY ? 4 + s.priority().ordinal() : 2;
            }

            @Override
            public int maxWrites() {
                return rows.size() + 1;
            }

            /** Counted, as a guess once let claims on machines of many shards make a transaction that was refused whole. */
            @Override
            public int maxConditions(Transaction tx) {
                int n = 2 + rows.size() + Math.min(g.job.released().size(), membership.shardCount());
                for (String shard : shards) {
                    n += tx.lacksCondition(shard) ? 1 : 0;
                }
                return n;
            }

            /** Of an array more tasks may find room in a moment; the reservations do not last long, though. */
            @Override
            public long maxDelayMs() {
                return s.shape() == Shape.ARRAY ? offerTimeoutMs / 4 : 0;
            }

            @Override
            public boolean addsNoWrites(Transaction tx) {
                for (Planner.Placement c : list) {
                    if (!tx.editsChunk(s.id(), c.task() / g.job.chunkSize)) {
                        return false;
                    }
                }
                return true;
            }

            @Override
            public long expiresAtMs() {
                return g.offeredAtMs + offerTimeoutMs;
            }

            @Override
            public boolean build(Transaction tx) {
                made = effects.now() > expiresAtMs() ? List.of() : permitted(tx, g, list);
                if (made.isEmpty()) {
                    return false;
                }
                double n = made.size();
                Quotas.Decision pass = quotas.tryClaim(tx, s.team(), made.size(), n * s.cpus(), n * s.gpus());
                if (pass == Quotas.Decision.GRANTED) {
                    writeClaims(tx, s, made);
                } else {
                    made = List.of();
                }
                return pass != Quotas.Decision.REFUSED;
            }

            @Override
            public void outcomeUnknown() {
                inDoubt = made;
            }

            @Override
            public void committed(long revision) {
                over();
            }

            @Override
            public void dropped() {
                made = List.of();
                over();
            }

            private boolean stands(Planner.Placement c) {
                Job j = view.job(s.id());
                Claim x = j == null ? null : j.claim(c.task());
                return x != null && x.machine().equals(c.slot().machine) && x.session() == c.slot().session;
            }

            private void over() {
                openBatches.remove(g);
                if (!inDoubt.isEmpty()) {
                    List<Planner.Placement> all = new ArrayList<>(made);
                    inDoubt.stream().filter(c -> !made.contains(c) && stands(c)).forEach(all::add);
                    made = all;
                }
                counters.claims += made.size();
                for (Planner.Placement c : made) {
                    LOG.info(
                            "task {} claimed on {} ({})",
                            taskKey(c),
                            c.slot().machine,
                            s.isGang() ? "gang" : s.shape());
                }
                List<Planner.Placement> not = new ArrayList<>(list);
                not.removeAll(made);
                withdrawOffers(not);
                for (Planner.Placement c : list) {
                    pendingClaims.remove(taskKey(c));
                    releaseTask(c);
                }
            }
        });
        if (!queued) {
            openBatches.remove(g);
            withdrawOffers(list);
            list.forEach(c -> {
                pendingClaims.remove(taskKey(c));
                releaseTask(c);
            });
        }
    }

    /** Checks everything that the rules need against the records that the transaction conditions on. */
    private List<Planner.Placement> permitted(Transaction tx, OfferBatch g, List<Planner.Placement> list) {
        JobSpec s = g.job.spec;
        Job j = view.job(s.id());
        if (j == null
                || j.state() != Job.State.OPEN
                || s.isGang() && j.claimCount() > replaceable(j)
                || tx.writes(Keys.JOB + s.id())) {
            return List.of();
        }
        Settings.Team team = catalog.team(s.team());
        double[] extra = tx.claimedByTeam(s.team());
        double cpus = view.claimedCpus(s.team()) + extra[0];
        double gpus = view.claimedGpus(s.team()) + extra[1];
        // Another change of this same transaction may already have placed tasks of this job.
        // With a single row, what may be replaced leaves it by the same writing; of several rows, some may stay as they
        // are.
        Map<Integer, Integer> zones = Planner.tasksByZone(
                j, membership::zoneOf, i -> tx.peekChunk(j, i), x -> j.chunks.size() == 1 && replaceable(x));
        List<Planner.Placement> ok = new ArrayList<>();
        for (Planner.Placement c : list) {
            Slot slot = c.slot();
            int shard = slot.shard;
            int zone = membership.zoneOf(shard);
            cpus += s.cpus();
            gpus += s.gpus();
            Chunk before = tx.peekChunk(j, c.task() / j.chunkSize);
            Claim recorded = before == null ? null : before.claims.get(c.task());
            boolean fine = !j.isDone(c.task())
                    && (recorded == null || replaceable(recorded))
                    && membership.term(shard) == g.acceptedTerms.get(c.task())
                    && slot.allows(s)
                    && zone == slot.zone
                    && !Catalog.exceeds(team.cpusMax(), cpus)
                    && !Catalog.exceeds(team.gpusMax(), gpus)
                    && s.allowsZone(zones, zone);
            if (!fine) {
                cpus -= s.cpus();
                gpus -= s.gpus();
                if (s.isGang()) {
                    return List.of();
                }
                continue;
            }
            zones.merge(zone, 1, Integer::sum);
            ok.add(c);
        }
        return ok;
    }

    /** Whether a claim may be replaced in the transaction that writes its task's next one: the owner's proof must still be good. */
    private boolean replaceable(Claim c) {
        Job.ReleasedClaim g = c.job().released(c.task());
        return g != null
                && g.claim() == c
                && (g.ownProof() ? membership.owns(c.shard()) : g.term() == membership.term(c.shard()));
    }

    private int replaceable(Job j) {
        int n = 0;
        for (Job.ReleasedClaim g : j.released()) {
            n += replaceable(g.claim()) ? 1 : 0;
        }
        return n;
    }

    /** What is proven gone leaves the row with the writing that places something in it: one row for a loss and its restart. */
    private void removeProvenGone(Transaction tx, Job j, Chunk chunk) {
        for (Job.ReleasedClaim g : j.released()) {
            Claim c = g.claim();
            if (c.task() / j.chunkSize == chunk.index && replaceable(c) && chunk.claims.get(c.task()) == c) {
                tx.requireUnchanged(membership.shardKey(c.shard()));
                chunk.claims.remove(c.task());
                chunk.restarts += g.started() ? 1 : 0;
            }
        }
    }

    private void writeClaims(Transaction tx, JobSpec s, List<Planner.Placement> ok) {
        Job j = view.job(s.id());
        tx.requireUnchanged(Keys.JOB + s.id());
        long attempt = j.lastAttempt();
        for (Planner.Placement c : ok) {
            Chunk chunk = tx.editChunk(j, c.task() / j.chunkSize);
            removeProvenGone(tx, j, chunk);
            attempt = Math.max(attempt, chunk.lastAttempt);
        }
        attempt++;
        if (zoneRulesSpanRows(j)) {
            // All claims of it write its first row, so that none can be made, or come late, beside another whose zone
            // it does not know of.
            tx.editChunk(j, 0);
        }
        for (Planner.Placement c : ok) {
            Slot slot = c.slot();
            tx.requireUnchanged(membership.shardKey(slot.shard));
            Chunk chunk = tx.editChunk(j, c.task() / j.chunkSize);
            chunk.lastAttempt = attempt;
            chunk.claims.put(c.task(), new Claim(j, c.task(), attempt, slot.machine, slot.session, slot.shard));
        }
        double[] extra = tx.claimedByTeam(s.team());
        extra[0] += ok.size() * s.cpus();
        extra[1] += ok.size() * s.gpus();
    }

    /** Whether zone rules bind tasks that stand in different rows. */
    private static boolean zoneRulesSpanRows(Job j) {
        return (j.spec.oneZone() || j.spec.spread()) && j.chunks.size() > 1;
    }

    // ---- preemption

    /**
     * Work that would start late may claim room that other work has to leave first: what has a lower priority, or is beyond its
     * team's guarantee. The claim comes before anybody is stopped. When work was stopped first and the room planned for
     * afterwards, small tasks of other drivers filled it as it came free, and a large task had 87 others stopped in vain.
     */
    private void requestPreemptions(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        List<PreemptionRequest> wishes = new ArrayList<>();
        Map<String, PreemptionRequest> slow = new LinkedHashMap<>();
        for (Planner.Placement c : plan.placements()) {
            JobSpec s = c.job().spec;
            if (slow.containsKey(s.id())) {
                continue;
            }
            boolean guaranteed = plan.guaranteedJobs().contains(s.id());
            boolean gathers = s.isMultiTaskGang() && !c.slot().available;
            if (gathers && c.startDelayMs() > planner.startSlackMs(c.job(), effects.wallTime())) {
                slow.put(s.id(), new PreemptionRequest(c.job(), guaranteed, Double.MAX_VALUE));
            } else if (c.startDelayMs() > preemptDelayMs
                    && (guaranteed || s.priority() == Priority.PRODUCTION || gathers)) {
                // A gang's room is "soon" there again and again, and somebody else's then: what it has waited counts as
                // well.
                double waited = gathers ? Math.max(0, effects.wallTime() - c.job().acceptedAtMs) : 0;
                slow.put(s.id(), new PreemptionRequest(c.job(), guaranteed, (c.startDelayMs() + waited) / 1000));
            }
        }
        for (Planner.UnplacedTasks u : plan.unplaced()) {
            slow.remove(u.job().spec.id());
            wishes.add(new PreemptionRequest(u.job(), u.guaranteed(), Double.MAX_VALUE));
        }
        wishes.addAll(slow.values());
        List<Slot> slots = null;
        int budget = MAX_PREEMPTIONS_PER_PLAN;
        int looks = MAX_PREEMPTION_REQUESTS;
        for (PreemptionRequest u : wishes) {
            Job j = u.job();
            if (!membership.schedules(j.spec.id()) || preemptionRetryAt.containsKey(j.spec.id())) {
                continue;
            }
            if (budget <= 0 || looks-- <= 0) {
                break;
            }
            slots = slots == null ? freeSlots(pictures) : slots;
            // What the plan gives to others that do not yield is not free: taken here, it once kept replicas waiting.
            List<Planner.Placement> ahead = allocateHigherRanked(plan, j, slots);
            List<Planner.Placement> places = preemptionPlacements(u, plan, slots);
            ahead.forEach(c -> c.slot().release(c.job().spec));
            if (places != null) {
                budget--;
                preemptionRetryAt.put(j.spec.id(), now + PREEMPTION_RETRY_MS);
                LOG.info("job {} asks for room on {} machines", j.spec.id(), places.size());
                sendOffers(new OfferBatch(j, places, true, now));
            }
        }
    }

    /** Takes the room that the plan gives to jobs that do not yield, as far as it is not on its way already. */
    private List<Planner.Placement> allocateHigherRanked(Planner.Plan plan, Job j, List<Slot> slots) {
        Map<String, Slot> byName = new HashMap<>();
        slots.forEach(s -> byName.put(s.machine, s));
        List<Planner.Placement> l = new ArrayList<>();
        for (Planner.Placement c : plan.placements()) {
            Slot slot = byName.get(c.slot().machine);
            if (!c.slot().available
                    || slot == null
                    || c.job() == j
                    || c.job().spec.priority().compareTo(j.spec.priority()) > 0) {
                continue;
            }
            IntPredicate held = schedulingState.heldTasks(c.job().spec.id());
            if (held == null || !held.test(c.task())) {
                slot.allocate(c.job().spec);
                l.add(new Planner.Placement(c.job(), c.task(), slot, 0));
            }
        }
        return l;
    }

    private List<Planner.Placement> preemptionPlacements(PreemptionRequest u, Planner.Plan plan, List<Slot> slots) {
        Job j = u.job();
        Set<String> refused = schedulingState.refusedMachines(j.spec.id());
        if (j.spec.isGang()) {
            return j.placedCount() > 0
                    ? null
                    : preemption.placeGang(
                            j,
                            u.guaranteed(),
                            u.delayS(),
                            planner.startSlackMs(j, effects.wallTime()),
                            plan,
                            slots,
                            catalog.zones.size(),
                            refused);
        }
        IntPredicate taken = schedulingState.heldTasks(j.spec.id());
        for (int task = 0; task < j.spec.tasks(); task++) {
            if (!j.isDone(task) && !j.isPlaced(task) && (taken == null || !taken.test(task))) {
                Planner.Placement c = preemption.placeTask(
                        j, task, u.guaranteed(), u.delayS(), plan, slots, planner.tasksByZone(j, inFlight()), refused);
                return c == null ? null : List.of(c);
            }
        }
        return null;
    }

    public void stopGang(Job job, double graceS, String reason) {
        Set<Integer> owners = new java.util.TreeSet<>();
        for (Chunk ch : job.chunks) {
            if (ch != null) {
                for (Claim c : ch.claims.values()) {
                    int owner = membership.owns(c.shard()) ? 0 : membership.connectedOwner(c.shard());
                    if (owner == 0) {
                        workerRegistry.requestStop(c, graceS, reason);
                    } else if (owner > 0 && owners.add(owner)) {
                        peerSender.send(
                                owner, new PeerRecord.StopRequest(job.spec.id(), -1, c.attempt(), graceS, reason));
                    }
                }
            }
        }
    }

    /** As owner: carries out a stop that another controller asks for. */
    public void handleStop(PeerRecord.StopRequest s) {
        Job j = view.job(s.job());
        if (j == null) {
            return;
        }
        for (Chunk ch : j.chunks) {
            if (ch != null) {
                for (Claim c : List.copyOf(ch.claims.values())) {
                    if (c.attempt() == s.attempt()
                            && (s.task() < 0 || s.task() == c.task())
                            && membership.owns(c.shard())) {
                        workerRegistry.requestStop(c, s.graceS(), s.reason());
                    }
                }
            }
        }
    }
}
