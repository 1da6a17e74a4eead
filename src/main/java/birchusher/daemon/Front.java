package birchusher.daemon;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.EventLoop;
import birchusher.http.HttpClient;
import birchusher.http.HttpServer;
import birchusher.http.Target;
import birchusher.pool.Gangs;
import birchusher.pool.Outbox;
import birchusher.pool.Pool;
import birchusher.pool.Programs;
import birchusher.settings.Settings;
import birchusher.statehost.DurableStoreRunner;
import birchusher.wire.JobCodec;
import birchusher.wire.Pack;
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
final class Front {
    private static final int MAX_BODY = 64 * 1024;
    private static final int MAX_CALLS = 512;
    private static final int TIMEOUT_MS = 5_000;
    private static final int LOG_TIMEOUT_MS = 3_000;
    private static final long SWEEP_MS = 500;

    private final Settings settings;
    private final String controller;
    private final DurableStoreRunner store;
    private final Home home;
    private final HttpServer users;
    private final HttpServer cloud;
    private final HttpClient client;
    private final Outbox outbox = new Outbox();
    private final Pool pool;
    private final Programs programs;
    private final Gangs gangs;
    private long nextSweep;

    Front(EventLoop loop, DaemonSettings d, DurableStoreRunner store) {
        settings = d.settings();
        controller = settings.listen().toString();
        this.store = store;
        home = new Home(store);
        users = new HttpServer(
                loop, d.listen().host(), d.listen().port(), settings.maxConnections(), MAX_BODY, this::request);
        cloud = new HttpServer(
                loop, settings.cloud().host(), settings.cloud().port(), 64, MAX_BODY, this::cloudRequest);
        client = new HttpClient(loop, MAX_CALLS);
        Map<String, Map<String, Object>> rows = home.rows();
        List<Object> controllers = new ArrayList<>();
        d.controllers()
                .forEach((name, address) -> controllers.add(Map.of("member", name, Wire.ADDR, address.toString())));
        pool = new Pool(
                d.hosts(),
                Map.of(
                        "report_s",
                        settings.reportS(),
                        "lease_s",
                        settings.leaseS(),
                        "gang_wait_s",
                        settings.gangWaitS(),
                        "controllers",
                        controllers),
                outbox,
                rows,
                EventLoop.now());
        programs = new Programs(outbox, rows);
        gangs = new Gangs(Math.round(settings.gangPeerS() * 1000));
    }

    void open() throws IOException {
        cloud.open();
        users.open();
    }

    void close() throws IOException {
        users.close();
        cloud.close();
    }

    void tick(long late) {
        long now = EventLoop.now();
        store.tick();
        pool.tick(now);
        gangs.tick(now);
        if (now >= nextSweep) {
            nextSweep = now + SWEEP_MS;
            sweep();
        }
        act();
        users.tick();
        cloud.tick();
        client.tick();
    }

    /** A reply that is not as agreed must not leave its exchange without an answer. */
    private HttpClient.Reply guarded(long exchange, HttpClient.Reply reply) {
        return (status, body) -> {
            try {
                reply.got(status, body);
            } catch (InvalidInputException e) {
                refuse(exchange, 503, "an answer was not as agreed: " + e.getMessage(), 5);
            }
        };
    }

    /** Asks about one program that may no longer be needed. */
    private void sweep() {
        String id = programs.old(System.currentTimeMillis());
        if (id != null) {
            call(controller, "GET", Wire.RUNS + "/" + id, HttpClient.NOTHING, (status, body) -> {
                if (status == 200 || status == 404) {
                    Object stage = status == 404 ? null : map(body).get(Wire.STATE);
                    programs.told(
                            System.currentTimeMillis(),
                            id,
                            Wire.DONE.equals(stage) || Wire.CANCELLED.equals(stage),
                            status == 404);
                    act();
                }
            });
        }
    }

    private void act() {
        for (List<Outbox.Output> l = outbox.drain(); !l.isEmpty(); l = outbox.drain()) {
            for (Outbox.Output o : l) {
                if (o instanceof Outbox.Answer a) {
                    answer(a.exchange(), a.status(), a.body(), a.retryAfterS());
                } else {
                    home.write((Outbox.Write) o, outbox, this::act);
                }
            }
        }
    }

    /** Exchanges of the cloud's address are below 0, so that one outbox serves both. */
    private void answer(long exchange, int status, Map<String, ?> body, int retryAfterS) {
        (exchange < 0 ? cloud : users).answer(Math.abs(exchange), status, Pack.encode(body), retryAfterS);
    }

    private void refuse(long exchange, int status, String why, int retryAfterS) {
        answer(exchange, status, Map.of("error", why), retryAfterS);
    }

    private interface Route {
        void go() throws Target.Bad;
    }

    private void routed(long exchange, Route r) {
        try {
            r.go();
        } catch (InvalidInputException | Target.Bad e) {
            refuse(exchange, 400, e.getMessage(), 0);
        }
        act();
    }

    private static Map<String, Object> map(byte[] body) {
        return Fields.map(Pack.decode(body), "body");
    }

    private void cloudRequest(long x, String method, String target, byte[] body) {
        long exchange = -x;
        routed(exchange, () -> {
            Target t = Target.parse(target);
            String route = method + " " + t.path();
            if (route.equals("GET " + Wire.MACHINE_TYPES)) {
                answer(exchange, 200, pool.types(), 0);
            } else if (route.equals("POST " + Wire.RENTALS)) {
                pool.rent(EventLoop.now(), System.currentTimeMillis(), exchange, map(body));
            } else if (route.equals("POST " + Wire.RENTALS_DELETE)) {
                pool.delete(EventLoop.now(), exchange, map(body));
            } else if (route.equals("GET " + Wire.RENTALS)) {
                answer(
                        exchange,
                        200,
                        pool.list(System.currentTimeMillis(), t.text(Wire.AFTER, ""), t.count(Wire.LIMIT, 500)),
                        0);
            } else {
                refuse(exchange, 404, "no such path", 0);
            }
        });
    }

    private void request(long exchange, String method, String target, byte[] body) {
        routed(exchange, () -> {
            Target t = Target.parse(target);
            String route = method + " " + t.path();
            if (route.equals("POST " + Wire.AGENTS)) {
                pool.poll(EventLoop.now(), exchange, map(body));
            } else if (route.equals("POST " + Wire.GANGS)) {
                answer(exchange, 200, gangs.said(EventLoop.now(), map(body)), 0);
            } else if (route.equals("GET " + Wire.HOSTS)) {
                answer(exchange, 200, Map.of("machines", pool.describe(EventLoop.now())), 0);
            } else if (route.startsWith("GET " + Wire.DESCRIPTIONS)) {
                describe(exchange, id(t, Wire.DESCRIPTIONS));
            } else if (route.startsWith("POST " + Wire.PROGRAMS)) {
                programs.put(System.currentTimeMillis(), exchange, id(t, Wire.PROGRAMS), map(body));
            } else if (route.startsWith("GET " + Wire.PROGRAMS)) {
                Map<String, Object> p = programs.get(id(t, Wire.PROGRAMS));
                answer(exchange, p == null ? 404 : 200, p == null ? Map.of("error", "no such program") : p, 0);
            } else if (route.startsWith("GET " + Wire.TASK_LOGS)) {
                logs(exchange, t);
            } else if (route.equals("GET " + Wire.READY) && store.readOnly()) {
                refuse(exchange, 503, "the disk can't be written", 1);
            } else if (t.path().startsWith(Wire.RUNS)
                    || t.path().equals(Wire.TEAMS)
                    || t.path().equals(Wire.READY)) {
                call(controller, method, target, body, (status, answered) -> {
                    if (status == 0) {
                        refuse(exchange, 503, "the controller has not answered", 1);
                    } else {
                        users.answer(exchange, status, answered, status == 503 || status == 429 ? 1 : 0);
                    }
                });
            } else {
                refuse(exchange, 404, "no such path", 0);
            }
        });
    }

    private static String id(Target t, String prefix) {
        String id = t.path().substring(prefix.length());
        if (!JobCodec.isId(id)) {
            throw new InvalidInputException(Wire.ID + ": not a job id");
        }
        return id;
    }

    private void call(String address, String method, String target, byte[] body, HttpClient.Reply reply) {
        client.call(address, method, target, body, TIMEOUT_MS, reply);
    }

    /** What an agent needs to run a job's tasks; 404 if it is unknown or over. */
    private void describe(long exchange, String id) {
        call(
                controller,
                "GET",
                Wire.RUNS + "/" + id + Wire.DESCRIBE + "?" + Wire.LIMIT + "=1",
                HttpClient.NOTHING,
                guarded(exchange, (status, body) -> {
                    Map<String, Object> m = status == 200 || status == 404 ? map(body) : Map.of();
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
    private void logs(long exchange, Target t) {
        String task = t.path().substring(Wire.TASK_LOGS.length());
        if (t.params().containsKey("host")) {
            String address = pool.address(t.text("host", ""));
            if (address == null) {
                refuse(exchange, 404, "no host of that name is heard of", 0);
                return;
            }
            client.call(
                    address,
                    "GET",
                    "/logs/" + task + "?try=" + t.text("try", "0") + "&from=" + t.text("from", "0"),
                    HttpClient.NOTHING,
                    LOG_TIMEOUT_MS,
                    (status, body) -> {
                        if (status == 0) {
                            refuse(exchange, 503, "the host has not answered", 1);
                        } else {
                            users.answer(exchange, status, body, 0);
                        }
                    });
            return;
        }
        Map<String, Object> found = new LinkedHashMap<>();
        List<Object> silent = new ArrayList<>();
        List<String> hosts = pool.heard(EventLoop.now());
        int[] open = {hosts.size()};
        Runnable done = () -> answer(exchange, 200, Map.of("hosts", found, "silent", silent), 0);
        if (hosts.isEmpty()) {
            done.run();
        }
        for (String h : hosts) {
            client.call(
                    pool.address(h),
                    "GET",
                    "/logs/" + task,
                    HttpClient.NOTHING,
                    LOG_TIMEOUT_MS,
                    guarded(exchange, (status, body) -> {
                        if (status == 400 && open[0] > 0) {
                            open[0] = 0;
                            users.answer(exchange, 400, body, 0);
                            return;
                        }
                        List<?> l = status == 200 ? Fields.list(map(body), "logs") : List.of();
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
