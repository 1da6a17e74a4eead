package birchusher.store;

import java.util.Set;

/**
 * One intended change of the store. It is a function of the current view, so after a conflict or a missing response it is built again;
 * the conditions of the transaction make one that is applied late harmless.
 */
public interface Change {
    /**
     * Returns the position in the queue: changes of lower rank are sent first. Ranks up to 3 are for changes that a user or a
     * controller waits for.
     */
    int rank();

    /** Returns the highest number of rows that the change may write. */
    int maxWrites();

    /** Returns the highest number of conditions that the change may add to those that a transaction has. */
    default int maxConditions(Transaction tx) {
        return 4 * maxWrites() + 4;
    }

    /** Adds conditions and writes to a transaction; returns false if there is nothing left to do. */
    boolean build(Transaction tx);

    /** Called when a transaction with this change has been applied, at a revision. */
    void committed(long revision);

    /**
     * Called when a transaction with this change got no response: it may still be applied, whatever the view shows meanwhile. The
     * change will be built again.
     */
    default void outcomeUnknown() {}

    /** Called when the change leaves the queue unapplied: {@link #build} found nothing left to do, it expired, or was rejected. */
    void dropped();

    /** Called when a transaction failed on conditions on these keys; returns true if that settles the change, false to build it again. */
    default boolean settledByConflict(Set<String> failedKeys) {
        return false;
    }

    /** Returns the longest time, in ms, to wait for other changes of the same rows when writes are scarce. */
    default long maxDelayMs() {
        return 0;
    }

    /** Returns whether the transaction already writes every row that this change would, so that including it costs no writes. */
    default boolean addsNoWrites(Transaction tx) {
        return false;
    }

    /** Returns the steady time, in ms, after which the change is dropped instead of sent. */
    default long expiresAtMs() {
        return Long.MAX_VALUE;
    }
}
