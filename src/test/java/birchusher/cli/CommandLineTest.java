package birchusher.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.daemon.DaemonSettings;
import birchusher.http.EventLoop;
import birchusher.http.HttpServer;
import birchusher.wire.MessagePackCodec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The client's verbs by what they send, print and return; and the daemon's properties. */
class CommandLineTest {
    @TempDir
    Path dir;

    private String server;
    private final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    private String consoleOutput;

    /** A server that answers so many requests with 503 first, and then what its path suggests. */
    private EventLoop startServer(int refusals) throws IOException {
        int port;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = s.getLocalPort();
        }
        server = "127.0.0.1:" + port;
        EventLoop loop = new EventLoop();
        HttpServer[] http = new HttpServer[1];
        int[] left = {refusals};
        http[0] = new HttpServer(loop, "127.0.0.1", port, 100, 65_536, (x, method, target, body) -> {
            Map<String, Object> m = body.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(body), "body");
            receivedRequests.add(method + " " + target + (m.containsKey("name_id") ? " " + m.get("name_id") : ""));
            if (left[0]-- > 0) {
                http[0].answer(x, 503, MessagePackCodec.encode(Map.of("error", "later")), 1);
            } else if (target.startsWith("/v2/runs?")) {
                boolean second = target.contains("since=wk-b");
                http[0].answer(
                        x,
                        200,
                        MessagePackCodec.encode(Map.of(
                                "runs",
                                List.of(Map.of(
                                        "name_id",
                                        second ? "wk-c" : "wk-b",
                                        "stage",
                                        "queued",
                                        "done",
                                        0,
                                        "running",
                                        0,
                                        "crew",
                                        "t",
                                        "lane",
                                        "l")),
                                "has_next",
                                !second,
                                "last",
                                second ? "wk-c" : "wk-b")),
                        0);
            } else if (target.contains("wk-no")) {
                http[0].answer(x, 404, MessagePackCodec.encode(Map.of("error", "no such job")), 0);
            } else {
                http[0].answer(
                        x,
                        200,
                        MessagePackCodec.encode(
                                Map.of("name_id", "wk-a", "stage", "cancelled", "done", 0, "running", 0)),
                        0);
            }
        });
        http[0].open();
        Thread t = new Thread(() -> {
            try {
                loop.run(late -> http[0].tick());
                http[0].close();
            } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
            }
        });
        t.setDaemon(true);
        t.start();
        return loop;
    }

    private int runCommand(String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(1, List.of("--server", server, "--deadline", "2"));
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            return Main.fullCommandLine().execute(all.toArray(new String[0]));
        } finally {
            System.setOut(before);
            consoleOutput = out.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void resumeSendsUnconfirmedSubmissionUnderTheSameId() throws IOException {
        EventLoop loop = startServer(1_000);
        String journal = dir.toString();
        assertThat(runCommand("submit", "--journal", journal, "--team", "t", "--", "true"))
                .isEqualTo(3);
        loop.stop();
        List<String> kept = new SubmissionJournal(dir).pendingIds();
        assertThat(kept).hasSize(1);
        receivedRequests.clear();
        EventLoop other = startServer(0);
        assertThat(runCommand("submit", "--journal", journal, "--resume")).isZero();
        assertThat(receivedRequests)
                .containsExactly("POST /v2/programs/" + kept.get(0), "POST /v2/runs " + kept.get(0));
        assertThat(new SubmissionJournal(dir).pendingIds()).isEmpty();
        other.stop();
    }

    @Test
    void exitCodesTellSuccessRefusalWrongUseAndNoAnswer() throws IOException {
        EventLoop loop = startServer(1);
        assertThat(runCommand("status", "wk-a")).as("after one refusal").isZero();
        assertThat(consoleOutput).isEqualTo("wk-a cancelled\n");
        assertThat(runCommand("status", "wk-no")).isEqualTo(1);
        assertThat(runCommand("status", "nonsense")).isEqualTo(2);
        assertThat(runCommand("wait", "wk-a")).as("cancelled is not done").isEqualTo(1);
        assertThat(runCommand("cancel", "-o", "json", "wk-a")).isZero();
        assertThat(consoleOutput)
                .isEqualTo("{\"done\":0,\"name_id\":\"wk-a\",\"running\":0,\"stage\":\"cancelled\"}\n");
        assertThat(runCommand("list")).isZero();
        assertThat(consoleOutput.lines()).hasSize(3).last().asString().startsWith("wk-c");
        assertThat(runCommand("list", "--team", "a&b")).isEqualTo(2);
        receivedRequests.clear();
        assertThat(runCommand("submit", "--journal", dir.toString(), "--team", "", "--", "true"))
                .as("no team")
                .isEqualTo(2);
        assertThat(runCommand(
                        "submit", "--journal", dir.toString(), "--team", "t", "--env", "BIRCHUSHER_X=1", "--", "true"))
                .isEqualTo(2);
        assertThat(receivedRequests).isEmpty();
        assertThat(new SubmissionJournal(dir).pendingIds())
                .as("what is wrong is not kept")
                .isEmpty();
        loop.stop();
        server = "127.0.0.1:1";
        assertThat(runCommand("status", "wk-a")).isEqualTo(3);
    }

    private static DaemonSettings readDaemonSettings(String text) throws IOException {
        return DaemonSettings.read(new StringReader(text));
    }

    @Test
    void daemonPropertyErrorsNameTheProperty() throws IOException {
        String good = Files.readString(Path.of("deploy/daemon.properties"));
        DaemonSettings d = readDaemonSettings(good);
        assertThat(d.hosts().hosts()).containsOnlyKeys("local");
        assertThat(d.tuning().value("fleet.linger-boots")).isEqualTo(20);
        Map<String, String> bad = Map.of(
                "nonsense=1",
                "nonsense",
                "workers.lease-s=2",
                "workers.lease-s",
                "type.small.cpus=x",
                "type.small.cpus",
                "zones=",
                "zones",
                "host.local.type=big",
                "no type big",
                "host.local.zone=there",
                "host.local.zone",
                "listen=nowhere",
                "listen",
                "hosts=a,a",
                "hosts",
                "peers=x/y",
                "peers",
                "workers.quarantine-s=-1",
                "workers.quarantine-s");
        bad.forEach((line, named) -> assertThatThrownBy(() -> readDaemonSettings(good + "\n" + line))
                .as(line)
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining(named));
        assertThat(readDaemonSettings(good + "\npeers=p/here/10.0.0.2:1/10.0.0.2:2")
                        .controllers())
                .containsOnlyKeys("daemon", "p");
    }
}
