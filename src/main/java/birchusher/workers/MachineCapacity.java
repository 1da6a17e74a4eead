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

/** The room on a machine of ours by the truth known here: records, reports, reservations, and what yields to a claim. */
final class MachineCapacity {
    /** Asks for an attempt to be stopped. */
    interface TaskStopper {
        void stop(Claim c, double graceS, String reason);
    }

    private final Effects effects;
    private final Catalog catalog;
    private final StoreView view;
    private final OutcomeRecorder outcomes;
    /** Whether a job, by its id, lies within its team's guarantee. */
    private final Predicate<String> guaranteed;

    private final long reserveMs;

    MachineCapacity(
            Effects effects,
            Catalog catalog,
            StoreView view,
            OutcomeRecorder outcomes,
            Predicate<String> guaranteed,
            long reserveMs) {
        this.effects = effects;
        this.catalog = catalog;
        this.view = view;
        this.outcomes = outcomes;
        this.guaranteed = guaranteed;
        this.reserveMs = reserveMs;
    }

    /**
     * A claim may stand before its room is there: then work that yields to it is stopped, and its start is held. One sent too
     * early would be refused by the worker, and a whole gang would end with it.
     */
    void preemptForClaims(Machine m, TaskStopper stops) {
        Catalog.MachineType t = catalog.type(m.type);
        double[] used = view.capacityUsedOn(m.name);
        if (t == null
                || used[0] <= t.cpus() + Catalog.EPSILON
                        && used[1] <= t.gpus() + Catalog.EPSILON
                        && used[2] <= t.memoryGb() + Catalog.EPSILON) {
            m.heldStarts.clear();
            return;
        }
        double[] planned = {t.cpus() - used[0], t.gpus() - used[1], t.memoryGb() - used[2]};
        double[] present = {t.cpus(), t.gpus(), t.memoryGb()};
        List<Claim> stand = new ArrayList<>();
        List<Claim> unstarted = new ArrayList<>();
        for (Claim c : view.claims(m.name).values()) {
            String ak = c.attemptKey();
            if (c.job().released(c.task()) != null) {
                continue;
            }
            ReportedTask e = m.reportedTasks.get(ak);
            boolean over = outcomes.pending(ak);
            boolean ordered = e != null || m.attempts.containsKey(ak);
            if (!over && ordered && (e == null || !e.exited())) {
                subtract(present, c.job().spec);
            }
            if (over || m.stopRequests.containsKey(ak)) {
                add(planned, c.job().spec);
                continue;
            }
            stand.add(c);
            if (!ordered) {
                unstarted.add(c);
            }
        }
        // The youngest lose least.
        stand.sort(Comparator.comparingLong(c -> -c.seenAtMs()));
        for (Claim v : stand) {
            if (coversDemand(planned)) {
                break;
            }
            for (Claim u : unstarted) {
                JobSpec j = v.job().spec;
                if (j.preemptibleBy(
                        u.job().spec,
                        guaranteed.test(j.id()),
                        guaranteed.test(u.job().spec.id()))) {
                    stops.stop(
                            v,
                            j.isCheckpointed() ? j.checkpointWriteS() + 1 : 0,
                            "makes room for " + u.job().spec.id());
                    add(planned, j);
                    break;
                }
            }
        }
        unstarted.removeIf(c -> m.stopRequests.containsKey(c.attemptKey()));
        unstarted.sort(Comparator.comparing(c -> c.job().spec.priority()));
        Map<String, Long> held = new HashMap<>();
        for (Claim c : unstarted) {
            if (!fits(present, c.job().spec)) {
                held.put(c.attemptKey(), m.heldStarts.getOrDefault(c.attemptKey(), effects.now()));
            }
            subtract(present, c.job().spec);
        }
        m.heldStarts.clear();
        m.heldStarts.putAll(held);
    }

    private static boolean coversDemand(double[] room) {
        return room[0] >= -Catalog.EPSILON && room[1] >= -Catalog.EPSILON && room[2] >= -Catalog.EPSILON;
    }

    private static boolean fits(double[] room, JobSpec j) {
        return room[0] >= j.cpus() - Catalog.EPSILON
                && room[1] >= j.gpus() - Catalog.EPSILON
                && room[2] >= j.memoryGb() - Catalog.EPSILON;
    }

    /** Free room by the truth known here: records, reports and reservations. */
    private double[] freeCapacity(Machine m) {
        Catalog.MachineType t = catalog.type(m.type);
        if (t == null) {
            return new double[3];
        }
        double[] f = {t.cpus(), t.gpus(), t.memoryGb()};
        Map<String, Claim> claims = view.claims(m.name);
        for (Claim c : claims.values()) {
            if (c.job().released(c.task()) == null) {
                subtract(f, c.job().spec);
            }
        }
        double[] stray = unclaimedUse(m);
        for (int i = 0; i < 3; i++) {
            f[i] -= stray[i];
        }
        pruneReservations(m);
        for (Machine.Reservation r : m.reservations.values()) {
            f[0] -= r.cpus();
            f[1] -= r.gpus();
            f[2] -= r.memoryGb();
        }
        return f;
    }

    /** Reservations end by time, or when the claim that they were made for stands. */
    void pruneReservations(Machine m) {
        long now = effects.now();
        Map<String, Claim> claims = view.claims(m.name);
        m.reservations.values().removeIf(r -> {
            Claim c = claims.get(r.taskKey());
            return now > r.expiresAtMs() || c != null && c.job().released(c.task()) == null;
        });
    }

    /** Room held by tasks that no record covers, such as those being stopped after a late command. */
    double[] unclaimedUse(Machine m) {
        double[] f = new double[3];
        Map<String, Claim> claims = view.claims(m.name);
        for (ReportedTask e : m.reportedTasks.values()) {
            if (!e.exited() && !claims.containsKey(e.taskKey())) {
                Job j = view.job(
                        e.taskKey().substring(0, Math.max(0, e.taskKey().lastIndexOf('/'))));
                Catalog.MachineType t = catalog.type(m.type);
                if (j != null) {
                    f[0] += j.spec.cpus();
                    f[1] += j.spec.gpus();
                    f[2] += j.spec.memoryGb();
                } else if (t != null) {
                    f[0] += t.cpus();
                    f[1] += t.gpus();
                    f[2] += t.memoryGb();
                }
            }
        }
        return f;
    }

    private static void add(double[] f, JobSpec j) {
        f[0] += j.cpus();
        f[1] += j.gpus();
        f[2] += j.memoryGb();
    }

    private static void subtract(double[] f, JobSpec j) {
        f[0] -= j.cpus();
        f[1] -= j.gpus();
        f[2] -= j.memoryGb();
    }

    /** Whether a task fits, and if it is offered so, also into room that lower work leaves. */
    boolean fits(Machine m, JobSpec j, boolean makesRoom) {
        double[] f = freeCapacity(m);
        if (makesRoom) {
            for (Claim c : view.claims(m.name).values()) {
                if (c.job().released(c.task()) == null
                        && c.job()
                                .spec
                                .preemptibleBy(j, guaranteed.test(c.job().spec.id()), guaranteed.test(j.id()))) {
                    add(f, c.job().spec);
                }
            }
        }
        return fits(f, j);
    }

    void reserve(Machine m, String key, JobSpec j) {
        m.reservations.put(
                key, new Machine.Reservation(key, j.cpus(), j.gpus(), j.memoryGb(), effects.now() + reserveMs));
    }
}
