package birchusher.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads what a directory keeps and changes nothing: the newest snapshot that is whole, then the log from there on.
 *
 * <p>Refused as {@link Damaged}: a record that can't be read although it had been durable, a gap or an overlap between
 * files, a log that begins after the newest readable snapshot ends. A torn tail is no damage: it was never answered for.
 */
final class Recovery {
    /** Where the log goes on: its last file, null if none can be written on, and how much of it is good. */
    record AppendPosition(String segmentName, int validBytes, boolean torn) {}

    private final StorageDirectory disk;
    private final WriteAheadLog.RecoveryHandler handler;
    private final List<String> segments;
    private final List<String> snapshots;
    /** What an operator should know, one line each. */
    final List<String> notes = new ArrayList<>();
    /** Files that are left over and hold nothing that counts. */
    final List<String> removableFiles;

    long snapshotSequence;
    long lastSequence;
    /** Bytes of log read, about what was written since the snapshot. */
    long logBytes;

    AppendPosition appendPosition;

    Recovery(StorageDirectory disk, WriteAheadLog.RecoveryHandler to) throws IOException {
        this.disk = disk;
        this.handler = to;
        DirectoryListing kept = DirectoryListing.of(disk);
        segments = kept.segments();
        snapshots = kept.snapshots();
        removableFiles = kept.temporaryFiles();
    }

    List<String> segments() {
        return segments;
    }

    void run() throws IOException {
        readSnapshot();
        lastSequence = snapshotSequence;
        int from = -1;
        for (int i = 0; i < segments.size() && Segment.firstSequence(segments.get(i)) <= snapshotSequence + 1; i++) {
            from = i;
        }
        if (from < 0 && !segments.isEmpty()) {
            throw new CorruptedDataException(
                    segments.get(0),
                    0,
                    "begins with record " + Segment.firstSequence(segments.get(0))
                            + ", but what is kept before it ends with " + snapshotSequence);
        }
        for (int i = from; i >= 0 && i < segments.size(); i++) {
            readSegment(segments.get(i), i == from, i == segments.size() - 1);
        }
    }

    /** Gives the reader the newest snapshot that can be read, and sets {@code base} to its sequence, 0 without one. */
    void readSnapshot() throws IOException {
        CorruptedDataException first = null;
        for (int i = snapshots.size() - 1; i >= 0; i--) {
            handler.reset();
            try {
                Snapshot.read(disk, snapshots.get(i), handler::snapshotRecord);
                snapshotSequence = Snapshot.sequenceOf(snapshots.get(i));
                return;
            } catch (CorruptedDataException e) {
                first = first == null ? e : first;
                notes.add("snapshot passed over, " + e.getMessage());
            }
        }
        handler.reset();
        // Without any snapshot the log must reach back to the first record; with nothing at all, this is a new
        // directory.
        if (first != null && (segments.isEmpty() || Segment.firstSequence(segments.get(0)) != 1)) {
            throw first;
        }
    }

    private void readSegment(String name, boolean firstRead, boolean lastOne) throws IOException {
        long first = Segment.firstSequence(name);
        if (!firstRead && first != lastSequence + 1) {
            throw new CorruptedDataException(
                    name, 0, "begins with record " + first + " where " + (lastSequence + 1) + " should be");
        }
        Segment.Scan s = Segment.scan(disk, name, (sequence, payload) -> {
            if (sequence > snapshotSequence) {
                handler.logRecord(sequence, payload);
            }
        });
        if (!s.isComplete() && (!lastOne || s.remainderWasDurable())) {
            throw new CorruptedDataException(
                    name, s.validBytes(), "can't be read from there on, though it had been durable");
        }
        if (s.validBytes() < Segment.HEADER_BYTES) {
            notes.add(name + ": never finished, dropped");
            removableFiles.add(name);
            return;
        }
        if (!s.isComplete()) {
            notes.add(name + ": torn tail of " + (s.sizeBytes() - s.validBytes())
                    + " bytes cut off, nothing of it was answered");
        }
        logBytes += s.validBytes();
        // An older log beside a newer snapshot: all of it is in the snapshot, and the log goes on in a new file.
        if (s.lastSequence() >= lastSequence) {
            lastSequence = s.lastSequence();
            appendPosition = lastOne ? new AppendPosition(name, s.validBytes(), !s.isComplete()) : null;
        }
    }
}
