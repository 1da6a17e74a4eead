package birchusher.store;

import birchusher.mesh.PeerRecord.Cancelled;
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
    private static final int KEPT = 2_000;
    private static final int MOST_TOLD = 2_000;

    private final TreeSet<Cancelled> seen =
            new TreeSet<>(Comparator.comparingLong(Cancelled::revision).thenComparing(Cancelled::job));
    private final Map<String, Long> told = new HashMap<>();
    /** What is kept is complete for the revisions above this one. */
    private long completeAbove = Long.MAX_VALUE;
    /** The highest that was dropped while rows were being read: what is kept then is not complete below it. */
    private long droppedTo;

    void saw(String job, long revision) {
        if (revision <= completeAbove && completeAbove < Long.MAX_VALUE) {
            return;
        }
        seen.add(new Cancelled(job, revision));
        if (seen.size() > KEPT) {
            long dropped = seen.pollFirst().revision();
            droppedTo = Math.max(droppedTo, dropped);
            completeAbove = completeAbove == Long.MAX_VALUE ? completeAbove : Math.max(completeAbove, dropped);
        }
    }

    /** All rows are being read anew: final states are read after everything else, so nothing of before may be missed silently. */
    void reading() {
        seen.clear();
        completeAbove = Long.MAX_VALUE;
        droppedTo = 0;
    }

    /** All rows as of this revision have been read; from here on every change is seen. */
    void read(long revision) {
        completeAbove = Math.max(revision, droppedTo);
        seen.removeIf(c -> c.revision() <= revision);
    }

    /** Every cancellation after a revision that the view shows, or null if there are more, or if that can't be told any more. */
    public List<Cancelled> since(long revision, int most) {
        if (revision < completeAbove) {
            return null;
        }
        List<Cancelled> l = new ArrayList<>();
        for (Cancelled c : seen.tailSet(new Cancelled("", revision + 1), true)) {
            if (l.size() == most) {
                return null;
            }
            l.add(c);
        }
        return l;
    }

    /** Keeps what another controller told of; false if it doesn't fit, and then that other's word is worth nothing. */
    boolean hear(Cancelled c) {
        if (told.size() >= MOST_TOLD && !told.containsKey(c.job())) {
            return false;
        }
        told.merge(c.job(), c.revision(), Math::max);
        return true;
    }

    boolean toldOf(String job) {
        return told.containsKey(job);
    }

    /** The view holds everything up to this revision, so what was told of it is not needed any more. */
    void applied(long revision) {
        if (!told.isEmpty()) {
            told.values().removeIf(r -> r <= revision);
        }
    }
}
