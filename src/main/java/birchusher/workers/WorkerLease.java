package birchusher.workers;

import birchusher.settings.Settings;
import birchusher.wire.Wire;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The lease of one worker, granted by this controller or begun with a session, and its latest possible end. A worker keeps its tasks for {@code lease_s} from the
 * moment at which it <em>sent</em> the last report that was answered 200 with a valid token (worker protocol, "Leases"). Therefore every such
 * response is built here, the grant is recorded before the body is returned, and only this class decides that a worker's lease is over. A new
 * session brings a lease that nobody granted, from the moment at which the session began: that is bounded by the arrival of its first message.
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

    /** The latest event from which the worker may count its lease. */
    enum StartEvent {
        ANSWERED_REPORT,
        /** No report of the session was answered yet: its lease began with the session, before its first message. */
        SESSION_SHOWN,
        OWNERSHIP,
        TERM_SHOWN,
        EARLIER_OWNERS_FENCED,
        /** An earlier owner may still renew the lease. */
        UNKNOWN
    }

    private record Start(StartEvent event, long atMs) {
        Start orLater(StartEvent otherEvent, long otherAtMs) {
            return otherAtMs > atMs ? new Start(otherEvent, otherAtMs) : this;
        }
    }

    private final long durationMs;
    private long session;
    /**
     * The highest sequence number of a report that was answered in this session. A worker has one report in flight, so it does not wait for
     * the response to any below.
     */
    private long lastAnsweredSeq;

    private long lastMessageAtMs = -1;
    /** Arrival of the first message of {@link #session}, which began before; -1: no message. */
    private long sessionShownAtMs = -1;
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
            sessionShownAtMs = now;
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
        Start start = latestStart(term, ownership);
        return start.event == StartEvent.UNKNOWN ? NO_KNOWN_END : start.atMs + durationMs;
    }

    private Start latestStart(long term, Ownership ownership) {
        Start start = new Start(StartEvent.OWNERSHIP, ownership.sinceMs)
                .orLater(StartEvent.ANSWERED_REPORT, grantedAtMs)
                .orLater(StartEvent.SESSION_SHOWN, sessionShownAtMs);
        if (shownTerm >= term && lastMessageAtMs >= 0) {
            return start.orLater(StartEvent.TERM_SHOWN, shownAtMs);
        }
        if (ownership.fencedAtMs >= 0) {
            return start.orLater(StartEvent.EARLIER_OWNERS_FENCED, ownership.fencedAtMs);
        }
        return new Start(StartEvent.UNKNOWN, NO_KNOWN_END);
    }

    /** Time in ms since the arrival of the last report that was answered with a renewal, -1: none was. */
    long sinceAnsweredMs(long now) {
        return elapsedMs(grantedAtMs, now);
    }

    /** What the end of the lease follows from, as fields of log lines. */
    String endLogFields(long term, Ownership ownership, long now) {
        return logFields(now) + " counted_from="
                + latestStart(term, ownership).event.name().toLowerCase(Locale.ROOT);
    }

    /** The state of the lease as fields of log lines; times are ms since the event, -1: never. */
    String logFields(long now) {
        return "tick=" + lastAnsweredSeq + " granted_ms=" + elapsedMs(grantedAtMs, now) + " session_shown_ms="
                + elapsedMs(sessionShownAtMs, now) + " heard_ms=" + elapsedMs(lastMessageAtMs, now) + " shown_term="
                + shownTerm + " shown_ms=" + elapsedMs(shownAtMs, now);
    }

    private static long elapsedMs(long atMs, long now) {
        return atMs < 0 ? -1 : now - atMs;
    }
}
