package birchusher.server;

import birchusher.core.Effect;
import birchusher.http.HttpParser;
import birchusher.http.HttpWriter;
import birchusher.settings.Settings;
import birchusher.wire.Pack;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves users, workers and health checks. Connections, bodies and waiting times are bounded. */
final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final int MAX_BODY = 64 * 1024;
    private static final long IDLE_MS = 60_000;
    private static final long SLOW_MS = 10_000;
    private static final long DRAIN_MS = 2_000;

    private final Loop loop;
    private final AsynchronousChannelGroup group;
    private final Settings settings;
    private final int maxConnections;
    private final Map<Long, Connection> exchanges = new HashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private AsynchronousServerSocketChannel listener;
    private long nextExchange = 1;
    private long nextSweep;

    HttpServer(Loop loop, AsynchronousChannelGroup group, Settings s) {
        this.loop = loop;
        this.group = group;
        this.settings = s;
        // Some sockets are kept for our own calls and for the other controllers.
        this.maxConnections = Math.max(8, s.maxConnections() - Loop.ownCalls(s) - 50);
    }

    void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(group);
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(settings.listen().host(), settings.listen().port()), 256);
        LOG.info("serving on {}", settings.listen());
        new Acceptor(loop, listener, this::accepted).accept();
    }

    void close() throws IOException {
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

    void answer(Effect.Answer a) {
        Connection c = exchanges.remove(a.exchange());
        if (c != null) {
            c.respond(a.status(), Pack.encode(a.body()), a.retryAfterS(), false);
        }
    }

    void tick() {
        long now = Loop.now();
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
        private final HttpParser parser = new HttpParser(true, MAX_BODY);
        private final ByteBuffer in = ByteBuffer.allocate(4 * 1024);
        private long exchange;
        private boolean closeAfter;
        private boolean draining;
        private long activeAt = Loop.now();

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
                activeAt = Loop.now();
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
                activeAt = Loop.now();
                closeAfter = m.close();
                exchange = nextExchange++;
                exchanges.put(exchange, this);
                loop.request(exchange, m.first(), m.second(), m.body());
            } catch (HttpParser.Malformed e) {
                draining = true;
                activeAt = Loop.now();
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
