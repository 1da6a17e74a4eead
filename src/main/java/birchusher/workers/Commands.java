package birchusher.workers;

import birchusher.core.Effect.Destination;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.recovery.ActionCounters;
import birchusher.recovery.Reconciliation;
import birchusher.settings.Settings;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.wire.Wire;
import birchusher.workers.Machine.Run;
import birchusher.workers.Machine.Stop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The commands that a machine of ours gets, with the answers to its reports and straight. */
final class Commands {
    private static final Logger LOG = LoggerFactory.getLogger(Commands.class);
    private static final long DO_TIMEOUT_MS = 3_000;
    /** Room that has not come by then, as a machine hangs or owner and driver disagree, is not waited for. */
    private static final long HELD_MS = 15_000;

    /** Counted from our answer, so that the time it was sent after the report is to spare. */
    private static final long ANSWER_MS = Math.round(Settings.NO_ANSWER_MS * (1 + 2 * Settings.DRIFT)) + 50;

    /** Who follows the machines' attempts and takes their reports. */
    interface Owner {
        Run newRun(Machine m, JobSpec j, long now);

        boolean take(Machine m, Report r, int zone);
    }

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final Outcomes outcomes;
    private final ActionCounters account;
    private final SafetyChecks checks;
    private final Owner owner;

    Commands(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            Outcomes outcomes,
            ActionCounters account,
            SafetyChecks checks,
            Owner owner) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.outcomes = outcomes;
        this.account = account;
        this.checks = checks;
        this.owner = owner;
    }

    /** Whether a machine's reports come as they should. */
    boolean reporting(Machine m, long now) {
        return now - m.heardAt < reportingMs();
    }

    /** Within this the next report of a worker that reports to us is here. */
    long reportingMs() {
        return Math.round(settings.reportS() * 1250) + 1_500;
    }

    /** Whether nobody wants this attempt to run any more. */
    boolean unwanted(Machine m, Claim c) {
        return c.job().state() != Job.State.OPEN
                || broken(c.job())
                || view.isCancelled(c.job().spec.id())
                || m != null
                        && (m.stops.containsKey(c.attemptKey())
                                || m.noticeAt >= 0
                                || m.gone
                                || effects.now() - m.held.getOrDefault(c.attemptKey(), effects.now()) > HELD_MS);
    }

    /** A gang attempt that has lost a task can't go on; all its claims were made at once, so a gap means a loss. */
    private static boolean broken(Job j) {
        return j.spec.gang() && j.claimCount() < j.spec.tasks() && !j.allDone();
    }

    List<Object> orders(Machine m, boolean straight) {
        List<Object> orders = new ArrayList<>();
        if (!store.loaded()) {
            return orders;
        }
        if (!membership.viewCoversTakeover(m.shard)) {
            // Cancelled is for good, however old the view: without this, a new owner renewed such tasks and could not
            // stop them.
            for (Entry e : m.entries.values()) {
                if (!e.exited() && view.isCancelled(e.key().substring(0, e.key().lastIndexOf('/')))) {
                    orders.add(order(Wire.STOP, e.key(), e.attempt(), 0));
                }
            }
            return orders;
        }
        long now = effects.now();
        Map<String, Claim> claims = view.claims(m.name);
        for (Entry e : m.entries.values()) {
            Claim c = claims.get(e.key());
            Stop stop = m.stops.get(e.attemptKey());
            Reconciliation.ClaimState row =
                    c == null || c.attempt() != e.attempt() ? Reconciliation.ClaimState.NONE : row(m, c);
            if (row == Reconciliation.ClaimState.UNWANTED
                    && (stop != null || m.noticeAt >= 0 || c.job().allDone())
                    && !view.isCancelled(c.job().spec.id())) {
                // A wish to stop has its own grace, and what is done elsewhere ends by itself. What a cancelled task
                // saves is of no use,
                // and its grace may be longer than a cancellation has.
                row = Reconciliation.ClaimState.CLAIMED;
            }
            switch (Reconciliation.command(row, shown(e), known(m, e.attemptKey()))) {
                case REAP -> orders.add(order(Wire.FORGET, e.key(), e.attempt(), -1));
                case FENCE -> fence(m, e.attemptKey(), now);
                case STOP -> orders.add(order(Wire.STOP, e.key(), e.attempt(), 0));
                default -> {
                    if (row == Reconciliation.ClaimState.CLAIMED && stop != null && !e.exited()) {
                        stop(orders, e, stop, now);
                    }
                }
            }
        }
        for (Claim c : claims.values()) {
            String ak = c.attemptKey();
            Reconciliation.ClaimState row = row(m, c);
            if (m.entries.containsKey(ak) || row == Reconciliation.ClaimState.EARLIER) {
                continue;
            }
            Reconciliation.Command must =
                    Reconciliation.command(row, Reconciliation.ReportedState.ABSENT, known(m, ak));
            if (must == Reconciliation.Command.FENCE) {
                fence(m, ak, now);
            }
            if (must != Reconciliation.Command.START
                    || m.session == m.deadSession
                    || straight && m.loose.containsKey(ak)
                    || m.held.containsKey(ak)) {
                continue;
            }
            if (!m.runs.containsKey(ak)) {
                m.runs.put(ak, owner.newRun(m, c.job().spec, now));
                account.recordStart(ak, c.attempt() > 1, now);
                checks.start(c, m);
                LOG.info(
                        "task {} attempt {} starts on {} session={} term={} heard_ms={}",
                        c.taskKey(),
                        c.attempt(),
                        m.name,
                        m.session,
                        membership.term(m.shard),
                        now - m.heardAt);
            }
            orders.add(order(Wire.START, c.taskKey(), c.attempt(), -1));
            if (straight) {
                m.loose.put(ak, new long[] {now, membership.term(m.shard)});
            } else {
                m.answered.put(ak, now);
            }
        }
        return orders;
    }

    private static void stop(List<Object> orders, Entry e, Stop stop, long now) {
        boolean overdue = now - stop.since > stop.graceS * 1000 + 4_000;
        if (e.phase() != Entry.Phase.SAVING) {
            orders.add(order(Wire.STOP, e.key(), e.attempt(), stop.graceS));
        } else if (overdue) {
            orders.add(order(Wire.STOP, e.key(), e.attempt(), 0));
        }
    }

    // ---- what the squaring table asks for

    /** What the rows say of a claim on a machine of ours, by its session and by whether anybody wants it any more. */
    Reconciliation.ClaimState row(Machine m, Claim c) {
        if (c.session() != m.session) {
            return c.session() < m.session ? Reconciliation.ClaimState.EARLIER : Reconciliation.ClaimState.LATER;
        }
        return unwanted(m, c) ? Reconciliation.ClaimState.UNWANTED : Reconciliation.ClaimState.CLAIMED;
    }

    static Reconciliation.ReportedState shown(Entry e) {
        return e == null
                ? Reconciliation.ReportedState.ABSENT
                : switch (e.phase()) {
                    case FETCHING -> Reconciliation.ReportedState.FETCHING;
                    case WAITING -> Reconciliation.ReportedState.WAITING;
                    case RUNNING -> Reconciliation.ReportedState.RUNNING;
                    case SAVING -> Reconciliation.ReportedState.SAVING;
                    case EXITED -> e.why() == Entry.Why.DONE
                            ? Reconciliation.ReportedState.DONE
                            : e.why() == Entry.Why.ERROR
                                    ? Reconciliation.ReportedState.ERROR
                                    : Reconciliation.ReportedState.ENDED;
                };
    }

    Reconciliation.OwnerKnowledge known(Machine m, String ak) {
        Run run = m.runs.get(ak);
        return new Reconciliation.OwnerKnowledge(
                run != null && run.shown,
                m.loose.containsKey(ak) || onItsWay(m, ak),
                m.token >= membership.term(m.shard),
                outcomes.pending(ak));
    }

    /**
     * Whether an answer with this start may still be carried out. The reply to a direct command overtakes it and does not show the attempt:
     * taken for proof that nothing was started, the task was started elsewhere, and then here as well.
     */
    private boolean onItsWay(Machine m, String ak) {
        Long at = m.answered.get(ak);
        return at != null && effects.now() - at < ANSWER_MS;
    }

    /** An unanswered start may still arrive; when that must not happen any more, a higher term keeps it out. */
    private void fence(Machine m, String attemptKey, long now) {
        long[] l = m.loose.get(attemptKey);
        if (l != null && now - l[0] > DO_TIMEOUT_MS + 500 && l[1] >= membership.term(m.shard)) {
            membership.raiseTerm(m.shard);
        }
    }

    private static Map<String, Object> order(String op, String task, long attempt, double grace) {
        Map<String, Object> o = new LinkedHashMap<>();
        o.put(Wire.OP, op);
        o.put(Wire.TASK, task);
        o.put(Wire.ATTEMPT, attempt);
        if (grace >= 0) {
            o.put(Wire.GRACE, grace);
        }
        return o;
    }

    void push(Machine m) {
        long now = effects.now();
        boolean reachable = m.address != null && reporting(m, now);
        if (m.calling || !reachable || m.token < membership.term(m.shard) && m.token > 0 && now - m.heardAt > 1_000) {
            return;
        }
        List<Object> orders = orders(m, true);
        if (orders.isEmpty() && (m.hears || m.token < membership.term(m.shard))) {
            // Without orders it only asks whether the worker hears us, where its reports alone don't show that.
            return;
        }
        m.calling = true;
        long session = m.session;
        long sent = now;
        List<String> starts = new ArrayList<>();
        for (Object o : orders) {
            Map<String, Object> x = Fields.map(o, "order");
            if (Wire.START.equals(x.get(Wire.OP))) {
                starts.add(x.get(Wire.TASK) + "#" + x.get(Wire.ATTEMPT));
            }
        }
        effects.call(
                Destination.WORKER,
                m.address,
                "POST",
                Wire.DO,
                Map.of(Wire.TOKEN, membership.term(m.shard), Wire.SESSION, session, Wire.COMMANDS, orders),
                (int) DO_TIMEOUT_MS,
                (status, body) -> {
                    m.calling = false;
                    if (status == 0) {
                        LOG.info(
                                "machine {} did not answer {} commands after {} ms",
                                m.name,
                                orders.size(),
                                effects.now() - sent);
                        return;
                    }
                    for (String ak : starts) {
                        long[] l = m.loose.get(ak);
                        if (l != null && l[0] == sent) {
                            m.loose.remove(ak);
                        }
                    }
                    if ((status == 200 || status == 409) && membership.owns(m.shard)) {
                        try {
                            Report r = Report.read(body);
                            int zone = catalog.zones.find(r.zone());
                            if (zone >= 0 && r.machine().equals(m.name)) {
                                boolean held = !m.held.isEmpty();
                                owner.take(m, r, zone);
                                if (held) {
                                    // What was stopped has left: the start need not wait for the next report.
                                    push(m);
                                }
                            }
                        } catch (Fields.InvalidInputException e) {
                            LOG.info("machine {}: unreadable answer: {}", m.name, e.getMessage());
                        }
                    }
                });
    }
}
