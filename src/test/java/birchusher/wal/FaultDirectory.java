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
 * A directory in memory that tracks which data is durable. One chosen call crashes the process, or it and its successors
 * fail, after a chosen part of the call. {@link #afterKill} is the directory that a killed process leaves, {@link
 * #afterPowerCut} one in which each unsynced change is kept or lost independently.
 */
public final class FaultDirectory implements StorageDirectory {
    /** The process crashes in the middle of a call. */
    public static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1;

        SimulatedCrash() {
            super(null, null, false, false);
        }
    }

    /** Which syncs have no effect. */
    public enum IgnoredSyncs {
        NONE,
        OF_FILES,
        OF_DIRECTORY
    }

    /** A write at an offset, or a truncation to {@code offset} bytes, that is not durable. */
    private record UnsyncedChange(long offset, byte[] bytes, boolean isTruncation) {}

    /** The content of a file, whatever its names. */
    private static final class FileContent {
        byte[] durableBytes = {};
        byte[] currentBytes = {};
        final List<UnsyncedChange> unsyncedChanges = new ArrayList<>();

        FileContent copy() {
            FileContent copy = new FileContent();
            copy.durableBytes = durableBytes.clone();
            copy.currentBytes = currentBytes.clone();
            copy.unsyncedChanges.addAll(unsyncedChanges);
            return copy;
        }
    }

    /** A creation, deletion or renaming that is not durable; each name may be null. */
    private record NameChange(String removedName, String addedName, FileContent content) {}

    private final Map<String, FileContent> durableFiles = new LinkedHashMap<>();
    private final Map<String, FileContent> files = new LinkedHashMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    private final IgnoredSyncs ignoredSyncs;
    /** How many calls that change something were made so far. */
    int callCount;
    /** The size in bytes of the write that the first fault hit, 0 if it hit another call or a write of one byte. */
    int faultedWriteBytes;

    private int firstFaultCall = -1;
    private int completedPart;
    private boolean faultThrows;
    private int faultCallCount = 1;

    public FaultDirectory(IgnoredSyncs ignoredSyncs) {
        this.ignoredSyncs = ignoredSyncs;
    }

    /**
     * Crashes the process in the call with this number.
     *
     * @param afterBytes how many bytes of a write are carried out; any other call is carried out unless this is 0
     */
    public FaultDirectory crashAt(int call, int afterBytes) {
        firstFaultCall = call;
        completedPart = afterBytes;
        return this;
    }

    /** Makes the call with this number and the following ones, {@code count} in all, throw an IOException. */
    public FaultDirectory failAt(int call, int afterBytes, int count) {
        faultThrows = true;
        faultCallCount = count;
        return crashAt(call, afterBytes);
    }

    /** The directory as a killed process leaves it: every change is visible, and no more of it is durable than before. */
    public FaultDirectory afterKill() {
        FaultDirectory copy = new FaultDirectory(ignoredSyncs);
        Map<FileContent, FileContent> copies = new IdentityHashMap<>();
        files.forEach((name, content) -> copy.files.put(name, copies.computeIfAbsent(content, FileContent::copy)));
        durableFiles.forEach(
                (name, content) -> copy.durableFiles.put(name, copies.computeIfAbsent(content, FileContent::copy)));
        unsyncedNameChanges.forEach(change -> copy.unsyncedNameChanges.add(new NameChange(
                change.removedName,
                change.addedName,
                change.content == null ? null : copies.computeIfAbsent(change.content, FileContent::copy))));
        return copy;
    }

    /** The directory after a power cut: each change that is not durable is kept, lost or kept in part, at random. */
    public FaultDirectory afterPowerCut(SplittableRandom random) {
        Map<String, FileContent> remainingFiles = new LinkedHashMap<>(durableFiles);
        for (NameChange change : unsyncedNameChanges) {
            if (random.nextBoolean()) {
                if (change.removedName != null) {
                    remainingFiles.remove(change.removedName);
                }
                if (change.addedName != null) {
                    remainingFiles.put(change.addedName, change.content);
                }
            }
        }
        FaultDirectory result = new FaultDirectory(ignoredSyncs);
        remainingFiles.forEach((name, content) -> {
            FileContent remainder = new FileContent();
            remainder.currentBytes = content.durableBytes;
            for (UnsyncedChange change : content.unsyncedChanges) {
                int kept =
                        switch (random.nextInt(3)) {
                            case 0 -> 0;
                            case 1 -> change.isTruncation ? 1 : random.nextInt(change.bytes.length + 1);
                            default -> change.isTruncation ? 1 : change.bytes.length;
                        };
                if (kept > 0) {
                    remainder.currentBytes = change.isTruncation
                            ? Arrays.copyOf(remainder.currentBytes, (int) change.offset)
                            : overwrite(remainder.currentBytes, change.offset, change.bytes, kept);
                }
            }
            remainder.durableBytes = remainder.currentBytes.clone();
            result.files.put(name, remainder);
            result.durableFiles.put(name, remainder);
        });
        return result;
    }

    /** Flips one bit of a file. */
    void flipBit(String name, int offset) {
        files.get(name).currentBytes[offset] ^= 0x10;
    }

    private static byte[] overwrite(byte[] oldBytes, long offset, byte[] written, int count) {
        byte[] newBytes = Arrays.copyOf(oldBytes, (int) Math.max(oldBytes.length, offset + count));
        System.arraycopy(written, 0, newBytes, (int) offset, count);
        return newBytes;
    }

    /** A call that is carried out up to {@code part} of its bytes; calls other than writes count as one byte. */
    private interface PartialCall {
        void run(int part);
    }

    /** Counts a call of {@code size} bytes and carries it out, in part if a fault hits it. */
    private void runCall(int size, PartialCall partialCall) throws IOException {
        int call = callCount++;
        if (firstFaultCall < 0 || call < firstFaultCall || call >= firstFaultCall + faultCallCount) {
            partialCall.run(size);
            return;
        }
        faultedWriteBytes = call == firstFaultCall && size > 1 ? size : faultedWriteBytes;
        partialCall.run(Math.min(completedPart, size));
        if (faultThrows) {
            throw new IOException("simulated: no space left on device");
        }
        throw new SimulatedCrash();
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    private FileContent contentOf(String name) throws IOException {
        FileContent content = files.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
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
        FileContent existing = files.get(name);
        FileContent[] created = {existing};
        runCall(1, part -> {
            if (part > 0 && existing == null) {
                created[0] = new FileContent();
                files.put(name, created[0]);
                unsyncedNameChanges.add(new NameChange(null, name, created[0]));
            } else if (part > 0) {
                truncateContent(existing, 0);
            }
        });
        return new MemoryFile(created[0]);
    }

    private static void truncateContent(FileContent content, long length) {
        content.currentBytes = Arrays.copyOf(content.currentBytes, (int) length);
        content.unsyncedChanges.add(new UnsyncedChange(length, null, true));
    }

    @Override
    public OutputFile openForAppend(String name) throws IOException {
        return new MemoryFile(contentOf(name));
    }

    private void changeName(NameChange change) throws IOException {
        runCall(1, part -> {
            if (part > 0) {
                files.remove(change.removedName);
                if (change.addedName != null) {
                    files.put(change.addedName, change.content);
                }
                unsyncedNameChanges.add(change);
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
                durableFiles.putAll(files);
                unsyncedNameChanges.clear();
            }
        });
    }

    @Override
    public void close() {}

    private final class MemoryFile implements OutputFile {
        private final FileContent content;

        MemoryFile(FileContent content) {
            this.content = content;
        }

        @Override
        public void write(ByteBuffer buffer) throws IOException {
            byte[] written = new byte[buffer.remaining()];
            buffer.get(written);
            if (written.length == 0) {
                return;
            }
            runCall(written.length, part -> {
                if (part > 0) {
                    byte[] completed = Arrays.copyOf(written, part);
                    content.unsyncedChanges.add(new UnsyncedChange(content.currentBytes.length, completed, false));
                    content.currentBytes =
                            overwrite(content.currentBytes, content.currentBytes.length, completed, part);
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
