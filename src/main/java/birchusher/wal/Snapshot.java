package birchusher.wal;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import net.jpountz.lz4.LZ4FrameInputStream;
import net.jpountz.lz4.LZ4FrameOutputStream;
import net.jpountz.lz4.LZ4FrameOutputStream.BLOCKSIZE;
import net.jpountz.lz4.LZ4FrameOutputStream.FLG.Bits;

/**
 * A picture of everything up to one sequence: a file that is either whole or not there.
 *
 * <pre>
 * int "BSNP", int version, long sequence, then one LZ4 frame with checksums of
 *   long sequence, rows (int length, payload), int -1, long number of rows
 * </pre>
 *
 * It is written aside, synced, renamed, and the directory synced. May run on any thread beside the log's.
 */
public final class Snapshot {
    static final int FORMAT_VERSION = 1;
    static final String FILE_PREFIX = "snap-";
    static final String TEMPORARY_SUFFIX = ".aside";
    private static final int MAGIC = 0x42534E50;
    private static final int HEADER_BYTES = 16;

    /** Takes the rows of a snapshot being written. */
    public interface RecordSink {
        void accept(byte[] payload) throws IOException;
    }

    /** Gives all rows. */
    public interface RecordSource {
        void writeTo(RecordSink to) throws IOException;
    }

    private Snapshot() {}

    static String fileName(long sequence) {
        return String.format("%s%016x", FILE_PREFIX, sequence);
    }

    static long sequenceOf(String name) {
        return SequencedFileNames.parseSequence(name, FILE_PREFIX);
    }

    /**
     * Writes the snapshot of all records up to {@code sequence}, every one of which must be durable.
     * A failure leaves at most a file aside, which the next start deletes.
     */
    public static void write(StorageDirectory disk, long sequence, RecordSource body) throws IOException {
        String name = fileName(sequence);
        try (StorageDirectory.OutputFile out = disk.create(name + TEMPORARY_SUFFIX)) {
            out.write(ByteBuffer.allocate(HEADER_BYTES)
                    .putInt(MAGIC)
                    .putInt(FORMAT_VERSION)
                    .putLong(sequence)
                    .flip());
            try (DataOutputStream rows = new DataOutputStream(new LZ4FrameOutputStream(
                    new OutputFileStream(out), BLOCKSIZE.SIZE_256KB, Bits.BLOCK_INDEPENDENCE, Bits.CONTENT_CHECKSUM))) {
                rows.writeLong(sequence);
                long[] count = {0};
                body.writeTo(p -> {
                    if (p.length > Segment.MAX_RECORD_BYTES) {
                        throw new IOException("a row of " + p.length + " bytes");
                    }
                    rows.writeInt(p.length);
                    rows.write(p);
                    count[0]++;
                });
                rows.writeInt(-1);
                rows.writeLong(count[0]);
            }
            out.sync();
        }
        disk.rename(name + TEMPORARY_SUFFIX, name);
        disk.syncDirectory();
    }

    /** Reads a snapshot to its end; rows are given out before it is known to be whole. */
    static void read(StorageDirectory disk, String name, RecordSink to) throws IOException {
        try (InputStream in = new BufferedInputStream(disk.openForRead(name))) {
            ByteBuffer head = ByteBuffer.wrap(in.readNBytes(HEADER_BYTES));
            if (head.limit() < HEADER_BYTES || head.getInt() != MAGIC) {
                throw new CorruptedDataException(name, 0, "is no snapshot");
            }
            int version = head.getInt();
            if (version != FORMAT_VERSION) {
                throw new IOException(name + ": version " + version + " of the snapshot is not known here, "
                        + FORMAT_VERSION + " is");
            }
            try {
                readRecords(
                        name,
                        head.getLong(),
                        new DataInputStream(new BufferedInputStream(new LZ4FrameInputStream(in))),
                        to);
            } catch (CorruptedDataException e) {
                throw e;
            } catch (IOException | RuntimeException e) {
                // Whatever the decompressor finds wrong, and a device that can't read: an older snapshot may still do.
                throw new CorruptedDataException(name, HEADER_BYTES, "can't be read: " + e);
            }
        }
    }

    private static void readRecords(String name, long said, DataInputStream in, RecordSink to) throws IOException {
        if (said != sequenceOf(name) || in.readLong() != said) {
            throw new CorruptedDataException(name, 8, "says that it is of record " + said);
        }
        long count = 0;
        for (int length = in.readInt(); length != -1; length = in.readInt()) {
            if (length < 0 || length > Segment.MAX_RECORD_BYTES) {
                throw new CorruptedDataException(name, HEADER_BYTES, "a row of " + length + " bytes");
            }
            byte[] payload = new byte[length];
            in.readFully(payload);
            to.accept(payload);
            count++;
        }
        // Reading on to the end is what checks the content's checksum.
        if (in.readLong() != count || in.read() != -1) {
            throw new CorruptedDataException(name, HEADER_BYTES, "does not end as it should");
        }
    }

    /** Whole writes to the file, as the compressor makes them. */
    private static final class OutputFileStream extends OutputStream {
        private final StorageDirectory.OutputFile out;

        OutputFileStream(StorageDirectory.OutputFile out) {
            this.out = out;
        }

        @Override
        public void write(int b) throws IOException {
            out.write(ByteBuffer.wrap(new byte[] {(byte) b}));
        }

        @Override
        public void write(byte[] b, int off, int len) throws IOException {
            out.write(ByteBuffer.wrap(b, off, len));
        }
    }
}
