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
final class Caller {
    private static final int TIMEOUT_MS = 5_000;
    private static final long LEAST_PAUSE_MS = 200;
    private static final long MOST_PAUSE_MS = 2_000;
    private static final int MAX_ANSWER = 1 << 20;

    /** A whole answer that is final for this request. */
    record Got(int status, Map<String, Object> body) {
        boolean fine() {
            return status == 200 || status == 201;
        }

        /** What the server says is wrong. */
        String error() {
            return status + " " + body.getOrDefault("error", "");
        }
    }

    /** No final answer before the deadline: whether the request was executed is not known. */
    static final class Unreachable extends IOException {
        private static final long serialVersionUID = 1;

        Unreachable(String message) {
            super(message);
        }
    }

    private final String server;
    private final Address to;
    private final long deadlineMs;
    private final SplittableRandom random = new SplittableRandom();

    /** @param deadlineS for each call, its repetitions included */
    Caller(String server, double deadlineS) {
        this.server = server;
        this.to = SettingsReader.parseAddress(server, "--server");
        this.deadlineMs = Math.round(deadlineS * 1000);
    }

    Got call(String method, String path, Object body) throws IOException, InterruptedException {
        byte[] bytes = body == null ? new byte[0] : MessagePackCodec.encode(body);
        long end = System.nanoTime() / 1_000_000 + deadlineMs;
        long pause = LEAST_PAUSE_MS;
        while (true) {
            String trouble;
            try {
                Got g = once(method, path, bytes);
                if (g.status() != 429 && g.status() < 500) {
                    return g;
                }
                trouble = g.error();
            } catch (IOException e) {
                trouble = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            }
            long wait = pause / 2 + random.nextLong(pause / 2 + 1);
            if (System.nanoTime() / 1_000_000 + wait > end) {
                throw new Unreachable(server + ": " + trouble.trim());
            }
            Thread.sleep(wait);
            pause = Math.min(MOST_PAUSE_MS, pause * 2);
        }
    }

    private Got once(String method, String path, byte[] body) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(to.host(), to.port()), TIMEOUT_MS);
            s.setSoTimeout(TIMEOUT_MS);
            s.getOutputStream()
                    .write(HttpWriter.request(method, path, server, body).array());
            HttpParser parser = new HttpParser(false, MAX_ANSWER);
            byte[] buffer = new byte[4096];
            InputStream in = s.getInputStream();
            while (true) {
                int n = in.read(buffer);
                if (n < 0) {
                    throw new IOException("connection closed before an answer");
                }
                HttpParser.Message m = parser.feed(ByteBuffer.wrap(buffer, 0, n));
                if (m != null) {
                    return new Got(
                            m.status(),
                            m.body().length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(m.body()), "answer"));
                }
            }
        } catch (HttpParser.MalformedMessageException | InvalidInputException e) {
            throw new IOException("answer is not as agreed: " + e.getMessage());
        }
    }
}
