package birchusher.placement;

import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.workers.MachineStatus;

/** Room on a machine as a planner sees it; virtual slots stand for machines that are booting or room about to free. */
public final class Slot {
    /** In how many ms the worker of a machine that reports has mostly shown that it hears its owner. */
    private static final long REGISTRATION_DELAY_MS = 1_000;

    /** Of room that no driver can offer yet. */
    private static final int NO_SHARD = -1;

    final String machine;
    final Catalog.MachineType type;
    final int zone;
    final boolean spot;
    final long session;
    final int shard;
    final double speed;
    final int[] fetching;
    final int[] images;
    /** In how many ms the room is there; 0: now. */
    final long etaMs;

    final boolean available;
    double freeCpus;
    double freeGpus;
    double freeMemoryGb;
    /** Image planned here in this pass, so that several tasks of one image count one fetch. */
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
            int[] fetching,
            int[] images,
            long etaMs,
            boolean real,
            double cpus,
            double gpus,
            double mem) {
        this.machine = machine;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.session = session;
        this.shard = shard;
        this.speed = speed;
        this.fetching = fetching;
        this.images = images;
        this.etaMs = etaMs;
        this.available = real;
        this.freeCpus = cpus;
        this.freeGpus = gpus;
        this.freeMemoryGb = mem;
    }

    /**
     * A machine that has reported and is not usable yet counts like one that boots: between its first report and the evidence that its
     * worker hears its owner, its room stood nowhere, and another machine was rented for the same task.
     *
     * @param used cpus, gpus and memory of the claims on it
     */
    public static Slot ofArrivingMachine(MachineStatus status, Catalog.MachineType type, double[] used) {
        double[] stray = status.unclaimedUse();
        double[] free = {
            type.cpus() - used[0] - stray[0], type.gpus() - used[1] - stray[1], type.memoryGb() - used[2] - stray[2]
        };
        return of(status, type, NO_SHARD, REGISTRATION_DELAY_MS, false, free);
    }

    /**
     * Room on a machine that its owner tells of.
     *
     * @param free cpus, gpus and memory
     */
    public static Slot of(
            MachineStatus status, Catalog.MachineType type, int shard, long etaMs, boolean real, double[] free) {
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
                real,
                free[0],
                free[1],
                free[2]);
    }

    public boolean allows(JobSpec j) {
        return j.allowsType(type.index()) && (j.zone() < 0 || j.zone() == zone) && (!spot || j.allowsSpot());
    }

    public boolean fits(JobSpec j) {
        return j.cpus() <= freeCpus + Catalog.EPSILON
                && j.gpus() <= freeGpus + Catalog.EPSILON
                && j.memoryGb() <= freeMemoryGb + Catalog.EPSILON;
    }

    public void allocate(JobSpec j) {
        freeCpus -= j.cpus();
        freeGpus -= j.gpus();
        freeMemoryGb -= j.memoryGb();
        if (!hasImage(j.image())) {
            plannedImage = j.image();
            plannedFetches++;
        }
    }

    /** How much of the machine is free, by what is used most. */
    public double freeShare() {
        return Math.min(freeCpus / type.cpus(), type.gpus() > 0 ? freeGpus / type.gpus() : 1);
    }

    /** What a trial changes. */
    public record Snapshot(
            double freeCpus, double freeGpus, double freeMemoryGb, int plannedImage, int plannedFetches) {}

    public Snapshot snapshot() {
        return new Snapshot(freeCpus, freeGpus, freeMemoryGb, plannedImage, plannedFetches);
    }

    public void restore(Snapshot m) {
        freeCpus = m.freeCpus;
        freeGpus = m.freeGpus;
        freeMemoryGb = m.freeMemoryGb;
        plannedImage = m.plannedImage;
        plannedFetches = m.plannedFetches;
    }

    void release(JobSpec j) {
        freeCpus += j.cpus();
        freeGpus += j.gpus();
        freeMemoryGb += j.memoryGb();
    }

    public String machine() {
        return machine;
    }

    public int zone() {
        return zone;
    }

    /** Whether it stands for a machine that is not up yet: nobody owns it. */
    boolean booting() {
        return !available && shard < 0;
    }

    boolean hasImage(int image) {
        for (int i : images) {
            if (i == image) {
                return true;
            }
        }
        return plannedImage == image;
    }

    /** Ms that a job's image takes to fetch here by itself. */
    private double fetchMs(JobSpec j) {
        return j.imageGb() / type.fetchGbPerS() * 1000;
    }

    /** Ms by which one more image would slow down the fetches already going on here. */
    double fetchSlowdownMs(JobSpec j) {
        if (hasImage(j.image())) {
            return 0;
        }
        double own = fetchMs(j);
        double harm = own * Math.max(0, plannedFetches);
        for (int i = 0; i < fetching.length; i += 2) {
            if (fetching[i] == j.image()) {
                return 0;
            }
            harm += Math.min(own, fetching[i + 1]);
        }
        return harm;
    }

    /** Expected ms until a task with this image could run here. */
    public double startDelayMs(JobSpec j) {
        if (hasImage(j.image())) {
            return etaMs;
        }
        // Images fetched at the same time share the rate.
        double others = 0;
        for (int i = 0; i < fetching.length; i += 2) {
            if (fetching[i] == j.image()) {
                return Math.max(etaMs, fetching[i + 1]);
            }
            others += fetching[i + 1];
        }
        double own = fetchMs(j);
        return etaMs + own * (1 + plannedFetches) + Math.min(others, own * (fetching.length / 2));
    }
}
