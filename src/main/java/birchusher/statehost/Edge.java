package birchusher.statehost;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.Target;
import birchusher.kv.Limits;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Row;
import birchusher.kv.State;
import birchusher.kv.Write;
import birchusher.wire.Json;
import birchusher.wire.Pack;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The published form of the state service's requests and replies. Pure. */
final class Edge {
    /** How a reply goes out; {@code status} 0: not at all, the connection ends. */
    record Out(int status, Map<String, ?> body, int retryAfterS) {}

    /** A request that the protocol does not have. */
    static final class NotThere extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        NotThere(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    private Edge() {}

    static Request read(String method, String target, byte[] body) throws NotThere {
        try {
            Target t = Target.parse(target);
            if (t.path().equals(Wire.STORE)) {
                only(method, "GET");
                return new Request.Page(t.text(Wire.PREFIX, ""), t.text(Wire.AFTER, null), most(t));
            }
            if (t.path().startsWith(Wire.STORE + "/")) {
                only(method, "GET");
                return new Request.Get(t.path().substring(Wire.STORE.length() + 1));
            }
            if (t.path().equals(Wire.MULTI)) {
                only(method, "POST");
                return txn(Fields.map(Pack.decode(body), "body"));
            }
            if (t.path().equals(Wire.WATCH)) {
                only(method, "GET");
                if (!t.params().containsKey(Wire.AFTER)) {
                    throw new InvalidInputException(Wire.AFTER + ": missing");
                }
                long wait = t.count("wait_ms", 0);
                if (wait > Limits.MOST_WAIT_MS) {
                    throw new InvalidInputException("wait_ms: above " + Limits.MOST_WAIT_MS);
                }
                return new Request.Watch(t.text(Wire.PREFIX, ""), t.count(Wire.AFTER, 0), wait);
            }
            if (t.path().equals(Wire.LEASES)) {
                only(method, "POST");
                return new Request.Grant(Fields.count(Fields.map(Pack.decode(body), "body"), Wire.TTL));
            }
            if (t.path().startsWith(Wire.LEASES + "/")) {
                String id = t.path().substring(Wire.LEASES.length() + 1);
                if (id.endsWith(Wire.EXTEND)) {
                    only(method, "POST");
                    return new Request.Extend(lease(id.substring(0, id.length() - Wire.EXTEND.length())));
                }
                only(method, "DELETE");
                return new Request.End(lease(id));
            }
        } catch (Target.Bad e) {
            throw new InvalidInputException(e.getMessage());
        }
        throw new NotThere(404, "no such path");
    }

    private static void only(String method, String allowed) throws NotThere {
        if (!method.equals(allowed)) {
            throw new NotThere(405, "only " + allowed);
        }
    }

    private static int most(Target t) throws Target.Bad {
        long n = t.count(Wire.LIMIT, Limits.PAGE);
        if (n < 1 || n > Limits.PAGE) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + Limits.PAGE);
        }
        return (int) n;
    }

    private static long lease(String id) throws NotThere {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            throw new NotThere(404, "no such lease");
        }
    }

    private static Request txn(Map<String, Object> m) {
        List<Request.Condition> conditions = new ArrayList<>();
        if (m.get(Wire.IF) != null) {
            for (Object o : Fields.list(m, Wire.IF)) {
                Map<String, Object> c = Fields.map(o, Wire.IF);
                conditions.add(new Request.Condition(key(c, Wire.KEY), Fields.count(c, Wire.VERSION)));
            }
        }
        List<Write> writes = new ArrayList<>();
        int largest = 0;
        if (m.get(Wire.THEN) != null) {
            for (Object o : Fields.list(m, Wire.THEN)) {
                Map<String, Object> w = Fields.map(o, Wire.THEN);
                if (w.get(Wire.PUT) != null) {
                    if (!w.containsKey(Wire.VALUE)) {
                        throw new InvalidInputException(Wire.VALUE + ": missing");
                    }
                    largest = Math.max(largest, Json.size(w.get(Wire.VALUE)));
                    writes.add(new Write.Set(
                            key(w, Wire.PUT), Pack.encode(w.get(Wire.VALUE)), Fields.countOr(w, Wire.LEASE, 0)));
                } else {
                    writes.add(new Write.Remove(key(w, Wire.DELETE)));
                }
            }
        }
        return new Request.Txn(conditions, writes, Json.size(m), largest);
    }

    private static String key(Map<String, Object> m, String field) {
        if (m.get(field) instanceof String s) {
            return s;
        }
        throw new InvalidInputException(field + ": missing or not text");
    }

    static Out write(Request asked, Reply r) {
        if (r instanceof Reply.Found f) {
            return ok(row(f.key(), f.row()));
        }
        if (r instanceof Reply.Missing m) {
            return new Out(404, Map.of(Wire.REVISION, m.revision()), 0);
        }
        if (r instanceof Reply.Rows rows) {
            List<Object> items = new ArrayList<>();
            rows.rows().forEach(e -> items.add(row(e.getKey(), e.getValue())));
            return ok(Map.of(Wire.ITEMS, items, Wire.MORE, rows.more(), Wire.REVISION, rows.revision()));
        }
        if (r instanceof Reply.Committed c) {
            return ok(Map.of(Wire.REVISION, c.revision()));
        }
        if (r instanceof Reply.Failed f) {
            return new Out(409, Map.of(Wire.FAILED, f.keys(), Wire.REVISION, f.revision()), 0);
        }
        if (r instanceof Reply.Leased l) {
            return ok(Map.of(Wire.LEASE, l.lease()));
        }
        if (r instanceof Reply.Done) {
            return ok(Map.of());
        }
        if (r instanceof Reply.Events e) {
            List<Object> events = new ArrayList<>();
            e.events().forEach(x -> events.add(event(x)));
            return ok(Map.of(Wire.REVISION, e.revision(), Wire.EVENTS, events));
        }
        if (r instanceof Reply.NoLease) {
            return error(asked instanceof Request.Txn ? 400 : 404, "no such lease", 0);
        }
        if (r instanceof Reply.TooOld) {
            return error(410, "changes that old are not remembered: read the keys again", 0);
        }
        if (r instanceof Reply.TooMany t) {
            return error(429, "too many", t.retryAfterS());
        }
        if (r instanceof Reply.Unavailable u) {
            return error(503, "not executed: the log can't be written at present", u.retryAfterS());
        }
        if (r instanceof Reply.Bad b) {
            return error(400, b.why(), 0);
        }
        return new Out(0, Map.of(), 0);
    }

    private static Out ok(Map<String, ?> body) {
        return new Out(200, body, 0);
    }

    static Out error(int status, String why, int retryAfterS) {
        return new Out(status, Map.of("error", why), retryAfterS);
    }

    private static Map<String, Object> row(String key, Row r) {
        Map<String, Object> m = new HashMap<>();
        m.put(Wire.KEY, key);
        m.put(Wire.VALUE, Pack.decode(r.value()));
        m.put(Wire.VERSION, r.stamp());
        if (r.lease() != 0) {
            m.put(Wire.LEASE, r.lease());
        }
        return m;
    }

    private static Map<String, Object> event(State.Event e) {
        Map<String, Object> m = new HashMap<>();
        m.put(e.value() == null ? Wire.DELETE : Wire.PUT, e.key());
        if (e.value() != null) {
            m.put(Wire.VALUE, Pack.decode(e.value()));
        }
        m.put(Wire.VERSION, e.stamp());
        return m;
    }
}
