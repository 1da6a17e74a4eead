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
    private static final double LATE_S = 60;

    private final StoreView view;
    private final ToDoubleFunction<Claim> ranMs;

    Preemption(StoreView view, ToDoubleFunction<Claim> ranMs) {
        this.view = view;
        this.ranMs = ranMs;
    }

    /** What stopping a task loses, roughly in seconds of as much work as its place will then do. */
    private double cost(Claim c, JobSpec to) {
        JobSpec s = c.job().spec;
        double ran = ranMs.applyAsDouble(c) / 1000.0;
        double share = Math.max(to.cpus() > 0 ? s.cpus() / to.cpus() : 0, to.gpus() > 0 ? s.gpus() / to.gpus() : 0);
        return share * (s.resumes() ? 3 + s.saveS() : 3 + ran * 0.5);
    }

    private List<Claim> yielding(Slot slot, JobSpec to, boolean guaranteed, Planner.Plan plan) {
        List<Claim> l = new ArrayList<>();
        for (Claim c : view.claims(slot.machine).values()) {
            JobSpec v = c.job().spec;
            if (c.job().isPlaced(c.task()) && v.yieldsTo(to, plan.guaranteed().contains(v.id()), guaranteed)) {
                l.add(c);
            }
        }
        l.sort((a, b) -> Double.compare(cost(a, to), cost(b, to)));
        return l;
    }

    /** A place for one task where the work that has to leave costs least; null if none is clearly better than the delay without. */
    Planner.Choice single(
            Job j,
            int task,
            boolean guaranteed,
            double delayS,
            Planner.Plan plan,
            List<Slot> slots,
            Map<Integer, Integer> zones,
            Set<String> refused) {
        JobSpec s = j.spec;
        Place best = null;
        double bestCost = worth(delayS);
        for (Slot slot : slots) {
            if (!usable(slot, s, refused) || !s.allowsZone(zones, slot.zone)) {
                continue;
            }
            List<Claim> victims = yielding(slot, s, guaranteed, plan);
            Place p = victims.isEmpty() ? null : new Place(slot, s, victims, Double.MAX_VALUE);
            if (p != null && p.next < bestCost) {
                best = p;
                bestCost = p.next;
            }
        }
        if (best == null) {
            return null;
        }
        best.take();
        return new Planner.Choice(j, task, best.slot, bestCost * 1000);
    }

    /** Stopping somebody must be clearly better than the delay without it. */
    private static double worth(double delayS) {
        return delayS == Double.MAX_VALUE ? delayS : delayS * 0.7 - 2;
    }

    private static boolean usable(Slot slot, JobSpec s, Set<String> refused) {
        return slot.real && slot.allows(s) && slot.type.fits(s) && (refused == null || !refused.contains(slot.machine));
    }

    /** One machine while places are looked for: what it would cost to have room for one more task there. */
    private final class Place {
        private final Slot slot;
        private final JobSpec spec;
        private final List<Claim> victims;
        private final double spareMs;
        private int given;
        private double next;

        Place(Slot slot, JobSpec spec, List<Claim> victims, double spareMs) {
            this.slot = slot;
            this.spec = spec;
            this.victims = victims;
            this.spareMs = spareMs;
            look();
        }

        private void look() {
            Slot.Mark before = slot.mark();
            next = slot.startDelay(spec) / 1000 + (slot.startDelay(spec) > spareMs ? LATE_S : 0);
            for (int i = given; i < victims.size() && !slot.fits(spec); i++) {
                slot.giveBack(victims.get(i).job().spec);
                next += cost(victims.get(i), spec);
            }
            next = slot.fits(spec) ? next : Double.MAX_VALUE;
            slot.reset(before);
        }

        void take() {
            while (!slot.fits(spec)) {
                slot.giveBack(victims.get(given++).job().spec);
            }
            slot.take(spec);
            look();
        }
    }

    /**
     * Places for a whole gang, counting on room that lower work would leave: in the zone where that costs least, or null. Nobody
     * is stopped before the gang's claim stands; the machines' owners then do it, so no two gangs each gather half of their room.
     * Places whose images take longer than {@code spareMs} to come, so that the gang would miss an aim, come last.
     */
    List<Planner.Choice> gang(
            Job j,
            boolean guaranteed,
            double delayS,
            double spareMs,
            Planner.Plan plan,
            List<Slot> slots,
            int zoneCount,
            Set<String> refused) {
        JobSpec s = j.spec;
        List<Planner.Choice> best = null;
        double bestCost = worth(delayS) * s.tasks();
        for (int zone = s.oneZone() ? 0 : -1; zone < (s.oneZone() ? zoneCount : 0); zone++) {
            List<Place> places = new ArrayList<>();
            for (Slot slot : slots) {
                if ((zone < 0 || slot.zone == zone) && usable(slot, s, refused)) {
                    places.add(new Place(slot, s, yielding(slot, s, guaranteed, plan), spareMs));
                }
            }
            List<Slot.Mark> marks = places.stream().map(p -> p.slot.mark()).toList();
            List<Planner.Choice> got = new ArrayList<>();
            Map<Integer, Integer> tasksByZone = new HashMap<>();
            double cost = 0;
            while (got.size() < s.tasks()) {
                Place p = null;
                for (Place x : places) {
                    if (s.allowsZone(tasksByZone, x.slot.zone)
                            && x.next < Double.MAX_VALUE
                            && (p == null || x.next < p.next)) {
                        p = x;
                    }
                }
                if (p == null) {
                    break;
                }
                cost += p.next;
                tasksByZone.merge(p.slot.zone, 1, Integer::sum);
                got.add(new Planner.Choice(j, got.size(), p.slot, p.slot.startDelay(s)));
                p.take();
            }
            for (int i = 0; i < places.size(); i++) {
                places.get(i).slot.reset(marks.get(i));
            }
            if (got.size() == s.tasks() && cost < bestCost) {
                best = got;
                bestCost = cost;
            }
        }
        if (best != null) {
            best.forEach(c -> c.slot().take(s));
        }
        return best;
    }
}
