package birchusher.kv;

import java.util.List;
import java.util.Map;

/** An answer; its edge gives it the published form. */
public sealed interface Reply {
    /** One row. */
    record Found(String key, Row row) implements Reply {}

    /** There is no such key; the present revision. */
    record NotFound(long revision) implements Reply {}

    /** A page of rows in the order of their keys, and whether more follow. */
    record Rows(List<Map.Entry<String, Row>> rows, boolean hasMore, long revision) implements Reply {}

    /** A transaction was applied as this revision. */
    record Committed(long revision) implements Reply {}

    /** Conditions that do not hold; nothing was changed. */
    record ConditionsFailed(List<String> keys, long revision) implements Reply {}

    /** A lease was granted under this number. */
    record LeaseGranted(long leaseId) implements Reply {}

    /** Carried out; there is nothing more to say. */
    record Done() implements Reply {}

    /** The changes that a watch waited for, up to this revision. */
    record Events(List<State.Event> events, long revision) implements Reply {}

    /** The lease has ended or never was: 404, and 400 for a write that names it. */
    record LeaseNotFound() implements Reply {}

    /** Older than what is remembered: the keys must be read again. */
    record RevisionCompacted() implements Reply {}

    /** Refused as over the limit; to be tried again after so many seconds. */
    record LimitExceeded(int retryAfterS) implements Reply {}

    /** Not executed, and can't be at present. */
    record Unavailable(int retryAfterS) implements Reply {}

    /** Neither done nor not done: no answer may be given, the connection ends. */
    record OutcomeUnknown() implements Reply {}

    /** Malformed or beyond a limit; the text names the field. */
    record InvalidRequest(String message) implements Reply {}
}
