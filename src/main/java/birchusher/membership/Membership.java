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
 * This controller's membership in the cluster and the ownership of shards of machines.
 *
 * <p>A controller is a member while the state service keeps its row, which is attached to the member lease. The lease
 * is the safety bound: no controller answers workers without a valid one. Heartbeats between controllers are only
 * hints about which of them are alive; no safety decision rests on them alone.
 *
 * <p>Members are addressed by index; index 0 is this controller. All times are in ms of the steady clock of
 * {@link Effects} unless stated otherwise. Not thread-safe: it is driven by the thread that runs the controller core.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private static final long HANDOVER_TIMEOUT_MS = 1_000;
    /** While a peer's heartbeats are missing, a heartbeat in the own member row shows that this controller is alive. */
    private static final long ROW_HEARTBEAT_INTERVAL_MS = 2_500;

    private static final long ROW_HEARTBEAT_TIMEOUT_MS = 6_500;
    /** How long before its end, clock drift taken into account, the member lease counts as expired. */
    private static final long LEASE_MARGIN_MS = 250;

    private static final long LEASE_RETRY_DELAY_MS = 1_000;
    private static final long MIN_RENEWAL_INTERVAL_MS = 1_000;
    private static final int RENEWALS_PER_LEASE = 9;
    /** Once the rows are loaded, all members count as alive for the suspicion time-out and this time. */
    private static final long START_MARGIN_MS = 500;
    /** How long the report of a worker without an owner counts as evidence that its owner has failed. */
    private static final long WORKER_WITHOUT_OWNER_MS = 6_000;
    /** A member that the state service has not answered for longer loses its shards to their preferred owners. */
    private static final long MAX_STORE_UNHEALTHY_MS = 4_000;
    /** Least time between two takeovers of a shard whose workers cannot reach their owner. */
    private static final long UNREACHABLE_TAKEOVER_INTERVAL_MS = 15_000;

    private static final int REGISTRATION_RANK = 0;
    private static final int ROW_HEARTBEAT_RANK = 1;
    private static final int TAKEOVER_RANK = 0;
    private static final int HANDOVER_RANK = 1;
    private static final long RAISE_TERM_INTERVAL_MS = 2_000;
    /** How long a controller whose peer heartbeats cease has to write its first row heartbeat. */
    private static final long FIRST_ROW_HEARTBEAT_GRACE_MS = 1_200;
    /** Two heartbeat intervals. */
    private static final long RECENT_HEARTBEAT_MS = 1_000;
    /**
     * A shard that was taken over because its workers could not reach the owner is kept for one member lease; the time
     * doubles with each repetition, up to this many times.
     */
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
    /** When all live rows of the state service were first loaded; -1: not yet. */
    private long storeLoadedAtMs = -1;

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
    /** Per shard: when it was last taken over because workers could not reach its owner. */
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
    /** Per shard: the highest term under which a peer said it owns it; above the own term, the peer is the owner. */
    private final long[] highestPeerTerm;

    private final Staleness staleness;
    private boolean takeoverPending;

    /** Number of takeover transactions committed since this controller started, for the counters' log line. */
    public long takeovers;
    /** Number of requests to raise the term of an owned shard, for the same line. */
    public long termRaises;

    /** Creates a membership that is not registered yet; {@link #tick} obtains the lease and registers it. */
    public Membership(
            Effects effects, Settings settings, Catalog catalog, StoreView view, StoreClient store, Tuning tuning) {
        this.effects = effects;
        this.settings = settings;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        leaseMs = tuning.durationMs("seats.lease-s");
        suspicionTimeoutMs = tuning.durationMs("seats.suspect-s");
        settleMs = tuning.durationMs("seats.settle-s");
        shardsPerZone = chooseShardsPerZone(settings, (int) tuning.value("seats.shards-per-zone"));
        members.add(new Settings.Peer(settings.member(), settings.zone(), settings.meshAddress()));
        members.addAll(settings.peers());
        heartbeatAtMs = new long[members.size()];
        aliveSinceMs = new long[members.size()];
        storeHealthy = new boolean[members.size()];
        storeUnhealthySinceMs = new long[members.size()];
        java.util.Arrays.fill(heartbeatAtMs, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(storeUnhealthySinceMs, -1);
        int shardCount = settings.zones().size() * shardsPerZone;
        shardKeys = new String[shardCount];
        for (int shard = 0; shard < shardCount; shard++) {
            shardKeys[shard] = Keys.SHARD + catalog.zones.name(zoneOf(shard)) + "/" + shard % shardsPerZone;
        }
        shardRows = new ShardRow[shardCount];
        handingOver = new boolean[shardCount];
        ownedSinceMs = new long[shardCount];
        ownedSinceTerm = new long[shardCount];
        fencedAtMs = new long[shardCount];
        lastTakeoverMs = new long[shardCount];
        ownerUnreachableAtMs = new long[shardCount];
        ownerUnreachableCount = new int[shardCount];
        java.util.Arrays.fill(ownerUnreachableAtMs, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(lastTakeoverMs, Long.MIN_VALUE / 2);
        workerWithoutOwnerAtMs = new long[shardCount];
        java.util.Arrays.fill(workerWithoutOwnerAtMs, Long.MIN_VALUE / 2);
        seenIncarnation = new long[members.size()];
        rowHeartbeatVersion = new long[members.size()];
        rowHeartbeatAtMs = new long[members.size()];
        java.util.Arrays.fill(rowHeartbeatVersion, -1);
        java.util.Arrays.fill(rowHeartbeatAtMs, Long.MIN_VALUE / 2);
        termsSeenByMember = new long[members.size()][shardCount];
        highestPeerTerm = new long[shardCount];
        staleness = new Staleness(effects, settings, view, store);
        incarnation = effects.wallTime();
    }

    /**
     * Raises the incarnation above every recorded one of this member. Two runs must never share an incarnation, and a
     * later run must not have a lower one: a controller that restarts within the same millisecond, or with its clock
     * set back, would take the member row and the shards of its previous run for its own.
     */
    private void raiseIncarnation() {
        long highest = recordedIncarnation(Keys.MEMBER_LEASE + settings.member(), null);
        highest = Math.max(highest, recordedIncarnation(Keys.AUTOSCALER, "m"));
        for (String key : shardKeys) {
            highest = Math.max(highest, recordedIncarnation(key, "m"));
        }
        incarnation = Math.max(incarnation, highest + 1);
    }

    /**
     * Returns the incarnation in a row, or 0 if there is no such row or it names another member.
     *
     * @param memberField the row's field that names the member; null: the row is always this member's
     */
    private long recordedIncarnation(String key, String memberField) {
        Map<String, Object> row = view.row(key);
        return row == null || memberField != null && !settings.member().equals(row.get(memberField))
                ? 0
                : Fields.countOr(row, "i", 0);
    }

    /**
     * Returns the number of shards of each zone: the configured one, else as many as the zone with most controllers
     * has, at least 2, so that each of them can own workers. All controllers come to the same number.
     *
     * @param configured the configured number; 0: not configured
     */
    private static int chooseShardsPerZone(Settings settings, int configured) {
        if (configured > 0) {
            return configured;
        }
        int highest = 2;
        for (String zone : settings.zones()) {
            int controllers = zone.equals(settings.zone()) ? 1 : 0;
            for (Settings.Peer peer : settings.peers()) {
                controllers += zone.equals(peer.zone()) ? 1 : 0;
            }
            highest = Math.max(highest, controllers);
        }
        return highest;
    }

    /** Returns the number of shards of all zones. */
    public int shardCount() {
        return handingOver.length;
    }

    /**
     * Returns the shard that a machine belongs to.
     *
     * @param zone the index of the machine's zone
     */
    public int shardOf(String machine, int zone) {
        return zone * shardsPerZone + Math.floorMod(machine.hashCode() * 0x9E3779B1 >>> 7, shardsPerZone);
    }

    /** Returns the index of a shard's zone. */
    public int zoneOf(int shard) {
        return shard / shardsPerZone;
    }

    /** Returns the key of a shard's row in the state service. */
    public String shardKey(int shard) {
        return shardKeys[shard];
    }

    /**
     * Returns a shard's row as the view has it. The decoded rows are cached until a row changes, as each report and
     * each machine status needs them several times.
     */
    private ShardRow shardRow(int shard) {
        if (shardRowsVersion != view.otherRowChangeCount()) {
            shardRowsVersion = view.otherRowChangeCount();
            for (int i = 0; i < shardRows.length; i++) {
                shardRows[i] = ShardRow.parse(view.row(shardKeys[i]));
            }
        }
        return shardRows[shard];
    }

    /** A shard's owner, null if there is none, with the owner's incarnation and term. */
    private record ShardRow(String member, long incarnation, long term) {
        static ShardRow parse(Map<String, Object> row) {
            return row == null
                    ? new ShardRow(null, 0, 0)
                    : new ShardRow(
                            String.valueOf(row.get("m")), Fields.countOr(row, "i", 0), Fields.countOr(row, "t", 0));
        }
    }

    /** Returns this controller's incarnation, which changes with each registration. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the number of members in the settings, including this controller. */
    public int memberCount() {
        return members.size();
    }

    /** Returns the name of the member with an index. */
    public String memberName(int index) {
        return members.get(index).member();
    }

    /**
     * Whether this controller may act as a member: by its own clock the state service certainly still holds its member
     * lease, and its view is up to date.
     */
    public boolean canAct() {
        return registered && effects.now() < leaseValidUntilMs && staleness.isUpToDate();
    }

    /** Returns the tracking of how stale the view is. */
    public Staleness staleness() {
        return staleness;
    }

    /** Whether this controller owns a shard and may answer its workers. */
    public boolean owns(int shard) {
        return canAct()
                && !handingOver[shard]
                && rowNames(shard, settings.member(), incarnation)
                && highestPeerTerm[shard] <= term(shard);
    }

    /**
     * Whether the view holds everything up to the takeover of a shard. Before that, a task whose end and next claim
     * the previous owner has seen may still look as if it was to be started on this shard's machines.
     */
    public boolean viewCoversTakeover(int shard) {
        return view.appliedRevision() >= view.version(shardKey(shard));
    }

    /** Returns per shard the term under which this controller is its recorded owner, 0 for the other shards. */
    public List<Long> ownedTerms() {
        List<Long> terms = new ArrayList<>();
        for (int shard = 0; shard < handingOver.length; shard++) {
            terms.add(isRecordedOwner(shard) ? term(shard) : 0);
        }
        return terms;
    }

    /** Lists the shards whose recorded owner is this controller, with their terms, for log lines: {@code 0@5,3@7}. */
    public String describeOwnedShards() {
        StringJoiner owned = new StringJoiner(",");
        for (int shard = 0; shard < handingOver.length; shard++) {
            if (isRecordedOwner(shard)) {
                owned.add(shard + "@" + term(shard));
            }
        }
        return owned.toString();
    }

    /** Whether a shard's row names this incarnation of this controller as owner, even while it may not act on that. */
    public boolean isRecordedOwner(int shard) {
        return rowNames(shard, settings.member(), incarnation);
    }

    private boolean rowNames(int shard, String member, long incarnation) {
        ShardRow row = shardRow(shard);
        return member.equals(row.member) && row.incarnation == incarnation;
    }

    /** Returns the term of a shard's current owner, 0 if it never had one. */
    public long term(int shard) {
        return shardRow(shard).term;
    }

    /** Returns the member that a shard's row names as owner, or null. */
    public String ownerName(int shard) {
        return shardRow(shard).member;
    }

    /** Returns the index of a shard's owner if it is still a member and its heartbeats arrive, else -1. */
    public int connectedOwner(int shard) {
        String owner = ownerName(shard);
        int index = owner == null ? -1 : memberIndex(owner);
        return index >= 0 && isOwnerMember(shard) && isConnected(index) ? index : -1;
    }

    /**
     * Returns the index of a shard's owner if it is still a member and {@link #isAlive}, else -1. Workers may reach an
     * owner whose heartbeats do not arrive at this controller.
     */
    public int aliveOwner(int shard) {
        String owner = ownerName(shard);
        int index = owner == null ? -1 : memberIndex(owner);
        return index >= 0 && isOwnerMember(shard) && isAlive(index) ? index : -1;
    }

    /** Returns when this controller's current ownership of a shard was first seen in the view. */
    public long ownedSinceMs(int shard) {
        return ownedSinceMs[shard];
    }

    /**
     * Returns when it became certain that no earlier owner can answer this shard's workers any more, or -1. The lease
     * of a silent worker is counted from then at the earliest.
     */
    public long fencedAtMs(int shard) {
        return fencedAtMs[shard];
    }

    /** Returns a member's index, or -1 if the settings do not name it. */
    public int memberIndex(String member) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).member().equals(member)) {
                return i;
            }
        }
        return -1;
    }

    /** Whether a heartbeat of a member arrived within the suspicion time-out; always true of this controller. */
    public boolean isConnected(int member) {
        return member == 0 || effects.now() - heartbeatAtMs[member] < suspicionTimeoutMs;
    }

    /** Whether a member's heartbeats arrive and the state service answers it. */
    private boolean isConnectedAndStoreHealthy(int member) {
        return member == 0 ? store.healthy() : isConnected(member) && storeHealthy[member];
    }

    /**
     * Whether a member's heartbeats arrive or it recently wrote a heartbeat to its row in the state service. Lost peer
     * connections alone must not count as a failure: with seven controllers that could not reach each other, all of
     * them took the same shards, and the autoscaler's row with them, from each other twice a second.
     */
    public boolean isAlive(int member) {
        long now = effects.now();
        return member == 0
                || now - heartbeatAtMs[member] < suspicionTimeoutMs + FIRST_ROW_HEARTBEAT_GRACE_MS
                || now - rowHeartbeatAtMs[member] < ROW_HEARTBEAT_TIMEOUT_MS;
    }

    /**
     * Whether the last heartbeat is recent and the same incarnation has been connected for longer than {@code ms}.
     */
    public boolean isConnectedFor(int member, long ms) {
        return effects.now() - heartbeatAtMs[member] < RECENT_HEARTBEAT_MS && effects.now() - aliveSinceMs[member] > ms;
    }

    private boolean isAliveAndStoreHealthy(int member) {
        return member == 0
                ? store.healthy()
                : isConnected(member)
                        ? storeHealthy[member]
                        : isAlive(member)
                                && (storeHealthy[member]
                                        || effects.now() - rowHeartbeatAtMs[member] < ROW_HEARTBEAT_TIMEOUT_MS);
    }

    /**
     * Notes which members' rows have changed. The first version seen of a row proves nothing, as its writer may be
     * dead.
     */
    private void observeRowHeartbeats(long now) {
        for (int i = 1; i < members.size(); i++) {
            long version = view.version(Keys.MEMBER_LEASE + memberName(i));
            if (rowHeartbeatVersion[i] >= 0 && version > rowHeartbeatVersion[i]) {
                rowHeartbeatAtMs[i] = now;
            }
            rowHeartbeatVersion[i] = version;
        }
    }

    /** Writes a heartbeat to the own row if a member's heartbeats are missing and the last row heartbeat is due. */
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
        long writtenIncarnation = incarnation;
        store.enqueue(new Change() {
            @Override
            public int rank() {
                return ROW_HEARTBEAT_RANK;
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
                        || incarnation != writtenIncarnation
                        || !registered
                        || tx.writes(Keys.MEMBER_LEASE + settings.member())) {
                    return false;
                }
                tx.putWithLease(Keys.MEMBER_LEASE + settings.member(), Map.of("i", writtenIncarnation, "b", now), id);
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
     * Handles a peer's heartbeat. The terms that the peer has seen also show who may still answer workers: a member
     * that has seen a shard's newer term no longer answers under an older one.
     *
     * @param member the peer's index
     * @param peerStoreHealthy whether the state service answers the peer
     * @param peerIncarnation the peer's incarnation
     * @param terms per shard the highest term that the peer has seen, 0 where it owns the shard itself
     * @param owned per shard the term under which the peer owns it, else 0
     * @return whether the peer was not connected before, or with another incarnation
     */
    public boolean handleHeartbeat(
            int member, boolean peerStoreHealthy, long peerIncarnation, List<Long> terms, List<Long> owned) {
        boolean reconnected = !isConnected(member) || seenIncarnation[member] != peerIncarnation;
        seenIncarnation[member] = peerIncarnation;
        if (terms.size() == handingOver.length) {
            for (int shard = 0; shard < handingOver.length; shard++) {
                termsSeenByMember[member][shard] = terms.get(shard);
            }
        }
        for (int shard = 0; shard < Math.min(owned.size(), highestPeerTerm.length); shard++) {
            highestPeerTerm[shard] = Math.max(highestPeerTerm[shard], owned.get(shard));
        }
        if (reconnected) {
            // Includes a member that restarted before it was missed: shards are handed over only to members that have
            // been alive for the settling time.
            aliveSinceMs[member] = effects.now();
            LOG.info("peer {} connected", memberName(member));
        }
        heartbeatAtMs[member] = effects.now();
        storeHealthy[member] = peerStoreHealthy;
        if (peerStoreHealthy) {
            storeUnhealthySinceMs[member] = -1;
        } else if (storeUnhealthySinceMs[member] < 0) {
            storeUnhealthySinceMs[member] = effects.now();
        }
        return reconnected;
    }

    /**
     * Whether a record comes from an earlier incarnation of a member than the one that is connected; such a record was
     * delayed on its way. A lower incarnation of a member that is not connected is accepted, as the member may have
     * restarted with its clock set back.
     */
    public boolean isEarlierIncarnation(int member, long peerIncarnation) {
        return peerIncarnation > 0 && peerIncarnation < seenIncarnation[member] && isConnected(member);
    }

    /** Returns per shard the highest term in the view, 0 where this controller may still answer under its own term. */
    public List<Long> highestTerms() {
        List<Long> terms = new ArrayList<>();
        for (int shard = 0; shard < handingOver.length; shard++) {
            terms.add(isRecordedOwner(shard) ? 0 : term(shard));
        }
        return terms;
    }

    /** Notes that a worker of a shard whose owner does not appear alive has reported to this controller. */
    public void onWorkerWithoutOwner(int shard) {
        workerWithoutOwnerAtMs[shard] = effects.now();
    }

    /**
     * Whether the state service answers a connected peer, so that an outage seen here affects this controller alone.
     */
    public boolean anyPeerStoreHealthy() {
        for (int i = 1; i < members.size(); i++) {
            if (isConnected(i) && storeHealthy[i]) {
                return true;
            }
        }
        return false;
    }

    /** Whether no peer's heartbeats arrive although the settings name peers. */
    public boolean isIsolated() {
        for (int i = 1; i < members.size(); i++) {
            if (isConnected(i)) {
                return false;
            }
        }
        return members.size() > 1;
    }

    /** Whether this controller is the job scheduler of a job. */
    public boolean schedules(String job) {
        return schedulerOf(job) == 0;
    }

    /**
     * Returns the index of the member that schedules a job, by rendezvous hashing over the members that are connected
     * and that the state service answers. Members may disagree for a while, which is harmless.
     */
    public int schedulerOf(String job) {
        int best = 0;
        int highestHash = Integer.MIN_VALUE;
        for (int i = 0; i < members.size(); i++) {
            if (i == 0 || isConnectedAndStoreHealthy(i)) {
                int hash = mix(memberName(i).hashCode() * 31 + job.hashCode());
                if (hash > highestHash) {
                    highestHash = hash;
                    best = i;
                }
            }
        }
        return best;
    }

    private static int mix(int hash) {
        hash ^= hash >>> 16;
        hash *= 0x85EBCA6B;
        hash ^= hash >>> 13;
        hash *= 0xC2B2AE35;
        return hash ^ hash >>> 16;
    }

    // ---- member lease and member row

    /**
     * Renews the lease, registers the member, and takes over or hands over shards. Called on each tick of the core.
     */
    public void tick() {
        long now = effects.now();
        if (!store.loaded()) {
            return;
        }
        storeLoadedAtMs = storeLoadedAtMs < 0 ? now : storeLoadedAtMs;
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
        Map<String, Object> memberRow = view.row(Keys.MEMBER_LEASE + settings.member());
        if (memberRow == null || Fields.countOr(memberRow, "i", 0) != incarnation || now >= leaseValidUntilMs) {
            LOG.error("membership lost: member row missing or replaced, or member lease expired; registering again");
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
        long sentMs = effects.now();
        nextLeaseCallMs = sentMs + LEASE_RETRY_DELAY_MS;
        store.callLease("POST", Wire.LEASES, Map.of(Wire.TTL_MS, leaseMs), (status, body) -> {
            leaseCallPending = false;
            if (status == 200) {
                leaseId = Fields.count(body, Wire.LEASE);
                leaseRenewed(sentMs);
            }
        });
    }

    private void leaseRenewed(long sentMs) {
        leaseValidUntilMs = sentMs + (long) (leaseMs * (1 - 2 * Settings.MAX_CLOCK_DRIFT)) - LEASE_MARGIN_MS;
        nextLeaseCallMs = sentMs + Math.max(MIN_RENEWAL_INTERVAL_MS, leaseMs / RENEWALS_PER_LEASE);
    }

    private void renewLease() {
        leaseCallPending = true;
        long sentMs = effects.now();
        nextLeaseCallMs = sentMs + LEASE_RETRY_DELAY_MS;
        long id = leaseId;
        store.callLease("POST", Wire.LEASES + "/" + id + Wire.RENEW, Map.of(), (status, body) -> {
            leaseCallPending = false;
            if (id != leaseId) {
                return;
            }
            if (status == 200) {
                leaseRenewed(sentMs);
            } else if (status == 404) {
                LOG.error("the state service no longer has the member lease; registering again");
                loseMembership();
            }
        });
    }

    private void loseMembership() {
        leaseId = 0;
        registered = false;
        leaseValidUntilMs = -1;
        // Each registration has a new incarnation: controllers that relied on the end of the old one must stay right.
        incarnation = Math.max(incarnation + 1, effects.wallTime());
    }

    private void register() {
        registrationPending = true;
        long id = leaseId;
        long writtenIncarnation = incarnation;
        store.enqueue(new Change() {
            @Override
            public int rank() {
                return REGISTRATION_RANK;
            }

            @Override
            public int maxWrites() {
                return 1;
            }

            @Override
            public boolean build(Transaction tx) {
                if (leaseId != id || incarnation != writtenIncarnation) {
                    return false;
                }
                tx.putWithLease(Keys.MEMBER_LEASE + settings.member(), Map.of("i", writtenIncarnation), id);
                return true;
            }

            @Override
            public void committed(long revision) {
                registrationPending = false;
                if (leaseId == id && incarnation == writtenIncarnation) {
                    registered = true;
                    LOG.info("registered as member, incarnation {}", writtenIncarnation);
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

    /** Notes since when this controller owns each of its shards and when the shard's earlier owners were fenced. */
    private void updateOwnership(long now) {
        for (int shard = 0; shard < handingOver.length; shard++) {
            Map<String, Object> row = view.row(shardKey(shard));
            boolean recordedOwner = row != null && rowNames(shard, settings.member(), incarnation);
            if (!recordedOwner) {
                ownedSinceTerm[shard] = 0;
                fencedAtMs[shard] = -1;
                handingOver[shard] = false;
                continue;
            }
            long sinceTerm = Fields.countOr(row, "o", 0);
            if (ownedSinceTerm[shard] != sinceTerm) {
                ownedSinceTerm[shard] = sinceTerm;
                ownedSinceMs[shard] = now;
                fencedAtMs[shard] = -1;
            }
            if (fencedAtMs[shard] < 0 && arePriorOwnersFenced(priorOwnersStillMembers(row), shard, sinceTerm)) {
                fencedAtMs[shard] = now;
            }
        }
    }

    /** Returns the earlier owners in a shard's row that are still members, and so might still answer workers. */
    private List<Object> priorOwnersStillMembers(Map<String, Object> row) {
        List<Object> members = new ArrayList<>();
        if (row != null && row.get("p") instanceof List<?> owners) {
            for (Object owner : owners) {
                String[] parts = String.valueOf(owner).split("#");
                if (parts.length == 2 && isMember(parts[0], parts[1])) {
                    members.add(owner);
                }
            }
        }
        return members;
    }

    /**
     * Whether none of these earlier owners can answer a shard's workers any more: each is this incarnation itself, or
     * has seen a term of the current ownership.
     */
    private boolean arePriorOwnersFenced(List<Object> priorOwners, int shard, long sinceTerm) {
        for (Object owner : priorOwners) {
            String[] parts = String.valueOf(owner).split("#");
            int index = memberIndex(parts[0]);
            boolean self = index == 0 && parts[1].equals(String.valueOf(incarnation));
            boolean fenced = index > 0
                    && parts[1].equals(String.valueOf(seenIncarnation[index]))
                    && termsSeenByMember[index][shard] >= sinceTerm;
            if (!self && !fenced) {
                return false;
            }
        }
        return true;
    }

    /** Whether this incarnation of a member has its row in the state service. */
    private boolean isMember(String member, String incarnation) {
        Map<String, Object> memberRow = view.row(Keys.MEMBER_LEASE + member);
        return memberRow != null && String.valueOf(memberRow.get("i")).equals(incarnation);
    }

    private boolean isOwnerMember(int shard) {
        Map<String, Object> row = view.row(shardKey(shard));
        return row != null && isMember(String.valueOf(row.get("m")), String.valueOf(row.get("i")));
    }

    /**
     * Returns the index of the member that should own a shard, -1 if there is none. Members in the shard's zone are
     * preferred; the others are candidates only if the zone has none.
     *
     * @param starting whether all members count as alive, as after a common start
     */
    private int preferredOwner(int shard, boolean starting) {
        String zone = catalog.zones.name(zoneOf(shard));
        List<Integer> inZone = new ArrayList<>();
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            // A controller that has just started assumes that the others are starting as well.
            boolean candidate = isAliveAndStoreHealthy(i) || starting;
            if (candidate) {
                all.add(i);
                if (members.get(i).zone().equals(zone)) {
                    inZone.add(i);
                }
            }
        }
        List<Integer> candidates = inZone.isEmpty() ? all : inZone;
        candidates.sort((a, b) -> memberName(a).compareTo(memberName(b)));
        return candidates.isEmpty() ? -1 : candidates.get(shard % candidates.size());
    }

    private void takeOverPreferredShards(long now) {
        if (takeoverPending) {
            return;
        }
        // Counted from when the rows were loaded, not from the process start. After a start during an outage, the
        // controller that loaded the rows first, 0.1 s before the others, took over all shards and handed them over 6 s
        // later, while their workers' reports were being reconciled.
        boolean starting = now - storeLoadedAtMs < suspicionTimeoutMs + START_MARGIN_MS;
        List<Integer> shards = new ArrayList<>();
        for (int shard = 0; shard < handingOver.length; shard++) {
            if (owns(shard) || handingOver[shard] || preferredOwner(shard, starting) != 0) {
                continue;
            }
            String owner = ownerName(shard);
            int ownerIndex = owner == null ? -1 : memberIndex(owner);
            boolean ownerless = owner == null || !isOwnerMember(shard) || ownerIndex == 0;
            // Unless a worker has lost its owner, only the peer connections may have failed; a takeover would then
            // start a series of mutual takeovers.
            boolean silent = ownerIndex > 0
                    && !isAlive(ownerIndex)
                    && !starting
                    && now - workerWithoutOwnerAtMs[shard] < WORKER_WITHOUT_OWNER_MS;
            boolean storeUnhealthy = ownerIndex > 0
                    && storeUnhealthySinceMs[ownerIndex] >= 0
                    && now - storeUnhealthySinceMs[ownerIndex] > MAX_STORE_UNHEALTHY_MS;
            if (ownerless || silent || storeUnhealthy) {
                shards.add(shard);
            }
        }
        if (!shards.isEmpty()) {
            takeOver(shards);
        }
    }

    /**
     * Takes over a shard of another member whose workers keep reporting here because they cannot reach their owner.
     */
    public void onOwnerUnreachable(int shard) {
        long now = effects.now();
        if (!takeoverPending
                && store.healthy()
                && canAct()
                && !owns(shard)
                && now - lastTakeoverMs[shard] > UNREACHABLE_TAKEOVER_INTERVAL_MS) {
            LOG.info("taking over shard {}: its workers cannot reach their owner", shard);
            lastTakeoverMs[shard] = now;
            ownerUnreachableAtMs[shard] = now;
            ownerUnreachableCount[shard]++;
            takeOver(List.of(shard));
        }
    }

    /**
     * Takes an owned shard under a higher term, which fences commands that may still be on their way to its workers.
     *
     * @param cause for the log
     * @return whether the change was enqueued: not while another one is pending, or shortly after the last one
     */
    public boolean raiseTerm(int shard, String cause) {
        if (takeoverPending || !owns(shard) || effects.now() - lastTakeoverMs[shard] <= RAISE_TERM_INTERVAL_MS) {
            return false;
        }
        termRaises++;
        LOG.info("raising the term of shard {}: term={} cause={}", shard, term(shard), cause);
        takeOver(List.of(shard));
        return true;
    }

    /** Enqueues a takeover of the shards; those that change before it is built are left out. */
    private void takeOver(List<Integer> shards) {
        takeoverPending = true;
        long[] versions =
                shards.stream().mapToLong(s -> view.version(shardKey(s))).toArray();
        store.enqueue(new ShardChange(TAKEOVER_RANK) {
            private boolean unknownOutcome;

            @Override
            public void outcomeUnknown() {
                unknownOutcome = true;
            }

            @Override
            boolean write(Transaction tx) {
                if (!registered) {
                    return false;
                }
                tx.requireUnchanged(Keys.MEMBER_LEASE + settings.member());
                long term = lastTerm();
                int taken = 0;
                for (int i = 0; i < versions.length && taken + 2 <= settings.maxTransactionOps(); i++) {
                    int s = shards.get(i);
                    if (view.version(shardKey(s)) != versions[i]) {
                        // Another controller has changed the owner since the takeover was decided.
                        continue;
                    }
                    Map<String, Object> old = view.row(shardKey(s));
                    List<Object> priorOwners = priorOwnersStillMembers(old);
                    boolean recordedOwner = rowNames(s, settings.member(), incarnation);
                    if (old != null && !recordedOwner) {
                        String previousOwner = old.get("m") + "#" + old.get("i");
                        if (isMember(String.valueOf(old.get("m")), String.valueOf(old.get("i")))
                                && !priorOwners.contains(previousOwner)) {
                            priorOwners.add(previousOwner);
                        }
                    }
                    term++;
                    tx.put(
                            shardKey(s),
                            encodeShardRow(
                                    settings.member(),
                                    incarnation,
                                    term,
                                    recordedOwner ? Fields.countOr(old, "o", term) : term,
                                    priorOwners));
                    lastTakeoverMs[s] = effects.now();
                    taken++;
                }
                if (taken == 0) {
                    return false;
                }
                tx.put(Keys.TERM, Map.of("t", term));
                return true;
            }

            @Override
            public int maxWrites() {
                return Math.min(settings.maxTransactionOps(), shards.size() + 1);
            }

            @Override
            void finished(boolean committed) {
                takeoverPending = false;
                // A transaction of unknown outcome was applied if a shard has a new row in the view that names
                // this controller.
                if (committed
                        || unknownOutcome
                                && shards.stream()
                                        .anyMatch(s -> isRecordedOwner(s)
                                                && view.version(shardKey(s)) != versions[shards.indexOf(s)])) {
                    takeovers++;
                    LOG.info("took over shards {}, last term {}", shards, lastTerm());
                    updateOwnership(effects.now());
                }
            }
        });
    }

    private void handOverOtherShards(long now) {
        for (int i = 1; i < members.size(); i++) {
            if (isConnected(i) && !storeHealthy[i]) {
                // Controllers notice the beginning of an outage of the state service one after the other, and the
                // preferred owners change with that. Handing over at that time left half of the shards without an
                // owner that answered their workers until the end of the outage, so that the workers' leases expired.
                return;
            }
        }
        for (int shard = 0; shard < handingOver.length; shard++) {
            if (!owns(shard) || takeoverPending) {
                continue;
            }
            int preferred = preferredOwner(shard, false);
            Map<String, Object> memberRow = preferred <= 0 ? null : view.row(Keys.MEMBER_LEASE + memberName(preferred));
            // An owner that its workers could not reach looks healthy to this controller, unless it was restarted. When
            // the shard was handed back to it after 6 s, ownership alternated for as long as such a network partition
            // lasted, and the workers' leases expired.
            boolean recentlyUnreachable = aliveSinceMs[preferred] <= ownerUnreachableAtMs[shard]
                    && now - ownerUnreachableAtMs[shard] < handoverDelayMs(shard, preferred);
            if (memberRow == null
                    || !isConnected(preferred)
                    || recentlyUnreachable
                    || now - aliveSinceMs[preferred] < settleMs
                    || now - ownedSinceMs[shard] < settleMs) {
                continue;
            }
            handOver(shard, memberName(preferred), Fields.countOr(memberRow, "i", 0));
        }
    }

    /**
     * Returns for how long a shard is not handed back to an owner that its workers could not reach. While that owner
     * names no worker in the shard's zone that receives its responses, only sending the shard's workers there can show
     * whether they reach it again, which costs most of a short worker lease: 45 s into a longer partition, replicas
     * with leases of 10 s were dropped by such a trial.
     */
    private long handoverDelayMs(int shard, int owner) {
        boolean reachesZone = reachesWorkers.test(owner, zoneOf(shard));
        return leaseMs
                << (reachesZone
                        ? Math.min(MAX_HANDOVER_DELAY_DOUBLINGS, Math.max(0, ownerUnreachableCount[shard] - 1))
                        : MAX_HANDOVER_DELAY_DOUBLINGS);
    }

    /**
     * Sets the test of whether a member reaches workers of a zone.
     *
     * @param reaches whether the member with this index names a worker in the zone with this index that receives its
     *     responses
     */
    public void setReachesWorkers(BiPredicate<Integer, Integer> reaches) {
        reachesWorkers = reaches;
    }

    /**
     * Hands over a shard. This controller stops answering its workers before the new owner is written, so that the new
     * owner need not wait for it to be fenced.
     */
    private void handOver(int shard, String newOwner, long newIncarnation) {
        handingOver[shard] = true;
        LOG.info("handing over shard {} to {}", shard, newOwner);
        long deadlineMs = effects.now() + HANDOVER_TIMEOUT_MS;
        store.enqueue(new ShardChange(HANDOVER_RANK) {
            private boolean unknownOutcome;

            /** If it is not written in time, this controller answers workers again, unless it may still be applied. */
            @Override
            public long expiresAtMs() {
                return unknownOutcome ? Long.MAX_VALUE : deadlineMs;
            }

            @Override
            public void outcomeUnknown() {
                unknownOutcome = true;
            }

            @Override
            boolean write(Transaction tx) {
                Map<String, Object> old = view.row(shardKey(shard));
                if (!rowNames(shard, settings.member(), incarnation)
                        || !isMember(newOwner, String.valueOf(newIncarnation))) {
                    return false;
                }
                tx.requireUnchanged(Keys.MEMBER_LEASE + newOwner);
                long term = lastTerm() + 1;
                tx.put(
                        shardKey(shard),
                        encodeShardRow(newOwner, newIncarnation, term, term, priorOwnersStillMembers(old)));
                tx.put(Keys.TERM, Map.of("t", term));
                return true;
            }

            @Override
            public int maxWrites() {
                return 2;
            }

            @Override
            void finished(boolean committed) {
                handingOver[shard] = false;
            }
        });
    }

    /** Returns the last term issued for any shard; all shards share one counter. */
    private long lastTerm() {
        Map<String, Object> row = view.row(Keys.TERM);
        return row == null ? 0 : Fields.countOr(row, "t", 0);
    }

    private static Map<String, Object> encodeShardRow(
            String member, long incarnation, long term, long sinceTerm, List<Object> priorOwners) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("m", member);
        row.put("i", incarnation);
        row.put("t", term);
        row.put("o", sinceTerm);
        row.put("p", priorOwners);
        return row;
    }

    /** A change of shard owners. All of them write the term counter, so a transaction holds only one of them. */
    private abstract static class ShardChange implements Change {
        private final int rank;

        ShardChange(int rank) {
            this.rank = rank;
        }

        abstract boolean write(Transaction tx);

        abstract void finished(boolean committed);

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
