package birchusher.server;

import birchusher.controller.Core;
import birchusher.core.Effect;
import birchusher.http.EventLoop;
import birchusher.http.HttpClient;
import birchusher.http.HttpServer;
import birchusher.settings.Settings;
import birchusher.settings.Tuning;
import birchusher.wire.MessagePackCodec;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that runs the core and owns all I/O state; completions of channels only post to it. */
public final class ControllerServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final EventLoop eventLoop = new EventLoop();
    private final Core core;
    private final HttpServer server;
    private final HttpClient client;
    private final PeerConnections peerConnections;
    /** Nanoseconds in requests, replies, peers' records and ticks; with how late ticks come, what an operator sizes by. */
    private final long[] spentNs = new long[4];

    private long maxTickDelayMs;
    private long nextLogMs;

    public ControllerServer(Settings s, Tuning t) throws IOException {
        core = new Core(s, t, EventLoop.nowMs(), System.currentTimeMillis());
        // Some sockets are kept for our own calls and for the other controllers.
        server = new HttpServer(
                eventLoop,
                s.listenAddress().host(),
                s.listenAddress().port(),
                Math.max(8, s.maxConnections() - maxOutboundConnections(s) - 50),
                MAX_BODY_BYTES,
                this::handleRequest);
        client = new HttpClient(eventLoop, maxOutboundConnections(s));
        peerConnections = new PeerConnections(this, eventLoop, s);
    }

    /** Sockets for our own calls: the state service, the cloud and, most of them, commands to workers. */
    static int maxOutboundConnections(Settings s) {
        return Math.max(16, s.maxConnections() / 4);
    }

    private void handleRequest(long exchange, String method, String target, byte[] body) {
        long from = System.nanoTime();
        perform(core.handleRequest(EventLoop.nowMs(), System.currentTimeMillis(), exchange, method, target, body));
        spentNs[0] += System.nanoTime() - from;
    }

    private void handleReply(long id, int status, byte[] body) {
        long from = System.nanoTime();
        perform(core.handleReply(EventLoop.nowMs(), System.currentTimeMillis(), id, status, body));
        spentNs[1] += System.nanoTime() - from;
    }

    void handlePeerRecord(byte[] record) {
        long from = System.nanoTime();
        perform(core.handlePeerRecord(EventLoop.nowMs(), System.currentTimeMillis(), record));
        spentNs[2] += System.nanoTime() - from;
    }

    private void tick(long late) {
        maxTickDelayMs = Math.max(maxTickDelayMs, late);
        long from = System.nanoTime();
        perform(core.tick(EventLoop.nowMs(), System.currentTimeMillis()));
        server.tick();
        client.tick();
        peerConnections.tick();
        spentNs[3] += System.nanoTime() - from;
        if (EventLoop.nowMs() >= nextLogMs) {
            nextLogMs = EventLoop.nowMs() + 30_000;
            LOG.info(
                    "time spent in ms: requests={} replies={} peers={} ticks={}, latest tick {} ms late",
                    spentNs[0] / 1_000_000,
                    spentNs[1] / 1_000_000,
                    spentNs[2] / 1_000_000,
                    spentNs[3] / 1_000_000,
                    maxTickDelayMs);
            maxTickDelayMs = 0;
        }
    }

    private void perform(List<Effect> effects) {
        for (Effect e : effects) {
            if (e instanceof Effect.Answer a) {
                server.answer(a.exchange(), a.status(), MessagePackCodec.encode(a.body()), a.retryAfterS());
            } else if (e instanceof Effect.Call c) {
                client.call(
                        c.address(),
                        c.method(),
                        c.path(),
                        c.body() == null ? HttpClient.EMPTY_BODY : MessagePackCodec.encode(c.body()),
                        c.timeoutMs(),
                        (status, body) -> handleReply(c.id(), status, body));
            } else if (e instanceof Effect.Send s) {
                peerConnections.send(s.peer(), s.record());
            }
        }
    }

    public void stop() {
        eventLoop.stop();
    }

    public void run() throws IOException, InterruptedException {
        peerConnections.open();
        server.open();
        eventLoop.run(this::tick);
        server.close();
        peerConnections.close();
    }
}
