package birchusher.core;

import java.util.Map;

/** An action that the core, which does no I/O itself, asks the process around it to carry out. */
public sealed interface Effect {
    /** Answers an HTTP request of a user, a worker or a health probe. {@code retryAfterS} 0: no Retry-After header. */
    record Answer(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Effect {}

    /** Calls another process over HTTP. The reply is passed to {@link Effects#completeCall}. */
    record Call(
            long id, Destination destination, String address, String method, String path, Object body, int timeoutMs)
            implements Effect {}

    /** Sends one record to another controller, given by its member index. It may be lost. */
    record Send(int peer, byte[] record) implements Effect {}

    /** What a call is for. */
    enum Destination {
        STORE,
        WATCH,
        CLOUD,
        WORKER
    }
}
