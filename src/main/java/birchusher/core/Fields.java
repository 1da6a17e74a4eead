package birchusher.core;

import java.util.List;
import java.util.Map;

/** Reads loosely typed maps from outside; anything missing or of the wrong type is a {@link Bad}. */
public final class Fields {
    /** Input that can't be used; the message names the field. */
    public static final class InvalidInputException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public InvalidInputException(String message) {
            super(message, null, false, false);
        }
    }

    private Fields() {}

    @SuppressWarnings("unchecked")
    public static Map<String, Object> map(Object o, String what) {
        if (o instanceof Map<?, ?> m) {
            return (Map<String, Object>) m;
        }
        throw new InvalidInputException(what + ": not a map");
    }

    public static String text(Map<String, Object> m, String key) {
        if (m.get(key) instanceof String s && !s.isEmpty() && s.length() <= 200) {
            return s;
        }
        throw new InvalidInputException(key + ": missing, empty, too long or not text");
    }

    public static String textOrNull(Map<String, Object> m, String key) {
        return m.get(key) == null ? null : text(m, key);
    }

    public static boolean flag(Map<String, Object> m, String key) {
        if (m.get(key) instanceof Boolean b) {
            return b;
        }
        throw new InvalidInputException(key + ": missing or not a boolean");
    }

    /** A finite number that is not negative. */
    public static double amount(Map<String, Object> m, String key) {
        if (m.get(key) instanceof Number n) {
            double d = n.doubleValue();
            if (Double.isFinite(d) && d >= 0) {
                return d;
            }
        }
        throw new InvalidInputException(key + ": missing or not an amount");
    }

    public static double amountOr(Map<String, Object> m, String key, double none) {
        return m.get(key) == null ? none : amount(m, key);
    }

    public static long count(Map<String, Object> m, String key) {
        Object o = m.get(key);
        if ((o instanceof Long || o instanceof Integer) && ((Number) o).longValue() >= 0) {
            return ((Number) o).longValue();
        }
        if (o instanceof Double d && d >= 0 && d == Math.rint(d) && d < 1e15) {
            return d.longValue();
        }
        throw new InvalidInputException(key + ": missing or not a count");
    }

    public static long countOr(Map<String, Object> m, String key, long none) {
        return m.get(key) == null ? none : count(m, key);
    }

    public static List<?> list(Map<String, Object> m, String key) {
        if (m.get(key) instanceof List<?> l) {
            return l;
        }
        throw new InvalidInputException(key + ": missing or not a list");
    }
}
