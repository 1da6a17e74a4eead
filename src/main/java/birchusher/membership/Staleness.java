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
 * Determines up to which moment this controller's view is up to date: every cancellation that had been confirmed to a
 * user by then is in the view. A controller that answers workers renews the leases of whatever they run, so it may answer
 * them only for a bounded time after this moment.
 *
 * <p>Two kinds of evidence move the moment forward, each counted from when the request was sent, as replies may be
 * delayed:
 *
 * <ul>
 *   <li>a read from the state service that confirms the view;
 *   <li>while the state service answers no member, replies of all other members by which their views contain no
 *       cancellation that is missing in this one. That the state service answers no member does not suffice: it may have answered one of
 *       them since it last answered this controller.
 * </ul>
 *
 * <p>Times are in ms of the steady clock. Not thread-safe.
 */
public final class Staleness {
    /** A reply with more cancellations than this lists none of them, and then proves nothing. */
    private static final int MAX_CANCELLATIONS_SENT = 500;

    private static final long QUERY_PEERS_AFTER_MS = 1_000;

    private final Effects effects;
    private final StoreView view;
    private final StoreClient store;
    private final long maxAgeMs;
    /** Per member: every cancellation in its view at this moment, by this controller's clock, is in this view. */
    private final long[] peerCoveredAtMs;

    Staleness(Effects effects, Settings settings, StoreView view, StoreClient store) {
        this.effects = effects;
        this.view = view;
        this.store = store;
        maxAgeMs = settings.stalenessLimitMs();
        peerCoveredAtMs = new long[1 + settings.peers().size()];
        Arrays.fill(peerCoveredAtMs, Long.MIN_VALUE / 2);
        // All that this controller itself reported to users is in its view.
        peerCoveredAtMs[0] = Long.MAX_VALUE;
    }

    /** Returns the moment before which every cancellation that was confirmed to a user is in the view. */
    long upToDateAsOfMs() {
        long coveredAtMs = Arrays.stream(peerCoveredAtMs).min().getAsLong();
        return Math.max(store.upToDateAsOfMs(), Math.min(coveredAtMs, effects.now()));
    }

    /** Returns the age of the view in ms: how long ago it was last known to be up to date. */
    public long ageMs() {
        return effects.now() - upToDateAsOfMs();
    }

    /** Whether the view's age is within the bound from the settings. */
    boolean isUpToDate() {
        return effects.now() - upToDateAsOfMs() < maxAgeMs;
    }

    /** Returns the query to send to all peers, or null while reads from the state service confirm the view. */
    public RevisionQuery peerQuery() {
        return store.loaded() && effects.now() - store.upToDateAsOfMs() > QUERY_PEERS_AFTER_MS
                ? new RevisionQuery(effects.now(), view.appliedRevision())
                : null;
    }

    /**
     * Answers a peer's query, with the cancellations that its view lacks.
     *
     * @param querierIncarnation the peer's incarnation, which the reply repeats
     */
    public RevisionReply answerQuery(RevisionQuery query, long querierIncarnation) {
        if (!store.loaded()) {
            // Until the rows are loaded, what an earlier incarnation of this controller reported to users may be
            // missing in the view.
            return new RevisionReply(query.sentAtMs(), querierIncarnation, false, -1, -1, List.of());
        }
        List<Cancellation> cancellations = view.cancellations().since(query.appliedRevision(), MAX_CANCELLATIONS_SENT);
        return new RevisionReply(
                query.sentAtMs(),
                querierIncarnation,
                store.healthy(),
                view.knownRevision(),
                cancellations == null ? -1 : query.appliedRevision(),
                cancellations == null ? List.of() : cancellations);
    }

    /**
     * Handles a peer's reply. Its cancellations are always added to the view. It moves the moment forward only if it
     * answers a query of this incarnation, the state service does not answer the peer, and the peer's view contains
     * no cancellation that is missing in this one.
     *
     * @param member the peer's index
     * @param incarnation this controller's incarnation
     */
    public void handleReply(int member, RevisionReply reply, long incarnation) {
        boolean allKept = view.addReportedCancellations(reply.cancellations());
        boolean covered = reply.knownRevision() >= 0
                && (reply.knownRevision() <= view.appliedRevision()
                        || reply.sinceRevision() >= 0 && reply.sinceRevision() <= view.appliedRevision() && allKept);
        if (covered
                && !reply.storeHealthy()
                && reply.querierIncarnation() == incarnation
                && reply.querySentAtMs() <= effects.now()) {
            peerCoveredAtMs[member] = Math.max(peerCoveredAtMs[member], reply.querySentAtMs());
        }
    }
}
