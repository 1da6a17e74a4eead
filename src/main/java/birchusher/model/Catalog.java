package birchusher.model;

import birchusher.core.NameIndex;
import birchusher.settings.Settings;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The indices of every name the core uses, and the machine types once they are known. */
public final class Catalog {
    /** One machine type. {@code zones} are indices; prices are per hour. */
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
        public boolean offeredIn(int zone) {
            for (int z : zones) {
                if (z == zone) {
                    return true;
                }
            }
            return false;
        }

        /** Room that frees within this time is not worth a new machine. */
        public double rentBreakEvenMs() {
            return bootS * 700;
        }

        public boolean fits(JobSpec j) {
            return j.cpus() <= cpus + EPSILON && j.gpus() <= gpus + EPSILON && j.memoryGb() <= memoryGb + EPSILON;
        }
    }

    /** Amounts are decimal numbers; sums of them need a little play. */
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

    public Catalog(Settings s) {
        zones = new NameIndex(s.zones());
        s.teams().forEach(t -> teams.add(t.name()));
        teamSettings = s.teams();
        members.add(s.member());
        s.peers().forEach(p -> members.add(p.member()));
        s.objectives().forEach(o -> {
            if (o.cls() != null) {
                classes.add(o.cls());
            }
        });
    }

    public Settings.Team team(int i) {
        return teamSettings.get(i);
    }

    /** Notes an image's size, as jobs tell it. */
    public void setImageGb(int image, double gb) {
        imageGb.put(image, gb);
    }

    public double imageGb(int image) {
        return imageGb.get(image);
    }

    public boolean typesKnown() {
        return typesKnown;
    }

    /** Takes the machine types as the cloud, or another controller's row, tells them. Types are only added. */
    public void addTypes(List<MachineType> list) {
        for (MachineType t : list) {
            if (t.index() >= types.length) {
                types = java.util.Arrays.copyOf(types, t.index() + 1);
            }
            types[t.index()] = t;
        }
        typesKnown |= !list.isEmpty();
    }

    public MachineType type(int i) {
        return i >= 0 && i < types.length ? types[i] : null;
    }

    public List<MachineType> types() {
        List<MachineType> l = new ArrayList<>();
        for (MachineType t : types) {
            if (t != null) {
                l.add(t);
            }
        }
        return l;
    }

    /** Why a job can never run here, or null. */
    public String unschedulableReason(JobSpec j) {
        boolean fits = false;
        for (MachineType t : types()) {
            fits |= j.allowsType(t.index())
                    && t.fits(j)
                    && (j.zone() < 0 ? t.zones().length > 0 : t.offeredIn(j.zone()));
        }
        if (!fits) {
            return "no allowed machine type fits a task";
        }
        Settings.Team team = team(j.team());
        int n = j.shape() == Shape.ARRAY ? 1 : j.tasks();
        if (exceeds(team.cpusMax(), n * j.cpus()) || exceeds(team.gpusMax(), n * j.gpus())) {
            return "more than the team's limit";
        }
        return null;
    }

    /** 0 as a limit means that there is none. */
    public static boolean exceeds(double limit, double use) {
        return limit > 0 && use > limit + EPSILON;
    }

    /** Whether this much of a team's work lies within its guarantee; a dimension without one counts only if it is all. */
    public boolean withinGuarantee(int team, double cpus, double gpus) {
        Settings.Team t = team(team);
        if (t.gpus() <= 0 && t.cpus() <= 0) {
            return false;
        }
        boolean g = t.gpus() > 0 ? gpus <= t.gpus() + EPSILON : gpus <= EPSILON;
        boolean c = t.cpus() > 0 ? cpus <= t.cpus() + EPSILON : t.gpus() > 0 && gpus > EPSILON;
        return g && c;
    }

    public static MachineType type(NameIndex typeNames, NameIndex zones, Map<String, Object> m, String[] f) {
        List<?> zs = birchusher.core.Fields.list(m, f[8]);
        int[] z = new int[zs.size()];
        for (int i = 0; i < z.length; i++) {
            z[i] = zones.add(String.valueOf(zs.get(i)));
        }
        String name = birchusher.core.Fields.text(m, f[0]);
        return new MachineType(
                typeNames.add(name),
                name,
                amountOrZero(m, f[1]),
                amountOrZero(m, f[2]),
                amountOrZero(m, f[3]),
                amountOrZero(m, f[4]),
                Math.max(1e-3, amountOrZero(m, f[5])),
                amountOrZero(m, f[6]),
                amountOrZero(m, f[7]),
                amountOrZero(m, f[9]),
                z);
    }

    private static double amountOrZero(Map<String, Object> m, String key) {
        return birchusher.core.Fields.amountOr(m, key, 0);
    }
}
