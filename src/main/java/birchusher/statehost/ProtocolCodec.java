package birchusher.statehost;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.RequestTarget;
import birchusher.kv.Limits;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Row;
import birchusher.kv.State;
import birchusher.kv.Write;
import birchusher.wire.Json;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The published form of the state service's requests and replies. Pure. */
final class ProtocolCodec {
    /** How a reply goes out; {@code status} 0: not at all, the connection ends. */
    record HttpResponse(int status, Map<String, ?> body, int retryAfterS) {}

    /** A request that the protocol does not have. */
    static final class HttpStatusException extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        HttpStatusException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    private ProtocolCodec() {}

    static Request parseRequest(String method, String target, byte[] body) throws HttpStatusException {
        try {
            RequestTarget t = RequestTarget.parse(target);
            if (t.path().equals(Wire.STORE)) {
                requireMethod(method, "GET");
                return new Request.Page(t.text(Wire.PREFIX, ""), t.text(Wire.AFTER, null), pageLimit(t));
            }
            if (t.path().startsWith(Wire.STORE + "/")) {
                requireMethod(method, "GET");
                return new Request.Get(t.path().substring(Wire.STORE.length() + 1));
            }
            if (t.path().equals(Wire.TRANSACTIONS)) {
                requireMethod(method, "POST");
                return parseTransaction(Fields.map(MessagePackCodec.decode(body), "body"));
            }
            if (t.path().equals(Wire.WATCH)) {
                requireMethod(method, "GET");
                if (!t.parameters().containsKey(Wire.AFTER)) {
                    throw new InvalidInputException(Wire.AFTER + ": missing");
                }
                long wait = t.count("wait_ms", 0);
                if (wait > Limits.MAX_WATCH_WAIT_MS) {
                    throw new InvalidInputException("wait_ms: above " + Limits.MAX_WATCH_WAIT_MS);
                }
                return new Request.Watch(t.text(Wire.PREFIX, ""), t.count(Wire.AFTER, 0), wait);
            }
            if (t.path().equals(Wire.LEASES)) {
                requireMethod(method, "POST");
                return new Request.GrantLease(
                        Fields.count(Fields.map(MessagePackCodec.decode(body), "body"), Wire.TTL_MS));
            }
            if (t.path().startsWith(Wire.LEASES + "/")) {
                String id = t.path().substring(Wire.LEASES.length() + 1);
                if (id.endsWith(Wire.RENEW)) {
                    requireMethod(method, "POST");
                    return new Request.RenewLease(parseLeaseId(id.substring(0, id.length() - Wire.RENEW.length())));
                }
                requireMethod(method, "DELETE");
                return new Request.EndLease(parseLeaseId(id));
            }
        } catch (RequestTarget.InvalidTargetException e) {
            throw new InvalidInputException(e.getMessage());
        }
        throw new HttpStatusException(404, "no such path");
    }

    private static void requireMethod(String method, String allowed) throws HttpStatusException {
        if (!method.equals(allowed)) {
            throw new HttpStatusException(405, "only " + allowed);
        }
    }

    private static int pageLimit(RequestTarget t) throws RequestTarget.InvalidTargetException {
        long n = t.count(Wire.LIMIT, Limits.MAX_PAGE_ROWS);
        if (n < 1 || n > Limits.MAX_PAGE_ROWS) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + Limits.MAX_PAGE_ROWS);
        }
        return (int) n;
    }

    private static long parseLeaseId(String id) throws HttpStatusException {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            throw new HttpStatusException(404, "no such lease");
        }
    }

    private static Request parseTransaction(Map<String, Object> m) {
        List<Request.Condition> conditions = new ArrayList<>();
        if (m.get(Wire.CONDITIONS) != null) {
            for (Object o : Fields.list(m, Wire.CONDITIONS)) {
                Map<String, Object> c = Fields.map(o, Wire.CONDITIONS);
                conditions.add(new Request.Condition(requiredText(c, Wire.KEY), Fields.count(c, Wire.VERSION)));
            }
        }
        List<Write> writes = new ArrayList<>();
        int largest = 0;
        if (m.get(Wire.WRITES) != null) {
            for (Object o : Fields.list(m, Wire.WRITES)) {
                Map<String, Object> w = Fields.map(o, Wire.WRITES);
                if (w.get(Wire.PUT) != null) {
                    if (!w.containsKey(Wire.VALUE)) {
                        throw new InvalidInputException(Wire.VALUE + ": missing");
                    }
                    largest = Math.max(largest, Json.sizeBytes(w.get(Wire.VALUE)));
                    writes.add(new Write.Set(
                            requiredText(w, Wire.PUT),
                            MessagePackCodec.encode(w.get(Wire.VALUE)),
                            Fields.countOr(w, Wire.LEASE, 0)));
                } else {
                    writes.add(new Write.Remove(requiredText(w, Wire.DELETE)));
                }
            }
        }
        return new Request.Transaction(conditions, writes, Json.sizeBytes(m), largest);
    }

    private static String requiredText(Map<String, Object> m, String field) {
        if (m.get(field) instanceof String s) {
            return s;
        }
        throw new InvalidInputException(field + ": missing or not text");
    }

    static HttpResponse encodeReply(Request asked, Reply r) {
        if (r instanceof Reply.Found f) {
            return okResponse(rowFields(f.key(), f.row()));
        }
        if (r instanceof Reply.NotFound m) {
            return new HttpResponse(404, Map.of(Wire.REVISION, m.revision()), 0);
        }
        if (r instanceof Reply.Rows rows) {
            List<Object> items = new ArrayList<>();
            rows.rows().forEach(e -> items.add(rowFields(e.getKey(), e.getValue())));
            return okResponse(Map.of(Wire.ROWS, items, Wire.HAS_MORE, rows.hasMore(), Wire.REVISION, rows.revision()));
        }
        if (r instanceof Reply.Committed c) {
            return okResponse(Map.of(Wire.REVISION, c.revision()));
        }
        if (r instanceof Reply.ConditionsFailed f) {
            return new HttpResponse(409, Map.of(Wire.FAILED_CONDITIONS, f.keys(), Wire.REVISION, f.revision()), 0);
        }
        if (r instanceof Reply.LeaseGranted l) {
            return okResponse(Map.of(Wire.LEASE, l.leaseId()));
        }
        if (r instanceof Reply.Done) {
            return okResponse(Map.of());
        }
        if (r instanceof Reply.Events e) {
            List<Object> events = new ArrayList<>();
            e.events().forEach(x -> events.add(eventFields(x)));
            return okResponse(Map.of(Wire.REVISION, e.revision(), Wire.EVENTS, events));
        }
        if (r instanceof Reply.LeaseNotFound) {
            return errorResponse(asked instanceof Request.Transaction ? 400 : 404, "no such lease", 0);
        }
        if (r instanceof Reply.RevisionCompacted) {
            return errorResponse(410, "changes that old are not remembered: read the keys again", 0);
        }
        if (r instanceof Reply.LimitExceeded t) {
            return errorResponse(429, "too many", t.retryAfterS());
        }
        if (r instanceof Reply.Unavailable u) {
            return errorResponse(503, "not executed: the log can't be written at present", u.retryAfterS());
        }
        if (r instanceof Reply.InvalidRequest b) {
            return errorResponse(400, b.message(), 0);
        }
        return new HttpResponse(0, Map.of(), 0);
    }

    private static HttpResponse okResponse(Map<String, ?> body) {
        return new HttpResponse(200, body, 0);
    }

    static HttpResponse errorResponse(int status, String why, int retryAfterS) {
        return new HttpResponse(status, Map.of("error", why), retryAfterS);
    }

    private static Map<String, Object> rowFields(String key, Row r) {
        Map<String, Object> m = new HashMap<>();
        m.put(Wire.KEY, key);
        m.put(Wire.VALUE, MessagePackCodec.decode(r.value()));
        m.put(Wire.VERSION, r.modRevision());
        if (r.leaseId() != 0) {
            m.put(Wire.LEASE, r.leaseId());
        }
        return m;
    }

    private static Map<String, Object> eventFields(State.Event e) {
        Map<String, Object> m = new HashMap<>();
        m.put(e.value() == null ? Wire.DELETE : Wire.PUT, e.key());
        if (e.value() != null) {
            m.put(Wire.VALUE, MessagePackCodec.decode(e.value()));
        }
        m.put(Wire.VERSION, e.revision());
        return m;
    }
}
