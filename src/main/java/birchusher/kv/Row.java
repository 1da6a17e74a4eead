package birchusher.kv;

/**
 * A value as it came over the wire, never looked into here.
 *
 * @param stamp the revision of its last change
 * @param lease the lease it goes with, 0 for none
 */
public record Row(byte[] value, long modRevision, long leaseId) {
    public Row {
        if (value == null || modRevision < 1 || leaseId < 0) {
            throw new IllegalArgumentException("a row has a value, a stamp from 1 on and a lease or 0");
        }
    }
}
