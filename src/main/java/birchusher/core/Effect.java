package birchusher.core;

import java.util.Map;

/** What the core asks the world to do. The core itself does no I/O. */
public sealed interface Effect {
    /** Answers one user's, worker's or prober's request. {@code retryAfterS} 0: no such header. */
    record Answer(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Effect {}

    /** Calls another party over HTTP. Its answer comes back as {@link Effects#reply}. */
    record Call(
            long id, Destination destination, String address, String method, String path, Object body, int timeoutMs)
            implements Effect {}

    /** Sends one record to another controller. It may be lost. */
    record Send(int peer, byte[] record) implements Effect {}

    /** Whom a call is for. */
    enum Destination {
        STORE,
        WATCH,
        CLOUD,
        WORKER
    }
}
