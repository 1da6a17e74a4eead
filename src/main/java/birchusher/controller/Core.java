package birchusher.controller;

import birchusher.cloud.CloudLink;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.Bad;
import birchusher.fleet.Autoscaler;
import birchusher.http.Target;
import birchusher.jobs.Events;
import birchusher.jobs.JobApi;
import birchusher.jobs.Listing;
import birchusher.lease.Hazards;
import birchusher.lease.LeaseTerms;
import birchusher.lease.Speeds;
import birchusher.membership.Membership;
import birchusher.mesh.PeerCodec;
import birchusher.mesh.PeerRecord;
import birchusher.model.Catalog;
import birchusher.placement.Driver;
import birchusher.placement.Planner;
import birchusher.placement.Slot;
import birchusher.recovery.Inventory;
import birchusher.recovery.Losses;
import birchusher.recovery.Orders;
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
import birchusher.workers.Outcomes;
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
    private static final long HEARTBEAT_MS = 500;

    private final Effects effects = new Effects();
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final Outcomes outcomes;
    private final WorkerRegistry workerRegistry;
    private final JobApi jobApi;
    private final Listing listing;
    private final Planner planner;
    private final Driver driver;
    private final Autoscaler autoscaler;
    private final Counters counters = new Counters();
    private final MachineStatusExchange book;
    private final Orders orders = new Orders();
    private final Inventory inventory;
    private final Losses losses;
    /** Our machines as last drawn, a quarter of a second old at most when the news of them is told. */
    private List<MachineStatus> own = List.of();

    private boolean toldRestoring;
    private long nextHeartbeat;
    private long nextPictures;
    private long nextLine;
    private long badLogged = -1_000_000;

    public Core(Settings s, Tuning t, long now, long wall) {
        effects.time(now, wall);
        settings = s;
        catalog = new Catalog(s);
        JobCodec codec = new JobCodec(catalog);
        view = new StoreView(catalog, codec);
        view.steadyClock(effects::now);
        store = new StoreClient(effects, view, s, t);
        membership = new Membership(effects, s, catalog, view, store, t);
        Speeds speeds = new Speeds();
        Driver[] later = new Driver[1];
        book = new MachineStatusExchange(effects, catalog, membership);
        membership.hearsWorkers(book::hears);
        long patience =
                Inventory.patience(Math.round(s.reportS() * 1000), 1 + s.peers().size());
        losses = new Losses(patience, 1 + s.peers().size());
        outcomes = new Outcomes(effects, view, store, membership, counters, losses, this::send);
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
                book,
                orders,
                (job, grace, reason) -> later[0].stopGang(job, grace, reason),
                id -> later[0].last().guaranteed().contains(id));
        Hazards hazards = new Hazards();
        Events events = new Events();
        view.setClaimListeners(
                book::kind,
                c -> {
                    events.placed(effects.now(), c);
                    losses.back(c);
                },
                (c, lost) -> {
                    events.left(effects.now(), c, lost);
                    if (lost) {
                        losses.left(c, effects.now());
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
                losses,
                LeaseTerms.from(t),
                s.objectives(),
                t.num("placement.begin-by-s"));
        inventory = new Inventory(view, patience);
        driver = new Driver(
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
                inventory::returned,
                () -> losses.returningOfAll(effects.now()));
        later[0] = driver;
        jobApi = new JobApi(effects, s, catalog, codec, view, store, membership);
        listing = new Listing(effects, catalog, codec, view, store, jobApi, events);
        autoscaler = new Autoscaler(
                effects,
                s,
                catalog,
                view,
                store,
                membership,
                new CloudLink(effects, s),
                counters,
                orders,
                inventory::known,
                () -> losses.returningOfAll(effects.now()),
                t,
                this::retire,
                workerRegistry::gone,
                driver::slots,
                driver::runningFor);
    }

    // ---- inputs

    public List<Effect> request(long now, long wall, long exchange, String method, String target, byte[] body) {
        effects.time(now, wall);
        try {
            route(exchange, method, target, body);
        } catch (Bad | Target.Bad e) {
            if (now - badLogged > 1_000) {
                badLogged = now;
                LOG.info("{} {} refused: {}", method, target, e.getMessage());
            }
            effects.answer(exchange, 400, Map.of("error", e.getMessage()));
        }
        return done();
    }

    public List<Effect> reply(long now, long wall, long id, int status, byte[] body) {
        effects.time(now, wall);
        Map<String, Object> m = Map.of();
        int got = status;
        if (body.length > 0) {
            try {
                m = Fields.map(Pack.decode(body), "answer");
            } catch (Bad e) {
                LOG.info("unreadable answer: {}", e.getMessage());
                got = 0;
            }
        }
        try {
            effects.reply(id, got, m);
        } catch (Bad e) {
            LOG.error("answer not as agreed: {}", e.getMessage());
        }
        return done();
    }

    public List<Effect> peer(long now, long wall, byte[] record) {
        effects.time(now, wall);
        try {
            PeerCodec.Envelope from = PeerCodec.decode(record);
            int i = membership.index(from.member());
            if (i > 0 && membership.earlierLife(i, from.incarnation())) {
                throw new Bad("from an earlier life of " + from.member());
            }
            if (i > 0) {
                heard(i, from.incarnation(), from.record());
            }
        } catch (Bad e) {
            if (now - badLogged > 1_000) {
                badLogged = now;
                LOG.info("peer record refused: {}", e.getMessage());
            }
        }
        return done();
    }

    public List<Effect> tick(long now, long wall) {
        effects.time(now, wall);
        store.tick();
        membership.tick();
        workerRegistry.tick();
        jobApi.tick();
        losses.tick(now);
        boolean plan = driver.due();
        if (plan || now >= nextPictures) {
            nextPictures = now + 250;
            own = workerRegistry.pictures();
            book.draw(own);
            inventory.look(now, store.loaded(), this::told, autoscaler::leaves, autoscaler.strangers());
        }
        if (plan) {
            driver.tick(book.pictures(), this::coming);
        }
        autoscaler.tick(book.pictures(), driver.last());
        if (now >= nextHeartbeat) {
            nextHeartbeat = now + HEARTBEAT_MS;
            heartbeat();
        }
        if (now >= nextLine) {
            nextLine = now + 30_000;
            LOG.info(
                    "counters takeovers={} shards={} revision={} informed_ms={} jobs={} machines={} {} {} {} recovery={} open={} gone={} {}",
                    membership.takeovers,
                    membership.owned(),
                    view.appliedRevision(),
                    store.loaded() ? membership.staleness().ageMs() : -1,
                    view.jobs().size(),
                    book.pictures().size(),
                    counters.line(),
                    store.logText(),
                    driver.line(),
                    inventory.phase(),
                    inventory.open(),
                    view.releasedClaimCount(),
                    orders.line());
        }
        return done();
    }

    private List<Effect> done() {
        workerRegistry.flush();
        return effects.drain();
    }

    // ---- users, workers, probers

    private void route(long exchange, String method, String target, byte[] body) throws Target.Bad {
        int q = target.indexOf('?');
        String path = q < 0 ? target : target.substring(0, q);
        if (path.equals(Wire.HELLO)) {
            if (only(exchange, method, "POST")) {
                workerRegistry.hello(exchange, Fields.map(Pack.decode(body), "body"));
            }
        } else if (path.equals(Wire.READY)) {
            if (only(exchange, method, "GET")) {
                if (ready()) {
                    effects.answer(exchange, 200, Map.of());
                } else {
                    effects.later(exchange, 503, 1);
                }
            }
        } else if (path.equals(Wire.RUNS) && method.equals("GET")) {
            listing.list(exchange, Target.parse(target));
        } else if (path.equals(Wire.RUNS)) {
            if (only(exchange, method, "POST")) {
                jobApi.submit(exchange, body);
            }
        } else if (path.equals(Wire.TEAMS)) {
            if (only(exchange, method, "GET")) {
                listing.teams(exchange, settings.teams());
            }
        } else if (path.startsWith(Wire.RUNS + "/")) {
            String id = path.substring(Wire.RUNS.length() + 1);
            if (id.endsWith(Wire.WITHDRAW)) {
                if (only(exchange, method, "POST")) {
                    jobApi.cancel(exchange, id.substring(0, id.length() - Wire.WITHDRAW.length()));
                }
            } else if (id.endsWith(Wire.DESCRIBE)) {
                if (only(exchange, method, "GET")) {
                    listing.describe(
                            exchange, id.substring(0, id.length() - Wire.DESCRIBE.length()), Target.parse(target));
                }
            } else if (only(exchange, method, "GET")) {
                jobApi.poll(exchange, id);
            }
        } else {
            effects.answer(exchange, 404, Map.of("error", "no such path"));
        }
    }

    private boolean only(long exchange, String method, String allowed) {
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
    private boolean ready() {
        return store.loaded()
                && catalog.typesKnown()
                && (store.healthy() || !membership.othersAreServed() && !membership.lonely());
    }

    // ---- other controllers

    private void send(int member, PeerRecord r) {
        effects.send(member, encode(r));
    }

    private byte[] encode(PeerRecord r) {
        return PeerCodec.encode(settings.member(), membership.incarnation(), r);
    }

    private void heartbeat() {
        List<PeerRecord.Machine> news = book.news(own);
        PeerRecord.Heartbeat h = new PeerRecord.Heartbeat(
                membership.incarnation(),
                store.healthy(),
                membership.termsSeen(),
                membership.termsOwned(),
                news,
                book.left(),
                autoscaler.recentlyGone());
        byte[] record = encode(h);
        byte[] restoring = losses.returning() > 0 || toldRestoring
                ? encode(new PeerRecord.DroppedTasks(losses.returning()))
                : null;
        toldRestoring = losses.returning() > 0;
        PeerRecord.RevisionQuery q = membership.staleness().ask();
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

    private void heard(int from, long incarnation, PeerRecord r) {
        if (r instanceof PeerRecord.Heartbeat h) {
            if (membership.heard(from, h.storeHealthy(), h.incarnation(), h.seenTerms(), h.ownedTerms())) {
                book.tellEverything();
            }
            book.heard(from, h);
            h.deletedMachines().forEach(workerRegistry::gone);
        } else if (r instanceof PeerRecord.Offer o) {
            send(from, driver.judge(o));
        } else if (r instanceof PeerRecord.WithdrawnOffer o) {
            driver.calledOff(o);
        } else if (r instanceof PeerRecord.OfferReply v) {
            driver.verdict(v);
        } else if (r instanceof PeerRecord.StopRequest s) {
            driver.stopAsked(s);
        } else if (r instanceof PeerRecord.ReturnRequest x) {
            send(from, new PeerRecord.ReturnReply(x.machine(), workerRegistry.retire(x.machine(), x.withTasks())));
        } else if (r instanceof PeerRecord.AttemptOutcomes o) {
            outcomes.told(o);
        } else if (r instanceof PeerRecord.ReturnReply x) {
            autoscaler.retired(x.machine(), x.agreed());
        } else if (r instanceof PeerRecord.DroppedTasks x) {
            losses.told(from, x.count(), effects.now());
        } else if (r instanceof PeerRecord.RevisionQuery q) {
            send(from, membership.staleness().reply(q, incarnation));
        } else if (r instanceof PeerRecord.RevisionReply a) {
            membership.staleness().replied(from, a, membership.incarnation());
        }
    }

    private Inventory.Told told(String machine) {
        MachineStatus p = book.pictures().get(machine);
        if (p == null) {
            return Inventory.Told.NOTHING;
        }
        return p.usable() || p.condemned() || p.leaving() || p.silentMs() > 0
                ? Inventory.Told.FIT
                : Inventory.Told.REPORTS;
    }

    private void retire(String machine, boolean withTasks) {
        MachineStatus p = book.pictures().get(machine);
        if (p == null) {
            return;
        }
        if (membership.owns(p.shard())) {
            autoscaler.retired(machine, workerRegistry.retire(machine, withTasks));
        } else if (membership.liveOwner(p.shard()) > 0) {
            send(membership.liveOwner(p.shard()), new PeerRecord.ReturnRequest(machine, withTasks));
        }
    }

    /** Room that will be there before a machine bought now could be up. */
    private List<Slot> coming() {
        List<Slot> l = autoscaler.coming(book.pictures());
        long now = effects.now();
        for (MachineStatus p : book.pictures().values()) {
            Catalog.Type t = catalog.type(p.type());
            if (p.arriving() && t != null) {
                l.add(Slot.arriving(p, t, view.capacityUsedOn(p.machine())));
            }
            if (!p.usable() || t == null) {
                continue;
            }
            double cpus = 0;
            double gpus = 0;
            double mem = 0;
            long eta = 0;
            for (Claim c : view.claims(p.machine()).values()) {
                long end = driver.expectedEnd(c);
                if (end == Long.MAX_VALUE || end > now + t.soonMs() || !c.job().isPlaced(c.task())) {
                    continue;
                }
                eta = Math.max(eta, Math.max(1_000, end - now));
                cpus += c.job().spec.cpus();
                gpus += c.job().spec.gpus();
                mem += c.job().spec.mem();
            }
            if (eta > 0) {
                l.add(Slot.of(p, t, p.shard(), eta, false, new double[] {cpus, gpus, mem}));
            }
        }
        return l;
    }
}
