package birchusher.workers;

import birchusher.store.Claim;
import birchusher.wire.Wire;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command to a worker about one attempt of a task.
 *
 * @param taskKey job ID, slash and the task's index
 * @param graceS for {@link Type#STOP}, the time that the task gets to save, in seconds; otherwise not used
 */
record WorkerCommand(Type type, String taskKey, long attempt, double graceS) {
    /** What the worker is to do; the value in the protocol with workers. */
    enum Type {
        START(Wire.START),
        STOP(Wire.STOP),
        REAP(Wire.REAP);

        private final String wireName;

        Type(String wireName) {
            this.wireName = wireName;
        }
    }

    static WorkerCommand start(Claim claim) {
        return new WorkerCommand(Type.START, claim.taskKey(), claim.attempt(), 0);
    }

    static WorkerCommand stop(ReportedTask reported, double graceS) {
        return new WorkerCommand(Type.STOP, reported.taskKey(), reported.attempt(), graceS);
    }

    static WorkerCommand reap(ReportedTask reported) {
        return new WorkerCommand(Type.REAP, reported.taskKey(), reported.attempt(), 0);
    }

    /** The key of the attempt, as {@link Claim#attemptKey()}. */
    String attemptKey() {
        return taskKey + "#" + attempt;
    }

    /** The fields of the command in the protocol with workers. */
    Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(Wire.COMMAND_TYPE, type.wireName);
        fields.put(Wire.TASK, taskKey);
        fields.put(Wire.ATTEMPT, attempt);
        if (type == Type.STOP) {
            fields.put(Wire.GRACE_S, graceS);
        }
        return fields;
    }

    /** The command as it stands in log lines. */
    @Override
    public String toString() {
        return type.wireName + " " + attemptKey();
    }
}
