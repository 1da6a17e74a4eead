package birchusher.cli;

import birchusher.core.Fields.Bad;
import birchusher.http.HttpParser;
import birchusher.http.HttpWriter;
import birchusher.settings.Settings.Address;
import birchusher.settings.SettingsReader;
import birchusher.wire.Pack;
import birchusher.wire.Wire;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;

/** The commands that talk to a running controller. */
final class Client {
    private static final int TIMEOUT_MS = 5_000;

    private Client() { }

    static int submit(String server, byte[] json) throws IOException {
        return tell(server, "POST", Wire.RUNS, Pack.encode(SettingsReader.tree(json)));
    }

    static int status(String server, String id) throws IOException {
        return tell(server, "GET", Wire.RUNS + "/" + checked(id), new byte[0]);
    }

    static int cancel(String server, String id) throws IOException {
        return tell(server, "POST", Wire.RUNS + "/" + checked(id) + Wire.WITHDRAW, new byte[0]);
    }

    private static String checked(String id) {
        if (!birchusher.wire.JobCodec.isId(id)) {
            throw new Bad("ID: not a job id, expected " + Wire.ID_PREFIX + "...");
        }
        return id;
    }

    private static int tell(String server, String method, String path, byte[] body) throws IOException {
        Address to = SettingsReader.parse(server, "--server");
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(to.host(), to.port()), TIMEOUT_MS);
            s.setSoTimeout(TIMEOUT_MS);
            s.getOutputStream().write(HttpWriter.request(method, path, server, body).array());
            HttpParser parser = new HttpParser(false, 1 << 20);
            byte[] buffer = new byte[4096];
            InputStream in = s.getInputStream();
            while (true) {
                int n = in.read(buffer);
                if (n < 0) {
                    throw new IOException("connection closed before an answer");
                }
                HttpParser.Message m = parser.feed(ByteBuffer.wrap(buffer, 0, n));
                if (m != null) {
                    boolean fine = m.status() == 200 || m.status() == 201;
                    (fine ? System.out : System.err).println(m.status() + " "
                            + (m.body().length == 0 ? "" : Pack.decode(m.body())));
                    return fine ? 0 : 1;
                }
            }
        } catch (HttpParser.Malformed e) {
            throw new IOException("answer is not HTTP: " + e.getMessage());
        }
    }
}
