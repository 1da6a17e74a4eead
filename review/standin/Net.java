package standin;

import birchusher.wire.MessagePackCodec;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP with MessagePack bodies on loopback, for all stand-ins. */
final class Net {
    /** A response. A null body is sent as an empty one; null instead of a reply: the connection is closed without a response. */
    record Reply(int status, Map<String, Object> body, int retryAfterS) {
        Reply(int status, Map<String, Object> body) {
            this(status, body, 0);
        }
    }

    interface Handler {
        Reply handle(String method, String target, Map<String, Object> body) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "net");
        thread.setDaemon(true);
        return thread;
    });

    private static final List<HttpServer> SERVERS = new ArrayList<>();

    private Net() {}

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns free ports on loopback, all different, below the range from which the system takes the ports of connections. */
    static int[] freePorts(int count) {
        Random random = new Random();
        Set<Integer> ports = new LinkedHashSet<>();
        while (ports.size() < count) {
            int port = 10_000 + random.nextInt(20_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports.add(probe.getLocalPort());
            } catch (IOException e) {
                // In use: another one is drawn.
                continue;
            }
        }
        return ports.stream().mapToInt(port -> port).toArray();
    }

    /** Serves on a free port of loopback and returns host:port. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        synchronized (SERVERS) {
            SERVERS.add(server);
        }
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Reply reply = handler.handle(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    bytes.length == 0 ? Map.of() : asMap(MessagePackCodec.decode(bytes)));
            if (reply == null) {
                exchange.close();
                return;
            }
            byte[] out = MessagePackCodec.encode(reply.body() == null ? Map.of() : reply.body());
            if (reply.retryAfterS() > 0) {
                exchange.getResponseHeaders().add("Retry-After", String.valueOf(reply.retryAfterS()));
            }
            exchange.sendResponseHeaders(reply.status(), out.length);
            try (OutputStream body = exchange.getResponseBody()) {
                body.write(out);
            }
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            e.printStackTrace();
            exchange.close();
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asMap(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> asList(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long asLong(Object value, long otherwise) {
        return value instanceof Number number ? number.longValue() : otherwise;
    }

    static double asDouble(Object value, double otherwise) {
        return value instanceof Number number ? number.doubleValue() : otherwise;
    }

    static Map<String, String> query(String target) {
        Map<String, String> parameters = new HashMap<>();
        int start = target.indexOf('?');
        if (start >= 0) {
            for (String part : target.substring(start + 1).split("&")) {
                int equals = part.indexOf('=');
                parameters.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return parameters;
    }

    /** A client; each user and worker has its own, so that connections are not shared. */
    static final class Client {
        private HttpClient client = newClient();

        private static HttpClient newClient() {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .executor(THREADS)
                    .build();
        }

        /** Drops all connections. */
        void reset() {
            client = newClient();
        }

        /** Returns the reply, or one with status 0 if none came in time. */
        Reply call(String address, String method, String path, Map<String, Object> body, long timeoutMs) {
            try {
                HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(timeoutMs))
                        .header("Content-Type", "application/msgpack");
                request.method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(MessagePackCodec.encode(body)));
                HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
                int retryAfterS = (int) response.headers().firstValueAsLong("Retry-After").orElse(0);
                return new Reply(
                        response.statusCode(),
                        response.body().length == 0 ? Map.of() : asMap(MessagePackCodec.decode(response.body())),
                        retryAfterS);
            } catch (IOException | InterruptedException e) {
                return new Reply(0, Map.of());
            }
        }
    }
}
