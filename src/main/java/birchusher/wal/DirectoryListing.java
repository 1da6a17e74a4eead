package birchusher.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The files of a log's directory by what they are, oldest first. */
record DirectoryListing(List<String> segments, List<String> snapshots, List<String> temporaryFiles) {
    static DirectoryListing of(StorageDirectory disk) throws IOException {
        DirectoryListing l = new DirectoryListing(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (String n : disk.fileNames()) {
            if (Segment.firstSequence(n) > 0) {
                l.segments.add(n);
            } else if (Snapshot.sequenceOf(n) >= 0) {
                l.snapshots.add(n);
            } else if (n.endsWith(Snapshot.TEMPORARY_SUFFIX)) {
                l.temporaryFiles.add(n);
            }
        }
        l.segments.sort(null);
        l.snapshots.sort(null);
        return l;
    }
}
