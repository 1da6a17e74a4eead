package birchusher.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Parses HTTP/1.1 messages from bytes as they come, one at a time; all lengths are bounded. */
public final class HttpParser {
    /** A message that can't be parsed; {@code status} is what a server answers before closing. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;
        public final int status;

        public MalformedMessageException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    /** One whole message. For requests {@code first} is the method and {@code second} the target. */
    public record Message(
            String methodOrVersion, String targetOrReason, int status, boolean closesConnection, byte[] body) {}

    private enum State {
        START,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADERS = 64;

    private final boolean parsesRequests;
    private final int maxBodyBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private ByteArrayOutputStream body;
    private State state = State.START;
    private String methodOrVersion;
    private String targetOrReason;
    private int status;
    private boolean closesConnection;
    private boolean chunked;
    private long remainingBytes;
    private int headerCount;

    public HttpParser(boolean request, int maxBody) {
        this.parsesRequests = request;
        this.maxBodyBytes = maxBody;
        reset();
    }

    private void reset() {
        state = State.START;
        closesConnection = false;
        chunked = false;
        remainingBytes = -1;
        headerCount = 0;
        line.reset();
        body = new ByteArrayOutputStream(256);
    }

    /** Whether a message has begun and is not complete. */
    public boolean isWithinMessage() {
        return state != State.START || line.size() > 0;
    }

    /** Takes bytes until one message is complete; null if more bytes are needed. */
    public Message feed(ByteBuffer in) throws MalformedMessageException {
        while (in.hasRemaining()) {
            switch (state) {
                case BODY, CHUNK -> {
                    int n = (int) Math.min(in.remaining(), remainingBytes);
                    byte[] part = new byte[n];
                    in.get(part);
                    body.write(part, 0, n);
                    remainingBytes -= n;
                    if (remainingBytes == 0) {
                        if (state == State.BODY) {
                            return finishMessage();
                        }
                        state = State.CHUNK_END;
                    }
                }
                default -> {
                    String l = line(in);
                    if (l != null) {
                        Message m = handleLine(l);
                        if (m != null) {
                            return m;
                        }
                    }
                }
            }
        }
        return null;
    }

    private String line(ByteBuffer in) throws MalformedMessageException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String l = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                return l.endsWith("\r") ? l.substring(0, l.length() - 1) : l;
            }
            if (b == 0 || line.size() >= MAX_LINE_BYTES) {
                throw new MalformedMessageException(400, "line too long or with a zero byte");
            }
            line.write(b);
        }
        return null;
    }

    private Message handleLine(String l) throws MalformedMessageException {
        switch (state) {
            case START -> {
                if (l.isEmpty()) {
                    return null;
                }
                parseStartLine(l);
                state = State.HEADERS;
            }
            case HEADERS -> {
                if (!l.isEmpty()) {
                    parseHeader(l);
                    return null;
                }
                // Two lengths: whoever stands before us may have gone by the other one (RFC 9112, 6.3), so that what
                // one
                // takes for a body is the next request to the other. It must not be waited for either: a body of the
                // stated length, read as chunks, was never complete, and its sender got no answer.
                if (parsesRequests && chunked && remainingBytes >= 0) {
                    throw new MalformedMessageException(400, "both transfer-encoding and content-length");
                }
                if (chunked) {
                    state = State.CHUNK_SIZE;
                    return null;
                }
                if (remainingBytes < 0) {
                    remainingBytes = 0;
                }
                if (remainingBytes == 0) {
                    return finishMessage();
                }
                state = State.BODY;
            }
            case CHUNK_SIZE -> {
                int semi = l.indexOf(';');
                String size = (semi < 0 ? l : l.substring(0, semi)).trim();
                if (size.startsWith("+") || size.startsWith("-")) {
                    throw new MalformedMessageException(400, "bad chunk size");
                }
                try {
                    remainingBytes = Long.parseLong(size, 16);
                } catch (NumberFormatException e) {
                    throw new MalformedMessageException(400, "bad chunk size");
                }
                if (remainingBytes > maxBodyBytes - body.size()) {
                    throw new MalformedMessageException(413, "body too large");
                }
                state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!l.isEmpty()) {
                    throw new MalformedMessageException(400, "bad chunk end");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (l.isEmpty()) {
                    return finishMessage();
                }
                if (++headerCount > MAX_HEADERS) {
                    throw new MalformedMessageException(400, "too many headers");
                }
            }
            default -> throw new IllegalStateException();
        }
        return null;
    }

    private void parseStartLine(String l) throws MalformedMessageException {
        String[] p = l.split(" ", 3);
        if (parsesRequests) {
            if (p.length != 3
                    || !p[2].startsWith("HTTP/1.")
                    || p[0].isEmpty()
                    || !p[1].startsWith("/")
                    || !p[0].chars().allMatch(c -> c >= 'A' && c <= 'Z')) {
                throw new MalformedMessageException(400, "bad request line");
            }
            methodOrVersion = p[0];
            targetOrReason = p[1];
            closesConnection = p[2].equals("HTTP/1.0");
        } else {
            try {
                if (p.length < 2 || !p[0].startsWith("HTTP/1.")) {
                    throw new MalformedMessageException(400, "bad status line");
                }
                status = Integer.parseInt(p[1]);
                methodOrVersion = p[0];
                targetOrReason = p.length > 2 ? p[2] : "";
                closesConnection = p[0].equals("HTTP/1.0");
            } catch (NumberFormatException e) {
                throw new MalformedMessageException(400, "bad status line");
            }
        }
    }

    private void parseHeader(String l) throws MalformedMessageException {
        int colon = l.indexOf(':');
        if (colon <= 0 || l.charAt(0) == ' ' || l.charAt(0) == '\t' || ++headerCount > MAX_HEADERS) {
            throw new MalformedMessageException(400, "bad header");
        }
        String name = l.substring(0, colon);
        String value = l.substring(colon + 1).trim();
        if (name.equalsIgnoreCase("content-length")) {
            long n;
            try {
                n = Long.parseLong(value);
            } catch (NumberFormatException e) {
                throw new MalformedMessageException(400, "bad content-length");
            }
            if (n < 0 || value.charAt(0) == '+' || remainingBytes >= 0 && remainingBytes != n) {
                throw new MalformedMessageException(400, "bad content-length");
            }
            if (n > maxBodyBytes) {
                throw new MalformedMessageException(413, "body too large");
            }
            remainingBytes = n;
        } else if (name.equalsIgnoreCase("transfer-encoding")) {
            if (chunked || !value.equalsIgnoreCase("chunked")) {
                throw new MalformedMessageException(400, "unknown transfer-encoding");
            }
            chunked = true;
        } else if (name.equalsIgnoreCase("connection")) {
            closesConnection |= value.equalsIgnoreCase("close");
        } else if (name.chars().anyMatch(c -> c <= ' ')) {
            throw new MalformedMessageException(400, "bad header");
        }
    }

    private Message finishMessage() {
        Message m = new Message(methodOrVersion, targetOrReason, status, closesConnection, body.toByteArray());
        reset();
        return m;
    }
}
