package birchusher.recovery;

/**
 * Reconciles the stored claim of a task attempt with the newest report of its machine: decides what is written to the
 * state service and which command the worker gets. The table is in {@code docs/recovery.md}. It is the same after a
 * start of all controllers, after a takeover and for any other report, so that a second crash during recovery is no
 * special case. This class has no state.
 *
 * <p>The caller drops reports that are not newer than the last one, and answers only with a valid member lease and
 * term.
 */
public final class Reconciliation {
    /** What the stored rows say of an attempt on the reporting machine. */
    public enum ClaimState {
        /** The attempt is to run on the machine, in the worker session of the report. */
        CLAIMED,
        /**
         * As claimed, but no longer needed: its job is over or cancelled, its gang lacks a task, or it is being
         * stopped.
         */
        UNWANTED,
        /** The claim is for an earlier session of the machine's worker. */
        EARLIER,
        /** The claim is for a later session than the report's: the report was sent before the claim was made. */
        LATER,
        /** There is no claim on this machine: it moved, was released, is for another attempt, or never existed. */
        NONE
    }

    /** What the report shows of the attempt; {@code ENDED} is any end other than {@code DONE} and {@code ERROR}. */
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
     * What else the machine's owner has recorded of an attempt.
     *
     * @param reportedBefore an earlier report to this owner showed the attempt
     * @param startUnanswered a start sent directly to the worker has not been answered and may still arrive
     * @param fenced the worker has seen this owner's term, so that no command of an earlier owner can reach it any
     * more
     * @param endKnown the attempt's end is known and about to be written to the state service
     * @param startRepeatable a start was sent directly to the worker under the present term: a worker that has forgotten
     * the attempt would carry out a copy of it
     */
    public record OwnerKnowledge(
            boolean reportedBefore,
            boolean startUnanswered,
            boolean fenced,
            boolean endKnown,
            boolean startRepeatable) {}

    /** What is to be written to the state service for a claim. */
    public enum ClaimOutcome {
        NOTHING,
        DONE,
        ERROR,
        LOST,
        NOT_STARTED
    }

    /**
     * The command for the worker. {@code FENCE} is no command: an unanswered start has to be fenced by a higher term
     * of the shard before any command may follow.
     */
    public enum Command {
        NOTHING,
        START,
        STOP,
        REAP,
        FENCE
    }

    private Reconciliation() {}

    /**
     * Returns what is to be written for a claim. A claim is released only with proof that its task is not on the
     * machine and cannot be started there any more.
     */
    public static ClaimOutcome claimOutcome(ClaimState claim, ReportedState reported, OwnerKnowledge known) {
        return switch (claim) {
            case NONE, LATER -> ClaimOutcome.NOTHING;
                // A worker drops all of its tasks between two sessions.
            case EARLIER -> ClaimOutcome.LOST;
            case CLAIMED, UNWANTED -> switch (reported) {
                case FETCHING, WAITING, RUNNING, SAVING -> ClaimOutcome.NOTHING;
                    // A completion counts also if it was not received at the time, or is no longer needed.
                case DONE -> ClaimOutcome.DONE;
                case ERROR -> ClaimOutcome.ERROR;
                case ENDED -> ClaimOutcome.LOST;
                case ABSENT -> known.reportedBefore() && !known.startUnanswered()
                        ? ClaimOutcome.LOST
                        : claim == ClaimState.UNWANTED
                                        && !known.reportedBefore()
                                        && !known.startUnanswered()
                                        && known.fenced()
                                ? ClaimOutcome.NOT_STARTED
                                : ClaimOutcome.NOTHING;
            };
        };
    }

    /**
     * Returns the command for the worker. An exit is reaped only when its report is no longer needed, as that is the
     * only proof of the exit, and only when no copy of a start can still be carried out, as a worker ignores copies only
     * for the attempts that it lists.
     */
    public static Command command(ClaimState claim, ReportedState reported, OwnerKnowledge known) {
        return switch (claim) {
            case NONE, EARLIER, LATER -> switch (reported) {
                case ABSENT -> Command.NOTHING;
                case DONE, ERROR, ENDED -> known.startUnanswered()
                        ? Command.FENCE
                        : known.endKnown() || known.startRepeatable() ? Command.NOTHING : Command.REAP;
                    // Stopped in any state, so that the task does not run twice.
                default -> Command.STOP;
            };
            case CLAIMED -> reported == ReportedState.ABSENT && !known.reportedBefore() && !known.endKnown()
                    ? Command.START
                    : Command.NOTHING;
            case UNWANTED -> switch (reported) {
                case DONE, ERROR, ENDED -> Command.NOTHING;
                case ABSENT -> known.startUnanswered() && !known.reportedBefore() && !known.endKnown()
                        ? Command.FENCE
                        : Command.NOTHING;
                default -> Command.STOP;
            };
        };
    }
}
