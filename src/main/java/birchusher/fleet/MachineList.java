package birchusher.fleet;

import birchusher.cloud.CloudClient;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.store.StoreView;
import birchusher.wire.Wire;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the cloud's list of machines and deletes machines in it that report to no controller. The list lags, so a
 * machine that is missing there proves nothing.
 */
final class MachineList {
    private static final Logger LOG = LoggerFactory.getLogger(MachineList.class);
    private static final long MIN_LIST_INTERVAL_MS = 4_000;
    /** The list is read again after half of the time by which it lags, here in ms per second. */
    private static final double LIST_INTERVAL_MS_PER_LAG_S = 500;
    /** Lower bound of the boot time assumed for a listed machine, whose type is not known. */
    private static final double MIN_BOOT_S = 60;
    /** Added to the workers' lease before a machine that is listed as running and does not report is deleted. */
    private static final double UNREPORTED_MARGIN_S = 20;

    /** The autoscaler's state of the machines. */
    interface FleetState {
        /** Whether the machine was deleted recently or is about to be. */
        boolean isBeingDeleted(String machine);

        /** Whether there is a status of the machine from its owner. */
        boolean hasStatus(String machine);

        /** Whether the machine may be one that is rented and not up yet. */
        boolean mayBeBooting(String machine);

        void delete(String machine);
    }

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final Membership membership;
    private final CloudClient cloud;
    private final double giveUpBoots;
    private final FleetState fleet;
    /** Listed machines that report to no controller, with the time since which they have been seen so. */
    private final Map<String, Long> unreportedSinceMs = new HashMap<>();

    private final Set<String> unreportedRunning = new HashSet<>();
    private boolean listInProgress;
    private long nextListMs;

    MachineList(
            Effects effects,
            Settings settings,
            Catalog catalog,
            StoreView view,
            Membership membership,
            CloudClient cloud,
            double giveUpBoots,
            FleetState fleet) {
        this.effects = effects;
        this.settings = settings;
        this.catalog = catalog;
        this.view = view;
        this.membership = membership;
        this.cloud = cloud;
        this.giveUpBoots = giveUpBoots;
        this.fleet = fleet;
    }

    /** Returns the machines that are listed as running although they report to no controller. */
    Set<String> unreportedRunning() {
        return unreportedRunning;
    }

    /** Starts reading the list if it is due and no reading is in progress. */
    void tick() {
        if (effects.now() < nextListMs || listInProgress) {
            return;
        }
        listInProgress = true;
        nextListMs = effects.now()
                + Math.max(MIN_LIST_INTERVAL_MS, Math.round(settings.cloudListLagS() * LIST_INTERVAL_MS_PER_LAG_S));
        requestPage("", new HashSet<>());
    }

    private void requestPage(String after, Set<String> seen) {
        boolean sent = cloud.call(
                "GET",
                Wire.RENTALS + "?" + Wire.AFTER + "=" + after + "&" + Wire.LIMIT + "=500",
                null,
                (status, reply) -> {
                    if (status != 200) {
                        listInProgress = false;
                        return;
                    }
                    String last = after;
                    for (Object entry : Fields.list(reply, Wire.MACHINES)) {
                        Map<String, Object> fields = Fields.map(entry, "machine");
                        last = Fields.text(fields, Wire.ID);
                        seen.add(last);
                        processListed(last, Fields.text(fields, Wire.STATE), Fields.amountOr(fields, Wire.AGE_S, 0));
                    }
                    if (Boolean.TRUE.equals(reply.get(Wire.HAS_MORE)) && !last.equals(after)) {
                        requestPage(last, seen);
                    } else {
                        listInProgress = false;
                        unreportedSinceMs.keySet().retainAll(seen);
                        unreportedRunning.retainAll(unreportedSinceMs.keySet());
                    }
                });
        if (!sent) {
            listInProgress = false;
        }
    }

    private void processListed(String machine, String state, double ageS) {
        long nowMs = effects.now();
        if (fleet.isBeingDeleted(machine)) {
            return;
        }
        if (state.equals("failed")) {
            // The machine stopped on its own: nothing runs there, and its deletion confirms it.
            fleet.delete(machine);
            return;
        }
        if (fleet.hasStatus(machine)) {
            unreportedSinceMs.remove(machine);
            unreportedRunning.remove(machine);
            return;
        }
        if (fleet.mayBeBooting(machine)) {
            return;
        }
        for (int i = 1; i < membership.memberCount(); i++) {
            if (!membership.isConnected(i)) {
                // The machine may report to a controller from which this one receives no heartbeats.
                unreportedSinceMs.clear();
                unreportedRunning.clear();
                return;
            }
        }
        long sinceMs = unreportedSinceMs.computeIfAbsent(machine, key -> nowMs);
        if (state.equals("running")) {
            unreportedRunning.add(machine);
        }
        double bootS = MIN_BOOT_S;
        for (Catalog.MachineType type : catalog.types()) {
            bootS = Math.max(bootS, type.bootS());
        }
        long timeoutMs = Math.round(
                1000 * (state.equals("running") ? settings.workerLeaseS() + UNREPORTED_MARGIN_S : bootS * giveUpBoots));
        if (nowMs - sinceMs > timeoutMs && view.claims(machine).isEmpty()) {
            LOG.info("machine {} is listed as {} but reports to no controller, deleting it", machine, state);
            fleet.delete(machine);
        }
    }
}
