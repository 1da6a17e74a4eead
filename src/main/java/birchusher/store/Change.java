package birchusher.store;

import java.util.Set;

/**
 * One intended change of the store. It is written down as a function of the current view, so that after a conflict or
 * an unclear answer it is simply worked out again; conditions make late transactions harmless.
 */
public interface Change {
    /** Lower goes first. */
    int rank();

    /** At most this many rows are written. */
    int maxWrites();

    /** At most this many conditions come on top of those that a transaction has. */
    default int maxConditions(Transaction tx) {
        return 4 * maxWrites() + 4;
    }

    /** Adds conditions and writes; false when there is nothing left to do. */
    boolean build(Transaction tx);

    void committed(long revision);

    /** It was sent and not answered: it may yet be applied, whatever the view says meanwhile. It will be worked out again. */
    default void outcomeUnknown() {}

    /** {@code build} said that there is nothing left to do, or the change expired. */
    void dropped();

    /** These conditions failed; true if the change is settled by that and needs no second try. */
    default boolean settledByConflict(Set<String> failedKeys) {
        return false;
    }

    /** For how long at most it may wait, when changes are scarce, for others that write the same rows. */
    default long maxDelayMs() {
        return 0;
    }

    /** Whether the transaction already writes all that this change would, so that taking it along costs nothing. */
    default boolean addsNoWrites(Transaction tx) {
        return false;
    }

    /** Steady time after which it is not worth sending any more. */
    default long expiresAtMs() {
        return Long.MAX_VALUE;
    }
}
