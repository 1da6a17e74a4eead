package birchusher.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The processes of tasks, found by a mark in their environment ({@code /proc/PID/environ}). Children inherit it, also those that
 * have left their parent's session or whose parent has ended; a process that replaces its whole environment escapes. Linux only.
 */
final class TaggedProcesses {
    static final String TAG_VARIABLE = "BIRCHUSHER_TAG";
    private static final Path PROC = Path.of("/proc");
    private static final long KILL_INTERVAL_MS = 20;

    private TaggedProcesses() {}

    /** The mark of a task; that of all tasks of an agent is a prefix of it. */
    static String tag(String agent, Action.AttemptKey key) {
        return agent + "/" + key.taskName() + "/" + key.attempt() + "/";
    }

    /** Whether processes can be found here at all. */
    static boolean isSupported() {
        return Files.isReadable(PROC.resolve("self/environ"));
    }

    static List<Long> find(String prefix) throws IOException {
        byte[] mark = (TAG_VARIABLE + "=" + prefix).getBytes(StandardCharsets.UTF_8);
        List<Long> found = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(PROC, "[0-9]*")) {
            for (Path p : all) {
                try {
                    if (containsVariable(Files.readAllBytes(p.resolve("environ")), mark)) {
                        found.add(Long.parseLong(p.getFileName().toString()));
                    }
                } catch (IOException e) {
                    // Another user's, or it has just ended.
                    continue;
                }
            }
        }
        return found;
    }

    /** Whether a variable, at the beginning or behind a zero byte, begins with the mark. */
    static boolean containsVariable(byte[] environment, byte[] mark) {
        for (int i = 0; i + mark.length <= environment.length; i++) {
            if (i > 0 && environment[i - 1] != 0) {
                continue;
            }
            int n = 0;
            while (n < mark.length && environment[i + n] == mark[n]) {
                n++;
            }
            if (n == mark.length) {
                return true;
            }
        }
        return false;
    }

    /**
     * Kills until none is found. A process may fork between being seen and being killed; its child is seen the next time.
     * (A process that was killed has no environment any more, even before its parent has taken its exit code.)
     */
    static void killAll(String prefix) throws IOException, InterruptedException {
        for (List<Long> found = find(prefix); !found.isEmpty(); found = find(prefix)) {
            for (long pid : found) {
                Optional<ProcessHandle> p = ProcessHandle.of(pid);
                p.ifPresent(ProcessHandle::destroyForcibly);
            }
            Thread.sleep(KILL_INTERVAL_MS);
        }
    }
}
