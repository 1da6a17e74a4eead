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
 * Keeps every team within its limit without a row write for each claim. A team's quota row is either
 *
 * <p><b>shared</b>: each controller may claim up to a quota under this version of the row, and its claims only
 * condition on the version. When the row was written, use plus all quotas were within the limit, so whatever the
 * controllers claim under it is within the limit, too, though no controller sees the claims of the others at once; or
 *
 * <p><b>serialized</b>: each claim also writes the row, so the claims of the team are serialized and the use that a
 * view shows is exact. This is the mode near the limit.
 *
 * <p>Not thread-safe.
 */
public final class Quotas {
    private static final String CPUS_FIELD = "c";
    private static final String GPUS_FIELD = "g";
    private static final String SERIALIZED_SINCE_FIELD = "s";
    /**
     * A quota row becomes shared when each quota holds this many tasks, and stays shared while it holds
     * {@link #STAY_SHARED_MIN_TASKS}.
     */
    private static final int SHARE_MIN_TASKS = 16;

    private static final int STAY_SHARED_MIN_TASKS = 4;
    private static final double UNLIMITED_QUOTA = 1e12;

    /** What this process has claimed under a version of a quota row. */
    private static final class QuotaUse {
        long rowVersion = -1;
        double cpus;
        double gpus;
    }

    private final Catalog catalog;
    private final StoreView view;
    private final int controllerCount;
    private final QuotaUse[] usedByTeam;
    /**
     * Revision of the view at the first claim, or -1. A row version up to it may include claims of an earlier
     * incarnation of this controller, so its quota counts as used up.
     */
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

    /** Result of {@link #tryClaim}. */
    enum Decision {
        GRANTED,
        REFUSED,
        SERIALIZED
    }

    /**
     * Adds the conditions and writes for claims to a transaction if the team's limit certainly allows them. GRANTED: it
     * does. REFUSED: it does not, or not yet. SERIALIZED: it does not under the shared row, and the transaction makes
     * the row serialized so that use becomes exact. What is granted stays used even if the transaction then fails: a transaction without a
     * response may still be applied.
     *
     * @param tasks number of tasks to claim
     * @param cpus cpus of all these tasks
     * @param gpus gpus of all these tasks
     */
    Decision tryClaim(Transaction tx, int team, int tasks, double cpus, double gpus) {
        Settings.Team teamSettings = catalog.team(team);
        String key = rowKey(teamSettings);
        Map<String, Object> row = view.row(key);
        long version = view.version(key);
        boolean shared = row != null && row.get(GPUS_FIELD) != null;
        startRevision = startRevision < 0 ? view.appliedRevision() : startRevision;
        if (usedByTeam[team].rowVersion != version && version > startRevision) {
            resetUse(team, version);
        }
        if (shared
                && !tx.writes(key)
                && usedByTeam[team].rowVersion == version
                && withinQuota(
                        usedByTeam[team].cpus + cpus,
                        usedByTeam[team].gpus + gpus,
                        quota(row, CPUS_FIELD),
                        quota(row, GPUS_FIELD))) {
            usedByTeam[team].cpus += cpus;
            usedByTeam[team].gpus += gpus;
            tx.requireUnchanged(key);
            return Decision.GRANTED;
        }
        // The view must include every claim made before the row last stopped being shared, or its use would be too low.
        long serializedSince =
                row == null ? 0 : shared ? version : Fields.countOr(row, SERIALIZED_SINCE_FIELD, version);
        if (view.appliedRevision() < serializedSince) {
            return Decision.REFUSED;
        }
        double[] earlier = tx.claimedByTeam(team);
        double useCpus = view.claimedCpus(team) + earlier[0] + cpus;
        double useGpus = view.claimedGpus(team) + earlier[1] + gpus;
        if (shared) {
            // Everything that may have been claimed under the shared row, by earlier incarnations of this controller as
            // well.
            useCpus += controllerCount * quota(row, CPUS_FIELD);
            useGpus += controllerCount * quota(row, GPUS_FIELD);
        }
        if (Catalog.exceeds(teamSettings.cpusMax(), useCpus) || Catalog.exceeds(teamSettings.gpusMax(), useGpus)) {
            if (!shared || tx.writes(key)) {
                return Decision.REFUSED;
            }
            // Nothing can be claimed in addition to the quotas: serialized from here on, and exact once the view
            // includes this write.
            tx.put(key, Map.of());
            return Decision.SERIALIZED;
        }
        double cpuQuota = quotaFor(teamSettings.cpusMax(), useCpus);
        double gpuQuota = quotaFor(teamSettings.gpusMax(), useGpus);
        double minTasks = shared ? STAY_SHARED_MIN_TASKS : SHARE_MIN_TASKS;
        boolean quotasSuffice = quotaSuffices(teamSettings.cpusMax(), cpuQuota, minTasks * cpus / tasks)
                && quotaSuffices(teamSettings.gpusMax(), gpuQuota, minTasks * gpus / tasks);
        Map<String, Object> newRow = new LinkedHashMap<>();
        if (quotasSuffice) {
            newRow.put(CPUS_FIELD, cpuQuota);
            newRow.put(GPUS_FIELD, gpuQuota);
        } else if (!shared) {
            newRow.put(SERIALIZED_SINCE_FIELD, serializedSince);
        }
        tx.put(key, newRow);
        return Decision.GRANTED;
    }

    private void resetUse(int team, long version) {
        usedByTeam[team].rowVersion = version;
        usedByTeam[team].cpus = 0;
        usedByTeam[team].gpus = 0;
    }

    /**
     * Half of what is left in equal parts. The other half allows the row to be written again before use has to be
     * exact.
     */
    private double quotaFor(double limit, double used) {
        return limit <= 0 ? UNLIMITED_QUOTA : Math.max(0, limit - used) / (2 * controllerCount);
    }

    private static boolean quotaSuffices(double limit, double quota, double minQuota) {
        return limit <= 0 || quota >= Math.max(minQuota, Catalog.EPSILON);
    }

    private static double quota(Map<String, Object> row, String key) {
        return Fields.amountOr(row, key, 0);
    }

    private static boolean withinQuota(double cpus, double gpus, double maxCpus, double maxGpus) {
        return cpus <= maxCpus + Catalog.EPSILON && gpus <= maxGpus + Catalog.EPSILON;
    }
}
