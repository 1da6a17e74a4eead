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

/** Translates between the published HTTP protocol of the state service and its typed requests and replies. Stateless. */
final class ProtocolCodec {
    /**
     * A response as it is sent.
     *
     * @param status the HTTP status; 0 means that no response is sent and the connection is closed
     * @param retryAfterS the value of Retry-After in seconds, 0 for none
     */
    record HttpResponse(int status, Map<String, ?> body, int retryAfterS) {}

    /** A request for a path, method or lease that does not exist; carries the HTTP status of the response. */
    static final class HttpStatusException extends Exception {
        private static final long serialVersionUID = 1;
        final int status;

        HttpStatusException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    private ProtocolCodec() {}

    /**
     * Parses a request.
     *
     * @throws InvalidInputException if a field is missing or invalid; the message names it
     */
    static Request parseRequest(String method, String target, byte[] body) throws HttpStatusException {
        try {
            RequestTarget parsedTarget = RequestTarget.parse(target);
            if (parsedTarget.path().equals(Wire.STORE)) {
                requireMethod(method, "GET");
                return new Request.Page(
                        parsedTarget.text(Wire.PREFIX, ""),
                        parsedTarget.text(Wire.AFTER, null),
                        pageLimit(parsedTarget));
            }
            if (parsedTarget.path().startsWith(Wire.STORE + "/")) {
                requireMethod(method, "GET");
                return new Request.Get(parsedTarget.path().substring(Wire.STORE.length() + 1));
            }
            if (parsedTarget.path().equals(Wire.TRANSACTIONS)) {
                requireMethod(method, "POST");
                return parseTransaction(Fields.map(MessagePackCodec.decode(body), "body"));
            }
            if (parsedTarget.path().equals(Wire.WATCH)) {
                requireMethod(method, "GET");
                if (!parsedTarget.parameters().containsKey(Wire.AFTER)) {
                    throw new InvalidInputException(Wire.AFTER + ": missing");
                }
                long waitMs = parsedTarget.count("wait_ms", 0);
                if (waitMs > Limits.MAX_WATCH_WAIT_MS) {
                    throw new InvalidInputException("wait_ms: above " + Limits.MAX_WATCH_WAIT_MS);
                }
                return new Request.Watch(parsedTarget.text(Wire.PREFIX, ""), parsedTarget.count(Wire.AFTER, 0), waitMs);
            }
            if (parsedTarget.path().equals(Wire.LEASES)) {
                requireMethod(method, "POST");
                return new Request.GrantLease(
                        Fields.count(Fields.map(MessagePackCodec.decode(body), "body"), Wire.TTL_MS));
            }
            if (parsedTarget.path().startsWith(Wire.LEASES + "/")) {
                String leaseId = parsedTarget.path().substring(Wire.LEASES.length() + 1);
                if (leaseId.endsWith(Wire.RENEW)) {
                    requireMethod(method, "POST");
                    return new Request.RenewLease(
                            parseLeaseId(leaseId.substring(0, leaseId.length() - Wire.RENEW.length())));
                }
                requireMethod(method, "DELETE");
                return new Request.EndLease(parseLeaseId(leaseId));
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

    private static int pageLimit(RequestTarget target) throws RequestTarget.InvalidTargetException {
        long limit = target.count(Wire.LIMIT, Limits.MAX_PAGE_ROWS);
        if (limit < 1 || limit > Limits.MAX_PAGE_ROWS) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + Limits.MAX_PAGE_ROWS);
        }
        return (int) limit;
    }

    private static long parseLeaseId(String id) throws HttpStatusException {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            throw new HttpStatusException(404, "no such lease");
        }
    }

    private static Request parseTransaction(Map<String, Object> body) {
        List<Request.Condition> conditions = new ArrayList<>();
        if (body.get(Wire.CONDITIONS) != null) {
            for (Object item : Fields.list(body, Wire.CONDITIONS)) {
                Map<String, Object> condition = Fields.map(item, Wire.CONDITIONS);
                conditions.add(new Request.Condition(
                        requiredText(condition, Wire.KEY), Fields.count(condition, Wire.VERSION)));
            }
        }
        List<Write> writes = new ArrayList<>();
        int largestValueBytes = 0;
        if (body.get(Wire.WRITES) != null) {
            for (Object item : Fields.list(body, Wire.WRITES)) {
                Map<String, Object> write = Fields.map(item, Wire.WRITES);
                if (write.get(Wire.PUT) != null) {
                    if (!write.containsKey(Wire.VALUE)) {
                        throw new InvalidInputException(Wire.VALUE + ": missing");
                    }
                    largestValueBytes = Math.max(largestValueBytes, Json.sizeBytes(write.get(Wire.VALUE)));
                    writes.add(new Write.Set(
                            requiredText(write, Wire.PUT),
                            MessagePackCodec.encode(write.get(Wire.VALUE)),
                            Fields.countOr(write, Wire.LEASE, 0)));
                } else {
                    writes.add(new Write.Remove(requiredText(write, Wire.DELETE)));
                }
            }
        }
        return new Request.Transaction(conditions, writes, Json.sizeBytes(body), largestValueBytes);
    }

    private static String requiredText(Map<String, Object> fields, String field) {
        if (fields.get(field) instanceof String text) {
            return text;
        }
        throw new InvalidInputException(field + ": missing or not text");
    }

    /** Encodes the reply to {@code request}. */
    static HttpResponse encodeReply(Request request, Reply reply) {
        if (reply instanceof Reply.Found found) {
            return okResponse(rowFields(found.key(), found.row()));
        }
        if (reply instanceof Reply.NotFound notFound) {
            return new HttpResponse(404, Map.of(Wire.REVISION, notFound.revision()), 0);
        }
        if (reply instanceof Reply.Rows rows) {
            List<Object> items = new ArrayList<>();
            rows.rows().forEach(entry -> items.add(rowFields(entry.getKey(), entry.getValue())));
            return okResponse(Map.of(Wire.ROWS, items, Wire.HAS_MORE, rows.hasMore(), Wire.REVISION, rows.revision()));
        }
        if (reply instanceof Reply.Committed committed) {
            return okResponse(Map.of(Wire.REVISION, committed.revision()));
        }
        if (reply instanceof Reply.ConditionsFailed failed) {
            return new HttpResponse(
                    409, Map.of(Wire.FAILED_CONDITIONS, failed.keys(), Wire.REVISION, failed.revision()), 0);
        }
        if (reply instanceof Reply.LeaseGranted granted) {
            return okResponse(Map.of(Wire.LEASE, granted.leaseId()));
        }
        if (reply instanceof Reply.Done) {
            return okResponse(Map.of());
        }
        if (reply instanceof Reply.Events changes) {
            List<Object> events = new ArrayList<>();
            changes.events().forEach(event -> events.add(eventFields(event)));
            return okResponse(Map.of(Wire.REVISION, changes.revision(), Wire.EVENTS, events));
        }
        if (reply instanceof Reply.LeaseNotFound) {
            return errorResponse(request instanceof Request.Transaction ? 400 : 404, "no such lease", 0);
        }
        if (reply instanceof Reply.RevisionCompacted) {
            return errorResponse(410, "changes after this revision are no longer available: read the keys again", 0);
        }
        if (reply instanceof Reply.LimitExceeded exceeded) {
            return errorResponse(429, "too many requests, watches or leases", exceeded.retryAfterS());
        }
        if (reply instanceof Reply.Unavailable unavailable) {
            return errorResponse(503, "not executed: the state log can't be written", unavailable.retryAfterS());
        }
        if (reply instanceof Reply.InvalidRequest invalid) {
            return errorResponse(400, invalid.message(), 0);
        }
        return new HttpResponse(0, Map.of(), 0);
    }

    private static HttpResponse okResponse(Map<String, ?> body) {
        return new HttpResponse(200, body, 0);
    }

    static HttpResponse errorResponse(int status, String message, int retryAfterS) {
        return new HttpResponse(status, Map.of("error", message), retryAfterS);
    }

    private static Map<String, Object> rowFields(String key, Row row) {
        Map<String, Object> fields = new HashMap<>();
        fields.put(Wire.KEY, key);
        fields.put(Wire.VALUE, MessagePackCodec.decode(row.value()));
        fields.put(Wire.VERSION, row.modRevision());
        if (row.leaseId() != 0) {
            fields.put(Wire.LEASE, row.leaseId());
        }
        return fields;
    }

    private static Map<String, Object> eventFields(State.Event event) {
        Map<String, Object> fields = new HashMap<>();
        fields.put(event.value() == null ? Wire.DELETE : Wire.PUT, event.key());
        if (event.value() != null) {
            fields.put(Wire.VALUE, MessagePackCodec.decode(event.value()));
        }
        fields.put(Wire.VERSION, event.revision());
        return fields;
    }
}
