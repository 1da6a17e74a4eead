package birchusher.workers;

import birchusher.core.Effects;
import birchusher.membership.Membership;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the exits that workers have to keep in their reports because a copy of the direct start of their attempt could start it again
 * ({@link DirectStarts#isRepeatable}). When a machine has many, the term of its shard is raised: all kept exits of the shard can then be reaped, as
 * a worker that has seen the reap rejects every start under a lower term. While the term can't be raised, the exits stay, and a machine that has
 * reached the bound gets starts only in responses to its reports, whose exits need not be kept.
 *
 * <p>Not thread-safe: used on the controller's thread.
 */
final class KeptExits {
    /** Exits kept on one machine from which on its shard's term is raised. */
    private static final int RAISE_THRESHOLD = 64;
    /** Attempts, exited or not, that a machine may list of those started directly under one term: three fifths of a report at 150 bytes each. */
    private static final int MAX_DIRECT_STARTS = 256;
    /** After each raise, the machines of a shard get no new tasks until they have shown the new term. */
    private static final long MIN_RAISE_INTERVAL_MS = 60_000;

    private final Effects effects;
    private final Membership membership;
    /** By shard, when its term was last raised for kept exits. */
    private final Map<Integer, Long> raisedAtMs = new HashMap<>();

    KeptExits(Effects effects, Membership membership) {
        this.effects = effects;
        this.membership = membership;
    }

    /** The number of exits in a machine's newest report that can't be reaped under the present term. */
    int count(Machine machine) {
        long term = membership.term(machine.shard);
        int kept = 0;
        for (ReportedTask reported : machine.reportedTasks.values()) {
            if (reported.exited() && machine.directStarts.isRepeatable(reported.attemptKey(), term)) {
                kept++;
            }
        }
        return kept;
    }

    /** The number of attempts that may still be started directly on a machine under the present term. */
    int directStartsLeft(Machine machine) {
        return MAX_DIRECT_STARTS - machine.directStarts.countRepeatable(membership.term(machine.shard));
    }

    /** Raises the term of a machine's shard if the exits kept on it are many and the last raise was long enough ago. */
    void raiseTermIfMany(Machine machine) {
        int kept = count(machine);
        long now = effects.now();
        Long raisedBeforeMs = raisedAtMs.get(machine.shard);
        if (kept >= RAISE_THRESHOLD
                && (raisedBeforeMs == null || now - raisedBeforeMs >= MIN_RAISE_INTERVAL_MS)
                && membership.raiseTerm(machine.shard, kept + " kept exits on " + machine.name)) {
            raisedAtMs.put(machine.shard, now);
        }
    }
}
