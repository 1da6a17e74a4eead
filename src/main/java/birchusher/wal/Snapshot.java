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
 * A file with the complete state after one log record. It is either complete or absent.
 *
 * <pre>
 * int "BSNP", int version, long sequence, then one LZ4 frame with checksums of
 *   long sequence, records (int length, payload), int -1, long number of records
 * </pre>
 *
 * It is written under a temporary name, synced and renamed, then the directory is synced. Writing may run on any thread,
 * concurrently with the log's.
 */
public final class Snapshot {
    static final int FORMAT_VERSION = 1;
    static final String FILE_PREFIX = "snap-";
    static final String TEMPORARY_SUFFIX = ".aside";
    private static final int MAGIC = 0x42534E50;
    private static final int HEADER_BYTES = 16;
    private static final int SEQUENCE_OFFSET = 8;
    /** Written in place of a length after the last record. */
    private static final int END_OF_RECORDS = -1;

    /** Receives the records of a snapshot, in order. */
    public interface RecordSink {
        void accept(byte[] payload) throws IOException;
    }

    /** Produces the records of a snapshot. */
    public interface RecordSource {
        void writeTo(RecordSink to) throws IOException;
    }

    private Snapshot() {}

    static String fileName(long sequence) {
        return String.format("%s%016x", FILE_PREFIX, sequence);
    }

    /** The log record up to which the snapshot of this file name reaches, -1 if the file is not a snapshot. */
    static long sequenceOf(String name) {
        return SequencedFileNames.parseSequence(name, FILE_PREFIX);
    }

    /**
     * Writes the snapshot of the state after log record {@code sequence}; that record and all before it must be durable.
     * A failure leaves at most a temporary file, which the next start deletes.
     */
    public static void write(StorageDirectory directory, long sequence, RecordSource source) throws IOException {
        String name = fileName(sequence);
        try (StorageDirectory.OutputFile out = directory.create(name + TEMPORARY_SUFFIX)) {
            out.write(ByteBuffer.allocate(HEADER_BYTES)
                    .putInt(MAGIC)
                    .putInt(FORMAT_VERSION)
                    .putLong(sequence)
                    .flip());
            try (DataOutputStream stream = new DataOutputStream(new LZ4FrameOutputStream(
                    new OutputFileStream(out), BLOCKSIZE.SIZE_256KB, Bits.BLOCK_INDEPENDENCE, Bits.CONTENT_CHECKSUM))) {
                stream.writeLong(sequence);
                long[] count = {0};
                source.writeTo(payload -> {
                    if (payload.length > Segment.MAX_RECORD_BYTES) {
                        throw new IOException("snapshot record too large: " + payload.length + " bytes");
                    }
                    stream.writeInt(payload.length);
                    stream.write(payload);
                    count[0]++;
                });
                stream.writeInt(END_OF_RECORDS);
                stream.writeLong(count[0]);
            }
            out.sync();
        }
        directory.rename(name + TEMPORARY_SUFFIX, name);
        directory.syncDirectory();
    }

    /**
     * Reads a snapshot to its end. Records are passed on before the snapshot is known to be valid.
     *
     * @throws CorruptedDataException if it is not valid
     */
    static void read(StorageDirectory directory, String name, RecordSink sink) throws IOException {
        try (InputStream in = new BufferedInputStream(directory.openForRead(name))) {
            ByteBuffer header = ByteBuffer.wrap(in.readNBytes(HEADER_BYTES));
            if (header.limit() < HEADER_BYTES || header.getInt() != MAGIC) {
                throw new CorruptedDataException(name, 0, "not a snapshot file");
            }
            int version = header.getInt();
            if (version != FORMAT_VERSION) {
                throw new IOException(name + ": version " + version + " of the snapshot format is not supported, only "
                        + FORMAT_VERSION + " is");
            }
            try {
                readRecords(
                        name,
                        header.getLong(),
                        new DataInputStream(new BufferedInputStream(new LZ4FrameInputStream(in))),
                        sink);
            } catch (CorruptedDataException e) {
                throw e;
            } catch (IOException | RuntimeException e) {
                // Reported as corruption, whether the decompressor found a fault or the device failed to read, as an
                // older snapshot may be readable.
                throw new CorruptedDataException(name, HEADER_BYTES, "snapshot can't be read: " + e);
            }
        }
    }

    private static void readRecords(String name, long headerSequence, DataInputStream in, RecordSink sink)
            throws IOException {
        if (headerSequence != sequenceOf(name) || in.readLong() != headerSequence) {
            throw new CorruptedDataException(name, SEQUENCE_OFFSET, "header names record " + headerSequence);
        }
        long count = 0;
        for (int length = in.readInt(); length != END_OF_RECORDS; length = in.readInt()) {
            if (length < 0 || length > Segment.MAX_RECORD_BYTES) {
                throw new CorruptedDataException(name, HEADER_BYTES, "invalid record length of " + length + " bytes");
            }
            byte[] payload = new byte[length];
            in.readFully(payload);
            sink.accept(payload);
            count++;
        }
        // The content checksum is only verified when the stream is read to its end.
        if (in.readLong() != count || in.read() != -1) {
            throw new CorruptedDataException(name, HEADER_BYTES, "wrong record count or data after the end");
        }
    }

    /** Passes each write of the compressor to the file unbuffered. */
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
