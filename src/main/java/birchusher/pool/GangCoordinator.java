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
 * Where the tasks of a gang's attempt find each other, as a pure machine: each says once a second how it is, and is told
 * whether all are there, whether one is missing, and whether all have ended well.
 *
 * <p>Kept in memory only: after a restart the next messages say it all again. Until everybody has spoken, or the time that a
 * silent task is allowed has passed, nobody is told that one is missing.
 *
 * <pre>
 * a task says    waiting  running  ended  leaving
 * it is told     wait     go       all    broken
 * </pre>
 */
public final class GangCoordinator {
    private static final int MAX_GANGS = 10_000;
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_HOSTS_LISTED = 1_000;
    private static final long RETENTION_MS = 120_000;

    /** How a task is: it has its program; its process runs; its process ended well; it ends for any other reason. */
    private enum Phase {
        WAITING,
        RUNNING,
        ENDED,
        LEAVING
    }

    private static final class Task {
        Phase phase;
        String host;
        long heardMs;
    }

    private static final class Gang {
        final Map<Integer, Task> tasks = new HashMap<>();
        boolean started;
        boolean broken;
        long heardMs;
        /** Since when it may be said that a task is missing. */
        long missingFromMs;
    }

    private final long silenceTimeoutMs;
    private final Map<String, Gang> gangs = new HashMap<>();

    /** @param silentMs a running task not heard of for this long is taken for gone */
    public GangCoordinator(long silentMs) {
        this.silenceTimeoutMs = silentMs;
    }

    /** {@code POST /gangs}: {"job", "try", "index", "pieces", "phase", "address"}; the answer's "say" is one of the words above. With
     * "go" come the hosts of all tasks, by index, unless there are over {@value #MAX_NAMED}. */
    public Map<String, Object> handleStatus(long now, Map<String, Object> m) {
        String job = Fields.text(m, "job");
        long attempt = Fields.count(m, "try");
        long index = Fields.count(m, "index");
        long tasks = Fields.count(m, "pieces");
        if (tasks < 1 || tasks > MAX_TASKS || index >= tasks) {
            throw new InvalidInputException("pieces: 1 to " + MAX_TASKS + ", and above the index");
        }
        Phase phase = parsePhase(Fields.text(m, "phase"));
        String key = job + "#" + attempt;
        if (!gangs.containsKey(key) && gangs.size() >= MAX_GANGS) {
            throw new InvalidInputException("gangs: as many as are kept");
        }
        Gang g = gangs.computeIfAbsent(key, k -> {
            Gang fresh = new Gang();
            fresh.missingFromMs = now + silenceTimeoutMs;
            return fresh;
        });
        g.heardMs = now;
        Task t = g.tasks.computeIfAbsent((int) index, i -> new Task());
        t.phase = phase;
        t.host = Fields.text(m, Wire.ADDRESS);
        t.heardMs = now;
        if (phase == Phase.RUNNING || phase == Phase.ENDED) {
            // It was started before this process was.
            g.started = true;
        }
        if (phase == Phase.LEAVING) {
            g.tasks.remove((int) index);
            g.broken |= g.started;
        }
        updateState(now, g, tasks);
        String say = instruction(g, tasks);
        if (!say.equals("go") || tasks > MAX_HOSTS_LISTED || g.tasks.size() < tasks) {
            return Map.of("say", say);
        }
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            String host = g.tasks.get(i).host;
            hosts.add(host.substring(0, Math.max(0, host.lastIndexOf(':'))));
        }
        return Map.of("say", say, "hosts", hosts);
    }

    private void updateState(long now, Gang g, long tasks) {
        for (Iterator<Task> i = g.tasks.values().iterator(); i.hasNext(); ) {
            Task t = i.next();
            if (now - t.heardMs <= silenceTimeoutMs || t.phase == Phase.ENDED) {
                continue;
            }
            i.remove();
            // Before the start a missing task can be replaced by another with the same attempt.
            g.broken |= g.started;
        }
        if (!g.started && !g.broken && g.tasks.size() == tasks) {
            g.started = true;
            g.missingFromMs = now + silenceTimeoutMs;
        }
        if (g.started && now >= g.missingFromMs && g.tasks.size() < tasks) {
            g.broken = true;
        }
    }

    private static String instruction(Gang g, long tasks) {
        if (g.broken) {
            return "broken";
        }
        if (!g.started) {
            return "wait";
        }
        return g.tasks.size() == tasks && g.tasks.values().stream().allMatch(t -> t.phase == Phase.ENDED)
                ? "all"
                : "go";
    }

    public void tick(long now) {
        gangs.values().removeIf(g -> now - g.heardMs > RETENTION_MS);
    }

    private static Phase parsePhase(String s) {
        return switch (s) {
            case "waiting" -> Phase.WAITING;
            case "running" -> Phase.RUNNING;
            case "ended" -> Phase.ENDED;
            case "leaving" -> Phase.LEAVING;
            default -> throw new InvalidInputException("phase: unknown");
        };
    }
}
