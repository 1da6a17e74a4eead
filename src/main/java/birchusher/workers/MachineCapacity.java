package birchusher.workers;

import birchusher.core.Effects;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.StoreView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The capacity of owned machines: what claims, reported tasks and reservations use, and which tasks are preempted for a claim. Capacity is an
 * array of CPUs, GPUs and memory in GB. Not thread-safe: called on the controller's thread.
 */
final class MachineCapacity {
    /** Requests that attempts be stopped. */
    interface TaskStopper {
        /** Requests that the attempt of a claim be stopped with a grace period in seconds. */
        void stop(Claim claim, double graceS, String reason);
    }

    /** Added to the time that writing a checkpoint takes, for the grace period of a preempted task. */
    private static final double SAVE_MARGIN_S = 1;

    private final Effects effects;
    private final Catalog catalog;
    private final StoreView view;
    private final OutcomeRecorder outcomes;
    /** Whether a job, given by its ID, is within its team's guarantee. */
    private final Predicate<String> guaranteed;

    private final long reservationMs;

    MachineCapacity(
            Effects effects,
            Catalog catalog,
            StoreView view,
            OutcomeRecorder outcomes,
            Predicate<String> guaranteed,
            long reservationMs) {
        this.effects = effects;
        this.catalog = catalog;
        this.view = view;
        this.outcomes = outcomes;
        this.guaranteed = guaranteed;
        this.reservationMs = reservationMs;
    }

    /**
     * Stops preemptible tasks of an overcommitted machine. A claim may be made before its capacity is free: then tasks that it may preempt are
     * stopped, and its own start is held. A worker would refuse a start sent too early, and the whole gang would end with it.
     */
    void preemptForClaims(Machine machine, TaskStopper stopper) {
        Catalog.MachineType type = catalog.type(machine.type);
        double[] used = view.capacityUsedOn(machine.name);
        if (type == null
                || used[0] <= type.cpus() + Catalog.EPSILON
                        && used[1] <= type.gpus() + Catalog.EPSILON
                        && used[2] <= type.memoryGb() + Catalog.EPSILON) {
            machine.heldStarts.clear();
            return;
        }
        double[] planned = {type.cpus() - used[0], type.gpus() - used[1], type.memoryGb() - used[2]};
        double[] free = {type.cpus(), type.gpus(), type.memoryGb()};
        List<Claim> active = new ArrayList<>();
        List<Claim> unstarted = new ArrayList<>();
        for (Claim claim : view.claims(machine.name).values()) {
            String attemptKey = claim.attemptKey();
            if (claim.job().released(claim.task()) != null) {
                continue;
            }
            ReportedTask reported = machine.reportedTasks.get(attemptKey);
            boolean ended = outcomes.isPending(attemptKey);
            boolean startSent = reported != null || machine.attempts.containsKey(attemptKey);
            if (!ended && startSent && (reported == null || !reported.exited())) {
                subtract(free, claim.job().spec);
            }
            if (ended || machine.stopRequests.containsKey(attemptKey)) {
                add(planned, claim.job().spec);
                continue;
            }
            active.add(claim);
            if (!startSent) {
                unstarted.add(claim);
            }
        }
        // Youngest first, as they lose the least work.
        active.sort(Comparator.comparingLong(claim -> -claim.seenAtMs()));
        for (Claim victim : active) {
            if (coversDemand(planned)) {
                break;
            }
            for (Claim waiting : unstarted) {
                JobSpec victimSpec = victim.job().spec;
                if (victimSpec.preemptibleBy(
                        waiting.job().spec,
                        guaranteed.test(victimSpec.id()),
                        guaranteed.test(waiting.job().spec.id()))) {
                    stopper.stop(
                            victim,
                            victimSpec.isCheckpointed() ? victimSpec.checkpointWriteS() + SAVE_MARGIN_S : 0,
                            "makes room for " + waiting.job().spec.id());
                    add(planned, victimSpec);
                    break;
                }
            }
        }
        unstarted.removeIf(claim -> machine.stopRequests.containsKey(claim.attemptKey()));
        unstarted.sort(Comparator.comparing(claim -> claim.job().spec.priority()));
        Map<String, Long> held = new HashMap<>();
        for (Claim claim : unstarted) {
            if (!fits(free, claim.job().spec)) {
                held.put(claim.attemptKey(), machine.heldStarts.getOrDefault(claim.attemptKey(), effects.now()));
            }
            subtract(free, claim.job().spec);
        }
        machine.heldStarts.clear();
        machine.heldStarts.putAll(held);
    }

    /** Whether no part of the capacity is overcommitted. */
    private static boolean coversDemand(double[] capacity) {
        return capacity[0] >= -Catalog.EPSILON && capacity[1] >= -Catalog.EPSILON && capacity[2] >= -Catalog.EPSILON;
    }

    private static boolean fits(double[] capacity, JobSpec spec) {
        return capacity[0] >= spec.cpus() - Catalog.EPSILON
                && capacity[1] >= spec.gpus() - Catalog.EPSILON
                && capacity[2] >= spec.memoryGb() - Catalog.EPSILON;
    }

    /** What claims, unclaimed tasks and reservations leave of a machine's capacity; none if the machine's type is unknown. */
    private double[] freeCapacity(Machine machine) {
        Catalog.MachineType type = catalog.type(machine.type);
        if (type == null) {
            return new double[3];
        }
        double[] free = {type.cpus(), type.gpus(), type.memoryGb()};
        Map<String, Claim> claims = view.claims(machine.name);
        for (Claim claim : claims.values()) {
            if (claim.job().released(claim.task()) == null) {
                subtract(free, claim.job().spec);
            }
        }
        double[] unclaimed = unclaimedUse(machine);
        for (int i = 0; i < 3; i++) {
            free[i] -= unclaimed[i];
        }
        pruneReservations(machine);
        for (Machine.Reservation reservation : machine.reservations.values()) {
            free[0] -= reservation.cpus();
            free[1] -= reservation.gpus();
            free[2] -= reservation.memoryGb();
        }
        return free;
    }

    /** Drops reservations that have expired or whose claim is in the view. */
    void pruneReservations(Machine machine) {
        long now = effects.now();
        Map<String, Claim> claims = view.claims(machine.name);
        machine.reservations.values().removeIf(reservation -> {
            Claim claim = claims.get(reservation.taskKey());
            return now > reservation.expiresAtMs()
                    || claim != null && claim.job().released(claim.task()) == null;
        });
    }

    /** Capacity used by reported tasks without a claim, such as those being stopped after a late command; for a task of an unknown job all of
     * the machine. */
    double[] unclaimedUse(Machine machine) {
        double[] used = new double[3];
        Map<String, Claim> claims = view.claims(machine.name);
        for (ReportedTask reported : machine.reportedTasks.values()) {
            if (!reported.exited() && !claims.containsKey(reported.taskKey())) {
                Job job = view.job(reported.taskKey()
                        .substring(0, Math.max(0, reported.taskKey().lastIndexOf('/'))));
                Catalog.MachineType type = catalog.type(machine.type);
                if (job != null) {
                    used[0] += job.spec.cpus();
                    used[1] += job.spec.gpus();
                    used[2] += job.spec.memoryGb();
                } else if (type != null) {
                    used[0] += type.cpus();
                    used[1] += type.gpus();
                    used[2] += type.memoryGb();
                }
            }
        }
        return used;
    }

    private static void add(double[] capacity, JobSpec spec) {
        capacity[0] += spec.cpus();
        capacity[1] += spec.gpus();
        capacity[2] += spec.memoryGb();
    }

    private static void subtract(double[] capacity, JobSpec spec) {
        capacity[0] -= spec.cpus();
        capacity[1] -= spec.gpus();
        capacity[2] -= spec.memoryGb();
    }

    /**
     * Whether a task fits into the free capacity of a machine.
     *
     * @param withPreemption whether the capacity of tasks that it may preempt counts as free
     */
    boolean fits(Machine machine, JobSpec spec, boolean withPreemption) {
        double[] free = freeCapacity(machine);
        if (withPreemption) {
            for (Claim claim : view.claims(machine.name).values()) {
                if (claim.job().released(claim.task()) == null
                        && claim.job()
                                .spec
                                .preemptibleBy(
                                        spec, guaranteed.test(claim.job().spec.id()), guaranteed.test(spec.id()))) {
                    add(free, claim.job().spec);
                }
            }
        }
        return fits(free, spec);
    }

    /** Reserves the capacity of a task until its claim is in the view or the reservation time is over. */
    void reserve(Machine machine, String taskKey, JobSpec spec) {
        machine.reservations.put(
                taskKey,
                new Machine.Reservation(
                        taskKey, spec.cpus(), spec.gpus(), spec.memoryGb(), effects.now() + reservationMs));
    }
}
