package birchusher.statehost;

import birchusher.core.Fields.InvalidInputException;
import birchusher.http.EventLoop;
import birchusher.http.HttpServer;
import birchusher.kv.Request;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.io.IOException;
import java.util.Map;

/** Serves a {@link DurableStoreRunner} over the published HTTP protocol of the state service, and {@code GET /ready}. */
public final class StateServer {
    /** The protocol's limit of 64 KiB counts JSON; MessagePack may be larger: "1.0" takes nine bytes there. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    private static final int READY_RETRY_AFTER_S = 1;
    private final DurableStoreRunner store;
    private final HttpServer server;

    public StateServer(EventLoop loop, String address, int port, int maxConnections, DurableStoreRunner store) {
        this.store = store;
        this.server = new HttpServer(loop, address, port, maxConnections, MAX_BODY_BYTES, this::handleRequest);
    }

    /** Starts listening. */
    public void open() throws IOException {
        server.open();
    }

    /** Stops listening and closes all connections; the store is not closed. */
    public void close() throws IOException {
        server.close();
    }

    /** Expires leases and watches, and checks the connections' time limits; to be called periodically. */
    public void tick() {
        store.tick();
        server.tick();
    }

    private void handleRequest(long exchange, String method, String target, byte[] body) {
        if (target.equals(Wire.READY)) {
            answer(
                    exchange,
                    store.readOnly()
                            ? ProtocolCodec.errorResponse(503, "the state log can't be written", READY_RETRY_AFTER_S)
                            : new ProtocolCodec.HttpResponse(200, Map.of(), 0));
            return;
        }
        try {
            Request request = ProtocolCodec.parseRequest(method, target, body);
            store.submit(request, reply -> answer(exchange, ProtocolCodec.encodeReply(request, reply)));
        } catch (InvalidInputException e) {
            answer(exchange, ProtocolCodec.errorResponse(400, e.getMessage(), 0));
        } catch (ProtocolCodec.HttpStatusException e) {
            answer(exchange, ProtocolCodec.errorResponse(e.status, e.getMessage(), 0));
        }
    }

    private void answer(long exchange, ProtocolCodec.HttpResponse response) {
        if (response.status() == 0) {
            server.abort(exchange);
        } else {
            server.answer(
                    exchange, response.status(), MessagePackCodec.encode(response.body()), response.retryAfterS());
        }
    }
}
