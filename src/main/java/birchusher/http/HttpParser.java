package birchusher.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Parses HTTP/1.1 messages incrementally, one at a time, from bytes as they arrive. Line lengths, the number of headers
 * and the body size are bounded. Not thread-safe.
 */
public final class HttpParser {
    /** A message that cannot be parsed; {@code status} is what a server answers before it closes the connection. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;
        public final int status;

        public MalformedMessageException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    /**
     * One complete message.
     *
     * @param methodOrVersion the method of a request, the HTTP version of a response
     * @param targetOrReason the target of a request, the reason phrase of a response (empty if there is none)
     * @param status the status code of a response; 0 for a request
     * @param closesConnection whether the sender closes the connection after this message
     * @param body the whole body; empty if the message has none
     */
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
    /** Bounds the headers and, together with them, the trailers of one message. */
    private static final int MAX_HEADERS = 64;

    private static final int HTTP_SCHEME_LENGTH = "http://".length();

    private final boolean parsesRequests;
    private final int maxBodyBytes;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(128);
    private ByteArrayOutputStream body;
    private State state = State.START;
    private String methodOrVersion;
    private String targetOrReason;
    private int status;
    private boolean closesConnection;
    private boolean chunked;
    /** Whether the sender of the request waits for an interim response before it sends the body. */
    private boolean awaitsContinue;
    /** Bytes of the body or of the current chunk still to be read; below 0 if no Content-Length was seen. */
    private long remainingBytes;

    private int headerCount;

    /**
     * @param parsesRequests whether the messages are requests; otherwise they are responses
     * @param maxBodyBytes a message with a larger body is refused with status 413
     */
    public HttpParser(boolean parsesRequests, int maxBodyBytes) {
        this.parsesRequests = parsesRequests;
        this.maxBodyBytes = maxBodyBytes;
        reset();
    }

    private void reset() {
        state = State.START;
        closesConnection = false;
        chunked = false;
        awaitsContinue = false;
        remainingBytes = -1;
        headerCount = 0;
        lineBuffer.reset();
        body = new ByteArrayOutputStream(256);
    }

    /** Returns whether a message has begun and is not complete. */
    public boolean isWithinMessage() {
        return state != State.START || lineBuffer.size() > 0;
    }

    /** Returns the number of bytes kept of the body of the message that is not complete. */
    public int bufferedBodyBytes() {
        return body.size();
    }

    /** Returns once for a request whether its sender waits for {@code 100 Continue} and has sent nothing of the body yet. */
    public boolean takeAwaitsContinue() {
        boolean awaits = awaitsContinue && body.size() == 0 && (state == State.BODY || state == State.CHUNK_SIZE);
        awaitsContinue &= !awaits;
        return awaits;
    }

    /**
     * Consumes bytes until one message is complete and returns it, or null if more bytes are needed. Bytes after the
     * message stay in the buffer.
     */
    public Message feed(ByteBuffer input) throws MalformedMessageException {
        while (input.hasRemaining()) {
            switch (state) {
                case BODY, CHUNK -> {
                    int length = (int) Math.min(input.remaining(), remainingBytes);
                    byte[] part = new byte[length];
                    input.get(part);
                    body.write(part, 0, length);
                    remainingBytes -= length;
                    if (remainingBytes == 0) {
                        if (state == State.BODY) {
                            return finishMessage();
                        }
                        state = State.CHUNK_END;
                    }
                }
                default -> {
                    String line = readLine(input);
                    if (line != null) {
                        Message message = handleLine(line);
                        if (message != null) {
                            return message;
                        }
                    }
                }
            }
        }
        return null;
    }

    /** Returns the next line without its line end, or null if it is not complete yet. */
    private String readLine(ByteBuffer input) throws MalformedMessageException {
        while (input.hasRemaining()) {
            byte next = input.get();
            if (next == '\n') {
                String line = lineBuffer.toString(StandardCharsets.ISO_8859_1);
                lineBuffer.reset();
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            if (next == 0 || lineBuffer.size() >= MAX_LINE_BYTES) {
                throw new MalformedMessageException(
                        400, "line longer than " + MAX_LINE_BYTES + " bytes or with a NUL byte");
            }
            lineBuffer.write(next);
        }
        return null;
    }

    private Message handleLine(String line) throws MalformedMessageException {
        switch (state) {
            case START -> {
                if (line.isEmpty()) {
                    return null;
                }
                parseStartLine(line);
                state = State.HEADERS;
            }
            case HEADERS -> {
                if (!line.isEmpty()) {
                    parseHeader(line);
                    return null;
                }
                // Request smuggling: a proxy in front may have used the other length (RFC 9112, 6.3), so that what is
                // a body to one side is the next request to the other. Refused at once, because a body of the stated
                // length that is read as chunks never completes, and its sender would get no answer.
                if (parsesRequests && chunked && remainingBytes >= 0) {
                    throw new MalformedMessageException(400, "both Transfer-Encoding and Content-Length");
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
                int semicolon = line.indexOf(';');
                String size = (semicolon < 0 ? line : line.substring(0, semicolon)).trim();
                if (size.startsWith("+") || size.startsWith("-")) {
                    throw new MalformedMessageException(400, "invalid chunk size");
                }
                try {
                    remainingBytes = Long.parseLong(size, 16);
                } catch (NumberFormatException e) {
                    throw new MalformedMessageException(400, "invalid chunk size");
                }
                if (remainingBytes > maxBodyBytes - body.size()) {
                    throw new MalformedMessageException(413, "body exceeds the size limit");
                }
                state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new MalformedMessageException(400, "no line end after chunk data");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (line.isEmpty()) {
                    return finishMessage();
                }
                if (++headerCount > MAX_HEADERS) {
                    throw new MalformedMessageException(400, "more than " + MAX_HEADERS + " headers and trailers");
                }
            }
            default -> throw new IllegalStateException();
        }
        return null;
    }

    private void parseStartLine(String line) throws MalformedMessageException {
        String[] parts = line.split(" ", 3);
        if (parsesRequests) {
            String target = parts.length < 2 ? "" : withoutAuthority(parts[1]);
            if (parts.length != 3
                    || !parts[2].startsWith("HTTP/1.")
                    || parts[0].isEmpty()
                    || !target.startsWith("/")
                    || !parts[0].chars().allMatch(c -> c >= 'A' && c <= 'Z')) {
                throw new MalformedMessageException(400, "malformed request line");
            }
            methodOrVersion = parts[0];
            targetOrReason = target;
            closesConnection = parts[2].equals("HTTP/1.0");
        } else {
            try {
                if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
                    throw new MalformedMessageException(400, "malformed status line");
                }
                status = Integer.parseInt(parts[1]);
                methodOrVersion = parts[0];
                targetOrReason = parts.length > 2 ? parts[2] : "";
                closesConnection = parts[0].equals("HTTP/1.0");
            } catch (NumberFormatException e) {
                throw new MalformedMessageException(400, "malformed status line");
            }
        }
    }

    /** Returns a request target in absolute form ({@code http://host/path}) without scheme and host, any other as it is. */
    private static String withoutAuthority(String target) {
        if (!target.regionMatches(true, 0, "http://", 0, HTTP_SCHEME_LENGTH)) {
            return target;
        }
        int pathStart = target.indexOf('/', HTTP_SCHEME_LENGTH);
        return pathStart < 0 ? "/" : target.substring(pathStart);
    }

    private void parseHeader(String line) throws MalformedMessageException {
        int colon = line.indexOf(':');
        if (colon <= 0 || line.charAt(0) == ' ' || line.charAt(0) == '\t' || ++headerCount > MAX_HEADERS) {
            throw new MalformedMessageException(400, "malformed header or more than " + MAX_HEADERS + " headers");
        }
        String name = line.substring(0, colon);
        String value = line.substring(colon + 1).trim();
        if (name.equalsIgnoreCase("content-length")) {
            long length;
            try {
                length = Long.parseLong(value);
            } catch (NumberFormatException e) {
                throw new MalformedMessageException(400, "Content-Length is not a number");
            }
            if (length < 0 || value.charAt(0) == '+' || remainingBytes >= 0 && remainingBytes != length) {
                throw new MalformedMessageException(400, "invalid or conflicting Content-Length");
            }
            if (length > maxBodyBytes) {
                throw new MalformedMessageException(413, "body exceeds the size limit");
            }
            remainingBytes = length;
        } else if (name.equalsIgnoreCase("transfer-encoding")) {
            if (chunked || !value.equalsIgnoreCase("chunked")) {
                throw new MalformedMessageException(400, "unsupported or repeated Transfer-Encoding");
            }
            chunked = true;
        } else if (name.equalsIgnoreCase("connection")) {
            closesConnection |= value.equalsIgnoreCase("close");
        } else if (name.equalsIgnoreCase("expect")) {
            awaitsContinue = parsesRequests && value.equalsIgnoreCase("100-continue");
        } else if (name.chars().anyMatch(c -> c <= ' ')) {
            throw new MalformedMessageException(400, "whitespace in a header name");
        }
    }

    private Message finishMessage() {
        Message message = new Message(methodOrVersion, targetOrReason, status, closesConnection, body.toByteArray());
        reset();
        return message;
    }
}
