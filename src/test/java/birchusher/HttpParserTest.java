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
    private static ByteBuffer bytes(String s) {
        return ByteBuffer.wrap(s.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void requestIsParsedByteByByte() throws MalformedMessageException {
        String all = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc";
        HttpParser p = new HttpParser(true, 100);
        HttpParser.Message m = null;
        for (int i = 0; i < all.length(); i++) {
            assertThat(m).isNull();
            m = p.feed(bytes(all.substring(i, i + 1)));
        }
        assertThat(m.methodOrVersion()).isEqualTo("POST");
        assertThat(m.targetOrReason()).isEqualTo("/v2/runs");
        assertThat(m.closesConnection()).isTrue();
        assertThat(new String(m.body(), StandardCharsets.ISO_8859_1)).isEqualTo("abc");
    }

    @Test
    void chunkedBodyIsJoined() throws MalformedMessageException {
        HttpParser p = new HttpParser(false, 100);
        HttpParser.Message m = p.feed(
                bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"));
        assertThat(m.status()).isEqualTo(200);
        assertThat(new String(m.body(), StandardCharsets.ISO_8859_1)).isEqualTo("abcde");
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
    void malformedMessageIsRejectedWith400(String s) {
        assertThatThrownBy(() -> new HttpParser(true, 100).feed(bytes(s)))
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
