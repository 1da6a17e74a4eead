package birchusher.wal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The way out of {@link Damaged}, for an operator who has no backup: keeps the newest readable snapshot and every record
 * that follows it without a gap, also from behind the damage, and says what is lost. {@link #plan} changes nothing;
 * {@link #apply} leaves a copy of each file of the log beside it, named {@code .damaged1} and so on.
 */
public final class Repair {
    private static final String COPY = ".damaged";

    /**
     * @param kept the last record that stays
     * @param lost records that can be read but stand behind a gap; those in the gap are lost as well
     */
    public record Plan(Damaged why, long snapshot, long kept, int lost, List<String> files) {
        /** For the operator. */
        public List<String> lines() {
            return List.of(
                    "damaged: " + why.getMessage(),
                    "kept: all up to record " + kept,
                    lost == 0
                            ? "lost: what came after record " + kept + ", if anything; none of it can be read"
                            : "lost: what came after record " + kept + ", of which " + lost + " could still be read",
                    "copied beside themselves with " + COPY + " in their names: " + String.join(", ", files));
        }
    }

    private final Disk disk;
    private final Recovery found;
    private final TreeMap<Long, byte[]> readable = new TreeMap<>();

    private Repair(Disk disk) throws IOException {
        this.disk = disk;
        this.found = new Recovery(disk, NOTHING);
        found.readSnapshot();
        for (String name : found.segments()) {
            Segment.salvage(disk, name, (sequence, payload) -> {
                if (sequence > found.base) {
                    readable.putIfAbsent(sequence, payload);
                }
            });
        }
    }

    private static final Log.Reader NOTHING = new Log.Reader() {
        @Override
        public void begin() {}

        @Override
        public void row(byte[] payload) {}

        @Override
        public void record(long sequence, byte[] payload) {}
    };

    /**
     * What a repair would keep and lose; null if nothing is damaged.
     *
     * @throws Damaged if no snapshot can be read and the log does not reach back to the first record: only a backup helps
     */
    public static Plan plan(Disk disk) throws IOException {
        try {
            new Recovery(disk, NOTHING).run();
            return null;
        } catch (Damaged e) {
            Repair r = new Repair(disk);
            long kept = r.kept();
            return new Plan(
                    e, r.found.base, kept, r.readable.tailMap(kept, false).size(), r.found.segments());
        }
    }

    private long kept() {
        long at = found.base;
        while (readable.containsKey(at + 1)) {
            at++;
        }
        return at;
    }

    /** Does what the plan says. May be ended at any moment and begun again. */
    public static void apply(Disk disk, Plan plan) throws IOException {
        Repair r = new Repair(disk);
        if (r.kept() != plan.kept() || r.found.base != plan.snapshot()) {
            throw new IOException("the directory has changed since the repair was planned");
        }
        Set<String> taken = new HashSet<>(disk.names());
        for (String name : plan.files()) {
            // A repair that was ended and begun again must not put its own work over the copy of the original.
            int n = 1;
            while (!taken.add(name + COPY + n)) {
                n++;
            }
            try (InputStream in = disk.read(name);
                    Disk.Out out = disk.create(name + COPY + n)) {
                out.write(ByteBuffer.wrap(in.readAllBytes()));
                out.sync();
            }
        }
        String whole = Segment.name(plan.snapshot() + 1);
        try (Disk.Out out = disk.create(whole + Snapshot.ASIDE)) {
            out.write(Segment.header(plan.snapshot() + 1));
            for (var e : r.readable.headMap(plan.kept(), true).entrySet()) {
                ByteBuffer b = ByteBuffer.allocate(Segment.FRAME + e.getValue().length);
                Segment.frame(b, e.getKey(), out.length(), e.getValue());
                out.write(b.flip());
            }
            out.sync();
        }
        // The copies and the new file are durable under their names before any old one goes: whatever is left by an
        // end in between still reads as damaged, or as repaired, and never as an empty log.
        disk.rename(whole + Snapshot.ASIDE, whole);
        disk.syncNames();
        for (String name : plan.files()) {
            if (!name.equals(whole)) {
                disk.delete(name);
            }
        }
        disk.syncNames();
    }
}
