package birchusher;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.lease.EstimateBias;
import birchusher.lease.LeaseSettings;
import birchusher.lease.MachineSpeed;
import birchusher.lease.TaskLease;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Replays the recorded traces of task leases; the trace file describes its format and each case. */
class LeaseTraceTest {
    @Test
    void leasesFollowTheTraces() throws IOException {
        String text;
        try (InputStream in = getClass().getResourceAsStream("/traces/lease.txt")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        LeaseSettings settings = new LeaseSettings(90_000, 30_000, 4, 5_000);
        TaskLease lease = null;
        String title = "";
        int checks = 0;
        for (String line : text.split("\n")) {
            String[] words = line.trim().split(" +");
            String context = title + ": " + line;
            if (line.startsWith("==")) {
                title = line.substring(3);
            } else if (words[0].equals("start")) {
                long fetchMs = Long.parseLong(words[1]) * 1000;
                long capMs = words[2].equals("-")
                        ? Long.MAX_VALUE
                        : Math.max(settings.initialMs(fetchMs), Long.parseLong(words[2]) * 4_000);
                lease = new TaskLease(settings, 0, fetchMs, capMs);
            } else if (!line.isBlank() && !line.startsWith("#")) {
                long atMs = Long.parseLong(words[0]) * 1000;
                switch (words[1]) {
                    case "listed" -> assertThat(lease.renew(atMs, words[2].equals("running")))
                            .as(context)
                            .hasToString(words[4]);
                    case "lapsed" -> assertThat(lease.expired(atMs)).as(context).isTrue();
                    case "alive" -> assertThat(lease.expired(atMs)).as(context).isFalse();
                    case "at-cap" -> {
                        assertThat(lease.atCap(atMs)).as(context).isTrue();
                        assertThat(lease.expired(atMs)).as(context).isFalse();
                    }
                    default -> throw new IllegalArgumentException(line);
                }
                checks++;
            }
        }
        assertThat(checks).isGreaterThan(20);
    }

    @Test
    void wrongEstimatesOfAClassDoNotMakeMachinesLookSlow() {
        EstimateBias estimateBias = new EstimateBias();
        MachineSpeed normal = new MachineSpeed();
        MachineSpeed slow = new MachineSpeed();
        for (int i = 0; i < 40; i++) {
            // Estimated at 10 s, the tasks take 20 s; the slow machine takes three times as long.
            estimateBias.observe(0, 10, 20);
            normal.observe(10 * estimateBias.bias(0), 20);
            if (i % 4 == 0) {
                slow.observe(10 * estimateBias.bias(0), 60);
            }
        }
        assertThat(normal.value()).isBetween(0.8, 1.2);
        assertThat(slow.value()).isLessThan(0.6);
    }
}
