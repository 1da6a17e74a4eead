package birchusher.store;

import birchusher.wire.Json;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A transaction being put together from several changes; all conditions come from one view. */
public final class Transaction {
    private final StoreView view;
    private final Map<String, Long> conditions = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> puts = new LinkedHashMap<>();
    private final Map<String, Long> leases = new HashMap<>();
    private final List<String> removals = new ArrayList<>();
    private final Map<String, Chunk> chunks = new LinkedHashMap<>();
    private final Map<Integer, double[]> claimedByTeam = new HashMap<>();
    /** A key and the names that go with it in a condition or a write. */
    private static final int ENTRY_OVERHEAD_BYTES = 120;

    private int putBytes;

    public Transaction(StoreView view) {
        this.view = view;
    }

    public StoreView view() {
        return view;
    }

    /** The row must still be as the view knows it. */
    public void requireUnchanged(String key) {
        conditions.put(key, view.version(key));
    }

    /** Whether a condition on this row would be one more. */
    public boolean lacksCondition(String key) {
        return !conditions.containsKey(key);
    }

    public void put(String key, Map<String, Object> value) {
        requireUnchanged(key);
        Map<String, Object> old = puts.put(key, value);
        putBytes += Json.size(value) + ENTRY_OVERHEAD_BYTES - (old == null ? 0 : Json.size(old) + ENTRY_OVERHEAD_BYTES);
    }

    public void putWithLease(String key, Map<String, Object> value, long lease) {
        put(key, value);
        leases.put(key, lease);
    }

    public void remove(String key) {
        requireUnchanged(key);
        chunks.remove(key);
        puts.remove(key);
        removals.add(key);
    }

    /** Whether this transaction already writes a row, so that a second change must wait for the next one. */
    public boolean writes(String key) {
        return puts.containsKey(key) || removals.contains(key);
    }

    /** The working copy of a chunk: several changes to one chunk add up. */
    public Chunk editChunk(Job job, int index) {
        String key = Keys.placement(job.spec.id(), index);
        Chunk c = chunks.get(key);
        if (c == null) {
            Chunk now = job.chunks.get(index);
            c = now == null ? new Chunk(job, index) : now.copy();
            requireUnchanged(key);
            chunks.put(key, c);
        }
        return c;
    }

    public boolean editsChunk(String job, int index) {
        return chunks.containsKey(Keys.placement(job, index));
    }

    /** A chunk as this transaction would leave it, without making it part of the transaction; may be null. */
    public Chunk peekChunk(Job job, int index) {
        Chunk c = chunks.get(Keys.placement(job.spec.id(), index));
        return c == null ? job.chunks.get(index) : c;
    }

    /** What this transaction already claims for a team: cpus and gpus, to be added to what the view shows. */
    public double[] claimedByTeam(int team) {
        return claimedByTeam.computeIfAbsent(team, t -> new double[2]);
    }

    public int writeCount() {
        return puts.size() + removals.size() + chunks.size();
    }

    /**
     * At most so many bytes, as the state service counts them: the rows' own, and what goes around them. A bound and no count, as it is
     * asked for with each change that might still be added.
     */
    public int maxBytes() {
        int n = putBytes + conditions.size() * ENTRY_OVERHEAD_BYTES;
        for (Chunk c : chunks.values()) {
            n += ENTRY_OVERHEAD_BYTES + c.maxBytes();
        }
        return n;
    }

    public int conditionCount() {
        return conditions.size();
    }

    public Map<String, Object> toRequestBody() {
        List<Object> ifs = new ArrayList<>();
        conditions.forEach((k, v) -> ifs.add(Map.of(Wire.KEY, k, Wire.VERSION, v)));
        List<Object> then = new ArrayList<>();
        encodeChunks();
        puts.forEach((k, v) -> {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(Wire.PUT, k);
            m.put(Wire.VALUE, v);
            if (leases.containsKey(k)) {
                m.put(Wire.LEASE, leases.get(k));
            }
            then.add(m);
        });
        removals.forEach(k -> then.add(Map.of(Wire.DELETE, k)));
        return Map.of(Wire.IF, ifs, Wire.THEN, then);
    }

    private void encodeChunks() {
        chunks.forEach((k, c) -> puts.put(k, c.toRow()));
        chunks.clear();
    }

    /** Brings the committed rows into the view at once, so that the next transaction builds on them. */
    public void applyTo(StoreView v, long revision) {
        puts.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> v.put(e.getKey(), e.getValue(), revision));
        removals.forEach(k -> v.remove(k, revision));
    }
}
