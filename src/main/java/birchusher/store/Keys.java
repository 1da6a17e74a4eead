package birchusher.store;

/** The rows in the state service. Live rows are followed by every controller, ended ones are looked up. */
public final class Keys {
    public static final String ALL = "b/";
    public static final String LIVE = "b/live/";
    public static final String JOB = "b/live/job/";
    public static final String PLACE = "b/live/place/";
    public static final String GATE = "b/live/gate/";
    public static final String SEAT = "b/live/seat/";
    public static final String SHARD = "b/live/shard/";
    public static final String TERM = "b/live/term";
    public static final String BUYER = "b/live/buyer";
    public static final String ASK = "b/live/ask/";
    public static final String TYPES = "b/live/types";
    public static final String END = "b/end/";

    private Keys() {}

    public static String place(String job, int chunk) {
        return PLACE + job + "/" + chunk;
    }
}
