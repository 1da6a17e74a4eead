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
 * The agent process on a worker host: connects the {@link Worker} state machine to HTTP, to the processes of tasks and to
 * the {@link Supervisor}. An agent locks its directory against other agents; processes that an earlier agent of that
 * directory left running are killed before any message is sent. All state belongs to the thread of {@link #run}; only
 * {@link #stop} may be called from other threads.
 */
public final class Agent implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);
    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_CONCURRENT_CALLS = 64;
    private static final long POLL_INTERVAL_MS = 500;
    private static final int POLL_TIMEOUT_MS = 3_000;
    private static final int REPORT_TIMEOUT_MS = 4_000;
    /** Value of Retry-After if a log can't be read. */
    private static final int LOG_RETRY_AFTER_S = 5;

    private static final long PRUNE_INTERVAL_MS = 600_000;
    private static final int MAX_JOBS_CHECKED = 32;

    /**
     * Settings of an agent.
     *
     * @param server the daemon's address, as host and port
     * @param host the name under which the daemon lists this host
     * @param address where this agent listens, and where controllers and the daemon reach it
     * @param dir the agent's own directory: state, working directories and logs
     * @param checkpoints directory of checkpoints; shared by all hosts if tasks are to resume on other hosts
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

    /** @throws IOException also if another agent has locked the directory, or if {@code /proc} is not readable */
    public Agent(Options agentOptions) throws IOException, InterruptedException {
        if (!TaggedProcesses.isSupported()) {
            throw new IOException(
                    "/proc is not readable: an agent needs Linux to verify that no process of a task is left");
        }
        options = agentOptions;
        directoryLock = new LockedDirectory(agentOptions.dir().resolve("state"));
        tag = readOrCreate("tag", UUID.randomUUID().toString());
        TaggedProcesses.killAll(tag + "/");
        // Sent to the pool, the boot id of the previous agent states that it and all its tasks are dead, which is
        // certain only after the kill above.
        previousBootId = readOrCreate("boot", "");
        Files.writeString(agentOptions.dir().resolve("state").resolve("boot"), bootId);
        logs = new TaskLogs(agentOptions.dir().resolve("logs"), TaskLogs.Limits.DEFAULT);
        worker = new Worker(agentOptions.listenAddress(), new SplittableRandom());
        runner = new Runner(
                tag,
                agentOptions.dir(),
                agentOptions.checkpoints(),
                logs,
                (key, exitCode) -> loop.post(() -> perform(worker.onTaskExit(EventLoop.nowMs(), key, exitCode))));
        runner.deleteAllWorkDirs();
        httpServer = new HttpServer(
                loop,
                agentOptions.address(),
                agentOptions.port(),
                MAX_CONNECTIONS,
                MAX_BODY_BYTES,
                this::handleRequest);
        client = new HttpClient(loop, MAX_CONCURRENT_CALLS);
    }

    private String readOrCreate(String name, String initialValue) throws IOException {
        Path path = options.dir().resolve("state").resolve(name);
        if (!Files.exists(path)) {
            Files.writeString(path, initialValue);
        }
        return Files.readString(path);
    }

    /** Runs in the calling thread until {@link #stop}. */
    public void run() throws IOException, InterruptedException {
        supervisor = new SupervisorClient(tag + "/", () -> loop.post(this::onSupervisorExit));
        httpServer.open();
        loop.run(this::tick);
    }

    /** Makes {@link #run} return. */
    public void stop() {
        loop.stop();
    }

    /** Kills all tasks and returns when none of their processes is left. To be called after {@link #run} has returned. */
    @Override
    public void close() throws IOException {
        try {
            httpServer.close();
            SupervisorClient current = supervisor;
            supervisor = null;
            if (current != null) {
                current.close();
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
        LOG.error("supervisor process ended: killing all tasks and starting another supervisor");
        perform(worker.onSupervisorExit());
        try {
            supervisor = new SupervisorClient(tag + "/", () -> loop.post(this::onSupervisorExit));
        } catch (IOException e) {
            LOG.error("supervisor process can't be started, stopping the agent: {}", e.getMessage());
            loop.stop();
        }
    }

    private void tick(long lateMs) {
        long nowMs = EventLoop.nowMs();
        perform(worker.tick(nowMs));
        if (!pollInFlight && nowMs >= nextPollMs) {
            pollAssignment(nowMs);
        }
        if (nowMs >= nextPruneMs) {
            nextPruneMs = nowMs + PRUNE_INTERVAL_MS;
            for (String job : runner.inactiveCheckpointJobs(MAX_JOBS_CHECKED)) {
                callDaemon("GET", Wire.DESCRIPTIONS + job, null, POLL_TIMEOUT_MS, (status, fields) -> {
                    if (status == 404) {
                        runner.deleteCheckpoints(job);
                    }
                });
            }
            Runner.startDaemonThread("prune", () -> {
                try {
                    logs.prune();
                } catch (IOException e) {
                    LOG.error("task logs can't be pruned: {}", e.getMessage());
                }
            });
        }
        httpServer.tick();
        client.tick();
    }

    /** Requests from the daemon the machine that this host is assigned to. */
    private void pollAssignment(long nowMs) {
        pollInFlight = true;
        nextPollMs = nowMs + POLL_INTERVAL_MS;
        Map<String, Object> body = new HashMap<>();
        body.put("agent", options.host());
        body.put("boot", bootId);
        body.put("before", previousBootId.isEmpty() ? null : previousBootId);
        body.put(Wire.MACHINE, worker.currentMachine());
        body.put(Wire.ADDRESS, options.listenAddress());
        body.put(Wire.SEQUENCE, ++pollSequence);
        callDaemon("POST", Wire.AGENTS, body, POLL_TIMEOUT_MS, (status, fields) -> {
            pollInFlight = false;
            if (status == 200) {
                perform(worker.onAssignment(EventLoop.nowMs(), nowMs, Assignment.read(fields)));
            } else if (status != lastPollStatus) {
                LOG.info(
                        "assignment poll of daemon {} failed: {} {}",
                        options.server(),
                        status == 0 ? "no answer" : status,
                        fields.getOrDefault("error", ""));
            }
            lastPollStatus = status;
        });
    }

    private interface ResponseHandler {
        void onResponse(int status, Map<String, Object> body);
    }

    private void callDaemon(String method, String path, Object body, int timeoutMs, ResponseHandler handler) {
        call(options.server(), method, path, body, timeoutMs, handler);
    }

    private void call(String address, String method, String path, Object body, int timeoutMs, ResponseHandler handler) {
        client.call(
                address,
                method,
                path,
                body == null ? HttpClient.EMPTY_BODY : MessagePackCodec.encode(body),
                timeoutMs,
                (status, response) -> {
                    try {
                        handler.onResponse(
                                status,
                                response.length == 0
                                        ? Map.of()
                                        : Fields.map(MessagePackCodec.decode(response), "answer"));
                    } catch (InvalidInputException e) {
                        LOG.error("invalid response for {} from {}: {}", path, address, e.getMessage());
                        handler.onResponse(0, Map.of());
                    }
                });
    }

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            perform(action);
        }
    }

    private void perform(Action action) {
        if (action instanceof Action.SendReport report) {
            call(
                    report.address(),
                    "POST",
                    Wire.WORKER_REPORTS,
                    report.body(),
                    REPORT_TIMEOUT_MS,
                    (status, fields) ->
                            perform(worker.onReportResponse(EventLoop.nowMs(), report.id(), status, fields)));
        } else if (action instanceof Action.SendResponse response) {
            httpServer.answer(
                    response.exchange(),
                    response.status(),
                    MessagePackCodec.encode(response.body()),
                    response.retryAfterS());
        } else if (action instanceof Action.FetchDescription fetch) {
            callDaemon("GET", Wire.DESCRIPTIONS + fetch.jobId(), null, POLL_TIMEOUT_MS, (status, fields) -> {
                if (status == 200 || status == 404) {
                    perform(worker.onDescription(
                            EventLoop.nowMs(), fetch.jobId(), status == 404 ? null : JobDescription.read(fields)));
                }
            });
        } else if (action instanceof Action.StartProcess start) {
            runner.run(start);
        } else if (action instanceof Action.SendSignal signal) {
            runner.sendSignal(signal);
        } else if (action instanceof Action.KillTask kill) {
            runner.kill(kill.key());
        } else if (action instanceof Action.KillAllTasks) {
            runner.killAll(() -> loop.post(() -> perform(worker.onAllKilled(EventLoop.nowMs()))));
        } else if (action instanceof Action.DeleteWorkDir delete) {
            runner.deleteWorkDir(delete.key());
        } else if (action instanceof Action.SendGangStatus status) {
            sendGangStatus(status);
        } else if (action instanceof Action.ExtendSupervisorLease lease) {
            try {
                supervisor.setLease(lease.remainingMs());
            } catch (IOException e) {
                // The exit of the supervisor is reported separately, and kills the tasks.
                LOG.error("lease can't be sent to the supervisor: {}", e.getMessage());
            }
        }
    }

    private void sendGangStatus(Action.SendGangStatus gangStatus) {
        Map<String, Object> body = Map.of(
                "job",
                gangStatus.key().job(),
                "try",
                gangStatus.key().attempt(),
                "index",
                gangStatus.key().index(),
                "pieces",
                gangStatus.taskCount(),
                "phase",
                gangStatus.phase(),
                Wire.ADDRESS,
                options.listenAddress());
        callDaemon("POST", Wire.GANGS, body, POLL_TIMEOUT_MS, (status, fields) -> {
            if (status == 200) {
                List<String> hosts = fields.get("hosts") == null
                        ? List.of()
                        : Fields.list(fields, "hosts").stream()
                                .map(String::valueOf)
                                .toList();
                perform(worker.onGangInstruction(
                        EventLoop.nowMs(), gangStatus.key(), Fields.text(fields, "say"), hosts));
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
            LOG.error("task log can't be read: {}", e.getMessage());
            httpServer.answer(
                    exchange,
                    503,
                    MessagePackCodec.encode(Map.of("error", "task log can't be read")),
                    LOG_RETRY_AFTER_S);
        }
    }

    private Map<String, Object> readLog(RequestTarget target) throws IOException, RequestTarget.InvalidTargetException {
        Action.AttemptKey key = Command.attemptKey(target.path().substring("/logs/".length()), target.count("try", 0));
        return target.parameters().containsKey("try")
                ? logs.read(key, target.count("from", 0))
                : Map.of("logs", logs.list(key.job(), key.index()));
    }
}
