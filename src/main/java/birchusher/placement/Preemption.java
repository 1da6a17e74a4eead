package birchusher.placement;

import birchusher.model.JobSpec;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Whose work may be stopped for whom, and where that costs least. */
public final class Preemption {
    /** A place that lets a whole gang miss its aim is as bad as that much lost work. */
    private static final double LATE_START_PENALTY_S = 60;

    private final StoreView view;
    private final ToDoubleFunction<Claim> runningMs;

    Preemption(StoreView view, ToDoubleFunction<Claim> ranMs) {
        this.view = view;
        this.runningMs = ranMs;
    }

    /** What stopping a task loses, roughly in seconds of as much work as its place will then do. */
    private double preemptionCostS(Claim c, JobSpec to) {
        JobSpec s = c.job().spec;
        double ran = runningMs.applyAsDouble(c) / 1000.0;
        double share = Math.max(to.cpus() > 0 ? s.cpus() / to.cpus() : 0, to.gpus() > 0 ? s.gpus() / to.gpus() : 0);
        return share * (s.isCheckpointed() ? 3 + s.checkpointWriteS() : 3 + ran * 0.5);
    }

    private List<Claim> preemptibleClaims(Slot slot, JobSpec to, boolean guaranteed, Planner.Plan plan) {
        List<Claim> l = new ArrayList<>();
        for (Claim c : view.claims(slot.machine).values()) {
            JobSpec v = c.job().spec;
            if (c.job().isPlaced(c.task())
                    && v.preemptibleBy(to, plan.guaranteedJobs().contains(v.id()), guaranteed)) {
                l.add(c);
            }
        }
        l.sort((a, b) -> Double.compare(preemptionCostS(a, to), preemptionCostS(b, to)));
        return l;
    }

    /** A place for one task where the work that has to leave costs least; null if none is clearly better than the delay without. */
    Planner.Placement placeTask(
            Job j,
            int task,
            boolean guaranteed,
            double delayS,
            Planner.Plan plan,
            List<Slot> slots,
            Map<Integer, Integer> zones,
            Set<String> refused) {
        JobSpec s = j.spec;
        MachineCandidate best = null;
        double bestCost = maxCostS(delayS);
        for (Slot slot : slots) {
            if (!usable(slot, s, refused) || !s.allowsZone(zones, slot.zone)) {
                continue;
            }
            List<Claim> victims = preemptibleClaims(slot, s, guaranteed, plan);
            MachineCandidate p = victims.isEmpty() ? null : new MachineCandidate(slot, s, victims, Double.MAX_VALUE);
            if (p != null && p.nextCostS < bestCost) {
                best = p;
                bestCost = p.nextCostS;
            }
        }
        if (best == null) {
            return null;
        }
        best.allocate();
        return new Planner.Placement(j, task, best.slot, bestCost * 1000);
    }

    /** Stopping somebody must be clearly better than the delay without it. */
    private static double maxCostS(double delayS) {
        return delayS == Double.MAX_VALUE ? delayS : delayS * 0.7 - 2;
    }

    private static boolean usable(Slot slot, JobSpec s, Set<String> refused) {
        return slot.available
                && slot.allows(s)
                && slot.type.fits(s)
                && (refused == null || !refused.contains(slot.machine));
    }

    /** One machine while places are looked for: what it would cost to have room for one more task there. */
    private final class MachineCandidate {
        private final Slot slot;
        private final JobSpec spec;
        private final List<Claim> victims;
        private final double startSlackMs;
        private int victimsUsed;
        private double nextCostS;

        MachineCandidate(Slot slot, JobSpec spec, List<Claim> victims, double spareMs) {
            this.slot = slot;
            this.spec = spec;
            this.victims = victims;
            this.startSlackMs = spareMs;
            updateNextCost();
        }

        private void updateNextCost() {
            Slot.Snapshot before = slot.snapshot();
            nextCostS = slot.startDelayMs(spec) / 1000
                    + (slot.startDelayMs(spec) > startSlackMs ? LATE_START_PENALTY_S : 0);
            for (int i = victimsUsed; i < victims.size() && !slot.fits(spec); i++) {
                slot.release(victims.get(i).job().spec);
                nextCostS += preemptionCostS(victims.get(i), spec);
            }
            nextCostS = slot.fits(spec) ? nextCostS : Double.MAX_VALUE;
            slot.restore(before);
        }

        void allocate() {
            while (!slot.fits(spec)) {
                slot.release(victims.get(victimsUsed++).job().spec);
            }
            slot.allocate(spec);
            updateNextCost();
        }
    }

    /**
     * Places for a whole gang, counting on room that lower work would leave: in the zone where that costs least, or null. Nobody
     * is stopped before the gang's claim stands; the machines' owners then do it, so no two gangs each gather half of their room.
     * Places whose images take longer than {@code spareMs} to come, so that the gang would miss an aim, come last.
     */
    List<Planner.Placement> placeGang(
            Job j,
            boolean guaranteed,
            double delayS,
            double spareMs,
            Planner.Plan plan,
            List<Slot> slots,
            int zoneCount,
            Set<String> refused) {
        JobSpec s = j.spec;
        List<Planner.Placement> best = null;
        double bestCost = maxCostS(delayS) * s.tasks();
        for (int zone = s.oneZone() ? 0 : -1; zone < (s.oneZone() ? zoneCount : 0); zone++) {
            List<MachineCandidate> places = new ArrayList<>();
            for (Slot slot : slots) {
                if ((zone < 0 || slot.zone == zone) && usable(slot, s, refused)) {
                    places.add(new MachineCandidate(slot, s, preemptibleClaims(slot, s, guaranteed, plan), spareMs));
                }
            }
            List<Slot.Snapshot> marks =
                    places.stream().map(p -> p.slot.snapshot()).toList();
            List<Planner.Placement> got = new ArrayList<>();
            Map<Integer, Integer> tasksByZone = new HashMap<>();
            double cost = 0;
            while (got.size() < s.tasks()) {
                MachineCandidate p = null;
                for (MachineCandidate x : places) {
                    if (s.allowsZone(tasksByZone, x.slot.zone)
                            && x.nextCostS < Double.MAX_VALUE
                            && (p == null || x.nextCostS < p.nextCostS)) {
                        p = x;
                    }
                }
                if (p == null) {
                    break;
                }
                cost += p.nextCostS;
                tasksByZone.merge(p.slot.zone, 1, Integer::sum);
                got.add(new Planner.Placement(j, got.size(), p.slot, p.slot.startDelayMs(s)));
                p.allocate();
            }
            for (int i = 0; i < places.size(); i++) {
                places.get(i).slot.restore(marks.get(i));
            }
            if (got.size() == s.tasks() && cost < bestCost) {
                best = got;
                bestCost = cost;
            }
        }
        if (best != null) {
            best.forEach(c -> c.slot().allocate(s));
        }
        return best;
    }
}
