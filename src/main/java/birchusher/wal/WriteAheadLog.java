package birchusher.wal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A durable sequence of records, numbered from 1, with snapshots that stand for its beginning.
 *
 * <p>Contract: {@link #append} only gathers; after {@link #sync} has returned, all that was appended survives a kill and a
 * power cut, in order. After it has thrown {@link NotWritten}, nothing of that batch counts, and the next one may be tried: what
 * was written of the failed one is cut off first, and a new file begun, as a file whose sync failed once is not to be
 * trusted with more. One thread at a time; only {@link Snapshot#write} may run beside it.
 *
 * <p>Memory: the batch being gathered, which callers keep near {@link #MAX_BATCH} bytes. Opening reads one file at a time
 * into memory.
 */
public final class WriteAheadLog implements Closeable {
    /** A batch should not grow beyond this, in bytes; one record more is no harm. */
    public static final int MAX_BATCH_BYTES = 4 << 20;

    /**
     * @param segmentBytes from this size on the log goes on in a new file
     * @param snapshotsKept the newest so many snapshots stay, with the log since the oldest of them; with 2 or more, one
     *     damaged snapshot costs nothing
     */
    public record Options(int maxSegmentBytes, int retainedSnapshots) {
        public static final Options DEFAULT = new Options(16 << 20, 2);

        public Options {
            if (maxSegmentBytes < 1 || maxSegmentBytes > 1 << 30 || retainedSnapshots < 1 || retainedSnapshots > 100) {
                throw new IllegalArgumentException("segmentBytes 1 to 2^30, snapshotsKept 1 to 100");
            }
        }
    }

    /** Takes what was kept, in order: {@code begin}, the rows of one snapshot, the records after it. */
    public interface RecoveryHandler {
        /** From nothing; comes again when a snapshot turns out damaged after some of its rows. */
        void reset();

        void snapshotRecord(byte[] payload) throws IOException;

        void logRecord(long sequence, byte[] payload) throws IOException;
    }

    /** A batch that does not count. */
    public static final class WriteFailedException extends IOException {
        private static final long serialVersionUID = 1;
        /** Whether it may count after all if the process ends before the log is mended; nobody may be told "not done". */
        public final boolean outcomeUnknown;

        WriteFailedException(IOException cause, boolean unclear) {
            super(cause.getMessage(), cause);
            this.outcomeUnknown = unclear;
        }
    }

    private final StorageDirectory disk;
    private final Options options;
    private final List<String> recoveryNotes;
    private final List<byte[]> batch = new ArrayList<>();
    private int batchBytes;
    private long durableSequence;
    private final long bytesSinceSnapshot;
    private StorageDirectory.OutputFile openSegment;
    private String segmentName;
    /** The durable bytes of {@code file}. */
    private long segmentDurableBytes;
    /** {@code file} may hold more than {@code good}, which has to go before anything else is written. */
    private boolean mayHoldFailedBatch;

    private WriteAheadLog(StorageDirectory disk, Options options, Recovery r) {
        this.disk = disk;
        this.options = options;
        this.recoveryNotes = List.copyOf(r.notes);
        this.durableSequence = r.lastSequence;
        this.bytesSinceSnapshot = r.logBytes;
    }

    /**
     * Reads everything kept, cuts a torn tail off, and goes on from there.
     *
     * @throws Damaged if something durable can't be read; nothing was changed then
     */
    public static WriteAheadLog open(StorageDirectory disk, Options options, RecoveryHandler to) throws IOException {
        Recovery r = new Recovery(disk, to);
        r.run();
        for (String name : r.removableFiles) {
            disk.delete(name);
        }
        WriteAheadLog log = new WriteAheadLog(disk, options, r);
        if (r.appendPosition != null) {
            log.segmentName = r.appendPosition.segmentName();
            log.segmentDurableBytes = r.appendPosition.validBytes();
            log.openSegment = disk.openForAppend(log.segmentName);
            if (r.appendPosition.torn()) {
                log.openSegment.truncate(log.segmentDurableBytes);
            }
            // What a killed process wrote and had not synced was read just now, and will be answered from: it must
            // last.
            log.openSegment.sync();
        }
        disk.syncDirectory();
        return log;
    }

    /** What opening found, one line each, for the operator. */
    public List<String> recoveryNotes() {
        return recoveryNotes;
    }

    /** The last record that is durable, 0 if none. */
    public long durableSequence() {
        return durableSequence;
    }

    /** The last record appended. */
    public long appendedSequence() {
        return durableSequence + batch.size();
    }

    /** Bytes of log that opening has read beyond the newest snapshot, about. */
    public long bytesSinceSnapshot() {
        return bytesSinceSnapshot;
    }

    /** Gathers one record; returns its number. Nothing is durable before {@link #sync}. */
    public long append(byte[] payload) {
        if (payload.length > Segment.MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "a record of " + payload.length + " bytes, " + Segment.MAX_RECORD_BYTES + " is the most");
        }
        batch.add(payload);
        batchBytes += Segment.FRAME_BYTES + payload.length;
        return appendedSequence();
    }

    /** Makes all that was appended durable, with one sync. */
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
            ByteBuffer b = ByteBuffer.allocate(batchBytes);
            for (int i = 0; i < batch.size(); i++) {
                Segment.encodeRecord(b, durableSequence + 1 + i, segmentDurableBytes, batch.get(i));
            }
            mayHoldFailedBatch = true;
            openSegment.write(b.flip());
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

    /** Whether a failed batch is known to be gone; tries once to make it so. Nothing is written before it is. */
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
            openSegment = disk.openForAppend(segmentName);
        }
        openSegment.truncate(segmentDurableBytes);
        openSegment.sync();
        mayHoldFailedBatch = false;
        // After a failed sync the host may take pages for written that are not: nothing more goes into that file.
        closeSegment();
    }

    private void closeSegment() throws IOException {
        StorageDirectory.OutputFile o = openSegment;
        openSegment = null;
        if (o != null) {
            o.close();
        }
    }

    /** Begins a new file. The one before is durable to its end, so only the last file can have a torn tail. */
    private void startNextSegment() throws IOException {
        closeSegment();
        String name = Segment.fileName(durableSequence + 1);
        StorageDirectory.OutputFile o = disk.create(name);
        try {
            o.write(Segment.encodeHeader(durableSequence + 1));
            o.sync();
            disk.syncDirectory();
        } catch (IOException e) {
            o.close();
            throw e;
        }
        openSegment = o;
        segmentName = name;
        segmentDurableBytes = Segment.HEADER_BYTES;
    }

    /** A snapshot up to that record is durable: drops older snapshots, and the log before the oldest one kept. */
    public void prune(long snapshot) throws IOException {
        if (snapshot > durableSequence) {
            throw new IllegalArgumentException("snapshot of record " + snapshot + ", durable is " + durableSequence);
        }
        DirectoryListing kept = DirectoryListing.of(disk);
        List<String> segments = kept.segments();
        List<String> snapshots = kept.snapshots();
        int drop = snapshots.size() - options.retainedSnapshots;
        if (drop < 0) {
            return;
        }
        for (String n : snapshots.subList(0, drop)) {
            disk.delete(n);
        }
        long oldest = Snapshot.sequenceOf(snapshots.get(drop));
        for (int i = 0; i + 1 < segments.size() && Segment.firstSequence(segments.get(i + 1)) <= oldest + 1; i++) {
            disk.delete(segments.get(i));
        }
    }

    /** Drops what was not synced. */
    @Override
    public void close() throws IOException {
        batch.clear();
        closeSegment();
    }
}
