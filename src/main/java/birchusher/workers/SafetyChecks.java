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
    private static final long LOG_EVERY_MS = 1_000;

    /** What the owner of the machines knows of them. */
    interface Machines {
        /** A machine whose shard we own and whose worker has heard us, or null: nothing can be told of others. */
        Machine owned(String name);

        /** When the worker of a machine of ours has certainly dropped its tasks; {@link WorkerLease#NEVER}: nobody can tell. */
        long leaseEnd(Machine machine);
    }

    private final Effects effects;
    private final Counters counters;
    private final Machines machines;
    /** By task: the machine of ours that last showed an attempt of it. The longest unseen are forgotten first. */
    private final Map<String, String> shownOn = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_TASKS;
        }
    };

    private long loggedAt = Long.MIN_VALUE / 2;

    SafetyChecks(Effects effects, Counters counters, Machines machines) {
        this.effects = effects;
        this.counters = counters;
        this.machines = machines;
    }

    /** A report shows an attempt of a task, not exited, on a machine of ours. */
    void shown(String task, Machine machine) {
        shownOn.put(task, machine.name);
    }

    /** No task leaves a silent machine before the latest end of all that its worker was granted. */
    void releaseOfSilent(Claim claim, Machine machine) {
        if (effects.now() < machines.leaseEnd(machine)) {
            broken("release_before_lease_end", claim, machine);
        }
    }

    /** No task is started while another machine of ours may still run an attempt of it. Machines of other owners are not seen here. */
    void start(Claim claim, Machine target) {
        String name = shownOn.get(claim.taskKey());
        Machine other = name == null || name.equals(target.name) ? null : machines.owned(name);
        if (other != null && mayRun(claim.taskKey(), other)) {
            broken("started_while_elsewhere", claim, other);
        }
    }

    private boolean mayRun(String task, Machine machine) {
        if (machine.gone || effects.now() >= machines.leaseEnd(machine)) {
            return false;
        }
        for (Entry entry : machine.entries.values()) {
            if (!entry.exited() && entry.key().equals(task)) {
                return true;
            }
        }
        return false;
    }

    private void broken(String rule, Claim claim, Machine machine) {
        counters.unsafe++;
        long now = effects.now();
        if (now - loggedAt >= LOG_EVERY_MS) {
            loggedAt = now;
            LOG.error(
                    "safety rule broken rule={} task={} attempt={} machine={} session={} lease_left_ms={} {}",
                    rule,
                    claim.taskKey(),
                    claim.attempt(),
                    machine.name,
                    machine.session,
                    machines.leaseEnd(machine) - now,
                    machine.workerLease.evidence(now));
        }
        assert false : rule + ": " + claim.taskKey() + " attempt " + claim.attempt() + ", " + machine.name;
    }
}
