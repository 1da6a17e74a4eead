package birchusher.sim;

import birchusher.controller.Core;
import birchusher.core.Effect;
import birchusher.core.Fields;
import birchusher.mesh.PeerCodec;
import birchusher.mesh.PeerRecord;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import birchusher.wire.MessagePackCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Three or more whole cores with stand-ins for everything around them, in simulated time. Messages get lost or arrive late,
 * controllers crash, machines hang and the state service fails, all from one seed; the rules are checked at every step.
 */
class World {
    static final long LEASE_MS = 10_000;
    static final long CANCEL_MS = 30_000;
    final long leaseMs;
    final long cancelMs;
    /** The default of seats.lease-s. */
    private static final long SEAT_MS = 45_000;

    private static final String[] ZONES = {"east", "west"};

    private record Timed(long at, long seq, Runnable run) {}

    private static final class Node {
        Core core;
        /** What its time of day is off by; may change with a restart. */
        long wallOff;

        long stillUntil;
        int life;
        long downUntil;
    }

    private static final class UserJob {
        String id;
        Map<String, Object> body;
        boolean accepted;
        final AnswerHistory told = new AnswerHistory();
        boolean wantsCancel;
        long cancelledAt = -1;
        long askAt;
        int tasks;
    }

    final Random random;
    final List<String> broken = new ArrayList<>();
    final FakeStore store = new FakeStore();
    final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private final Map<String, UserJob> jobs = new LinkedHashMap<>();
    private final Map<String, Integer> finished = new HashMap<>();
    private final Map<String, List<Object>> rentals = new HashMap<>();
    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.seq, b.seq));
    private final Node[] nodes;
    final int controllers;
    private final int teamLimit;
    private final Map<Long, java.util.function.BiConsumer<Integer, Map<String, Object>>> exchanges = new HashMap<>();
    private final boolean[][] cut;
    private final long[] meshHeldUntil;
    private final long[] seatSince;
    /** A controller and the workers that report to it, cut off from everybody else; -1: none. */
    private int island = -1;

    private final java.util.Set<String> marooned = new java.util.HashSet<>();
    /** Controllers that the state service alone refuses; their open watches are not answered either. */
    final boolean[] refused;
    /** Answers to watches and to reads for a fresh view are held back, for everybody; transactions go on. */
    boolean readsHeld;
    /** The same for single controllers. */
    final boolean[] lagging;
    /** The share of transactions that are carried out at once and get no answer. */
    double lostAnswers;
    /** Users ask at all controllers within milliseconds, and submit and cancel again, whenever something new was told. */
    boolean closeLooks;
    /** The share of finite jobs that are called off in the moment in which their last task ends. */
    double cancelAtEnd;
    /** Controllers that no worker reaches, nor they any worker. */
    final boolean[] fromWorkers;

    double loss;
    double late;
    /** The share of reports of which a copy comes again, up to a minute later, at the controller it went to. */
    double copies;
    /** The share of records between controllers of which a copy comes up to 20 s later, whoever lives there by then. */
    double lateRecords;
    /** The share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones of the same controller. */
    double lateWrites;
    /** By how much longer the state service takes for each answer at most. */
    int storeSlowMs;
    /** How long tasks run, where a test says so; the others are drawn. */
    final Map<String, Long> runs = new HashMap<>();
    /** Starts of tasks that had been done before. */
    int reruns;
    /** The share of answers to reports that come late, though within the time that a worker waits for one. */
    double lateAnswers;
    /** For how long commands sent straight to workers are held back; they are executed all the same. */
    long straightMs;

    long now = 1_000;
    private long seq;
    private long nextExchange = 1;
    private int nextMachine;
    int starts;
    int rented;
    /** Starts that a worker refused for want of room. */
    int refusedStarts;
    /** Hears which images an owner tells others that a machine has. */
    java.util.function.BiConsumer<String, List<String>> toldImages;
    /** Jobs submitted with a mistake: their tasks fail on every machine. */
    final java.util.Set<String> mistaken = new java.util.HashSet<>();
    /** Errors that such jobs made. */
    int errors;
    /** The share of rented machines that never come up, and by how much longer the others take. */
    double never;

    double slowBoots = 1;
    /** The cloud answers no deletion: silent and idle machines stay. */
    boolean keepsAll;
    /** Machines that were returned while something was on them. */
    int returnedWithWork;
    /** Rented machines are up within two seconds. */
    boolean upAtOnce;
    /** The cloud takes up to so much longer for its answer; what it was asked for is done at once. */
    int cloudSlowMs;
    /** Every machine has every image. */
    boolean imagesCached;
    /** Reports kept of every worker, so that copies of them can come to everybody at once. */
    boolean keepsReports;

    private final List<byte[]> kept = new ArrayList<>();
    /** What the cloud has at most; 0: as many as the team may use. */
    int machines;

    World(long seed) {
        this(seed, 3, 10);
    }

    World(long seed, int controllers, int teamLimit) {
        this(seed, controllers, teamLimit, LEASE_MS, CANCEL_MS);
    }

    World(long seed, int controllers, int teamLimit, long leaseMs, long cancelMs) {
        this.leaseMs = leaseMs;
        this.cancelMs = cancelMs;
        this.teamLimit = teamLimit;
        random = new Random(seed);
        this.controllers = controllers;
        nodes = new Node[controllers];
        cut = new boolean[controllers][controllers];
        meshHeldUntil = new long[controllers];
        seatSince = new long[controllers];
        refused = new boolean[controllers];
        lagging = new boolean[controllers];
        fromWorkers = new boolean[controllers];
        for (int i = 0; i < controllers; i++) {
            nodes[i] = new Node();
        }
        startControllers();
        at(now, this::everything);
    }

    /** The controllers are cores in this process; {@link ProcessWorld} starts its own later. */
    void startControllers() {
        for (int i = 0; i < nodes.length; i++) {
            boot(i);
            every(i);
        }
    }

    // ---- what happens to it

    void crash(int i, long ms) {
        nodes[i].core = null;
        nodes[i].life++;
        nodes[i].downUntil = now + ms;
        at(now + ms, () -> {
            if (nodes[i].core == null && now >= nodes[i].downUntil) {
                boot(i);
            }
        });
    }

    /** Cuts a controller off, together with the workers that report to it now. */
    void maroon(int node) {
        island = node;
        refused[node] = true;
        workers.values().stream().filter(m -> m.node == node).forEach(m -> marooned.add(m.name));
        for (int i = 0; i < nodes.length; i++) {
            if (i != node) {
                cutMesh(node, i, true);
            }
        }
    }

    /** The end of that. */
    void rescue() {
        lonely(island, false);
        island = -1;
        marooned.clear();
    }

    void cutMesh(int a, int b, boolean on) {
        cut[a][b] = on;
        cut[b][a] = on;
    }

    /** One direction only: what a sends does not reach b. */
    void cutOneWay(int a, int b, boolean on) {
        cut[a][b] = on;
    }

    /** What a controller says to the others from now on is held back for so long, and arrives all the same. */
    void holdMesh(int node, long ms) {
        meshHeldUntil[node] = now + ms;
    }

    /** A controller loses the state service and all other controllers, but not its workers and users. */
    void lonely(int node, boolean on) {
        refused[node] = on;
        for (int i = 0; i < nodes.length; i++) {
            if (i != node) {
                cutMesh(node, i, on);
            }
        }
    }

    /** A controller stands still while its clocks run on: all that comes to it is held back until it goes on. */
    void still(int node, long ms) {
        nodes[node].stillUntil = now + ms;
    }

    private void whenAwake(int node, Runnable r) {
        if (now < nodes[node].stillUntil) {
            at(nodes[node].stillUntil, r);
        } else {
            r.run();
        }
    }

    /** From its next start on. */
    void setClock(int node, long offMs) {
        nodes[node].wallOff = offMs;
    }

    /** Sends a message of a worker's once more, as a copy that was long on its way; nobody waits for its answer. */
    void copy(int node, Map<String, Object> report) {
        ask(node, "POST", "/hello", MessagePackCodec.encode(report), (s, m) -> {});
    }

    /** Copies of all kept reports come to every controller, the oldest first. */
    void copiesToAll() {
        List<byte[]> all = List.copyOf(kept);
        for (int i = 0; i < nodes.length; i++) {
            for (byte[] r : all) {
                ask(i, "POST", "/hello", r, (s, m) -> {});
            }
        }
    }

    /** The controller that a machine's shard names as its owner. */
    int owner(FakeWorker w) {
        for (int i = 0; i < nodes.length; i++) {
            if (nodes[i].core != null
                    && tell(i, "POST", "/hello", FakeWorker.report(w.name, w.zone, 0))
                            .startsWith("200")) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Asks every controller that says it is ready about every accepted job, each again for so long; what got no 200 by then is
     * forgotten, whoever else is answered.
     */
    List<String> unanswered(long patienceMs) {
        List<String> open = new ArrayList<>();
        for (int i = 0; i < nodes.length; i++) {
            if (nodes[i].core != null && tell(i, "GET", "/ready", null).startsWith("200")) {
                for (UserJob j : jobs.values()) {
                    if (j.accepted) {
                        open.add(i + " " + j.id);
                    }
                }
            }
        }
        long end = now + patienceMs;
        while (!open.isEmpty() && now < end) {
            List<String> answered = new ArrayList<>();
            for (String x : open) {
                String id = x.substring(x.indexOf(' ') + 1);
                int node = Integer.parseInt(x.substring(0, x.indexOf(' ')));
                question(node, AnswerHistory.Kind.POLL, jobs.get(id), status -> {
                    if (status == 200) {
                        answered.add(x);
                    }
                });
            }
            run(2_000);
            open.removeAll(answered);
        }
        return open;
    }

    /** The description may be changed until time goes on. */
    Map<String, Object> submit(String id, String shape, int tasks, String rank, boolean spread, boolean oneZone) {
        UserJob j = new UserJob();
        j.id = id;
        j.tasks = tasks;
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name_id", id);
        m.put("lane", "l-" + shape);
        m.put("crew", "red");
        m.put("shape", shape);
        m.put("rank", rank);
        m.put("pieces", tasks);
        m.put("cores", 1.0);
        m.put("cards", 1.0);
        m.put("memory_gb", 1.0);
        m.put("bundle", "img");
        m.put("size_gb", 1.0);
        m.put("builds", List.of("g4"));
        m.put("one_zone", oneZone);
        m.put("scatter", spread);
        m.put("loaners", true);
        m.put("expect_s", shape.equals("standing") ? 0.0 : 8.0);
        m.put("mark_every_s", 0.0);
        m.put("mark_take_s", 0.0);
        j.body = m;
        j.askAt = now;
        jobs.put(id, j);
        return m;
    }

    /** A submission as a user would write it. */
    static Map<String, Object> body(String id, String shape, int tasks, String team) {
        Map<String, Object> m = birchusher.TestJobs.job();
        m.put("name_id", id);
        m.put("shape", shape);
        m.put("pieces", tasks);
        m.put("crew", team);
        return m;
    }

    /** A job that somebody else submits: its tasks may run, and nobody here polls for it. */
    void foreign(Map<String, Object> body) {
        UserJob j = new UserJob();
        j.id = (String) body.get("name_id");
        j.tasks = ((Number) body.get("pieces")).intValue();
        j.body = body;
        j.accepted = true;
        j.askAt = Long.MAX_VALUE;
        jobs.putIfAbsent(j.id, j);
    }

    /** Sends one request and waits for its answer: the status, then the stage or the orders. */
    String tell(int node, String method, String path, Map<String, Object> body) {
        String[] got = new String[1];
        ask(node, method, path, body == null ? new byte[0] : MessagePackCodec.encode(body), (status, m) -> {
            StringBuilder sb = new StringBuilder().append(status);
            if (m.get("stage") != null) {
                sb.append(' ').append(m.get("stage"));
            }
            if (status == 400 || status == 422) {
                sb.append(' ').append(m.get("error"));
            }
            if (m.get("orders") != null) {
                for (Object o : list(m.get("orders"))) {
                    Map<String, Object> x = Fields.map(o, "order");
                    sb.append(' ').append(x.get("verb")).append(' ').append(x.get("piece"));
                }
            }
            got[0] = sb.toString();
        });
        for (int i = 0; i < 100 && got[0] == null; i++) {
            run(50);
        }
        return got[0];
    }

    void cancel(String id) {
        jobs.get(id).wantsCancel = true;
    }

    /** Cancels through one controller; whether it confirmed. */
    boolean withdraw(int node, String id) {
        UserJob j = jobs.get(id);
        j.wantsCancel = true;
        int before = j.told.answers();
        question(node, AnswerHistory.Kind.CANCEL, j);
        for (int i = 0; i < 100 && j.told.answers() == before; i++) {
            run(50);
        }
        return j.cancelledAt >= 0;
    }

    String state(String id) {
        return jobs.get(id).told.last();
    }

    boolean cancelled(String id) {
        return jobs.get(id).cancelledAt >= 0;
    }

    /** The last term given to an owner of workers. */
    String term() {
        return store.dump()
                .lines()
                .filter(l -> l.startsWith("b/live/term"))
                .findFirst()
                .orElseThrow();
    }

    void run(long ms) {
        long end = now + ms;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Timed t = queue.poll();
            now = Math.max(now, t.at);
            t.run.run();
        }
        now = end;
    }

    // ---- time

    void at(long when, Runnable r) {
        queue.add(new Timed(when, seq++, r));
    }

    private void boot(int i) {
        Settings s = SettingsReader.read(json(i).getBytes(StandardCharsets.UTF_8));
        nodes[i].core = new Core(s, new Tuning(), now, wall(i));
        nodes[i].life++;
    }

    private long wall(int i) {
        return 1_700_000_000_000L + now + nodes[i].wallOff;
    }

    private void every(int i) {
        if (nodes[i].core != null && now >= nodes[i].stillUntil) {
            act(i, nodes[i].core.tick(now, wall(i)));
        }
        at(now + 50, () -> every(i));
    }

    private void everything() {
        store.tick(now);
        for (FakeWorker w : List.copyOf(workers.values())) {
            if (w.advance(now) && !w.reporting && now >= w.nextReport) {
                hello(w);
            }
        }
        jobs.values().forEach(this::gang);
        jobs.values().forEach(this::user);
        checks();
        at(now + 100, this::everything);
    }

    private boolean lost() {
        return random.nextDouble() < loss;
    }

    /** Mostly a few ms; now and then a message is held back for long and still arrives. */
    private long delay() {
        return random.nextDouble() < late ? 2_000 + random.nextInt(40_000) : 1 + random.nextInt(8);
    }

    // ---- the cores' effects

    private void act(int i, List<Effect> effects) {
        int life = nodes[i].life;
        for (Effect e : effects) {
            if (e instanceof Effect.Answer a) {
                var x = exchanges.remove(a.exchange());
                if (x != null) {
                    at(now + 2, () -> x.accept(a.status(), plain(a.body())));
                }
            } else if (e instanceof Effect.Send s) {
                int to = member(i, s.peer());
                if (toldImages != null && PeerCodec.decode(s.record()).record() instanceof PeerRecord.Heartbeat h) {
                    h.machines().forEach(m -> toldImages.accept(m.name(), m.images()));
                }
                if (lateRecords > 0 && random.nextDouble() < lateRecords) {
                    at(now + random.nextInt(20_000), () -> deliver(to, s.record()));
                }
                if (!cut[i][to] && !lost()) {
                    at(
                            Math.max(now, meshHeldUntil[i]) + 1 + random.nextInt(3),
                            () -> whenAwake(to, () -> deliver(to, s.record())));
                }
            } else if (e instanceof Effect.Call c) {
                call(i, life, c);
            }
        }
    }

    private void deliver(int to, byte[] record) {
        if (nodes[to].core != null) {
            act(to, nodes[to].core.handlePeerRecord(now, wall(to), record));
        }
    }

    private static int member(int self, int peer) {
        return peer <= self ? peer - 1 : peer;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> plain(Object body) {
        return body == null ? Map.of() : (Map<String, Object>) MessagePackCodec.decode(MessagePackCodec.encode(body));
    }

    private void call(int i, int life, Effect.Call c) {
        Map<String, Object> body = c.body() == null ? Map.of() : plain(c.body());
        boolean[] answered = new boolean[1];
        long sentAt = now;
        java.util.function.BiConsumer<Integer, Map<String, Object>> back = (status, m) -> {
            if (now < nodes[i].stillUntil) {
                return;
            }
            if (!answered[0] && nodes[i].life == life && nodes[i].core != null) {
                answered[0] = true;
                keepsSeat(i, c, status, sentAt);
                act(
                        i,
                        nodes[i].core.handleReply(
                                now, wall(i), c.id(), status, m.isEmpty() ? new byte[0] : MessagePackCodec.encode(m)));
            }
        };
        at(now + c.timeoutMs(), () -> whenAwake(i, () -> back.accept(0, Map.of())));
        transport(i, c, body, back);
    }

    /** Since when a controller's seat stands for sure, by the lease request that was answered last. */
    final void keepsSeat(int i, Effect.Call c, int status, long sentAt) {
        if (status == 200 && c.path().startsWith("/leases")) {
            seatSince[i] = Math.max(seatSince[i], sentAt);
        }
    }

    /**
     * Takes a controller's request to whom it is for and the answer back, or loses, holds and refuses them as the troubles say.
     * Whose request to a worker it is need not be known: -1.
     */
    final void transport(
            int i,
            Effect.Call c,
            Map<String, Object> body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> back) {
        if (lost()) {
            return;
        }
        if (c.destination() == Effect.Destination.WORKER && i >= 0 && fromWorkers[i]) {
            return;
        }
        if (c.destination() == Effect.Destination.WORKER
                && i != island
                && marooned.contains(c.address().split(":")[0])) {
            return;
        }
        boolean store = c.destination() == Effect.Destination.STORE || c.destination() == Effect.Destination.WATCH;
        if (store && refused[i]) {
            at(now + 2, () -> back.accept(503, Map.of()));
            return;
        }
        if (lateWrites > 0 && c.path().equals("/multi") && random.nextDouble() < lateWrites) {
            at(now + 2_000 + random.nextInt(10_000), () -> serve(c, body, (status, m) -> {}));
            return;
        }
        if (lostAnswers > 0 && c.path().equals("/multi") && random.nextDouble() < lostAnswers) {
            at(now + 1, () -> serve(c, body, (status, m) -> {}));
            return;
        }
        long held = c.destination() == Effect.Destination.WORKER ? straightMs + commandsHeldMs(c.address()) : 0;
        held += store && storeSlowMs > 0 ? random.nextInt(storeSlowMs) : 0;
        int answerMs = c.destination() == Effect.Destination.CLOUD && cloudSlowMs > 0 ? random.nextInt(cloudSlowMs) : 0;
        at(
                now + delay() + held,
                () -> serve(c, body, (status, m) -> {
                    if (!lost() && (c.destination() == Effect.Destination.WATCH || !(store && refused[i]))) {
                        Map<String, Object> copy = plain(m);
                        boolean watch = c.path().startsWith("/watch");
                        at(
                                now + answerMs + 1 + random.nextInt(5),
                                watch
                                        ? () -> served(i, () -> back.accept(status, copy))
                                        : () -> back.accept(status, copy));
                    }
                }));
    }

    /** An open watch of a controller that is refused stays open, and then tells at once what it would have told by then. */
    private void served(int i, Runnable answer) {
        if (refused[i] || readsHeld || lagging[i]) {
            at(now + 100, () -> served(i, answer));
        } else {
            answer.run();
        }
    }

    private void serve(
            Effect.Call c,
            Map<String, Object> body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        switch (c.destination()) {
            case STORE, WATCH -> store.handle(now, c.method(), c.path(), body, reply);
            case CLOUD -> cloud(c.path(), body, reply);
            default -> straight(c.address(), c.path(), body, reply);
        }
    }

    private void cloud(
            String path, Map<String, Object> body, java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        if (path.equals("/machine_types")) {
            reply.accept(
                    200,
                    Map.of(
                            "builds",
                            List.of(Map.of(
                                            "name",
                                            "g4",
                                            "cores",
                                            4.0,
                                            "cards",
                                            4.0,
                                            "memory_gb",
                                            16.0,
                                            "cache_gb",
                                            50.0,
                                            "fetch_gb_per_s",
                                            1.0,
                                            "hourly",
                                            4.0,
                                            "market_price",
                                            1.0,
                                            "ready_s",
                                            10.0))
                                    .stream()
                                    .map(m -> {
                                        Map<String, Object> x = new HashMap<>(m);
                                        x.put("groves", List.of(ZONES));
                                        return (Object) x;
                                    })
                                    .toList()));
        } else if (path.equals("/rentals")) {
            List<Object> hosts = rentals.computeIfAbsent((String) body.get("ask"), k -> {
                List<Object> l = new ArrayList<>();
                for (long n = (Long) body.get("how_many");
                        n > 0 && workers.size() < (machines > 0 ? machines : Math.max(40, teamLimit));
                        n--) {
                    String name = String.format("n-%06d", nextMachine++);
                    l.add(name);
                    workers.put(
                            name,
                            new FakeWorker(
                                    this,
                                    name,
                                    (String) body.get("grove"),
                                    (Boolean) body.get("loaners"),
                                    never > 0 && random.nextDouble() < never
                                            ? Long.MAX_VALUE / 2
                                            : now
                                                    + (upAtOnce
                                                            ? 200 + random.nextInt(1_500)
                                                            : Math.round(
                                                                    slowBoots * (4_000 + random.nextInt(9_000))))));
                    rented++;
                    rented(workers.get(name));
                }
                return l;
            });
            reply.accept(200, Map.of("hosts", hosts));
        } else if (path.equals("/rentals/delete") && keepsAll) {
            reply.accept(503, Map.of("error", "trouble"));
        } else if (path.equals("/rentals/delete")) {
            Fields.list(body, "hosts").forEach(h -> {
                FakeWorker w = workers.remove(h);
                if (w != null) {
                    w.deleted = true;
                    returnedWithWork += now >= w.hungUntil
                                    && w.alive(now)
                                    && w.tasks.values().stream().anyMatch(t -> !t.exited())
                            ? 1
                            : 0;
                }
            });
            reply.accept(200, Map.of());
        } else {
            reply.accept(200, Map.of("hosts", List.of(), "has_next", false));
        }
    }

    private long commandsHeldMs(String address) {
        FakeWorker w = workers.get(address.substring(0, address.indexOf(':')));
        return w == null ? 0 : w.commandsHeldMs;
    }

    /** A machine was rented. */
    void rented(FakeWorker worker) {}

    /** A command sent straight to a worker; one that hangs carries it out when it goes on. */
    private void straight(
            String address,
            String path,
            Map<String, Object> body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        FakeWorker w = workers.get(address.substring(0, address.indexOf(':')));
        if (w == null || w.deaf) {
            return;
        }
        if (!w.advance(now)) {
            if (!w.deleted) {
                at(Math.max(now + 100, w.hungUntil), () -> straight(address, path, body, reply));
            }
            return;
        }
        if (path.equals("/show")) {
            reply.accept(200, w.report());
            return;
        }
        long token = (Long) body.get("baton");
        if (token < w.token || (Long) body.get("tenure") != w.session) {
            reply.accept(409, w.report());
            return;
        }
        w.token = token;
        w.execute(list(body.get("orders")), now);
        reply.accept(200, w.report());
    }

    @SuppressWarnings("unchecked")
    private static List<Object> list(Object o) {
        return (List<Object>) o;
    }

    // ---- workers

    private void hello(FakeWorker w) {
        w.reporting = true;
        w.nextReport = now + 3_000;
        long sent = now;
        long session = w.session;
        byte[] report = MessagePackCodec.encode(w.report());
        int to = w.node;
        if (keepsReports && kept.size() < 600) {
            kept.add(report);
        }
        boolean[] over = new boolean[1];
        long[] answeredAt = {now};
        java.util.function.BiConsumer<Integer, Map<String, Object>> back = (status, m) -> {
            if (over[0]) {
                return;
            }
            over[0] = true;
            w.reporting = false;
            if (!w.advance(now) || w.session != session) {
                return;
            }
            if (status == 200 && answeredAt[0] - seatSince[to] > SEAT_MS) {
                broken.add("answered a worker without a seat: perch-" + to);
            }
            if (status == 200) {
                long token = m.get("baton") == null ? -1 : (Long) m.get("baton");
                if (token >= w.token) {
                    if (token > w.token) {
                        w.tokenChanged(now);
                    }
                    w.token = token;
                    w.leaseFrom = sent;
                    w.execute(list(m.get("orders")), now);
                    w.nextReport = Math.max(w.nextReport, sent + 500);
                }
            } else if (status == 421 && m.get("usher") != null) {
                w.node = Integer.parseInt(((String) m.get("usher")).substring(6));
                w.nextReport = now + 200;
            } else {
                w.node = (w.node + 1) % nodes.length;
                w.nextReport = now + 1_000;
            }
        };
        at(now + 4_000, () -> back.accept(0, Map.of()));
        if (copies > 0 && random.nextDouble() < copies) {
            at(now + 1_000 + random.nextInt(60_000), () -> ask(to, "POST", "/hello", report, (s, m) -> {}));
        }
        if (!lost() && !w.mute && !fromWorkers[to] && (to == island || !marooned.contains(w.name))) {
            at(
                    now + w.reportsHeldMs + delay(),
                    () -> ask(to, "POST", "/hello", report, (s, m) -> {
                        answeredAt[0] = now;
                        if (w.resetBy.contains(to)) {
                            back.accept(0, Map.of());
                        } else if (!lost() && !w.deaf) {
                            at(
                                    now
                                            + 2
                                            + (lateAnswers > 0 && random.nextDouble() < lateAnswers
                                                    ? random.nextInt(3_900)
                                                    : 0),
                                    () -> back.accept(s, m));
                        }
                    }));
        }
    }

    void ask(
            int node,
            String method,
            String path,
            byte[] body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        if (now < nodes[node].stillUntil) {
            at(nodes[node].stillUntil, () -> ask(node, method, path, body, reply));
        } else if (nodes[node].core != null) {
            long x = nextExchange++;
            exchanges.put(x, reply);
            act(node, nodes[node].core.handleRequest(now, wall(node), x, method, path, body));
        }
    }

    // ---- users

    private void user(UserJob j) {
        if (now < j.askAt) {
            return;
        }
        j.askAt = now + 1_500;
        int node = random.nextInt(nodes.length);
        if (!j.accepted) {
            question(node, AnswerHistory.Kind.SUBMIT, j);
        } else if (j.wantsCancel && j.cancelledAt < 0) {
            question(node, AnswerHistory.Kind.CANCEL, j);
        } else {
            question(node, AnswerHistory.Kind.POLL, j);
            ask(node, "GET", "/v2/runs/wk-nobody", new byte[0], (s, m) -> {
                if (s == 200) {
                    broken.add("invented");
                }
            });
        }
    }

    /** One request of a user's about a job, its answer held against all that was told before it was sent. */
    private void question(int node, AnswerHistory.Kind kind, UserJob j) {
        question(node, kind, j, status -> {});
    }

    private void question(int node, AnswerHistory.Kind kind, UserJob j, java.util.function.IntConsumer then) {
        AnswerHistory.Question q = j.told.ask(kind);
        String path = "/v2/runs"
                + (kind == AnswerHistory.Kind.SUBMIT
                        ? ""
                        : "/" + j.id + (kind == AnswerHistory.Kind.CANCEL ? "/withdraw" : ""));
        byte[] body = kind == AnswerHistory.Kind.SUBMIT ? MessagePackCodec.encode(j.body) : new byte[0];
        ask(node, kind == AnswerHistory.Kind.POLL ? "GET" : "POST", path, body, (s, m) -> {
            String before = j.told.last();
            String wrong = j.told.answered(q, s, (String) m.get("stage"));
            if (wrong != null) {
                broken.add(wrong + ": " + j.id + " by perch-" + node);
            }
            if (s == 200 || s == 201) {
                j.accepted = true;
                heard(j, (String) m.get("stage"));
            }
            boolean news = before == null ? j.told.last() != null : j.told.ended() && !before.equals(j.told.last());
            if (closeLooks && news) {
                lookClosely(j);
            }
            then.accept(s);
        });
    }

    /** Asks all controllers about a job, each three times within 20 ms. */
    void look(String id) {
        lookClosely(jobs.get(id));
    }

    /** Cancels through one controller without waiting for the answer. */
    void cancelAt(int node, String id) {
        jobs.get(id).wantsCancel = true;
        question(node, AnswerHistory.Kind.CANCEL, jobs.get(id));
    }

    /** Ends a job's running tasks now; the machine that had the last of them, or null if none runs. */
    FakeWorker endNow(String id) {
        FakeWorker last = null;
        for (FakeWorker w : workers.values()) {
            for (FakeWorker.Task t : w.tasks.values()) {
                if (t.key.startsWith(id + "/") && t.stage.equals("running")) {
                    t.until = now;
                    last = w;
                }
            }
        }
        return last;
    }

    private void lookClosely(UserJob j) {
        for (int i = 0; i < nodes.length; i++) {
            int node = i;
            for (int ms : new int[] {0, 1 + random.nextInt(4), 20}) {
                at(now + ms, () -> question(node, AnswerHistory.Kind.POLL, j));
            }
            at(now + random.nextInt(6), () -> question(node, AnswerHistory.Kind.SUBMIT, j));
            if (j.wantsCancel) {
                at(now + random.nextInt(6), () -> question(node, AnswerHistory.Kind.CANCEL, j));
            }
        }
    }

    private void heard(UserJob j, String stage) {
        if ("cancelled".equals(stage)) {
            if (!j.wantsCancel) {
                broken.add("went_back: " + j.id + " cancelled by nobody");
            }
            j.cancelledAt = j.cancelledAt < 0 ? now : j.cancelledAt;
        }
        if ("done".equals(stage) && finished.getOrDefault(j.id, 0) < j.tasks) {
            broken.add("not_done: " + j.id);
        }
    }

    /** How long a task takes to save when it is stopped; 0: it can't. */
    double saveS(String key) {
        Map<String, Object> body = jobs.get(key.substring(0, key.indexOf('/'))).body;
        return (Double) body.get("mark_every_s") > 0 ? (Double) body.get("mark_take_s") : 0;
    }

    /** Tasks of a job on machines, whatever they do there. */
    long tasksOf(String id) {
        return workers.values().stream()
                .filter(w -> w.alive(now))
                .flatMap(w -> w.tasks.values().stream())
                .filter(t -> t.key.startsWith(id + "/") && !t.exited())
                .count();
    }

    double cards(String key) {
        return (Double) jobs.get(key.substring(0, key.indexOf('/'))).body.get("cards");
    }

    // ---- gangs

    boolean isGang(String key) {
        return "gang".equals(jobs.get(key.substring(0, key.indexOf('/'))).body.get("shape"));
    }

    /** Tasks of one attempt start together, end together, and give up when one of them is gone. */
    private void gang(UserJob j) {
        if (!"gang".equals(j.body.get("shape"))) {
            return;
        }
        Map<Long, List<FakeWorker.Task>> attempts = new HashMap<>();
        for (FakeWorker w : workers.values()) {
            for (FakeWorker.Task t : w.tasks.values()) {
                if (w.alive(now)
                        && now >= w.hungUntil
                        && t.key.startsWith(j.id + "/")
                        && (t.stage.equals("waiting") || t.stage.equals("running"))) {
                    attempts.computeIfAbsent(t.attempt, k -> new ArrayList<>()).add(t);
                }
            }
        }
        attempts.values().forEach(l -> {
            boolean running = l.stream().anyMatch(t -> t.stage.equals("running"));
            if (running && l.size() < j.tasks) {
                end(l, "mates_gone");
            } else if (running && now >= l.get(0).until
                    || !running && l.size() == j.tasks && done.contains(l.get(0).key)) {
                l.forEach(t -> finished(t.key));
                end(l, "done");
            } else if (!running && l.size() == j.tasks) {
                long until = now + 8_000;
                l.forEach(t -> {
                    t.stage = "running";
                    t.until = until;
                });
            }
        });
    }

    private static void end(List<FakeWorker.Task> tasks, String why) {
        tasks.forEach(t -> {
            t.stage = "exited";
            t.why = why;
        });
    }

    // ---- the rules

    private final java.util.Set<String> done = new java.util.HashSet<>();

    void finished(String key) {
        if (done.add(key)) {
            UserJob j = jobs.get(key.substring(0, key.indexOf('/')));
            int n = finished.merge(j.id, 1, Integer::sum);
            if (cancelAtEnd > 0 && n == j.tasks && random.nextDouble() < cancelAtEnd) {
                j.wantsCancel = true;
                int node = random.nextInt(nodes.length);
                at(now + random.nextInt(1_500), () -> question(node, AnswerHistory.Kind.CANCEL, j));
            }
        }
    }

    long runMs(String key) {
        UserJob j = jobs.get(key.substring(0, key.indexOf('/')));
        if (runs.containsKey(key) && !done.contains(key)) {
            return runs.get(key);
        }
        return "standing".equals(j.body.get("shape"))
                ? Long.MAX_VALUE / 4
                : done.contains(key) ? 1 : 4_000 + random.nextInt(8_000);
    }

    void started(FakeWorker w, FakeWorker.Task t) {
        starts++;
        reruns += done.contains(t.key) ? 1 : 0;
        String id = t.key.substring(0, t.key.indexOf('/'));
        UserJob j = jobs.get(id);
        Map<String, Integer> zones = new HashMap<>();
        for (FakeWorker o : workers.values()) {
            o.advanceLeaseOnly(now);
            for (FakeWorker.Task x : o.tasks.values()) {
                if (!x.exited() && !x.stage.equals("fetching") && x.key.startsWith(id + "/")) {
                    if (x != t && x.key.equals(t.key)) {
                        broken.add("ran_twice: " + t.key + " on " + w.name + " and " + o.name);
                    }
                    zones.merge(o.zone, 1, Integer::sum);
                }
            }
        }
        if (Boolean.TRUE.equals(j.body.get("scatter")) && zones.get(w.zone) > (j.tasks + 1) / 2) {
            broken.add("wrong_place: too many of " + id + " in " + w.zone);
        }
        if (Boolean.TRUE.equals(j.body.get("one_zone")) && zones.size() > 1) {
            broken.add("wrong_place: " + id + " in two zones");
        }
        if (j.cancelledAt >= 0 && now - j.cancelledAt > cancelMs) {
            broken.add("ran_cancelled: " + t.key + " started");
        }
    }

    private void checks() {
        double use = 0;
        for (FakeWorker w : workers.values()) {
            for (FakeWorker.Task t : w.tasks.values()) {
                if (t.exited() || t.stage.equals("fetching") || !w.alive(now)) {
                    continue;
                }
                use++;
                UserJob j = jobs.get(t.key.substring(0, t.key.indexOf('/')));
                if (j.cancelledAt >= 0 && now - j.cancelledAt > cancelMs) {
                    broken.add("ran_cancelled: " + t.key + " still on " + w.name);
                }
            }
        }
        if (use > teamLimit) {
            broken.add("quota: " + use);
        }
        broken.addAll(store.unsafe);
        store.unsafe.clear();
        if (broken.size() > 20) {
            throw new AssertionError(broken.toString());
        }
    }

    /** Where a controller serves users and workers, other controllers, and where it finds others; {@code HOST:PORT}. */
    String listenAddress(int i) {
        return "10.0.0." + i + ":2";
    }

    String meshAddress(int i) {
        return "10.0.0." + i + ":1";
    }

    /** Where controller i reaches controller k. */
    String peerAddress(int i, int k) {
        return meshAddress(k);
    }

    String cloudAddress(int i) {
        return "10.1.0.1:1";
    }

    String storeAddress(int i) {
        return "10.1.0.2:1";
    }

    final String json(int i) {
        StringBuilder peers = new StringBuilder();
        for (int k = 0; k < nodes.length; k++) {
            if (k != i) {
                peers.append(peers.isEmpty() ? "" : ",")
                        .append("{\"member\":\"perch-")
                        .append(k)
                        .append("\",\"area\":\"")
                        .append(ZONES[k % 2])
                        .append("\",\"peer_addr\":\"")
                        .append(peerAddress(i, k))
                        .append("\"}");
            }
        }
        return "{\"member\":\"perch-" + i + "\",\"area\":\"" + ZONES[i % 2] + "\",\"listen\":\"" + listenAddress(i)
                + "\",\"mesh_addr\":\"" + meshAddress(i) + "\",\"seeds\":[" + peers + "],"
                + "\"external\":{\"cloud\":\"" + cloudAddress(i) + "\",\"state\":\"" + storeAddress(i)
                + "\"},\"deployment\":{\"zones\":[\"east\",\"west\"],"
                + "\"teams\":[{\"name\":\"guests\"},{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":6,\"gpus_max\":"
                + teamLimit + "}],"
                + "\"workers\":{\"report_s\":3,\"lease_s\":" + leaseMs / 1000.0
                + ",\"gang_wait_s\":20,\"gang_peer_s\":4,\"cancel_s\":"
                + cancelMs / 1000.0 + "},\"state\":{\"rps\":200,\"write_rps\":60,\"value_kb\":8,\"txn_ops\":12},"
                + "\"cloud\":{\"rps\":5,\"list_lag_s\":5},\"resources\":{\"cores\":1,\"ram_mb\":200,\"max_connections\":500}}}";
    }
}
