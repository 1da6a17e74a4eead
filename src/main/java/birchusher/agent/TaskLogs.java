package birchusher.agent;

import birchusher.core.Fields.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Output of tasks, in files of limited size. Each attempt has a head file with the beginning of its output; when that is
 * full, further output is written to a tail file, which is emptied whenever it is full. The oldest files are deleted when
 * all files together take too much space.
 */
final class TaskLogs {
    /**
     * Limits of the size of logs.
     *
     * @param fileBytes of each of the two files of an attempt
     * @param totalBytes of all files
     */
    record Limits(long fileBytes, long totalBytes) {
        static final Limits DEFAULT = new Limits(4 << 20, 1L << 30);
    }

    private static final String HEAD_SUFFIX = ".log";
    private static final String TAIL_SUFFIX = ".tail";
    private static final int MAX_READ_BYTES = 32 * 1024;
    private static final int COPY_BUFFER_BYTES = 8192;

    private final Path dir;
    private final Limits limits;

    TaskLogs(Path dir, Limits limits) throws IOException {
        this.dir = Files.createDirectories(dir);
        this.limits = limits;
    }

    private Path logFile(Action.AttemptKey key, String suffix) {
        return dir.resolve(key.job()).resolve(key.index() + "." + key.attempt() + suffix);
    }

    /**
     * Copies a task's output to its log until the output ends; to be called in a thread of its own. If a write fails, as on
     * a full disk, the rest of the output is discarded and still read, so that the task does not block.
     */
    void copy(Action.AttemptKey key, InputStream input) throws IOException {
        Files.createDirectories(dir.resolve(key.job()));
        byte[] buffer = new byte[COPY_BUFFER_BYTES];
        Path head = logFile(key, HEAD_SUFFIX);
        OutputStream output = Files.newOutputStream(head);
        long written = 0;
        try {
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (output == null) {
                    continue;
                }
                try {
                    if (written + count > limits.fileBytes()) {
                        output.close();
                        output = Files.newOutputStream(logFile(key, TAIL_SUFFIX));
                        written = 0;
                    }
                    output.write(buffer, 0, count);
                    written += count;
                } catch (IOException e) {
                    closeQuietly(output);
                    output = null;
                }
            }
        } finally {
            closeQuietly(output);
        }
    }

    private static void closeQuietly(OutputStream output) {
        try {
            if (output != null) {
                output.close();
            }
        } catch (IOException e) {
            return;
        }
    }

    /** Writes a line of the agent itself as the log, such as why a program could not be started. */
    void writeNote(Action.AttemptKey key, String line) {
        try {
            Files.createDirectories(dir.resolve(key.job()));
            Files.writeString(logFile(key, HEAD_SUFFIX), "birchusher: " + line + "\n");
        } catch (IOException e) {
            return;
        }
    }

    /** Lists the attempts of a task whose logs are on this host: {"try", "bytes", "changed_ms"}. */
    List<Map<String, Object>> list(String job, int index) throws IOException {
        List<Map<String, Object>> attempts = new ArrayList<>();
        Path jobDir = dir.resolve(job);
        if (!Files.isDirectory(jobDir)) {
            return attempts;
        }
        try (Stream<Path> files = Files.list(jobDir)) {
            for (Path file : files.sorted().toList()) {
                String[] nameParts = file.getFileName().toString().split("\\.");
                if (nameParts.length == 3 && nameParts[0].equals(String.valueOf(index)) && nameParts[2].equals("log")) {
                    Action.AttemptKey key = new Action.AttemptKey(job, index, Long.parseLong(nameParts[1]));
                    Path tail = logFile(key, TAIL_SUFFIX);
                    attempts.add(Map.of(
                            "try",
                            key.attempt(),
                            "bytes",
                            Files.size(file) + (Files.exists(tail) ? Files.size(tail) : 0),
                            "changed_ms",
                            Files.getLastModifiedTime(Files.exists(tail) ? tail : file)
                                    .toMillis()));
                }
            }
        }
        return attempts;
    }

    /**
     * Reads at most 32 KiB of an attempt's log from an offset on: {"text", "next", "cut"}. Offsets count the bytes
     * of the head file, then those of the tail file. {@code cut} is true at the beginning of the tail file if output before
     * it may have been discarded.
     */
    Map<String, Object> read(Action.AttemptKey key, long offset) throws IOException {
        Path head = logFile(key, HEAD_SUFFIX);
        Path tail = logFile(key, TAIL_SUFFIX);
        if (!Files.exists(head)) {
            throw new InvalidInputException("try: this host has no log of this attempt");
        }
        long headBytes = Files.size(head);
        boolean fromTail = offset >= headBytes && Files.exists(tail);
        byte[] bytes;
        try (RandomAccessFile file = new RandomAccessFile((fromTail ? tail : head).toFile(), "r")) {
            long position = Math.min(fromTail ? offset - headBytes : offset, file.length());
            file.seek(position);
            bytes = new byte[(int) Math.min(MAX_READ_BYTES, file.length() - position)];
            file.readFully(bytes);
        }
        Map<String, Object> fields = new HashMap<>();
        fields.put("text", new String(bytes, StandardCharsets.UTF_8));
        fields.put("next", offset + bytes.length);
        fields.put("cut", fromTail && offset == headBytes && Files.size(head) + MAX_READ_BYTES > limits.fileBytes());
        return fields;
    }

    /** Deletes the oldest log files until the rest is within the total limit; to be called periodically. */
    void prune() throws IOException {
        record StoredFile(Path path, long bytes, long changedMs) {}
        List<StoredFile> stored = new ArrayList<>();
        try (Stream<Path> files = Files.walk(dir)) {
            for (Path path : files.filter(Files::isRegularFile).toList()) {
                stored.add(new StoredFile(
                        path, Files.size(path), Files.getLastModifiedTime(path).toMillis()));
            }
        }
        long totalBytes = stored.stream().mapToLong(StoredFile::bytes).sum();
        stored.sort(Comparator.comparingLong(StoredFile::changedMs));
        for (StoredFile oldest : stored) {
            if (totalBytes <= limits.totalBytes()) {
                return;
            }
            Files.deleteIfExists(oldest.path());
            totalBytes -= oldest.bytes();
            try (Stream<Path> remaining = Files.list(oldest.path().getParent())) {
                if (remaining.findAny().isEmpty()) {
                    Files.delete(oldest.path().getParent());
                }
            }
        }
    }
}
