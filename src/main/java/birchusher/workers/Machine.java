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
    static final class AttemptState {
        TaskLease lease;
        boolean reported;
        long fetchEndMs = -1;
        long startedAtMs;
        boolean countedAtCap;
        boolean expiryHandled;
    }

    /** A wish to stop an attempt. */
    static final class StopRequest {
        final double graceS;
        final String reason;
        final long requestedAtMs;

        StopRequest(double graceS, String reason, long since) {
            this.graceS = graceS;
            this.reason = reason;
            this.requestedAtMs = since;
        }
    }

    record Reservation(String taskKey, double cpus, double gpus, double memoryGb, long expiresAtMs) {}

    private static final int MAX_IMAGES = 64;

    final String name;
    final int shard;
    int zone = -1;
    int type = -1;
    boolean spot;
    String address;
    long session;
    long lastSeq;
    /** Highest token the worker has shown to us. */
    long fencingToken;
    /** What we have granted its worker by our answers. */
    final WorkerLease workerLease;

    long lastMessageAtMs = -1;
    /** See {@link Reachability}: whether the worker hears us, when that was last shown, and whether it did as its session before ended. */
    boolean receivesResponses;

    long receiptConfirmedAtMs = -1;
    boolean noResponsesInPreviousSession;
    long interruptionAtMs = -1;
    Map<String, ReportedTask> reportedTasks = new LinkedHashMap<>();
    final Map<String, AttemptState> attempts = new HashMap<>();
    final Map<String, StopRequest> stopRequests = new HashMap<>();
    /** Starts sent straight to the worker and not answered: they may still arrive. Value: token they carried. */
    final Map<String, long[]> unansweredStarts = new HashMap<>();
    /** Starts in answers to reports, and when: held up on its way, an answer may be carried out for as long as a worker waits for one. */
    final Map<String, Long> startsInResponses = new HashMap<>();
    /** By task: room kept for an accepted offer until its claim stands, it is called off or the time is over. */
    final Map<String, Reservation> reservations = new HashMap<>();
    /** Attempts whose start waits until work that makes room for them has left, and since when. */
    final Map<String, Long> heldStarts = new HashMap<>();
    /** Jobs that failed here since one last ended well, each with its errors. */
    final Map<String, Integer> errorsByJob = new HashMap<>();

    final ArrayDeque<Integer> cachedImages = new ArrayDeque<>();
    MachineSpeed speed = new MachineSpeed();
    boolean commandInFlight;
    boolean changed;
    boolean faulty;
    boolean beingReturned;
    boolean deleted;
    long quarantineUntilMs;
    /** When errors of several jobs are to be judged; -1: none are. */
    long faultCheckAtMs = -1;

    long idleSinceMs = -1;
    long expiredSession = -1;

    /** @param leaseS the lease of its worker, in seconds */
    Machine(String name, int shard, double leaseS) {
        this.name = name;
        this.shard = shard;
        workerLease = new WorkerLease(leaseS);
    }

    /** An image was used; the least recently used ones beyond the cache's size are forgotten, as the worker does. */
    void recordImageUse(int i, Catalog catalog) {
        cachedImages.remove((Integer) i);
        cachedImages.addFirst(i);
        Catalog.MachineType t = catalog.type(type);
        double room = t == null ? Double.MAX_VALUE : t.cacheGb();
        int kept = 0;
        for (int x : cachedImages) {
            room -= catalog.imageGb(x);
            if (room < 0 && kept > 0) {
                break;
            }
            kept++;
        }
        while (cachedImages.size() > Math.min(kept, MAX_IMAGES)) {
            cachedImages.removeLast();
        }
    }
}
