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
public final class Host {
    private static final Logger LOG = LoggerFactory.getLogger(Host.class);
    private static final long CLOSE_S = 30;

    private final EventLoop loop;
    private final Keeper keeper;
    private final ExecutorService syncs = thread("sync");
    private final ExecutorService snapshots = thread("snapshot");
    private final Map<Long, Consumer<Reply>> waiting = new HashMap<>();
    private long nextTicket = 1;
    private boolean wasStalled;

    public Host(EventLoop loop, Keeper keeper) {
        this.loop = loop;
        this.keeper = keeper;
        keeper.notes().forEach(n -> LOG.info("found at the start: {}", n));
    }

    private static ExecutorService thread(String name) {
        return Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        });
    }

    /** Exactly one reply comes, now or later, on the loop's thread. */
    public void ask(Request r, Consumer<Reply> reply) {
        long ticket = nextTicket++;
        waiting.put(ticket, reply);
        give(keeper.handle(EventLoop.now(), ticket, r));
        kick();
    }

    /** Whether changes can't be made durable at present. */
    public boolean stalled() {
        return keeper.stalled();
    }

    /** Everything durable; never changes. */
    public State state() {
        return keeper.state();
    }

    public void tick() {
        give(keeper.tick(EventLoop.now()));
        kick();
        Keeper.MachineStatus p = keeper.picture(EventLoop.now());
        if (p != null) {
            snapshots.execute(() -> picture(p));
        }
        if (wasStalled != keeper.stalled()) {
            wasStalled = keeper.stalled();
            LOG.error(wasStalled ? "changes are refused: the log can't be written" : "the log can be written again");
        }
    }

    private void picture(Keeper.MachineStatus p) {
        boolean written = false;
        try {
            p.write();
            written = true;
        } catch (IOException | RuntimeException e) {
            LOG.error("no snapshot: {}", e.toString());
        }
        boolean ok = written;
        loop.post(() -> {
            keeper.pictured(EventLoop.now(), p, ok);
            kick();
        });
    }

    /** Hands the next batch to the syncing thread, unless it has one. */
    private void kick() {
        Keeper.Batch b = keeper.take();
        if (b != null) {
            syncs.execute(() -> write(b));
        }
    }

    private void write(Keeper.Batch b) {
        try {
            b.write();
        } catch (RuntimeException | Error e) {
            // Engine and log no longer agree: nothing that is not durable may be answered any more.
            LOG.error("the log failed in a way it must not; stopping", e);
            loop.stop();
            return;
        }
        loop.post(() -> {
            if (b.trouble() != null) {
                LOG.error("log: {}", b.trouble());
            }
            give(keeper.written(EventLoop.now(), b));
            kick();
        });
    }

    private void give(List<Answer> answers) {
        for (Answer a : answers) {
            Consumer<Reply> to = waiting.remove(a.ticket());
            if (to != null) {
                to.accept(a.reply());
            }
        }
    }

    /** After the loop has ended: lets the sync under way end, and gives the directory free. What was not answered may count or not. */
    public void close() throws IOException, InterruptedException {
        syncs.shutdown();
        snapshots.shutdown();
        if (!syncs.awaitTermination(CLOSE_S, TimeUnit.SECONDS)
                || !snapshots.awaitTermination(CLOSE_S, TimeUnit.SECONDS)) {
            throw new IOException("the disk has not answered for " + CLOSE_S + " s");
        }
        keeper.close();
    }
}
