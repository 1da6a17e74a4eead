package birchusher.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A daemon and agents as processes of their own on loopback, to be killed. */
final class DaemonProcesses implements AutoCloseable {
    final Path dir;
    final String server;
    private final Path propertiesFile;
    private final Map<String, Integer> agentPorts = new HashMap<>();
    private final Map<String, Process> processByName = new ConcurrentHashMap<>();

    /** @param more further lines of properties */
    DaemonProcesses(Path dir, List<String> hosts, String... more) throws IOException {
        this.dir = dir;
        int[] ports = freePorts(5 + hosts.size());
        server = "127.0.0.1:" + ports[0];
        List<String> l = new ArrayList<>(List.of(
                "data.dir=" + dir.resolve("data"),
                "listen=" + server,
                "controller.listen=127.0.0.1:" + ports[1],
                "controller.mesh=127.0.0.1:" + ports[2],
                "state.listen=127.0.0.1:" + ports[3],
                "cloud.listen=127.0.0.1:" + ports[4],
                "zones=z",
                "teams=main,other",
                "types=small",
                "type.small.cpus=4",
                "type.small.memory-gb=8",
                "hosts=" + String.join(",", hosts),
                "workers.report-s=1"));
        for (int i = 0; i < hosts.size(); i++) {
            l.add("host." + hosts.get(i) + ".type=small");
            agentPorts.put(hosts.get(i), ports[5 + i]);
        }
        l.addAll(List.of(more));
        propertiesFile = Files.write(dir.resolve("daemon.properties"), l);
    }

    /**
     * Ports below those that the host gives to outgoing connections: a daemon that was killed must get its own again, and a
     * client that calls meanwhile could have been given one of them.
     */
    private static int[] freePorts(int n) {
        SplittableRandom random = new SplittableRandom(ProcessHandle.current().pid() * 31 + System.nanoTime());
        int[] ports = new int[n];
        for (int i = 0; i < n; ) {
            int port = 10_000 + random.nextInt(20_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                boolean taken = false;
                for (int j = 0; j < i; j++) {
                    taken |= ports[j] == port;
                }
                ports[i] = s.getLocalPort();
                i += taken ? 0 : 1;
            } catch (IOException e) {
                // Another process has it.
                continue;
            }
        }
        return ports;
    }

    private void startProcess(String name, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx128m",
                "-XX:TieredStopAtLevel=1",
                "-Dorg.slf4j.simpleLogger.showDateTime=true",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(List.of(args));
        ProcessBuilder b = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        dir.resolve(name + ".log").toFile()));
        b.environment().put("LOG_LEVEL", "info");
        processByName.put(name, b.start());
    }

    void startDaemon() throws IOException {
        startProcess("daemon", "daemon", "--properties", propertiesFile.toString());
    }

    void startAgent(String host) throws IOException {
        startProcess(
                host,
                "agent",
                "--server",
                server,
                "--host",
                host,
                "--listen",
                "127.0.0.1:" + agentPorts.get(host),
                "--dir",
                dir.resolve("agent-" + host).toString(),
                "--checkpoints",
                dir.resolve("saves").toString());
    }

    /** With force, as a power cut of that process would. */
    void kill(String name) {
        Process p = processByName.remove(name);
        p.destroyForcibly();
        p.onExit().join();
    }

    /** In order, as a service manager would. */
    int terminate(String name) throws InterruptedException {
        Process p = processByName.remove(name);
        p.destroy();
        if (!p.waitFor(60, TimeUnit.SECONDS)) {
            p.destroyForcibly();
            return -1;
        }
        return p.exitValue();
    }

    RetryingClient newClient() {
        return new RetryingClient(server, 120);
    }

    /** What went on, for a failed test. */
    String logTail() throws IOException {
        StringBuilder sb = new StringBuilder();
        for (String name : List.of("daemon", "a", "b")) {
            Path p = dir.resolve(name + ".log");
            if (Files.exists(p)) {
                List<String> l = Files.readAllLines(p);
                sb.append(name)
                        .append(":\n")
                        .append(String.join("\n", l.subList(Math.max(0, l.size() - 60), l.size())))
                        .append('\n');
            }
        }
        return sb.toString();
    }

    @Override
    public void close() {
        for (String name : List.copyOf(processByName.keySet())) {
            kill(name);
        }
    }
}
