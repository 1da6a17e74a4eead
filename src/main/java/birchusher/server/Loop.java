package birchusher.server;

import birchusher.controller.Core;
import birchusher.core.Effect;
import birchusher.http.EventLoop;
import birchusher.http.HttpClient;
import birchusher.http.HttpServer;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.wire.Pack;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that runs the core and owns all I/O state; completions of channels only post to it. */
public final class Loop {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    private static final int MAX_BODY = 64 * 1024;

    private final EventLoop events = new EventLoop();
    private final Core core;
    private final HttpServer server;
    private final HttpClient client;
    private final MeshLinks mesh;
    /** Nanoseconds in requests, replies, peers' records and ticks; with how late ticks come, what an operator sizes by. */
    private final long[] spent = new long[4];

    private long latest;
    private long nextLine;

    public Loop(Settings s, Tuning t) throws IOException {
        core = new Core(s, t, EventLoop.now(), System.currentTimeMillis());
        // Some sockets are kept for our own calls and for the other controllers.
        server = new HttpServer(
                events,
                s.listen().host(),
                s.listen().port(),
                Math.max(8, s.maxConnections() - ownCalls(s) - 50),
                MAX_BODY,
                this::request);
        client = new HttpClient(events, ownCalls(s));
        mesh = new MeshLinks(this, events, s);
    }

    /** Sockets for our own calls: the state service, the cloud and, most of them, commands to workers. */
    static int ownCalls(Settings s) {
        return Math.max(16, s.maxConnections() / 4);
    }

    private void request(long exchange, String method, String target, byte[] body) {
        long from = System.nanoTime();
        act(core.handleRequest(EventLoop.now(), System.currentTimeMillis(), exchange, method, target, body));
        spent[0] += System.nanoTime() - from;
    }

    private void reply(long id, int status, byte[] body) {
        long from = System.nanoTime();
        act(core.handleReply(EventLoop.now(), System.currentTimeMillis(), id, status, body));
        spent[1] += System.nanoTime() - from;
    }

    void peer(byte[] record) {
        long from = System.nanoTime();
        act(core.handlePeerRecord(EventLoop.now(), System.currentTimeMillis(), record));
        spent[2] += System.nanoTime() - from;
    }

    private void tick(long late) {
        latest = Math.max(latest, late);
        long from = System.nanoTime();
        act(core.tick(EventLoop.now(), System.currentTimeMillis()));
        server.tick();
        client.tick();
        mesh.tick();
        spent[3] += System.nanoTime() - from;
        if (EventLoop.now() >= nextLine) {
            nextLine = EventLoop.now() + 30_000;
            LOG.info(
                    "time spent in ms: requests={} replies={} peers={} ticks={}, latest tick {} ms late",
                    spent[0] / 1_000_000,
                    spent[1] / 1_000_000,
                    spent[2] / 1_000_000,
                    spent[3] / 1_000_000,
                    latest);
            latest = 0;
        }
    }

    private void act(List<Effect> effects) {
        for (Effect e : effects) {
            if (e instanceof Effect.Answer a) {
                server.answer(a.exchange(), a.status(), Pack.encode(a.body()), a.retryAfterS());
            } else if (e instanceof Effect.Call c) {
                client.call(
                        c.address(),
                        c.method(),
                        c.path(),
                        c.body() == null ? HttpClient.NOTHING : Pack.encode(c.body()),
                        c.timeoutMs(),
                        (status, body) -> reply(c.id(), status, body));
            } else if (e instanceof Effect.Send s) {
                mesh.send(s.peer(), s.record());
            }
        }
    }

    public void stop() {
        events.stop();
    }

    public void run() throws IOException, InterruptedException {
        mesh.open();
        server.open();
        events.run(this::tick);
        server.close();
        mesh.close();
    }
}
