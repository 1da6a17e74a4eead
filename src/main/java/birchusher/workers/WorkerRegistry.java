package birchusher.workers;

import birchusher.core.Effects;
import birchusher.lease.EstimateBias;
import birchusher.lease.LeaseSettings;
import birchusher.lease.TaskLease;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.recovery.ActionCounters;
import birchusher.recovery.Reconciliation;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.workers.Machine.AttemptState;
import birchusher.workers.Machine.StopRequest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The workers of the shards that this controller owns: handles their reports, sends their commands, and collects the proofs that tasks are
 * gone. A claim is removed from the store only through {@link #releaseClaim}, and each of its callers names the proof.
 *
 * <p>Not thread-safe: everything is called on the controller's thread. All times are milliseconds of the steady clock.
 */
public final class WorkerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);
    /** Ticks come many times a second; a longer gap between two of them counts as a process pause. */
    private static final long PAUSE_THRESHOLD_MS = 2_000;

    private static final int RETRY_AFTER_S = 1;
    /** Interval at which leases, silent machines and commands to repeat are checked. */
    private static final long SWEEP_INTERVAL_MS = 500;
    /** The state of a machine without claims is dropped when it has sent no message for longer than this. */
    private static final long SILENT_STATE_RETENTION_MS = 120_000;
    /** The same for a deleted machine. */
    private static final long DELETED_STATE_RETENTION_MS = 30_000;
    /** After an interruption notice, tasks that should end in time run on while more than this time is left. */
    private static final long MIN_TIME_TO_RUN_ON_MS = 2_500;
    /** Added to the time that writing a checkpoint takes, for the grace period after an interruption notice. */
    private static final double NOTICE_SAVE_MARGIN_S = 1;
    /** The same at the lease cap. */
    private static final double CAP_SAVE_MARGIN_S = 4;
    /** A fetch that takes longer than expected is published as ending after this time. */
    private static final long MIN_FETCH_REMAINING_MS = 1_000;
    /** A task whose lease expired counts for the machine's speed as one that took this many times its expected run time. */
    private static final double EXPIRED_LEASE_SLOWDOWN = 4;
    /** The state of attempts that are no longer needed is dropped when a machine has this many more than its reported tasks. */
    private static final int MAX_UNREPORTED_ATTEMPTS = 8;

    /** Reason of {@link #reserve} for a refusal: the job is excluded from the machine after an error. */
    public static final String FAILED_HERE = "failed here";

    /** Stops gangs; implemented by the job scheduler, as the tasks of a gang may run on machines of several owners. */
    public interface GangStopper {
        void stopGang(Job job, double graceS, String reason);
    }

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final LeaseSettings leaseSettings;
    private final EstimateBias estimateBias;
    private final Counters counters;
    private final GangStopper gangStopper;
    private final OutcomeRecorder outcomes;
    /** Holds the statuses that previous owners published, for a new owner of a machine to start from. */
    private final MachineStatusExchange statusExchange;

    private final MachineCapacity capacity;
    private final Commands commands;
    private final DirectCalls directCalls;
    private final KeptExits keptExits;
    private final ActionCounters actionCounters;
    private final Reachability reachability;
    private final Tombstones tombstones = new Tombstones();
    private final ErrorAttribution errorAttribution = new ErrorAttribution();
    private final OwnerRedirect ownerRedirect;
    private final SafetyChecks safetyChecks;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Machine> changedMachines = new ArrayList<>();
    private final long quarantineMs;
    private final long exclusionMs;
    /**
     * End of the last process pause, -1 before the first tick. A stalled process receives no reports, so missing reports from before this
     * time say nothing about the machines.
     */
    private long lastPauseEndMs = -1;

    private long lastTickMs = Long.MIN_VALUE / 2;
    private long nextSweepMs;
    private long nextLeaseSweepMs;

    public WorkerRegistry(
            Effects effects,
            Settings settings,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            EstimateBias estimateBias,
            Tuning tuning,
            Counters counters,
            OutcomeRecorder outcomes,
            MachineStatusExchange statusExchange,
            ActionCounters actionCounters,
            GangStopper gangStopper,
            Predicate<String> guaranteed) {
        this.effects = effects;
        this.settings = settings;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.estimateBias = estimateBias;
        this.counters = counters;
        this.gangStopper = gangStopper;
        this.outcomes = outcomes;
        this.statusExchange = statusExchange;
        this.actionCounters = actionCounters;
        leaseSettings = LeaseSettings.from(tuning);
        quarantineMs = tuning.durationMs("workers.quarantine-s");
        exclusionMs = tuning.durationMs("workers.exclusion-s");
        capacity = new MachineCapacity(
                effects, catalog, view, outcomes, guaranteed, tuning.durationMs("placement.reserve-s"));
        safetyChecks = new SafetyChecks(effects, counters, new SafetyChecks.OwnedMachines() {
            @Override
            public Machine ownedAndCurrent(String name) {
                Machine machine = machines.get(name);
                return machine != null && membership.owns(machine.shard) && isCurrent(machine) ? machine : null;
            }

            @Override
            public long leaseEndMs(Machine machine) {
                return WorkerRegistry.this.leaseEndMs(machine);
            }
        });
        CommandLog commandLog = new CommandLog(effects, counters);
        keptExits = new KeptExits(effects, membership);
        commands = new Commands(
                effects,
                settings,
                view,
                store,
                membership,
                outcomes,
                actionCounters,
                safetyChecks,
                commandLog,
                keptExits,
                new GangStarts(effects, settings, catalog, statusExchange),
                this::newAttempt);
        directCalls = new DirectCalls(
                effects,
                catalog,
                membership,
                commands,
                commandLog,
                (machine, report, zone) -> acceptReport(machine, report, zone, true));
        reachability = new Reachability(
                commands.reportTimeoutMs(), 1 + settings.peers().size());
        ownerRedirect = new OwnerRedirect(effects, membership, statusExchange);
        view.onMachineChange(this::markChanged);
    }

    private void markChanged(String machineName) {
        Machine machine = machines.get(machineName);
        if (machine != null && !machine.changed) {
            machine.changed = true;
            changedMachines.add(machine);
        }
    }

    // ---- reports

    /**
     * Answers the report of a worker: 200 with commands, 421 if another controller owns the worker's shard, or 503 if this controller can't
     * act for the worker.
     *
     * @param exchange the HTTP exchange to answer
     */
    public void onReport(long exchange, Map<String, Object> body) {
        Report report = Report.read(body);
        int zone = catalog.zones.find(report.zone());
        if (!store.loaded() || !membership.canAct() || zone < 0) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            return;
        }
        int shard = membership.shardOf(report.machine(), zone);
        if (!membership.owns(shard)) {
            ownerRedirect.redirect(exchange, report, shard);
            return;
        }
        long term = membership.term(shard);
        if (report.fencingToken() > term) {
            // Another controller holds a higher term than is known here. The worker would drop a response with a
            // lower token, and would keep reporting to this controller.
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            return;
        }
        if (!machines.containsKey(report.machine()) && !tombstones.admits(report)) {
            // A delayed duplicate, or the report of a deleted machine: its contents must not be used, and no worker
            // waits for the response.
            counters.staleReports++;
            effects.answer(exchange, 200, WorkerLease.responseWithoutRenewal());
            return;
        }
        Machine machine = findOrCreate(report.machine(), shard);
        if (acceptReport(machine, report, zone, false)) {
            answerWithRenewal(exchange, machine, report, term, commands.commandsFor(machine, false));
            if (reachability.needsProbe(machine, term)) {
                directCalls.send(machine);
            }
        } else if (machine.workerLease.isOvertaken(report)) {
            counters.overtakenReports++;
            answerWithRenewal(exchange, machine, report, term, List.of());
        } else {
            counters.staleReports++;
            effects.answer(exchange, 200, WorkerLease.responseWithoutRenewal());
        }
    }

    private void answerWithRenewal(
            long exchange, Machine machine, Report report, long term, List<WorkerCommand> sentCommands) {
        safetyChecks.recordAnswered(machine);
        effects.answer(exchange, 200, machine.workerLease.renewalResponse(report, term, sentCommands));
    }

    private Machine findOrCreate(String name, int shard) {
        return machines.computeIfAbsent(name, machineName -> {
            Machine machine = new Machine(machineName, shard, settings.workerLeaseS());
            MachineStatus status = statusExchange.statusFromOwner(machineName);
            if (status != null) {
                machine.speed = new birchusher.lease.MachineSpeed(status.speed());
                for (int i = status.cachedImages().length - 1; i >= 0; i--) {
                    machine.recordImageUse(status.cachedImages()[i], catalog);
                }
                machine.faulty = status.faulty();
            }
            return machine;
        });
    }

    /**
     * Applies a report if it is newer than the last one of its machine.
     *
     * @param direct whether the report is the answer to a direct command
     * @return whether it was newer
     */
    private boolean acceptReport(Machine machine, Report report, int zone, boolean direct) {
        if (report.session() < machine.session
                || report.session() == machine.session && report.seq() <= machine.lastSeq) {
            return false;
        }
        if (report.session() > machine.session && machine.session > 0) {
            LOG.info(
                    "machine {}: session {} replaces session {} direct={} token={} answered_ms={}",
                    machine.name,
                    report.session(),
                    machine.session,
                    direct,
                    report.fencingToken(),
                    machine.workerLease.sinceAnsweredMs(effects.now()));
            machine.attempts.clear();
            machine.stopRequests.clear();
            machine.directStarts.clear();
            machine.startsInResponses.clear();
        }
        reachability.onMessage(machine, report, membership.term(machine.shard), direct, effects.now());
        boolean newSession = report.session() > machine.session;
        boolean knownBefore = machine.lastMessageAtMs >= 0;
        if (!knownBefore) {
            LOG.info(
                    "first report of machine {}: type {}, zone {}, session {}, {} tasks",
                    machine.name,
                    report.type(),
                    report.zone(),
                    report.session(),
                    report.tasks().size());
        }
        machine.session = report.session();
        machine.lastSeq = report.seq();
        machine.fencingToken = Math.max(machine.fencingToken, report.fencingToken());
        machine.address = report.address();
        machine.zone = zone;
        machine.type = catalog.typeNames.add(report.type());
        machine.spot = report.spot();
        machine.lastMessageAtMs = effects.now();
        machine.workerLease.onMessage(report, membership.term(machine.shard), effects.now());
        safetyChecks.recordMessage(machine);
        machine.directStarts.onTermShown(machine.fencingToken);
        if (report.noticeS() >= 0) {
            noteInterruption(machine, report.noticeS());
        }
        if (newSession) {
            view.claims(machine.name).values().forEach(claim -> rememberImage(machine, claim, knownBefore));
        }
        machine.reportedTasks = report.tasks();
        reconcile(machine);
        return true;
    }

    /** Notes that the cloud takes a machine back {@code noticeS} seconds after its report was sent. */
    private void noteInterruption(Machine machine, double noticeS) {
        long interruptionAtMs = effects.now() + Math.round(noticeS * 1000);
        if (machine.interruptionAtMs < 0) {
            counters.notices++;
            LOG.info("machine {} has an interruption notice: the cloud takes it back in {} s", machine.name, noticeS);
        }
        // The first report that is accepted may be a delayed duplicate; counted from its arrival, the
        // interruption would come later than it does. Hence the minimum.
        machine.interruptionAtMs =
                machine.interruptionAtMs < 0 ? interruptionAtMs : Math.min(machine.interruptionAtMs, interruptionAtMs);
    }

    /**
     * Adds the image of a claim to the machine's known cache. A worker keeps its images when its lease ends, and the claims of what ran there
     * are all that shows them to a new owner. Without this, all images were fetched again after a crash of all controllers, although the
     * machines still had them.
     *
     * @param knownBefore whether this controller received messages of the machine before
     */
    private void rememberImage(Machine machine, Claim claim, boolean knownBefore) {
        ReportedTask reported = machine.reportedTasks.get(claim.attemptKey());
        if (reported == null ? !knownBefore : reported.phase() != ReportedTask.Phase.FETCHING) {
            machine.recordImageUse(claim.job().spec.image(), catalog);
        }
    }

    // ---- reconciliation of reports and claims

    private void reconcile(Machine machine) {
        long now = effects.now();
        boolean busy = false;
        for (Claim claim : List.copyOf(view.claims(machine.name).values())) {
            String attemptKey = claim.attemptKey();
            ReportedTask reported = machine.reportedTasks.get(attemptKey);
            Reconciliation.ClaimState claimState = commands.recordedState(machine, claim);
            Reconciliation.ClaimOutcome claimOutcome = Reconciliation.claimOutcome(
                    claimState, Commands.reportedState(reported), commands.ownerKnowledge(machine, attemptKey));
            busy |= claimState != Reconciliation.ClaimState.EARLIER;
            if (reported == null
                    || claimState == Reconciliation.ClaimState.EARLIER
                    || claimState == Reconciliation.ClaimState.LATER) {
                if (claimOutcome == Reconciliation.ClaimOutcome.LOST) {
                    boolean dropped = claimState == Reconciliation.ClaimState.EARLIER;
                    // A worker that does not receive responses can't start the task again, so the job scheduler must
                    // not wait for this machine.
                    releaseClaim(
                            claim,
                            !dropped
                                    ? OutcomeRecorder.Outcome.LOST
                                    : machine.noResponsesInPreviousSession
                                            ? OutcomeRecorder.Outcome.SILENT
                                            : OutcomeRecorder.Outcome.DROPPED,
                            dropped ? "a later session" : "absent from a newer report");
                } else if (claimOutcome == Reconciliation.ClaimOutcome.NOT_STARTED) {
                    // Never reported, and no start of this or an earlier owner can still reach the worker.
                    releaseClaim(claim, OutcomeRecorder.Outcome.NOT_STARTED, "not started");
                }
                continue;
            }
            AttemptState attempt =
                    machine.attempts.computeIfAbsent(attemptKey, k -> newAttempt(machine, claim.job().spec, now));
            attempt.reported = true;
            if (reported.exited()) {
                onExited(machine, claim, reported, attempt, claimOutcome);
            } else {
                safetyChecks.recordReported(claim.taskKey(), machine);
                updateAttempt(machine, claim, reported, attempt, now);
            }
        }
        dropUnneededState(machine, now);
        for (ReportedTask reported : machine.reportedTasks.values()) {
            if (!reported.exited()) {
                busy = true;
                safetyChecks.checkNotReaped(reported, machine);
            }
        }
        machine.idleSinceMs = busy ? -1 : machine.idleSinceMs < 0 ? now : machine.idleSinceMs;
        capacity.preemptForClaims(machine, this::requestStop);
        if (machine.interruptionAtMs >= 0) {
            drain(machine, now);
        }
    }

    /** Drops what is kept of attempts that are neither listed by the worker nor claimed any more. */
    private void dropUnneededState(Machine machine, long now) {
        // A stop request of a claim is kept even if the attempt is not reported: its start may still be in flight.
        machine.stopRequests.keySet().removeIf(attemptKey -> !isListedOrClaimed(machine, attemptKey));
        machine.startsInResponses
                .values()
                .removeIf(sentAtMs -> now - sentAtMs > Settings.WORKER_RESPONSE_TIMEOUT_MS * 2);
        machine.directStarts.retainAnswered(attemptKey -> isListedOrClaimed(machine, attemptKey));
        if (machine.attempts.size() > MAX_UNREPORTED_ATTEMPTS + machine.reportedTasks.size()) {
            // Drops the state of attempts that are neither reported nor claimed any more.
            machine.attempts.keySet().removeIf(attemptKey -> !isListedOrClaimed(machine, attemptKey));
        }
    }

    private boolean isListedOrClaimed(Machine machine, String attemptKey) {
        return machine.reportedTasks.containsKey(attemptKey) || isClaimed(machine, attemptKey);
    }

    private boolean isClaimed(Machine machine, String attemptKey) {
        Claim claim = view.claims(machine.name).get(attemptKey.substring(0, attemptKey.lastIndexOf('#')));
        return claim != null && claim.attemptKey().equals(attemptKey);
    }

    private AttemptState newAttempt(Machine machine, JobSpec spec, long now) {
        AttemptState attempt = new AttemptState();
        long fetchMs = expectedFetchMs(machine, spec);
        attempt.startedAtMs = now;
        attempt.lease = new TaskLease(leaseSettings, now, fetchMs, leaseSettings.capMs(spec, fetchMs));
        return attempt;
    }

    /** Expected time to fetch a job's image, 0 if the machine has it or its type is unknown. */
    private long expectedFetchMs(Machine machine, JobSpec spec) {
        Catalog.MachineType type = catalog.type(machine.type);
        return type == null || machine.cachedImages.contains(spec.image()) ? 0 : Math.round(type.fetchMs(spec));
    }

    private void updateAttempt(Machine machine, Claim claim, ReportedTask reported, AttemptState attempt, long now) {
        if (reported.phase() == ReportedTask.Phase.FETCHING && attempt.fetchEndMs < 0) {
            attempt.fetchEndMs = now + expectedFetchMs(machine, claim.job().spec);
        }
        boolean running =
                reported.phase() == ReportedTask.Phase.RUNNING || reported.phase() == ReportedTask.Phase.SAVING;
        boolean wasRunning = attempt.lease.runningSinceMs() >= 0;
        TaskLease.Renewal renewal = attempt.lease.renew(now, running);
        if (reported.phase() != ReportedTask.Phase.FETCHING) {
            machine.recordImageUse(claim.job().spec.image(), catalog);
        }
        if (running && !wasRunning) {
            counters.recordStartWait(effects.wallTime() - claim.job().acceptedAtMs);
            LOG.info("task {} attempt {} runs on {}", claim.taskKey(), claim.attempt(), machine.name);
        }
        if (renewal == TaskLease.Renewal.GRANTED) {
            counters.renewed++;
        } else if (renewal == TaskLease.Renewal.AT_CAP && !attempt.countedAtCap) {
            attempt.countedAtCap = true;
            counters.atCap++;
            onCapReached(machine, claim, attempt, now);
        } else if (renewal == TaskLease.Renewal.LAPSED) {
            onLeaseExpired(machine, claim, attempt);
        }
    }

    /** At its lease cap a task is moved only if it can resume from a checkpoint; else it runs on and the machine counts as slower. */
    private void onCapReached(Machine machine, Claim claim, AttemptState attempt, long now) {
        JobSpec spec = claim.job().spec;
        LOG.info("task {} attempt {} on {} has reached its lease cap", claim.taskKey(), claim.attempt(), machine.name);
        machine.speed.observe(
                spec.estimateS() * estimateBias.bias(spec.jobClass()), (now - attempt.lease.runningSinceMs()) / 1000.0);
        if (spec.isCheckpointed()) {
            stopTaskOrGang(claim, spec.checkpointWriteS() + CAP_SAVE_MARGIN_S, "at cap");
        }
    }

    private void onLeaseExpired(Machine machine, Claim claim, AttemptState attempt) {
        if (!attempt.expiryHandled) {
            attempt.expiryHandled = true;
            counters.lapsed++;
            machine.speed.observe(1, EXPIRED_LEASE_SLOWDOWN);
            LOG.info("lease of task {} attempt {} on {} expired", claim.taskKey(), claim.attempt(), machine.name);
            stopTaskOrGang(claim, 0, "lapsed");
        }
    }

    private void stopTaskOrGang(Claim claim, double graceS, String reason) {
        if (claim.job().spec.isGang()) {
            gangStopper.stopGang(claim.job(), graceS, reason);
        } else {
            requestStop(claim, graceS, reason);
        }
    }

    private void onExited(
            Machine machine,
            Claim claim,
            ReportedTask reported,
            AttemptState attempt,
            Reconciliation.ClaimOutcome claimOutcome) {
        JobSpec spec = claim.job().spec;
        long now = effects.now();
        switch (claimOutcome) {
            case DONE -> {
                if (attempt.lease.runningSinceMs() >= 0
                        && claim.attempt() == 1
                        && !attempt.countedAtCap
                        && spec.estimateS() > 0
                        && !outcomes.isPending(reported.attemptKey())) {
                    double tookS = (now - attempt.lease.runningSinceMs()) / 1000.0;
                    estimateBias.observe(spec.jobClass(), spec.estimateS(), tookS);
                    machine.speed.observe(spec.estimateS() * estimateBias.bias(spec.jobClass()), tookS);
                }
                machine.errorsByJob.clear();
                machine.exclusions.clear();
                releaseClaim(claim, OutcomeRecorder.Outcome.DONE, "done");
            }
            case ERROR -> {
                if (!outcomes.isPending(reported.attemptKey())) {
                    onTaskError(machine, claim);
                }
                releaseClaim(claim, OutcomeRecorder.Outcome.ERROR, "error");
            }
            default -> releaseClaim(
                    claim, OutcomeRecorder.Outcome.LOST, reported.exitReason() + (reported.saved() ? ", saved" : ""));
        }
    }

    /** Errors of different jobs on one machine count against the machine, errors of one job on several machines against the job. */
    private void onTaskError(Machine machine, Claim claim) {
        counters.taskErrors++;
        long now = effects.now();
        machine.exclusions.exclude(claim.job().spec.id(), now, now + exclusionMs);
        for (String name : errorAttribution.recordError(claim.job(), machine)) {
            Machine other = machines.get(name);
            if (other != null && other != machine && errorAttribution.countJobsAgainst(other, view::job) == 0) {
                other.quarantineUntilMs = 0;
            }
        }
        if (errorAttribution.countJobsAgainst(machine, view::job) > 0) {
            machine.quarantineUntilMs = now + quarantineMs;
        }
        if (!machine.faulty && machine.faultCheckAtMs < 0 && errorAttribution.isFaulty(machine, view::job)) {
            machine.faultCheckAtMs = now + quarantineMs;
        }
    }

    /**
     * Decides after the quarantine whether the machine is faulty. During the quarantine the same jobs may fail on other machines too.
     * When it was decided at the first error of the second job, machines were returned with all their replicas because of two jobs that failed
     * everywhere.
     */
    private void checkForFault(Machine machine) {
        machine.faultCheckAtMs = -1;
        if (errorAttribution.isFaulty(machine, view::job)) {
            machine.faulty = true;
            counters.condemned++;
            LOG.info("machine {} is faulty: tasks of different jobs failed on it; it will be returned", machine.name);
        }
    }

    /** Removes a claim from the store. The caller has proof that the task is no longer on the machine, and names it for the log. */
    private void releaseClaim(Claim claim, OutcomeRecorder.Outcome outcome, String proof) {
        if (outcomes.recordEnd(claim, outcome)) {
            LOG.info("task {} attempt {} left {}: {}", claim.taskKey(), claim.attempt(), claim.machine(), proof);
        }
    }

    // ---- commands

    /** Sends starts and stops directly to machines whose claims or stop requests changed, so that they need not wait for the next report. */
    public void flushCommands() {
        if (changedMachines.isEmpty()) {
            return;
        }
        List<Machine> pending = new ArrayList<>(changedMachines);
        changedMachines.clear();
        for (Machine machine : pending) {
            machine.changed = false;
            if (membership.owns(machine.shard) && machine.lastMessageAtMs >= 0) {
                reconcile(machine);
                directCalls.send(machine);
            }
        }
    }

    /**
     * Requests that an attempt be stopped. The command is repeated until the attempt is reported as saving or is gone. A request with a
     * shorter grace period replaces an earlier one. Ignored if this controller does not own the claim's shard.
     *
     * @param reason cause for the log and for {@link ActionCounters}
     */
    public void requestStop(Claim claim, double graceS, String reason) {
        Machine machine = machines.get(claim.machine());
        String attemptKey = claim.attemptKey();
        if (machine == null || !membership.owns(claim.shard())) {
            return;
        }
        StopRequest old = machine.stopRequests.get(attemptKey);
        if (old == null || old.graceS > graceS) {
            machine.stopRequests.put(attemptKey, new StopRequest(graceS, reason, effects.now()));
            counters.stops++;
            actionCounters.recordStop(attemptKey, reason, effects.now());
            LOG.info("task {} attempt {} on {} is to stop: {}", claim.taskKey(), claim.attempt(), machine.name, reason);
            markChanged(machine.name);
        }
    }

    /**
     * Empties a machine with an interruption notice: checkpointed tasks save at once, tasks expected to end in time run on, and all others are
     * stopped so that they start elsewhere without waiting.
     */
    private void drain(Machine machine, long now) {
        long leftMs = machine.interruptionAtMs - now;
        for (Claim claim : view.claims(machine.name).values()) {
            JobSpec spec = claim.job().spec;
            String attemptKey = claim.attemptKey();
            if (machine.stopRequests.containsKey(attemptKey) || !machine.reportedTasks.containsKey(attemptKey)) {
                continue;
            }
            AttemptState attempt = machine.attempts.get(attemptKey);
            double expectedMs = spec.estimateS() * estimateBias.bias(spec.jobClass()) * 1000 / machine.speed.value();
            boolean endsInTime = !spec.isService()
                    && !spec.isCheckpointed()
                    && attempt != null
                    && attempt.lease.runningSinceMs() >= 0
                    && attempt.lease.runningSinceMs() + expectedMs < machine.interruptionAtMs
                    && leftMs > MIN_TIME_TO_RUN_ON_MS;
            if (!endsInTime) {
                stopTaskOrGang(
                        claim, spec.isCheckpointed() ? spec.checkpointWriteS() + NOTICE_SAVE_MARGIN_S : 0, "notice");
            }
        }
    }

    // ---- offers

    /** Whether a machine may get tasks. */
    private boolean isUsable(Machine machine) {
        return isUsableOnceConfirmed(machine) && isConfirmedReachable(machine);
    }

    /** Whether a machine's worker has shown that it receives the responses of this controller as its owner. */
    private boolean isConfirmedReachable(Machine machine) {
        return machine.fencingToken >= membership.term(machine.shard) && machine.receivesResponses;
    }

    /** Whether a machine may get tasks as soon as its worker has shown that it receives responses. */
    private boolean isUsableOnceConfirmed(Machine machine) {
        long now = effects.now();
        return machine.lastMessageAtMs >= 0
                && membership.owns(machine.shard)
                && !machine.faulty
                && !machine.beingReturned
                && !machine.deleted
                && machine.interruptionAtMs < 0
                && machine.session != machine.expiredSession
                && commands.isReporting(machine, now)
                && now >= machine.quarantineUntilMs;
    }

    /**
     * Checks the offer of a task to an owned machine and reserves capacity for it.
     *
     * @param session the worker session that the job scheduler saw
     * @param withPreemption whether the capacity of tasks that yield to this one counts as free
     * @return null if the capacity is reserved, else the reason of the refusal
     */
    public String reserve(JobSpec spec, int task, String machineName, long session, boolean withPreemption) {
        Machine machine = machines.get(machineName);
        if (machine == null || !isUsable(machine)) {
            return "not usable";
        }
        if (machine.session != session) {
            return "other session";
        }
        if (machine.exclusions.isExcluded(spec.id(), effects.now())) {
            return FAILED_HERE;
        }
        String taskKey = spec.id() + "/" + task;
        for (ReportedTask reported : machine.reportedTasks.values()) {
            if (reported.taskKey().equals(taskKey) && !reported.exited()) {
                return "still here";
            }
        }
        if (!capacity.fits(machine, spec, withPreemption)) {
            return "no room";
        }
        capacity.reserve(machine, taskKey, spec);
        return null;
    }

    /**
     * Drops the reservation of an accepted offer that was withdrawn. Without this, gangs that found only part of their capacity blocked it
     * for each other.
     */
    public void cancelReservation(String machineName, String taskKey) {
        Machine machine = machines.get(machineName);
        if (machine != null) {
            machine.reservations.remove(taskKey);
        }
    }

    /**
     * Prepares the return of a machine to the cloud: it gets no new tasks.
     *
     * @param withTasks whether a machine with claims is to be emptied, replica by replica
     * @return whether the machine may be returned at once: it is faulty, or has neither claims nor reservations
     */
    public boolean prepareReturn(String machineName, boolean withTasks) {
        Machine machine = machines.get(machineName);
        if (machine == null || !membership.owns(machine.shard)) {
            return false;
        }
        // Without this, one expired reservation kept a machine rented for ever.
        capacity.pruneReservations(machine);
        if (machine.faulty || view.claims(machineName).isEmpty() && machine.reservations.isEmpty()) {
            machine.beingReturned = true;
            return true;
        }
        if (withTasks && machine.reservations.isEmpty()) {
            machine.beingReturned = true;
        }
        return false;
    }

    /** The cloud confirmed that a machine is deleted, which proves that all of its tasks are gone. */
    public void onMachineDeleted(String machineName) {
        Machine machine = machines.get(machineName);
        if (machine != null) {
            machine.deleted = true;
        }
        tombstones.recordDeletion(machineName);
        for (Claim claim : List.copyOf(view.claims(machineName).values())) {
            if (membership.owns(claim.shard())) {
                releaseClaim(claim, OutcomeRecorder.Outcome.LOST, "machine gone");
            }
        }
    }

    // ---- periodic work

    /** Periodic work, called many times a second: expires leases, releases claims of silent machines, and repeats commands. */
    public void tick() {
        long now = effects.now();
        if (now - lastTickMs > PAUSE_THRESHOLD_MS) {
            lastPauseEndMs = now;
        }
        lastTickMs = now;
        if (!store.loaded()) {
            return;
        }
        outcomes.tick();
        if (now < nextSweepMs) {
            return;
        }
        nextSweepMs = now + SWEEP_INTERVAL_MS;
        boolean leaseSweepDue = now >= nextLeaseSweepMs;
        if (leaseSweepDue) {
            nextLeaseSweepMs = now + leaseSettings.sweepIntervalMs();
        }
        for (String name : List.copyOf(view.claimedMachines())) {
            Map<String, Claim> claims = view.claims(name);
            Claim anyClaim =
                    claims.isEmpty() ? null : claims.values().iterator().next();
            if (anyClaim != null && membership.owns(anyClaim.shard())) {
                releaseIfLeaseOver(findOrCreate(name, anyClaim.shard()), now);
            }
        }
        for (Machine machine : List.copyOf(machines.values())) {
            if (!membership.isRecordedOwner(machine.shard)) {
                machines.remove(machine.name);
                continue;
            }
            if (!membership.owns(machine.shard)) {
                // The ownership is only suspended: the machine's state must be kept, above all its unanswered starts,
                // which may still arrive.
                continue;
            }
            if (mayDropState(machine, now)) {
                tombstones.recordRemoval(machine);
                machines.remove(machine.name);
                continue;
            }
            if (leaseSweepDue) {
                expireLeases(machine, now);
            }
            if (machine.faultCheckAtMs >= 0 && now >= machine.faultCheckAtMs) {
                checkForFault(machine);
            }
            if (machine.interruptionAtMs >= 0) {
                drain(machine, now);
            }
            if (machine.beingReturned) {
                moveNextReplica(machine);
            }
            if (!machine.stopRequests.isEmpty()
                    || hasUnstartedClaims(machine)
                    || reachability.needsProbe(machine, membership.term(machine.shard))) {
                directCalls.send(machine);
            }
        }
    }

    /**
     * Whether the state of a machine may be dropped: the machine has no claims, and either it is deleted and has sent no
     * message for over {@link #DELETED_STATE_RETENTION_MS}, or it has reported before, but not for over
     * {@link #SILENT_STATE_RETENTION_MS}, and its worker's lease is over, so that it rejects copies of direct starts.
     */
    private boolean mayDropState(Machine machine, long now) {
        return machine.lastMessageAtMs >= 0
                        && now - machine.lastMessageAtMs > SILENT_STATE_RETENTION_MS
                        && now >= leaseEndMs(machine)
                        && view.claims(machine.name).isEmpty()
                || machine.deleted
                        && view.claims(machine.name).isEmpty()
                        && now - machine.lastMessageAtMs > DELETED_STATE_RETENTION_MS;
    }

    /** Moves the replicas off a machine that is being returned one at a time, so that only one is down at any moment. */
    private void moveNextReplica(Machine machine) {
        for (Claim claim : view.claims(machine.name).values()) {
            if (machine.stopRequests.containsKey(claim.attemptKey())) {
                return;
            }
        }
        for (Claim claim : view.claims(machine.name).values()) {
            if (claim.job().spec.isService() && machine.reportedTasks.containsKey(claim.attemptKey())) {
                requestStop(claim, 0, "moves");
                return;
            }
        }
    }

    private boolean hasUnstartedClaims(Machine machine) {
        for (Claim claim : view.claims(machine.name).values()) {
            if (!machine.reportedTasks.containsKey(claim.attemptKey())) {
                return true;
            }
        }
        return false;
    }

    /** Counts and stops the tasks whose leases have expired; they start elsewhere once the machine confirms the stop. */
    private void expireLeases(Machine machine, long now) {
        for (Claim claim : view.claims(machine.name).values()) {
            AttemptState attempt = machine.attempts.get(claim.attemptKey());
            if (attempt != null && attempt.lease.expired(now)) {
                onLeaseExpired(machine, claim, attempt);
            }
        }
    }

    /**
     * Releases the claims of a machine whose worker's lease is over. A worker drops its tasks when its lease ends, see {@link WorkerLease};
     * until then a silent machine keeps its claims.
     */
    private void releaseIfLeaseOver(Machine machine, long now) {
        if (now < leaseEndMs(machine)) {
            return;
        }
        if (machine.expiredSession != machine.session) {
            machine.expiredSession = machine.session;
            LOG.info(
                    "lease over machine={} session={} term={} owned_ms={} {}",
                    machine.name,
                    machine.session,
                    membership.term(machine.shard),
                    now - membership.ownedSinceMs(machine.shard),
                    machine.workerLease.endLogFields(membership.term(machine.shard), ownership(machine), now));
        }
        for (Claim claim : List.copyOf(view.claims(machine.name).values())) {
            if (machine.session == 0 || claim.session() <= machine.session) {
                rememberImage(machine, claim, machine.lastMessageAtMs >= 0);
                if (safetyChecks.checkReleaseOfSilent(claim, machine)) {
                    releaseClaim(claim, OutcomeRecorder.Outcome.SILENT, "worker's lease over");
                }
            }
        }
    }

    /**
     * Whether the machine's latest report describes its present state. A report without the present term may be a delayed duplicate from
     * before the end of the worker's lease, and a report of a session that has already expired was delayed on its way.
     */
    private boolean isCurrent(Machine machine) {
        return machine.fencingToken >= membership.term(machine.shard) && machine.session != machine.expiredSession;
    }

    /** When the worker of an owned machine has certainly dropped its tasks, or {@link WorkerLease#NO_KNOWN_END}. */
    private long leaseEndMs(Machine machine) {
        return machine.workerLease.certainEndMs(membership.term(machine.shard), ownership(machine));
    }

    private WorkerLease.Ownership ownership(Machine machine) {
        return new WorkerLease.Ownership(membership.ownedSinceMs(machine.shard), membership.fencedAtMs(machine.shard));
    }

    /** The present statuses of all owned machines that have reported and are not deleted. */
    public List<MachineStatus> statuses() {
        long now = effects.now();
        List<MachineStatus> statuses = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.lastMessageAtMs < 0 || machine.deleted || !membership.owns(machine.shard)) {
                continue;
            }
            capacity.pruneReservations(machine);
            int silentMs = silentMs(machine, now);
            boolean usableOnceConfirmed = isUsableOnceConfirmed(machine);
            boolean confirmedReachable = isConfirmedReachable(machine);
            statuses.add(new MachineStatus(
                    machine.name,
                    machine.type,
                    machine.zone,
                    machine.spot,
                    machine.session,
                    machine.shard,
                    usableOnceConfirmed && confirmedReachable,
                    usableOnceConfirmed && !confirmedReachable && silentMs == 0,
                    machine.faulty,
                    machine.beingReturned,
                    silentMs,
                    machine.idleSinceMs,
                    machine.speed.value(),
                    capacity.unclaimedUse(machine),
                    fetchingImages(machine, now),
                    machine.cachedImages.stream().mapToInt(i -> i).toArray(),
                    machine.reservations.isEmpty() ? List.of() : List.copyOf(machine.reservations.keySet())));
        }
        return statuses;
    }

    /**
     * How long a machine has been silent, but at most the time since the last process pause. Without that bound, a controller that had
     * stalled for 13 s published all of its machines as silent for that long, and the autoscaler deleted those with tasks.
     */
    private int silentMs(Machine machine, long now) {
        return (int)
                Math.min(reachability.silentMs(machine, commands.isReporting(machine, now), now), now - lastPauseEndMs);
    }

    /** Pairs of an image being fetched and the expected remaining time in ms, flattened: image, ms, image, ms. */
    private int[] fetchingImages(Machine machine, long now) {
        Map<Integer, Integer> remainingMs = new LinkedHashMap<>();
        for (Claim claim : view.claims(machine.name).values()) {
            ReportedTask reported = machine.reportedTasks.get(claim.attemptKey());
            AttemptState attempt = machine.attempts.get(claim.attemptKey());
            int image = claim.job().spec.image();
            if (machine.cachedImages.contains(image)
                    || reported != null && reported.phase() != ReportedTask.Phase.FETCHING) {
                continue;
            }
            long fetchMs = attempt == null || attempt.fetchEndMs < 0
                    ? expectedFetchMs(machine, claim.job().spec)
                    : Math.max(MIN_FETCH_REMAINING_MS, attempt.fetchEndMs - now);
            remainingMs.merge(image, (int) fetchMs, Math::min);
        }
        int[] pairs = new int[remainingMs.size() * 2];
        int i = 0;
        for (Map.Entry<Integer, Integer> imageMs : remainingMs.entrySet()) {
            pairs[i++] = imageMs.getKey();
            pairs[i++] = imageMs.getValue();
        }
        return pairs;
    }

    /** The present state as {@code key=value} fields of a log line: raised terms, and the exits that can't be reaped yet, on all machines and at most on one. */
    public String logText() {
        int total = 0;
        int highest = 0;
        for (Machine machine : machines.values()) {
            int kept = keptExits.count(machine);
            total += kept;
            highest = Math.max(highest, kept);
        }
        return "raises=" + membership.termRaises + " exits_kept=" + total + " exits_kept_max=" + highest;
    }

    /** The shard of a machine that this controller tracks, or null. */
    public Integer shardOf(String machineName) {
        Machine machine = machines.get(machineName);
        return machine == null ? null : machine.shard;
    }
}
