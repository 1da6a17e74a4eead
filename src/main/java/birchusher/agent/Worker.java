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
 * State machine of the worker on one host, following the published worker protocol. It performs no I/O: the current time
 * is passed in, and messages and process operations are returned as {@link Action}s, which the caller performs. Not
 * thread-safe. All times are milliseconds of a monotonic clock.
 *
 * <p>Tasks run under two leases. The worker lease is renewed by each answered report, and counts from the sending of that
 * report. The pool lease is renewed by each answered poll for this host's assignment, and counts from the sending of that
 * poll, because the pool declares a machine failed if it receives no poll for that long. When either lease ends, all
 * processes are killed, and nothing is reported until all of them are gone.
 *
 * <pre>
 * state      entered when                             next
 * fetching   a start command arrives                  waiting (gangs), running; exited: no_such, in_use, full, error, halted
 * waiting    the job's description has arrived        running: the whole gang waits; exited: incomplete, mates_gone, halted
 * running    its process was started                  flushing; exited: done, error, mates_gone, halted
 * flushing   a stop allows enough time to save        exited: halted
 * exited     nothing of its process is left           removed: a reap command arrives
 * </pre>
 */
final class Worker {
    private static final Logger LOG = LoggerFactory.getLogger(Worker.class);
    /** Exit code of a program that saved a checkpoint without finishing its work: EX_TEMPFAIL of sysexits.h. */
    static final int SAVED_EXIT_CODE = 75;
    /** Tasks are killed this long before their lease ends, so that no process outlives it. */
    static final long KILL_MARGIN_MS = 1_500;

    private static final long MIN_REPORT_GAP_MS = 500;
    private static final long CONTROLLER_RETRY_MS = 1_000;
    private static final long GANG_STATUS_INTERVAL_MS = 1_000;
    private static final long FETCH_RETRY_MS = 4_000;
    /** Time from SIGTERM to SIGKILL for a task that does not save, unless its stop command grants less. */
    private static final long MAX_TERM_GRACE_MS = 2_000;

    private static final int MAX_TASKS = 1_000;
    /** The interval to the next report is the configured one times a random factor, which is at least this. */
    private static final double MIN_INTERVAL_FACTOR = 0.75;
    /** The random factor is at most this much above {@link #MIN_INTERVAL_FACTOR}. */
    private static final double INTERVAL_FACTOR_RANGE = 0.5;
    /** Allowance for rounding errors in sums of resources. */
    private static final double CAPACITY_TOLERANCE = 1e-6;

    private static final long NEVER = Long.MAX_VALUE;

    private static final class Task {
        final Action.AttemptKey key;
        String state = "fetching";
        String cause;
        boolean saved;
        JobDescription description;
        /** Exit reason of a task that is being stopped or killed, otherwise null. */
        String endCause;

        long killAtMs = NEVER;
        long nextFetchMs;
        long nextGangStatusMs;
        long gangWaitEndMs = NEVER;
        /** Its process exited with 0 and the task waits for the others of its gang. */
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
    /** The machine that this host is assigned to, null if none. */
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

    /** @param address host and port at which controllers reach this worker */
    Worker(String address, SplittableRandom random) {
        this.address = address;
        this.random = random;
    }

    // ---- machine assignment and leases

    /** Returns the machine that this host runs as, also while its tasks are still being killed; null if none. */
    String currentMachine() {
        return machine;
    }

    /** Handles the response to the assignment poll that was sent at {@code requestedMs}. */
    List<Action> onAssignment(long nowMs, long requestedMs, Assignment newAssignment) {
        poolLeaseStartMs = Math.max(poolLeaseStartMs, requestedMs);
        latestAssignment = newAssignment;
        if (assignment == null || !killingAll && Objects.equals(machine, newAssignment.machine())) {
            assignment = newAssignment;
        }
        applyAssignment(nowMs);
        extendSupervisorLease(nowMs);
        return drainActions();
    }

    private void applyAssignment(long nowMs) {
        if (killingAll || latestAssignment == null) {
            return;
        }
        if (machine != null && !machine.equals(latestAssignment.machine())) {
            LOG.info("no longer assigned to machine {}: killing its tasks", machine);
            startKillingAll();
        } else if (machine == null && latestAssignment.machine() != null) {
            assignment = latestAssignment;
            machine = assignment.machine();
            LOG.info("running as machine {} of type {} in zone {}", machine, assignment.type(), assignment.zone());
            // The host may get the same machine again after its pool lease expired: session numbers of a machine
            // continue, they never start again.
            session = machine.equals(previousMachine) ? session + 1 : 1;
            fencingToken = machine.equals(previousMachine) ? fencingToken : 0;
            previousMachine = machine;
            tasks.clear();
            leaseStartMs = nowMs;
            nextReportMs = nowMs;
            reportInFlight = false;
            reportId++;
        }
    }

    private void startKillingAll() {
        killingAll = true;
        pendingActions.add(new Action.KillAllTasks());
    }

    /** Called when no process of any task is left after {@link Action.KillAllTasks}. */
    List<Action> onAllKilled(long nowMs) {
        if (!killingAll) {
            return drainActions();
        }
        killingAll = false;
        tasks.values().forEach(task -> pendingActions.add(new Action.DeleteWorkDir(task.key)));
        tasks.clear();
        if (latestAssignment == null || !machine.equals(latestAssignment.machine())) {
            machine = null;
        } else {
            session++;
            leaseStartMs = nowMs;
            nextReportMs = nowMs;
        }
        applyAssignment(nowMs);
        return drainActions();
    }

    private long leaseEndMs() {
        return Math.min(leaseStartMs, poolLeaseStartMs) + assignment.leaseMs() - KILL_MARGIN_MS;
    }

    private void extendSupervisorLease(long nowMs) {
        if (machine != null && !killingAll) {
            pendingActions.add(new Action.ExtendSupervisorLease(Math.max(0, leaseEndMs() - nowMs)));
        }
    }

    /** Handles the end of a lease, advances all tasks and sends a report if one is due; to be called periodically. */
    List<Action> tick(long nowMs) {
        if (machine == null || killingAll) {
            return drainActions();
        }
        if (nowMs > leaseEndMs()) {
            LOG.info("lease of machine {} expired: killing {} tasks", machine, tasks.size());
            if (poolLeaseStartMs + assignment.leaseMs() - KILL_MARGIN_MS < nowMs) {
                // The pool may have declared this machine failed: nothing runs again before its next answer.
                latestAssignment = null;
            }
            startKillingAll();
            return drainActions();
        }
        for (Task task : List.copyOf(tasks.values())) {
            tick(nowMs, task);
        }
        if (!reportInFlight && nowMs >= nextReportMs) {
            sendReport(nowMs);
        }
        return drainActions();
    }

    private void tick(long nowMs, Task task) {
        if (task.hasExited()) {
            return;
        }
        if (task.state.equals("fetching") && nowMs >= task.nextFetchMs) {
            // One request serves all tasks of a job, however many of them one response starts.
            boolean alreadyRequested = tasks.values().stream()
                    .anyMatch(other -> other.state.equals("fetching")
                            && other.nextFetchMs > nowMs
                            && other.key.job().equals(task.key.job()));
            task.nextFetchMs = nowMs + FETCH_RETRY_MS;
            if (!alreadyRequested) {
                pendingActions.add(new Action.FetchDescription(task.key.job()));
            }
        }
        if (task.state.equals("waiting") && nowMs >= task.gangWaitEndMs) {
            recordExit(nowMs, task, "incomplete");
            return;
        }
        if (isMultiTaskGang(task)
                && task.endCause == null
                && nowMs >= task.nextGangStatusMs
                && !task.state.equals("fetching")) {
            task.nextGangStatusMs = nowMs + GANG_STATUS_INTERVAL_MS;
            sendGangStatus(task, task.succeeded ? "ended" : task.state.equals("waiting") ? "waiting" : "running");
        }
        if (nowMs >= task.killAtMs) {
            task.killAtMs = NEVER;
            pendingActions.add(new Action.KillTask(task.key));
        }
    }

    private static boolean isMultiTaskGang(Task task) {
        return task.description != null && task.description.gang() && task.description.taskCount() > 1;
    }

    private void sendGangStatus(Task task, String phase) {
        pendingActions.add(new Action.SendGangStatus(task.key, task.description.taskCount(), phase));
    }

    // ---- reports

    private Map<String, Object> reportBody() {
        List<Object> taskReports = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> taskReport = new LinkedHashMap<>();
            taskReport.put(Wire.TASK, task.key.taskName());
            taskReport.put(Wire.ATTEMPT, task.key.attempt());
            taskReport.put(Wire.STATE, task.state);
            if (task.cause != null) {
                taskReport.put(Wire.EXIT_REASON, task.cause);
                if (task.saved) {
                    taskReport.put(Wire.CHECKPOINT_SAVED, true);
                }
            }
            taskReports.add(taskReport);
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put(Wire.MACHINE, machine);
        report.put(Wire.ADDRESS, address);
        report.put(Wire.TYPE, assignment.type());
        report.put(Wire.ZONE, assignment.zone());
        report.put(Wire.SPOT, false);
        report.put(Wire.SESSION, session);
        report.put(Wire.SEQUENCE, ++reportSequence);
        report.put(Wire.FENCING_TOKEN, fencingToken);
        report.put(Wire.RECLAIM_NOTICE_S, null);
        report.put("pieces", taskReports);
        return report;
    }

    private void sendReport(long nowMs) {
        if (assignment.controllers().isEmpty()) {
            nextReportMs = nowMs + CONTROLLER_RETRY_MS;
            return;
        }
        reportInFlight = true;
        reportSentMs = nowMs;
        reportSession = session;
        lastReportMs = nowMs;
        nextReportMs = nowMs
                + Math.round(
                        assignment.reportMs() * (MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * random.nextDouble()));
        pendingActions.add(new Action.SendReport(
                ++reportId,
                assignment
                        .controllers()
                        .get(controllerIndex % assignment.controllers().size())
                        .address(),
                reportBody()));
    }

    private void scheduleReport(long nowMs) {
        nextReportMs = Math.min(nextReportMs, Math.max(nowMs, lastReportMs + MIN_REPORT_GAP_MS));
    }

    /**
     * Handles the response to a report; status 0 means that none arrived. Only the latest report's response counts, and
     * only if no new session has begun since that report.
     */
    List<Action> onReportResponse(long nowMs, long requestId, int status, Map<String, Object> body) {
        if (requestId != reportId || machine == null) {
            return drainActions();
        }
        reportInFlight = false;
        if (killingAll || reportSession != session) {
            return drainActions();
        }
        try {
            if (status == 200) {
                applyResponse(nowMs, body);
            } else {
                switchController(nowMs, status == 421 ? Fields.textOrNull(body, Wire.REPORT_TO) : null);
            }
        } catch (InvalidInputException e) {
            LOG.error("invalid response to a report: {}", e.getMessage());
        }
        return drainActions();
    }

    private void applyResponse(long nowMs, Map<String, Object> body) {
        if (body.get(Wire.FENCING_TOKEN) == null || Fields.count(body, Wire.FENCING_TOKEN) < fencingToken) {
            return;
        }
        List<Command> commands = Command.read(body);
        raiseFencingToken(nowMs, Fields.count(body, Wire.FENCING_TOKEN));
        leaseStartMs = reportSentMs;
        extendSupervisorLease(nowMs);
        commands.forEach(command -> execute(nowMs, command));
    }

    private void raiseFencingToken(long nowMs, long newToken) {
        if (newToken > fencingToken) {
            fencingToken = newToken;
            scheduleReport(nowMs);
        }
    }

    private void switchController(long nowMs, String controllerName) {
        for (int i = 0; i < assignment.controllers().size(); i++) {
            if (assignment.controllers().get(i).name().equals(controllerName)
                    && i != controllerIndex % assignment.controllers().size()) {
                controllerIndex = i;
                nextReportMs = nowMs + random.nextInt((int) MIN_REPORT_GAP_MS);
                return;
            }
        }
        controllerIndex =
                (controllerIndex + 1) % Math.max(1, assignment.controllers().size());
        nextReportMs = nowMs + CONTROLLER_RETRY_MS;
    }

    // ---- requests by controllers

    /**
     * Handles a request to this worker: for a report, or to execute commands under a fencing token and a session. Commands that name another
     * machine are rejected: a delayed one may be for a machine that this host ran as before, at the same address.
     */
    List<Action> onDirectRequest(long nowMs, long exchange, String method, String path, Object body) {
        if (machine == null || killingAll) {
            pendingActions.add(new Action.SendResponse(
                    exchange, 503, Map.of("error", "host is not assigned to a machine or is ending its tasks"), 1));
        } else if (path.equals("/show") && method.equals("GET")) {
            pendingActions.add(new Action.SendResponse(exchange, 200, reportBody(), 0));
        } else if (path.equals(Wire.WORKER_COMMANDS) && method.equals("POST")) {
            Map<String, Object> fields = Fields.map(body, "body");
            long token = Fields.count(fields, Wire.FENCING_TOKEN);
            long commandSession = Fields.count(fields, Wire.SESSION);
            List<Command> commands = Command.read(fields);
            String addressee = Fields.textOrNull(fields, Wire.MACHINE);
            boolean accepted = token >= fencingToken
                    && commandSession == session
                    && (addressee == null || addressee.equals(machine));
            if (accepted) {
                raiseFencingToken(nowMs, token);
                commands.forEach(command -> execute(nowMs, command));
            }
            pendingActions.add(new Action.SendResponse(exchange, accepted ? 200 : 409, reportBody(), 0));
        } else {
            pendingActions.add(new Action.SendResponse(exchange, 404, Map.of("error", "no such path"), 0));
        }
        return drainActions();
    }

    private void execute(long nowMs, Command command) {
        Task task = tasks.get(command.attemptKey());
        switch (command.operation()) {
            case START -> {
                if (task == null) {
                    startTask(nowMs, command.attemptKey());
                }
            }
            case STOP -> {
                if (task != null && !task.hasExited()) {
                    stopTask(nowMs, task, command.graceMs());
                }
            }
            case REAP -> {
                if (task != null && task.hasExited()) {
                    tasks.remove(command.attemptKey());
                    pendingActions.add(new Action.DeleteWorkDir(command.attemptKey()));
                    scheduleReport(nowMs);
                }
            }
        }
    }

    private void startTask(long nowMs, Action.AttemptKey key) {
        Task task = new Task(key);
        boolean otherAttemptActive = tasks.values().stream()
                .anyMatch(active -> !active.hasExited() && active.key.taskName().equals(key.taskName()));
        if (!otherAttemptActive && tasks.size() >= MAX_TASKS) {
            recordExit(nowMs, task, "full");
        } else if (otherAttemptActive) {
            recordExit(nowMs, task, "in_use");
        }
        tasks.put(key, task);
        scheduleReport(nowMs);
        if (!task.hasExited()) {
            tick(nowMs, task);
        }
    }

    private void stopTask(long nowMs, Task task, long graceMs) {
        scheduleReport(nowMs);
        if (task.state.equals("fetching") || task.state.equals("waiting") || task.succeeded) {
            recordExit(nowMs, task, "halted");
        } else if (task.state.equals("running")
                && task.endCause == null
                && task.description.usesCheckpoints()
                && graceMs >= task.description.saveDurationMs()) {
            task.state = "flushing";
            task.endCause = "halted";
            task.killAtMs = nowMs + graceMs;
            pendingActions.add(new Action.SendSignal(task.key, task.description.saveSignal()));
        } else if (task.state.equals("running") && task.endCause == null && graceMs > 0) {
            task.endCause = "halted";
            task.killAtMs = nowMs + Math.min(graceMs, MAX_TERM_GRACE_MS);
            pendingActions.add(new Action.SendSignal(task.key, "TERM"));
        } else {
            killTask(task, "halted");
        }
    }

    /** Kills a task that has a process; the task exits once nothing of that process is left. */
    private void killTask(Task task, String cause) {
        task.endCause = task.endCause == null ? cause : task.endCause;
        task.killAtMs = NEVER;
        pendingActions.add(new Action.KillTask(task.key));
    }

    private void recordExit(long nowMs, Task task, String cause) {
        if (isMultiTaskGang(task) && !cause.equals("done")) {
            sendGangStatus(task, "leaving");
        }
        task.state = "exited";
        task.cause = cause;
        scheduleReport(nowMs);
    }

    // ---- task events

    /** Handles a job's description, null if there is no such job. {@link #tick} repeats requests that got no answer. */
    List<Action> onDescription(long nowMs, String jobId, JobDescription description) {
        for (Task task : List.copyOf(tasks.values())) {
            if (!task.state.equals("fetching") || !task.key.job().equals(jobId) || killingAll) {
                continue;
            }
            if (description == null || task.key.index() >= description.taskCount()) {
                recordExit(nowMs, task, "no_such");
                continue;
            }
            task.description = description;
            if (!fitsCapacity(task)) {
                recordExit(nowMs, task, "full");
            } else if (description.command().isEmpty()) {
                LOG.error("no program was uploaded for job {}", jobId);
                recordExit(nowMs, task, "error");
            } else if (isMultiTaskGang(task)) {
                task.state = "waiting";
                task.gangWaitEndMs = nowMs + assignment.gangWaitMs();
                scheduleReport(nowMs);
                tick(nowMs, task);
            } else {
                runTask(nowMs, task, List.of());
            }
        }
        return drainActions();
    }

    private boolean fitsCapacity(Task task) {
        double cpus = CAPACITY_TOLERANCE;
        double gpus = CAPACITY_TOLERANCE;
        double memoryGb = CAPACITY_TOLERANCE;
        for (Task other : tasks.values()) {
            if (other != task && !other.hasExited() && other.description != null) {
                cpus += other.description.cpus();
                gpus += other.description.gpus();
                memoryGb += other.description.memoryGb();
            }
        }
        return cpus + task.description.cpus() <= assignment.cpus() + 2 * CAPACITY_TOLERANCE
                && gpus + task.description.gpus() <= assignment.gpus() + 2 * CAPACITY_TOLERANCE
                && memoryGb + task.description.memoryGb() <= assignment.memoryGb() + 2 * CAPACITY_TOLERANCE;
    }

    private void runTask(long nowMs, Task task, List<String> hosts) {
        task.state = "running";
        scheduleReport(nowMs);
        pendingActions.add(new Action.StartProcess(task.key, task.description, hosts));
    }

    /** Handles an instruction of the pool's gang coordinator; all but "go", "all" and "broken" have no effect. */
    List<Action> onGangInstruction(long nowMs, Action.AttemptKey key, String instruction, List<String> hosts) {
        Task task = tasks.get(key);
        if (task == null || task.hasExited() || task.endCause != null || killingAll) {
            return drainActions();
        }
        if (instruction.equals("go") && task.state.equals("waiting")) {
            runTask(nowMs, task, hosts);
        } else if (instruction.equals("all") && task.succeeded) {
            recordExit(nowMs, task, "done");
        } else if (instruction.equals("broken")) {
            if (task.state.equals("waiting") || task.succeeded) {
                recordExit(nowMs, task, "mates_gone");
            } else {
                killTask(task, "mates_gone");
            }
        }
        return drainActions();
    }

    /** Called when a task's process has ended with {@code exitCode} and nothing that it started is left. */
    List<Action> onTaskExit(long nowMs, Action.AttemptKey key, int exitCode) {
        Task task = tasks.get(key);
        if (task == null || task.hasExited() || killingAll) {
            return drainActions();
        }
        if (task.endCause != null) {
            // Many programs exit with 0 on request although their work is not done: such an exit is never "done".
            task.saved = task.state.equals("flushing") && exitCode == SAVED_EXIT_CODE;
            recordExit(nowMs, task, task.endCause);
        } else if (exitCode != 0 || task.description.service()) {
            recordExit(nowMs, task, "error");
        } else if (isMultiTaskGang(task)) {
            task.succeeded = true;
            task.nextGangStatusMs = nowMs;
            tick(nowMs, task);
        } else {
            recordExit(nowMs, task, "done");
        }
        return drainActions();
    }

    /** Called when the supervisor process has ended: tasks must not run without a supervisor that enforces their lease. */
    List<Action> onSupervisorExit() {
        if (machine != null && !killingAll) {
            startKillingAll();
        }
        return drainActions();
    }

    private List<Action> drainActions() {
        List<Action> drained = pendingActions;
        pendingActions = new ArrayList<>();
        return drained;
    }
}
