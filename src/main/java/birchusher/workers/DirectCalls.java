package birchusher.workers;

import birchusher.core.Effect.Destination;
import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.membership.Membership;
import birchusher.model.Catalog;
import birchusher.wire.Wire;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands directly to workers, where a machine need not wait for its next report, and handles the answers. A machine has at most one such
 * call in flight. Not thread-safe: called on the controller's thread.
 */
final class DirectCalls {
    private static final Logger LOG = LoggerFactory.getLogger(DirectCalls.class);
    /** How long the answer to a call is waited for, in ms. */
    static final long TIMEOUT_MS = 3_000;
    /** Machines whose workers have shown only an earlier term get direct commands only for this time after their last message, in ms. */
    private static final long MAX_MESSAGE_AGE_BEFORE_TERM_MS = 1_000;

    /** Applies the reports that answer direct calls. */
    interface ReportHandler {
        /** Applies a report if it is newer than the last one of its machine. */
        void acceptReport(Machine machine, Report report, int zone);
    }

    private final Effects effects;
    private final Catalog catalog;
    private final Membership membership;
    private final Commands commands;
    private final CommandLog commandLog;
    private final ReportHandler reportHandler;

    DirectCalls(
            Effects effects,
            Catalog catalog,
            Membership membership,
            Commands commands,
            CommandLog commandLog,
            ReportHandler reportHandler) {
        this.effects = effects;
        this.catalog = catalog;
        this.membership = membership;
        this.commands = commands;
        this.commandLog = commandLog;
        this.reportHandler = reportHandler;
    }

    /** Sends a machine's commands directly, unless it is unreachable or a direct call is in flight. Its answer is a report. */
    void send(Machine machine) {
        if (!isReachable(machine)) {
            return;
        }
        long term = membership.term(machine.shard);
        List<WorkerCommand> sent = commands.commandsFor(machine, true);
        if (sent.isEmpty() && (machine.receivesResponses || machine.fencingToken < term)) {
            // Without commands, the request only asks whether the worker can be reached; that is needed only where
            // its reports don't show it.
            return;
        }
        machine.commandInFlight = true;
        long session = machine.session;
        long sentAtMs = effects.now();
        effects.call(
                Destination.WORKER,
                machine.address,
                "POST",
                Wire.WORKER_COMMANDS,
                Map.of(
                        Wire.MACHINE,
                        machine.name,
                        Wire.FENCING_TOKEN,
                        term,
                        Wire.SESSION,
                        session,
                        Wire.COMMANDS,
                        sent.stream().map(WorkerCommand::fields).toList()),
                (int) TIMEOUT_MS,
                (status, body) -> {
                    commandLog.logCall(machine, term, session, sent, sentAtMs, status);
                    onAnswer(machine, sent, sentAtMs, status, body);
                });
    }

    private boolean isReachable(Machine machine) {
        long now = effects.now();
        return !machine.commandInFlight
                && machine.address != null
                && commands.isReporting(machine, now)
                && (machine.fencingToken >= membership.term(machine.shard)
                        || machine.fencingToken <= 0
                        || now - machine.lastMessageAtMs <= MAX_MESSAGE_AGE_BEFORE_TERM_MS);
    }

    private void onAnswer(
            Machine machine, List<WorkerCommand> sent, long sentAtMs, int status, Map<String, Object> body) {
        machine.commandInFlight = false;
        if (status == 0) {
            return;
        }
        for (WorkerCommand command : sent) {
            if (command.type() == WorkerCommand.Type.START) {
                machine.directStarts.onAnswered(command.attemptKey(), sentAtMs);
            }
        }
        if ((status == 200 || status == 409) && membership.owns(machine.shard)) {
            applyReport(machine, body);
        }
    }

    private void applyReport(Machine machine, Map<String, Object> body) {
        try {
            Report report = Report.read(body);
            int zone = catalog.zones.find(report.zone());
            if (zone >= 0 && report.machine().equals(machine.name)) {
                boolean hadHeldStarts = !machine.heldStarts.isEmpty();
                reportHandler.acceptReport(machine, report, zone);
                if (hadHeldStarts) {
                    // The stopped tasks may have left: the held start need not wait for the next report.
                    send(machine);
                }
            }
        } catch (Fields.InvalidInputException invalid) {
            LOG.info("machine {}: invalid answer to direct commands: {}", machine.name, invalid.getMessage());
        }
    }
}
