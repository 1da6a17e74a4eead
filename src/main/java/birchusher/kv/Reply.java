package birchusher.kv;

import java.util.List;
import java.util.Map;

/** The reply to a {@link Request}; the protocol layer encodes it. */
public sealed interface Reply {
    /** The requested row. */
    record Found(String key, Row row) implements Reply {}

    /** There is no such key; {@code revision} is the current one. */
    record NotFound(long revision) implements Reply {}

    /** A page of rows in key order, and whether more follow. */
    record Rows(List<Map.Entry<String, Row>> rows, boolean hasMore, long revision) implements Reply {}

    /** The transaction was applied at this revision. */
    record Committed(long revision) implements Reply {}

    /** The conditions on these keys do not hold; nothing was changed. */
    record ConditionsFailed(List<String> keys, long revision) implements Reply {}

    /** A lease was granted under this id. */
    record LeaseGranted(long leaseId) implements Reply {}

    /** The request was carried out and has no result. */
    record Done() implements Reply {}

    /** All changes that match the watch, up to this revision; empty if none came in time. */
    record Events(List<State.Event> events, long revision) implements Reply {}

    /** The lease has ended or never existed: status 404, or 400 for a transaction that names it. */
    record LeaseNotFound() implements Reply {}

    /** The changes after the requested revision are no longer available: the client must read the keys again. */
    record RevisionCompacted() implements Reply {}

    /** Refused because a limit is reached; may be retried after the given time. */
    record LimitExceeded(int retryAfterS) implements Reply {}

    /** Not executed because the log can't be written; may be retried after the given time. */
    record Unavailable(int retryAfterS) implements Reply {}

    /** It is unknown whether the request takes effect: no response may be sent, the connection is closed. */
    record OutcomeUnknown() implements Reply {}

    /** Malformed or beyond a limit; the message names the field. */
    record InvalidRequest(String message) implements Reply {}
}
