package birchusher.sim;

import birchusher.core.Effect;
import birchusher.core.Fields;
import birchusher.http.EventLoop;
import birchusher.http.HttpClient;
import birchusher.http.HttpServer;
import birchusher.wire.MessagePackCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * The same stand-ins and checkers with controllers that are processes of their own, over loopback and in real time. All stand-ins run on one
 * thread, and the rules are checked from their records alone.
 */
final class ProcessWorld extends World implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int REPORT_TIMEOUT_MS = 4_000;
    private static final int POLL_TIMEOUT_MS = 2_000;
    private static final int SUBMIT_TIMEOUT_MS = 5_000;
    private static final long INITIAL_TIME_MS = 1_000;
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;
    /** Given out in this process; no two worlds share one. */
    private static final Set<Integer> RESERVED_PORTS = new HashSet<>();

    private final Path dir;
    private final EventLoop events = new EventLoop();
    private final HttpClient client = new HttpClient(events, 4_000);
    private final List<HttpServer> servers = new ArrayList<>();
    private final Process[] processes;
    private final int[] listenPorts;
    private final int[] peerPorts;
    private final int[] cloudPorts;
    private final int[] storePorts;
    private final int[][] proxyPorts;
    private final List<DelayingProxy> proxies = new ArrayList<>();
    private final long startedAtMs = EventLoop.nowMs();
    private boolean advancing;
    /** Controllers started, kills included. */
    int controllerStarts;

    ProcessWorld(long seed, int controllers, int teamLimit, Path dir) throws IOException {
        super(seed, controllers, teamLimit);
        this.dir = Files.createDirectories(dir);
        processes = new Process[controllers];
        listenPorts = reservePorts(controllers);
        peerPorts = reservePorts(controllers);
        cloudPorts = reservePorts(controllers);
        storePorts = reservePorts(controllers);
        proxyPorts = new int[controllers][];
        for (int i = 0; i < controllers; i++) {
            proxyPorts[i] = reservePorts(controllers);
        }
        for (int i = 0; i < controllers; i++) {
            int node = i;
            startServer(
                    cloudPorts[i],
                    (method, path, body, back) ->
                            forwardRequest(node, Effect.Destination.CLOUD, "cloud:1", method, path, body, back));
            startServer(
                    storePorts[i],
                    (method, path, body, back) -> forwardRequest(
                            node,
                            path.startsWith("/watch") ? Effect.Destination.WATCH : Effect.Destination.STORE,
                            "state:1",
                            method,
                            path,
                            body,
                            back));
            for (int k = 0; k < controllers; k++) {
                if (k != i) {
                    proxies.add(new DelayingProxy(proxyPorts[i][k], peerPorts[k]));
                }
            }
        }
        for (int i = 0; i < controllers; i++) {
            Files.writeString(dir.resolve("perch-" + i + ".json"), settingsJson(i));
            startProcess(i);
        }
    }

    private interface RequestHandler {
        void handle(
                String method, String path, Map<String, Object> body, BiConsumer<Integer, Map<String, Object>> back);
    }

    private static synchronized int[] reservePorts(int n) {
        Random random = new Random();
        int[] ports = new int[n];
        for (int i = 0; i < n; ) {
            int port = FIRST_PORT + random.nextInt(PORT_COUNT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (RESERVED_PORTS.add(port)) {
                    ports[i++] = probe.getLocalPort();
                }
            } catch (IOException e) {
                // Another process has it.
                continue;
            }
        }
        return ports;
    }

    private void startServer(int port, RequestHandler service) throws IOException {
        HttpServer[] server = new HttpServer[1];
        server[0] = new HttpServer(events, "127.0.0.1", port, 200, MAX_BODY_BYTES, (exchange, method, target, body) -> {
            advanceToRealTime();
            Map<String, Object> map = body.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(body), "body");
            service.handle(
                    method,
                    target,
                    map,
                    (status, answer) -> server[0].answer(exchange, status, MessagePackCodec.encode(answer), 0));
        });
        server[0].open();
        servers.add(server[0]);
    }

    private void forwardRequest(
            int node,
            Effect.Destination target,
            String address,
            String method,
            String path,
            Map<String, Object> body,
            BiConsumer<Integer, Map<String, Object>> back) {
        Effect.Call call = new Effect.Call(0, target, address, method, path, null, 0);
        long sentAt = nowMs;
        transport(node, call, body, (status, answer) -> {
            if (node >= 0) {
                recordMemberLease(node, call, status, sentAt);
            }
            back.accept(status, answer);
        });
    }

    // ---- the controllers

    @Override
    void startControllers() {}

    private void startProcess(int i) {
        List<String> command = List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx110m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dorg.slf4j.simpleLogger.showDateTime=true",
                "-cp",
                System.getProperty("java.class.path"),
                "birchusher.cli.Main",
                "serve",
                "--config",
                dir.resolve("perch-" + i + ".json").toString());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        dir.resolve("perch-" + i + ".log").toFile()));
        builder.environment().put("LOG_LEVEL", "info");
        try {
            processes[i] = builder.start();
            controllerStarts++;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends a controller without a word; it is started again after so long. */
    @Override
    void crash(int i, long ms) {
        processes[i].destroyForcibly();
        schedule(nowMs + ms, () -> {
            if (!processes[i].isAlive()) {
                startProcess(i);
            }
        });
    }

    /** A controller stands still for so long while its clocks run on. */
    @Override
    void pause(int i, long ms) {
        Process process = processes[i];
        sendSignal(process, "-STOP");
        schedule(nowMs + ms, () -> sendSignal(process, "-CONT"));
    }

    private static void sendSignal(Process process, String signal) {
        try {
            new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What controllers say to each other is held back for so long, on one connection in two by the seed, or on all. */
    void holdPeerConnections(boolean all, long ms) {
        proxies.forEach(proxy -> {
            if (all || random.nextBoolean()) {
                proxy.hold(ms);
            }
        });
    }

    void resetPeerConnections() {
        proxies.forEach(DelayingProxy::reset);
    }

    @Override
    String listenAddress(int i) {
        return "127.0.0.1:" + listenPorts[i];
    }

    @Override
    String meshAddress(int i) {
        return "127.0.0.1:" + peerPorts[i];
    }

    @Override
    String peerAddress(int i, int k) {
        return "127.0.0.1:" + proxyPorts[i][k];
    }

    @Override
    String cloudAddress(int i) {
        return "127.0.0.1:" + cloudPorts[i];
    }

    @Override
    String storeAddress(int i) {
        return "127.0.0.1:" + storePorts[i];
    }

    // ---- workers and users

    @Override
    void machineRented(FakeWorker worker) {
        int port = reservePorts(1)[0];
        worker.address = "127.0.0.1:" + port;
        try {
            startServer(
                    port,
                    (method, path, body, back) -> forwardRequest(
                            -1, Effect.Destination.WORKER, worker.name + ":1", method, path, body, back));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    void sendRequest(
            int node, String method, String path, byte[] body, BiConsumer<Integer, Map<String, Object>> reply) {
        int timeoutMs =
                path.equals("/hello") ? REPORT_TIMEOUT_MS : method.equals("GET") ? POLL_TIMEOUT_MS : SUBMIT_TIMEOUT_MS;
        client.call(listenAddress(node), method, path, body, timeoutMs, (status, answer) -> {
            advanceToRealTime();
            if (status != 0) {
                reply.accept(
                        status, answer.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(answer), "answer"));
            }
        });
    }

    // ---- time

    private void advanceToRealTime() {
        long real = EventLoop.nowMs() - startedAtMs + INITIAL_TIME_MS;
        if (!advancing && real > nowMs) {
            advancing = true;
            try {
                run(real - nowMs);
            } finally {
                advancing = false;
            }
        }
    }

    /** Runs in real time until so many ms after the start. */
    void runInRealTime(long endMs) throws InterruptedException {
        Throwable[] failure = new Throwable[1];
        schedule(INITIAL_TIME_MS + endMs, events::stop);
        events.run(late -> {
            try {
                advanceToRealTime();
                client.tick();
                servers.forEach(HttpServer::tick);
            } catch (AssertionError e) {
                failure[0] = e;
                events.stop();
            }
        });
        if (failure[0] != null) {
            violations.add(String.valueOf(failure[0].getMessage()));
        }
    }

    /** Lines of the controllers' logs that hold this text. */
    List<String> logLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < controllerCount; i++) {
            Path log = dir.resolve("perch-" + i + ".log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains(text)) {
                        lines.add("perch-" + i + " " + line);
                    }
                }
            }
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
            process.onExit().completeOnTimeout(process, 10, TimeUnit.SECONDS).join();
        }
        for (DelayingProxy proxy : proxies) {
            proxy.close();
        }
        for (HttpServer server : servers) {
            server.close();
        }
    }
}
