package birchusher.lease;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;

/**
 * The ratio of observed to estimated run times, by job class. Kept apart from the machines' speeds: an estimate that is always half of the real
 * run time must not make every machine look slow.
 */
public final class EstimateBias {
    private final Int2ObjectOpenHashMap<double[]> sumsByClass = new Int2ObjectOpenHashMap<>();

    /**
     * Adds the run time of a task of this class. It is deliberately not corrected by the machine's speed: with that, the error of an estimate
     * would be divided between class and machines, and every machine would look slow.
     */
    public void observe(int jobClass, double estimateS, double observedS) {
        if (estimateS <= 0 || observedS <= 0) {
            return;
        }
        double[] sums = sumsByClass.computeIfAbsent(jobClass, key -> new double[] {2, 2});
        double ratio = Math.min(5, Math.max(0.2, observedS / estimateS));
        sums[0] = sums[0] * 0.98 + ratio;
        sums[1] = sums[1] * 0.98 + 1;
    }

    /** Observed over estimated run time of the class; 1 without observations. */
    public double bias(int jobClass) {
        double[] sums = sumsByClass.get(jobClass);
        return sums == null ? 1 : sums[0] / sums[1];
    }
}
