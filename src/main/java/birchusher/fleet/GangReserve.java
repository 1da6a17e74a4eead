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
 * Keeps idle machines, although no task needs them at present, for gangs of several tasks that are to start sooner
 * than a machine boots: such gangs need all their machines at once. The reserve has capacity for as many tasks as
 * such gangs recently had in one boot time, plus one more gang. Capacity taken by tasks that yield to the gang counts,
 * so nothing is kept while the fleet is busy. No machine is rented for the reserve.
 */
final class GangReserve {
    private static final long ARRIVAL_WINDOW_MS = 300_000;
    private static final int MAX_RECENT_GANGS = 400;
    private static final long REFRESH_INTERVAL_MS = 1_000;

    private record RecentGang(JobSpec spec, long seenAtMs) {}

    private final Catalog catalog;
    private final StoreView view;
    /** The shortest time in seconds within which jobs of a class are to start, by class. */
    private final Int2DoubleOpenHashMap startWithinS = new Int2DoubleOpenHashMap();

    private final Map<String, RecentGang> recentGangs = new LinkedHashMap<>();
    private Set<String> keptMachines = Set.of();
    private long nextRefreshMs;

    GangReserve(Catalog catalog, StoreView view, List<Settings.Objective> objectives) {
        this.catalog = catalog;
        this.view = view;
        for (Settings.Objective objective : objectives) {
            if (objective.jobClass() != null && objective.kind().equals("wait")) {
                startWithinS.mergeDouble(catalog.classes.add(objective.jobClass()), objective.withinS(), Math::min);
            }
        }
    }

    /** Whether the machine is to be kept though it is idle. */
    boolean keeps(String machine) {
        return keptMachines.contains(machine);
    }

    /** Determines anew which machines are kept, at most once per {@link #REFRESH_INTERVAL_MS}. */
    void refresh(Map<String, MachineStatus> statuses, long nowMs) {
        if (nowMs < nextRefreshMs) {
            return;
        }
        nextRefreshMs = nowMs + REFRESH_INTERVAL_MS;
        recentGangs.values().removeIf(gang -> nowMs - gang.seenAtMs > ARRIVAL_WINDOW_MS);
        for (Job job : view.jobs()) {
            if (job.spec.isMultiTaskGang()
                    && startWithinS.containsKey(job.spec.jobClass())
                    && recentGangs.size() < MAX_RECENT_GANGS) {
                recentGangs.putIfAbsent(job.spec.id(), new RecentGang(job.spec, nowMs));
            }
        }
        Map<Integer, List<JobSpec>> byClass = new HashMap<>();
        recentGangs.values().forEach(gang -> byClass.computeIfAbsent(gang.spec.jobClass(), key -> new ArrayList<>())
                .add(gang.spec));
        Set<String> toKeep = new HashSet<>();
        byClass.values().forEach(gangs -> keepForClass(gangs, statuses, toKeep));
        keptMachines = toKeep;
    }

    private void keepForClass(List<JobSpec> gangs, Map<String, MachineStatus> statuses, Set<String> toKeep) {
        JobSpec largest = gangs.get(0);
        double tasks = 0;
        for (JobSpec gang : gangs) {
            largest = gang.tasks() > largest.tasks() ? gang : largest;
            tasks += gang.tasks();
        }
        Map<Integer, List<MachineStatus>> idle = new HashMap<>();
        Map<Integer, Integer> capacityByZone = new HashMap<>();
        double bootS = 0;
        for (MachineStatus status : statuses.values()) {
            Catalog.MachineType type = catalog.type(status.type());
            if (!status.usable()
                    || type == null
                    || !largest.allowsType(type.index())
                    || !type.fits(largest)
                    || status.spot() && !largest.allowsSpot()
                    || largest.zone() >= 0 && largest.zone() != status.zone()
                    || type.bootS() <= startWithinS.get(largest.jobClass())) {
                continue;
            }
            bootS = Math.max(bootS, type.bootS());
            int zone = largest.oneZone() ? status.zone() : 0;
            if (view.claims(status.machine()).isEmpty()) {
                idle.computeIfAbsent(zone, key -> new ArrayList<>()).add(status);
            } else {
                capacityByZone.merge(zone, taskCapacity(status, type, largest), Integer::sum);
            }
        }
        double tasksPerBoot = tasks * Math.min(1, bootS * 1000 / ARRIVAL_WINDOW_MS);
        int wantedTasks = (int) Math.ceil(Math.max(largest.tasks(), tasksPerBoot + tasks / gangs.size()));
        int bestZone = -1;
        int bestCapacity = -1;
        for (Map.Entry<Integer, List<MachineStatus>> entry : idle.entrySet()) {
            int capacity = capacityByZone.getOrDefault(entry.getKey(), 0);
            for (MachineStatus status : entry.getValue()) {
                capacity += taskCapacity(status, catalog.type(status.type()), largest);
            }
            if (capacity > bestCapacity) {
                bestCapacity = capacity;
                bestZone = entry.getKey();
            }
        }
        int capacityKept = capacityByZone.getOrDefault(bestZone, 0);
        for (MachineStatus status : idle.getOrDefault(bestZone, List.of())) {
            if (capacityKept >= wantedTasks) {
                return;
            }
            capacityKept += taskCapacity(status, catalog.type(status.type()), largest);
            toKeep.add(status.machine());
        }
    }

    /**
     * Returns for how many tasks of {@code spec} the machine has capacity, or would have once the tasks that yield to
     * it have left.
     */
    private int taskCapacity(MachineStatus status, Catalog.MachineType type, JobSpec spec) {
        double cpus = type.cpus();
        double gpus = type.gpus();
        double memoryGb = type.memoryGb();
        for (Claim claim : view.claims(status.machine()).values()) {
            JobSpec other = claim.job().spec;
            if (!other.preemptibleBy(spec, false, false)) {
                cpus -= other.cpus();
                gpus -= other.gpus();
                memoryGb -= other.memoryGb();
            }
        }
        double count = spec.cpus() > 0 ? (cpus + Catalog.EPSILON) / spec.cpus() : spec.tasks();
        count = spec.gpus() > 0 ? Math.min(count, (gpus + Catalog.EPSILON) / spec.gpus()) : count;
        count = spec.memoryGb() > 0 ? Math.min(count, (memoryGb + Catalog.EPSILON) / spec.memoryGb()) : count;
        return (int) Math.max(0, count);
    }
}
