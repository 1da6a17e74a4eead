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
    private static final int VERSION = 1;
    private static final int CHANGED = 1;
    private static final int GRANTED = 2;
    private static final int ENDED = 3;
    private static final int HEAD = 10;
    private static final int LEASE = 11;
    private static final int ROW = 12;

    /** Takes one record after the other. */
    public interface Sink {
        void record(byte[] bytes) throws IOException;
    }

    private interface Fill {
        void to(DataOutputStream out) throws IOException;
    }

    private Codec() {}

    private static byte[] record(int kind, Fill fill) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(VERSION);
            out.writeByte(kind);
            fill.to(out);
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

    private static int kind(DataInputStream in) throws IOException {
        int version = in.readUnsignedByte();
        if (version != VERSION) {
            throw new IOException("version " + version + " of a record is not known here, " + VERSION + " is");
        }
        return in.readUnsignedByte();
    }

    private static IOException unknown(int kind) {
        return new IOException("kind " + kind + " of a record is not known here");
    }

    public static byte[] encode(Entry e) {
        if (e instanceof Entry.Changed c) {
            return record(CHANGED, out -> {
                out.writeInt(c.writes().size());
                for (Write w : c.writes()) {
                    out.writeBoolean(w instanceof Write.Set);
                    out.writeUTF(w.key());
                    if (w instanceof Write.Set s) {
                        value(out, s.value());
                        out.writeLong(s.lease());
                    }
                }
            });
        }
        if (e instanceof Entry.Granted g) {
            return record(GRANTED, out -> {
                out.writeLong(g.lease());
                out.writeLong(g.lifeMs());
            });
        }
        return record(ENDED, out -> out.writeLong(((Entry.Ended) e).lease()));
    }

    /** @throws IOException if it is of another version or kind, or cut off */
    public static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = kind(in);
        switch (kind) {
            case CHANGED -> {
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
                return new Entry.Changed(writes);
            }
            case GRANTED -> {
                return new Entry.Granted(in.readLong(), in.readLong());
            }
            case ENDED -> {
                return new Entry.Ended(in.readLong());
            }
            default -> throw unknown(kind);
        }
    }

    /** Gives a whole state, row by row; the state does not change meanwhile, whatever is done to newer ones. */
    public static void encode(State s, Sink to) throws IOException {
        to.record(record(HEAD, out -> {
            out.writeLong(s.revision());
            out.writeLong(s.nextLease());
        }));
        for (Lease l : s.leases().values()) {
            to.record(record(LEASE, out -> {
                out.writeLong(l.id());
                out.writeLong(l.lifeMs());
            }));
        }
        for (Map.Entry<String, Row> e : s.rows().entrySet()) {
            to.record(record(ROW, out -> {
                out.writeUTF(e.getKey());
                value(out, e.getValue().value());
                out.writeLong(e.getValue().stamp());
                out.writeLong(e.getValue().lease());
            }));
        }
    }

    /** The state with one more record of a whole one. */
    static State restored(State s, byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = kind(in);
        switch (kind) {
            case HEAD -> {
                return new State(s.rows(), s.leases(), in.readLong(), in.readLong());
            }
            case LEASE -> {
                Lease l = new Lease(in.readLong(), in.readLong());
                return new State(s.rows(), s.leases().plus(l.id(), l), s.revision(), s.nextLease());
            }
            case ROW -> {
                String key = in.readUTF();
                return s.restored(key, new Row(value(in), in.readLong(), in.readLong()));
            }
            default -> throw unknown(kind);
        }
    }
}
