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
class HostDiskTest {
    private static final class Texts implements Log.Reader {
        final List<String> all = new ArrayList<>();

        @Override
        public void begin() {
            all.clear();
        }

        @Override
        public void row(byte[] payload) {
            all.add(new String(payload, StandardCharsets.UTF_8));
        }

        @Override
        public void record(long sequence, byte[] payload) {
            row(payload);
        }
    }

    @Test
    void recordsSnapshotsAndRepairsWorkOnFiles(@TempDir Path dir) throws IOException {
        List<String> written = new ArrayList<>();
        try (HostDisk disk = new HostDisk(dir);
                Log log = Log.open(disk, new Log.Options(200, 2), new Texts())) {
            for (int i = 0; i < 20; i++) {
                written.add("record " + i);
                log.append(written.get(i).getBytes(StandardCharsets.UTF_8));
                log.sync();
                if (i % 8 == 7) {
                    Snapshot.write(disk, log.durable(), to -> {
                        for (String s : written) {
                            to.row(s.getBytes(StandardCharsets.UTF_8));
                        }
                    });
                    log.prune(log.durable());
                }
            }
            assertThatThrownBy(() -> new HostDisk(dir)).hasMessageContaining("in use by another process");
        }
        try (HostDisk disk = new HostDisk(dir)) {
            Texts found = new Texts();
            Log.open(disk, Log.Options.USUAL, found).close();
            assertThat(found.all).isEqualTo(written);
            assertThat(Repair.plan(disk)).isNull();
            // One file of the log lost: refused, then repaired up to the gap.
            String lost = disk.names().stream()
                    .filter(n -> n.startsWith("log-"))
                    .sorted()
                    .toList()
                    .get(2);
            disk.delete(lost);
            assertThatThrownBy(() -> Log.open(disk, Log.Options.USUAL, new Texts()))
                    .isInstanceOf(Damaged.class);
            Repair.Plan plan = Repair.plan(disk);
            assertThat(plan.lines()).anyMatch(l -> l.startsWith("lost: "));
            Repair.apply(disk, plan);
            Log.open(disk, Log.Options.USUAL, found).close();
            assertThat(found.all).hasSize((int) plan.kept()).isEqualTo(written.subList(0, (int) plan.kept()));
        }
    }
}
