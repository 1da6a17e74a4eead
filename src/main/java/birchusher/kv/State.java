package birchusher.kv;

import java.util.List;
import java.util.function.Consumer;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * All rows and leases at one moment. Never changes: a listing, a snapshot or a step back keeps an old one while newer
 * ones are made, at the price of a path of new nodes for each change.
 *
 * @param revision counts changes; every row's stamp is at most this
 * @param nextLease above every lease ever granted
 */
public record State(TreePMap<String, Row> rows, PMap<Long, Lease> leases, long revision, long nextLeaseId) {
    public static final State EMPTY = new State(TreePMap.empty(), HashTreePMap.empty(), 0, 1);

    /** One key's change, for those who watch: no value means removed. */
    public record Event(String key, byte[] value, long revision) {}

    /** The state after an entry. Never fails on an entry that {@link Engine} made from this state. */
    public State apply(Entry e, Consumer<Event> events) {
        if (e instanceof Entry.RowsChanged c) {
            return applyWrites(c.writes(), events);
        }
        if (e instanceof Entry.LeaseGranted g) {
            return new State(
                    rows,
                    leases.plus(g.leaseId(), new Lease(g.leaseId(), g.ttlMs())),
                    revision,
                    Math.max(nextLeaseId, g.leaseId() + 1));
        }
        Lease l = leases.get(((Entry.LeaseEnded) e).leaseId());
        if (l == null) {
            return this;
        }
        State s = l.keys().isEmpty()
                ? this
                : applyWrites(
                        l.keys().stream().sorted().<Write>map(Write.Remove::new).toList(), events);
        return new State(s.rows, s.leases.minus(l.id()), s.revision, s.nextLeaseId);
    }

    private State applyWrites(List<Write> writes, Consumer<Event> events) {
        TreePMap<String, Row> r = rows;
        PMap<Long, Lease> l = leases;
        long at = revision + 1;
        for (Write w : writes) {
            Row old = r.get(w.key());
            if (old != null && old.leaseId() != 0) {
                l = l.plus(old.leaseId(), l.get(old.leaseId()).withoutKey(w.key()));
            }
            if (w instanceof Write.Set s) {
                r = r.plus(s.key(), new Row(s.value(), at, s.leaseId()));
                if (s.leaseId() != 0) {
                    l = l.plus(s.leaseId(), l.get(s.leaseId()).withKey(s.key()));
                }
                events.accept(new Event(s.key(), s.value(), at));
            } else if (old != null) {
                r = r.minus(w.key());
                events.accept(new Event(w.key(), null, at));
            }
        }
        return new State(r, l, at, nextLeaseId);
    }

    /** The row itself as kept in a snapshot: no event, no new revision. */
    State withRestoredRow(String key, Row row) {
        PMap<Long, Lease> l = row.leaseId() == 0
                ? leases
                : leases.plus(row.leaseId(), leases.get(row.leaseId()).withKey(key));
        return new State(rows.plus(key, row), l, revision, nextLeaseId);
    }
}
