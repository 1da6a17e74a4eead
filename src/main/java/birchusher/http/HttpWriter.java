package birchusher.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Serializes HTTP/1.1 requests and responses with MessagePack bodies. */
public final class HttpWriter {
    private HttpWriter() {}

    /** Returns a whole request, ready to be written. */
    public static ByteBuffer request(String method, String target, String host, byte[] body) {
        return toBuffer(
                method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/msgpack\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n",
                body);
    }

    /**
     * Returns a whole response, ready to be written.
     *
     * @param retryAfterS value of the Retry-After header in seconds; 0 for no header
     * @param close whether to announce that the connection is closed afterwards
     */
    public static ByteBuffer response(int status, byte[] body, int retryAfterS, boolean close) {
        return toBuffer(
                "HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\nContent-Type: application/msgpack\r\n"
                        + "Content-Length: " + body.length + "\r\n"
                        + (retryAfterS > 0 ? "Retry-After: " + retryAfterS + "\r\n" : "")
                        + (close ? "Connection: close\r\n" : "") + "\r\n",
                body);
    }

    /** Returns the interim response that asks the sender of a request for its body. */
    public static ByteBuffer continueResponse() {
        return toBuffer("HTTP/1.1 100 Continue\r\n\r\n", new byte[0]);
    }

    private static ByteBuffer toBuffer(String head, byte[] body) {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer buffer = ByteBuffer.allocate(headBytes.length + body.length);
        return buffer.put(headBytes).put(body).flip();
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 201 -> "Created";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 410 -> "Gone";
            case 413 -> "Content Too Large";
            case 421 -> "Misdirected Request";
            case 422 -> "Unprocessable Content";
            case 429 -> "Too Many Requests";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}
