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
    public static final class Never extends RuntimeException {
        private static final long serialVersionUID = 1;

        public Never(String message) {
            super(message, null, false, false);
        }
    }

    public static boolean isId(String id) {
        if (!id.startsWith(Wire.ID_PREFIX) || id.length() > 64 || id.length() == Wire.ID_PREFIX.length()) {
            return false;
        }
        for (int i = Wire.ID_PREFIX.length(); i < id.length(); i++) {
            char c = id.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_')) {
                return false;
            }
        }
        return true;
    }

    /** A submission: machine types nobody rents are left out, so that users can't fill the name table. */
    public JobSpec read(Map<String, Object> m) {
        return read(m, catalog.typeNames::find);
    }

    /**
     * A row of the store. A starting controller reads rows before it knows the machine types, so their names are taken as
     * they come: left out, a job that names its types would fit no machine for as long as this process lives.
     */
    public JobSpec readRow(Map<String, Object> m) {
        return read(m, catalog.typeNames::add);
    }

    private JobSpec read(Map<String, Object> m, ToIntFunction<String> typeIndex) {
        String id = Fields.text(m, Wire.ID);
        if (!isId(id)) {
            throw new InvalidInputException(Wire.ID + ": not a job id");
        }
        Shape shape = Wire.shape(Fields.text(m, Wire.SHAPE));
        Priority priority = Wire.priority(Fields.text(m, Wire.PRIORITY));
        long tasks = Fields.count(m, Wire.TASKS);
        if (tasks < 1 || tasks > 100_000) {
            throw new InvalidInputException(Wire.TASKS + ": outside 1 to 100000");
        }
        double cpus = Fields.amount(m, Wire.CPUS);
        double gpus = Fields.amount(m, Wire.GPUS);
        double mem = Fields.amount(m, Wire.MEM);
        String cls = Fields.text(m, Wire.CLASS);
        String teamName = Fields.text(m, Wire.TEAM);
        String image = Fields.text(m, Wire.IMAGE);
        double imageGb = Fields.amount(m, Wire.IMAGE_GB);
        List<String> types = null;
        if (m.get(Wire.TYPES) != null) {
            types = new ArrayList<>();
            for (Object o : Fields.list(m, Wire.TYPES)) {
                if (!(o instanceof String s)) {
                    throw new InvalidInputException(Wire.TYPES + ": not text");
                }
                types.add(s);
            }
        }
        String zoneName = Fields.textOrNull(m, Wire.ZONE);
        boolean oneZone = Fields.flag(m, Wire.ONE_ZONE);
        boolean spread = Fields.flag(m, Wire.SPREAD);
        boolean spot = Fields.flag(m, Wire.SPOT);
        double estimate = Fields.amount(m, Wire.ESTIMATE);
        double checkpoint = Fields.amount(m, Wire.CHECKPOINT);
        double save = Fields.amount(m, Wire.SAVE);
        double deadline = Fields.amountOr(m, Wire.DEADLINE, 0);
        int team = catalog.teams.find(teamName);
        if (team == NameIndex.NONE) {
            throw new Never("unknown team");
        }
        int zone = NameIndex.NONE;
        if (zoneName != null) {
            zone = catalog.zones.find(zoneName);
            if (zone == NameIndex.NONE) {
                throw new Never("unknown zone");
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

    public Map<String, Object> write(JobSpec j) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put(Wire.ID, j.id());
        m.put(Wire.CLASS, catalog.classes.name(j.jobClass()));
        m.put(Wire.TEAM, catalog.teams.name(j.team()));
        m.put(Wire.SHAPE, Wire.of(j.shape()));
        m.put(Wire.PRIORITY, Wire.of(j.priority()));
        m.put(Wire.TASKS, j.tasks());
        m.put(Wire.CPUS, j.cpus());
        m.put(Wire.GPUS, j.gpus());
        m.put(Wire.MEM, j.memoryGb());
        m.put(Wire.IMAGE, catalog.images.name(j.image()));
        m.put(Wire.IMAGE_GB, j.imageGb());
        if (j.allowedTypes() != null) {
            List<String> names = new ArrayList<>();
            for (int t : j.allowedTypes()) {
                names.add(catalog.typeNames.name(t));
            }
            m.put(Wire.TYPES, names);
        }
        if (j.zone() >= 0) {
            m.put(Wire.ZONE, catalog.zones.name(j.zone()));
        }
        m.put(Wire.ONE_ZONE, j.oneZone());
        m.put(Wire.SPREAD, j.spread());
        m.put(Wire.SPOT, j.allowsSpot());
        m.put(Wire.ESTIMATE, j.estimateS());
        m.put(Wire.CHECKPOINT, j.checkpointIntervalS());
        m.put(Wire.SAVE, j.checkpointWriteS());
        if (j.deadlineS() > 0) {
            m.put(Wire.DEADLINE, j.deadlineS());
        }
        return m;
    }
}
