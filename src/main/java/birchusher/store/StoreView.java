package birchusher.store;

import birchusher.core.Fields;
import birchusher.mesh.PeerRecord.Cancellation;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.wire.JobCodec;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's copy of the live rows. Rows carry their versions, so that events, listings and own commits may
 * arrive in any order: the newest version of a row wins. Use of teams and machines is derived from the rows here and
 * never counted apart from them.
 */
public final class StoreView {
    private static final Logger LOG = LoggerFactory.getLogger(StoreView.class);
    private static final int MAX_ENDED_JOBS = 20_000;

    /** How a job ended; {@code done} false means cancelled. */
    public record EndedJob(boolean done, int tasks) {}

    private final Catalog catalog;
    private final JobCodec codec;
    private final Object2LongOpenHashMap<String> versions = new Object2LongOpenHashMap<>();
    private final Object2LongOpenHashMap<String> removedVersions = new Object2LongOpenHashMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final Map<String, MachineClaims> claimsByMachine = new HashMap<>();
    /** Placement rows that came before their job's row (listing order). */
    private final Map<String, Map<String, Object>> orphanedPlacements = new HashMap<>();

    private final LinkedHashMap<String, EndedJob> endedJob = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EndedJob> e) {
            endedJobsDropped |= size() > MAX_ENDED_JOBS;
            return size() > MAX_ENDED_JOBS;
        }
    };
    private boolean endedJobsDropped;
    /** Accepted jobs whose rows can't be read, as after a change of the settings: known all the same. */
    private final Set<String> unreadable = new HashSet<>();

    private final double[] cpusByTeam;
    private final double[] gpusByTeam;
    private final Cancellations cancellations = new Cancellations();
    private long appliedRevision;
    private long knownRevision;
    private long changeCount;
    private long rentalRequestChanges;
    private long otherRowChangeCount;
    private int standingClaims;
    private int releasedClaims;
    private Consumer<String> machineListener = m -> {};
    private LongSupplier steadyClock = () -> 0;
    private ToIntFunction<String> machineKindLookup = m -> -1;
    private ClaimRemovedListener claimRemovedListener = (c, lost) -> {};
    private Consumer<Claim> claimAddedListener = c -> {};

    /** Told of each claim that leaves its row, and whether its task has still to run. */
    public interface ClaimRemovedListener {
        void claimRemoved(Claim c, boolean lost);
    }

    /** The claims on one machine and what they take; the sums are made anew with each change, so nothing drifts. */
    private static final class MachineClaims {
        final Map<String, Claim> claims = new LinkedHashMap<>();
        final double[] used = new double[3];

        void recomputeUsed() {
            used[0] = 0;
            used[1] = 0;
            used[2] = 0;
            for (Claim c : claims.values()) {
                if (c.job().released(c.task()) != null) {
                    continue;
                }
                JobSpec j = c.job().spec;
                used[0] += j.cpus();
                used[1] += j.gpus();
                used[2] += j.memoryGb();
            }
        }
    }

    private static final double[] NOTHING_USED = new double[3];

    public StoreView(Catalog catalog, JobCodec codec) {
        this.catalog = catalog;
        this.codec = codec;
        cpusByTeam = new double[catalog.teams.size()];
        gpusByTeam = new double[catalog.teams.size()];
    }

    /** Told of each machine whose claims, or whose claims' jobs, changed. */
    public void onMachineChange(Consumer<String> c) {
        machineListener = c;
    }

    /** Where the time of a step comes from: claims remember when they were first seen. */
    public void steadyClock(LongSupplier steady) {
        steadyClock = steady;
    }

    /** Where a machine's kind comes from when a claim is first seen, and who is told of claims that come and leave. */
    public void setClaimListeners(ToIntFunction<String> kinds, Consumer<Claim> c, ClaimRemovedListener l) {
        machineKindLookup = kinds;
        claimAddedListener = c;
        claimRemovedListener = l;
    }

    /** Every change up to this revision is in. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** The highest revision that anything here tells of: nothing that was told to a user is newer. */
    public long knownRevision() {
        return knownRevision;
    }

    public Cancellations cancellations() {
        return cancellations;
    }

    /** All rows have been read as of this revision, the final states excepted. */
    public void loadCompleted(long revision) {
        cancellations.loadCompleted(revision);
        appliedRevision(revision);
    }

    /** Whether a job is cancelled as far as anybody told us, though its row may not say so here yet. */
    public boolean isCancelled(String id) {
        Job j = jobs.get(id);
        EndedJob e = j == null ? endedJob.get(id) : null;
        return j != null && j.state() == Job.State.CANCELLED || e != null && !e.done() || cancellations.isReported(id);
    }

    /** Another controller tells of cancellations that may be missing here; false if they are too many to be kept. */
    public boolean addReportedCancellations(List<Cancellation> news) {
        boolean all = true;
        for (Cancellation c : news) {
            if (c.revision() <= appliedRevision) {
                continue;
            }
            boolean before = cancellations.isReported(c.job());
            all &= cancellations.addReported(c);
            Job j = jobs.get(c.job());
            if (!before && j != null) {
                notifyMachinesOf(j);
            }
        }
        return all;
    }

    private void notifyMachinesOf(Job j) {
        for (Chunk c : j.chunks) {
            if (c != null) {
                c.claims.values().forEach(x -> machineListener.accept(x.machine()));
            }
        }
    }

    public void appliedRevision(long revision) {
        knownRevision = Math.max(knownRevision, revision);
        if (revision > appliedRevision) {
            appliedRevision = revision;
            cancellations.discardReportedUpTo(revision);
            if (removedVersions.size() > 4096) {
                removedVersions.object2LongEntrySet().removeIf(e -> e.getLongValue() <= appliedRevision);
            }
        }
    }

    /** Counts changes, so that planning can tell whether anything is new. */
    public long changeCount() {
        return changeCount;
    }

    /** The version of a row as known here, 0 if it does not exist. */
    public long version(String key) {
        return versions.getLong(key);
    }

    public Map<String, Object> row(String key) {
        return rows.get(key);
    }

    /** The rows whose keys begin so. */
    public Map<String, Map<String, Object>> rowsUnder(String prefix) {
        return rows.subMap(prefix, prefix + '\uffff');
    }

    public Collection<Job> jobs() {
        return jobs.values();
    }

    public Job job(String id) {
        return jobs.get(id);
    }

    public EndedJob endedJob(String id) {
        return endedJob.get(id);
    }

    /** Whether no ended job has been dropped from memory for want of room. */
    public boolean allEndedJobsKept() {
        return !endedJobsDropped;
    }

    /** Whether a job was accepted whose row can't be read here. */
    public boolean unreadable(String id) {
        return unreadable.contains(id);
    }

    public Map<String, Claim> claims(String machine) {
        MachineClaims on = claimsByMachine.get(machine);
        return on == null ? Map.of() : on.claims;
    }

    /** Cpus, gpus and memory that the records on a machine take; not to be changed. */
    public double[] capacityUsedOn(String machine) {
        MachineClaims on = claimsByMachine.get(machine);
        return on == null ? NOTHING_USED : on.used;
    }

    /** All claims that stand. */
    public int claimCount() {
        return standingClaims;
    }

    /** Claims that are proven gone while their rows still show them. */
    public int releasedClaimCount() {
        return releasedClaims;
    }

    /** Counts changes of rental rows. */
    public long rentalRequestChangeCount() {
        return rentalRequestChanges;
    }

    /** Counts changes of rows that are neither jobs nor placements, so that what is derived from them can be kept. */
    public long otherRowChangeCount() {
        return otherRowChangeCount;
    }

    public Collection<String> claimedMachines() {
        return claimsByMachine.keySet();
    }

    public double claimedCpus(int team) {
        return cpusByTeam[team];
    }

    public double claimedGpus(int team) {
        return gpusByTeam[team];
    }

    public static Map<String, Object> endedJobRow(boolean done, int tasks) {
        return Map.of("s", done ? "done" : "cancelled", "n", tasks);
    }

    /** A row as it stands. One that can't be read is named and left out; the rest is unharmed, and a job stays known. */
    public void put(String key, Object row, long version) {
        if (version <= versions.getLong(key) || version <= removedVersions.getLong(key)) {
            return;
        }
        knownRevision = Math.max(knownRevision, version);
        boolean end = key.startsWith(Keys.ENDED_JOB);
        if (!end) {
            changeCount++;
            versions.put(key, version);
            removedVersions.removeLong(key);
        }
        String job = key.startsWith(Keys.JOB) ? key.substring(Keys.JOB.length()) : null;
        try {
            Map<String, Object> value = Fields.map(row, "value");
            if (end) {
                putEndedJob(key.substring(Keys.ENDED_JOB.length()), readEndedJob(value), version);
            } else if (job != null) {
                putJob(job, value, version);
                unreadable.remove(job);
            } else if (key.startsWith(Keys.PLACEMENT)) {
                putPlacement(key, value);
            } else {
                rows.put(key, value);
                otherRowChangeCount++;
                rentalRequestChanges += key.startsWith(Keys.RENTAL_REQUEST) ? 1 : 0;
            }
        } catch (Fields.InvalidInputException | JobCodec.Never | IllegalArgumentException e) {
            LOG.error("row {} ignored: {}", key, e.getMessage());
            if (job != null && !jobs.containsKey(job)) {
                unreadable.add(job);
            }
        }
    }

    private void putEndedJob(String id, EndedJob e, long version) {
        Job j = jobs.get(id);
        if (!e.done() && (j == null || j.state() != Job.State.CANCELLED)) {
            cancellations.addSeen(id, version);
        }
        endedJob.put(id, e);
    }

    public static EndedJob readEndedJob(Map<String, Object> value) {
        return new EndedJob("done".equals(value.get("s")), (int) Fields.countOr(value, "n", 0));
    }

    public void remove(String key, long version) {
        if (version <= versions.getLong(key)) {
            return;
        }
        knownRevision = Math.max(knownRevision, version);
        changeCount++;
        versions.removeLong(key);
        removedVersions.put(key, Math.max(version, removedVersions.getLong(key)));
        if (key.startsWith(Keys.JOB)) {
            unreadable.remove(key.substring(Keys.JOB.length()));
            Job j = jobs.remove(key.substring(Keys.JOB.length()));
            if (j != null) {
                j.chunks.forEach(c -> updateClaims(c, null));
            }
        } else if (key.startsWith(Keys.PLACEMENT)) {
            orphanedPlacements.remove(key);
            int slash = key.lastIndexOf('/');
            Job j = jobs.get(key.substring(Keys.PLACEMENT.length(), slash));
            if (j != null) {
                int i = Integer.parseInt(key.substring(slash + 1));
                updateClaims(j.chunks.get(i), null);
                j.replaceChunk(i, null);
            }
        } else {
            rows.remove(key);
            otherRowChangeCount++;
            rentalRequestChanges += key.startsWith(Keys.RENTAL_REQUEST) ? 1 : 0;
        }
    }

    /** Drops everything but ended jobs, before the rows are read again. */
    public void clear() {
        versions.clear();
        removedVersions.clear();
        jobs.clear();
        unreadable.clear();
        rows.clear();
        claimsByMachine.clear();
        cancellations.loadStarted();
        standingClaims = 0;
        releasedClaims = 0;
        orphanedPlacements.clear();
        java.util.Arrays.fill(cpusByTeam, 0);
        java.util.Arrays.fill(gpusByTeam, 0);
        appliedRevision = 0;
        changeCount++;
        otherRowChangeCount++;
        rentalRequestChanges++;
    }

    private void putJob(String id, Map<String, Object> value, long version) {
        Job j = jobs.get(id);
        Job.State state = Job.State.valueOf(Fields.text(value, "s"));
        if (state == Job.State.CANCELLED) {
            cancellations.addSeen(id, version);
        }
        if (j != null) {
            j.state(state);
            notifyMachinesOf(j);
            return;
        }
        j = new Job(
                codec.readRow(Fields.map(value.get("j"), "j")),
                (int) Math.max(1, Fields.count(value, "k")),
                Fields.count(value, "t"),
                state,
                version);
        jobs.put(id, j);
        catalog.setImageGb(j.spec.image(), j.spec.imageGb());
        for (int i = 0; i < j.chunks.size(); i++) {
            Map<String, Object> waiting = orphanedPlacements.remove(Keys.placement(id, i));
            if (waiting != null) {
                putPlacement(Keys.placement(id, i), waiting);
            }
        }
    }

    private void putPlacement(String key, Map<String, Object> value) {
        int slash = key.lastIndexOf('/');
        Job j = jobs.get(key.substring(Keys.PLACEMENT.length(), slash));
        if (j == null) {
            orphanedPlacements.put(key, value);
            return;
        }
        int i = Integer.parseInt(key.substring(slash + 1));
        Chunk old = j.chunks.get(i);
        Chunk next = Chunk.fromRow(j, i, value, old);
        updateClaims(old, next);
        j.replaceChunk(i, next);
    }

    /** Counts what one row's place is taken by: only claims that came or went cost anything. */
    private void updateClaims(Chunk old, Chunk next) {
        if (old != null) {
            for (Claim x : old.claims.values()) {
                if (next == null || next.claims.get(x.task()) != x) {
                    removeClaim(x);
                    if (next != null && x.job().state() == Job.State.OPEN) {
                        claimRemovedListener.claimRemoved(x, !next.done.get(x.task() - next.index * x.job().chunkSize));
                    }
                }
            }
        }
        if (next != null) {
            for (Claim x : next.claims.values()) {
                if (old == null || old.claims.get(x.task()) != x) {
                    addClaim(x);
                    claimAddedListener.accept(x);
                }
            }
        }
    }

    private void addClaim(Claim x) {
        JobSpec s = x.job().spec;
        x.markSeen(steadyClock.getAsLong(), machineKindLookup.applyAsInt(x.machine()));
        cpusByTeam[s.team()] += s.cpus();
        gpusByTeam[s.team()] += s.gpus();
        MachineClaims on = claimsByMachine.computeIfAbsent(x.machine(), k -> new MachineClaims());
        standingClaims++;
        on.claims.put(x.taskKey(), x);
        on.recomputeUsed();
        machineListener.accept(x.machine());
    }

    /**
     * A claim's task is proven gone: its room is free and it may be placed anew, though the row still shows it. The mark leaves with
     * the claim, or when the proof can't be written.
     */
    public void markReleased(Job.ReleasedClaim g) {
        Claim c = g.claim();
        Job j = c.job();
        if (jobs.get(j.spec.id()) == j && j.claim(c.task()) == c) {
            // A later proof goes before one whose owner has lost the shard meanwhile.
            releasedClaims += j.released(c.task()) == null ? 1 : 0;
            j.addReleased(g);
            changeCount++;
            recomputeUsedOn(c);
        }
    }

    /** Takes such a mark back. */
    public void unmarkReleased(Claim c) {
        if (c.job().removeReleased(c)) {
            releasedClaims--;
            changeCount++;
            recomputeUsedOn(c);
        }
    }

    private void recomputeUsedOn(Claim c) {
        MachineClaims on = claimsByMachine.get(c.machine());
        if (on != null) {
            on.recomputeUsed();
        }
        machineListener.accept(c.machine());
    }

    private void removeClaim(Claim x) {
        JobSpec s = x.job().spec;
        releasedClaims -= x.job().removeReleased(x) ? 1 : 0;
        standingClaims--;
        cpusByTeam[s.team()] -= s.cpus();
        gpusByTeam[s.team()] -= s.gpus();
        MachineClaims on = claimsByMachine.get(x.machine());
        if (on != null) {
            on.claims.remove(x.taskKey(), x);
            if (on.claims.isEmpty()) {
                claimsByMachine.remove(x.machine());
            } else {
                on.recomputeUsed();
            }
        }
        machineListener.accept(x.machine());
    }

    public Catalog catalog() {
        return catalog;
    }
}
