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

/** The cloud's own list of machines. It lags, so a machine missing there proves nothing; one that nobody knows is returned. */
final class MachineList {
    private static final Logger LOG = LoggerFactory.getLogger(MachineList.class);

    /** What the autoscaler knows of a machine. */
    interface FleetState {
        /** Deleted lately, or about to be. */
        boolean isBeingDeleted(String machine);

        /** In the picture of the fleet. */
        boolean hasStatus(String machine);

        /** Rented and not up yet, as far as can be told. */
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
    /** Listed machines that report to nobody, since when. */
    private final Map<String, Long> unreportedSinceMs = new HashMap<>();

    private final Set<String> unreportedRunning = new HashSet<>();
    private boolean listInProgress;
    private long nextListMs;

    MachineList(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            Membership membership,
            CloudClient cloud,
            double giveUpBoots,
            FleetState autoscaler) {
        this.effects = effects;
        settings = s;
        this.catalog = catalog;
        this.view = view;
        this.membership = membership;
        this.cloud = cloud;
        this.giveUpBoots = giveUpBoots;
        this.fleet = autoscaler;
    }

    /** The strangers that are listed as running. */
    Set<String> unreportedRunning() {
        return unreportedRunning;
    }

    void tick() {
        if (effects.now() < nextListMs || listInProgress) {
            return;
        }
        listInProgress = true;
        nextListMs = effects.now() + Math.max(4_000, Math.round(settings.listLagS() * 500));
        requestPage("", new HashSet<>());
    }

    private void requestPage(String after, Set<String> seen) {
        boolean sent = cloud.call(
                "GET", Wire.RENTALS + "?" + Wire.AFTER + "=" + after + "&" + Wire.LIMIT + "=500", null, (status, m) -> {
                    if (status != 200) {
                        listInProgress = false;
                        return;
                    }
                    String last = after;
                    for (Object o : Fields.list(m, Wire.MACHINES)) {
                        Map<String, Object> x = Fields.map(o, "machine");
                        last = Fields.text(x, Wire.ID);
                        seen.add(last);
                        processListed(last, Fields.text(x, Wire.STATE), Fields.amountOr(x, Wire.AGE, 0));
                    }
                    if (Boolean.TRUE.equals(m.get(Wire.MORE)) && !last.equals(after)) {
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
        long now = effects.now();
        if (fleet.isBeingDeleted(machine)) {
            return;
        }
        if (state.equals("failed")) {
            // It stopped on its own: nothing runs there, and deleting it says so.
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
                // It may well report to a controller that we can't hear.
                unreportedSinceMs.clear();
                unreportedRunning.clear();
                return;
            }
        }
        long since = unreportedSinceMs.computeIfAbsent(machine, k -> now);
        if (state.equals("running")) {
            unreportedRunning.add(machine);
        }
        double bootS = 60;
        for (Catalog.MachineType t : catalog.types()) {
            bootS = Math.max(bootS, t.bootS());
        }
        long patience = Math.round(1000 * (state.equals("running") ? settings.leaseS() + 20 : bootS * giveUpBoots));
        if (now - since > patience && view.claims(machine).isEmpty()) {
            LOG.info("machine {} is listed as {} but reports to nobody, deleted", machine, state);
            fleet.delete(machine);
        }
    }
}
