package birchusher.workers;

import birchusher.settings.Settings;
import birchusher.wire.Wire;
import java.util.List;
import java.util.Map;

/**
 * The lease that this controller has granted to one worker, and its latest possible end. A worker keeps its tasks for {@code lease_s} from the
 * moment at which it <em>sent</em> the last report that was answered 200 with a valid token (worker protocol, "Leases"). Therefore every such
 * response is built here, the grant is recorded before the body is returned, and only this class decides that a worker's lease is over.
 *
 * <p>All times are milliseconds of this controller's steady clock. A report was sent before it arrived, and before any later message of its
 * worker arrived. So the arrival of the newest known message is an upper bound for the grant of a report that was overtaken on its way, and
 * delayed duplicates can't extend the lease beyond one lease duration after the newest message.
 *
 * <p>Until the worker shows this controller's term, an earlier owner of its shard may have renewed the lease too. That is excluded once every
 * earlier owner is known to be fenced ({@code Membership.fencedAtMs}), or from the first message that shows the term, as a worker drops
 * responses with lower tokens.
 */
final class WorkerLease {
    /** Result of {@link #certainEndMs}: no time is known at which the lease is certainly over. */
    static final long NO_KNOWN_END = Long.MAX_VALUE;

    /** Added to a worker's lease and the clock drift, before a silent worker is taken to have dropped its tasks. */
    private static final long MARGIN_MS = 1_000;

    /**
     * The ownership of the worker's shard.
     *
     * @param sinceMs since when this controller owns it
     * @param fencedAtMs when its earlier owners became unable to answer workers; below 0: not yet known
     */
    record Ownership(long sinceMs, long fencedAtMs) {}

    private final long durationMs;
    private long session;
    /**
     * The highest sequence number of a report that was answered in this session. A worker has one report in flight, so it does not wait for
     * the response to any below.
     */
    private long lastAnsweredSeq;

    private long lastMessageAtMs = -1;
    /** The latest time at which an answered report can have been sent; -1: none was answered. */
    private long grantedAtMs = -1;

    private long shownTerm;
    /** When a message first showed {@link #shownTerm}; until then the worker may have received responses of an earlier owner. */
    private long shownAtMs = -1;

    /** @param leaseS the worker's lease, in seconds */
    WorkerLease(double leaseS) {
        durationMs = Math.round(leaseS * 1000 * (1 + 2 * Settings.MAX_CLOCK_DRIFT)) + MARGIN_MS;
    }

    /** Notes a report or an answer to a direct command, newer than all before; {@code term}: this controller's term of the shard. */
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
     * Whether the worker may still be waiting for the response to a report that is no longer the newest message, because the answer to a direct
     * command overtook it. Any other report that is not the newest is a duplicate, or its worker has stopped waiting.
     */
    boolean isOvertaken(Report report) {
        return report.session() == session && report.seq() > lastAnsweredSeq;
    }

    /** The response that renews the lease of a worker whose report is the newest message, or was overtaken ({@link #isOvertaken}). */
    Map<String, Object> renewalResponse(Report report, long term, List<WorkerCommand> commands) {
        lastAnsweredSeq = report.seq();
        grantedAtMs = Math.max(grantedAtMs, lastMessageAtMs);
        return Map.of(
                Wire.FENCING_TOKEN,
                term,
                Wire.COMMANDS,
                commands.stream().map(WorkerCommand::fields).toList());
    }

    /** The response to a report that no worker waits for. It has no token, so a worker that received it would drop it. */
    static Map<String, Object> responseWithoutRenewal() {
        return Map.of(Wire.COMMANDS, List.of());
    }

    /** The first time at which the worker has certainly dropped all tasks of its session, or {@link #NO_KNOWN_END}. */
    long certainEndMs(long term, Ownership ownership) {
        long startMs = Math.max(grantedAtMs, ownership.sinceMs);
        if (shownTerm >= term && lastMessageAtMs >= 0) {
            startMs = Math.max(startMs, shownAtMs);
        } else if (ownership.fencedAtMs >= 0) {
            startMs = Math.max(startMs, ownership.fencedAtMs);
        } else {
            return NO_KNOWN_END;
        }
        return startMs + durationMs;
    }

    /** The state of the lease as fields of log lines; times are ms since the event, -1: never. */
    String logFields(long now) {
        return "tick=" + lastAnsweredSeq + " granted_ms=" + elapsedMs(grantedAtMs, now) + " heard_ms="
                + elapsedMs(lastMessageAtMs, now) + " shown_term=" + shownTerm + " shown_ms="
                + elapsedMs(shownAtMs, now);
    }

    private static long elapsedMs(long atMs, long now) {
        return atMs < 0 ? -1 : now - atMs;
    }
}
