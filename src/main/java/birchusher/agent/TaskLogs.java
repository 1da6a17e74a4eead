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
 * What tasks print, a file each for every attempt, bounded: of a longer one the beginning stays and the end goes on in a second
 * file that is begun anew whenever it is full. The oldest files go when all together take too much.
 */
final class TaskLogs {
    /** @param part bytes of each of the two files; {@code total}: of all */
    record Limits(long fileBytes, long totalBytes) {
        static final Limits DEFAULT = new Limits(4 << 20, 1L << 30);
    }

    private static final String HEAD_SUFFIX = ".log";
    private static final String TAIL_SUFFIX = ".tail";
    private static final int MAX_READ_BYTES = 32 * 1024;

    private final Path dir;
    private final Limits limits;

    TaskLogs(Path dir, Limits bounds) throws IOException {
        this.dir = Files.createDirectories(dir);
        this.limits = bounds;
    }

    private Path logFile(Action.AttemptKey key, String end) {
        return dir.resolve(key.job()).resolve(key.index() + "." + key.attempt() + end);
    }

    /** Copies all that comes, until its end. Runs in a thread of its own. A full disk costs the rest of the log, never the task. */
    void copy(Action.AttemptKey key, InputStream from) throws IOException {
        Files.createDirectories(dir.resolve(key.job()));
        byte[] buffer = new byte[8192];
        Path to = logFile(key, HEAD_SUFFIX);
        OutputStream out = Files.newOutputStream(to);
        long written = 0;
        try {
            for (int n = from.read(buffer); n >= 0; n = from.read(buffer)) {
                if (out == null) {
                    continue;
                }
                try {
                    if (written + n > limits.fileBytes()) {
                        out.close();
                        out = Files.newOutputStream(logFile(key, TAIL_SUFFIX));
                        written = 0;
                    }
                    out.write(buffer, 0, n);
                    written += n;
                } catch (IOException e) {
                    closeQuietly(out);
                    out = null;
                }
            }
        } finally {
            closeQuietly(out);
        }
    }

    private static void closeQuietly(OutputStream out) {
        try {
            if (out != null) {
                out.close();
            }
        } catch (IOException e) {
            return;
        }
    }

    /** One line from the agent itself, such as why a program could not be started. */
    void writeNote(Action.AttemptKey key, String line) {
        try {
            Files.createDirectories(dir.resolve(key.job()));
            Files.writeString(logFile(key, HEAD_SUFFIX), "birchusher: " + line + "\n");
        } catch (IOException e) {
            return;
        }
    }

    /** The attempts whose logs are here: {"try", "bytes", "changed_ms"}. */
    List<Map<String, Object>> list(String job, int index) throws IOException {
        List<Map<String, Object>> l = new ArrayList<>();
        Path d = dir.resolve(job);
        if (!Files.isDirectory(d)) {
            return l;
        }
        try (Stream<Path> files = Files.list(d)) {
            for (Path p : files.sorted().toList()) {
                String[] name = p.getFileName().toString().split("\\.");
                if (name.length == 3 && name[0].equals(String.valueOf(index)) && name[2].equals("log")) {
                    Action.AttemptKey key = new Action.AttemptKey(job, index, Long.parseLong(name[1]));
                    Path tail = logFile(key, TAIL_SUFFIX);
                    l.add(Map.of(
                            "try",
                            key.attempt(),
                            "bytes",
                            Files.size(p) + (Files.exists(tail) ? Files.size(tail) : 0),
                            "changed_ms",
                            Files.getLastModifiedTime(Files.exists(tail) ? tail : p)
                                    .toMillis()));
                }
            }
        }
        return l;
    }

    /**
     * A part of an attempt's log, from an offset on, at most 32 KiB: {"text", "next", "cut"}. The offset runs through both files;
     * {@code cut} says that bytes between them are gone.
     */
    Map<String, Object> read(Action.AttemptKey key, long from) throws IOException {
        Path head = logFile(key, HEAD_SUFFIX);
        Path tail = logFile(key, TAIL_SUFFIX);
        if (!Files.exists(head)) {
            throw new InvalidInputException("try: no log of this attempt is kept here");
        }
        long first = Files.size(head);
        boolean second = from >= first && Files.exists(tail);
        byte[] bytes;
        try (RandomAccessFile f = new RandomAccessFile((second ? tail : head).toFile(), "r")) {
            long at = Math.min(second ? from - first : from, f.length());
            f.seek(at);
            bytes = new byte[(int) Math.min(MAX_READ_BYTES, f.length() - at)];
            f.readFully(bytes);
        }
        Map<String, Object> m = new HashMap<>();
        m.put("text", new String(bytes, StandardCharsets.UTF_8));
        m.put("next", from + bytes.length);
        m.put("cut", second && from == first && Files.size(head) + MAX_READ_BYTES > limits.fileBytes());
        return m;
    }

    /** Drops the oldest logs until the rest is within bounds; for now and then. */
    void prune() throws IOException {
        record Kept(Path path, long bytes, long changed) {}
        List<Kept> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(dir)) {
            for (Path p : files.filter(Files::isRegularFile).toList()) {
                all.add(new Kept(p, Files.size(p), Files.getLastModifiedTime(p).toMillis()));
            }
        }
        long total = all.stream().mapToLong(Kept::bytes).sum();
        all.sort(Comparator.comparingLong(Kept::changed));
        for (Kept k : all) {
            if (total <= limits.totalBytes()) {
                return;
            }
            Files.deleteIfExists(k.path());
            total -= k.bytes();
            try (Stream<Path> rest = Files.list(k.path().getParent())) {
                if (rest.findAny().isEmpty()) {
                    Files.delete(k.path().getParent());
                }
            }
        }
    }
}
