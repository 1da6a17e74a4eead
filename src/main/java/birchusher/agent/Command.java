package birchusher.agent;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One command of a controller to a worker.
 *
 * @param graceMs how long a stopped task may take to end before it is killed; 0 for the other operations
 */
record Command(Operation operation, Action.AttemptKey attemptKey, long graceMs) {
    enum Operation {
        START,
        STOP,
        REAP
    }

    private static final int MAX_COMMANDS = 2_000;

    /** Returns all commands of a message. One invalid command makes the whole message invalid. */
    static List<Command> read(Map<String, Object> message) {
        List<Command> commands = new ArrayList<>();
        if (message.get(Wire.COMMANDS) == null) {
            return commands;
        }
        List<?> items = Fields.list(message, Wire.COMMANDS);
        if (items.size() > MAX_COMMANDS) {
            throw new InvalidInputException(Wire.COMMANDS + ": more than " + MAX_COMMANDS);
        }
        for (Object item : items) {
            Map<String, Object> fields = Fields.map(item, Wire.COMMANDS);
            Operation operation =
                    switch (Fields.text(fields, Wire.COMMAND_TYPE)) {
                        case Wire.START -> Operation.START;
                        case Wire.STOP -> Operation.STOP;
                        case Wire.REAP -> Operation.REAP;
                        default -> throw new InvalidInputException(Wire.COMMAND_TYPE + ": unknown");
                    };
            commands.add(new Command(
                    operation,
                    attemptKey(Fields.text(fields, Wire.TASK), Fields.count(fields, Wire.ATTEMPT)),
                    Math.round(1000 * Fields.amountOr(fields, Wire.GRACE_S, 0))));
        }
        return commands;
    }

    /** Parses a task name. It becomes part of a path, so it may hold only what the protocol allows in names, and no dots. */
    static Action.AttemptKey attemptKey(String taskName, long attempt) {
        int slash = taskName.lastIndexOf('/');
        if (slash > 0
                && taskName.substring(0, slash).matches("[A-Za-z0-9_-]{1,64}")
                && taskName.substring(slash + 1).matches("[0-9]{1,6}")) {
            return new Action.AttemptKey(
                    taskName.substring(0, slash), Integer.parseInt(taskName.substring(slash + 1)), attempt);
        }
        throw new InvalidInputException(Wire.TASK + ": not a task name of the form JOB/INDEX");
    }
}
