package birchusher.placement;

import birchusher.lease.LeaseTerms;
import birchusher.lease.Speeds;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.settings.Settings;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.View;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;

/**
 * Works out, for all jobs in one global order, where each waiting task would go. Every controller computes the same
 * order, acts only on the jobs it drives, and so leaves room for the jobs ahead of its own.
 */
public final class Planner {
    /** A task and where it goes. */
    public record Choice(Job job, int task, Slot slot, double delayMs) { }

    /** Tasks of a job that found no room, not even soon. */
    public record Unplaced(Job job, int tasks, boolean guaranteed) { }

    public record Plan(List<Choice> choices, List<Unplaced> unplaced, Set<String> guaranteed, long speedLimited) { }

    private final Catalog catalog;
    private final View view;
    private final Speeds speeds;
    private static final double DEFAULT_DUE_S = 600;
    /** Batch work that slows down fetches mostly holds up several tasks, often replicas. */
    private static final double HARM = 1.5;
    private final LeaseTerms terms;
    private final Int2DoubleOpenHashMap dueByClass = new Int2DoubleOpenHashMap();

    public Planner(Catalog catalog, View view, Speeds speeds, LeaseTerms terms,
            List<Settings.Objective> objectives) {
        this.catalog = catalog;
        this.view = view;
        this.speeds = speeds;
        this.terms = terms;
        for (Settings.Objective o : objectives) {
            if (o.kind().equals("finished") && o.cls() != null) {
                dueByClass.put(catalog.classes.add(o.cls()), o.withinS());
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
        byAge.sort((a, b) -> Long.compare(a.age, b.age));
        Set<String> in = new HashSet<>();
        for (Job j : byAge) {
            if (j.state != Job.State.OPEN) {
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

    /** When a job should be complete, by its own deadline or its class's objective; by its age if it has neither. */
    private long due(Job j) {
        double s = j.spec.deadlineS() > 0 ? j.spec.deadlineS() : dueByClass.get(j.spec.cls());
        return j.acceptedAt + Math.round((s > 0 ? s : DEFAULT_DUE_S) * 1000);
    }

    /** Too late whatever is done: such a job makes way for those that can still be in time. */
    private boolean late(Job j, long wall) {
        return !j.spec.service() && wall + expectedS(j.spec) * 800 > due(j);
    }

    private List<Job> order(Set<String> guaranteed, long wall) {
        List<Job> jobs = new ArrayList<>();
        for (Job j : view.jobs()) {
            if (j.state == Job.State.OPEN && j.doneCount() + j.claimCount() < j.spec.tasks()) {
                jobs.add(j);
            }
        }
        jobs.sort((a, b) -> {
            // Production goes before guarantees: a replica beyond its team's guarantee must not starve behind batch work.
            boolean pa = a.spec.priority() == Priority.PRODUCTION;
            boolean pb = b.spec.priority() == Priority.PRODUCTION;
            if (pa != pb) {
                return pa ? -1 : 1;
            }
            boolean ga = guaranteed.contains(a.spec.id());
            boolean gb = guaranteed.contains(b.spec.id());
            if (ga != gb) {
                return ga ? -1 : 1;
            }
            int p = a.spec.priority().compareTo(b.spec.priority());
            if (p != 0) {
                return p;
            }
            boolean la = late(a, wall);
            boolean lb = late(b, wall);
            if (la != lb) {
                return la ? 1 : -1;
            }
            long da = due(a);
            long db = due(b);
            return da != db ? Long.compare(da, db) : Long.compare(a.age, b.age);
        });
        return jobs;
    }

    /**
     * @param held tasks already offered or being claimed by this controller, or backing off
     * @param refused machines that lately refused a job
     * @param paused jobs that back off
     * @param wall time of day, for due times
     * @param underway tasks offered or being claimed, with their machines
     */
    public Plan plan(List<Slot> slots, Predicate<String> held, BiPredicate<String, String> refused,
            Predicate<Job> paused, List<Choice> underway, long wall) {
        Set<String> guaranteed = guaranteed();
        List<Choice> choices = new ArrayList<>();
        List<Unplaced> unplaced = new ArrayList<>();
        double[][] use = new double[catalog.teams.size()][2];
        long limited = 0;
        for (int t = 0; t < use.length; t++) {
            use[t][0] = view.cpusOf(t);
            use[t][1] = view.gpusOf(t);
        }
        for (Job j : order(guaranteed, wall)) {
            if (paused.test(j)) {
                continue;
            }
            JobSpec s = j.spec;
            if (s.gang()) {
                if (j.claimCount() > 0 || held.test(s.id() + "/0")) {
                    continue;
                }
                List<Choice> gang = gang(j, slots, refused, use[s.team()]);
                if (gang != null) {
                    choices.addAll(gang);
                    use[s.team()][0] += s.tasks() * s.cpus();
                    use[s.team()][1] += s.tasks() * s.gpus();
                } else if (!overLimit(s, use[s.team()], s.tasks())) {
                    unplaced.add(new Unplaced(j, s.tasks(), guaranteed.contains(s.id())));
                }
                continue;
            }
            Map<Integer, Integer> zones = zones(j, underway);
            int missing = 0;
            int placed = 0;
            for (int task = 0; task < s.tasks(); task++) {
                if (j.isDone(task) || j.claim(task) != null) {
                    continue;
                }
                if (held.test(s.id() + "/" + task)) {
                    // On its way already: not to be bought for.
                    placed++;
                    continue;
                }
                if (overLimit(s, use[s.team()], 1)) {
                    break;
                }
                Slot slot = best(j, slots, zones, -1, refused);
                if (slot == null) {
                    // Its tasks are all alike: the rest finds no room either, and need not be looked at one by one.
                    missing = withinLimit(s, use[s.team()], s.tasks() - j.doneCount() - j.claimCount() - placed);
                    use[s.team()][0] += missing * s.cpus();
                    use[s.team()][1] += missing * s.gpus();
                    break;
                }
                placed++;
                use[s.team()][0] += s.cpus();
                use[s.team()][1] += s.gpus();
                if (!terms.fits(s, expectedS(s), slot.speed)) {
                    limited++;
                }
                double delay = slot.startDelay(s);
                slot.take(s);
                zones.merge(slot.zone, 1, Integer::sum);
                choices.add(new Choice(j, task, slot, delay));
            }
            if (missing > 0) {
                unplaced.add(new Unplaced(j, missing, guaranteed.contains(s.id())));
            }
        }
        return new Plan(choices, unplaced, guaranteed, limited);
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
    public static Map<Integer, Integer> zones(Job j, IntUnaryOperator zoneOfShard, IntFunction<Chunk> chunks) {
        Map<Integer, Integer> n = new HashMap<>();
        for (int i = 0; i < j.chunks.size(); i++) {
            Chunk c = chunks.apply(i);
            if (c != null) {
                for (Claim x : c.claims.values()) {
                    n.merge(zoneOfShard.applyAsInt(x.shard()), 1, Integer::sum);
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
        Map<Integer, Integer> n = zones(j, zoneOfShard, j.chunks::get);
        for (Choice c : underway) {
            if (c.job().spec.id().equals(j.spec.id()) && j.claim(c.task()) == null) {
                n.merge(c.slot().zone, 1, Integer::sum);
            }
        }
        return n;
    }

    private List<Choice> gang(Job j, List<Slot> slots, BiPredicate<String, String> refused, double[] use) {
        if (overLimit(j.spec, use, j.spec.tasks())) {
            return null;
        }
        List<Choice> best = null;
        double bestScore = Double.MAX_VALUE;
        int from = j.spec.oneZone() ? 0 : -1;
        int to = j.spec.oneZone() ? catalog.zones.size() : 0;
        for (int zone = from; zone < to; zone++) {
            List<Choice> got = new ArrayList<>();
            Map<Integer, Integer> zones = new HashMap<>();
            double worst = 0;
            for (int task = 0; task < j.spec.tasks(); task++) {
                Slot slot = best(j, slots, zones, zone, refused);
                if (slot == null) {
                    break;
                }
                worst = Math.max(worst, score(j, slot, zones));
                double delay = slot.startDelay(j.spec);
                slot.take(j.spec);
                zones.merge(slot.zone, 1, Integer::sum);
                got.add(new Choice(j, task, slot, delay));
            }
            got.forEach(c -> c.slot().giveBack(j.spec));
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

    private Slot best(Job j, List<Slot> slots, Map<Integer, Integer> zones, int zone, BiPredicate<String, String> refused) {
        Slot best = null;
        double bestScore = Double.MAX_VALUE;
        for (Slot s : slots) {
            if (!s.fits(j.spec) || !s.allows(j.spec) || zone >= 0 && s.zone != zone
                    || refused.test(s.machine, j.spec.id())) {
                continue;
            }
            if (j.spec.oneZone() && !zones.isEmpty() && !zones.containsKey(s.zone)) {
                continue;
            }
            if (j.spec.spread() && zones.getOrDefault(s.zone, 0) >= j.spec.zoneLimit()) {
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

    /** Lower is better, in ms of expected delay; ties go to full machines, so that others become empty. */
    private double score(Job j, Slot s, Map<Integer, Integer> zones) {
        JobSpec spec = j.spec;
        double score = s.startDelay(spec) + (spec.priority() == Priority.PRODUCTION ? 1 : HARM) * s.harm(spec);
        if (!s.real) {
            // Room that is only expected may come late or go to somebody else.
            score += 2_000 + 0.5 * s.etaMs;
        }
        double expected = expectedS(spec);
        score += expected * 1000 * (1 / Math.max(0.05, s.speed) - 1);
        if (!terms.fits(spec, expected, s.speed)) {
            // The gate: such a machine is taken only when no capable one has room.
            score += 3_600_000;
        }
        double left = Math.max((s.cpus - spec.cpus()) / s.type.cpus(),
                s.type.gpus() > 0 ? (s.gpus - spec.gpus()) / s.type.gpus() : 0);
        score += left * 400;
        if (spec.spot() && !s.spot) {
            score += 300;
        }
        if (spec.spread()) {
            score += zones.getOrDefault(s.zone, 0) * 500.0;
        }
        return score;
    }
}
