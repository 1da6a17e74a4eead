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
 * The durable forms of entries and of a state, each a record that begins with its version and its kind.
 *
 * <pre>
 * entry  1 changed: int count, count times (boolean set, key, then if set: int length, value, long lease)
 *        2 granted: long lease, long life in ms      3 ended: long lease
 * row    10 head: long revision, long next lease     11 lease: long id, long life in ms
 *        12 row: key, int length, value, long stamp, long lease
 * </pre>
 *
 * Keys are modified UTF-8. A state is its head, all leases, all rows, in this order.
 */
public final class Codec {
    private static final int FORMAT_VERSION = 1;
    private static final int ROWS_CHANGED_KIND = 1;
    private static final int LEASE_GRANTED_KIND = 2;
    private static final int LEASE_ENDED_KIND = 3;
    private static final int HEADER_KIND = 10;
    private static final int LEASE_KIND = 11;
    private static final int ROW_KIND = 12;

    /** Takes one record after the other. */
    public interface RecordSink {
        void accept(byte[] bytes) throws IOException;
    }

    private interface RecordBody {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private Codec() {}

    private static byte[] encodeRecord(int kind, RecordBody fill) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(FORMAT_VERSION);
            out.writeByte(kind);
            fill.writeTo(out);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void value(DataOutputStream out, byte[] value) throws IOException {
        out.writeInt(value.length);
        out.write(value);
    }

    private static byte[] value(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("a value of " + length + " bytes");
        }
        return in.readNBytes(length);
    }

    private static int readKind(DataInputStream in) throws IOException {
        int version = in.readUnsignedByte();
        if (version != FORMAT_VERSION) {
            throw new IOException("version " + version + " of a record is not known here, " + FORMAT_VERSION + " is");
        }
        return in.readUnsignedByte();
    }

    private static IOException unknownKind(int kind) {
        return new IOException("kind " + kind + " of a record is not known here");
    }

    public static byte[] encode(Entry e) {
        if (e instanceof Entry.RowsChanged c) {
            return encodeRecord(ROWS_CHANGED_KIND, out -> {
                out.writeInt(c.writes().size());
                for (Write w : c.writes()) {
                    out.writeBoolean(w instanceof Write.Set);
                    out.writeUTF(w.key());
                    if (w instanceof Write.Set s) {
                        value(out, s.value());
                        out.writeLong(s.leaseId());
                    }
                }
            });
        }
        if (e instanceof Entry.LeaseGranted g) {
            return encodeRecord(LEASE_GRANTED_KIND, out -> {
                out.writeLong(g.leaseId());
                out.writeLong(g.ttlMs());
            });
        }
        return encodeRecord(LEASE_ENDED_KIND, out -> out.writeLong(((Entry.LeaseEnded) e).leaseId()));
    }

    /** @throws IOException if it is of another version or kind, or cut off */
    public static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = readKind(in);
        switch (kind) {
            case ROWS_CHANGED_KIND -> {
                int count = in.readInt();
                if (count < 0 || count > bytes.length) {
                    throw new IOException("a change of " + count + " rows");
                }
                List<Write> writes = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    boolean set = in.readBoolean();
                    String key = in.readUTF();
                    writes.add(set ? new Write.Set(key, value(in), in.readLong()) : new Write.Remove(key));
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

    /** Gives a whole state, row by row; the state does not change meanwhile, whatever is done to newer ones. */
    public static void encode(State s, RecordSink to) throws IOException {
        to.accept(encodeRecord(HEADER_KIND, out -> {
            out.writeLong(s.revision());
            out.writeLong(s.nextLeaseId());
        }));
        for (Lease l : s.leases().values()) {
            to.accept(encodeRecord(LEASE_KIND, out -> {
                out.writeLong(l.id());
                out.writeLong(l.ttlMs());
            }));
        }
        for (Map.Entry<String, Row> e : s.rows().entrySet()) {
            to.accept(encodeRecord(ROW_KIND, out -> {
                out.writeUTF(e.getKey());
                value(out, e.getValue().value());
                out.writeLong(e.getValue().modRevision());
                out.writeLong(e.getValue().leaseId());
            }));
        }
    }

    /** The state with one more record of a whole one. */
    static State withRestoredRecord(State s, byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = readKind(in);
        switch (kind) {
            case HEADER_KIND -> {
                return new State(s.rows(), s.leases(), in.readLong(), in.readLong());
            }
            case LEASE_KIND -> {
                Lease l = new Lease(in.readLong(), in.readLong());
                return new State(s.rows(), s.leases().plus(l.id(), l), s.revision(), s.nextLeaseId());
            }
            case ROW_KIND -> {
                String key = in.readUTF();
                return s.withRestoredRow(key, new Row(value(in), in.readLong(), in.readLong()));
            }
            default -> throw unknownKind(kind);
        }
    }
}
