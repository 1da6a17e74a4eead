package birchusher.store;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/** The placement of a run of a job's tasks: done set, claims and the last attempt number given out. */
public final class Chunk {
    public final Job job;
    public final int index;
    public final BitSet done = new BitSet();
    public final Int2ObjectMap<Claim> claims = new Int2ObjectOpenHashMap<>();
    /** Never goes down: an attempt number is not used twice. */
    public long lastAttempt;
    /** Starts of tasks that had to be repeated, for operators. */
    public long restarts;
    /** Errors in a row; slows the job down, see the driver. */
    public long consecutiveErrors;

    /** Of a row as text: one claim, 64 bits of the done set, and the rest. */
    public static final int CLAIM_BYTES = 42;

    private static final int DONE_WORD_BYTES = 17;
    private static final int ROW_OVERHEAD_BYTES = 100;

    public Chunk(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    public Chunk copy() {
        Chunk c = new Chunk(job, index);
        c.done.or(done);
        c.claims.putAll(claims);
        c.lastAttempt = lastAttempt;
        c.restarts = restarts;
        c.consecutiveErrors = consecutiveErrors;
        return c;
    }

    public int size() {
        return Math.min(job.chunkSize, job.spec.tasks() - index * job.chunkSize);
    }

    public boolean allDone() {
        return done.cardinality() >= size();
    }

    /** At most so many bytes as a row. */
    int maxBytes() {
        return ROW_OVERHEAD_BYTES
                + claims.size() * CLAIM_BYTES
                + done.length() / 64 * DONE_WORD_BYTES
                + DONE_WORD_BYTES;
    }

    public Map<String, Object> toRow() {
        int base = index * job.chunkSize;
        StringBuilder hex = new StringBuilder();
        for (long w : done.toLongArray()) {
            hex.append(hex.isEmpty() ? "" : ",").append(Long.toHexString(w));
        }
        StringBuilder sb = new StringBuilder();
        for (Claim c : claims.values()) {
            sb.append(sb.isEmpty() ? "" : ";")
                    .append(c.task() - base)
                    .append(':')
                    .append(c.attempt())
                    .append(':')
                    .append(c.machine())
                    .append(':')
                    .append(c.session())
                    .append(':')
                    .append(c.shard());
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("a", lastAttempt);
        m.put("r", restarts);
        m.put("e", consecutiveErrors);
        m.put("d", hex.toString());
        m.put("c", sb.toString());
        return m;
    }

    /** Reads a row. Claims that the row before it held already stay the same objects. */
    public static Chunk fromRow(Job job, int index, Map<String, Object> m, Chunk before) {
        Chunk c = new Chunk(job, index);
        c.lastAttempt = Fields.count(m, "a");
        c.restarts = Fields.countOr(m, "r", 0);
        c.consecutiveErrors = Fields.countOr(m, "e", 0);
        try {
            String d = (String) m.get("d");
            if (!d.isEmpty()) {
                String[] words = d.split(",");
                long[] l = new long[words.length];
                for (int i = 0; i < l.length; i++) {
                    l[i] = Long.parseUnsignedLong(words[i], 16);
                }
                c.done.or(BitSet.valueOf(l));
            }
            String s = (String) m.get("c");
            int[] at = {0};
            while (at[0] < s.length()) {
                c.readClaim(s, at, before);
            }
        } catch (RuntimeException e) {
            throw new InvalidInputException("placement row of " + job.spec.id() + ": unreadable");
        }
        return c;
    }

    /** One claim, up to the next ";". */
    private void readClaim(String s, int[] at, Chunk before) {
        int task = index * job.chunkSize + (int) readNumber(s, at);
        long attempt = readNumber(s, at);
        int from = at[0];
        int to = s.indexOf(':', from);
        at[0] = to + 1;
        long session = readNumber(s, at);
        int shard = (int) readNumber(s, at);
        Claim old = before == null ? null : before.claims.get(task);
        boolean same = old != null
                && old.attempt() == attempt
                && old.session() == session
                && old.shard() == shard
                && old.machine().length() == to - from
                && s.startsWith(old.machine(), from);
        claims.put(task, same ? old : new Claim(job, task, attempt, s.substring(from, to), session, shard));
    }

    /** A number up to the next ":" or ";", or the end. */
    private static long readNumber(String s, int[] at) {
        int i = at[0];
        while (i < s.length() && s.charAt(i) != ':' && s.charAt(i) != ';') {
            i++;
        }
        long n = Long.parseLong(s, at[0], i, 10);
        at[0] = i + 1;
        return n;
    }
}
