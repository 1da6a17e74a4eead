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

/**
 * Connections with the other controllers: one in each direction per peer. A record is framed by its length (4 bytes,
 * big-endian). Delivery is best effort: records that are too large or do not fit the queue are dropped, as are those in
 * flight when a connection ends. All methods and callbacks run on the event loop's thread.
 */
final class PeerConnections {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);
    private static final int MAX_QUEUED_RECORDS = 128;
    private static final int MAX_QUEUED_WHILE_DISCONNECTED = 8;
    private static final int LENGTH_BYTES = 4;
    /** A write takes records from the queue until it has at least this size. */
    private static final int BATCH_BYTES = 64 * 1024;

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** Connections that the operating system may hold until they are accepted. */
    private static final int LISTEN_BACKLOG = 32;

    private static final int MAX_INBOUND_CONNECTIONS = 32;
    private static final long RECONNECT_DELAY_MS = 400;
    /** For one connect or one write; the connection is dropped after it. */
    private static final long PROGRESS_TIMEOUT_MS = 3_000;

    private final ControllerServer server;
    private final EventLoop eventLoop;
    private final Settings settings;
    private final List<OutboundConnection> outboundConnections = new ArrayList<>();
    private AsynchronousServerSocketChannel listener;
    private int inboundCount;

    PeerConnections(ControllerServer server, EventLoop eventLoop, Settings settings) {
        this.server = server;
        this.eventLoop = eventLoop;
        this.settings = settings;
        settings.peers().forEach(peer -> outboundConnections.add(new OutboundConnection(peer.address())));
    }

    /** Binds the address for peers and accepts connections; outbound ones are opened by {@link #tick}. */
    void open() throws IOException {
        listener = AsynchronousServerSocketChannel.open(eventLoop.channelGroup());
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(
                new InetSocketAddress(
                        settings.meshAddress().host(), settings.meshAddress().port()),
                LISTEN_BACKLOG);
        new Acceptor(eventLoop, listener, this::handleAccepted).accept();
    }

    void close() throws IOException {
        listener.close();
        outboundConnections.forEach(OutboundConnection::disconnect);
    }

    /**
     * Queues a record for a peer.
     *
     * @param member index of the peer: 1 and up, in the order of the settings (0 is this controller)
     */
    void send(int member, byte[] record) {
        outboundConnections.get(member - 1).send(record);
    }

    /** Opens missing outbound connections and drops those without progress. To be called regularly. */
    void tick() {
        outboundConnections.forEach(OutboundConnection::tick);
    }

    private void handleAccepted(AsynchronousSocketChannel channel) {
        if (inboundCount >= MAX_INBOUND_CONNECTIONS) {
            Acceptor.closeQuietly(channel);
        } else {
            inboundCount++;
            new InboundConnection(channel).read();
        }
    }

    /** A connection opened by a peer; records are only read from it. */
    private final class InboundConnection {
        private final AsynchronousSocketChannel channel;
        private ByteBuffer input = ByteBuffer.allocate(READ_BUFFER_BYTES);

        InboundConnection(AsynchronousSocketChannel channel) {
            this.channel = channel;
        }

        void read() {
            channel.read(input, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer length, Void attachment) {
                    eventLoop.post(() -> handleRead(length));
                }

                @Override
                public void failed(Throwable e, Void attachment) {
                    eventLoop.post(() -> close());
                }
            });
        }

        private void handleRead(int bytesRead) {
            if (bytesRead < 0) {
                close();
                return;
            }
            input.flip();
            while (input.remaining() >= LENGTH_BYTES) {
                int length = input.getInt(input.position());
                if (length <= 0 || length > PeerCodec.MAX_RECORD_BYTES) {
                    LOG.info("invalid peer record length {} bytes, connection closed", length);
                    close();
                    return;
                }
                if (input.remaining() < LENGTH_BYTES + length) {
                    if (input.capacity() < LENGTH_BYTES + length) {
                        input = ByteBuffer.allocate(LENGTH_BYTES + length + READ_BUFFER_BYTES)
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

    /** A connection to a peer; records are only written to it. It is opened again after it ended. */
    private final class OutboundConnection {
        private final Settings.Address address;
        private final Deque<byte[]> queue = new ArrayDeque<>();
        private AsynchronousSocketChannel channel;
        private boolean connected;
        private boolean writing;
        /** Start of the connect or write under way. */
        private long startedAtMs;

        private long reconnectAtMs;

        OutboundConnection(Settings.Address address) {
            this.address = address;
        }

        /**
         * Queues a record; the oldest ones are dropped if the queue is full. The queue is shorter while not connected.
         */
        void send(byte[] record) {
            if (record.length > PeerCodec.MAX_RECORD_BYTES) {
                return;
            }
            while (queue.size() >= MAX_QUEUED_RECORDS || !connected && queue.size() >= MAX_QUEUED_WHILE_DISCONNECTED) {
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
                AsynchronousSocketChannel newChannel = AsynchronousSocketChannel.open(eventLoop.channelGroup());
                channel = newChannel;
                newChannel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                newChannel.connect(
                        new InetSocketAddress(address.host(), address.port()),
                        null,
                        new CompletionHandler<Void, Void>() {
                            @Override
                            public void completed(Void result, Void attachment) {
                                eventLoop.post(() -> {
                                    if (channel == newChannel) {
                                        connected = true;
                                        write();
                                    }
                                });
                            }

                            @Override
                            public void failed(Throwable e, Void attachment) {
                                eventLoop.post(() -> disconnectIfCurrent(newChannel));
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
            AsynchronousSocketChannel current = channel;
            int size = 0;
            List<byte[]> batch = new ArrayList<>();
            while (!queue.isEmpty() && (batch.isEmpty() || size < BATCH_BYTES)) {
                byte[] record = queue.pollFirst();
                size += LENGTH_BYTES + record.length;
                batch.add(record);
            }
            ByteBuffer output = ByteBuffer.allocate(size);
            batch.forEach(record -> output.putInt(record.length).put(record));
            output.flip();
            current.write(output, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer length, Void attachment) {
                    if (output.hasRemaining()) {
                        current.write(output, null, this);
                    } else {
                        eventLoop.post(() -> {
                            if (channel == current) {
                                writing = false;
                                write();
                            }
                        });
                    }
                }

                @Override
                public void failed(Throwable e, Void attachment) {
                    eventLoop.post(() -> disconnectIfCurrent(current));
                }
            });
        }

        /** Disconnects unless the connection has been replaced since. */
        private void disconnectIfCurrent(AsynchronousSocketChannel failed) {
            if (channel == failed) {
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
