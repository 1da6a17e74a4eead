import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 with MessagePack bodies over loopback, one thread for each connection. */
final class Net {
    private static final Random RANDOM = new Random();

    private Net() {}

    record Message(String first, byte[] body, boolean close) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        @SuppressWarnings("unchecked")
        Map<String, Object> fields() {
            return body.length == 0 ? Map.of() : (Map<String, Object>) Pack.decode(body);
        }
    }

    /** The answer to a request; status 0: the connection is closed without one. */
    record Answer(int status, Object body) {}

    interface Handler {
        Answer handle(String method, String target, byte[] body) throws Exception;
    }

    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        int length = 0;
        boolean close = false;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            String lower = header.toLowerCase();
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            } else if (lower.startsWith("connection:")) {
                close = lower.contains("close");
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return null;
        }
        return new Message(first, body, close);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(b);
        }
        return null;
    }

    static void write(OutputStream out, String first, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((first + "\r\nContent-Type: application/msgpack\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** A free port below those that the system gives to outgoing connections, so that none takes it before it is used. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = 11_000 + RANDOM.nextInt(20_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use.
                continue;
            }
        }
        throw new IOException("no free port");
    }

    /** A server on a free loopback port. */
    static final class Server {
        final int port;
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            thread("accept", this::accept);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread("serve", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message message = read(in); message != null; message = read(in)) {
                    Answer answer;
                    try {
                        answer = handler.handle(message.method(), message.target(), message.body());
                    } catch (Exception e) {
                        e.printStackTrace();
                        answer = new Answer(400, Map.of("error", String.valueOf(e)));
                    }
                    if (answer.status() == 0) {
                        return;
                    }
                    write(socket.getOutputStream(), "HTTP/1.1 " + answer.status() + " X", Pack.encode(answer.body()));
                }
            } catch (IOException e) {
                // The other side has gone.
            } finally {
                sockets.remove(socket);
            }
        }

        void close() {
            try {
                listener.close();
                for (Socket socket : sockets) {
                    socket.close();
                }
            } catch (IOException e) {
                // Closed anyway.
            }
        }
    }

    /** A client with one connection to one address at a time; the connection is kept while the address stays. */
    static final class Client {
        private Socket socket;
        private InputStream in;
        private String address;

        /** The response, or null: none came in time or the connection failed. */
        synchronized Message call(String to, String method, String path, Object body, int timeoutMs) {
            boolean reused = socket != null && to.equals(address);
            Message message = tryCall(to, method, path, body, timeoutMs);
            if (message == null && reused && timeoutMs > 0) {
                return null;
            }
            return message;
        }

        private Message tryCall(String to, String method, String path, Object body, int timeoutMs) {
            try {
                if (socket == null || !to.equals(address)) {
                    close();
                    address = to;
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    int colon = to.lastIndexOf(':');
                    socket.connect(
                            new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1))),
                            timeoutMs);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout(timeoutMs);
                write(
                        socket.getOutputStream(),
                        method + " " + path + " HTTP/1.1\r\nHost: " + to,
                        body == null ? new byte[0] : body instanceof byte[] raw ? raw : Pack.encode(body));
                Message message = read(in);
                if (message == null || message.close()) {
                    close();
                }
                return message;
            } catch (IOException e) {
                close();
                return null;
            }
        }

        synchronized void close() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // Closed anyway.
                }
                socket = null;
            }
        }
    }
}
