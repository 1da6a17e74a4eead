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

/**
 * Selects the tasks to preempt: those that may be preempted for a job, where their preemption loses least. Nothing is
 * stopped here. Not thread-safe.
 */
public final class Preemption {
    /** Cost, in seconds of lost work, of a placement that makes a whole gang miss an objective. */
    private static final double LATE_START_PENALTY_S = 60;
    /** Cost of stopping and restarting any task. */
    private static final double RESTART_COST_S = 3;
    /** Share of the time that a task without checkpoints has run that counts as its cost. */
    private static final double LOST_RUN_WEIGHT = 0.5;
    /** Share of the delay without preemption that a preemption may cost, before {@link #MIN_GAIN_S} is deducted. */
    private static final double MAX_COST_SHARE = 0.7;

    private static final double MIN_GAIN_S = 2;

    private final StoreView view;
    private final ToDoubleFunction<Claim> runningMs;

    Preemption(StoreView view, ToDoubleFunction<Claim> runningMs) {
        this.view = view;
        this.runningMs = runningMs;
    }

    /**
     * What preempting a task loses, roughly in seconds of the work that its capacity will then do for
     * {@code preemptor}.
     */
    private double preemptionCostS(Claim claim, JobSpec preemptor) {
        JobSpec spec = claim.job().spec;
        double ranS = runningMs.applyAsDouble(claim) / 1000.0;
        double share = Math.max(
                preemptor.cpus() > 0 ? spec.cpus() / preemptor.cpus() : 0,
                preemptor.gpus() > 0 ? spec.gpus() / preemptor.gpus() : 0);
        return share
                * (spec.isCheckpointed()
                        ? RESTART_COST_S + spec.checkpointWriteS()
                        : RESTART_COST_S + ranS * LOST_RUN_WEIGHT);
    }

    /** Claims on a machine that may be preempted for a job, the cheapest first. */
    private List<Claim> preemptibleClaims(Slot slot, JobSpec preemptor, boolean guaranteed, Planner.Plan plan) {
        List<Claim> result = new ArrayList<>();
        for (Claim claim : view.claims(slot.machine).values()) {
            JobSpec spec = claim.job().spec;
            if (claim.job().isPlaced(claim.task())
                    && spec.preemptibleBy(preemptor, plan.guaranteedJobs().contains(spec.id()), guaranteed)) {
                result.add(claim);
            }
        }
        result.sort((a, b) -> Double.compare(preemptionCostS(a, preemptor), preemptionCostS(b, preemptor)));
        return result;
    }

    /** Placement of one task where preemption costs least; null if none is clearly better than the delay without it. */
    Planner.Placement placeTask(
            Job job,
            int task,
            boolean guaranteed,
            double delayS,
            Planner.Plan plan,
            List<Slot> slots,
            Map<Integer, Integer> tasksByZone,
            Set<String> refusedMachines) {
        JobSpec spec = job.spec;
        MachineCandidate best = null;
        double bestCostS = maxCostS(delayS);
        for (Slot slot : slots) {
            if (!usable(slot, spec, refusedMachines) || !spec.allowsZone(tasksByZone, slot.zone)) {
                continue;
            }
            List<Claim> victims = preemptibleClaims(slot, spec, guaranteed, plan);
            MachineCandidate candidate =
                    victims.isEmpty() ? null : new MachineCandidate(slot, spec, victims, Double.MAX_VALUE);
            if (candidate != null && candidate.nextCostS < bestCostS) {
                best = candidate;
                bestCostS = candidate.nextCostS;
            }
        }
        if (best == null) {
            return null;
        }
        best.allocate();
        return new Planner.Placement(job, task, best.slot, bestCostS * 1000);
    }

    /** Cost in seconds up to which preemption is clearly better than the delay without it. */
    private static double maxCostS(double delayS) {
        return delayS == Double.MAX_VALUE ? delayS : delayS * MAX_COST_SHARE - MIN_GAIN_S;
    }

    private static boolean usable(Slot slot, JobSpec spec, Set<String> refusedMachines) {
        return slot.available
                && slot.allows(spec)
                && slot.type.fits(spec)
                && (refusedMachines == null || !refusedMachines.contains(slot.machine));
    }

    /** One machine during the search: keeps what it would cost to have capacity for one more task there. */
    private final class MachineCandidate {
        private final Slot slot;
        private final JobSpec spec;
        private final List<Claim> victims;
        private final double startSlackMs;
        private int victimsUsed;
        /** Cost in seconds of one more task; {@code Double.MAX_VALUE} if no preemption makes it fit. */
        private double nextCostS;

        MachineCandidate(Slot slot, JobSpec spec, List<Claim> victims, double startSlackMs) {
            this.slot = slot;
            this.spec = spec;
            this.victims = victims;
            this.startSlackMs = startSlackMs;
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
     * Placements of a whole gang on capacity that includes that of preemptible tasks, in the zone where this costs
     * least; null if there are none. No task is stopped before the gang's claims are recorded; the owners of the
     * machines then stop them, so that no two gangs each gather half of their capacity. Machines where fetching the
     * image takes longer than {@code startSlackMs}, so that the gang would miss an objective, are used last.
     */
    List<Planner.Placement> placeGang(
            Job job,
            boolean guaranteed,
            double delayS,
            double startSlackMs,
            Planner.Plan plan,
            List<Slot> slots,
            int zoneCount,
            Set<String> refusedMachines) {
        JobSpec spec = job.spec;
        List<Planner.Placement> best = null;
        double bestCostS = maxCostS(delayS) * spec.tasks();
        for (int zone = spec.oneZone() ? 0 : -1; zone < (spec.oneZone() ? zoneCount : 0); zone++) {
            List<MachineCandidate> candidates = new ArrayList<>();
            for (Slot slot : slots) {
                if ((zone < 0 || slot.zone == zone) && usable(slot, spec, refusedMachines)) {
                    candidates.add(new MachineCandidate(
                            slot, spec, preemptibleClaims(slot, spec, guaranteed, plan), startSlackMs));
                }
            }
            List<Slot.Snapshot> snapshots = candidates.stream()
                    .map(candidate -> candidate.slot.snapshot())
                    .toList();
            List<Planner.Placement> placements = new ArrayList<>();
            Map<Integer, Integer> tasksByZone = new HashMap<>();
            double costS = 0;
            while (placements.size() < spec.tasks()) {
                MachineCandidate cheapest = null;
                for (MachineCandidate candidate : candidates) {
                    if (spec.allowsZone(tasksByZone, candidate.slot.zone)
                            && candidate.nextCostS < Double.MAX_VALUE
                            && (cheapest == null || candidate.nextCostS < cheapest.nextCostS)) {
                        cheapest = candidate;
                    }
                }
                if (cheapest == null) {
                    break;
                }
                costS += cheapest.nextCostS;
                tasksByZone.merge(cheapest.slot.zone, 1, Integer::sum);
                placements.add(
                        new Planner.Placement(job, placements.size(), cheapest.slot, cheapest.slot.startDelayMs(spec)));
                cheapest.allocate();
            }
            for (int i = 0; i < candidates.size(); i++) {
                candidates.get(i).slot.restore(snapshots.get(i));
            }
            if (placements.size() == spec.tasks() && costS < bestCostS) {
                best = placements;
                bestCostS = costS;
            }
        }
        if (best != null) {
            best.forEach(placement -> placement.slot().allocate(spec));
        }
        return best;
    }
}
