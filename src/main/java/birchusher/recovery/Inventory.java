package birchusher.recovery;

import birchusher.settings.Settings;
import birchusher.store.StoreView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which machines are to be heard of, and for how long that is waited for. Every claim's machine is expected, by the rows, and every
 * machine that the cloud lists as running; each is heard (its owner tells of it, and its worker has shown that owner's term), gone (the cloud confirmed it), or open. While any
 * is open, what the next report may overturn is not ordered: renting, returning, moving. Each machine is waited for only as long as
 * a worker that lost its controller may need to find another one; a machine silent for longer is a matter of its lease. Orders that
 * keep a rule (stops of cancelled work, starts kept out) never ask here.
 *
 * <p>It needs no talk: all rows are known to every controller, and owners tell of the machines they have heard anyway.
 */
public final class Inventory {
    private static final Logger LOG = LoggerFactory.getLogger(Inventory.class);
    private static final int MAX_CONFIRMED = 50_000;
    /** One in so many may be open: waiting for single machines held up rentals on days when many are taken back. */
    private static final int TOLERATED_OPEN_ONE_IN = 50;
    /** So old may a plan be: one made before the last machine was heard knows nothing of its room. */
    private static final long MAX_PLAN_AGE_MS = 1_000;

    /** What owners tell of a machine: nothing yet, a report whose worker has not shown its owner's term, or all that can be had. */
    public enum MachineEvidence {
        NONE,
        REPORTED,
        CONFIRMED
    }

    /** Of a cluster's return; each ends by evidence, or when nothing more is waited for. */
    public enum Phase {
        /** The rows are not read yet. */
        READING,
        /** Machines are expected that nobody has told of. */
        HEARING,
        /** All are heard or given up; losses are known that their rows do not show yet. */
        RESTORING,
        ORDINARY
    }

    private final StoreView view;
    private final long maxWaitMs;
    /** Expected machines that nobody tells of, since when; those waited for long enough stay, so that they are not begun again. */
    private final Map<String, Long> open = new HashMap<>();
    /** Machines that were fit since they were first told of: what makes one unfit later is not a matter of this. */
    private final Set<String> confirmed = new HashSet<>();

    private long fleetKnownFromMs;
    private boolean wasFleetKnown;
    private long nowMs;
    private Phase phase = Phase.READING;
    private int awaitedMachines;
    private int expectedMachines;
    private long phaseSinceMs;
    private int maxAwaitedMachines;

    public Inventory(StoreView view, long patienceMs) {
        this.view = view;
        this.maxWaitMs = patienceMs;
    }

    /**
     * How long a worker that lost its controller may need to be heard by another one, in ms.
     *
     * @param reportMs the workers' mean report interval; it may be a quarter longer
     * @param controllers how many a worker may have to ask until it finds its owner
     */
    public static long reconnectTimeMs(long reportMs, int controllers) {
        return reportMs * 5 / 4 + Settings.NO_ANSWER_MS + Settings.NEXT_MS * (controllers + 1);
    }

    /**
     * @param read whether the rows are read
     * @param told what owners tell of a machine
     * @param gone whether a machine is known to be gone
     * @param listed machines that the cloud's list shows as running though nobody tells of them
     */
    public void update(
            long now,
            boolean read,
            Function<String, MachineEvidence> told,
            Predicate<String> gone,
            Iterable<String> listed) {
        this.nowMs = now;
        if (!read) {
            enterPhase(Phase.READING, now);
            return;
        }
        Map<String, Long> before = Map.copyOf(open);
        open.clear();
        expectedMachines = 0;
        if (confirmed.size() > MAX_CONFIRMED) {
            // Machines long gone: those that are still there are noted again at once.
            confirmed.clear();
        }
        for (String machine : view.claimedMachines()) {
            expectMachine(machine, told, gone, before, now);
        }
        for (String machine : listed) {
            expectMachine(machine, told, gone, before, now);
        }
        awaitedMachines = 0;
        for (long at : open.values()) {
            awaitedMachines += now - at < maxWaitMs ? 1 : 0;
        }
        maxAwaitedMachines = Math.max(maxAwaitedMachines, awaitedMachines);
        enterPhase(
                awaitedMachines * TOLERATED_OPEN_ONE_IN > expectedMachines
                        ? Phase.HEARING
                        : view.releasedClaimCount() > 0 ? Phase.RESTORING : Phase.ORDINARY,
                now);
    }

    private void expectMachine(
            String machine,
            Function<String, MachineEvidence> told,
            Predicate<String> gone,
            Map<String, Long> before,
            long now) {
        expectedMachines++;
        MachineEvidence t = told.apply(machine);
        if (t == MachineEvidence.NONE) {
            confirmed.remove(machine);
        }
        if (t == MachineEvidence.CONFIRMED) {
            confirmed.add(machine);
        } else if (!confirmed.contains(machine) && !gone.test(machine)) {
            open.put(machine, before.getOrDefault(machine, now));
        }
    }

    private void enterPhase(Phase p, long now) {
        if (p == phase) {
            return;
        }
        if (phase == Phase.READING || phase == Phase.HEARING) {
            fleetKnownFromMs = now + MAX_PLAN_AGE_MS;
        }
        wasFleetKnown = p != Phase.READING && (wasFleetKnown || p != Phase.HEARING);
        if (phase == Phase.HEARING && maxAwaitedMachines >= 10) {
            LOG.info(
                    "recovery: {} machines were waited for, {} of them in vain, for {} ms; {} losses to be written",
                    maxAwaitedMachines,
                    open.size(),
                    now - phaseSinceMs,
                    view.releasedClaimCount());
        }
        if (p == Phase.HEARING) {
            maxAwaitedMachines = awaitedMachines;
        }
        phase = p;
        phaseSinceMs = now;
    }

    public Phase phase() {
        return phase;
    }

    /** Whether what is known of the fleet is complete enough to rent, return or empty machines by it. */
    public boolean isFleetKnown() {
        return nowMs >= fleetKnownFromMs && (phase == Phase.RESTORING || phase == Phase.ORDINARY);
    }

    /**
     * Whether the fleet was known once since the rows were read. Work is stopped for want of room from then on: held back as well whenever
     * one of the other controllers restarted, it made gangs late that had always found their room.
     */
    public boolean wasFleetKnown() {
        return wasFleetKnown;
    }

    /** Expected machines that are still waited for. */
    public int open() {
        return awaitedMachines;
    }
}
