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
public final class Log implements Closeable {
    /** A batch should not grow beyond this, in bytes; one record more is no harm. */
    public static final int MAX_BATCH = 4 << 20;

    /**
     * @param segmentBytes from this size on the log goes on in a new file
     * @param snapshotsKept the newest so many snapshots stay, with the log since the oldest of them; with 2 or more, one
     *     damaged snapshot costs nothing
     */
    public record Options(int segmentBytes, int snapshotsKept) {
        public static final Options USUAL = new Options(16 << 20, 2);

        public Options {
            if (segmentBytes < 1 || segmentBytes > 1 << 30 || snapshotsKept < 1 || snapshotsKept > 100) {
                throw new IllegalArgumentException("segmentBytes 1 to 2^30, snapshotsKept 1 to 100");
            }
        }
    }

    /** Takes what was kept, in order: {@code begin}, the rows of one snapshot, the records after it. */
    public interface Reader {
        /** From nothing; comes again when a snapshot turns out damaged after some of its rows. */
        void begin();

        void row(byte[] payload) throws IOException;

        void record(long sequence, byte[] payload) throws IOException;
    }

    /** A batch that does not count. */
    public static final class NotWritten extends IOException {
        private static final long serialVersionUID = 1;
        /** Whether it may count after all if the process ends before the log is mended; nobody may be told "not done". */
        public final boolean unclear;

        NotWritten(IOException cause, boolean unclear) {
            super(cause.getMessage(), cause);
            this.unclear = unclear;
        }
    }

    private final Disk disk;
    private final Options options;
    private final List<String> notes;
    private final List<byte[]> batch = new ArrayList<>();
    private int batchBytes;
    private long durable;
    private final long sinceSnapshot;
    private Disk.Out out;
    private String file;
    /** The durable bytes of {@code file}. */
    private long good;
    /** {@code file} may hold more than {@code good}, which has to go before anything else is written. */
    private boolean suspect;

    private Log(Disk disk, Options options, Recovery r) {
        this.disk = disk;
        this.options = options;
        this.notes = List.copyOf(r.notes);
        this.durable = r.last;
        this.sinceSnapshot = r.logBytes;
    }

    /**
     * Reads everything kept, cuts a torn tail off, and goes on from there.
     *
     * @throws Damaged if something durable can't be read; nothing was changed then
     */
    public static Log open(Disk disk, Options options, Reader to) throws IOException {
        Recovery r = new Recovery(disk, to);
        r.run();
        for (String name : r.leftOver) {
            disk.delete(name);
        }
        Log log = new Log(disk, options, r);
        if (r.tail != null) {
            log.file = r.tail.file();
            log.good = r.tail.good();
            log.out = disk.append(log.file);
            if (r.tail.torn()) {
                log.out.cut(log.good);
            }
            // What a killed process wrote and had not synced was read just now, and will be answered from: it must
            // last.
            log.out.sync();
        }
        disk.syncNames();
        return log;
    }

    /** What opening found, one line each, for the operator. */
    public List<String> notes() {
        return notes;
    }

    /** The last record that is durable, 0 if none. */
    public long durable() {
        return durable;
    }

    /** The last record appended. */
    public long appended() {
        return durable + batch.size();
    }

    /** Bytes of log that opening has read beyond the newest snapshot, about. */
    public long sinceSnapshot() {
        return sinceSnapshot;
    }

    /** Gathers one record; returns its number. Nothing is durable before {@link #sync}. */
    public long append(byte[] payload) {
        if (payload.length > Segment.MAX_RECORD) {
            throw new IllegalArgumentException(
                    "a record of " + payload.length + " bytes, " + Segment.MAX_RECORD + " is the most");
        }
        batch.add(payload);
        batchBytes += Segment.FRAME + payload.length;
        return appended();
    }

    /** Makes all that was appended durable, with one sync. */
    public void sync() throws NotWritten {
        if (batch.isEmpty()) {
            return;
        }
        try {
            mend();
            if (out == null || good > Segment.HEADER && good + batchBytes > options.segmentBytes) {
                next();
            }
            ByteBuffer b = ByteBuffer.allocate(batchBytes);
            for (int i = 0; i < batch.size(); i++) {
                Segment.frame(b, durable + 1 + i, good, batch.get(i));
            }
            suspect = true;
            out.write(b.flip());
            out.sync();
            suspect = false;
            good = out.length();
            durable += batch.size();
        } catch (IOException e) {
            throw new NotWritten(e, !mended());
        } finally {
            batch.clear();
            batchBytes = 0;
        }
    }

    /** Whether a failed batch is known to be gone; tries once to make it so. Nothing is written before it is. */
    public boolean mended() {
        try {
            mend();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void mend() throws IOException {
        if (!suspect) {
            return;
        }
        if (out == null) {
            out = disk.append(file);
        }
        out.cut(good);
        out.sync();
        suspect = false;
        // After a failed sync the host may take pages for written that are not: nothing more goes into that file.
        closeFile();
    }

    private void closeFile() throws IOException {
        Disk.Out o = out;
        out = null;
        if (o != null) {
            o.close();
        }
    }

    /** Begins a new file. The one before is durable to its end, so only the last file can have a torn tail. */
    private void next() throws IOException {
        closeFile();
        String name = Segment.name(durable + 1);
        Disk.Out o = disk.create(name);
        try {
            o.write(Segment.header(durable + 1));
            o.sync();
            disk.syncNames();
        } catch (IOException e) {
            o.close();
            throw e;
        }
        out = o;
        file = name;
        good = Segment.HEADER;
    }

    /** A snapshot up to that record is durable: drops older snapshots, and the log before the oldest one kept. */
    public void prune(long snapshot) throws IOException {
        if (snapshot > durable) {
            throw new IllegalArgumentException("snapshot of record " + snapshot + ", durable is " + durable);
        }
        Listing kept = Listing.of(disk);
        List<String> segments = kept.segments();
        List<String> snapshots = kept.snapshots();
        int drop = snapshots.size() - options.snapshotsKept;
        if (drop < 0) {
            return;
        }
        for (String n : snapshots.subList(0, drop)) {
            disk.delete(n);
        }
        long oldest = Snapshot.sequence(snapshots.get(drop));
        for (int i = 0; i + 1 < segments.size() && Segment.first(segments.get(i + 1)) <= oldest + 1; i++) {
            disk.delete(segments.get(i));
        }
    }

    /** Drops what was not synced. */
    @Override
    public void close() throws IOException {
        batch.clear();
        closeFile();
    }
}
