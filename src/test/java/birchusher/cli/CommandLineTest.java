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

/** What the client's commands send, print and return, and how the daemon's properties are checked. */
class CommandLineTest {
    @TempDir
    Path dir;

    private String server;
    private final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    private String consoleOutput;

    /** Starts a server that refuses the given number of requests with 503 and then answers each by its path. */
    private EventLoop startServer(int refusals) throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        server = "127.0.0.1:" + port;
        EventLoop loop = new EventLoop();
        HttpServer[] httpServer = new HttpServer[1];
        int[] refusalsLeft = {refusals};
        httpServer[0] = new HttpServer(loop, "127.0.0.1", port, 100, 65_536, (exchange, method, target, body) -> {
            Map<String, Object> fields =
                    body.length == 0 ? Map.of() : Fields.map(MessagePackCodec.decode(body), "body");
            receivedRequests.add(
                    method + " " + target + (fields.containsKey("name_id") ? " " + fields.get("name_id") : ""));
            if (refusalsLeft[0]-- > 0) {
                httpServer[0].answer(exchange, 503, MessagePackCodec.encode(Map.of("error", "later")), 1);
            } else if (target.startsWith("/v2/runs?")) {
                boolean secondPage = target.contains("since=wk-b");
                httpServer[0].answer(
                        exchange,
                        200,
                        MessagePackCodec.encode(Map.of(
                                "runs",
                                List.of(Map.of(
                                        "name_id",
                                        secondPage ? "wk-c" : "wk-b",
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
                                !secondPage,
                                "last",
                                secondPage ? "wk-c" : "wk-b")),
                        0);
            } else if (target.contains("wk-no")) {
                httpServer[0].answer(exchange, 404, MessagePackCodec.encode(Map.of("error", "no such job")), 0);
            } else {
                httpServer[0].answer(
                        exchange,
                        200,
                        MessagePackCodec.encode(
                                Map.of("name_id", "wk-a", "stage", "cancelled", "done", 0, "running", 0)),
                        0);
            }
        });
        httpServer[0].open();
        Thread thread = new Thread(() -> {
            try {
                loop.run(delayMs -> httpServer[0].tick());
                httpServer[0].close();
            } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return loop;
    }

    private int runCommand(String... args) {
        List<String> allArguments = new ArrayList<>(List.of(args));
        allArguments.addAll(1, List.of("--server", server, "--deadline", "2"));
        PrintStream originalOut = System.out;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            return Main.fullCommandLine().execute(allArguments.toArray(new String[0]));
        } finally {
            System.setOut(originalOut);
            consoleOutput = captured.toString(StandardCharsets.UTF_8);
        }
    }

    /**
     * Guards against a second job after a client lost contact during a submission: {@code --resume} must send the job under the id
     * that is in the journal.
     */
    @Test
    void resumeSendsUnconfirmedSubmissionUnderTheSameId() throws IOException {
        EventLoop refusingServer = startServer(1_000);
        String journal = dir.toString();
        assertThat(runCommand("submit", "--journal", journal, "--team", "t", "--", "true"))
                .isEqualTo(3);
        refusingServer.stop();
        List<String> pendingIds = new SubmissionJournal(dir).pendingIds();
        assertThat(pendingIds).hasSize(1);
        receivedRequests.clear();
        EventLoop restartedServer = startServer(0);
        assertThat(runCommand("submit", "--journal", journal, "--resume")).isZero();
        assertThat(receivedRequests)
                .containsExactly("POST /v2/programs/" + pendingIds.get(0), "POST /v2/runs " + pendingIds.get(0));
        assertThat(new SubmissionJournal(dir).pendingIds()).isEmpty();
        restartedServer.stop();
    }

    @Test
    void exitCodesDistinguishSuccessRefusalInvalidUsageAndNoAnswer() throws IOException {
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
                .as("an invalid submission is not written to the journal")
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
        String valid = Files.readString(Path.of("deploy/daemon.properties"));
        DaemonSettings settings = readDaemonSettings(valid);
        assertThat(settings.hosts().hosts()).containsOnlyKeys("local");
        assertThat(settings.tuning().value("fleet.linger-boots")).isEqualTo(20);
        Map<String, String> propertyNamedByInvalidLine = Map.of(
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
        propertyNamedByInvalidLine.forEach(
                (line, property) -> assertThatThrownBy(() -> readDaemonSettings(valid + "\n" + line))
                        .as(line)
                        .isInstanceOf(InvalidInputException.class)
                        .hasMessageContaining(property));
        assertThat(readDaemonSettings(valid + "\npeers=p/here/10.0.0.2:1/10.0.0.2:2")
                        .controllers())
                .containsOnlyKeys("daemon", "p");
    }
}
