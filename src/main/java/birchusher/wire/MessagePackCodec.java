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

/**
 * Converts between MessagePack and plain maps, lists, strings, numbers and booleans. The nesting of the input is
 * bounded, and its element counts are bounded by its size.
 */
public final class MessagePackCodec {
    private static final int MAX_DEPTH = 12;

    private MessagePackCodec() {}

    /**
     * Decodes one value.
     *
     * @throws InvalidInputException if the bytes are not exactly one valid value
     */
    public static Object decode(byte[] bytes) {
        try (MessageUnpacker input = MessagePack.newDefaultUnpacker(bytes)) {
            Object value = read(input, 0, bytes.length);
            if (input.hasNext()) {
                throw new InvalidInputException("body: bytes after the end of the value");
            }
            return value;
        } catch (IOException | MessagePackException e) {
            throw new InvalidInputException("body: not MessagePack");
        }
    }

    private static Object read(MessageUnpacker input, int depth, int bodyBytes) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new InvalidInputException("body: nested too deep, over " + MAX_DEPTH + " levels");
        }
        switch (input.getNextFormat().getValueType()) {
            case NIL -> {
                input.unpackNil();
                return null;
            }
            case BOOLEAN -> {
                return input.unpackBoolean();
            }
            case INTEGER -> {
                return input.unpackLong();
            }
            case FLOAT -> {
                return input.unpackDouble();
            }
            case STRING -> {
                return input.unpackString();
            }
            case ARRAY -> {
                int count = checkCount(input.unpackArrayHeader(), bodyBytes);
                List<Object> list = new ArrayList<>(Math.min(count, 1024));
                for (int i = 0; i < count; i++) {
                    list.add(read(input, depth + 1, bodyBytes));
                }
                return list;
            }
            case MAP -> {
                int count = checkCount(input.unpackMapHeader(), bodyBytes);
                Map<String, Object> map = new HashMap<>(Math.min(count, 64) * 2);
                for (int i = 0; i < count; i++) {
                    map.put(input.unpackString(), read(input, depth + 1, bodyBytes));
                }
                return map;
            }
            default -> throw new InvalidInputException("body: unsupported MessagePack type");
        }
    }

    /** Refuses a header that claims more elements than the body has bytes, before memory is allocated for them. */
    private static int checkCount(int count, int bodyBytes) {
        if (count < 0 || count > bodyBytes) {
            throw new InvalidInputException("body: cut off");
        }
        return count;
    }

    /**
     * Encodes one value.
     *
     * @throws IllegalArgumentException if the value holds an unsupported type
     */
    public static byte[] encode(Object value) {
        try (MessageBufferPacker output = MessagePack.newDefaultBufferPacker()) {
            write(output, value);
            return output.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(MessageBufferPacker output, Object value) throws IOException {
        if (value == null) {
            output.packNil();
        } else if (value instanceof String text) {
            output.packString(text);
        } else if (value instanceof Boolean flag) {
            output.packBoolean(flag);
        } else if (value instanceof Double decimal) {
            output.packDouble(decimal);
        } else if (value instanceof Number integer) {
            output.packLong(integer.longValue());
        } else if (value instanceof List<?> items) {
            output.packArrayHeader(items.size());
            for (Object item : items) {
                write(output, item);
            }
        } else if (value instanceof Map<?, ?> fields) {
            output.packMapHeader(fields.size());
            for (Map.Entry<?, ?> entry : fields.entrySet()) {
                output.packString((String) entry.getKey());
                write(output, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("no wire form for " + value.getClass());
        }
    }
}
