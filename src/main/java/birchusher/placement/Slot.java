package birchusher.placement;

import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.workers.MachineStatus;

/**
 * Free capacity of a machine during one plan. Virtual slots, not {@link #available}, stand for machines that are
 * booting and for capacity that is expected to become free. Not thread-safe.
 */
public final class Slot {
    /**
     * Time in which the worker of a machine that reports has usually confirmed that it receives its owner's responses.
     */
    private static final long REGISTRATION_DELAY_MS = 1_000;

    /** Shard of capacity that cannot be offered yet. */
    private static final int NO_SHARD = -1;

    final String machine;
    final Catalog.MachineType type;
    final int zone;
    final boolean spot;
    final long session;
    final int shard;
    final double speed;
    /** Pairs of an image being fetched and the time in ms until its fetch ends. */
    final int[] fetchingImages;

    final int[] cachedImages;
    /** Time in ms until the capacity is available; 0 if it is available now. */
    final long etaMs;

    /** Whether the capacity exists now and can be offered. */
    final boolean available;

    double freeCpus;
    double freeGpus;
    double freeMemoryGb;
    /**
     * Image of the last task planned here that has to be fetched; -1 if none. Several tasks of one image count as one
     * fetch.
     */
    int plannedImage = -1;

    int plannedFetches;

    public Slot(
            String machine,
            Catalog.MachineType type,
            int zone,
            boolean spot,
            long session,
            int shard,
            double speed,
            int[] fetchingImages,
            int[] cachedImages,
            long etaMs,
            boolean available,
            double freeCpus,
            double freeGpus,
            double freeMemoryGb) {
        this.machine = machine;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.session = session;
        this.shard = shard;
        this.speed = speed;
        this.fetchingImages = fetchingImages;
        this.cachedImages = cachedImages;
        this.etaMs = etaMs;
        this.available = available;
        this.freeCpus = freeCpus;
        this.freeGpus = freeGpus;
        this.freeMemoryGb = freeMemoryGb;
    }

    /**
     * Virtual slot of a machine that has reported and is not usable yet. It counts like a booting machine: between its
     * first report and its worker's confirmation that it receives its owner's responses, its capacity was counted
     * nowhere, and another machine was rented for the same task.
     *
     * @param used cpus, gpus and memory in GB of the claims on it
     */
    public static Slot ofArrivingMachine(MachineStatus status, Catalog.MachineType type, double[] used) {
        double[] unclaimed = status.unclaimedUse();
        double[] free = {
            type.cpus() - used[0] - unclaimed[0],
            type.gpus() - used[1] - unclaimed[1],
            type.memoryGb() - used[2] - unclaimed[2]
        };
        return of(status, type, NO_SHARD, REGISTRATION_DELAY_MS, false, free);
    }

    /**
     * Slot of a machine whose status its owner publishes.
     *
     * @param etaMs time in ms until the capacity is available
     * @param free cpus, gpus and memory in GB
     */
    public static Slot of(
            MachineStatus status, Catalog.MachineType type, int shard, long etaMs, boolean available, double[] free) {
        return new Slot(
                status.machine(),
                type,
                status.zone(),
                status.spot(),
                status.session(),
                shard,
                status.speed(),
                status.fetchingImages(),
                status.cachedImages(),
                etaMs,
                available,
                free[0],
                free[1],
                free[2]);
    }

    /** Whether the job's constraints on machine type, zone and spot machines admit this machine. */
    public boolean allows(JobSpec spec) {
        return spec.allowsType(type.index())
                && (spec.zone() < 0 || spec.zone() == zone)
                && (!spot || spec.allowsSpot());
    }

    /** Whether the free capacity suffices for one task of the job. */
    public boolean fits(JobSpec spec) {
        return spec.cpus() <= freeCpus + Catalog.EPSILON
                && spec.gpus() <= freeGpus + Catalog.EPSILON
                && spec.memoryGb() <= freeMemoryGb + Catalog.EPSILON;
    }

    /** Allocates one task of the job. Does not check whether it fits. */
    public void allocate(JobSpec spec) {
        freeCpus -= spec.cpus();
        freeGpus -= spec.gpus();
        freeMemoryGb -= spec.memoryGb();
        if (!hasImage(spec.image())) {
            plannedImage = spec.image();
            plannedFetches++;
        }
    }

    /** Free share of the machine, 0 to 1, by the smaller of its cpu and gpu shares. */
    public double freeShare() {
        return Math.min(freeCpus / type.cpus(), type.gpus() > 0 ? freeGpus / type.gpus() : 1);
    }

    /** The state that allocations change, to undo those of a trial. */
    public record Snapshot(
            double freeCpus, double freeGpus, double freeMemoryGb, int plannedImage, int plannedFetches) {}

    public Snapshot snapshot() {
        return new Snapshot(freeCpus, freeGpus, freeMemoryGb, plannedImage, plannedFetches);
    }

    public void restore(Snapshot snapshot) {
        freeCpus = snapshot.freeCpus;
        freeGpus = snapshot.freeGpus;
        freeMemoryGb = snapshot.freeMemoryGb;
        plannedImage = snapshot.plannedImage;
        plannedFetches = snapshot.plannedFetches;
    }

    /** Returns the capacity of one task of the job. */
    void release(JobSpec spec) {
        freeCpus += spec.cpus();
        freeGpus += spec.gpus();
        freeMemoryGb += spec.memoryGb();
    }

    public String machine() {
        return machine;
    }

    public int zone() {
        return zone;
    }

    /** Whether the slot stands for a machine that is not up yet and has no owner. */
    boolean booting() {
        return !available && shard < 0;
    }

    /** Whether the machine has the image, or a task planned here will fetch it. */
    boolean hasImage(int image) {
        for (int present : cachedImages) {
            if (present == image) {
                return true;
            }
        }
        return plannedImage == image;
    }

    /** Time in ms by which fetching the job's image would slow down the fetches in progress here. */
    double fetchSlowdownMs(JobSpec spec) {
        if (hasImage(spec.image())) {
            return 0;
        }
        double ownMs = type.fetchMs(spec);
        double slowdownMs = ownMs * Math.max(0, plannedFetches);
        for (int i = 0; i < fetchingImages.length; i += 2) {
            if (fetchingImages[i] == spec.image()) {
                return 0;
            }
            slowdownMs += Math.min(ownMs, fetchingImages[i + 1]);
        }
        return slowdownMs;
    }

    /** Expected time in ms until a task of the job could start here, with the fetch of its image. */
    public double startDelayMs(JobSpec spec) {
        if (hasImage(spec.image())) {
            return etaMs;
        }
        // Concurrent fetches share the bandwidth.
        double otherFetchesMs = 0;
        for (int i = 0; i < fetchingImages.length; i += 2) {
            if (fetchingImages[i] == spec.image()) {
                return Math.max(etaMs, fetchingImages[i + 1]);
            }
            otherFetchesMs += fetchingImages[i + 1];
        }
        double ownMs = type.fetchMs(spec);
        return etaMs + ownMs * (1 + plannedFetches) + Math.min(otherFetchesMs, ownMs * (fetchingImages.length / 2));
    }
}
