package birchusher.kv;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * A lease and the keys of the rows that are removed when it ends. Its end time is not part of the state: after each start it
 * has its full time to live again.
 */
public record Lease(long id, long ttlMs, PSet<String> keys) {
    public Lease(long id, long ttlMs) {
        this(id, ttlMs, HashTreePSet.empty());
    }

    Lease withKey(String key) {
        return new Lease(id, ttlMs, keys.plus(key));
    }

    Lease withoutKey(String key) {
        return new Lease(id, ttlMs, keys.minus(key));
    }
}
