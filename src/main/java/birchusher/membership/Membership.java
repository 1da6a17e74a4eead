package birchusher.membership;

import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.store.Change;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.BiPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Membership and who owns which workers. The seat's lease is the safety bound: nobody answers workers without it.
 * Heartbeats are only a hint about who is alive, and never decide anything by themselves.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private static final long HANDOVER_TIMEOUT_MS = 1_000;
    /** While we miss a controller in the mesh, a beat in our seat's row shows the others that we live. */
    private static final long ROW_HEARTBEAT_INTERVAL_MS = 2_500;

    private static final long ROW_HEARTBEAT_TIMEOUT_MS = 6_500;
    /** A controller that falls silent in the mesh has this long for its first beat. */
    private static final long FIRST_ROW_HEARTBEAT_GRACE_MS = 1_200;
    /** Two heartbeats. */
    private static final long RECENT_HEARTBEAT_MS = 1_000;
    /** A shard that was taken for its workers' sake stays for a seat's lease, each time twice as long up to this often. */
    private static final int MAX_HANDOVER_DELAY_DOUBLINGS = 3;

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final long leaseMs;
    private final long suspicionTimeoutMs;
    private final long settleMs;
    private final int shardsPerZone;
    /** When the state was first read; -1: not yet. */
    private long storeReadAtMs = -1;

    private final List<Settings.Peer> members = new ArrayList<>();
    private final long[] heartbeatAtMs;
    private final long[] aliveSinceMs;
    private final boolean[] storeHealthy;
    private final long[] storeUnhealthySinceMs;
    private long leaseId;
    private long incarnation;
    private long leaseValidUntilMs = -1;
    private long nextLeaseCallMs;
    private boolean leaseCallPending;
    private boolean registrationPending;
    private boolean registered;
    private final String[] shardKeys;
    private final ShardRow[] shardRows;
    private long shardRowsVersion = -1;
    private final boolean[] handingOver;
    private final long[] ownedSinceMs;
    private final long[] ownedSinceTerm;
    private final long[] fencedAtMs;
    private final long[] lastTakeoverMs;
    /** When workers that could not reach its owner last made us take a shard, and how often. */
    private final long[] ownerUnreachableAtMs;

    private BiPredicate<Integer, Integer> reachesWorkers = (member, zone) -> true;

    private final int[] ownerUnreachableCount;
    private final long[] workerWithoutOwnerAtMs;
    private final long[] seenIncarnation;
    private final long[] rowHeartbeatVersion;
    private final long[] rowHeartbeatAtMs;
    private long nextRowHeartbeatMs;
    private boolean rowHeartbeatPending;
    private final long[][] termsSeenByMember;
    /** Per shard the highest term that another controller has told to own it by: higher than ours, we are replaced. */
    private final long[] highestPeerTerm;

    private final Staleness staleness;
    private boolean takeoverPending;
    public long takeovers;

    public Membership(Effects effects, Settings s, Catalog catalog, StoreView view, StoreClient store, Tuning t) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        leaseMs = t.ms("seats.lease-s");
        suspicionTimeoutMs = t.ms("seats.suspect-s");
        settleMs = t.ms("seats.settle-s");
        shardsPerZone = chooseShardsPerZone(s, (int) t.num("seats.shards-per-zone"));
        members.add(new Settings.Peer(s.member(), s.zone(), s.mesh()));
        members.addAll(s.peers());
        heartbeatAtMs = new long[members.size()];
        aliveSinceMs = new long[members.size()];
        storeHealthy = new boolean[members.size()];
        storeUnhealthySinceMs = new long[members.size()];
        java.util.Arrays.fill(heartbeatAtMs, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(storeUnhealthySinceMs, -1);
        int n = s.zones().size() * shardsPerZone;
        shardKeys = new String[n];
        for (int shard = 0; shard < n; shard++) {
            shardKeys[shard] = Keys.SHARD + catalog.zones.name(zoneOf(shard)) + "/" + shard % shardsPerZone;
        }
        shardRows = new ShardRow[n];
        handingOver = new boolean[n];
        ownedSinceMs = new long[n];
        ownedSinceTerm = new long[n];
        fencedAtMs = new long[n];
        lastTakeoverMs = new long[n];
        ownerUnreachableAtMs = new long[n];
        ownerUnreachableCount = new int[n];
        java.util.Arrays.fill(ownerUnreachableAtMs, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(lastTakeoverMs, Long.MIN_VALUE / 2);
        workerWithoutOwnerAtMs = new long[n];
        java.util.Arrays.fill(workerWithoutOwnerAtMs, Long.MIN_VALUE / 2);
        seenIncarnation = new long[members.size()];
        rowHeartbeatVersion = new long[members.size()];
        rowHeartbeatAtMs = new long[members.size()];
        java.util.Arrays.fill(rowHeartbeatVersion, -1);
        java.util.Arrays.fill(rowHeartbeatAtMs, Long.MIN_VALUE / 2);
        termsSeenByMember = new long[members.size()][n];
        highestPeerTerm = new long[n];
        staleness = new Staleness(effects, s, view, store);
        incarnation = effects.wallTime();
    }

    /**
     * No two lives of a member may share an incarnation, and none may be lower than one before: a controller that is back within a
     * blink, its clock set back or read in the same millisecond, would take the old one's seat and shards for its own.
     */
    private void raiseIncarnation() {
        long last = recordedIncarnation(Keys.MEMBER_LEASE + settings.member(), null);
        last = Math.max(last, recordedIncarnation(Keys.AUTOSCALER, "m"));
        for (String key : shardKeys) {
            last = Math.max(last, recordedIncarnation(key, "m"));
        }
        incarnation = Math.max(incarnation, last + 1);
    }

    private long recordedIncarnation(String key, String owner) {
        Map<String, Object> row = view.row(key);
        return row == null || owner != null && !settings.member().equals(row.get(owner))
                ? 0
                : Fields.countOr(row, "i", 0);
    }

    /** As many as the fullest zone has controllers, so that all of them can own workers; the same for all controllers. */
    private static int chooseShardsPerZone(Settings s, int asked) {
        if (asked > 0) {
            return asked;
        }
        int most = 2;
        for (String zone : s.zones()) {
            int n = zone.equals(s.zone()) ? 1 : 0;
            for (Settings.Peer p : s.peers()) {
                n += zone.equals(p.zone()) ? 1 : 0;
            }
            most = Math.max(most, n);
        }
        return most;
    }

    public int shardCount() {
        return handingOver.length;
    }

    public int shardOf(String machine, int zone) {
        return zone * shardsPerZone + Math.floorMod(machine.hashCode() * 0x9E3779B1 >>> 7, shardsPerZone);
    }

    public int zoneOf(int shard) {
        return shard / shardsPerZone;
    }

    public String shardKey(int shard) {
        return shardKeys[shard];
    }

    /** A shard's row as the view has it. Every report and every picture of a machine asks for it several times. */
    private ShardRow shardRow(int shard) {
        if (shardRowsVersion != view.otherRowChangeCount()) {
            shardRowsVersion = view.otherRowChangeCount();
            for (int s = 0; s < shardRows.length; s++) {
                shardRows[s] = ShardRow.parse(view.row(shardKeys[s]));
            }
        }
        return shardRows[shard];
    }

    /** Owner, its incarnation and the term; no owner: null. */
    private record ShardRow(String member, long incarnation, long term) {
        static ShardRow parse(Map<String, Object> row) {
            return row == null
                    ? new ShardRow(null, 0, 0)
                    : new ShardRow(
                            String.valueOf(row.get("m")), Fields.countOr(row, "i", 0), Fields.countOr(row, "t", 0));
        }
    }

    public long incarnation() {
        return incarnation;
    }

    public int memberCount() {
        return members.size();
    }

    public String memberName(int i) {
        return members.get(i).member();
    }

    /** Whether our seat certainly still stands in the state service, by our own clock, and we know enough to act. */
    public boolean canAct() {
        return registered && effects.now() < leaseValidUntilMs && staleness.isUpToDate();
    }

    public Staleness staleness() {
        return staleness;
    }

    public boolean owns(int shard) {
        return canAct()
                && !handingOver[shard]
                && rowNames(shard, settings.member(), incarnation)
                && highestPeerTerm[shard] <= term(shard);
    }

    /**
     * Whether our view holds everything up to when we took a shard. Before that, a task whose end and whose next place the owner
     * before us has seen may still look as if it was to be started here.
     */
    public boolean viewCoversTakeover(int shard) {
        return view.appliedRevision() >= view.version(shardKey(shard));
    }

    /** Per shard the term under which we own it, 0 where we don't. */
    public List<Long> ownedTerms() {
        List<Long> l = new ArrayList<>();
        for (int s = 0; s < handingOver.length; s++) {
            l.add(isRecordedOwner(s) ? term(s) : 0);
        }
        return l;
    }

    /** The shards that we own and under which terms, for log lines: {@code 0@5,3@7}. */
    public String describeOwnedShards() {
        StringJoiner owned = new StringJoiner(",");
        for (int shard = 0; shard < handingOver.length; shard++) {
            if (isRecordedOwner(shard)) {
                owned.add(shard + "@" + term(shard));
            }
        }
        return owned.toString();
    }

    /** Whether the row names this incarnation of ours, even while we may not act on it. */
    public boolean isRecordedOwner(int shard) {
        return rowNames(shard, settings.member(), incarnation);
    }

    private boolean rowNames(int shard, String member, long inc) {
        ShardRow row = shardRow(shard);
        return member.equals(row.member) && row.incarnation == inc;
    }

    public long term(int shard) {
        return shardRow(shard).term;
    }

    /** The member a shard's row names, or null. */
    public String ownerName(int shard) {
        return shardRow(shard).member;
    }

    /** The index of a shard's owner if that one still sits in its seat and is heard of, else -1. */
    public int connectedOwner(int shard) {
        String m = ownerName(shard);
        int i = m == null ? -1 : memberIndex(m);
        return i >= 0 && isOwnerMember(shard) && isConnected(i) ? i : -1;
    }

    /** The same, but it is enough that the owner is seen to live: workers may reach it though we can't. */
    public int aliveOwner(int shard) {
        String m = ownerName(shard);
        int i = m == null ? -1 : memberIndex(m);
        return i >= 0 && isOwnerMember(shard) && isAlive(i) ? i : -1;
    }

    /** When we began to own this shard under its present owner row, by the steady clock. */
    public long ownedSinceMs(int shard) {
        return ownedSinceMs[shard];
    }

    /**
     * When it became certain that no earlier owner can answer this shard's workers any more, or -1. A silent worker's
     * lease is counted from there at the earliest.
     */
    public long fencedAtMs(int shard) {
        return fencedAtMs[shard];
    }

    public int memberIndex(String member) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).member().equals(member)) {
                return i;
            }
        }
        return -1;
    }

    public boolean isConnected(int i) {
        return i == 0 || effects.now() - heartbeatAtMs[i] < suspicionTimeoutMs;
    }

    /** Served by the state service and heard in the mesh. */
    private boolean isConnectedAndServed(int i) {
        return i == 0 ? store.healthy() : isConnected(i) && storeHealthy[i];
    }

    /**
     * Heard in the mesh, or seen to write to the state service lately. A silent mesh alone once made seven controllers take
     * the same shards from each other twice a second, each time with the autoscaler's row.
     */
    public boolean isAlive(int i) {
        long now = effects.now();
        return i == 0
                || now - heartbeatAtMs[i] < suspicionTimeoutMs + FIRST_ROW_HEARTBEAT_GRACE_MS
                || now - rowHeartbeatAtMs[i] < ROW_HEARTBEAT_TIMEOUT_MS;
    }

    /** Heard just now, and in the same life for at least so long. */
    public boolean isConnectedFor(int i, long ms) {
        return effects.now() - heartbeatAtMs[i] < RECENT_HEARTBEAT_MS && effects.now() - aliveSinceMs[i] > ms;
    }

    private boolean isAliveAndServed(int i) {
        return i == 0
                ? store.healthy()
                : isConnected(i)
                        ? storeHealthy[i]
                        : isAlive(i)
                                && (storeHealthy[i] || effects.now() - rowHeartbeatAtMs[i] < ROW_HEARTBEAT_TIMEOUT_MS);
    }

    /** Notes whose seat rows have changed. The first look tells nothing: the row may be a dead one's. */
    private void observeRowHeartbeats(long now) {
        for (int i = 1; i < members.size(); i++) {
            long version = view.version(Keys.MEMBER_LEASE + memberName(i));
            if (rowHeartbeatVersion[i] >= 0 && version > rowHeartbeatVersion[i]) {
                rowHeartbeatAtMs[i] = now;
            }
            rowHeartbeatVersion[i] = version;
        }
    }

    private void writeRowHeartbeat(long now) {
        boolean missing = false;
        for (int i = 1; i < members.size(); i++) {
            missing |= !isConnected(i) && view.row(Keys.MEMBER_LEASE + memberName(i)) != null;
        }
        if (!missing || rowHeartbeatPending || now < nextRowHeartbeatMs) {
            return;
        }
        rowHeartbeatPending = true;
        nextRowHeartbeatMs = now + ROW_HEARTBEAT_INTERVAL_MS;
        long id = leaseId;
        long inc = incarnation;
        store.enqueue(new Change() {
            @Override
            public int rank() {
                return 1;
            }

            @Override
            public int maxWrites() {
                return 1;
            }

            @Override
            public long expiresAtMs() {
                return now + ROW_HEARTBEAT_INTERVAL_MS;
            }

            @Override
            public boolean build(Transaction tx) {
                if (leaseId != id
                        || incarnation != inc
                        || !registered
                        || tx.writes(Keys.MEMBER_LEASE + settings.member())) {
                    return false;
                }
                tx.putWithLease(Keys.MEMBER_LEASE + settings.member(), Map.of("i", inc, "b", now), id);
                return true;
            }

            @Override
            public void committed(long revision) {
                rowHeartbeatPending = false;
            }

            @Override
            public void dropped() {
                rowHeartbeatPending = false;
            }
        });
    }

    /**
     * A heartbeat. The terms it has seen also settle who may still answer workers: a member that knows of our term does
     * not answer under an older one any more. True if it was not heard of before, or not in this life.
     */
    public boolean handleHeartbeat(int i, boolean itsStoreOk, long itsIncarnation, List<Long> terms, List<Long> owned) {
        boolean news = !isConnected(i) || seenIncarnation[i] != itsIncarnation;
        seenIncarnation[i] = itsIncarnation;
        if (terms.size() == handingOver.length) {
            for (int s = 0; s < handingOver.length; s++) {
                termsSeenByMember[i][s] = terms.get(s);
            }
        }
        for (int s = 0; s < Math.min(owned.size(), highestPeerTerm.length); s++) {
            highestPeerTerm[s] = Math.max(highestPeerTerm[s], owned.get(s));
        }
        if (news) {
            // Also one that was back before anybody missed it: shards are handed to what has settled.
            aliveSinceMs[i] = effects.now();
            LOG.info("{} is heard of", memberName(i));
        }
        heartbeatAtMs[i] = effects.now();
        storeHealthy[i] = itsStoreOk;
        if (itsStoreOk) {
            storeUnhealthySinceMs[i] = -1;
        } else if (storeUnhealthySinceMs[i] < 0) {
            storeUnhealthySinceMs[i] = effects.now();
        }
        return news;
    }

    /**
     * Whether a record comes from an earlier life of a member than the one that is heard: it may have been long on its way. One that
     * has fallen silent may be back with a clock that was set back.
     */
    public boolean isEarlierIncarnation(int i, long itsIncarnation) {
        return itsIncarnation > 0 && itsIncarnation < seenIncarnation[i] && isConnected(i);
    }

    /** Per shard the highest term we know of, 0 where we may still answer under one of our own. */
    public List<Long> highestTerms() {
        List<Long> l = new ArrayList<>();
        for (int s = 0; s < handingOver.length; s++) {
            l.add(isRecordedOwner(s) ? 0 : term(s));
        }
        return l;
    }

    /** A worker of a shard whose owner we don't hear of has come to us. */
    public void workerWithoutOwner(int shard) {
        workerWithoutOwnerAtMs[shard] = effects.now();
    }

    /** Whether another live controller is served by the state service, so that an outage seen here is ours alone. */
    public boolean anyPeerServed() {
        for (int i = 1; i < members.size(); i++) {
            if (isConnected(i) && storeHealthy[i]) {
                return true;
            }
        }
        return false;
    }

    /** Whether we hear no other controller at all, though there are some. */
    public boolean isIsolated() {
        for (int i = 1; i < members.size(); i++) {
            if (isConnected(i)) {
                return false;
            }
        }
        return members.size() > 1;
    }

    public boolean schedules(String job) {
        return schedulerOf(job) == 0;
    }

    /** The member that drives this job, by rendezvous; disagreement is harmless. */
    public int schedulerOf(String job) {
        int best = 0;
        int top = Integer.MIN_VALUE;
        for (int i = 0; i < members.size(); i++) {
            if (i == 0 || isConnectedAndServed(i)) {
                int h = mix(memberName(i).hashCode() * 31 + job.hashCode());
                if (h > top) {
                    top = h;
                    best = i;
                }
            }
        }
        return best;
    }

    private static int mix(int h) {
        h ^= h >>> 16;
        h *= 0x85EBCA6B;
        h ^= h >>> 13;
        h *= 0xC2B2AE35;
        return h ^ h >>> 16;
    }

    // ---- the seat

    public void tick() {
        long now = effects.now();
        if (!store.loaded()) {
            return;
        }
        storeReadAtMs = storeReadAtMs < 0 ? now : storeReadAtMs;
        if (leaseId == 0) {
            if (!leaseCallPending && now >= nextLeaseCallMs) {
                requestLease();
            }
            return;
        }
        if (!leaseCallPending && now >= nextLeaseCallMs) {
            renewLease();
        }
        if (!registered) {
            if (!registrationPending) {
                register();
            }
            return;
        }
        Map<String, Object> seat = view.row(Keys.MEMBER_LEASE + settings.member());
        if (seat == null || Fields.countOr(seat, "i", 0) != incarnation || now >= leaseValidUntilMs) {
            LOG.error("seat lost, taking a new one");
            loseMembership();
            return;
        }
        updateOwnership(now);
        observeRowHeartbeats(now);
        if (store.healthy()) {
            writeRowHeartbeat(now);
            takeOverPreferredShards(now);
            handOverOtherShards(now);
        }
    }

    private void requestLease() {
        leaseCallPending = true;
        raiseIncarnation();
        long sent = effects.now();
        nextLeaseCallMs = sent + 1_000;
        store.callLease("POST", Wire.LEASES, Map.of(Wire.TTL, leaseMs), (status, m) -> {
            leaseCallPending = false;
            if (status == 200) {
                leaseId = Fields.count(m, Wire.LEASE);
                leaseRenewed(sent);
            }
        });
    }

    private void leaseRenewed(long sent) {
        leaseValidUntilMs = sent + (long) (leaseMs * (1 - 2 * Settings.DRIFT)) - 250;
        nextLeaseCallMs = sent + Math.max(1_000, leaseMs / 9);
    }

    private void renewLease() {
        leaseCallPending = true;
        long sent = effects.now();
        nextLeaseCallMs = sent + 1_000;
        long id = leaseId;
        store.callLease("POST", Wire.LEASES + "/" + id + Wire.EXTEND, Map.of(), (status, m) -> {
            leaseCallPending = false;
            if (id != leaseId) {
                return;
            }
            if (status == 200) {
                leaseRenewed(sent);
            } else if (status == 404) {
                LOG.error("seat lease ended");
                loseMembership();
            }
        });
    }

    private void loseMembership() {
        leaseId = 0;
        registered = false;
        leaseValidUntilMs = -1;
        // A new seat is a new incarnation: whoever counted on the old one having ended must stay right.
        incarnation = Math.max(incarnation + 1, effects.wallTime());
    }

    private void register() {
        registrationPending = true;
        long id = leaseId;
        long inc = incarnation;
        store.enqueue(new Change() {
            @Override
            public int rank() {
                return 0;
            }

            @Override
            public int maxWrites() {
                return 1;
            }

            @Override
            public boolean build(Transaction tx) {
                if (leaseId != id || incarnation != inc) {
                    return false;
                }
                tx.putWithLease(Keys.MEMBER_LEASE + settings.member(), Map.of("i", inc), id);
                return true;
            }

            @Override
            public void committed(long revision) {
                registrationPending = false;
                if (leaseId == id && incarnation == inc) {
                    registered = true;
                    LOG.info("seat taken, incarnation {}", inc);
                }
            }

            @Override
            public void dropped() {
                registrationPending = false;
                if (leaseId == id) {
                    loseMembership();
                }
            }
        });
    }

    // ---- shards

    /** Notes since when we own a shard and when its earlier owners became harmless. */
    private void updateOwnership(long now) {
        for (int s = 0; s < handingOver.length; s++) {
            Map<String, Object> row = view.row(shardKey(s));
            boolean mine = row != null && rowNames(s, settings.member(), incarnation);
            if (!mine) {
                ownedSinceTerm[s] = 0;
                fencedAtMs[s] = -1;
                handingOver[s] = false;
                continue;
            }
            long since = Fields.countOr(row, "o", 0);
            if (ownedSinceTerm[s] != since) {
                ownedSinceTerm[s] = since;
                ownedSinceMs[s] = now;
                fencedAtMs[s] = -1;
            }
            if (fencedAtMs[s] < 0 && arePriorOwnersFenced(priorOwnersStillMembers(row), s, since)) {
                fencedAtMs[s] = now;
            }
        }
    }

    /** Earlier owners whose seats still stand: they might still answer workers. */
    private List<Object> priorOwnersStillMembers(Map<String, Object> row) {
        List<Object> alive = new ArrayList<>();
        if (row != null && row.get("p") instanceof List<?> l) {
            for (Object o : l) {
                String[] p = String.valueOf(o).split("#");
                if (p.length == 2 && isMember(p[0], p[1])) {
                    alive.add(o);
                }
            }
        }
        return alive;
    }

    /** Whether none of these earlier owners can answer this shard's workers: each is us, or knows of our term. */
    private boolean arePriorOwnersFenced(List<Object> priors, int shard, long since) {
        for (Object o : priors) {
            String[] p = String.valueOf(o).split("#");
            int i = memberIndex(p[0]);
            boolean us = i == 0 && p[1].equals(String.valueOf(incarnation));
            boolean knows =
                    i > 0 && p[1].equals(String.valueOf(seenIncarnation[i])) && termsSeenByMember[i][shard] >= since;
            if (!us && !knows) {
                return false;
            }
        }
        return true;
    }

    private boolean isMember(String member, String inc) {
        Map<String, Object> seat = view.row(Keys.MEMBER_LEASE + member);
        return seat != null && String.valueOf(seat.get("i")).equals(inc);
    }

    private boolean isOwnerMember(int shard) {
        Map<String, Object> row = view.row(shardKey(shard));
        return row != null && isMember(String.valueOf(row.get("m")), String.valueOf(row.get("i")));
    }

    /** The member that should own a shard: one in its zone if any is able, else any. */
    private int preferredOwner(int shard, boolean hopeful) {
        String zone = catalog.zones.name(zoneOf(shard));
        List<Integer> near = new ArrayList<>();
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            // Young controllers count on the others to be starting as well.
            boolean maybe = isAliveAndServed(i) || hopeful;
            if (maybe) {
                all.add(i);
                if (members.get(i).zone().equals(zone)) {
                    near.add(i);
                }
            }
        }
        List<Integer> from = near.isEmpty() ? all : near;
        from.sort((a, b) -> memberName(a).compareTo(memberName(b)));
        return from.isEmpty() ? -1 : from.get(shard % from.size());
    }

    private void takeOverPreferredShards(long now) {
        if (takeoverPending) {
            return;
        }
        // Counted from the reading, not from the start: after a start inside an outage whoever read first once took all
        // shards, 0.1 s
        // before the others, and handed them over six seconds later, in the middle of squaring their workers' reports.
        boolean hopeful = now - storeReadAtMs < suspicionTimeoutMs + 500;
        List<Integer> take = new ArrayList<>();
        for (int s = 0; s < handingOver.length; s++) {
            if (owns(s) || handingOver[s] || preferredOwner(s, hopeful) != 0) {
                continue;
            }
            String owner = ownerName(s);
            int o = owner == null ? -1 : memberIndex(owner);
            boolean orphan = owner == null || !isOwnerMember(s) || o == 0;
            // Without a worker that has lost its owner, the silence may be the mesh's alone: taking would start a
            // fight.
            boolean silent = o > 0 && !isAlive(o) && !hopeful && now - workerWithoutOwnerAtMs[s] < 6_000;
            boolean unserved = o > 0 && storeUnhealthySinceMs[o] >= 0 && now - storeUnhealthySinceMs[o] > 4_000;
            if (orphan || silent || unserved) {
                take.add(s);
            }
        }
        if (!take.isEmpty()) {
            takeOver(take);
        }
    }

    /** Workers of a foreign shard keep coming to us: their owner can't be reached by them. */
    public void ownerUnreachable(int shard) {
        long now = effects.now();
        if (!takeoverPending && store.healthy() && canAct() && !owns(shard) && now - lastTakeoverMs[shard] > 15_000) {
            LOG.info("workers of shard {} can't reach their owner", shard);
            lastTakeoverMs[shard] = now;
            ownerUnreachableAtMs[shard] = now;
            ownerUnreachableCount[shard]++;
            takeOver(List.of(shard));
        }
    }

    /** A higher term for a shard of ours fences commands that may still be under way. */
    public void raiseTerm(int shard) {
        if (!takeoverPending && owns(shard) && effects.now() - lastTakeoverMs[shard] > 2_000) {
            takeOver(List.of(shard));
        }
    }

    private void takeOver(List<Integer> shards) {
        takeoverPending = true;
        long[] versions =
                shards.stream().mapToLong(s -> view.version(shardKey(s))).toArray();
        store.enqueue(new ShardChange(0) {
            private boolean unclear;

            @Override
            public void outcomeUnknown() {
                unclear = true;
            }

            @Override
            boolean write(Transaction tx) {
                if (!registered) {
                    return false;
                }
                tx.requireUnchanged(Keys.MEMBER_LEASE + settings.member());
                long term = lastTerm();
                int n = 0;
                for (int i = 0; i < versions.length && n + 2 <= settings.txnOps(); i++) {
                    int s = shards.get(i);
                    if (view.version(shardKey(s)) != versions[i]) {
                        // Somebody else moved it since we decided to.
                        continue;
                    }
                    Map<String, Object> old = view.row(shardKey(s));
                    List<Object> before = priorOwnersStillMembers(old);
                    boolean ours = rowNames(s, settings.member(), incarnation);
                    if (old != null && !ours) {
                        String p = old.get("m") + "#" + old.get("i");
                        if (isMember(String.valueOf(old.get("m")), String.valueOf(old.get("i")))
                                && !before.contains(p)) {
                            before.add(p);
                        }
                    }
                    term++;
                    tx.put(
                            shardKey(s),
                            encodeShardRow(
                                    settings.member(),
                                    incarnation,
                                    term,
                                    ours ? Fields.countOr(old, "o", term) : term,
                                    before));
                    lastTakeoverMs[s] = effects.now();
                    n++;
                }
                if (n == 0) {
                    return false;
                }
                tx.put(Keys.TERM, Map.of("t", term));
                return true;
            }

            @Override
            public int maxWrites() {
                return Math.min(settings.txnOps(), shards.size() + 1);
            }

            @Override
            void finished(boolean ok) {
                takeoverPending = false;
                // Without an answer, and then seen to be ours: it was carried out.
                if (ok
                        || unclear
                                && shards.stream()
                                        .anyMatch(s -> isRecordedOwner(s)
                                                && view.version(shardKey(s)) != versions[shards.indexOf(s)])) {
                    takeovers++;
                    LOG.info("shards {} are ours, term {}", shards, lastTerm());
                    updateOwnership(effects.now());
                }
            }
        });
    }

    private void handOverOtherShards(long now) {
        for (int i = 1; i < members.size(); i++) {
            if (isConnected(i) && !storeHealthy[i]) {
                // An outage that begins is noticed by one after the other, and preferences follow. Handing over then
                // left half
                // of the shards with nobody to answer their workers until the outage was over, and their leases were
                // not.
                return;
            }
        }
        for (int s = 0; s < handingOver.length; s++) {
            if (!owns(s) || takeoverPending) {
                continue;
            }
            int p = preferredOwner(s, false);
            Map<String, Object> seat = p <= 0 ? null : view.row(Keys.MEMBER_LEASE + memberName(p));
            // Whom its workers could not reach looks as well as ever from here, unless it was restarted. Given back
            // after six seconds, the shard went round for as
            // long as such a cut lasted, and its workers' leases ended.
            boolean unreached =
                    aliveSinceMs[p] <= ownerUnreachableAtMs[s] && now - ownerUnreachableAtMs[s] < handoverDelayMs(s, p);
            if (seat == null
                    || !isConnected(p)
                    || unreached
                    || now - aliveSinceMs[p] < settleMs
                    || now - ownedSinceMs[s] < settleMs) {
                continue;
            }
            handOver(s, memberName(p), Fields.countOr(seat, "i", 0));
        }
    }

    /**
     * For how long a shard is not given back to an owner that its workers could not reach. While the owner tells of no worker in the
     * shard's zone that hears it, all that can show whether they reach it again is to send them there, at the price of most of a short
     * worker's lease: after 45 s of a longer cut, replicas with leases of 10 s were dropped by it.
     */
    private long handoverDelayMs(int shard, int owner) {
        boolean heard = reachesWorkers.test(owner, zoneOf(shard));
        return leaseMs
                << (heard
                        ? Math.min(MAX_HANDOVER_DELAY_DOUBLINGS, Math.max(0, ownerUnreachableCount[shard] - 1))
                        : MAX_HANDOVER_DELAY_DOUBLINGS);
    }

    /** {@code hears}: whether a member, by its index, tells of a worker in a zone that hears it. */
    public void reachesWorkers(BiPredicate<Integer, Integer> hears) {
        reachesWorkers = hears;
    }

    /** We stop answering first and write after: the new owner then has nobody to wait for. */
    private void handOver(int shard, String to, long inc) {
        handingOver[shard] = true;
        LOG.info("handing shard {} to {}", shard, to);
        long until = effects.now() + HANDOVER_TIMEOUT_MS;
        store.enqueue(new ShardChange(1) {
            private boolean unclear;

            /** Not written in time, we go on answering; but not if it may yet be applied. */
            @Override
            public long expiresAtMs() {
                return unclear ? Long.MAX_VALUE : until;
            }

            @Override
            public void outcomeUnknown() {
                unclear = true;
            }

            @Override
            boolean write(Transaction tx) {
                Map<String, Object> old = view.row(shardKey(shard));
                if (!rowNames(shard, settings.member(), incarnation) || !isMember(to, String.valueOf(inc))) {
                    return false;
                }
                tx.requireUnchanged(Keys.MEMBER_LEASE + to);
                long term = lastTerm() + 1;
                tx.put(shardKey(shard), encodeShardRow(to, inc, term, term, priorOwnersStillMembers(old)));
                tx.put(Keys.TERM, Map.of("t", term));
                return true;
            }

            @Override
            public int maxWrites() {
                return 2;
            }

            @Override
            void finished(boolean ok) {
                handingOver[shard] = false;
            }
        });
    }

    private long lastTerm() {
        Map<String, Object> row = view.row(Keys.TERM);
        return row == null ? 0 : Fields.countOr(row, "t", 0);
    }

    private static Map<String, Object> encodeShardRow(
            String member, long inc, long term, long since, List<Object> priors) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("m", member);
        m.put("i", inc);
        m.put("t", term);
        m.put("o", since);
        m.put("p", priors);
        return m;
    }

    /** Changes of shards share the term counter, so only one of them goes into a transaction. */
    private abstract static class ShardChange implements Change {
        private final int rank;

        ShardChange(int rank) {
            this.rank = rank;
        }

        abstract boolean write(Transaction tx);

        abstract void finished(boolean ok);

        @Override
        public int rank() {
            return rank;
        }

        @Override
        public boolean build(Transaction tx) {
            return !tx.writes(Keys.TERM) && write(tx);
        }

        @Override
        public void committed(long revision) {
            finished(true);
        }

        @Override
        public void dropped() {
            finished(false);
        }
    }
}
