package birchusher.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves one address. Connections, bodies and waiting times are bounded. All but the channels' own work is on one thread. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final long REQUEST_TIMEOUT_MS = 10_000;
    private static final long DRAIN_TIMEOUT_MS = 2_000;

    /** Takes requests; each gets one {@link #answer} or {@link #drop}, now or later. */
    public interface RequestHandler {
        void handleRequest(long exchange, String method, String target, byte[] body);
    }

    private final EventLoop loop;
    private final String host;
    private final int port;
    private final int maxConnections;
    private final int maxBodyBytes;
    private final RequestHandler requestHandler;
    private final Map<Long, Connection> connectionByExchange = new HashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private AsynchronousServerSocketChannel listener;
    private long nextExchange = 1;
    private long nextSweepMs;

    public HttpServer(EventLoop loop, String host, int port, int maxConnections, int maxBody, RequestHandler service) {
        this.loop = loop;
        this.host = host;
        this.port = port;
        this.maxConnections = maxConnections;
        this.maxBodyBytes = maxBody;
        this.requestHandler = service;
    }

    public void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(loop.channelGroup());
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(host, port), 256);
        LOG.info("serving on {}:{}", host, port);
        new Acceptor(loop, listener, this::handleAccepted).accept();
    }

    public void close() throws IOException {
        listener.close();
        for (Connection c : Set.copyOf(connections)) {
            c.close();
        }
    }

    private void handleAccepted(AsynchronousSocketChannel ch) {
        if (connections.size() >= maxConnections) {
            Acceptor.closeQuietly(ch);
        } else {
            new Connection(ch).read();
        }
    }

    /** {@code retryAfterS} 0: no such header. An exchange whose connection has ended is passed over. */
    public void answer(long exchange, int status, byte[] body, int retryAfterS) {
        Connection c = connectionByExchange.remove(exchange);
        if (c != null) {
            c.respond(status, body, retryAfterS, false);
        }
    }

    /** Ends the connection without an answer, where neither "done" nor "not done" may be told. */
    public void abort(long exchange) {
        Connection c = connectionByExchange.remove(exchange);
        if (c != null) {
            c.close();
        }
    }

    public void tick() {
        long now = EventLoop.nowMs();
        if (now < nextSweepMs) {
            return;
        }
        nextSweepMs = now + 1_000;
        for (Connection c : Set.copyOf(connections)) {
            if (c.draining && now - c.activeAtMs > DRAIN_TIMEOUT_MS
                    || c.exchange == 0
                            && now - c.activeAtMs > (c.parser.isWithinMessage() ? REQUEST_TIMEOUT_MS : IDLE_TIMEOUT_MS)
                    || now - c.activeAtMs > IDLE_TIMEOUT_MS * 2) {
                c.close();
            }
        }
    }

    private final class Connection {
        private final AsynchronousSocketChannel channel;
        private final HttpParser parser = new HttpParser(true, maxBodyBytes);
        private final ByteBuffer input = ByteBuffer.allocate(4 * 1024);
        private long exchange;
        private boolean closeAfterResponse;
        private boolean draining;
        private long activeAtMs = EventLoop.nowMs();

        Connection(AsynchronousSocketChannel channel) {
            this.channel = channel;
            connections.add(this);
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException e) {
                LOG.debug("no TCP_NODELAY: {}", e.getMessage());
            }
        }

        void read() {
            input.clear();
            channel.read(input, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer n, Void a) {
                    loop.post(() -> handleRead(n));
                }

                @Override
                public void failed(Throwable e, Void a) {
                    loop.post(() -> close());
                }
            });
        }

        private void handleRead(int n) {
            if (n < 0) {
                close();
                return;
            }
            if (draining) {
                read();
                return;
            }
            if (!parser.isWithinMessage()) {
                activeAtMs = EventLoop.nowMs();
            }
            input.flip();
            parseInput();
        }

        private void parseInput() {
            try {
                HttpParser.Message m = parser.feed(input);
                if (m == null) {
                    read();
                    return;
                }
                activeAtMs = EventLoop.nowMs();
                closeAfterResponse = m.closesConnection();
                exchange = nextExchange++;
                connectionByExchange.put(exchange, this);
                requestHandler.handleRequest(exchange, m.methodOrVersion(), m.targetOrReason(), m.body());
            } catch (HttpParser.MalformedMessageException e) {
                draining = true;
                activeAtMs = EventLoop.nowMs();
                respond(e.status, new byte[] {(byte) 0x80}, 0, true);
            }
        }

        void respond(int status, byte[] body, int retryAfterS, boolean close) {
            exchange = 0;
            boolean last = close || closeAfterResponse;
            write(HttpWriter.response(status, body, retryAfterS, last), last);
        }

        private void write(ByteBuffer out, boolean last) {
            channel.write(out, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer n, Void a) {
                    if (out.hasRemaining()) {
                        channel.write(out, null, this);
                    } else {
                        loop.post(() -> {
                            if (draining) {
                                drain();
                            } else if (last) {
                                close();
                            } else if (input.hasRemaining()) {
                                parseInput();
                            } else {
                                read();
                            }
                        });
                    }
                }

                @Override
                public void failed(Throwable e, Void a) {
                    loop.post(() -> close());
                }
            });
        }

        /**
         * Closes our side and throws away what still comes, for a while. A socket closed with unread bytes is reset, and
         * a reset takes the answer along that the sender of a refused body has not read yet.
         */
        private void drain() {
            try {
                channel.shutdownOutput();
                read();
            } catch (IOException e) {
                close();
            }
        }

        void close() {
            if (connections.remove(this)) {
                connectionByExchange.remove(exchange);
                Acceptor.closeQuietly(channel);
            }
        }
    }
}
