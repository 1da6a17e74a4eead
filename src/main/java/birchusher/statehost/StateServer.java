package birchusher.statehost;

import birchusher.core.Fields.InvalidInputException;
import birchusher.http.EventLoop;
import birchusher.http.HttpServer;
import birchusher.kv.Request;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.io.IOException;
import java.util.Map;

/** Serves a {@link Host} on the published protocol of the state service, and {@code GET /ready}. */
public final class StateServer {
    /** A body within the protocol's 64 KiB, counted as JSON, may be larger as MessagePack: "1.0" has nine bytes there. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    private final DurableStoreRunner store;
    private final HttpServer server;

    public StateServer(EventLoop loop, String address, int port, int maxConnections, DurableStoreRunner host) {
        this.store = host;
        this.server = new HttpServer(loop, address, port, maxConnections, MAX_BODY_BYTES, this::handleRequest);
    }

    public void open() throws IOException {
        server.open();
    }

    public void close() throws IOException {
        server.close();
    }

    public void tick() {
        store.tick();
        server.tick();
    }

    private void handleRequest(long exchange, String method, String target, byte[] body) {
        if (target.equals(Wire.READY)) {
            answer(
                    exchange,
                    store.readOnly()
                            ? ProtocolCodec.errorResponse(503, "the log can't be written", 1)
                            : new ProtocolCodec.HttpResponse(200, Map.of(), 0));
            return;
        }
        try {
            Request r = ProtocolCodec.parseRequest(method, target, body);
            store.submit(r, reply -> answer(exchange, ProtocolCodec.encodeReply(r, reply)));
        } catch (InvalidInputException e) {
            answer(exchange, ProtocolCodec.errorResponse(400, e.getMessage(), 0));
        } catch (ProtocolCodec.HttpStatusException e) {
            answer(exchange, ProtocolCodec.errorResponse(e.status, e.getMessage(), 0));
        }
    }

    private void answer(long exchange, ProtocolCodec.HttpResponse out) {
        if (out.status() == 0) {
            server.abort(exchange);
        } else {
            server.answer(exchange, out.status(), MessagePackCodec.encode(out.body()), out.retryAfterS());
        }
    }
}
