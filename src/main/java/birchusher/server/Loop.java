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

    public Loop(Settings s, Tuning t) throws IOException {
        AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(1, r -> {
            Thread th = new Thread(r, "io");
            th.setDaemon(true);
            return th;
        });
        core = new Core(s, t, now(), System.currentTimeMillis());
        server = new HttpServer(this, group, s);
        client = new HttpClient(this, group);
        mesh = new MeshLinks(this, group, s);
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void post(Runnable r) {
        queue.add(r);
    }

    void request(long exchange, String method, String target, byte[] body) {
        act(core.request(now(), System.currentTimeMillis(), exchange, method, target, body));
    }

    void reply(long id, int status, byte[] body) {
        act(core.reply(now(), System.currentTimeMillis(), id, status, body));
    }

    void peer(byte[] record) {
        act(core.peer(now(), System.currentTimeMillis(), record));
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
                nextTick = now() + TICK_MS;
                guarded(() -> {
                    act(core.tick(now(), System.currentTimeMillis()));
                    server.tick();
                    client.tick();
                    mesh.tick();
                });
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
