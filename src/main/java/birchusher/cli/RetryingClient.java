package birchusher.cli;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.HttpParser;
import birchusher.http.HttpWriter;
import birchusher.settings.Settings.Address;
import birchusher.settings.SettingsReader;
import birchusher.wire.MessagePackCodec;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Sends requests to a daemon or a controller and retries them until a deadline; every request of the protocol may be repeated.
 * Temporary refusals (429, 5xx) and lost connections are retried with exponential backoff and jitter.
 */
final class RetryingClient {
    private static final int SOCKET_TIMEOUT_MS = 5_000;
    private static final long MIN_RETRY_DELAY_MS = 200;
    private static final long MAX_RETRY_DELAY_MS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int READ_BUFFER_BYTES = 4_096;
    private static final int NS_PER_MS = 1_000_000;

    /** A complete response that is final for its request. */
    record Response(int status, Map<String, Object> body) {
        boolean isSuccess() {
            return status == 200 || status == 201;
        }

        /** The status with the error text of the server. */
        String errorMessage() {
            return status + " " + body.getOrDefault("error", "");
        }
    }

    /** No final response before the deadline: whether the request was executed is not known. */
    static final class DeadlineExceededException extends IOException {
        private static final long serialVersionUID = 1;

        DeadlineExceededException(String message) {
            super(message);
        }
    }

    private final String server;
    private final Address address;
    private final long deadlineMs;
    private final SplittableRandom random = new SplittableRandom();

    /** @param deadlineS time limit of each call in seconds, its retries included */
    RetryingClient(String server, double deadlineS) {
        this.server = server;
        this.address = SettingsReader.parseAddress(server, "--server");
        this.deadlineMs = Math.round(deadlineS * 1000);
    }

    /**
     * Sends a request until a final response arrives.
     *
     * @param body null for an empty body
     * @throws DeadlineExceededException if the deadline passes first
     */
    Response call(String method, String path, Object body) throws IOException, InterruptedException {
        byte[] encodedBody = body == null ? new byte[0] : MessagePackCodec.encode(body);
        long endMs = System.nanoTime() / NS_PER_MS + deadlineMs;
        long delayMs = MIN_RETRY_DELAY_MS;
        while (true) {
            String lastError;
            try {
                Response response = callOnce(method, path, encodedBody);
                if (response.status() != 429 && response.status() < 500) {
                    return response;
                }
                lastError = response.errorMessage();
            } catch (IOException e) {
                lastError = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            }
            long jitteredDelayMs = delayMs / 2 + random.nextLong(delayMs / 2 + 1);
            if (System.nanoTime() / NS_PER_MS + jitteredDelayMs > endMs) {
                throw new DeadlineExceededException(server + ": " + lastError.trim());
            }
            Thread.sleep(jitteredDelayMs);
            delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
        }
    }

    private Response callOnce(String method, String path, byte[] body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), SOCKET_TIMEOUT_MS);
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream()
                    .write(HttpWriter.request(method, path, server, body).array());
            HttpParser parser = new HttpParser(false, MAX_RESPONSE_BYTES);
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            InputStream input = socket.getInputStream();
            while (true) {
                int count = input.read(buffer);
                if (count < 0) {
                    throw new IOException("connection closed before the response was complete");
                }
                HttpParser.Message message = parser.feed(ByteBuffer.wrap(buffer, 0, count));
                if (message != null) {
                    return new Response(
                            message.status(),
                            message.body().length == 0
                                    ? Map.of()
                                    : Fields.map(MessagePackCodec.decode(message.body()), "answer"));
                }
            }
        } catch (HttpParser.MalformedMessageException | InvalidInputException e) {
            throw new IOException("invalid response: " + e.getMessage());
        }
    }
}
