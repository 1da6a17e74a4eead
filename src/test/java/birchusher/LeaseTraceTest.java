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

/** Plays the kept traces of task leases; the file says what each one shows. */
class LeaseTraceTest {
    @Test
    void leasesFollowTheTraces() throws IOException {
        String text;
        try (InputStream in = getClass().getResourceAsStream("/traces/lease.txt")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        LeaseSettings terms = new LeaseSettings(90_000, 30_000, 4, 5_000);
        TaskLease lease = null;
        String title = "";
        int checks = 0;
        for (String line : text.split("\n")) {
            String[] w = line.trim().split(" +");
            String where = title + ": " + line;
            if (line.startsWith("==")) {
                title = line.substring(3);
            } else if (w[0].equals("start")) {
                long fetch = Long.parseLong(w[1]) * 1000;
                long cap = w[2].equals("-")
                        ? Long.MAX_VALUE
                        : Math.max(terms.initialMs(fetch), Long.parseLong(w[2]) * 4_000);
                lease = new TaskLease(terms, 0, fetch, cap);
            } else if (!line.isBlank() && !line.startsWith("#")) {
                long t = Long.parseLong(w[0]) * 1000;
                switch (w[1]) {
                    case "listed" -> assertThat(lease.renew(t, w[2].equals("running")))
                            .as(where)
                            .hasToString(w[4]);
                    case "lapsed" -> assertThat(lease.expired(t)).as(where).isTrue();
                    case "alive" -> assertThat(lease.expired(t)).as(where).isFalse();
                    case "at-cap" -> {
                        assertThat(lease.atCap(t)).as(where).isTrue();
                        assertThat(lease.expired(t)).as(where).isFalse();
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
        EstimateBias speeds = new EstimateBias();
        MachineSpeed good = new MachineSpeed();
        MachineSpeed bad = new MachineSpeed();
        for (int i = 0; i < 40; i++) {
            // The owner says 10 s, the truth is 20 s; the bad machine takes three times as long.
            speeds.observe(0, 10, 20);
            good.observe(10 * speeds.bias(0), 20);
            if (i % 4 == 0) {
                bad.observe(10 * speeds.bias(0), 60);
            }
        }
        assertThat(good.value()).isBetween(0.8, 1.2);
        assertThat(bad.value()).isLessThan(0.6);
    }
}
