package birchusher.workers;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.Map;

/**
 * One task attempt as a worker reports it.
 *
 * @param taskKey job ID, slash and the task's index
 * @param saved whether it wrote a checkpoint before it exited
 */
public record ReportedTask(String taskKey, long attempt, Phase phase, ExitReason exitReason, boolean saved) {
    /** The progress of an attempt on its machine. */
    public enum Phase {
        FETCHING,
        WAITING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why an attempt exited; {@link #NONE} before it has. */
    public enum ExitReason {
        NONE,
        DONE,
        STOPPED,
        /** Other tasks of its gang are gone. */
        PEERS,
        /** Its gang did not become complete in time. */
        ALONE,
        ERROR,
        /** The machine has no capacity for it. */
        NO_ROOM,
        /** Another attempt of the task has not exited on the machine. */
        BUSY,
        /** The controller's API has no such job or task. */
        UNKNOWN
    }

    public boolean exited() {
        return phase == Phase.EXITED;
    }

    public String attemptKey() {
        return taskKey + "#" + attempt;
    }

    /** Reads a task from the body of a report; throws {@link InvalidInputException} if it is invalid. */
    public static ReportedTask read(Map<String, Object> fields) {
        Phase phase =
                switch (Fields.text(fields, Wire.STATE)) {
                    case "fetching" -> Phase.FETCHING;
                    case "waiting" -> Phase.WAITING;
                    case "running" -> Phase.RUNNING;
                    case "flushing" -> Phase.SAVING;
                    case "exited" -> Phase.EXITED;
                    default -> throw new InvalidInputException(Wire.STATE + ": unknown");
                };
        ExitReason exitReason = fields.get(Wire.EXIT_REASON) == null
                ? ExitReason.NONE
                : switch (Fields.text(fields, Wire.EXIT_REASON)) {
                    case "done" -> ExitReason.DONE;
                    case "halted" -> ExitReason.STOPPED;
                    case "mates_gone" -> ExitReason.PEERS;
                    case "incomplete" -> ExitReason.ALONE;
                    case "full" -> ExitReason.NO_ROOM;
                    case "in_use" -> ExitReason.BUSY;
                    case "no_such" -> ExitReason.UNKNOWN;
                    default -> ExitReason.ERROR;
                };
        return new ReportedTask(
                Fields.text(fields, Wire.TASK),
                Fields.count(fields, Wire.ATTEMPT),
                phase,
                exitReason,
                Boolean.TRUE.equals(fields.get(Wire.CHECKPOINT_SAVED)));
    }
}
