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
 * The workers this controller owns: their reports, the commands they get, and the proofs that tasks are gone. A claim
 * leaves the store only through {@link #release}, and each caller of it names its proof.
 */
public final class WorkerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);
    /** Steps come many times a second; after such a pause we stood still. */
    private static final long PAUSE_THRESHOLD_MS = 2_000;
    /** Events that other slices want to hear of. */
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
    /** What the owners before us told of their machines, so that a new owner starts from what the old one knew. */
    private final MachineStatusExchange statusExchange;

    private final MachineCapacity capacity;
    private final Commands commands;
    private final ActionCounters actionCounters;
    private final Reachability reachability;
    private final Tombstones tombstones = new Tombstones();
    private final ErrorAttribution errorAttribution = new ErrorAttribution();
    private final OwnerRedirect ownerRedirect;
    private final SafetyChecks safetyChecks;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Machine> changedMachines = new ArrayList<>();
    private final long quarantineMs;
    /** Since when we have listened without a break: whoever stood still has heard nobody, which tells nothing of the machines. */
    private long listeningSinceMs = -1;

    private long lastTickMs = Long.MIN_VALUE / 2;
    private long nextSweepMs;
    private long nextLeaseSweepMs;

    public WorkerRegistry(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            EstimateBias speeds,
            Tuning t,
            Counters counters,
            OutcomeRecorder outcomes,
            MachineStatusExchange book,
            ActionCounters orders,
            GangStopper listener,
            Predicate<String> guaranteed) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.estimateBias = speeds;
        this.counters = counters;
        this.gangStopper = listener;
        this.outcomes = outcomes;
        this.statusExchange = book;
        this.actionCounters = orders;
        leaseSettings = LeaseSettings.from(t);
        quarantineMs = t.ms("workers.quarantine-s");
        capacity = new MachineCapacity(effects, catalog, view, outcomes, guaranteed, t.ms("placement.reserve-s"));
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
        commands = new Commands(
                effects,
                s,
                catalog,
                view,
                store,
                membership,
                outcomes,
                orders,
                safetyChecks,
                new Commands.AttemptTracker() {
                    @Override
                    public AttemptState newAttempt(Machine m, JobSpec j, long now) {
                        return WorkerRegistry.this.newAttempt(m, j, now);
                    }

                    @Override
                    public boolean acceptReport(Machine m, Report r, int zone) {
                        return WorkerRegistry.this.acceptReport(m, r, zone, true);
                    }
                });
        reachability =
                new Reachability(commands.reportTimeoutMs(), 1 + s.peers().size());
        ownerRedirect = new OwnerRedirect(effects, membership, book);
        view.onMachineChange(this::markChanged);
    }

    private void markChanged(String machine) {
        Machine m = machines.get(machine);
        if (m != null && !m.changed) {
            m.changed = true;
            changedMachines.add(m);
        }
    }

    // ---- reports

    public void onReport(long exchange, Map<String, Object> body) {
        Report r = Report.read(body);
        int zone = catalog.zones.find(r.zone());
        if (!store.loaded() || !membership.canAct() || zone < 0) {
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        int shard = membership.shardOf(r.machine(), zone);
        if (!membership.owns(shard)) {
            ownerRedirect.redirect(exchange, r, shard);
            return;
        }
        long term = membership.term(shard);
        if (r.fencingToken() > term) {
            // Someone holds a higher term than we know of: an answer of ours would be dropped and hold the worker here.
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        if (!machines.containsKey(r.machine()) && !tombstones.admits(r)) {
            // A late copy, or a machine that is gone: nothing of it may be used, and nobody waits for this answer.
            counters.staleReports++;
            effects.answer(exchange, 200, WorkerLease.responseWithoutRenewal());
            return;
        }
        Machine m = findOrCreate(r.machine(), shard);
        if (acceptReport(m, r, zone, false)) {
            effects.answer(exchange, 200, m.workerLease.renewalResponse(r, term, commands.commandsFor(m, false)));
            if (reachability.needsProbe(m, term)) {
                commands.sendCommands(m);
            }
        } else if (m.workerLease.isOvertaken(r)) {
            counters.overtakenReports++;
            effects.answer(exchange, 200, m.workerLease.renewalResponse(r, term, List.of()));
        } else {
            counters.staleReports++;
            effects.answer(exchange, 200, WorkerLease.responseWithoutRenewal());
        }
    }

    private Machine findOrCreate(String name, int shard) {
        return machines.computeIfAbsent(name, n -> {
            Machine m = new Machine(n, shard, settings.leaseS());
            MachineStatus p = statusExchange.statusFromOwner(n);
            if (p != null) {
                m.speed = new birchusher.lease.MachineSpeed(p.speed());
                for (int i = p.cachedImages().length - 1; i >= 0; i--) {
                    m.recordImageUse(p.cachedImages()[i], catalog);
                }
                m.faulty = p.faulty();
            }
            return m;
        });
    }

    /** Takes a report if it is newer than the last one. */
    private boolean acceptReport(Machine m, Report r, int zone, boolean direct) {
        if (r.session() < m.session || r.session() == m.session && r.seq() <= m.lastSeq) {
            return false;
        }
        if (r.session() > m.session && m.session > 0) {
            LOG.info("machine {} session {} follows {}", m.name, r.session(), m.session);
            m.attempts.clear();
            m.stopRequests.clear();
            m.unansweredStarts.clear();
            m.startsInResponses.clear();
        }
        reachability.onMessage(m, r, membership.term(m.shard), direct, effects.now());
        boolean later = r.session() > m.session;
        boolean followed = m.lastMessageAtMs >= 0;
        if (!followed) {
            LOG.info(
                    "machine {} reports: {} in {}, session {}, {} tasks",
                    m.name,
                    r.type(),
                    r.zone(),
                    r.session(),
                    r.tasks().size());
        }
        m.session = r.session();
        m.lastSeq = r.seq();
        m.fencingToken = Math.max(m.fencingToken, r.fencingToken());
        m.address = r.address();
        m.zone = zone;
        m.type = catalog.typeNames.add(r.type());
        m.spot = r.spot();
        m.lastMessageAtMs = effects.now();
        m.workerLease.onMessage(r, membership.term(m.shard), effects.now());
        long tokenNow = m.fencingToken;
        m.unansweredStarts.values().removeIf(l -> l[1] < tokenNow);
        if (r.noticeS() >= 0) {
            long at = effects.now() + Math.round(r.noticeS() * 1000);
            if (m.interruptionAtMs < 0) {
                counters.notices++;
                LOG.info("machine {} will be taken back in {} s", m.name, r.noticeS());
            }
            // The first report that we take may be a copy: counted from its arrival, the end would be later than it is.
            m.interruptionAtMs = m.interruptionAtMs < 0 ? at : Math.min(m.interruptionAtMs, at);
        }
        if (later) {
            view.claims(m.name).values().forEach(c -> rememberImage(m, c, followed));
        }
        m.reportedTasks = r.tasks();
        reconcile(m);
        return true;
    }

    /**
     * A worker keeps its images though its lease is over, and nothing but the records of what ran there tells a new owner of them.
     * Without this, a fleet full of warm caches fetched everything anew after a crash of all controllers.
     */
    private void rememberImage(Machine m, Claim c, boolean followed) {
        ReportedTask e = m.reportedTasks.get(c.attemptKey());
        if (e == null ? !followed : e.phase() != ReportedTask.Phase.FETCHING) {
            m.recordImageUse(c.job().spec.image(), catalog);
        }
    }

    // ---- what the report and the records say together

    private void reconcile(Machine m) {
        long now = effects.now();
        boolean any = false;
        for (Claim c : List.copyOf(view.claims(m.name).values())) {
            String ak = c.attemptKey();
            ReportedTask e = m.reportedTasks.get(ak);
            Reconciliation.ClaimState row = commands.recordedState(m, c);
            Reconciliation.ClaimOutcome write =
                    Reconciliation.claimOutcome(row, Commands.reportedState(e), commands.ownerKnowledge(m, ak));
            any |= row != Reconciliation.ClaimState.EARLIER;
            if (e == null || row == Reconciliation.ClaimState.EARLIER || row == Reconciliation.ClaimState.LATER) {
                if (write == Reconciliation.ClaimOutcome.LOST) {
                    boolean dropped = row == Reconciliation.ClaimState.EARLIER;
                    // A worker that hears nobody will not take it back: nothing is to wait for that.
                    releaseClaim(
                            c,
                            !dropped
                                    ? OutcomeRecorder.Outcome.LOST
                                    : m.noResponsesInPreviousSession
                                            ? OutcomeRecorder.Outcome.SILENT
                                            : OutcomeRecorder.Outcome.DROPPED,
                            dropped ? "a later session" : "absent from a newer report");
                } else if (write == Reconciliation.ClaimOutcome.NOT_STARTED) {
                    // Never shown, and nothing of ours or of an earlier owner is under way any more.
                    releaseClaim(c, OutcomeRecorder.Outcome.NOT_STARTED, "not started");
                }
                continue;
            }
            AttemptState run = m.attempts.computeIfAbsent(ak, k -> newAttempt(m, c.job().spec, now));
            run.reported = true;
            if (e.exited()) {
                onExited(m, c, e, run, write);
            } else {
                safetyChecks.recordReported(c.taskKey(), m);
                updateAttempt(m, c, e, run, now);
            }
        }
        // A stop also waits for a start that is still under way to show itself.
        m.stopRequests.keySet().removeIf(ak -> !m.reportedTasks.containsKey(ak) && !isClaimed(m, ak));
        m.startsInResponses.values().removeIf(at -> now - at > Settings.NO_ANSWER_MS * 2);
        if (m.attempts.size() > 8 + m.reportedTasks.size()) {
            // Attempts whose records are gone: theirs is all told.
            m.attempts.keySet().removeIf(ak -> !m.reportedTasks.containsKey(ak) && !isClaimed(m, ak));
        }
        for (ReportedTask e : m.reportedTasks.values()) {
            any |= !e.exited();
        }
        m.idleSinceMs = any ? -1 : m.idleSinceMs < 0 ? now : m.idleSinceMs;
        capacity.preemptForClaims(m, this::requestStop);
        if (m.interruptionAtMs >= 0) {
            drain(m, now);
        }
    }

    private boolean isClaimed(Machine m, String attemptKey) {
        Claim c = view.claims(m.name).get(attemptKey.substring(0, attemptKey.lastIndexOf('#')));
        return c != null && c.attemptKey().equals(attemptKey);
    }

    private AttemptState newAttempt(Machine m, JobSpec j, long now) {
        AttemptState run = new AttemptState();
        long fetch = expectedFetchMs(m, j);
        run.startedAtMs = now;
        run.lease = new TaskLease(leaseSettings, now, fetch, leaseSettings.capMs(j, fetch));
        return run;
    }

    /** Expected ms of fetching a job's image on a machine, none if it is there. */
    private long expectedFetchMs(Machine m, JobSpec j) {
        Catalog.MachineType t = catalog.type(m.type);
        return t == null || m.cachedImages.contains(j.image()) ? 0 : Math.round(j.imageGb() / t.fetchGbPerS() * 1000);
    }

    private void updateAttempt(Machine m, Claim c, ReportedTask e, AttemptState run, long now) {
        if (e.phase() == ReportedTask.Phase.FETCHING && run.fetchEndMs < 0) {
            run.fetchEndMs = now + expectedFetchMs(m, c.job().spec);
        }
        boolean running = e.phase() == ReportedTask.Phase.RUNNING || e.phase() == ReportedTask.Phase.SAVING;
        boolean before = run.lease.runningSinceMs() >= 0;
        TaskLease.Renewal got = run.lease.renew(now, running);
        if (e.phase() != ReportedTask.Phase.FETCHING) {
            m.recordImageUse(c.job().spec.image(), catalog);
        }
        if (running && !before) {
            counters.recordStartWait(effects.wallTime() - c.job().acceptedAtMs);
            LOG.info("task {} attempt {} runs on {}", c.taskKey(), c.attempt(), m.name);
        }
        if (got == TaskLease.Renewal.GRANTED) {
            counters.renewed++;
        } else if (got == TaskLease.Renewal.AT_CAP && !run.countedAtCap) {
            run.countedAtCap = true;
            counters.atCap++;
            onCapReached(m, c, run, now);
        } else if (got == TaskLease.Renewal.LAPSED) {
            onLeaseExpired(m, c, run);
        }
    }

    /** At its cap a task is moved only if it loses nothing by it; else it runs on and the machine counts as slower. */
    private void onCapReached(Machine m, Claim c, AttemptState run, long now) {
        JobSpec j = c.job().spec;
        LOG.info("task {} attempt {} on {} is at its cap", c.taskKey(), c.attempt(), m.name);
        m.speed.observe(j.estimateS() * estimateBias.bias(j.jobClass()), (now - run.lease.runningSinceMs()) / 1000.0);
        if (j.isCheckpointed()) {
            stopTaskOrGang(c, j.checkpointWriteS() + 4, "at cap");
        }
    }

    private void onLeaseExpired(Machine m, Claim c, AttemptState run) {
        if (!run.expiryHandled) {
            run.expiryHandled = true;
            counters.lapsed++;
            m.speed.observe(1, 4);
            LOG.info("lease of task {} attempt {} on {} lapsed", c.taskKey(), c.attempt(), m.name);
            stopTaskOrGang(c, 0, "lapsed");
        }
    }

    private void stopTaskOrGang(Claim c, double grace, String reason) {
        if (c.job().spec.isGang()) {
            gangStopper.stopGang(c.job(), grace, reason);
        } else {
            requestStop(c, grace, reason);
        }
    }

    private void onExited(Machine m, Claim c, ReportedTask e, AttemptState run, Reconciliation.ClaimOutcome write) {
        JobSpec j = c.job().spec;
        long now = effects.now();
        switch (write) {
            case DONE -> {
                if (run.lease.runningSinceMs() >= 0
                        && c.attempt() == 1
                        && !run.countedAtCap
                        && j.estimateS() > 0
                        && !outcomes.pending(e.attemptKey())) {
                    double took = (now - run.lease.runningSinceMs()) / 1000.0;
                    estimateBias.observe(j.jobClass(), j.estimateS(), took);
                    m.speed.observe(j.estimateS() * estimateBias.bias(j.jobClass()), took);
                }
                m.errorsByJob.clear();
                releaseClaim(c, OutcomeRecorder.Outcome.DONE, "done");
            }
            case ERROR -> {
                if (!outcomes.pending(e.attemptKey())) {
                    onTaskError(m, c);
                }
                releaseClaim(c, OutcomeRecorder.Outcome.ERROR, "error");
            }
            default -> releaseClaim(c, OutcomeRecorder.Outcome.LOST, e.exitReason() + (e.saved() ? ", saved" : ""));
        }
    }

    /** Errors of different jobs speak against the machine; of one job on several machines, against the job. */
    private void onTaskError(Machine m, Claim c) {
        counters.taskErrors++;
        for (String name : errorAttribution.recordError(c.job(), m)) {
            Machine x = machines.get(name);
            if (x != null && x != m && errorAttribution.countJobsAgainst(x, view::job) == 0) {
                x.quarantineUntilMs = 0;
            }
        }
        if (errorAttribution.countJobsAgainst(m, view::job) > 0) {
            m.quarantineUntilMs = effects.now() + quarantineMs;
        }
        if (!m.faulty && m.faultCheckAtMs < 0 && errorAttribution.isFaulty(m, view::job)) {
            m.faultCheckAtMs = effects.now() + quarantineMs;
        }
    }

    /**
     * While a machine gets nothing new, the same jobs may come to fail elsewhere too. Judged at its second job's first error, machines
     * were given up with all their replicas for two jobs that failed everywhere.
     */
    private void checkForFault(Machine m) {
        m.faultCheckAtMs = -1;
        if (errorAttribution.isFaulty(m, view::job)) {
            m.faulty = true;
            counters.condemned++;
            LOG.info("machine {} fails tasks of different jobs, it is given up", m.name);
        }
    }

    /** Takes a claim out of the store, the caller having the proof that the task is not on the machine any more. */
    private void releaseClaim(Claim c, OutcomeRecorder.Outcome outcome, String proof) {
        if (outcomes.recordEnd(c, outcome)) {
            LOG.info("task {} attempt {} left {}: {}", c.taskKey(), c.attempt(), c.machine(), proof);
        }
    }

    // ---- commands

    /** Sends starts and stops straight to machines whose state changed, so that they need not wait for a report. */
    public void flushCommands() {
        if (changedMachines.isEmpty()) {
            return;
        }
        List<Machine> all = new ArrayList<>(changedMachines);
        changedMachines.clear();
        for (Machine m : all) {
            m.changed = false;
            if (membership.owns(m.shard) && m.lastMessageAtMs >= 0) {
                reconcile(m);
                commands.sendCommands(m);
            }
        }
    }

    /** Asks for an attempt to be stopped; repeated until it is seen to be saving or gone. */
    public void requestStop(Claim c, double graceS, String reason) {
        Machine m = machines.get(c.machine());
        String ak = c.attemptKey();
        if (m == null || !membership.owns(c.shard())) {
            return;
        }
        StopRequest old = m.stopRequests.get(ak);
        if (old == null || old.graceS > graceS) {
            m.stopRequests.put(ak, new StopRequest(graceS, reason, effects.now()));
            counters.stops++;
            actionCounters.recordStop(ak, reason, effects.now());
            LOG.info("task {} attempt {} on {} is to stop: {}", c.taskKey(), c.attempt(), m.name, reason);
            markChanged(m.name);
        }
    }

    /** A notice: what can save does so at once; what ends in time may; the rest starts elsewhere without waiting. */
    private void drain(Machine m, long now) {
        long left = m.interruptionAtMs - now;
        for (Claim c : view.claims(m.name).values()) {
            JobSpec j = c.job().spec;
            String ak = c.attemptKey();
            if (m.stopRequests.containsKey(ak) || !m.reportedTasks.containsKey(ak)) {
                continue;
            }
            AttemptState run = m.attempts.get(ak);
            double expected = j.estimateS() * estimateBias.bias(j.jobClass()) * 1000 / m.speed.value();
            boolean endsInTime = !j.isService()
                    && !j.isCheckpointed()
                    && run != null
                    && run.lease.runningSinceMs() >= 0
                    && run.lease.runningSinceMs() + expected < m.interruptionAtMs
                    && left > 2_500;
            if (!endsInTime) {
                stopTaskOrGang(c, j.isCheckpointed() ? j.checkpointWriteS() + 1 : 0, "notice");
            }
        }
    }

    // ---- offers

    private boolean isUsable(Machine m) {
        return isUsableOnceConfirmed(m) && isConfirmedReachable(m);
    }

    /** Whether a machine's worker has shown that it hears us as its owner. */
    private boolean isConfirmedReachable(Machine m) {
        return m.fencingToken >= membership.term(m.shard) && m.receivesResponses;
    }

    /** Whether nothing but the evidence that its worker hears us keeps a machine from getting tasks. */
    private boolean isUsableOnceConfirmed(Machine m) {
        long now = effects.now();
        return m.lastMessageAtMs >= 0
                && membership.owns(m.shard)
                && !m.faulty
                && !m.beingReturned
                && !m.deleted
                && m.interruptionAtMs < 0
                && m.session != m.expiredSession
                && commands.isReporting(m, now)
                && now >= m.quarantineUntilMs;
    }

    /** Checks a task offered to one of our machines and keeps room for it; returns why not, or null. */
    public String reserve(JobSpec j, int task, String machine, long session, boolean makesRoom) {
        Machine m = machines.get(machine);
        if (m == null || !isUsable(m)) {
            return "not usable";
        }
        if (m.session != session) {
            return "other session";
        }
        if (m.errorsByJob.containsKey(j.id())) {
            return "failed here";
        }
        String key = j.id() + "/" + task;
        for (ReportedTask e : m.reportedTasks.values()) {
            if (e.taskKey().equals(key) && !e.exited()) {
                return "still here";
            }
        }
        if (!capacity.fits(m, j, makesRoom)) {
            return "no room";
        }
        capacity.reserve(m, key, j);
        return null;
    }

    /** An accepted offer is called off: without this, gangs that found only part of their room kept it from each other. */
    public void cancelReservation(String machine, String key) {
        Machine m = machines.get(machine);
        if (m != null) {
            m.reservations.remove(key);
        }
    }

    /** The autoscaler wants to return a machine: agreed only if nothing is or may come to be on it. */
    public boolean prepareReturn(String machine, boolean withTasks) {
        Machine m = machines.get(machine);
        if (m == null || !membership.owns(m.shard)) {
            return false;
        }
        // Without this, one old reservation kept a machine rented for good.
        capacity.pruneReservations(m);
        if (m.faulty || view.claims(machine).isEmpty() && m.reservations.isEmpty()) {
            m.beingReturned = true;
            return true;
        }
        if (withTasks && m.reservations.isEmpty()) {
            m.beingReturned = true;
        }
        return false;
    }

    /** The cloud confirmed that a machine is gone: proof for all that was on it. */
    public void onMachineDeleted(String machine) {
        Machine m = machines.get(machine);
        if (m != null) {
            m.deleted = true;
        }
        tombstones.recordDeletion(machine);
        for (Claim c : List.copyOf(view.claims(machine).values())) {
            if (membership.owns(c.shard())) {
                releaseClaim(c, OutcomeRecorder.Outcome.LOST, "machine gone");
            }
        }
    }

    // ---- time

    public void tick() {
        long now = effects.now();
        if (now - lastTickMs > PAUSE_THRESHOLD_MS) {
            listeningSinceMs = now;
        }
        lastTickMs = now;
        if (!store.loaded()) {
            return;
        }
        outcomes.tick();
        if (now < nextSweepMs) {
            return;
        }
        nextSweepMs = now + 500;
        boolean sweepLeases = now >= nextLeaseSweepMs;
        if (sweepLeases) {
            nextLeaseSweepMs = now + leaseSettings.sweepIntervalMs();
        }
        for (String name : List.copyOf(view.claimedMachines())) {
            Map<String, Claim> claims = view.claims(name);
            Claim any = claims.isEmpty() ? null : claims.values().iterator().next();
            if (any != null && membership.owns(any.shard())) {
                releaseIfLeaseOver(findOrCreate(name, any.shard()), now);
            }
        }
        for (Machine m : List.copyOf(machines.values())) {
            if (!membership.isRecordedOwner(m.shard)) {
                machines.remove(m.name);
                continue;
            }
            if (!membership.owns(m.shard)) {
                // Between two owners: what is known must not be forgotten, loose commands above all.
                continue;
            }
            if (m.lastMessageAtMs >= 0
                            && now - m.lastMessageAtMs > 120_000
                            && view.claims(m.name).isEmpty()
                    || m.deleted && view.claims(m.name).isEmpty() && now - m.lastMessageAtMs > 30_000) {
                tombstones.recordRemoval(m);
                machines.remove(m.name);
                continue;
            }
            if (sweepLeases) {
                expireLeases(m, now);
            }
            if (m.faultCheckAtMs >= 0 && now >= m.faultCheckAtMs) {
                checkForFault(m);
            }
            if (m.interruptionAtMs >= 0) {
                drain(m, now);
            }
            if (m.beingReturned) {
                moveNextReplica(m);
            }
            if (!m.stopRequests.isEmpty()
                    || hasUnstartedClaims(m)
                    || reachability.needsProbe(m, membership.term(m.shard))) {
                commands.sendCommands(m);
            }
        }
    }

    /** Replicas leave a machine that is to be returned one at a time, so that only one is down at any moment. */
    private void moveNextReplica(Machine m) {
        for (Claim c : view.claims(m.name).values()) {
            if (m.stopRequests.containsKey(c.attemptKey())) {
                return;
            }
        }
        for (Claim c : view.claims(m.name).values()) {
            if (c.job().spec.isService() && m.reportedTasks.containsKey(c.attemptKey())) {
                requestStop(c, 0, "moves");
                return;
            }
        }
    }

    private boolean hasUnstartedClaims(Machine m) {
        for (Claim c : view.claims(m.name).values()) {
            if (!m.reportedTasks.containsKey(c.attemptKey())) {
                return true;
            }
        }
        return false;
    }

    /** The paper's sweep: lapsed leases are stopped, counted, and go elsewhere once the machine confirms. */
    private void expireLeases(Machine m, long now) {
        for (Claim c : view.claims(m.name).values()) {
            AttemptState run = m.attempts.get(c.attemptKey());
            if (run != null && run.lease.expired(now)) {
                onLeaseExpired(m, c, run);
            }
        }
    }

    /** A worker drops its tasks once its lease is over ({@link WorkerLease}); until then a silent machine keeps its claims. */
    private void releaseIfLeaseOver(Machine m, long now) {
        if (now < leaseEndMs(m)) {
            return;
        }
        if (m.expiredSession != m.session) {
            m.expiredSession = m.session;
            LOG.info(
                    "lease over machine={} session={} term={} owned_ms={} {}",
                    m.name,
                    m.session,
                    membership.term(m.shard),
                    now - membership.ownedSinceMs(m.shard),
                    m.workerLease.logFields(now));
        }
        for (Claim c : List.copyOf(view.claims(m.name).values())) {
            if (m.session == 0 || c.session() <= m.session) {
                rememberImage(m, c, m.lastMessageAtMs >= 0);
                safetyChecks.checkReleaseOfSilent(c, m);
                releaseClaim(c, OutcomeRecorder.Outcome.SILENT, "worker's lease over");
            }
        }
    }

    /**
     * Whether what a machine shows tells of now. Before its worker has heard us it may be a copy from before its lease was over; and what
     * comes in a session that was already over was held back on its way.
     */
    private boolean isCurrent(Machine m) {
        return m.fencingToken >= membership.term(m.shard) && m.session != m.expiredSession;
    }

    /** When the worker of a machine of ours has certainly dropped its tasks, or {@link WorkerLease#NEVER}. */
    private long leaseEndMs(Machine m) {
        return m.workerLease.certainEndMs(
                membership.term(m.shard),
                new WorkerLease.Ownership(membership.ownedSinceMs(m.shard), membership.fencedAtMs(m.shard)));
    }

    public List<MachineStatus> statuses() {
        long now = effects.now();
        List<MachineStatus> l = new ArrayList<>();
        for (Machine m : machines.values()) {
            if (m.lastMessageAtMs < 0 || m.deleted || !membership.owns(m.shard)) {
                continue;
            }
            capacity.pruneReservations(m);
            int silentMs = silentMs(m, now);
            boolean fit = isUsableOnceConfirmed(m);
            boolean hears = isConfirmedReachable(m);
            l.add(new MachineStatus(
                    m.name,
                    m.type,
                    m.zone,
                    m.spot,
                    m.session,
                    m.shard,
                    fit && hears,
                    fit && !hears && silentMs == 0,
                    m.faulty,
                    m.beingReturned,
                    silentMs,
                    m.idleSinceMs,
                    m.speed.value(),
                    capacity.unclaimedUse(m),
                    fetchingImages(m, now),
                    m.cachedImages.stream().mapToInt(i -> i).toArray(),
                    m.reservations.isEmpty() ? List.of() : List.copyOf(m.reservations.keySet())));
        }
        return l;
    }

    /**
     * Without its second part, a controller that had stood still for 13 s told that its machines were silent for as long, and the autoscaler
     * deleted those that had something to do.
     */
    private int silentMs(Machine m, long now) {
        return (int) Math.min(reachability.silentMs(m, commands.isReporting(m, now), now), now - listeningSinceMs);
    }

    /** Images being fetched, each with the ms that it should still take: image, ms, image, ms. */
    private int[] fetchingImages(Machine m, long now) {
        Map<Integer, Integer> left = new LinkedHashMap<>();
        for (Claim c : view.claims(m.name).values()) {
            ReportedTask e = m.reportedTasks.get(c.attemptKey());
            AttemptState run = m.attempts.get(c.attemptKey());
            int image = c.job().spec.image();
            if (m.cachedImages.contains(image) || e != null && e.phase() != ReportedTask.Phase.FETCHING) {
                continue;
            }
            long ms = run == null || run.fetchEndMs < 0
                    ? expectedFetchMs(m, c.job().spec)
                    : Math.max(1_000, run.fetchEndMs - now);
            left.merge(image, (int) ms, Math::min);
        }
        int[] flat = new int[left.size() * 2];
        int i = 0;
        for (Map.Entry<Integer, Integer> e : left.entrySet()) {
            flat[i++] = e.getKey();
            flat[i++] = e.getValue();
        }
        return flat;
    }

    /** The shard of a machine of ours, or null. */
    public Integer shardOf(String machine) {
        Machine m = machines.get(machine);
        return m == null ? null : m.shard;
    }
}
