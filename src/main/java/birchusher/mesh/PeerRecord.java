package birchusher.mesh;

import java.util.List;

/**
 * The records that controllers exchange over their peer connections. Any of them may be lost, delayed or repeated, so no safety property
 * depends on them. Binary form: {@link PeerCodec}.
 */
public sealed interface PeerRecord {
    /**
     * The status of one machine as its owner publishes it. Types, zones and images are given by name, as indices differ between
     * processes.
     *
     * @param session the worker session that the owner has recorded
     * @param flags the sum of {@link #USABLE} and the other flags
     * @param silentMs time without reports beyond what is normal, else 0
     * @param idleMs time without work, negative while there is work
     * @param speed mean ratio of expected to observed run time
     * @param unclaimedCpus capacity used by tasks without a claim, as are {@code unclaimedGpus} and {@code unclaimedMemoryGb}
     * @param fetchRemainingMs expected remaining time for each of {@code fetchingImages}
     * @param cachedImages images on the machine
     * @param reservedTasks keys of the tasks for which capacity is reserved until they are claimed
     */
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
            List<String> cachedImages,
            List<String> reservedTasks) {
        /** Takes tasks. */
        public static final int USABLE = 1;
        /** Considered faulty, as tasks of different jobs fail on it. */
        public static final int FAULTY = 2;
        /** To be returned to the cloud. */
        public static final int BEING_RETURNED = 4;
        /**
         * Reports, and becomes usable once its worker confirms that it receives responses. Controllers of the previous version ignore
         * and never set it.
         */
        public static final int PENDING_CONFIRMATION = 8;

        /** Returns whether another status differs in nothing that peers need. Idle and fetch times that merely advance do not count. */
        public boolean sameStatus(Machine other) {
            return type.equals(other.type)
                    && zone.equals(other.zone)
                    && spot == other.spot
                    && session == other.session
                    && shard == other.shard
                    && flags == other.flags
                    && silentMs == other.silentMs
                    && idleMs < 0 == other.idleMs < 0
                    && speed == other.speed
                    && unclaimedCpus == other.unclaimedCpus
                    && unclaimedGpus == other.unclaimedGpus
                    && unclaimedMemoryGb == other.unclaimedMemoryGb
                    && fetchingImages.equals(other.fetchingImages)
                    && cachedImages.equals(other.cachedImages)
                    && reservedTasks.equals(other.reservedTasks);
        }
    }

    /**
     * Sent periodically to every member.
     *
     * @param storeHealthy the state service answers the sender
     * @param seenTerms per shard the highest term that the sender has seen, 0 where it owns the shard itself
     * @param ownedTerms per shard the term under which the sender owns it, else 0
     * @param machines those with changes, and each machine from time to time
     * @param withdrawnMachines those that the sender no longer publishes: returned, or owned by another controller
     * @param deletedMachines those whose deletion the cloud has recently confirmed
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

    /** A task offered for one machine, in the worker session that the offering controller saw. */
    record OfferedTask(String job, int task, String machine, long session) {}

    /**
     * Sent by a job scheduler to the owner of machines before it claims them.
     *
     * @param allOrNothing the owner accepts either all tasks or none
     * @param withPreemption capacity that lower-priority tasks free once the claim is stored counts as free; only with {@code allOrNothing}
     */
    record Offer(long id, boolean allOrNothing, boolean withPreemption, List<OfferedTask> tasks)
            implements PeerRecord {}

    /** Accepted offers that will not be claimed: the owner frees the capacity reserved for them. */
    record WithdrawnOffer(List<OfferedTask> tasks) implements PeerRecord {}

    /**
     * The owner's reply to an {@link Offer}.
     *
     * @param refusals per offered task "" if accepted, else the reason of the refusal
     * @param terms per offered task the term of its machine's shard, 0 if the owner has no record of the machine
     */
    record OfferReply(long id, List<String> refusals, List<Long> terms) implements PeerRecord {}

    /** Asks an owner to stop a task of an attempt; task -1: every task of the attempt. */
    record StopRequest(String job, int task, long attempt, double graceS, String reason) implements PeerRecord {}

    /** Asks the owner of a machine to let the autoscaler return it; {@code withTasks}: even if replicas run there, which then move. */
    record ReturnRequest(String machine, boolean withTasks) implements PeerRecord {}

    /** The owner's reply to a {@link ReturnRequest}. */
    record ReturnReply(String machine, boolean agreed) implements PeerRecord {}

    /** The end of an attempt, proven by the owner of its machine under a term; {@code outcomeOrdinal} is the ordinal of the outcome. */
    record AttemptOutcome(
            String job, int task, long attempt, String machine, int shard, long term, int outcomeOrdinal) {}

    /** Outcomes that the owner of the machines has proven, sent to the job scheduler that writes them to the store. */
    record AttemptOutcomes(List<AttemptOutcome> outcomes) implements PeerRecord {}

    /**
     * The number of tasks scheduled by the sender that were recently dropped by their workers and are not placed yet. Sent with the
     * heartbeats while there are any, and once more as 0. Controllers of the previous version reject it and continue without it.
     */
    record DroppedTasks(int count) implements PeerRecord {}

    /** The cancellation of a job and the revision that made it. */
    record Cancellation(String job, long revision) {}

    /**
     * Asks every member whether its view contains any revision after {@code appliedRevision}; sent by a member that the state service does not
     * answer. {@code sentAtMs} is the sender's steady time. Controllers of the previous version reject it, so they send no reply.
     */
    record RevisionQuery(long sentAtMs, long appliedRevision) implements PeerRecord {}

    /**
     * The reply to a {@link RevisionQuery}.
     *
     * @param querySentAtMs echo of the query's time
     * @param querierIncarnation echo of the incarnation that sent the query
     * @param storeHealthy the state service answers the replying member, by its latest requests
     * @param knownRevision the highest revision in the replying member's view, -1: none
     * @param sinceRevision the revision after which {@code cancellations} are complete, -1: they are unknown
     * @param cancellations all cancellations known after {@code sinceRevision}
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
