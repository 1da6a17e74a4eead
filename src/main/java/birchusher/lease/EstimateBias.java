package birchusher.lease;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;

/**
 * The ratio of observed to estimated run times, by job class. Kept apart from the machines' speeds: an estimate that is always half of the real
 * run time must not make every machine look slow.
 */
public final class EstimateBias {
    /** Number of observations of the ratio 1 that a class starts with. */
    private static final double PRIOR_WEIGHT = 2;
    /** Factor by which each observation reduces the weight of the earlier ones. */
    private static final double DECAY = 0.98;

    private static final double MIN_RATIO = 0.2;
    private static final double MAX_RATIO = 5;

    private final Int2ObjectOpenHashMap<double[]> sumsByClass = new Int2ObjectOpenHashMap<>();

    /**
     * Adds the run time of a task of this class. It is deliberately not corrected by the machine's speed: with that, the error of an estimate
     * would be divided between class and machines, and every machine would look slow.
     */
    public void observe(int jobClass, double estimateS, double observedS) {
        if (estimateS <= 0 || observedS <= 0) {
            return;
        }
        double[] sums = sumsByClass.computeIfAbsent(jobClass, key -> new double[] {PRIOR_WEIGHT, PRIOR_WEIGHT});
        double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, observedS / estimateS));
        sums[0] = sums[0] * DECAY + ratio;
        sums[1] = sums[1] * DECAY + 1;
    }

    /** Observed over estimated run time of the class; 1 without observations. */
    public double bias(int jobClass) {
        double[] sums = sumsByClass.get(jobClass);
        return sums == null ? 1 : sums[0] / sums[1];
    }
}
