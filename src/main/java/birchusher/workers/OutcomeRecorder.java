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
import birchusher.store.Job;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Brings the ends of attempts into the store. The owner of the machine has the proof; the controller that drives the job
 * writes it, so that one writer gathers what happens to a job and its rows are not fought over. When that one does not
 * get it done in time, the owner writes by itself: both conditions are the same, so it can happen only once.
 */
public final class OutcomeRecorder {
    /**
     * {@code DROPPED}, {@code SILENT}: lost together with all that was on the machine, as its worker's lease ended; the first by a worker that
     * is back with a later session, the second by one that says nothing.
     */
    public enum Outcome {
        DONE,
        LOST,
        ERROR,
        NOT_STARTED,
        DROPPED,
        SILENT;

        boolean isLoss() {
            return this == LOST || isDroppedWithMachine();
        }

        boolean isDroppedWithMachine() {
            return this == DROPPED || this == SILENT;
        }
    }

    private static final long SCHEDULER_TIMEOUT_MS = 4_000;
    /** A thousand tasks dropped at once need longer: written by their owners meanwhile, each loss once cost a row of its own. */
    private static final long BULK_TIMEOUT_MS = 12_000;

    private static final int MAX_ITEMS_PER_RECORD = 400;
    /** Claims have ranks up to 4 and the last priority. */
    private static final int RANK_AFTER_CLAIMS = 4 + Priority.values().length;
    /**
     * A task of an array that is done is in no hurry: its worker keeps the result, and others of its job end as well. One that
     * was dropped is placed anew meanwhile, and leaves its row with the same writing. Any other loss is written soon: its room is free to
     * other drivers only then.
     */
    private static final long MAX_WRITE_DELAY_MS = 2_000;

    private static final long SHORT_WRITE_DELAY_MS = 300;

    private record Pending(Claim claim, Outcome outcome, long writeByMs, boolean queued) {}

    /** Sends a record to a member. */
    public interface PeerSender {
        void send(int member, PeerRecord r);
    }

    private final Effects effects;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final Counters counters;
    private final PeerSender peers;
    private final LostTasks losses;
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private final Map<Integer, List<PeerRecord.AttemptOutcome>> outbox = new LinkedHashMap<>();

    public OutcomeRecorder(
            Effects effects,
            StoreView view,
            StoreClient store,
            Membership membership,
            Counters counters,
            LostTasks losses,
            PeerSender mesh) {
        this.effects = effects;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.counters = counters;
        this.losses = losses;
        this.peers = mesh;
    }

    /** Whether the end of this attempt is known here and not yet seen in the store: until then it must not be reaped. */
    public boolean pending(String attemptKey) {
        return pending.containsKey(attemptKey);
    }

    /** The caller has the proof that the attempt is over. False if that was said before. */
    boolean recordEnd(Claim c, Outcome kind) {
        if (pending.containsKey(c.attemptKey())) {
            return false;
        }
        int driver = membership.schedulerOf(c.job().spec.id());
        markReleased(c, kind, membership.term(c.shard()), true, driver == 0);
        if (driver > 0) {
            pending.put(
                    c.attemptKey(),
                    new Pending(
                            c,
                            kind,
                            effects.now() + (kind.isDroppedWithMachine() ? BULK_TIMEOUT_MS : SCHEDULER_TIMEOUT_MS),
                            false));
            outbox.computeIfAbsent(driver, k -> new ArrayList<>())
                    .add(new PeerRecord.AttemptOutcome(
                            c.job().spec.id(),
                            c.task(),
                            c.attempt(),
                            c.machine(),
                            c.shard(),
                            membership.term(c.shard()),
                            kind.ordinal()));
        } else {
            write(c, kind);
        }
        return true;
    }

    /** The task may be placed anew before its row is written; errors first count against its machine and its job. */
    private void markReleased(Claim c, Outcome kind, long term, boolean own, boolean ours) {
        if (kind.isLoss() || kind == Outcome.NOT_STARTED) {
            view.markReleased(new Job.ReleasedClaim(c, term, own, kind.isLoss()));
        }
        if (kind != Outcome.DROPPED) {
            // Only a machine that lives has their room and images: nothing was rented for the losses of dead ones while
            // they counted here.
            return;
        }
        if (ours) {
            losses.recordDropped(c.job().spec.id(), c.task(), c.machine(), effects.now());
        } else {
            losses.recordDroppedForPeer(c.job().spec.id(), c.task(), c.machine(), effects.now());
        }
    }

    private void write(Claim c, Outcome kind) {
        pending.put(c.attemptKey(), new Pending(c, kind, Long.MAX_VALUE, true));
        boolean queued = store.enqueue(new ReleaseClaim(
                c.job().spec.id(),
                c.task(),
                c.attempt(),
                c.machine(),
                c.shard(),
                membership.term(c.shard()),
                kind,
                true));
        if (!queued) {
            pending.remove(c.attemptKey());
            view.unmarkReleased(c);
        }
    }

    /** The record of an attempt has left the view, by whoever's hand. */
    private void countOutcome(Pending p) {
        counters.recordOutcome(p.outcome == Outcome.DONE);
    }

    private boolean isStillClaimed(Claim c) {
        Job j = view.job(c.job().spec.id());
        Claim now = j == null ? null : j.claim(c.task());
        return now != null && now.attempt() == c.attempt() && now.machine().equals(c.machine());
    }

    /** Sends what has gathered, and writes what drivers did not. */
    public void tick() {
        outbox.forEach((driver, items) -> {
            for (int i = 0; i < items.size(); i += MAX_ITEMS_PER_RECORD) {
                peers.send(
                        driver,
                        new PeerRecord.AttemptOutcomes(
                                items.subList(i, Math.min(items.size(), i + MAX_ITEMS_PER_RECORD))));
            }
        });
        outbox.clear();
        List<Pending> late = null;
        for (var it = pending.values().iterator(); it.hasNext(); ) {
            Pending p = it.next();
            if (!isStillClaimed(p.claim)) {
                it.remove();
                countOutcome(p);
            } else if (!membership.owns(p.claim.shard())) {
                // Not ours to say any more; the new owner finds its own proof.
                view.unmarkReleased(p.claim);
                it.remove();
            } else if (!p.queued && effects.now() > p.writeByMs) {
                late = late == null ? new ArrayList<>() : late;
                late.add(p);
            }
        }
        if (late != null) {
            late.forEach(p -> write(p.claim, p.outcome));
        }
    }

    /** As driver: writes what an owner has proof of, as long as that owner's term stands. */
    public void onPeerOutcomes(PeerRecord.AttemptOutcomes r) {
        for (PeerRecord.AttemptOutcome e : r.outcomes()) {
            if (e.shard() >= 0
                    && e.shard() < membership.shardCount()
                    && e.kindOrdinal() >= 0
                    && e.kindOrdinal() < Outcome.values().length) {
                Outcome kind = Outcome.values()[e.kindOrdinal()];
                boolean queued = store.enqueue(new ReleaseClaim(
                        e.job(), e.task(), e.attempt(), e.machine(), e.shard(), e.term(), kind, false));
                Job j = view.job(e.job());
                Claim c = j == null || e.task() >= j.spec.tasks() ? null : j.claim(e.task());
                if (queued
                        && c != null
                        && c.attempt() == e.attempt()
                        && c.machine().equals(e.machine())
                        && c.shard() == e.shard()) {
                    markReleased(c, kind, e.term(), false, true);
                }
            }
        }
    }

    /** Takes one claim out of its row, on condition that the term under which its end was proven still stands. */
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
        private final boolean endsJob;
        private final long expiresAtMs;

        ReleaseClaim(
                String id, int task, long attempt, String machine, int shard, long term, Outcome kind, boolean own) {
            this.jobId = id;
            this.task = task;
            this.attempt = attempt;
            this.machine = machine;
            this.shard = shard;
            this.term = term;
            this.outcome = kind;
            this.ownProof = own;
            expiresAtMs = effects.now() + (kind.isDroppedWithMachine() ? BULK_TIMEOUT_MS : 10_000);
            Job j = view.job(id);
            isArray = j != null && j.spec.shape() == Shape.ARRAY;
            // With the last ones the job is over, and its user waits for that.
            endsJob = j != null && kind == Outcome.DONE && j.spec.tasks() - j.doneCount() <= 1 + j.spec.tasks() / 50;
        }

        @Override
        public int rank() {
            // What was dropped leaves its row with the claim that brings it back: going first, it took the changes
            // those need.
            return outcome.isDroppedWithMachine() ? RANK_AFTER_CLAIMS : 3;
        }

        @Override
        public int maxWrites() {
            return 1;
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
            Job j = view.job(jobId);
            return j != null && tx.editsChunk(jobId, task / j.chunkSize);
        }

        @Override
        public long expiresAtMs() {
            return ownProof ? Long.MAX_VALUE : expiresAtMs;
        }

        @Override
        public boolean build(Transaction tx) {
            Job j = view.job(jobId);
            // The owner may raise its own term and stays entitled; a driver knows only the term it was told.
            if (j == null
                    || task >= j.spec.tasks()
                    || (ownProof ? !membership.owns(shard) : membership.term(shard) != term)) {
                return false;
            }
            Claim now = j.claim(task);
            if (now == null || now.attempt() != attempt || !now.machine().equals(machine) || now.shard() != shard) {
                return false;
            }
            Chunk chunk = tx.editChunk(j, task / j.chunkSize);
            Claim there = chunk.claims.get(task);
            if (there == null || there.attempt() != attempt) {
                // The same transaction places the task anew, and has taken this claim out for that.
                return true;
            }
            tx.requireUnchanged(membership.shardKey(shard));
            chunk.claims.remove(task);
            if (outcome == Outcome.DONE) {
                if (j.spec.isGang()) {
                    // One done means all done: the rest exit by themselves.
                    chunk.done.set(0, chunk.size());
                } else {
                    chunk.done.set(task - chunk.index * j.chunkSize);
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
            // The view tells: see tick.
        }

        @Override
        public void dropped() {
            Job j = view.job(jobId);
            Claim now = j == null || task >= j.spec.tasks() ? null : j.claim(task);
            if (now == null || now.attempt() != attempt) {
                // It has left the view, perhaps by this very change, whose answer was lost: see tick, which counts it.
                return;
            }
            if (ownProof) {
                pending.remove(Claim.attemptKey(jobId, task, attempt));
            }
            if (!pending.containsKey(now.attemptKey())) {
                // It can't be written: whoever plans must see the place taken again.
                view.unmarkReleased(now);
            }
        }
    }
}
