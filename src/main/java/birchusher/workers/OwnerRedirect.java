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
 * Reports of workers whose shard another controller owns. They are sent to that owner. Where several come back, or one comes back twice, and
 * one of them answers when asked, they can't reach their owner, and the shard is taken over.
 */
final class OwnerRedirect {
    /** How long a worker may take to show that it hears us; within this a shard's workers are asked once. */
    private static final int PROBE_MS = 3_000;
    /** So many workers of a shard within this time, and at least one in ten, have lost their owner together. */
    private static final long LOST_OWNER_WINDOW_MS = 8_000;
    /** Three heartbeats: an owner that has died is no longer heard by then, and its shards are taken as always. */
    private static final long OWNER_DEATH_DETECTION_MS = 1_500;

    private static final int MIN_LOST_WORKERS = 3;
    private static final int LOST_WORKERS_DIVISOR = 10;
    /** A worker that was sent to the same owner again within this is still on its way there. */
    private static final long REDIRECT_MEMORY_MS = 15_000;

    private static final int MAX_REDIRECTED = 5_000;

    /** Since when, and when last, a worker has been sent to one owner; in ms of the steady clock. */
    private record Redirect(long firstAtMs, long lastAtMs) {}

    private final Effects effects;
    private final Membership membership;
    private final MachineStatusExchange statusExchange;
    /** Per shard: until when a worker that was sent away and is back is being asked whether it hears anybody. */
    private final Map<Integer, Long> probeUntilMs = new HashMap<>();
    /** Per shard: machines that its owner tells of and that lately came here all the same, and when they first did. */
    private final Map<Integer, Map<String, Long>> workersThatLostOwner = new HashMap<>();

    private final Map<String, Redirect> redirects = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Redirect> eldest) {
            return size() > MAX_REDIRECTED;
        }
    };

    OwnerRedirect(Effects effects, Membership membership, MachineStatusExchange book) {
        this.effects = effects;
        this.membership = membership;
        this.statusExchange = book;
    }

    /** Answers a report of a worker whose shard is another controller's: 421 naming the owner, or 503 while none is known to live. */
    void redirect(long exchange, Report report, int shard) {
        int owner = membership.aliveOwner(shard);
        if (owner <= 0) {
            membership.workerWithoutOwner(shard);
            effects.refuseWithRetry(exchange, 503, 1);
            return;
        }
        long now = effects.now();
        // Per owner: having been sent to one that died since says nothing about the one that took its place.
        Redirect sent = redirects.compute(
                report.machine() + "@" + owner,
                (key, old) -> new Redirect(
                        old == null || now - old.lastAtMs > REDIRECT_MEMORY_MS ? now : old.firstAtMs, now));
        if (severalLostOwner(shard, owner, report.machine(), now)
                || now - sent.firstAtMs > PROBE_MS && isSilent(report.machine())) {
            // Sent away, it could not report there, and is back; where connections are refused at once, after a second
            // each time.
            probe(shard, report);
        }
        effects.answer(exchange, 421, Map.of(Wire.REPORT_TO, membership.memberName(owner)));
    }

    /** Whether no owner that lives tells of a machine as one that it hears. */
    private boolean isSilent(String machine) {
        MachineStatus picture = statusExchange.statuses().get(machine);
        return picture == null || picture.silentMs() > 0;
    }

    /**
     * Workers that their owner tells of have no reason to come here but that it does not answer them. One may be odd; several, while the
     * owner is heard of and has not just been restarted, need not be sent back and wait for their second failure: where leases are
     * short, that was too late for all of them.
     */
    private boolean severalLostOwner(int shard, int owner, String machine, long now) {
        if (statusExchange.statuses().get(machine) == null) {
            return false;
        }
        Map<String, Long> here = workersThatLostOwner.computeIfAbsent(shard, key -> new HashMap<>());
        here.values().removeIf(at -> now - at > LOST_OWNER_WINDOW_MS);
        here.putIfAbsent(machine, now);
        if (here.size() < MIN_LOST_WORKERS || !membership.isConnectedFor(owner, LOST_OWNER_WINDOW_MS)) {
            return false;
        }
        long since = Collections.min(here.values());
        long known = statusExchange.statuses().values().stream()
                .filter(picture -> picture.shard() == shard)
                .count();
        return now - since >= OWNER_DEATH_DETECTION_MS && here.size() * LOST_WORKERS_DIVISOR >= known;
    }

    /**
     * A worker that hears nobody wanders over all controllers as well, and copies of old reports come back too: neither must move a
     * shard, with all its workers, to us. Whoever lives and hears us answers when asked.
     */
    private void probe(int shard, Report report) {
        if (effects.now() < probeUntilMs.getOrDefault(shard, 0L)) {
            return;
        }
        probeUntilMs.put(shard, effects.now() + PROBE_MS);
        effects.call(Destination.WORKER, report.address(), "GET", Wire.SHOW, null, PROBE_MS, (status, body) -> {
            if (status != 200) {
                return;
            }
            Report answer = Report.read(body);
            // What came here was its last message, or the one before: no copy that was long on its way.
            if (answer.machine().equals(report.machine())
                    && answer.session() == report.session()
                    && answer.seq() <= report.seq() + 2) {
                membership.ownerUnreachable(shard);
            }
        });
    }
}
