package birchusher.workers;

import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.model.JobSpec;
import birchusher.recovery.ActionCounters;
import birchusher.recovery.Reconciliation;
import birchusher.settings.Settings;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.workers.Machine.AttemptState;
import birchusher.workers.Machine.StopRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which commands an owned machine gets, for the responses to its reports and for {@link DirectCalls}. Not thread-safe: called on the
 * controller's thread.
 */
final class Commands {
    private static final Logger LOG = LoggerFactory.getLogger(Commands.class);
    /** Added to {@link DirectCalls#TIMEOUT_MS} before an unanswered start is fenced. */
    private static final long FENCE_MARGIN_MS = 500;
    /** The longest interval between two reports, in ms per second of the mean: an interval may be a quarter longer than the mean. */
    private static final double MAX_REPORT_INTERVAL_MS_PER_S = 1250;
    /** Added to the longest interval between two reports before a machine counts as not reporting. */
    private static final long REPORT_MARGIN_MS = 1_500;
    /** A task that is still saving this long after the end of its grace period is stopped without one. */
    private static final long OVERDUE_STOP_MARGIN_MS = 4_000;
    /** Added to {@link #RESPONSE_LIFETIME_MS}. */
    private static final long RESPONSE_LIFETIME_MARGIN_MS = 50;

    /**
     * How long a start is held for capacity that other tasks are to leave. It may never become free, because a machine hangs or because owner
     * and job scheduler disagree about the machine; then the start is abandoned.
     */
    private static final long HELD_START_TIMEOUT_MS = 15_000;

    /**
     * How long a worker may still carry out a response. It waits {@link Settings#WORKER_RESPONSE_TIMEOUT_MS} from sending its report; as this is counted
     * from the response, the time between the two is an additional margin.
     */
    private static final long RESPONSE_LIFETIME_MS =
            Math.round(Settings.WORKER_RESPONSE_TIMEOUT_MS * (1 + 2 * Settings.MAX_CLOCK_DRIFT))
                    + RESPONSE_LIFETIME_MARGIN_MS;

    /** Tracks the attempts on the machines. */
    interface AttemptTracker {
        /** Creates the state of an attempt that begins at {@code now}, with its task lease. */
        AttemptState newAttempt(Machine machine, JobSpec spec, long now);
    }

    private final Effects effects;
    private final Settings settings;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final OutcomeRecorder outcomes;
    private final ActionCounters actionCounters;
    private final SafetyChecks checks;
    private final CommandLog commandLog;
    private final KeptExits keptExits;
    private final GangStarts gangStarts;
    private final AttemptTracker tracker;

    Commands(
            Effects effects,
            Settings settings,
            StoreView view,
            StoreClient store,
            Membership membership,
            OutcomeRecorder outcomes,
            ActionCounters actionCounters,
            SafetyChecks checks,
            CommandLog commandLog,
            KeptExits keptExits,
            GangStarts gangStarts,
            AttemptTracker tracker) {
        this.effects = effects;
        this.settings = settings;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.outcomes = outcomes;
        this.actionCounters = actionCounters;
        this.checks = checks;
        this.commandLog = commandLog;
        this.keptExits = keptExits;
        this.gangStarts = gangStarts;
        this.tracker = tracker;
    }

    /** Whether the latest message of a machine is recent enough. */
    boolean isReporting(Machine machine, long now) {
        return now - machine.lastMessageAtMs < reportTimeoutMs();
    }

    /** The longest time in ms until the next report of a worker that reports to this controller arrives. */
    long reportTimeoutMs() {
        return Math.round(settings.reportIntervalS() * MAX_REPORT_INTERVAL_MS_PER_S) + REPORT_MARGIN_MS;
    }

    /**
     * Whether this attempt is not to run any more: its job is over or cancelled, its gang has lost a task, a stop is requested, its machine is
     * to be taken back or is deleted, or its start was held for too long.
     *
     * @param machine the machine of the claim, or null if it is not known
     */
    boolean isUnwanted(Machine machine, Claim claim) {
        return claim.job().state() != Job.State.OPEN
                || hasLostGangTask(claim.job())
                || view.isCancelled(claim.job().spec.id())
                || machine != null
                        && (machine.stopRequests.containsKey(claim.attemptKey())
                                || machine.interruptionAtMs >= 0
                                || machine.deleted
                                || effects.now() - machine.heldStarts.getOrDefault(claim.attemptKey(), effects.now())
                                        > HELD_START_TIMEOUT_MS);
    }

    /** A gang attempt that has lost a task can't go on; all of its claims are made at once, so a missing claim means a lost task. */
    private static boolean hasLostGangTask(Job job) {
        return job.spec.isGang() && job.claimCount() < job.spec.tasks() && !job.allDone();
    }

    /**
     * The commands to send to a machine. Notes the starts among them as sent.
     *
     * @param direct whether they are sent directly; else with the response to a report
     */
    List<WorkerCommand> commandsFor(Machine machine, boolean direct) {
        List<WorkerCommand> commands = decide(machine, direct);
        long term = membership.term(machine.shard);
        List<WorkerCommand> allowed = checks.withoutUnsafeReaps(machine, term, commands);
        commandLog.logReaps(machine, term, allowed, direct);
        checks.recordSent(machine, term, allowed, direct);
        return allowed;
    }

    private List<WorkerCommand> decide(Machine machine, boolean direct) {
        List<WorkerCommand> commands = new ArrayList<>();
        if (!store.loaded()) {
            return commands;
        }
        if (!membership.viewCoversTakeover(machine.shard)) {
            // A cancellation is final, however stale the view is. Without this, a new owner renewed the leases of
            // cancelled tasks and could not stop them.
            for (ReportedTask reported : machine.reportedTasks.values()) {
                if (!reported.exited()
                        && view.isCancelled(reported.taskKey()
                                .substring(0, reported.taskKey().lastIndexOf('/')))) {
                    commands.add(WorkerCommand.stop(reported, 0));
                }
            }
            return commands;
        }
        long now = effects.now();
        keptExits.raiseTermIfMany(machine);
        int startsLeft = direct ? keptExits.directStartsLeft(machine) : Integer.MAX_VALUE;
        Map<String, Claim> claims = view.claims(machine.name);
        for (ReportedTask reported : machine.reportedTasks.values()) {
            Claim claim = claims.get(reported.taskKey());
            StopRequest stop = machine.stopRequests.get(reported.attemptKey());
            Reconciliation.ClaimState claimState = claim == null || claim.attempt() != reported.attempt()
                    ? Reconciliation.ClaimState.NONE
                    : recordedState(machine, claim);
            if (claimState == Reconciliation.ClaimState.UNWANTED
                    && (stop != null
                            || machine.interruptionAtMs >= 0
                            || claim.job().allDone())
                    && !view.isCancelled(claim.job().spec.id())) {
                // A stop request has its own grace period, and tasks of a job that is done end by themselves.
                // Cancelled tasks get none: their checkpoints are of no use, and their grace period may be longer
                // than a cancellation may take.
                claimState = Reconciliation.ClaimState.CLAIMED;
            }
            switch (Reconciliation.command(
                    claimState, reportedState(reported), ownerKnowledge(machine, reported.attemptKey()))) {
                case REAP -> commands.add(WorkerCommand.reap(reported));
                case FENCE -> fenceUnansweredStart(machine, reported.attemptKey(), now);
                case STOP -> commands.add(WorkerCommand.stop(reported, 0));
                default -> {
                    if (claimState == Reconciliation.ClaimState.CLAIMED && stop != null && !reported.exited()) {
                        addStop(commands, reported, stop, now);
                    }
                }
            }
        }
        Map<String, Boolean> heldGangs = new HashMap<>();
        for (Claim claim : claims.values()) {
            String attemptKey = claim.attemptKey();
            Reconciliation.ClaimState claimState = recordedState(machine, claim);
            if (machine.reportedTasks.containsKey(attemptKey) || claimState == Reconciliation.ClaimState.EARLIER) {
                continue;
            }
            Reconciliation.Command command = Reconciliation.command(
                    claimState, Reconciliation.ReportedState.ABSENT, ownerKnowledge(machine, attemptKey));
            if (command == Reconciliation.Command.FENCE) {
                fenceUnansweredStart(machine, attemptKey, now);
            }
            if (command != Reconciliation.Command.START
                    || startsLeft <= 0
                    || machine.session == machine.expiredSession
                    || direct && machine.directStarts.isUnanswered(attemptKey)
                    || machine.heldStarts.containsKey(attemptKey)
                    || !machine.attempts.containsKey(attemptKey)
                            && heldGangs.computeIfAbsent(
                                    claim.job().spec.id(), id -> gangStarts.isHeld(machine, claim))) {
                continue;
            }
            if (!machine.attempts.containsKey(attemptKey)) {
                machine.attempts.put(attemptKey, tracker.newAttempt(machine, claim.job().spec, now));
                actionCounters.recordStart(attemptKey, claim.attempt() > 1, now);
                checks.checkStart(claim, machine);
                LOG.info(
                        "task {} attempt {} starts on {} session={} term={} heard_ms={} answered_ms={} claimed_ms={}",
                        claim.taskKey(),
                        claim.attempt(),
                        machine.name,
                        machine.session,
                        membership.term(machine.shard),
                        now - machine.lastMessageAtMs,
                        machine.workerLease.sinceAnsweredMs(now),
                        now - claim.seenAtMs());
            }
            commands.add(WorkerCommand.start(claim));
            startsLeft--;
            if (direct) {
                machine.directStarts.onSent(attemptKey, membership.term(machine.shard), now);
            } else {
                machine.startsInResponses.put(attemptKey, now);
            }
        }
        return commands;
    }

    private static void addStop(List<WorkerCommand> commands, ReportedTask reported, StopRequest stop, long now) {
        boolean overdue = now - stop.requestedAtMs > stop.graceS * 1000 + OVERDUE_STOP_MARGIN_MS;
        if (reported.phase() != ReportedTask.Phase.SAVING) {
            commands.add(WorkerCommand.stop(reported, stop.graceS));
        } else if (overdue) {
            commands.add(WorkerCommand.stop(reported, 0));
        }
    }

    // ---- input of the reconciliation table

    /** The state of a claim on an owned machine according to the store: by its worker session and by whether it is still wanted. */
    Reconciliation.ClaimState recordedState(Machine machine, Claim claim) {
        if (claim.session() != machine.session) {
            return claim.session() < machine.session
                    ? Reconciliation.ClaimState.EARLIER
                    : Reconciliation.ClaimState.LATER;
        }
        return isUnwanted(machine, claim) ? Reconciliation.ClaimState.UNWANTED : Reconciliation.ClaimState.CLAIMED;
    }

    /** The state of a task according to its worker's report; null: the report does not list it. */
    static Reconciliation.ReportedState reportedState(ReportedTask reported) {
        return reported == null
                ? Reconciliation.ReportedState.ABSENT
                : switch (reported.phase()) {
                    case FETCHING -> Reconciliation.ReportedState.FETCHING;
                    case WAITING -> Reconciliation.ReportedState.WAITING;
                    case RUNNING -> Reconciliation.ReportedState.RUNNING;
                    case SAVING -> Reconciliation.ReportedState.SAVING;
                    case EXITED -> reported.exitReason() == ReportedTask.ExitReason.DONE
                            ? Reconciliation.ReportedState.DONE
                            : reported.exitReason() == ReportedTask.ExitReason.ERROR
                                    ? Reconciliation.ReportedState.ERROR
                                    : Reconciliation.ReportedState.ENDED;
                };
    }

    /** What else this owner has recorded of an attempt, besides the claim and the report. */
    Reconciliation.OwnerKnowledge ownerKnowledge(Machine machine, String attemptKey) {
        AttemptState attempt = machine.attempts.get(attemptKey);
        return new Reconciliation.OwnerKnowledge(
                attempt != null && attempt.reported,
                machine.directStarts.isUnanswered(attemptKey) || mayBeInFlight(machine, attemptKey),
                machine.fencingToken >= membership.term(machine.shard),
                outcomes.isPending(attemptKey),
                machine.directStarts.isRepeatable(attemptKey, membership.term(machine.shard)));
    }

    /**
     * Whether a response with a start of this attempt may still be carried out. The answer to a direct command may overtake that response and
     * does not list the attempt. When that was taken as proof that nothing had started, the task was started on another machine and then on this
     * one too.
     */
    private boolean mayBeInFlight(Machine machine, String attemptKey) {
        Long sentAtMs = machine.startsInResponses.get(attemptKey);
        return sentAtMs != null && effects.now() - sentAtMs < RESPONSE_LIFETIME_MS;
    }

    /**
     * Raises the term of the machine's shard if a direct start of this attempt is still unanswered after its time-out. The start may still
     * arrive, but the worker rejects it once it has seen the higher term.
     */
    private void fenceUnansweredStart(Machine machine, String attemptKey, long now) {
        if (machine.directStarts.isOverdue(
                attemptKey, membership.term(machine.shard), DirectCalls.TIMEOUT_MS + FENCE_MARGIN_MS, now)) {
            membership.raiseTerm(machine.shard, "unanswered start " + attemptKey + " on " + machine.name);
        }
    }
}
