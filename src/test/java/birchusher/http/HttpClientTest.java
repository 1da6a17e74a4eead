package birchusher.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Calls whose connection can't be opened. */
class HttpClientTest {
    private static final int TIMEOUT_MS = 1_000;

    /** Guards against a call that is never answered, because no socket was free: its caller would wait for ever. */
    @Test
    void callIsAnsweredWhenNoSocketCanBeOpened() throws Exception {
        EventLoop loop = new EventLoop();
        HttpClient client = new HttpClient(loop, 10);
        // Opening a channel then fails, as it does when all file descriptors are in use.
        loop.channelGroup().shutdownNow();
        AtomicInteger answers = new AtomicInteger();
        client.call("127.0.0.1:1", "GET", "/", new byte[0], TIMEOUT_MS, (status, body) -> answers.incrementAndGet());
        loop.post(loop::stop);
        loop.run(lateMs -> {});
        assertThat(answers.get()).as("answers to the call").isEqualTo(1);
    }
}
