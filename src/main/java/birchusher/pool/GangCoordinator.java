package birchusher.pool;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Coordinates the start and end of gangs: every task of a gang reports its phase once a second, and the response states
 * whether all tasks are present, whether one is missing, and whether all have succeeded. A state machine without I/O; not
 * thread-safe.
 *
 * <p>The state is kept in memory only and is built again from the next messages after a restart. No task counts as missing
 * before all have reported or the silence timeout has passed.
 *
 * <pre>
 * phase of a task   waiting  running  ended  leaving
 * instruction       wait     go       all    broken
 * </pre>
 */
public final class GangCoordinator {
    private static final int MAX_GANGS = 10_000;
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_HOSTS_LISTED = 1_000;
    private static final long RETENTION_MS = 120_000;

    /** Phase of a task: it has its program; its process runs; its process succeeded; it ends for any other reason. */
    private enum Phase {
        WAITING,
        RUNNING,
        ENDED,
        LEAVING
    }

    private static final class Task {
        Phase phase;
        String host;
        long lastMessageMs;
    }

    private static final class Gang {
        final Map<Integer, Task> tasks = new HashMap<>();
        boolean started;
        boolean broken;
        long lastMessageMs;
        /** Time from which absent tasks count as missing. */
        long missingFromMs;
    }

    private final long silenceTimeoutMs;
    private final Map<String, Gang> gangs = new HashMap<>();

    /** @param silenceTimeoutMs a task that has not succeeded and does not report for this long counts as missing */
    public GangCoordinator(long silenceTimeoutMs) {
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /**
     * Handles {@code POST /gangs}: {"job", "try", "index", "pieces", "phase", "address"}. In the response, "say" is one of
     * the instructions above; with "go" come the hosts of all tasks, ordered by index, if all tasks are present and not more
     * than {@value #MAX_HOSTS_LISTED}.
     *
     * @throws InvalidInputException if a field is invalid or there are too many gangs
     */
    public Map<String, Object> handleStatus(long nowMs, Map<String, Object> message) {
        String job = Fields.text(message, "job");
        long attempt = Fields.count(message, "try");
        long index = Fields.count(message, "index");
        long taskCount = Fields.count(message, "pieces");
        if (taskCount < 1 || taskCount > MAX_TASKS || index >= taskCount) {
            throw new InvalidInputException("pieces: must be 1 to " + MAX_TASKS + " and greater than index");
        }
        Phase phase = parsePhase(Fields.text(message, "phase"));
        String key = job + "#" + attempt;
        if (!gangs.containsKey(key) && gangs.size() >= MAX_GANGS) {
            throw new InvalidInputException("gangs: limit of gangs reached");
        }
        Gang gang = gangs.computeIfAbsent(key, absent -> {
            Gang newGang = new Gang();
            newGang.missingFromMs = nowMs + silenceTimeoutMs;
            return newGang;
        });
        gang.lastMessageMs = nowMs;
        Task task = gang.tasks.computeIfAbsent((int) index, absent -> new Task());
        task.phase = phase;
        task.host = Fields.text(message, Wire.ADDRESS);
        task.lastMessageMs = nowMs;
        if (phase == Phase.RUNNING || phase == Phase.ENDED) {
            // A task runs only after its gang was started, possibly before a restart of this process.
            gang.started = true;
        }
        if (phase == Phase.LEAVING) {
            gang.tasks.remove((int) index);
            gang.broken |= gang.started;
        }
        updateState(nowMs, gang, taskCount);
        String instruction = instruction(gang, taskCount);
        if (!instruction.equals("go") || taskCount > MAX_HOSTS_LISTED || gang.tasks.size() < taskCount) {
            return Map.of("say", instruction);
        }
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < taskCount; i++) {
            String host = gang.tasks.get(i).host;
            hosts.add(host.substring(0, Math.max(0, host.lastIndexOf(':'))));
        }
        return Map.of("say", instruction, "hosts", hosts);
    }

    private void updateState(long nowMs, Gang gang, long taskCount) {
        for (Iterator<Task> i = gang.tasks.values().iterator(); i.hasNext(); ) {
            Task task = i.next();
            if (nowMs - task.lastMessageMs <= silenceTimeoutMs || task.phase == Phase.ENDED) {
                continue;
            }
            i.remove();
            // Before the start, a missing task can be replaced by another of the same attempt.
            gang.broken |= gang.started;
        }
        if (!gang.started && !gang.broken && gang.tasks.size() == taskCount) {
            gang.started = true;
            gang.missingFromMs = nowMs + silenceTimeoutMs;
        }
        if (gang.started && nowMs >= gang.missingFromMs && gang.tasks.size() < taskCount) {
            gang.broken = true;
        }
    }

    private static String instruction(Gang gang, long taskCount) {
        if (gang.broken) {
            return "broken";
        }
        if (!gang.started) {
            return "wait";
        }
        return gang.tasks.size() == taskCount
                        && gang.tasks.values().stream().allMatch(task -> task.phase == Phase.ENDED)
                ? "all"
                : "go";
    }

    /** Removes gangs whose tasks have sent no message for {@value #RETENTION_MS} ms; to be called periodically. */
    public void tick(long nowMs) {
        gangs.values().removeIf(gang -> nowMs - gang.lastMessageMs > RETENTION_MS);
    }

    private static Phase parsePhase(String name) {
        return switch (name) {
            case "waiting" -> Phase.WAITING;
            case "running" -> Phase.RUNNING;
            case "ended" -> Phase.ENDED;
            case "leaving" -> Phase.LEAVING;
            default -> throw new InvalidInputException("phase: unknown");
        };
    }
}
