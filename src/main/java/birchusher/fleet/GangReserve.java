package birchusher.fleet;

import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.settings.Settings;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreView;
import birchusher.workers.MachineStatus;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which idle machines are kept although nothing needs them now: gangs of several tasks that are to start sooner than a machine
 * boots need them all at once. As many places as such gangs lately took in one boot time, and one gang more; places of work that
 * yields count, so nothing is kept while the fleet is busy. Nothing is bought for this.
 */
final class GangReserve {
    private static final long ARRIVAL_WINDOW_MS = 300_000;
    private static final int MAX_RECENT_GANGS = 400;
    private static final long REFRESH_INTERVAL_MS = 1_000;

    private record RecentGang(JobSpec spec, long seenAtMs) {}

    private final Catalog catalog;
    private final StoreView view;
    /** Per class the shortest time within which its jobs are to start. */
    private final Int2DoubleOpenHashMap startWithinS = new Int2DoubleOpenHashMap();

    private final Map<String, RecentGang> recentGangs = new LinkedHashMap<>();
    private Set<String> keptMachines = Set.of();
    private long nextRefreshMs;

    GangReserve(Catalog catalog, StoreView view, List<Settings.Objective> objectives) {
        this.catalog = catalog;
        this.view = view;
        for (Settings.Objective o : objectives) {
            if (o.cls() != null && o.kind().equals("wait")) {
                startWithinS.mergeDouble(catalog.classes.add(o.cls()), o.withinS(), Math::min);
            }
        }
    }

    boolean keeps(String machine) {
        return keptMachines.contains(machine);
    }

    void refresh(Map<String, MachineStatus> pictures, long now) {
        if (now < nextRefreshMs) {
            return;
        }
        nextRefreshMs = now + REFRESH_INTERVAL_MS;
        recentGangs.values().removeIf(s -> now - s.seenAtMs > ARRIVAL_WINDOW_MS);
        for (Job j : view.jobs()) {
            if (j.spec.isMultiTaskGang()
                    && startWithinS.containsKey(j.spec.jobClass())
                    && recentGangs.size() < MAX_RECENT_GANGS) {
                recentGangs.putIfAbsent(j.spec.id(), new RecentGang(j.spec, now));
            }
        }
        Map<Integer, List<JobSpec>> byClass = new HashMap<>();
        recentGangs.values().forEach(s -> byClass.computeIfAbsent(s.spec.jobClass(), k -> new ArrayList<>())
                .add(s.spec));
        Set<String> keep = new HashSet<>();
        byClass.values().forEach(l -> keepForClass(l, pictures, keep));
        keptMachines = keep;
    }

    private void keepForClass(List<JobSpec> gangs, Map<String, MachineStatus> pictures, Set<String> keep) {
        JobSpec largest = gangs.get(0);
        double tasks = 0;
        for (JobSpec s : gangs) {
            largest = s.tasks() > largest.tasks() ? s : largest;
            tasks += s.tasks();
        }
        Map<Integer, List<MachineStatus>> idle = new HashMap<>();
        Map<Integer, Integer> places = new HashMap<>();
        double bootS = 0;
        for (MachineStatus p : pictures.values()) {
            Catalog.MachineType t = catalog.type(p.type());
            if (!p.usable()
                    || t == null
                    || !largest.allowsType(t.index())
                    || !t.fits(largest)
                    || p.spot() && !largest.allowsSpot()
                    || largest.zone() >= 0 && largest.zone() != p.zone()
                    || t.bootS() <= startWithinS.get(largest.jobClass())) {
                continue;
            }
            bootS = Math.max(bootS, t.bootS());
            int zone = largest.oneZone() ? p.zone() : 0;
            if (view.claims(p.machine()).isEmpty()) {
                idle.computeIfAbsent(zone, k -> new ArrayList<>()).add(p);
            } else {
                places.merge(zone, taskCapacity(p, t, largest), Integer::sum);
            }
        }
        double inABoot = tasks * Math.min(1, bootS * 1000 / ARRIVAL_WINDOW_MS);
        int wanted = (int) Math.ceil(Math.max(largest.tasks(), inABoot + tasks / gangs.size()));
        int best = -1;
        int most = -1;
        for (Map.Entry<Integer, List<MachineStatus>> e : idle.entrySet()) {
            int n = places.getOrDefault(e.getKey(), 0);
            for (MachineStatus p : e.getValue()) {
                n += taskCapacity(p, catalog.type(p.type()), largest);
            }
            if (n > most) {
                most = n;
                best = e.getKey();
            }
        }
        int have = places.getOrDefault(best, 0);
        for (MachineStatus p : idle.getOrDefault(best, List.of())) {
            if (have >= wanted) {
                return;
            }
            have += taskCapacity(p, catalog.type(p.type()), largest);
            keep.add(p.machine());
        }
    }

    /** For how many such tasks a machine has room, or would have once work that yields has left. */
    private int taskCapacity(MachineStatus p, Catalog.MachineType t, JobSpec s) {
        double cpus = t.cpus();
        double gpus = t.gpus();
        double mem = t.memoryGb();
        for (Claim c : view.claims(p.machine()).values()) {
            JobSpec o = c.job().spec;
            if (!o.preemptibleBy(s, false, false)) {
                cpus -= o.cpus();
                gpus -= o.gpus();
                mem -= o.memoryGb();
            }
        }
        double n = s.cpus() > 0 ? (cpus + Catalog.EPSILON) / s.cpus() : s.tasks();
        n = s.gpus() > 0 ? Math.min(n, (gpus + Catalog.EPSILON) / s.gpus()) : n;
        n = s.memoryGb() > 0 ? Math.min(n, (mem + Catalog.EPSILON) / s.memoryGb()) : n;
        return (int) Math.max(0, n);
    }
}
