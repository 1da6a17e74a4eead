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
 * The one address for people and agents. It keeps programs, answers agents, reads logs from them, and passes everything
 * published on to the controller beside it. On a second address it serves the cloud protocol to controllers.
 *
 * <p>The controller is called over loopback as by anybody: one path, which the bench tests every day. A call in the process
 * would spare less than a tenth of a millisecond and be a second way to do the same.
 */
final class ApiFrontEnd {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_OUTBOUND_CONNECTIONS = 512;
    private static final int CONTROLLER_TIMEOUT_MS = 5_000;
    private static final int LOG_TIMEOUT_MS = 3_000;
    private static final long PROGRAM_SWEEP_INTERVAL_MS = 500;

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

    ApiFrontEnd(EventLoop loop, DaemonSettings d, DurableStoreRunner store) {
        settings = d.settings();
        controllerAddress = settings.listenAddress().toString();
        this.storeRunner = store;
        poolStore = new PoolStore(store);
        userServer = new HttpServer(
                loop,
                d.listenAddress().host(),
                d.listenAddress().port(),
                settings.maxConnections(),
                MAX_BODY_BYTES,
                this::handleUserRequest);
        cloudServer = new HttpServer(
                loop,
                settings.cloudAddress().host(),
                settings.cloudAddress().port(),
                64,
                MAX_BODY_BYTES,
                this::handleCloudRequest);
        client = new HttpClient(loop, MAX_OUTBOUND_CONNECTIONS);
        Map<String, Map<String, Object>> rows = poolStore.readAll();
        List<Object> controllers = new ArrayList<>();
        d.controllers()
                .forEach((name, address) -> controllers.add(Map.of("member", name, Wire.ADDRESS, address.toString())));
        pool = new HostPool(
                d.hosts(),
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

    void tick(long late) {
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

    /** A reply that is not as agreed must not leave its exchange without an answer. */
    private HttpClient.ResponseHandler refusingInvalidResponses(long exchange, HttpClient.ResponseHandler reply) {
        return (status, body) -> {
            try {
                reply.handleResponse(status, body);
            } catch (InvalidInputException e) {
                refuse(exchange, 503, "an answer was not as agreed: " + e.getMessage(), 5);
            }
        };
    }

    /** Asks about one program that may no longer be needed. */
    private void sweepPrograms() {
        String id = programs.nextToCheck(System.currentTimeMillis());
        if (id != null) {
            call(controllerAddress, "GET", Wire.JOBS + "/" + id, HttpClient.EMPTY_BODY, (status, body) -> {
                if (status == 200 || status == 404) {
                    Object stage = status == 404 ? null : decodeBody(body).get(Wire.STATE);
                    programs.onJobStatus(
                            System.currentTimeMillis(),
                            id,
                            Wire.DONE.equals(stage) || Wire.CANCELLED.equals(stage),
                            status == 404);
                    performOutputs();
                }
            });
        }
    }

    private void performOutputs() {
        for (List<Outbox.Output> l = outbox.drain(); !l.isEmpty(); l = outbox.drain()) {
            for (Outbox.Output o : l) {
                if (o instanceof Outbox.Response a) {
                    answer(a.exchange(), a.status(), a.body(), a.retryAfterS());
                } else {
                    poolStore.write((Outbox.Write) o, outbox, this::performOutputs);
                }
            }
        }
    }

    /** Exchanges of the cloud's address are below 0, so that one outbox serves both. */
    private void answer(long exchange, int status, Map<String, ?> body, int retryAfterS) {
        (exchange < 0 ? cloudServer : userServer)
                .answer(Math.abs(exchange), status, MessagePackCodec.encode(body), retryAfterS);
    }

    private void refuse(long exchange, int status, String why, int retryAfterS) {
        answer(exchange, status, Map.of("error", why), retryAfterS);
    }

    private interface RouteHandler {
        void handle() throws RequestTarget.InvalidTargetException;
    }

    private void handleRoute(long exchange, RouteHandler r) {
        try {
            r.handle();
        } catch (InvalidInputException | RequestTarget.InvalidTargetException e) {
            refuse(exchange, 400, e.getMessage(), 0);
        }
        performOutputs();
    }

    private static Map<String, Object> decodeBody(byte[] body) {
        return Fields.map(MessagePackCodec.decode(body), "body");
    }

    private void handleCloudRequest(long x, String method, String target, byte[] body) {
        long exchange = -x;
        handleRoute(exchange, () -> {
            RequestTarget t = RequestTarget.parse(target);
            String route = method + " " + t.path();
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
                        pool.listMachines(System.currentTimeMillis(), t.text(Wire.AFTER, ""), t.count(Wire.LIMIT, 500)),
                        0);
            } else {
                refuse(exchange, 404, "no such path", 0);
            }
        });
    }

    private void handleUserRequest(long exchange, String method, String target, byte[] body) {
        handleRoute(exchange, () -> {
            RequestTarget t = RequestTarget.parse(target);
            String route = method + " " + t.path();
            if (route.equals("POST " + Wire.AGENTS)) {
                pool.handlePoll(EventLoop.nowMs(), exchange, decodeBody(body));
            } else if (route.equals("POST " + Wire.GANGS)) {
                answer(exchange, 200, gangs.handleStatus(EventLoop.nowMs(), decodeBody(body)), 0);
            } else if (route.equals("GET " + Wire.POOL_MACHINES)) {
                answer(exchange, 200, Map.of("machines", pool.describeHosts(EventLoop.nowMs())), 0);
            } else if (route.startsWith("GET " + Wire.DESCRIPTIONS)) {
                describeJob(exchange, jobIdAfter(t, Wire.DESCRIPTIONS));
            } else if (route.startsWith("POST " + Wire.PROGRAMS)) {
                programs.put(System.currentTimeMillis(), exchange, jobIdAfter(t, Wire.PROGRAMS), decodeBody(body));
            } else if (route.startsWith("GET " + Wire.PROGRAMS)) {
                Map<String, Object> p = programs.get(jobIdAfter(t, Wire.PROGRAMS));
                answer(exchange, p == null ? 404 : 200, p == null ? Map.of("error", "no such program") : p, 0);
            } else if (route.startsWith("GET " + Wire.TASK_LOGS)) {
                serveTaskLogs(exchange, t);
            } else if (route.equals("GET " + Wire.READY) && storeRunner.readOnly()) {
                refuse(exchange, 503, "the disk can't be written", 1);
            } else if (t.path().startsWith(Wire.JOBS)
                    || t.path().equals(Wire.TEAMS)
                    || t.path().equals(Wire.READY)) {
                call(controllerAddress, method, target, body, (status, answered) -> {
                    if (status == 0) {
                        refuse(exchange, 503, "the controller has not answered", 1);
                    } else {
                        userServer.answer(exchange, status, answered, status == 503 || status == 429 ? 1 : 0);
                    }
                });
            } else {
                refuse(exchange, 404, "no such path", 0);
            }
        });
    }

    private static String jobIdAfter(RequestTarget t, String prefix) {
        String id = t.path().substring(prefix.length());
        if (!JobCodec.isJobId(id)) {
            throw new InvalidInputException(Wire.ID + ": not a job id");
        }
        return id;
    }

    private void call(String address, String method, String target, byte[] body, HttpClient.ResponseHandler reply) {
        client.call(address, method, target, body, CONTROLLER_TIMEOUT_MS, reply);
    }

    /** What an agent needs to run a job's tasks; 404 if it is unknown or over. */
    private void describeJob(long exchange, String id) {
        call(
                controllerAddress,
                "GET",
                Wire.JOBS + "/" + id + Wire.DESCRIBE + "?" + Wire.LIMIT + "=1",
                HttpClient.EMPTY_BODY,
                refusingInvalidResponses(exchange, (status, body) -> {
                    Map<String, Object> m = status == 200 || status == 404 ? decodeBody(body) : Map.of();
                    if (status == 200 && m.get("job") != null) {
                        Map<String, Object> d = new HashMap<>();
                        d.put("job", m.get("job"));
                        d.put("program", programs.get(id));
                        answer(exchange, 200, d, 0);
                    } else if (status == 200 || status == 404) {
                        refuse(exchange, 404, "no such job, or it is over", 0);
                    } else {
                        refuse(exchange, 503, "the controller has not answered", 1);
                    }
                }));
    }

    /**
     * {@code GET /v2/logs/{id}/{index}}: which hosts keep logs of a task, by attempt; hosts that don't answer are named. With
     * {@code host}, {@code try} and {@code from}: a part of one.
     */
    private void serveTaskLogs(long exchange, RequestTarget t) {
        String task = t.path().substring(Wire.TASK_LOGS.length());
        if (t.parameters().containsKey("host")) {
            String address = pool.agentAddress(t.text("host", ""));
            if (address == null) {
                refuse(exchange, 404, "no host of that name is heard of", 0);
                return;
            }
            client.call(
                    address,
                    "GET",
                    "/logs/" + task + "?try=" + t.text("try", "0") + "&from=" + t.text("from", "0"),
                    HttpClient.EMPTY_BODY,
                    LOG_TIMEOUT_MS,
                    (status, body) -> {
                        if (status == 0) {
                            refuse(exchange, 503, "the host has not answered", 1);
                        } else {
                            userServer.answer(exchange, status, body, 0);
                        }
                    });
            return;
        }
        Map<String, Object> found = new LinkedHashMap<>();
        List<Object> silent = new ArrayList<>();
        List<String> hosts = pool.reachableHosts(EventLoop.nowMs());
        int[] open = {hosts.size()};
        Runnable done = () -> answer(exchange, 200, Map.of("hosts", found, "silent", silent), 0);
        if (hosts.isEmpty()) {
            done.run();
        }
        for (String h : hosts) {
            client.call(
                    pool.agentAddress(h),
                    "GET",
                    "/logs/" + task,
                    HttpClient.EMPTY_BODY,
                    LOG_TIMEOUT_MS,
                    refusingInvalidResponses(exchange, (status, body) -> {
                        if (status == 400 && open[0] > 0) {
                            open[0] = 0;
                            userServer.answer(exchange, 400, body, 0);
                            return;
                        }
                        List<?> l = status == 200 ? Fields.list(decodeBody(body), "logs") : List.of();
                        if (status != 200) {
                            silent.add(h);
                        } else if (!l.isEmpty()) {
                            found.put(h, l);
                        }
                        if (--open[0] == 0) {
                            done.run();
                        }
                    }));
        }
    }
}
