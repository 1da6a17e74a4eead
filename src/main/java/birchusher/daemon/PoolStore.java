package birchusher.daemon;

import birchusher.core.Fields;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Row;
import birchusher.kv.Write;
import birchusher.pool.Outbox;
import birchusher.statehost.DurableStoreRunner;
import birchusher.wire.Json;
import birchusher.wire.MessagePackCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The pool's rows in a store of their own, beside the controllers': a pool that has to wait for the controllers' limits, or
 * that a controller could write to, would be none.
 */
final class PoolStore {
    private final DurableStoreRunner runner;

    PoolStore(DurableStoreRunner host) {
        this.runner = host;
    }

    /** All rows, as they are at the start. */
    Map<String, Map<String, Object>> readAll() {
        Map<String, Map<String, Object>> all = new HashMap<>();
        for (Map.Entry<String, Row> e : runner.durableState().rows().entrySet()) {
            all.put(e.getKey(), Fields.map(MessagePackCodec.decode(e.getValue().value()), e.getKey()));
        }
        return all;
    }

    /** One write; the outbox is told what became of it, and {@code then} runs after that. */
    void write(Outbox.Write w, Outbox outbox, Runnable then) {
        List<Write> writes = new ArrayList<>();
        int bytes = 0;
        int largest = 0;
        for (Map.Entry<String, Map<String, ?>> e : w.rows().entrySet()) {
            if (e.getValue() == null) {
                writes.add(new Write.Remove(e.getKey()));
            } else {
                int size = Json.sizeBytes(e.getValue());
                bytes += size;
                largest = Math.max(largest, size);
                writes.add(new Write.Set(e.getKey(), MessagePackCodec.encode(e.getValue()), 0));
            }
        }
        runner.submit(new Request.Transaction(List.of(), writes, bytes, largest), reply -> {
            outbox.onWritten(w.id(), reply instanceof Reply.Committed);
            then.run();
        });
    }
}
