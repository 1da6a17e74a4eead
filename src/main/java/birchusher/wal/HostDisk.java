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
public final class HostDisk implements Disk {
    private static final String LOCK = "lock";

    private final Path dir;
    private final FileChannel lockFile;

    /** @throws IOException also if another process, or this one, holds the directory; the message says so */
    public HostDisk(Path dir) throws IOException {
        this.dir = dir;
        Files.createDirectories(dir);
        lockFile = FileChannel.open(dir.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(dir + ": in use by another process");
        }
    }

    @Override
    public List<String> names() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(dir)) {
            files.filter(Files::isRegularFile)
                    .map(p -> p.getFileName().toString())
                    .filter(n -> !n.equals(LOCK))
                    .forEach(names::add);
        }
        return names;
    }

    @Override
    public InputStream read(String name) throws IOException {
        return Files.newInputStream(dir.resolve(name));
    }

    @Override
    public Out create(String name) throws IOException {
        return new File(FileChannel.open(
                dir.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public Out append(String name) throws IOException {
        return new File(FileChannel.open(dir.resolve(name), StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(dir.resolve(from), dir.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(dir.resolve(name));
    }

    @Override
    public void syncNames() throws IOException {
        try (FileChannel c = FileChannel.open(dir, StandardOpenOption.READ)) {
            c.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }

    private static final class File implements Out {
        private final FileChannel channel;
        private long length;

        File(FileChannel channel) throws IOException {
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
        public void cut(long to) throws IOException {
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
