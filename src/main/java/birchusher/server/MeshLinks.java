package birchusher.server;

import birchusher.http.Acceptor;
import birchusher.http.EventLoop;
import birchusher.mesh.PeerCodec;
import birchusher.settings.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Links between controllers: one connection each way, records framed by their length. What does not fit is dropped. */
final class MeshLinks {
    private static final Logger LOG = LoggerFactory.getLogger(MeshLinks.class);
    private static final int MAX_QUEUE = 128;
    private static final int MAX_INCOMING = 32;
    private static final long RETRY_MS = 400;
    private static final long STUCK_MS = 3_000;

    private final Loop loop;
    private final EventLoop events;
    private final Settings settings;
    private final List<Link> links = new ArrayList<>();
    private AsynchronousServerSocketChannel listener;
    private int incoming;

    MeshLinks(Loop loop, EventLoop events, Settings s) {
        this.loop = loop;
        this.events = events;
        this.settings = s;
        s.peers().forEach(p -> links.add(new Link(p.address())));
    }

    void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(events.group());
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(
                new InetSocketAddress(settings.mesh().host(), settings.mesh().port()), 32);
        new Acceptor(events, listener, this::accepted).accept();
    }

    void close() throws IOException {
        listener.close();
        links.forEach(Link::drop);
    }

    /** Member indices count ourselves as 0, then the peers as in the settings. */
    void send(int member, byte[] record) {
        links.get(member - 1).send(record);
    }

    void tick() {
        links.forEach(Link::tick);
    }

    private void accepted(AsynchronousSocketChannel ch) {
        if (incoming >= MAX_INCOMING) {
            Acceptor.close(ch);
        } else {
            incoming++;
            new Incoming(ch).read();
        }
    }

    private final class Incoming {
        private final AsynchronousSocketChannel channel;
        private ByteBuffer in = ByteBuffer.allocate(16 * 1024);

        Incoming(AsynchronousSocketChannel channel) {
            this.channel = channel;
        }

        void read() {
            channel.read(in, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer n, Void a) {
                    events.post(() -> got(n));
                }

                @Override
                public void failed(Throwable e, Void a) {
                    events.post(() -> end());
                }
            });
        }

        private void got(int n) {
            if (n < 0) {
                end();
                return;
            }
            in.flip();
            while (in.remaining() >= 4) {
                int length = in.getInt(in.position());
                if (length <= 0 || length > PeerCodec.MAX_RECORD_BYTES) {
                    LOG.info("peer frame of {} bytes, link closed", length);
                    end();
                    return;
                }
                if (in.remaining() < 4 + length) {
                    if (in.capacity() < 4 + length) {
                        in = ByteBuffer.allocate(4 + length + 16 * 1024).put(in).flip();
                    }
                    break;
                }
                in.getInt();
                byte[] record = new byte[length];
                in.get(record);
                loop.peer(record);
            }
            in.compact();
            read();
        }

        private void end() {
            incoming--;
            Acceptor.close(channel);
        }
    }

    private final class Link {
        private final Settings.Address address;
        private final Deque<byte[]> queue = new ArrayDeque<>();
        private AsynchronousSocketChannel channel;
        private boolean connected;
        private boolean writing;
        private long since;
        private long retryAt;

        Link(Settings.Address address) {
            this.address = address;
        }

        void send(byte[] record) {
            if (record.length > PeerCodec.MAX_RECORD_BYTES) {
                return;
            }
            while (queue.size() >= MAX_QUEUE || !connected && queue.size() >= 8) {
                queue.pollFirst();
            }
            queue.addLast(record);
            write();
        }

        void tick() {
            long now = EventLoop.now();
            if (channel == null && now >= retryAt) {
                connect(now);
            } else if (channel != null && (!connected || writing) && now - since > STUCK_MS) {
                drop();
            }
        }

        private void connect(long now) {
            since = now;
            try {
                AsynchronousSocketChannel ch = AsynchronousSocketChannel.open(events.group());
                channel = ch;
                ch.setOption(StandardSocketOptions.TCP_NODELAY, true);
                ch.connect(
                        new InetSocketAddress(address.host(), address.port()),
                        null,
                        new CompletionHandler<Void, Void>() {
                            @Override
                            public void completed(Void v, Void a) {
                                events.post(() -> {
                                    if (channel == ch) {
                                        connected = true;
                                        write();
                                    }
                                });
                            }

                            @Override
                            public void failed(Throwable e, Void a) {
                                events.post(() -> dropIf(ch));
                            }
                        });
            } catch (IOException e) {
                drop();
            }
        }

        private void write() {
            if (!connected || writing || queue.isEmpty()) {
                return;
            }
            writing = true;
            since = EventLoop.now();
            AsynchronousSocketChannel ch = channel;
            int size = 0;
            List<byte[]> batch = new ArrayList<>();
            while (!queue.isEmpty() && (batch.isEmpty() || size < 64 * 1024)) {
                byte[] r = queue.pollFirst();
                size += 4 + r.length;
                batch.add(r);
            }
            ByteBuffer out = ByteBuffer.allocate(size);
            batch.forEach(r -> out.putInt(r.length).put(r));
            out.flip();
            ch.write(out, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer n, Void a) {
                    if (out.hasRemaining()) {
                        ch.write(out, null, this);
                    } else {
                        events.post(() -> {
                            if (channel == ch) {
                                writing = false;
                                write();
                            }
                        });
                    }
                }

                @Override
                public void failed(Throwable e, Void a) {
                    events.post(() -> dropIf(ch));
                }
            });
        }

        private void dropIf(AsynchronousSocketChannel ch) {
            if (channel == ch) {
                drop();
            }
        }

        void drop() {
            Acceptor.close(channel);
            channel = null;
            connected = false;
            writing = false;
            retryAt = EventLoop.now() + RETRY_MS;
        }
    }
}
