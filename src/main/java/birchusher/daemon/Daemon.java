package birchusher.daemon;

import birchusher.http.EventLoop;
import birchusher.kv.Limits;
import birchusher.server.ControllerServer;
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
    private static final Limits POOL_STORE_LIMITS = new Limits(1e6, 1e6, 128, Limits.MAX_TRANSACTION_BYTES);

    private interface ThreadBody {
        void run() throws Exception;
    }

    private final EventLoop stateLoop = new EventLoop();
    private final EventLoop frontEndLoop = new EventLoop();
    private final DurableStoreRunner stateRunner;
    private final DurableStoreRunner poolRunner;
    private final StateServer stateServer;
    private final ApiFrontEnd frontEnd;
    private final ControllerServer controller;
    private final List<Thread> threads = new ArrayList<>();
    private final CountDownLatch anyThreadEnded = new CountDownLatch(1);
    private volatile boolean closeRequested;
    private volatile boolean failed;

    /**
     * Reads everything kept; nothing is served yet.
     *
     * @throws birchusher.wal.Damaged if something durable can't be read
     * @throws IOException also if another daemon holds the directory
     */
    public Daemon(DaemonSettings d) throws IOException {
        stateRunner = openStore(stateLoop, stateDir(d.dataDir()), d, d.limits());
        try {
            poolRunner = openStore(frontEndLoop, poolDir(d.dataDir()), d, POOL_STORE_LIMITS);
        } catch (IOException | RuntimeException e) {
            closeQuietly(stateRunner);
            throw e;
        }
        stateServer = new StateServer(
                stateLoop,
                d.settings().stateAddress().host(),
                d.settings().stateAddress().port(),
                1_000,
                stateRunner);
        frontEnd = new ApiFrontEnd(frontEndLoop, d, poolRunner);
        controller = new ControllerServer(d.settings(), d.tuning());
    }

    /** The two directories that a repair may be asked for. */
    public static Path stateDir(Path data) {
        return data.resolve("state");
    }

    public static Path poolDir(Path data) {
        return data.resolve("pool");
    }

    private static DurableStoreRunner openStore(EventLoop loop, Path dir, DaemonSettings d, Limits limits)
            throws IOException {
        LockedDirectory disk = new LockedDirectory(dir);
        try {
            return new DurableStoreRunner(
                    loop,
                    DurableStore.open(
                            disk, WriteAheadLog.Options.DEFAULT, d.snapshotBytes(), limits, EventLoop.nowMs()));
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
        startThread("state", () -> stateLoop.run(late -> stateServer.tick()));
        frontEnd.open();
        startThread("front", () -> frontEndLoop.run(frontEnd::tick));
        startThread("controller", controller::run);
    }

    private void startThread(String name, ThreadBody body) {
        Thread t = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (Exception e) {
                        LOG.error("{} ends", name, e);
                    } finally {
                        failed |= !closeRequested;
                        anyThreadEnded.countDown();
                    }
                },
                name);
        threads.add(t);
        t.start();
    }

    /** Waits until a part has ended; false if it was not asked to. */
    public boolean await() throws InterruptedException {
        anyThreadEnded.await();
        return !failed;
    }

    /** Ends in order: first whoever takes requests, then what they rest on. Returns when everything is on disk and closed. */
    @Override
    public void close() throws IOException {
        try {
            closeRequested = true;
            frontEndLoop.stop();
            controller.stop();
            joinThread("front");
            joinThread("controller");
            stateLoop.stop();
            joinThread("state");
            frontEnd.close();
            stateServer.close();
            poolRunner.close();
            stateRunner.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void joinThread(String name) throws InterruptedException {
        for (Thread t : threads) {
            if (t.getName().equals(name)) {
                t.join();
            }
        }
    }
}
