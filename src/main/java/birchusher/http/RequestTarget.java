package birchusher.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A request's target: its path as it came, and its parameters decoded. Of a repeated parameter, the last one counts. */
public record RequestTarget(String path, Map<String, String> parameters) {
    private static final int MAX_PARAMETERS = 16;

    /** A target that can't be read; the text says what is wrong. */
    public static final class InvalidTargetException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidTargetException(String message) {
            super(message, null, false, false);
        }
    }

    public static RequestTarget parse(String target) throws InvalidTargetException {
        int q = target.indexOf('?');
        if (q < 0) {
            return new RequestTarget(target, Map.of());
        }
        Map<String, String> params = new HashMap<>();
        String[] parts = target.substring(q + 1).split("&");
        if (parts.length > MAX_PARAMETERS) {
            throw new InvalidTargetException("more than " + MAX_PARAMETERS + " parameters");
        }
        for (String part : parts) {
            int eq = part.indexOf('=');
            if (eq < 0 && !part.isEmpty()) {
                throw new InvalidTargetException(part + ": a parameter without a value");
            }
            if (eq >= 0) {
                try {
                    // Keys of the state service may hold a plus; the decoder is for forms, where it means a space.
                    params.put(
                            part.substring(0, eq),
                            URLDecoder.decode(part.substring(eq + 1).replace("+", "%2B"), StandardCharsets.UTF_8));
                } catch (IllegalArgumentException e) {
                    throw new InvalidTargetException(part.substring(0, eq) + ": not percent-encoded as it should be");
                }
            }
        }
        return new RequestTarget(target.substring(0, q), Map.copyOf(params));
    }

    /** A parameter, or what stands for its absence. */
    public String text(String name, String none) {
        return parameters.getOrDefault(name, none);
    }

    /** A parameter that is a whole number of 0 or more. */
    public long count(String name, long none) throws InvalidTargetException {
        String s = parameters.get(name);
        if (s == null) {
            return none;
        }
        try {
            long n = Long.parseLong(s);
            if (n >= 0 && !s.startsWith("+")) {
                return n;
            }
        } catch (NumberFormatException e) {
            // falls through to the same complaint
        }
        throw new InvalidTargetException(name + ": not a whole number of 0 or more");
    }
}
