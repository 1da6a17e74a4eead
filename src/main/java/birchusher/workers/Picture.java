package birchusher.workers;

/** What an owner publishes about a machine, for drivers and the buyer. Only a hint: the owner checks every offer. */
public record Picture(String machine, int type, int zone, boolean spot, long session, int shard, boolean usable,
        boolean condemned, boolean leaving, int silentMs, int noticeMs, int idleMs, double speed, double[] strayUse,
        int[] fetching, int[] images) {
}
