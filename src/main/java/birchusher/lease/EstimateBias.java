package birchusher.lease;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;

/**
 * How wrong the owners' estimates are, per class. Kept apart from the machines' speeds: an estimate that is always
 * half the truth must not make every machine look slow.
 */
public final class EstimateBias {
    private final Int2ObjectOpenHashMap<double[]> sumsByClass = new Int2ObjectOpenHashMap<>();

    /**
     * A task of this class took this long. The machine's speed is left out on purpose: corrected by it, a wrong estimate
     * would be shared between class and machines, and every machine would look slow.
     */
    public void observe(int cls, double estimateS, double observedS) {
        if (estimateS <= 0 || observedS <= 0) {
            return;
        }
        double[] s = sumsByClass.computeIfAbsent(cls, c -> new double[] {2, 2});
        double ratio = Math.min(5, Math.max(0.2, observedS / estimateS));
        s[0] = s[0] * 0.98 + ratio;
        s[1] = s[1] * 0.98 + 1;
    }

    /** Observed over estimated run time of the class, 1 while nothing is known. */
    public double bias(int cls) {
        double[] s = sumsByClass.get(cls);
        return s == null ? 1 : s[0] / s[1];
    }
}
