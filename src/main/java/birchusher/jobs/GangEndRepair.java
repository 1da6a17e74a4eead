package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.store.Change;
import birchusher.store.Chunk;
import birchusher.store.GangEnd;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Completes the record of a gang's end where only some of the gang's rows show it: rows that an earlier version wrote, or more rows
 * than one transaction may write. Without this, such a gang could neither end nor start again.
 *
 * <p>Not thread-safe: called on the controller's thread.
 */
final class GangEndRepair {
    private static final Logger LOG = LoggerFactory.getLogger(GangEndRepair.class);
    private static final long INTERVAL_MS = 500;
    /** The same as that of the ends of tasks. */
    private static final int RANK = 3;

    private final Effects effects;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    /** Ids of the gangs whose change is queued. */
    private final Set<String> queuedJobs = new HashSet<>();

    private long nextCheckMs;

    GangEndRepair(Effects effects, StoreView view, StoreClient store, Membership membership) {
        this.effects = effects;
        this.view = view;
        this.store = store;
        this.membership = membership;
    }

    /** Queues a change for each open gang that is done by some of its rows only and that this controller schedules. */
    void tick() {
        if (effects.now() < nextCheckMs) {
            return;
        }
        nextCheckMs = effects.now() + INTERVAL_MS;
        for (Job job : view.jobs()) {
            String id = job.spec.id();
            if (isPartlyDone(job) && membership.schedules(id) && queuedJobs.add(id)) {
                LOG.info("gang {} is done by {} of its {} tasks; completing", id, job.doneCount(), job.spec.tasks());
                if (!store.enqueue(new CompleteGangEnd(id))) {
                    queuedJobs.remove(id);
                }
            }
        }
    }

    private static boolean isPartlyDone(Job job) {
        return job.spec.isGang() && job.state() == Job.State.OPEN && job.doneCount() > 0 && !job.allDone();
    }

    /** Marks the rows of a gang that do not show its end yet, as many as one transaction may write. */
    private final class CompleteGangEnd implements Change {
        private final String id;

        CompleteGangEnd(String id) {
            this.id = id;
        }

        @Override
        public int rank() {
            return RANK;
        }

        @Override
        public int maxWrites() {
            Job job = view.job(id);
            return job == null ? 1 : Math.max(1, Math.min(store.maxWritesPerTransaction(), GangEnd.unmarkedRows(job)));
        }

        @Override
        public boolean build(Transaction tx) {
            Job job = view.job(id);
            if (job == null || !isPartlyDone(job)) {
                return false;
            }
            requireEndUnchanged(tx, job);
            GangEnd.record(tx, job, maxWrites());
            return true;
        }

        /** Adds the condition on the first row that shows the gang's end, as this is the proof of it. */
        private void requireEndUnchanged(Transaction tx, Job job) {
            for (Chunk chunk : job.chunks) {
                if (chunk != null && !chunk.done.isEmpty()) {
                    tx.requireUnchanged(Keys.placement(id, chunk.index));
                    return;
                }
            }
        }

        @Override
        public void committed(long revision) {
            queuedJobs.remove(id);
        }

        @Override
        public void dropped() {
            queuedJobs.remove(id);
        }
    }
}
