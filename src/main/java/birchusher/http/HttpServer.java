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
    private static final long IDLE_MS = 60_000;
    private static final long SLOW_MS = 10_000;
    private static final long DRAIN_MS = 2_000;

    /** Takes requests; each gets one {@link #answer} or {@link #drop}, now or later. */
    public interface Service {
        void request(long exchange, String method, String target, byte[] body);
    }

    private final EventLoop loop;
    private final String host;
    private final int port;
    private final int maxConnections;
    private final int maxBody;
    private final Service service;
    private final Map<Long, Connection> exchanges = new HashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private AsynchronousServerSocketChannel listener;
    private long nextExchange = 1;
    private long nextSweep;

    public HttpServer(EventLoop loop, String host, int port, int maxConnections, int maxBody, Service service) {
        this.loop = loop;
        this.host = host;
        this.port = port;
        this.maxConnections = maxConnections;
        this.maxBody = maxBody;
        this.service = service;
    }

    public void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(loop.group());
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(host, port), 256);
        LOG.info("serving on {}:{}", host, port);
        new Acceptor(loop, listener, this::accepted).accept();
    }

    public void close() throws IOException {
        listener.close();
        for (Connection c : Set.copyOf(connections)) {
            c.close();
        }
    }

    private void accepted(AsynchronousSocketChannel ch) {
        if (connections.size() >= maxConnections) {
            Acceptor.close(ch);
        } else {
            new Connection(ch).read();
        }
    }

    /** {@code retryAfterS} 0: no such header. An exchange whose connection has ended is passed over. */
    public void answer(long exchange, int status, byte[] body, int retryAfterS) {
        Connection c = exchanges.remove(exchange);
        if (c != null) {
            c.respond(status, body, retryAfterS, false);
        }
    }

    /** Ends the connection without an answer, where neither "done" nor "not done" may be told. */
    public void drop(long exchange) {
        Connection c = exchanges.remove(exchange);
        if (c != null) {
            c.close();
        }
    }

    public void tick() {
        long now = EventLoop.now();
        if (now < nextSweep) {
            return;
        }
        nextSweep = now + 1_000;
        for (Connection c : Set.copyOf(connections)) {
            if (c.draining && now - c.activeAt > DRAIN_MS
                    || c.exchange == 0 && now - c.activeAt > (c.parser.within() ? SLOW_MS : IDLE_MS)
                    || now - c.activeAt > IDLE_MS * 2) {
                c.close();
            }
        }
    }

    private final class Connection {
        private final AsynchronousSocketChannel channel;
        private final HttpParser parser = new HttpParser(true, maxBody);
        private final ByteBuffer in = ByteBuffer.allocate(4 * 1024);
        private long exchange;
        private boolean closeAfter;
        private boolean draining;
        private long activeAt = EventLoop.now();

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
            in.clear();
            channel.read(in, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer n, Void a) {
                    loop.post(() -> got(n));
                }

                @Override
                public void failed(Throwable e, Void a) {
                    loop.post(() -> close());
                }
            });
        }

        private void got(int n) {
            if (n < 0) {
                close();
                return;
            }
            if (draining) {
                read();
                return;
            }
            if (!parser.within()) {
                activeAt = EventLoop.now();
            }
            in.flip();
            parse();
        }

        private void parse() {
            try {
                HttpParser.Message m = parser.feed(in);
                if (m == null) {
                    read();
                    return;
                }
                activeAt = EventLoop.now();
                closeAfter = m.close();
                exchange = nextExchange++;
                exchanges.put(exchange, this);
                service.request(exchange, m.first(), m.second(), m.body());
            } catch (HttpParser.Malformed e) {
                draining = true;
                activeAt = EventLoop.now();
                respond(e.status, new byte[] {(byte) 0x80}, 0, true);
            }
        }

        void respond(int status, byte[] body, int retryAfterS, boolean close) {
            exchange = 0;
            boolean last = close || closeAfter;
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
                            } else if (in.hasRemaining()) {
                                parse();
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
                exchanges.remove(exchange);
                Acceptor.close(channel);
            }
        }
    }
}
