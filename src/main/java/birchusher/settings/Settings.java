package birchusher.settings;

import java.util.List;

/** What the platform hands over, checked. Units are in the names. */
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

    /** A host's IP number and port. */
    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /** Another controller. */
    public record Peer(String member, String zone, Address address) {}

    /** A team's guarantee and limit in CPUs and GPUs; 0: none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** An aim of the deployment: this share of a class within so many seconds. */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** By the protocol a worker waits so long for an answer, and asks the next controller after that much more. */
    public static final long WORKER_RESPONSE_TIMEOUT_MS = 4_000;

    public static final long WORKER_RETRY_DELAY_MS = 1_000;
    /** Steady clocks of two machines may differ by this share. */
    public static final double MAX_CLOCK_DRIFT = 0.0005;
    /** For an answer on its way out, and for the moments at which a worker looks at its lease. */
    private static final long STALE_MARGIN_MS = 1_000;

    private static final long MIN_STALENESS_LIMIT_MS = 5_000;

    /**
     * How old what a controller knows may be while it answers workers. A cancellation that it does not know of was told to a user
     * after that; the last worker that it answers drops its tasks a lease later, and that must be within {@code cancelS}.
     */
    public long stalenessLimitMs() {
        return Math.max(MIN_STALENESS_LIMIT_MS, cancelSlackMs());
    }

    /**
     * Whether leases are too long for that: then a worker that was just answered may keep a cancelled task for too long whoever knows of it,
     * so a cancellation is told only once its tasks are gone.
     */
    public boolean confirmsCancelWhenStopped() {
        return cancelSlackMs() < MIN_STALENESS_LIMIT_MS;
    }

    private long cancelSlackMs() {
        return Math.round(1000 * (cancelLimitS * (1 - 2 * MAX_CLOCK_DRIFT) - workerLeaseS * (1 + 2 * MAX_CLOCK_DRIFT)))
                - STALE_MARGIN_MS;
    }
}
