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

    private static final long GIVE_MS = 1_000;
    /** While we miss a controller in the mesh, a beat in our seat's row shows the others that we live. */
    private static final long BEAT_MS = 2_500;

    private static final long BEAT_SEEN_MS = 6_500;
    /** A controller that falls silent in the mesh has this long for its first beat. */
    private static final long GRACE_MS = 1_200;
    /** Two heartbeats. */
    private static final long JUST_MS = 1_000;
    /** A shard that was taken for its workers' sake stays for a seat's lease, each time twice as long up to this often. */
    private static final int MAX_DOUBLINGS = 3;

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final long leaseMs;
    private final long suspectMs;
    private final long settleMs;
    private final int perZone;
    /** When the state was first read; -1: not yet. */
    private long readAt = -1;

    private final List<Settings.Peer> members = new ArrayList<>();
    private final long[] heardAt;
    private final long[] aliveSince;
    private final boolean[] storeOk;
    private final long[] badStoreSince;
    private long lease;
    private long incarnation;
    private long goodUntil = -1;
    private long nextLease;
    private boolean leaseBusy;
    private boolean seatBusy;
    private boolean seated;
    private final String[] shardKeys;
    private final ShardRow[] rows;
    private long rowsAt = -1;
    private final boolean[] giving;
    private final long[] ownedSince;
    private final long[] ownedTerm;
    private final long[] fencedAt;
    private final long[] lastTake;
    /** When workers that could not reach its owner last made us take a shard, and how often. */
    private final long[] pressedAt;

    private BiPredicate<Integer, Integer> hearsWorkers = (member, zone) -> true;

    private final int[] presses;
    private final long[] wantedAt;
    private final long[] seenIncarnation;
    private final long[] beatVersion;
    private final long[] beatAt;
    private long nextBeat;
    private boolean beating;
    private final long[][] seenTerm;
    /** Per shard the highest term that another controller has told to own it by: higher than ours, we are replaced. */
    private final long[] heardTerm;

    private final Staleness staleness;
    private boolean taking;
    public long takeovers;

    public Membership(Effects effects, Settings s, Catalog catalog, StoreView view, StoreClient store, Tuning t) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        leaseMs = t.ms("seats.lease-s");
        suspectMs = t.ms("seats.suspect-s");
        settleMs = t.ms("seats.settle-s");
        perZone = shardsPerZone(s, (int) t.num("seats.shards-per-zone"));
        members.add(new Settings.Peer(s.member(), s.zone(), s.mesh()));
        members.addAll(s.peers());
        heardAt = new long[members.size()];
        aliveSince = new long[members.size()];
        storeOk = new boolean[members.size()];
        badStoreSince = new long[members.size()];
        java.util.Arrays.fill(heardAt, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(badStoreSince, -1);
        int n = s.zones().size() * perZone;
        shardKeys = new String[n];
        for (int shard = 0; shard < n; shard++) {
            shardKeys[shard] = Keys.SHARD + catalog.zones.name(zoneOf(shard)) + "/" + shard % perZone;
        }
        rows = new ShardRow[n];
        giving = new boolean[n];
        ownedSince = new long[n];
        ownedTerm = new long[n];
        fencedAt = new long[n];
        lastTake = new long[n];
        pressedAt = new long[n];
        presses = new int[n];
        java.util.Arrays.fill(pressedAt, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(lastTake, Long.MIN_VALUE / 2);
        wantedAt = new long[n];
        java.util.Arrays.fill(wantedAt, Long.MIN_VALUE / 2);
        seenIncarnation = new long[members.size()];
        beatVersion = new long[members.size()];
        beatAt = new long[members.size()];
        java.util.Arrays.fill(beatVersion, -1);
        java.util.Arrays.fill(beatAt, Long.MIN_VALUE / 2);
        seenTerm = new long[members.size()][n];
        heardTerm = new long[n];
        staleness = new Staleness(effects, s, view, store);
        incarnation = effects.wall();
    }

    /**
     * No two lives of a member may share an incarnation, and none may be lower than one before: a controller that is back within a
     * blink, its clock set back or read in the same millisecond, would take the old one's seat and shards for its own.
     */
    private void outlive() {
        long last = ofOurs(Keys.MEMBER_LEASE + settings.member(), null);
        last = Math.max(last, ofOurs(Keys.AUTOSCALER, "m"));
        for (String key : shardKeys) {
            last = Math.max(last, ofOurs(key, "m"));
        }
        incarnation = Math.max(incarnation, last + 1);
    }

    private long ofOurs(String key, String owner) {
        Map<String, Object> row = view.row(key);
        return row == null || owner != null && !settings.member().equals(row.get(owner))
                ? 0
                : Fields.countOr(row, "i", 0);
    }

    /** As many as the fullest zone has controllers, so that all of them can own workers; the same for all controllers. */
    private static int shardsPerZone(Settings s, int asked) {
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
        return giving.length;
    }

    public int shardOf(String machine, int zone) {
        return zone * perZone + Math.floorMod(machine.hashCode() * 0x9E3779B1 >>> 7, perZone);
    }

    public int zoneOf(int shard) {
        return shard / perZone;
    }

    public String shardKey(int shard) {
        return shardKeys[shard];
    }

    /** A shard's row as the view has it. Every report and every picture of a machine asks for it several times. */
    private ShardRow shard(int shard) {
        if (rowsAt != view.otherRowChangeCount()) {
            rowsAt = view.otherRowChangeCount();
            for (int s = 0; s < rows.length; s++) {
                rows[s] = ShardRow.of(view.row(shardKeys[s]));
            }
        }
        return rows[shard];
    }

    /** Owner, its incarnation and the term; no owner: null. */
    private record ShardRow(String member, long incarnation, long term) {
        static ShardRow of(Map<String, Object> row) {
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
    public boolean holding() {
        return seated && effects.now() < goodUntil && staleness.informed();
    }

    public Staleness staleness() {
        return staleness;
    }

    public boolean owns(int shard) {
        return holding()
                && !giving[shard]
                && named(shard, settings.member(), incarnation)
                && heardTerm[shard] <= term(shard);
    }

    /**
     * Whether our view holds everything up to when we took a shard. Before that, a task whose end and whose next place the owner
     * before us has seen may still look as if it was to be started here.
     */
    public boolean settled(int shard) {
        return view.appliedRevision() >= view.version(shardKey(shard));
    }

    /** Per shard the term under which we own it, 0 where we don't. */
    public List<Long> termsOwned() {
        List<Long> l = new ArrayList<>();
        for (int s = 0; s < giving.length; s++) {
            l.add(mine(s) ? term(s) : 0);
        }
        return l;
    }

    /** The shards that we own and under which terms, for log lines: {@code 0@5,3@7}. */
    public String owned() {
        StringJoiner owned = new StringJoiner(",");
        for (int shard = 0; shard < giving.length; shard++) {
            if (mine(shard)) {
                owned.add(shard + "@" + term(shard));
            }
        }
        return owned.toString();
    }

    /** Whether the row names this incarnation of ours, even while we may not act on it. */
    public boolean mine(int shard) {
        return named(shard, settings.member(), incarnation);
    }

    private boolean named(int shard, String member, long inc) {
        ShardRow row = shard(shard);
        return member.equals(row.member) && row.incarnation == inc;
    }

    public long term(int shard) {
        return shard(shard).term;
    }

    /** The member a shard's row names, or null. */
    public String owner(int shard) {
        return shard(shard).member;
    }

    /** The index of a shard's owner if that one still sits in its seat and is heard of, else -1. */
    public int liveOwner(int shard) {
        String m = owner(shard);
        int i = m == null ? -1 : index(m);
        return i >= 0 && validOwner(shard) && live(i) ? i : -1;
    }

    /** The same, but it is enough that the owner is seen to live: workers may reach it though we can't. */
    public int seenOwner(int shard) {
        String m = owner(shard);
        int i = m == null ? -1 : index(m);
        return i >= 0 && validOwner(shard) && seen(i) ? i : -1;
    }

    /** When we began to own this shard under its present owner row, by the steady clock. */
    public long ownedSince(int shard) {
        return ownedSince[shard];
    }

    /**
     * When it became certain that no earlier owner can answer this shard's workers any more, or -1. A silent worker's
     * lease is counted from there at the earliest.
     */
    public long fencedAt(int shard) {
        return fencedAt[shard];
    }

    public int index(String member) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).member().equals(member)) {
                return i;
            }
        }
        return -1;
    }

    public boolean live(int i) {
        return i == 0 || effects.now() - heardAt[i] < suspectMs;
    }

    /** Served by the state service and heard in the mesh. */
    private boolean able(int i) {
        return i == 0 ? store.healthy() : live(i) && storeOk[i];
    }

    /**
     * Heard in the mesh, or seen to write to the state service lately. A silent mesh alone once made seven controllers take
     * the same shards from each other twice a second, each time with the autoscaler's row.
     */
    public boolean seen(int i) {
        long now = effects.now();
        return i == 0 || now - heardAt[i] < suspectMs + GRACE_MS || now - beatAt[i] < BEAT_SEEN_MS;
    }

    /** Heard just now, and in the same life for at least so long. */
    public boolean steady(int i, long ms) {
        return effects.now() - heardAt[i] < JUST_MS && effects.now() - aliveSince[i] > ms;
    }

    private boolean seenAble(int i) {
        return i == 0
                ? store.healthy()
                : live(i) ? storeOk[i] : seen(i) && (storeOk[i] || effects.now() - beatAt[i] < BEAT_SEEN_MS);
    }

    /** Notes whose seat rows have changed. The first look tells nothing: the row may be a dead one's. */
    private void watchBeats(long now) {
        for (int i = 1; i < members.size(); i++) {
            long version = view.version(Keys.MEMBER_LEASE + memberName(i));
            if (beatVersion[i] >= 0 && version > beatVersion[i]) {
                beatAt[i] = now;
            }
            beatVersion[i] = version;
        }
    }

    private void beat(long now) {
        boolean missing = false;
        for (int i = 1; i < members.size(); i++) {
            missing |= !live(i) && view.row(Keys.MEMBER_LEASE + memberName(i)) != null;
        }
        if (!missing || beating || now < nextBeat) {
            return;
        }
        beating = true;
        nextBeat = now + BEAT_MS;
        long id = lease;
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
                return now + BEAT_MS;
            }

            @Override
            public boolean build(Transaction tx) {
                if (lease != id || incarnation != inc || !seated || tx.writes(Keys.MEMBER_LEASE + settings.member())) {
                    return false;
                }
                tx.putWithLease(Keys.MEMBER_LEASE + settings.member(), Map.of("i", inc, "b", now), id);
                return true;
            }

            @Override
            public void committed(long revision) {
                beating = false;
            }

            @Override
            public void dropped() {
                beating = false;
            }
        });
    }

    /**
     * A heartbeat. The terms it has seen also settle who may still answer workers: a member that knows of our term does
     * not answer under an older one any more. True if it was not heard of before, or not in this life.
     */
    public boolean heard(int i, boolean itsStoreOk, long itsIncarnation, List<Long> terms, List<Long> owned) {
        boolean news = !live(i) || seenIncarnation[i] != itsIncarnation;
        seenIncarnation[i] = itsIncarnation;
        if (terms.size() == giving.length) {
            for (int s = 0; s < giving.length; s++) {
                seenTerm[i][s] = terms.get(s);
            }
        }
        for (int s = 0; s < Math.min(owned.size(), heardTerm.length); s++) {
            heardTerm[s] = Math.max(heardTerm[s], owned.get(s));
        }
        if (news) {
            // Also one that was back before anybody missed it: shards are handed to what has settled.
            aliveSince[i] = effects.now();
            LOG.info("{} is heard of", memberName(i));
        }
        heardAt[i] = effects.now();
        storeOk[i] = itsStoreOk;
        if (itsStoreOk) {
            badStoreSince[i] = -1;
        } else if (badStoreSince[i] < 0) {
            badStoreSince[i] = effects.now();
        }
        return news;
    }

    /**
     * Whether a record comes from an earlier life of a member than the one that is heard: it may have been long on its way. One that
     * has fallen silent may be back with a clock that was set back.
     */
    public boolean earlierLife(int i, long itsIncarnation) {
        return itsIncarnation > 0 && itsIncarnation < seenIncarnation[i] && live(i);
    }

    /** Per shard the highest term we know of, 0 where we may still answer under one of our own. */
    public List<Long> termsSeen() {
        List<Long> l = new ArrayList<>();
        for (int s = 0; s < giving.length; s++) {
            l.add(mine(s) ? 0 : term(s));
        }
        return l;
    }

    /** A worker of a shard whose owner we don't hear of has come to us. */
    public void wanted(int shard) {
        wantedAt[shard] = effects.now();
    }

    /** Whether another live controller is served by the state service, so that an outage seen here is ours alone. */
    public boolean othersAreServed() {
        for (int i = 1; i < members.size(); i++) {
            if (live(i) && storeOk[i]) {
                return true;
            }
        }
        return false;
    }

    /** Whether we hear no other controller at all, though there are some. */
    public boolean lonely() {
        for (int i = 1; i < members.size(); i++) {
            if (live(i)) {
                return false;
            }
        }
        return members.size() > 1;
    }

    public boolean drives(String job) {
        return driver(job) == 0;
    }

    /** The member that drives this job, by rendezvous; disagreement is harmless. */
    public int driver(String job) {
        int best = 0;
        int top = Integer.MIN_VALUE;
        for (int i = 0; i < members.size(); i++) {
            if (i == 0 || able(i)) {
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
        readAt = readAt < 0 ? now : readAt;
        if (lease == 0) {
            if (!leaseBusy && now >= nextLease) {
                grant();
            }
            return;
        }
        if (!leaseBusy && now >= nextLease) {
            extend();
        }
        if (!seated) {
            if (!seatBusy) {
                sit();
            }
            return;
        }
        Map<String, Object> seat = view.row(Keys.MEMBER_LEASE + settings.member());
        if (seat == null || Fields.countOr(seat, "i", 0) != incarnation || now >= goodUntil) {
            LOG.error("seat lost, taking a new one");
            lose();
            return;
        }
        follow(now);
        watchBeats(now);
        if (store.healthy()) {
            beat(now);
            takeWhatIsOurs(now);
            giveWhatIsNot(now);
        }
    }

    private void grant() {
        leaseBusy = true;
        outlive();
        long sent = effects.now();
        nextLease = sent + 1_000;
        store.callLease("POST", Wire.LEASES, Map.of(Wire.TTL, leaseMs), (status, m) -> {
            leaseBusy = false;
            if (status == 200) {
                lease = Fields.count(m, Wire.LEASE);
                renewed(sent);
            }
        });
    }

    private void renewed(long sent) {
        goodUntil = sent + (long) (leaseMs * (1 - 2 * Settings.DRIFT)) - 250;
        nextLease = sent + Math.max(1_000, leaseMs / 9);
    }

    private void extend() {
        leaseBusy = true;
        long sent = effects.now();
        nextLease = sent + 1_000;
        long id = lease;
        store.callLease("POST", Wire.LEASES + "/" + id + Wire.EXTEND, Map.of(), (status, m) -> {
            leaseBusy = false;
            if (id != lease) {
                return;
            }
            if (status == 200) {
                renewed(sent);
            } else if (status == 404) {
                LOG.error("seat lease ended");
                lose();
            }
        });
    }

    private void lose() {
        lease = 0;
        seated = false;
        goodUntil = -1;
        // A new seat is a new incarnation: whoever counted on the old one having ended must stay right.
        incarnation = Math.max(incarnation + 1, effects.wall());
    }

    private void sit() {
        seatBusy = true;
        long id = lease;
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
                if (lease != id || incarnation != inc) {
                    return false;
                }
                tx.putWithLease(Keys.MEMBER_LEASE + settings.member(), Map.of("i", inc), id);
                return true;
            }

            @Override
            public void committed(long revision) {
                seatBusy = false;
                if (lease == id && incarnation == inc) {
                    seated = true;
                    LOG.info("seat taken, incarnation {}", inc);
                }
            }

            @Override
            public void dropped() {
                seatBusy = false;
                if (lease == id) {
                    lose();
                }
            }
        });
    }

    // ---- shards

    /** Notes since when we own a shard and when its earlier owners became harmless. */
    private void follow(long now) {
        for (int s = 0; s < giving.length; s++) {
            Map<String, Object> row = view.row(shardKey(s));
            boolean mine = row != null && named(s, settings.member(), incarnation);
            if (!mine) {
                ownedTerm[s] = 0;
                fencedAt[s] = -1;
                giving[s] = false;
                continue;
            }
            long since = Fields.countOr(row, "o", 0);
            if (ownedTerm[s] != since) {
                ownedTerm[s] = since;
                ownedSince[s] = now;
                fencedAt[s] = -1;
            }
            if (fencedAt[s] < 0 && harmless(priors(row), s, since)) {
                fencedAt[s] = now;
            }
        }
    }

    /** Earlier owners whose seats still stand: they might still answer workers. */
    private List<Object> priors(Map<String, Object> row) {
        List<Object> alive = new ArrayList<>();
        if (row != null && row.get("p") instanceof List<?> l) {
            for (Object o : l) {
                String[] p = String.valueOf(o).split("#");
                if (p.length == 2 && sits(p[0], p[1])) {
                    alive.add(o);
                }
            }
        }
        return alive;
    }

    /** Whether none of these earlier owners can answer this shard's workers: each is us, or knows of our term. */
    private boolean harmless(List<Object> priors, int shard, long since) {
        for (Object o : priors) {
            String[] p = String.valueOf(o).split("#");
            int i = index(p[0]);
            boolean us = i == 0 && p[1].equals(String.valueOf(incarnation));
            boolean knows = i > 0 && p[1].equals(String.valueOf(seenIncarnation[i])) && seenTerm[i][shard] >= since;
            if (!us && !knows) {
                return false;
            }
        }
        return true;
    }

    private boolean sits(String member, String inc) {
        Map<String, Object> seat = view.row(Keys.MEMBER_LEASE + member);
        return seat != null && String.valueOf(seat.get("i")).equals(inc);
    }

    private boolean validOwner(int shard) {
        Map<String, Object> row = view.row(shardKey(shard));
        return row != null && sits(String.valueOf(row.get("m")), String.valueOf(row.get("i")));
    }

    /** The member that should own a shard: one in its zone if any is able, else any. */
    private int preferred(int shard, boolean hopeful) {
        String zone = catalog.zones.name(zoneOf(shard));
        List<Integer> near = new ArrayList<>();
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            // Young controllers count on the others to be starting as well.
            boolean maybe = seenAble(i) || hopeful;
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

    private void takeWhatIsOurs(long now) {
        if (taking) {
            return;
        }
        // Counted from the reading, not from the start: after a start inside an outage whoever read first once took all
        // shards, 0.1 s
        // before the others, and handed them over six seconds later, in the middle of squaring their workers' reports.
        boolean hopeful = now - readAt < suspectMs + 500;
        List<Integer> take = new ArrayList<>();
        for (int s = 0; s < giving.length; s++) {
            if (owns(s) || giving[s] || preferred(s, hopeful) != 0) {
                continue;
            }
            String owner = owner(s);
            int o = owner == null ? -1 : index(owner);
            boolean orphan = owner == null || !validOwner(s) || o == 0;
            // Without a worker that has lost its owner, the silence may be the mesh's alone: taking would start a
            // fight.
            boolean silent = o > 0 && !seen(o) && !hopeful && now - wantedAt[s] < 6_000;
            boolean unserved = o > 0 && badStoreSince[o] >= 0 && now - badStoreSince[o] > 4_000;
            if (orphan || silent || unserved) {
                take.add(s);
            }
        }
        if (!take.isEmpty()) {
            take(take);
        }
    }

    /** Workers of a foreign shard keep coming to us: their owner can't be reached by them. */
    public void pressed(int shard) {
        long now = effects.now();
        if (!taking && store.healthy() && holding() && !owns(shard) && now - lastTake[shard] > 15_000) {
            LOG.info("workers of shard {} can't reach their owner", shard);
            lastTake[shard] = now;
            pressedAt[shard] = now;
            presses[shard]++;
            take(List.of(shard));
        }
    }

    /** A higher term for a shard of ours fences commands that may still be under way. */
    public void raise(int shard) {
        if (!taking && owns(shard) && effects.now() - lastTake[shard] > 2_000) {
            take(List.of(shard));
        }
    }

    private void take(List<Integer> shards) {
        taking = true;
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
                if (!seated) {
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
                    List<Object> before = priors(old);
                    boolean ours = named(s, settings.member(), incarnation);
                    if (old != null && !ours) {
                        String p = old.get("m") + "#" + old.get("i");
                        if (sits(String.valueOf(old.get("m")), String.valueOf(old.get("i"))) && !before.contains(p)) {
                            before.add(p);
                        }
                    }
                    term++;
                    tx.put(
                            shardKey(s),
                            row(
                                    settings.member(),
                                    incarnation,
                                    term,
                                    ours ? Fields.countOr(old, "o", term) : term,
                                    before));
                    lastTake[s] = effects.now();
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
            void over(boolean ok) {
                taking = false;
                // Without an answer, and then seen to be ours: it was carried out.
                if (ok
                        || unclear
                                && shards.stream()
                                        .anyMatch(s ->
                                                mine(s) && view.version(shardKey(s)) != versions[shards.indexOf(s)])) {
                    takeovers++;
                    LOG.info("shards {} are ours, term {}", shards, lastTerm());
                    follow(effects.now());
                }
            }
        });
    }

    private void giveWhatIsNot(long now) {
        for (int i = 1; i < members.size(); i++) {
            if (live(i) && !storeOk[i]) {
                // An outage that begins is noticed by one after the other, and preferences follow. Handing over then
                // left half
                // of the shards with nobody to answer their workers until the outage was over, and their leases were
                // not.
                return;
            }
        }
        for (int s = 0; s < giving.length; s++) {
            if (!owns(s) || taking) {
                continue;
            }
            int p = preferred(s, false);
            Map<String, Object> seat = p <= 0 ? null : view.row(Keys.MEMBER_LEASE + memberName(p));
            // Whom its workers could not reach looks as well as ever from here, unless it was restarted. Given back
            // after six seconds, the shard went round for as
            // long as such a cut lasted, and its workers' leases ended.
            boolean unreached = aliveSince[p] <= pressedAt[s] && now - pressedAt[s] < holdMs(s, p);
            if (seat == null
                    || !live(p)
                    || unreached
                    || now - aliveSince[p] < settleMs
                    || now - ownedSince[s] < settleMs) {
                continue;
            }
            give(s, memberName(p), Fields.countOr(seat, "i", 0));
        }
    }

    /**
     * For how long a shard is not given back to an owner that its workers could not reach. While the owner tells of no worker in the
     * shard's zone that hears it, all that can show whether they reach it again is to send them there, at the price of most of a short
     * worker's lease: after 45 s of a longer cut, replicas with leases of 10 s were dropped by it.
     */
    private long holdMs(int shard, int owner) {
        boolean heard = hearsWorkers.test(owner, zoneOf(shard));
        return leaseMs << (heard ? Math.min(MAX_DOUBLINGS, Math.max(0, presses[shard] - 1)) : MAX_DOUBLINGS);
    }

    /** {@code hears}: whether a member, by its index, tells of a worker in a zone that hears it. */
    public void hearsWorkers(BiPredicate<Integer, Integer> hears) {
        hearsWorkers = hears;
    }

    /** We stop answering first and write after: the new owner then has nobody to wait for. */
    private void give(int shard, String to, long inc) {
        giving[shard] = true;
        LOG.info("handing shard {} to {}", shard, to);
        long until = effects.now() + GIVE_MS;
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
                if (!named(shard, settings.member(), incarnation) || !sits(to, String.valueOf(inc))) {
                    return false;
                }
                tx.requireUnchanged(Keys.MEMBER_LEASE + to);
                long term = lastTerm() + 1;
                tx.put(shardKey(shard), row(to, inc, term, term, priors(old)));
                tx.put(Keys.TERM, Map.of("t", term));
                return true;
            }

            @Override
            public int maxWrites() {
                return 2;
            }

            @Override
            void over(boolean ok) {
                giving[shard] = false;
            }
        });
    }

    private long lastTerm() {
        Map<String, Object> row = view.row(Keys.TERM);
        return row == null ? 0 : Fields.countOr(row, "t", 0);
    }

    private static Map<String, Object> row(String member, long inc, long term, long since, List<Object> priors) {
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

        abstract void over(boolean ok);

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
            over(true);
        }

        @Override
        public void dropped() {
            over(false);
        }
    }
}
