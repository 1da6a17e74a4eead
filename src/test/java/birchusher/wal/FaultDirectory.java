package birchusher.wal;

import java.io.ByteArrayInputStream;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A directory in memory that knows what is durable. One chosen call ends the process or fails, after a chosen part of it;
 * {@link #killed} is what is found then, {@link #powerCut} drops what was not synced, each piece on its own.
 */
public final class FaultDirectory implements StorageDirectory {
    /** The process ended in the middle of a call. */
    public static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1;

        SimulatedCrash() {
            super(null, null, false, false);
        }
    }

    /** What the disk does wrong. */
    public enum IgnoredSyncs {
        NONE,
        OF_FILES,
        OF_DIRECTORY
    }

    private record UnsyncedChange(long offset, byte[] bytes, boolean isTruncation) {}

    private static final class FileContent {
        byte[] durableBytes = {};
        byte[] currentBytes = {};
        final List<UnsyncedChange> unsyncedChanges = new ArrayList<>();

        FileContent copy() {
            FileContent n = new FileContent();
            n.durableBytes = durableBytes.clone();
            n.currentBytes = currentBytes.clone();
            n.unsyncedChanges.addAll(unsyncedChanges);
            return n;
        }
    }

    private record NameChange(String removedName, String addedName, FileContent content) {}

    private final Map<String, FileContent> durableFiles = new LinkedHashMap<>();
    private final Map<String, FileContent> names = new LinkedHashMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    private final IgnoredSyncs ignoredSyncs;
    /** Calls that change something, so far. */
    int callCount;
    /** The bytes of the write that the fault fell on, 0 if it was another call. */
    int faultedWriteBytes;

    private int firstFaultCall = -1;
    private int completedPart;
    private boolean faultThrows;
    private int faultCallCount = 1;

    public FaultDirectory(IgnoredSyncs lie) {
        this.ignoredSyncs = lie;
    }

    /** Ends the process in that call, a write after so many of its bytes; other calls are done if {@code part} is not 0. */
    public FaultDirectory crashAt(int call, int afterBytes) {
        firstFaultCall = call;
        completedPart = afterBytes;
        return this;
    }

    /** That call and those after it, {@code count} in all, throw. */
    public FaultDirectory failAt(int call, int afterBytes, int count) {
        faultThrows = true;
        faultCallCount = count;
        return crashAt(call, afterBytes);
    }

    /** As a killed process leaves it: all that was done is there, and no more of it durable than before. */
    public FaultDirectory afterKill() {
        FaultDirectory d = new FaultDirectory(ignoredSyncs);
        Map<FileContent, FileContent> copies = new IdentityHashMap<>();
        names.forEach((name, n) -> d.names.put(name, copies.computeIfAbsent(n, FileContent::copy)));
        durableFiles.forEach((name, n) -> d.durableFiles.put(name, copies.computeIfAbsent(n, FileContent::copy)));
        unsyncedNameChanges.forEach(n -> d.unsyncedNameChanges.add(new NameChange(
                n.removedName,
                n.addedName,
                n.content == null ? null : copies.computeIfAbsent(n.content, FileContent::copy))));
        return d;
    }

    /** As a power cut leaves it. */
    public FaultDirectory afterPowerCut(SplittableRandom r) {
        Map<String, FileContent> left = new LinkedHashMap<>(durableFiles);
        for (NameChange n : unsyncedNameChanges) {
            if (r.nextBoolean()) {
                if (n.removedName != null) {
                    left.remove(n.removedName);
                }
                if (n.addedName != null) {
                    left.put(n.addedName, n.content);
                }
            }
        }
        FaultDirectory d = new FaultDirectory(ignoredSyncs);
        left.forEach((name, node) -> {
            FileContent n = new FileContent();
            n.currentBytes = node.durableBytes;
            for (UnsyncedChange p : node.unsyncedChanges) {
                int kept =
                        switch (r.nextInt(3)) {
                            case 0 -> 0;
                            case 1 -> p.isTruncation ? 1 : r.nextInt(p.bytes.length + 1);
                            default -> p.isTruncation ? 1 : p.bytes.length;
                        };
                if (kept > 0) {
                    n.currentBytes = p.isTruncation
                            ? Arrays.copyOf(n.currentBytes, (int) p.offset)
                            : overwrite(n.currentBytes, p.offset, p.bytes, kept);
                }
            }
            n.durableBytes = n.currentBytes.clone();
            d.names.put(name, n);
            d.durableFiles.put(name, n);
        });
        return d;
    }

    /** Flips one bit of a durable file. */
    void flipBit(String name, int offset) {
        names.get(name).currentBytes[offset] ^= 0x10;
    }

    private static byte[] overwrite(byte[] to, long offset, byte[] bytes, int count) {
        byte[] b = Arrays.copyOf(to, (int) Math.max(to.length, offset + count));
        System.arraycopy(bytes, 0, b, (int) offset, count);
        return b;
    }

    private interface PartialCall {
        void run(int part);
    }

    /** Counts a call and lets the fault fall on it: all of it is 1 or its bytes. */
    private void runCall(int all, PartialCall doing) throws IOException {
        int c = callCount++;
        if (firstFaultCall < 0 || c < firstFaultCall || c >= firstFaultCall + faultCallCount) {
            doing.run(all);
            return;
        }
        faultedWriteBytes = c == firstFaultCall && all > 1 ? all : faultedWriteBytes;
        doing.run(Math.min(completedPart, all));
        if (faultThrows) {
            throw new IOException("no space left, says the test");
        }
        throw new SimulatedCrash();
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(names.keySet());
    }

    private FileContent contentOf(String name) throws IOException {
        FileContent n = names.get(name);
        if (n == null) {
            throw new FileNotFoundException(name);
        }
        return n;
    }

    long size(String name) throws IOException {
        return contentOf(name).currentBytes.length;
    }

    @Override
    public InputStream openForRead(String name) throws IOException {
        return new ByteArrayInputStream(contentOf(name).currentBytes);
    }

    @Override
    public OutputFile create(String name) throws IOException {
        FileContent old = names.get(name);
        FileContent[] made = {old};
        runCall(1, part -> {
            if (part > 0 && old == null) {
                made[0] = new FileContent();
                names.put(name, made[0]);
                unsyncedNameChanges.add(new NameChange(null, name, made[0]));
            } else if (part > 0) {
                truncateContent(old, 0);
            }
        });
        return new MemoryFile(made[0]);
    }

    private static void truncateContent(FileContent n, long length) {
        n.currentBytes = Arrays.copyOf(n.currentBytes, (int) length);
        n.unsyncedChanges.add(new UnsyncedChange(length, null, true));
    }

    @Override
    public OutputFile openForAppend(String name) throws IOException {
        return new MemoryFile(contentOf(name));
    }

    private void changeName(NameChange n) throws IOException {
        runCall(1, part -> {
            if (part > 0) {
                names.remove(n.removedName);
                if (n.addedName != null) {
                    names.put(n.addedName, n.content);
                }
                unsyncedNameChanges.add(n);
            }
        });
    }

    @Override
    public void rename(String from, String to) throws IOException {
        changeName(new NameChange(from, to, contentOf(from)));
    }

    @Override
    public void delete(String name) throws IOException {
        changeName(new NameChange(name, null, null));
    }

    @Override
    public void syncDirectory() throws IOException {
        runCall(1, part -> {
            if (part > 0 && ignoredSyncs != IgnoredSyncs.OF_DIRECTORY) {
                durableFiles.clear();
                durableFiles.putAll(names);
                unsyncedNameChanges.clear();
            }
        });
    }

    @Override
    public void close() {}

    private final class MemoryFile implements OutputFile {
        private final FileContent content;

        MemoryFile(FileContent node) {
            this.content = node;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            byte[] b = new byte[bytes.remaining()];
            bytes.get(b);
            if (b.length == 0) {
                return;
            }
            runCall(b.length, part -> {
                if (part > 0) {
                    byte[] done = Arrays.copyOf(b, part);
                    content.unsyncedChanges.add(new UnsyncedChange(content.currentBytes.length, done, false));
                    content.currentBytes = overwrite(content.currentBytes, content.currentBytes.length, done, part);
                }
            });
        }

        @Override
        public void sync() throws IOException {
            runCall(1, part -> {
                if (part > 0 && ignoredSyncs != IgnoredSyncs.OF_FILES) {
                    content.durableBytes = content.currentBytes.clone();
                    content.unsyncedChanges.clear();
                }
            });
        }

        @Override
        public void truncate(long length) throws IOException {
            runCall(1, part -> {
                if (part > 0) {
                    FaultDirectory.truncateContent(content, length);
                }
            });
        }

        @Override
        public long length() {
            return content.currentBytes.length;
        }

        @Override
        public void close() {}
    }
}
