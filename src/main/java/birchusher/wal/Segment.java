package birchusher.wal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * One file of the log: a header followed by records; all numbers are big-endian.
 *
 * <pre>
 * header  int "BSEG", int version, long first sequence, int CRC-32C of these
 * record  int "BREC", int length, long sequence, long synced, int CRC-32C of length, sequence, synced and payload, payload
 * </pre>
 *
 * {@code synced} is the number of bytes of this file that were known to be durable when the record was encoded. It
 * distinguishes a torn tail from corruption: unreadable bytes are a torn tail, left by a power cut, only if no later record
 * states that they were durable. No record follows the last batch before a crash, so corruption there looks like a torn
 * tail.
 */
final class Segment {
    static final int FORMAT_VERSION = 1;
    static final int HEADER_BYTES = 20;
    static final int FRAME_BYTES = 28;
    static final int MAX_RECORD_BYTES = 1 << 20;
    private static final int SEGMENT_MAGIC = 0x42534547;
    private static final int RECORD_MAGIC = 0x42524543;
    private static final String FILE_PREFIX = "log-";
    // Offsets of the fields within a segment header or a record; both begin with a magic number of 4 bytes.
    private static final int HEADER_VERSION_OFFSET = 4;
    private static final int HEADER_SEQUENCE_OFFSET = 8;
    private static final int HEADER_CRC_OFFSET = 16;
    private static final int LENGTH_OFFSET = 4;
    private static final int SEQUENCE_OFFSET = 8;
    private static final int SYNCED_OFFSET = 16;
    private static final int CRC_OFFSET = 24;

    /** Receives each record in file order. */
    interface RecordConsumer {
        void accept(long sequence, byte[] payload) throws IOException;
    }

    /**
     * How much of a segment can be read.
     *
     * @param validBytes how many bytes from the start are valid; 0 if the header is not
     * @param lastSequence the last valid record; without one, the number before the first record of the segment
     * @param remainderWasDurable whether a later record states that the bytes after the valid ones were durable
     */
    record Scan(int validBytes, int sizeBytes, long lastSequence, boolean remainderWasDurable) {
        boolean isComplete() {
            return validBytes == sizeBytes;
        }
    }

    private Segment() {}

    static String fileName(long firstSequence) {
        return String.format("%s%016x", FILE_PREFIX, firstSequence);
    }

    /** The sequence number of the first record according to the file's name, -1 if the file is not a segment. */
    static long firstSequence(String name) {
        return SequencedFileNames.parseSequence(name, FILE_PREFIX);
    }

    static ByteBuffer encodeHeader(long firstSequence) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES)
                .putInt(SEGMENT_MAGIC)
                .putInt(FORMAT_VERSION)
                .putLong(firstSequence);
        buffer.putInt(crc(buffer, 0, HEADER_CRC_OFFSET));
        return buffer.flip();
    }

    /**
     * Appends one record to a buffer, which must have enough space left.
     *
     * @param syncedBytes how many bytes of the segment are durable
     */
    static void encodeRecord(ByteBuffer buffer, long sequence, long syncedBytes, byte[] payload) {
        int offset = buffer.position();
        buffer.putInt(RECORD_MAGIC)
                .putInt(payload.length)
                .putLong(sequence)
                .putLong(syncedBytes)
                .putInt(0)
                .put(payload);
        buffer.putInt(offset + CRC_OFFSET, recordCrc(buffer, offset, payload.length));
    }

    private static int crc(ByteBuffer buffer, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(buffer.array(), offset, length);
        return (int) crc.getValue();
    }

    private static int recordCrc(ByteBuffer buffer, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(buffer.array(), offset + LENGTH_OFFSET, CRC_OFFSET - LENGTH_OFFSET);
        crc.update(buffer.array(), offset + FRAME_BYTES, length);
        return (int) crc.getValue();
    }

    private static boolean isRecordAt(ByteBuffer buffer, int offset) {
        if (buffer.limit() - offset < FRAME_BYTES || buffer.getInt(offset) != RECORD_MAGIC) {
            return false;
        }
        int length = buffer.getInt(offset + LENGTH_OFFSET);
        return length >= 0
                && length <= MAX_RECORD_BYTES
                && length <= buffer.limit() - offset - FRAME_BYTES
                && buffer.getInt(offset + CRC_OFFSET) == recordCrc(buffer, offset, length);
    }

    /** Reads the records of a segment up to the first unreadable byte. */
    static Scan scan(StorageDirectory directory, String name, RecordConsumer consumer) throws IOException {
        ByteBuffer buffer = readFile(directory, name);
        long firstSequence = firstSequence(name);
        if (buffer.limit() < HEADER_BYTES
                || buffer.getInt(0) != SEGMENT_MAGIC
                || buffer.getInt(HEADER_CRC_OFFSET) != crc(buffer, 0, HEADER_CRC_OFFSET)) {
            return new Scan(0, buffer.limit(), firstSequence - 1, wasDurableAt(buffer, 0));
        }
        if (buffer.getInt(HEADER_VERSION_OFFSET) != FORMAT_VERSION) {
            throw new IOException(name + ": version " + buffer.getInt(HEADER_VERSION_OFFSET)
                    + " of the log format is not supported, only " + FORMAT_VERSION + " is");
        }
        if (buffer.getLong(HEADER_SEQUENCE_OFFSET) != firstSequence) {
            throw new CorruptedDataException(
                    name,
                    HEADER_SEQUENCE_OFFSET,
                    "header says that the segment begins with record " + buffer.getLong(HEADER_SEQUENCE_OFFSET));
        }
        int offset = HEADER_BYTES;
        long sequence = firstSequence;
        while (offset < buffer.limit() && isRecordAt(buffer, offset)) {
            if (buffer.getLong(offset + SEQUENCE_OFFSET) != sequence) {
                throw new CorruptedDataException(
                        name,
                        offset,
                        "record " + buffer.getLong(offset + SEQUENCE_OFFSET) + " where record " + sequence
                                + " is expected");
            }
            byte[] payload = new byte[buffer.getInt(offset + LENGTH_OFFSET)];
            buffer.get(offset + FRAME_BYTES, payload);
            consumer.accept(sequence++, payload);
            offset += FRAME_BYTES + payload.length;
        }
        return new Scan(offset, buffer.limit(), sequence - 1, wasDurableAt(buffer, offset));
    }

    /** Passes on every readable record of a file under its own sequence number, skipping corrupted parts. */
    static void salvage(StorageDirectory directory, String name, RecordConsumer consumer) throws IOException {
        ByteBuffer buffer = readFile(directory, name);
        int offset = 0;
        while (offset <= buffer.limit() - FRAME_BYTES) {
            if (isRecordAt(buffer, offset)) {
                byte[] payload = new byte[buffer.getInt(offset + LENGTH_OFFSET)];
                buffer.get(offset + FRAME_BYTES, payload);
                consumer.accept(buffer.getLong(offset + SEQUENCE_OFFSET), payload);
                offset += FRAME_BYTES + payload.length;
            } else {
                offset++;
            }
        }
    }

    private static ByteBuffer readFile(StorageDirectory directory, String name) throws IOException {
        try (InputStream in = directory.openForRead(name)) {
            return ByteBuffer.wrap(in.readAllBytes());
        }
    }

    /** Whether a valid record at or after {@code offset} states that the byte at {@code offset} was durable. */
    private static boolean wasDurableAt(ByteBuffer buffer, int offset) {
        for (int i = offset; i <= buffer.limit() - FRAME_BYTES; i++) {
            if (buffer.getInt(i) == RECORD_MAGIC
                    && buffer.getLong(i + SYNCED_OFFSET) > offset
                    && isRecordAt(buffer, i)) {
                return true;
            }
        }
        return false;
    }
}
