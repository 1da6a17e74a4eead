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
 * Drives a {@link Keeper} from an event loop's thread: one thread beside it syncs the log, another writes snapshots. While a
 * sync is under way, requests gather for the next one, so the more come, the more share a sync.
 *
 * <p>All methods are for the loop's thread, but {@link #close}, which is for after the loop has ended.
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

    public DurableStoreRunner(EventLoop loop, DurableStore keeper) {
        this.loop = loop;
        this.store = keeper;
        keeper.recoveryNotes().forEach(n -> LOG.info("found at the start: {}", n));
    }

    private static ExecutorService newSingleThreadExecutor(String name) {
        return Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        });
    }

    /** Exactly one reply comes, now or later, on the loop's thread. */
    public void submit(Request r, Consumer<Reply> reply) {
        long ticket = nextRequestId++;
        pendingReplies.put(ticket, reply);
        deliver(store.handle(EventLoop.nowMs(), ticket, r));
        startNextBatch();
    }

    /** Whether changes can't be made durable at present. */
    public boolean readOnly() {
        return store.readOnly();
    }

    /** Everything durable; never changes. */
    public State durableState() {
        return store.durableState();
    }

    public void tick() {
        deliver(store.tick(EventLoop.nowMs()));
        startNextBatch();
        DurableStore.PendingSnapshot p = store.takeDueSnapshot(EventLoop.nowMs());
        if (p != null) {
            snapshotExecutor.execute(() -> writeSnapshot(p));
        }
        if (wasReadOnly != store.readOnly()) {
            wasReadOnly = store.readOnly();
            LOG.error(wasReadOnly ? "changes are refused: the log can't be written" : "the log can be written again");
        }
    }

    private void writeSnapshot(DurableStore.PendingSnapshot p) {
        boolean written = false;
        try {
            p.write();
            written = true;
        } catch (IOException | RuntimeException e) {
            LOG.error("no snapshot: {}", e.toString());
        }
        boolean ok = written;
        loop.post(() -> {
            store.onSnapshotWritten(EventLoop.nowMs(), p, ok);
            startNextBatch();
        });
    }

    /** Hands the next batch to the syncing thread, unless it has one. */
    private void startNextBatch() {
        DurableStore.Batch b = store.takeBatch();
        if (b != null) {
            syncExecutor.execute(() -> writeBatch(b));
        }
    }

    private void writeBatch(DurableStore.Batch b) {
        try {
            b.write();
        } catch (RuntimeException | Error e) {
            // Engine and log no longer agree: nothing that is not durable may be answered any more.
            LOG.error("the log failed in a way it must not; stopping", e);
            loop.stop();
            return;
        }
        loop.post(() -> {
            if (b.failureMessage() != null) {
                LOG.error("log: {}", b.failureMessage());
            }
            deliver(store.onBatchWritten(EventLoop.nowMs(), b));
            startNextBatch();
        });
    }

    private void deliver(List<Answer> answers) {
        for (Answer a : answers) {
            Consumer<Reply> to = pendingReplies.remove(a.requestId());
            if (to != null) {
                to.accept(a.reply());
            }
        }
    }

    /** After the loop has ended: lets the sync under way end, and gives the directory free. What was not answered may count or not. */
    public void close() throws IOException, InterruptedException {
        syncExecutor.shutdown();
        snapshotExecutor.shutdown();
        if (!syncExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)
                || !snapshotExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IOException("the disk has not answered for " + CLOSE_TIMEOUT_S + " s");
        }
        store.close();
    }
}
