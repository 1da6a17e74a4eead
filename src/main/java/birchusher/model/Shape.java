package birchusher.model;

/** How a job's tasks belong together: independent, all started at once, or replicas of a service. */
public enum Shape {
    ARRAY,
    GANG,
    SERVICE
}
