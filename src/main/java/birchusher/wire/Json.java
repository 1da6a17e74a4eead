package birchusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.math.BigInteger;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes plain maps, lists, strings, numbers and booleans as JSON, with fields sorted by name. The protocol measures
 * sizes in this form, and scripts read it. Values that were skipped when they were decoded are written as null.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Returns the size of a value as JSON without white space, in bytes of UTF-8. */
    public static int sizeBytes(Object value) {
        int[] count = {0};
        OutputStream counter = new OutputStream() {
            @Override
            public void write(int singleByte) {
                count[0]++;
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                count[0] += length;
            }
        };
        try (JsonGenerator generator = FACTORY.createGenerator(counter)) {
            write(generator, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return count[0];
    }

    /**
     * Returns a value as JSON.
     *
     * @param pretty whether to indent and break lines
     */
    public static String toText(Object value, boolean pretty) {
        StringWriter writer = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(writer)) {
            if (pretty) {
                generator.setPrettyPrinter(new DefaultPrettyPrinter());
            }
            write(generator, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return writer.toString();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value == null || value == MessagePackCodec.Unreadable.VALUE) {
            generator.writeNull();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value instanceof Double decimal) {
            generator.writeNumber(decimal);
        } else if (value instanceof BigInteger integer) {
            generator.writeNumber(integer);
        } else if (value instanceof Number integer) {
            generator.writeNumber(integer.longValue());
        } else if (value instanceof List<?> items) {
            generator.writeStartArray();
            for (Object item : items) {
                write(generator, item);
            }
            generator.writeEndArray();
        } else if (value instanceof Map<?, ?> fields) {
            generator.writeStartObject();
            TreeMap<String, Object> sorted = new TreeMap<>();
            fields.forEach((key, field) -> sorted.put((String) key, field));
            for (Map.Entry<String, Object> entry : sorted.entrySet()) {
                generator.writeFieldName(entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else {
            throw new IllegalArgumentException("no JSON form for " + value.getClass());
        }
    }
}
