package birchusher.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fixed hosts and their types, as the operators list them.
 *
 * @param leaseMs how long a host's tasks may live without an answer from the pool
 */
public record HostInventory(List<HostType> types, Map<String, Host> hosts, long leaseMs) {
    public static final int MAX_HOSTS = 2_000;

    /** A kind of host. {@code price} is per hour and in whatever the operators count in, 0 for "already paid". */
    public record HostType(String name, double cpus, double gpus, double memoryGb, double price) {
        public HostType {
            if (!(cpus >= 0) || !(gpus >= 0) || !(memoryGb > 0) || !(price >= 0)) {
                throw new IllegalArgumentException("type " + name + ": cpus, gpus and price 0 or more, memory above 0");
            }
        }
    }

    /** A host as the operator lists it. */
    public record Host(String name, String type, String zone) {}

    public HostInventory {
        types = List.copyOf(types);
        hosts = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(hosts));
        if (hosts.isEmpty() || hosts.size() > MAX_HOSTS) {
            throw new IllegalArgumentException("hosts: 1 to " + MAX_HOSTS);
        }
        for (Host h : hosts.values()) {
            if (types.stream().noneMatch(t -> t.name().equals(h.type()))) {
                throw new IllegalArgumentException("host " + h.name() + ": no type " + h.type());
            }
        }
    }

    HostType type(String name) {
        return types.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
    }

    /** The zones that have hosts of a type. */
    List<String> zones(String type) {
        return hosts.values().stream()
                .filter(h -> h.type().equals(type))
                .map(Host::zone)
                .distinct()
                .sorted()
                .toList();
    }
}
