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
    static final int SAVED_EXIT_CODE = 75;
    /** Tasks are killed this long before their lease ends, so that they are gone when it does. */
    static final long KILL_MARGIN_MS = 1_500;

    private static final long MIN_REPORT_GAP_MS = 500;
    private static final long CONTROLLER_RETRY_MS = 1_000;
    private static final long GANG_STATUS_INTERVAL_MS = 1_000;
    private static final long FETCH_RETRY_MS = 4_000;
    /** A task that does not save gets this long after SIGTERM, if its stop grants as much. */
    private static final long MAX_TERM_GRACE_MS = 2_000;

    private static final int MAX_TASKS = 1_000;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class Task {
        final Action.AttemptKey key;
        String state = "fetching";
        String cause;
        boolean saved;
        JobDescription description;
        /** Why it is being ended, null if it is not. */
        String endCause;

        long killAtMs = NEVER;
        long nextFetchMs;
        long nextGangStatusMs;
        long gangWaitEndMs = NEVER;
        /** A gang's task whose process has ended well waits for the others. */
        boolean succeeded;

        Task(Action.AttemptKey key) {
            this.key = key;
        }

        boolean hasExited() {
            return state.equals("exited");
        }
    }

    private final String address;
    private final SplittableRandom random;
    private final Map<Action.AttemptKey, Task> tasks = new LinkedHashMap<>();
    private List<Action> pendingActions = new ArrayList<>();
    private Assignment assignment;
    private Assignment latestAssignment;
    /** The machine this host runs as, null while it is none. */
    private String machine;

    private String previousMachine;
    private boolean killingAll;
    private long session;
    private long reportSequence;
    private long fencingToken;
    private long leaseStartMs;
    private long poolLeaseStartMs;
    private int controllerIndex;
    private long reportId;
    private boolean reportInFlight;
    private long reportSentMs;
    private long reportSession;
    private long nextReportMs;
    private long lastReportMs = -MIN_REPORT_GAP_MS;

    /** @param address where controllers reach this worker */
    Worker(String address, SplittableRandom random) {
        this.address = address;
        this.random = random;
    }

    // ---- which machine this host is

    /** The machine that this host runs as, or still ends; null if none. */
    String currentMachine() {
        return machine;
    }

    /** The pool has answered what was asked at {@code asked}. */
    List<Action> onAssignment(long at, long asked, Assignment a) {
        poolLeaseStartMs = Math.max(poolLeaseStartMs, asked);
        latestAssignment = a;
        if (assignment == null || !killingAll && Objects.equals(machine, a.machine())) {
            assignment = a;
        }
        applyAssignment(at);
        extendSupervisorLease(at);
        return drainActions();
    }

    private void applyAssignment(long at) {
        if (killingAll || latestAssignment == null) {
            return;
        }
        if (machine != null && !machine.equals(latestAssignment.machine())) {
            LOG.info("no longer {}", machine);
            startKillingAll();
        } else if (machine == null && latestAssignment.machine() != null) {
            assignment = latestAssignment;
            machine = assignment.machine();
            LOG.info("running as {}, {} in {}", machine, assignment.type(), assignment.zone());
            // The same machine again, after the pool was not heard for a lease: its sessions go on, they never begin
            // anew.
            session = machine.equals(previousMachine) ? session + 1 : 1;
            fencingToken = machine.equals(previousMachine) ? fencingToken : 0;
            previousMachine = machine;
            tasks.clear();
            leaseStartMs = at;
            nextReportMs = at;
            reportInFlight = false;
            reportId++;
        }
    }

    private void startKillingAll() {
        killingAll = true;
        pendingActions.add(new Action.KillAllTasks());
    }

    /** Nothing of any task is left. */
    List<Action> onAllKilled(long at) {
        if (!killingAll) {
            return drainActions();
        }
        killingAll = false;
        tasks.values().forEach(t -> pendingActions.add(new Action.DeleteWorkDir(t.key)));
        tasks.clear();
        if (latestAssignment == null || !machine.equals(latestAssignment.machine())) {
            machine = null;
        } else {
            session++;
            leaseStartMs = at;
            nextReportMs = at;
        }
        applyAssignment(at);
        return drainActions();
    }

    private long leaseEndMs() {
        return Math.min(leaseStartMs, poolLeaseStartMs) + assignment.leaseMs() - KILL_MARGIN_MS;
    }

    private void extendSupervisorLease(long at) {
        if (machine != null && !killingAll) {
            pendingActions.add(new Action.ExtendSupervisorLease(Math.max(0, leaseEndMs() - at)));
        }
    }

    List<Action> tick(long at) {
        if (machine == null || killingAll) {
            return drainActions();
        }
        if (at > leaseEndMs()) {
            LOG.info("lease of {} is over: {} tasks end", machine, tasks.size());
            if (poolLeaseStartMs + assignment.leaseMs() - KILL_MARGIN_MS < at) {
                // The pool may have given this machine up: it is asked before anything is run again.
                latestAssignment = null;
            }
            startKillingAll();
            return drainActions();
        }
        for (Task t : List.copyOf(tasks.values())) {
            tick(at, t);
        }
        if (!reportInFlight && at >= nextReportMs) {
            sendReport(at);
        }
        return drainActions();
    }

    private void tick(long at, Task t) {
        if (t.hasExited()) {
            return;
        }
        if (t.state.equals("fetching") && at >= t.nextFetchMs) {
            // One description serves all tasks of a job, however many start with one answer.
            boolean asked = tasks.values().stream()
                    .anyMatch(x -> x.state.equals("fetching")
                            && x.nextFetchMs > at
                            && x.key.job().equals(t.key.job()));
            t.nextFetchMs = at + FETCH_RETRY_MS;
            if (!asked) {
                pendingActions.add(new Action.FetchDescription(t.key.job()));
            }
        }
        if (t.state.equals("waiting") && at >= t.gangWaitEndMs) {
            recordExit(at, t, "incomplete");
            return;
        }
        if (isMultiTaskGang(t) && t.endCause == null && at >= t.nextGangStatusMs && !t.state.equals("fetching")) {
            t.nextGangStatusMs = at + GANG_STATUS_INTERVAL_MS;
            sendGangStatus(t, t.succeeded ? "ended" : t.state.equals("waiting") ? "waiting" : "running");
        }
        if (at >= t.killAtMs) {
            t.killAtMs = NEVER;
            pendingActions.add(new Action.KillTask(t.key));
        }
    }

    private static boolean isMultiTaskGang(Task t) {
        return t.description != null && t.description.gang() && t.description.taskCount() > 1;
    }

    private void sendGangStatus(Task t, String phase) {
        pendingActions.add(new Action.SendGangStatus(t.key, t.description.taskCount(), phase));
    }

    // ---- reports

    private Map<String, Object> reportBody() {
        List<Object> pieces = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(Wire.TASK, t.key.taskName());
            m.put(Wire.ATTEMPT, t.key.attempt());
            m.put(Wire.STATE, t.state);
            if (t.cause != null) {
                m.put(Wire.EXIT_REASON, t.cause);
                if (t.saved) {
                    m.put(Wire.CHECKPOINT_SAVED, true);
                }
            }
            pieces.add(m);
        }
        Map<String, Object> r = new LinkedHashMap<>();
        r.put(Wire.MACHINE, machine);
        r.put(Wire.ADDRESS, address);
        r.put(Wire.TYPE, assignment.type());
        r.put(Wire.ZONE, assignment.zone());
        r.put(Wire.SPOT, false);
        r.put(Wire.SESSION, session);
        r.put(Wire.SEQUENCE, ++reportSequence);
        r.put(Wire.FENCING_TOKEN, fencingToken);
        r.put(Wire.RECLAIM_NOTICE_S, null);
        r.put("pieces", pieces);
        return r;
    }

    private void sendReport(long at) {
        if (assignment.controllers().isEmpty()) {
            nextReportMs = at + CONTROLLER_RETRY_MS;
            return;
        }
        reportInFlight = true;
        reportSentMs = at;
        reportSession = session;
        lastReportMs = at;
        nextReportMs = at + Math.round(assignment.reportMs() * (0.75 + 0.5 * random.nextDouble()));
        pendingActions.add(new Action.SendReport(
                ++reportId,
                assignment
                        .controllers()
                        .get(controllerIndex % assignment.controllers().size())
                        .address(),
                reportBody()));
    }

    private void scheduleReport(long at) {
        nextReportMs = Math.min(nextReportMs, Math.max(at, lastReportMs + MIN_REPORT_GAP_MS));
    }

    /** The answer to a report; status 0: none came. */
    List<Action> onReportResponse(long at, long id, int status, Map<String, Object> m) {
        if (id != reportId || machine == null) {
            return drainActions();
        }
        reportInFlight = false;
        if (killingAll || reportSession != session) {
            return drainActions();
        }
        try {
            if (status == 200) {
                applyResponse(at, m);
            } else {
                switchController(at, status == 421 ? Fields.textOrNull(m, Wire.REPORT_TO) : null);
            }
        } catch (InvalidInputException e) {
            LOG.error("answer to a report not as agreed: {}", e.getMessage());
        }
        return drainActions();
    }

    private void applyResponse(long at, Map<String, Object> m) {
        if (m.get(Wire.FENCING_TOKEN) == null || Fields.count(m, Wire.FENCING_TOKEN) < fencingToken) {
            return;
        }
        List<Command> orders = Command.read(m);
        fencingToken(at, Fields.count(m, Wire.FENCING_TOKEN));
        leaseStartMs = reportSentMs;
        extendSupervisorLease(at);
        orders.forEach(o -> execute(at, o));
    }

    private void fencingToken(long at, long t) {
        if (t > fencingToken) {
            fencingToken = t;
            scheduleReport(at);
        }
    }

    private void switchController(long at, String name) {
        for (int i = 0; i < assignment.controllers().size(); i++) {
            if (assignment.controllers().get(i).name().equals(name)
                    && i != controllerIndex % assignment.controllers().size()) {
                controllerIndex = i;
                nextReportMs = at + random.nextInt((int) MIN_REPORT_GAP_MS);
                return;
            }
        }
        controllerIndex =
                (controllerIndex + 1) % Math.max(1, assignment.controllers().size());
        nextReportMs = at + CONTROLLER_RETRY_MS;
    }

    // ---- direct commands

    List<Action> onDirectRequest(long at, long exchange, String method, String path, Object body) {
        if (machine == null || killingAll) {
            pendingActions.add(new Action.SendResponse(exchange, 503, Map.of("error", "no machine at present"), 1));
        } else if (path.equals("/show") && method.equals("GET")) {
            pendingActions.add(new Action.SendResponse(exchange, 200, reportBody(), 0));
        } else if (path.equals(Wire.WORKER_COMMANDS) && method.equals("POST")) {
            Map<String, Object> m = Fields.map(body, "body");
            long t = Fields.count(m, Wire.FENCING_TOKEN);
            long s = Fields.count(m, Wire.SESSION);
            List<Command> orders = Command.read(m);
            boolean entitled = t >= fencingToken && s == session;
            if (entitled) {
                fencingToken(at, t);
                orders.forEach(o -> execute(at, o));
            }
            pendingActions.add(new Action.SendResponse(exchange, entitled ? 200 : 409, reportBody(), 0));
        } else {
            pendingActions.add(new Action.SendResponse(exchange, 404, Map.of("error", "no such path"), 0));
        }
        return drainActions();
    }

    private void execute(long at, Command o) {
        Task t = tasks.get(o.attemptKey());
        switch (o.operation()) {
            case START -> {
                if (t == null) {
                    startTask(at, o.attemptKey());
                }
            }
            case STOP -> {
                if (t != null && !t.hasExited()) {
                    stopTask(at, t, o.graceMs());
                }
            }
            case REAP -> {
                if (t != null && t.hasExited()) {
                    tasks.remove(o.attemptKey());
                    pendingActions.add(new Action.DeleteWorkDir(o.attemptKey()));
                    scheduleReport(at);
                }
            }
        }
    }

    private void startTask(long at, Action.AttemptKey key) {
        Task t = new Task(key);
        boolean other = tasks.values().stream()
                .anyMatch(x -> !x.hasExited() && x.key.taskName().equals(key.taskName()));
        if (!other && tasks.size() >= MAX_TASKS) {
            recordExit(at, t, "full");
        } else if (other) {
            recordExit(at, t, "in_use");
        }
        tasks.put(key, t);
        scheduleReport(at);
        if (!t.hasExited()) {
            tick(at, t);
        }
    }

    private void stopTask(long at, Task t, long graceMs) {
        scheduleReport(at);
        if (t.state.equals("fetching") || t.state.equals("waiting") || t.succeeded) {
            recordExit(at, t, "halted");
        } else if (t.state.equals("running")
                && t.endCause == null
                && t.description.usesCheckpoints()
                && graceMs >= t.description.saveDurationMs()) {
            t.state = "flushing";
            t.endCause = "halted";
            t.killAtMs = at + graceMs;
            pendingActions.add(new Action.SendSignal(t.key, t.description.saveSignal()));
        } else if (t.state.equals("running") && t.endCause == null && graceMs > 0) {
            t.endCause = "halted";
            t.killAtMs = at + Math.min(graceMs, MAX_TERM_GRACE_MS);
            pendingActions.add(new Action.SendSignal(t.key, "TERM"));
        } else {
            killTask(t, "halted");
        }
    }

    /** Ends a task that has a process; it exits once nothing of that is left. */
    private void killTask(Task t, String cause) {
        t.endCause = t.endCause == null ? cause : t.endCause;
        t.killAtMs = NEVER;
        pendingActions.add(new Action.KillTask(t.key));
    }

    private void recordExit(long at, Task t, String cause) {
        if (isMultiTaskGang(t) && !cause.equals("done")) {
            sendGangStatus(t, "leaving");
        }
        t.state = "exited";
        t.cause = cause;
        scheduleReport(at);
    }

    // ---- what becomes of tasks

    /** A description has come; null if there is no such job. An answer that did not come is asked for again. */
    List<Action> onDescription(long at, String id, JobDescription job) {
        for (Task t : List.copyOf(tasks.values())) {
            if (!t.state.equals("fetching") || !t.key.job().equals(id) || killingAll) {
                continue;
            }
            if (job == null || t.key.index() >= job.taskCount()) {
                recordExit(at, t, "no_such");
                continue;
            }
            t.description = job;
            if (!fitsCapacity(t)) {
                recordExit(at, t, "full");
            } else if (job.command().isEmpty()) {
                LOG.error("no program was uploaded for {}", id);
                recordExit(at, t, "error");
            } else if (isMultiTaskGang(t)) {
                t.state = "waiting";
                t.gangWaitEndMs = at + assignment.gangWaitMs();
                scheduleReport(at);
                tick(at, t);
            } else {
                runTask(at, t, List.of());
            }
        }
        return drainActions();
    }

    private boolean fitsCapacity(Task t) {
        double cpus = 1e-6;
        double gpus = 1e-6;
        double mem = 1e-6;
        for (Task x : tasks.values()) {
            if (x != t && !x.hasExited() && x.description != null) {
                cpus += x.description.cpus();
                gpus += x.description.gpus();
                mem += x.description.memoryGb();
            }
        }
        return cpus + t.description.cpus() <= assignment.cpus() + 2e-6
                && gpus + t.description.gpus() <= assignment.gpus() + 2e-6
                && mem + t.description.memoryGb() <= assignment.memoryGb() + 2e-6;
    }

    private void runTask(long at, Task t, List<String> hosts) {
        t.state = "running";
        scheduleReport(at);
        pendingActions.add(new Action.StartProcess(t.key, t.description, hosts));
    }

    /** What the gang's meeting point says. */
    List<Action> onGangInstruction(long at, Action.AttemptKey key, String say, List<String> hosts) {
        Task t = tasks.get(key);
        if (t == null || t.hasExited() || t.endCause != null || killingAll) {
            return drainActions();
        }
        if (say.equals("go") && t.state.equals("waiting")) {
            runTask(at, t, hosts);
        } else if (say.equals("all") && t.succeeded) {
            recordExit(at, t, "done");
        } else if (say.equals("broken")) {
            if (t.state.equals("waiting") || t.succeeded) {
                recordExit(at, t, "mates_gone");
            } else {
                killTask(t, "mates_gone");
            }
        }
        return drainActions();
    }

    /** Nothing is left of a task's process, which ended with this code. */
    List<Action> onTaskExit(long at, Action.AttemptKey key, int code) {
        Task t = tasks.get(key);
        if (t == null || t.hasExited() || killingAll) {
            return drainActions();
        }
        if (t.endCause != null) {
            // Asked to end, many programs exit with 0 although their work is not done: that is never called done.
            t.saved = t.state.equals("flushing") && code == SAVED_EXIT_CODE;
            recordExit(at, t, t.endCause);
        } else if (code != 0 || t.description.service()) {
            recordExit(at, t, "error");
        } else if (isMultiTaskGang(t)) {
            t.succeeded = true;
            t.nextGangStatusMs = at;
            tick(at, t);
        } else {
            recordExit(at, t, "done");
        }
        return drainActions();
    }

    /** What guards the lease has failed: nothing may go on unguarded. */
    List<Action> onSupervisorExit() {
        if (machine != null && !killingAll) {
            startKillingAll();
        }
        return drainActions();
    }

    private List<Action> drainActions() {
        List<Action> o = pendingActions;
        pendingActions = new ArrayList<>();
        return o;
    }
}
