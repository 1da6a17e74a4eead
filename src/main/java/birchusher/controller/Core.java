package birchusher.controller;

import birchusher.cloud.CloudClient;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.fleet.Autoscaler;
import birchusher.http.Target;
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
import birchusher.wire.Pack;
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
 * The whole core as one state machine: inputs with their times go in, effects come out. It has no I/O, no clock and no
 * thread, so a test or a simulation can drive it as well as the server does.
 */
public final class Core {
    private static final Logger LOG = LoggerFactory.getLogger(Core.class);
    private static final long HEARTBEAT_INTERVAL_MS = 500;

    private final Effects effects = new Effects();
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final OutcomeRecorder outcomes;
    private final WorkerRegistry workerRegistry;
    private final JobApi jobApi;
    private final QueryApi listing;
    private final Planner planner;
    private final JobScheduler jobScheduler;
    private final Autoscaler autoscaler;
    private final Counters counters = new Counters();
    private final MachineStatusExchange statusExchange;
    private final ActionCounters actionCounters = new ActionCounters();
    private final Inventory inventory;
    private final LostTasks lostTasks;
    /** Our machines as last drawn, a quarter of a second old at most when the news of them is told. */
    private List<MachineStatus> ownStatuses = List.of();

    private boolean restoringAnnounced;
    private long nextHeartbeatMs;
    private long nextStatusUpdateMs;
    private long nextCountersLogMs;
    private long rejectionLoggedMs = -1_000_000;

    public Core(Settings s, Tuning t, long now, long wall) {
        effects.setTime(now, wall);
        settings = s;
        catalog = new Catalog(s);
        JobCodec codec = new JobCodec(catalog);
        view = new StoreView(catalog, codec);
        view.steadyClock(effects::now);
        store = new StoreClient(effects, view, s, t);
        membership = new Membership(effects, s, catalog, view, store, t);
        EstimateBias speeds = new EstimateBias();
        JobScheduler[] later = new JobScheduler[1];
        statusExchange = new MachineStatusExchange(effects, catalog, membership);
        membership.reachesWorkers(statusExchange::ownerReachesZone);
        long patience = Inventory.reconnectTimeMs(
                Math.round(s.reportS() * 1000), 1 + s.peers().size());
        lostTasks = new LostTasks(patience, 1 + s.peers().size());
        outcomes = new OutcomeRecorder(effects, view, store, membership, counters, lostTasks, this::send);
        workerRegistry = new WorkerRegistry(
                effects,
                s,
                catalog,
                view,
                store,
                membership,
                speeds,
                t,
                counters,
                outcomes,
                statusExchange,
                actionCounters,
                (job, grace, reason) -> later[0].stopGang(job, grace, reason),
                id -> later[0].lastPlan().guaranteedJobs().contains(id));
        LossRates hazards = new LossRates();
        TaskEvents events = new TaskEvents();
        view.setClaimListeners(
                statusExchange::machineKind,
                c -> {
                    events.placed(effects.now(), c);
                    lostTasks.recordPlaced(c);
                },
                (c, lost) -> {
                    events.ended(effects.now(), c, lost);
                    if (lost) {
                        lostTasks.recordReleased(c, effects.now());
                    }
                    if (c.machineKind() >= 0) {
                        hazards.observe(c.machineKind(), (effects.now() - c.seenAtMs()) / 1000.0, lost, effects.now());
                    }
                });
        planner = new Planner(
                catalog,
                view,
                speeds,
                hazards,
                lostTasks,
                LeaseSettings.from(t),
                s.objectives(),
                t.num("placement.begin-by-s"));
        inventory = new Inventory(view, patience);
        jobScheduler = new JobScheduler(
                effects,
                s,
                catalog,
                view,
                store,
                membership,
                workerRegistry,
                planner,
                counters,
                t,
                this::send,
                inventory::wasFleetKnown,
                () -> lostTasks.tasksToRestoreOfAll(effects.now()));
        later[0] = jobScheduler;
        jobApi = new JobApi(effects, s, catalog, codec, view, store, membership);
        listing = new QueryApi(effects, catalog, codec, view, store, jobApi, events);
        autoscaler = new Autoscaler(
                effects,
                s,
                catalog,
                view,
                store,
                membership,
                new CloudClient(effects, s),
                counters,
                actionCounters,
                inventory::isFleetKnown,
                () -> lostTasks.tasksToRestoreOfAll(effects.now()),
                t,
                this::requestReturn,
                workerRegistry::onMachineDeleted,
                jobScheduler::freeSlots,
                jobScheduler::runningMs);
    }

    // ---- inputs

    public List<Effect> handleRequest(long now, long wall, long exchange, String method, String target, byte[] body) {
        effects.setTime(now, wall);
        try {
            route(exchange, method, target, body);
        } catch (InvalidInputException | Target.Bad e) {
            if (now - rejectionLoggedMs > 1_000) {
                rejectionLoggedMs = now;
                LOG.info("{} {} refused: {}", method, target, e.getMessage());
            }
            effects.answer(exchange, 400, Map.of("error", e.getMessage()));
        }
        return finishStep();
    }

    public List<Effect> handleReply(long now, long wall, long id, int status, byte[] body) {
        effects.setTime(now, wall);
        Map<String, Object> m = Map.of();
        int got = status;
        if (body.length > 0) {
            try {
                m = Fields.map(Pack.decode(body), "answer");
            } catch (InvalidInputException e) {
                LOG.info("unreadable answer: {}", e.getMessage());
                got = 0;
            }
        }
        try {
            effects.completeCall(id, got, m);
        } catch (InvalidInputException e) {
            LOG.error("answer not as agreed: {}", e.getMessage());
        }
        return finishStep();
    }

    public List<Effect> handlePeerRecord(long now, long wall, byte[] record) {
        effects.setTime(now, wall);
        try {
            PeerCodec.Envelope from = PeerCodec.decode(record);
            int i = membership.memberIndex(from.member());
            if (i > 0 && membership.isEarlierIncarnation(i, from.incarnation())) {
                throw new InvalidInputException("from an earlier life of " + from.member());
            }
            if (i > 0) {
                dispatchPeerRecord(i, from.incarnation(), from.record());
            }
        } catch (InvalidInputException e) {
            if (now - rejectionLoggedMs > 1_000) {
                rejectionLoggedMs = now;
                LOG.info("peer record refused: {}", e.getMessage());
            }
        }
        return finishStep();
    }

    public List<Effect> tick(long now, long wall) {
        effects.setTime(now, wall);
        store.tick();
        membership.tick();
        workerRegistry.tick();
        jobApi.tick();
        lostTasks.tick(now);
        boolean plan = jobScheduler.planDue();
        if (plan || now >= nextStatusUpdateMs) {
            nextStatusUpdateMs = now + 250;
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
            nextCountersLogMs = now + 30_000;
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
                    inventory.open(),
                    view.releasedClaimCount(),
                    actionCounters.logText());
        }
        return finishStep();
    }

    private List<Effect> finishStep() {
        workerRegistry.flushCommands();
        return effects.drain();
    }

    // ---- users, workers, probers

    private void route(long exchange, String method, String target, byte[] body) throws Target.Bad {
        int q = target.indexOf('?');
        String path = q < 0 ? target : target.substring(0, q);
        if (path.equals(Wire.HELLO)) {
            if (requireMethod(exchange, method, "POST")) {
                workerRegistry.onReport(exchange, Fields.map(Pack.decode(body), "body"));
            }
        } else if (path.equals(Wire.READY)) {
            if (requireMethod(exchange, method, "GET")) {
                if (isReady()) {
                    effects.answer(exchange, 200, Map.of());
                } else {
                    effects.refuseWithRetry(exchange, 503, 1);
                }
            }
        } else if (path.equals(Wire.RUNS) && method.equals("GET")) {
            listing.list(exchange, Target.parse(target));
        } else if (path.equals(Wire.RUNS)) {
            if (requireMethod(exchange, method, "POST")) {
                jobApi.submit(exchange, body);
            }
        } else if (path.equals(Wire.TEAMS)) {
            if (requireMethod(exchange, method, "GET")) {
                listing.teams(exchange, settings.teams());
            }
        } else if (path.startsWith(Wire.RUNS + "/")) {
            String id = path.substring(Wire.RUNS.length() + 1);
            if (id.endsWith(Wire.WITHDRAW)) {
                if (requireMethod(exchange, method, "POST")) {
                    jobApi.cancel(exchange, id.substring(0, id.length() - Wire.WITHDRAW.length()));
                }
            } else if (id.endsWith(Wire.DESCRIBE)) {
                if (requireMethod(exchange, method, "GET")) {
                    listing.describe(
                            exchange, id.substring(0, id.length() - Wire.DESCRIBE.length()), Target.parse(target));
                }
            } else if (requireMethod(exchange, method, "GET")) {
                jobApi.poll(exchange, id);
            }
        } else {
            effects.answer(exchange, 404, Map.of("error", "no such path"));
        }
    }

    private boolean requireMethod(long exchange, String method, String allowed) {
        if (method.equals(allowed)) {
            return true;
        }
        effects.answer(exchange, 405, Map.of("error", "only " + allowed));
        return false;
    }

    /**
     * In an outage of everybody's, staying ready keeps polls of ended jobs answered; alone refused, we step back. So does who hears
     * neither the state service nor any other controller: it can't tell the two apart, and its users would get nothing but 503.
     */
    private boolean isReady() {
        return store.loaded()
                && catalog.typesKnown()
                && (store.healthy() || !membership.anyPeerServed() && !membership.isIsolated());
    }

    // ---- other controllers

    private void send(int member, PeerRecord r) {
        effects.send(member, encode(r));
    }

    private byte[] encode(PeerRecord r) {
        return PeerCodec.encode(settings.member(), membership.incarnation(), r);
    }

    private void sendHeartbeat() {
        List<PeerRecord.Machine> news = statusExchange.changedStatuses(ownStatuses);
        PeerRecord.Heartbeat h = new PeerRecord.Heartbeat(
                membership.incarnation(),
                store.healthy(),
                membership.highestTerms(),
                membership.ownedTerms(),
                news,
                statusExchange.removedMachines(),
                autoscaler.recentlyDeleted());
        byte[] record = encode(h);
        byte[] restoring = lostTasks.tasksToRestore() > 0 || restoringAnnounced
                ? encode(new PeerRecord.DroppedTasks(lostTasks.tasksToRestore()))
                : null;
        restoringAnnounced = lostTasks.tasksToRestore() > 0;
        PeerRecord.RevisionQuery q = membership.staleness().peerQuery();
        byte[] query = q == null ? null : encode(q);
        for (int i = 1; i < membership.memberCount(); i++) {
            effects.send(i, record);
            if (restoring != null) {
                effects.send(i, restoring);
            }
            if (query != null) {
                effects.send(i, query);
            }
        }
    }

    private void dispatchPeerRecord(int from, long incarnation, PeerRecord r) {
        if (r instanceof PeerRecord.Heartbeat h) {
            if (membership.handleHeartbeat(from, h.storeHealthy(), h.incarnation(), h.seenTerms(), h.ownedTerms())) {
                statusExchange.publishAllNext();
            }
            statusExchange.onHeartbeat(from, h);
            h.deletedMachines().forEach(workerRegistry::onMachineDeleted);
        } else if (r instanceof PeerRecord.Offer o) {
            send(from, jobScheduler.evaluateOffer(o));
        } else if (r instanceof PeerRecord.WithdrawnOffer o) {
            jobScheduler.releaseReservations(o);
        } else if (r instanceof PeerRecord.OfferReply v) {
            jobScheduler.handleReply(v);
        } else if (r instanceof PeerRecord.StopRequest s) {
            jobScheduler.handleStop(s);
        } else if (r instanceof PeerRecord.ReturnRequest x) {
            send(
                    from,
                    new PeerRecord.ReturnReply(x.machine(), workerRegistry.prepareReturn(x.machine(), x.withTasks())));
        } else if (r instanceof PeerRecord.AttemptOutcomes o) {
            outcomes.onPeerOutcomes(o);
        } else if (r instanceof PeerRecord.ReturnReply x) {
            autoscaler.onReturnReply(x.machine(), x.agreed());
        } else if (r instanceof PeerRecord.DroppedTasks x) {
            lostTasks.handlePeerReport(from, x.count(), effects.now());
        } else if (r instanceof PeerRecord.RevisionQuery q) {
            send(from, membership.staleness().answerQuery(q, incarnation));
        } else if (r instanceof PeerRecord.RevisionReply a) {
            membership.staleness().handleReply(from, a, membership.incarnation());
        }
    }

    private Inventory.MachineEvidence machineEvidence(String machine) {
        MachineStatus p = statusExchange.statuses().get(machine);
        if (p == null) {
            return Inventory.MachineEvidence.NONE;
        }
        return p.usable() || p.faulty() || p.beingReturned() || p.silentMs() > 0
                ? Inventory.MachineEvidence.CONFIRMED
                : Inventory.MachineEvidence.REPORTED;
    }

    private void requestReturn(String machine, boolean withTasks) {
        MachineStatus p = statusExchange.statuses().get(machine);
        if (p == null) {
            return;
        }
        if (membership.owns(p.shard())) {
            autoscaler.onReturnReply(machine, workerRegistry.prepareReturn(machine, withTasks));
        } else if (membership.connectedOwner(p.shard()) > 0) {
            send(membership.connectedOwner(p.shard()), new PeerRecord.ReturnRequest(machine, withTasks));
        }
    }

    /** Room that will be there before a machine bought now could be up. */
    private List<Slot> upcomingSlots() {
        List<Slot> l = autoscaler.bootingSlots(statusExchange.statuses());
        long now = effects.now();
        for (MachineStatus p : statusExchange.statuses().values()) {
            Catalog.MachineType t = catalog.type(p.type());
            if (p.pendingConfirmation() && t != null) {
                l.add(Slot.ofArrivingMachine(p, t, view.capacityUsedOn(p.machine())));
            }
            if (!p.usable() || t == null) {
                continue;
            }
            double cpus = 0;
            double gpus = 0;
            double mem = 0;
            long eta = 0;
            for (Claim c : view.claims(p.machine()).values()) {
                long end = jobScheduler.expectedEndMs(c);
                if (end == Long.MAX_VALUE
                        || end > now + t.rentBreakEvenMs()
                        || !c.job().isPlaced(c.task())) {
                    continue;
                }
                eta = Math.max(eta, Math.max(1_000, end - now));
                cpus += c.job().spec.cpus();
                gpus += c.job().spec.gpus();
                mem += c.job().spec.memoryGb();
            }
            if (eta > 0) {
                l.add(Slot.of(p, t, p.shard(), eta, false, new double[] {cpus, gpus, mem}));
            }
        }
        return l;
    }
}
