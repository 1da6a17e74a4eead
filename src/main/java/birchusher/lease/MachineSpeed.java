package birchusher.lease;

/** A machine's speed: the mean ratio of expected to observed run time, pulled towards 1 while little is known. */
public final class MachineSpeed {
    private double weightedSum = 3;
    private double totalWeight = 3;

    public MachineSpeed() {}

    public MachineSpeed(double known) {
        weightedSum = 3 * known;
    }

    public void observe(double expectedS, double observedS) {
        if (expectedS > 0 && observedS > 0) {
            weightedSum = weightedSum * 0.9 + Math.min(2, Math.max(0.1, expectedS / observedS));
            totalWeight = totalWeight * 0.9 + 1;
        }
    }

    public double value() {
        return weightedSum / totalWeight;
    }
}
