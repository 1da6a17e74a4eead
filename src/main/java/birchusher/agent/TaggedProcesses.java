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
 * Finds and kills the processes of tasks by a tag in their environment ({@code /proc/PID/environ}). Child processes inherit
 * the tag, also those that have left their parent's session or whose parent has ended. A process that replaces its whole
 * environment is not found. Linux only.
 */
final class TaggedProcesses {
    static final String TAG_VARIABLE = "BIRCHUSHER_TAG";
    private static final Path PROC = Path.of("/proc");
    private static final long KILL_INTERVAL_MS = 20;

    private TaggedProcesses() {}

    /** Returns the tag of a task's attempt; the agent's own tag is a prefix of it. */
    static String tag(String agentTag, Action.AttemptKey key) {
        return agentTag + "/" + key.taskName() + "/" + key.attempt() + "/";
    }

    /** Returns whether processes can be found by their tag on this system. */
    static boolean isSupported() {
        return Files.isReadable(PROC.resolve("self/environ"));
    }

    /** Returns the ids of all processes whose tag begins with a prefix. */
    static List<Long> find(String prefix) throws IOException {
        byte[] tag = (TAG_VARIABLE + "=" + prefix).getBytes(StandardCharsets.UTF_8);
        List<Long> found = new ArrayList<>();
        try (DirectoryStream<Path> processes = Files.newDirectoryStream(PROC, "[0-9]*")) {
            for (Path process : processes) {
                try {
                    if (containsVariable(Files.readAllBytes(process.resolve("environ")), tag)) {
                        found.add(Long.parseLong(process.getFileName().toString()));
                    }
                } catch (IOException e) {
                    // The process belongs to another user or has just ended.
                    continue;
                }
            }
        }
        return found;
    }

    /** Returns whether any variable, at the beginning or after a zero byte, starts with the tag. */
    static boolean containsVariable(byte[] environment, byte[] tag) {
        for (int i = 0; i + tag.length <= environment.length; i++) {
            if (i > 0 && environment[i - 1] != 0) {
                continue;
            }
            int length = 0;
            while (length < tag.length && environment[i + length] == tag[length]) {
                length++;
            }
            if (length == tag.length) {
                return true;
            }
        }
        return false;
    }

    /**
     * Kills all processes whose tag begins with a prefix, until none is found. A process may fork after it is listed and
     * before it is killed; its child is found in the next round. A killed process has no environment any more, even before
     * its parent has collected its exit code.
     */
    static void killAll(String prefix) throws IOException, InterruptedException {
        for (List<Long> found = find(prefix); !found.isEmpty(); found = find(prefix)) {
            for (long pid : found) {
                Optional<ProcessHandle> process = ProcessHandle.of(pid);
                process.ifPresent(ProcessHandle::destroyForcibly);
            }
            Thread.sleep(KILL_INTERVAL_MS);
        }
    }
}
