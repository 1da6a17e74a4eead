package birchusher.settings;

import java.util.List;

/** What the platform hands over, checked. Units are in the names. */
public record Settings(
        String member,
        String zone,
        Address listen,
        Address mesh,
        List<Peer> peers,
        Address cloud,
        Address store,
        List<String> zones,
        List<Team> teams,
        List<Objective> objectives,
        double reportS,
        double leaseS,
        double gangWaitS,
        double gangPeerS,
        double cancelS,
        double stateRps,
        double stateWriteRps,
        double valueKb,
        int txnOps,
        double cloudRps,
        double listLagS,
        int maxConnections,
        double clockOffMs) {

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
    public record Objective(String kind, String cls, double withinS, double share) {}

    /** By the protocol a worker waits so long for an answer, and asks the next controller after that much more. */
    public static final long NO_ANSWER_MS = 4_000;

    public static final long NEXT_MS = 1_000;
    /** Steady clocks of two machines may differ by this share. */
    public static final double DRIFT = 0.0005;
    /** For an answer on its way out, and for the moments at which a worker looks at its lease. */
    private static final long STALE_MARGIN_MS = 1_000;

    private static final long LEAST_STALE_MS = 5_000;

    /**
     * How old what a controller knows may be while it answers workers. A cancellation that it does not know of was told to a user
     * after that; the last worker that it answers drops its tasks a lease later, and that must be within {@code cancelS}.
     */
    public long staleMs() {
        return Math.max(LEAST_STALE_MS, untilCancelled());
    }

    /**
     * Whether leases are too long for that: then a worker that was just answered may keep a cancelled task for too long whoever knows of it,
     * so a cancellation is told only once its tasks are gone.
     */
    public boolean cancelsLate() {
        return untilCancelled() < LEAST_STALE_MS;
    }

    private long untilCancelled() {
        return Math.round(1000 * (cancelS * (1 - 2 * DRIFT) - leaseS * (1 + 2 * DRIFT))) - STALE_MARGIN_MS;
    }
}
