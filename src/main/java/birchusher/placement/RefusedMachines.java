package birchusher.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Machines whose owners have refused offers of a job, which is not offered there again for a while. Times are ms of the steady clock. Not thread-safe. */
final class RefusedMachines {
    private final Map<String, Map<String, Long>> untilMsByJob = new HashMap<>();

    /** Leaves a machine out for a job until a time. */
    void record(String job, String machine, long untilMs) {
        untilMsByJob.computeIfAbsent(job, id -> new HashMap<>()).put(machine, untilMs);
    }

    /** Returns the machines that are left out for a job, or null if there are none. */
    Set<String> of(String job) {
        Map<String, Long> untilMsByMachine = untilMsByJob.get(job);
        return untilMsByMachine == null || untilMsByMachine.isEmpty() ? null : untilMsByMachine.keySet();
    }

    /** Forgets the refusals whose time is over. */
    void removeExpired(long now) {
        untilMsByJob.values().removeIf(untilMsByMachine -> {
            untilMsByMachine.values().removeIf(untilMs -> now > untilMs);
            return untilMsByMachine.isEmpty();
        });
    }
}
