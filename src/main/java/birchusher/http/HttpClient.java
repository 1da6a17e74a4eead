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
    private static final int MAX_BODY = 16 * 1024 * 1024;
    private static final long KEEP_MS = 25_000;
    /** The body of a request or an answer that has none. */
    public static final byte[] NOTHING = new byte[0];

    /** One request and who waits for its answer. */
    private record Call(String address, String method, String path, byte[] body, int timeoutMs, Reply reply) {}

    /** Takes a whole answer, or status 0 with no body. */
    public interface Reply {
        void got(int status, byte[] body);
    }

    private final EventLoop loop;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final List<Connection> busy = new ArrayList<>();
    /** Idle connections, longest idle first. */
    private final LinkedHashSet<Connection> resting = new LinkedHashSet<>();

    private final int maxOpen;
    private int open;

    public HttpClient(EventLoop loop, int maxOpen) {
        this.loop = loop;
        this.maxOpen = maxOpen;
    }

    /** @param address host:port; the reply comes on the loop's thread, within the timeout and a tick */
    public void call(String address, String method, String path, byte[] body, int timeoutMs, Reply reply) {
        Call c = new Call(address, method, path, body, timeoutMs, reply);
        Deque<Connection> pool = idle.get(c.address());
        Connection conn = pool == null ? null : pool.pollLast();
        if (conn != null) {
            resting.remove(conn);
            if (pool.isEmpty()) {
                idle.remove(c.address());
            }
        } else {
            if (open >= maxOpen && !resting.isEmpty()) {
                // With more workers than sockets, those not used for longest make room: a call that can't be sent would
                // count as one that may still arrive.
                resting.iterator().next().rest(false);
            }
            if (open >= maxOpen) {
                // Nothing was sent, yet the core can only be told "no answer": it treats that as unclear, which is
                // safe.
                loop.post(() -> reply.got(0, NOTHING));
                return;
            }
            conn = new Connection(c.address());
        }
        busy.add(conn);
        conn.start(c);
    }

    public void tick() {
        long now = EventLoop.now();
        for (Connection c : List.copyOf(busy)) {
            if (now > c.deadline) {
                c.fail();
            }
        }
        while (!resting.isEmpty() && now - resting.iterator().next().idleSince > KEEP_MS) {
            resting.iterator().next().rest(false);
        }
    }

    private final class Connection {
        private final String address;
        private final HttpParser parser = new HttpParser(false, MAX_BODY);
        private final ByteBuffer in = ByteBuffer.allocate(8 * 1024);
        private AsynchronousSocketChannel channel;
        private Call call;
        private long deadline;
        private long idleSince;
        private boolean closed;
        private boolean reused;

        Connection(String address) {
            this.address = address;
            open++;
        }

        void start(Call c) {
            call = c;
            deadline = EventLoop.now() + c.timeoutMs();
            if (channel != null) {
                reused = true;
                send();
                return;
            }
            try {
                channel = AsynchronousSocketChannel.open(loop.group());
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                int colon = address.lastIndexOf(':');
                InetSocketAddress to = new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
                channel.connect(to, null, handler(v -> {
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
            channel.write(out, null, handler((Integer n) -> {
                if (out.hasRemaining() && !closed) {
                    write(out);
                }
            }));
        }

        private void read() {
            in.clear();
            channel.read(in, null, handler((Integer n) -> got(n)));
        }

        private void got(int n) {
            if (closed) {
                return;
            }
            if (n < 0 || call == null) {
                fail();
                return;
            }
            in.flip();
            try {
                HttpParser.Message m = parser.feed(in);
                if (m == null) {
                    read();
                    return;
                }
                Call c = call;
                call = null;
                busy.remove(this);
                if (m.close() || in.hasRemaining()) {
                    close();
                } else {
                    idleSince = EventLoop.now();
                    rest(true);
                }
                c.reply.got(m.status(), m.body());
            } catch (HttpParser.Malformed e) {
                LOG.info("{} answered what is not HTTP: {}", address, e.getMessage());
                fail();
            }
        }

        private <T> CompletionHandler<T, Void> handler(java.util.function.Consumer<T> then) {
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
            rest(false);
            if (c != null) {
                c.reply.got(0, NOTHING);
            }
        }

        /** Into the pool of idle connections, or out of it and closed. */
        private void rest(boolean on) {
            if (on) {
                idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(this);
                resting.add(this);
                return;
            }
            if (resting.remove(this)) {
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
                open--;
                try {
                    channel.close();
                } catch (IOException e) {
                    LOG.debug("close failed: {}", e.getMessage());
                }
            }
        }
    }
}
