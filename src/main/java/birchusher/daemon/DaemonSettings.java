package birchusher.daemon;

import birchusher.core.Fields.InvalidInputException;
import birchusher.kv.Limits;
import birchusher.pool.HostInventory;
import birchusher.settings.Settings;
import birchusher.settings.Settings.Address;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;

/**
 * The daemon's validated properties. Unknown keys and invalid values are refused with an error that names the key. The
 * file may also contain keys of the controller's {@link Tuning}.
 *
 * @param dataDir the directory of all durable data
 * @param listenAddress where people and agents reach the daemon
 * @param controllerSettings the settings of the daemon's own controller
 * @param hosts the hosts of the pool
 * @param limits the limits of the state service
 * @param snapshotIntervalBytes size of the log after which the state service writes a snapshot
 * @param controllers where agents reach each controller, by member name
 */
public record DaemonSettings(
        Path dataDir,
        Address listenAddress,
        Settings controllerSettings,
        HostInventory hosts,
        Limits limits,
        Tuning tuning,
        long snapshotIntervalBytes,
        Map<String, Address> controllers) {
    private static final List<String> DAEMON_KEYS = List.of(
            "data.dir",
            "listen",
            "controller.listen",
            "controller.mesh",
            "state.listen",
            "cloud.listen",
            "zones",
            "teams",
            "types",
            "hosts",
            "workers.report-s",
            "workers.lease-s",
            "workers.gang-wait-s",
            "workers.gang-peer-s",
            "workers.cancel-s",
            "state.requests-per-s",
            "state.changes-per-s",
            "state.snapshot-mb",
            "connections",
            "member",
            "peers");
    private static final List<String> TEAM_KEYS = List.of("cpus", "cpus-max", "gpus", "gpus-max");
    private static final List<String> TYPE_KEYS = List.of("cpus", "gpus", "memory-gb", "price");
    private static final List<String> HOST_KEYS = List.of("type", "zone");
    private static final int MAX_VALUE_KB = 32;
    private static final int MAX_TRANSACTION_WRITES = 64;
    private static final double CLOUD_REQUESTS_PER_S = 100;
    private static final double CLOUD_LIST_LAG_S = 1;
    private static final double CLOCK_OFFSET_MS = 1_000;
    private static final double MIN_LEASE_S = 10;
    private static final int MIN_REPORTS_PER_LEASE = 4;
    private static final int BYTES_PER_MB = 1 << 20;

    /**
     * Reads and validates a file such as {@code deploy/daemon.properties}. Paths in it are relative to the working
     * directory.
     *
     * @throws InvalidInputException if a key or a value is invalid
     */
    public static DaemonSettings read(Reader file) throws IOException {
        Properties properties = new Properties();
        try {
            properties.load(file);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("properties: " + e.getMessage());
        }
        return new PropertiesReader(properties).read();
    }

    /** Reads and checks one file's properties. */
    private static final class PropertiesReader {
        private final Properties properties;
        private final Set<String> knownKeys = new HashSet<>(DAEMON_KEYS);

        PropertiesReader(Properties properties) {
            this.properties = properties;
        }

        DaemonSettings read() throws IOException {
            List<String> zones = requiredNames("zones");
            List<Settings.Team> teams = new ArrayList<>();
            for (String name : declaredNames("teams", "team", TEAM_KEYS)) {
                String prefix = "team." + name + ".";
                teams.add(new Settings.Team(
                        name,
                        numberOr(prefix + "cpus", 0),
                        numberOr(prefix + "cpus-max", 0),
                        numberOr(prefix + "gpus", 0),
                        numberOr(prefix + "gpus-max", 0)));
            }
            List<HostInventory.HostType> types = new ArrayList<>();
            for (String name : declaredNames("types", "type", TYPE_KEYS)) {
                String prefix = "type." + name + ".";
                types.add(new HostInventory.HostType(
                        name,
                        requiredNumber(prefix + "cpus"),
                        numberOr(prefix + "gpus", 0),
                        requiredNumber(prefix + "memory-gb"),
                        numberOr(prefix + "price", 1)));
            }
            Map<String, HostInventory.Host> hosts = new LinkedHashMap<>();
            for (String name : declaredNames("hosts", "host", HOST_KEYS)) {
                String zone = properties
                        .getProperty("host." + name + ".zone", zones.get(0))
                        .trim();
                if (!zones.contains(zone)) {
                    throw new InvalidInputException("host." + name + ".zone: " + zone + " is not one of the zones");
                }
                hosts.put(name, new HostInventory.Host(name, requiredText("host." + name + ".type"), zone));
            }
            Tuning tuning = readTuning();
            double leaseS = numberOr("workers.lease-s", 60);
            double reportIntervalS = numberOr("workers.report-s", 2);
            if (reportIntervalS <= 0 || leaseS < MIN_REPORTS_PER_LEASE * reportIntervalS || leaseS < MIN_LEASE_S) {
                throw new InvalidInputException(
                        "workers.lease-s: must be at least 10 and at least four times workers.report-s, which must be above 0");
            }
            double requestsPerS = numberOr("state.requests-per-s", 1000);
            double writesPerS = numberOr("state.changes-per-s", 1000);
            try {
                return buildSettings(
                        zones,
                        teams,
                        new HostInventory(types, hosts, Math.round(leaseS * 1000)),
                        tuning,
                        reportIntervalS,
                        leaseS,
                        new Limits(requestsPerS, writesPerS, MAX_TRANSACTION_WRITES, MAX_VALUE_KB * 1024));
            } catch (IllegalArgumentException e) {
                throw new InvalidInputException(e.getMessage());
            }
        }

        private DaemonSettings buildSettings(
                List<String> zones,
                List<Settings.Team> teams,
                HostInventory hosts,
                Tuning tuning,
                double reportIntervalS,
                double leaseS,
                Limits limits) {
            Map<String, Address> controllers = new LinkedHashMap<>();
            String member = properties.getProperty("member", "daemon").trim();
            controllers.put(member, addressOr("controller.listen", "127.0.0.1:7071"));
            List<Settings.Peer> peers = readPeers(zones, controllers);
            Settings controllerSettings = new Settings(
                    member,
                    zones.get(0),
                    addressOr("controller.listen", "127.0.0.1:7071"),
                    addressOr("controller.mesh", "127.0.0.1:7072"),
                    peers,
                    addressOr("cloud.listen", "127.0.0.1:7074"),
                    addressOr("state.listen", "127.0.0.1:7073"),
                    zones,
                    List.copyOf(teams),
                    List.of(),
                    reportIntervalS,
                    leaseS,
                    numberOr("workers.gang-wait-s", 60),
                    numberOr("workers.gang-peer-s", 10),
                    numberOr("workers.cancel-s", 60),
                    limits.maxRequestsPerS(),
                    limits.maxWritesPerS(),
                    MAX_VALUE_KB,
                    MAX_TRANSACTION_WRITES,
                    CLOUD_REQUESTS_PER_S,
                    CLOUD_LIST_LAG_S,
                    (int) numberOr("connections", 2000),
                    CLOCK_OFFSET_MS);
            return new DaemonSettings(
                    Path.of(properties.getProperty("data.dir", "data").trim()),
                    addressOr("listen", "127.0.0.1:7070"),
                    controllerSettings,
                    hosts,
                    limits,
                    tuning,
                    Math.round(numberOr("state.snapshot-mb", 64) * BYTES_PER_MB),
                    controllers);
        }

        /**
         * Reads the controllers on other hosts that use this daemon's state service and pool; adds them to
         * {@code controllers}.
         */
        private List<Settings.Peer> readPeers(List<String> zones, Map<String, Address> controllers) {
            List<Settings.Peer> peers = new ArrayList<>();
            for (String peer : properties.getProperty("peers", "").split(",")) {
                if (peer.isBlank()) {
                    continue;
                }
                String[] parts = peer.trim().split("/");
                if (parts.length != 4 || !zones.contains(parts[1])) {
                    throw new InvalidInputException(
                            "peers: " + peer.trim() + " is not NAME/ZONE/MESH-HOST:PORT/LISTEN-HOST:PORT");
                }
                peers.add(new Settings.Peer(parts[0], parts[1], SettingsReader.parseAddress(parts[2], "peers")));
                if (controllers.put(parts[0], SettingsReader.parseAddress(parts[3], "peers")) != null) {
                    throw new InvalidInputException(
                            "peers: " + parts[0] + " is listed twice or is this controller's name");
                }
            }
            return List.copyOf(peers);
        }

        /** Passes all keys that are not the daemon's to {@link Tuning}, which refuses unknown ones. */
        private Tuning readTuning() throws IOException {
            Properties tuningProperties = new Properties();
            properties.stringPropertyNames().stream()
                    .filter(key -> !knownKeys.contains(key))
                    .forEach(key -> tuningProperties.setProperty(key, properties.getProperty(key)));
            // The pool's hosts cost nothing while idle, so they are kept for long. With few hosts, none can be left out
            // for long after a task's error.
            tuningProperties.putIfAbsent("fleet.linger-boots", "20");
            tuningProperties.putIfAbsent("workers.quarantine-s", "2");
            tuningProperties.putIfAbsent("workers.exclusion-s", "2");
            StringWriter writer = new StringWriter();
            tuningProperties.store(writer, null);
            return new Tuning().withOverrides(new StringReader(writer.toString()));
        }

        /** Returns the different names in a comma-separated list, at least one. */
        private List<String> requiredNames(String key) {
            List<String> names = Arrays.stream(requiredText(key).split(","))
                    .map(String::trim)
                    .filter(name -> !name.isEmpty())
                    .toList();
            if (names.isEmpty() || new HashSet<>(names).size() < names.size()) {
                throw new InvalidInputException(key + ": empty or contains a name twice");
            }
            for (String name : names) {
                if (!name.matches("[A-Za-z0-9_-]{1,60}")) {
                    throw new InvalidInputException(
                            key + ": " + name + " is not a valid name (1 to 60 letters, digits, - and _)");
                }
            }
            return names;
        }

        /** Returns the names in the list {@code listKey} and allows the keys {@code prefix.NAME.field} of each. */
        private List<String> declaredNames(String listKey, String prefix, List<String> fields) {
            List<String> names = requiredNames(listKey);
            names.forEach(name -> fields.forEach(field -> knownKeys.add(prefix + "." + name + "." + field)));
            return names;
        }

        private String requiredText(String key) {
            String value = properties.getProperty(key);
            if (value == null || value.isBlank()) {
                throw new InvalidInputException(key + ": missing");
            }
            return value.trim();
        }

        private double requiredNumber(String key) {
            requiredText(key);
            return numberOr(key, 0);
        }

        private double numberOr(String key, double defaultValue) {
            String value = properties.getProperty(key);
            return value == null ? defaultValue : Tuning.parseAmount(key, value);
        }

        private Address addressOr(String key, String defaultValue) {
            return SettingsReader.parseAddress(
                    properties.getProperty(key, defaultValue).trim(), key);
        }
    }
}
