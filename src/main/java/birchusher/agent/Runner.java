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
    private static final List<String> KEPT = List.of("PATH", "HOME", "LANG", "LC_ALL", "TZ", "TMPDIR", "USER");

    static final int FAILED = 125;
    /** What a task printed last has this long to reach its log. */
    private static final long LOG_MS = 2_000;

    private final String agent;
    private final Path work;
    private final Path checkpoints;
    private final Logs logs;
    private final ObjIntConsumer<Action.Key> exited;
    /** From {@link #run} until its exit is told. */
    private final Map<Action.Key, Entry> active = new ConcurrentHashMap<>();

    private static final class Entry {
        /** Null until it is started. */
        Process process;

        boolean doomed;
        /** It was asked to end: what it exits with does not say any more that its work is done. */
        boolean asked;

        /** Whether it was started; not if it is to end anyhow. */
        synchronized boolean start(ProcessBuilder b) throws IOException {
            if (!doomed && !asked) {
                process = b.start();
            }
            return process != null;
        }

        synchronized void doom() {
            doomed = true;
            asked = true;
            if (process != null) {
                process.destroyForcibly();
            }
        }

        /** The process, if it can be asked. */
        synchronized Process ask() {
            asked = true;
            return process;
        }

        synchronized boolean asked() {
            return asked;
        }
    }

    /** @param exited called from other threads, once for each {@link #run} */
    Runner(String agent, Path dir, Path checkpoints, Logs logs, ObjIntConsumer<Action.Key> exited) throws IOException {
        this.agent = agent;
        this.work = Files.createDirectories(dir.resolve("work"));
        this.checkpoints = Files.createDirectories(checkpoints);
        this.logs = logs;
        this.exited = exited;
    }

    private Path saves(Action.Key k) {
        return checkpoints.resolve(k.job()).resolve(String.valueOf(k.index()));
    }

    private Path done(Action.Key k) {
        return checkpoints.resolve(k.job()).resolve(k.index() + ".done");
    }

    private Path place(Action.Key k) {
        return work.resolve(k.job()).resolve(k.index() + "." + k.attempt());
    }

    void run(Action.Run r) {
        Entry entry = new Entry();
        active.put(r.key(), entry);
        thread("task " + r.key().piece(), () -> {
            int code = FAILED;
            try {
                code = Files.exists(done(r.key())) ? 0 : process(r, entry);
            } catch (IOException e) {
                LOG.info("{} can't be run: {}", r.key().piece(), e.getMessage());
                logs.note(r.key(), e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                active.remove(r.key());
                exited.accept(r.key(), code);
            }
        });
    }

    /** Starts a thread that keeps no process alive. */
    static Thread thread(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private int process(Action.Run r, Entry entry) throws IOException, InterruptedException {
        Action.Key k = r.key();
        String tag = Tagged.tag(agent, k);
        Files.createDirectories(saves(k));
        ProcessBuilder b = new ProcessBuilder(r.job().command())
                .redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .directory(Files.createDirectories(place(k)).toFile());
        Map<String, String> env = b.environment();
        env.keySet().retainAll(KEPT);
        env.putAll(r.job().env());
        env.putAll(names(r, tag));
        if (!entry.start(b)) {
            return FAILED;
        }
        Process p = entry.process;
        InputStream output = p.getInputStream();
        Thread copier = thread("log " + k.piece(), () -> {
            try {
                logs.copy(k, output);
            } catch (IOException e) {
                LOG.debug("log of {}: {}", k.piece(), e.getMessage());
            }
        });
        int code = p.waitFor();
        Tagged.killAll(tag);
        copier.join(LOG_MS);
        output.close();
        if (code == 0 && !r.job().service() && !entry.asked()) {
            try {
                Files.writeString(done(k), "");
            } catch (IOException e) {
                LOG.error(
                        "{} is done and would be run again if it were started once more: {}",
                        k.piece(),
                        e.getMessage());
            }
        }
        return code;
    }

    private Map<String, String> names(Action.Run r, String tag) {
        Action.Key k = r.key();
        Map<String, String> env = new HashMap<>();
        env.put(Tagged.VARIABLE, tag);
        env.put("BIRCHUSHER_JOB", k.job());
        env.put("BIRCHUSHER_INDEX", String.valueOf(k.index()));
        env.put("BIRCHUSHER_TASKS", String.valueOf(r.job().tasks()));
        env.put("BIRCHUSHER_ATTEMPT", String.valueOf(k.attempt()));
        env.put("BIRCHUSHER_CHECKPOINT", saves(k).toAbsolutePath().toString());
        if (!r.gangHosts().isEmpty()) {
            env.put("BIRCHUSHER_GANG_HOSTS", String.join(",", r.gangHosts()));
        }
        return env;
    }

    /** Sends a signal to a task's first process. */
    void signal(Action.Signal s) {
        Entry e = active.get(s.key());
        Process p = e == null ? null : e.ask();
        if (p == null) {
            return;
        }
        if (s.name().equals("TERM")) {
            p.destroy();
            return;
        }
        thread("signal", () -> {
            try {
                new ProcessBuilder("kill", "-" + s.name(), String.valueOf(p.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (IOException x) {
                LOG.error("no signal for {}: {}", s.key().piece(), x.getMessage());
            } catch (InterruptedException x) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Kills a task and all it has started, or keeps it from starting; its exit comes as ever. */
    void kill(Action.Key k) {
        Entry e = active.get(k);
        if (e != null) {
            e.doom();
            thread("kill " + k.piece(), () -> killed(Tagged.tag(agent, k)));
        }
    }

    /** Kills all tasks, and tells when nothing is left. Nothing may be run meanwhile. */
    void killAll(Runnable then) {
        active.values().forEach(Entry::doom);
        thread("kill all", () -> {
            while (!(killed(agent + "/") && active.isEmpty())) {
                Thread.onSpinWait();
            }
            then.run();
        });
    }

    private boolean killed(String tag) {
        try {
            Tagged.killAll(tag);
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
    void forget(Action.Key k) {
        thread("forget " + k.piece(), () -> {
            remove(place(k));
            place(k).getParent().toFile().delete();
        });
    }

    /** What earlier lives of this agent left; none of it runs any more. */
    void forgetAll() {
        File[] left = work.toFile().listFiles();
        for (File f : left == null ? new File[0] : left) {
            remove(f.toPath());
        }
    }

    /** Jobs whose saves are kept here and of which nothing runs, at most so many. */
    List<String> keptJobs(int most) {
        String[] names = checkpoints.toFile().list();
        return names == null
                ? List.of()
                : Arrays.stream(names)
                        .filter(n ->
                                active.keySet().stream().noneMatch(k -> k.job().equals(n)))
                        .limit(most)
                        .toList();
    }

    /** The job is over: nobody will start a task of it again. */
    void over(String job) {
        thread("over " + job, () -> remove(checkpoints.resolve(job)));
    }

    private static void remove(Path dir) {
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        } catch (IOException e) {
            LOG.debug("{} stays: {}", dir, e.getMessage());
        }
    }
}
