package birchusher.model;

import java.util.Map;

/**
 * A job as submitted, names already indices (see {@link Catalog}). {@code zone} -1: any; {@code types} null: any;
 * {@code deadlineS} 0: none.
 */
public record JobSpec(
        String id,
        int jobClass,
        int team,
        Shape shape,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        int image,
        double imageGb,
        int[] allowedTypes,
        int zone,
        boolean oneZone,
        boolean spread,
        boolean allowsSpot,
        double estimateS,
        double checkpointIntervalS,
        double checkpointWriteS,
        double deadlineS) {

    public boolean isCheckpointed() {
        return checkpointIntervalS > 0;
    }

    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    public boolean isGang() {
        return shape == Shape.GANG;
    }

    public boolean allowsType(int type) {
        if (allowedTypes == null) {
            return true;
        }
        for (int t : allowedTypes) {
            if (t == type) {
                return true;
            }
        }
        return false;
    }

    /** At most this many tasks may be in one zone. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** Whether one more of its tasks may go to a zone by its zone rules, given how many are in each. */
    public boolean allowsZone(Map<Integer, Integer> tasksByZone, int taskZone) {
        if (zone >= 0 && zone != taskZone) {
            return false;
        }
        if (oneZone && !tasksByZone.isEmpty() && !tasksByZone.containsKey(taskZone)) {
            return false;
        }
        return !spread || tasksByZone.getOrDefault(taskZone, 0) < maxTasksPerZone();
    }

    /** A gang of several tasks: to end one is to end all of them. */
    public boolean isMultiTaskGang() {
        return isGang() && tasks > 1;
    }

    /**
     * Whether a task of this may be stopped for another job: of lower priority, but not within its guarantee for what is beyond its
     * own; or beyond its team's guarantee, for another team's guaranteed work. To stop one replica for another gains nothing and
     * once went on for minutes.
     */
    public boolean preemptibleBy(JobSpec o, boolean guaranteed, boolean guaranteedOther) {
        boolean lower = priority.compareTo(o.priority) > 0
                && (o.priority == Priority.PRODUCTION || guaranteedOther || !guaranteed);
        boolean beyond = guaranteedOther && !guaranteed && priority != Priority.PRODUCTION && team != o.team;
        return (lower || beyond) && !isMultiTaskGang();
    }
}
