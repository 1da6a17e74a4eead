package birchusher.statehost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import birchusher.kv.Engine;
import birchusher.kv.Limits;
import birchusher.kv.Request;
import birchusher.settings.SettingsReader;
import birchusher.wal.FaultDirectory;
import birchusher.wal.WriteAheadLog;
import birchusher.wire.Json;
import birchusher.wire.MessagePackCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The requests and replies of the state service, compared with the published protocol. */
class ProtocolCodecTest {
    private final DurableStore store;
    private long lastRequestId;

    ProtocolCodecTest() throws IOException {
        store = DurableStore.open(
                new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE),
                WriteAheadLog.Options.DEFAULT,
                1 << 20,
                new Limits(1_000, 1_000, 4, 64),
                0);
    }

    private String exchange(String method, String target, String json) {
        byte[] body = json.isEmpty()
                ? new byte[0]
                : MessagePackCodec.encode(SettingsReader.parseJson(json.getBytes(StandardCharsets.UTF_8)));
        try {
            Request request = ProtocolCodec.parseRequest(method, target, body);
            ProtocolCodec.HttpResponse[] response = new ProtocolCodec.HttpResponse[1];
            long requestId = ++lastRequestId;
            List<Engine.Answer> answers = new ArrayList<>(store.handle(0, requestId, request));
            answers.addAll(store.flush(0));
            answers.stream()
                    .filter(answer -> answer.requestId() == requestId)
                    .forEach(answer -> response[0] = ProtocolCodec.encodeReply(request, answer.reply()));
            return response[0] == null ? "waits" : response[0].status() + " " + Json.toText(response[0].body(), false);
        } catch (ProtocolCodec.HttpStatusException e) {
            return e.status + "";
        } catch (InvalidInputException e) {
            return "400 " + e.getMessage();
        }
    }

    @Test
    void requestsAndRepliesMatchThePublishedProtocol() {
        assertThat(exchange("GET", "/store/a/b", "")).isEqualTo("404 {\"epoch\":0}");
        assertThat(exchange("POST", "/leases", "{\"life_ms\":5000}")).isEqualTo("200 {\"hold\":1}");
        assertThat(exchange(
                        "POST",
                        "/multi",
                        "{\"if\":[{\"path\":\"a/b\",\"stamp\":0}],\"writes\":[{\"set\":\"a/b\",\"value\":{\"x\":1.5},"
                                + "\"hold\":1},{\"remove\":\"c/d\"}]}"))
                .isEqualTo("200 {\"epoch\":1}");
        assertThat(exchange(
                        "POST",
                        "/multi",
                        "{\"if\":[{\"path\":\"a/b\",\"stamp\":0}],\"writes\":[{\"set\":\"a/b\",\"value\":null}]}"))
                .isEqualTo("409 {\"epoch\":1,\"failed\":[\"a/b\"]}");
        assertThat(exchange("GET", "/store/a/b", ""))
                .isEqualTo("200 {\"hold\":1,\"path\":\"a/b\",\"stamp\":1,\"value\":{\"x\":1.5}}");
        assertThat(exchange("POST", "/multi", "{\"writes\":[{\"set\":\"a/c\",\"value\":[true,null,\"ü\"]}]}"))
                .isEqualTo("200 {\"epoch\":2}");
        assertThat(exchange("GET", "/store?under=a/&since=a/b&page=200", ""))
                .isEqualTo("200 {\"epoch\":2,\"has_next\":false,"
                        + "\"rows\":[{\"path\":\"a/c\",\"stamp\":2,\"value\":[true,null,\"ü\"]}]}");
        assertThat(exchange("GET", "/store?under=a/&page=1", "")).contains("\"has_next\":true");
        assertThat(exchange("GET", "/watch?under=a/&since=1&wait_ms=0", ""))
                .isEqualTo("200 {\"epoch\":2,\"events\":[{\"set\":\"a/c\",\"stamp\":2,\"value\":[true,null,\"ü\"]}]}");
        assertThat(exchange("GET", "/watch?under=a/&since=2&wait_ms=10000", "")).isEqualTo("waits");
        assertThat(exchange("GET", "/watch?under=a/&since=99", "")).startsWith("410 ");
        assertThat(exchange("POST", "/leases/1/extend", "")).isEqualTo("200 {}");
        assertThat(exchange("DELETE", "/leases/1", "")).isEqualTo("200 {}");
        assertThat(exchange("GET", "/watch?under=a/&since=2", ""))
                .isEqualTo("200 {\"epoch\":3,\"events\":[{\"remove\":\"a/b\",\"stamp\":3}]}");
        assertThat(exchange("POST", "/leases/1/extend", "")).startsWith("404 ");
        assertThat(exchange("POST", "/multi", "{\"writes\":[{\"set\":\"a/b\",\"value\":1,\"hold\":1}]}"))
                .isEqualTo("400 {\"error\":\"no such lease\"}");
    }

    @Test
    void errorsNameTheInvalidField() {
        Map<String, String> bad = Map.ofEntries(
                Map.entry("{\"writes\":[{\"set\":\"a b\",\"value\":1}]}", "spaces"),
                Map.entry("{\"writes\":[{\"set\":\"a\"}]}", "value"),
                Map.entry("{\"writes\":[{}]}", "remove"),
                Map.entry("{\"writes\":[{\"set\":\"" + "k".repeat(201) + "\",\"value\":1}]}", "200"),
                Map.entry("{\"if\":[{\"path\":\"a\"}]}", "stamp"),
                Map.entry("{\"if\":[{\"stamp\":1}]}", "path"),
                Map.entry("{\"writes\":[{\"set\":\"a\",\"value\":\"" + "v".repeat(63) + "\"}]}", "64"),
                Map.entry(
                        "{\"writes\":[{\"remove\":\"a\"},{\"remove\":\"b\"},{\"remove\":\"c\"},{\"remove\":\"d\"},{\"remove\":\"e\"}]}",
                        "4"),
                Map.entry("{\"writes\":[{\"set\":\"a\",\"value\":1},{\"remove\":\"a\"}]}", "twice"));
        bad.forEach((json, word) ->
                assertThat(exchange("POST", "/multi", json)).startsWith("400 ").contains(word));
        assertThat(exchange("GET", "/watch?under=a", "")).startsWith("400 since");
        assertThat(exchange("GET", "/watch?since=1&wait_ms=60001", "")).startsWith("400 wait_ms");
        assertThat(exchange("GET", "/store?page=1001", "")).startsWith("400 page");
        assertThat(exchange("GET", "/store?under=%zz", "")).startsWith("400 under");
        assertThat(exchange("GET", "/multi", "")).isEqualTo("405");
        assertThat(exchange("GET", "/nowhere", "")).isEqualTo("404");
        assertThat(exchange("DELETE", "/leases/x", "")).isEqualTo("404");
        assertThat(Json.sizeBytes(Map.of("a", 1.0))).isEqualTo("{\"a\":1.0}".length());
        assertThatThrownBy(() -> Json.sizeBytes(new Object())).isInstanceOf(IllegalArgumentException.class);
    }
}
