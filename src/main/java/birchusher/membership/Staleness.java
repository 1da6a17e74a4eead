package birchusher.membership;

import birchusher.core.Effects;
import birchusher.mesh.PeerRecord.Cancellation;
import birchusher.mesh.PeerRecord.RevisionQuery;
import birchusher.mesh.PeerRecord.RevisionReply;
import birchusher.settings.Settings;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import java.util.Arrays;
import java.util.List;

/**
 * Up to which moment this controller is informed: every cancellation that a user had been told of by then is known here. Who answers
 * workers renews the leases of whatever they run, so it may do that only for a bounded time after this moment, whatever else holds.
 *
 * <p>Two things move it, each counted from when we sent what was answered, as answers may be long on their way: a read that proves
 * the view, and, when the state service answers nobody, the word of every other member that nothing is known to it that is not
 * known here. That nobody is served now is no such word: one of them may have been served since we were.
 */
public final class Staleness {
    /** More cancellations than this are not told, and then the word is none. */
    private static final int MAX_CANCELLATIONS_SENT = 500;

    private static final long QUERY_PEERS_AFTER_MS = 1_000;

    private final Effects effects;
    private final StoreView view;
    private final StoreClient store;
    private final long maxAgeMs;
    /** Per member: what it knew at this moment, by our clock, is known here. */
    private final long[] peerCoveredAtMs;

    Staleness(Effects effects, Settings s, StoreView view, StoreClient store) {
        this.effects = effects;
        this.view = view;
        this.store = store;
        maxAgeMs = s.staleMs();
        peerCoveredAtMs = new long[1 + s.peers().size()];
        Arrays.fill(peerCoveredAtMs, Long.MIN_VALUE / 2);
        // Nobody else tells users anything but what we know when there is nobody else.
        peerCoveredAtMs[0] = Long.MAX_VALUE;
    }

    /** Every change that a user was told of before this moment is known here. */
    long upToDateAtMs() {
        long told = Arrays.stream(peerCoveredAtMs).min().getAsLong();
        return Math.max(store.upToDateAsOfMs(), Math.min(told, effects.now()));
    }

    /** How long ago, in ms, the last moment lies up to which we are informed. */
    public long ageMs() {
        return effects.now() - upToDateAtMs();
    }

    boolean isUpToDate() {
        return effects.now() - upToDateAtMs() < maxAgeMs;
    }

    /** What to ask the other members now; null while the state service proves our view. */
    public RevisionQuery peerQuery() {
        return store.loaded() && effects.now() - store.upToDateAsOfMs() > QUERY_PEERS_AFTER_MS
                ? new RevisionQuery(effects.now(), view.appliedRevision())
                : null;
    }

    /** Our word for another member, with the cancellations that its view lacks. */
    public RevisionReply answerQuery(RevisionQuery q, long itsIncarnation) {
        if (!store.loaded()) {
            // In the middle of a reading, what an earlier life of ours told users may not be known here yet.
            return new RevisionReply(q.sentAtMs(), itsIncarnation, false, -1, -1, List.of());
        }
        List<Cancellation> news = view.cancellations().since(q.appliedRevision(), MAX_CANCELLATIONS_SENT);
        return new RevisionReply(
                q.sentAtMs(),
                itsIncarnation,
                store.healthy(),
                view.knownRevision(),
                news == null ? -1 : q.appliedRevision(),
                news == null ? List.of() : news);
    }

    /**
     * Another member's answer. What it tells of cancellations is always used; it is a word only if it answers this life of ours, is not
     * served, and leaves nothing that it knows unknown here.
     */
    public void handleReply(int member, RevisionReply r, long ourIncarnation) {
        boolean kept = view.addReportedCancellations(r.cancellations());
        boolean covered = r.knownRevision() >= 0
                && (r.knownRevision() <= view.appliedRevision()
                        || r.sinceRevision() >= 0 && r.sinceRevision() <= view.appliedRevision() && kept);
        if (covered
                && !r.storeHealthy()
                && r.querierIncarnation() == ourIncarnation
                && r.querySentAtMs() <= effects.now()) {
            peerCoveredAtMs[member] = Math.max(peerCoveredAtMs[member], r.querySentAtMs());
        }
    }
}
