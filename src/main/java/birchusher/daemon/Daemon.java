package birchusher.daemon;

import birchusher.http.EventLoop;
import birchusher.kv.Limits;
import birchusher.server.Loop;
import birchusher.statehost.DurableStore;
import birchusher.statehost.DurableStoreRunner;
import birchusher.statehost.StateServer;
import birchusher.wal.LockedDirectory;
import birchusher.wal.WriteAheadLog;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Controller, state service and pool in one program, each with its own thread and sockets; they talk over loopback as they
 * would over a network. All that has to last is in one directory.
 */
public final class Daemon implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    /** The pool's own store has no clients to be protected from. */
    private static final Limits HOME = new Limits(1e6, 1e6, 128, Limits.MAX_TRANSACTION_BYTES);

    private interface Body {
        void run() throws Exception;
    }

    private final EventLoop stateLoop = new EventLoop();
    private final EventLoop frontLoop = new EventLoop();
    private final DurableStoreRunner state;
    private final DurableStoreRunner home;
    private final StateServer stateServer;
    private final Front front;
    private final Loop controller;
    private final List<Thread> threads = new ArrayList<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean asked;
    private volatile boolean failed;

    /**
     * Reads everything kept; nothing is served yet.
     *
     * @throws birchusher.wal.Damaged if something durable can't be read
     * @throws IOException also if another daemon holds the directory
     */
    public Daemon(DaemonSettings d) throws IOException {
        state = host(stateLoop, stateDir(d.data()), d, d.limits());
        try {
            home = host(frontLoop, poolDir(d.data()), d, HOME);
        } catch (IOException | RuntimeException e) {
            closeQuietly(state);
            throw e;
        }
        stateServer = new StateServer(
                stateLoop, d.settings().store().host(), d.settings().store().port(), 1_000, state);
        front = new Front(frontLoop, d, home);
        controller = new Loop(d.settings(), d.tuning());
    }

    /** The two directories that a repair may be asked for. */
    public static Path stateDir(Path data) {
        return data.resolve("state");
    }

    public static Path poolDir(Path data) {
        return data.resolve("pool");
    }

    private static DurableStoreRunner host(EventLoop loop, Path dir, DaemonSettings d, Limits limits)
            throws IOException {
        LockedDirectory disk = new LockedDirectory(dir);
        try {
            return new DurableStoreRunner(
                    loop,
                    DurableStore.open(disk, WriteAheadLog.Options.DEFAULT, d.snapshotBytes(), limits, EventLoop.now()));
        } catch (IOException | RuntimeException e) {
            disk.close();
            throw e;
        }
    }

    private static void closeQuietly(DurableStoreRunner h) {
        try {
            h.close();
        } catch (IOException e) {
            LOG.debug("close failed: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Opens the sockets and serves until {@link #close}, or until a part of it fails. */
    public void start() throws IOException {
        stateServer.open();
        thread("state", () -> stateLoop.run(late -> stateServer.tick()));
        front.open();
        thread("front", () -> frontLoop.run(front::tick));
        thread("controller", controller::run);
    }

    private void thread(String name, Body body) {
        Thread t = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (Exception e) {
                        LOG.error("{} ends", name, e);
                    } finally {
                        failed |= !asked;
                        ended.countDown();
                    }
                },
                name);
        threads.add(t);
        t.start();
    }

    /** Waits until a part has ended; false if it was not asked to. */
    public boolean await() throws InterruptedException {
        ended.await();
        return !failed;
    }

    /** Ends in order: first whoever takes requests, then what they rest on. Returns when everything is on disk and closed. */
    @Override
    public void close() throws IOException {
        try {
            asked = true;
            frontLoop.stop();
            controller.stop();
            join("front");
            join("controller");
            stateLoop.stop();
            join("state");
            front.close();
            stateServer.close();
            home.close();
            state.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void join(String name) throws InterruptedException {
        for (Thread t : threads) {
            if (t.getName().equals(name)) {
                t.join();
            }
        }
    }
}
