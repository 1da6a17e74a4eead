package birchusher.core;

import java.math.BigInteger;
import java.util.List;
import java.util.Map;

/**
 * Reads fields of untyped maps that come from other processes. All methods throw an {@link InvalidInputException} that
 * names the field if it is of the wrong type or, unless a default or null is allowed, missing.
 */
public final class Fields {
    /** Invalid input; the message names the field. It has no stack trace. */
    public static final class InvalidInputException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public InvalidInputException(String message) {
            super(message, null, false, false);
        }
    }

    private static final int MAX_TEXT_LENGTH = 200;
    /** A floating-point number is accepted as a count only below this. */
    private static final double MAX_FLOATING_POINT_COUNT = 1e15;

    private Fields() {}

    /**
     * Casts a value to a map with text keys.
     *
     * @param what what the value is, for the exception's message
     */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> map(Object value, String what) {
        if (value instanceof Map<?, ?> fields) {
            return (Map<String, Object>) fields;
        }
        throw new InvalidInputException(what + ": not a map");
    }

    /** Returns a text of 1 to 200 characters. */
    public static String text(Map<String, Object> fields, String key) {
        if (fields.get(key) instanceof String text && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH) {
            return text;
        }
        throw new InvalidInputException(key + ": missing, empty, too long or not text");
    }

    /** Returns a text of 1 to 200 characters, or null if the field is missing. */
    public static String textOrNull(Map<String, Object> fields, String key) {
        return fields.get(key) == null ? null : text(fields, key);
    }

    /** Returns a boolean. */
    public static boolean flag(Map<String, Object> fields, String key) {
        if (fields.get(key) instanceof Boolean flag) {
            return flag;
        }
        throw new InvalidInputException(key + ": missing or not a boolean");
    }

    /** Returns a finite number that is not negative. */
    public static double amount(Map<String, Object> fields, String key) {
        if (fields.get(key) instanceof Number number) {
            double amount = number.doubleValue();
            if (Double.isFinite(amount) && amount >= 0) {
                return amount;
            }
        }
        throw new InvalidInputException(key + ": missing or not an amount");
    }

    /** Returns a finite number that is not negative, or the default if the field is missing. */
    public static double amountOr(Map<String, Object> fields, String key, double defaultValue) {
        return fields.get(key) == null ? defaultValue : amount(fields, key);
    }

    /** Returns a whole number from 0 to 2^63 - 1; a floating-point number counts if it is whole and below 1e15. */
    public static long count(Map<String, Object> fields, String key) {
        Object value = fields.get(key);
        if ((value instanceof Long || value instanceof Integer) && ((Number) value).longValue() >= 0) {
            return ((Number) value).longValue();
        }
        if (value instanceof Double number
                && number >= 0
                && number == Math.rint(number)
                && number < MAX_FLOATING_POINT_COUNT) {
            return number.longValue();
        }
        if (value instanceof BigInteger) {
            throw new InvalidInputException(key + ": 2^63 or more");
        }
        throw new InvalidInputException(key + ": missing or not a count");
    }

    /** Returns a whole number from 0 to 2^63 - 1, or the default if the field is missing. */
    public static long countOr(Map<String, Object> fields, String key, long defaultValue) {
        return fields.get(key) == null ? defaultValue : count(fields, key);
    }

    /** Returns a list. */
    public static List<?> list(Map<String, Object> fields, String key) {
        if (fields.get(key) instanceof List<?> list) {
            return list;
        }
        throw new InvalidInputException(key + ": missing or not a list");
    }
}
