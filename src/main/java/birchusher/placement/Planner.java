package birchusher.placement;

import birchusher.lease.EstimateBias;
import birchusher.lease.LeaseSettings;
import birchusher.lease.LossRates;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.recovery.LostTasks;
import birchusher.settings.Settings;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreView;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;

/**
 * Works out, for all jobs in one global order, where each waiting task would go. Every controller computes the same
 * order, acts only on the jobs it drives, and so leaves room for the jobs ahead of its own.
 */
public final class Planner {
    /** A task and where it goes. */
    public record Choice(Job job, int task, Slot slot, double delayMs) {
        /** "Soon" again, though the job has waited for as long as that already: others came for the room that freed. */
        boolean overdue(long wall) {
            return !slot.real && !slot.booting() && wall - job.acceptedAtMs > slot.type.soonMs();
        }
    }

    /** Tasks of a job that found no room, not even soon. */
    public record Unplaced(Job job, int tasks, boolean guaranteed) {}

    /** {@code work} counts the slots looked at, so that planning can be paced by what it costs. */
    public record Plan(
            List<Choice> choices,
            List<Unplaced> unplaced,
            Set<String> guaranteed,
            long speedLimited,
            long work,
            List<Slot> booting) {
        /**
         * What machines should be bought for: tasks without room, and those that keep being planned to room that frees soon,
         * less what the machines that boot already have room for. Without the second, hundreds of tasks once waited for
         * minutes, always "soon" placed, as new work came for all the room that freed.
         */
        public List<Unplaced> wanted(long wall) {
            List<Unplaced> l = new ArrayList<>(unplaced);
            Map<Job, Integer> overdue = new LinkedHashMap<>();
            Map<Slot, Slot.Mark> taken = new LinkedHashMap<>();
            for (Choice c : choices) {
                if (c.overdue(wall)) {
                    Slot coming = null;
                    for (Slot s : booting) {
                        if (s.fits(c.job().spec) && s.allows(c.job().spec)) {
                            coming = s;
                            break;
                        }
                    }
                    if (coming == null) {
                        overdue.merge(c.job(), 1, Integer::sum);
                    } else {
                        taken.putIfAbsent(coming, coming.mark());
                        coming.take(c.job().spec);
                    }
                }
            }
            taken.forEach(Slot::reset);
            overdue.forEach((j, n) -> l.add(new Unplaced(j, n, guaranteed.contains(j.spec.id()))));
            return l;
        }
    }

    /** What this controller has under way, asked for once per job. */
    public interface Marks {
        /** Which tasks of a job are offered or being claimed already; null: none. */
        IntPredicate held(String job);

        /** Machines that lately refused a job; null: none. */
        Set<String> refused(String job);

        /** Whether a job backs off. */
        boolean paused(Job j);

        /** Whether a job has only failed so far: then one task at a time shows whether it still does. */
        boolean doubted(Job j);

        /**
         * Whether a machine reports in a session later than the given one and is only not usable yet: its worker has still to show
         * its owner's term.
         */
        default boolean returning(String machine, long session) {
            return false;
        }
    }

    /** A need that found no room; whatever needs as much and is allowed no more finds none either. */
    private record Misfit(JobSpec j) {
        boolean covers(JobSpec o) {
            return o.cpus() >= j.cpus()
                    && o.gpus() >= j.gpus()
                    && o.mem() >= j.mem()
                    && (j.spot() || !o.spot())
                    && (j.zone() < 0 || j.zone() == o.zone())
                    && (j.types() == null || Arrays.equals(j.types(), o.types()));
        }
    }

    private final Catalog catalog;
    private final StoreView view;
    private final EstimateBias speeds;
    private final LossRates hazards;
    private final LostTasks losses;
    private final RestorePlanner restores;
    private static final double DEFAULT_DUE_S = 600;
    /** Batch work that slows down fetches mostly holds up several tasks, often replicas. */
    private static final double HARM = 1.5;
    /** A start may be this much later on a fuller machine, as an empty one can be returned. */
    private static final double PACK_MS = 2_500;
    /** By how many times the time that a job would take all machines it counts as due later. */
    private static final double SIZE_WEIGHT = 10;
    /** So many tasks of a job are given places in one plan: more than are offered before the next. Tens of thousands cost more than all others. */
    private static final int MAX_CHOSEN = 1_000;

    private final LeaseSettings terms;
    /** By when, in s, a job is to begin whatever its size, where no aim of its class says so. */
    private final double beginByS;
    /** What a class's jobs should keep: to have started, or to be complete, so long after their submission. */
    private record Aim(boolean start, double withinS) {}

    private final Int2ObjectOpenHashMap<List<Aim>> aims = new Int2ObjectOpenHashMap<>();

    public Planner(
            Catalog catalog,
            StoreView view,
            EstimateBias speeds,
            LossRates hazards,
            LostTasks losses,
            LeaseSettings terms,
            List<Settings.Objective> objectives,
            double beginByS) {
        this.beginByS = beginByS;
        this.catalog = catalog;
        this.view = view;
        this.speeds = speeds;
        this.hazards = hazards;
        this.losses = losses;
        restores = new RestorePlanner(losses);
        this.terms = terms;
        for (Settings.Objective o : objectives) {
            boolean start = o.kind().equals("wait");
            if (o.cls() != null && (start || o.kind().equals("finished"))) {
                aims.computeIfAbsent(catalog.classes.add(o.cls()), c -> new ArrayList<>())
                        .add(new Aim(start, o.withinS()));
            }
        }
    }

    public double expectedS(JobSpec j) {
        return j.estimateS() * speeds.bias(j.cls());
    }

    /** Ids of the open jobs that lie within their team's guarantee together with the team's earlier unfinished jobs. */
    public Set<String> guaranteed() {
        double[][] sum = new double[catalog.teams.size()][2];
        List<Job> byAge = new ArrayList<>(view.jobs());
        byAge.sort((a, b) -> Long.compare(a.acceptedRevision, b.acceptedRevision));
        Set<String> in = new HashSet<>();
        for (Job j : byAge) {
            if (j.state() != Job.State.OPEN) {
                continue;
            }
            int left = j.spec.tasks() - j.doneCount();
            double[] s = sum[j.spec.team()];
            s[0] += left * j.spec.cpus();
            s[1] += left * j.spec.gpus();
            if (catalog.guaranteed(j.spec.team(), s[0], s[1])) {
                in.add(j.spec.id());
            }
        }
        return in;
    }

    /**
     * The next moment by which a job's tasks have to start if it is to keep its deadline or one of its class's aims. -1 if
     * none can be kept any more: such a job makes way for those that can still be in time.
     */
    private long startBy(Job j, long wall) {
        long run = Math.round(expectedS(j.spec) * 800);
        long next = Long.MAX_VALUE;
        boolean any = false;
        List<Aim> list = aims.get(j.spec.cls());
        for (int i = -1; i < (list == null ? 0 : list.size()); i++) {
            double s = i < 0 ? j.spec.deadlineS() : list.get(i).withinS;
            if (s > 0) {
                any = true;
                long at = j.acceptedAtMs + Math.round(s * 1000) - (i >= 0 && list.get(i).start ? 0 : run);
                next = at >= wall ? Math.min(next, at) : next;
            }
        }
        if (!any || j.spec.service() && next == Long.MAX_VALUE) {
            return j.acceptedAtMs + Math.round(DEFAULT_DUE_S * 1000);
        }
        return next == Long.MAX_VALUE ? -1 : next;
    }

    /** How much later a job may start and still keep its next aim; without end if there is none that it can keep. */
    double spareMs(Job j, long wall) {
        long by = startBy(j, wall);
        return by < 0 ? Double.MAX_VALUE : by - wall;
    }

    private static boolean waits(Job j) {
        return j.state() == Job.State.OPEN && j.doneCount() + j.placedCount() < j.spec.tasks();
    }

    /** Whether any task has no place yet. */
    boolean anyWaiting() {
        for (Job j : view.jobs()) {
            if (waits(j)) {
                return true;
            }
        }
        return false;
    }

    /**
     * A large job counts as due later. When more is due than can be done in time, strictly by due time everybody is late; whoever
     * gives way should be the one for whose work many others can be in time. That ages away, for large ones as for those that can
     * keep no aim any more: what has not begun by {@code latest} was due then. Without this, under steady load the largest never began.
     */
    private static long rank(long startBy, double drainMs, long latest, long wall) {
        if (wall >= latest) {
            return startBy < 0 ? latest : Math.min(startBy, latest);
        }
        return startBy < 0 ? startBy : startBy + Math.round(SIZE_WEIGHT * drainMs);
    }

    /** When a job is due at the latest whatever its size: by the last aim for its class's starts, or the operators' property. */
    private long latest(Job j) {
        if (j.hasStarted()) {
            return Long.MAX_VALUE;
        }
        double s = 0;
        for (Aim a : aims.getOrDefault(j.spec.cls(), List.of())) {
            s = a.start ? Math.max(s, a.withinS) : s;
        }
        return j.acceptedAtMs + Math.round(1000 * (s > 0 ? Math.min(s, beginByS) : beginByS));
    }

    /** For how long all machines together would be busy with what is left of a job, in ms. */
    private double drainMs(Job j, double cpus, double gpus) {
        int left = j.spec.tasks() - j.doneCount();
        double each = Math.max(cpus > 0 ? j.spec.cpus() / cpus : 0, gpus > 0 ? j.spec.gpus() / gpus : 0);
        return j.spec.service() ? 0 : left * each * expectedS(j.spec) * 1000;
    }

    private List<Ranked> order(List<Slot> slots, Set<String> guaranteed, long wall) {
        double cpus = 0;
        double gpus = 0;
        for (Slot s : slots) {
            cpus += s.real ? s.type.cpus() : 0;
            gpus += s.real ? s.type.gpus() : 0;
        }
        List<Ranked> ranked = new ArrayList<>();
        for (Job j : view.jobs()) {
            if (waits(j)) {
                Ranked r = new Ranked(
                        j,
                        j.spec.priority() == Priority.PRODUCTION,
                        guaranteed.contains(j.spec.id()),
                        false,
                        rank(startBy(j, wall), drainMs(j, cpus, gpus), latest(j), wall));
                ranked.add(r);
                if (losses.hasLostTasks(j.spec.id())) {
                    ranked.add(new Ranked(j, r.production, r.guaranteed, true, r.startBy));
                }
            }
        }
        ranked.sort(Planner::compare);
        return ranked;
    }

    /** {@code back}: only the tasks that their workers dropped, and only where they ran. */
    private record Ranked(Job job, boolean production, boolean guaranteed, boolean back, long startBy) {}

    private static int compare(Ranked a, Ranked b) {
        // Production goes before guarantees: a replica beyond its team's guarantee must not starve behind batch work.
        if (a.production != b.production) {
            return a.production ? -1 : 1;
        }
        if (a.guaranteed != b.guaranteed) {
            return a.guaranteed ? -1 : 1;
        }
        int p = a.job.spec.priority().compareTo(b.job.spec.priority());
        if (p != 0) {
            return p;
        }
        if (a.back != b.back) {
            // It starts at once where it ran; given to others first, its room waits for their images, and it for
            // another room and image.
            return a.back ? -1 : 1;
        }
        if (a.startBy < 0 != b.startBy < 0) {
            return a.startBy < 0 ? 1 : -1;
        }
        return a.startBy != b.startBy
                ? Long.compare(a.startBy, b.startBy)
                : Long.compare(a.job.acceptedRevision, b.job.acceptedRevision);
    }

    /**
     * @param now steady time, for what has been seen of losses
     * @param wall time of day, for due times
     * @param underway tasks offered or being claimed, with their machines
     */
    public Plan plan(List<Slot> all, Marks marks, List<Choice> underway, long now, long wall) {
        risks(now);
        Set<String> guaranteed = guaranteed();
        List<Choice> choices = new ArrayList<>();
        List<Unplaced> unplaced = new ArrayList<>();
        List<Misfit> misfits = new ArrayList<>();
        double[][] use = new double[catalog.teams.size()][2];
        long limited = 0;
        for (int t = 0; t < use.length; t++) {
            use[t][0] = view.claimedCpus(t);
            use[t][1] = view.claimedGpus(t);
        }
        List<Ranked> order = order(all, guaranteed, wall);
        Slot[] slots = withRoom(all, order);
        Map<String, List<Choice>> underwayOf = new HashMap<>();
        underway.forEach(c -> underwayOf
                .computeIfAbsent(c.job().spec.id(), k -> new ArrayList<>())
                .add(c));
        work = all.size();
        Map<Alike, Candidates> alike = new HashMap<>();
        Map<String, Set<Integer>> back = new HashMap<>();
        restores.begin(all, marks, now);
        for (Ranked r : order) {
            Job j = r.job;
            JobSpec s = j.spec;
            if (marks.paused(j)) {
                continue;
            }
            IntPredicate held = marks.held(s.id());
            Set<String> refused = marks.refused(s.id());
            if (r.back) {
                List<Choice> home = restores.plan(
                        j,
                        held,
                        refused,
                        zones(j, underwayOf.getOrDefault(s.id(), List.of())),
                        n -> overLimit(s, use[s.team()], n));
                home.forEach(
                        c -> back.computeIfAbsent(s.id(), k -> new HashSet<>()).add(c.task()));
                choices.addAll(home);
                use[s.team()][0] += home.size() * s.cpus();
                use[s.team()][1] += home.size() * s.gpus();
                continue;
            }
            Set<Integer> isBack = back.getOrDefault(s.id(), Set.of());
            if (s.gang()) {
                if (j.placedCount() > 0
                        || !isBack.isEmpty()
                        || held != null && held.test(0)
                        || restores.awaited(s.id(), 0)) {
                    continue;
                }
                List<Choice> gang = hopeless(s, misfits) ? null : gang(j, slots, refused, use[s.team()]);
                if (gang != null) {
                    choices.addAll(gang);
                    use[s.team()][0] += s.tasks() * s.cpus();
                    use[s.team()][1] += s.tasks() * s.gpus();
                } else if (!overLimit(s, use[s.team()], s.tasks())) {
                    unplaced.add(new Unplaced(j, s.tasks(), r.guaranteed));
                }
                continue;
            }
            Map<Integer, Integer> zones = zones(j, underwayOf.getOrDefault(s.id(), List.of()));
            for (Choice c : isBack.isEmpty() ? List.<Choice>of() : choices) {
                if (c.job() == j) {
                    zones.merge(c.slot().zone, 1, Integer::sum);
                }
            }
            Candidates candidates = null;
            int missing = 0;
            int placed = 0;
            int chosen = 0;
            boolean doubted = marks.doubted(j);
            for (int task = 0; task < s.tasks(); task++) {
                if (j.isDone(task) || j.isPlaced(task)) {
                    continue;
                }
                if (held != null && held.test(task) || isBack.contains(task) || restores.awaited(s.id(), task)) {
                    // On its way already: not to be bought for.
                    placed++;
                    continue;
                }
                if (overLimit(s, use[s.team()], 1) || doubted && placed + j.placedCount() > 0 || chosen >= MAX_CHOSEN) {
                    break;
                }
                Slot slot = null;
                if (s.spread() || s.oneZone()) {
                    slot = hopeless(s, misfits) ? null : best(j, slots, zones, -1, refused);
                } else {
                    if (candidates == null && !hopeless(s, misfits)) {
                        candidates = refused == null
                                ? alike.computeIfAbsent(Alike.of(s), k -> new Candidates(j, slots, refused))
                                : new Candidates(j, slots, refused);
                        candidates.serve(j);
                    }
                    slot = candidates == null ? null : candidates.best();
                    if (slot == null && refused == null) {
                        misfits.add(new Misfit(s));
                    }
                }
                if (slot == null) {
                    // Its tasks are all alike: the rest finds no room either, and need not be looked at one by one.
                    missing = withinLimit(
                            s, use[s.team()], doubted ? 1 : s.tasks() - j.doneCount() - j.placedCount() - placed);
                    use[s.team()][0] += missing * s.cpus();
                    use[s.team()][1] += missing * s.gpus();
                    break;
                }
                placed++;
                chosen++;
                use[s.team()][0] += s.cpus();
                use[s.team()][1] += s.gpus();
                if (!terms.fitsCap(s, expectedS(s), slot.speed)) {
                    limited++;
                }
                double delay = slot.startDelay(s);
                slot.take(s);
                zones.merge(slot.zone, 1, Integer::sum);
                if (candidates != null) {
                    candidates.taken();
                }
                choices.add(new Choice(j, task, slot, delay));
            }
            if (missing > 0) {
                unplaced.add(new Unplaced(j, missing, r.guaranteed));
            }
        }
        return new Plan(
                choices,
                unplaced,
                guaranteed,
                limited,
                work,
                all.stream().filter(Slot::booting).toList());
    }

    private long work;

    /** Why the last plan sent a dropped task elsewhere than where it ran; null if it was not dropped lately or goes back. */
    RestorePlanner.Obstacle obstacle(Choice choice) {
        return restores.obstacle(choice.job().spec.id(), choice.task());
    }

    private static boolean hopeless(JobSpec s, List<Misfit> misfits) {
        for (Misfit m : misfits) {
            if (m.covers(s)) {
                return true;
            }
        }
        return false;
    }

    /** Only slots that could take the smallest waiting task: full machines are most of a busy fleet. */
    private static Slot[] withRoom(List<Slot> all, List<Ranked> order) {
        double cpus = Double.MAX_VALUE;
        double gpus = Double.MAX_VALUE;
        double mem = Double.MAX_VALUE;
        for (Ranked r : order) {
            cpus = Math.min(cpus, r.job.spec.cpus());
            gpus = Math.min(gpus, r.job.spec.gpus());
            mem = Math.min(mem, r.job.spec.mem());
        }
        List<Slot> l = new ArrayList<>();
        for (Slot s : all) {
            if (s.cpus + Catalog.EPS >= cpus && s.gpus + Catalog.EPS >= gpus && s.mem + Catalog.EPS >= mem) {
                l.add(s);
            }
        }
        return l.toArray(new Slot[0]);
    }

    private static final Map<Integer, Integer> NO_ZONES = Map.of();
    /** A difference in delay that is not worth looking at all slots again. */
    private static final double SAME_MS = 500;

    /**
     * Jobs that need and may use the same: all of a swarm. Each looked at every slot by itself, and plans came seconds apart for
     * everybody. Estimates count by their power of two.
     */
    private record Alike(
            int cls,
            int image,
            double cpus,
            double gpus,
            double mem,
            List<Integer> types,
            int zone,
            boolean spot,
            Priority priority,
            double checkpointS,
            int estimate) {
        static Alike of(JobSpec s) {
            return new Alike(
                    s.cls(),
                    s.image(),
                    s.cpus(),
                    s.gpus(),
                    s.mem(),
                    s.types() == null ? null : Arrays.stream(s.types()).boxed().toList(),
                    s.zone(),
                    s.spot(),
                    s.priority(),
                    s.checkpointS(),
                    Math.getExponent(s.estimateS()));
        }
    }

    /** The slots one job, or several alike, may use, best first. Taking a task changes only its own slot's score, so a heap serves all tasks. */
    private final class Candidates {
        private Job job;
        private final Slot[] slots;
        private final double[] scores;
        private int n;

        Candidates(Job j, Slot[] all, Set<String> refused) {
            job = j;
            slots = new Slot[all.length];
            scores = new double[all.length];
            work += all.length;
            for (Slot s : all) {
                if (s.fits(j.spec) && s.allows(j.spec) && (refused == null || !refused.contains(s.machine))) {
                    slots[n] = s;
                    scores[n++] = score(j, s, NO_ZONES);
                }
            }
            for (int i = n / 2 - 1; i >= 0; i--) {
                down(i);
            }
        }

        /** Another job like the first. Others have taken room meanwhile: what comes first is looked at again before it is given. */
        void serve(Job j) {
            if (j == job) {
                return;
            }
            job = j;
            while (n > 0) {
                work++;
                if (!slots[0].fits(job.spec)) {
                    drop();
                } else {
                    double before = scores[0];
                    scores[0] = score(job, slots[0], NO_ZONES);
                    if (scores[0] <= before + SAME_MS) {
                        return;
                    }
                }
                down(0);
            }
        }

        private void drop() {
            n--;
            slots[0] = slots[n];
            scores[0] = scores[n];
        }

        Slot best() {
            return n == 0 ? null : slots[0];
        }

        void taken() {
            work++;
            if (slots[0].fits(job.spec)) {
                scores[0] = score(job, slots[0], NO_ZONES);
            } else {
                drop();
            }
            down(0);
            while (n > 0 && !slots[0].fits(job.spec)) {
                // Taken by others since the first of several jobs alike looked.
                drop();
                down(0);
            }
        }

        private void down(int from) {
            int i = from;
            while (2 * i + 1 < n) {
                int c = 2 * i + 1;
                if (c + 1 < n && scores[c + 1] < scores[c]) {
                    c++;
                }
                if (scores[i] <= scores[c]) {
                    return;
                }
                Slot s = slots[i];
                double d = scores[i];
                slots[i] = slots[c];
                scores[i] = scores[c];
                slots[c] = s;
                scores[c] = d;
                i = c;
            }
        }
    }

    /** How many of n more tasks a team's limit allows. */
    private int withinLimit(JobSpec s, double[] use, int n) {
        double most = n;
        double cpusMax = catalog.team(s.team()).cpusMax();
        double gpusMax = catalog.team(s.team()).gpusMax();
        if (cpusMax > 0 && s.cpus() > 0) {
            most = Math.min(most, (cpusMax - use[0] + Catalog.EPS) / s.cpus());
        }
        if (gpusMax > 0 && s.gpus() > 0) {
            most = Math.min(most, (gpusMax - use[1] + Catalog.EPS) / s.gpus());
        }
        return (int) Math.max(0, most);
    }

    private boolean overLimit(JobSpec s, double[] use, int n) {
        return Catalog.over(catalog.team(s.team()).cpusMax(), use[0] + n * s.cpus())
                || Catalog.over(catalog.team(s.team()).gpusMax(), use[1] + n * s.gpus());
    }

    /** How many tasks of a job are recorded in each zone; whatever is not proven gone counts. */
    public static Map<Integer, Integer> zones(
            Job j, IntUnaryOperator zoneOfShard, IntFunction<Chunk> chunks, Predicate<Claim> gone) {
        Map<Integer, Integer> n = new HashMap<>();
        for (int i = 0; i < j.chunks.size(); i++) {
            Chunk c = chunks.apply(i);
            if (c != null) {
                for (Claim x : c.claims.values()) {
                    if (!gone.test(x)) {
                        n.merge(zoneOfShard.applyAsInt(x.shard()), 1, Integer::sum);
                    }
                }
            }
        }
        return n;
    }

    private IntUnaryOperator zoneOfShard = i -> i;

    public void zoneOfShard(IntUnaryOperator f) {
        zoneOfShard = f;
    }

    /** Zones of a job's recorded tasks, and of those on their way into a record. */
    public Map<Integer, Integer> zones(Job j, Iterable<Choice> underway) {
        Map<Integer, Integer> n = zones(j, zoneOfShard, j.chunks::get, x -> !j.isPlaced(x.task()));
        for (Choice c : underway) {
            if (c.job().spec.id().equals(j.spec.id()) && !j.isPlaced(c.task())) {
                n.merge(c.slot().zone, 1, Integer::sum);
            }
        }
        return n;
    }

    private List<Choice> gang(Job j, Slot[] slots, Set<String> refused, double[] use) {
        if (overLimit(j.spec, use, j.spec.tasks())) {
            return null;
        }
        List<Choice> best = null;
        double bestScore = Double.MAX_VALUE;
        int from = j.spec.oneZone() ? 0 : -1;
        int to = j.spec.oneZone() ? catalog.zones.size() : 0;
        for (int zone = from; zone < to; zone++) {
            List<Choice> got = new ArrayList<>();
            List<Slot.Mark> marks = new ArrayList<>();
            Map<Integer, Integer> zones = new HashMap<>();
            double worst = 0;
            for (int task = 0; task < j.spec.tasks(); task++) {
                Slot slot = best(j, slots, zones, zone, refused);
                if (slot == null) {
                    break;
                }
                worst = Math.max(worst, score(j, slot, zones));
                double delay = slot.startDelay(j.spec);
                marks.add(slot.mark());
                slot.take(j.spec);
                zones.merge(slot.zone, 1, Integer::sum);
                got.add(new Choice(j, task, slot, delay));
            }
            // Backwards, so that a slot taken twice ends as it was; a trial must not leave fetches that nobody plans.
            for (int i = marks.size() - 1; i >= 0; i--) {
                got.get(i).slot().reset(marks.get(i));
            }
            if (got.size() == j.spec.tasks() && worst < bestScore) {
                best = got;
                bestScore = worst;
            }
        }
        if (best != null) {
            best.forEach(c -> c.slot().take(j.spec));
        }
        return best;
    }

    private Slot best(Job j, Slot[] slots, Map<Integer, Integer> zones, int zone, Set<String> refused) {
        work += slots.length;
        Slot best = null;
        double bestScore = Double.MAX_VALUE;
        for (Slot s : slots) {
            if (zone >= 0 && s.zone != zone
                    || !s.fits(j.spec)
                    || !s.allows(j.spec)
                    || refused != null && refused.contains(s.machine)) {
                continue;
            }
            if (!j.spec.allowsZone(zones, s.zone)) {
                continue;
            }
            double score = score(j, s, zones);
            if (score < bestScore) {
                bestScore = score;
                best = s;
            }
        }
        return best;
    }

    /** Per kind of machine the rate of losses, as it is when a plan begins. */
    private double[] rates = new double[0];

    private void risks(long now) {
        int n = 0;
        for (Catalog.Type t : catalog.types()) {
            n = Math.max(n, LossRates.kind(t.index(), true) + 1);
        }
        rates = rates.length == n ? rates : new double[n];
        for (int i = 0; i < n; i++) {
            rates[i] = hazards.lossesPerS(i, now);
        }
    }

    /** Lower is better, in ms of expected delay; ties go to full machines, so that others become empty. */
    private double score(Job j, Slot s, Map<Integer, Integer> zones) {
        JobSpec spec = j.spec;
        double score = s.startDelay(spec) + (spec.priority() == Priority.PRODUCTION ? 1 : HARM) * s.harm(spec);
        if (!s.real) {
            // Room that is only expected may come late or go to somebody else.
            score += 2_000 + 0.5 * s.etaMs;
        }
        double expected = expectedS(spec);
        double run = expected / Math.max(0.05, s.speed);
        score += (run - expected) * 1000;
        if (!spec.service()) {
            // Long tasks keep off machines that are often taken back, or emptied for work of higher priority.
            score += LossRates.expectedDelayS(rates[LossRates.kind(s.type.index(), s.spot)], run, spec.checkpointS())
                    * 1000;
        }
        if (!terms.fitsCap(spec, expected, s.speed)) {
            // The gate: such a machine is taken only when no capable one has room.
            score += 3_600_000;
        }
        double left = Math.max(
                (s.cpus - spec.cpus()) / s.type.cpus(), s.type.gpus() > 0 ? (s.gpus - spec.gpus()) / s.type.gpus() : 0);
        score += left * PACK_MS;
        if (spec.spot() && !s.spot) {
            score += 300;
        }
        if (spec.spread()) {
            score += zones.getOrDefault(s.zone, 0) * 500.0;
        }
        return score;
    }
}
