package birchusher.store;

import birchusher.wire.Json;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A transaction being put together from several changes; all conditions come from one view. */
public final class Tx {
    private final View view;
    private final Map<String, Long> conditions = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> puts = new LinkedHashMap<>();
    private final Map<String, Long> holds = new HashMap<>();
    private final List<String> removes = new ArrayList<>();
    private final Map<String, Chunk> chunks = new LinkedHashMap<>();
    private final Map<Integer, double[]> claimed = new HashMap<>();
    /** A key and the names that go with it in a condition or a write. */
    private static final int AROUND = 120;

    private int putBytes;

    public Tx(View view) {
        this.view = view;
    }

    public View view() {
        return view;
    }

    /** The row must still be as the view knows it. */
    public void require(String key) {
        conditions.put(key, view.version(key));
    }

    /** Whether a condition on this row would be one more. */
    public boolean lacks(String key) {
        return !conditions.containsKey(key);
    }

    public void put(String key, Map<String, Object> value) {
        require(key);
        Map<String, Object> old = puts.put(key, value);
        putBytes += Json.size(value) + AROUND - (old == null ? 0 : Json.size(old) + AROUND);
    }

    public void putHeld(String key, Map<String, Object> value, long lease) {
        put(key, value);
        holds.put(key, lease);
    }

    public void remove(String key) {
        require(key);
        chunks.remove(key);
        puts.remove(key);
        removes.add(key);
    }

    /** Whether this transaction already writes a row, so that a second change must wait for the next one. */
    public boolean writes(String key) {
        return puts.containsKey(key) || removes.contains(key);
    }

    /** The working copy of a chunk: several changes to one chunk add up. */
    public Chunk chunk(Job job, int index) {
        String key = Keys.place(job.spec.id(), index);
        Chunk c = chunks.get(key);
        if (c == null) {
            Chunk now = job.chunks.get(index);
            c = now == null ? new Chunk(job, index) : now.copy();
            require(key);
            chunks.put(key, c);
        }
        return c;
    }

    public boolean hasChunk(String job, int index) {
        return chunks.containsKey(Keys.place(job, index));
    }

    /** A chunk as this transaction would leave it, without making it part of the transaction; may be null. */
    public Chunk peek(Job job, int index) {
        Chunk c = chunks.get(Keys.place(job.spec.id(), index));
        return c == null ? job.chunks.get(index) : c;
    }

    /** What this transaction already claims for a team: cpus and gpus, to be added to what the view shows. */
    public double[] claimed(int team) {
        return claimed.computeIfAbsent(team, t -> new double[2]);
    }

    public int writeCount() {
        return puts.size() + removes.size() + chunks.size();
    }

    /**
     * At most so many bytes, as the state service counts them: the rows' own, and what goes around them. A bound and no count, as it is
     * asked for with each change that might still be added.
     */
    public int bytes() {
        int n = putBytes + conditions.size() * AROUND;
        for (Chunk c : chunks.values()) {
            n += AROUND + c.bytes();
        }
        return n;
    }

    public int conditionCount() {
        return conditions.size();
    }

    public Map<String, Object> body() {
        List<Object> ifs = new ArrayList<>();
        conditions.forEach((k, v) -> ifs.add(Map.of(Wire.KEY, k, Wire.VERSION, v)));
        List<Object> then = new ArrayList<>();
        finish();
        puts.forEach((k, v) -> {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(Wire.PUT, k);
            m.put(Wire.VALUE, v);
            if (holds.containsKey(k)) {
                m.put(Wire.LEASE, holds.get(k));
            }
            then.add(m);
        });
        removes.forEach(k -> then.add(Map.of(Wire.DELETE, k)));
        return Map.of(Wire.IF, ifs, Wire.THEN, then);
    }

    private void finish() {
        chunks.forEach((k, c) -> puts.put(k, c.write()));
        chunks.clear();
    }

    /** Brings the committed rows into the view at once, so that the next transaction builds on them. */
    public void applyTo(View v, long revision) {
        puts.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> v.put(e.getKey(), e.getValue(), revision));
        removes.forEach(k -> v.remove(k, revision));
    }
}
