package birchusher.settings;

import java.util.List;

/** What the platform hands over, checked. Units are in the names. */
public record Settings(String member, String zone, Address listen, Address mesh, List<Peer> peers,
        Address cloud, Address store, List<String> zones, List<Team> teams, List<Objective> objectives,
        double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS,
        double stateRps, double stateWriteRps, double valueKb, int txnOps,
        double cloudRps, double listLagS, int maxConnections, double clockOffMs) {

    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    public record Peer(String member, String zone, Address address) { }

    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) { }

    public record Objective(String kind, String cls, double withinS, double share) { }

    /** Steady clocks of two machines may differ by this share. */
    public static final double DRIFT = 0.0005;
}
