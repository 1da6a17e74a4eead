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
 * A controller's local copy of the live rows of the state service, and of the final states of ended jobs. Rows carry their versions, so
 * watch events, pages and the controller's own commits may arrive in any order: the newest version of a row wins. The capacity that
 * teams and machines use is always derived from these rows, never counted apart from them.
 *
 * <p>Not thread-safe. Collections that it returns are live and not to be changed by callers.
 */
public final class StoreView {
    private static final Logger LOG = LoggerFactory.getLogger(StoreView.class);
    private static final int MAX_ENDED_JOBS = 20_000;
    private static final long LATE_CHANGE_LOG_INTERVAL_MS = 10_000;

    /** The final state of a job of so many tasks; {@code done} false: it was cancelled. */
    public record EndedJob(boolean done, int tasks) {}

    private final Catalog catalog;
    private final JobCodec codec;
    private final Object2LongOpenHashMap<String> versions = new Object2LongOpenHashMap<>();
    /** Versions of the removals that this view is ahead with: those above {@link #appliedRevision}. */
    private final Object2LongOpenHashMap<String> removedVersions = new Object2LongOpenHashMap<>();

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final Map<String, MachineClaims> claimsByMachine = new HashMap<>();
    /** Placement rows that a listing returned before the row of their job, by key. */
    private final Map<String, Map<String, Object>> orphanedPlacements = new HashMap<>();

    private final LinkedHashMap<String, EndedJob> endedJobs = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EndedJob> eldest) {
            endedJobsEvicted += size() > maxEndedJobs ? 1 : 0;
            return size() > maxEndedJobs;
        }
    };
    private final int maxEndedJobs;
    private long endedJobsEvicted;
    private long lateChanges;
    private long lateChangeLoggedMs = Long.MIN_VALUE / 2;
    /** Ids of accepted jobs whose rows can't be parsed, for example after a change of the settings. */
    private final Set<String> unreadable = new HashSet<>();

    private final double[] cpusByTeam;
    private final double[] gpusByTeam;
    private final Cancellations cancellations = new Cancellations();
    private long appliedRevision;
    private long knownRevision;
    private long changeCount;
    private long rentalRequestChangeCount;
    private long otherRowChangeCount;
    private int totalClaims;
    private int releasedClaimCount;
    private Consumer<String> machineListener = machine -> {};
    private LongSupplier steadyClock = () -> 0;
    private ToIntFunction<String> machineKindLookup = machine -> -1;
    private ClaimRemovedListener claimRemovedListener = (claim, taskRemains) -> {};
    private Consumer<Claim> claimAddedListener = claim -> {};

    /** Notified of claims that leave their placement rows. */
    public interface ClaimRemovedListener {
        /** Called when a new version of its row lacks the claim of an open job; {@code taskRemains}: the task still has to run. */
        void claimRemoved(Claim claim, boolean taskRemains);
    }

    /** The claims on one machine and the capacity they use, recomputed with each change so that rounding errors can't add up. */
    private static final class MachineClaims {
        final Map<String, Claim> claims = new LinkedHashMap<>();
        /** Cpus, gpus and memory in GB. */
        final double[] used = new double[3];

        void recomputeUsed() {
            used[0] = 0;
            used[1] = 0;
            used[2] = 0;
            for (Claim claim : claims.values()) {
                if (claim.job().released(claim.task()) != null) {
                    continue;
                }
                JobSpec spec = claim.job().spec;
                used[0] += spec.cpus();
                used[1] += spec.gpus();
                used[2] += spec.memoryGb();
            }
        }
    }

    private static final double[] NOTHING_USED = new double[3];

    public StoreView(Catalog catalog, JobCodec codec) {
        this(catalog, codec, MAX_ENDED_JOBS);
    }

    /** Creates a view that keeps the final states of at most {@code maxEndedJobs} jobs in memory. */
    public StoreView(Catalog catalog, JobCodec codec, int maxEndedJobs) {
        this.maxEndedJobs = maxEndedJobs;
        this.catalog = catalog;
        this.codec = codec;
        cpusByTeam = new double[catalog.teams.size()];
        gpusByTeam = new double[catalog.teams.size()];
    }

    /** Sets the listener that gets the name of each machine whose claims, or the jobs of whose claims, changed. */
    public void onMachineChange(Consumer<String> listener) {
        machineListener = listener;
    }

    /** Sets the source of the steady time, in ms, at which claims are first seen. */
    public void setSteadyClock(LongSupplier clock) {
        steadyClock = clock;
    }

    /**
     * Sets the listeners for claims that are added and removed.
     *
     * @param kindLookup the kind of a machine for {@link Claim#machineKind}, asked when a claim is first seen; -1: unknown
     */
    public void setClaimListeners(
            ToIntFunction<String> kindLookup, Consumer<Claim> addedListener, ClaimRemovedListener removedListener) {
        machineKindLookup = kindLookup;
        claimAddedListener = addedListener;
        claimRemovedListener = removedListener;
    }

    /** Returns the revision up to which the view holds every change. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** Returns the highest revision of anything in this view: nothing reported to users from this view is newer. */
    public long knownRevision() {
        return knownRevision;
    }

    /** Returns the recent cancellations in this view, and those that other controllers reported. */
    public Cancellations cancellations() {
        return cancellations;
    }

    /** Marks the load of the rows as complete as of this revision, the final states of jobs excepted. */
    public void loadCompleted(long revision) {
        cancellations.loadCompleted(revision);
        appliedRevision(revision);
    }

    /** Returns whether a job is cancelled, in this view or by the report of another controller that is ahead of it. */
    public boolean isCancelled(String id) {
        Job job = jobs.get(id);
        EndedJob ended = job == null ? endedJobs.get(id) : null;
        return job != null && job.state() == Job.State.CANCELLED
                || ended != null && !ended.done()
                || cancellations.isReported(id);
    }

    /** Adds cancellations reported by another controller that this view may lack; returns false if not all could be kept. */
    public boolean addReportedCancellations(List<Cancellation> reported) {
        boolean allKept = true;
        for (Cancellation cancellation : reported) {
            if (cancellation.revision() <= appliedRevision) {
                continue;
            }
            boolean alreadyReported = cancellations.isReported(cancellation.job());
            allKept &= cancellations.addReported(cancellation);
            Job job = jobs.get(cancellation.job());
            if (!alreadyReported && job != null) {
                notifyMachinesOf(job);
            }
        }
        return allKept;
    }

    private void notifyMachinesOf(Job job) {
        for (Chunk chunk : job.chunks) {
            if (chunk != null) {
                chunk.claims.values().forEach(claim -> machineListener.accept(claim.machine()));
            }
        }
    }

    /** Records that the view holds every change up to a revision. */
    public void appliedRevision(long revision) {
        knownRevision = Math.max(knownRevision, revision);
        if (revision > appliedRevision) {
            appliedRevision = revision;
            cancellations.discardReportedUpTo(revision);
            removedVersions.object2LongEntrySet().removeIf(entry -> entry.getLongValue() <= appliedRevision);
        }
    }

    /** Returns a number that rises with each change of the view, by which planning detects that something has changed. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns the version of a live row in this view, 0 if there is none. */
    public long version(String key) {
        return versions.getLong(key);
    }

    /** Returns a row that is neither a job nor a placement, or null. */
    public Map<String, Object> row(String key) {
        return rows.get(key);
    }

    /** Returns the rows, without jobs and placements, whose keys start with a prefix. */
    public Map<String, Map<String, Object>> rowsUnder(String prefix) {
        return rows.subMap(prefix, prefix + '\uffff');
    }

    /** Returns the jobs that have live rows, also those done or cancelled that have not been moved to the ended jobs yet. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** Returns a job that has a live row, or null. */
    public Job job(String id) {
        return jobs.get(id);
    }

    /** Returns the final state of a job if it is in memory, or null. */
    public EndedJob endedJob(String id) {
        return endedJobs.get(id);
    }

    /** Returns the counters for the log: final states in memory, those evicted from it, changes that arrived late. */
    public String logText() {
        return "ended=" + endedJobs.size() + " ended_evicted=" + endedJobsEvicted + " late_changes=" + lateChanges;
    }

    /** Returns whether no final state has been evicted from memory. */
    public boolean allEndedJobsKept() {
        return endedJobsEvicted == 0;
    }

    /** Returns whether this is an accepted job whose row can't be parsed. */
    public boolean isUnreadable(String id) {
        return unreadable.contains(id);
    }

    /** Returns the claims on a machine by task key, released ones included; not to be changed. */
    public Map<String, Claim> claims(String machine) {
        MachineClaims machineClaims = claimsByMachine.get(machine);
        return machineClaims == null ? Map.of() : machineClaims.claims;
    }

    /** Returns the cpus, gpus and memory (GB) that the claims on a machine use, without released ones; not to be changed. */
    public double[] capacityUsedOn(String machine) {
        MachineClaims machineClaims = claimsByMachine.get(machine);
        return machineClaims == null ? NOTHING_USED : machineClaims.used;
    }

    /** Returns the number of claims in all rows. */
    public int claimCount() {
        return totalClaims;
    }

    /** Returns the number of claims whose tasks are proven gone while their rows still hold them. */
    public int releasedClaimCount() {
        return releasedClaimCount;
    }

    /** Returns a number that rises with each change of rental request rows. */
    public long rentalRequestChangeCount() {
        return rentalRequestChangeCount;
    }

    /** Returns a number that rises with each change of rows other than jobs and placements, so that values derived from them can be cached. */
    public long otherRowChangeCount() {
        return otherRowChangeCount;
    }

    /** Returns the machines that have claims. */
    public Collection<String> claimedMachines() {
        return claimsByMachine.keySet();
    }

    /** Returns the cpus in all claims of a team, given by its index. */
    public double claimedCpus(int team) {
        return cpusByTeam[team];
    }

    /** Returns the gpus in all claims of a team, given by its index. */
    public double claimedGpus(int team) {
        return gpusByTeam[team];
    }

    /** Returns the row that stores the final state of a job. */
    public static Map<String, Object> endedJobRow(boolean done, int tasks) {
        return Map.of("s", done ? "done" : "cancelled", "n", tasks);
    }

    /**
     * Stores a version of a row unless a newer one is known, or the view holds every change up to that version already. A row that
     * can't be parsed is logged and ignored; a job whose row can't be parsed still counts as accepted, see {@link #isUnreadable}.
     */
    public void put(String key, Object row, long version) {
        boolean isEndedJob = key.startsWith(Keys.ENDED_JOB);
        if (version <= versions.getLong(key)
                || version <= removedVersions.getLong(key)
                || !isEndedJob && isSuperseded(key, version)) {
            return;
        }
        knownRevision = Math.max(knownRevision, version);
        if (!isEndedJob) {
            changeCount++;
            versions.put(key, version);
            removedVersions.removeLong(key);
        }
        String jobId = key.startsWith(Keys.JOB) ? key.substring(Keys.JOB.length()) : null;
        try {
            Map<String, Object> value = Fields.map(row, "value");
            if (isEndedJob) {
                putEndedJob(key.substring(Keys.ENDED_JOB.length()), readEndedJob(value), version);
            } else if (jobId != null) {
                putJob(jobId, value, version);
                unreadable.remove(jobId);
            } else if (key.startsWith(Keys.PLACEMENT)) {
                putPlacement(key, value);
            } else {
                rows.put(key, value);
                otherRowChangeCount++;
                rentalRequestChangeCount += key.startsWith(Keys.RENTAL_REQUEST) ? 1 : 0;
            }
        } catch (Fields.InvalidInputException | JobCodec.UnrunnableJobException | IllegalArgumentException e) {
            LOG.error("state row {} ignored: {}", key, e.getMessage());
            if (jobId != null && !jobs.containsKey(jobId)) {
                unreadable.add(jobId);
            }
        }
    }

    /**
     * Whether the view holds this change of a live row, or a later one, already. Responses may overtake each other, and what an
     * overtaken one holds may have been removed since.
     */
    private boolean isSuperseded(String key, long version) {
        if (version > appliedRevision) {
            return false;
        }
        lateChanges++;
        if (steadyClock.getAsLong() - lateChangeLoggedMs >= LATE_CHANGE_LOG_INTERVAL_MS) {
            lateChangeLoggedMs = steadyClock.getAsLong();
            LOG.info("late change of a row ignored key={} version={} applied={}", key, version, appliedRevision);
        }
        return true;
    }

    private void putEndedJob(String id, EndedJob ended, long version) {
        Job job = jobs.get(id);
        if (!ended.done() && (job == null || job.state() != Job.State.CANCELLED)) {
            cancellations.addSeen(id, version);
        }
        endedJobs.put(id, ended);
    }

    /** Parses the row that stores the final state of a job. */
    public static EndedJob readEndedJob(Map<String, Object> value) {
        return new EndedJob("done".equals(value.get("s")), (int) Fields.countOr(value, "n", 0));
    }

    /** Removes a row as of a version, unless a newer one is known. */
    public void remove(String key, long version) {
        if (version <= versions.getLong(key) || isSuperseded(key, version)) {
            return;
        }
        knownRevision = Math.max(knownRevision, version);
        changeCount++;
        versions.removeLong(key);
        removedVersions.put(key, Math.max(version, removedVersions.getLong(key)));
        if (key.startsWith(Keys.JOB)) {
            unreadable.remove(key.substring(Keys.JOB.length()));
            Job job = jobs.remove(key.substring(Keys.JOB.length()));
            if (job != null) {
                job.chunks.forEach(chunk -> updateClaims(chunk, null));
            }
        } else if (key.startsWith(Keys.PLACEMENT)) {
            orphanedPlacements.remove(key);
            int slash = key.lastIndexOf('/');
            Job job = jobs.get(key.substring(Keys.PLACEMENT.length(), slash));
            if (job != null) {
                int index = Integer.parseInt(key.substring(slash + 1));
                updateClaims(job.chunks.get(index), null);
                job.replaceChunk(index, null);
            }
        } else {
            rows.remove(key);
            otherRowChangeCount++;
            rentalRequestChangeCount += key.startsWith(Keys.RENTAL_REQUEST) ? 1 : 0;
        }
    }

    /** Clears everything but ended jobs, before the rows are loaded again. */
    public void clear() {
        versions.clear();
        removedVersions.clear();
        jobs.clear();
        unreadable.clear();
        rows.clear();
        claimsByMachine.clear();
        cancellations.loadStarted();
        totalClaims = 0;
        releasedClaimCount = 0;
        orphanedPlacements.clear();
        java.util.Arrays.fill(cpusByTeam, 0);
        java.util.Arrays.fill(gpusByTeam, 0);
        appliedRevision = 0;
        changeCount++;
        otherRowChangeCount++;
        rentalRequestChangeCount++;
    }

    private void putJob(String id, Map<String, Object> value, long version) {
        Job job = jobs.get(id);
        Job.State state = Job.State.valueOf(Fields.text(value, "s"));
        if (state == Job.State.CANCELLED) {
            cancellations.addSeen(id, version);
        }
        if (job != null) {
            job.state(state);
            notifyMachinesOf(job);
            return;
        }
        job = new Job(
                codec.decodeRow(Fields.map(value.get("j"), "j")),
                (int) Math.max(1, Fields.count(value, "k")),
                Fields.count(value, "t"),
                state,
                version);
        jobs.put(id, job);
        catalog.setImageGb(job.spec.image(), job.spec.imageGb());
        for (int i = 0; i < job.chunks.size(); i++) {
            Map<String, Object> orphan = orphanedPlacements.remove(Keys.placement(id, i));
            if (orphan != null) {
                putPlacement(Keys.placement(id, i), orphan);
            }
        }
    }

    private void putPlacement(String key, Map<String, Object> value) {
        int slash = key.lastIndexOf('/');
        Job job = jobs.get(key.substring(Keys.PLACEMENT.length(), slash));
        if (job == null) {
            orphanedPlacements.put(key, value);
            return;
        }
        int index = Integer.parseInt(key.substring(slash + 1));
        Chunk previous = job.chunks.get(index);
        Chunk next = Chunk.fromRow(job, index, value, previous);
        next.readAt(versions.getLong(key), previous);
        updateClaims(previous, next);
        job.replaceChunk(index, next);
    }

    /** Updates the counts for a placement row that is replaced. Claims in both versions are skipped, to keep updates cheap. */
    private void updateClaims(Chunk previous, Chunk next) {
        if (previous != null) {
            for (Claim claim : previous.claims.values()) {
                if (next == null || next.claims.get(claim.task()) != claim) {
                    removeClaim(claim);
                    if (next != null && claim.job().state() == Job.State.OPEN) {
                        claimRemovedListener.claimRemoved(
                                claim, !next.done.get(claim.task() - next.index * claim.job().chunkSize));
                    }
                }
            }
        }
        if (next != null) {
            for (Claim claim : next.claims.values()) {
                if (previous == null || previous.claims.get(claim.task()) != claim) {
                    addClaim(claim);
                    claimAddedListener.accept(claim);
                }
            }
        }
    }

    private void addClaim(Claim claim) {
        JobSpec spec = claim.job().spec;
        claim.markSeen(steadyClock.getAsLong(), machineKindLookup.applyAsInt(claim.machine()));
        cpusByTeam[spec.team()] += spec.cpus();
        gpusByTeam[spec.team()] += spec.gpus();
        MachineClaims machineClaims = claimsByMachine.computeIfAbsent(claim.machine(), key -> new MachineClaims());
        totalClaims++;
        machineClaims.claims.put(claim.taskKey(), claim);
        machineClaims.recomputeUsed();
        machineListener.accept(claim.machine());
    }

    /**
     * Marks a claim whose task is proven gone: its capacity is free and the task may be placed again, though the row still holds the
     * claim. The mark is removed with the claim, or by {@link #unmarkReleased} if the proof can't be written.
     */
    public void markReleased(Job.ReleasedClaim released) {
        Claim claim = released.claim();
        Job job = claim.job();
        if (jobs.get(job.spec.id()) == job && job.claim(claim.task()) == claim) {
            // A later proof replaces an earlier one, whose owner may have lost the shard since.
            releasedClaimCount += job.released(claim.task()) == null ? 1 : 0;
            job.addReleased(released);
            changeCount++;
            recomputeUsedOn(claim);
        }
    }

    /** Removes the mark of {@link #markReleased}, if it is set. */
    public void unmarkReleased(Claim claim) {
        if (claim.job().removeReleased(claim)) {
            releasedClaimCount--;
            changeCount++;
            recomputeUsedOn(claim);
        }
    }

    private void recomputeUsedOn(Claim claim) {
        MachineClaims machineClaims = claimsByMachine.get(claim.machine());
        if (machineClaims != null) {
            machineClaims.recomputeUsed();
        }
        machineListener.accept(claim.machine());
    }

    private void removeClaim(Claim claim) {
        JobSpec spec = claim.job().spec;
        releasedClaimCount -= claim.job().removeReleased(claim) ? 1 : 0;
        totalClaims--;
        cpusByTeam[spec.team()] -= spec.cpus();
        gpusByTeam[spec.team()] -= spec.gpus();
        MachineClaims machineClaims = claimsByMachine.get(claim.machine());
        if (machineClaims != null) {
            machineClaims.claims.remove(claim.taskKey(), claim);
            if (machineClaims.claims.isEmpty()) {
                claimsByMachine.remove(claim.machine());
            } else {
                machineClaims.recomputeUsed();
            }
        }
        machineListener.accept(claim.machine());
    }

    /** Returns the catalog of teams, zones, machine types and images. */
    public Catalog catalog() {
        return catalog;
    }
}
