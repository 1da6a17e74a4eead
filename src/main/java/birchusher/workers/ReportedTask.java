package birchusher.workers;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.Map;

/** One task as a worker reports it. */
public record ReportedTask(String taskKey, long attempt, Phase phase, ExitReason exitReason, boolean saved) {
    /** Where a task stands on its machine. */
    public enum Phase {
        FETCHING,
        WAITING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why a task exited; {@link #NONE} before it has. */
    public enum ExitReason {
        NONE,
        DONE,
        STOPPED,
        PEERS,
        ALONE,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN
    }

    public boolean exited() {
        return phase == Phase.EXITED;
    }

    public String attemptKey() {
        return taskKey + "#" + attempt;
    }

    public static ReportedTask read(Map<String, Object> m) {
        Phase phase =
                switch (Fields.text(m, Wire.STATE)) {
                    case "fetching" -> Phase.FETCHING;
                    case "waiting" -> Phase.WAITING;
                    case "running" -> Phase.RUNNING;
                    case "flushing" -> Phase.SAVING;
                    case "exited" -> Phase.EXITED;
                    default -> throw new InvalidInputException(Wire.STATE + ": unknown");
                };
        ExitReason why = m.get(Wire.WHY) == null
                ? ExitReason.NONE
                : switch (Fields.text(m, Wire.WHY)) {
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
                Fields.text(m, Wire.TASK),
                Fields.count(m, Wire.ATTEMPT),
                phase,
                why,
                Boolean.TRUE.equals(m.get(Wire.SAVED)));
    }
}
