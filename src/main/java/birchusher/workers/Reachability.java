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

    private final long nextMs;

    Reachability(long reportingMs, int controllers) {
        nextMs = Math.min(reportingMs, Settings.NO_ANSWER_MS + Settings.NEXT_MS * controllers - MARGIN_MS);
    }

    /** Notes what a newer report shows, before it is taken over. {@code direct}: it came as the answer to a command of ours. */
    void reported(Machine m, Report r, long term, boolean direct, long now) {
        boolean followed = m.heardAt >= 0;
        boolean later = r.session() > m.session;
        if (later) {
            m.deafBefore = followed && !m.hears;
        }
        boolean showsTerm = followed && m.token < term && r.token() >= term;
        boolean next = followed && !later && r.token() >= term && now - m.heardAt < nextMs;
        m.hears = direct || showsTerm || next;
        if (m.hears || !followed) {
            m.hearsAt = now;
        }
    }

    /** Whether to ask it by a command: it has seen our term once, so that the term will not show it any more. */
    boolean doubtful(Machine m, long term) {
        return !m.hears && m.token >= term;
    }

    /** For how long nothing has shown that all is well with it, 0 while reports and evidence come as they should. */
    int silentMs(Machine m, boolean reporting, long now) {
        if (m.hears) {
            return reporting ? 0 : (int) (now - m.heardAt);
        }
        return reporting && now - m.hearsAt < nextMs ? 0 : (int) (now - m.hearsAt);
    }
}
