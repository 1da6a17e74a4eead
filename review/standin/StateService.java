package standin;

import birchusher.wire.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol: versions, transactions, leases, watches, limits, and outages. */
final class StateService {
    private static final int KEPT_CHANGES = 10_000;
    private static final int LEASE_LATE_MS = 50;

    private record Row(Object value, long stamp, long hold) {}

    private record Event(String key, Object value, long stamp) {}

    private static final class Lease {
        long lifeMs;
        long endMs;
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final double rps;
    private final double writeRps;
    private final int valueKb;
    private final int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilledMs = Net.now();
    private long epoch;
    private long droppedUpTo;
    private long nextHold = 1;
    private boolean outage;

    StateService(double rps, double writeRps, int valueKb, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        Net.start("state-leases", () -> {
            while (true) {
                Net.sleep(20);
                endLeases();
            }
        });
    }

    /** Begins or ends an outage. While it lasts no lease ends; afterwards every lease has its full time again. */
    synchronized void outage(boolean begins) {
        outage = begins;
        if (!begins) {
            leases.values().forEach(lease -> lease.endMs = Net.now() + lease.lifeMs);
        }
        notifyAll();
    }

    /** The value of a row, for the record of a script only. */
    synchronized Object value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value;
    }

    private synchronized void endLeases() {
        if (outage) {
            return;
        }
        long now = Net.now();
        List<Long> ended = new ArrayList<>();
        leases.forEach((hold, lease) -> {
            if (now > lease.endMs + LEASE_LATE_MS) {
                ended.add(hold);
            }
        });
        for (long hold : ended) {
            leases.remove(hold);
            List<String> keys = new ArrayList<>();
            rows.forEach((key, row) -> {
                if (row.hold == hold) {
                    keys.add(key);
                }
            });
            if (!keys.isEmpty()) {
                epoch++;
                keys.forEach(key -> write(key, null, 0));
            }
        }
        if (!ended.isEmpty()) {
            notifyAll();
        }
    }

    private void write(String key, Object value, long hold) {
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, new Row(value, epoch, hold));
        }
        events.add(new Event(key, value, epoch));
        while (events.size() > KEPT_CHANGES) {
            droppedUpTo = events.remove(0).stamp;
        }
    }

    private boolean take(int writes) {
        long now = Net.now();
        requestTokens = Math.min(rps, requestTokens + (now - refilledMs) * rps / 1000);
        writeTokens = Math.min(writeRps, writeTokens + (now - refilledMs) * writeRps / 1000);
        refilledMs = now;
        if (requestTokens < 1 || writes > 0 && writeTokens < Math.min(writes, writeRps)) {
            return false;
        }
        requestTokens--;
        writeTokens -= writes;
        return true;
    }

    private static final Net.Reply TOO_MANY = new Net.Reply(429, Map.of("error", "too many"));
    private static final Net.Reply TROUBLE = new Net.Reply(503, Map.of("error", "trouble"));

    Net.Reply handle(String method, String target, Map<String, Object> body) throws InterruptedException {
        if (target.startsWith("/watch")) {
            return watch(Net.query(target));
        }
        synchronized (this) {
            if (outage) {
                return TROUBLE;
            }
            int writes = target.equals("/multi") ? Net.asList(body.get("writes")).size() : 0;
            if (!take(writes)) {
                return TOO_MANY;
            }
            if (target.startsWith("/store?")) {
                return list(Net.query(target));
            }
            if (target.startsWith("/store/")) {
                String key = target.substring("/store/".length());
                Row row = rows.get(key);
                if (row == null) {
                    return new Net.Reply(404, Map.of("epoch", epoch));
                }
                Map<String, Object> reply = new LinkedHashMap<>();
                reply.put("path", key);
                reply.put("value", row.value);
                reply.put("stamp", row.stamp);
                if (row.hold > 0) {
                    reply.put("hold", row.hold);
                }
                return new Net.Reply(200, reply);
            }
            if (target.equals("/multi")) {
                return transaction(body);
            }
            return lease(method, target, body);
        }
    }

    private Net.Reply lease(String method, String target, Map<String, Object> body) {
        if (target.equals("/leases")) {
            Lease lease = new Lease();
            lease.lifeMs = Net.asLong(body.get("life_ms"), 0);
            lease.endMs = Net.now() + lease.lifeMs;
            leases.put(nextHold, lease);
            return new Net.Reply(200, Map.of("hold", nextHold++));
        }
        long hold = Long.parseLong(target.split("/")[2]);
        Lease lease = leases.get(hold);
        if (lease == null) {
            return new Net.Reply(404, Map.of("error", "no such lease"));
        }
        lease.endMs = method.equals("DELETE") ? 0 : Net.now() + lease.lifeMs;
        return new Net.Reply(200, Map.of("hold", hold));
    }

    private Net.Reply list(Map<String, String> query) {
        List<Object> page = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        String under = query.get("under");
        for (Map.Entry<String, Row> entry :
                rows.tailMap(query.getOrDefault("since", ""), false).entrySet()) {
            if (!entry.getKey().startsWith(under)) {
                continue;
            }
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("path", entry.getKey());
            row.put("value", entry.getValue().value);
            row.put("stamp", entry.getValue().stamp);
            bytes += Json.sizeBytes(row);
            if (page.size() >= limit || bytes > 512 * 1024) {
                more = true;
                break;
            }
            page.add(row);
        }
        return new Net.Reply(200, Map.of("rows", page, "has_next", more, "epoch", epoch));
    }

    private Net.Reply transaction(Map<String, Object> body) {
        List<Object> conditions = Net.asList(body.get("if"));
        List<Object> writes = Net.asList(body.get("writes"));
        if (writes.size() > txnOps || conditions.size() > 4 * txnOps || Json.sizeBytes(body) > 64 * 1024) {
            Record.line("state service: transaction too large, %d writes", writes.size());
            return new Net.Reply(400, Map.of("error", "too large"));
        }
        for (Object item : writes) {
            Map<String, Object> write = Net.asMap(item);
            if (write.get("set") != null) {
                if (Json.sizeBytes(Net.asMap(write.get("value"))) > valueKb * 1024) {
                    Record.line("state service: value of %s too large", write.get("set"));
                    return new Net.Reply(400, Map.of("error", "value too large"));
                }
                if (write.get("hold") != null && !leases.containsKey(Net.asLong(write.get("hold"), 0))) {
                    return new Net.Reply(400, Map.of("error", "no such lease"));
                }
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : conditions) {
            Map<String, Object> condition = Net.asMap(item);
            Row row = rows.get((String) condition.get("path"));
            if ((row == null ? 0 : row.stamp) != Net.asLong(condition.get("stamp"), 0)) {
                failed.add(condition.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return new Net.Reply(409, Map.of("failed", failed, "epoch", epoch));
        }
        if (!writes.isEmpty()) {
            epoch++;
            for (Object item : writes) {
                Map<String, Object> write = Net.asMap(item);
                if (write.get("set") != null) {
                    write((String) write.get("set"), write.get("value"), Net.asLong(write.get("hold"), 0));
                } else {
                    write((String) write.get("remove"), null, 0);
                }
            }
            notifyAll();
        }
        return new Net.Reply(200, Map.of("epoch", epoch));
    }

    private synchronized Net.Reply watch(Map<String, String> query) throws InterruptedException {
        if (outage) {
            return TROUBLE;
        }
        if (!outage && !take(0)) {
            return TOO_MANY;
        }
        long since = Long.parseLong(query.get("since"));
        String under = query.get("under");
        long endMs = Net.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            if (!outage) {
                if (since < droppedUpTo) {
                    return new Net.Reply(410, Map.of("error", "too old"));
                }
                List<Object> found = new ArrayList<>();
                for (int i = events.size() - 1; i >= 0 && events.get(i).stamp > since; i--) {
                    Event event = events.get(i);
                    if (event.key.startsWith(under)) {
                        found.add(
                                0,
                                event.value == null
                                        ? Map.of("remove", event.key, "stamp", event.stamp)
                                        : Map.of("set", event.key, "value", event.value, "stamp", event.stamp));
                    }
                }
                if (!found.isEmpty() || Net.now() >= endMs) {
                    return new Net.Reply(200, Map.of("epoch", epoch, "events", found));
                }
            }
            wait(outage ? 100 : Math.max(1, endMs - Net.now()));
        }
    }
}
