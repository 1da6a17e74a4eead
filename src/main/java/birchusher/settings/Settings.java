package birchusher.settings;

import java.util.List;

/**
 * A controller's validated settings, as given by the platform. Units are in the names. The limits of workers, state
 * service and cloud are the same for all controllers.
 *
 * @param member this controller's member name
 * @param zone this controller's zone
 * @param listenAddress where users, workers and health checks reach this controller
 * @param meshAddress where other controllers reach this controller
 * @param peers the other controllers
 * @param zones all zones
 * @param teams all teams
 * @param objectives the service level objectives; may be empty
 * @param reportIntervalS how often a worker reports
 * @param workerLeaseS how long a worker keeps its tasks without a response
 * @param gangWaitTimeoutS how long a gang's task waits for the gang's other tasks before it ends
 * @param gangPeerTimeoutS after this long without a status, a gang's task is considered lost
 * @param cancelLimitS within this time after a cancellation was confirmed to a user, the tasks of the job end
 * @param stateRequestsPerS request limit of the state service
 * @param stateWritesPerS limit of written rows of the state service
 * @param maxValueKb largest value of a row
 * @param maxTransactionOps most writes in one transaction
 * @param cloudRequestsPerS request limit of the cloud
 * @param cloudListLagS how far the cloud's list of rented machines may lag
 * @param maxConnections sockets that this controller may have open
 * @param clockOffsetMs largest difference between the machines' wall clocks
 */
public record Settings(
        String member,
        String zone,
        Address listenAddress,
        Address meshAddress,
        List<Peer> peers,
        Address cloudAddress,
        Address stateAddress,
        List<String> zones,
        List<Team> teams,
        List<Objective> objectives,
        double reportIntervalS,
        double workerLeaseS,
        double gangWaitTimeoutS,
        double gangPeerTimeoutS,
        double cancelLimitS,
        double stateRequestsPerS,
        double stateWritesPerS,
        double maxValueKb,
        int maxTransactionOps,
        double cloudRequestsPerS,
        double cloudListLagS,
        int maxConnections,
        double clockOffsetMs) {

    /** A host name or IP address, and a port. */
    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /** Another controller, and where it listens for its peers. */
    public record Peer(String member, String zone, Address address) {}

    /** A team's guarantees ({@code cpus}, {@code gpus}) and limits ({@code cpusMax}, {@code gpusMax}); 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * A service level objective of some kind: this share of a job class, or of all if it is null, within so many
     * seconds.
     */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** By the protocol, how long a worker waits for a response to its report. */
    public static final long WORKER_RESPONSE_TIMEOUT_MS = 4_000;

    /** By the protocol, how long a worker without a response waits before it reports to the next controller. */
    public static final long WORKER_RETRY_DELAY_MS = 1_000;

    /** Largest difference in speed between the monotonic clocks of two machines, as a fraction. */
    public static final double MAX_CLOCK_DRIFT = 0.0005;
    /** Covers a response in flight and the interval at which a worker checks its lease. */
    private static final long CANCEL_MARGIN_MS = 1_000;

    private static final long MIN_STALENESS_LIMIT_MS = 5_000;

    /**
     * Returns how stale a controller's view may be, in ms, while it answers workers. A cancellation that is missing in
     * the view was confirmed to a user after the moment up to which the view is known to be complete. The last worker
     * answered with that view drops its tasks at most one lease later, and that must be within {@code cancelLimitS} of
     * the confirmation.
     */
    public long stalenessLimitMs() {
        return Math.max(MIN_STALENESS_LIMIT_MS, cancelSlackMs());
    }

    /**
     * Returns whether worker leases are too long for that limit. A worker that was answered just before a cancellation
     * may then keep a cancelled task for too long, whichever controllers have seen the cancellation, so it is confirmed
     * only when the job's tasks are gone.
     */
    public boolean confirmsCancelWhenStopped() {
        return cancelSlackMs() < MIN_STALENESS_LIMIT_MS;
    }

    /**
     * What is left of the cancellation limit after a worker lease, with clock drift and the margin; may be negative.
     */
    private long cancelSlackMs() {
        return Math.round(1000 * (cancelLimitS * (1 - 2 * MAX_CLOCK_DRIFT) - workerLeaseS * (1 + 2 * MAX_CLOCK_DRIFT)))
                - CANCEL_MARGIN_MS;
    }
}
