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
 * Tracks which machines are expected to report after a restart, and for how long that is awaited. The machine of every
 * stored claim is expected, and every machine that the cloud lists as running. Each of them is either confirmed (its
 * owner publishes its status, and its worker has shown that owner's term), gone (the cloud confirmed its deletion), or
 * open.
 *
 * <p>While more than a few machines are open, actions that the next report may invalidate are held back: renting and
 * returning machines, and moving tasks. Each machine is awaited only as long as a worker that lost its controller may
 * need to find another one; what becomes of a machine that is silent for longer is decided by its lease. Commands
 * that keep a safety rule (stops of cancelled tasks, fenced starts) do not depend on this class.
 *
 * <p>No messages are needed for it: every controller has all rows, and owners publish their machines' statuses anyway.
 * Times are in ms of the steady clock. Not thread-safe.
 */
public final class Inventory {
    private static final Logger LOG = LoggerFactory.getLogger(Inventory.class);
    private static final int MAX_CONFIRMED = 50_000;
    /**
     * One in this many expected machines may be open. Waiting for single machines held up rentals whenever the cloud
     * took back many machines.
     */
    private static final int TOLERATED_OPEN_ONE_IN = 50;
    /** A plan may be this old, and one made before the last machine was confirmed lacks that machine's capacity. */
    private static final long MAX_PLAN_AGE_MS = 1_000;
    /** The wait for fewer machines than this is not logged. */
    private static final int MIN_LOGGED_MACHINES = 10;

    /** What the published status of a machine shows. */
    public enum MachineEvidence {
        /** No status is published. */
        NONE,
        /** The machine has reported, but its worker has not shown its owner's term yet. */
        REPORTED,
        /** The worker has shown its owner's term, or the machine is in a state in which that is not awaited. */
        CONFIRMED
    }

    /** A phase of restart recovery; each ends by evidence, or when nothing more is awaited. */
    public enum Phase {
        /** The rows of the state service are not read yet. */
        READING,
        /** Too many of the expected machines are still awaited. */
        HEARING,
        /**
         * The machines are confirmed or no longer awaited; the rows still hold claims that are proven to be released.
         */
        RESTORING,
        /** Nothing is left to recover. */
        ORDINARY
    }

    private final StoreView view;
    private final long maxWaitMs;
    /**
     * Expected machines that are not confirmed, with the time since when. Those that are no longer awaited stay in
     * it, so that their wait does not begin again.
     */
    private final Map<String, Long> openSinceMs = new HashMap<>();
    /**
     * Machines that were confirmed since their status was first published. They are not awaited again while a status
     * is published.
     */
    private final Set<String> confirmed = new HashSet<>();

    private long fleetKnownFromMs;
    private boolean wasFleetKnown;
    private long nowMs;
    private Phase phase = Phase.READING;
    private int awaitedMachines;
    private int expectedMachines;
    private long phaseSinceMs;
    private int maxAwaitedMachines;

    /**
     * Creates an inventory in the phase {@link Phase#READING}.
     *
     * @param maxWaitMs how long each machine is awaited, see {@link #reconnectTimeMs}
     */
    public Inventory(StoreView view, long maxWaitMs) {
        this.view = view;
        this.maxWaitMs = maxWaitMs;
    }

    /**
     * Returns how long a worker that lost its controller may need until its report reaches its new owner, in ms.
     *
     * @param reportMs the workers' mean report interval; a single interval may be a quarter longer
     * @param controllers how many controllers a worker may have to try until it finds its owner
     */
    public static long reconnectTimeMs(long reportMs, int controllers) {
        return reportMs * 5 / 4
                + Settings.WORKER_RESPONSE_TIMEOUT_MS
                + Settings.WORKER_RETRY_DELAY_MS * (controllers + 1);
    }

    /**
     * Updates the expected machines and the phase.
     *
     * @param loaded whether the rows of the state service are read
     * @param evidence what the published status of a machine shows
     * @param gone whether a machine is known to be gone
     * @param listed machines that the cloud lists as running although no status of them is published
     */
    public void update(
            long now,
            boolean loaded,
            Function<String, MachineEvidence> evidence,
            Predicate<String> gone,
            Iterable<String> listed) {
        this.nowMs = now;
        if (!loaded) {
            enterPhase(Phase.READING, now);
            return;
        }
        Map<String, Long> previouslyOpen = Map.copyOf(openSinceMs);
        openSinceMs.clear();
        expectedMachines = 0;
        if (confirmed.size() > MAX_CONFIRMED) {
            // Most of these machines no longer exist; those that do are added again by this update.
            confirmed.clear();
        }
        for (String machine : view.claimedMachines()) {
            expectMachine(machine, evidence, gone, previouslyOpen, now);
        }
        for (String machine : listed) {
            expectMachine(machine, evidence, gone, previouslyOpen, now);
        }
        awaitedMachines = 0;
        for (long openAtMs : openSinceMs.values()) {
            awaitedMachines += now - openAtMs < maxWaitMs ? 1 : 0;
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
            Function<String, MachineEvidence> evidence,
            Predicate<String> gone,
            Map<String, Long> previouslyOpen,
            long now) {
        expectedMachines++;
        MachineEvidence shown = evidence.apply(machine);
        if (shown == MachineEvidence.NONE) {
            confirmed.remove(machine);
        }
        if (shown == MachineEvidence.CONFIRMED) {
            confirmed.add(machine);
        } else if (!confirmed.contains(machine) && !gone.test(machine)) {
            openSinceMs.put(machine, previouslyOpen.getOrDefault(machine, now));
        }
    }

    private void enterPhase(Phase next, long now) {
        if (next == phase) {
            return;
        }
        if (phase == Phase.READING || phase == Phase.HEARING) {
            fleetKnownFromMs = now + MAX_PLAN_AGE_MS;
        }
        wasFleetKnown = next != Phase.READING && (wasFleetKnown || next != Phase.HEARING);
        if (phase == Phase.HEARING && maxAwaitedMachines >= MIN_LOGGED_MACHINES) {
            LOG.info(
                    "recovery: {} machines were waited for, {} of them in vain, for {} ms; {} losses to be written",
                    maxAwaitedMachines,
                    openSinceMs.size(),
                    now - phaseSinceMs,
                    view.releasedClaimCount());
        }
        if (next == Phase.HEARING) {
            maxAwaitedMachines = awaitedMachines;
        }
        phase = next;
        phaseSinceMs = now;
    }

    /** Returns the phase as of the last update. */
    public Phase phase() {
        return phase;
    }

    /** Whether the fleet is known well enough to decide on renting, returning or emptying machines. */
    public boolean isFleetKnown() {
        return nowMs >= fleetKnownFromMs && (phase == Phase.RESTORING || phase == Phase.ORDINARY);
    }

    /**
     * Whether the fleet was known at some time since the rows were read. Preemption is allowed from then on. When it
     * was also held back at each restart of another controller, gangs started late that otherwise always found
     * capacity.
     */
    public boolean wasFleetKnown() {
        return wasFleetKnown;
    }

    /** Returns the number of expected machines that are still awaited. */
    public int awaitedMachines() {
        return awaitedMachines;
    }
}
