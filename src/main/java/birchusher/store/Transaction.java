package birchusher.store;

import birchusher.wire.Json;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A transaction that is built from several changes against one view: it is applied only if every row with a condition still has the
 * version that the view shows.
 */
public final class Transaction {
    private final StoreView view;
    private final Map<String, Long> conditions = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> puts = new LinkedHashMap<>();
    private final Map<String, Long> leases = new HashMap<>();
    private final List<String> removals = new ArrayList<>();
    private final Map<String, Chunk> chunks = new LinkedHashMap<>();
    private final Map<Integer, double[]> claimedByTeam = new HashMap<>();
    /** Upper bound in bytes for a key and the field names around it in a condition or a write. */
    private static final int ENTRY_OVERHEAD_BYTES = 120;

    private int putBytes;

    public Transaction(StoreView view) {
        this.view = view;
    }

    public StoreView view() {
        return view;
    }

    /** Adds the condition that a row still has the version in the view, or still does not exist. */
    public void requireUnchanged(String key) {
        conditions.put(key, view.version(key));
    }

    /** Returns whether there is no condition on this row yet. */
    public boolean lacksCondition(String key) {
        return !conditions.containsKey(key);
    }

    /** Writes a row, on the condition that it is unchanged. */
    public void put(String key, Map<String, Object> value) {
        requireUnchanged(key);
        Map<String, Object> previous = puts.put(key, value);
        putBytes += Json.sizeBytes(value)
                + ENTRY_OVERHEAD_BYTES
                - (previous == null ? 0 : Json.sizeBytes(previous) + ENTRY_OVERHEAD_BYTES);
    }

    /** As {@link #put}; the state service removes the row when the lease with this id ends. */
    public void putWithLease(String key, Map<String, Object> value, long lease) {
        put(key, value);
        leases.put(key, lease);
    }

    /** Removes a row, on the condition that it is unchanged. */
    public void remove(String key) {
        requireUnchanged(key);
        chunks.remove(key);
        puts.remove(key);
        removals.add(key);
    }

    /** Returns whether this transaction already puts or removes a row, so that a second change of it must wait for the next one. */
    public boolean writes(String key) {
        return puts.containsKey(key) || removals.contains(key);
    }

    /** Returns the working copy of a chunk, which will be written; several changes of one chunk add up in it. */
    public Chunk editChunk(Job job, int index) {
        String key = Keys.placement(job.spec.id(), index);
        Chunk chunk = chunks.get(key);
        if (chunk == null) {
            Chunk current = job.chunks.get(index);
            chunk = current == null ? new Chunk(job, index) : current.copy();
            requireUnchanged(key);
            chunks.put(key, chunk);
        }
        return chunk;
    }

    /** Returns whether this transaction will write a chunk. */
    public boolean editsChunk(String job, int index) {
        return chunks.containsKey(Keys.placement(job, index));
    }

    /** Returns a chunk as this transaction would leave it, or null, without making it part of the transaction; not to be changed. */
    public Chunk peekChunk(Job job, int index) {
        Chunk chunk = chunks.get(Keys.placement(job.spec.id(), index));
        return chunk == null ? job.chunks.get(index) : chunk;
    }

    /** Returns the cpus and gpus that this transaction claims for a team in addition to the view; callers add to the array. */
    public double[] claimedByTeam(int team) {
        return claimedByTeam.computeIfAbsent(team, index -> new double[2]);
    }

    /** Returns the number of rows to be written or removed. */
    public int writeCount() {
        return puts.size() + removals.size() + chunks.size();
    }

    /**
     * Returns an upper bound for the size as the state service counts it: the rows and the fields around them. A bound rather than the
     * exact size, as it is computed for each change that might still be added.
     */
    public int maxBytes() {
        int bytes = putBytes + conditions.size() * ENTRY_OVERHEAD_BYTES;
        for (Chunk chunk : chunks.values()) {
            bytes += ENTRY_OVERHEAD_BYTES + chunk.maxBytes();
        }
        return bytes;
    }

    public int conditionCount() {
        return conditions.size();
    }

    /** Encodes the working copies of chunks and returns the body of the request; nothing may be added to the transaction after that. */
    public Map<String, Object> toRequestBody() {
        List<Object> encodedConditions = new ArrayList<>();
        conditions.forEach((key, version) -> encodedConditions.add(Map.of(Wire.KEY, key, Wire.VERSION, version)));
        List<Object> writes = new ArrayList<>();
        encodeChunks();
        puts.forEach((key, row) -> {
            Map<String, Object> write = new LinkedHashMap<>();
            write.put(Wire.PUT, key);
            write.put(Wire.VALUE, row);
            if (leases.containsKey(key)) {
                write.put(Wire.LEASE, leases.get(key));
            }
            writes.add(write);
        });
        removals.forEach(key -> writes.add(Map.of(Wire.DELETE, key)));
        return Map.of(Wire.CONDITIONS, encodedConditions, Wire.WRITES, writes);
    }

    private void encodeChunks() {
        chunks.forEach((key, chunk) -> puts.put(key, chunk.toRow()));
        chunks.clear();
    }

    /** Applies the rows to a view once they are committed, so that the next transaction builds on them. */
    public void applyTo(StoreView target, long revision) {
        puts.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> target.put(entry.getKey(), entry.getValue(), revision));
        removals.forEach(key -> target.remove(key, revision));
    }
}
