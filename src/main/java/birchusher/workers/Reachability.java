package birchusher.workers;

import birchusher.settings.Settings;

/**
 * Whether a machine's worker hears us. That its reports come shows only one direction; what shows the other is what nothing but our
 * answers or commands can bring about: our term in a report, an answer to a direct command, or a report that comes as soon as only
 * an answered worker sends its next one here. Without this, a machine that our answers don't reach got new work for as long as its
 * reports came, and lost all of it with each of its sessions.
 *
 * <p>Only a reason to use a machine or not. What is on it leaves the records by the usual proofs alone.
 */
final class Reachability {
    private static final long MARGIN_MS = 500;

    private final long maxNextReportMs;

    Reachability(long reportingMs, int controllers) {
        maxNextReportMs = Math.min(reportingMs, Settings.NO_ANSWER_MS + Settings.NEXT_MS * controllers - MARGIN_MS);
    }

    /** Notes what a newer report shows, before it is taken over. {@code direct}: it came as the answer to a command of ours. */
    void onMessage(Machine m, Report r, long term, boolean direct, long now) {
        boolean followed = m.lastMessageAtMs >= 0;
        boolean later = r.session() > m.session;
        if (later) {
            m.noResponsesInPreviousSession = followed && !m.receivesResponses;
        }
        boolean showsTerm = followed && m.fencingToken < term && r.fencingToken() >= term;
        boolean next = followed && !later && r.fencingToken() >= term && now - m.lastMessageAtMs < maxNextReportMs;
        m.receivesResponses = direct || showsTerm || next;
        if (m.receivesResponses || !followed) {
            m.receiptConfirmedAtMs = now;
        }
    }

    /** Whether to ask it by a command: it has seen our term once, so that the term will not show it any more. */
    boolean needsProbe(Machine m, long term) {
        return !m.receivesResponses && m.fencingToken >= term;
    }

    /** For how long nothing has shown that all is well with it, 0 while reports and evidence come as they should. */
    int silentMs(Machine m, boolean reporting, long now) {
        if (m.receivesResponses) {
            return reporting ? 0 : (int) (now - m.lastMessageAtMs);
        }
        return reporting && now - m.receiptConfirmedAtMs < maxNextReportMs ? 0 : (int) (now - m.receiptConfirmedAtMs);
    }
}
