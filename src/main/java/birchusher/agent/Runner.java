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
 * Runs tasks as processes of this host. A task has ended when its first process has, and then everything else it has started is
 * killed: its exit is told only after nothing is left.
 *
 * <pre>
 * DIR/work/JOB/INDEX.TRY      working directory, gone with the attempt
 * CHECKPOINTS/JOB/INDEX       for the program's own saves; stays over attempts
 * CHECKPOINTS/JOB/INDEX.done  the task is done: a start of it does not run it again
 * </pre>
 */
final class Runner {
    private static final Logger LOG = LoggerFactory.getLogger(Runner.class);
    /** Taken over from the agent; all else comes from the job. */
    private static final List<String> INHERITED_VARIABLES =
            List.of("PATH", "HOME", "LANG", "LC_ALL", "TZ", "TMPDIR", "USER");

    static final int START_FAILED_EXIT_CODE = 125;
    /** What a task printed last has this long to reach its log. */
    private static final long LOG_DRAIN_MS = 2_000;

    private final String agentTag;
    private final Path workRoot;
    private final Path checkpointRoot;
    private final TaskLogs logs;
    private final ObjIntConsumer<Action.AttemptKey> exitHandler;
    /** From {@link #run} until its exit is told. */
    private final Map<Action.AttemptKey, ActiveTask> activeTasks = new ConcurrentHashMap<>();

    private static final class ActiveTask {
        /** Null until it is started. */
        Process process;

        boolean killed;
        /** It was asked to end: what it exits with does not say any more that its work is done. */
        boolean endRequested;

        /** Whether it was started; not if it is to end anyhow. */
        synchronized boolean start(ProcessBuilder b) throws IOException {
            if (!killed && !endRequested) {
                process = b.start();
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

        /** The process, if it can be asked. */
        synchronized Process requestEnd() {
            endRequested = true;
            return process;
        }

        synchronized boolean endRequested() {
            return endRequested;
        }
    }

    /** @param exited called from other threads, once for each {@link #run} */
    Runner(String agent, Path dir, Path checkpoints, TaskLogs logs, ObjIntConsumer<Action.AttemptKey> exited)
            throws IOException {
        this.agentTag = agent;
        this.workRoot = Files.createDirectories(dir.resolve("work"));
        this.checkpointRoot = Files.createDirectories(checkpoints);
        this.logs = logs;
        this.exitHandler = exited;
    }

    private Path checkpointDir(Action.AttemptKey k) {
        return checkpointRoot.resolve(k.job()).resolve(String.valueOf(k.index()));
    }

    private Path doneMarker(Action.AttemptKey k) {
        return checkpointRoot.resolve(k.job()).resolve(k.index() + ".done");
    }

    private Path workDir(Action.AttemptKey k) {
        return workRoot.resolve(k.job()).resolve(k.index() + "." + k.attempt());
    }

    void run(Action.StartProcess r) {
        ActiveTask entry = new ActiveTask();
        activeTasks.put(r.key(), entry);
        startDaemonThread("task " + r.key().taskName(), () -> {
            int code = START_FAILED_EXIT_CODE;
            try {
                code = Files.exists(doneMarker(r.key())) ? 0 : runProcess(r, entry);
            } catch (IOException e) {
                LOG.info("{} can't be run: {}", r.key().taskName(), e.getMessage());
                logs.writeNote(r.key(), e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                activeTasks.remove(r.key());
                exitHandler.accept(r.key(), code);
            }
        });
    }

    /** Starts a thread that keeps no process alive. */
    static Thread startDaemonThread(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private int runProcess(Action.StartProcess r, ActiveTask entry) throws IOException, InterruptedException {
        Action.AttemptKey k = r.key();
        String tag = TaggedProcesses.tag(agentTag, k);
        Files.createDirectories(checkpointDir(k));
        ProcessBuilder b = new ProcessBuilder(r.description().command())
                .redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .directory(Files.createDirectories(workDir(k)).toFile());
        Map<String, String> env = b.environment();
        env.keySet().retainAll(INHERITED_VARIABLES);
        env.putAll(r.description().env());
        env.putAll(taskVariables(r, tag));
        if (!entry.start(b)) {
            return START_FAILED_EXIT_CODE;
        }
        Process p = entry.process;
        InputStream output = p.getInputStream();
        Thread copier = startDaemonThread("log " + k.taskName(), () -> {
            try {
                logs.copy(k, output);
            } catch (IOException e) {
                LOG.debug("log of {}: {}", k.taskName(), e.getMessage());
            }
        });
        int code = p.waitFor();
        TaggedProcesses.killAll(tag);
        copier.join(LOG_DRAIN_MS);
        output.close();
        if (code == 0 && !r.description().service() && !entry.endRequested()) {
            try {
                Files.writeString(doneMarker(k), "");
            } catch (IOException e) {
                LOG.error(
                        "{} is done and would be run again if it were started once more: {}",
                        k.taskName(),
                        e.getMessage());
            }
        }
        return code;
    }

    private Map<String, String> taskVariables(Action.StartProcess r, String tag) {
        Action.AttemptKey k = r.key();
        Map<String, String> env = new HashMap<>();
        env.put(TaggedProcesses.TAG_VARIABLE, tag);
        env.put("BIRCHUSHER_JOB", k.job());
        env.put("BIRCHUSHER_INDEX", String.valueOf(k.index()));
        env.put("BIRCHUSHER_TASKS", String.valueOf(r.description().taskCount()));
        env.put("BIRCHUSHER_ATTEMPT", String.valueOf(k.attempt()));
        env.put("BIRCHUSHER_CHECKPOINT", checkpointDir(k).toAbsolutePath().toString());
        if (!r.gangHosts().isEmpty()) {
            env.put("BIRCHUSHER_GANG_HOSTS", String.join(",", r.gangHosts()));
        }
        return env;
    }

    /** Sends a signal to a task's first process. */
    void sendSignal(Action.SendSignal s) {
        ActiveTask e = activeTasks.get(s.key());
        Process p = e == null ? null : e.requestEnd();
        if (p == null) {
            return;
        }
        if (s.name().equals("TERM")) {
            p.destroy();
            return;
        }
        startDaemonThread("signal", () -> {
            try {
                new ProcessBuilder("kill", "-" + s.name(), String.valueOf(p.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (IOException x) {
                LOG.error("no signal for {}: {}", s.key().taskName(), x.getMessage());
            } catch (InterruptedException x) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Kills a task and all it has started, or keeps it from starting; its exit comes as ever. */
    void kill(Action.AttemptKey k) {
        ActiveTask e = activeTasks.get(k);
        if (e != null) {
            e.kill();
            startDaemonThread("kill " + k.taskName(), () -> tryKillTagged(TaggedProcesses.tag(agentTag, k)));
        }
    }

    /** Kills all tasks, and tells when nothing is left. Nothing may be run meanwhile. */
    void killAll(Runnable then) {
        activeTasks.values().forEach(ActiveTask::kill);
        startDaemonThread("kill all", () -> {
            while (!(tryKillTagged(agentTag + "/") && activeTasks.isEmpty())) {
                Thread.onSpinWait();
            }
            then.run();
        });
    }

    private boolean tryKillTagged(String tag) {
        try {
            TaggedProcesses.killAll(tag);
            Thread.sleep(20);
            return true;
        } catch (IOException e) {
            LOG.error("processes can't be listed: {}", e.getMessage());
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The attempt's working directory may go. */
    void deleteWorkDir(Action.AttemptKey k) {
        startDaemonThread("forget " + k.taskName(), () -> {
            deleteTree(workDir(k));
            workDir(k).getParent().toFile().delete();
        });
    }

    /** What earlier lives of this agent left; none of it runs any more. */
    void deleteAllWorkDirs() {
        File[] left = workRoot.toFile().listFiles();
        for (File f : left == null ? new File[0] : left) {
            deleteTree(f.toPath());
        }
    }

    /** Jobs whose saves are kept here and of which nothing runs, at most so many. */
    List<String> inactiveCheckpointJobs(int most) {
        String[] names = checkpointRoot.toFile().list();
        return names == null
                ? List.of()
                : Arrays.stream(names)
                        .filter(n -> activeTasks.keySet().stream()
                                .noneMatch(k -> k.job().equals(n)))
                        .limit(most)
                        .toList();
    }

    /** The job is over: nobody will start a task of it again. */
    void deleteCheckpoints(String job) {
        startDaemonThread("over " + job, () -> deleteTree(checkpointRoot.resolve(job)));
    }

    private static void deleteTree(Path dir) {
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        } catch (IOException e) {
            LOG.debug("{} stays: {}", dir, e.getMessage());
        }
    }
}
