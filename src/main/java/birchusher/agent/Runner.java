package birchusher.agent;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ObjIntConsumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs tasks as processes of this host. A task ends when its first process ends; all other processes that it has started
 * are killed then, and its exit is reported only after none of them is left. Methods may be called from any thread.
 *
 * <pre>
 * DIR/work/JOB/INDEX.TRY      working directory, deleted with the attempt
 * CHECKPOINTS/JOB/INDEX       for the program's own checkpoints; kept across attempts
 * CHECKPOINTS/JOB/INDEX.done  marks the task as done: starting it again does not run it again
 * </pre>
 */
final class Runner {
    private static final Logger LOG = LoggerFactory.getLogger(Runner.class);
    /** Environment variables that tasks inherit from the agent; all others come from the job. */
    private static final List<String> INHERITED_VARIABLES =
            List.of("PATH", "HOME", "LANG", "LC_ALL", "TZ", "TMPDIR", "USER");

    /** Reported as exit code if no process was started. */
    static final int START_FAILED_EXIT_CODE = 125;
    /** Time for a task's last output to reach its log after its processes are gone. */
    private static final long LOG_DRAIN_MS = 2_000;

    private final String agentTag;
    private final Path workRoot;
    private final Path checkpointRoot;
    private final TaskLogs logs;
    private final ObjIntConsumer<Action.AttemptKey> exitHandler;
    /** Tasks from {@link #run} until their exit is reported. */
    private final Map<Action.AttemptKey, ActiveTask> activeTasks = new ConcurrentHashMap<>();

    private static final class ActiveTask {
        /** Null until the process is started. */
        Process process;

        boolean killed;
        /** Set when the task is asked to end: exit code 0 does not mean any more that its work is done. */
        boolean endRequested;

        /** Starts the process unless the task is to end; returns whether it was started. */
        synchronized boolean start(ProcessBuilder builder) throws IOException {
            if (!killed && !endRequested) {
                process = builder.start();
            }
            return process != null;
        }

        synchronized void kill() {
            killed = true;
            endRequested = true;
            if (process != null) {
                process.destroyForcibly();
            }
        }

        /** Returns the process to be asked to end, null if it has not been started. */
        synchronized Process requestEnd() {
            endRequested = true;
            return process;
        }

        synchronized boolean isEndRequested() {
            return endRequested;
        }
    }

    /**
     * @param agentTag tag of all processes that this agent starts
     * @param exitHandler called from other threads, once for each {@link #run}
     */
    Runner(String agentTag, Path dir, Path checkpoints, TaskLogs logs, ObjIntConsumer<Action.AttemptKey> exitHandler)
            throws IOException {
        this.agentTag = agentTag;
        this.workRoot = Files.createDirectories(dir.resolve("work"));
        this.checkpointRoot = Files.createDirectories(checkpoints);
        this.logs = logs;
        this.exitHandler = exitHandler;
    }

    private Path checkpointDir(Action.AttemptKey key) {
        return checkpointRoot.resolve(key.job()).resolve(String.valueOf(key.index()));
    }

    private Path doneMarker(Action.AttemptKey key) {
        return checkpointRoot.resolve(key.job()).resolve(key.index() + ".done");
    }

    private Path workDir(Action.AttemptKey key) {
        return workRoot.resolve(key.job()).resolve(key.index() + "." + key.attempt());
    }

    /** Starts a task in a thread of its own; a task that is marked as done exits with 0 without being run. */
    void run(Action.StartProcess start) {
        ActiveTask activeTask = new ActiveTask();
        activeTasks.put(start.key(), activeTask);
        startDaemonThread("task " + start.key().taskName(), () -> {
            int exitCode = START_FAILED_EXIT_CODE;
            try {
                exitCode = Files.exists(doneMarker(start.key())) ? 0 : runProcess(start, activeTask);
            } catch (IOException e) {
                LOG.info("task {} can't be run: {}", start.key().taskName(), e.getMessage());
                logs.writeNote(start.key(), e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                activeTasks.remove(start.key());
                exitHandler.accept(start.key(), exitCode);
            }
        });
    }

    /** Starts a daemon thread, which does not keep the JVM alive. */
    static Thread startDaemonThread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private int runProcess(Action.StartProcess start, ActiveTask activeTask) throws IOException, InterruptedException {
        Action.AttemptKey key = start.key();
        String tag = TaggedProcesses.tag(agentTag, key);
        Files.createDirectories(checkpointDir(key));
        ProcessBuilder builder = new ProcessBuilder(start.description().command())
                .redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .directory(Files.createDirectories(workDir(key)).toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(INHERITED_VARIABLES);
        environment.putAll(start.description().env());
        environment.putAll(taskVariables(start, tag));
        if (!activeTask.start(builder)) {
            return START_FAILED_EXIT_CODE;
        }
        Process process = activeTask.process;
        InputStream output = process.getInputStream();
        Thread copier = startDaemonThread("log " + key.taskName(), () -> {
            try {
                logs.copy(key, output);
            } catch (IOException e) {
                LOG.debug("log of task {} can't be written: {}", key.taskName(), e.getMessage());
            }
        });
        int exitCode = process.waitFor();
        TaggedProcesses.killAll(tag);
        copier.join(LOG_DRAIN_MS);
        output.close();
        if (exitCode == 0 && !start.description().service() && !activeTask.isEndRequested()) {
            try {
                Files.writeString(doneMarker(key), "");
            } catch (IOException e) {
                LOG.error(
                        "task {} is done but can't be marked as done, another start would run it again: {}",
                        key.taskName(),
                        e.getMessage());
            }
        }
        return exitCode;
    }

    private Map<String, String> taskVariables(Action.StartProcess start, String tag) {
        Action.AttemptKey key = start.key();
        Map<String, String> variables = new HashMap<>();
        variables.put(TaggedProcesses.TAG_VARIABLE, tag);
        variables.put("BIRCHUSHER_JOB", key.job());
        variables.put("BIRCHUSHER_INDEX", String.valueOf(key.index()));
        variables.put("BIRCHUSHER_TASKS", String.valueOf(start.description().taskCount()));
        variables.put("BIRCHUSHER_ATTEMPT", String.valueOf(key.attempt()));
        variables.put(
                "BIRCHUSHER_CHECKPOINT", checkpointDir(key).toAbsolutePath().toString());
        if (!start.gangHosts().isEmpty()) {
            variables.put("BIRCHUSHER_GANG_HOSTS", String.join(",", start.gangHosts()));
        }
        return variables;
    }

    /** Sends a signal to a task's first process, or keeps the task from starting if it has none yet. */
    void sendSignal(Action.SendSignal signal) {
        ActiveTask activeTask = activeTasks.get(signal.key());
        Process process = activeTask == null ? null : activeTask.requestEnd();
        if (process == null) {
            return;
        }
        if (signal.name().equals("TERM")) {
            process.destroy();
            return;
        }
        startDaemonThread("signal", () -> {
            try {
                new ProcessBuilder("kill", "-" + signal.name(), String.valueOf(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (IOException exception) {
                LOG.error("signal to task {} can't be sent: {}", signal.key().taskName(), exception.getMessage());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Kills a task and all processes that it has started, or keeps it from starting; its exit is reported as usual. */
    void kill(Action.AttemptKey key) {
        ActiveTask activeTask = activeTasks.get(key);
        if (activeTask != null) {
            activeTask.kill();
            startDaemonThread("kill " + key.taskName(), () -> tryKillTagged(TaggedProcesses.tag(agentTag, key)));
        }
    }

    /**
     * Kills all tasks. {@link #run} must not be called before {@code onAllGone} is, which happens in another thread when no
     * process is left.
     */
    void killAll(Runnable onAllGone) {
        activeTasks.values().forEach(ActiveTask::kill);
        startDaemonThread("kill all", () -> {
            while (!(tryKillTagged(agentTag + "/") && activeTasks.isEmpty())) {
                Thread.onSpinWait();
            }
            onAllGone.run();
        });
    }

    private boolean tryKillTagged(String tag) {
        try {
            TaggedProcesses.killAll(tag);
            Thread.sleep(20);
            return true;
        } catch (IOException e) {
            LOG.error("processes can't be listed in /proc: {}", e.getMessage());
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Deletes an attempt's working directory in a thread of its own. */
    void deleteWorkDir(Action.AttemptKey key) {
        startDaemonThread("forget " + key.taskName(), () -> {
            deleteTree(workDir(key));
            workDir(key).getParent().toFile().delete();
        });
    }

    /** Deletes the working directories that earlier runs of the agent left; none of their tasks may still run. */
    void deleteAllWorkDirs() {
        File[] leftovers = workRoot.toFile().listFiles();
        for (File file : leftovers == null ? new File[0] : leftovers) {
            deleteTree(file.toPath());
        }
    }

    /** Returns up to {@code maxJobs} jobs that have checkpoints here and of which no task runs here. */
    List<String> inactiveCheckpointJobs(int maxJobs) {
        String[] jobs = checkpointRoot.toFile().list();
        return jobs == null
                ? List.of()
                : Arrays.stream(jobs)
                        .filter(job -> activeTasks.keySet().stream()
                                .noneMatch(active -> active.job().equals(job)))
                        .limit(maxJobs)
                        .toList();
    }

    /** Deletes the checkpoints of a job that has ended and whose tasks are never started again. */
    void deleteCheckpoints(String job) {
        startDaemonThread("over " + job, () -> deleteTree(checkpointRoot.resolve(job)));
    }

    private static void deleteTree(Path dir) {
        try (Stream<Path> files = Files.walk(dir)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            LOG.debug("directory {} can't be deleted: {}", dir, e.getMessage());
        }
    }
}
