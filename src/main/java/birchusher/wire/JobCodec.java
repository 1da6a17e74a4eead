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

/** Submissions to specs and back; the store keeps the same form. */
public final class JobCodec {
    private final Catalog catalog;

    public JobCodec(Catalog catalog) {
        this.catalog = catalog;
    }

    /** A well-formed job that nevertheless can never run, such as one of an unknown team. */
    public static final class UnrunnableJobException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public UnrunnableJobException(String message) {
            super(message, null, false, false);
        }
    }

    public static boolean isJobId(String id) {
        if (!id.startsWith(Wire.JOB_ID_PREFIX) || id.length() > 64 || id.length() == Wire.JOB_ID_PREFIX.length()) {
            return false;
        }
        for (int i = Wire.JOB_ID_PREFIX.length(); i < id.length(); i++) {
            char c = id.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_')) {
                return false;
            }
        }
        return true;
    }

    /** A submission: machine types nobody rents are left out, so that users can't fill the name table. */
    public JobSpec decodeSubmission(Map<String, Object> m) {
        return decodeSubmission(m, catalog.typeNames::find);
    }

    /**
     * A row of the store. A starting controller reads rows before it knows the machine types, so their names are taken as
     * they come: left out, a job that names its types would fit no machine for as long as this process lives.
     */
    public JobSpec decodeRow(Map<String, Object> m) {
        return decodeSubmission(m, catalog.typeNames::add);
    }

    private JobSpec decodeSubmission(Map<String, Object> m, ToIntFunction<String> typeIndex) {
        String id = Fields.text(m, Wire.ID);
        if (!isJobId(id)) {
            throw new InvalidInputException(Wire.ID + ": not a job id");
        }
        Shape shape = Wire.parseShape(Fields.text(m, Wire.SHAPE));
        Priority priority = Wire.parsePriority(Fields.text(m, Wire.PRIORITY));
        long tasks = Fields.count(m, Wire.TASKS);
        if (tasks < 1 || tasks > 100_000) {
            throw new InvalidInputException(Wire.TASKS + ": outside 1 to 100000");
        }
        double cpus = Fields.amount(m, Wire.CPUS);
        double gpus = Fields.amount(m, Wire.GPUS);
        double mem = Fields.amount(m, Wire.MEMORY_GB);
        String cls = Fields.text(m, Wire.JOB_CLASS);
        String teamName = Fields.text(m, Wire.TEAM);
        String image = Fields.text(m, Wire.IMAGE);
        double imageGb = Fields.amount(m, Wire.IMAGE_GB);
        List<String> types = null;
        if (m.get(Wire.ALLOWED_TYPES) != null) {
            types = new ArrayList<>();
            for (Object o : Fields.list(m, Wire.ALLOWED_TYPES)) {
                if (!(o instanceof String s)) {
                    throw new InvalidInputException(Wire.ALLOWED_TYPES + ": not text");
                }
                types.add(s);
            }
        }
        String zoneName = Fields.textOrNull(m, Wire.ZONE);
        boolean oneZone = Fields.flag(m, Wire.ONE_ZONE);
        boolean spread = Fields.flag(m, Wire.SPREAD);
        boolean spot = Fields.flag(m, Wire.SPOT);
        double estimate = Fields.amount(m, Wire.ESTIMATE_S);
        double checkpoint = Fields.amount(m, Wire.CHECKPOINT_INTERVAL_S);
        double save = Fields.amount(m, Wire.CHECKPOINT_WRITE_S);
        double deadline = Fields.amountOr(m, Wire.DEADLINE_S, 0);
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
        int[] typeIdx = null;
        if (types != null) {
            typeIdx = types.stream()
                    .mapToInt(typeIndex)
                    .filter(i -> i != NameIndex.NONE)
                    .toArray();
        }
        return new JobSpec(
                id,
                catalog.classes.add(cls),
                team,
                shape,
                priority,
                (int) tasks,
                cpus,
                gpus,
                mem,
                catalog.images.add(image),
                imageGb,
                typeIdx,
                zone,
                oneZone,
                spread,
                spot,
                estimate,
                checkpoint,
                save,
                deadline);
    }

    public Map<String, Object> encode(JobSpec j) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put(Wire.ID, j.id());
        m.put(Wire.JOB_CLASS, catalog.classes.name(j.jobClass()));
        m.put(Wire.TEAM, catalog.teams.name(j.team()));
        m.put(Wire.SHAPE, Wire.wireName(j.shape()));
        m.put(Wire.PRIORITY, Wire.wireName(j.priority()));
        m.put(Wire.TASKS, j.tasks());
        m.put(Wire.CPUS, j.cpus());
        m.put(Wire.GPUS, j.gpus());
        m.put(Wire.MEMORY_GB, j.memoryGb());
        m.put(Wire.IMAGE, catalog.images.name(j.image()));
        m.put(Wire.IMAGE_GB, j.imageGb());
        if (j.allowedTypes() != null) {
            List<String> names = new ArrayList<>();
            for (int t : j.allowedTypes()) {
                names.add(catalog.typeNames.name(t));
            }
            m.put(Wire.ALLOWED_TYPES, names);
        }
        if (j.zone() >= 0) {
            m.put(Wire.ZONE, catalog.zones.name(j.zone()));
        }
        m.put(Wire.ONE_ZONE, j.oneZone());
        m.put(Wire.SPREAD, j.spread());
        m.put(Wire.SPOT, j.allowsSpot());
        m.put(Wire.ESTIMATE_S, j.estimateS());
        m.put(Wire.CHECKPOINT_INTERVAL_S, j.checkpointIntervalS());
        m.put(Wire.CHECKPOINT_WRITE_S, j.checkpointWriteS());
        if (j.deadlineS() > 0) {
            m.put(Wire.DEADLINE_S, j.deadlineS());
        }
        return m;
    }
}
