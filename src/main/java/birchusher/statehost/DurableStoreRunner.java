package birchusher.statehost;

import birchusher.http.EventLoop;
import birchusher.kv.Engine.Answer;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.State;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a {@link DurableStore} on an event loop. One further thread syncs the log, another one writes snapshots. Requests that
 * arrive during a sync are collected for the next one, so under load more requests share a sync.
 *
 * <p>Threads: all methods must be called on the loop's thread, except {@link #close}, which must be called after the loop has
 * ended.
 */
public final class DurableStoreRunner {
    private static final Logger LOG = LoggerFactory.getLogger(DurableStoreRunner.class);
    private static final long CLOSE_TIMEOUT_S = 30;

    private final EventLoop loop;
    private final DurableStore store;
    private final ExecutorService syncExecutor = newSingleThreadExecutor("sync");
    private final ExecutorService snapshotExecutor = newSingleThreadExecutor("snapshot");
    private final Map<Long, Consumer<Reply>> pendingReplies = new HashMap<>();
    private long nextRequestId = 1;
    private boolean wasReadOnly;

    public DurableStoreRunner(EventLoop loop, DurableStore store) {
        this.loop = loop;
        this.store = store;
        store.recoveryNotes().forEach(note -> LOG.info("recovery of the state log: {}", note));
    }

    private static ExecutorService newSingleThreadExecutor(String name) {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Handles one request. Exactly one reply is passed to the consumer, during this call or later, on the loop's thread. */
    public void submit(Request request, Consumer<Reply> consumer) {
        long requestId = nextRequestId++;
        pendingReplies.put(requestId, consumer);
        deliver(store.handle(EventLoop.nowMs(), requestId, request));
        startNextBatch();
    }

    /** Whether changes are refused because the last write failed. */
    public boolean readOnly() {
        return store.readOnly();
    }

    /** The state after the last durable entry; immutable. */
    public State durableState() {
        return store.durableState();
    }

    /** Expires leases and watches, and starts a snapshot if one is due. */
    public void tick() {
        deliver(store.tick(EventLoop.nowMs()));
        startNextBatch();
        DurableStore.PendingSnapshot snapshot = store.takeDueSnapshot(EventLoop.nowMs());
        if (snapshot != null) {
            snapshotExecutor.execute(() -> writeSnapshot(snapshot));
        }
        if (wasReadOnly != store.readOnly()) {
            wasReadOnly = store.readOnly();
            LOG.error(
                    wasReadOnly
                            ? "writing the state log failed: changes are refused"
                            : "state log is writable again: changes are accepted");
        }
    }

    private void writeSnapshot(DurableStore.PendingSnapshot snapshot) {
        boolean written = false;
        try {
            snapshot.write();
            written = true;
        } catch (IOException | RuntimeException e) {
            LOG.error("writing the state snapshot failed: {}", e.toString());
        }
        boolean ok = written;
        loop.post(() -> {
            store.onSnapshotWritten(EventLoop.nowMs(), snapshot, ok);
            startNextBatch();
        });
    }

    /** Passes the next batch to the sync thread, unless a batch is being written. */
    private void startNextBatch() {
        DurableStore.Batch batch = store.takeBatch();
        if (batch != null) {
            syncExecutor.execute(() -> writeBatch(batch));
        }
    }

    private void writeBatch(DurableStore.Batch batch) {
        try {
            batch.write();
        } catch (RuntimeException | Error e) {
            // The engine and the log may differ, so no further answer may be released.
            LOG.error("unexpected failure while writing the state log; stopping", e);
            loop.stop();
            return;
        }
        loop.post(() -> {
            if (batch.failureMessage() != null) {
                LOG.error("state log: {}", batch.failureMessage());
            }
            deliver(store.onBatchWritten(EventLoop.nowMs(), batch));
            startNextBatch();
        });
    }

    private void deliver(List<Answer> answers) {
        for (Answer answer : answers) {
            Consumer<Reply> consumer = pendingReplies.remove(answer.requestId());
            if (consumer != null) {
                consumer.accept(answer.reply());
            }
        }
    }

    /**
     * Waits for the current sync and snapshot to end, then releases the directory. Requests without a reply may have taken
     * effect or not.
     *
     * @throws IOException also if the disk does not respond within {@value #CLOSE_TIMEOUT_S} s
     */
    public void close() throws IOException, InterruptedException {
        syncExecutor.shutdown();
        snapshotExecutor.shutdown();
        if (!syncExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)
                || !snapshotExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IOException("the disk did not respond within " + CLOSE_TIMEOUT_S + " s");
        }
        store.close();
    }
}
