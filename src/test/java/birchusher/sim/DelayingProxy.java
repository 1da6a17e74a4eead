package birchusher.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards the connections between two controllers over loopback; it can delay all of their traffic or reset all
 * connections.
 */
final class DelayingProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final int targetPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile long heldUntilNanos = System.nanoTime();

    DelayingProxy(int port, int targetPort) throws IOException {
        this.targetPort = targetPort;
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    /** Delays all traffic until {@code ms} from this call; it then arrives in order. */
    void hold(long ms) {
        heldUntilNanos = System.nanoTime() + ms * 1_000_000;
    }

    /** Closes all connections. */
    void reset() {
        sockets.forEach(DelayingProxy::close);
        sockets.clear();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket source = listener.accept();
                sockets.add(source);
                Socket destination = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                sockets.add(destination);
                startThread(() -> forward(source, destination));
                startThread(() -> forward(destination, source));
            } catch (IOException e) {
                // The listener was closed, or the controller is down: the connecting controller retries.
                continue;
            }
        }
    }

    private void forward(Socket source, Socket destination) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = source.getInputStream();
            OutputStream output = destination.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                for (long remainingNanos = heldUntilNanos - System.nanoTime();
                        remainingNanos > 0;
                        remainingNanos = heldUntilNanos - System.nanoTime()) {
                    Thread.sleep(Math.min(100, remainingNanos / 1_000_000 + 1));
                }
                output.write(buffer, 0, count);
                output.flush();
            }
        } catch (IOException | InterruptedException e) {
            // One side has closed, so the other is closed as well.
            close(source);
        }
        close(source);
        close(destination);
        sockets.remove(source);
        sockets.remove(destination);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is discarded in any case.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset();
    }
}
