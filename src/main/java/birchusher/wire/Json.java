package birchusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Plain maps as JSON: the form in which the protocol counts sizes, and what scripts read. Fields come sorted by name. */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** The bytes that this would take as JSON without white space. */
    public static int sizeBytes(Object o) {
        int[] n = {0};
        OutputStream counted = new OutputStream() {
            @Override
            public void write(int b) {
                n[0]++;
            }

            @Override
            public void write(byte[] b, int from, int length) {
                n[0] += length;
            }
        };
        try (JsonGenerator g = FACTORY.createGenerator(counted)) {
            write(g, o);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return n[0];
    }

    public static String toText(Object o, boolean pretty) {
        StringWriter to = new StringWriter();
        try (JsonGenerator g = FACTORY.createGenerator(to)) {
            if (pretty) {
                g.setPrettyPrinter(new DefaultPrettyPrinter());
            }
            write(g, o);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return to.toString();
    }

    private static void write(JsonGenerator g, Object o) throws IOException {
        if (o == null) {
            g.writeNull();
        } else if (o instanceof String s) {
            g.writeString(s);
        } else if (o instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (o instanceof Double d) {
            g.writeNumber(d);
        } else if (o instanceof Number n) {
            g.writeNumber(n.longValue());
        } else if (o instanceof List<?> l) {
            g.writeStartArray();
            for (Object e : l) {
                write(g, e);
            }
            g.writeEndArray();
        } else if (o instanceof Map<?, ?> m) {
            g.writeStartObject();
            TreeMap<String, Object> sorted = new TreeMap<>();
            m.forEach((k, v) -> sorted.put((String) k, v));
            for (Map.Entry<String, Object> e : sorted.entrySet()) {
                g.writeFieldName(e.getKey());
                write(g, e.getValue());
            }
            g.writeEndObject();
        } else {
            throw new IllegalArgumentException("no JSON form for " + o.getClass());
        }
    }
}
