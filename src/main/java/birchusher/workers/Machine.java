package birchusher.workers;

import birchusher.lease.MachineSpeed;
import birchusher.lease.TaskLease;
import birchusher.model.Catalog;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The state that an owner keeps of one of its machines. All of it can be rebuilt from reports and the store. Times are ms of the steady clock. */
public final class Machine {
    /** The state of one attempt on this machine, as far as this owner has tracked it. */
    static final class AttemptState {
        TaskLease lease;
        /** Whether a report to this owner has listed the attempt. */
        boolean reported;
        /** Expected end of the image fetch; -1: not reported as fetching. */
        long fetchEndMs = -1;

        long startedAtMs;
        /** Whether the counter {@code at_cap} includes this attempt. */
        boolean countedAtCap;
        /** Whether the expiry of the task lease has been counted and a stop requested. */
        boolean expiryHandled;
    }

    /** A request to stop an attempt. */
    static final class StopRequest {
        final double graceS;
        final String reason;
        final long requestedAtMs;

        StopRequest(double graceS, String reason, long requestedAtMs) {
            this.graceS = graceS;
            this.reason = reason;
            this.requestedAtMs = requestedAtMs;
        }
    }

    /** Capacity reserved for an accepted offer. */
    record Reservation(String taskKey, double cpus, double gpus, double memoryGb, long expiresAtMs) {}

    /** Bound of the tracked cache for machines of unknown type or tiny images. */
    private static final int MAX_IMAGES = 64;

    final String name;
    final int shard;
    int zone = -1;
    /** Index of the type in the catalog; -1: none reported. */
    int type = -1;

    boolean spot;
    String address;
    /** Session of the newest message; 0: none. */
    long session;

    /** Sequence number of the newest message within {@link #session}. */
    long lastSeq;

    /** Highest fencing token that the worker has shown. */
    long fencingToken;
    /** The duration of the worker's lease by the worker's own clock, in ms. */
    final long leaseMs;

    final WorkerLease workerLease;

    /** Arrival of the newest message; -1: none. */
    long lastMessageAtMs = -1;
    /** Whether the worker has recently shown that it receives responses, see {@link Reachability}. */
    boolean receivesResponses;
    /** When the worker last showed that it receives responses, or its first message arrived; -1: never. */
    long receiptConfirmedAtMs = -1;
    /** Whether the worker did not receive responses when its previous session ended. */
    boolean noResponsesInPreviousSession;
    /** When the cloud takes the machine back, by its interruption notice; -1: no notice. */
    long interruptionAtMs = -1;

    Map<String, ReportedTask> reportedTasks = new LinkedHashMap<>();
    final Map<String, AttemptState> attempts = new HashMap<>();
    final Map<String, StopRequest> stopRequests = new HashMap<>();
    /** Starts sent directly to the worker in {@link #session}. */
    final DirectStarts directStarts = new DirectStarts();
    /**
     * When a start was sent in a response to a report. A delayed response may be carried out for as long as a worker waits for one, see
     * {@link Commands}.
     */
    final Map<String, Long> startsInResponses = new HashMap<>();
    /** By task: capacity reserved for an accepted offer until its claim is made, the offer is withdrawn or the reservation expires. */
    final Map<String, Reservation> reservations = new HashMap<>();
    /** Attempts whose start waits until preempted tasks have left, and since when. */
    final Map<String, Long> heldStarts = new HashMap<>();
    /** Errors by job since a task last ended well on this machine. */
    final Map<String, Integer> errorsByJob = new HashMap<>();
    /** Jobs that get no tasks here for a time after an error. */
    final JobExclusions exclusions = new JobExclusions();

    /** Images expected in the worker's cache, most recently used first. */
    final ArrayDeque<Integer> cachedImages = new ArrayDeque<>();

    MachineSpeed speed = new MachineSpeed();
    boolean commandInFlight;
    /** Whether claims or stop requests changed since the last {@link WorkerRegistry#flushCommands}. */
    boolean changed;

    boolean faulty;
    /** Whether the machine is to be returned to the cloud and gets no new tasks. */
    boolean beingReturned;
    /** Whether the cloud confirmed the deletion. */
    boolean deleted;

    long quarantineUntilMs;
    /** When to decide whether errors of several jobs make the machine faulty; -1: no decision is due. */
    long faultCheckAtMs = -1;

    /** Since when the machine has had neither claims nor running tasks; -1: it has some. */
    long idleSinceMs = -1;
    /** The session whose worker lease was found to be over; -1: none. */
    long expiredSession = -1;

    /**
     * A machine without messages.
     *
     * @param leaseS the duration of a worker's lease, in seconds
     */
    Machine(String name, int shard, double leaseS) {
        this.name = name;
        this.shard = shard;
        leaseMs = Math.round(leaseS * 1000);
        workerLease = new WorkerLease(leaseS);
    }

    /** Moves an image to the front of the cache and evicts the least recently used ones beyond the cache's size, as the worker does. */
    void recordImageUse(int image, Catalog catalog) {
        cachedImages.remove((Integer) image);
        cachedImages.addFirst(image);
        Catalog.MachineType machineType = catalog.type(type);
        double freeGb = machineType == null ? Double.MAX_VALUE : machineType.cacheGb();
        int kept = 0;
        for (int cached : cachedImages) {
            freeGb -= catalog.imageGb(cached);
            if (freeGb < 0 && kept > 0) {
                break;
            }
            kept++;
        }
        while (cachedImages.size() > Math.min(kept, MAX_IMAGES)) {
            cachedImages.removeLast();
        }
    }
}
