package birchusher.workers;

import birchusher.settings.Settings;

/**
 * Tracks whether a machine's worker receives the responses of this controller. Arriving reports prove only the direction from the worker. The
 * other is proven by what only responses or commands can cause: a report that shows this controller's term, an answer to a direct command, or a
 * next report that comes so soon that only a worker with a response sends it here. Without this, a machine that responses did not reach got
 * new tasks as long as its reports arrived, and lost all of them at the end of each of its sessions.
 *
 * <p>This decides only whether a machine is used. Claims on it are released by the usual proofs alone.
 */
final class Reachability {
    /** Margin below the earliest time at which a worker without responses reports here again. */
    private static final long MARGIN_MS = 500;

    /** A next report that arrives within this time proves that the worker received the response to the last one. */
    private final long maxNextReportMs;

    /**
     * A tracker for all machines of a controller.
     *
     * @param reportTimeoutMs the longest time between two reports of a worker that receives responses
     * @param controllers the number of controllers; without a response, a worker tries them one after the other
     */
    Reachability(long reportTimeoutMs, int controllers) {
        maxNextReportMs = Math.min(
                reportTimeoutMs,
                Settings.WORKER_RESPONSE_TIMEOUT_MS + Settings.WORKER_RETRY_DELAY_MS * controllers - MARGIN_MS);
    }

    /**
     * Updates the machine's reachability from a report newer than all before. Called before the report is applied to the machine.
     *
     * @param term this controller's term of the machine's shard
     * @param direct whether the report is the answer to a direct command
     */
    void onMessage(Machine machine, Report report, long term, boolean direct, long now) {
        boolean knownBefore = machine.lastMessageAtMs >= 0;
        boolean newSession = report.session() > machine.session;
        if (newSession) {
            machine.noResponsesInPreviousSession = knownBefore && !machine.receivesResponses;
        }
        boolean showsTerm = knownBefore && machine.fencingToken < term && report.fencingToken() >= term;
        boolean promptNextReport = knownBefore
                && !newSession
                && report.fencingToken() >= term
                && now - machine.lastMessageAtMs < maxNextReportMs;
        machine.receivesResponses = direct || showsTerm || promptNextReport;
        if (machine.receivesResponses || !knownBefore) {
            machine.receiptConfirmedAtMs = now;
        }
    }

    /** Whether to probe the worker by a direct command: it has shown the term before, so that its reports can't prove reachability by that. */
    boolean needsProbe(Machine machine, long term) {
        return !machine.receivesResponses && machine.fencingToken >= term;
    }

    /**
     * For how long a machine has been silent or has not shown that it receives responses, in ms; 0 while reports and evidence are recent.
     *
     * @param reporting whether its latest message is recent enough
     */
    int silentMs(Machine machine, boolean reporting, long now) {
        if (machine.receivesResponses) {
            return reporting ? 0 : (int) (now - machine.lastMessageAtMs);
        }
        return reporting && now - machine.receiptConfirmedAtMs < maxNextReportMs
                ? 0
                : (int) (now - machine.receiptConfirmedAtMs);
    }
}
