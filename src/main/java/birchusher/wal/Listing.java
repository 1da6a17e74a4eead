package birchusher.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The files of a log's directory by what they are, oldest first. */
record Listing(List<String> segments, List<String> snapshots, List<String> leftOver) {
    static Listing of(Disk disk) throws IOException {
        Listing l = new Listing(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (String n : disk.names()) {
            if (Segment.first(n) > 0) {
                l.segments.add(n);
            } else if (Snapshot.sequence(n) >= 0) {
                l.snapshots.add(n);
            } else if (n.endsWith(Snapshot.ASIDE)) {
                l.leftOver.add(n);
            }
        }
        l.segments.sort(null);
        l.snapshots.sort(null);
        return l;
    }
}
