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
    interface Known {
        /** Deleted lately, or about to be. */
        boolean leaves(String machine);

        /** In the picture of the fleet. */
        boolean known(String machine);

        /** Rented and not up yet, as far as can be told. */
        boolean awaited(String machine);

        void delete(String machine);
    }

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final Membership membership;
    private final CloudClient cloud;
    private final double giveUpBoots;
    private final Known autoscaler;
    /** Listed machines that report to nobody, since when. */
    private final Map<String, Long> strangers = new HashMap<>();

    private final Set<String> running = new HashSet<>();
    private boolean listing;
    private long nextList;

    MachineList(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            Membership membership,
            CloudClient cloud,
            double giveUpBoots,
            Known autoscaler) {
        this.effects = effects;
        settings = s;
        this.catalog = catalog;
        this.view = view;
        this.membership = membership;
        this.cloud = cloud;
        this.giveUpBoots = giveUpBoots;
        this.autoscaler = autoscaler;
    }

    /** The strangers that are listed as running. */
    Set<String> running() {
        return running;
    }

    void tick() {
        if (effects.now() < nextList || listing) {
            return;
        }
        listing = true;
        nextList = effects.now() + Math.max(4_000, Math.round(settings.listLagS() * 500));
        page("", new HashSet<>());
    }

    private void page(String after, Set<String> seen) {
        boolean sent = cloud.call(
                "GET", Wire.RENTALS + "?" + Wire.AFTER + "=" + after + "&" + Wire.LIMIT + "=500", null, (status, m) -> {
                    if (status != 200) {
                        listing = false;
                        return;
                    }
                    String last = after;
                    for (Object o : Fields.list(m, Wire.MACHINES)) {
                        Map<String, Object> x = Fields.map(o, "machine");
                        last = Fields.text(x, Wire.ID);
                        seen.add(last);
                        listed(last, Fields.text(x, Wire.STATE), Fields.amountOr(x, Wire.AGE, 0));
                    }
                    if (Boolean.TRUE.equals(m.get(Wire.MORE)) && !last.equals(after)) {
                        page(last, seen);
                    } else {
                        listing = false;
                        strangers.keySet().retainAll(seen);
                        running.retainAll(strangers.keySet());
                    }
                });
        if (!sent) {
            listing = false;
        }
    }

    private void listed(String machine, String state, double ageS) {
        long now = effects.now();
        if (autoscaler.leaves(machine)) {
            return;
        }
        if (state.equals("failed")) {
            // It stopped on its own: nothing runs there, and deleting it says so.
            autoscaler.delete(machine);
            return;
        }
        if (autoscaler.known(machine)) {
            strangers.remove(machine);
            running.remove(machine);
            return;
        }
        if (autoscaler.awaited(machine)) {
            return;
        }
        for (int i = 1; i < membership.memberCount(); i++) {
            if (!membership.isConnected(i)) {
                // It may well report to a controller that we can't hear.
                strangers.clear();
                running.clear();
                return;
            }
        }
        long since = strangers.computeIfAbsent(machine, k -> now);
        if (state.equals("running")) {
            running.add(machine);
        }
        double bootS = 60;
        for (Catalog.MachineType t : catalog.types()) {
            bootS = Math.max(bootS, t.bootS());
        }
        long patience = Math.round(1000 * (state.equals("running") ? settings.leaseS() + 20 : bootS * giveUpBoots));
        if (now - since > patience && view.claims(machine).isEmpty()) {
            LOG.info("machine {} is listed as {} but reports to nobody, deleted", machine, state);
            autoscaler.delete(machine);
        }
    }
}
