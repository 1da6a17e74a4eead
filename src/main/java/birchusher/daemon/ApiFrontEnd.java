package birchusher.daemon;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.EventLoop;
import birchusher.http.HttpClient;
import birchusher.http.HttpServer;
import birchusher.http.RequestTarget;
import birchusher.pool.GangCoordinator;
import birchusher.pool.HostPool;
import birchusher.pool.Outbox;
import birchusher.pool.ProgramStore;
import birchusher.settings.Settings;
import birchusher.statehost.DurableStoreRunner;
import birchusher.wire.JobCodec;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The daemon's single address for people and agents. It stores programs, answers agents, reads task logs from them, and
 * forwards the public job API to the daemon's controller. On a second address it serves the cloud protocol to
 * controllers.
 *
 * <p>The controller is called over loopback like by any other client, so that there is a single, constantly tested code
 * path. A call within the process would save less than 0.1 ms and be a second way to do the same. All methods run on
 * the event loop's thread.
 */
final class ApiFrontEnd {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_OUTBOUND_CONNECTIONS = 512;
    private static final int MAX_CLOUD_CONNECTIONS = 64;
    private static final int CONTROLLER_TIMEOUT_MS = 5_000;
    private static final int LOG_TIMEOUT_MS = 3_000;
    private static final long PROGRAM_SWEEP_INTERVAL_MS = 500;
    private static final int DEFAULT_LIST_COUNT = 500;
    private static final int INVALID_RESPONSE_RETRY_S = 5;

    private final Settings settings;
    private final String controllerAddress;
    private final DurableStoreRunner storeRunner;
    private final PoolStore poolStore;
    private final HttpServer userServer;
    private final HttpServer cloudServer;
    private final HttpClient client;
    private final Outbox outbox = new Outbox();
    private final HostPool pool;
    private final ProgramStore programs;
    private final GangCoordinator gangs;
    private long nextSweepMs;

    ApiFrontEnd(EventLoop loop, DaemonSettings daemonSettings, DurableStoreRunner storeRunner) {
        settings = daemonSettings.controllerSettings();
        controllerAddress = settings.listenAddress().toString();
        this.storeRunner = storeRunner;
        poolStore = new PoolStore(storeRunner);
        userServer = new HttpServer(
                loop,
                daemonSettings.listenAddress().host(),
                daemonSettings.listenAddress().port(),
                settings.maxConnections(),
                MAX_BODY_BYTES,
                this::handleUserRequest);
        cloudServer = new HttpServer(
                loop,
                settings.cloudAddress().host(),
                settings.cloudAddress().port(),
                MAX_CLOUD_CONNECTIONS,
                MAX_BODY_BYTES,
                this::handleCloudRequest);
        client = new HttpClient(loop, MAX_OUTBOUND_CONNECTIONS);
        Map<String, Map<String, Object>> rows = poolStore.readAll();
        List<Object> controllers = new ArrayList<>();
        daemonSettings
                .controllers()
                .forEach((name, address) -> controllers.add(Map.of("member", name, Wire.ADDRESS, address.toString())));
        pool = new HostPool(
                daemonSettings.hosts(),
                Map.of(
                        "report_s",
                        settings.reportIntervalS(),
                        "lease_s",
                        settings.workerLeaseS(),
                        "gang_wait_s",
                        settings.gangWaitTimeoutS(),
                        "controllers",
                        controllers),
                outbox,
                rows,
                EventLoop.nowMs());
        programs = new ProgramStore(outbox, rows);
        gangs = new GangCoordinator(Math.round(settings.gangPeerTimeoutS() * 1000));
    }

    void open() throws IOException {
        cloudServer.open();
        userServer.open();
    }

    void close() throws IOException {
        userServer.close();
        cloudServer.close();
    }

    void tick(long lateMs) {
        long now = EventLoop.nowMs();
        storeRunner.tick();
        pool.tick(now);
        gangs.tick(now);
        if (now >= nextSweepMs) {
            nextSweepMs = now + PROGRAM_SWEEP_INTERVAL_MS;
            sweepPrograms();
        }
        performOutputs();
        userServer.tick();
        cloudServer.tick();
        client.tick();
    }

    /**
     * Wraps a handler so that a response that violates the protocol is answered with 503, not left without an answer.
     */
    private HttpClient.ResponseHandler refusingInvalidResponses(long exchange, HttpClient.ResponseHandler handler) {
        return (status, body) -> {
            try {
                handler.handleResponse(status, body);
            } catch (InvalidInputException e) {
                refuse(
                        exchange,
                        503,
                        "invalid response from another service: " + e.getMessage(),
                        INVALID_RESPONSE_RETRY_S);
            }
        };
    }

    /** Asks the controller for the job of one program that may no longer be needed. */
    private void sweepPrograms() {
        String id = programs.nextToCheck(System.currentTimeMillis());
        if (id != null) {
            call(controllerAddress, "GET", Wire.JOBS + "/" + id, HttpClient.EMPTY_BODY, (status, body) -> {
                if (status == 200 || status == 404) {
                    Object state = status == 404 ? null : decodeBody(body).get(Wire.STATE);
                    programs.onJobStatus(
                            System.currentTimeMillis(),
                            id,
                            Wire.DONE.equals(state) || Wire.CANCELLED.equals(state),
                            status == 404);
                    performOutputs();
                }
            });
        }
    }

    /** Sends the responses and starts the writes that the pool's classes have requested, until there are none. */
    private void performOutputs() {
        for (List<Outbox.Output> outputs = outbox.drain(); !outputs.isEmpty(); outputs = outbox.drain()) {
            for (Outbox.Output output : outputs) {
                if (output instanceof Outbox.Response response) {
                    answer(response.exchange(), response.status(), response.body(), response.retryAfterS());
                } else {
                    poolStore.write((Outbox.Write) output, outbox, this::performOutputs);
                }
            }
        }
    }

    /** Sends a response. Exchanges of the cloud's address are negated, so that one outbox serves both addresses. */
    private void answer(long exchange, int status, Map<String, ?> body, int retryAfterS) {
        (exchange < 0 ? cloudServer : userServer)
                .answer(Math.abs(exchange), status, MessagePackCodec.encode(body), retryAfterS);
    }

    private void refuse(long exchange, int status, String message, int retryAfterS) {
        answer(exchange, status, Map.of("error", message), retryAfterS);
    }

    /** Handles a request whose target or body may be invalid. */
    private interface RouteHandler {
        void handle() throws RequestTarget.InvalidTargetException;
    }

    private void handleRoute(long exchange, RouteHandler handler) {
        try {
            handler.handle();
        } catch (InvalidInputException | RequestTarget.InvalidTargetException e) {
            refuse(exchange, 400, e.getMessage(), 0);
        }
        performOutputs();
    }

    private static Map<String, Object> decodeBody(byte[] body) {
        return Fields.map(MessagePackCodec.decode(body), "body");
    }

    private void handleCloudRequest(long cloudExchange, String method, String target, byte[] body) {
        long exchange = -cloudExchange;
        handleRoute(exchange, () -> {
            RequestTarget request = RequestTarget.parse(target);
            String route = method + " " + request.path();
            if (route.equals("GET " + Wire.MACHINE_TYPES)) {
                answer(exchange, 200, pool.listTypes(), 0);
            } else if (route.equals("POST " + Wire.RENTALS)) {
                pool.rent(EventLoop.nowMs(), System.currentTimeMillis(), exchange, decodeBody(body));
            } else if (route.equals("POST " + Wire.RENTALS_DELETE)) {
                pool.delete(EventLoop.nowMs(), exchange, decodeBody(body));
            } else if (route.equals("GET " + Wire.RENTALS)) {
                answer(
                        exchange,
                        200,
                        pool.listMachines(
                                System.currentTimeMillis(),
                                request.text(Wire.AFTER, ""),
                                request.count(Wire.LIMIT, DEFAULT_LIST_COUNT)),
                        0);
            } else {
                refuse(exchange, 404, "no such path", 0);
            }
        });
    }

    private void handleUserRequest(long exchange, String method, String target, byte[] body) {
        handleRoute(exchange, () -> {
            RequestTarget request = RequestTarget.parse(target);
            String route = method + " " + request.path();
            if (route.equals("POST " + Wire.AGENTS)) {
                pool.handlePoll(EventLoop.nowMs(), exchange, decodeBody(body));
            } else if (route.equals("POST " + Wire.GANGS)) {
                answer(exchange, 200, gangs.handleStatus(EventLoop.nowMs(), decodeBody(body)), 0);
            } else if (route.equals("GET " + Wire.POOL_MACHINES)) {
                answer(exchange, 200, Map.of("machines", pool.describeHosts(EventLoop.nowMs())), 0);
            } else if (route.startsWith("GET " + Wire.DESCRIPTIONS)) {
                describeJob(exchange, jobIdAfter(request, Wire.DESCRIPTIONS));
            } else if (route.startsWith("POST " + Wire.PROGRAMS)) {
                programs.put(
                        System.currentTimeMillis(), exchange, jobIdAfter(request, Wire.PROGRAMS), decodeBody(body));
            } else if (route.startsWith("GET " + Wire.PROGRAMS)) {
                Map<String, Object> program = programs.get(jobIdAfter(request, Wire.PROGRAMS));
                answer(
                        exchange,
                        program == null ? 404 : 200,
                        program == null ? Map.of("error", "no such program") : program,
                        0);
            } else if (route.startsWith("GET " + Wire.TASK_LOGS)) {
                serveTaskLogs(exchange, request);
            } else if (route.equals("GET " + Wire.READY) && storeRunner.readOnly()) {
                refuse(exchange, 503, "the disk cannot be written", 1);
            } else if (request.path().startsWith(Wire.JOBS)
                    || request.path().equals(Wire.TEAMS)
                    || request.path().equals(Wire.READY)) {
                call(controllerAddress, method, target, body, (status, responseBody) -> {
                    if (status == 0) {
                        refuse(exchange, 503, "no response from the controller", 1);
                    } else {
                        userServer.answer(exchange, status, responseBody, status == 503 || status == 429 ? 1 : 0);
                    }
                });
            } else {
                refuse(exchange, 404, "no such path", 0);
            }
        });
    }

    /** Returns the job id that follows a path prefix. */
    private static String jobIdAfter(RequestTarget request, String prefix) {
        String id = request.path().substring(prefix.length());
        if (!JobCodec.isJobId(id)) {
            throw new InvalidInputException(Wire.ID + ": not a job id");
        }
        return id;
    }

    private void call(String address, String method, String target, byte[] body, HttpClient.ResponseHandler handler) {
        client.call(address, method, target, body, CONTROLLER_TIMEOUT_MS, handler);
    }

    /** Answers with what an agent needs to run a job's tasks; 404 if the job is unknown or over. */
    private void describeJob(long exchange, String id) {
        call(
                controllerAddress,
                "GET",
                Wire.JOBS + "/" + id + Wire.DESCRIBE + "?" + Wire.LIMIT + "=1",
                HttpClient.EMPTY_BODY,
                refusingInvalidResponses(exchange, (status, body) -> {
                    Map<String, Object> response = status == 200 || status == 404 ? decodeBody(body) : Map.of();
                    if (status == 200 && response.get("job") != null) {
                        Map<String, Object> description = new HashMap<>();
                        description.put("job", response.get("job"));
                        description.put("program", programs.get(id));
                        answer(exchange, 200, description, 0);
                    } else if (status == 200 || status == 404) {
                        refuse(exchange, 404, "no such job, or it is over", 0);
                    } else {
                        refuse(exchange, 503, "no job description from the controller", 1);
                    }
                }));
    }

    /**
     * Serves {@code GET /v2/logs/{id}/{index}}: by host, the logs of a task that it keeps, one for each attempt, and the
     * names of hosts that did not answer. With the parameters {@code host}, {@code try} and {@code from}, a part of one
     * attempt's log on one host.
     */
    private void serveTaskLogs(long exchange, RequestTarget request) {
        String task = request.path().substring(Wire.TASK_LOGS.length());
        if (request.parameters().containsKey("host")) {
            String address = pool.agentAddress(request.text("host", ""));
            if (address == null) {
                refuse(exchange, 404, "no host with that name has reported", 0);
                return;
            }
            client.call(
                    address,
                    "GET",
                    "/logs/" + task + "?try=" + request.text("try", "0") + "&from=" + request.text("from", "0"),
                    HttpClient.EMPTY_BODY,
                    LOG_TIMEOUT_MS,
                    (status, body) -> {
                        if (status == 0) {
                            refuse(exchange, 503, "no response from the host's agent", 1);
                        } else {
                            userServer.answer(exchange, status, body, 0);
                        }
                    });
            return;
        }
        Map<String, Object> logsByHost = new LinkedHashMap<>();
        List<Object> silentHosts = new ArrayList<>();
        List<String> hosts = pool.reachableHosts(EventLoop.nowMs());
        int[] pendingHosts = {hosts.size()};
        Runnable answerAll = () -> answer(exchange, 200, Map.of("hosts", logsByHost, "silent", silentHosts), 0);
        if (hosts.isEmpty()) {
            answerAll.run();
        }
        for (String host : hosts) {
            client.call(
                    pool.agentAddress(host),
                    "GET",
                    "/logs/" + task,
                    HttpClient.EMPTY_BODY,
                    LOG_TIMEOUT_MS,
                    refusingInvalidResponses(exchange, (status, body) -> {
                        if (status == 400 && pendingHosts[0] > 0) {
                            pendingHosts[0] = 0;
                            userServer.answer(exchange, 400, body, 0);
                            return;
                        }
                        List<?> logs = status == 200 ? Fields.list(decodeBody(body), "logs") : List.of();
                        if (status != 200) {
                            silentHosts.add(host);
                        } else if (!logs.isEmpty()) {
                            logsByHost.put(host, logs);
                        }
                        if (--pendingHosts[0] == 0) {
                            answerAll.run();
                        }
                    }));
        }
    }
}
