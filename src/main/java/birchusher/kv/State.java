package birchusher.kv;

import java.util.List;
import java.util.function.Consumer;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * All rows and leases after one entry. Immutable: a page, a snapshot or a rollback keeps an old state while newer ones are
 * made; each change costs a path of new nodes in the persistent maps.
 *
 * @param revision counts changes; the revision of no row is above it
 * @param nextLeaseId above the id of every lease ever granted
 */
public record State(TreePMap<String, Row> rows, PMap<Long, Lease> leases, long revision, long nextLeaseId) {
    public static final State EMPTY = new State(TreePMap.empty(), HashTreePMap.empty(), 0, 1);

    /** The change of one row, as reported to watches; {@code value} is null if the row was removed. */
    public record Event(String key, byte[] value, long revision) {}

    /**
     * Returns the state after the entry, which must have been made from this state by {@link Engine}; then it can't fail.
     *
     * @param events receives each changed row
     */
    public State apply(Entry entry, Consumer<Event> events) {
        if (entry instanceof Entry.RowsChanged changed) {
            return applyWrites(changed.writes(), events);
        }
        if (entry instanceof Entry.LeaseGranted granted) {
            return new State(
                    rows,
                    leases.plus(granted.leaseId(), new Lease(granted.leaseId(), granted.ttlMs())),
                    revision,
                    Math.max(nextLeaseId, granted.leaseId() + 1));
        }
        Lease lease = leases.get(((Entry.LeaseEnded) entry).leaseId());
        if (lease == null) {
            return this;
        }
        State withoutRows = lease.keys().isEmpty()
                ? this
                : applyWrites(
                        lease.keys().stream()
                                .sorted()
                                .<Write>map(Write.Remove::new)
                                .toList(),
                        events);
        return new State(
                withoutRows.rows, withoutRows.leases.minus(lease.id()), withoutRows.revision, withoutRows.nextLeaseId);
    }

    private State applyWrites(List<Write> writes, Consumer<Event> events) {
        TreePMap<String, Row> newRows = rows;
        PMap<Long, Lease> newLeases = leases;
        long newRevision = revision + 1;
        for (Write write : writes) {
            Row oldRow = newRows.get(write.key());
            if (oldRow != null && oldRow.leaseId() != 0) {
                newLeases = newLeases.plus(
                        oldRow.leaseId(), newLeases.get(oldRow.leaseId()).withoutKey(write.key()));
            }
            if (write instanceof Write.Set set) {
                newRows = newRows.plus(set.key(), new Row(set.value(), newRevision, set.leaseId()));
                if (set.leaseId() != 0) {
                    newLeases = newLeases.plus(
                            set.leaseId(), newLeases.get(set.leaseId()).withKey(set.key()));
                }
                events.accept(new Event(set.key(), set.value(), newRevision));
            } else if (oldRow != null) {
                newRows = newRows.minus(write.key());
                events.accept(new Event(write.key(), null, newRevision));
            }
        }
        return new State(newRows, newLeases, newRevision, nextLeaseId);
    }

    /** Returns this state with a row from a snapshot added, without an event or a new revision. */
    State withRestoredRow(String key, Row row) {
        PMap<Long, Lease> newLeases = row.leaseId() == 0
                ? leases
                : leases.plus(row.leaseId(), leases.get(row.leaseId()).withKey(key));
        return new State(rows.plus(key, row), newLeases, revision, nextLeaseId);
    }
}
