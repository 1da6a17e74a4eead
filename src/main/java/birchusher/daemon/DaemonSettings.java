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
 * The daemon's properties, checked: a key nobody knows is refused by its name, and so is a value that can't be. Keys of the
 * controller's own tuning may stand in the same file.
 *
 * @param settings what the platform's file would say to a controller
 * @param controllers all of them by their names, where agents reach them
 */
public record DaemonSettings(
        Path dataDir,
        Address listenAddress,
        Settings settings,
        HostInventory hosts,
        Limits limits,
        Tuning tuning,
        long snapshotBytes,
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

    /** Reads a file as {@code deploy/daemon.properties} shows it. Paths are relative to the working directory. */
    public static DaemonSettings read(Reader file) throws IOException {
        Properties p = new Properties();
        try {
            p.load(file);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("properties: " + e.getMessage());
        }
        return new PropertiesReader(p).read();
    }

    private static final class PropertiesReader {
        private final Properties properties;
        private final Set<String> knownKeys = new HashSet<>(DAEMON_KEYS);

        PropertiesReader(Properties p) {
            this.properties = p;
        }

        DaemonSettings read() throws IOException {
            List<String> zones = requiredNames("zones");
            List<Settings.Team> teams = new ArrayList<>();
            for (String t : declaredNames("teams", "team", TEAM_KEYS)) {
                String k = "team." + t + ".";
                teams.add(new Settings.Team(
                        t,
                        numberOr(k + "cpus", 0),
                        numberOr(k + "cpus-max", 0),
                        numberOr(k + "gpus", 0),
                        numberOr(k + "gpus-max", 0)));
            }
            List<HostInventory.HostType> types = new ArrayList<>();
            for (String t : declaredNames("types", "type", TYPE_KEYS)) {
                String k = "type." + t + ".";
                types.add(new HostInventory.HostType(
                        t,
                        requiredNumber(k + "cpus"),
                        numberOr(k + "gpus", 0),
                        requiredNumber(k + "memory-gb"),
                        numberOr(k + "price", 1)));
            }
            Map<String, HostInventory.Host> hosts = new LinkedHashMap<>();
            for (String h : declaredNames("hosts", "host", HOST_KEYS)) {
                String zone = properties
                        .getProperty("host." + h + ".zone", zones.get(0))
                        .trim();
                if (!zones.contains(zone)) {
                    throw new InvalidInputException("host." + h + ".zone: " + zone + " is not among the zones");
                }
                hosts.put(h, new HostInventory.Host(h, requiredText("host." + h + ".type"), zone));
            }
            Tuning tuning = readTuning();
            double lease = numberOr("workers.lease-s", 60);
            double report = numberOr("workers.report-s", 2);
            if (report <= 0 || lease < 4 * report || lease < 10) {
                throw new InvalidInputException("workers.lease-s: at least 10, and four times workers.report-s");
            }
            double rps = numberOr("state.requests-per-s", 1000);
            double changes = numberOr("state.changes-per-s", 1000);
            try {
                return buildSettings(
                        zones,
                        teams,
                        new HostInventory(types, hosts, Math.round(lease * 1000)),
                        tuning,
                        report,
                        lease,
                        new Limits(rps, changes, MAX_TRANSACTION_WRITES, MAX_VALUE_KB * 1024));
            } catch (IllegalArgumentException e) {
                throw new InvalidInputException(e.getMessage());
            }
        }

        private DaemonSettings buildSettings(
                List<String> zones,
                List<Settings.Team> teams,
                HostInventory hosts,
                Tuning tuning,
                double report,
                double lease,
                Limits limits) {
            Map<String, Address> controllers = new LinkedHashMap<>();
            String member = properties.getProperty("member", "daemon").trim();
            controllers.put(member, addressOr("controller.listen", "127.0.0.1:7071"));
            List<Settings.Peer> peers = readPeers(zones, controllers);
            Settings s = new Settings(
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
                    report,
                    lease,
                    numberOr("workers.gang-wait-s", 60),
                    numberOr("workers.gang-peer-s", 10),
                    numberOr("workers.cancel-s", 60),
                    limits.maxRequestsPerS(),
                    limits.maxWritesPerS(),
                    MAX_VALUE_KB,
                    MAX_TRANSACTION_WRITES,
                    100,
                    1,
                    (int) numberOr("connections", 2000),
                    1000);
            return new DaemonSettings(
                    Path.of(properties.getProperty("data.dir", "data").trim()),
                    addressOr("listen", "127.0.0.1:7070"),
                    s,
                    hosts,
                    limits,
                    tuning,
                    Math.round(numberOr("state.snapshot-mb", 64) * (1 << 20)),
                    controllers);
        }

        /** Controllers on other hosts that use this daemon's state and pool. */
        private List<Settings.Peer> readPeers(List<String> zones, Map<String, Address> controllers) {
            List<Settings.Peer> peers = new ArrayList<>();
            for (String s : properties.getProperty("peers", "").split(",")) {
                if (s.isBlank()) {
                    continue;
                }
                String[] f = s.trim().split("/");
                if (f.length != 4 || !zones.contains(f[1])) {
                    throw new InvalidInputException(
                            "peers: " + s.trim() + " is not NAME/ZONE/MESH-HOST:PORT/LISTEN-HOST:PORT");
                }
                peers.add(new Settings.Peer(f[0], f[1], SettingsReader.parseAddress(f[2], "peers")));
                if (controllers.put(f[0], SettingsReader.parseAddress(f[3], "peers")) != null) {
                    throw new InvalidInputException("peers: " + f[0] + " twice");
                }
            }
            return List.copyOf(peers);
        }

        /** What is not the daemon's own must be the controller's: {@link Tuning} names the one that is neither. */
        private Tuning readTuning() throws IOException {
            Properties rest = new Properties();
            properties.stringPropertyNames().stream()
                    .filter(k -> !knownKeys.contains(k))
                    .forEach(k -> rest.setProperty(k, properties.getProperty(k)));
            // Hosts that are there anyhow cost nothing while idle, and with few of them none is spared for long after
            // an error.
            rest.putIfAbsent("fleet.linger-boots", "20");
            rest.putIfAbsent("workers.quarantine-s", "2");
            StringWriter w = new StringWriter();
            rest.store(w, null);
            return new Tuning().withOverrides(new StringReader(w.toString()));
        }

        private List<String> requiredNames(String key) {
            List<String> l = Arrays.stream(requiredText(key).split(","))
                    .map(String::trim)
                    .filter(s -> !s.isEmpty())
                    .toList();
            if (l.isEmpty() || new HashSet<>(l).size() < l.size()) {
                throw new InvalidInputException(key + ": empty, or a name twice");
            }
            for (String n : l) {
                if (!n.matches("[A-Za-z0-9_-]{1,60}")) {
                    throw new InvalidInputException(
                            key + ": " + n + " is not a name (letters, digits, - and _, at most 60)");
                }
            }
            return l;
        }

        private List<String> declaredNames(String list, String prefix, List<String> fields) {
            List<String> names = requiredNames(list);
            names.forEach(n -> fields.forEach(f -> knownKeys.add(prefix + "." + n + "." + f)));
            return names;
        }

        private String requiredText(String key) {
            String s = properties.getProperty(key);
            if (s == null || s.isBlank()) {
                throw new InvalidInputException(key + ": missing");
            }
            return s.trim();
        }

        private double requiredNumber(String key) {
            requiredText(key);
            return numberOr(key, 0);
        }

        private double numberOr(String key, double none) {
            String s = properties.getProperty(key);
            return s == null ? none : Tuning.parseAmount(key, s);
        }

        private Address addressOr(String key, String none) {
            return SettingsReader.parseAddress(properties.getProperty(key, none).trim(), key);
        }
    }
}
