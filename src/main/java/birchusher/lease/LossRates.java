package birchusher.lease;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;

/**
 * How often tasks lose their machine before their end, by kind of machine: because the cloud takes it back, it crashes, or they are preempted. Learnt
 * from the outcomes of all tasks; old observations decay, as the causes of losses come and go.
 */
public final class LossRates {
    /** Assumed rate while nothing has been observed: one loss in this run time. */
    private static final double PRIOR_RUN_S_PER_LOSS = 7_200;

    /** Observed run time that weighs as much as the assumed rate. */
    private static final double PRIOR_WEIGHT_S = 1_800;
    /** Time after which an observation's weight has decayed to 1/e. */
    private static final double DECAY_MS = 300_000;
    /** Time to detect a loss and to start the task on another machine. */
    private static final double RESTART_S = 10;
    /** Upper bound of the expected number of losses of one task, as the expected delay grows exponentially with it. */
    private static final double MAX_EXPECTED_LOSSES = 3;

    private static final class Observations {
        double losses;
        double runS;
        long updatedAtMs;

        void decay(long now) {
            double factor = Math.exp(-Math.max(0, now - updatedAtMs) / DECAY_MS);
            losses *= factor;
            runS *= factor;
            updatedAtMs = Math.max(updatedAtMs, now);
        }
    }

    private final Int2ObjectOpenHashMap<Observations> byKind = new Int2ObjectOpenHashMap<>();

    /** The kind of a machine: its type's index, and whether the cloud may take it back. */
    public static int kind(int type, boolean spot) {
        return type * 2 + (spot ? 1 : 0);
    }

    /**
     * Adds the observation of a task on a machine of this kind.
     *
     * @param runS how long the task was on the machine
     * @param lost whether it lost the machine before its end
     */
    public void observe(int kind, double runS, boolean lost, long now) {
        Observations seen = byKind.computeIfAbsent(kind, key -> new Observations());
        seen.decay(now);
        seen.runS += Math.max(0, runS);
        seen.losses += lost ? 1 : 0;
    }

    /** Expected losses per second of run time. */
    public double lossesPerS(int kind, long now) {
        Observations seen = byKind.get(kind);
        if (seen != null) {
            seen.decay(now);
        }
        return ((seen == null ? 0 : seen.losses) + PRIOR_WEIGHT_S / PRIOR_RUN_S_PER_LOSS)
                / ((seen == null ? 0 : seen.runS) + PRIOR_WEIGHT_S);
    }

    /**
     * The expected delay of a task's end by losses, in seconds. A task that starts from the beginning each time needs (e^(rt) - 1) / r in all;
     * one that resumes from checkpoints loses half a checkpoint interval each time.
     *
     * @param rate losses per second, see {@link #lossesPerS}
     * @param checkpointS interval of its checkpoints; 0: it has none
     */
    public static double expectedDelayS(double rate, double runS, double checkpointS) {
        if (checkpointS > 0) {
            return rate * runS * (Math.min(checkpointS, runS) / 2 + RESTART_S);
        }
        double expectedLosses = Math.min(MAX_EXPECTED_LOSSES, rate * runS);
        return (Math.exp(expectedLosses) - 1) / rate - runS + rate * runS * RESTART_S;
    }
}
