package birchusher.kv;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/** A lease and the keys that go when it ends. When it ends is not kept here: it has its full time again after every start. */
public record Lease(long id, long lifeMs, PSet<String> keys) {
    public Lease(long id, long lifeMs) {
        this(id, lifeMs, HashTreePSet.empty());
    }

    Lease plus(String key) {
        return new Lease(id, lifeMs, keys.plus(key));
    }

    Lease minus(String key) {
        return new Lease(id, lifeMs, keys.minus(key));
    }
}
