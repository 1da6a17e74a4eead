package birchusher.sim;

import java.util.function.LongConsumer;

/** Searches over many seeds by hand, as {@code -Dmeet.from=1000 -Dmeet.seeds=500}; one seed unless asked for more. */
final class SeedSearch {
    private SeedSearch() {}

    static void forEachSeed(String name, LongConsumer drawn) {
        long from = Long.getLong(name + ".from", 1_000);
        long end = from + Long.getLong(name + ".seeds", 1);
        for (long seed = from; seed < end; seed++) {
            try {
                drawn.accept(seed);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }
}
