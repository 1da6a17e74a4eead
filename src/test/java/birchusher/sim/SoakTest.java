package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers as real processes over loopback under drawn troubles. Rules only: nothing here fails for being slow. */
class SoakTest {
    private static final int SHORT_RUN_S = 45;

    @TempDir
    Path dir;

    @ParameterizedTest
    @ValueSource(longs = {1})
    void noRuleIsBroken(long seed) throws Exception {
        Soak.Result result = Soak.run(seed, 10, SHORT_RUN_S, dir);
        assertThat(result.violations())
                .as(result.summary() + "\n" + String.join("\n", result.faultSchedule()))
                .isEmpty();
    }

    /**
     * The long run, by hand: {@code mvn -B test -Dtest=SoakTest#byHand -Dsoak.from=1000 -Dsoak.seeds=50 -Dsoak.at-once=3}. Each fifth seed has
     * {@code soak.workers} machines (300), the others ten; each takes {@code soak.seconds} (75).
     */
    @Test
    void byHand() throws Exception {
        long from = Long.getLong("soak.from", 0);
        int seeds = Integer.getInteger("soak.seeds", 0);
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, Integer.getInteger("soak.at-once", 1)));
        List<Future<Soak.Result>> all = new ArrayList<>();
        for (long seed = from; seed < from + seeds; seed++) {
            long each = seed;
            int workers = seed % 5 == 0 ? Integer.getInteger("soak.workers", 300) : 10;
            all.add(pool.submit(() -> {
                Soak.Result result =
                        Soak.run(each, workers, Integer.getInteger("soak.seconds", 75), dir.resolve("seed-" + each));
                System.out.println("SOAK " + result.summary());
                if (!result.violations().isEmpty()) {
                    System.out.println("SOAK schedule " + each + ": " + result.faultSchedule());
                }
                return result;
            }));
        }
        pool.shutdown();
        List<String> broken = new ArrayList<>();
        for (Future<Soak.Result> each : all) {
            Soak.Result result = each.get();
            if (!result.violations().isEmpty()) {
                broken.add(result.summary());
            }
        }
        assertThat(broken).isEmpty();
    }
}
