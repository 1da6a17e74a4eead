package birchusher.workers;

import java.util.List;

/**
 * What an owner publishes about a machine, for drivers and the autoscaler. Only a hint: the owner checks every offer.
 * {@code silentMs} is 0 while reports come as they should; {@code idleSince} is our steady time, -1 while it has work. {@code reserved}: tasks whose
 * claims are awaited. {@code arriving}: reports, and will be usable as soon as its worker shows that it hears its owner.
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
        List<String> reservedTasks) {}
