import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol, in memory, with its limits. */
final class State {
    private record Row(Object value, long stamp, long hold) {}

    private record Event(String key, Object value, long stamp) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Deque<Event> history = new ArrayDeque<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private final int txnOps;
    private final double valueKb;
    private final double[] requests;
    private final double[] writes;
    private final World world;
    /** Integers smaller than 2^64, as the bits of a long. */
    private long epoch;

    private long compacted;
    private long nextLease = 7;
    final Net.Server server;
    int rejected;
    int committed;

    State(World world, double rps, double writeRps, double valueKb, int txnOps, long firstEpoch) throws Exception {
        this.world = world;
        epoch = firstEpoch;
        compacted = firstEpoch == 0 ? 0 : firstEpoch - 1;
        this.txnOps = txnOps;
        this.valueKb = valueKb;
        requests = new double[] {rps, rps, System.nanoTime()};
        writes = new double[] {writeRps, writeRps, System.nanoTime()};
        server = new Net.Server(this::handle);
        Net.thread("leases", () -> {
            while (true) {
                expire();
                World.sleep(20);
            }
        });
    }

    /** Takes from a bucket that holds one second's worth; false: over the limit. */
    private static boolean take(double[] bucket, double count) {
        double now = System.nanoTime();
        bucket[1] = Math.min(bucket[0], bucket[1] + (now - bucket[2]) / 1e9 * bucket[0]);
        bucket[2] = now;
        if (bucket[1] < count) {
            return false;
        }
        bucket[1] -= count;
        return true;
    }

    private synchronized void expire() {
        long now = World.nowMs();
        List<Long> over = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (now > lease[1] + 40) {
                over.add(id);
            }
        });
        over.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (row.hold == id) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            epoch++;
            keys.forEach(key -> put(key, null, 0));
        }
        notifyAll();
    }

    private void put(String key, Object value, long hold) {
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, new Row(value, epoch, hold));
        }
        history.add(new Event(key, value, epoch));
        while (history.size() > 10_000) {
            compacted = history.poll().stamp;
        }
    }

    private static Object number(long bits) {
        return bits >= 0 ? (Object) bits : new BigInteger(Long.toUnsignedString(bits));
    }

    private static Map<String, String> query(String target) {
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

    private Net.Answer handle(String method, String target, byte[] body) throws Exception {
        Map<String, String> query = query(target);
        synchronized (this) {
            if (!take(requests, 1)) {
                return new Net.Answer(429, Map.of());
            }
            if (target.startsWith("/watch")) {
                return watch(query);
            } else if (target.startsWith("/store?")) {
                return list(query);
            } else if (target.startsWith("/store/")) {
                String key = target.substring(7);
                Row row = rows.get(key);
                return row == null
                        ? new Net.Answer(404, Map.of("epoch", number(epoch)))
                        : new Net.Answer(200, rowFields(key, row));
            } else if (target.equals("/multi")) {
                return multi(body);
            } else if (target.equals("/leases")) {
                long life = ((Number) fields(body).get("life_ms")).longValue();
                leases.put(nextLease, new long[] {life, World.nowMs() + life});
                return new Net.Answer(200, Map.of("hold", nextLease++));
            } else if (target.startsWith("/leases/")) {
                long id = Long.parseLong(target.split("/")[2]);
                long[] lease = leases.get(id);
                if (lease == null) {
                    return new Net.Answer(404, Map.of());
                }
                if (method.equals("DELETE")) {
                    endLease(id);
                } else {
                    lease[1] = World.nowMs() + lease[0];
                }
                return new Net.Answer(200, Map.of("hold", id));
            }
            return new Net.Answer(400, Map.of());
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> fields(byte[] body) {
        return (Map<String, Object>) Pack.decode(body);
    }

    private static Map<String, Object> rowFields(String key, Row row) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("path", key);
        fields.put("value", row.value);
        fields.put("stamp", number(row.stamp));
        if (row.hold != 0) {
            fields.put("hold", row.hold);
        }
        return fields;
    }

    private Net.Answer list(Map<String, String> query) {
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, Row> entry :
                rows.tailMap(query.getOrDefault("since", ""), false).entrySet()) {
            if (!entry.getKey().startsWith(query.getOrDefault("under", ""))) {
                continue;
            }
            Map<String, Object> fields = rowFields(entry.getKey(), entry.getValue());
            bytes += Pack.jsonSize(fields);
            if (found.size() >= page || bytes > 500 * 1024) {
                return new Net.Answer(200, Map.of("rows", found, "has_next", true, "epoch", number(epoch)));
            }
            found.add(fields);
        }
        return new Net.Answer(200, Map.of("rows", found, "has_next", false, "epoch", number(epoch)));
    }

    private Net.Answer watch(Map<String, String> query) throws InterruptedException {
        long since = Long.parseUnsignedLong(query.get("since"));
        String under = query.getOrDefault("under", "");
        long until = World.nowMs() + Math.min(60_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        while (true) {
            if (Long.compareUnsigned(since, compacted) < 0) {
                return new Net.Answer(410, Map.of());
            }
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (Long.compareUnsigned(event.stamp, since) > 0 && event.key.startsWith(under)) {
                    events.add(
                            event.value == null
                                    ? Map.of("remove", event.key, "stamp", number(event.stamp))
                                    : Map.of("set", event.key, "value", event.value, "stamp", number(event.stamp)));
                }
            }
            long left = until - World.nowMs();
            if (!events.isEmpty() || left <= 0) {
                return new Net.Answer(200, Map.of("epoch", number(epoch), "events", events));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Net.Answer multi(byte[] raw) {
        Map<String, Object> body = fields(raw);
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) body.getOrDefault("if", List.of());
        List<Map<String, Object>> changes = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        String error = null;
        if (changes.size() > txnOps) {
            error = changes.size() + " puts and deletes, limit " + txnOps;
        } else if (conditions.size() > 4 * txnOps) {
            error = conditions.size() + " conditions";
        } else if (Pack.jsonSize(body) > 64 * 1024) {
            error = Pack.jsonSize(body) + " bytes";
        }
        for (Map<String, Object> change : changes) {
            if (change.get("set") != null && Pack.jsonSize(change.get("value")) > valueKb * 1024) {
                error = "value of " + change.get("set") + " too large";
            }
            if (change.get("hold") != null && !leases.containsKey(((Number) change.get("hold")).longValue())) {
                return new Net.Answer(400, Map.of("error", "no such lease"));
            }
        }
        if (error != null) {
            if (rejected++ < 20) {
                world.record("state service: transaction refused with 400: " + error);
            }
            return new Net.Answer(400, Map.of("error", error));
        }
        if (!take(writes, changes.size())) {
            return new Net.Answer(429, Map.of());
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Row row = rows.get((String) condition.get("path"));
            if ((row == null ? 0 : row.stamp) != ((Number) condition.get("stamp")).longValue()) {
                failed.add(condition.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return new Net.Answer(409, Map.of("failed", failed, "epoch", number(epoch)));
        }
        if (!changes.isEmpty()) {
            epoch++;
            committed++;
            if (epoch == Long.MIN_VALUE) {
                world.record("state service: the epoch is now 2^63 = " + Long.toUnsignedString(epoch));
            }
        }
        for (Map<String, Object> change : changes) {
            if (change.get("set") != null) {
                put(
                        (String) change.get("set"),
                        change.get("value"),
                        change.get("hold") == null ? 0 : ((Number) change.get("hold")).longValue());
            } else {
                put((String) change.get("remove"), null, 0);
            }
        }
        notifyAll();
        return new Net.Answer(200, Map.of("epoch", number(epoch)));
    }
}
