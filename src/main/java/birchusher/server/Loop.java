package birchusher.server;

import birchusher.core.Effect;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that runs the core and owns all I/O state; completions of channels only post to it. */
public final class Loop {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    private static final long TICK_MS = 50;

    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Core core;
    private final HttpServer server;
    private final HttpClient client;
    private final MeshLinks mesh;
    private volatile boolean stopped;
    /** Nanoseconds in requests, replies, peers' records and ticks; with how late ticks come, what an operator sizes by. */
    private final long[] spent = new long[4];
    private long latest;
    private long nextLine;

    public Loop(Settings s, Tuning t) throws IOException {
        AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(1, r -> {
            Thread th = new Thread(r, "io");
            th.setDaemon(true);
            return th;
        });
        core = new Core(s, t, now(), System.currentTimeMillis());
        server = new HttpServer(this, group, s);
        client = new HttpClient(this, group, ownCalls(s));
        mesh = new MeshLinks(this, group, s);
    }

    /** Sockets for our own calls: the state service, the cloud and, most of them, commands to workers. */
    static int ownCalls(Settings s) {
        return Math.max(16, s.maxConnections() / 4);
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void post(Runnable r) {
        queue.add(r);
    }

    void request(long exchange, String method, String target, byte[] body) {
        long from = System.nanoTime();
        act(core.request(now(), System.currentTimeMillis(), exchange, method, target, body));
        spent[0] += System.nanoTime() - from;
    }

    void reply(long id, int status, byte[] body) {
        long from = System.nanoTime();
        act(core.reply(now(), System.currentTimeMillis(), id, status, body));
        spent[1] += System.nanoTime() - from;
    }

    void peer(byte[] record) {
        long from = System.nanoTime();
        act(core.peer(now(), System.currentTimeMillis(), record));
        spent[2] += System.nanoTime() - from;
    }

    private void tick() {
        long from = System.nanoTime();
        act(core.tick(now(), System.currentTimeMillis()));
        server.tick();
        client.tick();
        mesh.tick();
        spent[3] += System.nanoTime() - from;
        if (now() >= nextLine) {
            nextLine = now() + 30_000;
            LOG.info("time spent in ms: requests={} replies={} peers={} ticks={}, latest tick {} ms late", spent[0] / 1_000_000,
                    spent[1] / 1_000_000, spent[2] / 1_000_000, spent[3] / 1_000_000, latest);
            latest = 0;
        }
    }

    private void act(List<Effect> effects) {
        for (Effect e : effects) {
            if (e instanceof Effect.Answer a) {
                server.answer(a);
            } else if (e instanceof Effect.Call c) {
                client.call(c);
            } else if (e instanceof Effect.Send s) {
                mesh.send(s.peer(), s.record());
            }
        }
    }

    public void stop() {
        stopped = true;
    }

    public void run() throws IOException, InterruptedException {
        mesh.open();
        server.open();
        long nextTick = now();
        while (!stopped) {
            long wait = nextTick - now();
            Runnable r = wait > 0 ? queue.poll(wait, TimeUnit.MILLISECONDS) : queue.poll();
            int n = 0;
            while (r != null) {
                guarded(r);
                r = n++ < 200 ? queue.poll() : null;
            }
            if (now() >= nextTick) {
                latest = Math.max(latest, now() - nextTick);
                nextTick = now() + TICK_MS;
                guarded(this::tick);
            }
        }
        server.close();
        mesh.close();
    }

    /** One bad input must not end the process; what it left undone is worked out again from the state. */
    private static void guarded(Runnable r) {
        try {
            r.run();
        } catch (RuntimeException e) {
            LOG.error("a step failed", e);
        }
    }
}
