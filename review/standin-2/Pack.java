import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps, lists, text, numbers, booleans and null, and the size of a value written as JSON. */
final class Pack {
    private Pack() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            write(new DataOutputStream(bytes), value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, Object value) throws IOException {
        if (value == null) {
            out.writeByte(0xc0);
        } else if (value instanceof Boolean flag) {
            out.writeByte(flag ? 0xc3 : 0xc2);
        } else if (value instanceof Double || value instanceof Float) {
            out.writeByte(0xcb);
            out.writeDouble(((Number) value).doubleValue());
        } else if (value instanceof BigInteger number) {
            out.writeByte(0xcf);
            out.writeLong(number.longValue());
        } else if (value instanceof Number number) {
            long n = number.longValue();
            if (n >= 0 && n < 128) {
                out.writeByte((int) n);
            } else {
                out.writeByte(0xd3);
                out.writeLong(n);
            }
        } else if (value instanceof String text) {
            byte[] utf = text.getBytes(StandardCharsets.UTF_8);
            if (utf.length < 32) {
                out.writeByte(0xa0 | utf.length);
            } else {
                out.writeByte(0xdb);
                out.writeInt(utf.length);
            }
            out.write(utf);
        } else if (value instanceof List<?> list) {
            out.writeByte(0xdd);
            out.writeInt(list.size());
            for (Object item : list) {
                write(out, item);
            }
        } else if (value instanceof Map<?, ?> map) {
            out.writeByte(0xdf);
            out.writeInt(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException(String.valueOf(value.getClass()));
        }
    }

    static Object decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Object value = read(in);
        if (in.hasRemaining()) {
            throw new IllegalArgumentException("bytes after the value");
        }
        return value;
    }

    private static Object read(ByteBuffer in) {
        int b = in.get() & 0xff;
        if (b < 0x80) {
            return (long) b;
        } else if (b < 0x90) {
            return map(in, b & 0x0f);
        } else if (b < 0xa0) {
            return list(in, b & 0x0f);
        } else if (b < 0xc0) {
            return text(in, b & 0x1f);
        } else if (b >= 0xe0) {
            return (long) (byte) b;
        }
        return switch (b) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xca -> (double) in.getFloat();
            case 0xcb -> in.getDouble();
            case 0xcc -> (long) (in.get() & 0xff);
            case 0xcd -> (long) (in.getShort() & 0xffff);
            case 0xce -> in.getInt() & 0xffffffffL;
            case 0xcf, 0xd3 -> in.getLong();
            case 0xd0 -> (long) in.get();
            case 0xd1 -> (long) in.getShort();
            case 0xd2 -> (long) in.getInt();
            case 0xd9 -> text(in, in.get() & 0xff);
            case 0xda -> text(in, in.getShort() & 0xffff);
            case 0xdb -> text(in, in.getInt());
            case 0xdc -> list(in, in.getShort() & 0xffff);
            case 0xdd -> list(in, in.getInt());
            case 0xde -> map(in, in.getShort() & 0xffff);
            case 0xdf -> map(in, in.getInt());
            default -> throw new IllegalArgumentException("format " + b);
        };
    }

    private static String text(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<Object> list(ByteBuffer in, int count) {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(read(in));
        }
        return list;
    }

    private static Map<String, Object> map(ByteBuffer in, int count) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String key = (String) read(in);
            map.put(key, read(in));
        }
        return map;
    }

    /** The number of bytes of a value in JSON without spaces. */
    static int jsonSize(Object value) {
        if (value instanceof String text) {
            return text.getBytes(StandardCharsets.UTF_8).length + 2;
        } else if (value instanceof List<?> list) {
            int size = 2 + Math.max(0, list.size() - 1);
            for (Object item : list) {
                size += jsonSize(item);
            }
            return size;
        } else if (value instanceof Map<?, ?> map) {
            int size = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                size += jsonSize(entry.getKey()) + 1 + jsonSize(entry.getValue());
            }
            return size;
        }
        return String.valueOf(value).length();
    }
}
