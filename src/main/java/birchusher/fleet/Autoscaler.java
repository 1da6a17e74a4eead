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
    private static final double MIN_BOOTED_SHARE = 0.25;
    /** Fewer machines that are silent at once are silent each by itself. */
    private static final int MIN_SILENT_FOR_SHARD_FAULT = 4;

    /** A rental as its row tells it; {@code hosts} null: not answered yet. */
    public record RentalRequest(
            String name, int type, int zone, boolean spot, int count, long requestedAtMs, List<String> hosts) {}

    private record MachineKind(int type, int zone, boolean spot) {}

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
    private final IntSupplier tasksToRestore;

    private final Settings settings;
    private final BiConsumer<String, Boolean> requestReturn;
    private final Consolidation consolidation;
    private final GangReserve reserve;
    private final Consumer<String> onDeleted;
    private final Map<MachineKind, Long> refusedUntilMs = new HashMap<>();
    private final Set<String> requestsInProgress = new HashSet<>();
    private final Map<String, Long> retryAtMs = new HashMap<>();
    private final Set<String> deleting = new HashSet<>();
    private final Map<String, Long> returnPendingUntilMs = new HashMap<>();
    private final MachineList machineList;
    private Map<String, MachineStatus> lastStatuses = Map.of();
    private final Map<String, Long> recentlyDeleted = new LinkedHashMap<>();
    private final List<String> deletionQueue = new ArrayList<>();
    /** Over the present jobs, once a tick: every machine's linger needs it. */
    private double meanImageGb;

    private final BootStatistics bootStatistics;
    private final RentalPolicy rentalPolicy;
    private final double lingerBoots;
    private final double lingerFetches;
    private final double giveUpBoots;
    private final double silentSpotReports;
    private final double silentLeaseShare;
    private boolean takingRole;
    private boolean recordingRequests;
    private boolean wasActive;
    private long nextTypesMs;
    private long nextTickMs;
    private long activeSinceMs;
    private long roleLostAtMs = -1_000_000;

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
        this.tasksToRestore = returning;
        this.requestReturn = retire;
        this.onDeleted = gone;
        reserve = new GangReserve(catalog, view, s.objectives());
        consolidation = new Consolidation(
                catalog, view, t.ms("fleet.move-after-s"), retire, free, runningFor, this::idleTimeoutMs);
        lingerBoots = t.num("fleet.linger-boots");
        lingerFetches = t.num("fleet.linger-fetches");
        giveUpBoots = t.num("fleet.give-up-boots");
        bootStatistics = new BootStatistics(giveUpBoots);
        rentalPolicy = new RentalPolicy(catalog, s.objectives(), t.ms("placement.begin-by-s"));
        silentSpotReports = t.num("fleet.silent-spot-reports");
        silentLeaseShare = t.num("fleet.silent-share");
        machineList = new MachineList(
                effects, s, catalog, view, membership, cloud, giveUpBoots, new MachineList.FleetState() {
                    @Override
                    public boolean isBeingDeleted(String machine) {
                        return Autoscaler.this.isBeingDeleted(machine);
                    }

                    @Override
                    public boolean hasStatus(String machine) {
                        return lastStatuses.containsKey(machine);
                    }

                    @Override
                    public boolean mayBeBooting(String machine) {
                        return rentalRequests().stream().anyMatch(a -> a.hosts() == null)
                                || requestedHosts.contains(machine);
                    }

                    @Override
                    public void delete(String machine) {
                        Autoscaler.this.queueDeletion(machine);
                    }
                });
    }

    /** Whether a machine was deleted lately, or is about to be. */
    public boolean isBeingDeleted(String machine) {
        return recentlyDeleted.containsKey(machine) || deleting.contains(machine);
    }

    /** Machines that the cloud lists as running and nobody tells of. */
    public Set<String> unreportedRunning() {
        return machineList.unreportedRunning();
    }

    public boolean isActive() {
        Map<String, Object> row = view.row(Keys.AUTOSCALER);
        return membership.canAct()
                && row != null
                && membership.memberName(0).equals(row.get("m"))
                && Fields.countOr(row, "i", 0) == membership.incarnation();
    }

    /** Machines whose deletion was confirmed lately, to be told to their owners. */
    public List<String> recentlyDeleted() {
        recentlyDeleted.values().removeIf(at -> effects.now() - at > 30_000);
        return List.copyOf(recentlyDeleted.keySet());
    }

    public void tick(Map<String, MachineStatus> pictures, Planner.Plan plan) {
        long now = effects.now();
        if (!store.loaded() || now < nextTickMs) {
            return;
        }
        nextTickMs = now + 250;
        refreshTypes(now);
        boolean mine = isActive();
        if (mine && !wasActive) {
            activeSinceMs = now;
            LOG.info("we are the autoscaler");
        }
        if (wasActive && !mine) {
            // Somebody took it while cut off from us; taking it back at once would be a fight.
            roleLostAtMs = now;
        }
        wasActive = mine;
        if (!mine) {
            tryTakeRole();
            return;
        }
        meanImageGb = view.jobs().stream()
                .mapToDouble(j -> j.spec.imageGb())
                .average()
                .orElse(0);
        processRequests(pictures, now);
        lastStatuses = pictures;
        machineList.tick();
        if (!fleetKnown.getAsBoolean()) {
            sendDeletions();
            return;
        }
        returnMachines(pictures, now);
        if (catalog.typesKnown() && !recordingRequests && now - activeSinceMs > 1_500) {
            requestMachines(plan, pictures, now);
        }
        consolidation.tick(plan, pictures, now);
        sendDeletions();
    }

    // ---- machine types

    private void refreshTypes(long now) {
        Map<String, Object> row = view.row(Keys.MACHINE_TYPES);
        if (!catalog.typesKnown() && row != null) {
            learnTypes(Fields.list(row, "l"));
        }
        boolean wanted = !catalog.typesKnown() || wasActive && now >= nextTypesMs;
        if (!wanted || now < nextTypesMs) {
            return;
        }
        nextTypesMs = now + 1_000;
        cloud.call("GET", Wire.MACHINE_TYPES, null, (status, m) -> {
            if (status != 200) {
                return;
            }
            nextTypesMs = effects.now() + 60_000;
            List<?> list = Fields.list(m, Wire.TYPE_LIST);
            learnTypes(list);
            if (view.row(Keys.MACHINE_TYPES) == null && !list.isEmpty()) {
                putRow(Keys.MACHINE_TYPES, Map.of("l", list));
            }
        });
    }

    private void learnTypes(List<?> list) {
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

    private void tryTakeRole() {
        Map<String, Object> row = view.row(Keys.AUTOSCALER);
        if (takingRole || !membership.canAct() || !store.healthy() || effects.now() - roleLostAtMs < 20_000) {
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
        takingRole = true;
        store.enqueue(new FunctionChange(
                3,
                1,
                tx -> {
                    Map<String, Object> now = view.row(Keys.AUTOSCALER);
                    tx.requireUnchanged(Keys.MEMBER_LEASE + membership.memberName(0));
                    tx.put(Keys.AUTOSCALER, autoscalerRow(now == null ? 1 : Fields.countOr(now, "n", 1)));
                    return true;
                },
                ok -> takingRole = false));
    }

    private Map<String, Object> autoscalerRow(long next) {
        return Map.of("m", membership.memberName(0), "i", membership.incarnation(), "n", next);
    }

    private void putRow(String key, Map<String, Object> value) {
        store.enqueue(new FunctionChange(
                3,
                1,
                tx -> {
                    tx.put(key, value);
                    return true;
                },
                ok -> {}));
    }

    // ---- rentals

    private List<RentalRequest> rentalRequests = List.of();
    private Set<String> requestedHosts = Set.of();
    private long requestsReadAtChange = -1;

    /** The rental rows, read again only when one of them has changed. */
    public List<RentalRequest> rentalRequests() {
        if (requestsReadAtChange == view.rentalRequestChangeCount()) {
            return rentalRequests;
        }
        List<RentalRequest> l = new ArrayList<>();
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
                l.add(new RentalRequest(
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
        rentalRequests = l;
        requestedHosts = all;
        // A type that is not known yet will be: such rows are looked at again.
        requestsReadAtChange = whole ? view.rentalRequestChangeCount() : -1;
        return l;
    }

    /** Room on machines that are rented and not up yet. */
    public List<Slot> bootingSlots(Map<String, MachineStatus> pictures) {
        List<Slot> l = new ArrayList<>();
        for (RentalRequest a : rentalRequests()) {
            Catalog.MachineType t = catalog.type(a.type());
            int n = a.hosts() == null ? a.count() : a.hosts().size();
            double ageS = Math.max(0, (effects.wallTime() - a.requestedAtMs()) / 1000.0);
            int kind = kindIndex(a.type(), a.zone(), a.spot());
            boolean overdue = ageS > t.bootS() * bootStatistics.overdueBoots(kind);
            long eta = Math.round(bootStatistics.etaS(kind, ageS, t.bootS()) * 1000);
            for (int i = 0; i < n; i++) {
                String host = a.hosts() == null ? a.name() + "/" + i : a.hosts().get(i);
                if (pictures.containsKey(host)) {
                    bootStatistics.recordBooted(kind, host, ageS, t.bootS());
                } else if (!overdue && !deleting.contains(host) && !recentlyDeleted.containsKey(host)) {
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

    private void processRequests(Map<String, MachineStatus> pictures, long now) {
        for (RentalRequest a : rentalRequests()) {
            if (a.hosts() == null) {
                if (!requestsInProgress.contains(a.name()) && now >= retryAtMs.getOrDefault(a.name(), 0L)) {
                    sendRequest(a);
                }
                continue;
            }
            double ageS = (effects.wallTime() - a.requestedAtMs()) / 1000.0;
            boolean allUp = true;
            List<String> late = new ArrayList<>();
            for (String h : a.hosts()) {
                boolean up = pictures.containsKey(h) || recentlyDeleted.containsKey(h);
                allUp &= up;
                if (!up && ageS > catalog.type(a.type()).bootS() * giveUpBoots) {
                    late.add(h);
                }
            }
            if (!late.isEmpty()) {
                for (String h : late) {
                    if (view.claims(h).isEmpty() && !deleting.contains(h)) {
                        LOG.info("machine {} did not come up in {} s, given up", h, Math.round(ageS));
                        bootStatistics.recordNeverBooted(kindIndex(a.type(), a.zone(), a.spot()), h);
                        queueDeletion(h);
                    }
                }
            } else if (allUp && requestsInProgress.add(a.name())) {
                store.enqueue(new FunctionChange(
                        3,
                        1,
                        tx -> {
                            if (view.row(Keys.RENTAL_REQUEST + a.name()) == null) {
                                return false;
                            }
                            tx.remove(Keys.RENTAL_REQUEST + a.name());
                            return true;
                        },
                        ok -> requestsInProgress.remove(a.name())));
            }
        }
    }

    private void sendRequest(RentalRequest a) {
        requestsInProgress.add(a.name());
        boolean sent = cloud.call("POST", Wire.RENTALS, requestBody(a), (status, m) -> {
            if (status == 200) {
                List<Object> hosts = new ArrayList<>(Fields.list(m, Wire.MACHINES));
                counters.rentals += hosts.size();
                orders.recordRental(
                        kindIndex(a.type(), a.zone(), a.spot()),
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
                    refusedUntilMs.put(new MachineKind(a.type(), a.zone(), a.spot()), effects.now() + 15_000);
                }
                recordOutcome(a, hosts);
            } else if (status == 503 && "no capacity".equals(m.get("error"))) {
                LOG.info(
                        "no {} in {}{}",
                        catalog.typeNames.name(a.type()),
                        catalog.zones.name(a.zone()),
                        a.spot() ? " (spot)" : "");
                refusedUntilMs.put(new MachineKind(a.type(), a.zone(), a.spot()), effects.now() + 20_000);
                recordOutcome(a, List.of());
            } else if (status == 400) {
                LOG.error("rental {} refused as malformed", a.name());
                recordOutcome(a, List.of());
            } else {
                // Unclear or later: the same name again, so that nothing is rented twice.
                requestsInProgress.remove(a.name());
                retryAtMs.put(a.name(), effects.now() + 1_500);
            }
        });
        if (!sent) {
            requestsInProgress.remove(a.name());
            retryAtMs.put(a.name(), effects.now() + 500);
        }
    }

    private Map<String, Object> requestBody(RentalRequest a) {
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

    private void recordOutcome(RentalRequest a, List<Object> hosts) {
        store.enqueue(new FunctionChange(
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
                        tx.put(key, requestRow(a, hosts));
                    }
                    return true;
                },
                ok -> requestsInProgress.remove(a.name())));
    }

    private Map<String, Object> requestRow(RentalRequest a, List<Object> hosts) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("y", catalog.typeNames.name(a.type()));
        m.put("z", catalog.zones.name(a.zone()));
        m.put("s", a.spot());
        m.put("n", a.count());
        m.put("t", a.requestedAtMs());
        if (hosts != null) {
            m.put("h", hosts);
        }
        return m;
    }

    /** Buys for what found no room, neither now nor soon. */
    private void requestMachines(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        refusedUntilMs.values().removeIf(until -> now > until);
        for (RentalRequest a : rentalRequests()) {
            if (a.hosts() == null) {
                return;
            }
        }
        Map<MachineKind, Integer> wanted = new LinkedHashMap<>();
        List<double[]> room = new ArrayList<>();
        List<MachineKind> kinds = new ArrayList<>();
        int[] perZone = new int[catalog.zones.size()];
        pictures.values().forEach(p -> {
            if (p.zone() >= 0) {
                perZone[p.zone()]++;
            }
        });
        int opened = 0;
        int expected = tasksToRestore.getAsInt();
        for (Planner.UnplacedTasks u : plan.rentalDemand(effects.wallTime())) {
            JobSpec s = u.job().spec;
            Map<Integer, Integer> zones = tasksByZone(u.job());
            RentalPolicy.RentalLimit may = rentalPolicy.limitFor(u.job(), u.taskCount(), effects.wallTime());
            int spared = Math.min(may.tasks(), expected);
            expected -= spared;
            for (int n = spared; n < Math.min(may.tasks(), 400); n++) {
                int at = -1;
                for (int i = 0; i < room.size() && at < 0; i++) {
                    double[] r = room.get(i);
                    MachineKind k = kinds.get(i);
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
                    MachineKind k = cheapestKind(s, zones, perZone, may.spotOnly());
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
    private MachineKind cheapestKind(JobSpec s, Map<Integer, Integer> tasksByZone, int[] perZone, boolean spotOnly) {
        MachineKind best = null;
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
                    MachineKind k = new MachineKind(t.index(), zone, spot == 1);
                    if (refusedUntilMs.containsKey(k)) {
                        continue;
                    }
                    // What mostly does not come up is tried less, and tried again: a few that come make up for it.
                    double price = (k.spot ? t.spotPricePerHour() * 1.1 : t.pricePerHour())
                                    / fit
                                    / Math.max(
                                            MIN_BOOTED_SHARE,
                                            bootStatistics.bootedShare(kindIndex(k.type, k.zone, k.spot)))
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
    private void reserve(Map<MachineKind, Integer> wanted) {
        recordingRequests = true;
        long at = effects.wallTime();
        int max = Math.max(1, settings.txnOps() - 1);
        long[] first = {-1};
        store.enqueue(new FunctionChange(
                3,
                Math.min(settings.txnOps(), wanted.size() + 1),
                tx -> {
                    if (!isActive() || tx.writes(Keys.AUTOSCALER)) {
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
                    for (Map.Entry<MachineKind, Integer> e : wanted.entrySet()) {
                        if (used++ >= max) {
                            break;
                        }
                        MachineKind k = e.getKey();
                        RentalRequest a = new RentalRequest(
                                "r-" + next++, k.type, k.zone, k.spot, Math.min(50, e.getValue()), at, null);
                        tx.put(Keys.RENTAL_REQUEST + a.name(), requestRow(a, null));
                    }
                    tx.put(Keys.AUTOSCALER, autoscalerRow(next));
                    return true;
                },
                ok -> recordingRequests = false));
    }

    // ---- returns

    private void returnMachines(Map<String, MachineStatus> pictures, long now) {
        returnPendingUntilMs.values().removeIf(until -> now > until);
        reserve.refresh(pictures, now);
        Set<Integer> unheard = mostlySilentShards(pictures);
        for (MachineStatus p : pictures.values()) {
            if (deleting.contains(p.machine())
                    || recentlyDeleted.containsKey(p.machine())
                    || returnPendingUntilMs.containsKey(p.machine())) {
                continue;
            }
            boolean idle = !reserve.keeps(p.machine())
                    && p.idleSinceMs() >= 0
                    && now - p.idleSinceMs() > idleTimeoutMs(p)
                    && view.claims(p.machine()).isEmpty();
            // Cut off ourselves, we would delete machines that are well: others hear them.
            boolean silent = store.healthy() && isSilentTooLong(p) && !unheard.contains(p.shard());
            if (silent) {
                LOG.info("machine {} silent for {} ms, deleted to free its tasks", p.machine(), p.silentMs());
                queueDeletion(p.machine());
            } else if (idle
                    || p.faulty()
                    || p.beingReturned() && view.claims(p.machine()).isEmpty()) {
                returnPendingUntilMs.put(p.machine(), now + 5_000);
                requestReturn.accept(p.machine(), false);
            }
        }
    }

    /**
     * How long an idle machine is kept: what it would take to have one like it again, which is booting and fetching what
     * the present jobs need.
     */
    private double idleTimeoutMs(MachineStatus p) {
        Catalog.MachineType t = catalog.type(p.type());
        if (t == null) {
            return 60_000;
        }
        double fetch = meanImageGb / t.fetchGbPerS();
        // Waiting is dear on dear machines: cheap ones stay longer, dear ones go sooner.
        double cheapness = t.spotPricePerHour() > 0 ? Math.sqrt(t.pricePerHour() / t.spotPricePerHour()) : 1;
        return 1000 * (lingerBoots * t.bootS() + lingerFetches * fetch) * (p.spot() ? cheapness : 1 / cheapness);
    }

    /**
     * Shards most of whose machines fell silent: that is mostly their owner's link or their zone's, and they are well. Without this, a
     * buyer that its own workers could not reach deleted two dozen of them a second before somebody took them over.
     */
    private static Set<Integer> mostlySilentShards(Map<String, MachineStatus> pictures) {
        Map<Integer, int[]> counts = new HashMap<>();
        for (MachineStatus p : pictures.values()) {
            int[] c = counts.computeIfAbsent(p.shard(), k -> new int[2]);
            c[0]++;
            c[1] += p.silentMs() > 0 ? 1 : 0;
        }
        Set<Integer> l = new HashSet<>();
        counts.forEach((shard, c) -> {
            if (c[1] >= MIN_SILENT_FOR_SHARD_FAULT && 2 * c[1] > c[0]) {
                l.add(shard);
            }
        });
        return l;
    }

    /** A machine that says nothing is mostly lost; deleting it is the quickest proof that its tasks are gone. */
    private boolean isSilentTooLong(MachineStatus p) {
        double s = p.silentMs() / 1000.0;
        double bound = p.spot() ? settings.reportS() * silentSpotReports : settings.leaseS() * silentLeaseShare;
        return s > bound && !view.claims(p.machine()).isEmpty();
    }

    /** The owner's answer to a wish to return a machine. */
    public void onReturnReply(String machine, boolean agreed) {
        if (agreed && isActive()) {
            LOG.info("machine {} is returned", machine);
            MachineStatus p = lastStatuses.get(machine);
            if (p != null) {
                orders.recordReturn(kindIndex(p.type(), p.zone(), p.spot()), effects.now());
            }
            queueDeletion(machine);
        }
    }

    private int kindIndex(int type, int zone, boolean spot) {
        return (type * catalog.zones.size() + zone) * 2 + (spot ? 1 : 0);
    }

    private void queueDeletion(String machine) {
        if (deleting.add(machine)) {
            deletionQueue.add(machine);
        }
    }

    private void sendDeletions() {
        if (deletionQueue.isEmpty()) {
            return;
        }
        List<String> names = new ArrayList<>(deletionQueue.subList(0, Math.min(100, deletionQueue.size())));
        boolean sent = cloud.call("POST", Wire.RENTALS_DELETE, Map.of(Wire.MACHINES, names), (status, m) -> {
            if (status == 200) {
                counters.returns += names.size();
                for (String n : names) {
                    recentlyDeleted.put(n, effects.now());
                    deleting.remove(n);
                    onDeleted.accept(n);
                }
            } else {
                names.forEach(n -> {
                    if (!deletionQueue.contains(n)) {
                        deletionQueue.add(n);
                    }
                });
            }
        });
        if (sent) {
            deletionQueue.removeAll(names);
        }
    }

    /** A change made of two functions. */
    private record FunctionChange(
            int rank, int maxWrites, java.util.function.Predicate<Transaction> builder, Consumer<Boolean> onFinished)
            implements Change {
        @Override
        public boolean build(Transaction tx) {
            return builder.test(tx);
        }

        @Override
        public void committed(long revision) {
            onFinished.accept(true);
        }

        @Override
        public void dropped() {
            onFinished.accept(false);
        }
    }
}
