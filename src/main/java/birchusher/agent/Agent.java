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
    private static final int MAX_BODY = 64 * 1024;
    private static final int MAX_CALLS = 64;
    private static final long POLL_MS = 500;
    private static final int POLL_TIMEOUT_MS = 3_000;
    private static final int REPORT_TIMEOUT_MS = 4_000;
    private static final long PRUNE_MS = 600_000;
    private static final int MAX_ASKED = 32;

    /**
     * @param server the daemon's address
     * @param host the name under which the daemon lists this host
     * @param address where this agent listens, and is reached by controllers and the daemon
     * @param checkpoints where tasks save; the same for all hosts if tasks are to go on elsewhere
     */
    public record Options(String server, String host, String address, int port, Path dir, Path checkpoints) {
        private String listens() {
            return address + ":" + port;
        }
    }

    private final Options options;
    private final EventLoop loop = new EventLoop();
    private final HttpServer httpServer;
    private final HttpClient client;
    private final LockedDirectory lock;
    private final Worker worker;
    private final Runner runner;
    private final Logs logs;
    private final String tag;
    private final String boot = UUID.randomUUID().toString();
    private final String before;
    private Guard guard;
    private boolean polling;
    private long nextPoll;
    private long polls;
    private long nextPrune;
    private int lastPoll = 200;

    /** @throws IOException also if another agent holds the directory */
    public Agent(Options o) throws IOException, InterruptedException {
        if (!Tagged.possible()) {
            throw new IOException(
                    "/proc can't be read: an agent needs Linux, to be sure that nothing of a task is left");
        }
        options = o;
        lock = new LockedDirectory(o.dir().resolve("state"));
        tag = kept("tag", UUID.randomUUID().toString());
        Tagged.killAll(tag + "/");
        // Only now may the pool be told that the agent before this one is dead, and all its tasks.
        before = kept("boot", "");
        Files.writeString(o.dir().resolve("state").resolve("boot"), boot);
        logs = new Logs(o.dir().resolve("logs"), Logs.Bounds.USUAL);
        worker = new Worker(o.listens(), new SplittableRandom());
        runner = new Runner(
                tag,
                o.dir(),
                o.checkpoints(),
                logs,
                (key, code) -> loop.post(() -> act(worker.exited(EventLoop.nowMs(), key, code))));
        runner.forgetAll();
        httpServer = new HttpServer(loop, o.address(), o.port(), MAX_CONNECTIONS, MAX_BODY, this::request);
        client = new HttpClient(loop, MAX_CALLS);
    }

    private String kept(String name, String first) throws IOException {
        Path p = options.dir().resolve("state").resolve(name);
        if (!Files.exists(p)) {
            Files.writeString(p, first);
        }
        return Files.readString(p);
    }

    /** Runs in the calling thread until {@link #stop}. */
    public void run() throws IOException, InterruptedException {
        guard = new Guard(tag + "/", () -> loop.post(this::unguarded));
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
            Guard g = guard;
            guard = null;
            if (g != null) {
                g.close();
            }
            Tagged.killAll(tag + "/");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        lock.close();
    }

    private void unguarded() {
        if (guard == null) {
            return;
        }
        LOG.error("the warden has ended: all tasks end, and another one is started");
        act(worker.unguarded());
        try {
            guard = new Guard(tag + "/", () -> loop.post(this::unguarded));
        } catch (IOException e) {
            LOG.error("no warden: {}", e.getMessage());
            loop.stop();
        }
    }

    private void tick(long late) {
        long now = EventLoop.nowMs();
        act(worker.tick(now));
        if (!polling && now >= nextPoll) {
            poll(now);
        }
        if (now >= nextPrune) {
            nextPrune = now + PRUNE_MS;
            for (String job : runner.keptJobs(MAX_ASKED)) {
                ask("GET", Wire.DESCRIPTIONS + job, null, POLL_TIMEOUT_MS, (status, m) -> {
                    if (status == 404) {
                        runner.over(job);
                    }
                });
            }
            Runner.thread("prune", () -> {
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
    private void poll(long now) {
        polling = true;
        nextPoll = now + POLL_MS;
        Map<String, Object> body = new HashMap<>();
        body.put("agent", options.host());
        body.put("boot", boot);
        body.put("before", before.isEmpty() ? null : before);
        body.put(Wire.MACHINE, worker.runs());
        body.put(Wire.ADDRESS, options.listens());
        body.put(Wire.SEQUENCE, ++polls);
        ask("POST", Wire.AGENTS, body, POLL_TIMEOUT_MS, (status, m) -> {
            polling = false;
            if (status == 200) {
                act(worker.assigned(EventLoop.nowMs(), now, Assignment.read(m)));
            } else if (status != lastPoll) {
                LOG.info(
                        "daemon {}: {} {}",
                        options.server(),
                        status == 0 ? "no answer" : status,
                        m.getOrDefault("error", ""));
            }
            lastPoll = status;
        });
    }

    private interface Reply {
        void got(int status, Map<String, Object> body);
    }

    private void ask(String method, String path, Object body, int timeoutMs, Reply reply) {
        call(options.server(), method, path, body, timeoutMs, reply);
    }

    private void call(String address, String method, String path, Object body, int timeoutMs, Reply reply) {
        client.call(
                address,
                method,
                path,
                body == null ? HttpClient.EMPTY_BODY : MessagePackCodec.encode(body),
                timeoutMs,
                (status, bytes) -> {
                    try {
                        reply.got(
                                status,
                                bytes.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(bytes), "answer"));
                    } catch (InvalidInputException e) {
                        LOG.error("{} of {} not as agreed: {}", path, address, e.getMessage());
                        reply.got(0, Map.of());
                    }
                });
    }

    private void act(List<Action> actions) {
        for (Action a : actions) {
            act(a);
        }
    }

    private void act(Action a) {
        if (a instanceof Action.Report r) {
            call(
                    r.address(),
                    "POST",
                    Wire.WORKER_REPORTS,
                    r.body(),
                    REPORT_TIMEOUT_MS,
                    (status, m) -> act(worker.answered(EventLoop.nowMs(), r.id(), status, m)));
        } else if (a instanceof Action.Answer x) {
            httpServer.answer(x.exchange(), x.status(), MessagePackCodec.encode(x.body()), x.retryAfterS());
        } else if (a instanceof Action.Fetch f) {
            ask("GET", Wire.DESCRIPTIONS + f.job(), null, POLL_TIMEOUT_MS, (status, m) -> {
                if (status == 200 || status == 404) {
                    act(worker.described(EventLoop.nowMs(), f.job(), status == 404 ? null : Description.read(m)));
                }
            });
        } else if (a instanceof Action.Run r) {
            runner.run(r);
        } else if (a instanceof Action.Signal s) {
            runner.signal(s);
        } else if (a instanceof Action.Kill k) {
            runner.kill(k.key());
        } else if (a instanceof Action.KillAll) {
            runner.killAll(() -> loop.post(() -> act(worker.cleared(EventLoop.nowMs()))));
        } else if (a instanceof Action.Forget f) {
            runner.forget(f.key());
        } else if (a instanceof Action.Say s) {
            say(s);
        } else if (a instanceof Action.Lease l) {
            try {
                guard.lease(l.remainingMs());
            } catch (IOException e) {
                // Its end is told as well, and ends the tasks.
                LOG.error("the warden can't be told: {}", e.getMessage());
            }
        }
    }

    private void say(Action.Say s) {
        Map<String, Object> body = Map.of(
                "job",
                s.key().job(),
                "try",
                s.key().attempt(),
                "index",
                s.key().index(),
                "pieces",
                s.tasks(),
                "phase",
                s.phase(),
                Wire.ADDRESS,
                options.listens());
        ask("POST", Wire.GANGS, body, POLL_TIMEOUT_MS, (status, m) -> {
            if (status == 200) {
                List<String> hosts = m.get("hosts") == null
                        ? List.of()
                        : Fields.list(m, "hosts").stream().map(String::valueOf).toList();
                act(worker.gangSaid(EventLoop.nowMs(), s.key(), Fields.text(m, "say"), hosts));
            }
        });
    }

    private void request(long exchange, String method, String target, byte[] body) {
        try {
            if (target.startsWith("/logs/")) {
                httpServer.answer(exchange, 200, MessagePackCodec.encode(log(RequestTarget.parse(target))), 0);
            } else {
                act(worker.direct(
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

    private Map<String, Object> log(RequestTarget t) throws IOException, RequestTarget.InvalidTargetException {
        Action.Key key = Order.key(t.path().substring("/logs/".length()), t.count("try", 0));
        return t.parameters().containsKey("try")
                ? logs.read(key, t.count("from", 0))
                : Map.of("logs", logs.list(key.job(), key.index()));
    }
}
