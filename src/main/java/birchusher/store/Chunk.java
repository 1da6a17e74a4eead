package birchusher.store;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The placement of a contiguous range of a job's tasks, stored as one row: which are done, their claims, and the last attempt number
 * given out. A chunk in the view is replaced, never changed; a transaction changes its own copy.
 */
public final class Chunk {
    public final Job job;
    public final int index;
    /** The tasks that are done, by their offset in the chunk. */
    public final BitSet done = new BitSet();
    /** Claims by the task's number in the job. */
    public final Int2ObjectMap<Claim> claims = new Int2ObjectOpenHashMap<>();
    /** The last attempt number given out. Never decreases, so that no attempt number is used twice. */
    public long lastAttempt;
    /** Number of tasks that had to be started again, for operators. */
    public long restarts;
    /** Errors since a task of the chunk last succeeded; the more, the longer the job scheduler delays further starts. */
    public long consecutiveErrors;

    private long completeRevision;

    /** Upper bound for the size of one claim in a row. */
    public static final int CLAIM_BYTES = 42;

    /** Upper bound for the size of 64 bits of the done set in a row. */
    private static final int DONE_WORD_BYTES = 17;
    /** Upper bound for the size of the rest of a row. */
    private static final int ROW_OVERHEAD_BYTES = 100;

    public Chunk(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    public Chunk copy() {
        Chunk copy = new Chunk(job, index);
        copy.done.or(done);
        copy.claims.putAll(claims);
        copy.lastAttempt = lastAttempt;
        copy.restarts = restarts;
        copy.consecutiveErrors = consecutiveErrors;
        return copy;
    }

    /** Returns the number of tasks in the chunk. */
    public int size() {
        return Math.min(job.chunkSize, job.spec.tasks() - index * job.chunkSize);
    }

    public boolean allDone() {
        return done.cardinality() >= size();
    }

    /** Notes the version of the row that this chunk was read from, and the previous chunk, which may be null. */
    void readAt(long version, Chunk previous) {
        if (allDone()) {
            completeRevision = previous != null && previous.allDone() ? previous.completeRevision : version;
        }
    }

    /** Returns the revision by which all tasks of the chunk were done; only for a chunk whose tasks are. */
    long completeRevision() {
        return completeRevision;
    }

    /** Returns an upper bound for the size of the row. */
    int maxBytes() {
        return ROW_OVERHEAD_BYTES
                + claims.size() * CLAIM_BYTES
                + done.length() / 64 * DONE_WORD_BYTES
                + DONE_WORD_BYTES;
    }

    /** Encodes the row: done set as hexadecimal 64-bit words, claims as {@code OFFSET:ATTEMPT:MACHINE:SESSION:SHARD}, separated by ";". */
    public Map<String, Object> toRow() {
        int base = index * job.chunkSize;
        StringBuilder hex = new StringBuilder();
        for (long word : done.toLongArray()) {
            hex.append(hex.isEmpty() ? "" : ",").append(Long.toHexString(word));
        }
        StringBuilder claimText = new StringBuilder();
        for (Claim claim : claims.values()) {
            claimText
                    .append(claimText.isEmpty() ? "" : ";")
                    .append(claim.task() - base)
                    .append(':')
                    .append(claim.attempt())
                    .append(':')
                    .append(claim.machine())
                    .append(':')
                    .append(claim.session())
                    .append(':')
                    .append(claim.shard());
        }
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("a", lastAttempt);
        row.put("r", restarts);
        row.put("e", consecutiveErrors);
        row.put("d", hex.toString());
        row.put("c", claimText.toString());
        return row;
    }

    /** Parses a row. Claims that the previous version of the row, which may be null, also holds stay the same objects. */
    public static Chunk fromRow(Job job, int index, Map<String, Object> row, Chunk previous) {
        Chunk chunk = new Chunk(job, index);
        chunk.lastAttempt = Fields.count(row, "a");
        chunk.restarts = Fields.countOr(row, "r", 0);
        chunk.consecutiveErrors = Fields.countOr(row, "e", 0);
        try {
            String doneText = (String) row.get("d");
            if (!doneText.isEmpty()) {
                String[] hexWords = doneText.split(",");
                long[] words = new long[hexWords.length];
                for (int i = 0; i < words.length; i++) {
                    words[i] = Long.parseUnsignedLong(hexWords[i], 16);
                }
                chunk.done.or(BitSet.valueOf(words));
            }
            String claimText = (String) row.get("c");
            int[] position = {0};
            while (position[0] < claimText.length()) {
                chunk.readClaim(claimText, position, previous);
            }
        } catch (RuntimeException e) {
            throw new InvalidInputException(
                    "placement row of " + job.spec.id() + ": done set or claims can't be parsed");
        }
        return chunk;
    }

    /** Reads one claim, up to the next ";". */
    private void readClaim(String text, int[] position, Chunk previous) {
        int task = index * job.chunkSize + (int) readNumber(text, position);
        long attempt = readNumber(text, position);
        int from = position[0];
        int to = text.indexOf(':', from);
        position[0] = to + 1;
        long session = readNumber(text, position);
        int shard = (int) readNumber(text, position);
        Claim old = previous == null ? null : previous.claims.get(task);
        boolean same = old != null
                && old.attempt() == attempt
                && old.session() == session
                && old.shard() == shard
                && old.machine().length() == to - from
                && text.startsWith(old.machine(), from);
        claims.put(task, same ? old : new Claim(job, task, attempt, text.substring(from, to), session, shard));
    }

    /** Reads a number up to the next ":" or ";", or the end, and moves the position behind that. */
    private static long readNumber(String text, int[] position) {
        int end = position[0];
        while (end < text.length() && text.charAt(end) != ':' && text.charAt(end) != ';') {
            end++;
        }
        long number = Long.parseLong(text, position[0], end, 10);
        position[0] = end + 1;
        return number;
    }
}
