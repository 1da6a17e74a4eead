package birchusher.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Collects the outputs of the pool's state machines, and holds the callbacks that run when a write is durable or has failed.
 * Not thread-safe.
 */
public final class Outbox {
    /** What the caller of the state machines has to do. */
    public sealed interface Output {}

    /** Answer an HTTP request. A {@code retryAfterS} of 0 means no {@code Retry-After} header. */
    public record Response(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Output {}

    /** Write rows atomically; a null value removes a row. The result is to be passed to {@link Outbox#onWritten}. */
    public record Write(long id, Map<String, Map<String, ?>> rows) implements Output {}

    private final Map<Long, Consumer<Boolean>> pendingWrites = new HashMap<>();
    private List<Output> pendingOutputs = new ArrayList<>();
    private long nextWriteId = 1;

    void answer(long exchange, int status, Map<String, ?> body) {
        pendingOutputs.add(new Response(exchange, status, body, 0));
    }

    void refuse(long exchange, int status, String reason, int retryAfterS) {
        pendingOutputs.add(new Response(exchange, status, Map.of("error", reason), retryAfterS));
    }

    /** @param onResult receives whether the rows are durable; after false, a restart may find them written or not */
    void write(Map<String, Map<String, ?>> rows, Consumer<Boolean> onResult) {
        long id = nextWriteId++;
        pendingWrites.put(id, onResult);
        pendingOutputs.add(new Write(id, rows));
    }

    /** Runs the callback of a write; later calls for the same write have no effect. */
    public void onWritten(long id, boolean durable) {
        Consumer<Boolean> onResult = pendingWrites.remove(id);
        if (onResult != null) {
            onResult.accept(durable);
        }
    }

    /** Returns the outputs since the last call, in order. */
    public List<Output> drain() {
        List<Output> drained = pendingOutputs;
        pendingOutputs = new ArrayList<>();
        return drained;
    }
}
