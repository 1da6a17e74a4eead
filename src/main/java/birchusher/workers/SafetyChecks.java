package birchusher.workers;

import birchusher.core.Effects;
import birchusher.store.Claim;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What must hold whatever happens, checked where it could be broken, by other means than the code that is to keep it. A broken rule is counted
 * ({@code unsafe=}) and logged as an ERROR line; where assertions are enabled, as in tests, it ends the run. Nothing is decided here.
 */
final class SafetyChecks {
    private static final Logger LOG = LoggerFactory.getLogger(SafetyChecks.class);
    private static final int MAX_TASKS = 50_000;
    private static final long LOG_INTERVAL_MS = 1_000;

    /** What the owner of the machines knows of them. */
    interface OwnedMachines {
        /** A machine whose shard we own and whose worker has heard us, or null: nothing can be told of others. */
        Machine ownedAndCurrent(String name);

        /** When the worker of a machine of ours has certainly dropped its tasks; {@link WorkerLease#NEVER}: nobody can tell. */
        long leaseEndMs(Machine machine);
    }

    private final Effects effects;
    private final Counters counters;
    private final OwnedMachines machines;
    /** By task: the machine of ours that last showed an attempt of it. The longest unseen are forgotten first. */
    private final Map<String, String> lastReportedOn = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_TASKS;
        }
    };

    private long loggedAtMs = Long.MIN_VALUE / 2;

    SafetyChecks(Effects effects, Counters counters, OwnedMachines machines) {
        this.effects = effects;
        this.counters = counters;
        this.machines = machines;
    }

    /** A report shows an attempt of a task, not exited, on a machine of ours. */
    void recordReported(String task, Machine machine) {
        lastReportedOn.put(task, machine.name);
    }

    /** No task leaves a silent machine before the latest end of all that its worker was granted. */
    void checkReleaseOfSilent(Claim claim, Machine machine) {
        if (effects.now() < machines.leaseEndMs(machine)) {
            reportViolation("release_before_lease_end", claim, machine);
        }
    }

    /** No task is started while another machine of ours may still run an attempt of it. Machines of other owners are not seen here. */
    void checkStart(Claim claim, Machine target) {
        String name = lastReportedOn.get(claim.taskKey());
        Machine other = name == null || name.equals(target.name) ? null : machines.ownedAndCurrent(name);
        if (other != null && mayRun(claim.taskKey(), other)) {
            reportViolation("started_while_elsewhere", claim, other);
        }
    }

    private boolean mayRun(String task, Machine machine) {
        if (machine.deleted || effects.now() >= machines.leaseEndMs(machine)) {
            return false;
        }
        for (ReportedTask entry : machine.reportedTasks.values()) {
            if (!entry.exited() && entry.taskKey().equals(task)) {
                return true;
            }
        }
        return false;
    }

    private void reportViolation(String rule, Claim claim, Machine machine) {
        counters.safetyViolations++;
        long now = effects.now();
        if (now - loggedAtMs >= LOG_INTERVAL_MS) {
            loggedAtMs = now;
            LOG.error(
                    "safety rule broken rule={} task={} attempt={} machine={} session={} lease_left_ms={} {}",
                    rule,
                    claim.taskKey(),
                    claim.attempt(),
                    machine.name,
                    machine.session,
                    machines.leaseEndMs(machine) - now,
                    machine.workerLease.logFields(now));
        }
        assert false : rule + ": " + claim.taskKey() + " attempt " + claim.attempt() + ", " + machine.name;
    }
}
