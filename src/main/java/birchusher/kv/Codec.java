package birchusher.kv;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The stored format of log entries and of a whole state. Each record begins with the format version and the record kind, one
 * byte each.
 *
 * <pre>
 * entry     1 rows changed: int count, count times (boolean set, key, then if set: int length, value, long lease)
 *           2 lease granted: long lease, long time to live in ms      3 lease ended: long lease
 * snapshot  10 header: long revision, long next lease     11 lease: long id, long time to live in ms
 *           12 row: key, int length, value, long revision of its last change, long lease
 * </pre>
 *
 * Keys are encoded as modified UTF-8. A state is written as its header, all leases and all rows, in this order.
 */
public final class Codec {
    private static final int FORMAT_VERSION = 1;
    private static final int ROWS_CHANGED_KIND = 1;
    private static final int LEASE_GRANTED_KIND = 2;
    private static final int LEASE_ENDED_KIND = 3;
    private static final int HEADER_KIND = 10;
    private static final int LEASE_KIND = 11;
    private static final int ROW_KIND = 12;

    /** Receives the records in order. */
    public interface RecordSink {
        void accept(byte[] bytes) throws IOException;
    }

    /** Writes the fields of a record after its version and kind. */
    private interface RecordBody {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private Codec() {}

    private static byte[] encodeRecord(int kind, RecordBody body) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(FORMAT_VERSION);
            out.writeByte(kind);
            body.writeTo(out);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void writeValue(DataOutputStream out, byte[] value) throws IOException {
        out.writeInt(value.length);
        out.write(value);
    }

    private static byte[] readValue(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("invalid value length of " + length + " bytes");
        }
        return in.readNBytes(length);
    }

    private static int readKind(DataInputStream in) throws IOException {
        int version = in.readUnsignedByte();
        if (version != FORMAT_VERSION) {
            throw new IOException(
                    "version " + version + " of the record format is not supported, only " + FORMAT_VERSION + " is");
        }
        return in.readUnsignedByte();
    }

    private static IOException unknownKind(int kind) {
        return new IOException("kind " + kind + " of a record is unknown");
    }

    /** Encodes a log entry. */
    public static byte[] encode(Entry entry) {
        if (entry instanceof Entry.RowsChanged changed) {
            return encodeRecord(ROWS_CHANGED_KIND, out -> {
                out.writeInt(changed.writes().size());
                for (Write write : changed.writes()) {
                    out.writeBoolean(write instanceof Write.Set);
                    out.writeUTF(write.key());
                    if (write instanceof Write.Set set) {
                        writeValue(out, set.value());
                        out.writeLong(set.leaseId());
                    }
                }
            });
        }
        if (entry instanceof Entry.LeaseGranted granted) {
            return encodeRecord(LEASE_GRANTED_KIND, out -> {
                out.writeLong(granted.leaseId());
                out.writeLong(granted.ttlMs());
            });
        }
        return encodeRecord(LEASE_ENDED_KIND, out -> out.writeLong(((Entry.LeaseEnded) entry).leaseId()));
    }

    /**
     * Decodes a log entry.
     *
     * @throws IOException if it has another version, an unknown kind, or is truncated
     */
    public static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = readKind(in);
        switch (kind) {
            case ROWS_CHANGED_KIND -> {
                int count = in.readInt();
                if (count < 0 || count > bytes.length) {
                    throw new IOException("invalid count of " + count + " changed rows");
                }
                List<Write> writes = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    boolean set = in.readBoolean();
                    String key = in.readUTF();
                    writes.add(set ? new Write.Set(key, readValue(in), in.readLong()) : new Write.Remove(key));
                }
                return new Entry.RowsChanged(writes);
            }
            case LEASE_GRANTED_KIND -> {
                return new Entry.LeaseGranted(in.readLong(), in.readLong());
            }
            case LEASE_ENDED_KIND -> {
                return new Entry.LeaseEnded(in.readLong());
            }
            default -> throw unknownKind(kind);
        }
    }

    /** Passes all records of a state to the sink. The state is immutable, so newer ones may be made concurrently. */
    public static void encode(State state, RecordSink sink) throws IOException {
        sink.accept(encodeRecord(HEADER_KIND, out -> {
            out.writeLong(state.revision());
            out.writeLong(state.nextLeaseId());
        }));
        for (Lease lease : state.leases().values()) {
            sink.accept(encodeRecord(LEASE_KIND, out -> {
                out.writeLong(lease.id());
                out.writeLong(lease.ttlMs());
            }));
        }
        for (Map.Entry<String, Row> entry : state.rows().entrySet()) {
            sink.accept(encodeRecord(ROW_KIND, out -> {
                out.writeUTF(entry.getKey());
                writeValue(out, entry.getValue().value());
                out.writeLong(entry.getValue().modRevision());
                out.writeLong(entry.getValue().leaseId());
            }));
        }
    }

    /** Returns the state with one more record of a snapshot applied. */
    static State withRestoredRecord(State state, byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = readKind(in);
        switch (kind) {
            case HEADER_KIND -> {
                return new State(state.rows(), state.leases(), in.readLong(), in.readLong());
            }
            case LEASE_KIND -> {
                Lease lease = new Lease(in.readLong(), in.readLong());
                return new State(
                        state.rows(), state.leases().plus(lease.id(), lease), state.revision(), state.nextLeaseId());
            }
            case ROW_KIND -> {
                String key = in.readUTF();
                return state.withRestoredRow(key, new Row(readValue(in), in.readLong(), in.readLong()));
            }
            default -> throw unknownKind(kind);
        }
    }
}
