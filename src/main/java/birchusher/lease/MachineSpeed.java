package birchusher.lease;

/**
 * A machine's speed: the mean ratio of expected to observed run time, weighted towards recent tasks, and towards 1 while there are few
 * observations.
 */
public final class MachineSpeed {
    private double weightedSum = 3;
    private double totalWeight = 3;

    /** A machine without observations: speed 1. */
    public MachineSpeed() {}

    /** Starts from the speed that a previous owner published. */
    public MachineSpeed(double publishedSpeed) {
        weightedSum = 3 * publishedSpeed;
    }

    /** Adds the run time of a task; ignored unless both times are positive. */
    public void observe(double expectedS, double observedS) {
        if (expectedS > 0 && observedS > 0) {
            weightedSum = weightedSum * 0.9 + Math.min(2, Math.max(0.1, expectedS / observedS));
            totalWeight = totalWeight * 0.9 + 1;
        }
    }

    /** The speed; 2: twice as fast as expected. */
    public double value() {
        return weightedSum / totalWeight;
    }
}
