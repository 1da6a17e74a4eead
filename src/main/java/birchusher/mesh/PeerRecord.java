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
            double strayCpus,
            double strayGpus,
            double strayMem,
            List<String> fetching,
            List<Integer> fetchMs,
            List<String> images,
            List<String> reserved) {
        public static final int USABLE = 1;
        public static final int CONDEMNED = 2;
        public static final int LEAVING = 4;
        /** A controller of the version before ignores it, and does not set it. */
        public static final int ARRIVING = 8;

        /** Whether another record of the machine would tell a listener nothing new; times that just pass are not news. */
        public boolean like(Machine o) {
            return type.equals(o.type)
                    && zone.equals(o.zone)
                    && spot == o.spot
                    && session == o.session
                    && shard == o.shard
                    && flags == o.flags
                    && silentMs == o.silentMs
                    && idleMs < 0 == o.idleMs < 0
                    && speed == o.speed
                    && strayCpus == o.strayCpus
                    && strayGpus == o.strayGpus
                    && strayMem == o.strayMem
                    && fetching.equals(o.fetching)
                    && images.equals(o.images)
                    && reserved.equals(o.reserved);
        }
    }

    /**
     * {@code terms}: per shard the highest term that the sender has seen, 0 where it owns the shard itself. {@code owned}: per
     * shard the term it owns it by, else 0. {@code machines}:
     * those with news. {@code left}: those that it speaks of no more. {@code gone}: deletions confirmed lately.
     */
    record Heartbeat(
            long incarnation,
            boolean storeOk,
            List<Long> terms,
            List<Long> owned,
            List<Machine> machines,
            List<String> left,
            List<String> gone)
            implements PeerRecord {}

    /** One task offered on one machine, in the worker's session that the offering controller saw. */
    record Item(String job, int task, String machine, long session) {}

    /**
     * {@code whole}: all of it or nothing. {@code makesRoom}: room counts that work of lower priority leaves once the claim
     * stands; only ever with {@code whole}.
     */
    record Offer(long id, boolean whole, boolean makesRoom, List<Item> items) implements PeerRecord {}

    /** Accepted offers that come to nothing. */
    record CalledOff(List<Item> items) implements PeerRecord {}

    /** Per item "" for yes, else the reason; with the term under which the owner holds each shard. */
    record Verdict(long id, List<String> refusals, List<Long> terms) implements PeerRecord {}

    /** Task -1: every task of the attempt. */
    record Stop(String job, int task, long attempt, double graceS, String reason) implements PeerRecord {}

    /** {@code withTasks}: even if replicas run there, which then move elsewhere. */
    record Retire(String machine, boolean withTasks) implements PeerRecord {}

    /** The owner's answer to {@link Retire}. */
    record Retired(String machine, boolean agreed) implements PeerRecord {}

    /** The end of an attempt, proven under the sender's term; the kind as its ordinal. */
    record Ended(String job, int task, long attempt, String machine, int shard, long term, int kind) {}

    /** Ends of attempts that the owner of their machines has proved, for the controller that writes them. */
    record Outcomes(List<Ended> items) implements PeerRecord {}

    /**
     * How many tasks that the sender drives were dropped by their workers lately and have no place yet. Sent with the heartbeats while
     * there are any, and once more as 0; a controller of the version before refuses it, and goes on as it did.
     */
    record Restoring(int tasks) implements PeerRecord {}

    /** A cancellation and the revision that made it. */
    record Cancelled(String job, long revision) {}

    /**
     * Asked of every member by one that the state service does not answer: does it know of anything after revision {@code applied}?
     * {@code sentAt} is the asker's steady time. A controller of the version before refuses it, which is no word.
     */
    record RevisionQuery(long sentAt, long applied) implements PeerRecord {}

    /**
     * The answer, with what was asked echoed: {@code sentAt}, and the asker's {@code incarnation}. {@code served}: by the state service,
     * as far as is known. {@code known}: the highest revision known, -1: none. {@code cancelled}: all that is known to have been cancelled
     * after revision {@code since}; -1: that can't be told.
     */
    record RevisionReply(
            long sentAt, long incarnation, boolean served, long known, long since, List<Cancelled> cancelled)
            implements PeerRecord {}
}
