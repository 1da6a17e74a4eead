package birchusher.model;

/** Priority of a job, highest first, as {@code ordinal} and {@code compareTo} order them. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW
}
