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
final class Boots {
    private static final int KEPT = 24;
    private static final int ENOUGH = 4;
    /** By the protocol most machines are up by then. */
    private static final double USUAL = 1.5;

    private static final double NEVER = -1;
    private static final int MAX_NOTED = 4_000;

    private final double giveUp;
    private final Map<Integer, ArrayDeque<Double>> seen = new HashMap<>();
    /** Machines counted already. */
    private final Set<String> noted = new LinkedHashSet<>();

    Boots(double giveUp) {
        this.giveUp = giveUp;
    }

    private boolean first(String machine) {
        if (noted.size() > MAX_NOTED) {
            noted.remove(noted.iterator().next());
        }
        return noted.add(machine);
    }

    private void add(int kind, double ratio) {
        ArrayDeque<Double> l = seen.computeIfAbsent(kind, k -> new ArrayDeque<>());
        l.addLast(ratio);
        if (l.size() > KEPT) {
            l.removeFirst();
        }
    }

    void up(int kind, String machine, double ageS, double bootS) {
        if (first(machine)) {
            add(kind, ageS / Math.max(1e-3, bootS));
        }
    }

    void never(int kind, String machine) {
        if (first(machine)) {
            add(kind, NEVER);
        }
    }

    /** The ratios of those that came up, in order. */
    private double[] came(int kind) {
        ArrayDeque<Double> l = seen.get(kind);
        return l == null
                ? new double[0]
                : l.stream().mapToDouble(d -> d).filter(d -> d >= 0).sorted().toArray();
    }

    /** Which part of a kind's machines came up at all; 1 as long as few were seen. */
    double share(int kind) {
        ArrayDeque<Double> l = seen.get(kind);
        return l == null || l.size() < ENOUGH ? 1 : came(kind).length / (double) l.size();
    }

    /** After how many boot times a machine is no longer waited for. */
    double overdue(int kind) {
        double[] came = came(kind);
        double most = came.length < ENOUGH ? USUAL : Math.max(USUAL, 1.1 * came[came.length - 1 - came.length / 10]);
        return Math.min(giveUp, most);
    }

    /** In how many s a machine that has been booting for so long should be up; the longer it is late, the less soon. */
    double etaS(int kind, double ageS, double bootS) {
        double[] came = came(kind);
        double typical = bootS
                * (came.length < ENOUGH
                        ? 1
                        : Arrays.stream(came).skip(came.length / 2).findFirst().orElse(1));
        return Math.max(1, Math.max(typical - ageS, 0.4 * (ageS - typical)));
    }
}
