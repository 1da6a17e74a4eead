package birchusher.recovery;

/**
 * What the rows say of an attempt squared with what its machine's newest report says: what is then written, and what is ordered.
 * The table stands in {@code docs/recovery.md}; it is the same after a start of all controllers, after a takeover and on any
 * ordinary report, so that a second crash in the middle of a return is nothing new. It keeps no state.
 *
 * <p>The caller has already left out reports that are not newer than the last one, and answers only under a valid seat and term.
 */
public final class Reconciliation {
    /** What the rows say of an attempt on this machine. */
    public enum ClaimState {
        /** It is to run here, in the session that the report is of. */
        CLAIMED,
        /** The same, but nobody wants it any more: its job is over or cancelled, its gang has a gap, it is being stopped. */
        UNWANTED,
        /** It is recorded here for an earlier session of this worker. */
        EARLIER,
        /** It is recorded for a later session than the report's: the report is from before the claim. */
        LATER,
        /** It is not recorded here: given away, taken out, another attempt is, or nobody knows of it. */
        NONE
    }

    /** What the report shows of it. */
    public enum ReportedState {
        ABSENT,
        FETCHING,
        WAITING,
        RUNNING,
        SAVING,
        DONE,
        ERROR,
        ENDED
    }

    /**
     * What this owner knows beside. {@code before}: an earlier report under its own eyes showed the attempt; {@code loose}: a start
     * sent straight to the worker has not been answered and may yet arrive; {@code fenced}: the worker has seen our term, so nothing of
     * an earlier owner can reach it any more; {@code told}: the attempt's end is known and on its way into the rows.
     */
    public record OwnerKnowledge(boolean reportedBefore, boolean startUnanswered, boolean fenced, boolean endKnown) {}

    /** What is to be written of a claim. */
    public enum ClaimOutcome {
        NOTHING,
        DONE,
        ERROR,
        LOST,
        NOT_STARTED
    }

    /** {@code FENCE}: an unanswered start has to be kept out by a higher term before anything else may follow. */
    public enum Command {
        NOTHING,
        START,
        STOP,
        REAP,
        FENCE
    }

    private Reconciliation() {}

    /** What goes into the rows: a claim leaves them only with a proof that the task is not on the machine and can't come to be there. */
    public static ClaimOutcome claimOutcome(ClaimState row, ReportedState shown, OwnerKnowledge k) {
        return switch (row) {
            case NONE, LATER -> ClaimOutcome.NOTHING;
                // A worker drops all of its tasks between two sessions.
            case EARLIER -> ClaimOutcome.LOST;
            case CLAIMED, UNWANTED -> switch (shown) {
                case FETCHING, WAITING, RUNNING, SAVING -> ClaimOutcome.NOTHING;
                    // Work that ended while nobody listened counts, also if nobody wants it any more.
                case DONE -> ClaimOutcome.DONE;
                case ERROR -> ClaimOutcome.ERROR;
                case ENDED -> ClaimOutcome.LOST;
                case ABSENT -> k.reportedBefore() && !k.startUnanswered()
                        ? ClaimOutcome.LOST
                        : row == ClaimState.UNWANTED && !k.reportedBefore() && !k.startUnanswered() && k.fenced()
                                ? ClaimOutcome.NOT_STARTED
                                : ClaimOutcome.NOTHING;
            };
        };
    }

    /** What the worker is told. An exit is reaped only when nothing asks for it any more, as its report is the only proof of it. */
    public static Command command(ClaimState row, ReportedState shown, OwnerKnowledge k) {
        return switch (row) {
            case NONE, EARLIER, LATER -> switch (shown) {
                case ABSENT -> Command.NOTHING;
                case DONE, ERROR, ENDED -> k.startUnanswered()
                        ? Command.FENCE
                        : k.endKnown() ? Command.NOTHING : Command.REAP;
                    // Kept out of a double start: it is stopped whatever it was doing.
                default -> Command.STOP;
            };
            case CLAIMED -> shown == ReportedState.ABSENT && !k.reportedBefore() && !k.endKnown()
                    ? Command.START
                    : Command.NOTHING;
            case UNWANTED -> switch (shown) {
                case DONE, ERROR, ENDED -> Command.NOTHING;
                case ABSENT -> k.startUnanswered() && !k.reportedBefore() && !k.endKnown()
                        ? Command.FENCE
                        : Command.NOTHING;
                default -> Command.STOP;
            };
        };
    }
}
