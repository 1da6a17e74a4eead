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
    static final int VERSION = 1;
    static final String PREFIX = "snap-";
    static final String ASIDE = ".aside";
    private static final int MAGIC = 0x42534E50;
    private static final int HEADER = 16;

    /** Takes the rows of a snapshot being written. */
    public interface Sink {
        void row(byte[] payload) throws IOException;
    }

    /** Gives all rows. */
    public interface Body {
        void write(Sink to) throws IOException;
    }

    private Snapshot() {}

    static String name(long sequence) {
        return String.format("%s%016x", PREFIX, sequence);
    }

    static long sequence(String name) {
        return Names.number(name, PREFIX);
    }

    /**
     * Writes the snapshot of all records up to {@code sequence}, every one of which must be durable.
     * A failure leaves at most a file aside, which the next start deletes.
     */
    public static void write(Disk disk, long sequence, Body body) throws IOException {
        String name = name(sequence);
        try (Disk.Out out = disk.create(name + ASIDE)) {
            out.write(ByteBuffer.allocate(HEADER)
                    .putInt(MAGIC)
                    .putInt(VERSION)
                    .putLong(sequence)
                    .flip());
            try (DataOutputStream rows = new DataOutputStream(new LZ4FrameOutputStream(
                    new Bytes(out), BLOCKSIZE.SIZE_256KB, Bits.BLOCK_INDEPENDENCE, Bits.CONTENT_CHECKSUM))) {
                rows.writeLong(sequence);
                long[] count = {0};
                body.write(p -> {
                    if (p.length > Segment.MAX_RECORD) {
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
        disk.rename(name + ASIDE, name);
        disk.syncNames();
    }

    /** Reads a snapshot to its end; rows are given out before it is known to be whole. */
    static void read(Disk disk, String name, Sink to) throws IOException {
        try (InputStream in = new BufferedInputStream(disk.read(name))) {
            ByteBuffer head = ByteBuffer.wrap(in.readNBytes(HEADER));
            if (head.limit() < HEADER || head.getInt() != MAGIC) {
                throw new Damaged(name, 0, "is no snapshot");
            }
            int version = head.getInt();
            if (version != VERSION) {
                throw new IOException(
                        name + ": version " + version + " of the snapshot is not known here, " + VERSION + " is");
            }
            try {
                rows(
                        name,
                        head.getLong(),
                        new DataInputStream(new BufferedInputStream(new LZ4FrameInputStream(in))),
                        to);
            } catch (Damaged e) {
                throw e;
            } catch (IOException | RuntimeException e) {
                // Whatever the decompressor finds wrong, and a device that can't read: an older snapshot may still do.
                throw new Damaged(name, HEADER, "can't be read: " + e);
            }
        }
    }

    private static void rows(String name, long said, DataInputStream in, Sink to) throws IOException {
        if (said != sequence(name) || in.readLong() != said) {
            throw new Damaged(name, 8, "says that it is of record " + said);
        }
        long count = 0;
        for (int length = in.readInt(); length != -1; length = in.readInt()) {
            if (length < 0 || length > Segment.MAX_RECORD) {
                throw new Damaged(name, HEADER, "a row of " + length + " bytes");
            }
            byte[] payload = new byte[length];
            in.readFully(payload);
            to.row(payload);
            count++;
        }
        // Reading on to the end is what checks the content's checksum.
        if (in.readLong() != count || in.read() != -1) {
            throw new Damaged(name, HEADER, "does not end as it should");
        }
    }

    /** Whole writes to the file, as the compressor makes them. */
    private static final class Bytes extends OutputStream {
        private final Disk.Out out;

        Bytes(Disk.Out out) {
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
