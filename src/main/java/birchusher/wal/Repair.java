package birchusher.wal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The way out of {@link Damaged}, for an operator who has no backup: keeps the newest readable snapshot and every record
 * that follows it without a gap, also from behind the damage, and says what is lost. {@link #plan} changes nothing;
 * {@link #apply} leaves a copy of each file of the log beside it, named {@code .damaged1} and so on.
 */
public final class Repair {
    private static final String COPY_SUFFIX = ".damaged";

    /**
     * @param kept the last record that stays
     * @param lost records that can be read but stand behind a gap; those in the gap are lost as well
     */
    public record Plan(
            CorruptedDataException corruption,
            long snapshotSequence,
            long lastKeptSequence,
            int readableRecordsLost,
            List<String> segmentNames) {
        /** For the operator. */
        public List<String> summaryLines() {
            return List.of(
                    "damaged: " + corruption.getMessage(),
                    "kept: all up to record " + lastKeptSequence,
                    readableRecordsLost == 0
                            ? "lost: what came after record " + lastKeptSequence
                                    + ", if anything; none of it can be read"
                            : "lost: what came after record " + lastKeptSequence + ", of which " + readableRecordsLost
                                    + " could still be read",
                    "copied beside themselves with " + COPY_SUFFIX + " in their names: "
                            + String.join(", ", segmentNames));
        }
    }

    private final StorageDirectory disk;
    private final Recovery recovery;
    private final TreeMap<Long, byte[]> readableRecords = new TreeMap<>();

    private Repair(StorageDirectory disk) throws IOException {
        this.disk = disk;
        this.recovery = new Recovery(disk, IGNORE_RECORDS);
        recovery.readSnapshot();
        for (String name : recovery.segments()) {
            Segment.salvage(disk, name, (sequence, payload) -> {
                if (sequence > recovery.snapshotSequence) {
                    readableRecords.putIfAbsent(sequence, payload);
                }
            });
        }
    }

    private static final WriteAheadLog.RecoveryHandler IGNORE_RECORDS = new WriteAheadLog.RecoveryHandler() {
        @Override
        public void reset() {}

        @Override
        public void snapshotRecord(byte[] payload) {}

        @Override
        public void logRecord(long sequence, byte[] payload) {}
    };

    /**
     * What a repair would keep and lose; null if nothing is damaged.
     *
     * @throws Damaged if no snapshot can be read and the log does not reach back to the first record: only a backup helps
     */
    public static Plan plan(StorageDirectory disk) throws IOException {
        try {
            new Recovery(disk, IGNORE_RECORDS).run();
            return null;
        } catch (CorruptedDataException e) {
            Repair r = new Repair(disk);
            long kept = r.lastContiguousSequence();
            return new Plan(
                    e,
                    r.recovery.snapshotSequence,
                    kept,
                    r.readableRecords.tailMap(kept, false).size(),
                    r.recovery.segments());
        }
    }

    private long lastContiguousSequence() {
        long at = recovery.snapshotSequence;
        while (readableRecords.containsKey(at + 1)) {
            at++;
        }
        return at;
    }

    /** Does what the plan says. May be ended at any moment and begun again. */
    public static void apply(StorageDirectory disk, Plan plan) throws IOException {
        Repair r = new Repair(disk);
        if (r.lastContiguousSequence() != plan.lastKeptSequence()
                || r.recovery.snapshotSequence != plan.snapshotSequence()) {
            throw new IOException("the directory has changed since the repair was planned");
        }
        Set<String> taken = new HashSet<>(disk.fileNames());
        for (String name : plan.segmentNames()) {
            // A repair that was ended and begun again must not put its own work over the copy of the original.
            int n = 1;
            while (!taken.add(name + COPY_SUFFIX + n)) {
                n++;
            }
            try (InputStream in = disk.openForRead(name);
                    StorageDirectory.OutputFile out = disk.create(name + COPY_SUFFIX + n)) {
                out.write(ByteBuffer.wrap(in.readAllBytes()));
                out.sync();
            }
        }
        String whole = Segment.fileName(plan.snapshotSequence() + 1);
        try (StorageDirectory.OutputFile out = disk.create(whole + Snapshot.TEMPORARY_SUFFIX)) {
            out.write(Segment.encodeHeader(plan.snapshotSequence() + 1));
            for (var e :
                    r.readableRecords.headMap(plan.lastKeptSequence(), true).entrySet()) {
                ByteBuffer b = ByteBuffer.allocate(Segment.FRAME_BYTES + e.getValue().length);
                Segment.encodeRecord(b, e.getKey(), out.length(), e.getValue());
                out.write(b.flip());
            }
            out.sync();
        }
        // The copies and the new file are durable under their names before any old one goes: whatever is left by an
        // end in between still reads as damaged, or as repaired, and never as an empty log.
        disk.rename(whole + Snapshot.TEMPORARY_SUFFIX, whole);
        disk.syncDirectory();
        for (String name : plan.segmentNames()) {
            if (!name.equals(whole)) {
                disk.delete(name);
            }
        }
        disk.syncDirectory();
    }
}
