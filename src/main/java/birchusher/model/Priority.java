package birchusher.model;

/** Highest first, so that {@code ordinal} orders them. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW
}
