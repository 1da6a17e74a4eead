package birchusher.placement;

import birchusher.core.Fields;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps every team within its limit without a write for each claim. A team's gate row is either
 *
 * <p><b>open</b>: each controller may claim up to a quota under this version of the row, and its claims only condition on
 * the version. When the row was written, use plus all quotas were within the limit, so whatever the controllers claim under
 * it is, too, though none of them sees the others' claims at once; or
 *
 * <p><b>tight</b>: each claim also writes the row, so claims of the team are serialised and the use that a view shows is
 * exact. So it is while the limit is near.
 */
public final class Quotas {
    private static final String CPUS_FIELD = "c";
    private static final String GPUS_FIELD = "g";
    private static final String SERIALIZED_SINCE_FIELD = "s";
    /** A gate is opened when each quota holds this many tasks, and stays open while it holds a few. */
    private static final int SHARE_MIN_TASKS = 16;

    private static final int STAY_SHARED_MIN_TASKS = 4;
    private static final double UNLIMITED_QUOTA = 1e12;

    /** What this process has claimed under which version of a row. */
    private static final class QuotaUse {
        long rowVersion = -1;
        double cpus;
        double gpus;
    }

    private final Catalog catalog;
    private final StoreView view;
    private final int controllerCount;
    private final QuotaUse[] usedByTeam;
    /** What was there before us may hold claims of an earlier life of ours: such a version's quota counts as used up. */
    private long startRevision = -1;

    public Quotas(Catalog catalog, StoreView view, int controllers) {
        this.catalog = catalog;
        this.view = view;
        this.controllerCount = controllers;
        usedByTeam = new QuotaUse[catalog.teams.size()];
        for (int i = 0; i < usedByTeam.length; i++) {
            usedByTeam[i] = new QuotaUse();
        }
    }

    private static String rowKey(Settings.Team team) {
        return Keys.QUOTA + team.name();
    }

    enum Decision {
        GRANTED,
        REFUSED,
        SERIALIZED
    }

    /**
     * Makes the claims of so many tasks, with what they take together, part of a transaction if the team's limit surely
     * allows them. NO: not, or not yet. TIGHTENED: not now, and the transaction closes the gate so that use becomes exact.
     * What is granted stays spent even if the transaction then fails: one that was not answered may still be applied.
     */
    Decision tryClaim(Transaction tx, int t, int tasks, double cpus, double gpus) {
        Settings.Team team = catalog.team(t);
        String key = rowKey(team);
        Map<String, Object> row = view.row(key);
        long version = view.version(key);
        boolean open = row != null && row.get(GPUS_FIELD) != null;
        startRevision = startRevision < 0 ? view.appliedRevision() : startRevision;
        if (usedByTeam[t].rowVersion != version && version > startRevision) {
            resetUse(t, version);
        }
        if (open
                && !tx.writes(key)
                && usedByTeam[t].rowVersion == version
                && withinQuota(
                        usedByTeam[t].cpus + cpus,
                        usedByTeam[t].gpus + gpus,
                        quota(row, CPUS_FIELD),
                        quota(row, GPUS_FIELD))) {
            usedByTeam[t].cpus += cpus;
            usedByTeam[t].gpus += gpus;
            tx.requireUnchanged(key);
            return Decision.GRANTED;
        }
        // The view must hold every claim made before the row last stopped being open, or its use would be too low.
        long since = row == null ? 0 : open ? version : Fields.countOr(row, SERIALIZED_SINCE_FIELD, version);
        if (view.appliedRevision() < since) {
            return Decision.REFUSED;
        }
        double[] before = tx.claimedByTeam(t);
        double useCpus = view.claimedCpus(t) + before[0] + cpus;
        double useGpus = view.claimedGpus(t) + before[1] + gpus;
        if (open) {
            // All that may have been claimed under the open row, our own earlier lives' claims among it.
            useCpus += controllerCount * quota(row, CPUS_FIELD);
            useGpus += controllerCount * quota(row, GPUS_FIELD);
        }
        if (Catalog.exceeds(team.cpusMax(), useCpus) || Catalog.exceeds(team.gpusMax(), useGpus)) {
            if (!open || tx.writes(key)) {
                return Decision.REFUSED;
            }
            // Nothing can be claimed on top of the quotas: tight from here on, and exact once the view is that far.
            tx.put(key, Map.of());
            return Decision.SERIALIZED;
        }
        double qc = quotaFor(team.cpusMax(), useCpus);
        double qg = quotaFor(team.gpusMax(), useGpus);
        double worthTasks = open ? STAY_SHARED_MIN_TASKS : SHARE_MIN_TASKS;
        boolean worth = quotaSuffices(team.cpusMax(), qc, worthTasks * cpus / tasks)
                && quotaSuffices(team.gpusMax(), qg, worthTasks * gpus / tasks);
        Map<String, Object> next = new LinkedHashMap<>();
        if (worth) {
            next.put(CPUS_FIELD, qc);
            next.put(GPUS_FIELD, qg);
        } else if (!open) {
            next.put(SERIALIZED_SINCE_FIELD, since);
        }
        tx.put(key, next);
        return Decision.GRANTED;
    }

    private void resetUse(int t, long version) {
        usedByTeam[t].rowVersion = version;
        usedByTeam[t].cpus = 0;
        usedByTeam[t].gpus = 0;
    }

    /** Half of what is left, in equal parts: the other half lets the row be written again before use is exact. */
    private double quotaFor(double limit, double use) {
        return limit <= 0 ? UNLIMITED_QUOTA : Math.max(0, limit - use) / (2 * controllerCount);
    }

    private static boolean quotaSuffices(double limit, double quota, double least) {
        return limit <= 0 || quota >= Math.max(least, Catalog.EPSILON);
    }

    private static double quota(Map<String, Object> row, String key) {
        return Fields.amountOr(row, key, 0);
    }

    private static boolean withinQuota(double cpus, double gpus, double maxCpus, double maxGpus) {
        return cpus <= maxCpus + Catalog.EPSILON && gpus <= maxGpus + Catalog.EPSILON;
    }
}
