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

/** Calls other parties, keeping connections open. A call that gets no whole answer in time is reported as status 0. */
public final class HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final long IDLE_TIMEOUT_MS = 25_000;
    /** The body of a request or an answer that has none. */
    public static final byte[] EMPTY_BODY = new byte[0];

    /** One request and who waits for its answer. */
    private record Call(
            String address, String method, String path, byte[] body, int timeoutMs, ResponseHandler handler) {}

    /** Takes a whole answer, or status 0 with no body. */
    public interface ResponseHandler {
        void handleResponse(int status, byte[] body);
    }

    private final EventLoop loop;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final List<Connection> busy = new ArrayList<>();
    /** Idle connections, longest idle first. */
    private final LinkedHashSet<Connection> idleByAge = new LinkedHashSet<>();

    private final int maxConnections;
    private int openConnections;

    public HttpClient(EventLoop loop, int maxOpen) {
        this.loop = loop;
        this.maxConnections = maxOpen;
    }

    /** @param address host:port; the reply comes on the loop's thread, within the timeout and a tick */
    public void call(String address, String method, String path, byte[] body, int timeoutMs, ResponseHandler reply) {
        Call c = new Call(address, method, path, body, timeoutMs, reply);
        Deque<Connection> pool = idle.get(c.address());
        Connection conn = pool == null ? null : pool.pollLast();
        if (conn != null) {
            idleByAge.remove(conn);
            if (pool.isEmpty()) {
                idle.remove(c.address());
            }
        } else {
            if (openConnections >= maxConnections && !idleByAge.isEmpty()) {
                // With more workers than sockets, those not used for longest make room: a call that can't be sent would
                // count as one that may still arrive.
                idleByAge.iterator().next().setIdle(false);
            }
            if (openConnections >= maxConnections) {
                // Nothing was sent, yet the core can only be told "no answer": it treats that as unclear, which is
                // safe.
                loop.post(() -> reply.handleResponse(0, EMPTY_BODY));
                return;
            }
            conn = new Connection(c.address());
        }
        busy.add(conn);
        conn.start(c);
    }

    public void tick() {
        long now = EventLoop.nowMs();
        for (Connection c : List.copyOf(busy)) {
            if (now > c.deadlineMs) {
                c.fail();
            }
        }
        while (!idleByAge.isEmpty() && now - idleByAge.iterator().next().idleSinceMs > IDLE_TIMEOUT_MS) {
            idleByAge.iterator().next().setIdle(false);
        }
    }

    private final class Connection {
        private final String address;
        private final HttpParser parser = new HttpParser(false, MAX_BODY_BYTES);
        private final ByteBuffer input = ByteBuffer.allocate(8 * 1024);
        private AsynchronousSocketChannel channel;
        private Call call;
        private long deadlineMs;
        private long idleSinceMs;
        private boolean closed;
        private boolean reused;

        Connection(String address) {
            this.address = address;
            openConnections++;
        }

        void start(Call c) {
            call = c;
            deadlineMs = EventLoop.nowMs() + c.timeoutMs();
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
                channel.connect(to, null, onLoop(v -> {
                    if (call == c) {
                        send();
                    }
                }));
            } catch (IOException | RuntimeException e) {
                LOG.debug("can't connect to {}: {}", address, e.getMessage());
                loop.post(() -> {
                    if (call == c) {
                        fail();
                    }
                });
            }
        }

        private void send() {
            write(HttpWriter.request(call.method(), call.path(), address, call.body()));
            read();
        }

        private void write(ByteBuffer out) {
            channel.write(out, null, onLoop((Integer n) -> {
                if (out.hasRemaining() && !closed) {
                    write(out);
                }
            }));
        }

        private void read() {
            input.clear();
            channel.read(input, null, onLoop((Integer n) -> handleRead(n)));
        }

        private void handleRead(int n) {
            if (closed) {
                return;
            }
            if (n < 0 || call == null) {
                fail();
                return;
            }
            input.flip();
            try {
                HttpParser.Message m = parser.feed(input);
                if (m == null) {
                    read();
                    return;
                }
                Call c = call;
                call = null;
                busy.remove(this);
                if (m.closesConnection() || input.hasRemaining()) {
                    close();
                } else {
                    idleSinceMs = EventLoop.nowMs();
                    setIdle(true);
                }
                c.handler.handleResponse(m.status(), m.body());
            } catch (HttpParser.MalformedMessageException e) {
                LOG.info("{} answered what is not HTTP: {}", address, e.getMessage());
                fail();
            }
        }

        private <T> CompletionHandler<T, Void> onLoop(java.util.function.Consumer<T> then) {
            return new CompletionHandler<>() {
                @Override
                public void completed(T t, Void a) {
                    loop.post(() -> then.accept(t));
                }

                @Override
                public void failed(Throwable e, Void a) {
                    loop.post(() -> fail());
                }
            };
        }

        void fail() {
            if (closed) {
                return;
            }
            Call c = call;
            call = null;
            busy.remove(this);
            setIdle(false);
            if (c != null) {
                c.handler.handleResponse(0, EMPTY_BODY);
            }
        }

        /** Into the pool of idle connections, or out of it and closed. */
        private void setIdle(boolean on) {
            if (on) {
                idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(this);
                idleByAge.add(this);
                return;
            }
            if (idleByAge.remove(this)) {
                Deque<Connection> pool = idle.get(address);
                pool.remove(this);
                if (pool.isEmpty()) {
                    idle.remove(address);
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
                    LOG.debug("close failed: {}", e.getMessage());
                }
            }
        }
    }
}
