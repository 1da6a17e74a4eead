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

/** A directory of this host, held by a lock on its file {@code lock} so that no second daemon writes there. */
public final class LockedDirectory implements StorageDirectory {
    private static final String LOCK_FILE_NAME = "lock";

    private final Path path;
    private final FileChannel lockChannel;

    /** @throws IOException also if another process, or this one, holds the directory; the message says so */
    public LockedDirectory(Path dir) throws IOException {
        this.path = dir;
        Files.createDirectories(dir);
        lockChannel =
                FileChannel.open(dir.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockChannel.close();
            throw new IOException(dir + ": in use by another process");
        }
    }

    @Override
    public List<String> fileNames() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(path)) {
            files.filter(Files::isRegularFile)
                    .map(p -> p.getFileName().toString())
                    .filter(n -> !n.equals(LOCK_FILE_NAME))
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
        try (FileChannel c = FileChannel.open(path, StandardOpenOption.READ)) {
            c.force(true);
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
        public void truncate(long to) throws IOException {
            channel.truncate(to);
            length = to;
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
