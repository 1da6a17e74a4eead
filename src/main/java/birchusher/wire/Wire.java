package birchusher.wire;

import birchusher.core.Fields.InvalidInputException;
import birchusher.model.Priority;
import birchusher.model.Shape;

/** Every name of the outside protocols. Nothing else in the code spells them. */
public final class Wire {
    public static final String ID_PREFIX = "wk-";
    // paths
    public static final String RUNS = "/v2/runs";
    public static final String WITHDRAW = "/withdraw";
    public static final String DESCRIBE = "/describe";
    public static final String TEAMS = "/v2/teams";
    public static final String PROGRAMS = "/v2/programs/";
    public static final String DESCRIPTIONS = "/v2/descriptions/";
    public static final String TASK_LOGS = "/v2/logs/";
    public static final String HOSTS = "/v2/machines";
    public static final String AGENTS = "/v2/agents";
    public static final String GANGS = "/v2/gangs";
    public static final String READY = "/ready";
    public static final String HELLO = "/hello";
    public static final String DO = "/do";
    public static final String SHOW = "/show";
    public static final String MACHINE_TYPES = "/machine_types";
    public static final String RENTALS = "/rentals";
    public static final String RENTALS_DELETE = "/rentals/delete";
    public static final String STORE = "/store";
    public static final String MULTI = "/multi";
    public static final String LEASES = "/leases";
    public static final String EXTEND = "/extend";
    public static final String WATCH = "/watch";
    // fields of jobs
    public static final String ID = "name_id";
    public static final String CLASS = "lane";
    public static final String TEAM = "crew";
    public static final String SHAPE = "shape";
    public static final String PRIORITY = "rank";
    public static final String TASKS = "pieces";
    public static final String CPUS = "cores";
    public static final String GPUS = "cards";
    public static final String MEM = "memory_gb";
    public static final String IMAGE = "bundle";
    public static final String IMAGE_GB = "size_gb";
    public static final String TYPES = "builds";
    public static final String ZONE = "grove";
    public static final String ONE_ZONE = "one_zone";
    public static final String SPREAD = "scatter";
    public static final String SPOT = "loaners";
    public static final String ESTIMATE = "expect_s";
    public static final String CHECKPOINT = "mark_every_s";
    public static final String SAVE = "mark_take_s";
    public static final String DEADLINE = "due_s";
    public static final String STATE = "stage";
    public static final String DONE = "done";
    public static final String RUNNING = "running";
    public static final String QUEUED = "queued";
    public static final String CANCELLED = "cancelled";
    // fields of workers
    public static final String MACHINE = "host";
    public static final String ADDR = "address";
    public static final String TYPE = "build";
    public static final String SESSION = "tenure";
    public static final String SEQ = "tick";
    public static final String TOKEN = "baton";
    public static final String NOTICE = "recall_s";
    public static final String TASK = "piece";
    public static final String ATTEMPT = "try";
    public static final String WHY = "cause";
    public static final String SAVED = "kept";
    public static final String COMMANDS = "orders";
    public static final String OP = "verb";
    public static final String START = "start";
    public static final String STOP = "stop";
    public static final String FORGET = "reap";
    public static final String GRACE = "wind_down_s";
    public static final String REPORT_TO = "usher";
    // fields of the cloud
    public static final String REQUEST = "ask";
    public static final String COUNT = "how_many";
    public static final String MACHINES = "hosts";
    public static final String AFTER = "since";
    public static final String LIMIT = "page";
    public static final String MORE = "has_next";
    public static final String AGE = "age_s";
    /** Fields of a machine type, in the order that {@code Catalog.type} expects. */
    public static final String[] TYPE_FIELDS = {
        "name", CPUS, GPUS, MEM, "cache_gb", "fetch_gb_per_s", "hourly", "market_price", "groves", "ready_s"
    };

    public static final String TYPE_LIST = "builds";
    // fields of the state service
    public static final String REVISION = "epoch";
    public static final String VERSION = "stamp";
    public static final String LEASE = "hold";
    public static final String TTL = "life_ms";
    public static final String KEY = "path";
    public static final String VALUE = "value";
    public static final String PREFIX = "under";
    public static final String ITEMS = "rows";
    public static final String IF = "if";
    public static final String THEN = "writes";
    public static final String PUT = "set";
    public static final String DELETE = "remove";
    public static final String EVENTS = "events";
    public static final String FAILED = "failed";

    private Wire() {}

    public static Shape shape(String s) {
        return switch (s) {
            case "sweep" -> Shape.ARRAY;
            case "gang" -> Shape.GANG;
            case "standing" -> Shape.SERVICE;
            default -> throw new InvalidInputException(SHAPE + ": unknown");
        };
    }

    public static String of(Shape s) {
        return switch (s) {
            case ARRAY -> "sweep";
            case GANG -> "gang";
            case SERVICE -> "standing";
        };
    }

    public static Priority priority(String s) {
        return switch (s) {
            case "production" -> Priority.PRODUCTION;
            case "urgent" -> Priority.HIGH;
            case "standard" -> Priority.NORMAL;
            case "low" -> Priority.LOW;
            default -> throw new InvalidInputException(PRIORITY + ": unknown");
        };
    }

    public static String of(Priority p) {
        return switch (p) {
            case PRODUCTION -> "production";
            case HIGH -> "urgent";
            case NORMAL -> "standard";
            case LOW -> "low";
        };
    }
}
