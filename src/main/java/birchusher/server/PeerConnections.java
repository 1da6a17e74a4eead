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
final class PeerConnections {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);
    private static final int MAX_QUEUED_RECORDS = 128;
    private static final int MAX_INBOUND_CONNECTIONS = 32;
    private static final long RECONNECT_DELAY_MS = 400;
    private static final long PROGRESS_TIMEOUT_MS = 3_000;

    private final ControllerServer server;
    private final EventLoop eventLoop;
    private final Settings settings;
    private final List<OutboundConnection> outboundConnections = new ArrayList<>();
    private AsynchronousServerSocketChannel listener;
    private int inboundCount;

    PeerConnections(ControllerServer loop, EventLoop events, Settings s) {
        this.server = loop;
        this.eventLoop = events;
        this.settings = s;
        s.peers().forEach(p -> outboundConnections.add(new OutboundConnection(p.address())));
    }

    void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(eventLoop.channelGroup());
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(
                new InetSocketAddress(
                        settings.meshAddress().host(), settings.meshAddress().port()),
                32);
        new Acceptor(eventLoop, listener, this::handleAccepted).accept();
    }

    void close() throws IOException {
        listener.close();
        outboundConnections.forEach(OutboundConnection::disconnect);
    }

    /** Member indices count ourselves as 0, then the peers as in the settings. */
    void send(int member, byte[] record) {
        outboundConnections.get(member - 1).send(record);
    }

    void tick() {
        outboundConnections.forEach(OutboundConnection::tick);
    }

    private void handleAccepted(AsynchronousSocketChannel ch) {
        if (inboundCount >= MAX_INBOUND_CONNECTIONS) {
            Acceptor.closeQuietly(ch);
        } else {
            inboundCount++;
            new InboundConnection(ch).read();
        }
    }

    private final class InboundConnection {
        private final AsynchronousSocketChannel channel;
        private ByteBuffer input = ByteBuffer.allocate(16 * 1024);

        InboundConnection(AsynchronousSocketChannel channel) {
            this.channel = channel;
        }

        void read() {
            channel.read(input, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer n, Void a) {
                    eventLoop.post(() -> handleRead(n));
                }

                @Override
                public void failed(Throwable e, Void a) {
                    eventLoop.post(() -> close());
                }
            });
        }

        private void handleRead(int n) {
            if (n < 0) {
                close();
                return;
            }
            input.flip();
            while (input.remaining() >= 4) {
                int length = input.getInt(input.position());
                if (length <= 0 || length > PeerCodec.MAX_RECORD_BYTES) {
                    LOG.info("peer frame of {} bytes, link closed", length);
                    close();
                    return;
                }
                if (input.remaining() < 4 + length) {
                    if (input.capacity() < 4 + length) {
                        input = ByteBuffer.allocate(4 + length + 16 * 1024)
                                .put(input)
                                .flip();
                    }
                    break;
                }
                input.getInt();
                byte[] record = new byte[length];
                input.get(record);
                server.handlePeerRecord(record);
            }
            input.compact();
            read();
        }

        private void close() {
            inboundCount--;
            Acceptor.closeQuietly(channel);
        }
    }

    private final class OutboundConnection {
        private final Settings.Address address;
        private final Deque<byte[]> queue = new ArrayDeque<>();
        private AsynchronousSocketChannel channel;
        private boolean connected;
        private boolean writing;
        private long startedAtMs;
        private long reconnectAtMs;

        OutboundConnection(Settings.Address address) {
            this.address = address;
        }

        void send(byte[] record) {
            if (record.length > PeerCodec.MAX_RECORD_BYTES) {
                return;
            }
            while (queue.size() >= MAX_QUEUED_RECORDS || !connected && queue.size() >= 8) {
                queue.pollFirst();
            }
            queue.addLast(record);
            write();
        }

        void tick() {
            long now = EventLoop.nowMs();
            if (channel == null && now >= reconnectAtMs) {
                connect(now);
            } else if (channel != null && (!connected || writing) && now - startedAtMs > PROGRESS_TIMEOUT_MS) {
                disconnect();
            }
        }

        private void connect(long now) {
            startedAtMs = now;
            try {
                AsynchronousSocketChannel ch = AsynchronousSocketChannel.open(eventLoop.channelGroup());
                channel = ch;
                ch.setOption(StandardSocketOptions.TCP_NODELAY, true);
                ch.connect(
                        new InetSocketAddress(address.host(), address.port()),
                        null,
                        new CompletionHandler<Void, Void>() {
                            @Override
                            public void completed(Void v, Void a) {
                                eventLoop.post(() -> {
                                    if (channel == ch) {
                                        connected = true;
                                        write();
                                    }
                                });
                            }

                            @Override
                            public void failed(Throwable e, Void a) {
                                eventLoop.post(() -> disconnectIfCurrent(ch));
                            }
                        });
            } catch (IOException e) {
                disconnect();
            }
        }

        private void write() {
            if (!connected || writing || queue.isEmpty()) {
                return;
            }
            writing = true;
            startedAtMs = EventLoop.nowMs();
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
                        eventLoop.post(() -> {
                            if (channel == ch) {
                                writing = false;
                                write();
                            }
                        });
                    }
                }

                @Override
                public void failed(Throwable e, Void a) {
                    eventLoop.post(() -> disconnectIfCurrent(ch));
                }
            });
        }

        private void disconnectIfCurrent(AsynchronousSocketChannel ch) {
            if (channel == ch) {
                disconnect();
            }
        }

        void disconnect() {
            Acceptor.closeQuietly(channel);
            channel = null;
            connected = false;
            writing = false;
            reconnectAtMs = EventLoop.nowMs() + RECONNECT_DELAY_MS;
        }
    }
}
