package birchusher.agent;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One command of a controller. */
record Command(Operation operation, Action.AttemptKey attemptKey, long graceMs) {
    enum Operation {
        START,
        STOP,
        REAP
    }

    private static final int MAX_COMMANDS = 2_000;

    /** All of a message, or none: a message with one that can't be read is dropped. */
    static List<Command> read(Map<String, Object> m) {
        List<Command> orders = new ArrayList<>();
        if (m.get(Wire.COMMANDS) == null) {
            return orders;
        }
        List<?> l = Fields.list(m, Wire.COMMANDS);
        if (l.size() > MAX_COMMANDS) {
            throw new InvalidInputException(Wire.COMMANDS + ": over " + MAX_COMMANDS);
        }
        for (Object o : l) {
            Map<String, Object> x = Fields.map(o, Wire.COMMANDS);
            Operation verb =
                    switch (Fields.text(x, Wire.COMMAND_TYPE)) {
                        case Wire.START -> Operation.START;
                        case Wire.STOP -> Operation.STOP;
                        case Wire.REAP -> Operation.REAP;
                        default -> throw new InvalidInputException(Wire.COMMAND_TYPE + ": unknown");
                    };
            orders.add(new Command(
                    verb,
                    attemptKey(Fields.text(x, Wire.TASK), Fields.count(x, Wire.ATTEMPT)),
                    Math.round(1000 * Fields.amountOr(x, Wire.GRACE_S, 0))));
        }
        return orders;
    }

    /** A piece's name becomes part of a path here: only what the protocol has in names, and no dots. */
    static Action.AttemptKey attemptKey(String piece, long attempt) {
        int slash = piece.lastIndexOf('/');
        if (slash > 0
                && piece.substring(0, slash).matches("[A-Za-z0-9_-]{1,64}")
                && piece.substring(slash + 1).matches("[0-9]{1,6}")) {
            return new Action.AttemptKey(
                    piece.substring(0, slash), Integer.parseInt(piece.substring(slash + 1)), attempt);
        }
        throw new InvalidInputException(Wire.TASK + ": not a task's name");
    }
}
