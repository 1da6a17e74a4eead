package birchusher.fleet;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * How machines of each kind have come up lately, as parts of their type's stated boot time. Room on a machine that boots counts by
 * when it is likely to come; one that is later than nearly all others of its kind is not waited for, though it is used if it comes.
 * Without this, work waited three boot times for machines that never came, as their room stood in every plan.
 */
final class BootStatistics {
    private static final int MAX_SAMPLES_PER_KIND = 24;
    private static final int MIN_SAMPLES = 4;
    /** By the protocol most machines are up by then. */
    private static final double DEFAULT_OVERDUE_BOOTS = 1.5;

    private static final double NEVER_BOOTED = -1;
    private static final int MAX_COUNTED_MACHINES = 4_000;

    private final double giveUpBoots;
    private final Map<Integer, ArrayDeque<Double>> bootRatios = new HashMap<>();
    /** Machines counted already. */
    private final Set<String> countedMachines = new LinkedHashSet<>();

    BootStatistics(double giveUp) {
        this.giveUpBoots = giveUp;
    }

    private boolean markCounted(String machine) {
        if (countedMachines.size() > MAX_COUNTED_MACHINES) {
            countedMachines.remove(countedMachines.iterator().next());
        }
        return countedMachines.add(machine);
    }

    private void addSample(int kind, double ratio) {
        ArrayDeque<Double> l = bootRatios.computeIfAbsent(kind, k -> new ArrayDeque<>());
        l.addLast(ratio);
        if (l.size() > MAX_SAMPLES_PER_KIND) {
            l.removeFirst();
        }
    }

    void recordBooted(int kind, String machine, double ageS, double bootS) {
        if (markCounted(machine)) {
            addSample(kind, ageS / Math.max(1e-3, bootS));
        }
    }

    void recordNeverBooted(int kind, String machine) {
        if (markCounted(machine)) {
            addSample(kind, NEVER_BOOTED);
        }
    }

    /** The ratios of those that came up, in order. */
    private double[] bootedRatios(int kind) {
        ArrayDeque<Double> l = bootRatios.get(kind);
        return l == null
                ? new double[0]
                : l.stream().mapToDouble(d -> d).filter(d -> d >= 0).sorted().toArray();
    }

    /** Which part of a kind's machines came up at all; 1 as long as few were seen. */
    double bootedShare(int kind) {
        ArrayDeque<Double> l = bootRatios.get(kind);
        return l == null || l.size() < MIN_SAMPLES ? 1 : bootedRatios(kind).length / (double) l.size();
    }

    /** After how many boot times a machine is no longer waited for. */
    double overdueBoots(int kind) {
        double[] came = bootedRatios(kind);
        double most = came.length < MIN_SAMPLES
                ? DEFAULT_OVERDUE_BOOTS
                : Math.max(DEFAULT_OVERDUE_BOOTS, 1.1 * came[came.length - 1 - came.length / 10]);
        return Math.min(giveUpBoots, most);
    }

    /** In how many s a machine that has been booting for so long should be up; the longer it is late, the less soon. */
    double etaS(int kind, double ageS, double bootS) {
        double[] came = bootedRatios(kind);
        double typical = bootS
                * (came.length < MIN_SAMPLES
                        ? 1
                        : Arrays.stream(came).skip(came.length / 2).findFirst().orElse(1));
        return Math.max(1, Math.max(typical - ageS, 0.4 * (ageS - typical)));
    }
}
