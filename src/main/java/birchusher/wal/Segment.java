package birchusher.wal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * One file of the log: a header and then records, all numbers big-endian.
 *
 * <pre>
 * header  int "BSEG", int version, long first sequence, int CRC-32C of these
 * record  int "BREC", int length, long sequence, long synced, int CRC-32C of length, sequence, synced and payload, payload
 * </pre>
 *
 * {@code synced} is how many bytes of this file were known to be durable when the record was made. It tells a torn tail
 * from damage: bytes that can't be read were lost with a power cut only if no record after them says that they had
 * been durable. The last batch before a crash has no record after it, so damage there looks like a torn tail.
 */
final class Segment {
    static final int FORMAT_VERSION = 1;
    static final int HEADER_BYTES = 20;
    static final int FRAME_BYTES = 28;
    static final int MAX_RECORD_BYTES = 1 << 20;
    private static final int SEGMENT_MAGIC = 0x42534547;
    private static final int RECORD_MAGIC = 0x42524543;
    private static final String FILE_PREFIX = "log-";

    /** Takes each record in order. */
    interface RecordConsumer {
        void accept(long sequence, byte[] payload) throws IOException;
    }

    /** How far a segment can be read: {@code good} bytes, up to {@code last}; {@code durable}: what follows was durable once. */
    record Scan(int validBytes, int sizeBytes, long lastSequence, boolean remainderWasDurable) {
        boolean isComplete() {
            return validBytes == sizeBytes;
        }
    }

    private Segment() {}

    static String fileName(long first) {
        return String.format("%s%016x", FILE_PREFIX, first);
    }

    /** The first sequence that a file's name says, -1 if it is no segment. */
    static long firstSequence(String name) {
        return SequencedFileNames.parseSequence(name, FILE_PREFIX);
    }

    static ByteBuffer encodeHeader(long first) {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES)
                .putInt(SEGMENT_MAGIC)
                .putInt(FORMAT_VERSION)
                .putLong(first);
        b.putInt(crc(b, 0, HEADER_BYTES - 4));
        return b.flip();
    }

    /** Appends one record to a buffer with room for it. */
    static void encodeRecord(ByteBuffer to, long sequence, long synced, byte[] payload) {
        int at = to.position();
        to.putInt(RECORD_MAGIC)
                .putInt(payload.length)
                .putLong(sequence)
                .putLong(synced)
                .putInt(0)
                .put(payload);
        to.putInt(at + 24, recordCrc(to, at, payload.length));
    }

    private static int crc(ByteBuffer b, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(b.array(), from, length);
        return (int) crc.getValue();
    }

    private static int recordCrc(ByteBuffer b, int at, int length) {
        CRC32C crc = new CRC32C();
        crc.update(b.array(), at + 4, 20);
        crc.update(b.array(), at + FRAME_BYTES, length);
        return (int) crc.getValue();
    }

    private static boolean isRecordAt(ByteBuffer b, int at) {
        if (b.limit() - at < FRAME_BYTES || b.getInt(at) != RECORD_MAGIC) {
            return false;
        }
        int length = b.getInt(at + 4);
        return length >= 0
                && length <= MAX_RECORD_BYTES
                && length <= b.limit() - at - FRAME_BYTES
                && b.getInt(at + 24) == recordCrc(b, at, length);
    }

    static Scan scan(StorageDirectory disk, String name, RecordConsumer each) throws IOException {
        ByteBuffer b = readFile(disk, name);
        long first = firstSequence(name);
        if (b.limit() < HEADER_BYTES || b.getInt(0) != SEGMENT_MAGIC || b.getInt(16) != crc(b, 0, HEADER_BYTES - 4)) {
            return new Scan(0, b.limit(), first - 1, wasDurableAt(b, 0));
        }
        if (b.getInt(4) != FORMAT_VERSION) {
            throw new IOException(
                    name + ": version " + b.getInt(4) + " of the log is not known here, " + FORMAT_VERSION + " is");
        }
        if (b.getLong(8) != first) {
            throw new CorruptedDataException(name, 8, "says that it begins with record " + b.getLong(8));
        }
        int at = HEADER_BYTES;
        long sequence = first;
        while (at < b.limit() && isRecordAt(b, at)) {
            if (b.getLong(at + 8) != sequence) {
                throw new CorruptedDataException(
                        name, at, "record " + b.getLong(at + 8) + " where " + sequence + " should be");
            }
            byte[] payload = new byte[b.getInt(at + 4)];
            b.get(at + FRAME_BYTES, payload);
            each.accept(sequence++, payload);
            at += FRAME_BYTES + payload.length;
        }
        return new Scan(at, b.limit(), sequence - 1, wasDurableAt(b, at));
    }

    /** Gives every record of a file that can be read, damaged parts passed over; its own number is what counts. */
    static void salvage(StorageDirectory disk, String name, RecordConsumer each) throws IOException {
        ByteBuffer b = readFile(disk, name);
        int at = 0;
        while (at <= b.limit() - FRAME_BYTES) {
            if (isRecordAt(b, at)) {
                byte[] payload = new byte[b.getInt(at + 4)];
                b.get(at + FRAME_BYTES, payload);
                each.accept(b.getLong(at + 8), payload);
                at += FRAME_BYTES + payload.length;
            } else {
                at++;
            }
        }
    }

    private static ByteBuffer readFile(StorageDirectory disk, String name) throws IOException {
        try (InputStream in = disk.openForRead(name)) {
            return ByteBuffer.wrap(in.readAllBytes());
        }
    }

    /** Whether a record after {@code at} was made when the byte there had been durable. */
    private static boolean wasDurableAt(ByteBuffer b, int at) {
        for (int i = at; i <= b.limit() - FRAME_BYTES; i++) {
            if (b.getInt(i) == RECORD_MAGIC && b.getLong(i + 16) > at && isRecordAt(b, i)) {
                return true;
            }
        }
        return false;
    }
}
