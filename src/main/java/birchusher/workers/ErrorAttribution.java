package birchusher.workers;

import birchusher.store.Job;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Whom an error speaks against. Errors of different jobs speak against the machine; a job that has failed on several machines and
 * never ended well speaks against itself, and its errors are no reason to leave a machine idle or to give it up. Without this, two
 * jobs submitted with a mistake cost every machine that both came to.
 */
final class ErrorAttribution {
    private static final int MAX_JOBS = 2_000;
    private static final int MAX_MACHINES = 8;
    /** So many different jobs, with nothing that ended well between them, and one of them not seen to fail elsewhere, are enough too. */
    private static final int MANY_FAILED_JOBS = 4;

    private final Map<String, Set<String>> machinesByJob = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Set<String>> e) {
            return size() > MAX_JOBS;
        }
    };

    /** Notes an error. The machines on which this job's errors are seen, to be judged anew. */
    Set<String> recordError(Job j, Machine m) {
        m.errorsByJob.merge(j.spec.id(), 1, Integer::sum);
        Set<String> on = machinesByJob.computeIfAbsent(j.spec.id(), k -> new HashSet<>());
        if (on.size() < MAX_MACHINES) {
            on.add(m.name);
        }
        return on;
    }

    /** Whether a job seems to fail wherever it runs; {@code here}: how many of its errors one machine has seen. */
    private boolean failsEverywhere(Job j, int here) {
        if (j == null || j.doneCount() > 0) {
            return false;
        }
        // The rows count the errors of all owners' machines: more than this one has seen means others.
        return machinesByJob.getOrDefault(j.spec.id(), Set.of()).size() > 1 || j.consecutiveErrors() > here;
    }

    /** How many different jobs speak against a machine. */
    int countJobsAgainst(Machine m, Function<String, Job> jobs) {
        int n = 0;
        for (Map.Entry<String, Integer> e : m.errorsByJob.entrySet()) {
            n += failsEverywhere(jobs.apply(e.getKey()), e.getValue()) ? 0 : 1;
        }
        return n;
    }

    /** Whether a machine is to be given up. */
    boolean isFaulty(Machine m, Function<String, Job> jobs) {
        int against = countJobsAgainst(m, jobs);
        return against >= 2 || against == 1 && m.errorsByJob.size() >= MANY_FAILED_JOBS;
    }
}
