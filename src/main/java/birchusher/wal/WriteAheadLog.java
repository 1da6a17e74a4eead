package birchusher.wal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A durable sequence of records, numbered from 1, with snapshots that replace its beginning.
 *
 * <p>{@link #append} only adds a record to a batch. Once {@link #sync} has returned, the batch survives a kill of the process
 * and a power cut, in order. If it throws {@link WriteFailedException}, no record of the batch is part of the log and the next
 * batch may be written: the failed one is truncated away first, and a new segment is started, as a file whose sync has failed once
 * can't be trusted with further writes.
 *
 * <p>Threads: one at a time; only {@link Snapshot#write} may run concurrently.
 *
 * <p>Memory: the current batch, which callers keep near {@link #MAX_BATCH_BYTES}. Opening reads one whole file at a time.
 */
public final class WriteAheadLog implements Closeable {
    /** Target for the size of a batch; a batch may exceed it by one record. */
    public static final int MAX_BATCH_BYTES = 4 << 20;

    /**
     * How the log uses its directory.
     *
     * @param maxSegmentBytes a batch that would make a segment larger starts a new one
     * @param retainedSnapshots how many of the newest snapshots are kept, with the log since the oldest of them; with 2 or
     *     more, one corrupted snapshot loses no data
     */
    public record Options(int maxSegmentBytes, int retainedSnapshots) {
        public static final Options DEFAULT = new Options(16 << 20, 2);

        public Options {
            if (maxSegmentBytes < 1 || maxSegmentBytes > 1 << 30 || retainedSnapshots < 1 || retainedSnapshots > 100) {
                throw new IllegalArgumentException("maxSegmentBytes must be 1 to 2^30 and retainedSnapshots 1 to 100");
            }
        }
    }

    /** Receives the recovered data in order: a reset, the records of one snapshot, then the log records after it. */
    public interface RecoveryHandler {
        /** Discards everything received; called again if a snapshot proves corrupted after some of its records. */
        void reset();

        /** Receives the next record of the snapshot. */
        void snapshotRecord(byte[] payload) throws IOException;

        /** Receives the next log record; sequence numbers are contiguous. */
        void logRecord(long sequence, byte[] payload) throws IOException;
    }

    /** A batch could not be made durable and is not part of the log. */
    public static final class WriteFailedException extends IOException {
        private static final long serialVersionUID = 1;
        /**
         * Whether the batch may still be recovered if the process ends before it is truncated away; its requests must not be
         * reported as not executed.
         */
        public final boolean outcomeUnknown;

        WriteFailedException(IOException cause, boolean outcomeUnknown) {
            super(cause.getMessage(), cause);
            this.outcomeUnknown = outcomeUnknown;
        }
    }

    private final StorageDirectory directory;
    private final Options options;
    private final List<String> recoveryNotes;
    private final List<byte[]> batch = new ArrayList<>();
    private int batchBytes;
    private long durableSequence;
    private final long bytesSinceSnapshot;
    private StorageDirectory.OutputFile openSegment;
    private String segmentName;
    /** How many bytes at the start of the open segment are durable. */
    private long segmentDurableBytes;
    /** Whether the segment may hold bytes after the durable ones, to be truncated before anything else is written. */
    private boolean mayHoldFailedBatch;

    private WriteAheadLog(StorageDirectory directory, Options options, Recovery recovery) {
        this.directory = directory;
        this.options = options;
        this.recoveryNotes = List.copyOf(recovery.notes);
        this.durableSequence = recovery.lastSequence;
        this.bytesSinceSnapshot = recovery.logBytes;
    }

    /**
     * Recovers the directory's data, truncates a torn tail, and continues the log after the last valid record.
     *
     * @throws CorruptedDataException if data that was durable can't be read; the directory is left unchanged
     */
    public static WriteAheadLog open(StorageDirectory directory, Options options, RecoveryHandler handler)
            throws IOException {
        Recovery recovery = new Recovery(directory, handler);
        recovery.run();
        for (String name : recovery.removableFiles) {
            directory.delete(name);
        }
        WriteAheadLog log = new WriteAheadLog(directory, options, recovery);
        if (recovery.appendPosition != null) {
            log.segmentName = recovery.appendPosition.segmentName();
            log.segmentDurableBytes = recovery.appendPosition.validBytes();
            log.openSegment = directory.openForAppend(log.segmentName);
            if (recovery.appendPosition.torn()) {
                log.openSegment.truncate(log.segmentDurableBytes);
            }
            // A killed process may have written records without syncing them. They were recovered and answers will be
            // based on them, so they must be durable.
            log.openSegment.sync();
        }
        directory.syncDirectory();
        return log;
    }

    /** Findings of the recovery for the operator, one line each. */
    public List<String> recoveryNotes() {
        return recoveryNotes;
    }

    /** The sequence number of the last durable record, 0 if there is none. */
    public long durableSequence() {
        return durableSequence;
    }

    /** The sequence number of the last appended record, durable or not. */
    public long appendedSequence() {
        return durableSequence + batch.size();
    }

    /** About how many bytes of log were read after the newest snapshot when this log was opened. */
    public long bytesSinceSnapshot() {
        return bytesSinceSnapshot;
    }

    /** Adds one record to the batch and returns its sequence number; it is not durable before {@link #sync}. */
    public long append(byte[] payload) {
        if (payload.length > Segment.MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("record of " + payload.length + " bytes exceeds the limit of "
                    + Segment.MAX_RECORD_BYTES + " bytes");
        }
        batch.add(payload);
        batchBytes += Segment.FRAME_BYTES + payload.length;
        return appendedSequence();
    }

    /** Makes all appended records durable with one sync. */
    public void sync() throws WriteFailedException {
        if (batch.isEmpty()) {
            return;
        }
        try {
            removeFailedBatch();
            if (openSegment == null
                    || segmentDurableBytes > Segment.HEADER_BYTES
                            && segmentDurableBytes + batchBytes > options.maxSegmentBytes) {
                startNextSegment();
            }
            ByteBuffer buffer = ByteBuffer.allocate(batchBytes);
            for (int i = 0; i < batch.size(); i++) {
                Segment.encodeRecord(buffer, durableSequence + 1 + i, segmentDurableBytes, batch.get(i));
            }
            mayHoldFailedBatch = true;
            openSegment.write(buffer.flip());
            openSegment.sync();
            mayHoldFailedBatch = false;
            segmentDurableBytes = openSegment.length();
            durableSequence += batch.size();
        } catch (IOException e) {
            throw new WriteFailedException(e, !tryRemoveFailedBatch());
        } finally {
            batch.clear();
            batchBytes = 0;
        }
    }

    /** Tries once to remove a failed batch; returns whether none is left. No batch is written while one is left. */
    public boolean tryRemoveFailedBatch() {
        try {
            removeFailedBatch();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void removeFailedBatch() throws IOException {
        if (!mayHoldFailedBatch) {
            return;
        }
        if (openSegment == null) {
            openSegment = directory.openForAppend(segmentName);
        }
        openSegment.truncate(segmentDurableBytes);
        openSegment.sync();
        mayHoldFailedBatch = false;
        // After a failed sync the operating system may mark pages as written that are not: the file is not reused.
        closeSegment();
    }

    private void closeSegment() throws IOException {
        StorageDirectory.OutputFile segment = openSegment;
        openSegment = null;
        if (segment != null) {
            segment.close();
        }
    }

    /** Starts a new segment. The previous one is durable to its end, so only the last segment can have a torn tail. */
    private void startNextSegment() throws IOException {
        closeSegment();
        String name = Segment.fileName(durableSequence + 1);
        StorageDirectory.OutputFile segment = directory.create(name);
        try {
            segment.write(Segment.encodeHeader(durableSequence + 1));
            segment.sync();
            directory.syncDirectory();
        } catch (IOException e) {
            segment.close();
            throw e;
        }
        openSegment = segment;
        segmentName = name;
        segmentDurableBytes = Segment.HEADER_BYTES;
    }

    /**
     * Deletes snapshots beyond the retained ones, and the segments that the oldest retained one replaces.
     *
     * @param snapshotSequence the sequence number of a durable snapshot
     */
    public void prune(long snapshotSequence) throws IOException {
        if (snapshotSequence > durableSequence) {
            throw new IllegalArgumentException(
                    "snapshot of record " + snapshotSequence + ", but the last durable record is " + durableSequence);
        }
        DirectoryListing listing = DirectoryListing.of(directory);
        List<String> segments = listing.segments();
        List<String> snapshots = listing.snapshots();
        int excessSnapshots = snapshots.size() - options.retainedSnapshots;
        if (excessSnapshots < 0) {
            return;
        }
        for (String name : snapshots.subList(0, excessSnapshots)) {
            directory.delete(name);
        }
        long oldestSnapshotSequence = Snapshot.sequenceOf(snapshots.get(excessSnapshots));
        for (int i = 0;
                i + 1 < segments.size() && Segment.firstSequence(segments.get(i + 1)) <= oldestSnapshotSequence + 1;
                i++) {
            directory.delete(segments.get(i));
        }
    }

    /** Discards records that were not synced and closes the open segment. */
    @Override
    public void close() throws IOException {
        batch.clear();
        closeSegment();
    }
}
