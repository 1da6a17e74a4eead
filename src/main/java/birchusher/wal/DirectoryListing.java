package birchusher.wal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The names of the files in a log's directory by kind; segments and snapshots oldest first. */
record DirectoryListing(List<String> segments, List<String> snapshots, List<String> temporaryFiles) {
    static DirectoryListing of(StorageDirectory directory) throws IOException {
        DirectoryListing listing = new DirectoryListing(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (String name : directory.fileNames()) {
            if (Segment.firstSequence(name) > 0) {
                listing.segments.add(name);
            } else if (Snapshot.sequenceOf(name) >= 0) {
                listing.snapshots.add(name);
            } else if (name.endsWith(Snapshot.TEMPORARY_SUFFIX)) {
                listing.temporaryFiles.add(name);
            }
        }
        listing.segments.sort(null);
        listing.snapshots.sort(null);
        return listing;
    }
}
