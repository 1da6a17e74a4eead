package birchusher.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** A stand-in for the state service, by its published protocol. Answers go to a callback; watches may wait. */
final class FakeStore {
    private record Row(Object value, long stamp, long lease) {}

    private record Event(String key, Object value, long stamp) {}

    private record Watch(String prefix, long since, long until, BiConsumer<Integer, Map<String, Object>> reply) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long epoch;
    private long nextLease = 1;
    private long outageSince = -1;
    /** Changes up to this revision are not kept any more. */
    private long forgotten;

    /** The first transaction that writes a row with such a key is carried out and gets no answer; null: none, or it has come. */
    String answerLostOf;

    /** Every watch from before now is too old: whoever lags has to read everything again. */
    void forgetHistory() {
        forgotten = epoch;
        history.clear();
    }

    /** The rows as they stand, for failure messages. */
    String dump() {
        StringBuilder sb = new StringBuilder();
        rows.forEach((k, r) -> sb.append(k).append(" = ").append(r.value).append('\n'));
        return sb.toString();
    }

    void outage(boolean on, long now) {
        if (on) {
            outageSince = now;
        } else {
            leases.values().forEach(l -> l[1] = now + l[0]);
            outageSince = -1;
        }
    }

    boolean out() {
        return outageSince >= 0;
    }

    void tick(long now) {
        if (out()) {
            return;
        }
        leases.entrySet().removeIf(e -> {
            if (now <= e.getValue()[1] + 50) {
                return false;
            }
            List<String> keys = new ArrayList<>();
            rows.forEach((k, r) -> {
                if (r.lease == e.getKey()) {
                    keys.add(k);
                }
            });
            if (!keys.isEmpty()) {
                epoch++;
                keys.forEach(k -> set(k, null, 0));
            }
            return true;
        });
        for (Watch w : List.copyOf(watches)) {
            List<Object> events = events(w.prefix, w.since);
            if (!events.isEmpty() || now >= w.until) {
                watches.remove(w);
                w.reply.accept(200, Map.of("epoch", epoch, "events", events));
            }
        }
    }

    private void set(String key, Object value, long lease) {
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, new Row(value, epoch, lease));
        }
        history.add(new Event(key, value, epoch));
    }

    private List<Object> events(String prefix, long since) {
        List<Object> l = new ArrayList<>();
        for (Event e : history) {
            if (e.stamp > since && e.key.startsWith(prefix)) {
                l.add(
                        e.value == null
                                ? Map.of("remove", e.key, "stamp", e.stamp)
                                : Map.of("set", e.key, "value", e.value, "stamp", e.stamp));
            }
        }
        return l;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> q = new HashMap<>();
        int i = target.indexOf('?');
        if (i >= 0) {
            for (String p : target.substring(i + 1).split("&")) {
                int eq = p.indexOf('=');
                q.put(p.substring(0, eq), p.substring(eq + 1));
            }
        }
        return q;
    }

    /** As in the world's settings. */
    private static final int TXN_OPS = 12;

    /** Transactions that lack a condition the safety argument rests on; luck with timing must not hide one. */
    final List<String> unsafe = new ArrayList<>();
    /** Reads of single rows. */
    int gets;
    /** Listings that are still to be refused, as over the limit; the first page of a reading is always answered. */
    int refusedPages;
    /** Listings answered, and rows of each at most. */
    int pages;

    int pageRows = 1_000;

    /** A row as some other version of us, or a mistake, might leave it. */
    void plant(String key, Object value) {
        epoch++;
        set(key, value, 0);
    }

    /** Jobs with zone rules and several rows: of two claims for them one must fail if it does not know of the other. */
    final java.util.Set<String> zoned = new java.util.HashSet<>();

    /** Rows in transactions sent, applied or not. */
    int written;

    @SuppressWarnings("unchecked")
    private void audit(Map<String, Object> body) {
        written += ((List<Object>) body.get("writes")).size();
        java.util.Set<String> on = new java.util.HashSet<>();
        ((List<Object>) body.get("if")).forEach(c -> on.add((String) ((Map<String, Object>) c).get("path")));
        for (Object o : (List<Object>) body.get("writes")) {
            Map<String, Object> w = (Map<String, Object>) o;
            String key = (String) (w.get("set") != null ? w.get("set") : w.get("remove"));
            if (!on.contains(key)) {
                unsafe.add("unconditional write of " + key);
            }
            if (!key.startsWith("b/live/place/") || w.get("set") == null) {
                continue;
            }
            if (on.stream().noneMatch(k -> k.startsWith("b/live/shard/"))) {
                unsafe.add("placement without an owner's term: " + key);
            }
            Row old = rows.get(key);
            long before = old == null ? 0 : (Long) ((Map<String, Object>) old.value).get("a");
            boolean claims = (Long) ((Map<String, Object>) w.get("value")).get("a") > before;
            String job = key.substring("b/live/place/".length(), key.lastIndexOf('/'));
            if (claims && zoned.contains(job) && !on.contains("b/live/place/" + job + "/0")) {
                unsafe.add("claim of a job whose zones are bound beside rows that it does not condition on: " + key);
            }
            if (claims
                    && !(on.contains("b/live/job/" + job) && on.stream().anyMatch(k -> k.startsWith("b/live/gate/")))) {
                unsafe.add("claim without its job or its team's gate: " + key);
            }
        }
    }

    @SuppressWarnings("unchecked")
    void handle(
            long now,
            String method,
            String target,
            Map<String, Object> body,
            BiConsumer<Integer, Map<String, Object>> reply) {
        Map<String, String> q = query(target);
        if (target.startsWith("/watch")) {
            if (Long.parseLong(q.get("since")) < forgotten && !out()) {
                reply.accept(410, Map.of());
                return;
            }
            watches.add(new Watch(
                    q.get("under"),
                    Long.parseLong(q.get("since")),
                    now + Long.parseLong(q.getOrDefault("wait_ms", "0")),
                    reply));
            if (!out()) {
                tick(now);
            }
            return;
        }
        if (out()) {
            reply.accept(503, Map.of());
        } else if (target.startsWith("/store?")) {
            if (refusedPages > 0 && !q.getOrDefault("since", "").isEmpty()) {
                refusedPages--;
                reply.accept(429, Map.of());
                return;
            }
            List<Object> l = new ArrayList<>();
            boolean[] more = new boolean[1];
            rows.tailMap(q.getOrDefault("since", ""), false).forEach((k, r) -> {
                if (k.startsWith(q.get("under"))) {
                    more[0] |= l.size() >= pageRows;
                    if (l.size() < pageRows) {
                        l.add(Map.of("path", k, "value", r.value, "stamp", r.stamp));
                    }
                }
            });
            pages++;
            reply.accept(200, Map.of("rows", l, "has_next", more[0], "epoch", epoch));
        } else if (target.startsWith("/store/")) {
            gets++;
            Row r = rows.get(target.substring(7));
            reply.accept(
                    r == null ? 404 : 200,
                    r == null
                            ? Map.of("epoch", epoch)
                            : Map.of("path", target.substring(7), "value", r.value, "stamp", r.stamp));
        } else if (target.equals("/multi")
                && (((List<Object>) body.get("writes")).size() > TXN_OPS
                        || ((List<Object>) body.get("if")).size() > 4 * TXN_OPS)) {
            unsafe.add("more than a transaction may hold: " + ((List<Object>) body.get("writes")).size() + " writes, "
                    + ((List<Object>) body.get("if")).size() + " conditions");
            reply.accept(400, Map.of("error", "too many operations"));
        } else if (target.equals("/multi")) {
            List<String> failed = new ArrayList<>();
            for (Object o : (List<Object>) body.get("if")) {
                Map<String, Object> c = (Map<String, Object>) o;
                Row r = rows.get((String) c.get("path"));
                if ((r == null ? 0 : r.stamp) != (Long) c.get("stamp")) {
                    failed.add((String) c.get("path"));
                }
            }
            if (!failed.isEmpty()) {
                reply.accept(409, Map.of("failed", failed, "epoch", epoch));
                return;
            }
            audit(body);
            epoch++;
            for (Object o : (List<Object>) body.get("writes")) {
                Map<String, Object> w = (Map<String, Object>) o;
                if (w.get("set") != null) {
                    set((String) w.get("set"), w.get("value"), w.get("hold") == null ? 0 : (Long) w.get("hold"));
                } else {
                    set((String) w.get("remove"), null, 0);
                }
            }
            String lost = answerLostOf;
            if (lost != null
                    && ((List<Object>) body.get("writes"))
                            .stream()
                                    .anyMatch(o -> ((Map<String, Object>) o).get("set") instanceof String k
                                            && k.startsWith(lost))) {
                answerLostOf = null;
            } else {
                reply.accept(200, Map.of("epoch", epoch));
            }
            tick(now);
        } else if (target.equals("/leases")) {
            long ttl = (Long) body.get("life_ms");
            leases.put(nextLease, new long[] {ttl, now + ttl});
            reply.accept(200, Map.of("hold", nextLease++));
        } else {
            long id = Long.parseLong(target.split("/")[2]);
            long[] l = leases.get(id);
            if (l != null) {
                l[1] = now + l[0];
            }
            reply.accept(l == null ? 404 : 200, Map.of());
        }
    }
}
