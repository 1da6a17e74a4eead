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

/**
 * Soak runs with controllers as real processes over loopback under drawn faults. Only the safety rules are checked:
 * slowness fails no test.
 */
class SoakTest {
    private static final int SHORT_RUN_S = 45;

    @TempDir
    Path dir;

    @ParameterizedTest
    @ValueSource(longs = {1})
    void noRuleIsBroken(long seed) throws Exception {
        assertNoRuleIsBroken(Soak.run(seed, 10, SHORT_RUN_S, 0, dir));
    }

    /** Users submit short jobs throughout, and ask, repeat and cancel at all controllers while the state service answers late. */
    @ParameterizedTest
    @ValueSource(longs = {2})
    void noRuleIsBrokenWhileUsersAskAllTheTime(long seed) throws Exception {
        Soak.Result result = Soak.run(seed, 10, SHORT_RUN_S, 5, dir);
        System.out.println("SOAK " + result.summary());
        assertNoRuleIsBroken(result);
        assertThat(result.answers().finalStates()).as("jobs that ended").isPositive();
    }

    private static void assertNoRuleIsBroken(Soak.Result result) {
        assertThat(result.violations())
                .as(result.summary() + "\n" + String.join("\n", result.faultSchedule()))
                .isEmpty();
    }

    /**
     * A long run, started by hand:
     * {@code mvn -B test -Dtest=SoakTest#byHand -Dsoak.from=1000 -Dsoak.seeds=50 -Dsoak.at-once=3}.
     * Every fifth seed has {@code soak.workers} machines (default 300), or every {@code soak.large-every}-th, the others ten; each
     * seed takes {@code soak.seconds} (default 75). {@code soak.short-jobs-per-s} adds users who submit so many short jobs and ask
     * all the time (default 0).
     */
    @Test
    void byHand() throws Exception {
        long from = Long.getLong("soak.from", 0);
        int seeds = Integer.getInteger("soak.seeds", 0);
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, Integer.getInteger("soak.at-once", 1)));
        List<Future<Soak.Result>> results = new ArrayList<>();
        for (long seed = from; seed < from + seeds; seed++) {
            long runSeed = seed;
            int workers = seed % Integer.getInteger("soak.large-every", 5) == 0
                    ? Integer.getInteger("soak.workers", 300)
                    : 10;
            results.add(pool.submit(() -> {
                Soak.Result result = Soak.run(
                        runSeed,
                        workers,
                        Integer.getInteger("soak.seconds", 75),
                        Integer.getInteger("soak.short-jobs-per-s", 0),
                        dir.resolve("seed-" + runSeed));
                System.out.println("SOAK " + result.summary());
                if (!result.violations().isEmpty()) {
                    System.out.println("SOAK schedule " + runSeed + ": " + result.faultSchedule());
                }
                return result;
            }));
        }
        pool.shutdown();
        List<String> failures = new ArrayList<>();
        for (Future<Soak.Result> future : results) {
            Soak.Result result = future.get();
            if (!result.violations().isEmpty()) {
                failures.add(result.summary());
            }
        }
        assertThat(failures).isEmpty();
    }
}
