package standin;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What users have uploaded for the workers, and what is on the machines: starts, ends, and the gangs' common state. */
final class Jobs {
    /** A job's description and its true run time. */
    record Spec(Map<String, Object> submission, double runS) {
        String id() {
            return (String) submission.get("name_id");
        }

        String shape() {
            return (String) submission.get("shape");
        }

        int pieces() {
            return (int) Net.asLong(submission.get("pieces"), 0);
        }

        double amount(String field) {
            return Net.asDouble(submission.get(field), 0);
        }
    }

    private final Map<String, Spec> specs = new ConcurrentHashMap<>();
    /** Tasks that completed; their results are kept. */
    private final Set<String> done = ConcurrentHashMap.newKeySet();
    /** By job and attempt: when the whole gang began to run. */
    private final Map<String, Long> gangRunsSinceMs = new ConcurrentHashMap<>();

    private final Map<String, Set<String>> onMachines = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();

    void upload(Spec spec) {
        specs.put(spec.id(), spec);
    }

    Spec spec(String id) {
        return specs.get(id);
    }

    static String jobOf(String piece) {
        return piece.substring(0, piece.lastIndexOf('/'));
    }

    boolean isDone(String piece) {
        return done.contains(piece);
    }

    int doneCount(String job) {
        int count = 0;
        for (int i = 0; i < spec(job).pieces(); i++) {
            count += done.contains(job + "/" + i) ? 1 : 0;
        }
        return count;
    }

    int startCount(String piece) {
        return starts.getOrDefault(piece, 0);
    }

    /** A task has its image. Returns the other machines that it is on. */
    List<String> begins(String piece, String machine) {
        starts.merge(piece, 1, Integer::sum);
        Set<String> machines = onMachines.computeIfAbsent(piece, key -> ConcurrentHashMap.newKeySet());
        List<String> others = machines.stream().filter(other -> !other.equals(machine)).toList();
        machines.add(machine);
        return others;
    }

    void leaves(String piece, String machine) {
        Set<String> machines = onMachines.get(piece);
        if (machines != null) {
            machines.remove(machine);
        }
    }

    Set<String> machinesOf(String piece) {
        return new HashSet<>(onMachines.getOrDefault(piece, Set.of()));
    }

    /** Whether any attempt of a gang has begun to run. */
    boolean gangRuns(String job) {
        return gangRunsCount(job) > 0;
    }

    /** How many attempts of a gang have begun to run. */
    int gangRunsCount(String job) {
        return (int) gangRunsSinceMs.keySet().stream().filter(key -> key.startsWith(job + "#")).count();
    }

    /** How many of a job's tasks are on machines. */
    int onMachinesCount(String job) {
        int count = 0;
        for (int i = 0; i < spec(job).pieces(); i++) {
            count += machinesOf(job + "/" + i).isEmpty() ? 0 : 1;
        }
        return count;
    }

    void completes(String piece) {
        done.add(piece);
    }

    /** Advances the gangs: they start together, complete together, and fail together. */
    void advanceGangs(List<Worker> workers, long now, long peerMs) {
        Map<String, Map<String, Worker>> members = new LinkedHashMap<>();
        for (Worker worker : workers) {
            for (Worker.Task task : worker.tasksSnapshot()) {
                if (task.isGang && !task.exited() && !task.stage.equals("fetching")) {
                    members.computeIfAbsent(jobOf(task.piece) + "#" + task.attempt, key -> new LinkedHashMap<>())
                            .put(task.piece, worker);
                }
            }
        }
        members.forEach((key, machines) -> {
            Spec spec = spec(key.substring(0, key.indexOf('#')));
            long attempt = Long.parseLong(key.substring(key.indexOf('#') + 1));
            Long since = gangRunsSinceMs.get(key);
            if (since == null) {
                if (machines.size() == spec.pieces()) {
                    gangRunsSinceMs.put(key, now);
                    Record.line("gang %s runs, %d tasks on %d machines", key, machines.size(), new HashSet<>(machines.values()).size());
                    machines.forEach((piece, worker) -> worker.gangRuns(piece, attempt));
                }
                return;
            }
            if (machines.size() < spec.pieces()
                    || machines.values().stream().anyMatch(worker -> worker.unseenByMatesMs(now) > peerMs)) {
                Record.line("gang %s: a task is gone, the others exit", key);
                machines.forEach((piece, worker) -> worker.gangEnds(piece, attempt, "mates_gone"));
            } else if (now >= since + Math.round(spec.runS() * 1000)) {
                Record.line("gang %s completes on its machines", key);
                machines.keySet().forEach(this::completes);
                machines.forEach((piece, worker) -> worker.gangEnds(piece, attempt, "done"));
            }
        });
    }
}
