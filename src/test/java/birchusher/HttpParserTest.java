package birchusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.http.HttpParser;
import birchusher.http.HttpParser.MalformedMessageException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpParserTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void requestIsParsedByteByByte() throws MalformedMessageException {
        String request = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc";
        HttpParser parser = new HttpParser(true, 100);
        HttpParser.Message message = null;
        for (int i = 0; i < request.length(); i++) {
            assertThat(message).isNull();
            message = parser.feed(bytes(request.substring(i, i + 1)));
        }
        assertThat(message.methodOrVersion()).isEqualTo("POST");
        assertThat(message.targetOrReason()).isEqualTo("/v2/runs");
        assertThat(message.closesConnection()).isTrue();
        assertThat(new String(message.body(), StandardCharsets.ISO_8859_1)).isEqualTo("abc");
    }

    @Test
    void chunkedBodyIsJoined() throws MalformedMessageException {
        HttpParser parser = new HttpParser(false, 100);
        HttpParser.Message message = parser.feed(
                bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"));
        assertThat(message.status()).isEqualTo(200);
        assertThat(new String(message.body(), StandardCharsets.ISO_8859_1)).isEqualTo("abcde");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET\r\n\r\n",
                "GET / FTP/1\r\n\r\n",
                "get / HTTP/1.1\r\n\r\n",
                "GET x HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\n: v\r\n\r\n",
                "GET / HTTP/1.1\r\nA\r\n\r\n",
                "GET / HTTP/1.1\r\n folded: v\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            })
    void malformedMessageIsRejectedWith400(String text) {
        assertThatThrownBy(() -> new HttpParser(true, 100).feed(bytes(text)))
                .isInstanceOfSatisfying(MalformedMessageException.class, e -> assertThat(e.status)
                        .isEqualTo(400));
    }

    @Test
    void tooLargeBodyIsRejectedWith413BeforeItIsRead() {
        assertThatThrownBy(
                        () -> new HttpParser(true, 100).feed(bytes("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n")))
                .isInstanceOfSatisfying(MalformedMessageException.class, e -> assertThat(e.status)
                        .isEqualTo(413));
    }

    @Test
    void tooLongLinesAndTooManyHeadersAreRejected() {
        assertThatThrownBy(() -> new HttpParser(true, 100).feed(bytes("GET /" + "a".repeat(20_000))))
                .isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> new HttpParser(true, 100).feed(bytes("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(100))))
                .isInstanceOf(MalformedMessageException.class);
    }
}
