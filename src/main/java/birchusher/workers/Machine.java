package birchusher.workers;

import birchusher.lease.MachineSpeed;
import birchusher.lease.TaskLease;
import birchusher.model.Catalog;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an owner knows about one of its machines. All of it can be learnt again from reports and the store. */
public final class Machine {
    /** One attempt here, as far as this owner has followed it. */
    static final class Run {
        TaskLease lease;
        boolean shown;
        long fetchUntil = -1;
        long startedAt;
        boolean countedAtCap;
        boolean ended;
    }

    /** A wish to stop an attempt. */
    static final class Stop {
        final double graceS;
        final String reason;
        final long since;

        Stop(double graceS, String reason, long since) {
            this.graceS = graceS;
            this.reason = reason;
            this.since = since;
        }
    }

    record Reservation(String key, double cpus, double gpus, double mem, long until) {}

    private static final int MAX_IMAGES = 64;

    final String name;
    final int shard;
    int zone = -1;
    int type = -1;
    boolean spot;
    String address;
    long session;
    long seq;
    /** Highest token the worker has shown to us. */
    long token;
    /** What we have granted its worker by our answers. */
    final WorkerLease workerLease;

    long heardAt = -1;
    /** See {@link Reachability}: whether the worker hears us, when that was last shown, and whether it did as its session before ended. */
    boolean hears;

    long hearsAt = -1;
    boolean deafBefore;
    long noticeAt = -1;
    Map<String, Entry> entries = new LinkedHashMap<>();
    final Map<String, Run> runs = new HashMap<>();
    final Map<String, Stop> stops = new HashMap<>();
    /** Starts sent straight to the worker and not answered: they may still arrive. Value: token they carried. */
    final Map<String, long[]> loose = new HashMap<>();
    /** Starts in answers to reports, and when: held up on its way, an answer may be carried out for as long as a worker waits for one. */
    final Map<String, Long> answered = new HashMap<>();
    /** By task: room kept for an accepted offer until its claim stands, it is called off or the time is over. */
    final Map<String, Reservation> reserved = new HashMap<>();
    /** Attempts whose start waits until work that makes room for them has left, and since when. */
    final Map<String, Long> held = new HashMap<>();
    /** Jobs that failed here since one last ended well, each with its errors. */
    final Map<String, Integer> errorJobs = new HashMap<>();

    final ArrayDeque<Integer> images = new ArrayDeque<>();
    MachineSpeed speed = new MachineSpeed();
    boolean calling;
    boolean dirty;
    boolean condemned;
    boolean leaving;
    boolean gone;
    long quarantineUntil;
    /** When errors of several jobs are to be judged; -1: none are. */
    long judgeAt = -1;

    long idleSince = -1;
    long deadSession = -1;

    /** @param leaseS the lease of its worker, in seconds */
    Machine(String name, int shard, double leaseS) {
        this.name = name;
        this.shard = shard;
        workerLease = new WorkerLease(leaseS);
    }

    /** An image was used; the least recently used ones beyond the cache's size are forgotten, as the worker does. */
    void image(int i, Catalog catalog) {
        images.remove((Integer) i);
        images.addFirst(i);
        Catalog.Type t = catalog.type(type);
        double room = t == null ? Double.MAX_VALUE : t.cacheGb();
        int kept = 0;
        for (int x : images) {
            room -= catalog.imageGb(x);
            if (room < 0 && kept > 0) {
                break;
            }
            kept++;
        }
        while (images.size() > Math.min(kept, MAX_IMAGES)) {
            images.removeLast();
        }
    }
}
