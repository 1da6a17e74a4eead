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
    private record Row(Object value, long revision, long lease) {}

    private record Event(String key, Object value, long revision) {}

    private record Watch(
            String prefix, long sinceRevision, long untilMs, BiConsumer<Integer, Map<String, Object>> reply) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long nextLeaseId = 1;
    private long outageSinceMs = -1;
    /** Changes up to this revision are not kept any more. */
    private long compactedRevision;

    /** The first transaction that writes a row with such a key is carried out and gets no answer; null: none, or it has come. */
    String loseReplyForKeyPrefix;

    /** Every watch from before now is too old: whoever lags has to read everything again. */
    void compactHistory() {
        compactedRevision = revision;
        history.clear();
    }

    /** The rows as they stand, for failure messages. */
    String dump() {
        StringBuilder sb = new StringBuilder();
        rows.forEach((k, r) -> sb.append(k).append(" = ").append(r.value).append('\n'));
        return sb.toString();
    }

    void setOutage(boolean on, long now) {
        if (on) {
            outageSinceMs = now;
        } else {
            leases.values().forEach(l -> l[1] = now + l[0]);
            outageSinceMs = -1;
        }
    }

    boolean inOutage() {
        return outageSinceMs >= 0;
    }

    void tick(long now) {
        if (inOutage()) {
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
                revision++;
                keys.forEach(k -> putRow(k, null, 0));
            }
            return true;
        });
        for (Watch w : List.copyOf(watches)) {
            List<Object> events = eventsSince(w.prefix, w.sinceRevision);
            if (!events.isEmpty() || now >= w.untilMs) {
                watches.remove(w);
                w.reply.accept(200, Map.of("epoch", revision, "events", events));
            }
        }
    }

    private void putRow(String key, Object value, long lease) {
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, new Row(value, revision, lease));
        }
        history.add(new Event(key, value, revision));
    }

    private List<Object> eventsSince(String prefix, long since) {
        List<Object> l = new ArrayList<>();
        for (Event e : history) {
            if (e.revision > since && e.key.startsWith(prefix)) {
                l.add(
                        e.value == null
                                ? Map.of("remove", e.key, "stamp", e.revision)
                                : Map.of("set", e.key, "value", e.value, "stamp", e.revision));
            }
        }
        return l;
    }

    private static Map<String, String> queryParameters(String target) {
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
    private static final int MAX_TRANSACTION_WRITES = 12;

    /** Transactions that lack a condition the safety argument rests on; luck with timing must not hide one. */
    final List<String> unsafeTransactions = new ArrayList<>();
    /** Reads of single rows. */
    int rowReads;
    /** Listings that are still to be refused, as over the limit; the first page of a reading is always answered. */
    int listingsToRefuse;
    /** Listings answered, and rows of each at most. */
    int listingsAnswered;

    int maxRowsPerListing = 1_000;

    /** A row as some other version of us, or a mistake, might leave it. */
    void injectRow(String key, Object value) {
        revision++;
        putRow(key, value, 0);
    }

    /** Jobs with zone rules and several rows: of two claims for them one must fail if it does not know of the other. */
    final java.util.Set<String> jobsWithZoneRules = new java.util.HashSet<>();

    /** Rows in transactions sent, applied or not. */
    int rowsWritten;

    @SuppressWarnings("unchecked")
    private void checkTransaction(Map<String, Object> body) {
        rowsWritten += ((List<Object>) body.get("writes")).size();
        java.util.Set<String> on = new java.util.HashSet<>();
        ((List<Object>) body.get("if")).forEach(c -> on.add((String) ((Map<String, Object>) c).get("path")));
        for (Object o : (List<Object>) body.get("writes")) {
            Map<String, Object> w = (Map<String, Object>) o;
            String key = (String) (w.get("set") != null ? w.get("set") : w.get("remove"));
            if (!on.contains(key)) {
                unsafeTransactions.add("unconditional write of " + key);
            }
            if (!key.startsWith("b/live/place/") || w.get("set") == null) {
                continue;
            }
            if (on.stream().noneMatch(k -> k.startsWith("b/live/shard/"))) {
                unsafeTransactions.add("placement without an owner's term: " + key);
            }
            Row old = rows.get(key);
            long before = old == null ? 0 : (Long) ((Map<String, Object>) old.value).get("a");
            boolean claims = (Long) ((Map<String, Object>) w.get("value")).get("a") > before;
            String job = key.substring("b/live/place/".length(), key.lastIndexOf('/'));
            if (claims && jobsWithZoneRules.contains(job) && !on.contains("b/live/place/" + job + "/0")) {
                unsafeTransactions.add(
                        "claim of a job whose zones are bound beside rows that it does not condition on: " + key);
            }
            if (claims
                    && !(on.contains("b/live/job/" + job) && on.stream().anyMatch(k -> k.startsWith("b/live/gate/")))) {
                unsafeTransactions.add("claim without its job or its team's gate: " + key);
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
        Map<String, String> q = queryParameters(target);
        if (target.startsWith("/watch")) {
            if (Long.parseLong(q.get("since")) < compactedRevision && !inOutage()) {
                reply.accept(410, Map.of());
                return;
            }
            watches.add(new Watch(
                    q.get("under"),
                    Long.parseLong(q.get("since")),
                    now + Long.parseLong(q.getOrDefault("wait_ms", "0")),
                    reply));
            if (!inOutage()) {
                tick(now);
            }
            return;
        }
        if (inOutage()) {
            reply.accept(503, Map.of());
        } else if (target.startsWith("/store?")) {
            if (listingsToRefuse > 0 && !q.getOrDefault("since", "").isEmpty()) {
                listingsToRefuse--;
                reply.accept(429, Map.of());
                return;
            }
            List<Object> l = new ArrayList<>();
            boolean[] more = new boolean[1];
            rows.tailMap(q.getOrDefault("since", ""), false).forEach((k, r) -> {
                if (k.startsWith(q.get("under"))) {
                    more[0] |= l.size() >= maxRowsPerListing;
                    if (l.size() < maxRowsPerListing) {
                        l.add(Map.of("path", k, "value", r.value, "stamp", r.revision));
                    }
                }
            });
            listingsAnswered++;
            reply.accept(200, Map.of("rows", l, "has_next", more[0], "epoch", revision));
        } else if (target.startsWith("/store/")) {
            rowReads++;
            Row r = rows.get(target.substring(7));
            reply.accept(
                    r == null ? 404 : 200,
                    r == null
                            ? Map.of("epoch", revision)
                            : Map.of("path", target.substring(7), "value", r.value, "stamp", r.revision));
        } else if (target.equals("/multi")
                && (((List<Object>) body.get("writes")).size() > MAX_TRANSACTION_WRITES
                        || ((List<Object>) body.get("if")).size() > 4 * MAX_TRANSACTION_WRITES)) {
            unsafeTransactions.add("more than a transaction may hold: " + ((List<Object>) body.get("writes")).size()
                    + " writes, " + ((List<Object>) body.get("if")).size() + " conditions");
            reply.accept(400, Map.of("error", "too many operations"));
        } else if (target.equals("/multi")) {
            List<String> failed = new ArrayList<>();
            for (Object o : (List<Object>) body.get("if")) {
                Map<String, Object> c = (Map<String, Object>) o;
                Row r = rows.get((String) c.get("path"));
                if ((r == null ? 0 : r.revision) != (Long) c.get("stamp")) {
                    failed.add((String) c.get("path"));
                }
            }
            if (!failed.isEmpty()) {
                reply.accept(409, Map.of("failed", failed, "epoch", revision));
                return;
            }
            checkTransaction(body);
            revision++;
            for (Object o : (List<Object>) body.get("writes")) {
                Map<String, Object> w = (Map<String, Object>) o;
                if (w.get("set") != null) {
                    putRow((String) w.get("set"), w.get("value"), w.get("hold") == null ? 0 : (Long) w.get("hold"));
                } else {
                    putRow((String) w.get("remove"), null, 0);
                }
            }
            String lost = loseReplyForKeyPrefix;
            if (lost != null
                    && ((List<Object>) body.get("writes"))
                            .stream()
                                    .anyMatch(o -> ((Map<String, Object>) o).get("set") instanceof String k
                                            && k.startsWith(lost))) {
                loseReplyForKeyPrefix = null;
            } else {
                reply.accept(200, Map.of("epoch", revision));
            }
            tick(now);
        } else if (target.equals("/leases")) {
            long ttl = (Long) body.get("life_ms");
            leases.put(nextLeaseId, new long[] {ttl, now + ttl});
            reply.accept(200, Map.of("hold", nextLeaseId++));
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
