package birchusher.http;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs posted tasks and a regular tick on one thread. That thread owns the state of the servers and clients on this
 * loop; channel completions and other threads only post to it.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long TICK_INTERVAL_MS = 50;
    /** After the first task of a pass, at most this many more run before the next tick is considered. */
    private static final int MAX_FURTHER_TASKS_PER_PASS = 200;

    /** Called about every 50 ms on the loop's thread. */
    public interface Ticker {
        /** @param lateMs by how many milliseconds this tick is late */
        void tick(long lateMs);
    }

    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final AsynchronousChannelGroup channelGroup;
    private volatile boolean stopped;

    public EventLoop() throws IOException {
        channelGroup = AsynchronousChannelGroup.withFixedThreadPool(1, task -> {
            Thread thread = new Thread(task, "io");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Milliseconds of the monotonic clock, from an arbitrary origin. */
    public static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** The group whose single thread completes the channels of this loop. */
    public AsynchronousChannelGroup channelGroup() {
        return channelGroup;
    }

    /** Queues a task for the loop's thread. May be called from any thread. */
    public void post(Runnable task) {
        queue.add(task);
    }

    /** Lets {@link #run} return after its current pass. May be called from any thread. */
    public void stop() {
        stopped = true;
    }

    /** Runs tasks and ticks in the calling thread until {@link #stop}. */
    public void run(Ticker ticker) throws InterruptedException {
        long nextTickMs = nowMs();
        while (!stopped) {
            long waitMs = nextTickMs - nowMs();
            Runnable task = waitMs > 0 ? queue.poll(waitMs, TimeUnit.MILLISECONDS) : queue.poll();
            int count = 0;
            while (task != null) {
                runGuarded(task);
                task = count++ < MAX_FURTHER_TASKS_PER_PASS ? queue.poll() : null;
            }
            if (nowMs() >= nextTickMs) {
                long lateMs = nowMs() - nextTickMs;
                nextTickMs = nowMs() + TICK_INTERVAL_MS;
                runGuarded(() -> ticker.tick(lateMs));
            }
        }
    }

    /**
     * Runs a task and logs its exceptions: one bad input must not end the process. What the task left undone is derived
     * again from the state.
     */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("task on the event loop failed", e);
        }
    }
}
