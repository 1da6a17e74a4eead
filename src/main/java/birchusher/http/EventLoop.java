package birchusher.http;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One thread that owns all state of an edge; completions of channels, and other threads, only post to it. */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long TICK_INTERVAL_MS = 50;

    /** Called about every 50 ms. */
    public interface Ticker {
        /** @param lateMs how much later than due */
        void tick(long lateMs);
    }

    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final AsynchronousChannelGroup channelGroup;
    private volatile boolean stopped;

    public EventLoop() throws IOException {
        channelGroup = AsynchronousChannelGroup.withFixedThreadPool(1, r -> {
            Thread th = new Thread(r, "io");
            th.setDaemon(true);
            return th;
        });
    }

    public static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** The channels' own thread. */
    public AsynchronousChannelGroup channelGroup() {
        return channelGroup;
    }

    public void post(Runnable r) {
        queue.add(r);
    }

    public void stop() {
        stopped = true;
    }

    /** Runs in the calling thread until stopped. */
    public void run(Ticker ticker) throws InterruptedException {
        long nextTick = nowMs();
        while (!stopped) {
            long wait = nextTick - nowMs();
            Runnable r = wait > 0 ? queue.poll(wait, TimeUnit.MILLISECONDS) : queue.poll();
            int n = 0;
            while (r != null) {
                runGuarded(r);
                r = n++ < 200 ? queue.poll() : null;
            }
            if (nowMs() >= nextTick) {
                long late = nowMs() - nextTick;
                nextTick = nowMs() + TICK_INTERVAL_MS;
                runGuarded(() -> ticker.tick(late));
            }
        }
    }

    /** One bad input must not end the process; what it left undone is worked out again from the state. */
    private static void runGuarded(Runnable r) {
        try {
            r.run();
        } catch (RuntimeException e) {
            LOG.error("a step failed", e);
        }
    }
}
