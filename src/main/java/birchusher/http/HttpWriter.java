package birchusher.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes HTTP/1.1 messages. */
public final class HttpWriter {
    private HttpWriter() {}

    public static ByteBuffer request(String method, String target, String host, byte[] body) {
        return toBuffer(
                method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/msgpack\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n",
                body);
    }

    public static ByteBuffer response(int status, byte[] body, int retryAfterS, boolean close) {
        return toBuffer(
                "HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\nContent-Type: application/msgpack\r\n"
                        + "Content-Length: " + body.length + "\r\n"
                        + (retryAfterS > 0 ? "Retry-After: " + retryAfterS + "\r\n" : "")
                        + (close ? "Connection: close\r\n" : "") + "\r\n",
                body);
    }

    private static ByteBuffer toBuffer(String head, byte[] body) {
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer b = ByteBuffer.allocate(h.length + body.length);
        return b.put(h).put(body).flip();
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
