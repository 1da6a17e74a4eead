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
import birchusher.workers.Machine.AttemptState;
import birchusher.workers.Machine.StopRequest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The commands that a machine of ours gets, with the answers to its reports and straight. */
final class Commands {
    private static final Logger LOG = LoggerFactory.getLogger(Commands.class);
    private static final long COMMAND_TIMEOUT_MS = 3_000;
    /** Room that has not come by then, as a machine hangs or owner and driver disagree, is not waited for. */
    private static final long HELD_START_TIMEOUT_MS = 15_000;

    /** Counted from our answer, so that the time it was sent after the report is to spare. */
    private static final long RESPONSE_LIFETIME_MS = Math.round(Settings.NO_ANSWER_MS * (1 + 2 * Settings.DRIFT)) + 50;

    /** Who follows the machines' attempts and takes their reports. */
    interface AttemptTracker {
        AttemptState newAttempt(Machine m, JobSpec j, long now);

        boolean acceptReport(Machine m, Report r, int zone);
    }

    private final Effects effects;
    private final Settings settings;
    private final Catalog catalog;
    private final StoreView view;
    private final StoreClient store;
    private final Membership membership;
    private final OutcomeRecorder outcomes;
    private final ActionCounters actionCounters;
    private final SafetyChecks checks;
    private final AttemptTracker tracker;

    Commands(
            Effects effects,
            Settings s,
            Catalog catalog,
            StoreView view,
            StoreClient store,
            Membership membership,
            OutcomeRecorder outcomes,
            ActionCounters account,
            SafetyChecks checks,
            AttemptTracker owner) {
        this.effects = effects;
        this.settings = s;
        this.catalog = catalog;
        this.view = view;
        this.store = store;
        this.membership = membership;
        this.outcomes = outcomes;
        this.actionCounters = account;
        this.checks = checks;
        this.tracker = owner;
    }

    /** Whether a machine's reports come as they should. */
    boolean isReporting(Machine m, long now) {
        return now - m.lastMessageAtMs < reportTimeoutMs();
    }

    /** Within this the next report of a worker that reports to us is here. */
    long reportTimeoutMs() {
        return Math.round(settings.reportS() * 1250) + 1_500;
    }

    /** Whether nobody wants this attempt to run any more. */
    boolean isUnwanted(Machine m, Claim c) {
        return c.job().state() != Job.State.OPEN
                || hasLostGangTask(c.job())
                || view.isCancelled(c.job().spec.id())
                || m != null
                        && (m.stopRequests.containsKey(c.attemptKey())
                                || m.interruptionAtMs >= 0
                                || m.deleted
                                || effects.now() - m.heldStarts.getOrDefault(c.attemptKey(), effects.now())
                                        > HELD_START_TIMEOUT_MS);
    }

    /** A gang attempt that has lost a task can't go on; all its claims were made at once, so a gap means a loss. */
    private static boolean hasLostGangTask(Job j) {
        return j.spec.isGang() && j.claimCount() < j.spec.tasks() && !j.allDone();
    }

    List<Object> commandsFor(Machine m, boolean straight) {
        List<Object> orders = new ArrayList<>();
        if (!store.loaded()) {
            return orders;
        }
        if (!membership.viewCoversTakeover(m.shard)) {
            // Cancelled is for good, however old the view: without this, a new owner renewed such tasks and could not
            // stop them.
            for (ReportedTask e : m.reportedTasks.values()) {
                if (!e.exited()
                        && view.isCancelled(e.taskKey().substring(0, e.taskKey().lastIndexOf('/')))) {
                    orders.add(command(Wire.STOP, e.taskKey(), e.attempt(), 0));
                }
            }
            return orders;
        }
        long now = effects.now();
        Map<String, Claim> claims = view.claims(m.name);
        for (ReportedTask e : m.reportedTasks.values()) {
            Claim c = claims.get(e.taskKey());
            StopRequest stop = m.stopRequests.get(e.attemptKey());
            Reconciliation.ClaimState row =
                    c == null || c.attempt() != e.attempt() ? Reconciliation.ClaimState.NONE : recordedState(m, c);
            if (row == Reconciliation.ClaimState.UNWANTED
                    && (stop != null || m.interruptionAtMs >= 0 || c.job().allDone())
                    && !view.isCancelled(c.job().spec.id())) {
                // A wish to stop has its own grace, and what is done elsewhere ends by itself. What a cancelled task
                // saves is of no use,
                // and its grace may be longer than a cancellation has.
                row = Reconciliation.ClaimState.CLAIMED;
            }
            switch (Reconciliation.command(row, reportedState(e), ownerKnowledge(m, e.attemptKey()))) {
                case REAP -> orders.add(command(Wire.FORGET, e.taskKey(), e.attempt(), -1));
                case FENCE -> fenceUnansweredStart(m, e.attemptKey(), now);
                case STOP -> orders.add(command(Wire.STOP, e.taskKey(), e.attempt(), 0));
                default -> {
                    if (row == Reconciliation.ClaimState.CLAIMED && stop != null && !e.exited()) {
                        addStop(orders, e, stop, now);
                    }
                }
            }
        }
        for (Claim c : claims.values()) {
            String ak = c.attemptKey();
            Reconciliation.ClaimState row = recordedState(m, c);
            if (m.reportedTasks.containsKey(ak) || row == Reconciliation.ClaimState.EARLIER) {
                continue;
            }
            Reconciliation.Command must =
                    Reconciliation.command(row, Reconciliation.ReportedState.ABSENT, ownerKnowledge(m, ak));
            if (must == Reconciliation.Command.FENCE) {
                fenceUnansweredStart(m, ak, now);
            }
            if (must != Reconciliation.Command.START
                    || m.session == m.expiredSession
                    || straight && m.unansweredStarts.containsKey(ak)
                    || m.heldStarts.containsKey(ak)) {
                continue;
            }
            if (!m.attempts.containsKey(ak)) {
                m.attempts.put(ak, tracker.newAttempt(m, c.job().spec, now));
                actionCounters.recordStart(ak, c.attempt() > 1, now);
                checks.checkStart(c, m);
                LOG.info(
                        "task {} attempt {} starts on {} session={} term={} heard_ms={}",
                        c.taskKey(),
                        c.attempt(),
                        m.name,
                        m.session,
                        membership.term(m.shard),
                        now - m.lastMessageAtMs);
            }
            orders.add(command(Wire.START, c.taskKey(), c.attempt(), -1));
            if (straight) {
                m.unansweredStarts.put(ak, new long[] {now, membership.term(m.shard)});
            } else {
                m.startsInResponses.put(ak, now);
            }
        }
        return orders;
    }

    private static void addStop(List<Object> orders, ReportedTask e, StopRequest stop, long now) {
        boolean overdue = now - stop.requestedAtMs > stop.graceS * 1000 + 4_000;
        if (e.phase() != ReportedTask.Phase.SAVING) {
            orders.add(command(Wire.STOP, e.taskKey(), e.attempt(), stop.graceS));
        } else if (overdue) {
            orders.add(command(Wire.STOP, e.taskKey(), e.attempt(), 0));
        }
    }

    // ---- what the squaring table asks for

    /** What the rows say of a claim on a machine of ours, by its session and by whether anybody wants it any more. */
    Reconciliation.ClaimState recordedState(Machine m, Claim c) {
        if (c.session() != m.session) {
            return c.session() < m.session ? Reconciliation.ClaimState.EARLIER : Reconciliation.ClaimState.LATER;
        }
        return isUnwanted(m, c) ? Reconciliation.ClaimState.UNWANTED : Reconciliation.ClaimState.CLAIMED;
    }

    static Reconciliation.ReportedState reportedState(ReportedTask e) {
        return e == null
                ? Reconciliation.ReportedState.ABSENT
                : switch (e.phase()) {
                    case FETCHING -> Reconciliation.ReportedState.FETCHING;
                    case WAITING -> Reconciliation.ReportedState.WAITING;
                    case RUNNING -> Reconciliation.ReportedState.RUNNING;
                    case SAVING -> Reconciliation.ReportedState.SAVING;
                    case EXITED -> e.exitReason() == ReportedTask.ExitReason.DONE
                            ? Reconciliation.ReportedState.DONE
                            : e.exitReason() == ReportedTask.ExitReason.ERROR
                                    ? Reconciliation.ReportedState.ERROR
                                    : Reconciliation.ReportedState.ENDED;
                };
    }

    Reconciliation.OwnerKnowledge ownerKnowledge(Machine m, String ak) {
        AttemptState run = m.attempts.get(ak);
        return new Reconciliation.OwnerKnowledge(
                run != null && run.reported,
                m.unansweredStarts.containsKey(ak) || mayBeInFlight(m, ak),
                m.fencingToken >= membership.term(m.shard),
                outcomes.pending(ak));
    }

    /**
     * Whether an answer with this start may still be carried out. The reply to a direct command overtakes it and does not show the attempt:
     * taken for proof that nothing was started, the task was started elsewhere, and then here as well.
     */
    private boolean mayBeInFlight(Machine m, String ak) {
        Long at = m.startsInResponses.get(ak);
        return at != null && effects.now() - at < RESPONSE_LIFETIME_MS;
    }

    /** An unanswered start may still arrive; when that must not happen any more, a higher term keeps it out. */
    private void fenceUnansweredStart(Machine m, String attemptKey, long now) {
        long[] l = m.unansweredStarts.get(attemptKey);
        if (l != null && now - l[0] > COMMAND_TIMEOUT_MS + 500 && l[1] >= membership.term(m.shard)) {
            membership.raiseTerm(m.shard);
        }
    }

    private static Map<String, Object> command(String op, String task, long attempt, double grace) {
        Map<String, Object> o = new LinkedHashMap<>();
        o.put(Wire.OP, op);
        o.put(Wire.TASK, task);
        o.put(Wire.ATTEMPT, attempt);
        if (grace >= 0) {
            o.put(Wire.GRACE, grace);
        }
        return o;
    }

    void sendCommands(Machine m) {
        long now = effects.now();
        boolean reachable = m.address != null && isReporting(m, now);
        if (m.commandInFlight
                || !reachable
                || m.fencingToken < membership.term(m.shard) && m.fencingToken > 0 && now - m.lastMessageAtMs > 1_000) {
            return;
        }
        List<Object> orders = commandsFor(m, true);
        if (orders.isEmpty() && (m.receivesResponses || m.fencingToken < membership.term(m.shard))) {
            // Without orders it only asks whether the worker hears us, where its reports alone don't show that.
            return;
        }
        m.commandInFlight = true;
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
                (int) COMMAND_TIMEOUT_MS,
                (status, body) -> {
                    m.commandInFlight = false;
                    if (status == 0) {
                        LOG.info(
                                "machine {} did not answer {} commands after {} ms",
                                m.name,
                                orders.size(),
                                effects.now() - sent);
                        return;
                    }
                    for (String ak : starts) {
                        long[] l = m.unansweredStarts.get(ak);
                        if (l != null && l[0] == sent) {
                            m.unansweredStarts.remove(ak);
                        }
                    }
                    if ((status == 200 || status == 409) && membership.owns(m.shard)) {
                        try {
                            Report r = Report.read(body);
                            int zone = catalog.zones.find(r.zone());
                            if (zone >= 0 && r.machine().equals(m.name)) {
                                boolean held = !m.heldStarts.isEmpty();
                                tracker.acceptReport(m, r, zone);
                                if (held) {
                                    // What was stopped has left: the start need not wait for the next report.
                                    sendCommands(m);
                                }
                            }
                        } catch (Fields.InvalidInputException e) {
                            LOG.info("machine {}: unreadable answer: {}", m.name, e.getMessage());
                        }
                    }
                });
    }
}
