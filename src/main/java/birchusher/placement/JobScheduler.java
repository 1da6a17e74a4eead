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

/**
 * Places the tasks of the jobs that this controller schedules.
 *
 * <p>Each {@link #tick} makes a plan for the jobs of the whole cluster, offers the placements of this controller's own
 * jobs to the owners of the machines, and claims what the owners accept, each batch in one transaction of the state
 * service. Jobs that would start late may request the preemption of other tasks. As the owner of machines, the
 * controller also evaluates the offers of its peers here. Not thread-safe: all calls come from the controller's event
 * loop.
 */
public final class JobScheduler {
    private static final Logger LOG = LoggerFactory.getLogger(JobScheduler.class);
    private static final int MAX_OFFERED_TASKS = 400;
    /** Open batches that are always allowed during restart recovery, however few rows can be written. */
    private static final int MIN_OPEN_BATCHES = 8;
    /** Waiting jobs for which one plan searches for tasks to preempt. A search may find none worth it. */
    private static final int MAX_PREEMPTION_SEARCHES_PER_PLAN = 12;

    private static final int MAX_PREEMPTION_REQUESTS_PER_PLAN = 8;
    /**
     * Time between two preemption requests of one job, so that the effect of the first is visible before the second.
     */
    private static final long PREEMPTION_RETRY_MS = 3_000;
    /** A plan older than this is replaced even if the view has not changed. */
    private static final long MAX_PLAN_AGE_MS = 1_000;

    private static final long EXPIRY_INTERVAL_MS = 100;
    /** How long a task is not planned again while its claim is queued or sent. */
    private static final long CLAIM_HOLD_MS = 30_000;
    /** Added to the expected run time of a task in the expected end of its claim. */
    private static final double RUN_TIME_MARGIN_MS = 3_000;
    /** A task is expected to run for at least this share of the time it has run already. */
    private static final double MIN_LEFT_SHARE = 0.4;

    private static final int GANG_AND_SERVICE_RANK = 2;
    /** Rank of an array's claims with the highest priority. */
    private static final int FIRST_ARRAY_RANK = 4;

    private static final String JOB_NOT_IN_VIEW = "job not known yet";

    /** Sends a record to another controller. Member 0 is this controller itself. */
    public interface PeerSender {
        void send(int member, PeerRecord record);
    }

    /** Tasks of one job that are offered together; a gang needs all of them to be accepted. */
    private static final class OfferBatch {
        final Job job;
        final List<Planner.Placement> placements;
        final Map<Integer, Long> acceptedTerms = new TreeMap<>();
        /** The placements rely on capacity that the owners free by preemption once the claims are recorded. */
        final boolean withPreemption;

        int awaitedReplies;
        boolean anyRefused;
        long offeredAtMs;

        OfferBatch(Job job, List<Planner.Placement> placements, boolean withPreemption, long offeredAtMs) {
            this.job = job;
            this.placements = placements;
            this.withPreemption = withPreemption;
            this.offeredAtMs = offeredAtMs;
        }
    }

    /**
     * A job whose tasks would start late. {@code guaranteed}: it lies within its team's guarantee; {@code delayS}: by
     * how much it would start late, {@code Double.MAX_VALUE} if no capacity is expected.
     */
    private record PreemptionRequest(Job job, boolean guaranteed, double delayS) {}

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
    /**
     * Whether the machines have reported since the rows were loaded. Until then no task is preempted for lack of
     * capacity.
     */
    private final BooleanSupplier fleetKnown;
    /** Number of dropped tasks in the cluster that wait to be placed again. */
    private final IntSupplier tasksToRestore;
    /**
     * Per job and task: steady time in ms until which the task is offered or being claimed and must not be planned
     * again.
     */
    private final Map<String, Map<Integer, Long>> heldTasks = new HashMap<>();

    private int heldTaskCount;
    private final RefusedMachines refusedMachines = new RefusedMachines();

    private final Map<Long, PendingOffer> pendingOffers = new HashMap<>();
    /** Batches that are offered and neither claimed nor withdrawn yet. Each writes at least one row. */
    private final Set<OfferBatch> openBatches = new HashSet<>();
    /** Per job: steady time in ms before which it does not request preemption again. */
    private final Map<String, Long> preemptionRetryAtMs = new HashMap<>();

    private final ErrorBackoff errorBackoff = new ErrorBackoff();

    private final long offerTimeoutMs;
    private final long exclusionRetryMs;
    private final long planGapMs;
    private final double slotsPerMs;
    private final double preemptDelayMs;
    private long nextPlanMs;
    private long plannedViewChanges = -1;
    private long plannedAtMs = -1_000_000;
    private long nextExpiryMs;
    /** Machine statuses at the time of the current plan. */
    private Map<String, MachineStatus> machineStatuses = Map.of();
    /**
     * Id of the next offer. The sequence of an incarnation starts from its wall-clock time, so that a reply to an offer
     * of an earlier incarnation is not taken for a reply to one of this incarnation.
     */
    private long nextOfferId;

    private Planner.Plan lastPlan = new Planner.Plan(List.of(), List.of(), Set.of(), 0, 0, List.of());

    public JobScheduler(
            Effects effects,
            Settings settings,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            WorkerRegistry workerRegistry,
            Planner planner,
            Counters counters,
            Tuning tuning,
            PeerSender peerSender,
            BooleanSupplier fleetKnown,
            IntSupplier tasksToRestore) {
        this.effects = effects;
        this.settings = settings;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.workerRegistry = workerRegistry;
        this.planner = planner;
        quotas = new Quotas(catalog, view, 1 + settings.peers().size());
        preemption = new Preemption(view, this::runningMs);
        this.counters = counters;
        this.peerSender = peerSender;
        this.fleetKnown = fleetKnown;
        this.tasksToRestore = tasksToRestore;
        nextOfferId = effects.wallTime() << 20;
        offerTimeoutMs = tuning.durationMs("placement.offer-s");
        preemptDelayMs = tuning.value("placement.preempt-delay-s") * 1000;
        exclusionRetryMs = tuning.durationMs("workers.quarantine-s");
        planGapMs = tuning.durationMs("placement.plan-gap-s");
        slotsPerMs = tuning.value("placement.slots-per-s") / 1000;
        planner.zoneOfShard(membership::zoneOf);
    }

    /**
     * Result of the last plan as a part of the counters log line: placements on available capacity, placements on
     * capacity that becomes available soon, tasks without capacity, and how many of the second are overdue.
     */
    public String logText() {
        long available = lastPlan.placements().stream()
                .filter(placement -> placement.slot().available)
                .count();
        return "room_now=" + available + " room_soon=" + (lastPlan.placements().size() - available) + " no_room="
                + lastPlan.unplaced().stream()
                        .mapToInt(Planner.UnplacedTasks::taskCount)
                        .sum() + " overdue="
                + lastPlan.placements().stream()
                        .filter(placement -> placement.overdue(effects.wallTime()))
                        .count();
    }

    /** The last plan; empty before the first one. */
    public Planner.Plan lastPlan() {
        return lastPlan;
    }

    /** Whether a plan is due. Machine statuses need to be collected only then. */
    public boolean planDue() {
        long now = effects.now();
        return store.loaded()
                && catalog.typesKnown()
                && now >= nextPlanMs
                && (plannedViewChanges != view.changeCount() || now - plannedAtMs >= MAX_PLAN_AGE_MS);
    }

    /**
     * Makes a plan, and acts on it if this controller is a member and the state service is healthy.
     *
     * @param statuses the status of each machine, by name
     * @param upcoming supplies slots of capacity that is not available yet; called only if tasks wait
     */
    public void tick(Map<String, MachineStatus> statuses, Supplier<List<Slot>> upcoming) {
        machineStatuses = statuses;
        long now = effects.now();
        plannedAtMs = now;
        plannedViewChanges = view.changeCount();
        removeExpired(now);
        if (!planner.anyWaiting()) {
            lastPlan = new Planner.Plan(List.of(), List.of(), planner.guaranteedJobs(), 0, 0, List.of());
            nextPlanMs = now + planGapMs;
            return;
        }
        List<Slot> slots = freeSlots(statuses);
        slots.addAll(upcoming.get());
        Planner.Plan plan = planner.plan(slots, schedulingState, inFlight(), now, effects.wallTime());
        lastPlan = plan;
        // Large fleets and long queues make plans expensive. Plans then become less frequent instead of delaying
        // reports. Every claim counts as well, since the capacity that it will free is examined.
        nextPlanMs = now + Math.max(planGapMs, Math.round((plan.slotsExamined() + view.claimCount()) / slotsPerMs));
        counters.plans++;
        counters.slotsLookedAt += plan.slotsExamined();
        counters.speedLimited += plan.speedLimited();
        if (membership.canAct() && store.healthy()) {
            offerPlanned(plan, statuses, now);
            if (fleetKnown.getAsBoolean()) {
                requestPreemptions(plan, statuses, now);
            }
        }
    }

    private void removeExpired(long now) {
        if (now >= nextExpiryMs) {
            nextExpiryMs = now + EXPIRY_INTERVAL_MS;
            heldTasks.values().removeIf(byKey -> {
                byKey.values().removeIf(until -> now > until);
                return byKey.isEmpty();
            });
            heldTaskCount = heldTasks.values().stream().mapToInt(Map::size).sum();
            refusedMachines.removeExpired(now);
            preemptionRetryAtMs.values().removeIf(until -> now > until);
            // A crashed owner never replies. Such an offer has to expire here and not only when the next offer is made:
            // a replica once waited forever because its own old offer occupied the only place that its zone rule
            // allowed.
            pendingOffers.values().removeIf(offer -> now - offer.batch.offeredAtMs > offerTimeoutMs);
            openBatches.removeIf(batch -> batch.awaitedReplies > 0 && now - batch.offeredAtMs > offerTimeoutMs);
            errorBackoff.forgetEnded(id -> view.job(id) == null);
        }
    }

    private void holdTask(Planner.Placement placement, long untilMs) {
        if (heldTasks
                        .computeIfAbsent(placement.job().spec.id(), k -> new HashMap<>())
                        .put(placement.task(), untilMs)
                == null) {
            heldTaskCount++;
        }
    }

    private void releaseTask(Planner.Placement placement) {
        Map<Integer, Long> untilByTask = heldTasks.get(placement.job().spec.id());
        if (untilByTask != null && untilByTask.remove(placement.task()) != null) {
            heldTaskCount--;
        }
    }

    private final Planner.SchedulingState schedulingState = new Planner.SchedulingState() {
        @Override
        public IntPredicate heldTasks(String job) {
            Map<Integer, Long> own = heldTasks.get(job);
            IntOpenHashSet elsewhere = reservedElsewhere.get(job);
            if (own == null || own.isEmpty()) {
                return elsewhere == null ? null : elsewhere::contains;
            }
            return elsewhere == null ? own::containsKey : task -> own.containsKey(task) || elsewhere.contains(task);
        }

        @Override
        public Set<String> refusedMachines(String job) {
            return refusedMachines.of(job);
        }

        @Override
        public boolean backingOff(Job job) {
            return errorBackoff.isActive(job, effects.now());
        }

        @Override
        public boolean probing(Job job) {
            return ErrorBackoff.isProbing(job);
        }

        @Override
        public boolean reconnecting(String machine, long session) {
            MachineStatus status = machineStatuses.get(machine);
            return status != null && status.session() > session && status.pendingConfirmation();
        }
    };

    /** Time in ms for which this controller has seen the claim on record; 0 if it has not seen it yet. */
    public long runningMs(Claim claim) {
        return claim.seenAtMs() < 0 ? 0 : effects.now() - claim.seenAtMs();
    }

    /**
     * Expected end of a claim's task in ms of steady time, from the estimated run time and the time this controller has
     * seen the claim; {@code Long.MAX_VALUE} for a service.
     */
    public long expectedEndMs(Claim claim) {
        if (claim.job().spec.isService()) {
            return Long.MAX_VALUE;
        }
        long ranMs = runningMs(claim);
        double leftMs = planner.expectedRunS(claim.job().spec) * 1000 + RUN_TIME_MARGIN_MS - ranMs;
        // The longer a task is overdue, the less certain is its end: expecting it at any moment kept other tasks
        // waiting for minutes.
        return effects.now() + Math.round(Math.max(leftMs, MIN_LEFT_SHARE * ranMs));
    }

    private List<Planner.Placement> inFlight() {
        List<Planner.Placement> result = new ArrayList<>(pendingClaims.values());
        pendingOffers.values().forEach(offer -> result.addAll(offer.placements()));
        return result;
    }

    /**
     * Free capacity of every usable machine: what its claims, offers in flight, reservations and unclaimed tasks leave.
     *
     * @param statuses the status of each machine, by name
     */
    public List<Slot> freeSlots(Map<String, MachineStatus> statuses) {
        List<Slot> slots = new ArrayList<>(statuses.size());
        reservedElsewhere.clear();
        Map<String, List<Planner.Placement>> inFlightByMachine = new HashMap<>();
        for (Planner.Placement placement : inFlight()) {
            inFlightByMachine
                    .computeIfAbsent(placement.slot().machine, name -> new ArrayList<>())
                    .add(placement);
        }
        for (MachineStatus status : statuses.values()) {
            Catalog.MachineType type = catalog.type(status.type());
            if (!status.usable() || type == null) {
                continue;
            }
            double[] used = view.capacityUsedOn(status.machine());
            double[] free = {
                type.cpus() - status.unclaimedUse()[0] - used[0],
                type.gpus() - status.unclaimedUse()[1] - used[1],
                type.memoryGb() - status.unclaimedUse()[2] - used[2]
            };
            for (Planner.Placement placement : inFlightByMachine.getOrDefault(status.machine(), List.of())) {
                Claim recorded = placement.job().isPlaced(placement.task())
                        ? placement.job().claim(placement.task())
                        : null;
                if (recorded == null || !recorded.machine().equals(status.machine())) {
                    subtract(free, placement.job().spec);
                }
            }
            for (String key : status.reservedTasks()) {
                int slash = key.lastIndexOf('/');
                Job job = view.job(key.substring(0, Math.max(0, slash)));
                if (job != null
                        && !countedAlready(job, key.substring(slash + 1), status.machine(), inFlightByMachine)) {
                    subtract(free, job.spec);
                }
            }
            slots.add(Slot.of(status, type, status.shard(), 0, true, free));
        }
        return slots;
    }

    /**
     * Whether the free capacity already accounts for a reservation, by a recorded claim or by an offer of this
     * controller. If not, the task is noted as reserved by another controller.
     */
    private boolean countedAlready(
            Job job, String task, String machine, Map<String, List<Planner.Placement>> inFlightByMachine) {
        int taskIndex = Integer.parseInt(task);
        if (taskIndex >= job.spec.tasks() || job.isPlaced(taskIndex)) {
            return true;
        }
        for (Planner.Placement placement : inFlightByMachine.getOrDefault(machine, List.of())) {
            if (placement.task() == taskIndex && placement.job().spec.id().equals(job.spec.id())) {
                return true;
            }
        }
        reservedElsewhere
                .computeIfAbsent(job.spec.id(), id -> new IntOpenHashSet())
                .add(taskIndex);
        return false;
    }

    /** Per job the tasks for which other controllers hold reservations. The planner treats them as placed. */
    private final Map<String, IntOpenHashSet> reservedElsewhere = new HashMap<>();

    /** Placements whose claims are queued or sent, by task key. */
    private final Map<String, Planner.Placement> pendingClaims = new HashMap<>();

    private static void subtract(double[] free, JobSpec spec) {
        free[0] -= spec.cpus();
        free[1] -= spec.gpus();
        free[2] -= spec.memoryGb();
    }

    // ---- offers

    private void offerPlanned(Planner.Plan plan, Map<String, MachineStatus> statuses, long now) {
        Map<String, List<Planner.Placement>> batches = new LinkedHashMap<>();
        Map<String, Boolean> fullyAvailable = new HashMap<>();
        for (Planner.Placement placement : plan.placements()) {
            JobSpec spec = placement.job().spec;
            if (!placement.slot().available) {
                fullyAvailable.put(spec.id(), false);
                continue;
            }
            if (heldTaskCount + batches.size() > MAX_OFFERED_TASKS || !membership.schedules(spec.id())) {
                continue;
            }
            String key = spec.isGang() ? spec.id() : spec.id() + "/" + placement.task() / placement.job().chunkSize;
            batches.computeIfAbsent(key, k -> new ArrayList<>()).add(placement);
        }
        // During restart recovery only as many batches are offered as can be claimed before the offers expire, in the
        // order of the plan. Without the limit ten times as many were offered, and most of them only reserved capacity
        // that other tasks needed until the offers expired. At other times the limit would delay arrays.
        int rowsInTime = Math.max(MIN_OPEN_BATCHES, store.expectedRowsWithin(offerTimeoutMs));
        int maxOpenBatches = tasksToRestore.getAsInt() > rowsInTime ? rowsInTime : Integer.MAX_VALUE;
        for (List<Planner.Placement> placements : batches.values()) {
            if (openBatches.size() >= maxOpenBatches) {
                return;
            }
            Job job = placements.get(0).job();
            if (job.spec.isGang()
                    && (!fullyAvailable.getOrDefault(job.spec.id(), true) || placements.size() < job.spec.tasks())) {
                continue;
            }
            List<Planner.Placement> withPreemption = preemptingGangPlacement(job, placements, plan, statuses);
            sendOffers(
                    withPreemption == null
                            ? new OfferBatch(job, placements, false, now)
                            : new OfferBatch(job, withPreemption, true, now));
        }
    }

    /**
     * Placements with preemption for a gang that would miss an objective only because its images have to be fetched, on
     * machines that have them; null if there are none or the gang does not need them.
     */
    private List<Planner.Placement> preemptingGangPlacement(
            Job job, List<Planner.Placement> placements, Planner.Plan plan, Map<String, MachineStatus> statuses) {
        if (!job.spec.isMultiTaskGang()) {
            return null;
        }
        double slackMs = planner.startSlackMs(job, effects.wallTime());
        if (placements.stream().noneMatch(placement -> placement.startDelayMs() > slackMs)) {
            return null;
        }
        List<Slot> slots = freeSlots(statuses);
        allocateHigherRanked(plan, job, slots);
        List<Planner.Placement> preempting = preemption.placeGang(
                job,
                plan.guaranteedJobs().contains(job.spec.id()),
                Double.MAX_VALUE,
                slackMs,
                plan,
                slots,
                catalog.zones.size(),
                schedulingState.refusedMachines(job.spec.id()));
        return preempting == null || preempting.stream().anyMatch(placement -> placement.startDelayMs() > slackMs)
                ? null
                : preempting;
    }

    private void sendOffers(OfferBatch batch) {
        Map<Integer, List<Planner.Placement>> byOwner = new TreeMap<>();
        for (Planner.Placement placement : batch.placements) {
            int owner = membership.owns(placement.slot().shard) ? 0 : membership.connectedOwner(placement.slot().shard);
            if (owner < 0 || owner == 0 && !membership.owns(placement.slot().shard)) {
                batch.anyRefused = true;
                continue;
            }
            byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(placement);
        }
        if (batch.anyRefused && batch.job.spec.isGang()) {
            return;
        }
        for (Planner.Placement placement : batch.placements) {
            holdTask(placement, effects.now() + offerTimeoutMs);
            RestorePlanner.Obstacle obstacle = planner.restoreObstacle(placement);
            if (obstacle != null && LOG.isDebugEnabled()) {
                LOG.debug(
                        "dropped task offered elsewhere task={} machine={} obstacle={}",
                        taskKey(placement),
                        placement.slot().machine,
                        obstacle);
            }
        }
        openBatches.add(batch);
        batch.awaitedReplies = byOwner.size();
        if (batch.awaitedReplies == 0) {
            openBatches.remove(batch);
        }
        byOwner.forEach((owner, placements) -> {
            long id = nextOfferId++;
            pendingOffers.put(id, new PendingOffer(batch, placements));
            List<PeerRecord.OfferedTask> tasks = new ArrayList<>();
            placements.forEach(placement -> tasks.add(toOfferedTask(placement)));
            PeerRecord.Offer offer = new PeerRecord.Offer(
                    id, batch.job.spec.isGang() || batch.withPreemption, batch.withPreemption, tasks);
            if (owner == 0) {
                handleReply(evaluateOffer(offer));
            } else {
                peerSender.send(owner, offer);
            }
        });
    }

    private static String taskKey(Planner.Placement placement) {
        return placement.job().spec.id() + "/" + placement.task();
    }

    /**
     * As owner: checks an offer against the current state of the machines and reserves the capacity of what it accepts.
     */
    public PeerRecord.OfferReply evaluateOffer(PeerRecord.Offer offer) {
        List<String> refusals = new ArrayList<>();
        List<Long> terms = new ArrayList<>();
        boolean allAccepted = true;
        for (PeerRecord.OfferedTask task : offer.tasks()) {
            Job job = view.job(task.job());
            String refusal = job == null
                    ? JOB_NOT_IN_VIEW
                    : workerRegistry.reserve(
                            job.spec, task.task(), task.machine(), task.session(), offer.withPreemption());
            refusals.add(refusal == null ? "" : refusal);
            allAccepted &= refusal == null;
            Integer shard = workerRegistry.shardOf(task.machine());
            terms.add(shard == null ? 0 : membership.term(shard));
        }
        if (offer.allOrNothing() && !allAccepted) {
            releaseReservations(new PeerRecord.WithdrawnOffer(offer.tasks()));
        }
        return new PeerRecord.OfferReply(offer.id(), refusals, terms);
    }

    /** As owner: releases the reservations of an offer that its sender has withdrawn. */
    public void releaseReservations(PeerRecord.WithdrawnOffer offer) {
        offer.tasks().forEach(task -> workerRegistry.cancelReservation(task.machine(), task.job() + "/" + task.task()));
    }

    /** As job scheduler: informs the owners that accepted placements will not be claimed. */
    private void withdrawOffers(List<Planner.Placement> placements) {
        Map<Integer, List<PeerRecord.OfferedTask>> byOwner = new TreeMap<>();
        for (Planner.Placement placement : placements) {
            int owner = membership.owns(placement.slot().shard) ? 0 : membership.connectedOwner(placement.slot().shard);
            if (owner >= 0) {
                byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(toOfferedTask(placement));
            }
        }
        byOwner.forEach((owner, tasks) -> {
            PeerRecord.WithdrawnOffer withdrawn = new PeerRecord.WithdrawnOffer(tasks);
            if (owner == 0) {
                releaseReservations(withdrawn);
            } else {
                peerSender.send(owner, withdrawn);
            }
        });
    }

    private static PeerRecord.OfferedTask toOfferedTask(Planner.Placement placement) {
        return new PeerRecord.OfferedTask(
                placement.job().spec.id(), placement.task(), placement.slot().machine, placement.slot().session);
    }

    /**
     * As job scheduler: handles an owner's reply. Once all owners of a batch have replied, it is claimed or withdrawn.
     */
    public void handleReply(PeerRecord.OfferReply reply) {
        PendingOffer offer = pendingOffers.remove(reply.id());
        if (offer == null
                || reply.refusals().size() != offer.placements().size()
                || reply.terms().size() != offer.placements().size()) {
            return;
        }
        OfferBatch batch = offer.batch();
        for (int i = 0; i < offer.placements().size(); i++) {
            Planner.Placement placement = offer.placements().get(i);
            String refusal = reply.refusals().get(i);
            if (refusal.isEmpty()) {
                batch.acceptedTerms.put(placement.task(), reply.terms().get(i));
            } else {
                batch.anyRefused = true;
                counters.refused++;
                LOG.debug("offer of {} to {} refused: {}", taskKey(placement), placement.slot().machine, refusal);
                releaseTask(placement);
                refusedMachines.record(
                        placement.job().spec.id(), placement.slot().machine, effects.now() + refusalTimeoutMs(refusal));
            }
        }
        if (--batch.awaitedReplies > 0) {
            return;
        }
        if (batch.job.spec.isGang() && batch.anyRefused || batch.acceptedTerms.isEmpty()) {
            openBatches.remove(batch);
            batch.placements.forEach(this::releaseTask);
            preemptionRetryAtMs.remove(batch.job.spec.id());
            withdrawOffers(batch.placements.stream()
                    .filter(placement -> batch.acceptedTerms.containsKey(placement.task()))
                    .toList());
            return;
        }
        submitClaims(batch);
    }

    /** How long a job is not offered to a machine again after a refusal for this reason, in ms. */
    private long refusalTimeoutMs(String reason) {
        return switch (reason) {
                // The owner knows when the exclusion ends. A job that fits nowhere else must learn of that soon.
            case WorkerRegistry.FAILED_HERE -> exclusionRetryMs;
                // The owner's view lags by one watch: a longer time made gangs miss their start needlessly.
            case JOB_NOT_IN_VIEW -> 250;
            default -> 1_500;
        };
    }

    // ---- claims

    private void submitClaims(OfferBatch batch) {
        JobSpec spec = batch.job.spec;
        List<Planner.Placement> accepted = new ArrayList<>();
        List<Planner.Placement> overflow = new ArrayList<>();
        IntOpenHashSet rowIndexes = new IntOpenHashSet();
        if (zoneRulesSpanRows(batch.job)) {
            rowIndexes.add(0);
        }
        Set<String> shardKeys = new HashSet<>();
        for (Planner.Placement placement : batch.placements) {
            if (!batch.acceptedTerms.containsKey(placement.task())) {
                continue;
            }
            int rowIndex = placement.task() / batch.job.chunkSize;
            if (!spec.isGang()
                    && !rowIndexes.contains(rowIndex)
                    && rowIndexes.size() + 2 > settings.maxTransactionOps()) {
                // Lost tasks of a large array may be in more rows than a transaction can write. The rest is planned
                // again.
                overflow.add(placement);
                releaseTask(placement);
                continue;
            }
            rowIndexes.add(rowIndex);
            shardKeys.add(membership.shardKey(placement.slot().shard));
            accepted.add(placement);
            pendingClaims.put(taskKey(placement), placement);
            holdTask(placement, effects.now() + CLAIM_HOLD_MS);
        }
        withdrawOffers(overflow);
        boolean queued = store.enqueue(new Change() {
            private List<Planner.Placement> claimed = List.of();
            /** Sent in a transaction without a response, which may still be applied: claimed if the rows show them. */
            private List<Planner.Placement> unconfirmed = List.of();

            /**
             * Claims of gangs and replicas are few and awaited, so they do not queue behind the recorded ends of
             * hundreds of small tasks.
             */
            @Override
            public int rank() {
                return spec.shape() == Shape.ARRAY
                        ? FIRST_ARRAY_RANK + spec.priority().ordinal()
                        : GANG_AND_SERVICE_RANK;
            }

            @Override
            public int maxWrites() {
                return rowIndexes.size() + 1;
            }

            /**
             * Counted exactly: an estimate once let claims on machines of many shards form a transaction that the state
             * service rejected as a whole.
             */
            @Override
            public int maxConditions(Transaction tx) {
                int conditions =
                        2 + rowIndexes.size() + Math.min(batch.job.released().size(), membership.shardCount());
                for (String shardKey : shardKeys) {
                    conditions += tx.lacksCondition(shardKey) ? 1 : 0;
                }
                return conditions;
            }

            /**
             * More tasks of an array may be placed shortly and share the transaction. The delay is short because
             * reservations expire.
             */
            @Override
            public long maxDelayMs() {
                return spec.shape() == Shape.ARRAY ? offerTimeoutMs / 4 : 0;
            }

            @Override
            public boolean addsNoWrites(Transaction tx) {
                for (Planner.Placement placement : accepted) {
                    if (!tx.editsChunk(spec.id(), placement.task() / batch.job.chunkSize)) {
                        return false;
                    }
                }
                return true;
            }

            @Override
            public long expiresAtMs() {
                return batch.offeredAtMs + offerTimeoutMs;
            }

            @Override
            public boolean build(Transaction tx) {
                claimed = effects.now() > expiresAtMs() ? List.of() : permitted(tx, batch, accepted);
                if (claimed.isEmpty()) {
                    return false;
                }
                double taskCount = claimed.size();
                Quotas.Decision decision = quotas.tryClaim(
                        tx, spec.team(), claimed.size(), taskCount * spec.cpus(), taskCount * spec.gpus());
                if (decision == Quotas.Decision.GRANTED) {
                    writeClaims(tx, spec, claimed);
                } else {
                    claimed = List.of();
                }
                return decision != Quotas.Decision.REFUSED;
            }

            @Override
            public void outcomeUnknown() {
                unconfirmed = claimed;
            }

            @Override
            public void committed(long revision) {
                finish();
            }

            @Override
            public void dropped() {
                claimed = List.of();
                finish();
            }

            private boolean isRecorded(Planner.Placement placement) {
                Job job = view.job(spec.id());
                Claim claim = job == null ? null : job.claim(placement.task());
                return claim != null
                        && claim.machine().equals(placement.slot().machine)
                        && claim.session() == placement.slot().session;
            }

            private void finish() {
                openBatches.remove(batch);
                if (!unconfirmed.isEmpty()) {
                    List<Planner.Placement> all = new ArrayList<>(claimed);
                    unconfirmed.stream()
                            .filter(placement -> !claimed.contains(placement) && isRecorded(placement))
                            .forEach(all::add);
                    claimed = all;
                }
                counters.claims += claimed.size();
                for (Planner.Placement placement : claimed) {
                    LOG.info(
                            "task {} claimed on {} ({})",
                            taskKey(placement),
                            placement.slot().machine,
                            spec.isGang() ? "gang" : spec.shape());
                }
                List<Planner.Placement> unclaimed = new ArrayList<>(accepted);
                unclaimed.removeAll(claimed);
                withdrawOffers(unclaimed);
                for (Planner.Placement placement : accepted) {
                    pendingClaims.remove(taskKey(placement));
                    releaseTask(placement);
                }
            }
        });
        if (!queued) {
            openBatches.remove(batch);
            withdrawOffers(accepted);
            accepted.forEach(placement -> {
                pendingClaims.remove(taskKey(placement));
                releaseTask(placement);
            });
        }
    }

    /**
     * Those placements that may be claimed: checked against the records that the transaction conditions on, for the
     * state of the job, the owners' terms, the team's limit and the zone rules. For a gang all of them or none.
     */
    private List<Planner.Placement> permitted(Transaction tx, OfferBatch batch, List<Planner.Placement> placements) {
        JobSpec spec = batch.job.spec;
        Job job = view.job(spec.id());
        if (job == null
                || job.state() != Job.State.OPEN
                || spec.isGang() && job.claimCount() > replaceableCount(job)
                || tx.writes(Keys.JOB + spec.id())) {
            return List.of();
        }
        Settings.Team team = catalog.team(spec.team());
        double[] earlier = tx.claimedByTeam(spec.team());
        double cpus = view.claimedCpus(spec.team()) + earlier[0];
        double gpus = view.claimedGpus(spec.team()) + earlier[1];
        // Another change in the same transaction may already have placed tasks of this job. With a single row, the same
        // write removes the replaceable claims; with several rows, some of them may stay on record.
        Map<Integer, Integer> tasksByZone = Planner.tasksByZone(
                job,
                membership::zoneOf,
                row -> tx.peekChunk(job, row),
                claim -> job.chunks.size() == 1 && replaceable(claim));
        List<Planner.Placement> permitted = new ArrayList<>();
        for (Planner.Placement placement : placements) {
            Slot slot = placement.slot();
            int shard = slot.shard;
            int zone = membership.zoneOf(shard);
            cpus += spec.cpus();
            gpus += spec.gpus();
            Chunk chunk = tx.peekChunk(job, placement.task() / job.chunkSize);
            Claim recorded = chunk == null ? null : chunk.claims.get(placement.task());
            boolean allowed = !job.isDone(placement.task())
                    && (recorded == null || replaceable(recorded))
                    && membership.term(shard) == batch.acceptedTerms.get(placement.task())
                    && slot.allows(spec)
                    && zone == slot.zone
                    && !Catalog.exceeds(team.cpusMax(), cpus)
                    && !Catalog.exceeds(team.gpusMax(), gpus)
                    && spec.allowsZone(tasksByZone, zone);
            if (!allowed) {
                cpus -= spec.cpus();
                gpus -= spec.gpus();
                if (spec.isGang()) {
                    return List.of();
                }
                continue;
            }
            tasksByZone.merge(zone, 1, Integer::sum);
            permitted.add(placement);
        }
        return permitted;
    }

    /**
     * Whether the transaction that writes a task's next claim may replace this one. The owner's proof that the task is
     * gone must still be valid.
     */
    private boolean replaceable(Claim claim) {
        Job.ReleasedClaim released = claim.job().released(claim.task());
        return released != null
                && released.claim() == claim
                && (released.ownProof()
                        ? membership.owns(claim.shard())
                        : released.term() == membership.term(claim.shard()));
    }

    /** Number of a job's claims that may be replaced. */
    private int replaceableCount(Job job) {
        int count = 0;
        for (Job.ReleasedClaim released : job.released()) {
            count += replaceable(released.claim()) ? 1 : 0;
        }
        return count;
    }

    /**
     * Removes the claims of tasks that are proven gone from a row that is written anyway, so that a lost task and its
     * restart take one row write.
     */
    private void removeProvenGone(Transaction tx, Job job, Chunk chunk) {
        for (Job.ReleasedClaim released : job.released()) {
            Claim claim = released.claim();
            if (claim.task() / job.chunkSize == chunk.index
                    && replaceable(claim)
                    && chunk.claims.get(claim.task()) == claim) {
                tx.requireUnchanged(membership.shardKey(claim.shard()));
                chunk.claims.remove(claim.task());
                chunk.restarts += released.started() ? 1 : 0;
            }
        }
    }

    private void writeClaims(Transaction tx, JobSpec spec, List<Planner.Placement> placements) {
        Job job = view.job(spec.id());
        tx.requireUnchanged(Keys.JOB + spec.id());
        long attempt = job.lastAttempt();
        for (Planner.Placement placement : placements) {
            Chunk chunk = tx.editChunk(job, placement.task() / job.chunkSize);
            removeProvenGone(tx, job, chunk);
            attempt = Math.max(attempt, chunk.lastAttempt);
        }
        attempt++;
        if (zoneRulesSpanRows(job)) {
            // All claims of the job write its first row, so that no claim can be made or arrive late beside another one
            // whose zone it does not take into account.
            tx.editChunk(job, 0);
        }
        for (Planner.Placement placement : placements) {
            Slot slot = placement.slot();
            tx.requireUnchanged(membership.shardKey(slot.shard));
            Chunk chunk = tx.editChunk(job, placement.task() / job.chunkSize);
            chunk.lastAttempt = attempt;
            chunk.claims.put(
                    placement.task(),
                    new Claim(job, placement.task(), attempt, slot.machine, slot.session, slot.shard));
        }
        double[] claimed = tx.claimedByTeam(spec.team());
        claimed[0] += placements.size() * spec.cpus();
        claimed[1] += placements.size() * spec.gpus();
    }

    /** Whether zone rules apply across tasks that are recorded in different rows. */
    private static boolean zoneRulesSpanRows(Job job) {
        return (job.spec.oneZone() || job.spec.spread()) && job.chunks.size() > 1;
    }

    // ---- preemption

    /**
     * Lets jobs that would start late claim capacity of tasks that are then preempted: tasks of lower priority or
     * beyond their team's guarantee. The claim is recorded before any task is stopped. When tasks were stopped first
     * and the freed capacity was planned afterwards, small tasks of other controllers' jobs took it as it became free,
     * and one large task had 87 others stopped in vain.
     */
    private void requestPreemptions(Planner.Plan plan, Map<String, MachineStatus> statuses, long now) {
        List<PreemptionRequest> requests = new ArrayList<>();
        Map<String, PreemptionRequest> lateJobs = new LinkedHashMap<>();
        for (Planner.Placement placement : plan.placements()) {
            JobSpec spec = placement.job().spec;
            if (lateJobs.containsKey(spec.id())) {
                continue;
            }
            boolean guaranteed = plan.guaranteedJobs().contains(spec.id());
            boolean waitingGang = spec.isMultiTaskGang() && !placement.slot().available;
            if (waitingGang && placement.startDelayMs() > planner.startSlackMs(placement.job(), effects.wallTime())) {
                lateJobs.put(spec.id(), new PreemptionRequest(placement.job(), guaranteed, Double.MAX_VALUE));
            } else if (placement.startDelayMs() > preemptDelayMs
                    && (guaranteed || spec.priority() == Priority.PRODUCTION || waitingGang)) {
                // Capacity for a gang is repeatedly expected soon and then used by others, so its waiting time counts
                // as well.
                double waitedMs = waitingGang ? Math.max(0, effects.wallTime() - placement.job().acceptedAtMs) : 0;
                lateJobs.put(
                        spec.id(),
                        new PreemptionRequest(
                                placement.job(), guaranteed, (placement.startDelayMs() + waitedMs) / 1000));
            }
        }
        for (Planner.UnplacedTasks unplaced : plan.unplaced()) {
            lateJobs.remove(unplaced.job().spec.id());
            requests.add(new PreemptionRequest(unplaced.job(), unplaced.guaranteed(), Double.MAX_VALUE));
        }
        requests.addAll(lateJobs.values());
        List<Slot> slots = null;
        int requestsLeft = MAX_PREEMPTION_REQUESTS_PER_PLAN;
        int searchesLeft = MAX_PREEMPTION_SEARCHES_PER_PLAN;
        for (PreemptionRequest request : requests) {
            Job job = request.job();
            if (!membership.schedules(job.spec.id()) || preemptionRetryAtMs.containsKey(job.spec.id())) {
                continue;
            }
            if (requestsLeft <= 0 || searchesLeft-- <= 0) {
                break;
            }
            slots = slots == null ? freeSlots(statuses) : slots;
            // Capacity that the plan assigns to jobs that can't be preempted for this one is not free. Using it once
            // kept replicas waiting.
            List<Planner.Placement> allocated = allocateHigherRanked(plan, job, slots);
            List<Planner.Placement> placements = preemptionPlacements(request, plan, slots);
            allocated.forEach(placement -> placement.slot().release(placement.job().spec));
            if (placements != null) {
                requestsLeft--;
                preemptionRetryAtMs.put(job.spec.id(), now + PREEMPTION_RETRY_MS);
                LOG.info("job {} asks for room on {} machines", job.spec.id(), placements.size());
                sendOffers(new OfferBatch(job, placements, true, now));
            }
        }
    }

    /**
     * Allocates in {@code slots} what the plan assigns to other jobs of the same or a higher priority and what is not
     * in flight already. Returns the allocations.
     */
    private List<Planner.Placement> allocateHigherRanked(Planner.Plan plan, Job job, List<Slot> slots) {
        Map<String, Slot> slotByMachine = new HashMap<>();
        slots.forEach(slot -> slotByMachine.put(slot.machine, slot));
        List<Planner.Placement> allocated = new ArrayList<>();
        for (Planner.Placement placement : plan.placements()) {
            Slot machineSlot = slotByMachine.get(placement.slot().machine);
            if (!placement.slot().available
                    || machineSlot == null
                    || placement.job() == job
                    || placement.job().spec.priority().compareTo(job.spec.priority()) > 0) {
                continue;
            }
            IntPredicate held = schedulingState.heldTasks(placement.job().spec.id());
            if (held == null || !held.test(placement.task())) {
                machineSlot.allocate(placement.job().spec);
                allocated.add(new Planner.Placement(placement.job(), placement.task(), machineSlot, 0));
            }
        }
        return allocated;
    }

    /** Placements for a request that rely on preemption, or null if there are none worth it. */
    private List<Planner.Placement> preemptionPlacements(
            PreemptionRequest request, Planner.Plan plan, List<Slot> slots) {
        Job job = request.job();
        Set<String> refused = schedulingState.refusedMachines(job.spec.id());
        if (job.spec.isGang()) {
            return job.placedCount() > 0
                    ? null
                    : preemption.placeGang(
                            job,
                            request.guaranteed(),
                            request.delayS(),
                            planner.startSlackMs(job, effects.wallTime()),
                            plan,
                            slots,
                            catalog.zones.size(),
                            refused);
        }
        IntPredicate held = schedulingState.heldTasks(job.spec.id());
        for (int task = 0; task < job.spec.tasks(); task++) {
            if (!job.isDone(task) && !job.isPlaced(task) && (held == null || !held.test(task))) {
                Planner.Placement placement = preemption.placeTask(
                        job,
                        task,
                        request.guaranteed(),
                        request.delayS(),
                        plan,
                        slots,
                        planner.tasksByZone(job, inFlight()),
                        refused);
                return placement == null ? null : List.of(placement);
            }
        }
        return null;
    }

    /** Stops all tasks of a gang on their machines, here or through the owners, with {@code graceS} seconds to exit. */
    public void stopGang(Job job, double graceS, String reason) {
        Set<Integer> owners = new java.util.TreeSet<>();
        for (Chunk chunk : job.chunks) {
            if (chunk != null) {
                for (Claim claim : chunk.claims.values()) {
                    int owner = membership.owns(claim.shard()) ? 0 : membership.connectedOwner(claim.shard());
                    if (owner == 0) {
                        workerRegistry.requestStop(claim, graceS, reason);
                    } else if (owner > 0 && owners.add(owner)) {
                        peerSender.send(
                                owner, new PeerRecord.StopRequest(job.spec.id(), -1, claim.attempt(), graceS, reason));
                    }
                }
            }
        }
    }

    /** As owner: carries out a stop request of another controller. */
    public void handleStop(PeerRecord.StopRequest request) {
        Job job = view.job(request.job());
        if (job == null) {
            return;
        }
        for (Chunk chunk : job.chunks) {
            if (chunk != null) {
                for (Claim claim : List.copyOf(chunk.claims.values())) {
                    if (claim.attempt() == request.attempt()
                            && (request.task() < 0 || request.task() == claim.task())
                            && membership.owns(claim.shard())) {
                        workerRegistry.requestStop(claim, request.graceS(), request.reason());
                    }
                }
            }
        }
    }
}
