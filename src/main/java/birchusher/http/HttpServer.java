package birchusher.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP/1.1 requests on one address. The number of connections, body sizes and waiting times are bounded. All
 * methods and callbacks run on the event loop's thread; the channels' completions only post to it.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    /** For connections without a request; those with an unanswered request are closed after twice this time. */
    private static final long IDLE_TIMEOUT_MS = 60_000;
    /** For an incomplete request, from its first bytes. */
    private static final long REQUEST_TIMEOUT_MS = 10_000;

    private static final long DRAIN_TIMEOUT_MS = 2_000;
    private static final long SWEEP_INTERVAL_MS = 1_000;
    /** Connections that the operating system may hold until they are accepted. */
    private static final int LISTEN_BACKLOG = 256;

    private static final int READ_BUFFER_BYTES = 4 * 1024;
    /** Bytes kept of incomplete bodies on all connections together. */
    private static final int MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024;
    /** A sender that has not completed a request for this long may have to make room for others. */
    private static final long SLOW_SENDER_MS = 500;

    /** Receives requests. Each must get exactly one {@link #answer} or {@link #abort}, at once or later. */
    public interface RequestHandler {
        /** @param exchange identifies the request towards {@link #answer} and {@link #abort}; above 0 */
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
    private long bufferedBodyBytes;

    public HttpServer(
            EventLoop loop,
            String host,
            int port,
            int maxConnections,
            int maxBodyBytes,
            RequestHandler requestHandler) {
        this.loop = loop;
        this.host = host;
        this.port = port;
        this.maxConnections = maxConnections;
        this.maxBodyBytes = maxBodyBytes;
        this.requestHandler = requestHandler;
    }

    /** Binds the address and accepts connections from then on. */
    public void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(loop.channelGroup());
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(host, port), LISTEN_BACKLOG);
        LOG.info("serving on {}:{}", host, port);
        new Acceptor(loop, listener, this::handleAccepted).accept();
    }

    /** Closes the listener and every connection, without answering pending requests. */
    public void close() throws IOException {
        listener.close();
        for (Connection connection : Set.copyOf(connections)) {
            connection.close();
        }
    }

    private void handleAccepted(AsynchronousSocketChannel channel) {
        if (connections.size() >= maxConnections) {
            long latestMs = EventLoop.nowMs() - SLOW_SENDER_MS;
            closeSlowest(connection -> connection.isSendingRequest() && connection.activeAtMs <= latestMs);
        }
        if (connections.size() >= maxConnections) {
            Acceptor.closeQuietly(channel);
        } else {
            new Connection(channel).read();
        }
    }

    /** Closes the connection of those given that has waited longest for a request to be completed. */
    private void closeSlowest(Predicate<Connection> candidate) {
        connections.stream()
                .filter(candidate)
                .min(Comparator.comparingLong(connection -> connection.activeAtMs))
                .ifPresent(Connection::close);
    }

    /**
     * Sends the response of an exchange. Does nothing if its connection has ended.
     *
     * @param retryAfterS value of the Retry-After header in seconds; 0 for no header
     */
    public void answer(long exchange, int status, byte[] body, int retryAfterS) {
        Connection connection = connectionByExchange.remove(exchange);
        if (connection != null) {
            connection.respond(status, body, retryAfterS, false);
        }
    }

    /**
     * Closes the connection without a response, for requests whose outcome is not known: neither success nor failure
     * may be claimed.
     */
    public void abort(long exchange) {
        Connection connection = connectionByExchange.remove(exchange);
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes connections that are idle, slow or not drained in time. To be called regularly; acts once a second. */
    public void tick() {
        long now = EventLoop.nowMs();
        if (now < nextSweepMs) {
            return;
        }
        nextSweepMs = now + SWEEP_INTERVAL_MS;
        for (Connection connection : Set.copyOf(connections)) {
            if (connection.draining && now - connection.activeAtMs > DRAIN_TIMEOUT_MS
                    || connection.exchange == 0
                            && now - connection.activeAtMs
                                    > (connection.parser.isWithinMessage() ? REQUEST_TIMEOUT_MS : IDLE_TIMEOUT_MS)
                    || now - connection.activeAtMs > IDLE_TIMEOUT_MS * 2) {
                connection.close();
            }
        }
    }

    /** One accepted connection. It handles one request at a time and reads on only after the response is written. */
    private final class Connection {
        private final AsynchronousSocketChannel channel;
        private final HttpParser parser = new HttpParser(true, maxBodyBytes);
        private final ByteBuffer input = ByteBuffer.allocate(READ_BUFFER_BYTES);
        /** The request being handled; 0 if there is none. */
        private long exchange;

        private boolean completedRequest;
        private boolean closeAfterResponse;
        /** Whether a malformed request is refused and the rest of the input is discarded. */
        private boolean draining;

        private long activeAtMs = EventLoop.nowMs();

        Connection(AsynchronousSocketChannel channel) {
            this.channel = channel;
            connections.add(this);
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException e) {
                LOG.debug("cannot set TCP_NODELAY: {}", e.getMessage());
            }
        }

        void read() {
            input.clear();
            channel.read(input, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer length, Void attachment) {
                    loop.post(() -> handleRead(length));
                }

                @Override
                public void failed(Throwable e, Void attachment) {
                    loop.post(() -> close());
                }
            });
        }

        private void handleRead(int length) {
            if (length < 0 || !connections.contains(this)) {
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

        /** Whether the sender has begun a request, or has connected and completed none yet. */
        boolean isSendingRequest() {
            return exchange == 0 && !draining && (!completedRequest || parser.isWithinMessage());
        }

        private void parseInput() {
            try {
                HttpParser.Message message = feedParser();
                if (message == null) {
                    readOn();
                    return;
                }
                completedRequest = true;
                activeAtMs = EventLoop.nowMs();
                closeAfterResponse = message.closesConnection();
                exchange = nextExchange++;
                connectionByExchange.put(exchange, this);
                requestHandler.handleRequest(
                        exchange, message.methodOrVersion(), message.targetOrReason(), message.body());
            } catch (HttpParser.MalformedMessageException e) {
                draining = true;
                activeAtMs = EventLoop.nowMs();
                // An empty MessagePack map.
                respond(e.status, new byte[] {(byte) 0x80}, 0, true);
            }
        }

        private HttpParser.Message feedParser() throws HttpParser.MalformedMessageException {
            int bufferedBefore = parser.bufferedBodyBytes();
            try {
                return parser.feed(input);
            } finally {
                bufferedBodyBytes += parser.bufferedBodyBytes() - bufferedBefore;
            }
        }

        /** Reads on within a request, and lets slower senders go if too much is kept of incomplete bodies. */
        private void readOn() {
            if (bufferedBodyBytes > MAX_BUFFERED_BODY_BYTES) {
                closeSlowest(connection -> connection.parser.bufferedBodyBytes() > 0);
            }
            if (!connections.contains(this)) {
                return;
            }
            if (parser.takeAwaitsContinue()) {
                write(HttpWriter.continueResponse(), this::read);
            } else {
                read();
            }
        }

        void respond(int status, byte[] body, int retryAfterS, boolean close) {
            exchange = 0;
            boolean last = close || closeAfterResponse;
            write(HttpWriter.response(status, body, retryAfterS, last), () -> continueAfterResponse(last));
        }

        private void continueAfterResponse(boolean last) {
            if (draining) {
                drain();
            } else if (last) {
                close();
            } else if (input.hasRemaining()) {
                parseInput();
            } else {
                read();
            }
        }

        private void write(ByteBuffer output, Runnable whenWritten) {
            channel.write(output, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer length, Void attachment) {
                    if (output.hasRemaining()) {
                        channel.write(output, null, this);
                    } else {
                        loop.post(whenWritten);
                    }
                }

                @Override
                public void failed(Throwable e, Void attachment) {
                    loop.post(() -> close());
                }
            });
        }

        /**
         * Closes this side and discards further input until {@link #DRAIN_TIMEOUT_MS} has passed. A socket that is
         * closed with unread input is reset, and a reset discards the response that the sender of a refused body has
         * not read yet.
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
                bufferedBodyBytes -= parser.bufferedBodyBytes();
                connectionByExchange.remove(exchange);
                Acceptor.closeQuietly(channel);
            }
        }
    }
}
