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
    static final long WORKER_LEASE_MS = 10_000;
    static final long CANCEL_DEADLINE_MS = 30_000;
    final long workerLeaseMs;
    final long cancelDeadlineMs;
    /** The default of seats.lease-s. */
    private static final long MEMBER_LEASE_MS = 45_000;

    private static final String[] ZONES = {"east", "west"};

    private record ScheduledAction(long atMs, long sequence, Runnable action) {}

    private static final class SimulatedController {
        Core core;
        /** What its time of day is off by; may change with a restart. */
        long wallClockOffsetMs;

        long pausedUntilMs;
        int incarnation;
        long downUntilMs;
    }

    private static final class TrackedJob {
        String id;
        Map<String, Object> body;
        boolean accepted;
        final AnswerHistory history = new AnswerHistory();
        boolean cancelRequested;
        long cancelledAtMs = -1;
        long nextRequestMs;
        int taskCount;
    }

    final Random random;
    final List<String> violations = new ArrayList<>();
    final FakeStore store = new FakeStore();
    final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private final Map<String, TrackedJob> jobs = new LinkedHashMap<>();
    private final Map<String, Integer> taskFinished = new HashMap<>();
    private final Map<String, List<Object>> machinesByRentalRequest = new HashMap<>();
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.sequence, b.sequence));
    private final SimulatedController[] simulatedControllers;
    final int controllerCount;
    private final int teamGpuLimit;
    private final Map<Long, java.util.function.BiConsumer<Integer, Map<String, Object>>> replyHandlers =
            new HashMap<>();
    private final boolean[][] peerLinkDown;
    private final long[] peerRecordsHeldUntilMs;
    private final long[] memberLeaseSinceMs;
    /** A controller and the workers that report to it, cut off from everybody else; -1: none. */
    private int isolatedController = -1;

    private final java.util.Set<String> isolatedWorkers = new java.util.HashSet<>();
    /** Controllers that the state service alone refuses; their open watches are not answered either. */
    final boolean[] refusedByStore;
    /** Answers to watches and to reads for a fresh view are held back, for everybody; transactions go on. */
    boolean storeReadsHeld;
    /** The same for single controllers. */
    final boolean[] viewLagging;
    /** The share of transactions that are carried out at once and get no answer. */
    double lostTransactionReplyRate;
    /** Users ask at all controllers within milliseconds, and submit and cancel again, whenever something new was told. */
    boolean recheckAtAllControllers;
    /** The share of finite jobs that are called off in the moment in which their last task ends. */
    double cancelAtCompletionRate;
    /** Controllers that no worker reaches, nor they any worker. */
    final boolean[] cutOffFromWorkers;

    double messageLossRate;
    double longDelayRate;
    /** The share of reports of which a copy comes again, up to a minute later, at the controller it went to. */
    double duplicateReportRate;
    /** The share of records between controllers of which a copy comes up to 20 s later, whoever lives there by then. */
    double duplicatePeerRecordRate;
    /** The share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones of the same controller. */
    double lateTransactionRate;
    /** By how much longer the state service takes for each answer at most. */
    int maxExtraStoreDelayMs;
    /** How long tasks run, where a test says so; the others are drawn. */
    final Map<String, Long> fixedRunTimesMs = new HashMap<>();
    /** Starts of tasks that had been done before. */
    int rerunsOfFinishedTasks;
    /** The share of answers to reports that come late, though within the time that a worker waits for one. */
    double lateResponseRate;
    /** For how long commands sent straight to workers are held back; they are executed all the same. */
    long directCommandDelayMs;

    long nowMs = 1_000;
    private long nextSequence;
    private long nextExchangeId = 1;
    private int nextMachineNumber;
    int taskStarts;
    int machineRented;
    /** Starts that a worker refused for want of room. */
    int refusedStarts;
    /** Hears which images an owner tells others that a machine has. */
    java.util.function.BiConsumer<String, List<String>> onPublishedImages;
    /** Jobs submitted with a mistake: their tasks fail on every machine. */
    final java.util.Set<String> failingJobs = new java.util.HashSet<>();
    /** Errors that such jobs made. */
    int taskErrors;
    /** The share of rented machines that never come up, and by how much longer the others take. */
    double neverReadyRate;

    double bootTimeFactor = 1;
    /** The cloud answers no deletion: silent and idle machines stay. */
    boolean cloudRefusesDeletions;
    /** Machines that were returned while something was on them. */
    int machinesReturnedWithTasks;
    /** Rented machines are up within two seconds. */
    boolean fastBoot;
    /** The cloud takes up to so much longer for its answer; what it was asked for is done at once. */
    int maxCloudReplyDelayMs;
    /** Every machine has every image. */
    boolean imagesCached;
    /** Reports kept of every worker, so that copies of them can come to everybody at once. */
    boolean keepReports;

    private final List<byte[]> keptReports = new ArrayList<>();
    /** What the cloud has at most; 0: as many as the team may use. */
    int maxMachines;

    World(long seed) {
        this(seed, 3, 10);
    }

    World(long seed, int controllers, int teamLimit) {
        this(seed, controllers, teamLimit, WORKER_LEASE_MS, CANCEL_DEADLINE_MS);
    }

    World(long seed, int controllers, int teamLimit, long leaseMs, long cancelMs) {
        this.workerLeaseMs = leaseMs;
        this.cancelDeadlineMs = cancelMs;
        this.teamGpuLimit = teamLimit;
        random = new Random(seed);
        this.controllerCount = controllers;
        simulatedControllers = new SimulatedController[controllers];
        peerLinkDown = new boolean[controllers][controllers];
        peerRecordsHeldUntilMs = new long[controllers];
        memberLeaseSinceMs = new long[controllers];
        refusedByStore = new boolean[controllers];
        viewLagging = new boolean[controllers];
        cutOffFromWorkers = new boolean[controllers];
        for (int i = 0; i < controllers; i++) {
            simulatedControllers[i] = new SimulatedController();
        }
        startControllers();
        schedule(nowMs, this::stepStandIns);
    }

    /** The controllers are cores in this process; {@link ProcessWorld} starts its own later. */
    void startControllers() {
        for (int i = 0; i < simulatedControllers.length; i++) {
            startCore(i);
            tickController(i);
        }
    }

    // ---- what happens to it

    void crash(int i, long ms) {
        simulatedControllers[i].core = null;
        simulatedControllers[i].incarnation++;
        simulatedControllers[i].downUntilMs = nowMs + ms;
        schedule(nowMs + ms, () -> {
            if (simulatedControllers[i].core == null && nowMs >= simulatedControllers[i].downUntilMs) {
                startCore(i);
            }
        });
    }

    /** Cuts a controller off, together with the workers that report to it now. */
    void isolateWithWorkers(int node) {
        isolatedController = node;
        refusedByStore[node] = true;
        workers.values().stream().filter(m -> m.controllerIndex == node).forEach(m -> isolatedWorkers.add(m.name));
        for (int i = 0; i < simulatedControllers.length; i++) {
            if (i != node) {
                setPeerLinkDown(node, i, true);
            }
        }
    }

    /** The end of that. */
    void endIsolation() {
        setIsolated(isolatedController, false);
        isolatedController = -1;
        isolatedWorkers.clear();
    }

    void setPeerLinkDown(int a, int b, boolean on) {
        peerLinkDown[a][b] = on;
        peerLinkDown[b][a] = on;
    }

    /** One direction only: what a sends does not reach b. */
    void setOneWayPeerLinkDown(int a, int b, boolean on) {
        peerLinkDown[a][b] = on;
    }

    /** What a controller says to the others from now on is held back for so long, and arrives all the same. */
    void holdPeerRecords(int node, long ms) {
        peerRecordsHeldUntilMs[node] = nowMs + ms;
    }

    /** A controller loses the state service and all other controllers, but not its workers and users. */
    void setIsolated(int node, boolean on) {
        refusedByStore[node] = on;
        for (int i = 0; i < simulatedControllers.length; i++) {
            if (i != node) {
                setPeerLinkDown(node, i, on);
            }
        }
    }

    /** A controller stands still while its clocks run on: all that comes to it is held back until it goes on. */
    void pause(int node, long ms) {
        simulatedControllers[node].pausedUntilMs = nowMs + ms;
    }

    private void afterPause(int node, Runnable r) {
        if (nowMs < simulatedControllers[node].pausedUntilMs) {
            schedule(simulatedControllers[node].pausedUntilMs, r);
        } else {
            r.run();
        }
    }

    /** From its next start on. */
    void setClockOffset(int node, long offMs) {
        simulatedControllers[node].wallClockOffsetMs = offMs;
    }

    /** Sends a message of a worker's once more, as a copy that was long on its way; nobody waits for its answer. */
    void sendDuplicateReport(int node, Map<String, Object> report) {
        sendRequest(node, "POST", "/hello", MessagePackCodec.encode(report), (s, m) -> {});
    }

    /** Copies of all kept reports come to every controller, the oldest first. */
    void replayKeptReportsToAll() {
        List<byte[]> all = List.copyOf(keptReports);
        for (int i = 0; i < simulatedControllers.length; i++) {
            for (byte[] r : all) {
                sendRequest(i, "POST", "/hello", r, (s, m) -> {});
            }
        }
    }

    /** The controller that a machine's shard names as its owner. */
    int ownerOf(FakeWorker w) {
        for (int i = 0; i < simulatedControllers.length; i++) {
            if (simulatedControllers[i].core != null
                    && requestAndWait(i, "POST", "/hello", FakeWorker.report(w.name, w.zone, 0))
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
    List<String> unansweredJobs(long patienceMs) {
        List<String> open = new ArrayList<>();
        for (int i = 0; i < simulatedControllers.length; i++) {
            if (simulatedControllers[i].core != null
                    && requestAndWait(i, "GET", "/ready", null).startsWith("200")) {
                for (TrackedJob j : jobs.values()) {
                    if (j.accepted) {
                        open.add(i + " " + j.id);
                    }
                }
            }
        }
        long end = nowMs + patienceMs;
        while (!open.isEmpty() && nowMs < end) {
            List<String> answered = new ArrayList<>();
            for (String x : open) {
                String id = x.substring(x.indexOf(' ') + 1);
                int node = Integer.parseInt(x.substring(0, x.indexOf(' ')));
                sendCheckedRequest(node, AnswerHistory.RequestKind.POLL, jobs.get(id), status -> {
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
        TrackedJob j = new TrackedJob();
        j.id = id;
        j.taskCount = tasks;
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
        j.nextRequestMs = nowMs;
        jobs.put(id, j);
        return m;
    }

    /** A submission as a user would write it. */
    static Map<String, Object> submission(String id, String shape, int tasks, String team) {
        Map<String, Object> m = birchusher.TestJobs.job();
        m.put("name_id", id);
        m.put("shape", shape);
        m.put("pieces", tasks);
        m.put("crew", team);
        return m;
    }

    /** A job that somebody else submits: its tasks may run, and nobody here polls for it. */
    void registerUnpolledJob(Map<String, Object> body) {
        TrackedJob j = new TrackedJob();
        j.id = (String) body.get("name_id");
        j.taskCount = ((Number) body.get("pieces")).intValue();
        j.body = body;
        j.accepted = true;
        j.nextRequestMs = Long.MAX_VALUE;
        jobs.putIfAbsent(j.id, j);
    }

    /** Sends one request and waits for its answer: the status, then the stage or the orders. */
    String requestAndWait(int node, String method, String path, Map<String, Object> body) {
        String[] got = new String[1];
        sendRequest(node, method, path, body == null ? new byte[0] : MessagePackCodec.encode(body), (status, m) -> {
            StringBuilder sb = new StringBuilder().append(status);
            if (m.get("stage") != null) {
                sb.append(' ').append(m.get("stage"));
            }
            if (status == 400 || status == 422) {
                sb.append(' ').append(m.get("error"));
            }
            if (m.get("orders") != null) {
                for (Object o : asList(m.get("orders"))) {
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

    void requestCancellation(String id) {
        jobs.get(id).cancelRequested = true;
    }

    /** Cancels through one controller; whether it confirmed. */
    boolean cancelAndWait(int node, String id) {
        TrackedJob j = jobs.get(id);
        j.cancelRequested = true;
        int before = j.history.answerCount();
        sendCheckedRequest(node, AnswerHistory.RequestKind.CANCEL, j);
        for (int i = 0; i < 100 && j.history.answerCount() == before; i++) {
            run(50);
        }
        return j.cancelledAtMs >= 0;
    }

    String reportedState(String id) {
        return jobs.get(id).history.lastStage();
    }

    boolean isCancelled(String id) {
        return jobs.get(id).cancelledAtMs >= 0;
    }

    /** The last term given to an owner of workers. */
    String latestTermRow() {
        return store.dump()
                .lines()
                .filter(l -> l.startsWith("b/live/term"))
                .findFirst()
                .orElseThrow();
    }

    void run(long ms) {
        long end = nowMs + ms;
        while (!scheduledActions.isEmpty() && scheduledActions.peek().atMs <= end) {
            ScheduledAction t = scheduledActions.poll();
            nowMs = Math.max(nowMs, t.atMs);
            t.action.run();
        }
        nowMs = end;
    }

    // ---- time

    void schedule(long when, Runnable r) {
        scheduledActions.add(new ScheduledAction(when, nextSequence++, r));
    }

    private void startCore(int i) {
        Settings s = SettingsReader.read(settingsJson(i).getBytes(StandardCharsets.UTF_8));
        simulatedControllers[i].core = new Core(s, new Tuning(), nowMs, wallClockMs(i));
        simulatedControllers[i].incarnation++;
    }

    private long wallClockMs(int i) {
        return 1_700_000_000_000L + nowMs + simulatedControllers[i].wallClockOffsetMs;
    }

    private void tickController(int i) {
        if (simulatedControllers[i].core != null && nowMs >= simulatedControllers[i].pausedUntilMs) {
            applyEffects(i, simulatedControllers[i].core.tick(nowMs, wallClockMs(i)));
        }
        schedule(nowMs + 50, () -> tickController(i));
    }

    private void stepStandIns() {
        store.tick(nowMs);
        for (FakeWorker w : List.copyOf(workers.values())) {
            if (w.advance(nowMs) && !w.reportInFlight && nowMs >= w.nextReportMs) {
                sendReport(w);
            }
        }
        jobs.values().forEach(this::stepGang);
        jobs.values().forEach(this::sendNextUserRequest);
        checkInvariants();
        schedule(nowMs + 100, this::stepStandIns);
    }

    private boolean drawLoss() {
        return random.nextDouble() < messageLossRate;
    }

    /** Mostly a few ms; now and then a message is held back for long and still arrives. */
    private long drawDelayMs() {
        return random.nextDouble() < longDelayRate ? 2_000 + random.nextInt(40_000) : 1 + random.nextInt(8);
    }

    // ---- the cores' effects

    private void applyEffects(int i, List<Effect> effects) {
        int life = simulatedControllers[i].incarnation;
        for (Effect e : effects) {
            if (e instanceof Effect.Answer a) {
                var x = replyHandlers.remove(a.exchange());
                if (x != null) {
                    schedule(nowMs + 2, () -> x.accept(a.status(), encodedCopy(a.body())));
                }
            } else if (e instanceof Effect.Send s) {
                int to = controllerIndex(i, s.peer());
                if (onPublishedImages != null
                        && PeerCodec.decode(s.record()).record() instanceof PeerRecord.Heartbeat h) {
                    h.machines().forEach(m -> onPublishedImages.accept(m.name(), m.cachedImages()));
                }
                if (duplicatePeerRecordRate > 0 && random.nextDouble() < duplicatePeerRecordRate) {
                    schedule(nowMs + random.nextInt(20_000), () -> deliverPeerRecord(to, s.record()));
                }
                if (!peerLinkDown[i][to] && !drawLoss()) {
                    schedule(
                            Math.max(nowMs, peerRecordsHeldUntilMs[i]) + 1 + random.nextInt(3),
                            () -> afterPause(to, () -> deliverPeerRecord(to, s.record())));
                }
            } else if (e instanceof Effect.Call c) {
                performCall(i, life, c);
            }
        }
    }

    private void deliverPeerRecord(int to, byte[] record) {
        if (simulatedControllers[to].core != null) {
            applyEffects(to, simulatedControllers[to].core.handlePeerRecord(nowMs, wallClockMs(to), record));
        }
    }

    private static int controllerIndex(int self, int peer) {
        return peer <= self ? peer - 1 : peer;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> encodedCopy(Object body) {
        return body == null ? Map.of() : (Map<String, Object>) MessagePackCodec.decode(MessagePackCodec.encode(body));
    }

    private void performCall(int i, int life, Effect.Call c) {
        Map<String, Object> body = c.body() == null ? Map.of() : encodedCopy(c.body());
        boolean[] answered = new boolean[1];
        long sentAt = nowMs;
        java.util.function.BiConsumer<Integer, Map<String, Object>> back = (status, m) -> {
            if (nowMs < simulatedControllers[i].pausedUntilMs) {
                return;
            }
            if (!answered[0] && simulatedControllers[i].incarnation == life && simulatedControllers[i].core != null) {
                answered[0] = true;
                recordMemberLease(i, c, status, sentAt);
                applyEffects(
                        i,
                        simulatedControllers[i].core.handleReply(
                                nowMs,
                                wallClockMs(i),
                                c.id(),
                                status,
                                m.isEmpty() ? new byte[0] : MessagePackCodec.encode(m)));
            }
        };
        schedule(nowMs + c.timeoutMs(), () -> afterPause(i, () -> back.accept(0, Map.of())));
        transport(i, c, body, back);
    }

    /** Since when a controller's seat stands for sure, by the lease request that was answered last. */
    final void recordMemberLease(int i, Effect.Call c, int status, long sentAt) {
        if (status == 200 && c.path().startsWith("/leases")) {
            memberLeaseSinceMs[i] = Math.max(memberLeaseSinceMs[i], sentAt);
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
        if (drawLoss()) {
            return;
        }
        if (c.destination() == Effect.Destination.WORKER && i >= 0 && cutOffFromWorkers[i]) {
            return;
        }
        if (c.destination() == Effect.Destination.WORKER
                && i != isolatedController
                && isolatedWorkers.contains(c.address().split(":")[0])) {
            return;
        }
        boolean store = c.destination() == Effect.Destination.STORE || c.destination() == Effect.Destination.WATCH;
        if (store && refusedByStore[i]) {
            schedule(nowMs + 2, () -> back.accept(503, Map.of()));
            return;
        }
        if (lateTransactionRate > 0 && c.path().equals("/multi") && random.nextDouble() < lateTransactionRate) {
            schedule(nowMs + 2_000 + random.nextInt(10_000), () -> dispatchCall(c, body, (status, m) -> {}));
            return;
        }
        if (lostTransactionReplyRate > 0
                && c.path().equals("/multi")
                && random.nextDouble() < lostTransactionReplyRate) {
            schedule(nowMs + 1, () -> dispatchCall(c, body, (status, m) -> {}));
            return;
        }
        long held =
                c.destination() == Effect.Destination.WORKER ? directCommandDelayMs + commandDelayMs(c.address()) : 0;
        held += store && maxExtraStoreDelayMs > 0 ? random.nextInt(maxExtraStoreDelayMs) : 0;
        int answerMs = c.destination() == Effect.Destination.CLOUD && maxCloudReplyDelayMs > 0
                ? random.nextInt(maxCloudReplyDelayMs)
                : 0;
        schedule(
                nowMs + drawDelayMs() + held,
                () -> dispatchCall(c, body, (status, m) -> {
                    if (!drawLoss() && (c.destination() == Effect.Destination.WATCH || !(store && refusedByStore[i]))) {
                        Map<String, Object> copy = encodedCopy(m);
                        boolean watch = c.path().startsWith("/watch");
                        schedule(
                                nowMs + answerMs + 1 + random.nextInt(5),
                                watch
                                        ? () -> answerWatch(i, () -> back.accept(status, copy))
                                        : () -> back.accept(status, copy));
                    }
                }));
    }

    /** An open watch of a controller that is refused stays open, and then tells at once what it would have told by then. */
    private void answerWatch(int i, Runnable answer) {
        if (refusedByStore[i] || storeReadsHeld || viewLagging[i]) {
            schedule(nowMs + 100, () -> answerWatch(i, answer));
        } else {
            answer.run();
        }
    }

    private void dispatchCall(
            Effect.Call c,
            Map<String, Object> body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        switch (c.destination()) {
            case STORE, WATCH -> store.handle(nowMs, c.method(), c.path(), body, reply);
            case CLOUD -> handleCloudRequest(c.path(), body, reply);
            default -> handleDirectCommand(c.address(), c.path(), body, reply);
        }
    }

    private void handleCloudRequest(
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
            List<Object> hosts = machinesByRentalRequest.computeIfAbsent((String) body.get("ask"), k -> {
                List<Object> l = new ArrayList<>();
                for (long n = (Long) body.get("how_many");
                        n > 0 && workers.size() < (maxMachines > 0 ? maxMachines : Math.max(40, teamGpuLimit));
                        n--) {
                    String name = String.format("n-%06d", nextMachineNumber++);
                    l.add(name);
                    workers.put(
                            name,
                            new FakeWorker(
                                    this,
                                    name,
                                    (String) body.get("grove"),
                                    (Boolean) body.get("loaners"),
                                    neverReadyRate > 0 && random.nextDouble() < neverReadyRate
                                            ? Long.MAX_VALUE / 2
                                            : nowMs
                                                    + (fastBoot
                                                            ? 200 + random.nextInt(1_500)
                                                            : Math.round(bootTimeFactor
                                                                    * (4_000 + random.nextInt(9_000))))));
                    machineRented++;
                    machineRented(workers.get(name));
                }
                return l;
            });
            reply.accept(200, Map.of("hosts", hosts));
        } else if (path.equals("/rentals/delete") && cloudRefusesDeletions) {
            reply.accept(503, Map.of("error", "trouble"));
        } else if (path.equals("/rentals/delete")) {
            Fields.list(body, "hosts").forEach(h -> {
                FakeWorker w = workers.remove(h);
                if (w != null) {
                    w.deleted = true;
                    machinesReturnedWithTasks += nowMs >= w.hungUntilMs
                                    && w.holdsLease(nowMs)
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

    private long commandDelayMs(String address) {
        FakeWorker w = workers.get(address.substring(0, address.indexOf(':')));
        return w == null ? 0 : w.commandDelayMs;
    }

    /** A machine was rented. */
    void machineRented(FakeWorker worker) {}

    /** A command sent straight to a worker; one that hangs carries it out when it goes on. */
    private void handleDirectCommand(
            String address,
            String path,
            Map<String, Object> body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        FakeWorker w = workers.get(address.substring(0, address.indexOf(':')));
        if (w == null || w.cannotReceive) {
            return;
        }
        if (!w.advance(nowMs)) {
            if (!w.deleted) {
                schedule(Math.max(nowMs + 100, w.hungUntilMs), () -> handleDirectCommand(address, path, body, reply));
            }
            return;
        }
        if (path.equals("/show")) {
            reply.accept(200, w.report());
            return;
        }
        long token = (Long) body.get("baton");
        if (token < w.fencingToken || (Long) body.get("tenure") != w.session) {
            reply.accept(409, w.report());
            return;
        }
        w.fencingToken = token;
        w.execute(asList(body.get("orders")), nowMs);
        reply.accept(200, w.report());
    }

    @SuppressWarnings("unchecked")
    private static List<Object> asList(Object o) {
        return (List<Object>) o;
    }

    // ---- workers

    private void sendReport(FakeWorker w) {
        w.reportInFlight = true;
        w.nextReportMs = nowMs + 3_000;
        long sent = nowMs;
        long session = w.session;
        byte[] report = MessagePackCodec.encode(w.report());
        int to = w.controllerIndex;
        if (keepReports && keptReports.size() < 600) {
            keptReports.add(report);
        }
        boolean[] over = new boolean[1];
        long[] answeredAt = {nowMs};
        java.util.function.BiConsumer<Integer, Map<String, Object>> back = (status, m) -> {
            if (over[0]) {
                return;
            }
            over[0] = true;
            w.reportInFlight = false;
            if (!w.advance(nowMs) || w.session != session) {
                return;
            }
            if (status == 200 && answeredAt[0] - memberLeaseSinceMs[to] > MEMBER_LEASE_MS) {
                violations.add("answered a worker without a seat: perch-" + to);
            }
            if (status == 200) {
                long token = m.get("baton") == null ? -1 : (Long) m.get("baton");
                if (token >= w.fencingToken) {
                    if (token > w.fencingToken) {
                        w.tokenChanged(nowMs);
                    }
                    w.fencingToken = token;
                    w.leaseStartMs = sent;
                    w.execute(asList(m.get("orders")), nowMs);
                    w.nextReportMs = Math.max(w.nextReportMs, sent + 500);
                }
            } else if (status == 421 && m.get("usher") != null) {
                w.controllerIndex = Integer.parseInt(((String) m.get("usher")).substring(6));
                w.nextReportMs = nowMs + 200;
            } else {
                w.controllerIndex = (w.controllerIndex + 1) % simulatedControllers.length;
                w.nextReportMs = nowMs + 1_000;
            }
        };
        schedule(nowMs + 4_000, () -> back.accept(0, Map.of()));
        if (duplicateReportRate > 0 && random.nextDouble() < duplicateReportRate) {
            schedule(
                    nowMs + 1_000 + random.nextInt(60_000),
                    () -> sendRequest(to, "POST", "/hello", report, (s, m) -> {}));
        }
        if (!drawLoss()
                && !w.cannotReport
                && !cutOffFromWorkers[to]
                && (to == isolatedController || !isolatedWorkers.contains(w.name))) {
            schedule(
                    nowMs + w.reportDelayMs + drawDelayMs(),
                    () -> sendRequest(to, "POST", "/hello", report, (s, m) -> {
                        answeredAt[0] = nowMs;
                        if (w.connectionsResetBy.contains(to)) {
                            back.accept(0, Map.of());
                        } else if (!drawLoss() && !w.cannotReceive) {
                            schedule(
                                    nowMs
                                            + 2
                                            + (lateResponseRate > 0 && random.nextDouble() < lateResponseRate
                                                    ? random.nextInt(3_900)
                                                    : 0),
                                    () -> back.accept(s, m));
                        }
                    }));
        }
    }

    void sendRequest(
            int node,
            String method,
            String path,
            byte[] body,
            java.util.function.BiConsumer<Integer, Map<String, Object>> reply) {
        if (nowMs < simulatedControllers[node].pausedUntilMs) {
            schedule(simulatedControllers[node].pausedUntilMs, () -> sendRequest(node, method, path, body, reply));
        } else if (simulatedControllers[node].core != null) {
            long x = nextExchangeId++;
            replyHandlers.put(x, reply);
            applyEffects(
                    node,
                    simulatedControllers[node].core.handleRequest(nowMs, wallClockMs(node), x, method, path, body));
        }
    }

    // ---- users

    private void sendNextUserRequest(TrackedJob j) {
        if (nowMs < j.nextRequestMs) {
            return;
        }
        j.nextRequestMs = nowMs + 1_500;
        int node = random.nextInt(simulatedControllers.length);
        if (!j.accepted) {
            sendCheckedRequest(node, AnswerHistory.RequestKind.SUBMIT, j);
        } else if (j.cancelRequested && j.cancelledAtMs < 0) {
            sendCheckedRequest(node, AnswerHistory.RequestKind.CANCEL, j);
        } else {
            sendCheckedRequest(node, AnswerHistory.RequestKind.POLL, j);
            sendRequest(node, "GET", "/v2/runs/wk-nobody", new byte[0], (s, m) -> {
                if (s == 200) {
                    violations.add("invented");
                }
            });
        }
    }

    /** One request of a user's about a job, its answer held against all that was told before it was sent. */
    private void sendCheckedRequest(int node, AnswerHistory.RequestKind kind, TrackedJob j) {
        sendCheckedRequest(node, kind, j, status -> {});
    }

    private void sendCheckedRequest(
            int node, AnswerHistory.RequestKind kind, TrackedJob j, java.util.function.IntConsumer then) {
        AnswerHistory.SentRequest q = j.history.requestSent(kind);
        String path = "/v2/runs"
                + (kind == AnswerHistory.RequestKind.SUBMIT
                        ? ""
                        : "/" + j.id + (kind == AnswerHistory.RequestKind.CANCEL ? "/withdraw" : ""));
        byte[] body = kind == AnswerHistory.RequestKind.SUBMIT ? MessagePackCodec.encode(j.body) : new byte[0];
        sendRequest(node, kind == AnswerHistory.RequestKind.POLL ? "GET" : "POST", path, body, (s, m) -> {
            String before = j.history.lastStage();
            String wrong = j.history.checkAnswer(q, s, (String) m.get("stage"));
            if (wrong != null) {
                violations.add(wrong + ": " + j.id + " by perch-" + node);
            }
            if (s == 200 || s == 201) {
                j.accepted = true;
                checkReportedStage(j, (String) m.get("stage"));
            }
            boolean news = before == null
                    ? j.history.lastStage() != null
                    : j.history.hasEnded() && !before.equals(j.history.lastStage());
            if (recheckAtAllControllers && news) {
                requestAtAllControllers(j);
            }
            then.accept(s);
        });
    }

    /** Asks all controllers about a job, each three times within 20 ms. */
    void recheckEverywhere(String id) {
        requestAtAllControllers(jobs.get(id));
    }

    /** Cancels through one controller without waiting for the answer. */
    void sendCancellation(int node, String id) {
        jobs.get(id).cancelRequested = true;
        sendCheckedRequest(node, AnswerHistory.RequestKind.CANCEL, jobs.get(id));
    }

    /** Ends a job's running tasks now; the machine that had the last of them, or null if none runs. */
    FakeWorker endRunningTasks(String id) {
        FakeWorker last = null;
        for (FakeWorker w : workers.values()) {
            for (FakeWorker.Task t : w.tasks.values()) {
                if (t.key.startsWith(id + "/") && t.stage.equals("running")) {
                    t.phaseEndsMs = nowMs;
                    last = w;
                }
            }
        }
        return last;
    }

    private void requestAtAllControllers(TrackedJob j) {
        for (int i = 0; i < simulatedControllers.length; i++) {
            int node = i;
            for (int ms : new int[] {0, 1 + random.nextInt(4), 20}) {
                schedule(nowMs + ms, () -> sendCheckedRequest(node, AnswerHistory.RequestKind.POLL, j));
            }
            schedule(nowMs + random.nextInt(6), () -> sendCheckedRequest(node, AnswerHistory.RequestKind.SUBMIT, j));
            if (j.cancelRequested) {
                schedule(
                        nowMs + random.nextInt(6), () -> sendCheckedRequest(node, AnswerHistory.RequestKind.CANCEL, j));
            }
        }
    }

    private void checkReportedStage(TrackedJob j, String stage) {
        if ("cancelled".equals(stage)) {
            if (!j.cancelRequested) {
                violations.add("went_back: " + j.id + " cancelled by nobody");
            }
            j.cancelledAtMs = j.cancelledAtMs < 0 ? nowMs : j.cancelledAtMs;
        }
        if ("done".equals(stage) && taskFinished.getOrDefault(j.id, 0) < j.taskCount) {
            violations.add("not_done: " + j.id);
        }
    }

    /** How long a task takes to save when it is stopped; 0: it can't. */
    double checkpointSaveS(String key) {
        Map<String, Object> body = jobs.get(key.substring(0, key.indexOf('/'))).body;
        return (Double) body.get("mark_every_s") > 0 ? (Double) body.get("mark_take_s") : 0;
    }

    /** Tasks of a job on machines, whatever they do there. */
    long unfinishedTaskCount(String id) {
        return workers.values().stream()
                .filter(w -> w.holdsLease(nowMs))
                .flatMap(w -> w.tasks.values().stream())
                .filter(t -> t.key.startsWith(id + "/") && !t.exited())
                .count();
    }

    double gpusNeeded(String key) {
        return (Double) jobs.get(key.substring(0, key.indexOf('/'))).body.get("cards");
    }

    // ---- gangs

    boolean isGang(String key) {
        return "gang".equals(jobs.get(key.substring(0, key.indexOf('/'))).body.get("shape"));
    }

    /** Tasks of one attempt start together, end together, and give up when one of them is gone. */
    private void stepGang(TrackedJob j) {
        if (!"gang".equals(j.body.get("shape"))) {
            return;
        }
        Map<Long, List<FakeWorker.Task>> attempts = new HashMap<>();
        for (FakeWorker w : workers.values()) {
            for (FakeWorker.Task t : w.tasks.values()) {
                if (w.holdsLease(nowMs)
                        && nowMs >= w.hungUntilMs
                        && t.key.startsWith(j.id + "/")
                        && (t.stage.equals("waiting") || t.stage.equals("running"))) {
                    attempts.computeIfAbsent(t.attempt, k -> new ArrayList<>()).add(t);
                }
            }
        }
        attempts.values().forEach(l -> {
            boolean running = l.stream().anyMatch(t -> t.stage.equals("running"));
            if (running && l.size() < j.taskCount) {
                exitAll(l, "mates_gone");
            } else if (running && nowMs >= l.get(0).phaseEndsMs
                    || !running && l.size() == j.taskCount && finishedTasks.contains(l.get(0).key)) {
                l.forEach(t -> taskFinished(t.key));
                exitAll(l, "done");
            } else if (!running && l.size() == j.taskCount) {
                long until = nowMs + 8_000;
                l.forEach(t -> {
                    t.stage = "running";
                    t.phaseEndsMs = until;
                });
            }
        });
    }

    private static void exitAll(List<FakeWorker.Task> tasks, String why) {
        tasks.forEach(t -> {
            t.stage = "exited";
            t.cause = why;
        });
    }

    // ---- the rules

    private final java.util.Set<String> finishedTasks = new java.util.HashSet<>();

    void taskFinished(String key) {
        if (finishedTasks.add(key)) {
            TrackedJob j = jobs.get(key.substring(0, key.indexOf('/')));
            int n = taskFinished.merge(j.id, 1, Integer::sum);
            if (cancelAtCompletionRate > 0 && n == j.taskCount && random.nextDouble() < cancelAtCompletionRate) {
                j.cancelRequested = true;
                int node = random.nextInt(simulatedControllers.length);
                schedule(
                        nowMs + random.nextInt(1_500),
                        () -> sendCheckedRequest(node, AnswerHistory.RequestKind.CANCEL, j));
            }
        }
    }

    long runTimeMs(String key) {
        TrackedJob j = jobs.get(key.substring(0, key.indexOf('/')));
        if (fixedRunTimesMs.containsKey(key) && !finishedTasks.contains(key)) {
            return fixedRunTimesMs.get(key);
        }
        return "standing".equals(j.body.get("shape"))
                ? Long.MAX_VALUE / 4
                : finishedTasks.contains(key) ? 1 : 4_000 + random.nextInt(8_000);
    }

    void taskStarted(FakeWorker w, FakeWorker.Task t) {
        taskStarts++;
        rerunsOfFinishedTasks += finishedTasks.contains(t.key) ? 1 : 0;
        String id = t.key.substring(0, t.key.indexOf('/'));
        TrackedJob j = jobs.get(id);
        Map<String, Integer> zones = new HashMap<>();
        for (FakeWorker o : workers.values()) {
            o.exitTasksIfLeaseExpired(nowMs);
            for (FakeWorker.Task x : o.tasks.values()) {
                if (!x.exited() && !x.stage.equals("fetching") && x.key.startsWith(id + "/")) {
                    if (x != t && x.key.equals(t.key)) {
                        violations.add("ran_twice: " + t.key + " on " + w.name + " and " + o.name);
                    }
                    zones.merge(o.zone, 1, Integer::sum);
                }
            }
        }
        if (Boolean.TRUE.equals(j.body.get("scatter")) && zones.get(w.zone) > (j.taskCount + 1) / 2) {
            violations.add("wrong_place: too many of " + id + " in " + w.zone);
        }
        if (Boolean.TRUE.equals(j.body.get("one_zone")) && zones.size() > 1) {
            violations.add("wrong_place: " + id + " in two zones");
        }
        if (j.cancelledAtMs >= 0 && nowMs - j.cancelledAtMs > cancelDeadlineMs) {
            violations.add("ran_cancelled: " + t.key + " started");
        }
    }

    private void checkInvariants() {
        double use = 0;
        for (FakeWorker w : workers.values()) {
            for (FakeWorker.Task t : w.tasks.values()) {
                if (t.exited() || t.stage.equals("fetching") || !w.holdsLease(nowMs)) {
                    continue;
                }
                use++;
                TrackedJob j = jobs.get(t.key.substring(0, t.key.indexOf('/')));
                if (j.cancelledAtMs >= 0 && nowMs - j.cancelledAtMs > cancelDeadlineMs) {
                    violations.add("ran_cancelled: " + t.key + " still on " + w.name);
                }
            }
        }
        if (use > teamGpuLimit) {
            violations.add("quota: " + use);
        }
        violations.addAll(store.unsafeTransactions);
        store.unsafeTransactions.clear();
        if (violations.size() > 20) {
            throw new AssertionError(violations.toString());
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

    final String settingsJson(int i) {
        StringBuilder peers = new StringBuilder();
        for (int k = 0; k < simulatedControllers.length; k++) {
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
                + teamGpuLimit + "}],"
                + "\"workers\":{\"report_s\":3,\"lease_s\":" + workerLeaseMs / 1000.0
                + ",\"gang_wait_s\":20,\"gang_peer_s\":4,\"cancel_s\":"
                + cancelDeadlineMs / 1000.0
                + "},\"state\":{\"rps\":200,\"write_rps\":60,\"value_kb\":8,\"txn_ops\":12},"
                + "\"cloud\":{\"rps\":5,\"list_lag_s\":5},\"resources\":{\"cores\":1,\"ram_mb\":200,\"max_connections\":500}}}";
    }
}
