package birchusher.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Collects what a step of the pool's machines decided, and keeps what is to happen once a write is durable. */
public final class Outbox {
    /** What the edge has to do. */
    public sealed interface Output {}

    /** Answers a request. {@code retryAfterS} 0: no such header. */
    public record Response(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Output {}

    /** Rows to be made durable together; a null value removes one. {@link Outbox#written} is told what became of it. */
    public record Write(long id, Map<String, Map<String, ?>> rows) implements Output {}

    private final Map<Long, Consumer<Boolean>> pendingWrites = new HashMap<>();
    private List<Output> pendingOutputs = new ArrayList<>();
    private long nextWriteId = 1;

    void answer(long exchange, int status, Map<String, ?> body) {
        pendingOutputs.add(new Response(exchange, status, body, 0));
    }

    void refuse(long exchange, int status, String why, int retryAfterS) {
        pendingOutputs.add(new Response(exchange, status, Map.of("error", why), retryAfterS));
    }

    /** @param then is told whether the rows are durable; false means that they may or may not be after a restart */
    void write(Map<String, Map<String, ?>> rows, Consumer<Boolean> then) {
        long id = nextWriteId++;
        pendingWrites.put(id, then);
        pendingOutputs.add(new Write(id, rows));
    }

    public void onWritten(long id, boolean durable) {
        Consumer<Boolean> then = pendingWrites.remove(id);
        if (then != null) {
            then.accept(durable);
        }
    }

    public List<Output> drain() {
        List<Output> o = pendingOutputs;
        pendingOutputs = new ArrayList<>();
        return o;
    }
}
