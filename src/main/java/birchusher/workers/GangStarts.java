package birchusher.workers;

import birchusher.core.Effects;
import birchusher.lease.GangStart;
import birchusher.lease.GangStart.Fetch;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.settings.Settings;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the start of a gang's task while other machines of the gang, as their owners publish them, would keep it waiting for longer than workers
 * allow. A start that is sent all the same ends with its attempt, and the next attempt is placed on the same machines. Not
 * thread-safe: called on the controller's thread.
 */
final class GangStarts {
    private final Effects effects;
    private final Catalog catalog;
    private final MachineStatusExchange statusExchange;
    private final GangStart gangStart;

    GangStarts(Effects effects, Settings settings, Catalog catalog, MachineStatusExchange statusExchange) {
        this.effects = effects;
        this.catalog = catalog;
        this.statusExchange = statusExchange;
        gangStart = new GangStart(settings.gangWaitTimeoutS() * 1000);
    }

    /**
     * Returns whether the start of a task that is claimed on a machine is to be held; always false if its job is no gang of several tasks or the
     * machine has to fetch the image.
     */
    boolean isHeld(Machine machine, Claim claim) {
        Job job = claim.job();
        if (!job.spec.isMultiTaskGang() || !machine.cachedImages.contains(job.spec.image())) {
            return false;
        }
        Map<String, Fetch> fetches = new HashMap<>();
        for (Chunk chunk : job.chunks) {
            if (chunk != null) {
                for (Claim other : chunk.claims.values()) {
                    fetches.computeIfAbsent(other.machine(), name -> fetch(name, job.spec));
                }
            }
        }
        fetches.remove(machine.name);
        return !gangStart.mayStart(fetches.values(), effects.now() - claim.seenAtMs());
    }

    /** The fetch of a job's image on a machine; none if the machine's status or type is not known. */
    private Fetch fetch(String machine, JobSpec spec) {
        MachineStatus status = statusExchange.statuses().get(machine);
        Catalog.MachineType type = status == null ? null : catalog.type(status.type());
        if (type == null || status.hasImage(spec.image())) {
            return Fetch.NONE;
        }
        double fullMs = type.fetchMs(spec);
        int concurrentFetches = status.fetchingImages().length / 2;
        for (int i = 0; i < status.fetchingImages().length; i += 2) {
            if (status.fetchingImages()[i] == spec.image()) {
                return new Fetch(fullMs, Math.min(fullMs, status.fetchingImages()[i + 1]), concurrentFetches);
            }
        }
        return new Fetch(fullMs, fullMs, concurrentFetches + 1);
    }
}
