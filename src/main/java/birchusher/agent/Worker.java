package birchusher.agent;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One host's worker by the published protocol, as a pure machine: time is an input, processes and messages are the edge's.
 *
 * <p>Two leases hold its tasks. One is the protocol's: the last answered report. The other is the pool's: the last answered
 * question which machine this host is, as a pool that hears nothing for that long gives the machine up. When either ends, every
 * process is killed, and nothing is reported before all of them are gone.
 *
 * <pre>
 * stage      from                                     to
 * fetching   a start                                  waiting (a gang's), running; exited: no_such, full, error, halted
 * waiting    its description is there                 running: all mates wait too; exited: incomplete, halted
 * running    its process was started                  flushing; exited: done, error, mates_gone, halted
 * flushing   a stop with time enough to save          exited: halted
 * exited     nothing of its process is left           gone: a reap
 * </pre>
 */
final class Worker {
    private static final Logger LOG = LoggerFactory.getLogger(Worker.class);
    /** By the exit code a program says "saved, not finished": EX_TEMPFAIL of sysexits.h. */
    static final int SAVED = 75;
    /** Tasks are killed this long before their lease ends, so that they are gone when it does. */
    static final long KILL_MS = 1_500;

    private static final long SOON_MS = 500;
    private static final long NEXT_NODE_MS = 1_000;
    private static final long SAY_MS = 1_000;
    private static final long FETCH_AGAIN_MS = 4_000;
    /** A task that does not save gets this long after SIGTERM, if its stop grants as much. */
    private static final long END_MS = 2_000;

    private static final int MAX_TASKS = 1_000;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class Task {
        final Action.Key key;
        String stage = "fetching";
        String cause;
        boolean kept;
        Description job;
        /** Why it is being ended, null if it is not. */
        String ending;

        long killAt = NEVER;
        long fetchAt;
        long sayAt;
        long waitUntil = NEVER;
        /** A gang's task whose process has ended well waits for the others. */
        boolean over;

        Task(Action.Key key) {
            this.key = key;
        }

        boolean exited() {
            return stage.equals("exited");
        }
    }

    private final String address;
    private final SplittableRandom random;
    private final Map<Action.Key, Task> tasks = new LinkedHashMap<>();
    private List<Action> out = new ArrayList<>();
    private Assignment now;
    private Assignment next;
    /** The machine this host runs as, null while it is none. */
    private String machine;

    private String last;
    private boolean clearing;
    private long session;
    private long seq;
    private long token;
    private long leaseFrom;
    private long poolFrom;
    private int node;
    private long reportId;
    private boolean reporting;
    private long sentAt;
    private long sentSession;
    private long nextReport;
    private long lastReport = -SOON_MS;

    /** @param address where controllers reach this worker */
    Worker(String address, SplittableRandom random) {
        this.address = address;
        this.random = random;
    }

    // ---- which machine this host is

    /** The machine that this host runs as, or still ends; null if none. */
    String runs() {
        return machine;
    }

    /** The pool has answered what was asked at {@code asked}. */
    List<Action> assigned(long at, long asked, Assignment a) {
        poolFrom = Math.max(poolFrom, asked);
        next = a;
        if (now == null || !clearing && Objects.equals(machine, a.machine())) {
            now = a;
        }
        become(at);
        lease(at);
        return taken();
    }

    private void become(long at) {
        if (clearing || next == null) {
            return;
        }
        if (machine != null && !machine.equals(next.machine())) {
            LOG.info("no longer {}", machine);
            clear();
        } else if (machine == null && next.machine() != null) {
            now = next;
            machine = now.machine();
            LOG.info("running as {}, {} in {}", machine, now.type(), now.zone());
            // The same machine again, after the pool was not heard for a lease: its sessions go on, they never begin
            // anew.
            session = machine.equals(last) ? session + 1 : 1;
            token = machine.equals(last) ? token : 0;
            last = machine;
            tasks.clear();
            leaseFrom = at;
            nextReport = at;
            reporting = false;
            reportId++;
        }
    }

    private void clear() {
        clearing = true;
        out.add(new Action.KillAll());
    }

    /** Nothing of any task is left. */
    List<Action> cleared(long at) {
        if (!clearing) {
            return taken();
        }
        clearing = false;
        tasks.values().forEach(t -> out.add(new Action.Forget(t.key)));
        tasks.clear();
        if (next == null || !machine.equals(next.machine())) {
            machine = null;
        } else {
            session++;
            leaseFrom = at;
            nextReport = at;
        }
        become(at);
        return taken();
    }

    private long leaseEnd() {
        return Math.min(leaseFrom, poolFrom) + now.leaseMs() - KILL_MS;
    }

    private void lease(long at) {
        if (machine != null && !clearing) {
            out.add(new Action.Lease(Math.max(0, leaseEnd() - at)));
        }
    }

    List<Action> tick(long at) {
        if (machine == null || clearing) {
            return taken();
        }
        if (at > leaseEnd()) {
            LOG.info("lease of {} is over: {} tasks end", machine, tasks.size());
            if (poolFrom + now.leaseMs() - KILL_MS < at) {
                // The pool may have given this machine up: it is asked before anything is run again.
                next = null;
            }
            clear();
            return taken();
        }
        for (Task t : List.copyOf(tasks.values())) {
            tick(at, t);
        }
        if (!reporting && at >= nextReport) {
            report(at);
        }
        return taken();
    }

    private void tick(long at, Task t) {
        if (t.exited()) {
            return;
        }
        if (t.stage.equals("fetching") && at >= t.fetchAt) {
            // One description serves all tasks of a job, however many start with one answer.
            boolean asked = tasks.values().stream()
                    .anyMatch(x -> x.stage.equals("fetching")
                            && x.fetchAt > at
                            && x.key.job().equals(t.key.job()));
            t.fetchAt = at + FETCH_AGAIN_MS;
            if (!asked) {
                out.add(new Action.Fetch(t.key.job()));
            }
        }
        if (t.stage.equals("waiting") && at >= t.waitUntil) {
            exit(at, t, "incomplete");
            return;
        }
        if (mated(t) && t.ending == null && at >= t.sayAt && !t.stage.equals("fetching")) {
            t.sayAt = at + SAY_MS;
            say(t, t.over ? "ended" : t.stage.equals("waiting") ? "waiting" : "running");
        }
        if (at >= t.killAt) {
            t.killAt = NEVER;
            out.add(new Action.Kill(t.key));
        }
    }

    private static boolean mated(Task t) {
        return t.job != null && t.job.gang() && t.job.tasks() > 1;
    }

    private void say(Task t, String phase) {
        out.add(new Action.Say(t.key, t.job.tasks(), phase));
    }

    // ---- reports

    private Map<String, Object> body() {
        List<Object> pieces = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(Wire.TASK, t.key.piece());
            m.put(Wire.ATTEMPT, t.key.attempt());
            m.put(Wire.STATE, t.stage);
            if (t.cause != null) {
                m.put(Wire.EXIT_REASON, t.cause);
                if (t.kept) {
                    m.put(Wire.CHECKPOINT_SAVED, true);
                }
            }
            pieces.add(m);
        }
        Map<String, Object> r = new LinkedHashMap<>();
        r.put(Wire.MACHINE, machine);
        r.put(Wire.ADDRESS, address);
        r.put(Wire.TYPE, now.type());
        r.put(Wire.ZONE, now.zone());
        r.put(Wire.SPOT, false);
        r.put(Wire.SESSION, session);
        r.put(Wire.SEQUENCE, ++seq);
        r.put(Wire.FENCING_TOKEN, token);
        r.put(Wire.RECLAIM_NOTICE_S, null);
        r.put("pieces", pieces);
        return r;
    }

    private void report(long at) {
        if (now.controllers().isEmpty()) {
            nextReport = at + NEXT_NODE_MS;
            return;
        }
        reporting = true;
        sentAt = at;
        sentSession = session;
        lastReport = at;
        nextReport = at + Math.round(now.reportMs() * (0.75 + 0.5 * random.nextDouble()));
        out.add(new Action.Report(
                ++reportId,
                now.controllers().get(node % now.controllers().size()).address(),
                body()));
    }

    private void changed(long at) {
        nextReport = Math.min(nextReport, Math.max(at, lastReport + SOON_MS));
    }

    /** The answer to a report; status 0: none came. */
    List<Action> answered(long at, long id, int status, Map<String, Object> m) {
        if (id != reportId || machine == null) {
            return taken();
        }
        reporting = false;
        if (clearing || sentSession != session) {
            return taken();
        }
        try {
            if (status == 200) {
                obey(at, m);
            } else {
                elsewhere(at, status == 421 ? Fields.textOrNull(m, Wire.REPORT_TO) : null);
            }
        } catch (InvalidInputException e) {
            LOG.error("answer to a report not as agreed: {}", e.getMessage());
        }
        return taken();
    }

    private void obey(long at, Map<String, Object> m) {
        if (m.get(Wire.FENCING_TOKEN) == null || Fields.count(m, Wire.FENCING_TOKEN) < token) {
            return;
        }
        List<Order> orders = Order.read(m);
        token(at, Fields.count(m, Wire.FENCING_TOKEN));
        leaseFrom = sentAt;
        lease(at);
        orders.forEach(o -> execute(at, o));
    }

    private void token(long at, long t) {
        if (t > token) {
            token = t;
            changed(at);
        }
    }

    private void elsewhere(long at, String name) {
        for (int i = 0; i < now.controllers().size(); i++) {
            if (now.controllers().get(i).name().equals(name)
                    && i != node % now.controllers().size()) {
                node = i;
                nextReport = at + random.nextInt((int) SOON_MS);
                return;
            }
        }
        node = (node + 1) % Math.max(1, now.controllers().size());
        nextReport = at + NEXT_NODE_MS;
    }

    // ---- direct commands

    List<Action> direct(long at, long exchange, String method, String path, Object body) {
        if (machine == null || clearing) {
            out.add(new Action.Answer(exchange, 503, Map.of("error", "no machine at present"), 1));
        } else if (path.equals("/show") && method.equals("GET")) {
            out.add(new Action.Answer(exchange, 200, body(), 0));
        } else if (path.equals(Wire.WORKER_COMMANDS) && method.equals("POST")) {
            Map<String, Object> m = Fields.map(body, "body");
            long t = Fields.count(m, Wire.FENCING_TOKEN);
            long s = Fields.count(m, Wire.SESSION);
            List<Order> orders = Order.read(m);
            boolean entitled = t >= token && s == session;
            if (entitled) {
                token(at, t);
                orders.forEach(o -> execute(at, o));
            }
            out.add(new Action.Answer(exchange, entitled ? 200 : 409, body(), 0));
        } else {
            out.add(new Action.Answer(exchange, 404, Map.of("error", "no such path"), 0));
        }
        return taken();
    }

    private void execute(long at, Order o) {
        Task t = tasks.get(o.key());
        switch (o.verb()) {
            case START -> {
                if (t == null) {
                    start(at, o.key());
                }
            }
            case STOP -> {
                if (t != null && !t.exited()) {
                    stop(at, t, o.graceMs());
                }
            }
            case REAP -> {
                if (t != null && t.exited()) {
                    tasks.remove(o.key());
                    out.add(new Action.Forget(o.key()));
                    changed(at);
                }
            }
        }
    }

    private void start(long at, Action.Key key) {
        Task t = new Task(key);
        boolean other = tasks.values().stream()
                .anyMatch(x -> !x.exited() && x.key.piece().equals(key.piece()));
        if (!other && tasks.size() >= MAX_TASKS) {
            exit(at, t, "full");
        } else if (other) {
            exit(at, t, "in_use");
        }
        tasks.put(key, t);
        changed(at);
        if (!t.exited()) {
            tick(at, t);
        }
    }

    private void stop(long at, Task t, long graceMs) {
        changed(at);
        if (t.stage.equals("fetching") || t.stage.equals("waiting") || t.over) {
            exit(at, t, "halted");
        } else if (t.stage.equals("running") && t.ending == null && t.job.resumes() && graceMs >= t.job.saveMs()) {
            t.stage = "flushing";
            t.ending = "halted";
            t.killAt = at + graceMs;
            out.add(new Action.Signal(t.key, t.job.saveSignal()));
        } else if (t.stage.equals("running") && t.ending == null && graceMs > 0) {
            t.ending = "halted";
            t.killAt = at + Math.min(graceMs, END_MS);
            out.add(new Action.Signal(t.key, "TERM"));
        } else {
            end(t, "halted");
        }
    }

    /** Ends a task that has a process; it exits once nothing of that is left. */
    private void end(Task t, String cause) {
        t.ending = t.ending == null ? cause : t.ending;
        t.killAt = NEVER;
        out.add(new Action.Kill(t.key));
    }

    private void exit(long at, Task t, String cause) {
        if (mated(t) && !cause.equals("done")) {
            say(t, "leaving");
        }
        t.stage = "exited";
        t.cause = cause;
        changed(at);
    }

    // ---- what becomes of tasks

    /** A description has come; null if there is no such job. An answer that did not come is asked for again. */
    List<Action> described(long at, String id, Description job) {
        for (Task t : List.copyOf(tasks.values())) {
            if (!t.stage.equals("fetching") || !t.key.job().equals(id) || clearing) {
                continue;
            }
            if (job == null || t.key.index() >= job.tasks()) {
                exit(at, t, "no_such");
                continue;
            }
            t.job = job;
            if (!fits(t)) {
                exit(at, t, "full");
            } else if (job.command().isEmpty()) {
                LOG.error("no program was uploaded for {}", id);
                exit(at, t, "error");
            } else if (mated(t)) {
                t.stage = "waiting";
                t.waitUntil = at + now.gangWaitMs();
                changed(at);
                tick(at, t);
            } else {
                run(at, t, List.of());
            }
        }
        return taken();
    }

    private boolean fits(Task t) {
        double cpus = 1e-6;
        double gpus = 1e-6;
        double mem = 1e-6;
        for (Task x : tasks.values()) {
            if (x != t && !x.exited() && x.job != null) {
                cpus += x.job.cpus();
                gpus += x.job.gpus();
                mem += x.job.memGb();
            }
        }
        return cpus + t.job.cpus() <= now.cpus() + 2e-6
                && gpus + t.job.gpus() <= now.gpus() + 2e-6
                && mem + t.job.memGb() <= now.memGb() + 2e-6;
    }

    private void run(long at, Task t, List<String> hosts) {
        t.stage = "running";
        changed(at);
        out.add(new Action.Run(t.key, t.job, hosts));
    }

    /** What the gang's meeting point says. */
    List<Action> gangSaid(long at, Action.Key key, String say, List<String> hosts) {
        Task t = tasks.get(key);
        if (t == null || t.exited() || t.ending != null || clearing) {
            return taken();
        }
        if (say.equals("go") && t.stage.equals("waiting")) {
            run(at, t, hosts);
        } else if (say.equals("all") && t.over) {
            exit(at, t, "done");
        } else if (say.equals("broken")) {
            if (t.stage.equals("waiting") || t.over) {
                exit(at, t, "mates_gone");
            } else {
                end(t, "mates_gone");
            }
        }
        return taken();
    }

    /** Nothing is left of a task's process, which ended with this code. */
    List<Action> exited(long at, Action.Key key, int code) {
        Task t = tasks.get(key);
        if (t == null || t.exited() || clearing) {
            return taken();
        }
        if (t.ending != null) {
            // Asked to end, many programs exit with 0 although their work is not done: that is never called done.
            t.kept = t.stage.equals("flushing") && code == SAVED;
            exit(at, t, t.ending);
        } else if (code != 0 || t.job.service()) {
            exit(at, t, "error");
        } else if (mated(t)) {
            t.over = true;
            t.sayAt = at;
            tick(at, t);
        } else {
            exit(at, t, "done");
        }
        return taken();
    }

    /** What guards the lease has failed: nothing may go on unguarded. */
    List<Action> unguarded() {
        if (machine != null && !clearing) {
            clear();
        }
        return taken();
    }

    private List<Action> taken() {
        List<Action> o = out;
        out = new ArrayList<>();
        return o;
    }
}
