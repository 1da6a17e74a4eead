package birchusher.agent;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.EventLoop;
import birchusher.http.HttpClient;
import birchusher.http.HttpServer;
import birchusher.http.RequestTarget;
import birchusher.wal.LockedDirectory;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An agent as a process: the worker's machine with its sockets, its processes and its warden. One directory belongs to one agent,
 * held by a lock; what an earlier agent on it left running is killed before anybody is spoken to.
 */
public final class Agent implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);
    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_CALLS = 64;
    private static final long POLL_INTERVAL_MS = 500;
    private static final int POLL_TIMEOUT_MS = 3_000;
    private static final int REPORT_TIMEOUT_MS = 4_000;
    private static final long PRUNE_INTERVAL_MS = 600_000;
    private static final int MAX_JOBS_CHECKED = 32;

    /**
     * @param server the daemon's address
     * @param host the name under which the daemon lists this host
     * @param address where this agent listens, and is reached by controllers and the daemon
     * @param checkpoints where tasks save; the same for all hosts if tasks are to go on elsewhere
     */
    public record Options(String server, String host, String address, int port, Path dir, Path checkpoints) {
        private String listenAddress() {
            return address + ":" + port;
        }
    }

    private final Options options;
    private final EventLoop loop = new EventLoop();
    private final HttpServer httpServer;
    private final HttpClient client;
    private final LockedDirectory directoryLock;
    private final Worker worker;
    private final Runner runner;
    private final TaskLogs logs;
    private final String tag;
    private final String bootId = UUID.randomUUID().toString();
    private final String previousBootId;
    private SupervisorClient supervisor;
    private boolean pollInFlight;
    private long nextPollMs;
    private long pollSequence;
    private long nextPruneMs;
    private int lastPollStatus = 200;

    /** @throws IOException also if another agent holds the directory */
    public Agent(Options o) throws IOException, InterruptedException {
        if (!TaggedProcesses.isSupported()) {
            throw new IOException(
                    "/proc can't be read: an agent needs Linux, to be sure that nothing of a task is left");
        }
        options = o;
        directoryLock = new LockedDirectory(o.dir().resolve("state"));
        tag = readOrCreate("tag", UUID.randomUUID().toString());
        TaggedProcesses.killAll(tag + "/");
        // Only now may the pool be told that the agent before this one is dead, and all its tasks.
        previousBootId = readOrCreate("boot", "");
        Files.writeString(o.dir().resolve("state").resolve("boot"), bootId);
        logs = new TaskLogs(o.dir().resolve("logs"), TaskLogs.Limits.DEFAULT);
        worker = new Worker(o.listenAddress(), new SplittableRandom());
        runner = new Runner(
                tag,
                o.dir(),
                o.checkpoints(),
                logs,
                (key, code) -> loop.post(() -> perform(worker.onTaskExit(EventLoop.nowMs(), key, code))));
        runner.deleteAllWorkDirs();
        httpServer = new HttpServer(loop, o.address(), o.port(), MAX_CONNECTIONS, MAX_BODY_BYTES, this::handleRequest);
        client = new HttpClient(loop, MAX_CALLS);
    }

    private String readOrCreate(String name, String first) throws IOException {
        Path p = options.dir().resolve("state").resolve(name);
        if (!Files.exists(p)) {
            Files.writeString(p, first);
        }
        return Files.readString(p);
    }

    /** Runs in the calling thread until {@link #stop}. */
    public void run() throws IOException, InterruptedException {
        supervisor = new SupervisorClient(tag + "/", () -> loop.post(this::onSupervisorExit));
        httpServer.open();
        loop.run(this::tick);
    }

    public void stop() {
        loop.stop();
    }

    /** After {@link #run} has returned: nothing of any task is left then. */
    @Override
    public void close() throws IOException {
        try {
            httpServer.close();
            SupervisorClient g = supervisor;
            supervisor = null;
            if (g != null) {
                g.close();
            }
            TaggedProcesses.killAll(tag + "/");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        directoryLock.close();
    }

    private void onSupervisorExit() {
        if (supervisor == null) {
            return;
        }
        LOG.error("the warden has ended: all tasks end, and another one is started");
        perform(worker.onSupervisorExit());
        try {
            supervisor = new SupervisorClient(tag + "/", () -> loop.post(this::onSupervisorExit));
        } catch (IOException e) {
            LOG.error("no warden: {}", e.getMessage());
            loop.stop();
        }
    }

    private void tick(long late) {
        long now = EventLoop.nowMs();
        perform(worker.tick(now));
        if (!pollInFlight && now >= nextPollMs) {
            pollAssignment(now);
        }
        if (now >= nextPruneMs) {
            nextPruneMs = now + PRUNE_INTERVAL_MS;
            for (String job : runner.inactiveCheckpointJobs(MAX_JOBS_CHECKED)) {
                callDaemon("GET", Wire.DESCRIPTIONS + job, null, POLL_TIMEOUT_MS, (status, m) -> {
                    if (status == 404) {
                        runner.deleteCheckpoints(job);
                    }
                });
            }
            Runner.startDaemonThread("prune", () -> {
                try {
                    logs.prune();
                } catch (IOException e) {
                    LOG.error("logs can't be pruned: {}", e.getMessage());
                }
            });
        }
        httpServer.tick();
        client.tick();
    }

    /** Asks the daemon which machine this host is. */
    private void pollAssignment(long now) {
        pollInFlight = true;
        nextPollMs = now + POLL_INTERVAL_MS;
        Map<String, Object> body = new HashMap<>();
        body.put("agent", options.host());
        body.put("boot", bootId);
        body.put("before", previousBootId.isEmpty() ? null : previousBootId);
        body.put(Wire.MACHINE, worker.currentMachine());
        body.put(Wire.ADDRESS, options.listenAddress());
        body.put(Wire.SEQUENCE, ++pollSequence);
        callDaemon("POST", Wire.AGENTS, body, POLL_TIMEOUT_MS, (status, m) -> {
            pollInFlight = false;
            if (status == 200) {
                perform(worker.onAssignment(EventLoop.nowMs(), now, Assignment.read(m)));
            } else if (status != lastPollStatus) {
                LOG.info(
                        "daemon {}: {} {}",
                        options.server(),
                        status == 0 ? "no answer" : status,
                        m.getOrDefault("error", ""));
            }
            lastPollStatus = status;
        });
    }

    private interface ResponseHandler {
        void onResponse(int status, Map<String, Object> body);
    }

    private void callDaemon(String method, String path, Object body, int timeoutMs, ResponseHandler reply) {
        call(options.server(), method, path, body, timeoutMs, reply);
    }

    private void call(String address, String method, String path, Object body, int timeoutMs, ResponseHandler reply) {
        client.call(
                address,
                method,
                path,
                body == null ? HttpClient.EMPTY_BODY : MessagePackCodec.encode(body),
                timeoutMs,
                (status, bytes) -> {
                    try {
                        reply.onResponse(
                                status,
                                bytes.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(bytes), "answer"));
                    } catch (InvalidInputException e) {
                        LOG.error("{} of {} not as agreed: {}", path, address, e.getMessage());
                        reply.onResponse(0, Map.of());
                    }
                });
    }

    private void perform(List<Action> actions) {
        for (Action a : actions) {
            perform(a);
        }
    }

    private void perform(Action a) {
        if (a instanceof Action.SendReport r) {
            call(
                    r.address(),
                    "POST",
                    Wire.WORKER_REPORTS,
                    r.body(),
                    REPORT_TIMEOUT_MS,
                    (status, m) -> perform(worker.onReportResponse(EventLoop.nowMs(), r.id(), status, m)));
        } else if (a instanceof Action.SendResponse x) {
            httpServer.answer(x.exchange(), x.status(), MessagePackCodec.encode(x.body()), x.retryAfterS());
        } else if (a instanceof Action.FetchDescription f) {
            callDaemon("GET", Wire.DESCRIPTIONS + f.jobId(), null, POLL_TIMEOUT_MS, (status, m) -> {
                if (status == 200 || status == 404) {
                    perform(worker.onDescription(
                            EventLoop.nowMs(), f.jobId(), status == 404 ? null : JobDescription.read(m)));
                }
            });
        } else if (a instanceof Action.StartProcess r) {
            runner.run(r);
        } else if (a instanceof Action.SendSignal s) {
            runner.sendSignal(s);
        } else if (a instanceof Action.KillTask k) {
            runner.kill(k.key());
        } else if (a instanceof Action.KillAllTasks) {
            runner.killAll(() -> loop.post(() -> perform(worker.onAllKilled(EventLoop.nowMs()))));
        } else if (a instanceof Action.DeleteWorkDir f) {
            runner.deleteWorkDir(f.key());
        } else if (a instanceof Action.SendGangStatus s) {
            sendGangStatus(s);
        } else if (a instanceof Action.ExtendSupervisorLease l) {
            try {
                supervisor.setLease(l.remainingMs());
            } catch (IOException e) {
                // Its end is told as well, and ends the tasks.
                LOG.error("the warden can't be told: {}", e.getMessage());
            }
        }
    }

    private void sendGangStatus(Action.SendGangStatus s) {
        Map<String, Object> body = Map.of(
                "job",
                s.key().job(),
                "try",
                s.key().attempt(),
                "index",
                s.key().index(),
                "pieces",
                s.taskCount(),
                "phase",
                s.phase(),
                Wire.ADDRESS,
                options.listenAddress());
        callDaemon("POST", Wire.GANGS, body, POLL_TIMEOUT_MS, (status, m) -> {
            if (status == 200) {
                List<String> hosts = m.get("hosts") == null
                        ? List.of()
                        : Fields.list(m, "hosts").stream().map(String::valueOf).toList();
                perform(worker.onGangInstruction(EventLoop.nowMs(), s.key(), Fields.text(m, "say"), hosts));
            }
        });
    }

    private void handleRequest(long exchange, String method, String target, byte[] body) {
        try {
            if (target.startsWith("/logs/")) {
                httpServer.answer(exchange, 200, MessagePackCodec.encode(readLog(RequestTarget.parse(target))), 0);
            } else {
                perform(worker.onDirectRequest(
                        EventLoop.nowMs(),
                        exchange,
                        method,
                        target,
                        body.length == 0 ? null : MessagePackCodec.decode(body)));
            }
        } catch (InvalidInputException | RequestTarget.InvalidTargetException e) {
            httpServer.answer(exchange, 400, MessagePackCodec.encode(Map.of("error", e.getMessage())), 0);
        } catch (IOException e) {
            LOG.error("log can't be read: {}", e.getMessage());
            httpServer.answer(exchange, 503, MessagePackCodec.encode(Map.of("error", "can't be read")), 5);
        }
    }

    private Map<String, Object> readLog(RequestTarget t) throws IOException, RequestTarget.InvalidTargetException {
        Action.AttemptKey key = Command.attemptKey(t.path().substring("/logs/".length()), t.count("try", 0));
        return t.parameters().containsKey("try")
                ? logs.read(key, t.count("from", 0))
                : Map.of("logs", logs.list(key.job(), key.index()));
    }
}
