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
 * A journal of the submissions that are not known to be accepted or refused, one file each. A submission is on disk before the
 * first byte of it is sent: after a crash the same job is sent again under the same id, and no second job is created.
 */
final class SubmissionJournal {
    private static final String FILE_SUFFIX = ".json";

    private final Path dir;

    SubmissionJournal(Path dir) throws IOException {
        this.dir = Files.createDirectories(dir);
    }

    /** Makes a submission durable; its file appears whole or not at all. */
    void write(String id, Map<String, ?> submission) throws IOException {
        Path temporaryFile = dir.resolve(id + ".aside");
        try (FileChannel channel = FileChannel.open(
                temporaryFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(Json.toText(submission, true).getBytes(StandardCharsets.UTF_8));
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporaryFile, dir.resolve(id + FILE_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel channel = FileChannel.open(dir, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Removes a submission whose answer is known: the job is accepted, or never will be. */
    void remove(String id) throws IOException {
        Files.deleteIfExists(dir.resolve(id + FILE_SUFFIX));
    }

    /** The ids of all submissions in the journal, sorted. */
    List<String> pendingIds() throws IOException {
        List<String> ids = new ArrayList<>();
        try (Stream<Path> files = Files.list(dir)) {
            files.map(path -> path.getFileName().toString())
                    .filter(name -> name.endsWith(FILE_SUFFIX))
                    .sorted()
                    .forEach(name -> ids.add(name.substring(0, name.length() - FILE_SUFFIX.length())));
        }
        return ids;
    }

    /** Reads a submission; throws an {@link IOException} that names the file if its content is invalid. */
    Map<String, Object> read(String id) throws IOException {
        try {
            return Fields.map(SettingsReader.parseJson(Files.readAllBytes(dir.resolve(id + FILE_SUFFIX))), id);
        } catch (InvalidInputException e) {
            throw new IOException(dir.resolve(id + FILE_SUFFIX) + ": " + e.getMessage());
        }
    }
}
