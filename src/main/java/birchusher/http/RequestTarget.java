package birchusher.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * The target of an HTTP request. Of a repeated parameter, the last value counts.
 *
 * @param path the path as received, not percent-decoded
 * @param parameters the query parameters by name, values percent-decoded
 */
public record RequestTarget(String path, Map<String, String> parameters) {
    private static final int MAX_PARAMETERS = 16;
    /** Length of a percent-encoded byte, such as {@code %2D}. */
    private static final int ENCODED_LENGTH = 3;

    /** A target that cannot be parsed; the message says why. */
    public static final class InvalidTargetException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidTargetException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Returns a path with the percent-encoded letters, digits, hyphens, periods, underscores and tildes decoded, which mean the same in both
     * spellings (RFC 3986, 2.3). All else stays as it is.
     */
    public static String withUnreservedDecoded(String path) {
        if (path.indexOf('%') < 0) {
            return path;
        }
        StringBuilder decoded = new StringBuilder(path.length());
        int position = 0;
        while (position < path.length()) {
            int code = encodedByte(path, position);
            boolean decodes = isUnreserved(code);
            decoded.append(decodes ? (char) code : path.charAt(position));
            position += decodes ? ENCODED_LENGTH : 1;
        }
        return decoded.toString();
    }

    /** The byte that is percent-encoded at a position, or -1 if none is. */
    private static int encodedByte(String path, int position) {
        if (path.charAt(position) != '%' || position + ENCODED_LENGTH > path.length()) {
            return -1;
        }
        int highDigit = Character.digit(path.charAt(position + 1), 16);
        int lowDigit = Character.digit(path.charAt(position + 2), 16);
        return highDigit < 0 || lowDigit < 0 ? -1 : highDigit * 16 + lowDigit;
    }

    private static boolean isUnreserved(int code) {
        return code >= 'a' && code <= 'z'
                || code >= 'A' && code <= 'Z'
                || code >= '0' && code <= '9'
                || code >= 0 && "-._~".indexOf(code) >= 0;
    }

    /** Parses a target of the form {@code /path?name=value&...}. */
    public static RequestTarget parse(String target) throws InvalidTargetException {
        int questionMark = target.indexOf('?');
        if (questionMark < 0) {
            return new RequestTarget(target, Map.of());
        }
        Map<String, String> parameters = new HashMap<>();
        String[] parts = target.substring(questionMark + 1).split("&");
        if (parts.length > MAX_PARAMETERS) {
            throw new InvalidTargetException("more than " + MAX_PARAMETERS + " parameters");
        }
        for (String part : parts) {
            int equalsSign = part.indexOf('=');
            if (equalsSign < 0 && !part.isEmpty()) {
                throw new InvalidTargetException(part + ": parameter without a value");
            }
            if (equalsSign >= 0) {
                try {
                    // Keys of the state service may contain a plus sign; URLDecoder, made for forms, would turn it into
                    // a space.
                    parameters.put(
                            part.substring(0, equalsSign),
                            URLDecoder.decode(
                                    part.substring(equalsSign + 1).replace("+", "%2B"), StandardCharsets.UTF_8));
                } catch (IllegalArgumentException e) {
                    throw new InvalidTargetException(part.substring(0, equalsSign) + ": invalid percent-encoding");
                }
            }
        }
        return new RequestTarget(target.substring(0, questionMark), Map.copyOf(parameters));
    }

    /** Returns a parameter's value, or {@code defaultValue} if it is missing. */
    public String text(String name, String defaultValue) {
        return parameters.getOrDefault(name, defaultValue);
    }

    /** Returns a parameter that is an integer of 0 or more, or {@code defaultValue} if it is missing. */
    public long count(String name, long defaultValue) throws InvalidTargetException {
        String value = parameters.get(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= 0 && !value.startsWith("+")) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Falls through to the exception below.
        }
        throw new InvalidTargetException(name + ": not an integer of 0 or more");
    }
}
