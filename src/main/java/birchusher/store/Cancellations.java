package birchusher.store;

import birchusher.mesh.PeerRecord.Cancellation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Recent cancellations of jobs, by the revision that made them: those seen in the view, to be reported to a controller whose view lags,
 * and those that other controllers reported and the view lacks. Both are bounded; a range of revisions from which any were dropped is
 * never reported as complete.
 */
public final class Cancellations {
    private static final int MAX_SEEN = 2_000;
    private static final int MAX_REPORTED = 2_000;

    private final TreeSet<Cancellation> seen =
            new TreeSet<>(Comparator.comparingLong(Cancellation::revision).thenComparing(Cancellation::job));
    private final Map<String, Long> reported = new HashMap<>();
    /** {@link #seen} is complete for the revisions above this one; the highest value while rows are being loaded. */
    private long completeAboveRevision = Long.MAX_VALUE;
    /** The highest revision that was dropped during the current load: {@link #seen} is incomplete up to it. */
    private long droppedUpToRevision;

    /** Adds a cancellation that the view shows. */
    void addSeen(String job, long revision) {
        if (revision <= completeAboveRevision && completeAboveRevision < Long.MAX_VALUE) {
            return;
        }
        seen.add(new Cancellation(job, revision));
        if (seen.size() > MAX_SEEN) {
            long dropped = seen.pollFirst().revision();
            droppedUpToRevision = Math.max(droppedUpToRevision, dropped);
            completeAboveRevision = completeAboveRevision == Long.MAX_VALUE
                    ? completeAboveRevision
                    : Math.max(completeAboveRevision, dropped);
        }
    }

    /**
     * Called when all rows are about to be loaded again. Everything seen is forgotten, as final states are loaded after all other rows
     * and a gap between the old and the new rows must not go unnoticed.
     */
    void loadStarted() {
        seen.clear();
        completeAboveRevision = Long.MAX_VALUE;
        droppedUpToRevision = 0;
    }

    /** Called when all live rows as of this revision have been loaded; every later change will be seen. */
    void loadCompleted(long revision) {
        completeAboveRevision = Math.max(revision, droppedUpToRevision);
        seen.removeIf(cancellation -> cancellation.revision() <= revision);
    }

    /** Returns every cancellation seen after a revision, or null if there are more than the limit or some may have been dropped. */
    public List<Cancellation> since(long revision, int limit) {
        if (revision < completeAboveRevision) {
            return null;
        }
        List<Cancellation> later = new ArrayList<>();
        for (Cancellation cancellation : seen.tailSet(new Cancellation("", revision + 1), true)) {
            if (later.size() == limit) {
                return null;
            }
            later.add(cancellation);
        }
        return later;
    }

    /** Adds a cancellation reported by another controller; returns false if there is no space, so that its report is not to be relied on. */
    boolean addReported(Cancellation cancellation) {
        if (reported.size() >= MAX_REPORTED && !reported.containsKey(cancellation.job())) {
            return false;
        }
        reported.merge(cancellation.job(), cancellation.revision(), Math::max);
        return true;
    }

    /** Returns whether another controller reported a job as cancelled and the view has not caught up with that revision. */
    boolean isReported(String job) {
        return reported.containsKey(job);
    }

    /** Forgets the reported cancellations up to a revision, once the view holds every change up to it. */
    void discardReportedUpTo(long revision) {
        if (!reported.isEmpty()) {
            reported.values().removeIf(cancelledRevision -> cancelledRevision <= revision);
        }
    }
}
