package birchusher.wal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A directory of the local file system. It is held by a lock on its file {@code lock} until {@link #close}, so that no second
 * process writes there.
 */
public final class LockedDirectory implements StorageDirectory {
    private static final String LOCK_FILE_NAME = "lock";

    private final Path path;
    private final FileChannel lockChannel;

    /**
     * Creates the directory if necessary and locks it.
     *
     * @throws IOException also if this process or another one holds the directory; the message says so
     */
    public LockedDirectory(Path path) throws IOException {
        this.path = path;
        Files.createDirectories(path);
        lockChannel =
                FileChannel.open(path.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockChannel.close();
            throw new IOException(path + ": in use by another process");
        }
    }

    @Override
    public List<String> fileNames() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(path)) {
            files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE_NAME))
                    .forEach(names::add);
        }
        return names;
    }

    @Override
    public InputStream openForRead(String name) throws IOException {
        return Files.newInputStream(path.resolve(name));
    }

    @Override
    public OutputFile create(String name) throws IOException {
        return new LocalFile(FileChannel.open(
                path.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public OutputFile openForAppend(String name) throws IOException {
        return new LocalFile(FileChannel.open(path.resolve(name), StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockChannel.close();
    }

    private static final class LocalFile implements OutputFile {
        private final FileChannel channel;
        private long length;

        LocalFile(FileChannel channel) throws IOException {
            this.channel = channel;
            this.length = channel.size();
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                length += channel.write(bytes, length);
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public void truncate(long newLength) throws IOException {
            channel.truncate(newLength);
            length = newLength;
        }

        @Override
        public long length() {
            return length;
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
