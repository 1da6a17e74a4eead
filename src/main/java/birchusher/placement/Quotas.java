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
    private static final String CPUS = "c";
    private static final String GPUS = "g";
    private static final String SINCE = "s";
    /** A gate is opened when each quota holds this many tasks, and stays open while it holds a few. */
    private static final int OPEN_TASKS = 16;

    private static final int STAY_TASKS = 4;
    private static final double NO_LIMIT = 1e12;

    /** What this process has claimed under which version of a row. */
    private static final class Spent {
        long version = -1;
        double cpus;
        double gpus;
    }

    private final Catalog catalog;
    private final StoreView view;
    private final int controllers;
    private final Spent[] spent;
    /** What was there before us may hold claims of an earlier life of ours: such a version's quota counts as used up. */
    private long bornAt = -1;

    public Quotas(Catalog catalog, StoreView view, int controllers) {
        this.catalog = catalog;
        this.view = view;
        this.controllers = controllers;
        spent = new Spent[catalog.teams.size()];
        for (int i = 0; i < spent.length; i++) {
            spent[i] = new Spent();
        }
    }

    private static String key(Settings.Team team) {
        return Keys.QUOTA + team.name();
    }

    enum Pass {
        YES,
        NO,
        TIGHTENED
    }

    /**
     * Makes the claims of so many tasks, with what they take together, part of a transaction if the team's limit surely
     * allows them. NO: not, or not yet. TIGHTENED: not now, and the transaction closes the gate so that use becomes exact.
     * What is granted stays spent even if the transaction then fails: one that was not answered may still be applied.
     */
    Pass pass(Transaction tx, int t, int tasks, double cpus, double gpus) {
        Settings.Team team = catalog.team(t);
        String key = key(team);
        Map<String, Object> row = view.row(key);
        long version = view.version(key);
        boolean open = row != null && row.get(GPUS) != null;
        bornAt = bornAt < 0 ? view.appliedRevision() : bornAt;
        if (spent[t].version != version && version > bornAt) {
            begin(t, version);
        }
        if (open
                && !tx.writes(key)
                && spent[t].version == version
                && fits(spent[t].cpus + cpus, spent[t].gpus + gpus, quota(row, CPUS), quota(row, GPUS))) {
            spent[t].cpus += cpus;
            spent[t].gpus += gpus;
            tx.requireUnchanged(key);
            return Pass.YES;
        }
        // The view must hold every claim made before the row last stopped being open, or its use would be too low.
        long since = row == null ? 0 : open ? version : Fields.countOr(row, SINCE, version);
        if (view.appliedRevision() < since) {
            return Pass.NO;
        }
        double[] before = tx.claimedByTeam(t);
        double useCpus = view.claimedCpus(t) + before[0] + cpus;
        double useGpus = view.claimedGpus(t) + before[1] + gpus;
        if (open) {
            // All that may have been claimed under the open row, our own earlier lives' claims among it.
            useCpus += controllers * quota(row, CPUS);
            useGpus += controllers * quota(row, GPUS);
        }
        if (Catalog.over(team.cpusMax(), useCpus) || Catalog.over(team.gpusMax(), useGpus)) {
            if (!open || tx.writes(key)) {
                return Pass.NO;
            }
            // Nothing can be claimed on top of the quotas: tight from here on, and exact once the view is that far.
            tx.put(key, Map.of());
            return Pass.TIGHTENED;
        }
        double qc = share(team.cpusMax(), useCpus);
        double qg = share(team.gpusMax(), useGpus);
        double worthTasks = open ? STAY_TASKS : OPEN_TASKS;
        boolean worth = enough(team.cpusMax(), qc, worthTasks * cpus / tasks)
                && enough(team.gpusMax(), qg, worthTasks * gpus / tasks);
        Map<String, Object> next = new LinkedHashMap<>();
        if (worth) {
            next.put(CPUS, qc);
            next.put(GPUS, qg);
        } else if (!open) {
            next.put(SINCE, since);
        }
        tx.put(key, next);
        return Pass.YES;
    }

    private void begin(int t, long version) {
        spent[t].version = version;
        spent[t].cpus = 0;
        spent[t].gpus = 0;
    }

    /** Half of what is left, in equal parts: the other half lets the row be written again before use is exact. */
    private double share(double limit, double use) {
        return limit <= 0 ? NO_LIMIT : Math.max(0, limit - use) / (2 * controllers);
    }

    private static boolean enough(double limit, double quota, double least) {
        return limit <= 0 || quota >= Math.max(least, Catalog.EPS);
    }

    private static double quota(Map<String, Object> row, String key) {
        return Fields.amountOr(row, key, 0);
    }

    private static boolean fits(double cpus, double gpus, double maxCpus, double maxGpus) {
        return cpus <= maxCpus + Catalog.EPS && gpus <= maxGpus + Catalog.EPS;
    }
}
