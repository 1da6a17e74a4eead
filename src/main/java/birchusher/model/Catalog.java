package birchusher.model;

import birchusher.core.NameIndex;
import birchusher.settings.Settings;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Maps the names of teams, zones, machine types, images, job classes and members to indices, and holds the machine
 * types once they are known. Not thread-safe.
 */
public final class Catalog {
    /**
     * A machine type. {@code zones} are indices of the zones that offer it; {@code fetchGbPerS} is the bandwidth for
     * images; prices are per hour.
     */
    public record MachineType(
            int index,
            String name,
            double cpus,
            double gpus,
            double memoryGb,
            double cacheGb,
            double fetchGbPerS,
            double pricePerHour,
            double spotPricePerHour,
            double bootS,
            int[] zones) {
        /** 70 % of the boot time, in ms per second. */
        private static final double RENT_BREAK_EVEN_MS_PER_BOOT_S = 700;

        /** Whether the zone offers this type. */
        public boolean offeredIn(int zone) {
            for (int offered : zones) {
                if (offered == zone) {
                    return true;
                }
            }
            return false;
        }

        /** Time in ms; renting a machine of this type is not worth its price if capacity becomes free sooner. */
        public double rentBreakEvenMs() {
            return bootS * RENT_BREAK_EVEN_MS_PER_BOOT_S;
        }

        /** Expected time in ms to fetch the job's image on a machine of this type, without other fetches beside it. */
        public double fetchMs(JobSpec spec) {
            return spec.imageGb() / fetchGbPerS * 1000;
        }

        /** Whether an empty machine of this type can hold one task of the job. */
        public boolean fits(JobSpec spec) {
            return spec.cpus() <= cpus + EPSILON
                    && spec.gpus() <= gpus + EPSILON
                    && spec.memoryGb() <= memoryGb + EPSILON;
        }
    }

    /** Tolerance in comparisons of sums of cpus, gpus and memory, which are floating-point numbers. */
    public static final double EPSILON = 1e-6;

    public final NameIndex teams = new NameIndex();
    public final NameIndex zones;
    public final NameIndex typeNames = new NameIndex();
    public final NameIndex images = new NameIndex();
    public final NameIndex classes = new NameIndex();
    public final NameIndex members = new NameIndex();
    private final List<Settings.Team> teamSettings;
    private MachineType[] types = new MachineType[0];
    private boolean typesKnown;
    private final Int2DoubleOpenHashMap imageGb = new Int2DoubleOpenHashMap();

    public Catalog(Settings settings) {
        zones = new NameIndex(settings.zones());
        settings.teams().forEach(team -> teams.add(team.name()));
        teamSettings = settings.teams();
        members.add(settings.member());
        settings.peers().forEach(peer -> members.add(peer.member()));
        settings.objectives().forEach(objective -> {
            if (objective.jobClass() != null) {
                classes.add(objective.jobClass());
            }
        });
    }

    public Settings.Team team(int index) {
        return teamSettings.get(index);
    }

    /** Records an image's size in GB, as jobs state it. */
    public void setImageGb(int image, double gb) {
        imageGb.put(image, gb);
    }

    /** Size of an image in GB; 0 if unknown. */
    public double imageGb(int image) {
        return imageGb.get(image);
    }

    public boolean typesKnown() {
        return typesKnown;
    }

    /** Adds or replaces machine types, as the cloud or a row of another controller lists them. No type is removed. */
    public void addTypes(List<MachineType> added) {
        for (MachineType type : added) {
            if (type.index() >= types.length) {
                types = java.util.Arrays.copyOf(types, type.index() + 1);
            }
            types[type.index()] = type;
        }
        typesKnown |= !added.isEmpty();
    }

    /** The machine type of an index, or null if it is not known yet. */
    public MachineType type(int index) {
        return index >= 0 && index < types.length ? types[index] : null;
    }

    public List<MachineType> types() {
        List<MachineType> result = new ArrayList<>();
        for (MachineType type : types) {
            if (type != null) {
                result.add(type);
            }
        }
        return result;
    }

    /** Why a job can never be scheduled in this deployment; null if it can. */
    public String unschedulableReason(JobSpec spec) {
        boolean fits = false;
        for (MachineType type : types()) {
            fits |= spec.allowsType(type.index())
                    && type.fits(spec)
                    && (spec.zone() < 0 ? type.zones().length > 0 : type.offeredIn(spec.zone()));
        }
        if (!fits) {
            return "no allowed machine type fits a task";
        }
        Settings.Team team = team(spec.team());
        int simultaneousTasks = spec.shape() == Shape.ARRAY ? 1 : spec.tasks();
        if (exceeds(team.cpusMax(), simultaneousTasks * spec.cpus())
                || exceeds(team.gpusMax(), simultaneousTasks * spec.gpus())) {
            return "more than the team's limit";
        }
        return null;
    }

    /** Whether the use exceeds the limit. A limit of 0 means no limit. */
    public static boolean exceeds(double limit, double use) {
        return limit > 0 && use > limit + EPSILON;
    }

    /**
     * Whether cpus and gpus in use lie within a team's guarantee. Without guaranteed gpus no gpus may be in use;
     * without guaranteed cpus any cpus are within it, provided that gpus are in use.
     */
    public boolean withinGuarantee(int team, double cpus, double gpus) {
        Settings.Team settings = team(team);
        if (settings.gpus() <= 0 && settings.cpus() <= 0) {
            return false;
        }
        boolean gpusWithin = settings.gpus() > 0 ? gpus <= settings.gpus() + EPSILON : gpus <= EPSILON;
        boolean cpusWithin =
                settings.cpus() > 0 ? cpus <= settings.cpus() + EPSILON : settings.gpus() > 0 && gpus > EPSILON;
        return gpusWithin && cpusWithin;
    }

    /**
     * Reads a machine type from a row or a response.
     *
     * @param fields the names of its fields: name, cpus, gpus, memory, cache, fetch rate, price, spot price, zones,
     * boot time
     */
    public static MachineType type(NameIndex typeNames, NameIndex zones, Map<String, Object> row, String[] fields) {
        List<?> zoneNames = birchusher.core.Fields.list(row, fields[8]);
        int[] zoneIndexes = new int[zoneNames.size()];
        for (int i = 0; i < zoneIndexes.length; i++) {
            if (!(zoneNames.get(i) instanceof String zone)) {
                throw new birchusher.core.Fields.InvalidInputException(fields[8] + ": not text");
            }
            zoneIndexes[i] = zones.add(zone);
        }
        String name = birchusher.core.Fields.text(row, fields[0]);
        return new MachineType(
                typeNames.add(name),
                name,
                amountOrZero(row, fields[1]),
                amountOrZero(row, fields[2]),
                amountOrZero(row, fields[3]),
                amountOrZero(row, fields[4]),
                Math.max(1e-3, amountOrZero(row, fields[5])),
                amountOrZero(row, fields[6]),
                amountOrZero(row, fields[7]),
                amountOrZero(row, fields[9]),
                zoneIndexes);
    }

    private static double amountOrZero(Map<String, Object> row, String key) {
        return birchusher.core.Fields.amountOr(row, key, 0);
    }
}
