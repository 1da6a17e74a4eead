package birchusher.store;

/**
 * Keys and key prefixes of the rows in the state service. Every controller keeps the rows under {@link #LIVE} in its view; the rows of
 * ended jobs are read after them and looked up where they are missing.
 */
public final class Keys {
    public static final String ALL = "b/";
    public static final String LIVE = "b/live/";
    public static final String JOB = "b/live/job/";
    public static final String PLACEMENT = "b/live/place/";
    public static final String QUOTA = "b/live/gate/";
    public static final String MEMBER_LEASE = "b/live/seat/";
    public static final String SHARD = "b/live/shard/";
    public static final String TERM = "b/live/term";
    public static final String AUTOSCALER = "b/live/buyer";
    public static final String RENTAL_REQUEST = "b/live/ask/";
    public static final String MACHINE_TYPES = "b/live/types";
    public static final String ENDED_JOB = "b/end/";

    private Keys() {}

    /** Returns the key of the placement row of a chunk. */
    public static String placement(String job, int chunk) {
        return PLACEMENT + job + "/" + chunk;
    }
}
