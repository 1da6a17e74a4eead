package birchusher.workers;

import java.util.List;

/**
 * What an owner publishes about a machine, for job schedulers and the autoscaler. Only a hint: the owner checks every offer.
 *
 * @param machine name of the machine
 * @param type index of its type in the catalog
 * @param zone index of its zone in the catalog
 * @param spot whether the cloud may take it back
 * @param session session of its worker
 * @param shard shard that it belongs to
 * @param usable whether it may get tasks
 * @param pendingConfirmation whether it reports and becomes usable as soon as its worker shows that it receives its owner's responses
 * @param faulty whether it is to be returned because tasks of different jobs failed on it
 * @param beingReturned whether it is to be returned to the cloud
 * @param silentMs for how long it has been silent or does not show that it receives responses; 0 while all is well
 * @param idleSinceMs since when it has had no tasks, by the steady clock of this controller; -1: it has tasks
 * @param speed its speed, 1: as estimated
 * @param unclaimedUse CPUs, GPUs and memory in GB used by tasks without a claim
 * @param fetchingImages pairs of an image being fetched and the expected remaining time in ms
 * @param cachedImages images in its cache, most recently used first
 * @param reservedTasks keys of the tasks that capacity is reserved for until their claims are made
 */
public record MachineStatus(
        String machine,
        int type,
        int zone,
        boolean spot,
        long session,
        int shard,
        boolean usable,
        boolean pendingConfirmation,
        boolean faulty,
        boolean beingReturned,
        int silentMs,
        long idleSinceMs,
        double speed,
        double[] unclaimedUse,
        int[] fetchingImages,
        int[] cachedImages,
        List<String> reservedTasks) {
    /** Returns whether an image is in the machine's cache. */
    boolean hasImage(int image) {
        for (int cached : cachedImages) {
            if (cached == image) {
                return true;
            }
        }
        return false;
    }
}
