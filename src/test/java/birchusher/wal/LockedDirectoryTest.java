package birchusher.wal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The log, snapshots and repair on a directory of the file system. */
class LockedDirectoryTest {
    private static final class TextRecords implements WriteAheadLog.RecoveryHandler {
        final List<String> all = new ArrayList<>();

        @Override
        public void reset() {
            all.clear();
        }

        @Override
        public void snapshotRecord(byte[] payload) {
            all.add(new String(payload, StandardCharsets.UTF_8));
        }

        @Override
        public void logRecord(long sequence, byte[] payload) {
            snapshotRecord(payload);
        }
    }

    @Test
    void logSnapshotsAndRepairWorkOnRealFiles(@TempDir Path path) throws IOException {
        List<String> written = new ArrayList<>();
        try (LockedDirectory directory = new LockedDirectory(path);
                WriteAheadLog log =
                        WriteAheadLog.open(directory, new WriteAheadLog.Options(200, 2), new TextRecords())) {
            for (int i = 0; i < 20; i++) {
                written.add("record " + i);
                log.append(written.get(i).getBytes(StandardCharsets.UTF_8));
                log.sync();
                if (i % 8 == 7) {
                    Snapshot.write(directory, log.durableSequence(), sink -> {
                        for (String text : written) {
                            sink.accept(text.getBytes(StandardCharsets.UTF_8));
                        }
                    });
                    log.prune(log.durableSequence());
                }
            }
            assertThatThrownBy(() -> new LockedDirectory(path)).hasMessageContaining("in use by another process");
        }
        try (LockedDirectory directory = new LockedDirectory(path)) {
            TextRecords recovered = new TextRecords();
            WriteAheadLog.open(directory, WriteAheadLog.Options.DEFAULT, recovered)
                    .close();
            assertThat(recovered.all).isEqualTo(written);
            assertThat(Repair.plan(directory)).isNull();
            // One segment is missing: the log is refused, then repaired up to the gap.
            String lostSegment = directory.fileNames().stream()
                    .filter(name -> name.startsWith("log-"))
                    .sorted()
                    .toList()
                    .get(2);
            directory.delete(lostSegment);
            assertThatThrownBy(() -> WriteAheadLog.open(directory, WriteAheadLog.Options.DEFAULT, new TextRecords()))
                    .isInstanceOf(CorruptedDataException.class);
            Repair.Plan plan = Repair.plan(directory);
            assertThat(plan.summaryLines()).anyMatch(line -> line.startsWith("lost: "));
            Repair.apply(directory, plan);
            WriteAheadLog.open(directory, WriteAheadLog.Options.DEFAULT, recovered)
                    .close();
            assertThat(recovered.all).hasSize((int) plan.lastKeptSequence()).isEqualTo(written.subList(0, (int)
                    plan.lastKeptSequence()));
        }
    }
}
