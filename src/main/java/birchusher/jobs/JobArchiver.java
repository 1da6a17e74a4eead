package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.store.Change;
import birchusher.store.Chunk;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.wire.JobCodec;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the final states of the jobs that this controller schedules, and archives them.
 *
 * <p>Not thread-safe: called on the controller's thread.
 */
final class JobArchiver {
    private static final Logger LOG = LoggerFactory.getLogger(JobArchiver.class);
    private static final int RANK = 9;
    private static final long SWEEP_INTERVAL_MS = 200;
    private static final int MAX_ENDING_JOBS = 100;
    /** Longest time for which the archiving of a job waits for other changes. */
    private static final long MAX_DELAY_MS = 1_000;

    private final Effects effects;
    private final JobCodec codec;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final int maxTransactionOps;
    private final GangEndRepair gangEndRepair;
    /** Ids of the jobs whose end is queued. */
    private final Set<String> endingJobs = new HashSet<>();

    private long nextSweepMs;

    JobArchiver(Effects effects, JobCodec codec, StoreView view, StoreClient store, Membership membership) {
        this.effects = effects;
        this.codec = codec;
        this.view = view;
        this.store = store;
        this.membership = membership;
        maxTransactionOps = store.maxWritesPerTransaction();
        gangEndRepair = new GangEndRepair(effects, view, store, membership);
    }

    /**
     * Writes final states, and archives ended jobs once none of their tasks is on any machine: one row with the final state replaces
     * the rows of the job.
     */
    void tick() {
        long nowMs = effects.now();
        if (!store.loaded() || !store.healthy() || !membership.canAct() || nowMs < nextSweepMs) {
            return;
        }
        nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
        gangEndRepair.tick();
        for (Job job : view.jobs()) {
            boolean ended = (job.state() != Job.State.OPEN || job.allDone()) && job.claimCount() == 0;
            if (ended
                    && membership.schedules(job.spec.id())
                    && endingJobs.size() < MAX_ENDING_JOBS
                    && endingJobs.add(job.spec.id())) {
                if (!store.enqueue(new EndJob(job.spec.id(), Math.min(maxTransactionOps, job.chunks.size() + 2)))) {
                    endingJobs.remove(job.spec.id());
                }
            }
        }
    }

    /**
     * Records that a job is done, or archives an ended job. The placement rows of a large job are deleted in several
     * transactions.
     */
    private final class EndJob implements Change {
        private final String id;
        private final int maxWrites;
        private boolean archives;
        private boolean done;

        EndJob(String id, int maxWrites) {
            this.id = id;
            this.maxWrites = maxWrites;
        }

        @Override
        public int rank() {
            return RANK;
        }

        /** Can wait: polls are answered from the set of done tasks already, and this change only archives rows. */
        @Override
        public long maxDelayMs() {
            return MAX_DELAY_MS;
        }

        @Override
        public int maxWrites() {
            return maxWrites;
        }

        @Override
        public boolean build(Transaction tx) {
            Job job = view.job(id);
            if (job == null || tx.writes(Keys.JOB + id)) {
                return false;
            }
            done = job.state() == Job.State.DONE || job.state() == Job.State.OPEN && job.allDone();
            if (!done && job.state() != Job.State.CANCELLED) {
                return false;
            }
            int placementRows = 0;
            for (Chunk chunk : job.chunks) {
                placementRows += chunk == null ? 0 : 1;
            }
            archives = job.claimCount() == 0 && placementRows + 2 <= maxTransactionOps;
            if (archives) {
                for (Chunk chunk : job.chunks) {
                    if (chunk != null) {
                        tx.remove(Keys.placement(id, chunk.index));
                    }
                }
                tx.remove(Keys.JOB + id);
                tx.put(Keys.ENDED_JOB + id, StoreView.endedJobRow(done, job.spec.tasks()));
                return true;
            }
            if (job.state() == Job.State.OPEN) {
                for (Chunk chunk : job.chunks) {
                    tx.requireUnchanged(Keys.placement(id, chunk.index));
                    if (tx.conditionCount() > 3 * maxTransactionOps) {
                        break;
                    }
                }
                tx.put(Keys.JOB + id, JobRow.withState(codec, job, Job.State.DONE));
                return true;
            }
            if (job.claimCount() > 0) {
                return false;
            }
            int removed = 0;
            for (Chunk chunk : job.chunks) {
                if (chunk != null && removed++ < maxTransactionOps - 1) {
                    tx.remove(Keys.placement(id, chunk.index));
                }
            }
            tx.requireUnchanged(Keys.JOB + id);
            return true;
        }

        @Override
        public void committed(long revision) {
            endingJobs.remove(id);
            if (archives) {
                LOG.info("job {} ended: {}", id, done ? "done" : "cancelled");
            }
        }

        @Override
        public void dropped() {
            endingJobs.remove(id);
        }
    }
}
