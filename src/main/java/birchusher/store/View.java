package birchusher.store;

import birchusher.core.Fields;
import birchusher.mesh.PeerRecord.Cancelled;
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
public final class View {
    private static final Logger LOG = LoggerFactory.getLogger(View.class);
    private static final int ENDED_KEPT = 20_000;

    /** How a job ended; {@code done} false means cancelled. */
    public record Ended(boolean done, int tasks) {}

    private final Catalog catalog;
    private final JobCodec codec;
    private final Object2LongOpenHashMap<String> versions = new Object2LongOpenHashMap<>();
    private final Object2LongOpenHashMap<String> removed = new Object2LongOpenHashMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final Map<String, OnMachine> byMachine = new HashMap<>();
    /** Placement rows that came before their job's row (listing order). */
    private final Map<String, Map<String, Object>> orphans = new HashMap<>();

    private final LinkedHashMap<String, Ended> ended = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Ended> e) {
            endedDropped |= size() > ENDED_KEPT;
            return size() > ENDED_KEPT;
        }
    };
    private boolean endedDropped;
    /** Accepted jobs whose rows can't be read, as after a change of the settings: known all the same. */
    private final Set<String> unreadable = new HashSet<>();

    private final double[] cpus;
    private final double[] gpus;
    private final Cancellations cancellations = new Cancellations();
    private long applied;
    private long known;
    private long changes;
    private long asks;
    private long rowChanges;
    private int claimed;
    private int goneMarks;
    private Consumer<String> touched = m -> {};
    private LongSupplier clock = () -> 0;
    private ToIntFunction<String> kindOf = m -> -1;
    private Left left = (c, lost) -> {};
    private Consumer<Claim> came = c -> {};

    /** Told of each claim that leaves its row, and whether its task has still to run. */
    public interface Left {
        void left(Claim c, boolean lost);
    }

    /** The claims on one machine and what they take; the sums are made anew with each change, so nothing drifts. */
    private static final class OnMachine {
        final Map<String, Claim> claims = new LinkedHashMap<>();
        final double[] use = new double[3];

        void sum() {
            use[0] = 0;
            use[1] = 0;
            use[2] = 0;
            for (Claim c : claims.values()) {
                if (c.job().gone(c.task()) != null) {
                    continue;
                }
                JobSpec j = c.job().spec;
                use[0] += j.cpus();
                use[1] += j.gpus();
                use[2] += j.mem();
            }
        }
    }

    private static final double[] NO_USE = new double[3];

    public View(Catalog catalog, JobCodec codec) {
        this.catalog = catalog;
        this.codec = codec;
        cpus = new double[catalog.teams.size()];
        gpus = new double[catalog.teams.size()];
    }

    /** Told of each machine whose claims, or whose claims' jobs, changed. */
    public void onTouched(Consumer<String> c) {
        touched = c;
    }

    /** Where the time of a step comes from: claims remember when they were first seen. */
    public void clock(LongSupplier steady) {
        clock = steady;
    }

    /** Where a machine's kind comes from when a claim is first seen, and who is told of claims that come and leave. */
    public void follow(ToIntFunction<String> kinds, Consumer<Claim> c, Left l) {
        kindOf = kinds;
        came = c;
        left = l;
    }

    /** Every change up to this revision is in. */
    public long applied() {
        return applied;
    }

    /** The highest revision that anything here tells of: nothing that was told to a user is newer. */
    public long known() {
        return known;
    }

    public Cancellations cancellations() {
        return cancellations;
    }

    /** All rows have been read as of this revision, the final states excepted. */
    public void read(long revision) {
        cancellations.read(revision);
        applied(revision);
    }

    /** Whether a job is cancelled as far as anybody told us, though its row may not say so here yet. */
    public boolean cancelled(String id) {
        Job j = jobs.get(id);
        Ended e = j == null ? ended.get(id) : null;
        return j != null && j.state() == Job.State.CANCELLED || e != null && !e.done() || cancellations.toldOf(id);
    }

    /** Another controller tells of cancellations that may be missing here; false if they are too many to be kept. */
    public boolean hear(List<Cancelled> news) {
        boolean all = true;
        for (Cancelled c : news) {
            if (c.revision() <= applied) {
                continue;
            }
            boolean before = cancellations.toldOf(c.job());
            all &= cancellations.hear(c);
            Job j = jobs.get(c.job());
            if (!before && j != null) {
                touchAll(j);
            }
        }
        return all;
    }

    private void touchAll(Job j) {
        for (Chunk c : j.chunks) {
            if (c != null) {
                c.claims.values().forEach(x -> touched.accept(x.machine()));
            }
        }
    }

    public void applied(long revision) {
        known = Math.max(known, revision);
        if (revision > applied) {
            applied = revision;
            cancellations.applied(revision);
            if (removed.size() > 4096) {
                removed.object2LongEntrySet().removeIf(e -> e.getLongValue() <= applied);
            }
        }
    }

    /** Counts changes, so that planning can tell whether anything is new. */
    public long changes() {
        return changes;
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

    public Ended ended(String id) {
        return ended.get(id);
    }

    /** Whether no ended job has been dropped from memory for want of room. */
    public boolean keepsAllEnded() {
        return !endedDropped;
    }

    /** Whether a job was accepted whose row can't be read here. */
    public boolean unreadable(String id) {
        return unreadable.contains(id);
    }

    public Map<String, Claim> claims(String machine) {
        OnMachine on = byMachine.get(machine);
        return on == null ? Map.of() : on.claims;
    }

    /** Cpus, gpus and memory that the records on a machine take; not to be changed. */
    public double[] useOf(String machine) {
        OnMachine on = byMachine.get(machine);
        return on == null ? NO_USE : on.use;
    }

    /** All claims that stand. */
    public int claimCount() {
        return claimed;
    }

    /** Claims that are proven gone while their rows still show them. */
    public int goneCount() {
        return goneMarks;
    }

    /** Counts changes of rental rows. */
    public long askChanges() {
        return asks;
    }

    /** Counts changes of rows that are neither jobs nor placements, so that what is derived from them can be kept. */
    public long rowChanges() {
        return rowChanges;
    }

    public Collection<String> claimedMachines() {
        return byMachine.keySet();
    }

    public double cpusOf(int team) {
        return cpus[team];
    }

    public double gpusOf(int team) {
        return gpus[team];
    }

    public static Map<String, Object> endedRow(boolean done, int tasks) {
        return Map.of("s", done ? "done" : "cancelled", "n", tasks);
    }

    /** A row as it stands. One that can't be read is named and left out; the rest is unharmed, and a job stays known. */
    public void put(String key, Object row, long version) {
        if (version <= versions.getLong(key) || version <= removed.getLong(key)) {
            return;
        }
        known = Math.max(known, version);
        boolean end = key.startsWith(Keys.END);
        if (!end) {
            changes++;
            versions.put(key, version);
            removed.removeLong(key);
        }
        String job = key.startsWith(Keys.JOB) ? key.substring(Keys.JOB.length()) : null;
        try {
            Map<String, Object> value = Fields.map(row, "value");
            if (end) {
                putEnded(key.substring(Keys.END.length()), readEnded(value), version);
            } else if (job != null) {
                putJob(job, value, version);
                unreadable.remove(job);
            } else if (key.startsWith(Keys.PLACE)) {
                putPlace(key, value);
            } else {
                rows.put(key, value);
                rowChanges++;
                asks += key.startsWith(Keys.ASK) ? 1 : 0;
            }
        } catch (Fields.Bad | JobCodec.Never | IllegalArgumentException e) {
            LOG.error("row {} ignored: {}", key, e.getMessage());
            if (job != null && !jobs.containsKey(job)) {
                unreadable.add(job);
            }
        }
    }

    private void putEnded(String id, Ended e, long version) {
        Job j = jobs.get(id);
        if (!e.done() && (j == null || j.state() != Job.State.CANCELLED)) {
            cancellations.saw(id, version);
        }
        ended.put(id, e);
    }

    public static Ended readEnded(Map<String, Object> value) {
        return new Ended("done".equals(value.get("s")), (int) Fields.countOr(value, "n", 0));
    }

    public void remove(String key, long version) {
        if (version <= versions.getLong(key)) {
            return;
        }
        known = Math.max(known, version);
        changes++;
        versions.removeLong(key);
        removed.put(key, Math.max(version, removed.getLong(key)));
        if (key.startsWith(Keys.JOB)) {
            unreadable.remove(key.substring(Keys.JOB.length()));
            Job j = jobs.remove(key.substring(Keys.JOB.length()));
            if (j != null) {
                j.chunks.forEach(c -> swap(c, null));
            }
        } else if (key.startsWith(Keys.PLACE)) {
            orphans.remove(key);
            int slash = key.lastIndexOf('/');
            Job j = jobs.get(key.substring(Keys.PLACE.length(), slash));
            if (j != null) {
                int i = Integer.parseInt(key.substring(slash + 1));
                swap(j.chunks.get(i), null);
                j.chunk(i, null);
            }
        } else {
            rows.remove(key);
            rowChanges++;
            asks += key.startsWith(Keys.ASK) ? 1 : 0;
        }
    }

    /** Drops everything but ended jobs, before the rows are read again. */
    public void clear() {
        versions.clear();
        removed.clear();
        jobs.clear();
        unreadable.clear();
        rows.clear();
        byMachine.clear();
        cancellations.reading();
        claimed = 0;
        goneMarks = 0;
        orphans.clear();
        java.util.Arrays.fill(cpus, 0);
        java.util.Arrays.fill(gpus, 0);
        applied = 0;
        changes++;
        rowChanges++;
        asks++;
    }

    private void putJob(String id, Map<String, Object> value, long version) {
        Job j = jobs.get(id);
        Job.State state = Job.State.valueOf(Fields.text(value, "s"));
        if (state == Job.State.CANCELLED) {
            cancellations.saw(id, version);
        }
        if (j != null) {
            j.state(state);
            touchAll(j);
            return;
        }
        j = new Job(
                codec.readRow(Fields.map(value.get("j"), "j")),
                (int) Math.max(1, Fields.count(value, "k")),
                Fields.count(value, "t"),
                state,
                version);
        jobs.put(id, j);
        catalog.imageSize(j.spec.image(), j.spec.imageGb());
        for (int i = 0; i < j.chunks.size(); i++) {
            Map<String, Object> waiting = orphans.remove(Keys.place(id, i));
            if (waiting != null) {
                putPlace(Keys.place(id, i), waiting);
            }
        }
    }

    private void putPlace(String key, Map<String, Object> value) {
        int slash = key.lastIndexOf('/');
        Job j = jobs.get(key.substring(Keys.PLACE.length(), slash));
        if (j == null) {
            orphans.put(key, value);
            return;
        }
        int i = Integer.parseInt(key.substring(slash + 1));
        Chunk old = j.chunks.get(i);
        Chunk next = Chunk.read(j, i, value, old);
        swap(old, next);
        j.chunk(i, next);
    }

    /** Counts what one row's place is taken by: only claims that came or went cost anything. */
    private void swap(Chunk old, Chunk next) {
        if (old != null) {
            for (Claim x : old.claims.values()) {
                if (next == null || next.claims.get(x.task()) != x) {
                    uncount(x);
                    if (next != null && x.job().state() == Job.State.OPEN) {
                        left.left(x, !next.done.get(x.task() - next.index * x.job().chunkSize));
                    }
                }
            }
        }
        if (next != null) {
            for (Claim x : next.claims.values()) {
                if (old == null || old.claims.get(x.task()) != x) {
                    count(x);
                    came.accept(x);
                }
            }
        }
    }

    private void count(Claim x) {
        JobSpec s = x.job().spec;
        x.seen(clock.getAsLong(), kindOf.applyAsInt(x.machine()));
        cpus[s.team()] += s.cpus();
        gpus[s.team()] += s.gpus();
        OnMachine on = byMachine.computeIfAbsent(x.machine(), k -> new OnMachine());
        claimed++;
        on.claims.put(x.key(), x);
        on.sum();
        touched.accept(x.machine());
    }

    /**
     * A claim's task is proven gone: its room is free and it may be placed anew, though the row still shows it. The mark leaves with
     * the claim, or when the proof can't be written.
     */
    public void gone(Job.Gone g) {
        Claim c = g.claim();
        Job j = c.job();
        if (jobs.get(j.spec.id()) == j && j.claim(c.task()) == c) {
            // A later proof goes before one whose owner has lost the shard meanwhile.
            goneMarks += j.gone(c.task()) == null ? 1 : 0;
            j.mark(g);
            changes++;
            resum(c);
        }
    }

    /** Takes such a mark back. */
    public void notGone(Claim c) {
        if (c.job().unmark(c)) {
            goneMarks--;
            changes++;
            resum(c);
        }
    }

    private void resum(Claim c) {
        OnMachine on = byMachine.get(c.machine());
        if (on != null) {
            on.sum();
        }
        touched.accept(c.machine());
    }

    private void uncount(Claim x) {
        JobSpec s = x.job().spec;
        goneMarks -= x.job().unmark(x) ? 1 : 0;
        claimed--;
        cpus[s.team()] -= s.cpus();
        gpus[s.team()] -= s.gpus();
        OnMachine on = byMachine.get(x.machine());
        if (on != null) {
            on.claims.remove(x.key(), x);
            if (on.claims.isEmpty()) {
                byMachine.remove(x.machine());
            } else {
                on.sum();
            }
        }
        touched.accept(x.machine());
    }

    public Catalog catalog() {
        return catalog;
    }
}
