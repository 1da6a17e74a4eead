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
public final class Driver {
    private static final Logger LOG = LoggerFactory.getLogger(Driver.class);
    private static final int MAX_OFFERED = 400;
    /** Offers under way that are always allowed in a return, however scarce changes are. */
    private static final int MIN_OUT = 8;
    /** Waiting jobs for which one plan looks for work to stop. */
    private static final int MAX_WISHES = 12;

    private static final int MAX_PREEMPTING = 8;
    /** A job that has asked for others' room does not ask again before it can be seen what came of it. */
    private static final long PREEMPT_AGAIN_MS = 3_000;

    private static final String NOT_KNOWN_YET = "job not known yet";

    /** Sends a record to a member; index 0 is ourselves. */
    public interface Mesh {
        void send(int member, PeerRecord r);
    }

    /** Tasks of one job offered together; for a gang all of them must be accepted. */
    private static final class Group {
        final Job job;
        final List<Planner.Choice> choices;
        final Map<Integer, Long> accepted = new TreeMap<>();
        /** Counts on room that the owners make once its claim stands. */
        final boolean makesRoom;

        int waiting;
        boolean refused;
        long since;

        Group(Job job, List<Planner.Choice> choices, boolean makesRoom, long since) {
            this.job = job;
            this.choices = choices;
            this.makesRoom = makesRoom;
            this.since = since;
        }
    }

    /** A job that would be served late, by how much, and whether it lies within its team's guarantee. */
    private record Wish(Job job, boolean guaranteed, double delayS) {}

    /** So many errors without a task that ended well are more than one faulty machine at the beginning makes. */
    private static final int DOUBT = 6;

    private record Asked(Group group, List<Planner.Choice> items) {}

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
    private final Mesh mesh;
    /** Whether the fleet has been heard since the rows were read: until then work is not stopped for want of room. */
    private final BooleanSupplier fleetKnown;
    /** Dropped tasks of the cluster that are to find their places again. */
    private final IntSupplier returning;
    /** Per job and task: until when it is on its way and must not be planned again. */
    private final Map<String, Map<Integer, Long>> held = new HashMap<>();

    private int heldCount;
    /** Per job and machine: until when an offer there is not repeated. */
    private final Map<String, Map<String, Long>> refusals = new HashMap<>();

    private final Map<Long, Asked> asked = new HashMap<>();
    /** Offered, and not yet claimed or given up. Each takes a row or more. */
    private final Set<Group> out = new HashSet<>();
    /** Jobs that have asked for others' room: until when they don't ask again. */
    private final Map<String, Long> preempting = new HashMap<>();

    private final Map<String, long[]> errorSeen = new HashMap<>();
    private final long offerMs;
    private final long planGap;
    private final double slotsPerMs;
    private final double preemptDelay;
    private long nextPlan;
    private long plannedChanges = -1;
    private long plannedAt = -1_000_000;
    private long nextForget;
    /** The fleet as it was when the plan at hand began. */
    private Map<String, MachineStatus> statuses = Map.of();
    /** Of offers. Begins anew with each life's time of day: a verdict on an earlier life's offer must not pass for one on ours. */
    private long nextId;

    private Planner.Plan last = new Planner.Plan(List.of(), List.of(), Set.of(), 0, 0, List.of());

    public Driver(
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
            Mesh mesh,
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
        preemption = new Preemption(view, this::runningFor);
        this.counters = counters;
        this.mesh = mesh;
        this.fleetKnown = fleetKnown;
        this.returning = returning;
        nextId = effects.wallTime() << 20;
        offerMs = t.ms("placement.offer-s");
        preemptDelay = t.num("placement.preempt-delay-s") * 1000;
        planGap = t.ms("placement.plan-gap-s");
        slotsPerMs = t.num("placement.slots-per-s") / 1000;
        planner.zoneOfShard(membership::zoneOf);
    }

    /** What the last plan made of the waiting tasks: room now, room soon, none; overdue of the second. */
    public String line() {
        long now = last.choices().stream().filter(c -> c.slot().real).count();
        return "room_now=" + now + " room_soon=" + (last.choices().size() - now) + " no_room="
                + last.unplaced().stream().mapToInt(Planner.Unplaced::tasks).sum() + " overdue="
                + last.choices().stream()
                        .filter(c -> c.overdue(effects.wallTime()))
                        .count();
    }

    public Planner.Plan last() {
        return last;
    }

    /** Whether a plan is due; the pictures need to be drawn only then. */
    public boolean due() {
        long now = effects.now();
        return store.loaded()
                && catalog.typesKnown()
                && now >= nextPlan
                && (plannedChanges != view.changeCount() || now - plannedAt >= 1_000);
    }

    /** {@code coming}: room that is not there yet; looked for only when something waits. */
    public void tick(Map<String, MachineStatus> pictures, Supplier<List<Slot>> coming) {
        statuses = pictures;
        long now = effects.now();
        plannedAt = now;
        plannedChanges = view.changeCount();
        forget(now);
        if (!planner.anyWaiting()) {
            last = new Planner.Plan(List.of(), List.of(), planner.guaranteed(), 0, 0, List.of());
            nextPlan = now + planGap;
            return;
        }
        List<Slot> slots = slots(pictures);
        slots.addAll(coming.get());
        Planner.Plan plan = planner.plan(slots, marks, underway(), now, effects.wallTime());
        last = plan;
        // Large fleets and long queues make plans dear: they are then made less often, not at the cost of the reports.
        // Every claim
        // is looked at too, for the room that it will leave.
        nextPlan = now + Math.max(planGap, Math.round((plan.work() + view.claimCount()) / slotsPerMs));
        counters.plans++;
        counters.slotsLookedAt += plan.work();
        counters.speedLimited += plan.speedLimited();
        if (membership.canAct() && store.healthy()) {
            act(plan, pictures, now);
            if (fleetKnown.getAsBoolean()) {
                preempt(plan, pictures, now);
            }
        }
    }

    private void forget(long now) {
        if (now >= nextForget) {
            nextForget = now + 100;
            held.values().removeIf(m -> {
                m.values().removeIf(until -> now > until);
                return m.isEmpty();
            });
            heldCount = held.values().stream().mapToInt(Map::size).sum();
            refusals.values().removeIf(m -> {
                m.values().removeIf(until -> now > until);
                return m.isEmpty();
            });
            preempting.values().removeIf(until -> now > until);
            // An owner that died answers no offer: forgetting it only with the next offer once left a replica waiting
            // for
            // good, as its own old offer took the one place its zone rule allowed.
            asked.values().removeIf(a -> now - a.group.since > offerMs);
            out.removeIf(g -> g.waiting > 0 && now - g.since > offerMs);
            errorSeen.keySet().removeIf(id -> view.job(id) == null);
        }
    }

    private void hold(Planner.Choice c, long until) {
        if (held.computeIfAbsent(c.job().spec.id(), k -> new HashMap<>()).put(c.task(), until) == null) {
            heldCount++;
        }
    }

    private void letGo(Planner.Choice c) {
        Map<Integer, Long> m = held.get(c.job().spec.id());
        if (m != null && m.remove(c.task()) != null) {
            heldCount--;
        }
    }

    private final Planner.Marks marks = new Planner.Marks() {
        @Override
        public IntPredicate held(String job) {
            Map<Integer, Long> m = held.get(job);
            IntOpenHashSet others = elsewhere.get(job);
            if (m == null || m.isEmpty()) {
                return others == null ? null : others::contains;
            }
            return others == null ? m::containsKey : t -> m.containsKey(t) || others.contains(t);
        }

        @Override
        public Set<String> refused(String job) {
            Map<String, Long> m = refusals.get(job);
            return m == null || m.isEmpty() ? null : m.keySet();
        }

        @Override
        public boolean paused(Job j) {
            return Driver.this.paused(j);
        }

        @Override
        public boolean doubted(Job j) {
            return j.spec.shape() == Shape.ARRAY
                    && j.doneCount() == 0
                    && j.consecutiveErrors() >= Math.min(DOUBT, Math.max(2, j.spec.tasks()));
        }

        @Override
        public boolean returning(String machine, long session) {
            MachineStatus status = statuses.get(machine);
            return status != null && status.session() > session && status.pendingConfirmation();
        }
    };

    /** For how long this controller has seen a claim stand, in ms. */
    public long runningFor(Claim c) {
        return c.seenAtMs() < 0 ? 0 : effects.now() - c.seenAtMs();
    }

    /** Expected end of a claim by what this controller has seen of it, in steady ms. */
    public long expectedEnd(Claim c) {
        if (c.job().spec.service()) {
            return Long.MAX_VALUE;
        }
        long ran = runningFor(c);
        double left = planner.expectedS(c.job().spec) * 1000 + 3_000 - ran;
        // The longer a task is overdue, the less its end is near: "any moment now" kept others waiting for minutes.
        return effects.now() + Math.round(Math.max(left, 0.4 * ran));
    }

    /** A job whose tasks keep failing waits longer and longer, so that it does not wear out machines. */
    private boolean paused(Job j) {
        long errors = j.consecutiveErrors();
        if (errors < 2) {
            errorSeen.remove(j.spec.id());
            return false;
        }
        long[] seen = errorSeen.computeIfAbsent(j.spec.id(), k -> new long[] {0, 0});
        if (seen[0] != errors) {
            seen[0] = errors;
            seen[1] = effects.now()
                    + Math.min(60_000, 500L << Math.min(7, errors / Math.max(1, Math.min(8, j.spec.tasks()))));
        }
        return effects.now() < seen[1];
    }

    private List<Planner.Choice> underway() {
        List<Planner.Choice> l = new ArrayList<>(claiming.values());
        asked.values().forEach(a -> l.addAll(a.items()));
        return l;
    }

    /** Free room on every machine in the pictures, less what the store records. */
    public List<Slot> slots(Map<String, MachineStatus> pictures) {
        List<Slot> slots = new ArrayList<>(pictures.size());
        elsewhere.clear();
        Map<String, List<Planner.Choice>> underway = new HashMap<>();
        for (Planner.Choice c : underway()) {
            underway.computeIfAbsent(c.slot().machine, k -> new ArrayList<>()).add(c);
        }
        for (MachineStatus p : pictures.values()) {
            Catalog.Type t = catalog.type(p.type());
            if (!p.usable() || t == null) {
                continue;
            }
            double[] used = view.capacityUsedOn(p.machine());
            double[] f = {
                t.cpus() - p.unclaimedUse()[0] - used[0],
                t.gpus() - p.unclaimedUse()[1] - used[1],
                t.mem() - p.unclaimedUse()[2] - used[2]
            };
            for (Planner.Choice c : underway.getOrDefault(p.machine(), List.of())) {
                Claim stands = c.job().isPlaced(c.task()) ? c.job().claim(c.task()) : null;
                if (stands == null || !stands.machine().equals(p.machine())) {
                    minus(f, c.job().spec);
                }
            }
            for (String key : p.reservedTasks()) {
                int slash = key.lastIndexOf('/');
                Job j = view.job(key.substring(0, Math.max(0, slash)));
                if (j != null && !asked(j, key.substring(slash + 1), p.machine(), underway)) {
                    minus(f, j.spec);
                }
            }
            slots.add(Slot.of(p, t, p.shard(), 0, true, f));
        }
        return slots;
    }

    /** Whether a reservation is already counted: as a claim that stands, or as an offer of our own. */
    private boolean asked(Job j, String task, String machine, Map<String, List<Planner.Choice>> underway) {
        int n = Integer.parseInt(task);
        if (n >= j.spec.tasks() || j.isPlaced(n)) {
            return true;
        }
        for (Planner.Choice c : underway.getOrDefault(machine, List.of())) {
            if (c.task() == n && c.job().spec.id().equals(j.spec.id())) {
                return true;
            }
        }
        elsewhere.computeIfAbsent(j.spec.id(), k -> new IntOpenHashSet()).add(n);
        return false;
    }

    /** Per job the tasks that other drivers' reservations are for: as good as placed. */
    private final Map<String, IntOpenHashSet> elsewhere = new HashMap<>();

    private final Map<String, Planner.Choice> claiming = new HashMap<>();

    private static void minus(double[] f, JobSpec j) {
        f[0] -= j.cpus();
        f[1] -= j.gpus();
        f[2] -= j.mem();
    }

    // ---- offers

    private void act(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        Map<String, List<Planner.Choice>> groups = new LinkedHashMap<>();
        Map<String, Boolean> whole = new HashMap<>();
        for (Planner.Choice c : plan.choices()) {
            JobSpec s = c.job().spec;
            if (!c.slot().real) {
                whole.put(s.id(), false);
                continue;
            }
            if (heldCount + groups.size() > MAX_OFFERED || !membership.schedules(s.id())) {
                continue;
            }
            String key = s.gang() ? s.id() : s.id() + "/" + c.task() / c.job().chunkSize;
            groups.computeIfAbsent(key, k -> new ArrayList<>()).add(c);
        }
        // In a return no more than can be claimed before the offers end, the first in the plan's order: ten times as
        // many were offered,
        // and most of them only kept room from the others until they were given up. On other days the limit made arrays
        // late.
        int rows = Math.max(MIN_OUT, store.expectedRowsWithin(offerMs));
        int most = returning.getAsInt() > rows ? rows : Integer.MAX_VALUE;
        for (List<Planner.Choice> choices : groups.values()) {
            if (out.size() >= most) {
                return;
            }
            Job j = choices.get(0).job();
            if (j.spec.gang() && (!whole.getOrDefault(j.spec.id(), true) || choices.size() < j.spec.tasks())) {
                continue;
            }
            List<Planner.Choice> sooner = sooner(j, choices, plan, pictures);
            offer(sooner == null ? new Group(j, choices, false, now) : new Group(j, sooner, true, now));
        }
    }

    /** For a gang that would miss an aim only as its images have to come: places where they are, if others may be stopped there. */
    private List<Planner.Choice> sooner(
            Job j, List<Planner.Choice> choices, Planner.Plan plan, Map<String, MachineStatus> pictures) {
        if (!j.spec.manyGang()) {
            return null;
        }
        double spareMs = planner.spareMs(j, effects.wallTime());
        if (choices.stream().noneMatch(c -> c.delayMs() > spareMs)) {
            return null;
        }
        List<Slot> slots = slots(pictures);
        ahead(plan, j, slots);
        List<Planner.Choice> l = preemption.gang(
                j,
                plan.guaranteed().contains(j.spec.id()),
                Double.MAX_VALUE,
                spareMs,
                plan,
                slots,
                catalog.zones.size(),
                marks.refused(j.spec.id()));
        return l == null || l.stream().anyMatch(c -> c.delayMs() > spareMs) ? null : l;
    }

    private void offer(Group g) {
        Map<Integer, List<Planner.Choice>> byOwner = new TreeMap<>();
        for (Planner.Choice c : g.choices) {
            int owner = membership.owns(c.slot().shard) ? 0 : membership.connectedOwner(c.slot().shard);
            if (owner < 0 || owner == 0 && !membership.owns(c.slot().shard)) {
                g.refused = true;
                continue;
            }
            byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(c);
        }
        if (g.refused && g.job.spec.gang()) {
            return;
        }
        for (Planner.Choice c : g.choices) {
            hold(c, effects.now() + offerMs);
            RestorePlanner.Obstacle obstacle = planner.obstacle(c);
            if (obstacle != null && LOG.isDebugEnabled()) {
                LOG.debug(
                        "dropped task offered elsewhere task={} machine={} obstacle={}",
                        key(c),
                        c.slot().machine,
                        obstacle);
            }
        }
        out.add(g);
        g.waiting = byOwner.size();
        if (g.waiting == 0) {
            out.remove(g);
        }
        byOwner.forEach((owner, items) -> {
            long id = nextId++;
            asked.put(id, new Asked(g, items));
            List<PeerRecord.OfferedTask> list = new ArrayList<>();
            items.forEach(c -> list.add(item(c)));
            PeerRecord.Offer offer = new PeerRecord.Offer(id, g.job.spec.gang() || g.makesRoom, g.makesRoom, list);
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
    public PeerRecord.OfferReply judge(PeerRecord.Offer offer) {
        List<String> refusals = new ArrayList<>();
        List<Long> terms = new ArrayList<>();
        boolean all = true;
        for (PeerRecord.OfferedTask i : offer.tasks()) {
            Job j = view.job(i.job());
            String no = j == null
                    ? NOT_KNOWN_YET
                    : workerRegistry.reserve(j.spec, i.task(), i.machine(), i.session(), offer.withPreemption());
            refusals.add(no == null ? "" : no);
            all &= no == null;
            Integer shard = workerRegistry.shardOf(i.machine());
            terms.add(shard == null ? 0 : membership.term(shard));
        }
        if (offer.allOrNothing() && !all) {
            calledOff(new PeerRecord.WithdrawnOffer(offer.tasks()));
        }
        return new PeerRecord.OfferReply(offer.id(), refusals, terms);
    }

    /** As owner: frees the room kept for offers that come to nothing. */
    public void calledOff(PeerRecord.WithdrawnOffer o) {
        o.tasks().forEach(i -> workerRegistry.cancelReservation(i.machine(), i.job() + "/" + i.task()));
    }

    /** As driver: tells the owners that what they accepted will not be claimed. */
    private void callOff(List<Planner.Choice> choices) {
        Map<Integer, List<PeerRecord.OfferedTask>> byOwner = new TreeMap<>();
        for (Planner.Choice c : choices) {
            int owner = membership.owns(c.slot().shard) ? 0 : membership.connectedOwner(c.slot().shard);
            if (owner >= 0) {
                byOwner.computeIfAbsent(owner, k -> new ArrayList<>()).add(item(c));
            }
        }
        byOwner.forEach((owner, items) -> {
            PeerRecord.WithdrawnOffer o = new PeerRecord.WithdrawnOffer(items);
            if (owner == 0) {
                calledOff(o);
            } else {
                mesh.send(owner, o);
            }
        });
    }

    private static PeerRecord.OfferedTask item(Planner.Choice c) {
        return new PeerRecord.OfferedTask(c.job().spec.id(), c.task(), c.slot().machine, c.slot().session);
    }

    public void verdict(PeerRecord.OfferReply v) {
        Asked a = asked.remove(v.id());
        if (a == null
                || v.refusals().size() != a.items().size()
                || v.terms().size() != a.items().size()) {
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
                letGo(c);
                refusals.computeIfAbsent(c.job().spec.id(), k -> new HashMap<>())
                        .put(c.slot().machine, effects.now() + refusalMs(no));
            }
        }
        if (--g.waiting > 0) {
            return;
        }
        if (g.job.spec.gang() && g.refused || g.accepted.isEmpty()) {
            out.remove(g);
            g.choices.forEach(this::letGo);
            preempting.remove(g.job.spec.id());
            callOff(g.choices.stream()
                    .filter(c -> g.accepted.containsKey(c.task()))
                    .toList());
            return;
        }
        claim(g);
    }

    private static long refusalMs(String why) {
        return switch (why) {
            case "failed here" -> 60_000;
                // The owner's view is a watch behind: waiting for longer made gangs miss their start for nothing.
            case NOT_KNOWN_YET -> 250;
            default -> 1_500;
        };
    }

    // ---- claims

    private void claim(Group g) {
        JobSpec s = g.job.spec;
        List<Planner.Choice> list = new ArrayList<>();
        List<Planner.Choice> over = new ArrayList<>();
        IntOpenHashSet rows = new IntOpenHashSet();
        if (zonedInRows(g.job)) {
            rows.add(0);
        }
        Set<String> shards = new HashSet<>();
        for (Planner.Choice c : g.choices) {
            if (!g.accepted.containsKey(c.task())) {
                continue;
            }
            int row = c.task() / g.job.chunkSize;
            if (!s.gang() && !rows.contains(row) && rows.size() + 2 > settings.txnOps()) {
                // Lost tasks of a huge array stand in more rows than a transaction may write: the others are planned
                // again.
                over.add(c);
                letGo(c);
                continue;
            }
            rows.add(row);
            shards.add(membership.shardKey(c.slot().shard));
            list.add(c);
            claiming.put(key(c), c);
            hold(c, effects.now() + 30_000);
        }
        callOff(over);
        boolean queued = store.enqueue(new Change() {
            private List<Planner.Choice> made = List.of();
            /** What was sent without an answer: carried out all the same, if the rows show it. */
            private List<Planner.Choice> inDoubt = List.of();

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
                return s.shape() == Shape.ARRAY ? offerMs / 4 : 0;
            }

            @Override
            public boolean addsNoWrites(Transaction tx) {
                for (Planner.Choice c : list) {
                    if (!tx.editsChunk(s.id(), c.task() / g.job.chunkSize)) {
                        return false;
                    }
                }
                return true;
            }

            @Override
            public long expiresAtMs() {
                return g.since + offerMs;
            }

            @Override
            public boolean build(Transaction tx) {
                made = effects.now() > expiresAtMs() ? List.of() : allowed(tx, g, list);
                if (made.isEmpty()) {
                    return false;
                }
                double n = made.size();
                Quotas.Pass pass = quotas.pass(tx, s.team(), made.size(), n * s.cpus(), n * s.gpus());
                if (pass == Quotas.Pass.YES) {
                    record(tx, s, made);
                } else {
                    made = List.of();
                }
                return pass != Quotas.Pass.NO;
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

            private boolean stands(Planner.Choice c) {
                Job j = view.job(s.id());
                Claim x = j == null ? null : j.claim(c.task());
                return x != null && x.machine().equals(c.slot().machine) && x.session() == c.slot().session;
            }

            private void over() {
                out.remove(g);
                if (!inDoubt.isEmpty()) {
                    List<Planner.Choice> all = new ArrayList<>(made);
                    inDoubt.stream().filter(c -> !made.contains(c) && stands(c)).forEach(all::add);
                    made = all;
                }
                counters.claims += made.size();
                for (Planner.Choice c : made) {
                    LOG.info("task {} claimed on {} ({})", key(c), c.slot().machine, s.gang() ? "gang" : s.shape());
                }
                List<Planner.Choice> not = new ArrayList<>(list);
                not.removeAll(made);
                callOff(not);
                for (Planner.Choice c : list) {
                    claiming.remove(key(c));
                    letGo(c);
                }
            }
        });
        if (!queued) {
            out.remove(g);
            callOff(list);
            list.forEach(c -> {
                claiming.remove(key(c));
                letGo(c);
            });
        }
    }

    /** Checks everything that the rules need against the records that the transaction conditions on. */
    private List<Planner.Choice> allowed(Transaction tx, Group g, List<Planner.Choice> list) {
        JobSpec s = g.job.spec;
        Job j = view.job(s.id());
        if (j == null
                || j.state() != Job.State.OPEN
                || s.gang() && j.claimCount() > replaceable(j)
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
        Map<Integer, Integer> zones = Planner.zones(
                j, membership::zoneOf, i -> tx.peekChunk(j, i), x -> j.chunks.size() == 1 && replaceable(x));
        List<Planner.Choice> ok = new ArrayList<>();
        for (Planner.Choice c : list) {
            Slot slot = c.slot();
            int shard = slot.shard;
            int zone = membership.zoneOf(shard);
            cpus += s.cpus();
            gpus += s.gpus();
            Chunk before = tx.peekChunk(j, c.task() / j.chunkSize);
            Claim recorded = before == null ? null : before.claims.get(c.task());
            boolean fine = !j.isDone(c.task())
                    && (recorded == null || replaceable(recorded))
                    && membership.term(shard) == g.accepted.get(c.task())
                    && slot.allows(s)
                    && zone == slot.zone
                    && !Catalog.over(team.cpusMax(), cpus)
                    && !Catalog.over(team.gpusMax(), gpus)
                    && s.allowsZone(zones, zone);
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
    private void clear(Transaction tx, Job j, Chunk chunk) {
        for (Job.ReleasedClaim g : j.released()) {
            Claim c = g.claim();
            if (c.task() / j.chunkSize == chunk.index && replaceable(c) && chunk.claims.get(c.task()) == c) {
                tx.requireUnchanged(membership.shardKey(c.shard()));
                chunk.claims.remove(c.task());
                chunk.restarts += g.started() ? 1 : 0;
            }
        }
    }

    private void record(Transaction tx, JobSpec s, List<Planner.Choice> ok) {
        Job j = view.job(s.id());
        tx.requireUnchanged(Keys.JOB + s.id());
        long attempt = j.lastAttempt();
        for (Planner.Choice c : ok) {
            Chunk chunk = tx.editChunk(j, c.task() / j.chunkSize);
            clear(tx, j, chunk);
            attempt = Math.max(attempt, chunk.lastAttempt);
        }
        attempt++;
        if (zonedInRows(j)) {
            // All claims of it write its first row, so that none can be made, or come late, beside another whose zone
            // it does not know of.
            tx.editChunk(j, 0);
        }
        for (Planner.Choice c : ok) {
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
    private static boolean zonedInRows(Job j) {
        return (j.spec.oneZone() || j.spec.spread()) && j.chunks.size() > 1;
    }

    // ---- preemption

    /**
     * Work that would start late may claim room that other work has to leave first: what has a lower priority, or is beyond its
     * team's guarantee. The claim comes before anybody is stopped. When work was stopped first and the room planned for
     * afterwards, small tasks of other drivers filled it as it came free, and a large task had 87 others stopped in vain.
     */
    private void preempt(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        List<Wish> wishes = new ArrayList<>();
        Map<String, Wish> slow = new LinkedHashMap<>();
        for (Planner.Choice c : plan.choices()) {
            JobSpec s = c.job().spec;
            if (slow.containsKey(s.id())) {
                continue;
            }
            boolean guaranteed = plan.guaranteed().contains(s.id());
            boolean gathers = s.manyGang() && !c.slot().real;
            if (gathers && c.delayMs() > planner.spareMs(c.job(), effects.wallTime())) {
                slow.put(s.id(), new Wish(c.job(), guaranteed, Double.MAX_VALUE));
            } else if (c.delayMs() > preemptDelay && (guaranteed || s.priority() == Priority.PRODUCTION || gathers)) {
                // A gang's room is "soon" there again and again, and somebody else's then: what it has waited counts as
                // well.
                double waited = gathers ? Math.max(0, effects.wallTime() - c.job().acceptedAtMs) : 0;
                slow.put(s.id(), new Wish(c.job(), guaranteed, (c.delayMs() + waited) / 1000));
            }
        }
        for (Planner.Unplaced u : plan.unplaced()) {
            slow.remove(u.job().spec.id());
            wishes.add(new Wish(u.job(), u.guaranteed(), Double.MAX_VALUE));
        }
        wishes.addAll(slow.values());
        List<Slot> slots = null;
        int budget = MAX_PREEMPTING;
        int looks = MAX_WISHES;
        for (Wish u : wishes) {
            Job j = u.job();
            if (!membership.schedules(j.spec.id()) || preempting.containsKey(j.spec.id())) {
                continue;
            }
            if (budget <= 0 || looks-- <= 0) {
                break;
            }
            slots = slots == null ? slots(pictures) : slots;
            // What the plan gives to others that do not yield is not free: taken here, it once kept replicas waiting.
            List<Planner.Choice> ahead = ahead(plan, j, slots);
            List<Planner.Choice> places = places(u, plan, slots);
            ahead.forEach(c -> c.slot().giveBack(c.job().spec));
            if (places != null) {
                budget--;
                preempting.put(j.spec.id(), now + PREEMPT_AGAIN_MS);
                LOG.info("job {} asks for room on {} machines", j.spec.id(), places.size());
                offer(new Group(j, places, true, now));
            }
        }
    }

    /** Takes the room that the plan gives to jobs that do not yield, as far as it is not on its way already. */
    private List<Planner.Choice> ahead(Planner.Plan plan, Job j, List<Slot> slots) {
        Map<String, Slot> byName = new HashMap<>();
        slots.forEach(s -> byName.put(s.machine, s));
        List<Planner.Choice> l = new ArrayList<>();
        for (Planner.Choice c : plan.choices()) {
            Slot slot = byName.get(c.slot().machine);
            if (!c.slot().real
                    || slot == null
                    || c.job() == j
                    || c.job().spec.priority().compareTo(j.spec.priority()) > 0) {
                continue;
            }
            IntPredicate held = marks.held(c.job().spec.id());
            if (held == null || !held.test(c.task())) {
                slot.take(c.job().spec);
                l.add(new Planner.Choice(c.job(), c.task(), slot, 0));
            }
        }
        return l;
    }

    private List<Planner.Choice> places(Wish u, Planner.Plan plan, List<Slot> slots) {
        Job j = u.job();
        Set<String> refused = marks.refused(j.spec.id());
        if (j.spec.gang()) {
            return j.placedCount() > 0
                    ? null
                    : preemption.gang(
                            j,
                            u.guaranteed(),
                            u.delayS(),
                            planner.spareMs(j, effects.wallTime()),
                            plan,
                            slots,
                            catalog.zones.size(),
                            refused);
        }
        IntPredicate taken = marks.held(j.spec.id());
        for (int task = 0; task < j.spec.tasks(); task++) {
            if (!j.isDone(task) && !j.isPlaced(task) && (taken == null || !taken.test(task))) {
                Planner.Choice c = preemption.single(
                        j, task, u.guaranteed(), u.delayS(), plan, slots, planner.zones(j, underway()), refused);
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
                        mesh.send(owner, new PeerRecord.StopRequest(job.spec.id(), -1, c.attempt(), graceS, reason));
                    }
                }
            }
        }
    }

    /** As owner: carries out a stop that another controller asks for. */
    public void stopAsked(PeerRecord.StopRequest s) {
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
