package birchusher.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes on the bytes of connections between two controllers on loopback; can hold them back, all of them or none, or reset all. */
final class DelayingProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final int targetPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile long heldUntilNanos = System.nanoTime();

    DelayingProxy(int port, int target) throws IOException {
        this.targetPort = target;
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    /** What is sent from now on arrives only after so long, in order. */
    void hold(long ms) {
        heldUntilNanos = System.nanoTime() + ms * 1_000_000;
    }

    void reset() {
        sockets.forEach(DelayingProxy::close);
        sockets.clear();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                sockets.add(from);
                Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                sockets.add(to);
                startThread(() -> forward(from, to));
                startThread(() -> forward(to, from));
            } catch (IOException e) {
                // The listener was closed, or the controller is down: whoever connects tries again.
                continue;
            }
        }
    }

    private void forward(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                for (long left = heldUntilNanos - System.nanoTime();
                        left > 0;
                        left = heldUntilNanos - System.nanoTime()) {
                    Thread.sleep(Math.min(100, left / 1_000_000 + 1));
                }
                out.write(buffer, 0, n);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // One side has ended; so does the other.
            close(from);
        }
        close(from);
        close(to);
        sockets.remove(from);
        sockets.remove(to);
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
            // It is of no more use either way.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset();
    }
}
