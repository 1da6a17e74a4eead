package birchusher.wal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Repairs a log directory that is refused with {@link CorruptedDataException}, for an operator without a backup. Kept are the
 * newest readable snapshot and every record that follows it without a gap, also records behind the corrupted bytes.
 * {@link #plan} reports what would be lost and changes nothing; {@link #apply} first copies each segment to a file named
 * after it with the suffix {@code .damaged1} and so on.
 */
public final class Repair {
    private static final String COPY_SUFFIX = ".damaged";

    /**
     * What a repair keeps and loses.
     *
     * @param corruption the fault for which the directory was refused
     * @param snapshotSequence the last record of the snapshot that is kept, 0 without one
     * @param lastKeptSequence the last record that is kept
     * @param readableRecordsLost records that can be read but follow a gap; the records in the gap are lost as well
     * @param segmentNames the segments to be replaced
     */
    public record Plan(
            CorruptedDataException corruption,
            long snapshotSequence,
            long lastKeptSequence,
            int readableRecordsLost,
            List<String> segmentNames) {
        /** Describes the plan to the operator, one line each. */
        public List<String> summaryLines() {
            return List.of(
                    "damaged: " + corruption.getMessage(),
                    "kept: all records up to " + lastKeptSequence,
                    readableRecordsLost == 0
                            ? "lost: any records after " + lastKeptSequence + "; none of them can be read"
                            : "lost: all records after " + lastKeptSequence + ", of which " + readableRecordsLost
                                    + " are still readable",
                    "copied to files with the suffix " + COPY_SUFFIX + ": " + String.join(", ", segmentNames));
        }
    }

    private final StorageDirectory directory;
    private final Recovery recovery;
    private final TreeMap<Long, byte[]> readableRecords = new TreeMap<>();

    private Repair(StorageDirectory directory) throws IOException {
        this.directory = directory;
        this.recovery = new Recovery(directory, IGNORE_RECORDS);
        recovery.readSnapshot();
        for (String name : recovery.segments()) {
            Segment.salvage(directory, name, (sequence, payload) -> {
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
     * Returns what a repair would keep and lose, or null if nothing is corrupted.
     *
     * @throws CorruptedDataException if no snapshot can be read and the log does not reach back to the first record: only a
     *     backup helps then
     */
    public static Plan plan(StorageDirectory directory) throws IOException {
        try {
            new Recovery(directory, IGNORE_RECORDS).run();
            return null;
        } catch (CorruptedDataException e) {
            Repair repair = new Repair(directory);
            long lastKeptSequence = repair.lastContiguousSequence();
            return new Plan(
                    e,
                    repair.recovery.snapshotSequence,
                    lastKeptSequence,
                    repair.readableRecords.tailMap(lastKeptSequence, false).size(),
                    repair.recovery.segments());
        }
    }

    private long lastContiguousSequence() {
        long sequence = recovery.snapshotSequence;
        while (readableRecords.containsKey(sequence + 1)) {
            sequence++;
        }
        return sequence;
    }

    /** Carries out the plan. If the process ends at any point, the repair can be planned and applied again. */
    public static void apply(StorageDirectory directory, Plan plan) throws IOException {
        Repair repair = new Repair(directory);
        if (repair.lastContiguousSequence() != plan.lastKeptSequence()
                || repair.recovery.snapshotSequence != plan.snapshotSequence()) {
            throw new IOException("the directory has changed since the repair was planned");
        }
        Set<String> usedNames = new HashSet<>(directory.fileNames());
        for (String name : plan.segmentNames()) {
            // A repair that was interrupted and started again must not overwrite the copies of the original files.
            int copyNumber = 1;
            while (!usedNames.add(name + COPY_SUFFIX + copyNumber)) {
                copyNumber++;
            }
            try (InputStream in = directory.openForRead(name);
                    StorageDirectory.OutputFile out = directory.create(name + COPY_SUFFIX + copyNumber)) {
                out.write(ByteBuffer.wrap(in.readAllBytes()));
                out.sync();
            }
        }
        String newSegmentName = Segment.fileName(plan.snapshotSequence() + 1);
        try (StorageDirectory.OutputFile out = directory.create(newSegmentName + Snapshot.TEMPORARY_SUFFIX)) {
            out.write(Segment.encodeHeader(plan.snapshotSequence() + 1));
            for (var entry : repair.readableRecords
                    .headMap(plan.lastKeptSequence(), true)
                    .entrySet()) {
                ByteBuffer buffer = ByteBuffer.allocate(Segment.FRAME_BYTES + entry.getValue().length);
                Segment.encodeRecord(buffer, entry.getKey(), out.length(), entry.getValue());
                out.write(buffer.flip());
            }
            out.sync();
        }
        // The copies and the new segment are durable under their names before an old segment is deleted. If the process
        // ends in between, the directory reads as corrupted or as repaired, and never as an empty log.
        directory.rename(newSegmentName + Snapshot.TEMPORARY_SUFFIX, newSegmentName);
        directory.syncDirectory();
        for (String name : plan.segmentNames()) {
            if (!name.equals(newSegmentName)) {
                directory.delete(name);
            }
        }
        directory.syncDirectory();
    }
}
