package birchusher.workers;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.Map;

/** One task as a worker reports it. */
public record Entry(String key, long attempt, Phase phase, Why why, boolean saved) {
    /** Where a task stands on its machine. */
    public enum Phase {
        FETCHING,
        WAITING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why a task exited; {@link #NONE} before it has. */
    public enum Why {
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
        return key + "#" + attempt;
    }

    public static Entry read(Map<String, Object> m) {
        Phase phase =
                switch (Fields.text(m, Wire.STATE)) {
                    case "fetching" -> Phase.FETCHING;
                    case "waiting" -> Phase.WAITING;
                    case "running" -> Phase.RUNNING;
                    case "flushing" -> Phase.SAVING;
                    case "exited" -> Phase.EXITED;
                    default -> throw new InvalidInputException(Wire.STATE + ": unknown");
                };
        Why why = m.get(Wire.WHY) == null
                ? Why.NONE
                : switch (Fields.text(m, Wire.WHY)) {
                    case "done" -> Why.DONE;
                    case "halted" -> Why.STOPPED;
                    case "mates_gone" -> Why.PEERS;
                    case "incomplete" -> Why.ALONE;
                    case "full" -> Why.NO_ROOM;
                    case "in_use" -> Why.BUSY;
                    case "no_such" -> Why.UNKNOWN;
                    default -> Why.ERROR;
                };
        return new Entry(
                Fields.text(m, Wire.TASK),
                Fields.count(m, Wire.ATTEMPT),
                phase,
                why,
                Boolean.TRUE.equals(m.get(Wire.SAVED)));
    }
}
