package birchusher.model;

/** How a job's tasks belong together. */
public enum Shape {
    ARRAY,
    GANG,
    SERVICE
}
