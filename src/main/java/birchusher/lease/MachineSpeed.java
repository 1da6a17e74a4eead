package birchusher.lease;

/**
 * A machine's speed: the mean ratio of expected to observed run time, weighted towards recent tasks, and towards 1 while there are few
 * observations.
 */
public final class MachineSpeed {
    /** Number of observations of the initial speed that a machine starts with. */
    private static final double PRIOR_WEIGHT = 3;
    /** Factor by which each observation reduces the weight of the earlier ones. */
    private static final double DECAY = 0.9;

    private static final double MIN_RATIO = 0.1;
    private static final double MAX_RATIO = 2;

    private double weightedSum = PRIOR_WEIGHT;
    private double totalWeight = PRIOR_WEIGHT;

    /** A machine without observations: speed 1. */
    public MachineSpeed() {}

    /** Starts from the speed that a previous owner published. */
    public MachineSpeed(double publishedSpeed) {
        weightedSum = PRIOR_WEIGHT * publishedSpeed;
    }

    /** Adds the run time of a task; ignored unless both times are positive. */
    public void observe(double expectedS, double observedS) {
        if (expectedS > 0 && observedS > 0) {
            weightedSum = weightedSum * DECAY + Math.min(MAX_RATIO, Math.max(MIN_RATIO, expectedS / observedS));
            totalWeight = totalWeight * DECAY + 1;
        }
    }

    /** The speed; 2: twice as fast as expected. */
    public double value() {
        return weightedSum / totalWeight;
    }
}
