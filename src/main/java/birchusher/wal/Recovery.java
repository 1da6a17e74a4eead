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
    record Tail(String file, int good, boolean torn) {}

    private final Disk disk;
    private final Log.Reader to;
    private final List<String> segments;
    private final List<String> snapshots;
    /** What an operator should know, one line each. */
    final List<String> notes = new ArrayList<>();
    /** Files that are left over and hold nothing that counts. */
    final List<String> leftOver;

    long base;
    long last;
    /** Bytes of log read, about what was written since the snapshot. */
    long logBytes;

    Tail tail;

    Recovery(Disk disk, Log.Reader to) throws IOException {
        this.disk = disk;
        this.to = to;
        Listing kept = Listing.of(disk);
        segments = kept.segments();
        snapshots = kept.snapshots();
        leftOver = kept.leftOver();
    }

    List<String> segments() {
        return segments;
    }

    void run() throws IOException {
        readSnapshot();
        last = base;
        int from = -1;
        for (int i = 0; i < segments.size() && Segment.first(segments.get(i)) <= base + 1; i++) {
            from = i;
        }
        if (from < 0 && !segments.isEmpty()) {
            throw new Damaged(
                    segments.get(0),
                    0,
                    "begins with record " + Segment.first(segments.get(0)) + ", but what is kept before it ends with "
                            + base);
        }
        for (int i = from; i >= 0 && i < segments.size(); i++) {
            readSegment(segments.get(i), i == from, i == segments.size() - 1);
        }
    }

    /** Gives the reader the newest snapshot that can be read, and sets {@code base} to its sequence, 0 without one. */
    void readSnapshot() throws IOException {
        Damaged first = null;
        for (int i = snapshots.size() - 1; i >= 0; i--) {
            to.begin();
            try {
                Snapshot.read(disk, snapshots.get(i), to::row);
                base = Snapshot.sequence(snapshots.get(i));
                return;
            } catch (Damaged e) {
                first = first == null ? e : first;
                notes.add("snapshot passed over, " + e.getMessage());
            }
        }
        to.begin();
        // Without any snapshot the log must reach back to the first record; with nothing at all, this is a new
        // directory.
        if (first != null && (segments.isEmpty() || Segment.first(segments.get(0)) != 1)) {
            throw first;
        }
    }

    private void readSegment(String name, boolean firstRead, boolean lastOne) throws IOException {
        long first = Segment.first(name);
        if (!firstRead && first != last + 1) {
            throw new Damaged(name, 0, "begins with record " + first + " where " + (last + 1) + " should be");
        }
        Segment.Scan s = Segment.scan(disk, name, (sequence, payload) -> {
            if (sequence > base) {
                to.record(sequence, payload);
            }
        });
        if (!s.whole() && (!lastOne || s.durable())) {
            throw new Damaged(name, s.good(), "can't be read from there on, though it had been durable");
        }
        if (s.good() < Segment.HEADER) {
            notes.add(name + ": never finished, dropped");
            leftOver.add(name);
            return;
        }
        if (!s.whole()) {
            notes.add(name + ": torn tail of " + (s.size() - s.good()) + " bytes cut off, nothing of it was answered");
        }
        logBytes += s.good();
        // An older log beside a newer snapshot: all of it is in the snapshot, and the log goes on in a new file.
        if (s.last() >= last) {
            last = s.last();
            tail = lastOne ? new Tail(name, s.good(), !s.whole()) : null;
        }
    }
}
