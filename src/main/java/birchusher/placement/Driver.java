package birchusher.placement;

import birchusher.core.Effects;
import birchusher.lease.LeaseTerms;
import birchusher.mesh.PeerRecord;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.seats.Seats;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.store.Change;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreLink;
import birchusher.store.Tx;
import birchusher.store.View;
import birchusher.workers.Counters;
import birchusher.workers.Picture;
import birchusher.workers.Yard;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Places the tasks of the jobs this controller drives: plan, offer to the machines' owners, claim by one transaction. */
public final class Driver {
    private static final Logger LOG = LoggerFactory.getLogger(Driver.class);
    private static final int MAX_OFFERED = 400;

    /** Sends a record to a member; index 0 is ourselves. */
    public interface Mesh {
        void send(int member, PeerRecord r);
    }

    /** Tasks of one job offered together; for a gang all of them must be accepted. */
    private static final class Group {
        final Job job;
        final List<Planner.Choice> choices;
        final Map<Integer, Long> accepted = new TreeMap<>();
        int waiting;
        boolean refused;
        long since;

        Group(Job job, List<Planner.Choice> choices, long since) {
            this.job = job;
            this.choices = choices;
            this.since = since;
        }
    }

    /** A job that would be served late, by how much, and whether it lies within its team's guarantee. */
    private record Wish(Job job, boolean guaranteed, double delayS) { }

    private record Asked(Group group, List<Planner.Choice> items) { }

    private final Effects fx;
    private final Settings settings;
    private final Catalog catalog;
    private final View view;
    private final StoreLink store;
    private final Seats seats;
    private final Yard yard;
    private final Planner planner;
    private final Counters counters;
    private final Mesh mesh;
    private final Map<String, Long> held = new HashMap<>();
    private final Map<String, Long> refusals = new LinkedHashMap<>();
    private final Map<Long, Asked> asked = new HashMap<>();
    private final Map<String, Long> preempting = new HashMap<>();
    private final Map<String, long[]> claimSeen = new HashMap<>();
    private final Map<String, long[]> errorSeen = new HashMap<>();
    private final long offerMs;
    private final long planGap;
    private final double preemptDelay;
    private long nextPlan;
    private long plannedChanges = -1;
    private long nextId = 1;
    private Planner.Plan last = new Planner.Plan(List.of(), List.of(), java.util.Set.of(), 0);

    public Driver(Effects fx, Settings s, Catalog catalog, View view, StoreLink store, Seats seats, Yard yard,
            Planner planner, Counters counters, Tuning t, Mesh mesh) {
        this.fx = fx;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.seats = seats;
        this.yard = yard;
        this.planner = planner;
        this.counters = counters;
        this.mesh = mesh;
        offerMs = t.ms("placement.offer-s");
        preemptDelay = t.num("placement.preempt-delay-s") * 1000;
        planGap = t.ms("placement.plan-gap-s");
        planner.zoneOfShard(seats::zoneOf);
    }

    public Planner.Plan last() {
        return last;
    }

    public void tick(Map<String, Picture> pictures, List<Slot> coming) {
        long now = fx.now();
        if (!store.loaded() || !catalog.typesKnown() || now < nextPlan) {
            return;
        }
        nextPlan = now + planGap;
        if (plannedChanges == view.changes() && now % 1_000 >= planGap) {
            return;
        }
        plannedChanges = view.changes();
        held.values().removeIf(until -> now > until);
        refusals.values().removeIf(until -> now > until);
        preempting.values().removeIf(until -> now > until);
        // An owner that died answers no offer: forgetting it only with the next offer once left a replica waiting for good,
        // as its own old offer took the one place its zone rule allowed.
        asked.values().removeIf(a -> now - a.group.since > offerMs);
        noteClaims(now);
        List<Slot> slots = slots(pictures);
        slots.addAll(coming);
        Planner.Plan plan = planner.plan(slots, held::containsKey, (m, j) -> refusals.containsKey(m + " " + j),
                this::paused, underway(), fx.wall());
        last = plan;
        counters.speedLimited += plan.speedLimited();
        if (seats.holding() && store.healthy()) {
            act(plan, now);
            preempt(plan, pictures, now);
        }
    }

    /** Remembers since when claims stand, to guess when they end. */
    private void noteClaims(long now) {
        for (Job j : view.jobs()) {
            for (Chunk c : j.chunks) {
                if (c != null) {
                    for (Claim x : c.claims.values()) {
                        claimSeen.computeIfAbsent(x.key() + "#" + x.attempt(), k -> new long[] {now, now})[1] = now;
                    }
                }
            }
        }
        claimSeen.values().removeIf(l -> l[1] < now);
    }

    /** For how long this controller has seen a claim stand, in ms. */
    public long runningFor(Claim c) {
        long[] seen = claimSeen.get(c.key() + "#" + c.attempt());
        return seen == null ? 0 : fx.now() - seen[0];
    }

    /** Expected end of a claim by what this controller has seen of it, in steady ms. */
    public long expectedEnd(Claim c) {
        if (c.job().spec.service()) {
            return Long.MAX_VALUE;
        }
        long ran = runningFor(c);
        double left = planner.expectedS(c.job().spec) * 1000 + 3_000 - ran;
        // The longer a task is overdue, the less its end is near: "any moment now" kept others waiting for minutes.
        return fx.now() + Math.round(Math.max(left, 0.4 * ran));
    }

    /** A job whose tasks keep failing waits longer and longer, so that it does not wear out machines. */
    private boolean paused(Job j) {
        long errors = 0;
        for (Chunk c : j.chunks) {
            errors += c == null ? 0 : c.errors;
        }
        if (errors < 2) {
            errorSeen.remove(j.spec.id());
            return false;
        }
        long[] seen = errorSeen.computeIfAbsent(j.spec.id(), k -> new long[] {0, 0});
        if (seen[0] != errors) {
            seen[0] = errors;
            seen[1] = fx.now() + Math.min(60_000, 500L << Math.min(7, errors / Math.max(1, Math.min(8, j.spec.tasks()))));
        }
        return fx.now() < seen[1];
    }

    private List<Planner.Choice> underway() {
        List<Planner.Choice> l = new ArrayList<>(claiming.values());
        asked.values().forEach(a -> l.addAll(a.items()));
        return l;
    }

    /** Free room on every machine in the pictures, less what the store records. */
    public List<Slot> slots(Map<String, Picture> pictures) {
        List<Slot> slots = new ArrayList<>();
        List<Planner.Choice> underway = underway();
        for (Picture p : pictures.values()) {
            Catalog.Type t = catalog.type(p.type());
            if (!p.usable() || t == null) {
                continue;
            }
            double[] f = {t.cpus() - p.strayUse()[0], t.gpus() - p.strayUse()[1], t.mem() - p.strayUse()[2]};
            Map<String, Claim> claims = view.claims(p.machine());
            for (Claim c : claims.values()) {
                minus(f, c.job().spec);
            }
            for (Planner.Choice c : underway) {
                if (c.slot().machine.equals(p.machine()) && !claims.containsKey(c.job().spec.id() + "/" + c.task())) {
                    minus(f, c.job().spec);
                }
            }
            slots.add(new Slot(p.machine(), t, p.zone(), p.spot(), p.session(), p.shard(), p.speed(), p.fetching(),
                    p.images(), 0, true, f[0], f[1], f[2]));
        }
        return slots;
    }

    private final Map<String, Planner.Choice> claiming = new HashMap<>();

    private static void minus(double[] f, JobSpec j) {
        f[0] -= j.cpus();
        f[1] -= j.gpus();
        f[2] -= j.mem();
    }

    // ---- offers

    private void act(Planner.Plan plan, long now) {
        Map<String, List<Planner.Choice>> groups = new LinkedHashMap<>();
        Map<String, Boolean> whole = new HashMap<>();
        for (Planner.Choice c : plan.choices()) {
            JobSpec s = c.job().spec;
            if (!c.slot().real) {
                whole.put(s.id(), false);
                continue;
            }
            if (held.size() + groups.size() > MAX_OFFERED || !seats.drives(s.id())) {
                continue;
            }
            String key = s.gang() ? s.id() : s.id() + "/" + c.task() / c.job().chunkSize;
            groups.computeIfAbsent(key, k -> new ArrayList<>()).add(c);
        }
        for (List<Planner.Choice> choices : groups.values()) {
            Job j = choices.get(0).job();
            if (j.spec.gang() && (!whole.getOrDefault(j.spec.id(), true) || choices.size() < j.spec.tasks())) {
                continue;
            }
            offer(new Group(j, choices, now));
        }
    }

    private void offer(Group g) {
        Map<Integer, List<Planner.Choice>> byOwner = new TreeMap<>();
        for (Planner.Choice c : g.choices) {
            int owner = seats.owns(c.slot().shard) ? 0 : seats.liveOwner(c.slot().shard);
            if (owner < 0 || owner == 0 && !seats.owns(c.slot().shard)) {
                g.refused = true;
                continue;
            }
            byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(c);
        }
        if (g.refused && g.job.spec.gang()) {
            return;
        }
        for (Planner.Choice c : g.choices) {
            held.put(key(c), fx.now() + offerMs);
        }
        g.waiting = byOwner.size();
        byOwner.forEach((owner, items) -> {
            long id = nextId++;
            asked.put(id, new Asked(g, items));
            List<PeerRecord.Item> list = new ArrayList<>();
            items.forEach(c -> list.add(new PeerRecord.Item(c.job().spec.id(), c.task(), c.slot().machine,
                    c.slot().session)));
            PeerRecord.Offer offer = new PeerRecord.Offer(id, list);
            if (owner == 0) {
                verdict(judge(offer));
            } else {
                mesh.send(owner, offer);
            }
        });
    }

    private static String key(Planner.Choice c) {
        return c.job().spec.id() + "/" + c.task();
    }

    /** As owner: checks an offer against the truth, keeping room for what is accepted. */
    public PeerRecord.Verdict judge(PeerRecord.Offer offer) {
        List<String> refusals = new ArrayList<>();
        List<Long> terms = new ArrayList<>();
        for (PeerRecord.Item i : offer.items()) {
            Job j = view.job(i.job());
            String no = j == null ? "job not known yet" : yard.reserve(j.spec, i.task(), 0, i.machine(), i.session());
            refusals.add(no == null ? "" : no);
            Integer shard = yard.shardOf(i.machine());
            terms.add(shard == null ? 0 : seats.term(shard));
        }
        return new PeerRecord.Verdict(offer.id(), refusals, terms);
    }

    public void verdict(PeerRecord.Verdict v) {
        Asked a = asked.remove(v.id());
        if (a == null || v.refusals().size() != a.items().size() || v.terms().size() != a.items().size()) {
            return;
        }
        Group g = a.group();
        for (int i = 0; i < a.items().size(); i++) {
            Planner.Choice c = a.items().get(i);
            String no = v.refusals().get(i);
            if (no.isEmpty()) {
                g.accepted.put(c.task(), v.terms().get(i));
            } else {
                g.refused = true;
                counters.refused++;
                LOG.debug("offer of {} to {} refused: {}", key(c), c.slot().machine, no);
                held.remove(key(c));
                refusals.put(c.slot().machine + " " + c.job().spec.id(),
                        fx.now() + (no.equals("failed here") ? 60_000 : 1_500));
            }
        }
        if (--g.waiting > 0) {
            return;
        }
        if (g.job.spec.gang() && g.refused || g.accepted.isEmpty()) {
            g.choices.forEach(c -> held.remove(key(c)));
            return;
        }
        claim(g);
    }

    // ---- claims

    private void claim(Group g) {
        JobSpec s = g.job.spec;
        List<Planner.Choice> list = new ArrayList<>();
        for (Planner.Choice c : g.choices) {
            if (g.accepted.containsKey(c.task())) {
                list.add(c);
                claiming.put(key(c), c);
                held.put(key(c), fx.now() + 30_000);
            }
        }
        boolean queued = store.offer(new Change() {
            private List<Planner.Choice> made = List.of();

            @Override
            public int rank() {
                return 4 + s.priority().ordinal();
            }

            @Override
            public int cost() {
                return s.gang() ? g.job.chunks.size() + 1 : 2;
            }

            @Override
            public long expires() {
                return g.since + offerMs;
            }

            @Override
            public boolean build(Tx tx) {
                made = fx.now() > expires() ? List.of() : write(tx, g, list);
                return !made.isEmpty();
            }

            @Override
            public void committed(long revision) {
                counters.claims += made.size();
                for (Planner.Choice c : made) {
                    LOG.info("task {} claimed on {} ({})", key(c), c.slot().machine, s.gang() ? "gang" : s.shape());
                }
                over();
            }

            @Override
            public void dropped() {
                over();
            }

            private void over() {
                for (Planner.Choice c : list) {
                    claiming.remove(key(c));
                    held.remove(key(c));
                }
                nextPlan = 0;
            }
        });
        if (!queued) {
            list.forEach(c -> {
                claiming.remove(key(c));
                held.remove(key(c));
            });
        }
    }

    /** Checks everything that the rules need against the records that the transaction conditions on. */
    private List<Planner.Choice> write(Tx tx, Group g, List<Planner.Choice> list) {
        JobSpec s = g.job.spec;
        Job j = view.job(s.id());
        if (j == null || j.state != Job.State.OPEN || s.gang() && j.claimCount() > 0 || tx.writes(Keys.JOB + s.id())) {
            return List.of();
        }
        Settings.Team team = catalog.team(s.team());
        double[] extra = tx.claimed(s.team());
        double cpus = view.cpusOf(s.team()) + extra[0];
        double gpus = view.gpusOf(s.team()) + extra[1];
        // Another change of this same transaction may already have placed tasks of this job.
        Map<Integer, Integer> zones = Planner.zones(j, seats::zoneOf, i -> tx.peek(j, i));
        List<Planner.Choice> ok = new ArrayList<>();
        for (Planner.Choice c : list) {
            Slot slot = c.slot();
            int shard = slot.shard;
            int zone = seats.zoneOf(shard);
            cpus += s.cpus();
            gpus += s.gpus();
            Chunk before = tx.peek(j, c.task() / j.chunkSize);
            boolean fine = !j.isDone(c.task()) && (before == null || !before.claims.containsKey(c.task()))
                    && seats.term(shard) == g.accepted.get(c.task()) && slot.allows(s) && zone == slot.zone
                    && !Catalog.over(team.cpusMax(), cpus) && !Catalog.over(team.gpusMax(), gpus)
                    && !(s.oneZone() && !zones.isEmpty() && !zones.containsKey(zone))
                    && !(s.spread() && zones.getOrDefault(zone, 0) >= s.zoneLimit());
            if (!fine) {
                cpus -= s.cpus();
                gpus -= s.gpus();
                if (s.gang()) {
                    return List.of();
                }
                continue;
            }
            zones.merge(zone, 1, Integer::sum);
            ok.add(c);
        }
        if (ok.isEmpty()) {
            return ok;
        }
        tx.require(Keys.JOB + s.id());
        // The gate serialises a team's claims: its use can't have grown since this view.
        String gate = Keys.GATE + team.name();
        tx.put(gate, Map.of("v", tx.view().version(gate)));
        long attempt = j.attempts();
        for (Planner.Choice c : ok) {
            attempt = Math.max(attempt, tx.chunk(j, c.task() / j.chunkSize).attempts);
        }
        attempt++;
        for (Planner.Choice c : ok) {
            Slot slot = c.slot();
            tx.require(seats.shardKey(slot.shard));
            Chunk chunk = tx.chunk(j, c.task() / j.chunkSize);
            chunk.attempts = attempt;
            chunk.claims.put(c.task(), new Claim(j, c.task(), attempt, slot.machine, slot.session, slot.shard));
        }
        extra[0] += ok.size() * s.cpus();
        extra[1] += ok.size() * s.gpus();
        return ok;
    }

    // ---- preemption

    /** Stops work that may be stopped to make room: of lower priority, or beyond its team's guarantee. */
    private void preempt(Planner.Plan plan, Map<String, Picture> pictures, long now) {
        int budget = 8;
        List<Wish> wishes = new ArrayList<>();
        Map<String, Wish> slow = new LinkedHashMap<>();
        for (Planner.Choice c : plan.choices()) {
            boolean guaranteed = plan.guaranteed().contains(c.job().spec.id());
            if (c.delayMs() > preemptDelay && (guaranteed || c.job().spec.priority() == Priority.PRODUCTION)) {
                slow.putIfAbsent(c.job().spec.id(), new Wish(c.job(), guaranteed, c.delayMs() / 1000));
            }
        }
        for (Planner.Unplaced u : plan.unplaced()) {
            slow.remove(u.job().spec.id());
            wishes.add(new Wish(u.job(), u.guaranteed(), Double.MAX_VALUE));
        }
        wishes.addAll(slow.values());
        for (Wish u : wishes) {
            Job j = u.job();
            if (!seats.drives(j.spec.id()) || budget <= 0 || j.spec.gang() && j.spec.tasks() > 1) {
                continue;
            }
            if (preempting.size() > 16 || preempting.containsKey("for " + j.spec.id())) {
                continue;
            }
            List<Claim> victims = victims(j, u.guaranteed(), u.delayS(), plan, pictures);
            if (victims.isEmpty()) {
                continue;
            }
            budget--;
            preempting.put("for " + j.spec.id(), now + 8_000);
            for (Claim v : victims) {
                preempting.put(v.key() + "#" + v.attempt(), now + 15_000);
                LOG.info("task {} makes room for {}", v.key(), j.spec.id());
                double grace = v.job().spec.resumes() ? v.job().spec.saveS() + 1 : 0;
                stop(v, grace, "preempted");
            }
        }
    }

    private List<Claim> victims(Job j, boolean guaranteed, double delayS, Planner.Plan plan, Map<String, Picture> pictures) {
        List<Claim> best = List.of();
        // Stopping somebody must be clearly better than the delay without it.
        double bestCost = delayS == Double.MAX_VALUE ? delayS : delayS * 0.7 - 2;
        Map<Integer, Integer> zones = planner.zones(j, underway());
        for (Slot slot : slots(pictures)) {
            if (!slot.allows(j.spec) || j.spec.spread() && zones.getOrDefault(slot.zone, 0) >= j.spec.zoneLimit()
                    || j.spec.oneZone() && !zones.isEmpty() && !zones.containsKey(slot.zone)) {
                continue;
            }
            List<Claim> candidates = new ArrayList<>();
            for (Claim c : view.claims(slot.machine).values()) {
                JobSpec v = c.job().spec;
                boolean lower = v.priority().compareTo(j.spec.priority()) > 0
                        && (j.spec.priority() == Priority.PRODUCTION || guaranteed || !plan.guaranteed().contains(v.id()));
                // Stopping one replica for another gains nothing and once went on for minutes.
                boolean beyond = guaranteed && v.priority() != Priority.PRODUCTION && v.team() != j.spec.team() && !plan.guaranteed().contains(v.id());
                if ((lower || beyond) && !preempting.containsKey(c.key() + "#" + c.attempt())
                        && (!v.gang() || v.tasks() == 1)) {
                    candidates.add(c);
                }
            }
            candidates.sort((a, b) -> Double.compare(cost(a), cost(b)));
            List<Claim> taken = new ArrayList<>();
            double cost = slot.startDelay(j.spec) / 1000;
            for (Claim c : candidates) {
                if (slot.fits(j.spec)) {
                    break;
                }
                slot.giveBack(c.job().spec);
                taken.add(c);
                cost += cost(c);
            }
            if (!taken.isEmpty() && slot.fits(j.spec) && cost < bestCost) {
                best = taken;
                bestCost = cost;
            }
        }
        return best;
    }

    /** What stopping a task loses, roughly in seconds of work. */
    private double cost(Claim c) {
        double ran = runningFor(c) / 1000.0;
        return c.job().spec.resumes() ? 3 + c.job().spec.saveS() : 3 + ran * 0.5;
    }

    /** Has a task, or the whole gang it belongs to, stopped by the owners of the machines. */
    public void stop(Claim c, double graceS, String reason) {
        if (c.job().spec.gang()) {
            stopGang(c.job(), graceS, reason);
            return;
        }
        send(c, graceS, reason, c.task());
    }

    public void stopGang(Job job, double graceS, String reason) {
        java.util.Set<Integer> owners = new java.util.TreeSet<>();
        for (Chunk ch : job.chunks) {
            if (ch != null) {
                for (Claim c : ch.claims.values()) {
                    int owner = seats.owns(c.shard()) ? 0 : seats.liveOwner(c.shard());
                    if (owner == 0) {
                        yard.wishStop(c, graceS, reason);
                    } else if (owner > 0 && owners.add(owner)) {
                        mesh.send(owner, new PeerRecord.Stop(job.spec.id(), -1, c.attempt(), graceS, reason));
                    }
                }
            }
        }
    }

    private void send(Claim c, double graceS, String reason, int task) {
        if (seats.owns(c.shard())) {
            yard.wishStop(c, graceS, reason);
            return;
        }
        int owner = seats.liveOwner(c.shard());
        if (owner > 0) {
            mesh.send(owner, new PeerRecord.Stop(c.job().spec.id(), task, c.attempt(), graceS, reason));
        }
    }

    /** As owner: carries out a stop that another controller asks for. */
    public void stopAsked(PeerRecord.Stop s) {
        Job j = view.job(s.job());
        if (j == null) {
            return;
        }
        for (Chunk ch : j.chunks) {
            if (ch != null) {
                for (Claim c : List.copyOf(ch.claims.values())) {
                    if (c.attempt() == s.attempt() && (s.task() < 0 || s.task() == c.task()) && seats.owns(c.shard())) {
                        yard.wishStop(c, s.graceS(), s.reason());
                    }
                }
            }
        }
    }
}
