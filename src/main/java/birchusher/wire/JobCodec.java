package birchusher.wire;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.core.NameIndex;
import birchusher.model.Catalog;
import birchusher.model.JobSpec;
import birchusher.model.Priority;
import birchusher.model.Shape;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Converts between job specs and their wire form, which submissions and the rows of the state service share. */
public final class JobCodec {
    private static final int MAX_ID_LENGTH = 64;
    private static final int MAX_TASKS = 100_000;

    private final Catalog catalog;

    public JobCodec(Catalog catalog) {
        this.catalog = catalog;
    }

    /** A well-formed job that can never run, for example because its team is unknown. */
    public static final class UnrunnableJobException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public UnrunnableJobException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Returns whether a string has the form of a job id: the prefix, then letters, digits, - and _, at most 64
     * characters in all.
     */
    public static boolean isJobId(String id) {
        if (!id.startsWith(Wire.JOB_ID_PREFIX)
                || id.length() > MAX_ID_LENGTH
                || id.length() == Wire.JOB_ID_PREFIX.length()) {
            return false;
        }
        for (int i = Wire.JOB_ID_PREFIX.length(); i < id.length(); i++) {
            char character = id.charAt(i);
            if (!(character >= '0' && character <= '9'
                    || character >= 'a' && character <= 'z'
                    || character >= 'A' && character <= 'Z'
                    || character == '-'
                    || character == '_')) {
                return false;
            }
        }
        return true;
    }

    /**
     * Decodes a submission. Unknown machine types are left out, so that users cannot fill the name table.
     *
     * @throws InvalidInputException if a field is missing or invalid
     * @throws UnrunnableJobException if the team or the zone is unknown
     */
    public JobSpec decodeSubmission(Map<String, Object> fields) {
        return decode(fields, catalog.typeNames::find);
    }

    /**
     * Decodes a row of the state service. A starting controller reads rows before it has read the machine types, so
     * unknown type names are added to the name table: if they were left out, a job that names its types would fit no
     * machine until the next restart.
     */
    public JobSpec decodeRow(Map<String, Object> fields) {
        return decode(fields, catalog.typeNames::add);
    }

    private JobSpec decode(Map<String, Object> fields, ToIntFunction<String> typeIndex) {
        String id = Fields.text(fields, Wire.ID);
        if (!isJobId(id)) {
            throw new InvalidInputException(Wire.ID + ": not a job id");
        }
        Shape shape = Wire.parseShape(Fields.text(fields, Wire.SHAPE));
        Priority priority = Wire.parsePriority(Fields.text(fields, Wire.PRIORITY));
        long tasks = Fields.count(fields, Wire.TASKS);
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new InvalidInputException(Wire.TASKS + ": outside 1 to " + MAX_TASKS);
        }
        double cpus = Fields.amount(fields, Wire.CPUS);
        double gpus = Fields.amount(fields, Wire.GPUS);
        double memoryGb = Fields.amount(fields, Wire.MEMORY_GB);
        String jobClass = Fields.text(fields, Wire.JOB_CLASS);
        String teamName = Fields.text(fields, Wire.TEAM);
        String imageName = Fields.text(fields, Wire.IMAGE);
        double imageGb = Fields.amount(fields, Wire.IMAGE_GB);
        List<String> typeNames = null;
        if (fields.get(Wire.ALLOWED_TYPES) != null) {
            typeNames = new ArrayList<>();
            for (Object item : Fields.list(fields, Wire.ALLOWED_TYPES)) {
                if (!(item instanceof String type)) {
                    throw new InvalidInputException(Wire.ALLOWED_TYPES + ": not a string");
                }
                typeNames.add(type);
            }
        }
        String zoneName = Fields.textOrNull(fields, Wire.ZONE);
        boolean oneZone = Fields.flag(fields, Wire.ONE_ZONE);
        boolean spread = Fields.flag(fields, Wire.SPREAD);
        boolean spot = Fields.flag(fields, Wire.SPOT);
        double estimateS = Fields.amount(fields, Wire.ESTIMATE_S);
        double checkpointIntervalS = Fields.amount(fields, Wire.CHECKPOINT_INTERVAL_S);
        double checkpointWriteS = Fields.amount(fields, Wire.CHECKPOINT_WRITE_S);
        double deadlineS = Fields.amountOr(fields, Wire.DEADLINE_S, 0);
        int team = catalog.teams.find(teamName);
        if (team == NameIndex.NONE) {
            throw new UnrunnableJobException("unknown team");
        }
        int zone = NameIndex.NONE;
        if (zoneName != null) {
            zone = catalog.zones.find(zoneName);
            if (zone == NameIndex.NONE) {
                throw new UnrunnableJobException("unknown zone");
            }
        }
        int[] allowedTypes = null;
        if (typeNames != null) {
            allowedTypes = typeNames.stream()
                    .mapToInt(typeIndex)
                    .filter(i -> i != NameIndex.NONE)
                    .toArray();
        }
        return new JobSpec(
                id,
                catalog.classes.add(jobClass),
                team,
                shape,
                priority,
                (int) tasks,
                cpus,
                gpus,
                memoryGb,
                catalog.images.add(imageName),
                imageGb,
                allowedTypes,
                zone,
                oneZone,
                spread,
                spot,
                estimateS,
                checkpointIntervalS,
                checkpointWriteS,
                deadlineS);
    }

    /** Encodes a spec; fields without a value are left out. */
    public Map<String, Object> encode(JobSpec job) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(Wire.ID, job.id());
        fields.put(Wire.JOB_CLASS, catalog.classes.name(job.jobClass()));
        fields.put(Wire.TEAM, catalog.teams.name(job.team()));
        fields.put(Wire.SHAPE, Wire.wireName(job.shape()));
        fields.put(Wire.PRIORITY, Wire.wireName(job.priority()));
        fields.put(Wire.TASKS, job.tasks());
        fields.put(Wire.CPUS, job.cpus());
        fields.put(Wire.GPUS, job.gpus());
        fields.put(Wire.MEMORY_GB, job.memoryGb());
        fields.put(Wire.IMAGE, catalog.images.name(job.image()));
        fields.put(Wire.IMAGE_GB, job.imageGb());
        if (job.allowedTypes() != null) {
            List<String> names = new ArrayList<>();
            for (int type : job.allowedTypes()) {
                names.add(catalog.typeNames.name(type));
            }
            fields.put(Wire.ALLOWED_TYPES, names);
        }
        if (job.zone() >= 0) {
            fields.put(Wire.ZONE, catalog.zones.name(job.zone()));
        }
        fields.put(Wire.ONE_ZONE, job.oneZone());
        fields.put(Wire.SPREAD, job.spread());
        fields.put(Wire.SPOT, job.allowsSpot());
        fields.put(Wire.ESTIMATE_S, job.estimateS());
        fields.put(Wire.CHECKPOINT_INTERVAL_S, job.checkpointIntervalS());
        fields.put(Wire.CHECKPOINT_WRITE_S, job.checkpointWriteS());
        if (job.deadlineS() > 0) {
            fields.put(Wire.DEADLINE_S, job.deadlineS());
        }
        return fields;
    }
}
