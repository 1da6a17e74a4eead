package birchusher.store;

import birchusher.mesh.PeerRecord.Cancellation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Cancellations by the revision that made them: those in the view, so that another controller whose view lags can be told what it
 * lacks, and those that others told of and the view does not show yet. Both are bounded; what was dropped is never claimed to be known.
 */
public final class Cancellations {
    private static final int MAX_SEEN = 2_000;
    private static final int MAX_REPORTED = 2_000;

    private final TreeSet<Cancellation> seen =
            new TreeSet<>(Comparator.comparingLong(Cancellation::revision).thenComparing(Cancellation::job));
    private final Map<String, Long> reported = new HashMap<>();
    /** What is kept is complete for the revisions above this one. */
    private long completeAboveRevision = Long.MAX_VALUE;
    /** The highest that was dropped while rows were being read: what is kept then is not complete below it. */
    private long droppedUpToRevision;

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

    /** All rows are being read anew: final states are read after everything else, so nothing of before may be missed silently. */
    void loadStarted() {
        seen.clear();
        completeAboveRevision = Long.MAX_VALUE;
        droppedUpToRevision = 0;
    }

    /** All rows as of this revision have been read; from here on every change is seen. */
    void loadCompleted(long revision) {
        completeAboveRevision = Math.max(revision, droppedUpToRevision);
        seen.removeIf(c -> c.revision() <= revision);
    }

    /** Every cancellation after a revision that the view shows, or null if there are more, or if that can't be told any more. */
    public List<Cancellation> since(long revision, int most) {
        if (revision < completeAboveRevision) {
            return null;
        }
        List<Cancellation> l = new ArrayList<>();
        for (Cancellation c : seen.tailSet(new Cancellation("", revision + 1), true)) {
            if (l.size() == most) {
                return null;
            }
            l.add(c);
        }
        return l;
    }

    /** Keeps what another controller told of; false if it doesn't fit, and then that other's word is worth nothing. */
    boolean addReported(Cancellation c) {
        if (reported.size() >= MAX_REPORTED && !reported.containsKey(c.job())) {
            return false;
        }
        reported.merge(c.job(), c.revision(), Math::max);
        return true;
    }

    boolean isReported(String job) {
        return reported.containsKey(job);
    }

    /** The view holds everything up to this revision, so what was told of it is not needed any more. */
    void discardReportedUpTo(long revision) {
        if (!reported.isEmpty()) {
            reported.values().removeIf(r -> r <= revision);
        }
    }
}
