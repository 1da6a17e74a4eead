package birchusher.workers;

import birchusher.core.Effects;
import birchusher.lease.LeaseTerms;
import birchusher.lease.Speeds;
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
import birchusher.workers.Machine.Run;
import birchusher.workers.Machine.Stop;
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
    private static final long STILL_MS = 2_000;
    /** Events that other slices want to hear of. */
    public interface Listener {
        void stopGang(Job job, double graceS, String reason);
    }

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final LeaseTerms terms;
    private final Speeds speeds;
    private final Counters counters;
    private final Listener listener;
    private final Outcomes outcomes;
    /** What the owners before us told of their machines, so that a new owner starts from what the old one knew. */
    private final MachineStatusExchange book;

    private final Room room;
    private final Commands commands;
    private final ActionCounters orders;
    private final Reachability reachability;
    private final Tombstones tombstones = new Tombstones();
    private final Faults faults = new Faults();
    private final OwnerRedirect redirects;
    private final SafetyChecks checks;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Machine> dirty = new ArrayList<>();
    private final long quarantineMs;
    /** Since when we have listened without a break: whoever stood still has heard nobody, which tells nothing of the machines. */
    private long listeningFrom = -1;

    private long lastTick = Long.MIN_VALUE / 2;
    private long nextSweep;
    private long nextLeaseSweep;

    public WorkerRegistry(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            Speeds speeds,
            Tuning t,
            Counters counters,
            Outcomes outcomes,
            MachineStatusExchange book,
            ActionCounters orders,
            Listener listener,
            Predicate<String> guaranteed) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.speeds = speeds;
        this.counters = counters;
        this.listener = listener;
        this.outcomes = outcomes;
        this.book = book;
        this.orders = orders;
        terms = LeaseTerms.from(t);
        quarantineMs = t.ms("workers.quarantine-s");
        room = new Room(effects, catalog, view, outcomes, guaranteed, t.ms("placement.reserve-s"));
        checks = new SafetyChecks(effects, counters, new SafetyChecks.Machines() {
            @Override
            public Machine owned(String name) {
                Machine machine = machines.get(name);
                return machine != null && membership.owns(machine.shard) && tells(machine) ? machine : null;
            }

            @Override
            public long leaseEnd(Machine machine) {
                return WorkerRegistry.this.leaseEnd(machine);
            }
        });
        commands = new Commands(
                effects, s, catalog, view, store, membership, outcomes, orders, checks, new Commands.Owner() {
                    @Override
                    public Run newRun(Machine m, JobSpec j, long now) {
                        return WorkerRegistry.this.newRun(m, j, now);
                    }

                    @Override
                    public boolean take(Machine m, Report r, int zone) {
                        return WorkerRegistry.this.take(m, r, zone, true);
                    }
                });
        reachability = new Reachability(commands.reportingMs(), 1 + s.peers().size());
        redirects = new OwnerRedirect(effects, membership, book);
        view.onMachineChange(this::touch);
    }

    private void touch(String machine) {
        Machine m = machines.get(machine);
        if (m != null && !m.dirty) {
            m.dirty = true;
            dirty.add(m);
        }
    }

    // ---- reports

    public void hello(long exchange, Map<String, Object> body) {
        Report r = Report.read(body);
        int zone = catalog.zones.find(r.zone());
        if (!store.loaded() || !membership.canAct() || zone < 0) {
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        int shard = membership.shardOf(r.machine(), zone);
        if (!membership.owns(shard)) {
            redirects.redirect(exchange, r, shard);
            return;
        }
        long term = membership.term(shard);
        if (r.token() > term) {
            // Someone holds a higher term than we know of: an answer of ours would be dropped and hold the worker here.
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        if (!machines.containsKey(r.machine()) && !tombstones.admits(r)) {
            // A late copy, or a machine that is gone: nothing of it may be used, and nobody waits for this answer.
            counters.copies++;
            effects.answer(exchange, 200, WorkerLease.noRenewal());
            return;
        }
        Machine m = machine(r.machine(), shard);
        if (take(m, r, zone, false)) {
            effects.answer(exchange, 200, m.workerLease.renewal(r, term, commands.orders(m, false)));
            if (reachability.doubtful(m, term)) {
                commands.push(m);
            }
        } else if (m.workerLease.overtaken(r)) {
            counters.overtaken++;
            effects.answer(exchange, 200, m.workerLease.renewal(r, term, List.of()));
        } else {
            counters.copies++;
            effects.answer(exchange, 200, WorkerLease.noRenewal());
        }
    }

    private Machine machine(String name, int shard) {
        return machines.computeIfAbsent(name, n -> {
            Machine m = new Machine(n, shard, settings.leaseS());
            MachineStatus p = book.told(n);
            if (p != null) {
                m.speed = new birchusher.lease.MachineSpeed(p.speed());
                for (int i = p.images().length - 1; i >= 0; i--) {
                    m.image(p.images()[i], catalog);
                }
                m.condemned = p.condemned();
            }
            return m;
        });
    }

    /** Takes a report if it is newer than the last one. */
    private boolean take(Machine m, Report r, int zone, boolean direct) {
        if (r.session() < m.session || r.session() == m.session && r.seq() <= m.seq) {
            return false;
        }
        if (r.session() > m.session && m.session > 0) {
            LOG.info("machine {} session {} follows {}", m.name, r.session(), m.session);
            m.runs.clear();
            m.stops.clear();
            m.loose.clear();
            m.answered.clear();
        }
        reachability.reported(m, r, membership.term(m.shard), direct, effects.now());
        boolean later = r.session() > m.session;
        boolean followed = m.heardAt >= 0;
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
        m.seq = r.seq();
        m.token = Math.max(m.token, r.token());
        m.address = r.address();
        m.zone = zone;
        m.type = catalog.typeNames.add(r.type());
        m.spot = r.spot();
        m.heardAt = effects.now();
        m.workerLease.heard(r, membership.term(m.shard), effects.now());
        long tokenNow = m.token;
        m.loose.values().removeIf(l -> l[1] < tokenNow);
        if (r.noticeS() >= 0) {
            long at = effects.now() + Math.round(r.noticeS() * 1000);
            if (m.noticeAt < 0) {
                counters.notices++;
                LOG.info("machine {} will be taken back in {} s", m.name, r.noticeS());
            }
            // The first report that we take may be a copy: counted from its arrival, the end would be later than it is.
            m.noticeAt = m.noticeAt < 0 ? at : Math.min(m.noticeAt, at);
        }
        if (later) {
            view.claims(m.name).values().forEach(c -> remember(m, c, followed));
        }
        m.entries = r.tasks();
        reconcile(m);
        return true;
    }

    /**
     * A worker keeps its images though its lease is over, and nothing but the records of what ran there tells a new owner of them.
     * Without this, a fleet full of warm caches fetched everything anew after a crash of all controllers.
     */
    private void remember(Machine m, Claim c, boolean followed) {
        Entry e = m.entries.get(c.attemptKey());
        if (e == null ? !followed : e.phase() != Entry.Phase.FETCHING) {
            m.image(c.job().spec.image(), catalog);
        }
    }

    // ---- what the report and the records say together

    private void reconcile(Machine m) {
        long now = effects.now();
        boolean any = false;
        for (Claim c : List.copyOf(view.claims(m.name).values())) {
            String ak = c.attemptKey();
            Entry e = m.entries.get(ak);
            Reconciliation.ClaimState row = commands.row(m, c);
            Reconciliation.ClaimOutcome write =
                    Reconciliation.claimOutcome(row, Commands.shown(e), commands.known(m, ak));
            any |= row != Reconciliation.ClaimState.EARLIER;
            if (e == null || row == Reconciliation.ClaimState.EARLIER || row == Reconciliation.ClaimState.LATER) {
                if (write == Reconciliation.ClaimOutcome.LOST) {
                    boolean dropped = row == Reconciliation.ClaimState.EARLIER;
                    // A worker that hears nobody will not take it back: nothing is to wait for that.
                    release(
                            c,
                            !dropped ? Outcomes.Kind.LOST : m.deafBefore ? Outcomes.Kind.SILENT : Outcomes.Kind.DROPPED,
                            dropped ? "a later session" : "absent from a newer report");
                } else if (write == Reconciliation.ClaimOutcome.NOT_STARTED) {
                    // Never shown, and nothing of ours or of an earlier owner is under way any more.
                    release(c, Outcomes.Kind.NOT_STARTED, "not started");
                }
                continue;
            }
            Run run = m.runs.computeIfAbsent(ak, k -> newRun(m, c.job().spec, now));
            run.shown = true;
            if (e.exited()) {
                exited(m, c, e, run, write);
            } else {
                checks.shown(c.taskKey(), m);
                follow(m, c, e, run, now);
            }
        }
        // A stop also waits for a start that is still under way to show itself.
        m.stops.keySet().removeIf(ak -> !m.entries.containsKey(ak) && !claimed(m, ak));
        m.answered.values().removeIf(at -> now - at > Settings.NO_ANSWER_MS * 2);
        if (m.runs.size() > 8 + m.entries.size()) {
            // Attempts whose records are gone: theirs is all told.
            m.runs.keySet().removeIf(ak -> !m.entries.containsKey(ak) && !claimed(m, ak));
        }
        for (Entry e : m.entries.values()) {
            any |= !e.exited();
        }
        m.idleSince = any ? -1 : m.idleSince < 0 ? now : m.idleSince;
        room.make(m, this::wishStop);
        if (m.noticeAt >= 0) {
            drain(m, now);
        }
    }

    private boolean claimed(Machine m, String attemptKey) {
        Claim c = view.claims(m.name).get(attemptKey.substring(0, attemptKey.lastIndexOf('#')));
        return c != null && c.attemptKey().equals(attemptKey);
    }

    private Run newRun(Machine m, JobSpec j, long now) {
        Run run = new Run();
        long fetch = fetchMs(m, j);
        run.startedAt = now;
        run.lease = new TaskLease(terms, now, fetch, terms.cap(j, fetch));
        return run;
    }

    /** Expected ms of fetching a job's image on a machine, none if it is there. */
    private long fetchMs(Machine m, JobSpec j) {
        Catalog.Type t = catalog.type(m.type);
        return t == null || m.images.contains(j.image()) ? 0 : Math.round(j.imageGb() / t.fetchGbPerS() * 1000);
    }

    private void follow(Machine m, Claim c, Entry e, Run run, long now) {
        if (e.phase() == Entry.Phase.FETCHING && run.fetchUntil < 0) {
            run.fetchUntil = now + fetchMs(m, c.job().spec);
        }
        boolean running = e.phase() == Entry.Phase.RUNNING || e.phase() == Entry.Phase.SAVING;
        boolean before = run.lease.runningSince() >= 0;
        TaskLease.Renewal got = run.lease.report(now, running);
        if (e.phase() != Entry.Phase.FETCHING) {
            m.image(c.job().spec.image(), catalog);
        }
        if (running && !before) {
            counters.started(effects.wallTime() - c.job().acceptedAtMs);
            LOG.info("task {} attempt {} runs on {}", c.taskKey(), c.attempt(), m.name);
        }
        if (got == TaskLease.Renewal.GRANTED) {
            counters.renewed++;
        } else if (got == TaskLease.Renewal.AT_CAP && !run.countedAtCap) {
            run.countedAtCap = true;
            counters.atCap++;
            atCap(m, c, run, now);
        } else if (got == TaskLease.Renewal.LAPSED) {
            lapsed(m, c, run);
        }
    }

    /** At its cap a task is moved only if it loses nothing by it; else it runs on and the machine counts as slower. */
    private void atCap(Machine m, Claim c, Run run, long now) {
        JobSpec j = c.job().spec;
        LOG.info("task {} attempt {} on {} is at its cap", c.taskKey(), c.attempt(), m.name);
        m.speed.observe(j.estimateS() * speeds.bias(j.cls()), (now - run.lease.runningSince()) / 1000.0);
        if (j.resumes()) {
            stopJobTask(c, j.saveS() + 4, "at cap");
        }
    }

    private void lapsed(Machine m, Claim c, Run run) {
        if (!run.ended) {
            run.ended = true;
            counters.lapsed++;
            m.speed.observe(1, 4);
            LOG.info("lease of task {} attempt {} on {} lapsed", c.taskKey(), c.attempt(), m.name);
            stopJobTask(c, 0, "lapsed");
        }
    }

    private void stopJobTask(Claim c, double grace, String reason) {
        if (c.job().spec.gang()) {
            listener.stopGang(c.job(), grace, reason);
        } else {
            wishStop(c, grace, reason);
        }
    }

    private void exited(Machine m, Claim c, Entry e, Run run, Reconciliation.ClaimOutcome write) {
        JobSpec j = c.job().spec;
        long now = effects.now();
        switch (write) {
            case DONE -> {
                if (run.lease.runningSince() >= 0
                        && c.attempt() == 1
                        && !run.countedAtCap
                        && j.estimateS() > 0
                        && !outcomes.pending(e.attemptKey())) {
                    double took = (now - run.lease.runningSince()) / 1000.0;
                    speeds.observe(j.cls(), j.estimateS(), took);
                    m.speed.observe(j.estimateS() * speeds.bias(j.cls()), took);
                }
                m.errorJobs.clear();
                release(c, Outcomes.Kind.DONE, "done");
            }
            case ERROR -> {
                if (!outcomes.pending(e.attemptKey())) {
                    erred(m, c);
                }
                release(c, Outcomes.Kind.ERROR, "error");
            }
            default -> release(c, Outcomes.Kind.LOST, e.why() + (e.saved() ? ", saved" : ""));
        }
    }

    /** Errors of different jobs speak against the machine; of one job on several machines, against the job. */
    private void erred(Machine m, Claim c) {
        counters.errors++;
        for (String name : faults.failed(c.job(), m)) {
            Machine x = machines.get(name);
            if (x != null && x != m && faults.against(x, view::job) == 0) {
                x.quarantineUntil = 0;
            }
        }
        if (faults.against(m, view::job) > 0) {
            m.quarantineUntil = effects.now() + quarantineMs;
        }
        if (!m.condemned && m.judgeAt < 0 && faults.condemns(m, view::job)) {
            m.judgeAt = effects.now() + quarantineMs;
        }
    }

    /**
     * While a machine gets nothing new, the same jobs may come to fail elsewhere too. Judged at its second job's first error, machines
     * were given up with all their replicas for two jobs that failed everywhere.
     */
    private void judge(Machine m) {
        m.judgeAt = -1;
        if (faults.condemns(m, view::job)) {
            m.condemned = true;
            counters.condemned++;
            LOG.info("machine {} fails tasks of different jobs, it is given up", m.name);
        }
    }

    /** Takes a claim out of the store, the caller having the proof that the task is not on the machine any more. */
    private void release(Claim c, Outcomes.Kind outcome, String proof) {
        if (outcomes.add(c, outcome)) {
            LOG.info("task {} attempt {} left {}: {}", c.taskKey(), c.attempt(), c.machine(), proof);
        }
    }

    // ---- commands

    /** Sends starts and stops straight to machines whose state changed, so that they need not wait for a report. */
    public void flush() {
        if (dirty.isEmpty()) {
            return;
        }
        List<Machine> all = new ArrayList<>(dirty);
        dirty.clear();
        for (Machine m : all) {
            m.dirty = false;
            if (membership.owns(m.shard) && m.heardAt >= 0) {
                reconcile(m);
                commands.push(m);
            }
        }
    }

    /** Asks for an attempt to be stopped; repeated until it is seen to be saving or gone. */
    public void wishStop(Claim c, double graceS, String reason) {
        Machine m = machines.get(c.machine());
        String ak = c.attemptKey();
        if (m == null || !membership.owns(c.shard())) {
            return;
        }
        Stop old = m.stops.get(ak);
        if (old == null || old.graceS > graceS) {
            m.stops.put(ak, new Stop(graceS, reason, effects.now()));
            counters.stops++;
            orders.recordStop(ak, reason, effects.now());
            LOG.info("task {} attempt {} on {} is to stop: {}", c.taskKey(), c.attempt(), m.name, reason);
            touch(m.name);
        }
    }

    /** A notice: what can save does so at once; what ends in time may; the rest starts elsewhere without waiting. */
    private void drain(Machine m, long now) {
        long left = m.noticeAt - now;
        for (Claim c : view.claims(m.name).values()) {
            JobSpec j = c.job().spec;
            String ak = c.attemptKey();
            if (m.stops.containsKey(ak) || !m.entries.containsKey(ak)) {
                continue;
            }
            Run run = m.runs.get(ak);
            double expected = j.estimateS() * speeds.bias(j.cls()) * 1000 / m.speed.value();
            boolean endsInTime = !j.service()
                    && !j.resumes()
                    && run != null
                    && run.lease.runningSince() >= 0
                    && run.lease.runningSince() + expected < m.noticeAt
                    && left > 2_500;
            if (!endsInTime) {
                stopJobTask(c, j.resumes() ? j.saveS() + 1 : 0, "notice");
            }
        }
    }

    // ---- offers

    private boolean usable(Machine m) {
        return fit(m) && shownToHear(m);
    }

    /** Whether a machine's worker has shown that it hears us as its owner. */
    private boolean shownToHear(Machine m) {
        return m.token >= membership.term(m.shard) && m.hears;
    }

    /** Whether nothing but the evidence that its worker hears us keeps a machine from getting tasks. */
    private boolean fit(Machine m) {
        long now = effects.now();
        return m.heardAt >= 0
                && membership.owns(m.shard)
                && !m.condemned
                && !m.leaving
                && !m.gone
                && m.noticeAt < 0
                && m.session != m.deadSession
                && commands.reporting(m, now)
                && now >= m.quarantineUntil;
    }

    /** Checks a task offered to one of our machines and keeps room for it; returns why not, or null. */
    public String reserve(JobSpec j, int task, String machine, long session, boolean makesRoom) {
        Machine m = machines.get(machine);
        if (m == null || !usable(m)) {
            return "not usable";
        }
        if (m.session != session) {
            return "other session";
        }
        if (m.errorJobs.containsKey(j.id())) {
            return "failed here";
        }
        String key = j.id() + "/" + task;
        for (Entry e : m.entries.values()) {
            if (e.key().equals(key) && !e.exited()) {
                return "still here";
            }
        }
        if (!room.fits(m, j, makesRoom)) {
            return "no room";
        }
        room.keep(m, key, j);
        return null;
    }

    /** An accepted offer is called off: without this, gangs that found only part of their room kept it from each other. */
    public void unreserve(String machine, String key) {
        Machine m = machines.get(machine);
        if (m != null) {
            m.reserved.remove(key);
        }
    }

    /** The autoscaler wants to return a machine: agreed only if nothing is or may come to be on it. */
    public boolean retire(String machine, boolean withTasks) {
        Machine m = machines.get(machine);
        if (m == null || !membership.owns(m.shard)) {
            return false;
        }
        // Without this, one old reservation kept a machine rented for good.
        room.forgetReservations(m);
        if (m.condemned || view.claims(machine).isEmpty() && m.reserved.isEmpty()) {
            m.leaving = true;
            return true;
        }
        if (withTasks && m.reserved.isEmpty()) {
            m.leaving = true;
        }
        return false;
    }

    /** The cloud confirmed that a machine is gone: proof for all that was on it. */
    public void gone(String machine) {
        Machine m = machines.get(machine);
        if (m != null) {
            m.gone = true;
        }
        tombstones.gone(machine);
        for (Claim c : List.copyOf(view.claims(machine).values())) {
            if (membership.owns(c.shard())) {
                release(c, Outcomes.Kind.LOST, "machine gone");
            }
        }
    }

    // ---- time

    public void tick() {
        long now = effects.now();
        if (now - lastTick > STILL_MS) {
            listeningFrom = now;
        }
        lastTick = now;
        if (!store.loaded()) {
            return;
        }
        outcomes.tick();
        if (now < nextSweep) {
            return;
        }
        nextSweep = now + 500;
        boolean sweepLeases = now >= nextLeaseSweep;
        if (sweepLeases) {
            nextLeaseSweep = now + terms.sweepMs();
        }
        for (String name : List.copyOf(view.claimedMachines())) {
            Map<String, Claim> claims = view.claims(name);
            Claim any = claims.isEmpty() ? null : claims.values().iterator().next();
            if (any != null && membership.owns(any.shard())) {
                watchSilence(machine(name, any.shard()), now);
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
            if (m.heardAt >= 0
                            && now - m.heardAt > 120_000
                            && view.claims(m.name).isEmpty()
                    || m.gone && view.claims(m.name).isEmpty() && now - m.heardAt > 30_000) {
                tombstones.leaves(m);
                machines.remove(m.name);
                continue;
            }
            if (sweepLeases) {
                sweep(m, now);
            }
            if (m.judgeAt >= 0 && now >= m.judgeAt) {
                judge(m);
            }
            if (m.noticeAt >= 0) {
                drain(m, now);
            }
            if (m.leaving) {
                move(m);
            }
            if (!m.stops.isEmpty() || hasUnstarted(m) || reachability.doubtful(m, membership.term(m.shard))) {
                commands.push(m);
            }
        }
    }

    /** Replicas leave a machine that is to be returned one at a time, so that only one is down at any moment. */
    private void move(Machine m) {
        for (Claim c : view.claims(m.name).values()) {
            if (m.stops.containsKey(c.attemptKey())) {
                return;
            }
        }
        for (Claim c : view.claims(m.name).values()) {
            if (c.job().spec.service() && m.entries.containsKey(c.attemptKey())) {
                wishStop(c, 0, "moves");
                return;
            }
        }
    }

    private boolean hasUnstarted(Machine m) {
        for (Claim c : view.claims(m.name).values()) {
            if (!m.entries.containsKey(c.attemptKey())) {
                return true;
            }
        }
        return false;
    }

    /** The paper's sweep: lapsed leases are stopped, counted, and go elsewhere once the machine confirms. */
    private void sweep(Machine m, long now) {
        for (Claim c : view.claims(m.name).values()) {
            Run run = m.runs.get(c.attemptKey());
            if (run != null && run.lease.lapsed(now)) {
                lapsed(m, c, run);
            }
        }
    }

    /** A worker drops its tasks once its lease is over ({@link WorkerLease}); until then a silent machine keeps its claims. */
    private void watchSilence(Machine m, long now) {
        if (now < leaseEnd(m)) {
            return;
        }
        if (m.deadSession != m.session) {
            m.deadSession = m.session;
            LOG.info(
                    "lease over machine={} session={} term={} owned_ms={} {}",
                    m.name,
                    m.session,
                    membership.term(m.shard),
                    now - membership.ownedSinceMs(m.shard),
                    m.workerLease.evidence(now));
        }
        for (Claim c : List.copyOf(view.claims(m.name).values())) {
            if (m.session == 0 || c.session() <= m.session) {
                remember(m, c, m.heardAt >= 0);
                checks.releaseOfSilent(c, m);
                release(c, Outcomes.Kind.SILENT, "worker's lease over");
            }
        }
    }

    /**
     * Whether what a machine shows tells of now. Before its worker has heard us it may be a copy from before its lease was over; and what
     * comes in a session that was already over was held back on its way.
     */
    private boolean tells(Machine m) {
        return m.token >= membership.term(m.shard) && m.session != m.deadSession;
    }

    /** When the worker of a machine of ours has certainly dropped its tasks, or {@link WorkerLease#NEVER}. */
    private long leaseEnd(Machine m) {
        return m.workerLease.endsBy(
                membership.term(m.shard),
                new WorkerLease.Ownership(membership.ownedSinceMs(m.shard), membership.fencedAtMs(m.shard)));
    }

    public List<MachineStatus> pictures() {
        long now = effects.now();
        List<MachineStatus> l = new ArrayList<>();
        for (Machine m : machines.values()) {
            if (m.heardAt < 0 || m.gone || !membership.owns(m.shard)) {
                continue;
            }
            room.forgetReservations(m);
            int silentMs = silentMs(m, now);
            boolean fit = fit(m);
            boolean hears = shownToHear(m);
            l.add(new MachineStatus(
                    m.name,
                    m.type,
                    m.zone,
                    m.spot,
                    m.session,
                    m.shard,
                    fit && hears,
                    fit && !hears && silentMs == 0,
                    m.condemned,
                    m.leaving,
                    silentMs,
                    m.idleSince,
                    m.speed.value(),
                    room.stray(m),
                    fetching(m, now),
                    m.images.stream().mapToInt(i -> i).toArray(),
                    m.reserved.isEmpty() ? List.of() : List.copyOf(m.reserved.keySet())));
        }
        return l;
    }

    /**
     * Without its second part, a controller that had stood still for 13 s told that its machines were silent for as long, and the autoscaler
     * deleted those that had something to do.
     */
    private int silentMs(Machine m, long now) {
        return (int) Math.min(reachability.silentMs(m, commands.reporting(m, now), now), now - listeningFrom);
    }

    /** Images being fetched, each with the ms that it should still take: image, ms, image, ms. */
    private int[] fetching(Machine m, long now) {
        Map<Integer, Integer> left = new LinkedHashMap<>();
        for (Claim c : view.claims(m.name).values()) {
            Entry e = m.entries.get(c.attemptKey());
            Run run = m.runs.get(c.attemptKey());
            int image = c.job().spec.image();
            if (m.images.contains(image) || e != null && e.phase() != Entry.Phase.FETCHING) {
                continue;
            }
            long ms = run == null || run.fetchUntil < 0
                    ? fetchMs(m, c.job().spec)
                    : Math.max(1_000, run.fetchUntil - now);
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
