package birchusher.fleet;

import birchusher.cloud.CloudClient;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.placement.Planner;
import birchusher.placement.Slot;
import birchusher.recovery.ActionCounters;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.store.Change;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.wire.Wire;
import birchusher.workers.Counters;
import birchusher.workers.MachineStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines. One controller at a time does this; its row in the store also counts the request names,
 * so that a name is recorded before it is used and none is used twice.
 */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

    /** A kind of machine counts as at most so many times as dear for what does not come up. */
    private static final double MIN_SHARE = 0.25;
    /** Fewer machines that are silent at once are silent each by itself. */
    private static final int FEW_SILENT = 4;

    /** A rental as its row tells it; {@code hosts} null: not answered yet. */
    public record Ask(String name, int type, int zone, boolean spot, int count, long at, List<String> hosts) {}

    private record Kind(int type, int zone, boolean spot) {}

    private final Effects effects;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final CloudClient cloud;
    private final Counters counters;
    private final ActionCounters orders;
    /** Until then nothing is rented, returned or emptied: the next reports may show that it was there, or needed. */
    private final BooleanSupplier fleetKnown;
    /** Tasks that are expected to find their old room again. */
    private final IntSupplier returning;

    private final Settings settings;
    private final BiConsumer<String, Boolean> retire;
    private final Consolidation consolidation;
    private final Reserve reserve;
    private final Consumer<String> gone;
    private final Map<Kind, Long> refusedUntil = new HashMap<>();
    private final Set<String> busyAsks = new HashSet<>();
    private final Map<String, Long> retryAsk = new HashMap<>();
    private final Set<String> deleting = new HashSet<>();
    private final Map<String, Long> retiring = new HashMap<>();
    private final MachineList list;
    private Map<String, MachineStatus> known = Map.of();
    private final Map<String, Long> recentlyGone = new LinkedHashMap<>();
    private final List<String> toDelete = new ArrayList<>();
    /** Over the present jobs, once a tick: every machine's linger needs it. */
    private double meanImageGb;

    private final Boots boots;
    private final Demand demand;
    private final double lingerBoot;
    private final double lingerFetch;
    private final double giveUp;
    private final double silentSpotS;
    private final double silentShare;
    private boolean claiming;
    private boolean reserving;
    private boolean was;
    private long nextTypes;
    private long nextTick;
    private long buyerSince;
    private long lostAt = -1_000_000;

    public Autoscaler(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            CloudClient cloud,
            Counters counters,
            ActionCounters orders,
            BooleanSupplier fleetKnown,
            IntSupplier returning,
            Tuning t,
            BiConsumer<String, Boolean> retire,
            Consumer<String> gone,
            Function<Map<String, MachineStatus>, List<Slot>> free,
            ToLongFunction<Claim> runningFor) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.cloud = cloud;
        this.counters = counters;
        this.orders = orders;
        this.fleetKnown = fleetKnown;
        this.returning = returning;
        this.retire = retire;
        this.gone = gone;
        reserve = new Reserve(catalog, view, s.objectives());
        consolidation =
                new Consolidation(catalog, view, t.ms("fleet.move-after-s"), retire, free, runningFor, this::linger);
        lingerBoot = t.num("fleet.linger-boots");
        lingerFetch = t.num("fleet.linger-fetches");
        giveUp = t.num("fleet.give-up-boots");
        boots = new Boots(giveUp);
        demand = new Demand(catalog, s.objectives(), t.ms("placement.begin-by-s"));
        silentSpotS = t.num("fleet.silent-spot-reports");
        silentShare = t.num("fleet.silent-share");
        list = new MachineList(effects, s, catalog, view, membership, cloud, giveUp, new MachineList.Known() {
            @Override
            public boolean leaves(String machine) {
                return Autoscaler.this.leaves(machine);
            }

            @Override
            public boolean known(String machine) {
                return known.containsKey(machine);
            }

            @Override
            public boolean awaited(String machine) {
                return asks().stream().anyMatch(a -> a.hosts() == null) || askedHosts.contains(machine);
            }

            @Override
            public void delete(String machine) {
                Autoscaler.this.delete(machine);
            }
        });
    }

    /** Whether a machine was deleted lately, or is about to be. */
    public boolean leaves(String machine) {
        return recentlyGone.containsKey(machine) || deleting.contains(machine);
    }

    /** Machines that the cloud lists as running and nobody tells of. */
    public Set<String> strangers() {
        return list.running();
    }

    public boolean isBuyer() {
        Map<String, Object> row = view.row(Keys.AUTOSCALER);
        return membership.canAct()
                && row != null
                && membership.memberName(0).equals(row.get("m"))
                && Fields.countOr(row, "i", 0) == membership.incarnation();
    }

    /** Machines whose deletion was confirmed lately, to be told to their owners. */
    public List<String> recentlyGone() {
        recentlyGone.values().removeIf(at -> effects.now() - at > 30_000);
        return List.copyOf(recentlyGone.keySet());
    }

    public void tick(Map<String, MachineStatus> pictures, Planner.Plan plan) {
        long now = effects.now();
        if (!store.loaded() || now < nextTick) {
            return;
        }
        nextTick = now + 250;
        types(now);
        boolean mine = isBuyer();
        if (mine && !was) {
            buyerSince = now;
            LOG.info("we are the autoscaler");
        }
        if (was && !mine) {
            // Somebody took it while cut off from us; taking it back at once would be a fight.
            lostAt = now;
        }
        was = mine;
        if (!mine) {
            become();
            return;
        }
        meanImageGb = view.jobs().stream()
                .mapToDouble(j -> j.spec.imageGb())
                .average()
                .orElse(0);
        settleAsks(pictures, now);
        known = pictures;
        list.tick();
        if (!fleetKnown.getAsBoolean()) {
            deleteNow();
            return;
        }
        giveBack(pictures, now);
        if (catalog.typesKnown() && !reserving && now - buyerSince > 1_500) {
            buy(plan, pictures, now);
        }
        consolidation.tick(plan, pictures, now);
        deleteNow();
    }

    // ---- machine types

    private void types(long now) {
        Map<String, Object> row = view.row(Keys.MACHINE_TYPES);
        if (!catalog.typesKnown() && row != null) {
            learn(Fields.list(row, "l"));
        }
        boolean wanted = !catalog.typesKnown() || was && now >= nextTypes;
        if (!wanted || now < nextTypes) {
            return;
        }
        nextTypes = now + 1_000;
        cloud.call("GET", Wire.MACHINE_TYPES, null, (status, m) -> {
            if (status != 200) {
                return;
            }
            nextTypes = effects.now() + 60_000;
            List<?> list = Fields.list(m, Wire.TYPE_LIST);
            learn(list);
            if (view.row(Keys.MACHINE_TYPES) == null && !list.isEmpty()) {
                put(Keys.MACHINE_TYPES, Map.of("l", list));
            }
        });
    }

    private void learn(List<?> list) {
        List<Catalog.MachineType> types = new ArrayList<>();
        for (Object o : list) {
            types.add(Catalog.type(catalog.typeNames, catalog.zones, Fields.map(o, "type"), Wire.TYPE_FIELDS));
        }
        boolean first = !catalog.typesKnown();
        catalog.addTypes(types);
        if (first) {
            LOG.info("{} machine types known", types.size());
        }
    }

    // ---- becoming the autoscaler

    private void become() {
        Map<String, Object> row = view.row(Keys.AUTOSCALER);
        if (claiming || !membership.canAct() || !store.healthy() || effects.now() - lostAt < 20_000) {
            return;
        }
        int holder = row == null ? -1 : membership.memberIndex(String.valueOf(row.get("m")));
        if (holder > 0 && membership.isAlive(holder)) {
            return;
        }
        // An earlier life of ours held it: the others hear us and wait for us, so we must not wait for any of them.
        // Without this,
        // after all had crashed together nobody rented or returned a machine any more, unless the lowest name had been
        // the autoscaler.
        for (int i = 1; holder != 0 && i < membership.memberCount(); i++) {
            if (membership.isConnected(i) && membership.memberName(i).compareTo(membership.memberName(0)) < 0) {
                return;
            }
        }
        claiming = true;
        store.enqueue(new Simple(
                3,
                1,
                tx -> {
                    Map<String, Object> now = view.row(Keys.AUTOSCALER);
                    tx.requireUnchanged(Keys.MEMBER_LEASE + membership.memberName(0));
                    tx.put(Keys.AUTOSCALER, buyerRow(now == null ? 1 : Fields.countOr(now, "n", 1)));
                    return true;
                },
                ok -> claiming = false));
    }

    private Map<String, Object> buyerRow(long next) {
        return Map.of("m", membership.memberName(0), "i", membership.incarnation(), "n", next);
    }

    private void put(String key, Map<String, Object> value) {
        store.enqueue(new Simple(
                3,
                1,
                tx -> {
                    tx.put(key, value);
                    return true;
                },
                ok -> {}));
    }

    // ---- rentals

    private List<Ask> asks = List.of();
    private Set<String> askedHosts = Set.of();
    private long asksAt = -1;

    /** The rental rows, read again only when one of them has changed. */
    public List<Ask> asks() {
        if (asksAt == view.rentalRequestChangeCount()) {
            return asks;
        }
        List<Ask> l = new ArrayList<>();
        Set<String> all = new HashSet<>();
        boolean whole = true;
        for (Map.Entry<String, Map<String, Object>> e :
                view.rowsUnder(Keys.RENTAL_REQUEST).entrySet()) {
            Map<String, Object> m = e.getValue();
            int type = catalog.typeNames.find(Fields.text(m, "y"));
            int zone = catalog.zones.find(Fields.text(m, "z"));
            List<String> hosts = null;
            if (m.get("h") instanceof List<?> h) {
                hosts = new ArrayList<>();
                for (Object o : h) {
                    hosts.add(String.valueOf(o));
                }
                all.addAll(hosts);
            }
            if (zone >= 0 && catalog.type(type) != null) {
                l.add(new Ask(
                        e.getKey().substring(Keys.RENTAL_REQUEST.length()),
                        type,
                        zone,
                        Boolean.TRUE.equals(m.get("s")),
                        (int) Fields.count(m, "n"),
                        Fields.count(m, "t"),
                        hosts));
            } else {
                whole = false;
            }
        }
        asks = l;
        askedHosts = all;
        // A type that is not known yet will be: such rows are looked at again.
        asksAt = whole ? view.rentalRequestChangeCount() : -1;
        return l;
    }

    /** Room on machines that are rented and not up yet. */
    public List<Slot> coming(Map<String, MachineStatus> pictures) {
        List<Slot> l = new ArrayList<>();
        for (Ask a : asks()) {
            Catalog.MachineType t = catalog.type(a.type());
            int n = a.hosts() == null ? a.count() : a.hosts().size();
            double ageS = Math.max(0, (effects.wallTime() - a.at()) / 1000.0);
            int kind = kind(a.type(), a.zone(), a.spot());
            boolean overdue = ageS > t.bootS() * boots.overdue(kind);
            long eta = Math.round(boots.etaS(kind, ageS, t.bootS()) * 1000);
            for (int i = 0; i < n; i++) {
                String host = a.hosts() == null ? a.name() + "/" + i : a.hosts().get(i);
                if (pictures.containsKey(host)) {
                    boots.up(kind, host, ageS, t.bootS());
                } else if (!overdue && !deleting.contains(host) && !recentlyGone.containsKey(host)) {
                    l.add(new Slot(
                            host,
                            t,
                            a.zone(),
                            a.spot(),
                            0,
                            -1,
                            1,
                            new int[0],
                            new int[0],
                            eta,
                            false,
                            t.cpus(),
                            t.gpus(),
                            t.memoryGb()));
                }
            }
        }
        return l;
    }

    private void settleAsks(Map<String, MachineStatus> pictures, long now) {
        for (Ask a : asks()) {
            if (a.hosts() == null) {
                if (!busyAsks.contains(a.name()) && now >= retryAsk.getOrDefault(a.name(), 0L)) {
                    rent(a);
                }
                continue;
            }
            double ageS = (effects.wallTime() - a.at()) / 1000.0;
            boolean allUp = true;
            List<String> late = new ArrayList<>();
            for (String h : a.hosts()) {
                boolean up = pictures.containsKey(h) || recentlyGone.containsKey(h);
                allUp &= up;
                if (!up && ageS > catalog.type(a.type()).bootS() * giveUp) {
                    late.add(h);
                }
            }
            if (!late.isEmpty()) {
                for (String h : late) {
                    if (view.claims(h).isEmpty() && !deleting.contains(h)) {
                        LOG.info("machine {} did not come up in {} s, given up", h, Math.round(ageS));
                        boots.never(kind(a.type(), a.zone(), a.spot()), h);
                        delete(h);
                    }
                }
            } else if (allUp && busyAsks.add(a.name())) {
                store.enqueue(new Simple(
                        3,
                        1,
                        tx -> {
                            if (view.row(Keys.RENTAL_REQUEST + a.name()) == null) {
                                return false;
                            }
                            tx.remove(Keys.RENTAL_REQUEST + a.name());
                            return true;
                        },
                        ok -> busyAsks.remove(a.name())));
            }
        }
    }

    private void rent(Ask a) {
        busyAsks.add(a.name());
        boolean sent = cloud.call("POST", Wire.RENTALS, body(a), (status, m) -> {
            if (status == 200) {
                List<Object> hosts = new ArrayList<>(Fields.list(m, Wire.MACHINES));
                counters.rentals += hosts.size();
                orders.recordRental(
                        kind(a.type(), a.zone(), a.spot()),
                        hosts.size(),
                        Math.round(catalog.type(a.type()).bootS() * 1000),
                        effects.now());
                LOG.info(
                        "rented {} of {} {} in {}{}: {}",
                        hosts.size(),
                        a.count(),
                        catalog.typeNames.name(a.type()),
                        catalog.zones.name(a.zone()),
                        a.spot() ? " (spot)" : "",
                        hosts);
                if (hosts.size() < a.count()) {
                    refusedUntil.put(new Kind(a.type(), a.zone(), a.spot()), effects.now() + 15_000);
                }
                settle(a, hosts);
            } else if (status == 503 && "no capacity".equals(m.get("error"))) {
                LOG.info(
                        "no {} in {}{}",
                        catalog.typeNames.name(a.type()),
                        catalog.zones.name(a.zone()),
                        a.spot() ? " (spot)" : "");
                refusedUntil.put(new Kind(a.type(), a.zone(), a.spot()), effects.now() + 20_000);
                settle(a, List.of());
            } else if (status == 400) {
                LOG.error("rental {} refused as malformed", a.name());
                settle(a, List.of());
            } else {
                // Unclear or later: the same name again, so that nothing is rented twice.
                busyAsks.remove(a.name());
                retryAsk.put(a.name(), effects.now() + 1_500);
            }
        });
        if (!sent) {
            busyAsks.remove(a.name());
            retryAsk.put(a.name(), effects.now() + 500);
        }
    }

    private Map<String, Object> body(Ask a) {
        return Map.of(
                Wire.REQUEST,
                a.name(),
                Wire.TYPE,
                catalog.typeNames.name(a.type()),
                Wire.ZONE,
                catalog.zones.name(a.zone()),
                Wire.SPOT,
                a.spot(),
                Wire.COUNT,
                a.count());
    }

    private void settle(Ask a, List<Object> hosts) {
        store.enqueue(new Simple(
                3,
                1,
                tx -> {
                    String key = Keys.RENTAL_REQUEST + a.name();
                    if (view.row(key) == null) {
                        return false;
                    }
                    if (hosts.isEmpty()) {
                        tx.remove(key);
                    } else {
                        tx.put(key, askRow(a, hosts));
                    }
                    return true;
                },
                ok -> busyAsks.remove(a.name())));
    }

    private Map<String, Object> askRow(Ask a, List<Object> hosts) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("y", catalog.typeNames.name(a.type()));
        m.put("z", catalog.zones.name(a.zone()));
        m.put("s", a.spot());
        m.put("n", a.count());
        m.put("t", a.at());
        if (hosts != null) {
            m.put("h", hosts);
        }
        return m;
    }

    /** Buys for what found no room, neither now nor soon. */
    private void buy(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        refusedUntil.values().removeIf(until -> now > until);
        for (Ask a : asks()) {
            if (a.hosts() == null) {
                return;
            }
        }
        Map<Kind, Integer> wanted = new LinkedHashMap<>();
        List<double[]> room = new ArrayList<>();
        List<Kind> kinds = new ArrayList<>();
        int[] perZone = new int[catalog.zones.size()];
        pictures.values().forEach(p -> {
            if (p.zone() >= 0) {
                perZone[p.zone()]++;
            }
        });
        int opened = 0;
        int expected = returning.getAsInt();
        for (Planner.UnplacedTasks u : plan.rentalDemand(effects.wallTime())) {
            JobSpec s = u.job().spec;
            Map<Integer, Integer> zones = tasksByZone(u.job());
            Demand.Of may = demand.of(u.job(), u.taskCount(), effects.wallTime());
            int spared = Math.min(may.tasks(), expected);
            expected -= spared;
            for (int n = spared; n < Math.min(may.tasks(), 400); n++) {
                int at = -1;
                for (int i = 0; i < room.size() && at < 0; i++) {
                    double[] r = room.get(i);
                    Kind k = kinds.get(i);
                    if (s.allowsZone(zones, k.zone)
                            && s.allowsType(k.type)
                            && (!k.spot || s.allowsSpot())
                            && r[0] >= s.cpus() - Catalog.EPSILON
                            && r[1] >= s.gpus() - Catalog.EPSILON
                            && r[2] >= s.memoryGb() - Catalog.EPSILON) {
                        at = i;
                    }
                }
                if (at < 0) {
                    Kind k = choose(s, zones, perZone, may.spotOnly());
                    if (k == null || opened >= 100) {
                        break;
                    }
                    Catalog.MachineType t = catalog.type(k.type);
                    room.add(new double[] {t.cpus(), t.gpus(), t.memoryGb()});
                    kinds.add(k);
                    wanted.merge(k, 1, Integer::sum);
                    perZone[k.zone]++;
                    opened++;
                    at = room.size() - 1;
                }
                zones.merge(kinds.get(at).zone, 1, Integer::sum);
                double[] r = room.get(at);
                r[0] -= s.cpus();
                r[1] -= s.gpus();
                r[2] -= s.memoryGb();
            }
        }
        if (!wanted.isEmpty()) {
            reserve(wanted);
        }
    }

    /**
     * Where a job's tasks have places. Without it, one machine after the other was rented in a zone that the job's zone rule kept the
     * waiting task from.
     */
    private Map<Integer, Integer> tasksByZone(Job job) {
        return Planner.tasksByZone(job, membership::zoneOf, job.chunks::get, claim -> !job.isPlaced(claim.task()));
    }

    /** The cheapest kind of machine per task that is not known to be sold out; among equals the emptiest zone. */
    private Kind choose(JobSpec s, Map<Integer, Integer> tasksByZone, int[] perZone, boolean spotOnly) {
        Kind best = null;
        double bestPrice = Double.MAX_VALUE;
        for (Catalog.MachineType t : catalog.types()) {
            if (!s.allowsType(t.index()) || !t.fits(s)) {
                continue;
            }
            double fit = t.cpus() / Math.max(1e-9, s.cpus());
            fit = s.gpus() > 0 ? Math.min(fit, t.gpus() / s.gpus()) : fit;
            fit = Math.max(1, Math.floor(s.memoryGb() > 0 ? Math.min(fit, t.memoryGb() / s.memoryGb()) : fit));
            for (int zone : t.zones()) {
                if (!s.allowsZone(tasksByZone, zone)) {
                    continue;
                }
                for (int spot = s.allowsSpot() ? 1 : 0; spot >= (spotOnly ? 1 : 0); spot--) {
                    Kind k = new Kind(t.index(), zone, spot == 1);
                    if (refusedUntil.containsKey(k)) {
                        continue;
                    }
                    // What mostly does not come up is tried less, and tried again: a few that come make up for it.
                    double price = (k.spot ? t.spotPricePerHour() * 1.1 : t.pricePerHour())
                                    / fit
                                    / Math.max(MIN_SHARE, boots.share(kind(k.type, k.zone, k.spot)))
                            + perZone[zone] * 1e-4;
                    if (price < bestPrice) {
                        bestPrice = price;
                        best = k;
                    }
                }
            }
        }
        return best;
    }

    /** Records the request names before any of them is used. */
    private void reserve(Map<Kind, Integer> wanted) {
        reserving = true;
        long at = effects.wallTime();
        int max = Math.max(1, settings.txnOps() - 1);
        long[] first = {-1};
        store.enqueue(new Simple(
                3,
                Math.min(settings.txnOps(), wanted.size() + 1),
                tx -> {
                    if (!isBuyer() || tx.writes(Keys.AUTOSCALER)) {
                        return false;
                    }
                    tx.requireUnchanged(Keys.MEMBER_LEASE + membership.memberName(0));
                    long next = Fields.countOr(view.row(Keys.AUTOSCALER), "n", 1);
                    first[0] = first[0] < 0 ? next : first[0];
                    if (next != first[0]) {
                        // Carried out, and only the answer was lost: worked out again, it named and rented all of it a
                        // second time.
                        return false;
                    }
                    int used = 0;
                    for (Map.Entry<Kind, Integer> e : wanted.entrySet()) {
                        if (used++ >= max) {
                            break;
                        }
                        Kind k = e.getKey();
                        Ask a = new Ask("r-" + next++, k.type, k.zone, k.spot, Math.min(50, e.getValue()), at, null);
                        tx.put(Keys.RENTAL_REQUEST + a.name(), askRow(a, null));
                    }
                    tx.put(Keys.AUTOSCALER, buyerRow(next));
                    return true;
                },
                ok -> reserving = false));
    }

    // ---- returns

    private void giveBack(Map<String, MachineStatus> pictures, long now) {
        retiring.values().removeIf(until -> now > until);
        reserve.look(pictures, now);
        Set<Integer> unheard = unheard(pictures);
        for (MachineStatus p : pictures.values()) {
            if (deleting.contains(p.machine())
                    || recentlyGone.containsKey(p.machine())
                    || retiring.containsKey(p.machine())) {
                continue;
            }
            boolean idle = !reserve.keeps(p.machine())
                    && p.idleSinceMs() >= 0
                    && now - p.idleSinceMs() > linger(p)
                    && view.claims(p.machine()).isEmpty();
            // Cut off ourselves, we would delete machines that are well: others hear them.
            boolean silent = store.healthy() && silent(p) && !unheard.contains(p.shard());
            if (silent) {
                LOG.info("machine {} silent for {} ms, deleted to free its tasks", p.machine(), p.silentMs());
                delete(p.machine());
            } else if (idle
                    || p.faulty()
                    || p.beingReturned() && view.claims(p.machine()).isEmpty()) {
                retiring.put(p.machine(), now + 5_000);
                retire.accept(p.machine(), false);
            }
        }
    }

    /**
     * How long an idle machine is kept: what it would take to have one like it again, which is booting and fetching what
     * the present jobs need.
     */
    private double linger(MachineStatus p) {
        Catalog.MachineType t = catalog.type(p.type());
        if (t == null) {
            return 60_000;
        }
        double fetch = meanImageGb / t.fetchGbPerS();
        // Waiting is dear on dear machines: cheap ones stay longer, dear ones go sooner.
        double cheapness = t.spotPricePerHour() > 0 ? Math.sqrt(t.pricePerHour() / t.spotPricePerHour()) : 1;
        return 1000 * (lingerBoot * t.bootS() + lingerFetch * fetch) * (p.spot() ? cheapness : 1 / cheapness);
    }

    /**
     * Shards most of whose machines fell silent: that is mostly their owner's link or their zone's, and they are well. Without this, a
     * buyer that its own workers could not reach deleted two dozen of them a second before somebody took them over.
     */
    private static Set<Integer> unheard(Map<String, MachineStatus> pictures) {
        Map<Integer, int[]> counts = new HashMap<>();
        for (MachineStatus p : pictures.values()) {
            int[] c = counts.computeIfAbsent(p.shard(), k -> new int[2]);
            c[0]++;
            c[1] += p.silentMs() > 0 ? 1 : 0;
        }
        Set<Integer> l = new HashSet<>();
        counts.forEach((shard, c) -> {
            if (c[1] >= FEW_SILENT && 2 * c[1] > c[0]) {
                l.add(shard);
            }
        });
        return l;
    }

    /** A machine that says nothing is mostly lost; deleting it is the quickest proof that its tasks are gone. */
    private boolean silent(MachineStatus p) {
        double s = p.silentMs() / 1000.0;
        double bound = p.spot() ? settings.reportS() * silentSpotS : settings.leaseS() * silentShare;
        return s > bound && !view.claims(p.machine()).isEmpty();
    }

    /** The owner's answer to a wish to return a machine. */
    public void retired(String machine, boolean agreed) {
        if (agreed && isBuyer()) {
            LOG.info("machine {} is returned", machine);
            MachineStatus p = known.get(machine);
            if (p != null) {
                orders.recordReturn(kind(p.type(), p.zone(), p.spot()), effects.now());
            }
            delete(machine);
        }
    }

    private int kind(int type, int zone, boolean spot) {
        return (type * catalog.zones.size() + zone) * 2 + (spot ? 1 : 0);
    }

    private void delete(String machine) {
        if (deleting.add(machine)) {
            toDelete.add(machine);
        }
    }

    private void deleteNow() {
        if (toDelete.isEmpty()) {
            return;
        }
        List<String> names = new ArrayList<>(toDelete.subList(0, Math.min(100, toDelete.size())));
        boolean sent = cloud.call("POST", Wire.RENTALS_DELETE, Map.of(Wire.MACHINES, names), (status, m) -> {
            if (status == 200) {
                counters.returns += names.size();
                for (String n : names) {
                    recentlyGone.put(n, effects.now());
                    deleting.remove(n);
                    gone.accept(n);
                }
            } else {
                names.forEach(n -> {
                    if (!toDelete.contains(n)) {
                        toDelete.add(n);
                    }
                });
            }
        });
        if (sent) {
            toDelete.removeAll(names);
        }
    }

    /** A change made of two functions. */
    private record Simple(
            int rank, int maxWrites, java.util.function.Predicate<Transaction> write, Consumer<Boolean> over)
            implements Change {
        @Override
        public boolean build(Transaction tx) {
            return write.test(tx);
        }

        @Override
        public void committed(long revision) {
            over.accept(true);
        }

        @Override
        public void dropped() {
            over.accept(false);
        }
    }
}
