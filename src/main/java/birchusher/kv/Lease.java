package birchusher.kv;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/** A lease and the keys that go when it ends. When it ends is not kept here: it has its full time again after every start. */
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
