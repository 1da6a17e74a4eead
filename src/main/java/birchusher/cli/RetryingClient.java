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
 * Calls a daemon or a controller, again and again until a deadline: every request of the protocol may be repeated. Refusals for
 * the moment (429, 5xx) and lost connections are tried again with growing, jittered pauses.
 */
final class RetryingClient {
    private static final int SOCKET_TIMEOUT_MS = 5_000;
    private static final long MIN_RETRY_DELAY_MS = 200;
    private static final long MAX_RETRY_DELAY_MS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    /** A whole answer that is final for this request. */
    record Response(int status, Map<String, Object> body) {
        boolean isSuccess() {
            return status == 200 || status == 201;
        }

        /** What the server says is wrong. */
        String errorMessage() {
            return status + " " + body.getOrDefault("error", "");
        }
    }

    /** No final answer before the deadline: whether the request was executed is not known. */
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

    /** @param deadlineS for each call, its repetitions included */
    RetryingClient(String server, double deadlineS) {
        this.server = server;
        this.address = SettingsReader.parseAddress(server, "--server");
        this.deadlineMs = Math.round(deadlineS * 1000);
    }

    Response call(String method, String path, Object body) throws IOException, InterruptedException {
        byte[] bytes = body == null ? new byte[0] : MessagePackCodec.encode(body);
        long end = System.nanoTime() / 1_000_000 + deadlineMs;
        long pause = MIN_RETRY_DELAY_MS;
        while (true) {
            String trouble;
            try {
                Response g = callOnce(method, path, bytes);
                if (g.status() != 429 && g.status() < 500) {
                    return g;
                }
                trouble = g.errorMessage();
            } catch (IOException e) {
                trouble = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            }
            long wait = pause / 2 + random.nextLong(pause / 2 + 1);
            if (System.nanoTime() / 1_000_000 + wait > end) {
                throw new DeadlineExceededException(server + ": " + trouble.trim());
            }
            Thread.sleep(wait);
            pause = Math.min(MAX_RETRY_DELAY_MS, pause * 2);
        }
    }

    private Response callOnce(String method, String path, byte[] body) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(address.host(), address.port()), SOCKET_TIMEOUT_MS);
            s.setSoTimeout(SOCKET_TIMEOUT_MS);
            s.getOutputStream()
                    .write(HttpWriter.request(method, path, server, body).array());
            HttpParser parser = new HttpParser(false, MAX_RESPONSE_BYTES);
            byte[] buffer = new byte[4096];
            InputStream in = s.getInputStream();
            while (true) {
                int n = in.read(buffer);
                if (n < 0) {
                    throw new IOException("connection closed before an answer");
                }
                HttpParser.Message m = parser.feed(ByteBuffer.wrap(buffer, 0, n));
                if (m != null) {
                    return new Response(
                            m.status(),
                            m.body().length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(m.body()), "answer"));
                }
            }
        } catch (HttpParser.MalformedMessageException | InvalidInputException e) {
            throw new IOException("answer is not as agreed: " + e.getMessage());
        }
    }
}
