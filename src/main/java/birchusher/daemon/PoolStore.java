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
 * Keeps the pool's rows in a store separate from the controllers' state service, so that the pool is not subject to the
 * controllers' rate limits and no controller can write to it. Runs on the event loop's thread.
 */
final class PoolStore {
    private final DurableStoreRunner runner;

    PoolStore(DurableStoreRunner runner) {
        this.runner = runner;
    }

    /** Reads all durable rows, decoded, by key. To be called before the first write. */
    Map<String, Map<String, Object>> readAll() {
        Map<String, Map<String, Object>> rows = new HashMap<>();
        for (Map.Entry<String, Row> row : runner.durableState().rows().entrySet()) {
            rows.put(
                    row.getKey(),
                    Fields.map(MessagePackCodec.decode(row.getValue().value()), row.getKey()));
        }
        return rows;
    }

    /** Writes rows in one transaction, reports the outcome to the outbox, and then runs {@code afterwards}. */
    void write(Outbox.Write pending, Outbox outbox, Runnable afterwards) {
        List<Write> writes = new ArrayList<>();
        int totalBytes = 0;
        int largestBytes = 0;
        for (Map.Entry<String, Map<String, ?>> row : pending.rows().entrySet()) {
            if (row.getValue() == null) {
                writes.add(new Write.Remove(row.getKey()));
            } else {
                int sizeBytes = Json.sizeBytes(row.getValue());
                totalBytes += sizeBytes;
                largestBytes = Math.max(largestBytes, sizeBytes);
                writes.add(new Write.Set(row.getKey(), MessagePackCodec.encode(row.getValue()), 0));
            }
        }
        runner.submit(new Request.Transaction(List.of(), writes, totalBytes, largestBytes), reply -> {
            outbox.onWritten(pending.id(), reply instanceof Reply.Committed);
            afterwards.run();
        });
    }
}
