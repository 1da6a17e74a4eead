package birchusher.workers;

import birchusher.core.Effects;
import birchusher.store.Claim;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks safety invariants where they could be violated, by other means than the code that maintains them. A violation is counted
 * ({@code unsafe=}) and logged as an error; where assertions are enabled, as in tests, it throws an {@link AssertionError}. The checks take no
 * decisions.
 */
final class SafetyChecks {
    private static final Logger LOG = LoggerFactory.getLogger(SafetyChecks.class);
    private static final int MAX_TASKS = 50_000;
    private static final int MAX_COMMANDS = 20_000;
    private static final long LOG_INTERVAL_MS = 1_000;

    /** The machines of the shards that this controller owns. */
    interface OwnedMachines {
        /** A machine whose shard is owned and whose worker has shown the present term, or null: nothing is certain about others. */
        Machine ownedAndCurrent(String name);

        /** When the worker of an owned machine has certainly dropped its tasks, or {@link WorkerLease#NO_KNOWN_END}. */
        long leaseEndMs(Machine machine);
    }

    private final Effects effects;
    private final Counters counters;
    private final OwnedMachines machines;
    /** By task: the owned machine that last reported an attempt of it. The least recently used entries are dropped first. */
    private final Map<String, String> lastReportedOn = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_TASKS;
        }
    };

    private record AttemptOnMachine(String machine, long session, String attemptKey) {}

    private record Reap(long term, long seq, long atMs) {}

    /** The reaps sent last. */
    private final Map<AttemptOnMachine, Reap> reaps = boundedMap();
    /** The terms of the direct starts sent last. */
    private final Map<AttemptOnMachine, Long> directStartTerms = boundedMap();

    private final SessionRecords sessionRecords = new SessionRecords();

    private long loggedAtMs = Long.MIN_VALUE / 2;

    /** A map that drops the entry added longest ago when it has more than {@link #MAX_COMMANDS}. */
    private static <V> Map<AttemptOnMachine, V> boundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<AttemptOnMachine, V> eldest) {
                return size() > MAX_COMMANDS;
            }
        };
    }

    SafetyChecks(Effects effects, Counters counters, OwnedMachines machines) {
        this.effects = effects;
        this.counters = counters;
        this.machines = machines;
    }

    /** Notes that an owned machine reported an attempt of a task that has not exited. */
    void recordReported(String task, Machine machine) {
        lastReportedOn.put(task, machine.name);
    }

    /** Notes a report or an answer to a direct command that was applied to its machine. */
    void recordMessage(Machine machine) {
        sessionRecords.onMessage(machine.name, machine.session, effects.now());
    }

    /** Notes that a report of a machine was answered with a renewal of its worker's lease. */
    void recordAnswered(Machine machine) {
        sessionRecords.onAnswered(machine.name);
    }

    /**
     * Checks that no claim of a silent machine is released before the latest possible end of its worker's lease: by {@link WorkerLease}, and
     * within a lease of what {@link SessionRecords} has noted. Returns whether the claim may be released.
     */
    boolean checkReleaseOfSilent(Claim claim, Machine machine) {
        if (effects.now() < machines.leaseEndMs(machine)) {
            reportViolation("release_before_lease_end", claim, machine);
            return false;
        }
        if (sessionRecords.mayHoldLease(machine.name, machine.leaseMs, effects.now())) {
            counters.earlyReleases++;
            reportViolation(
                    "release_within_session_lease",
                    claim.taskKey(),
                    claim.attempt(),
                    machine,
                    machine.workerLease.logFields(effects.now()) + " "
                            + sessionRecords.logFields(machine.name, effects.now()));
            return false;
        }
        return true;
    }

    /** Checks that no task is started while another owned machine may still run an attempt of it. Machines of other owners are not checked. */
    void checkStart(Claim claim, Machine target) {
        String name = lastReportedOn.get(claim.taskKey());
        Machine other = name == null || name.equals(target.name) ? null : machines.ownedAndCurrent(name);
        if (other != null && mayRun(claim.taskKey(), other)) {
            reportViolation("started_while_elsewhere", claim, other);
        }
    }

    /** Notes the reaps and the direct starts among the commands that are sent to a machine under a term. */
    void recordSent(Machine machine, long term, List<WorkerCommand> commands, boolean direct) {
        for (WorkerCommand command : commands) {
            AttemptOnMachine attempt = new AttemptOnMachine(machine.name, machine.session, command.attemptKey());
            if (command.type() == WorkerCommand.Type.REAP) {
                reaps.putIfAbsent(attempt, new Reap(term, machine.lastSeq, effects.now()));
            } else if (direct && command.type() == WorkerCommand.Type.START) {
                directStartTerms.put(attempt, term);
            }
        }
    }

    /**
     * Checks that no attempt is reaped under the term under which it was started directly: a worker that has forgotten the attempt would carry
     * out a copy of that start. Returns the commands without such reaps.
     */
    List<WorkerCommand> withoutUnsafeReaps(Machine machine, long term, List<WorkerCommand> commands) {
        List<WorkerCommand> unsafe = new ArrayList<>();
        for (WorkerCommand command : commands) {
            Long startTerm = command.type() != WorkerCommand.Type.REAP
                    ? null
                    : directStartTerms.get(new AttemptOnMachine(machine.name, machine.session, command.attemptKey()));
            if (startTerm != null && startTerm >= term) {
                unsafe.add(command);
                reportViolation(
                        "reap_under_start_term",
                        command.taskKey(),
                        command.attempt(),
                        machine,
                        "start_term=" + startTerm + " term=" + term);
            }
        }
        if (unsafe.isEmpty()) {
            return commands;
        }
        List<WorkerCommand> allowed = new ArrayList<>(commands);
        allowed.removeAll(unsafe);
        return allowed;
    }

    /** Checks that an attempt whose end a machine had reported was not started again there after it was reaped. */
    void checkNotReaped(ReportedTask reported, Machine machine) {
        AttemptOnMachine attempt = new AttemptOnMachine(machine.name, machine.session, reported.attemptKey());
        Reap reap = reaps.get(attempt);
        if (reap == null || machine.lastSeq <= reap.seq) {
            // The first report after a change of owner may be a delayed duplicate from before the reap.
            return;
        }
        reaps.remove(attempt);
        counters.secondStarts++;
        reportViolation(
                "started_after_reap",
                reported.taskKey(),
                reported.attempt(),
                machine,
                "phase=" + reported.phase() + " seq=" + machine.lastSeq + " reap_seq=" + reap.seq + " reap_term="
                        + reap.term + " reaped_ms=" + (effects.now() - reap.atMs));
    }

    private boolean mayRun(String task, Machine machine) {
        if (machine.deleted || effects.now() >= machines.leaseEndMs(machine)) {
            return false;
        }
        for (ReportedTask reported : machine.reportedTasks.values()) {
            if (!reported.exited() && reported.taskKey().equals(task)) {
                return true;
            }
        }
        return false;
    }

    private void reportViolation(String rule, Claim claim, Machine machine) {
        reportViolation(rule, claim.taskKey(), claim.attempt(), machine, machine.workerLease.logFields(effects.now()));
    }

    private void reportViolation(String rule, String taskKey, long attempt, Machine machine, String details) {
        counters.safetyViolations++;
        long now = effects.now();
        if (now - loggedAtMs >= LOG_INTERVAL_MS) {
            loggedAtMs = now;
            LOG.error(
                    "safety rule broken rule={} task={} attempt={} machine={} session={} lease_left_ms={} {}",
                    rule,
                    taskKey,
                    attempt,
                    machine.name,
                    machine.session,
                    machines.leaseEndMs(machine) - now,
                    details);
        }
        assert false : rule + ": " + taskKey + " attempt " + attempt + ", " + machine.name;
    }
}
