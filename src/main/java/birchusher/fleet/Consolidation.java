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

/** Drains sparsely used machines, so that they can be returned. */
final class Consolidation {
    private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

    private static final long CHECK_INTERVAL_MS = 2_000;
    /** One machine is drained at a time, and one more for each so many machines of the fleet. */
    private static final int MACHINES_PER_DRAIN = 50;

    private final Catalog catalog;
    private final StoreView view;
    private final long moveAfterMs;
    private final BiConsumer<String, Boolean> requestReturn;
    private final Function<Map<String, MachineStatus>, List<Slot>> freeSlots;
    private final ToLongFunction<Claim> runningForMs;
    private final ToDoubleFunction<MachineStatus> idleTimeoutMs;
    /** Machines whose replicas all fit on other machines, with the time since which they do. */
    private final Map<String, Long> movableSinceMs = new HashMap<>();

    private long nextCheckMs;

    Consolidation(
            Catalog catalog,
            StoreView view,
            long moveAfterMs,
            BiConsumer<String, Boolean> requestReturn,
            Function<Map<String, MachineStatus>, List<Slot>> freeSlots,
            ToLongFunction<Claim> runningForMs,
            ToDoubleFunction<MachineStatus> idleTimeoutMs) {
        this.catalog = catalog;
        this.view = view;
        this.moveAfterMs = moveAfterMs;
        this.requestReturn = requestReturn;
        this.freeSlots = freeSlots;
        this.runningForMs = runningForMs;
        this.idleTimeoutMs = idleTimeoutMs;
    }

    /**
     * Looks every 2 s for machines to drain. Replicas that are spread thinly keep whole machines rented. A machine is
     * drained if all of its few replicas have for a while found capacity and their images on other machines. A move
     * costs a replica about one second.
     */
    void tick(Planner.Plan plan, Map<String, MachineStatus> statuses, long nowMs) {
        if (nowMs < nextCheckMs) {
            return;
        }
        nextCheckMs = nowMs + CHECK_INTERVAL_MS;
        if (!plan.unplaced().isEmpty()) {
            // Capacity is short and all that is free is needed. Machines that were sparsely used before still are,
            // so their times are kept.
            return;
        }
        List<Slot> slots = freeSlots.apply(statuses);
        slots.removeIf(slot -> view.claims(slot.machine()).isEmpty());
        // The fullest machines first, so that moved replicas do not keep another sparsely used machine rented.
        slots.sort(Comparator.comparingDouble(Slot::freeShare));
        List<MachineStatus> candidates = new ArrayList<>();
        int beingReturnedCount = 0;
        for (MachineStatus status : statuses.values()) {
            beingReturnedCount += status.beingReturned() ? 1 : 0;
            if (status.beingReturned()
                    || !status.usable()
                    || catalog.type(status.type()) == null
                    || !runsOnlyMovableReplicas(status)
                    || !fitsElsewhere(status, slots, false)) {
                movableSinceMs.remove(status.machine());
            } else if (nowMs - movableSinceMs.computeIfAbsent(status.machine(), key -> nowMs)
                    > Math.max(moveAfterMs, idleTimeoutMs.applyAsDouble(status))) {
                candidates.add(status);
            }
        }
        movableSinceMs.keySet().retainAll(statuses.keySet());
        candidates.sort(Comparator.comparingDouble(this::savingPerReplica).reversed());
        for (MachineStatus status : candidates) {
            // In a large fleet, several machines are drained at once; the replicas of each machine still move one
            // after the other.
            if (beingReturnedCount >= 1 + statuses.size() / MACHINES_PER_DRAIN) {
                return;
            }
            if (fitsElsewhere(status, slots, true)) {
                beingReturnedCount++;
                movableSinceMs.remove(status.machine());
                LOG.info(
                        "draining machine {}, its {} replicas fit on other machines",
                        status.machine(),
                        view.claims(status.machine()).size());
                requestReturn.accept(status.machine(), true);
            }
        }
    }

    /** Returns the price that returning a machine saves, divided by the number of replicas that have to move. */
    private double savingPerReplica(MachineStatus status) {
        Catalog.MachineType type = catalog.type(status.type());
        return (status.spot() ? type.spotPricePerHour() : type.pricePerHour())
                / Math.max(1, view.claims(status.machine()).size());
    }

    /** Whether a machine has claims, all of them of service replicas that have run for long enough to be moved. */
    private boolean runsOnlyMovableReplicas(MachineStatus status) {
        for (Claim claim : view.claims(status.machine()).values()) {
            if (!claim.job().spec.isService() || runningForMs.applyAsLong(claim) < moveAfterMs) {
                return false;
            }
        }
        return !view.claims(status.machine()).isEmpty();
    }

    /**
     * Whether all replicas of a machine find capacity and their images on other machines. If so and
     * {@code allocate} is set, that capacity is allocated in {@code slots}, and the machine's own slots are removed;
     * else {@code slots} is unchanged.
     */
    private boolean fitsElsewhere(MachineStatus status, List<Slot> slots, boolean allocate) {
        Map<Slot, Slot.Snapshot> snapshots = new LinkedHashMap<>();
        boolean allFit = true;
        for (Claim claim : view.claims(status.machine()).values()) {
            JobSpec spec = claim.job().spec;
            // A job spread over zones stays in its zone, so that its zone rule still holds after the move.
            Slot target = null;
            for (Slot slot : slots) {
                if (slot.fits(spec)
                        && slot.allows(spec)
                        && slot.startDelayMs(spec) <= 0
                        && (slot.zone() == status.zone() || spec.tasks() == 1)
                        && !slot.machine().equals(status.machine())) {
                    target = slot;
                    break;
                }
            }
            if (target == null) {
                allFit = false;
                break;
            }
            snapshots.putIfAbsent(target, target.snapshot());
            target.allocate(spec);
        }
        if (allFit && allocate) {
            slots.removeIf(slot -> slot.machine().equals(status.machine()));
        } else {
            snapshots.forEach(Slot::restore);
        }
        return allFit;
    }
}
