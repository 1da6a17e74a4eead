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
 * A {@link World} whose controllers are processes of their own, reached over loopback in real time. All stand-ins run on
 * one thread, and the rules are checked from their records alone.
 */
final class ProcessWorld extends World implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int REPORT_TIMEOUT_MS = 4_000;
    private static final int POLL_TIMEOUT_MS = 2_000;
    private static final int SUBMIT_TIMEOUT_MS = 5_000;
    /** Simulated time at the start of a run. */
    private static final long INITIAL_TIME_MS = 1_000;

    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;
    /** Ports given out in this process, so that no two worlds share one. */
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
    /** Whether scheduled actions are being carried out, so that a nested call does not carry them out again. */
    private boolean advancing;
    /** Number of controller starts, those after kills included. */
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
            int controller = i;
            startServer(
                    cloudPorts[i],
                    (method, path, body, replyHandler) -> forwardRequest(
                            controller, Effect.Destination.CLOUD, "cloud:1", method, path, body, replyHandler));
            startServer(
                    storePorts[i],
                    (method, path, body, replyHandler) -> forwardRequest(
                            controller,
                            path.startsWith("/watch") ? Effect.Destination.WATCH : Effect.Destination.STORE,
                            "state:1",
                            method,
                            path,
                            body,
                            replyHandler));
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

    /** Answers the requests that arrive at one port. */
    private interface RequestHandler {
        void handle(
                String method,
                String path,
                Map<String, Object> body,
                BiConsumer<Integer, Map<String, Object>> replyHandler);
    }

    /** Returns free ports on loopback that no other world of this process uses. */
    private static synchronized int[] reservePorts(int count) {
        Random random = new Random();
        int[] ports = new int[count];
        for (int i = 0; i < count; ) {
            int port = FIRST_PORT + random.nextInt(PORT_COUNT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (RESERVED_PORTS.add(port)) {
                    ports[i++] = probe.getLocalPort();
                }
            } catch (IOException e) {
                // Another process uses this port.
                continue;
            }
        }
        return ports;
    }

    private void startServer(int port, RequestHandler handler) throws IOException {
        HttpServer[] server = new HttpServer[1];
        server[0] = new HttpServer(events, "127.0.0.1", port, 200, MAX_BODY_BYTES, (exchange, method, target, body) -> {
            advanceToRealTime();
            Map<String, Object> fields =
                    body.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(body), "body");
            handler.handle(
                    method,
                    target,
                    fields,
                    (status, answer) -> server[0].answer(exchange, status, MessagePackCodec.encode(answer), 0));
        });
        server[0].open();
        servers.add(server[0]);
    }

    /**
     * Passes a request of a controller to its stand-in, under the faults in effect. The index of the controller is -1 if
     * it is unknown.
     */
    private void forwardRequest(
            int controller,
            Effect.Destination destination,
            String address,
            String method,
            String path,
            Map<String, Object> body,
            BiConsumer<Integer, Map<String, Object>> replyHandler) {
        Effect.Call call = new Effect.Call(0, destination, address, method, path, null, 0);
        long sentAtMs = nowMs;
        transport(controller, call, body, (status, answer) -> {
            if (controller >= 0) {
                recordMemberLease(controller, call, status, sentAtMs);
            }
            replyHandler.accept(status, answer);
        });
    }

    // ---- the controllers

    @Override
    void startControllers() {}

    private void startProcess(int controller) {
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
                dir.resolve("perch-" + controller + ".json").toString());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        dir.resolve("perch-" + controller + ".log").toFile()));
        builder.environment().put("LOG_LEVEL", "info");
        try {
            processes[controller] = builder.start();
            controllerStarts++;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills a controller; it is started again after {@code ms}. */
    @Override
    void crash(int controller, long ms) {
        processes[controller].destroyForcibly();
        schedule(nowMs + ms, () -> {
            if (!processes[controller].isAlive()) {
                startProcess(controller);
            }
        });
    }

    /** Stops a controller's process for {@code ms} while its clocks go on. */
    @Override
    void pause(int controller, long ms) {
        Process process = processes[controller];
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

    /**
     * Delays the traffic between controllers for {@code ms}, on all connections or on every second one as drawn by the
     * seed.
     */
    void holdPeerConnections(boolean all, long ms) {
        proxies.forEach(proxy -> {
            if (all || random.nextBoolean()) {
                proxy.hold(ms);
            }
        });
    }

    /** Closes all connections between controllers. */
    void resetPeerConnections() {
        proxies.forEach(DelayingProxy::reset);
    }

    @Override
    String listenAddress(int controller) {
        return "127.0.0.1:" + listenPorts[controller];
    }

    @Override
    String meshAddress(int controller) {
        return "127.0.0.1:" + peerPorts[controller];
    }

    @Override
    String peerAddress(int controller, int peer) {
        return "127.0.0.1:" + proxyPorts[controller][peer];
    }

    @Override
    String cloudAddress(int controller) {
        return "127.0.0.1:" + cloudPorts[controller];
    }

    @Override
    String storeAddress(int controller) {
        return "127.0.0.1:" + storePorts[controller];
    }

    // ---- workers and users

    @Override
    void onMachineRented(FakeWorker worker) {
        int port = reservePorts(1)[0];
        worker.address = "127.0.0.1:" + port;
        try {
            startServer(
                    port,
                    (method, path, body, replyHandler) -> forwardRequest(
                            -1, Effect.Destination.WORKER, worker.name + ":1", method, path, body, replyHandler));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    void sendRequest(
            int controller,
            String method,
            String path,
            byte[] body,
            BiConsumer<Integer, Map<String, Object>> replyHandler) {
        int timeoutMs =
                path.equals("/hello") ? REPORT_TIMEOUT_MS : method.equals("GET") ? POLL_TIMEOUT_MS : SUBMIT_TIMEOUT_MS;
        client.call(listenAddress(controller), method, path, body, timeoutMs, (status, answer) -> {
            advanceToRealTime();
            if (status != 0) {
                replyHandler.accept(
                        status, answer.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(answer), "answer"));
            }
        });
    }

    // ---- time

    /** Carries out everything that is scheduled up to the present real time. */
    private void advanceToRealTime() {
        long realTimeMs = EventLoop.nowMs() - startedAtMs + INITIAL_TIME_MS;
        if (!advancing && realTimeMs > nowMs) {
            advancing = true;
            try {
                run(realTimeMs - nowMs);
            } finally {
                advancing = false;
            }
        }
    }

    /** Runs in real time until {@code endMs} after the start. */
    void runInRealTime(long endMs) throws InterruptedException {
        Throwable[] failure = new Throwable[1];
        schedule(INITIAL_TIME_MS + endMs, events::stop);
        events.run(lateMs -> {
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

    /** Returns the lines of the controllers' logs that contain a text, each after the name of its controller. */
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
        events.channelGroup().shutdownNow();
    }
}
