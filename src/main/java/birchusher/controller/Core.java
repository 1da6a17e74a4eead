package birchusher.controller;

import birchusher.cloud.CloudClient;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.fleet.Autoscaler;
import birchusher.http.RequestTarget;
import birchusher.jobs.JobApi;
import birchusher.jobs.QueryApi;
import birchusher.jobs.TaskEvents;
import birchusher.lease.EstimateBias;
import birchusher.lease.LeaseSettings;
import birchusher.lease.LossRates;
import birchusher.membership.Membership;
import birchusher.mesh.PeerCodec;
import birchusher.mesh.PeerRecord;
import birchusher.model.Catalog;
import birchusher.placement.JobScheduler;
import birchusher.placement.Planner;
import birchusher.placement.Slot;
import birchusher.recovery.ActionCounters;
import birchusher.recovery.Inventory;
import birchusher.recovery.LostTasks;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.store.Claim;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import birchusher.workers.Counters;
import birchusher.workers.MachineStatus;
import birchusher.workers.MachineStatusExchange;
import birchusher.workers.OutcomeRecorder;
import birchusher.workers.WorkerRegistry;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's logic as one state machine: each input method takes an event with its time and returns the effects to carry out. It has
 * no I/O, no clock and no thread, so that tests and simulations can drive it as the server does. Not thread-safe.
 *
 * <p>In all input methods {@code now} is the steady time and {@code wall} the time of day, both in ms.
 */
public final class Core {
    private static final Logger LOG = LoggerFactory.getLogger(Core.class);
    private static final long HEARTBEAT_INTERVAL_MS = 500;
    private static final long STATUS_UPDATE_INTERVAL_MS = 250;
    private static final long COUNTERS_LOG_INTERVAL_MS = 30_000;
    private static final long REJECTION_LOG_INTERVAL_MS = 1_000;
    private static final long MIN_READY_IN_MS = 1_000;

    private final Effects effects = new Effects();
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final OutcomeRecorder outcomeRecorder;
    private final WorkerRegistry workerRegistry;
    private final JobApi jobApi;
    private final QueryApi queryApi;
    private final Planner planner;
    private final JobScheduler jobScheduler;
    private final Autoscaler autoscaler;
    private final Counters counters = new Counters();
    private final MachineStatusExchange statusExchange;
    private final ActionCounters actionCounters = new ActionCounters();
    private final Inventory inventory;
    private final LostTasks lostTasks;
    /** The statuses of the owned machines, at most {@link #STATUS_UPDATE_INTERVAL_MS} old when they are published with a heartbeat. */
    private List<MachineStatus> ownStatuses = List.of();

    private boolean restoringAnnounced;
    private long nextHeartbeatMs;
    private long nextStatusUpdateMs;
    private long nextCountersLogMs;
    private long rejectionLoggedMs = -1_000_000;

    /** Creates a controller that has read nothing from the state service yet. */
    public Core(Settings settings, Tuning tuning, long now, long wall) {
        effects.setTime(now, wall);
        this.settings = settings;
        catalog = new Catalog(settings);
        JobCodec codec = new JobCodec(catalog);
        view = new StoreView(catalog, codec);
        view.setSteadyClock(effects::now);
        store = new StoreClient(effects, view, settings, tuning);
        membership = new Membership(effects, settings, catalog, view, store, tuning);
        EstimateBias estimateBias = new EstimateBias();
        JobScheduler[] schedulerHolder = new JobScheduler[1];
        statusExchange = new MachineStatusExchange(effects, catalog, membership);
        membership.setReachesWorkers(statusExchange::ownerReachesZone);
        long reconnectTimeMs = Inventory.reconnectTimeMs(
                Math.round(settings.reportIntervalS() * 1000),
                1 + settings.peers().size());
        lostTasks = new LostTasks(reconnectTimeMs, 1 + settings.peers().size());
        outcomeRecorder = new OutcomeRecorder(effects, view, store, membership, counters, lostTasks, this::send);
        workerRegistry = new WorkerRegistry(
                effects,
                settings,
                catalog,
                view,
                store,
                membership,
                estimateBias,
                tuning,
                counters,
                outcomeRecorder,
                statusExchange,
                actionCounters,
                (job, graceS, reason) -> schedulerHolder[0].stopGang(job, graceS, reason),
                id -> schedulerHolder[0].lastPlan().guaranteedJobs().contains(id));
        LossRates lossRates = new LossRates();
        TaskEvents events = new TaskEvents();
        view.setClaimListeners(
                statusExchange::machineKind,
                claim -> {
                    events.placed(effects.now(), claim);
                    lostTasks.recordPlaced(claim);
                },
                (claim, lost) -> {
                    events.ended(effects.now(), claim, lost);
                    if (lost) {
                        lostTasks.recordReleased(claim, effects.now());
                    }
                    if (claim.machineKind() >= 0) {
                        lossRates.observe(
                                claim.machineKind(), (effects.now() - claim.seenAtMs()) / 1000.0, lost, effects.now());
                    }
                });
        planner = new Planner(
                catalog,
                view,
                estimateBias,
                lossRates,
                lostTasks,
                LeaseSettings.from(tuning),
                settings.objectives(),
                tuning.value("placement.begin-by-s"));
        inventory = new Inventory(view, reconnectTimeMs);
        jobScheduler = new JobScheduler(
                effects,
                settings,
                catalog,
                view,
                store,
                membership,
                workerRegistry,
                planner,
                counters,
                tuning,
                this::send,
                inventory::wasFleetKnown,
                () -> lostTasks.tasksToRestoreOfAll(effects.now()));
        schedulerHolder[0] = jobScheduler;
        jobApi = new JobApi(effects, settings, catalog, codec, view, store, membership);
        queryApi = new QueryApi(effects, catalog, codec, view, store, jobApi, events);
        autoscaler = new Autoscaler(
                effects,
                settings,
                catalog,
                view,
                store,
                membership,
                new CloudClient(effects, settings),
                counters,
                actionCounters,
                inventory::isFleetKnown,
                () -> lostTasks.tasksToRestoreOfAll(effects.now()),
                tuning,
                this::requestReturn,
                workerRegistry::onMachineDeleted,
                jobScheduler::freeSlots,
                jobScheduler::runningMs);
    }

    /** Handles an HTTP request; {@code exchange} identifies it in its {@link Effect.Answer}. */
    public List<Effect> handleRequest(long now, long wall, long exchange, String method, String target, byte[] body) {
        effects.setTime(now, wall);
        try {
            route(exchange, method, target, body);
        } catch (InvalidInputException | RequestTarget.InvalidTargetException e) {
            if (now - rejectionLoggedMs > REJECTION_LOG_INTERVAL_MS) {
                rejectionLoggedMs = now;
                LOG.info("{} {} rejected: {}", method, target, e.getMessage());
            }
            effects.answer(exchange, 400, Map.of("error", e.getMessage()));
        }
        return finishStep();
    }

    /**
     * Handles the reply to the {@link Effect.Call} with this id. {@code status} is the HTTP status; 0 means that no reply
     * came, and the call may or may not have been carried out.
     */
    public List<Effect> handleReply(long now, long wall, long id, int status, byte[] body) {
        effects.setTime(now, wall);
        Map<String, Object> fields = Map.of();
        int effectiveStatus = status;
        if (body.length > 0) {
            try {
                fields = Fields.map(MessagePackCodec.decode(body), "answer");
            } catch (InvalidInputException e) {
                LOG.info("reply with an unreadable body, treated as no reply: {}", e.getMessage());
                effectiveStatus = 0;
            }
        }
        try {
            effects.completeCall(id, effectiveStatus, fields);
        } catch (InvalidInputException e) {
            LOG.error("reply with missing or invalid fields: {}", e.getMessage());
        }
        return finishStep();
    }

    /** Handles a record from another controller; invalid records and those of unknown members are dropped. */
    public List<Effect> handlePeerRecord(long now, long wall, byte[] record) {
        effects.setTime(now, wall);
        try {
            PeerCodec.Envelope envelope = PeerCodec.decode(record);
            int sender = membership.memberIndex(envelope.member());
            if (sender > 0 && membership.isEarlierIncarnation(sender, envelope.incarnation())) {
                throw new InvalidInputException("from an earlier incarnation of " + envelope.member());
            }
            if (sender > 0) {
                dispatchPeerRecord(sender, envelope.incarnation(), envelope.record());
            }
        } catch (InvalidInputException e) {
            if (now - rejectionLoggedMs > REJECTION_LOG_INTERVAL_MS) {
                rejectionLoggedMs = now;
                LOG.info("peer record rejected: {}", e.getMessage());
            }
        }
        return finishStep();
    }

    /** Does what is due by time: renewals, plans, status updates, heartbeats and the counters' log line. */
    public List<Effect> tick(long now, long wall) {
        effects.setTime(now, wall);
        store.tick();
        membership.tick();
        workerRegistry.tick();
        jobApi.tick();
        lostTasks.tick(now);
        boolean plan = jobScheduler.planDue();
        if (plan || now >= nextStatusUpdateMs) {
            nextStatusUpdateMs = now + STATUS_UPDATE_INTERVAL_MS;
            ownStatuses = workerRegistry.statuses();
            statusExchange.mergeStatuses(ownStatuses);
            inventory.update(
                    now,
                    store.loaded(),
                    this::machineEvidence,
                    autoscaler::isBeingDeleted,
                    autoscaler.unreportedRunning());
        }
        if (plan) {
            jobScheduler.tick(statusExchange.statuses(), this::upcomingSlots);
        }
        autoscaler.tick(statusExchange.statuses(), jobScheduler.lastPlan());
        if (now >= nextHeartbeatMs) {
            nextHeartbeatMs = now + HEARTBEAT_INTERVAL_MS;
            sendHeartbeat();
        }
        if (now >= nextCountersLogMs) {
            nextCountersLogMs = now + COUNTERS_LOG_INTERVAL_MS;
            LOG.info(
                    "counters takeovers={} shards={} revision={} informed_ms={} jobs={} machines={} {} {} {} recovery={} open={} gone={} {}",
                    membership.takeovers,
                    membership.describeOwnedShards(),
                    view.appliedRevision(),
                    store.loaded() ? membership.staleness().ageMs() : -1,
                    view.jobs().size(),
                    statusExchange.statuses().size(),
                    counters.logText(),
                    store.logText(),
                    jobScheduler.logText(),
                    inventory.phase(),
                    inventory.awaitedMachines(),
                    view.releasedClaimCount(),
                    actionCounters.logText() + " " + jobApi.logText() + " " + workerRegistry.logText());
        }
        return finishStep();
    }

    private List<Effect> finishStep() {
        workerRegistry.flushCommands();
        return effects.drain();
    }

    /** Passes on a request of a user, a worker or a health probe. */
    private void route(long exchange, String method, String target, byte[] body)
            throws RequestTarget.InvalidTargetException {
        int queryStart = target.indexOf('?');
        String path = RequestTarget.withUnreservedDecoded(queryStart < 0 ? target : target.substring(0, queryStart));
        if (path.equals(Wire.WORKER_REPORTS)) {
            if (requireMethod(exchange, method, "POST")) {
                workerRegistry.onReport(exchange, Fields.map(MessagePackCodec.decode(body), "body"));
            }
        } else if (path.equals(Wire.READY)) {
            if (requireMethod(exchange, method, "GET")) {
                if (isReady()) {
                    effects.answer(exchange, 200, Map.of());
                } else {
                    effects.refuseWithRetry(exchange, 503, 1);
                }
            }
        } else if (path.equals(Wire.JOBS) && method.equals("GET")) {
            queryApi.list(exchange, RequestTarget.parse(target));
        } else if (path.equals(Wire.JOBS)) {
            if (requireMethod(exchange, method, "POST")) {
                jobApi.submit(exchange, body);
            }
        } else if (path.equals(Wire.TEAMS)) {
            if (requireMethod(exchange, method, "GET")) {
                queryApi.teams(exchange, settings.teams());
            }
        } else if (path.startsWith(Wire.JOBS + "/")) {
            String id = path.substring(Wire.JOBS.length() + 1);
            if (id.endsWith(Wire.CANCEL)) {
                if (requireMethod(exchange, method, "POST")) {
                    jobApi.cancel(exchange, id.substring(0, id.length() - Wire.CANCEL.length()));
                }
            } else if (id.endsWith(Wire.DESCRIBE)) {
                if (requireMethod(exchange, method, "GET")) {
                    queryApi.describe(
                            exchange,
                            id.substring(0, id.length() - Wire.DESCRIBE.length()),
                            RequestTarget.parse(target));
                }
            } else if (requireMethod(exchange, method, "GET")) {
                jobApi.poll(exchange, id);
            }
        } else {
            effects.answer(exchange, 404, Map.of("error", "no such path"));
        }
    }

    /** Whether the request has the allowed method; otherwise it is answered with status 405. */
    private boolean requireMethod(long exchange, String method, String allowed) {
        if (method.equals(allowed)) {
            return true;
        }
        effects.answer(exchange, 405, Map.of("error", "only " + allowed));
        return false;
    }

    /**
     * Whether load balancers may send requests here. In an outage of the state service that affects all controllers, staying ready keeps
     * polls of ended jobs answered. A controller that alone gets no answers from the state service is not ready, nor is one that reaches
     * no peer either: it cannot distinguish the two cases, and its users would get nothing but 503.
     */
    private boolean isReady() {
        return store.loaded()
                && catalog.typesKnown()
                && (store.healthy() || !membership.anyPeerStoreHealthy() && !membership.isIsolated());
    }

    private void send(int member, PeerRecord record) {
        effects.send(member, encode(record));
    }

    private byte[] encode(PeerRecord record) {
        return PeerCodec.encode(settings.member(), membership.incarnation(), record);
    }

    private void sendHeartbeat() {
        List<PeerRecord.Machine> changedStatuses = statusExchange.changedStatuses(ownStatuses);
        PeerRecord.Heartbeat heartbeat = new PeerRecord.Heartbeat(
                membership.incarnation(),
                store.healthy(),
                membership.highestTerms(),
                membership.ownedTerms(),
                changedStatuses,
                statusExchange.removedMachines(),
                autoscaler.recentlyDeleted());
        byte[] encodedHeartbeat = encode(heartbeat);
        byte[] encodedDroppedTasks = lostTasks.tasksToRestore() > 0 || restoringAnnounced
                ? encode(new PeerRecord.DroppedTasks(lostTasks.tasksToRestore()))
                : null;
        restoringAnnounced = lostTasks.tasksToRestore() > 0;
        PeerRecord.RevisionQuery query = membership.staleness().peerQuery();
        byte[] encodedQuery = query == null ? null : encode(query);
        for (int i = 1; i < membership.memberCount(); i++) {
            effects.send(i, encodedHeartbeat);
            if (encodedDroppedTasks != null) {
                effects.send(i, encodedDroppedTasks);
            }
            if (encodedQuery != null) {
                effects.send(i, encodedQuery);
            }
        }
    }

    private void dispatchPeerRecord(int from, long incarnation, PeerRecord record) {
        if (record instanceof PeerRecord.Heartbeat heartbeat) {
            if (membership.handleHeartbeat(
                    from,
                    heartbeat.storeHealthy(),
                    heartbeat.incarnation(),
                    heartbeat.seenTerms(),
                    heartbeat.ownedTerms())) {
                statusExchange.publishAllNext();
            }
            statusExchange.onHeartbeat(from, heartbeat);
            heartbeat.deletedMachines().forEach(workerRegistry::onMachineDeleted);
        } else if (record instanceof PeerRecord.Offer offer) {
            send(from, jobScheduler.evaluateOffer(offer));
        } else if (record instanceof PeerRecord.WithdrawnOffer offer) {
            jobScheduler.releaseReservations(offer);
        } else if (record instanceof PeerRecord.OfferReply reply) {
            jobScheduler.handleReply(reply);
        } else if (record instanceof PeerRecord.StopRequest request) {
            jobScheduler.handleStop(request);
        } else if (record instanceof PeerRecord.ReturnRequest request) {
            send(
                    from,
                    new PeerRecord.ReturnReply(
                            request.machine(), workerRegistry.prepareReturn(request.machine(), request.withTasks())));
        } else if (record instanceof PeerRecord.AttemptOutcomes outcomes) {
            outcomeRecorder.onPeerOutcomes(outcomes);
        } else if (record instanceof PeerRecord.ReturnReply reply) {
            autoscaler.onReturnReply(reply.machine(), reply.agreed());
        } else if (record instanceof PeerRecord.DroppedTasks dropped) {
            lostTasks.handlePeerReport(from, dropped.count(), effects.now());
        } else if (record instanceof PeerRecord.RevisionQuery query) {
            send(from, membership.staleness().answerQuery(query, incarnation));
        } else if (record instanceof PeerRecord.RevisionReply reply) {
            membership.staleness().handleReply(from, reply, membership.incarnation());
        }
    }

    /** Returns what the status that a machine's owner publishes shows of it. */
    private Inventory.MachineEvidence machineEvidence(String machine) {
        MachineStatus status = statusExchange.statuses().get(machine);
        if (status == null) {
            return Inventory.MachineEvidence.NONE;
        }
        return status.usable() || status.faulty() || status.beingReturned() || status.silentMs() > 0
                ? Inventory.MachineEvidence.CONFIRMED
                : Inventory.MachineEvidence.REPORTED;
    }

    /** Asks the owner of a machine to prepare its return to the cloud; the autoscaler gets the reply. */
    private void requestReturn(String machine, boolean withTasks) {
        MachineStatus status = statusExchange.statuses().get(machine);
        if (status == null) {
            return;
        }
        if (membership.owns(status.shard())) {
            autoscaler.onReturnReply(machine, workerRegistry.prepareReturn(machine, withTasks));
        } else if (membership.connectedOwner(status.shard()) > 0) {
            send(membership.connectedOwner(status.shard()), new PeerRecord.ReturnRequest(machine, withTasks));
        }
    }

    /**
     * Returns the capacity that will be available before a machine rented now could be ready: of booting machines, of
     * machines that await confirmation, and of tasks that are expected to end so soon that renting does not pay.
     */
    private List<Slot> upcomingSlots() {
        List<Slot> slots = autoscaler.bootingSlots(statusExchange.statuses());
        long now = effects.now();
        for (MachineStatus status : statusExchange.statuses().values()) {
            Catalog.MachineType type = catalog.type(status.type());
            if (status.pendingConfirmation() && type != null) {
                slots.add(Slot.ofArrivingMachine(status, type, view.capacityUsedOn(status.machine())));
            }
            if (!status.usable() || type == null) {
                continue;
            }
            double cpus = 0;
            double gpus = 0;
            double memoryGb = 0;
            long readyInMs = 0;
            for (Claim claim : view.claims(status.machine()).values()) {
                long endMs = jobScheduler.expectedEndMs(claim);
                if (endMs == Long.MAX_VALUE
                        || endMs > now + type.rentBreakEvenMs()
                        || !claim.job().isPlaced(claim.task())) {
                    continue;
                }
                readyInMs = Math.max(readyInMs, Math.max(MIN_READY_IN_MS, endMs - now));
                cpus += claim.job().spec.cpus();
                gpus += claim.job().spec.gpus();
                memoryGb += claim.job().spec.memoryGb();
            }
            if (readyInMs > 0) {
                slots.add(Slot.of(status, type, status.shard(), readyInMs, false, new double[] {cpus, gpus, memoryGb}));
            }
        }
        return slots;
    }
}
