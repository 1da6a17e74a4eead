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
 * Controller, state service and pool in one process, each with its own thread and sockets. They communicate over
 * loopback as they would over a network. All durable data is in one directory.
 */
public final class Daemon implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    /** Only the pool itself writes to its store, so its rates are practically unlimited. */
    private static final Limits POOL_STORE_LIMITS = new Limits(1e6, 1e6, 128, Limits.MAX_TRANSACTION_BYTES);

    private static final int MAX_STATE_CONNECTIONS = 1_000;

    /** The main function of one of the threads. */
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
     * Recovers all durable data; nothing is served before {@link #start}.
     *
     * @throws birchusher.wal.CorruptedDataException if durable data cannot be read
     * @throws IOException also if another process holds the directory
     */
    public Daemon(DaemonSettings daemonSettings) throws IOException {
        stateRunner = openStore(stateLoop, stateDir(daemonSettings.dataDir()), daemonSettings, daemonSettings.limits());
        try {
            poolRunner = openStore(frontEndLoop, poolDir(daemonSettings.dataDir()), daemonSettings, POOL_STORE_LIMITS);
        } catch (IOException | RuntimeException e) {
            closeQuietly(stateRunner);
            throw e;
        }
        stateServer = new StateServer(
                stateLoop,
                daemonSettings.controllerSettings().stateAddress().host(),
                daemonSettings.controllerSettings().stateAddress().port(),
                MAX_STATE_CONNECTIONS,
                stateRunner);
        frontEnd = new ApiFrontEnd(frontEndLoop, daemonSettings, poolRunner);
        controller = new ControllerServer(daemonSettings.controllerSettings(), daemonSettings.tuning());
    }

    /** The data directory of the state service; it can be repaired on its own. */
    public static Path stateDir(Path dataDir) {
        return dataDir.resolve("state");
    }

    /** The data directory of the pool; it can be repaired on its own. */
    public static Path poolDir(Path dataDir) {
        return dataDir.resolve("pool");
    }

    private static DurableStoreRunner openStore(EventLoop loop, Path dir, DaemonSettings daemonSettings, Limits limits)
            throws IOException {
        LockedDirectory directory = new LockedDirectory(dir);
        try {
            return new DurableStoreRunner(
                    loop,
                    DurableStore.open(
                            directory,
                            WriteAheadLog.Options.DEFAULT,
                            daemonSettings.snapshotIntervalBytes(),
                            limits,
                            EventLoop.nowMs()));
        } catch (IOException | RuntimeException e) {
            directory.close();
            throw e;
        }
    }

    private static void closeQuietly(DurableStoreRunner runner) {
        try {
            runner.close();
        } catch (IOException e) {
            LOG.debug("closing the store failed: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Opens the sockets and starts the threads, which serve until {@link #close} or until one of them fails. */
    public void start() throws IOException {
        stateServer.open();
        startThread("state", () -> stateLoop.run(late -> stateServer.tick()));
        frontEnd.open();
        startThread("front", () -> frontEndLoop.run(frontEnd::tick));
        startThread("controller", controller::run);
    }

    private void startThread(String name, ThreadBody body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (Exception e) {
                        LOG.error("thread {} ended with an error", name, e);
                    } finally {
                        failed |= !closeRequested;
                        anyThreadEnded.countDown();
                    }
                },
                name);
        threads.add(thread);
        thread.start();
    }

    /** Waits until a thread has ended. Returns false if one ended before {@link #close} was called. */
    public boolean await() throws InterruptedException {
        anyThreadEnded.await();
        return !failed;
    }

    /**
     * Stops the API front end and the controller first, then the state service that they depend on. Returns when
     * everything is on disk and closed.
     */
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
        for (Thread thread : threads) {
            if (thread.getName().equals(name)) {
                thread.join();
            }
        }
    }
}
