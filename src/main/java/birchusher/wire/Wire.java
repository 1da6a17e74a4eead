package birchusher.wire;

import birchusher.core.Fields.InvalidInputException;
import birchusher.model.Priority;
import birchusher.model.Shape;

/**
 * The names of the protocols with users, workers, the cloud and the state service: paths, fields and values. The values
 * are fixed by the protocols; the constants carry the terms used in the code.
 */
public final class Wire {
    public static final String JOB_ID_PREFIX = "wk-";
    // Paths.
    public static final String JOBS = "/v2/runs";
    public static final String CANCEL = "/withdraw";
    public static final String DESCRIBE = "/describe";
    public static final String TEAMS = "/v2/teams";
    public static final String PROGRAMS = "/v2/programs/";
    public static final String DESCRIPTIONS = "/v2/descriptions/";
    public static final String TASK_LOGS = "/v2/logs/";
    public static final String POOL_MACHINES = "/v2/machines";
    public static final String AGENTS = "/v2/agents";
    public static final String GANGS = "/v2/gangs";
    public static final String READY = "/ready";
    public static final String WORKER_REPORTS = "/hello";
    public static final String WORKER_COMMANDS = "/do";
    public static final String WORKER_STATUS = "/show";
    public static final String MACHINE_TYPES = "/machine_types";
    public static final String RENTALS = "/rentals";
    public static final String RENTALS_DELETE = "/rentals/delete";
    public static final String STORE = "/store";
    public static final String TRANSACTIONS = "/multi";
    public static final String LEASES = "/leases";
    public static final String RENEW = "/extend";
    public static final String WATCH = "/watch";
    // Fields and states of jobs.
    public static final String ID = "name_id";
    public static final String JOB_CLASS = "lane";
    public static final String TEAM = "crew";
    public static final String SHAPE = "shape";
    public static final String PRIORITY = "rank";
    public static final String TASKS = "pieces";
    public static final String CPUS = "cores";
    public static final String GPUS = "cards";
    public static final String MEMORY_GB = "memory_gb";
    public static final String IMAGE = "bundle";
    public static final String IMAGE_GB = "size_gb";
    public static final String ALLOWED_TYPES = "builds";
    public static final String ZONE = "grove";
    public static final String ONE_ZONE = "one_zone";
    public static final String SPREAD = "scatter";
    public static final String SPOT = "loaners";
    public static final String ESTIMATE_S = "expect_s";
    public static final String CHECKPOINT_INTERVAL_S = "mark_every_s";
    public static final String CHECKPOINT_WRITE_S = "mark_take_s";
    public static final String DEADLINE_S = "due_s";
    public static final String STATE = "stage";
    public static final String DONE = "done";
    public static final String RUNNING = "running";
    public static final String QUEUED = "queued";
    public static final String CANCELLED = "cancelled";
    // Fields of reports, commands and responses of workers.
    public static final String MACHINE = "host";
    public static final String ADDRESS = "address";
    public static final String TYPE = "build";
    public static final String SESSION = "tenure";
    public static final String SEQUENCE = "tick";
    public static final String FENCING_TOKEN = "baton";
    public static final String RECLAIM_NOTICE_S = "recall_s";
    public static final String TASK = "piece";
    public static final String ATTEMPT = "try";
    public static final String EXIT_REASON = "cause";
    public static final String CHECKPOINT_SAVED = "kept";
    public static final String COMMANDS = "orders";
    public static final String COMMAND_TYPE = "verb";
    public static final String START = "start";
    public static final String STOP = "stop";
    public static final String REAP = "reap";
    public static final String GRACE_S = "wind_down_s";
    public static final String REPORT_TO = "usher";
    // Fields of the cloud, and of lists that come in pages.
    public static final String RENTAL_REQUEST = "ask";
    public static final String COUNT = "how_many";
    public static final String MACHINES = "hosts";
    public static final String AFTER = "since";
    public static final String LIMIT = "page";
    public static final String HAS_MORE = "has_next";
    public static final String AGE_S = "age_s";
    /** Fields of a machine type, in the order that {@code Catalog.type} expects. */
    public static final String[] TYPE_FIELDS = {
        "name", CPUS, GPUS, MEMORY_GB, "cache_gb", "fetch_gb_per_s", "hourly", "market_price", "groves", "ready_s"
    };

    public static final String TYPE_LIST = "builds";
    // Fields of the state service.
    public static final String REVISION = "epoch";
    public static final String VERSION = "stamp";
    public static final String LEASE = "hold";
    public static final String TTL_MS = "life_ms";
    public static final String KEY = "path";
    public static final String VALUE = "value";
    public static final String PREFIX = "under";
    public static final String ROWS = "rows";
    public static final String CONDITIONS = "if";
    public static final String WRITES = "writes";
    public static final String PUT = "set";
    public static final String DELETE = "remove";
    public static final String EVENTS = "events";
    public static final String FAILED_CONDITIONS = "failed";

    private Wire() {}

    /**
     * Returns the shape with a value in the protocols.
     *
     * @throws InvalidInputException if there is none
     */
    public static Shape parseShape(String wireName) {
        return switch (wireName) {
            case "sweep" -> Shape.ARRAY;
            case "gang" -> Shape.GANG;
            case "standing" -> Shape.SERVICE;
            default -> throw new InvalidInputException(SHAPE + ": unknown");
        };
    }

    /** Returns the value of a shape in the protocols. */
    public static String wireName(Shape shape) {
        return switch (shape) {
            case ARRAY -> "sweep";
            case GANG -> "gang";
            case SERVICE -> "standing";
        };
    }

    /**
     * Returns the priority with a value in the protocols.
     *
     * @throws InvalidInputException if there is none
     */
    public static Priority parsePriority(String wireName) {
        return switch (wireName) {
            case "production" -> Priority.PRODUCTION;
            case "urgent" -> Priority.HIGH;
            case "standard" -> Priority.NORMAL;
            case "low" -> Priority.LOW;
            default -> throw new InvalidInputException(PRIORITY + ": unknown");
        };
    }

    /** Returns the value of a priority in the protocols. */
    public static String wireName(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "production";
            case HIGH -> "urgent";
            case NORMAL -> "standard";
            case LOW -> "low";
        };
    }
}
