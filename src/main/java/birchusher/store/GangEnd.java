package birchusher.store;

/**
 * The end of a gang in its placement rows. The tasks of a gang complete together: one that is done means that all are, in
 * whichever rows they are recorded. A single row would not do as a record of it, since the tasks of the other rows may be lost
 * with their machines before their own ends are reported.
 */
public final class GangEnd {
    private GangEnd() {}

    /**
     * Marks all tasks of a gang as done, in as many of its rows as may be written.
     *
     * @param maxRows highest number of rows to mark; those that are marked already do not count
     */
    public static void record(Transaction tx, Job job, int maxRows) {
        int marked = 0;
        for (int index = 0; index < job.chunks.size() && marked < maxRows; index++) {
            if (!isMarked(tx.peekChunk(job, index))) {
                Chunk chunk = tx.editChunk(job, index);
                chunk.done.set(0, chunk.size());
                marked++;
            }
        }
    }

    /** Returns whether a transaction would leave all tasks of a gang marked as done. */
    public static boolean isRecorded(Transaction tx, Job job) {
        for (int index = 0; index < job.chunks.size(); index++) {
            if (!isMarked(tx.peekChunk(job, index))) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of rows in which a gang's tasks are not all marked as done yet. */
    public static int unmarkedRows(Job job) {
        int count = 0;
        for (Chunk chunk : job.chunks) {
            count += isMarked(chunk) ? 0 : 1;
        }
        return count;
    }

    private static boolean isMarked(Chunk chunk) {
        return chunk != null && chunk.allDone();
    }
}
