package birchusher.workers;

import birchusher.core.Effects;
import birchusher.core.TokenBucket;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the direct calls to workers and the reaps, up to a rate; lines above it are counted in {@link Counters#unloggedCommands}. */
final class CommandLog {
    private static final Logger LOG = LoggerFactory.getLogger(CommandLog.class);
    private static final double MAX_LINES_PER_S = 20;
    private static final double MAX_LINES_AT_ONCE = 100;

    private final Effects effects;
    private final Counters counters;
    private final TokenBucket lines = new TokenBucket(MAX_LINES_PER_S, MAX_LINES_AT_ONCE);

    CommandLog(Effects effects, Counters counters) {
        this.effects = effects;
        this.counters = counters;
    }

    /**
     * Logs a direct call when its answer has come or is no longer waited for.
     *
     * @param status the HTTP status of the answer, 0 if there was none
     */
    void logCall(Machine machine, long term, long session, List<WorkerCommand> commands, long sentAtMs, int status) {
        if (!commands.isEmpty() && mayLog()) {
            LOG.info(
                    "direct call to {} session={} term={} status={} took_ms={} commands={}",
                    machine.name,
                    session,
                    term,
                    status,
                    effects.now() - sentAtMs,
                    commands);
        }
    }

    /** Logs the reaps among the commands to a worker, with the terms under which their attempts were started directly. */
    void logReaps(Machine machine, long term, List<WorkerCommand> commands, boolean direct) {
        for (WorkerCommand command : commands) {
            if (command.type() == WorkerCommand.Type.REAP && mayLog()) {
                LOG.info(
                        "{} on {} session={} term={} start_term={} direct={}",
                        command,
                        machine.name,
                        machine.session,
                        term,
                        machine.directStarts.term(command.attemptKey()),
                        direct);
            }
        }
    }

    private boolean mayLog() {
        if (lines.tryTake(effects.now(), 1)) {
            return true;
        }
        counters.unloggedCommands++;
        return false;
    }
}
