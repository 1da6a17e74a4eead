package birchusher.lease;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;

/**
 * How often tasks lose their place before their end, by kind of machine: taken back, dead, or stopped for other work. Learnt from
 * what becomes of all tasks; what is old fades, as such troubles come and go.
 */
public final class LossRates {
    /** What is assumed while nothing is known: one loss in this much run time. */
    private static final double PRIOR_RUN_S_PER_LOSS = 7_200;

    private static final double PRIOR_WEIGHT_S = 1_800;
    private static final double DECAY_MS = 300_000;
    /** To notice a loss and to start elsewhere. */
    private static final double RESTART_S = 10;

    private static final class Observations {
        double losses;
        double runS;
        long updatedAtMs;

        void decay(long now) {
            double f = Math.exp(-Math.max(0, now - updatedAtMs) / DECAY_MS);
            losses *= f;
            runS *= f;
            updatedAtMs = Math.max(updatedAtMs, now);
        }
    }

    private final Int2ObjectOpenHashMap<Observations> byKind = new Int2ObjectOpenHashMap<>();

    public static int kind(int type, boolean spot) {
        return type * 2 + (spot ? 1 : 0);
    }

    /** A task was on a machine of this kind for so long, and lost its place or not. */
    public void observe(int kind, double seconds, boolean lost, long now) {
        Observations s = byKind.computeIfAbsent(kind, k -> new Observations());
        s.decay(now);
        s.runS += Math.max(0, seconds);
        s.losses += lost ? 1 : 0;
    }

    /** Losses for a second of run time. */
    public double lossesPerS(int kind, long now) {
        Observations s = byKind.get(kind);
        if (s != null) {
            s.decay(now);
        }
        return ((s == null ? 0 : s.losses) + PRIOR_WEIGHT_S / PRIOR_RUN_S_PER_LOSS)
                / ((s == null ? 0 : s.runS) + PRIOR_WEIGHT_S);
    }

    /**
     * By how many seconds a task's end is expected to be later for losses. One that starts anew each time needs (e^(rt) - 1) / r in
     * all; one that resumes loses half a checkpoint's interval a time.
     */
    public static double expectedDelayS(double rate, double runS, double checkpointS) {
        if (checkpointS > 0) {
            return rate * runS * (Math.min(checkpointS, runS) / 2 + RESTART_S);
        }
        double x = Math.min(3, rate * runS);
        return (Math.exp(x) - 1) / rate - runS + rate * runS * RESTART_S;
    }
}
