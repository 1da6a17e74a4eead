package birchusher.sim;

import java.util.function.LongConsumer;

/**
 * Runs a test over a range of seeds given by system properties, such as {@code -Dmeet.from=1000 -Dmeet.seeds=500}; by
 * default over one seed.
 */
final class SeedSearch {
    private SeedSearch() {}

    /** Runs a test with each seed; a failure names its seed. The name is the prefix of the system properties. */
    static void forEachSeed(String prefix, LongConsumer test) {
        long from = Long.getLong(prefix + ".from", 1_000);
        long end = from + Long.getLong(prefix + ".seeds", 1);
        for (long seed = from; seed < end; seed++) {
            try {
                test.accept(seed);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }
}
