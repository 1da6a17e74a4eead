package birchusher.workers;

import birchusher.store.Job;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Attributes task errors to a machine or to a job. Errors of different jobs on one machine count against the machine. Errors of a job that has
 * failed on several machines and has no finished task count against the job, and are no reason to quarantine or return a machine. Without
 * this, two jobs submitted with a mistake cost every machine that both ran on.
 */
final class ErrorAttribution {
    private static final int MAX_JOBS = 2_000;
    private static final int MAX_MACHINES = 8;
    /**
     * This many jobs with errors on a machine, and no task that ended well between them, make it faulty even if only one of the jobs is not
     * known to fail elsewhere too.
     */
    private static final int MANY_FAILED_JOBS = 4;

    private final Map<String, Set<String>> machinesByJob = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
            return size() > MAX_JOBS;
        }
    };

    /** Records an error of a job on a machine. Returns the names of the machines with errors of this job, which are to be checked again. */
    Set<String> recordError(Job job, Machine machine) {
        machine.errorsByJob.merge(job.spec.id(), 1, Integer::sum);
        Set<String> machines = machinesByJob.computeIfAbsent(job.spec.id(), key -> new HashSet<>());
        if (machines.size() < MAX_MACHINES) {
            machines.add(machine.name);
        }
        return machines;
    }

    /** Whether a job seems to fail on every machine; {@code errorsHere}: the number of its errors on the machine in question. */
    private boolean failsEverywhere(Job job, int errorsHere) {
        if (job == null || job.doneCount() > 0) {
            return false;
        }
        // The rows count the errors on the machines of all owners: more than this machine's own mean errors elsewhere.
        return machinesByJob.getOrDefault(job.spec.id(), Set.of()).size() > 1 || job.consecutiveErrors() > errorsHere;
    }

    /** The number of different jobs whose errors count against a machine. */
    int countJobsAgainst(Machine machine, Function<String, Job> jobs) {
        int count = 0;
        for (Map.Entry<String, Integer> jobErrors : machine.errorsByJob.entrySet()) {
            count += failsEverywhere(jobs.apply(jobErrors.getKey()), jobErrors.getValue()) ? 0 : 1;
        }
        return count;
    }

    /** Whether a machine is faulty and is to be returned. */
    boolean isFaulty(Machine machine, Function<String, Job> jobs) {
        int against = countJobsAgainst(machine, jobs);
        return against >= 2 || against == 1 && machine.errorsByJob.size() >= MANY_FAILED_JOBS;
    }
}
