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
 * Rents machines from the cloud and returns them. One controller at a time has the autoscaler role, which a row in
 * the state service records. That row also counts the names of rental requests: a name is recorded before it is used
 * and no name is used twice.
 *
 * <p>Not thread-safe: all calls and callbacks run on the controller's event loop. Times are steady milliseconds
 * unless stated otherwise.
 */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

    /**
     * Lower bound of the booted share in prices: a kind whose machines rarely come up counts as at most four times as
     * expensive.
     */
    private static final double MIN_BOOTED_SHARE = 0.25;
    /**
     * Number of silent machines in a shard from which on a network fault of its owner or zone is suspected; fewer are
     * judged singly.
     */
    private static final int MIN_SILENT_FOR_SHARD_FAULT = 4;

    private static final long TICK_INTERVAL_MS = 250;
    private static final long TYPES_RETRY_MS = 1_000;
    private static final long TYPES_REFRESH_MS = 60_000;
    /** How long this controller does not take the role again after it lost it. */
    private static final long ROLE_BACKOFF_MS = 20_000;
    /** How long nothing is requested after this controller has taken the role. */
    private static final long FIRST_REQUEST_DELAY_MS = 1_500;
    /** How long a kind of machine is not requested after the cloud rented fewer machines of it than requested. */
    private static final long PARTIAL_RENTAL_BACKOFF_MS = 15_000;
    /** The same after the cloud rented none. */
    private static final long NO_CAPACITY_BACKOFF_MS = 20_000;

    /** Time until a rental request without a clear outcome is sent again. */
    private static final long REQUEST_RETRY_MS = 1_500;
    /** The same if the limit of requests to the cloud did not allow the call. */
    private static final long UNSENT_REQUEST_RETRY_MS = 500;
    /** How long the owner of a machine is not asked again whether it may be returned. */
    private static final long RETURN_RETRY_MS = 5_000;
    /** How long a confirmed deletion is announced to owners and the machine counts as deleted recently. */
    private static final long RECENTLY_DELETED_MS = 30_000;
    /** How long an idle machine of unknown type is kept. */
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 60_000;
    /** Tasks of one job for which machines are rented at a time. */
    private static final int MAX_RENTAL_TASKS_PER_JOB = 400;

    private static final int MAX_NEW_MACHINES = 100;
    private static final int MAX_MACHINES_PER_REQUEST = 50;
    private static final int MAX_DELETIONS_PER_CALL = 100;
    /** Factor on the price of spot machines when prices are compared. */
    private static final double SPOT_PRICE_FACTOR = 1.1;
    /** Added to the price for each machine in the zone, to prefer the zone with the fewest at equal prices. */
    private static final double PRICE_PER_MACHINE_IN_ZONE = 1e-4;
    /** Rank of all changes of the autoscaler in the store client's queue. */
    private static final int CHANGE_RANK = 3;

    /**
     * A rental request as stored in its row. {@code type} and {@code zone} are indexes in the {@link Catalog},
     * {@code requestedAtMs} is wall-clock time, and {@code hosts} is null until the cloud has answered.
     */
    public record RentalRequest(
            String name, int type, int zone, boolean spot, int count, long requestedAtMs, List<String> hosts) {}

    /** Machines that the cloud offers and refuses together: a type in a zone, spot or not. */
    private record MachineKind(int type, int zone, boolean spot) {}

    private final Effects effects;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final CloudClient cloud;
    private final Counters counters;
    private final ActionCounters actionCounters;
    /**
     * False while restart recovery waits for reports. Until it is true nothing is rented, returned or drained,
     * because the next reports may show that a machine exists already or is needed.
     */
    private final BooleanSupplier fleetKnown;
    /** Number of tasks that are expected to be restored to their previous capacity. */
    private final IntSupplier tasksToRestore;

    private final Settings settings;
    /**
     * Asks the owner of a machine whether it may be returned; true: although tasks run there, which are then moved.
     */
    private final BiConsumer<String, Boolean> requestReturn;

    private final Consolidation consolidation;
    private final GangReserve gangReserve;
    private final Consumer<String> onDeleted;
    private final Map<MachineKind, Long> refusedUntilMs = new HashMap<>();
    /** Names of rental requests with a call to the cloud or a change of their row in progress. */
    private final Set<String> requestsInProgress = new HashSet<>();

    private final Map<String, Long> retryAtMs = new HashMap<>();
    /** Machines whose deletion is queued or in progress. */
    private final Set<String> deleting = new HashSet<>();

    private final Map<String, Long> returnPendingUntilMs = new HashMap<>();
    private final MachineList machineList;
    private Map<String, MachineStatus> lastStatuses = Map.of();
    private final Map<String, Long> recentlyDeleted = new LinkedHashMap<>();
    private final List<String> deletionQueue = new ArrayList<>();
    /**
     * Mean image size of the present jobs in GB, computed once a tick because the idle timeout of every machine needs
     * it.
     */
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
            Settings settings,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            CloudClient cloud,
            Counters counters,
            ActionCounters actionCounters,
            BooleanSupplier fleetKnown,
            IntSupplier tasksToRestore,
            Tuning tuning,
            BiConsumer<String, Boolean> requestReturn,
            Consumer<String> onDeleted,
            Function<Map<String, MachineStatus>, List<Slot>> freeSlots,
            ToLongFunction<Claim> runningForMs) {
        this.effects = effects;
        this.settings = settings;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.cloud = cloud;
        this.counters = counters;
        this.actionCounters = actionCounters;
        this.fleetKnown = fleetKnown;
        this.tasksToRestore = tasksToRestore;
        this.requestReturn = requestReturn;
        this.onDeleted = onDeleted;
        gangReserve = new GangReserve(catalog, view, settings.objectives());
        consolidation = new Consolidation(
                catalog,
                view,
                tuning.durationMs("fleet.move-after-s"),
                requestReturn,
                freeSlots,
                runningForMs,
                this::idleTimeoutMs);
        lingerBoots = tuning.value("fleet.linger-boots");
        lingerFetches = tuning.value("fleet.linger-fetches");
        giveUpBoots = tuning.value("fleet.give-up-boots");
        bootStatistics = new BootStatistics(giveUpBoots);
        rentalPolicy = new RentalPolicy(catalog, settings.objectives(), tuning.durationMs("placement.begin-by-s"));
        silentSpotReports = tuning.value("fleet.silent-spot-reports");
        silentLeaseShare = tuning.value("fleet.silent-share");
        machineList = new MachineList(
                effects, settings, catalog, view, membership, cloud, giveUpBoots, new MachineList.FleetState() {
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
                        return rentalRequests().stream().anyMatch(request -> request.hosts() == null)
                                || requestedHosts.contains(machine);
                    }

                    @Override
                    public void delete(String machine) {
                        Autoscaler.this.queueDeletion(machine);
                    }
                });
    }

    /** Whether the machine was deleted recently, or its deletion is queued or in progress. */
    public boolean isBeingDeleted(String machine) {
        return recentlyDeleted.containsKey(machine) || deleting.contains(machine);
    }

    /** Returns the machines that the cloud lists as running although they report to no controller. */
    public Set<String> unreportedRunning() {
        return machineList.unreportedRunning();
    }

    /**
     * Whether this controller has the autoscaler role: the role's row names its current incarnation, and its member
     * lease holds.
     */
    public boolean isActive() {
        Map<String, Object> row = view.row(Keys.AUTOSCALER);
        return membership.canAct()
                && row != null
                && membership.memberName(0).equals(row.get("m"))
                && Fields.countOr(row, "i", 0) == membership.incarnation();
    }

    /** Returns the machines whose deletion the cloud confirmed within the last 30 s, for notifying their owners. */
    public List<String> recentlyDeleted() {
        recentlyDeleted.values().removeIf(deletedAtMs -> effects.now() - deletedAtMs > RECENTLY_DELETED_MS);
        return List.copyOf(recentlyDeleted.keySet());
    }

    /**
     * Does the periodic work, at most every 250 ms. Without the autoscaler role, only learns machine types and takes
     * the role if it is free.
     *
     * @param statuses machine statuses by machine name
     * @param plan the last plan, whose unplaced tasks are rented for
     */
    public void tick(Map<String, MachineStatus> statuses, Planner.Plan plan) {
        long nowMs = effects.now();
        if (!store.loaded() || nowMs < nextTickMs) {
            return;
        }
        nextTickMs = nowMs + TICK_INTERVAL_MS;
        refreshTypes(nowMs);
        boolean active = isActive();
        if (active && !wasActive) {
            activeSinceMs = nowMs;
            LOG.info("this controller has taken the autoscaler role");
        }
        if (wasActive && !active) {
            // Another controller took the role while this one was partitioned; taking it back at once would make them
            // alternate.
            roleLostAtMs = nowMs;
        }
        wasActive = active;
        if (!active) {
            tryTakeRole();
            return;
        }
        meanImageGb = view.jobs().stream()
                .mapToDouble(job -> job.spec.imageGb())
                .average()
                .orElse(0);
        processRequests(statuses, nowMs);
        lastStatuses = statuses;
        machineList.tick();
        if (!fleetKnown.getAsBoolean()) {
            sendDeletions();
            return;
        }
        returnMachines(statuses, nowMs);
        if (catalog.typesKnown() && !recordingRequests && nowMs - activeSinceMs > FIRST_REQUEST_DELAY_MS) {
            requestMachines(plan, statuses, nowMs);
        }
        consolidation.tick(plan, statuses, nowMs);
        sendDeletions();
    }

    // ---- machine types

    private void refreshTypes(long nowMs) {
        Map<String, Object> row = view.row(Keys.MACHINE_TYPES);
        if (!catalog.typesKnown() && row != null) {
            learnTypes(Fields.list(row, "l"));
        }
        boolean wanted = !catalog.typesKnown() || wasActive && nowMs >= nextTypesMs;
        if (!wanted || nowMs < nextTypesMs) {
            return;
        }
        nextTypesMs = nowMs + TYPES_RETRY_MS;
        cloud.call("GET", Wire.MACHINE_TYPES, null, (status, reply) -> {
            if (status != 200) {
                return;
            }
            nextTypesMs = effects.now() + TYPES_REFRESH_MS;
            List<?> list = Fields.list(reply, Wire.TYPE_LIST);
            learnTypes(list);
            if (view.row(Keys.MACHINE_TYPES) == null && !list.isEmpty()) {
                putRow(
                        Keys.MACHINE_TYPES,
                        Map.of("l", list.stream().map(Autoscaler::knownFields).toList()));
            }
        });
    }

    /** The fields of a machine type that were read; what else the cloud sends is not stored. */
    private static Map<String, Object> knownFields(Object type) {
        Map<String, Object> fields = new LinkedHashMap<>(Fields.map(type, "type"));
        fields.keySet().retainAll(List.of(Wire.TYPE_FIELDS));
        return fields;
    }

    private void learnTypes(List<?> list) {
        List<Catalog.MachineType> types = new ArrayList<>();
        for (Object entry : list) {
            types.add(Catalog.type(catalog.typeNames, catalog.zones, Fields.map(entry, "type"), Wire.TYPE_FIELDS));
        }
        boolean first = !catalog.typesKnown();
        catalog.addTypes(types);
        if (first) {
            LOG.info("learned {} machine types", types.size());
        }
    }

    // ---- becoming the autoscaler

    private void tryTakeRole() {
        Map<String, Object> row = view.row(Keys.AUTOSCALER);
        if (takingRole || !membership.canAct() || !store.healthy() || effects.now() - roleLostAtMs < ROLE_BACKOFF_MS) {
            return;
        }
        int holder = row == null ? -1 : membership.memberIndex(String.valueOf(row.get("m")));
        if (holder > 0 && membership.isAlive(holder)) {
            return;
        }
        // If an earlier incarnation of this controller had the role, the others receive the heartbeats of this one
        // and wait for it, so it must not wait for any of them. Otherwise, after all controllers had crashed
        // together, none rented or returned machines any more unless the lowest name had been the autoscaler.
        for (int i = 1; holder != 0 && i < membership.memberCount(); i++) {
            if (membership.isConnected(i) && membership.memberName(i).compareTo(membership.memberName(0)) < 0) {
                return;
            }
        }
        takingRole = true;
        store.enqueue(new FunctionChange(
                CHANGE_RANK,
                1,
                tx -> {
                    Map<String, Object> current = view.row(Keys.AUTOSCALER);
                    tx.requireUnchanged(Keys.MEMBER_LEASE + membership.memberName(0));
                    tx.put(Keys.AUTOSCALER, autoscalerRow(current == null ? 1 : Fields.countOr(current, "n", 1)));
                    return true;
                },
                ok -> takingRole = false));
    }

    private Map<String, Object> autoscalerRow(long nextNumber) {
        return Map.of("m", membership.memberName(0), "i", membership.incarnation(), "n", nextNumber);
    }

    private void putRow(String key, Map<String, Object> value) {
        store.enqueue(new FunctionChange(
                CHANGE_RANK,
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

    /**
     * Returns the rental requests in the state service. Their rows are parsed again only after one of them has
     * changed.
     */
    public List<RentalRequest> rentalRequests() {
        if (requestsReadAtChange == view.rentalRequestChangeCount()) {
            return rentalRequests;
        }
        List<RentalRequest> requests = new ArrayList<>();
        Set<String> hostNames = new HashSet<>();
        boolean complete = true;
        for (Map.Entry<String, Map<String, Object>> entry :
                view.rowsUnder(Keys.RENTAL_REQUEST).entrySet()) {
            Map<String, Object> fields = entry.getValue();
            int type = catalog.typeNames.find(Fields.text(fields, "y"));
            int zone = catalog.zones.find(Fields.text(fields, "z"));
            List<String> hosts = null;
            if (fields.get("h") instanceof List<?> hostList) {
                hosts = new ArrayList<>();
                for (Object host : hostList) {
                    hosts.add(String.valueOf(host));
                }
                hostNames.addAll(hosts);
            }
            if (zone >= 0 && catalog.type(type) != null) {
                requests.add(new RentalRequest(
                        entry.getKey().substring(Keys.RENTAL_REQUEST.length()),
                        type,
                        zone,
                        Boolean.TRUE.equals(fields.get("s")),
                        (int) Fields.count(fields, "n"),
                        Fields.count(fields, "t"),
                        hosts));
            } else {
                complete = false;
            }
        }
        rentalRequests = requests;
        requestedHosts = hostNames;
        // Rows whose type is not known yet are parsed again, as the type will be learned.
        requestsReadAtChange = complete ? view.rentalRequestChangeCount() : -1;
        return requests;
    }

    /**
     * Returns the capacity of machines that are rented and have not reported yet, except overdue and deleted ones.
     * Also records the boot time of those that have reported since.
     */
    public List<Slot> bootingSlots(Map<String, MachineStatus> statuses) {
        List<Slot> slots = new ArrayList<>();
        for (RentalRequest request : rentalRequests()) {
            Catalog.MachineType type = catalog.type(request.type());
            int count =
                    request.hosts() == null ? request.count() : request.hosts().size();
            double ageS = Math.max(0, (effects.wallTime() - request.requestedAtMs()) / 1000.0);
            int kind = kindIndex(request.type(), request.zone(), request.spot());
            boolean overdue = ageS > type.bootS() * bootStatistics.overdueBoots(kind);
            long etaMs = Math.round(bootStatistics.etaS(kind, ageS, type.bootS()) * 1000);
            for (int i = 0; i < count; i++) {
                String host = request.hosts() == null
                        ? request.name() + "/" + i
                        : request.hosts().get(i);
                if (statuses.containsKey(host)) {
                    bootStatistics.recordBooted(kind, host, ageS, type.bootS());
                } else if (!overdue && !deleting.contains(host) && !recentlyDeleted.containsKey(host)) {
                    slots.add(new Slot(
                            host,
                            type,
                            request.zone(),
                            request.spot(),
                            0,
                            -1,
                            1,
                            new int[0],
                            new int[0],
                            etaMs,
                            false,
                            type.cpus(),
                            type.gpus(),
                            type.memoryGb()));
                }
            }
        }
        return slots;
    }

    private void processRequests(Map<String, MachineStatus> statuses, long nowMs) {
        for (RentalRequest request : rentalRequests()) {
            if (request.hosts() == null) {
                if (!requestsInProgress.contains(request.name())
                        && nowMs >= retryAtMs.getOrDefault(request.name(), 0L)) {
                    sendRequest(request);
                }
                continue;
            }
            double ageS = (effects.wallTime() - request.requestedAtMs()) / 1000.0;
            boolean allUp = true;
            List<String> lateHosts = new ArrayList<>();
            for (String host : request.hosts()) {
                boolean up = statuses.containsKey(host) || recentlyDeleted.containsKey(host);
                allUp &= up;
                if (!up && ageS > catalog.type(request.type()).bootS() * giveUpBoots) {
                    lateHosts.add(host);
                }
            }
            if (!lateHosts.isEmpty()) {
                for (String host : lateHosts) {
                    if (view.claims(host).isEmpty() && !deleting.contains(host)) {
                        LOG.info(
                                "machine {} has not come up {} s after it was requested, deleting it",
                                host,
                                Math.round(ageS));
                        bootStatistics.recordNeverBooted(
                                kindIndex(request.type(), request.zone(), request.spot()), host);
                        queueDeletion(host);
                    }
                }
            } else if (allUp && requestsInProgress.add(request.name())) {
                store.enqueue(new FunctionChange(
                        CHANGE_RANK,
                        1,
                        tx -> {
                            if (view.row(Keys.RENTAL_REQUEST + request.name()) == null) {
                                return false;
                            }
                            tx.remove(Keys.RENTAL_REQUEST + request.name());
                            return true;
                        },
                        ok -> requestsInProgress.remove(request.name())));
            }
        }
    }

    private void sendRequest(RentalRequest request) {
        requestsInProgress.add(request.name());
        boolean sent = cloud.call("POST", Wire.RENTALS, requestBody(request), (status, reply) -> {
            if (status == 200) {
                List<Object> hosts = new ArrayList<>(Fields.list(reply, Wire.MACHINES));
                counters.rentals += hosts.size();
                actionCounters.recordRental(
                        kindIndex(request.type(), request.zone(), request.spot()),
                        hosts.size(),
                        Math.round(catalog.type(request.type()).bootS() * 1000),
                        effects.now());
                LOG.info(
                        "rented {} of {} requested machines of type {} in zone {}{}: {}",
                        hosts.size(),
                        request.count(),
                        catalog.typeNames.name(request.type()),
                        catalog.zones.name(request.zone()),
                        request.spot() ? " (spot)" : "",
                        hosts);
                if (hosts.size() < request.count()) {
                    refusedUntilMs.put(
                            new MachineKind(request.type(), request.zone(), request.spot()),
                            effects.now() + PARTIAL_RENTAL_BACKOFF_MS);
                }
                recordOutcome(request, hosts);
            } else if (status == 503 && "no capacity".equals(reply.get("error"))) {
                LOG.info(
                        "cloud has no capacity for type {} in zone {}{}",
                        catalog.typeNames.name(request.type()),
                        catalog.zones.name(request.zone()),
                        request.spot() ? " (spot)" : "");
                refusedUntilMs.put(
                        new MachineKind(request.type(), request.zone(), request.spot()),
                        effects.now() + NO_CAPACITY_BACKOFF_MS);
                recordOutcome(request, List.of());
            } else if (status == 400) {
                LOG.error("cloud refused rental request {} as malformed", request.name());
                recordOutcome(request, List.of());
            } else {
                // The outcome is unknown, or the cloud asked to retry later: retried under the same name, so that
                // nothing is rented twice.
                requestsInProgress.remove(request.name());
                retryAtMs.put(request.name(), effects.now() + REQUEST_RETRY_MS);
            }
        });
        if (!sent) {
            requestsInProgress.remove(request.name());
            retryAtMs.put(request.name(), effects.now() + UNSENT_REQUEST_RETRY_MS);
        }
    }

    private Map<String, Object> requestBody(RentalRequest request) {
        return Map.of(
                Wire.RENTAL_REQUEST,
                request.name(),
                Wire.TYPE,
                catalog.typeNames.name(request.type()),
                Wire.ZONE,
                catalog.zones.name(request.zone()),
                Wire.SPOT,
                request.spot(),
                Wire.COUNT,
                request.count());
    }

    private void recordOutcome(RentalRequest request, List<Object> hosts) {
        store.enqueue(new FunctionChange(
                CHANGE_RANK,
                1,
                tx -> {
                    String key = Keys.RENTAL_REQUEST + request.name();
                    if (view.row(key) == null) {
                        return false;
                    }
                    if (hosts.isEmpty()) {
                        tx.remove(key);
                    } else {
                        tx.put(key, requestRow(request, hosts));
                    }
                    return true;
                },
                ok -> requestsInProgress.remove(request.name())));
    }

    private Map<String, Object> requestRow(RentalRequest request, List<Object> hosts) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("y", catalog.typeNames.name(request.type()));
        row.put("z", catalog.zones.name(request.zone()));
        row.put("s", request.spot());
        row.put("n", request.count());
        row.put("t", request.requestedAtMs());
        if (hosts != null) {
            row.put("h", hosts);
        }
        return row;
    }

    /** Requests machines for tasks that fit neither in free capacity nor in capacity expected soon. */
    private void requestMachines(Planner.Plan plan, Map<String, MachineStatus> statuses, long nowMs) {
        refusedUntilMs.values().removeIf(untilMs -> nowMs > untilMs);
        for (RentalRequest request : rentalRequests()) {
            if (request.hosts() == null) {
                return;
            }
        }
        Map<MachineKind, Integer> wanted = new LinkedHashMap<>();
        List<double[]> freeCapacity = new ArrayList<>();
        List<MachineKind> kinds = new ArrayList<>();
        int[] machinesByZone = new int[catalog.zones.size()];
        statuses.values().forEach(status -> {
            if (status.zone() >= 0) {
                machinesByZone[status.zone()]++;
            }
        });
        int newMachines = 0;
        int expectedRestores = tasksToRestore.getAsInt();
        for (Planner.UnplacedTasks unplaced : plan.rentalDemand(effects.wallTime())) {
            JobSpec spec = unplaced.job().spec;
            Map<Integer, Integer> zones = tasksByZone(unplaced.job());
            RentalPolicy.RentalLimit limit =
                    rentalPolicy.limitFor(unplaced.job(), unplaced.taskCount(), effects.wallTime());
            int restored = Math.min(limit.tasks(), expectedRestores);
            expectedRestores -= restored;
            for (int task = restored; task < Math.min(limit.tasks(), MAX_RENTAL_TASKS_PER_JOB); task++) {
                int machineIndex = -1;
                for (int i = 0; i < freeCapacity.size() && machineIndex < 0; i++) {
                    double[] free = freeCapacity.get(i);
                    MachineKind kind = kinds.get(i);
                    if (spec.allowsZone(zones, kind.zone)
                            && spec.allowsType(kind.type)
                            && (!kind.spot || spec.allowsSpot())
                            && free[0] >= spec.cpus() - Catalog.EPSILON
                            && free[1] >= spec.gpus() - Catalog.EPSILON
                            && free[2] >= spec.memoryGb() - Catalog.EPSILON) {
                        machineIndex = i;
                    }
                }
                if (machineIndex < 0) {
                    MachineKind kind = cheapestKind(spec, zones, machinesByZone, limit.spotOnly());
                    if (kind == null || newMachines >= MAX_NEW_MACHINES) {
                        break;
                    }
                    Catalog.MachineType type = catalog.type(kind.type);
                    freeCapacity.add(new double[] {type.cpus(), type.gpus(), type.memoryGb()});
                    kinds.add(kind);
                    wanted.merge(kind, 1, Integer::sum);
                    machinesByZone[kind.zone]++;
                    newMachines++;
                    machineIndex = freeCapacity.size() - 1;
                }
                zones.merge(kinds.get(machineIndex).zone, 1, Integer::sum);
                double[] free = freeCapacity.get(machineIndex);
                free[0] -= spec.cpus();
                free[1] -= spec.gpus();
                free[2] -= spec.memoryGb();
            }
        }
        if (!wanted.isEmpty()) {
            recordRequests(wanted);
        }
    }

    /**
     * Counts the placed tasks of a job by zone. Without it, one machine after the other was rented in a zone that the
     * job's zone rule closed to the waiting task.
     */
    private Map<Integer, Integer> tasksByZone(Job job) {
        return Planner.tasksByZone(job, membership::zoneOf, job.chunks::get, claim -> !job.isPlaced(claim.task()));
    }

    /**
     * Returns the kind of machine with the lowest price per task that the cloud has not refused recently, or null; at
     * equal prices the one in the zone with the fewest machines.
     */
    private MachineKind cheapestKind(
            JobSpec spec, Map<Integer, Integer> tasksByZone, int[] machinesByZone, boolean spotOnly) {
        MachineKind cheapest = null;
        double lowestPrice = Double.MAX_VALUE;
        for (Catalog.MachineType type : catalog.types()) {
            if (!spec.allowsType(type.index()) || !type.fits(spec)) {
                continue;
            }
            double tasksPerMachine = type.cpus() / Math.max(1e-9, spec.cpus());
            tasksPerMachine = spec.gpus() > 0 ? Math.min(tasksPerMachine, type.gpus() / spec.gpus()) : tasksPerMachine;
            tasksPerMachine = Math.max(
                    1,
                    Math.floor(
                            spec.memoryGb() > 0
                                    ? Math.min(tasksPerMachine, type.memoryGb() / spec.memoryGb())
                                    : tasksPerMachine));
            for (int zone : type.zones()) {
                if (!spec.allowsZone(tasksByZone, zone)) {
                    continue;
                }
                for (int spot = spec.allowsSpot() ? 1 : 0; spot >= (spotOnly ? 1 : 0); spot--) {
                    MachineKind kind = new MachineKind(type.index(), zone, spot == 1);
                    if (refusedUntilMs.containsKey(kind)) {
                        continue;
                    }
                    // Kinds whose machines rarely come up are requested less, but not abandoned: a few that come up
                    // restore the share.
                    double price = (kind.spot ? type.spotPricePerHour() * SPOT_PRICE_FACTOR : type.pricePerHour())
                                    / tasksPerMachine
                                    / Math.max(
                                            MIN_BOOTED_SHARE,
                                            bootStatistics.bootedShare(kindIndex(kind.type, kind.zone, kind.spot)))
                            + machinesByZone[zone] * PRICE_PER_MACHINE_IN_ZONE;
                    if (price < lowestPrice) {
                        lowestPrice = price;
                        cheapest = kind;
                    }
                }
            }
        }
        return cheapest;
    }

    /** Writes the rows of new rental requests, so that their names are recorded before any of them is used. */
    private void recordRequests(Map<MachineKind, Integer> wanted) {
        recordingRequests = true;
        long requestedAtMs = effects.wallTime();
        int maxRequests = Math.max(1, settings.maxTransactionOps() - 1);
        long[] firstNumber = {-1};
        store.enqueue(new FunctionChange(
                CHANGE_RANK,
                Math.min(settings.maxTransactionOps(), wanted.size() + 1),
                tx -> {
                    if (!isActive() || tx.writes(Keys.AUTOSCALER)) {
                        return false;
                    }
                    tx.requireUnchanged(Keys.MEMBER_LEASE + membership.memberName(0));
                    long nextNumber = Fields.countOr(view.row(Keys.AUTOSCALER), "n", 1);
                    firstNumber[0] = firstNumber[0] < 0 ? nextNumber : firstNumber[0];
                    if (nextNumber != firstNumber[0]) {
                        // An earlier attempt was applied and only its response was lost. Built again, the change
                        // would record and rent everything a second time.
                        return false;
                    }
                    int recorded = 0;
                    for (Map.Entry<MachineKind, Integer> entry : wanted.entrySet()) {
                        if (recorded++ >= maxRequests) {
                            break;
                        }
                        MachineKind kind = entry.getKey();
                        RentalRequest request = new RentalRequest(
                                "r-" + nextNumber++,
                                kind.type,
                                kind.zone,
                                kind.spot,
                                Math.min(MAX_MACHINES_PER_REQUEST, entry.getValue()),
                                requestedAtMs,
                                null);
                        tx.put(Keys.RENTAL_REQUEST + request.name(), requestRow(request, null));
                    }
                    tx.put(Keys.AUTOSCALER, autoscalerRow(nextNumber));
                    return true;
                },
                ok -> recordingRequests = false));
    }

    // ---- returns

    private void returnMachines(Map<String, MachineStatus> statuses, long nowMs) {
        returnPendingUntilMs.values().removeIf(untilMs -> nowMs > untilMs);
        gangReserve.refresh(statuses, nowMs);
        Set<Integer> silentShards = mostlySilentShards(statuses);
        for (MachineStatus status : statuses.values()) {
            if (deleting.contains(status.machine())
                    || recentlyDeleted.containsKey(status.machine())
                    || returnPendingUntilMs.containsKey(status.machine())) {
                continue;
            }
            boolean idle = !gangReserve.keeps(status.machine())
                    && status.idleSinceMs() >= 0
                    && nowMs - status.idleSinceMs() > idleTimeoutMs(status)
                    && view.claims(status.machine()).isEmpty();
            // A controller that is cut off itself would delete healthy machines that report to other controllers.
            boolean silent = store.healthy() && isSilentTooLong(status) && !silentShards.contains(status.shard());
            if (silent) {
                LOG.info("machine {} silent for {} ms, deleted to free its tasks", status.machine(), status.silentMs());
                queueDeletion(status.machine());
            } else if (idle
                    || status.faulty()
                    || status.beingReturned() && view.claims(status.machine()).isEmpty()) {
                returnPendingUntilMs.put(status.machine(), nowMs + RETURN_RETRY_MS);
                requestReturn.accept(status.machine(), false);
            }
        }
    }

    /**
     * Returns how long an idle machine is kept, in ms: about what it would take to get one like it again, which is
     * booting it and fetching what the present jobs need.
     */
    private double idleTimeoutMs(MachineStatus status) {
        Catalog.MachineType type = catalog.type(status.type());
        if (type == null) {
            return DEFAULT_IDLE_TIMEOUT_MS;
        }
        double fetchS = meanImageGb / type.fetchGbPerS();
        // Idle time costs more on expensive machines: cheap ones (spot) are kept longer, expensive ones are returned
        // sooner.
        double cheapness = type.spotPricePerHour() > 0 ? Math.sqrt(type.pricePerHour() / type.spotPricePerHour()) : 1;
        return 1000
                * (lingerBoots * type.bootS() + lingerFetches * fetchS)
                * (status.spot() ? cheapness : 1 / cheapness);
    }

    /**
     * Returns the shards of which most machines are silent. The usual cause is a network fault of their owner or of
     * their zone, and the machines are healthy. Without this check, an autoscaler that its own workers could not
     * reach deleted two dozen of them one second before another controller took them over.
     */
    private static Set<Integer> mostlySilentShards(Map<String, MachineStatus> statuses) {
        Map<Integer, int[]> counts = new HashMap<>();
        for (MachineStatus status : statuses.values()) {
            int[] shardCounts = counts.computeIfAbsent(status.shard(), key -> new int[2]);
            shardCounts[0]++;
            shardCounts[1] += status.silentMs() > 0 ? 1 : 0;
        }
        Set<Integer> silentShards = new HashSet<>();
        counts.forEach((shard, shardCounts) -> {
            if (shardCounts[1] >= MIN_SILENT_FOR_SHARD_FAULT && 2 * shardCounts[1] > shardCounts[0]) {
                silentShards.add(shard);
            }
        });
        return silentShards;
    }

    /**
     * Whether a machine with claims has been silent for so long that it is deleted. Such a machine is usually lost,
     * and deleting it is the quickest proof that its tasks are gone.
     */
    private boolean isSilentTooLong(MachineStatus status) {
        double silentS = status.silentMs() / 1000.0;
        double limitS = status.spot()
                ? settings.reportIntervalS() * silentSpotReports
                : settings.workerLeaseS() * silentLeaseShare;
        return silentS > limitS && !view.claims(status.machine()).isEmpty();
    }

    /** Handles the owner's answer to a request to return a machine. */
    public void onReturnReply(String machine, boolean agreed) {
        if (agreed && isActive()) {
            LOG.info("machine {} is returned", machine);
            MachineStatus status = lastStatuses.get(machine);
            if (status != null) {
                actionCounters.recordReturn(kindIndex(status.type(), status.zone(), status.spot()), effects.now());
            }
            queueDeletion(machine);
        }
    }

    /** Returns the number under which boot times and rentals of a kind of machine are counted. */
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
        List<String> machines =
                new ArrayList<>(deletionQueue.subList(0, Math.min(MAX_DELETIONS_PER_CALL, deletionQueue.size())));
        boolean sent = cloud.call("POST", Wire.RENTALS_DELETE, Map.of(Wire.MACHINES, machines), (status, reply) -> {
            if (status == 200) {
                counters.returns += machines.size();
                for (String machine : machines) {
                    recentlyDeleted.put(machine, effects.now());
                    deleting.remove(machine);
                    onDeleted.accept(machine);
                }
            } else {
                machines.forEach(machine -> {
                    if (!deletionQueue.contains(machine)) {
                        deletionQueue.add(machine);
                    }
                });
            }
        });
        if (sent) {
            deletionQueue.removeAll(machines);
        }
    }

    /**
     * A {@link Change} made of two functions: one builds the transaction, the other receives whether it was
     * committed.
     */
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
