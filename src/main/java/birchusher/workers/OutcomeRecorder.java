package birchusher.workers;

import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.mesh.PeerRecord;
import birchusher.model.Priority;
import birchusher.model.Shape;
import birchusher.recovery.LostTasks;
import birchusher.store.Change;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.GangEnd;
import birchusher.store.Job;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the outcomes of attempts in the store. The owner of a machine has the proof that an attempt is over; the controller that schedules the
 * job writes it, so that a single writer batches the changes of a job and its rows have no conflicting writers. If the job scheduler does not
 * write it in time, the owner does. Both write under the same conditions, so each outcome is applied once.
 *
 * <p>Not thread-safe: called on the controller's thread.
 */
public final class OutcomeRecorder {
    /**
     * How an attempt ended. {@code DROPPED}, {@code SILENT}: lost together with all other tasks of its machine, because the worker's lease
     * ended; dropped by a worker that reports again in a later session, or by a worker that is silent.
     *
     * <p>Peers exchange the position of a constant, so the order stays.
     */
    public enum Outcome {
        DONE,
        LOST,
        ERROR,
        NOT_STARTED,
        DROPPED,
        SILENT;

        /** Whether the attempt was lost: it ended with neither a result nor an error of its own. */
        boolean isLoss() {
            return this == LOST || isDroppedWithMachine();
        }

        boolean isDroppedWithMachine() {
            return this == DROPPED || this == SILENT;
        }
    }

    /** How long the job scheduler may take to write an outcome before the owner does. */
    private static final long SCHEDULER_TIMEOUT_MS = 4_000;
    /**
     * The same for tasks dropped with their machine. A thousand tasks dropped at once take longer; when their owners wrote the outcomes
     * in the meantime, each of them took a row write of its own.
     */
    private static final long BULK_TIMEOUT_MS = 12_000;

    /** How long a job scheduler tries to write an outcome that another controller has proof of. */
    private static final long CHANGE_TIMEOUT_MS = 10_000;

    private static final int MAX_ITEMS_PER_RECORD = 400;
    /** After the claims of gangs and services and before those of arrays. */
    private static final int RELEASE_RANK = 3;
    /** Just above the ranks of new claims, which go up to 4 plus the last priority. */
    private static final int RANK_AFTER_CLAIMS = 4 + Priority.values().length;
    /**
     * How long a change may wait to be batched with others of the same rows, for outcomes that are not urgent. The worker keeps the result of a
     * finished array task, and other tasks of its job end soon as well. A dropped task is placed again meanwhile, and the same write removes
     * its old claim.
     */
    private static final long MAX_WRITE_DELAY_MS = 2_000;

    /** The same for any other outcome: other job schedulers see the capacity as free only once it is written. */
    private static final long SHORT_WRITE_DELAY_MS = 300;

    /**
     * An outcome that is not yet visible in the store.
     *
     * @param writeByMs when the owner writes it itself
     * @param queued whether its change is queued in the store client
     */
    private record Pending(Claim claim, Outcome outcome, long writeByMs, boolean queued) {}

    /** Sends records to other controllers. */
    public interface PeerSender {
        /** Sends a record to a member, by its index. */
        void send(int member, PeerRecord record);
    }

    private final Effects effects;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final Counters counters;
    private final PeerSender peers;
    private final LostTasks lostTasks;
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private final Map<Integer, List<PeerRecord.AttemptOutcome>> outbox = new LinkedHashMap<>();

    public OutcomeRecorder(
            Effects effects,
            StoreView view,
            StoreClient store,
            Membership membership,
            Counters counters,
            LostTasks lostTasks,
            PeerSender peers) {
        this.effects = effects;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.counters = counters;
        this.lostTasks = lostTasks;
        this.peers = peers;
    }

    /**
     * Whether the outcome of this attempt is known here and not yet visible in the store. Until it is, the worker must keep the attempt, as its
     * report is the only proof.
     */
    public boolean isPending(String attemptKey) {
        return pending.containsKey(attemptKey);
    }

    /**
     * Records the outcome of an attempt. The caller has the proof that the attempt is over.
     *
     * @return false if an outcome of the attempt is already pending
     */
    boolean recordEnd(Claim claim, Outcome outcome) {
        if (pending.containsKey(claim.attemptKey())) {
            return false;
        }
        int scheduler = membership.schedulerOf(claim.job().spec.id());
        markReleased(claim, outcome, membership.term(claim.shard()), true, scheduler == 0);
        if (scheduler > 0) {
            pending.put(
                    claim.attemptKey(),
                    new Pending(
                            claim,
                            outcome,
                            effects.now() + (outcome.isDroppedWithMachine() ? BULK_TIMEOUT_MS : SCHEDULER_TIMEOUT_MS),
                            false));
            outbox.computeIfAbsent(scheduler, key -> new ArrayList<>())
                    .add(new PeerRecord.AttemptOutcome(
                            claim.job().spec.id(),
                            claim.task(),
                            claim.attempt(),
                            claim.machine(),
                            claim.shard(),
                            membership.term(claim.shard()),
                            outcome.ordinal()));
        } else {
            write(claim, outcome);
        }
        return true;
    }

    /**
     * Marks the claim as released in the local view, so that the task can be placed again before its row is written. Not for errors: these must
     * first count against their machine and job.
     *
     * @param ownProof whether this controller has the proof itself
     * @param ownJob whether this controller schedules the job
     */
    private void markReleased(Claim claim, Outcome outcome, long term, boolean ownProof, boolean ownJob) {
        if (outcome.isLoss() || outcome == Outcome.NOT_STARTED) {
            view.markReleased(new Job.ReleasedClaim(claim, term, ownProof, outcome.isLoss()));
        }
        if (outcome != Outcome.DROPPED) {
            // Only a live machine still has the images of the tasks and capacity for them. While the losses of dead
            // machines counted here too, the autoscaler rented nothing for them.
            return;
        }
        if (ownJob) {
            lostTasks.recordDropped(claim.job().spec.id(), claim.task(), claim.machine(), effects.now());
        } else {
            lostTasks.recordDroppedForPeer(claim.job().spec.id(), claim.task(), claim.machine(), effects.now());
        }
    }

    private void write(Claim claim, Outcome outcome) {
        pending.put(claim.attemptKey(), new Pending(claim, outcome, Long.MAX_VALUE, true));
        boolean queued = store.enqueue(new ReleaseClaim(
                claim.job().spec.id(),
                claim.task(),
                claim.attempt(),
                claim.machine(),
                claim.shard(),
                membership.term(claim.shard()),
                outcome,
                true));
        if (!queued) {
            pending.remove(claim.attemptKey());
            view.unmarkReleased(claim);
        }
    }

    /** Counts an outcome whose claim has left the view, whichever controller wrote it. */
    private void countOutcome(Pending next) {
        counters.recordOutcome(next.outcome == Outcome.DONE);
    }

    private boolean isStillClaimed(Claim claim) {
        Job job = view.job(claim.job().spec.id());
        Claim current = job == null ? null : job.claim(claim.task());
        return current != null
                && current.attempt() == claim.attempt()
                && current.machine().equals(claim.machine());
    }

    /** Sends the gathered outcomes to the job schedulers, and writes those that they did not write in time. */
    public void tick() {
        outbox.forEach((scheduler, items) -> {
            for (int i = 0; i < items.size(); i += MAX_ITEMS_PER_RECORD) {
                peers.send(
                        scheduler,
                        new PeerRecord.AttemptOutcomes(
                                items.subList(i, Math.min(items.size(), i + MAX_ITEMS_PER_RECORD))));
            }
        });
        outbox.clear();
        List<Pending> overdue = null;
        for (var it = pending.values().iterator(); it.hasNext(); ) {
            Pending next = it.next();
            if (!isStillClaimed(next.claim)) {
                it.remove();
                countOutcome(next);
            } else if (!membership.owns(next.claim.shard())) {
                // Only the owner may release the claim; the new owner finds its own proof.
                view.unmarkReleased(next.claim);
                it.remove();
            } else if (!next.queued && effects.now() > next.writeByMs) {
                overdue = overdue == null ? new ArrayList<>() : overdue;
                overdue.add(next);
            }
        }
        if (overdue != null) {
            overdue.forEach(next -> write(next.claim, next.outcome));
        }
    }

    /** As job scheduler: writes outcomes that the owner of a machine has proof of, on condition that the owner's term is unchanged. */
    public void onPeerOutcomes(PeerRecord.AttemptOutcomes record) {
        for (PeerRecord.AttemptOutcome item : record.outcomes()) {
            if (item.shard() >= 0
                    && item.shard() < membership.shardCount()
                    && item.outcomeOrdinal() >= 0
                    && item.outcomeOrdinal() < Outcome.values().length) {
                Outcome outcome = Outcome.values()[item.outcomeOrdinal()];
                boolean queued = store.enqueue(new ReleaseClaim(
                        item.job(),
                        item.task(),
                        item.attempt(),
                        item.machine(),
                        item.shard(),
                        item.term(),
                        outcome,
                        false));
                Job job = view.job(item.job());
                Claim claim = job == null || item.task() >= job.spec.tasks() ? null : job.claim(item.task());
                if (queued
                        && claim != null
                        && claim.attempt() == item.attempt()
                        && claim.machine().equals(item.machine())
                        && claim.shard() == item.shard()) {
                    markReleased(claim, outcome, item.term(), false, true);
                }
            }
        }
    }

    /** Removes one claim from its row, on condition that the shard's term under which its end was proven is unchanged. */
    private final class ReleaseClaim implements Change {
        private final String jobId;
        private final int task;
        private final long attempt;
        private final String machine;
        private final int shard;
        private final long term;
        private final Outcome outcome;
        private final boolean ownProof;
        private final boolean isArray;
        private final boolean endsGang;
        private final boolean endsJob;
        private final long expiresAtMs;

        ReleaseClaim(
                String jobId,
                int task,
                long attempt,
                String machine,
                int shard,
                long term,
                Outcome outcome,
                boolean ownProof) {
            this.jobId = jobId;
            this.task = task;
            this.attempt = attempt;
            this.machine = machine;
            this.shard = shard;
            this.term = term;
            this.outcome = outcome;
            this.ownProof = ownProof;
            expiresAtMs = effects.now() + (outcome.isDroppedWithMachine() ? BULK_TIMEOUT_MS : CHANGE_TIMEOUT_MS);
            Job job = view.job(jobId);
            isArray = job != null && job.spec.shape() == Shape.ARRAY;
            endsGang = job != null && job.spec.isGang() && outcome == Outcome.DONE;
            // The last tasks (2 % and one more) end the job, and its user waits for that: they are written without
            // delay.
            endsJob = job != null
                    && outcome == Outcome.DONE
                    && job.spec.tasks() - job.doneCount() <= 1 + job.spec.tasks() / 50;
        }

        @Override
        public int rank() {
            // A dropped task's old claim is removed by the change that writes its new one. When removals were ranked
            // first, they used up the write limit that the new claims needed.
            return outcome.isDroppedWithMachine() ? RANK_AFTER_CLAIMS : RELEASE_RANK;
        }

        @Override
        public int maxWrites() {
            Job job = endsGang ? view.job(jobId) : null;
            return job == null ? 1 : Math.min(store.maxWritesPerTransaction(), 1 + GangEnd.unmarkedRows(job));
        }

        @Override
        public long maxDelayMs() {
            return endsJob
                    ? 0
                    : outcome == Outcome.DONE && isArray || outcome.isDroppedWithMachine()
                            ? MAX_WRITE_DELAY_MS
                            : SHORT_WRITE_DELAY_MS;
        }

        @Override
        public boolean addsNoWrites(Transaction tx) {
            Job job = view.job(jobId);
            return job != null
                    && tx.editsChunk(jobId, task / job.chunkSize)
                    && (!endsGang || GangEnd.isRecorded(tx, job));
        }

        @Override
        public long expiresAtMs() {
            return ownProof ? Long.MAX_VALUE : expiresAtMs;
        }

        @Override
        public boolean build(Transaction tx) {
            Job job = view.job(jobId);
            // The owner may raise its own term and remains the owner; a job scheduler has only the term in the
            // peer's record.
            if (job == null
                    || task >= job.spec.tasks()
                    || (ownProof ? !membership.owns(shard) : membership.term(shard) != term)) {
                return false;
            }
            Claim current = job.claim(task);
            if (current == null
                    || current.attempt() != attempt
                    || !current.machine().equals(machine)
                    || current.shard() != shard) {
                return false;
            }
            Chunk chunk = tx.editChunk(job, task / job.chunkSize);
            Claim claimInRow = chunk.claims.get(task);
            if (claimInRow == null || claimInRow.attempt() != attempt) {
                // The same transaction places the task again and has replaced this claim.
                return true;
            }
            tx.requireUnchanged(membership.shardKey(shard));
            chunk.claims.remove(task);
            if (outcome == Outcome.DONE) {
                if (job.spec.isGang()) {
                    chunk.done.set(0, chunk.size());
                    GangEnd.record(tx, job, maxWrites() - 1);
                } else {
                    chunk.done.set(task - chunk.index * job.chunkSize);
                }
                chunk.consecutiveErrors = 0;
            } else if (outcome == Outcome.ERROR) {
                chunk.consecutiveErrors++;
            }
            if (outcome.isLoss() || outcome == Outcome.ERROR) {
                chunk.restarts++;
            }
            return true;
        }

        @Override
        public void committed(long revision) {
            // Nothing to do: tick() notices in the view that the claim is gone.
        }

        @Override
        public void dropped() {
            Job job = view.job(jobId);
            Claim current = job == null || task >= job.spec.tasks() ? null : job.claim(task);
            if (current == null || current.attempt() != attempt) {
                // The claim has left the view, perhaps by this very change if its response was lost; tick() counts it.
                return;
            }
            if (ownProof) {
                pending.remove(Claim.attemptKey(jobId, task, attempt));
            }
            if (!pending.containsKey(current.attemptKey())) {
                // The outcome can't be written: planners must see the capacity as used again.
                view.unmarkReleased(current);
            }
        }
    }
}
