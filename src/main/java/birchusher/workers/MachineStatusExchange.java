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
 * The whole fleet as this controller pictures it: its own machines, and what the other owners tell of theirs. Only news is
 * told, and now and then everything again, so that what controllers send each other grows with what happens and not with
 * machines times controllers.
 */
public final class MachineStatusExchange {
    /** Each machine is told again after this long, in case that a record was lost. */
    private static final long REPUBLISH_MS = 4_000;
    /** What is not told again for this long is not counted on any more. */
    private static final long STALE_MS = 11_000;
    /** For so long it is remembered, for an owner to come. */
    private static final long FORGET_MS = 60_000;

    private record Published(PeerRecord.Machine machine, long publishedAtMs) {}

    private record Received(MachineStatus status, int owner, long receivedAtMs) {}

    private final Effects effects;
    private final Catalog catalog;
    private final Membership membership;
    private final Map<String, Published> statusFromOwner = new HashMap<>();
    private final Map<String, Received> received = new HashMap<>();
    private final List<String> removedMachines = new ArrayList<>();
    private Map<String, MachineStatus> statuses = Map.of();
    private boolean publishAll;

    public MachineStatusExchange(Effects effects, Catalog catalog, Membership membership) {
        this.effects = effects;
        this.catalog = catalog;
        this.membership = membership;
    }

    /** The present picture of the fleet; ours first, as we know our own machines best. */
    public Map<String, MachineStatus> statuses() {
        return statuses;
    }

    public void mergeStatuses(List<MachineStatus> own) {
        Map<String, MachineStatus> all = new LinkedHashMap<>();
        for (MachineStatus p : own) {
            all.put(p.machine(), p);
        }
        for (var it = received.values().iterator(); it.hasNext(); ) {
            Received t = it.next();
            if (effects.now() - t.receivedAtMs > FORGET_MS) {
                it.remove();
            } else if (membership.isConnected(t.owner) && effects.now() - t.receivedAtMs <= STALE_MS) {
                all.putIfAbsent(t.status.machine(), t.status);
            }
        }
        statuses = all;
    }

    /** What another owner has last told of a machine, or null. */
    public MachineStatus statusFromOwner(String machine) {
        Received t = received.get(machine);
        return t == null ? null : t.status;
    }

    /** Whether another controller lately told of a worker in a zone that it hears and that hears it. */
    public boolean ownerReachesZone(int owner, int zone) {
        for (Received t : received.values()) {
            if (t.owner == owner
                    && t.status.zone() == zone
                    && t.status.usable()
                    && t.status.silentMs() == 0
                    && effects.now() - t.receivedAtMs <= STALE_MS) {
                return true;
            }
        }
        return false;
    }

    /** The kind of a machine that is in the picture, else -1. */
    public int machineKind(String machine) {
        MachineStatus p = statuses.get(machine);
        return p == null ? -1 : LossRates.kind(p.type(), p.spot());
    }

    /** Somebody new listens: the next news is everything. */
    public void publishAllNext() {
        publishAll = true;
    }

    /** What the others don't know yet of our machines; {@link #left} belongs to it. */
    public List<PeerRecord.Machine> changedStatuses(List<MachineStatus> own) {
        long now = effects.now();
        List<PeerRecord.Machine> news = new ArrayList<>();
        Map<String, MachineStatus> present = new HashMap<>();
        for (MachineStatus p : own) {
            present.put(p.machine(), p);
            PeerRecord.Machine m = toRecord(p);
            Published before = statusFromOwner.get(p.machine());
            if (publishAll
                    || before == null
                    || now - before.publishedAtMs >= REPUBLISH_MS
                    || !before.machine.sameStatus(m)) {
                news.add(m);
                statusFromOwner.put(p.machine(), new Published(m, now));
            }
        }
        removedMachines.clear();
        statusFromOwner.keySet().removeIf(name -> !present.containsKey(name) && removedMachines.add(name));
        publishAll = false;
        return news;
    }

    /** Machines that the last news does not speak of any more: returned, or somebody else's now. */
    public List<String> removedMachines() {
        return List.copyOf(removedMachines);
    }

    private PeerRecord.Machine toRecord(MachineStatus p) {
        List<String> images = new ArrayList<>(p.cachedImages().length);
        for (int i : p.cachedImages()) {
            images.add(catalog.images.name(i));
        }
        List<String> fetching = new ArrayList<>(p.fetchingImages().length / 2);
        List<Integer> fetchMs = new ArrayList<>(p.fetchingImages().length / 2);
        for (int i = 0; i < p.fetchingImages().length; i += 2) {
            fetching.add(catalog.images.name(p.fetchingImages()[i]));
            fetchMs.add(p.fetchingImages()[i + 1]);
        }
        int flags = (p.usable() ? PeerRecord.Machine.USABLE : 0)
                | (p.pendingConfirmation() ? PeerRecord.Machine.ARRIVING : 0)
                | (p.faulty() ? PeerRecord.Machine.FAULTY : 0)
                | (p.beingReturned() ? PeerRecord.Machine.LEAVING : 0);
        int idle = p.idleSinceMs() < 0 ? -1 : (int) (effects.now() - p.idleSinceMs());
        return new PeerRecord.Machine(
                p.machine(),
                catalog.typeNames.name(p.type()),
                catalog.zones.name(p.zone()),
                p.spot(),
                p.session(),
                p.shard(),
                flags,
                p.silentMs() / 1_000 * 1_000,
                idle,
                p.speed(),
                p.unclaimedUse()[0],
                p.unclaimedUse()[1],
                p.unclaimedUse()[2],
                fetching,
                fetchMs,
                images,
                p.reservedTasks());
    }

    public void onHeartbeat(int from, PeerRecord.Heartbeat h) {
        long now = effects.now();
        for (String name : h.withdrawnMachines()) {
            Received t = received.get(name);
            if (t != null && t.owner == from) {
                received.remove(name);
            }
        }
        h.deletedMachines().forEach(received::remove);
        for (PeerRecord.Machine m : h.machines()) {
            int zone = catalog.zones.find(m.zone());
            if (zone < 0 || m.shard() < 0 || m.shard() >= membership.shardCount()) {
                continue;
            }
            int[] images = m.images().stream().mapToInt(catalog.images::add).toArray();
            int n = Math.min(m.fetchingImages().size(), m.fetchRemainingMs().size());
            int[] fetching = new int[n * 2];
            for (int i = 0; i < n; i++) {
                fetching[2 * i] = catalog.images.add(m.fetchingImages().get(i));
                fetching[2 * i + 1] = m.fetchRemainingMs().get(i);
            }
            received.put(
                    m.name(),
                    new Received(
                            new MachineStatus(
                                    m.name(),
                                    catalog.typeNames.add(m.type()),
                                    zone,
                                    m.spot(),
                                    m.session(),
                                    m.shard(),
                                    (m.flags() & PeerRecord.Machine.USABLE) != 0,
                                    (m.flags() & PeerRecord.Machine.ARRIVING) != 0,
                                    (m.flags() & PeerRecord.Machine.FAULTY) != 0,
                                    (m.flags() & PeerRecord.Machine.LEAVING) != 0,
                                    m.silentMs(),
                                    m.idleMs() < 0 ? -1 : now - m.idleMs(),
                                    m.speed(),
                                    new double[] {m.unclaimedCpus(), m.unclaimedGpus(), m.unclaimedMemoryGb()},
                                    fetching,
                                    images,
                                    m.reservedTasks().stream()
                                            .filter(MachineStatusExchange::isTaskKey)
                                            .toList()),
                            from,
                            now));
        }
    }

    /** A job's id, a slash and a number: what comes from outside is checked once, here. */
    private static boolean isTaskKey(String key) {
        int slash = key.lastIndexOf('/');
        return slash > 0
                && key.length() - slash - 1 <= 6
                && key.length() > slash + 1
                && key.chars().skip(slash + 1).allMatch(c -> c >= '0' && c <= '9');
    }
}
