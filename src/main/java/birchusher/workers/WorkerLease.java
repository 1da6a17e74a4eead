package birchusher.workers;

import birchusher.settings.Settings;
import birchusher.wire.Wire;
import java.util.List;
import java.util.Map;

/**
 * What this controller has granted to one worker, and until when at the latest. A worker keeps its tasks for {@code lease_s} from the moment
 * at which it <em>sent</em> the last report that was answered 200 with a valid token ({@code PROTOCOL}, "Leases"). So every such answer is
 * formed here, and the grant is recorded before the body is returned; and only this class says that a worker's lease is over.
 *
 * <p>All times are milliseconds of this controller's steady clock. A report was sent before it arrived, and before any later message of its
 * worker arrived. So the arrival of the newest message known bounds the grant of a report that was overtaken on its way, and old copies can't
 * postpone an end beyond a lease after the last sign of life.
 *
 * <p>Until the worker shows our term it may also have been renewed by an earlier owner of its shard. That ends when every earlier owner is
 * known to be fenced ({@code Membership.fencedAt}), or with the first message that shows our term, since a worker drops answers with lower tokens.
 */
final class WorkerLease {
    /** {@link #endsBy}: no moment is known at which the lease is certainly over. */
    static final long NO_KNOWN_END = Long.MAX_VALUE;

    /** On top of a worker's lease and the clocks' drift, before a silent worker counts as having dropped its tasks. */
    private static final long MARGIN_MS = 1_000;

    /** Since when this controller owns the worker's shard, and when its earlier owners became unable to answer; below 0: not yet. */
    record Ownership(long sinceMs, long fencedAtMs) {}

    private final long durationMs;
    private long session;
    /** The highest tick of a report that was answered in this session. A worker has one report in flight, so it waits for none below. */
    private long lastAnsweredSeq;

    private long lastMessageAtMs = -1;
    /** No report that was answered can have been sent later; -1: none was answered. */
    private long grantedAtMs = -1;

    private long shownTerm;
    /** When a message first showed {@link #shownTerm}: until then an earlier owner may have been the one that it heard. */
    private long shownAtMs = -1;

    /** @param leaseS the worker's lease, in seconds */
    WorkerLease(double leaseS) {
        durationMs = Math.round(leaseS * 1000 * (1 + 2 * Settings.DRIFT)) + MARGIN_MS;
    }

    /** Notes a message newer than all before, a report or the answer to a direct command; {@code term} is ours. */
    void onMessage(Report message, long term, long now) {
        if (message.session() > session) {
            session = message.session();
            lastAnsweredSeq = 0;
        }
        lastMessageAtMs = now;
        if (message.fencingToken() >= term && shownTerm < term) {
            shownTerm = term;
            shownAtMs = now;
        }
    }

    /**
     * Whether the worker may be waiting for the answer to a report that is not the newest message any more: the answer to a direct command
     * overtook it. Any other report that is not the newest is a copy, or was given up by its worker.
     */
    boolean isOvertaken(Report report) {
        return report.session() == session && report.seq() > lastAnsweredSeq;
    }

    /** The answer that renews the lease of a worker whose report is the newest message, or was {@link #overtaken}. */
    Map<String, Object> renewalResponse(Report report, long term, List<Object> orders) {
        lastAnsweredSeq = report.seq();
        grantedAtMs = Math.max(grantedAtMs, lastMessageAtMs);
        return Map.of(Wire.TOKEN, term, Wire.COMMANDS, orders);
    }

    /** The answer to a report that nobody waits for. It has no token, so a worker that got it would drop it. */
    static Map<String, Object> responseWithoutRenewal() {
        return Map.of(Wire.COMMANDS, List.of());
    }

    /** The first moment at which the worker has certainly dropped all tasks of its session, or {@link #NEVER}. */
    long certainEndMs(long term, Ownership ownership) {
        long from = Math.max(grantedAtMs, ownership.sinceMs);
        if (shownTerm >= term && lastMessageAtMs >= 0) {
            from = Math.max(from, shownAtMs);
        } else if (ownership.fencedAtMs >= 0) {
            from = Math.max(from, ownership.fencedAtMs);
        } else {
            return NO_KNOWN_END;
        }
        return from + durationMs;
    }

    /** How long ago a report was answered last, and anything heard, for log lines; -1: never. */
    String logFields(long now) {
        return "tick=" + lastAnsweredSeq + " granted_ms=" + elapsedMs(grantedAtMs, now) + " heard_ms="
                + elapsedMs(lastMessageAtMs, now) + " shown_term=" + shownTerm + " shown_ms="
                + elapsedMs(shownAtMs, now);
    }

    private static long elapsedMs(long at, long now) {
        return at < 0 ? -1 : now - at;
    }
}
