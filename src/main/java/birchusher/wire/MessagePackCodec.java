package birchusher.wire;

import birchusher.core.Fields.InvalidInputException;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Converts between MessagePack and plain maps, lists, strings, numbers and booleans.
 *
 * <p>A receiver ignores what it does not ask for, so no value is judged before it is asked for: one without a plain form (binary data, an extension,
 * more than 12 levels) is skipped and stands as {@link Unreadable} in what is returned, which {@link birchusher.core.Fields} refuses by the name of
 * its field. Entries of maps whose keys are not text are left out. Of a repeated key the last value counts. Integers from 2^63 to below 2^64 are
 * {@link BigInteger}, all others {@link Long}.
 *
 * <p>Stack depth is bounded, and memory by the size of the input.
 */
public final class MessagePackCodec {
    private static final int MAX_DEPTH = 12;

    /** Stands for a value that was skipped. */
    public enum Unreadable {
        VALUE
    }

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
        switch (input.getNextFormat().getValueType()) {
            case NIL -> {
                input.unpackNil();
                return null;
            }
            case BOOLEAN -> {
                return input.unpackBoolean();
            }
            case INTEGER -> {
                return readInteger(input);
            }
            case FLOAT -> {
                return input.unpackDouble();
            }
            case STRING -> {
                return input.unpackString();
            }
            case ARRAY -> {
                return depth < MAX_DEPTH ? readList(input, depth, bodyBytes) : skip(input, bodyBytes);
            }
            case MAP -> {
                return depth < MAX_DEPTH ? readMap(input, depth, bodyBytes) : skip(input, bodyBytes);
            }
            default -> {
                return skip(input, bodyBytes);
            }
        }
    }

    private static Object readInteger(MessageUnpacker input) throws IOException {
        if (input.getNextFormat() != MessageFormat.UINT64) {
            return input.unpackLong();
        }
        BigInteger integer = input.unpackBigInteger();
        return integer.bitLength() < Long.SIZE ? (Object) integer.longValue() : integer;
    }

    private static List<Object> readList(MessageUnpacker input, int depth, int bodyBytes) throws IOException {
        int count = checkCount(input.unpackArrayHeader(), bodyBytes);
        List<Object> list = new ArrayList<>(Math.min(count, 1024));
        for (int i = 0; i < count; i++) {
            list.add(read(input, depth + 1, bodyBytes));
        }
        return list;
    }

    private static Map<String, Object> readMap(MessageUnpacker input, int depth, int bodyBytes) throws IOException {
        int count = checkCount(input.unpackMapHeader(), bodyBytes);
        Map<String, Object> map = new HashMap<>(Math.min(count, 64) * 2);
        for (int i = 0; i < count; i++) {
            if (input.getNextFormat().getValueType() == ValueType.STRING) {
                map.put(input.unpackString(), read(input, depth + 1, bodyBytes));
            } else {
                skip(input, bodyBytes);
                skip(input, bodyBytes);
            }
        }
        return map;
    }

    /** Skips one value of any depth, without recursion. */
    private static Unreadable skip(MessageUnpacker input, int bodyBytes) throws IOException {
        long remainingValues = 1;
        while (remainingValues > 0) {
            remainingValues--;
            switch (input.getNextFormat().getValueType()) {
                case ARRAY -> remainingValues += checkCount(input.unpackArrayHeader(), bodyBytes);
                case MAP -> remainingValues += 2L * checkCount(input.unpackMapHeader(), bodyBytes);
                default -> input.skipValue();
            }
        }
        return Unreadable.VALUE;
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
     * @throws InvalidInputException if the value was decoded from one without a plain form
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
        } else if (value instanceof BigInteger integer) {
            output.packBigInteger(integer);
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
        } else if (value == Unreadable.VALUE) {
            throw new InvalidInputException("value: binary data, an extension or over " + MAX_DEPTH + " levels");
        } else {
            throw new IllegalArgumentException("no wire form for " + value.getClass());
        }
    }
}
