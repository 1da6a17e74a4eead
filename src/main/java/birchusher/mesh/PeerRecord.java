package birchusher.mesh;

import java.util.List;

/** What controllers tell each other. Everything here may be lost, late or repeated; nothing is safe because of it. */
public sealed interface PeerRecord {
    /** One machine as its owner sees it; names, as indices are each process's own. */
    record Machine(
            String name,
            String type,
            String zone,
            boolean spot,
            long session,
            int shard,
            int flags,
            int silentMs,
            int idleMs,
            double speed,
            double unclaimedCpus,
            double unclaimedGpus,
            double unclaimedMemoryGb,
            List<String> fetchingImages,
            List<Integer> fetchRemainingMs,
            List<String> images,
            List<String> reservedTasks) {
        public static final int USABLE = 1;
        public static final int FAULTY = 2;
        public static final int LEAVING = 4;
        /** A controller of the version before ignores it, and does not set it. */
        public static final int ARRIVING = 8;

        /** Whether another record of the machine would tell a listener nothing new; times that just pass are not news. */
        public boolean sameStatus(Machine o) {
            return type.equals(o.type)
                    && zone.equals(o.zone)
                    && spot == o.spot
                    && session == o.session
                    && shard == o.shard
                    && flags == o.flags
                    && silentMs == o.silentMs
                    && idleMs < 0 == o.idleMs < 0
                    && speed == o.speed
                    && unclaimedCpus == o.unclaimedCpus
                    && unclaimedGpus == o.unclaimedGpus
                    && unclaimedMemoryGb == o.unclaimedMemoryGb
                    && fetchingImages.equals(o.fetchingImages)
                    && images.equals(o.images)
                    && reservedTasks.equals(o.reservedTasks);
        }
    }

    /**
     * {@code terms}: per shard the highest term that the sender has seen, 0 where it owns the shard itself. {@code owned}: per
     * shard the term it owns it by, else 0. {@code machines}:
     * those with news. {@code left}: those that it speaks of no more. {@code gone}: deletions confirmed lately.
     */
    record Heartbeat(
            long incarnation,
            boolean storeHealthy,
            List<Long> seenTerms,
            List<Long> ownedTerms,
            List<Machine> machines,
            List<String> withdrawnMachines,
            List<String> deletedMachines)
            implements PeerRecord {}

    /** One task offered on one machine, in the worker's session that the offering controller saw. */
    record OfferedTask(String job, int task, String machine, long session) {}

    /**
     * {@code whole}: all of it or nothing. {@code makesRoom}: room counts that work of lower priority leaves once the claim
     * stands; only ever with {@code whole}.
     */
    record Offer(long id, boolean allOrNothing, boolean withPreemption, List<OfferedTask> tasks)
            implements PeerRecord {}

    /** Accepted offers that come to nothing. */
    record WithdrawnOffer(List<OfferedTask> tasks) implements PeerRecord {}

    /** Per item "" for yes, else the reason; with the term under which the owner holds each shard. */
    record OfferReply(long id, List<String> refusals, List<Long> terms) implements PeerRecord {}

    /** Task -1: every task of the attempt. */
    record StopRequest(String job, int task, long attempt, double graceS, String reason) implements PeerRecord {}

    /** {@code withTasks}: even if replicas run there, which then move elsewhere. */
    record ReturnRequest(String machine, boolean withTasks) implements PeerRecord {}

    /** The owner's answer to {@link Retire}. */
    record ReturnReply(String machine, boolean agreed) implements PeerRecord {}

    /** The end of an attempt, proven under the sender's term; the kind as its ordinal. */
    record AttemptOutcome(String job, int task, long attempt, String machine, int shard, long term, int kindOrdinal) {}

    /** Ends of attempts that the owner of their machines has proved, for the controller that writes them. */
    record AttemptOutcomes(List<AttemptOutcome> outcomes) implements PeerRecord {}

    /**
     * How many tasks that the sender drives were dropped by their workers lately and have no place yet. Sent with the heartbeats while
     * there are any, and once more as 0; a controller of the version before refuses it, and goes on as it did.
     */
    record DroppedTasks(int count) implements PeerRecord {}

    /** A cancellation and the revision that made it. */
    record Cancellation(String job, long revision) {}

    /**
     * Asked of every member by one that the state service does not answer: does it know of anything after revision {@code applied}?
     * {@code sentAt} is the asker's steady time. A controller of the version before refuses it, which is no word.
     */
    record RevisionQuery(long sentAtMs, long appliedRevision) implements PeerRecord {}

    /**
     * The answer, with what was asked echoed: {@code sentAt}, and the asker's {@code incarnation}. {@code served}: by the state service,
     * as far as is known. {@code known}: the highest revision known, -1: none. {@code cancelled}: all that is known to have been cancelled
     * after revision {@code since}; -1: that can't be told.
     */
    record RevisionReply(
            long querySentAtMs,
            long querierIncarnation,
            boolean storeHealthy,
            long knownRevision,
            long sinceRevision,
            List<Cancellation> cancellations)
            implements PeerRecord {}
}
