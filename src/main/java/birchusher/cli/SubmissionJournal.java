package birchusher.cli;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.settings.SettingsReader;
import birchusher.wire.Json;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Submissions that are not known to be accepted yet, a file each, on disk before the first byte is sent: after a crash the same
 * job is sent again under the same id, never a second one.
 */
final class SubmissionJournal {
    private static final String FILE_SUFFIX = ".json";

    private final Path dir;

    SubmissionJournal(Path dir) throws IOException {
        this.dir = Files.createDirectories(dir);
    }

    void write(String id, Map<String, ?> submission) throws IOException {
        Path aside = dir.resolve(id + ".aside");
        try (FileChannel c = FileChannel.open(
                aside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.wrap(Json.toText(submission, true).getBytes(StandardCharsets.UTF_8));
            while (b.hasRemaining()) {
                c.write(b);
            }
            c.force(true);
        }
        Files.move(aside, dir.resolve(id + FILE_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel c = FileChannel.open(dir, StandardOpenOption.READ)) {
            c.force(true);
        }
    }

    /** Its answer is known: the job is accepted, or can never be. */
    void remove(String id) throws IOException {
        Files.deleteIfExists(dir.resolve(id + FILE_SUFFIX));
    }

    List<String> pendingIds() throws IOException {
        List<String> ids = new ArrayList<>();
        try (Stream<Path> files = Files.list(dir)) {
            files.map(p -> p.getFileName().toString())
                    .filter(n -> n.endsWith(FILE_SUFFIX))
                    .sorted()
                    .forEach(n -> ids.add(n.substring(0, n.length() - FILE_SUFFIX.length())));
        }
        return ids;
    }

    Map<String, Object> read(String id) throws IOException {
        try {
            return Fields.map(SettingsReader.parseJson(Files.readAllBytes(dir.resolve(id + FILE_SUFFIX))), id);
        } catch (InvalidInputException e) {
            throw new IOException(dir.resolve(id + FILE_SUFFIX) + ": " + e.getMessage());
        }
    }
}
