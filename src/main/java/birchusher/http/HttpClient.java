package birchusher.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends HTTP/1.1 requests and reuses connections. A call without a complete response in time ends with status 0. All
 * methods and callbacks run on the event loop's thread.
 */
public final class HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final long IDLE_TIMEOUT_MS = 25_000;
    private static final int READ_BUFFER_BYTES = 8 * 1024;
    /** The body of a request or a response that has none. */
    public static final byte[] EMPTY_BODY = new byte[0];

    /** One request and the handler of its response. */
    private record Call(
            String address, String method, String path, byte[] body, int timeoutMs, ResponseHandler handler) {}

    /** Receives a complete response, or status 0 with an empty body if there is none. */
    public interface ResponseHandler {
        void handleResponse(int status, byte[] body);
    }

    private final EventLoop loop;
    /** Idle connections by address; the last one was used most recently. */
    private final Map<String, Deque<Connection>> idleByAddress = new HashMap<>();

    private final List<Connection> busyConnections = new ArrayList<>();
    /** All idle connections, those idle for longest first. */
    private final LinkedHashSet<Connection> idleByAge = new LinkedHashSet<>();

    private final int maxConnections;
    private int openConnections;

    /** @param maxConnections bounds open connections to all addresses together */
    public HttpClient(EventLoop loop, int maxConnections) {
        this.loop = loop;
        this.maxConnections = maxConnections;
    }

    /**
     * Sends one request. The handler is called exactly once, on the loop's thread, at the latest one tick after the
     * timeout.
     *
     * @param address host:port
     */
    public void call(String address, String method, String path, byte[] body, int timeoutMs, ResponseHandler handler) {
        Call call = new Call(address, method, path, body, timeoutMs, handler);
        Deque<Connection> idleToAddress = idleByAddress.get(call.address());
        Connection connection = idleToAddress == null ? null : idleToAddress.pollLast();
        if (connection != null) {
            idleByAge.remove(connection);
            if (idleToAddress.isEmpty()) {
                idleByAddress.remove(call.address());
            }
        } else {
            if (openConnections >= maxConnections && !idleByAge.isEmpty()) {
                // With more workers than sockets, the connection idle for longest is closed, as the alternative is
                // worse: a call that is not sent is reported like one that may still arrive.
                idleByAge.iterator().next().setIdle(false);
            }
            if (openConnections >= maxConnections) {
                // Nothing was sent, but the handler can only be passed "no response". It has to treat that as an
                // unknown outcome, which is safe.
                loop.post(() -> handler.handleResponse(0, EMPTY_BODY));
                return;
            }
            connection = new Connection(call.address());
        }
        busyConnections.add(connection);
        connection.start(call);
    }

    /** Fails calls past their deadline and closes connections idle for too long. To be called regularly. */
    public void tick() {
        long now = EventLoop.nowMs();
        for (Connection connection : List.copyOf(busyConnections)) {
            if (now > connection.deadlineMs) {
                connection.fail();
            }
        }
        while (!idleByAge.isEmpty() && now - idleByAge.iterator().next().idleSinceMs > IDLE_TIMEOUT_MS) {
            idleByAge.iterator().next().setIdle(false);
        }
    }

    /** One connection to one address. It carries one call at a time. */
    private final class Connection {
        private final String address;
        private final HttpParser parser = new HttpParser(false, MAX_BODY_BYTES);
        private final ByteBuffer input = ByteBuffer.allocate(READ_BUFFER_BYTES);
        private AsynchronousSocketChannel channel;
        /** The call under way; null while idle or closed. */
        private Call call;

        private long deadlineMs;
        private long idleSinceMs;
        private boolean closed;
        private boolean reused;

        Connection(String address) {
            this.address = address;
            openConnections++;
        }

        void start(Call newCall) {
            call = newCall;
            deadlineMs = EventLoop.nowMs() + newCall.timeoutMs();
            if (channel != null) {
                reused = true;
                send();
                return;
            }
            try {
                channel = AsynchronousSocketChannel.open(loop.channelGroup());
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                int colon = address.lastIndexOf(':');
                InetSocketAddress to = new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
                channel.connect(to, null, onLoop(connected -> {
                    if (call == newCall) {
                        send();
                    }
                }));
            } catch (IOException | RuntimeException e) {
                LOG.debug("cannot connect to {}: {}", address, e.getMessage());
                loop.post(() -> {
                    if (call == newCall) {
                        fail();
                    }
                });
            }
        }

        private void send() {
            write(HttpWriter.request(call.method(), call.path(), address, call.body()));
            read();
        }

        private void write(ByteBuffer output) {
            channel.write(output, null, onLoop((Integer length) -> {
                if (output.hasRemaining() && !closed) {
                    write(output);
                }
            }));
        }

        private void read() {
            input.clear();
            channel.read(input, null, onLoop((Integer length) -> handleRead(length)));
        }

        private void handleRead(int length) {
            if (closed) {
                return;
            }
            if (length < 0 || call == null) {
                fail();
                return;
            }
            input.flip();
            try {
                HttpParser.Message message = parser.feed(input);
                if (message == null) {
                    read();
                    return;
                }
                Call answered = call;
                call = null;
                busyConnections.remove(this);
                if (message.closesConnection() || input.hasRemaining()) {
                    close();
                } else {
                    idleSinceMs = EventLoop.nowMs();
                    setIdle(true);
                }
                answered.handler.handleResponse(message.status(), message.body());
            } catch (HttpParser.MalformedMessageException e) {
                LOG.info("malformed HTTP response from {}: {}", address, e.getMessage());
                fail();
            }
        }

        /** A completion handler that continues on the loop's thread and fails the call on errors. */
        private <T> CompletionHandler<T, Void> onLoop(java.util.function.Consumer<T> onCompleted) {
            return new CompletionHandler<>() {
                @Override
                public void completed(T result, Void attachment) {
                    loop.post(() -> onCompleted.accept(result));
                }

                @Override
                public void failed(Throwable e, Void attachment) {
                    loop.post(() -> fail());
                }
            };
        }

        /** Closes the connection and ends the call under way, if any, with status 0. */
        void fail() {
            if (closed) {
                return;
            }
            Call failed = call;
            call = null;
            busyConnections.remove(this);
            setIdle(false);
            if (failed != null) {
                failed.handler.handleResponse(0, EMPTY_BODY);
            }
        }

        /** Adds this connection to the idle ones, or removes it from them and closes it. */
        private void setIdle(boolean nowIdle) {
            if (nowIdle) {
                idleByAddress
                        .computeIfAbsent(address, key -> new ArrayDeque<>())
                        .addLast(this);
                idleByAge.add(this);
                return;
            }
            if (idleByAge.remove(this)) {
                Deque<Connection> idleToAddress = idleByAddress.get(address);
                idleToAddress.remove(this);
                if (idleToAddress.isEmpty()) {
                    idleByAddress.remove(address);
                }
            }
            close();
        }

        void close() {
            if (!closed) {
                closed = true;
                openConnections--;
                try {
                    channel.close();
                } catch (IOException e) {
                    LOG.debug("closing a connection failed: {}", e.getMessage());
                }
            }
        }
    }
}
