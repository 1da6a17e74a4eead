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

/** The log on a real directory. */
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
    void logSnapshotsAndRepairWorkOnRealFiles(@TempDir Path dir) throws IOException {
        List<String> written = new ArrayList<>();
        try (LockedDirectory disk = new LockedDirectory(dir);
                WriteAheadLog log = WriteAheadLog.open(disk, new WriteAheadLog.Options(200, 2), new TextRecords())) {
            for (int i = 0; i < 20; i++) {
                written.add("record " + i);
                log.append(written.get(i).getBytes(StandardCharsets.UTF_8));
                log.sync();
                if (i % 8 == 7) {
                    Snapshot.write(disk, log.durableSequence(), to -> {
                        for (String s : written) {
                            to.accept(s.getBytes(StandardCharsets.UTF_8));
                        }
                    });
                    log.prune(log.durableSequence());
                }
            }
            assertThatThrownBy(() -> new LockedDirectory(dir)).hasMessageContaining("in use by another process");
        }
        try (LockedDirectory disk = new LockedDirectory(dir)) {
            TextRecords found = new TextRecords();
            WriteAheadLog.open(disk, WriteAheadLog.Options.DEFAULT, found).close();
            assertThat(found.all).isEqualTo(written);
            assertThat(Repair.plan(disk)).isNull();
            // One file of the log lost: refused, then repaired up to the gap.
            String lost = disk.fileNames().stream()
                    .filter(n -> n.startsWith("log-"))
                    .sorted()
                    .toList()
                    .get(2);
            disk.delete(lost);
            assertThatThrownBy(() -> WriteAheadLog.open(disk, WriteAheadLog.Options.DEFAULT, new TextRecords()))
                    .isInstanceOf(CorruptedDataException.class);
            Repair.Plan plan = Repair.plan(disk);
            assertThat(plan.summaryLines()).anyMatch(l -> l.startsWith("lost: "));
            Repair.apply(disk, plan);
            WriteAheadLog.open(disk, WriteAheadLog.Options.DEFAULT, found).close();
            assertThat(found.all).hasSize((int) plan.lastKeptSequence()).isEqualTo(written.subList(0, (int)
                    plan.lastKeptSequence()));
        }
    }
}
