package birchusher.http;

import java.io.IOException;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes connections as long as the listener is open, handing each to the loop's thread. */
public final class Acceptor implements CompletionHandler<AsynchronousSocketChannel, Void> {
    private static final Logger LOG = LoggerFactory.getLogger(Acceptor.class);

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel listener;
    private final Consumer<AsynchronousSocketChannel> connectionHandler;

    public Acceptor(
            EventLoop loop, AsynchronousServerSocketChannel listener, Consumer<AsynchronousSocketChannel> then) {
        this.loop = loop;
        this.listener = listener;
        this.connectionHandler = then;
    }

    public void accept() {
        listener.accept(null, this);
    }

    @Override
    public void completed(AsynchronousSocketChannel channel, Void a) {
        loop.post(() -> connectionHandler.accept(channel));
        accept();
    }

    @Override
    public void failed(Throwable e, Void a) {
        // Such as no free sockets: through the loop, so that it is tried again without spinning in this thread.
        if (listener.isOpen()) {
            loop.post(this::accept);
        }
    }

    public static void closeQuietly(AsynchronousSocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            LOG.debug("close failed: {}", e.getMessage());
        }
    }
}
