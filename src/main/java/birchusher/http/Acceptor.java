package birchusher.http;

import java.io.IOException;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections while the listener is open and hands each to a handler on the event loop's thread. */
public final class Acceptor implements CompletionHandler<AsynchronousSocketChannel, Void> {
    private static final Logger LOG = LoggerFactory.getLogger(Acceptor.class);

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel listener;
    private final Consumer<AsynchronousSocketChannel> connectionHandler;

    public Acceptor(
            EventLoop loop,
            AsynchronousServerSocketChannel listener,
            Consumer<AsynchronousSocketChannel> connectionHandler) {
        this.loop = loop;
        this.listener = listener;
        this.connectionHandler = connectionHandler;
    }

    /** Accepts the next connection, and further ones after it. */
    public void accept() {
        listener.accept(null, this);
    }

    @Override
    public void completed(AsynchronousSocketChannel channel, Void attachment) {
        loop.post(() -> connectionHandler.accept(channel));
        accept();
    }

    @Override
    public void failed(Throwable error, Void attachment) {
        // For example, no free file descriptors. Retried through the loop, so that the thread of the channels does not
        // spin.
        if (listener.isOpen()) {
            loop.post(this::accept);
        }
    }

    /** Closes a channel, which may be null; errors are only logged. */
    public static void closeQuietly(AsynchronousSocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            LOG.debug("closing a connection failed: {}", e.getMessage());
        }
    }
}
