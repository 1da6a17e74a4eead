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

/**
 * Runs a controller: one thread executes the {@link Core} and owns all I/O state, and channel completions only post to
 * it. The core does no I/O; this class feeds it requests, replies, peer records and ticks, and performs the effects
 * that it returns.
 */
public final class ControllerServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Sockets reserved for connections with other controllers. */
    private static final int PEER_SOCKETS = 50;

    private static final int MIN_SERVER_CONNECTIONS = 8;
    private static final int MIN_OUTBOUND_CONNECTIONS = 16;
    private static final long LOG_INTERVAL_MS = 30_000;
    private static final int NS_PER_MS = 1_000_000;

    private final EventLoop eventLoop = new EventLoop();
    private final Core core;
    private final HttpServer server;
    private final HttpClient client;
    private final PeerConnections peerConnections;
    /**
     * Time spent in requests, replies, peer records and ticks, in this order. Operators size a controller by these times
     * and the delay of ticks.
     */
    private final long[] spentNs = new long[4];

    /** The longest delay of a tick since the last log line of times. */
    private long maxTickDelayMs;

    private long nextLogMs;

    /** Prepares the controller; nothing is served before {@link #run}. */
    public ControllerServer(Settings settings, Tuning tuning) throws IOException {
        core = new Core(settings, tuning, EventLoop.nowMs(), System.currentTimeMillis());
        // Some of the sockets are reserved for connections with other controllers, and some for outbound calls.
        server = new HttpServer(
                eventLoop,
                settings.listenAddress().host(),
                settings.listenAddress().port(),
                Math.max(
                        MIN_SERVER_CONNECTIONS,
                        settings.maxConnections() - maxOutboundConnections(settings) - PEER_SOCKETS),
                MAX_BODY_BYTES,
                this::handleRequest);
        client = new HttpClient(eventLoop, maxOutboundConnections(settings));
        peerConnections = new PeerConnections(this, eventLoop, settings);
    }

    /**
     * Sockets for this controller's outbound calls: to the state service, to the cloud and, most of them, commands to
     * workers.
     */
    static int maxOutboundConnections(Settings settings) {
        return Math.max(MIN_OUTBOUND_CONNECTIONS, settings.maxConnections() / 4);
    }

    private void handleRequest(long exchange, String method, String target, byte[] body) {
        long startNs = System.nanoTime();
        perform(core.handleRequest(EventLoop.nowMs(), System.currentTimeMillis(), exchange, method, target, body));
        spentNs[0] += System.nanoTime() - startNs;
    }

    private void handleReply(long id, int status, byte[] body) {
        long startNs = System.nanoTime();
        perform(core.handleReply(EventLoop.nowMs(), System.currentTimeMillis(), id, status, body));
        spentNs[1] += System.nanoTime() - startNs;
    }

    /** Processes a record received from another controller. */
    void handlePeerRecord(byte[] record) {
        long startNs = System.nanoTime();
        perform(core.handlePeerRecord(EventLoop.nowMs(), System.currentTimeMillis(), record));
        spentNs[2] += System.nanoTime() - startNs;
    }

    private void tick(long lateMs) {
        maxTickDelayMs = Math.max(maxTickDelayMs, lateMs);
        long startNs = System.nanoTime();
        perform(core.tick(EventLoop.nowMs(), System.currentTimeMillis()));
        server.tick();
        client.tick();
        peerConnections.tick();
        spentNs[3] += System.nanoTime() - startNs;
        if (EventLoop.nowMs() >= nextLogMs) {
            nextLogMs = EventLoop.nowMs() + LOG_INTERVAL_MS;
            LOG.info(
                    "time spent in ms: requests={} replies={} peers={} ticks={}, latest tick {} ms late",
                    spentNs[0] / NS_PER_MS,
                    spentNs[1] / NS_PER_MS,
                    spentNs[2] / NS_PER_MS,
                    spentNs[3] / NS_PER_MS,
                    maxTickDelayMs);
            maxTickDelayMs = 0;
        }
    }

    private void perform(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Answer answer) {
                server.answer(
                        answer.exchange(),
                        answer.status(),
                        MessagePackCodec.encode(answer.body()),
                        answer.retryAfterS());
            } else if (effect instanceof Effect.Call call) {
                client.call(
                        call.address(),
                        call.method(),
                        call.path(),
                        call.body() == null ? HttpClient.EMPTY_BODY : MessagePackCodec.encode(call.body()),
                        call.timeoutMs(),
                        (status, body) -> handleReply(call.id(), status, body));
            } else if (effect instanceof Effect.Send send) {
                peerConnections.send(send.peer(), send.record());
            }
        }
    }

    /** Lets {@link #run} end. May be called from any thread. */
    public void stop() {
        eventLoop.stop();
    }

    /** Opens the sockets, serves in the calling thread until {@link #stop}, and closes the sockets. */
    public void run() throws IOException, InterruptedException {
        peerConnections.open();
        server.open();
        eventLoop.run(this::tick);
        server.close();
        peerConnections.close();
    }
}
