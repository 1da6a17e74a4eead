package birchusher.workers;

import birchusher.core.Effect.Destination;
import birchusher.core.Effects;
import birchusher.membership.Membership;
import birchusher.wire.Wire;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Handles reports of workers whose shard another controller owns: redirects them to that owner. If several come back, or one comes back twice,
 * and one of them answers a probe, they can't reach their owner, and the shard is taken over. Not thread-safe: called on the controller's thread.
 */
final class OwnerRedirect {
    /** Time-out of a probe; within this time at most one worker of a shard is probed. */
    private static final int PROBE_TIMEOUT_MS = 3_000;
    /**
     * If at least {@link #MIN_LOST_WORKERS} workers of a shard, and at least one in {@link #LOST_WORKERS_DIVISOR}, report here within this time,
     * they have lost their owner together.
     */
    private static final long LOST_OWNER_WINDOW_MS = 8_000;
    /** Three heartbeats: after this time a crashed owner is no longer connected, and its shards are taken over in the ordinary way. */
    private static final long OWNER_CRASH_DETECTION_MS = 1_500;

    private static final int MIN_LOST_WORKERS = 3;
    private static final int LOST_WORKERS_DIVISOR = 10;
    /** A worker redirected to the same owner again within this time is still trying to reach it. */
    private static final long REDIRECT_MEMORY_MS = 15_000;

    private static final int MAX_REDIRECTED = 5_000;
    private static final int RETRY_AFTER_S = 1;

    /** When a worker was first and last redirected to one owner, in ms of the steady clock. */
    private record Redirect(long firstAtMs, long lastAtMs) {}

    private final Effects effects;
    private final Membership membership;
    private final MachineStatusExchange statusExchange;
    /** Per shard: until when a probe of one of its workers is in flight. */
    private final Map<Integer, Long> probeUntilMs = new HashMap<>();
    /** Per shard: machines that its owner publishes and that recently reported here nevertheless, and when they first did. */
    private final Map<Integer, Map<String, Long>> workersThatLostOwner = new HashMap<>();

    private final Map<String, Redirect> redirects = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Redirect> eldest) {
            return size() > MAX_REDIRECTED;
        }
    };

    OwnerRedirect(Effects effects, Membership membership, MachineStatusExchange statusExchange) {
        this.effects = effects;
        this.membership = membership;
        this.statusExchange = statusExchange;
    }

    /** Answers a report of a worker whose shard another controller owns: 421 naming the owner, or 503 while no owner is known to be alive. */
    void redirect(long exchange, Report report, int shard) {
        int owner = membership.aliveOwner(shard);
        if (owner <= 0) {
            membership.onWorkerWithoutOwner(shard);
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
            return;
        }
        long now = effects.now();
        // Counted per owner: a redirect to one that has crashed since says nothing about the one that took the shard
        // over.
        Redirect redirect = redirects.compute(
                report.machine() + "@" + owner,
                (key, old) -> new Redirect(
                        old == null || now - old.lastAtMs > REDIRECT_MEMORY_MS ? now : old.firstAtMs, now));
        if (severalLostOwner(shard, owner, report.machine(), now)
                || now - redirect.firstAtMs > PROBE_TIMEOUT_MS && isSilent(report.machine())) {
            // After its redirect the worker could not report to the owner and is back; where connections are refused
            // at once, it is back after a second each time.
            probe(shard, report);
        }
        effects.answer(exchange, 421, Map.of(Wire.REPORT_TO, membership.memberName(owner)));
    }

    /** Whether no connected owner publishes a machine as reachable. */
    private boolean isSilent(String machine) {
        MachineStatus status = statusExchange.statuses().get(machine);
        return status == null || status.silentMs() > 0;
    }

    /**
     * Whether several workers of a shard have lost their connected owner. Workers that their owner publishes report here only if it does not
     * answer them. A single one may be an exception. Several, while the owner is connected and was not just restarted, need not be
     * redirected until their second failure: where leases are short, that was too late for all of them.
     */
    private boolean severalLostOwner(int shard, int owner, String machine, long now) {
        if (statusExchange.statuses().get(machine) == null) {
            return false;
        }
        Map<String, Long> reportedHere = workersThatLostOwner.computeIfAbsent(shard, key -> new HashMap<>());
        reportedHere.values().removeIf(firstAtMs -> now - firstAtMs > LOST_OWNER_WINDOW_MS);
        reportedHere.putIfAbsent(machine, now);
        if (reportedHere.size() < MIN_LOST_WORKERS || !membership.isConnectedFor(owner, LOST_OWNER_WINDOW_MS)) {
            return false;
        }
        long oldestMs = Collections.min(reportedHere.values());
        long published = statusExchange.statuses().values().stream()
                .filter(status -> status.shard() == shard)
                .count();
        return now - oldestMs >= OWNER_CRASH_DETECTION_MS && reportedHere.size() * LOST_WORKERS_DIVISOR >= published;
    }

    /**
     * Asks a worker for its report, and if it answers, reports its shard's owner as unreachable. A worker that does not receive responses also
     * tries all controllers in turn, and duplicates of old reports arrive too; neither may move a shard, with all of its workers, to this
     * controller. Only a worker that is alive and receives requests from here answers the probe.
     */
    private void probe(int shard, Report report) {
        if (effects.now() < probeUntilMs.getOrDefault(shard, 0L)) {
            return;
        }
        probeUntilMs.put(shard, effects.now() + PROBE_TIMEOUT_MS);
        effects.call(
                Destination.WORKER,
                report.address(),
                "GET",
                Wire.WORKER_STATUS,
                null,
                PROBE_TIMEOUT_MS,
                (status, body) -> {
                    if (status != 200) {
                        return;
                    }
                    Report answer = Report.read(body);
                    // The report was the worker's last message or one shortly before: not a duplicate that was long
                    // delayed.
                    if (answer.machine().equals(report.machine())
                            && answer.session() == report.session()
                            && answer.seq() <= report.seq() + 2) {
                        membership.onOwnerUnreachable(shard);
                    }
                });
    }
}
