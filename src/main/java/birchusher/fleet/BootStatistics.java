package birchusher.fleet;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Recent boot times of each kind of machine (a type in a zone, spot or not), as multiples of the boot time that the
 * type states. The planner counts capacity on a booting machine from the time at which it is likely to come up. A
 * machine that is later than nearly all others of its kind is no longer planned with, though it is used if it comes
 * up. Without this, tasks waited three boot times for machines that never came up, as every plan contained their
 * capacity.
 */
final class BootStatistics {
    private static final int MAX_SAMPLES_PER_KIND = 24;
    private static final int MIN_SAMPLES = 4;
    /** In boot times; by the cloud's protocol most machines are up by then. */
    private static final double DEFAULT_OVERDUE_BOOTS = 1.5;
    /** A machine is overdue when it takes this many times as long as nine in ten machines of its kind. */
    private static final double OVERDUE_MARGIN = 1.1;
    /** The remaining boot time of a late machine is estimated as at least this share of the time that it is late. */
    private static final double MIN_LEFT_SHARE = 0.4;

    private static final double NEVER_BOOTED = -1;
    private static final int MAX_COUNTED_MACHINES = 4_000;

    private final double giveUpBoots;
    private final Map<Integer, ArrayDeque<Double>> bootRatios = new HashMap<>();
    /** Machines whose sample is recorded, oldest first. */
    private final Set<String> countedMachines = new LinkedHashSet<>();

    /** @param giveUpBoots boot times after which a machine is deleted, the upper bound of {@link #overdueBoots} */
    BootStatistics(double giveUpBoots) {
        this.giveUpBoots = giveUpBoots;
    }

    private boolean markCounted(String machine) {
        if (countedMachines.size() > MAX_COUNTED_MACHINES) {
            countedMachines.remove(countedMachines.iterator().next());
        }
        return countedMachines.add(machine);
    }

    private void addSample(int kind, double ratio) {
        ArrayDeque<Double> samples = bootRatios.computeIfAbsent(kind, key -> new ArrayDeque<>());
        samples.addLast(ratio);
        if (samples.size() > MAX_SAMPLES_PER_KIND) {
            samples.removeFirst();
        }
    }

    /** Records that a machine came up after {@code ageS}; only the first record of a machine counts. */
    void recordBooted(int kind, String machine, double ageS, double bootS) {
        if (markCounted(machine)) {
            addSample(kind, ageS / Math.max(1e-3, bootS));
        }
    }

    /** Records that a machine is deleted because it did not come up; only the first record of a machine counts. */
    void recordNeverBooted(int kind, String machine) {
        if (markCounted(machine)) {
            addSample(kind, NEVER_BOOTED);
        }
    }

    /** Returns the boot ratios of the machines that came up, in ascending order. */
    private double[] bootedRatios(int kind) {
        ArrayDeque<Double> samples = bootRatios.get(kind);
        return samples == null
                ? new double[0]
                : samples.stream()
                        .mapToDouble(sample -> sample)
                        .filter(sample -> sample >= 0)
                        .sorted()
                        .toArray();
    }

    /** Returns the share of a kind's machines that came up at all; 1 as long as there are too few samples. */
    double bootedShare(int kind) {
        ArrayDeque<Double> samples = bootRatios.get(kind);
        return samples == null || samples.size() < MIN_SAMPLES
                ? 1
                : bootedRatios(kind).length / (double) samples.size();
    }

    /** Returns after how many boot times a machine of this kind is overdue and no longer planned with. */
    double overdueBoots(int kind) {
        double[] ratios = bootedRatios(kind);
        double limit = ratios.length < MIN_SAMPLES
                ? DEFAULT_OVERDUE_BOOTS
                : Math.max(DEFAULT_OVERDUE_BOOTS, OVERDUE_MARGIN * ratios[ratios.length - 1 - ratios.length / 10]);
        return Math.min(giveUpBoots, limit);
    }

    /**
     * Returns in how many seconds a machine that has been booting for {@code ageS} should be up, at least 1. The
     * later it already is, the longer the estimate.
     */
    double etaS(int kind, double ageS, double bootS) {
        double[] ratios = bootedRatios(kind);
        double typicalS = bootS
                * (ratios.length < MIN_SAMPLES
                        ? 1
                        : Arrays.stream(ratios)
                                .skip(ratios.length / 2)
                                .findFirst()
                                .orElse(1));
        return Math.max(1, Math.max(typicalS - ageS, MIN_LEFT_SHARE * (ageS - typicalS)));
    }
}
