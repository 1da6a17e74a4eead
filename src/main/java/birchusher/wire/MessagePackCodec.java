package birchusher.wire;

import birchusher.core.Fields.InvalidInputException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** MessagePack bodies to plain maps and back. Depth and element counts are bounded by the input's own size. */
public final class MessagePackCodec {
    private static final int MAX_DEPTH = 12;

    private MessagePackCodec() {}

    public static Object decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            Object o = read(in, 0, bytes.length);
            if (in.hasNext()) {
                throw new InvalidInputException("body: bytes after its end");
            }
            return o;
        } catch (IOException | MessagePackException e) {
            throw new InvalidInputException("body: not MessagePack");
        }
    }

    private static Object read(MessageUnpacker in, int depth, int size) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new InvalidInputException("body: nested too deep");
        }
        switch (in.getNextFormat().getValueType()) {
            case NIL -> {
                in.unpackNil();
                return null;
            }
            case BOOLEAN -> {
                return in.unpackBoolean();
            }
            case INTEGER -> {
                return in.unpackLong();
            }
            case FLOAT -> {
                return in.unpackDouble();
            }
            case STRING -> {
                return in.unpackString();
            }
            case ARRAY -> {
                int n = checkCount(in.unpackArrayHeader(), size);
                List<Object> list = new ArrayList<>(Math.min(n, 1024));
                for (int i = 0; i < n; i++) {
                    list.add(read(in, depth + 1, size));
                }
                return list;
            }
            case MAP -> {
                int n = checkCount(in.unpackMapHeader(), size);
                Map<String, Object> map = new HashMap<>(Math.min(n, 64) * 2);
                for (int i = 0; i < n; i++) {
                    map.put(in.unpackString(), read(in, depth + 1, size));
                }
                return map;
            }
            default -> throw new InvalidInputException("body: a type that is not used here");
        }
    }

    /** A header may claim more elements than the body has bytes: refuse before reserving memory for them. */
    private static int checkCount(int n, int size) {
        if (n < 0 || n > size) {
            throw new InvalidInputException("body: cut off");
        }
        return n;
    }

    public static byte[] encode(Object o) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            write(out, o);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(MessageBufferPacker out, Object o) throws IOException {
        if (o == null) {
            out.packNil();
        } else if (o instanceof String s) {
            out.packString(s);
        } else if (o instanceof Boolean b) {
            out.packBoolean(b);
        } else if (o instanceof Double d) {
            out.packDouble(d);
        } else if (o instanceof Number n) {
            out.packLong(n.longValue());
        } else if (o instanceof List<?> l) {
            out.packArrayHeader(l.size());
            for (Object e : l) {
                write(out, e);
            }
        } else if (o instanceof Map<?, ?> m) {
            out.packMapHeader(m.size());
            for (Map.Entry<?, ?> e : m.entrySet()) {
                out.packString((String) e.getKey());
                write(out, e.getValue());
            }
        } else {
            throw new IllegalArgumentException("no wire form for " + o.getClass());
        }
    }
}
