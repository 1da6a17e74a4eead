package birchusher.workers;

import birchusher.core.Effects;
import birchusher.lease.Hazards;
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
    private static final long AGAIN_MS = 4_000;
    /** What is not told again for this long is not counted on any more. */
    private static final long STALE_MS = 11_000;
    /** For so long it is remembered, for an owner to come. */
    private static final long FORGET_MS = 60_000;

    private record Told(PeerRecord.Machine machine, long at) {}

    private record Theirs(MachineStatus picture, int owner, long at) {}

    private final Effects effects;
    private final Catalog catalog;
    private final Membership membership;
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Theirs> theirs = new HashMap<>();
    private final List<String> left = new ArrayList<>();
    private Map<String, MachineStatus> pictures = Map.of();
    private boolean everything;

    public MachineStatusExchange(Effects effects, Catalog catalog, Membership membership) {
        this.effects = effects;
        this.catalog = catalog;
        this.membership = membership;
    }

    /** The present picture of the fleet; ours first, as we know our own machines best. */
    public Map<String, MachineStatus> pictures() {
        return pictures;
    }

    public void draw(List<MachineStatus> own) {
        Map<String, MachineStatus> all = new LinkedHashMap<>();
        for (MachineStatus p : own) {
            all.put(p.machine(), p);
        }
        for (var it = theirs.values().iterator(); it.hasNext(); ) {
            Theirs t = it.next();
            if (effects.now() - t.at > FORGET_MS) {
                it.remove();
            } else if (membership.isConnected(t.owner) && effects.now() - t.at <= STALE_MS) {
                all.putIfAbsent(t.picture.machine(), t.picture);
            }
        }
        pictures = all;
    }

    /** What another owner has last told of a machine, or null. */
    public MachineStatus told(String machine) {
        Theirs t = theirs.get(machine);
        return t == null ? null : t.picture;
    }

    /** Whether another controller lately told of a worker in a zone that it hears and that hears it. */
    public boolean hears(int owner, int zone) {
        for (Theirs t : theirs.values()) {
            if (t.owner == owner
                    && t.picture.zone() == zone
                    && t.picture.usable()
                    && t.picture.silentMs() == 0
                    && effects.now() - t.at <= STALE_MS) {
                return true;
            }
        }
        return false;
    }

    /** The kind of a machine that is in the picture, else -1. */
    public int kind(String machine) {
        MachineStatus p = pictures.get(machine);
        return p == null ? -1 : Hazards.kind(p.type(), p.spot());
    }

    /** Somebody new listens: the next news is everything. */
    public void tellEverything() {
        everything = true;
    }

    /** What the others don't know yet of our machines; {@link #left} belongs to it. */
    public List<PeerRecord.Machine> news(List<MachineStatus> own) {
        long now = effects.now();
        List<PeerRecord.Machine> news = new ArrayList<>();
        Map<String, MachineStatus> present = new HashMap<>();
        for (MachineStatus p : own) {
            present.put(p.machine(), p);
            PeerRecord.Machine m = machine(p);
            Told before = told.get(p.machine());
            if (everything || before == null || now - before.at >= AGAIN_MS || !before.machine.sameStatus(m)) {
                news.add(m);
                told.put(p.machine(), new Told(m, now));
            }
        }
        left.clear();
        told.keySet().removeIf(name -> !present.containsKey(name) && left.add(name));
        everything = false;
        return news;
    }

    /** Machines that the last news does not speak of any more: returned, or somebody else's now. */
    public List<String> left() {
        return List.copyOf(left);
    }

    private PeerRecord.Machine machine(MachineStatus p) {
        List<String> images = new ArrayList<>(p.images().length);
        for (int i : p.images()) {
            images.add(catalog.images.name(i));
        }
        List<String> fetching = new ArrayList<>(p.fetching().length / 2);
        List<Integer> fetchMs = new ArrayList<>(p.fetching().length / 2);
        for (int i = 0; i < p.fetching().length; i += 2) {
            fetching.add(catalog.images.name(p.fetching()[i]));
            fetchMs.add(p.fetching()[i + 1]);
        }
        int flags = (p.usable() ? PeerRecord.Machine.USABLE : 0)
                | (p.arriving() ? PeerRecord.Machine.ARRIVING : 0)
                | (p.condemned() ? PeerRecord.Machine.FAULTY : 0)
                | (p.leaving() ? PeerRecord.Machine.LEAVING : 0);
        int idle = p.idleSince() < 0 ? -1 : (int) (effects.now() - p.idleSince());
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
                p.strayUse()[0],
                p.strayUse()[1],
                p.strayUse()[2],
                fetching,
                fetchMs,
                images,
                p.reserved());
    }

    public void heard(int from, PeerRecord.Heartbeat h) {
        long now = effects.now();
        for (String name : h.withdrawnMachines()) {
            Theirs t = theirs.get(name);
            if (t != null && t.owner == from) {
                theirs.remove(name);
            }
        }
        h.deletedMachines().forEach(theirs::remove);
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
            theirs.put(
                    m.name(),
                    new Theirs(
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
                                            .filter(MachineStatusExchange::isTask)
                                            .toList()),
                            from,
                            now));
        }
    }

    /** A job's id, a slash and a number: what comes from outside is checked once, here. */
    private static boolean isTask(String key) {
        int slash = key.lastIndexOf('/');
        return slash > 0
                && key.length() - slash - 1 <= 6
                && key.length() > slash + 1
                && key.chars().skip(slash + 1).allMatch(c -> c >= '0' && c <= '9');
    }
}
