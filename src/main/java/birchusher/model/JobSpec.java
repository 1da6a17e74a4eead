package birchusher.model;

import java.util.Map;

/**
 * A job as submitted, with names as indices of {@link Catalog}.
 *
 * @param id unique id of the job
 * @param jobClass class of the job, for objectives and statistics
 * @param team team that the job counts for
 * @param shape how its tasks belong together
 * @param priority priority of its tasks
 * @param tasks number of tasks
 * @param cpus cpus of each task
 * @param gpus gpus of each task
 * @param memoryGb memory of each task
 * @param image image that its tasks run
 * @param imageGb size of the image
 * @param allowedTypes machine types that its tasks may use; null: any
 * @param zone zone of all tasks; -1: any
 * @param oneZone whether all tasks have to be in the same zone
 * @param spread whether tasks have to be spread over zones, see {@link #maxTasksPerZone}
 * @param allowsSpot whether its tasks may run on spot machines
 * @param estimateS estimated run time of a task
 * @param checkpointIntervalS time between checkpoints; 0: none
 * @param checkpointWriteS time that writing a checkpoint takes
 * @param deadlineS time after submission by which the job should be complete; 0: none
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

    /** Whether its tasks resume from checkpoints. */
    public boolean isCheckpointed() {
        return checkpointIntervalS > 0;
    }

    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** Whether its tasks may use a machine type. */
    public boolean allowsType(int type) {
        if (allowedTypes == null) {
            return true;
        }
        for (int allowed : allowedTypes) {
            if (allowed == type) {
                return true;
            }
        }
        return false;
    }

    /** Maximum number of tasks in one zone: half of them, rounded up, if they are spread, otherwise all. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /**
     * Whether the zone rules allow one more task in a zone.
     *
     * @param tasksByZone number of the job's tasks in each zone; zones without tasks are absent
     */
    public boolean allowsZone(Map<Integer, Integer> tasksByZone, int taskZone) {
        if (zone >= 0 && zone != taskZone) {
            return false;
        }
        if (oneZone && !tasksByZone.isEmpty() && !tasksByZone.containsKey(taskZone)) {
            return false;
        }
        return !spread || tasksByZone.getOrDefault(taskZone, 0) < maxTasksPerZone();
    }

    /** Whether it is a gang of several tasks, where ending one task means ending all of them. */
    public boolean isMultiTaskGang() {
        return isGang() && tasks > 1;
    }

    /**
     * Whether a task of this job may be preempted for another job. It may if its priority is lower, unless this job is
     * within its team's guarantee and the other job is neither guaranteed nor production; or if it is beyond its team's
     * guarantee, not production, and the other job is guaranteed and of another team. Tasks of gangs of several tasks
     * are never preempted. Preempting one replica for another gains nothing and once went on for minutes.
     *
     * @param guaranteed whether this job lies within its team's guarantee
     * @param guaranteedOther whether the other job does
     */
    public boolean preemptibleBy(JobSpec other, boolean guaranteed, boolean guaranteedOther) {
        boolean lowerPriority = priority.compareTo(other.priority) > 0
                && (other.priority == Priority.PRODUCTION || guaranteedOther || !guaranteed);
        boolean beyondGuarantee =
                guaranteedOther && !guaranteed && priority != Priority.PRODUCTION && team != other.team;
        return (lowerPriority || beyondGuarantee) && !isMultiTaskGang();
    }
}
