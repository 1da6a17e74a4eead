package birchusher.workers;

import birchusher.core.Effects;
import birchusher.lease.LossRates;
import birchusher.membership.Membership;
import birchusher.mesh.PeerRecord;
import birchusher.model.Catalog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The statuses of all machines: those of this controller's own machines, and those that other owners publish. Only changes are published, and
 * each status again at intervals, so that the traffic between controllers grows with the number of changes and not with machines times
 * controllers. Not thread-safe: called on the controller's thread.
 */
public final class MachineStatusExchange {
    /** Each status is published again after this time, as records may be lost. */
    private static final long REPUBLISH_MS = 4_000;
    /** A status that has not been received again for this long is not used. */
    private static final long STALE_MS = 11_000;
    /** A received status is kept for this time, for a new owner of the machine to start from. */
    private static final long RETENTION_MS = 60_000;

    /** The time for which a machine is silent is published in multiples of this. */
    private static final int SILENT_STEP_MS = 1_000;

    private static final int MAX_TASK_INDEX_DIGITS = 6;

    /** A status as it was last published. */
    private record Published(PeerRecord.Machine machine, long publishedAtMs) {}

    /** A status that another owner published. */
    private record Received(MachineStatus status, int owner, long receivedAtMs) {}

    private final Effects effects;
    private final Catalog catalog;
    private final Membership membership;
    private final Map<String, Published> published = new HashMap<>();
    private final Map<String, Received> received = new HashMap<>();
    private final List<String> removedMachines = new ArrayList<>();
    private Map<String, MachineStatus> statuses = Map.of();
    private boolean publishAll;

    public MachineStatusExchange(Effects effects, Catalog catalog, Membership membership) {
        this.effects = effects;
        this.catalog = catalog;
        this.membership = membership;
    }

    /** All machine statuses as of the last {@link #mergeStatuses}, by machine. For own machines the own status takes precedence. */
    public Map<String, MachineStatus> statuses() {
        return statuses;
    }

    /** Rebuilds the statuses from those of the own machines and those received from connected owners. */
    public void mergeStatuses(List<MachineStatus> own) {
        Map<String, MachineStatus> all = new LinkedHashMap<>();
        for (MachineStatus status : own) {
            all.put(status.machine(), status);
        }
        for (var it = received.values().iterator(); it.hasNext(); ) {
            Received entry = it.next();
            if (effects.now() - entry.receivedAtMs > RETENTION_MS) {
                it.remove();
            } else if (membership.isConnected(entry.owner) && effects.now() - entry.receivedAtMs <= STALE_MS) {
                all.putIfAbsent(entry.status.machine(), entry.status);
            }
        }
        statuses = all;
    }

    /** The status that another owner last published for a machine, or null. */
    public MachineStatus statusFromOwner(String machine) {
        Received entry = received.get(machine);
        return entry == null ? null : entry.status;
    }

    /** Whether another controller has recently published a machine in a zone as reachable, in both directions. */
    public boolean ownerReachesZone(int owner, int zone) {
        for (Received entry : received.values()) {
            if (entry.owner == owner
                    && entry.status.zone() == zone
                    && entry.status.usable()
                    && entry.status.silentMs() == 0
                    && effects.now() - entry.receivedAtMs <= STALE_MS) {
                return true;
            }
        }
        return false;
    }

    /** The kind of a machine by {@link LossRates#kind}, or -1 if its status is not known. */
    public int machineKind(String machine) {
        MachineStatus status = statuses.get(machine);
        return status == null ? -1 : LossRates.kind(status.type(), status.spot());
    }

    /** Has the next {@link #changedStatuses} return all statuses, as a peer has connected. */
    public void publishAllNext() {
        publishAll = true;
    }

    /**
     * The own statuses to publish: changed since they were last published, or due again. {@link #removedMachines} then returns what belongs to
     * the same publication.
     */
    public List<PeerRecord.Machine> changedStatuses(List<MachineStatus> own) {
        long now = effects.now();
        List<PeerRecord.Machine> changes = new ArrayList<>();
        Map<String, MachineStatus> present = new HashMap<>();
        for (MachineStatus status : own) {
            present.put(status.machine(), status);
            PeerRecord.Machine record = toRecord(status);
            Published before = published.get(status.machine());
            if (publishAll
                    || before == null
                    || now - before.publishedAtMs >= REPUBLISH_MS
                    || !before.machine.sameStatus(record)) {
                changes.add(record);
                published.put(status.machine(), new Published(record, now));
            }
        }
        removedMachines.clear();
        published.keySet().removeIf(name -> !present.containsKey(name) && removedMachines.add(name));
        publishAll = false;
        return changes;
    }

    /** Machines that were published before and no longer are: returned, or owned by another controller. */
    public List<String> removedMachines() {
        return List.copyOf(removedMachines);
    }

    private PeerRecord.Machine toRecord(MachineStatus status) {
        List<String> images = new ArrayList<>(status.cachedImages().length);
        for (int i : status.cachedImages()) {
            images.add(catalog.images.name(i));
        }
        List<String> fetchingImages = new ArrayList<>(status.fetchingImages().length / 2);
        List<Integer> fetchMs = new ArrayList<>(status.fetchingImages().length / 2);
        for (int i = 0; i < status.fetchingImages().length; i += 2) {
            fetchingImages.add(catalog.images.name(status.fetchingImages()[i]));
            fetchMs.add(status.fetchingImages()[i + 1]);
        }
        int flags = (status.usable() ? PeerRecord.Machine.USABLE : 0)
                | (status.pendingConfirmation() ? PeerRecord.Machine.PENDING_CONFIRMATION : 0)
                | (status.faulty() ? PeerRecord.Machine.FAULTY : 0)
                | (status.beingReturned() ? PeerRecord.Machine.BEING_RETURNED : 0);
        int idleMs = status.idleSinceMs() < 0 ? -1 : (int) (effects.now() - status.idleSinceMs());
        return new PeerRecord.Machine(
                status.machine(),
                catalog.typeNames.name(status.type()),
                catalog.zones.name(status.zone()),
                status.spot(),
                status.session(),
                status.shard(),
                flags,
                status.silentMs() / SILENT_STEP_MS * SILENT_STEP_MS,
                idleMs,
                status.speed(),
                status.unclaimedUse()[0],
                status.unclaimedUse()[1],
                status.unclaimedUse()[2],
                fetchingImages,
                fetchMs,
                images,
                status.reservedTasks());
    }

    /** Applies the machine statuses of a peer's heartbeat; {@code from}: index of the member. */
    public void onHeartbeat(int from, PeerRecord.Heartbeat heartbeat) {
        long now = effects.now();
        for (String name : heartbeat.withdrawnMachines()) {
            Received entry = received.get(name);
            if (entry != null && entry.owner == from) {
                received.remove(name);
            }
        }
        heartbeat.deletedMachines().forEach(received::remove);
        for (PeerRecord.Machine record : heartbeat.machines()) {
            int zone = catalog.zones.find(record.zone());
            if (zone < 0 || record.shard() < 0 || record.shard() >= membership.shardCount()) {
                continue;
            }
            int[] images =
                    record.cachedImages().stream().mapToInt(catalog.images::add).toArray();
            int fetchCount = Math.min(
                    record.fetchingImages().size(), record.fetchRemainingMs().size());
            int[] fetchingImages = new int[fetchCount * 2];
            for (int i = 0; i < fetchCount; i++) {
                fetchingImages[2 * i] =
                        catalog.images.add(record.fetchingImages().get(i));
                fetchingImages[2 * i + 1] = record.fetchRemainingMs().get(i);
            }
            received.put(
                    record.name(),
                    new Received(
                            new MachineStatus(
                                    record.name(),
                                    catalog.typeNames.add(record.type()),
                                    zone,
                                    record.spot(),
                                    record.session(),
                                    record.shard(),
                                    (record.flags() & PeerRecord.Machine.USABLE) != 0,
                                    (record.flags() & PeerRecord.Machine.PENDING_CONFIRMATION) != 0,
                                    (record.flags() & PeerRecord.Machine.FAULTY) != 0,
                                    (record.flags() & PeerRecord.Machine.BEING_RETURNED) != 0,
                                    record.silentMs(),
                                    record.idleMs() < 0 ? -1 : now - record.idleMs(),
                                    record.speed(),
                                    new double[] {
                                        record.unclaimedCpus(), record.unclaimedGpus(), record.unclaimedMemoryGb()
                                    },
                                    fetchingImages,
                                    images,
                                    record.reservedTasks().stream()
                                            .filter(MachineStatusExchange::isTaskKey)
                                            .toList()),
                            from,
                            now));
        }
    }

    /** Whether a key is a job ID, a slash and a number of at most {@link #MAX_TASK_INDEX_DIGITS} digits; keys from peers are validated only
     * here. */
    private static boolean isTaskKey(String key) {
        int slash = key.lastIndexOf('/');
        return slash > 0
                && key.length() - slash - 1 <= MAX_TASK_INDEX_DIGITS
                && key.length() > slash + 1
                && key.chars().skip(slash + 1).allMatch(c -> c >= '0' && c <= '9');
    }
}
