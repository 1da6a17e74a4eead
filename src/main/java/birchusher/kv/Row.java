package birchusher.kv;

/**
 * A stored value in its encoded form, which the engine does not interpret.
 *
 * @param modRevision the revision of its last change
 * @param leaseId the lease with which the row is removed, 0 for none
 */
public record Row(byte[] value, long modRevision, long leaseId) {
    public Row {
        if (value == null || modRevision < 1 || leaseId < 0) {
            throw new IllegalArgumentException(
                    "a row needs a value, a revision of at least 1 and a lease id of at least 0");
        }
    }
}
