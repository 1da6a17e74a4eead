package birchusher.mesh;

import java.util.List;

/** What controllers tell each other. Everything here may be lost, late or repeated; nothing is safe because of it. */
public sealed interface PeerRecord {
    /** One machine as its owner sees it; names, as indices are each process's own. */
    record Machine(String name, String type, String zone, boolean spot, long session, int shard, int flags, int silentMs,
            int noticeMs, int idleMs, double speed, double strayCpus, double strayGpus, double strayMem,
            List<String> fetching, List<Integer> fetchMs, List<String> images) {
        public static final int USABLE = 1;
        public static final int CONDEMNED = 2;
        public static final int LEAVING = 4;
    }

    /** {@code terms}: per shard the highest term that the sender has seen, 0 where it owns the shard itself. */
    record Heartbeat(long incarnation, boolean storeOk, List<Long> terms, List<Machine> machines,
            List<String> gone) implements PeerRecord { }

    record Item(String job, int task, String machine, long session) { }

    record Offer(long id, List<Item> items) implements PeerRecord { }

    /** Per item "" for yes, else the reason; with the term under which the owner holds each shard. */
    record Verdict(long id, List<String> refusals, List<Long> terms) implements PeerRecord { }

    /** Task -1: every task of the attempt. */
    record Stop(String job, int task, long attempt, double graceS, String reason) implements PeerRecord { }

    /** {@code withTasks}: even if replicas run there, which then move elsewhere. */
    record Retire(String machine, boolean withTasks) implements PeerRecord { }

    record Retired(String machine, boolean agreed) implements PeerRecord { }
}
