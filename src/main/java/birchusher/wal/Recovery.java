package birchusher.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a log directory without changing it: the newest valid snapshot, then the log after it.
 *
 * <p>Refused with {@link CorruptedDataException}: a record that can't be read although it was durable, a gap or an overlap
 * between segments, and a log that begins after the newest readable snapshot ends. A torn tail is not corruption: no answer
 * depended on it.
 */
final class Recovery {
    /** Where appending continues: the last segment, how many of its bytes are valid, and whether a torn tail follows them. */
    record AppendPosition(String segmentName, int validBytes, boolean torn) {}

    private final StorageDirectory directory;
    private final WriteAheadLog.RecoveryHandler handler;
    private final List<String> segments;
    private final List<String> snapshots;
    /** Findings for the operator, one line each. */
    final List<String> notes = new ArrayList<>();
    /** Files that hold no recoverable data and may be deleted. */
    final List<String> removableFiles;

    /** The last record of the snapshot that was read, 0 without one. */
    long snapshotSequence;

    /** The last record that was recovered. */
    long lastSequence;
    /** Bytes of the segments read: about what was written since the snapshot. */
    long logBytes;

    /** Null if the log has to continue in a new segment. */
    AppendPosition appendPosition;

    Recovery(StorageDirectory directory, WriteAheadLog.RecoveryHandler handler) throws IOException {
        this.directory = directory;
        this.handler = handler;
        DirectoryListing listing = DirectoryListing.of(directory);
        segments = listing.segments();
        snapshots = listing.snapshots();
        removableFiles = listing.temporaryFiles();
    }

    List<String> segments() {
        return segments;
    }

    /** Reads snapshot and log, passes their records to the handler, and sets the fields of this object. */
    void run() throws IOException {
        readSnapshot();
        lastSequence = snapshotSequence;
        int firstToRead = -1;
        for (int i = 0; i < segments.size() && Segment.firstSequence(segments.get(i)) <= snapshotSequence + 1; i++) {
            firstToRead = i;
        }
        if (firstToRead < 0 && !segments.isEmpty()) {
            throw new CorruptedDataException(
                    segments.get(0),
                    0,
                    "begins with record " + Segment.firstSequence(segments.get(0))
                            + ", but the data before it ends with record " + snapshotSequence);
        }
        for (int i = firstToRead; i >= 0 && i < segments.size(); i++) {
            readSegment(segments.get(i), i == firstToRead, i == segments.size() - 1);
        }
    }

    /** Passes the newest readable snapshot to the handler and sets {@code snapshotSequence}, which stays 0 without one. */
    void readSnapshot() throws IOException {
        CorruptedDataException firstFailure = null;
        for (int i = snapshots.size() - 1; i >= 0; i--) {
            handler.reset();
            try {
                Snapshot.read(directory, snapshots.get(i), handler::snapshotRecord);
                snapshotSequence = Snapshot.sequenceOf(snapshots.get(i));
                return;
            } catch (CorruptedDataException e) {
                firstFailure = firstFailure == null ? e : firstFailure;
                notes.add("skipped a corrupted snapshot: " + e.getMessage());
            }
        }
        handler.reset();
        // Without a readable snapshot the log must reach back to the first record. Neither snapshots nor segments mean
        // a new directory.
        if (firstFailure != null && (segments.isEmpty() || Segment.firstSequence(segments.get(0)) != 1)) {
            throw firstFailure;
        }
    }

    private void readSegment(String name, boolean isFirstRead, boolean isLast) throws IOException {
        long firstSequence = Segment.firstSequence(name);
        if (!isFirstRead && firstSequence != lastSequence + 1) {
            throw new CorruptedDataException(
                    name,
                    0,
                    "begins with record " + firstSequence + " where record " + (lastSequence + 1) + " is expected");
        }
        Segment.Scan scan = Segment.scan(directory, name, (sequence, payload) -> {
            if (sequence > snapshotSequence) {
                handler.logRecord(sequence, payload);
            }
        });
        if (!scan.isComplete() && (!isLast || scan.remainderWasDurable())) {
            throw new CorruptedDataException(
                    name, scan.validBytes(), "unreadable from this offset on, although it was durable");
        }
        if (scan.validBytes() < Segment.HEADER_BYTES) {
            notes.add(name + ": segment was never completed, will be deleted");
            removableFiles.add(name);
            return;
        }
        if (!scan.isComplete()) {
            notes.add(name + ": torn tail of " + (scan.sizeBytes() - scan.validBytes())
                    + " bytes truncated, no request was answered from it");
        }
        logBytes += scan.validBytes();
        // A log that ends before the snapshot is covered by it completely; the log then continues in a new segment.
        if (scan.lastSequence() >= lastSequence) {
            lastSequence = scan.lastSequence();
            appendPosition = isLast ? new AppendPosition(name, scan.validBytes(), !scan.isComplete()) : null;
        }
    }
}
