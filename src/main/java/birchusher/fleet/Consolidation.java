package birchusher.fleet;

import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.placement.Planner;
import birchusher.placement.Slot;
import birchusher.store.Claim;
import birchusher.store.StoreView;
import birchusher.workers.MachineStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Empties thinly used machines, so that they can be returned. */
final class Consolidation {
    private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

    private final Catalog catalog;
    private final StoreView view;
    private final long moveAfterMs;
    private final BiConsumer<String, Boolean> requestReturn;
    private final Function<Map<String, MachineStatus>, List<Slot>> freeSlots;
    private final ToLongFunction<Claim> runningForMs;
    private final ToDoubleFunction<MachineStatus> idleTimeoutMs;
    /** Machines whose replicas fit elsewhere, since when. */
    private final Map<String, Long> movableSinceMs = new HashMap<>();

    private long nextCheckMs;

    Consolidation(
            Catalog catalog,
            StoreView view,
            long moveAfterMs,
            BiConsumer<String, Boolean> retire,
            Function<Map<String, MachineStatus>, List<Slot>> free,
            ToLongFunction<Claim> runningFor,
            ToDoubleFunction<MachineStatus> linger) {
        this.catalog = catalog;
        this.view = view;
        this.moveAfterMs = moveAfterMs;
        this.requestReturn = retire;
        this.freeSlots = free;
        this.runningForMs = runningFor;
        this.idleTimeoutMs = linger;
    }

    /**
     * Replicas spread thinly keep whole machines rented. One whose few replicas all find room and their images elsewhere,
     * and have for a while, is emptied; a move costs a replica about a second.
     */
    void tick(Planner.Plan plan, Map<String, MachineStatus> pictures, long now) {
        if (now < nextCheckMs) {
            return;
        }
        nextCheckMs = now + 2_000;
        if (!plan.unplaced().isEmpty()) {
            // Room is short: whatever is free is wanted, but what was thinly used before still is.
            return;
        }
        List<Slot> slots = freeSlots.apply(pictures);
        slots.removeIf(s -> view.claims(s.machine()).isEmpty());
        // The fullest first, so that what moves does not keep another thinly used machine.
        slots.sort(Comparator.comparingDouble(Slot::freeShare));
        List<MachineStatus> ripe = new ArrayList<>();
        int leaving = 0;
        for (MachineStatus p : pictures.values()) {
            leaving += p.beingReturned() ? 1 : 0;
            if (p.beingReturned()
                    || !p.usable()
                    || catalog.type(p.type()) == null
                    || !runsOnlyMovableReplicas(p)
                    || !fitsElsewhere(p, slots, false)) {
                movableSinceMs.remove(p.machine());
            } else if (now - movableSinceMs.computeIfAbsent(p.machine(), k -> now)
                    > Math.max(moveAfterMs, idleTimeoutMs.applyAsDouble(p))) {
                ripe.add(p);
            }
        }
        movableSinceMs.keySet().retainAll(pictures.keySet());
        ripe.sort(Comparator.comparingDouble(this::savingPerReplica).reversed());
        for (MachineStatus p : ripe) {
            // A few at once in a large fleet; each machine's replicas still move one after the other.
            if (leaving >= 1 + pictures.size() / 50) {
                return;
            }
            if (fitsElsewhere(p, slots, true)) {
                leaving++;
                movableSinceMs.remove(p.machine());
                LOG.info(
                        "machine {} is emptied, its {} replicas fit elsewhere",
                        p.machine(),
                        view.claims(p.machine()).size());
                requestReturn.accept(p.machine(), true);
            }
        }
    }

    /** What returning a machine saves, for each replica that has to move. */
    private double savingPerReplica(MachineStatus p) {
        Catalog.MachineType t = catalog.type(p.type());
        return (p.spot() ? t.spotPricePerHour() : t.pricePerHour())
                / Math.max(1, view.claims(p.machine()).size());
    }

    /** Whether nothing but replicas runs there, each for long enough to be moved. */
    private boolean runsOnlyMovableReplicas(MachineStatus p) {
        for (Claim c : view.claims(p.machine()).values()) {
            if (!c.job().spec.isService() || runningForMs.applyAsLong(c) < moveAfterMs) {
                return false;
            }
        }
        return !view.claims(p.machine()).isEmpty();
    }

    /** Whether a machine's replicas find room and image elsewhere; if so, and asked to, that room is taken for them. */
    private boolean fitsElsewhere(MachineStatus p, List<Slot> slots, boolean take) {
        Map<Slot, Slot.Snapshot> tried = new LinkedHashMap<>();
        boolean all = true;
        for (Claim c : view.claims(p.machine()).values()) {
            JobSpec j = c.job().spec;
            // A job spread over zones stays in its zone, so that its rule still holds after the move.
            Slot to = null;
            for (Slot s : slots) {
                if (s.fits(j)
                        && s.allows(j)
                        && s.startDelayMs(j) <= 0
                        && (s.zone() == p.zone() || j.tasks() == 1)
                        && !s.machine().equals(p.machine())) {
                    to = s;
                    break;
                }
            }
            if (to == null) {
                all = false;
                break;
            }
            tried.putIfAbsent(to, to.snapshot());
            to.allocate(j);
        }
        if (all && take) {
            slots.removeIf(s -> s.machine().equals(p.machine()));
        } else {
            tried.forEach(Slot::restore);
        }
        return all;
    }
}
