package birchusher.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fixed hosts of the pool and their types, as listed in the settings.
 *
 * @param hosts by name, in the order of the settings
 * @param leaseMs how long a host's tasks may run without an answer from the pool to its agent
 */
public record HostInventory(List<HostType> types, Map<String, Host> hosts, long leaseMs) {
    public static final int MAX_HOSTS = 2_000;

    /**
     * A type of host.
     *
     * @param price per hour, in a unit of the operators' choice; 0 for hosts that cost nothing extra
     */
    public record HostType(String name, double cpus, double gpus, double memoryGb, double price) {
        public HostType {
            if (!(cpus >= 0) || !(gpus >= 0) || !(memoryGb > 0) || !(price >= 0)) {
                throw new IllegalArgumentException(
                        "type " + name + ": cpus, gpus and price must be 0 or more, memory above 0");
            }
        }
    }

    /** A host as listed in the settings. */
    public record Host(String name, String type, String zone) {}

    public HostInventory {
        types = List.copyOf(types);
        hosts = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(hosts));
        if (hosts.isEmpty() || hosts.size() > MAX_HOSTS) {
            throw new IllegalArgumentException("hosts: must be 1 to " + MAX_HOSTS);
        }
        for (Host host : hosts.values()) {
            if (types.stream().noneMatch(type -> type.name().equals(host.type()))) {
                throw new IllegalArgumentException("host " + host.name() + ": no type " + host.type());
            }
        }
    }

    HostType type(String name) {
        return types.stream()
                .filter(type -> type.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the zones that have hosts of a type, sorted. */
    List<String> zones(String type) {
        return hosts.values().stream()
                .filter(host -> host.type().equals(type))
                .map(Host::zone)
                .distinct()
                .sorted()
                .toList();
    }
}
