package birchusher.wal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.fail;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Every write, sync, rename, deletion and cut of seeded histories ends the process or fails in turn, writes after each of
 * their bytes; what is not synced is dropped at random. Found again are exactly the answered records, then perhaps those
 * in flight, in order.
 */
class LogFaultTest {
    private static final Log.Options SMALL = new Log.Options(220, 2);

    /** What a history may have left: all of {@code answered}, then a beginning of {@code inFlight}. */
    private static final class Model implements Log.Reader {
        final List<Long> answered = new ArrayList<>();
        final List<Long> inFlight = new ArrayList<>();
        private final List<Long> found = new ArrayList<>();

        @Override
        public void begin() {
            found.clear();
        }

        @Override
        public void row(byte[] payload) {
            found.add(id(payload));
        }

        @Override
        public void record(long sequence, byte[] payload) {
            assertThat(sequence).isEqualTo(found.size() + 1L);
            found.add(id(payload));
        }

        /** What was found is what may be, and counts from now on. */
        void check() {
            List<Long> most = new ArrayList<>(answered);
            most.addAll(inFlight);
            if (found.size() < answered.size() || !found.equals(most.subList(0, Math.min(found.size(), most.size())))) {
                fail("answered %s, in flight %s, found %s", answered, inFlight, found);
            }
            answered.clear();
            answered.addAll(found);
            inFlight.clear();
        }
    }

    private static byte[] payload(long id, int filler) {
        return ByteBuffer.allocate(8 + filler).putLong(id).array();
    }

    private static long id(byte[] payload) {
        return ByteBuffer.wrap(payload).getLong();
    }

    /** Opens, checks, and plays batches and snapshots until the end or the fault. */
    private static void play(FaultDisk disk, Model m, long seed, int batches) throws IOException {
        SplittableRandom r = new SplittableRandom(seed);
        Log log = Log.open(disk, SMALL, m);
        m.check();
        for (int i = 0; i < batches; i++) {
            if (r.nextInt(4) == 0) {
                snapshot(disk, log, m);
            }
            int n = 1 + r.nextInt(3);
            for (int k = 0; k < n; k++) {
                long id = seed * 1_000_000 + i * 10 + k;
                log.append(payload(id, r.nextInt(12)));
                m.inFlight.add(id);
            }
            try {
                log.sync();
                m.answered.addAll(m.inFlight);
                m.inFlight.clear();
            } catch (Log.NotWritten e) {
                if (!e.unclear || log.mended()) {
                    m.inFlight.clear();
                } else {
                    return;
                }
            }
        }
    }

    private static void snapshot(FaultDisk disk, Log log, Model m) {
        try {
            long at = log.durable();
            Snapshot.write(disk, at, to -> {
                for (long id : m.answered) {
                    to.row(payload(id, 0));
                }
            });
            log.prune(at);
        } catch (IOException e) {
            // The log goes on without it.
        }
    }

    private static int calls(long seed, int batches) throws IOException {
        FaultDisk d = new FaultDisk(FaultDisk.Lie.NONE);
        play(d, new Model(), seed, batches);
        return d.calls;
    }

    /** One history with one fault, what is left of it, and another start that must read and go on. Returns the bytes hit. */
    private static int one(FaultDisk disk, long seed, int batches, UnaryOperator<FaultDisk> after) throws IOException {
        Model m = new Model();
        try {
            play(disk, m, seed, batches);
        } catch (FaultDisk.Ended e) {
            // As wanted.
        } catch (IOException e) {
            if (m.answered.isEmpty() && !disk.names().isEmpty()) {
                // Opening failed: nothing was answered.
                m.inFlight.clear();
            }
        }
        FaultDisk left = after.apply(disk);
        play(left, m, seed + 7, 3);
        return disk.hit;
    }

    /** Faults at all calls and all bytes of a few histories; returns how many were played. */
    private static int everywhere(FaultDisk.Lie lie, long seeds, boolean byteByByte) throws IOException {
        int played = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            int batches = 8;
            int calls = calls(seed, batches);
            for (int c = 0; c < calls; c++) {
                int bytes = 1;
                for (int part = 0; part <= bytes; part += byteByByte ? 1 : Math.max(1, bytes / 2)) {
                    SplittableRandom r = new SplittableRandom(seed * 100_003 + c * 1009L + part);
                    int hit = one(new FaultDisk(lie).endAt(c, part), seed, batches, FaultDisk::killed);
                    bytes = Math.max(bytes, hit);
                    one(new FaultDisk(lie).endAt(c, part), seed, batches, d -> d.powerCut(r));
                    // Killed, read again, and the power cut before anything more is written.
                    one(new FaultDisk(lie).endAt(c, part), seed, batches, d -> {
                        FaultDisk k = d.killed();
                        Model seen = new Model();
                        try {
                            Log.open(k, SMALL, seen);
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        FaultDisk cut = k.powerCut(r);
                        Model again = new Model();
                        again.answered.addAll(seen.found);
                        try {
                            Log.open(cut, SMALL, again);
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        again.check();
                        return cut;
                    });
                    one(new FaultDisk(lie).failAt(c, part, 1 + r.nextInt(4)), seed, batches, d -> d.powerCut(r));
                    one(new FaultDisk(lie).failAt(c, part, 1 + r.nextInt(4)), seed, batches, FaultDisk::killed);
                    played += 5;
                }
            }
        }
        return played;
    }

    @Test
    void whateverCallEndsOrFailsTheAnsweredRecordsAreFound() throws IOException {
        assertThat(everywhere(FaultDisk.Lie.NONE, 2, true)).isGreaterThan(6_000);
        assertThat(everywhere(FaultDisk.Lie.NONE, 30, false)).isGreaterThan(10_000);
    }

    @Test
    void withoutSyncsTheSameTestFails() {
        assertThatThrownBy(() -> everywhere(FaultDisk.Lie.FILE_SYNCS, 5, false))
                .isInstanceOfAny(AssertionError.class, Damaged.class);
        assertThatThrownBy(() -> everywhere(FaultDisk.Lie.NAME_SYNCS, 5, false))
                .isInstanceOfAny(AssertionError.class, Damaged.class);
    }

    @Test
    void damageIsRefusedAndARepairKeepsWhatStandsBeforeIt() throws IOException {
        FaultDisk whole = new FaultDisk(FaultDisk.Lie.NONE);
        Model m = new Model();
        play(whole, m, 5, 12);
        int refused = 0;
        for (String name : whole.names()) {
            for (int at = 0; at < whole.size(name); at++) {
                FaultDisk d = whole.killed();
                d.flip(name, at);
                Model seen = new Model();
                try {
                    Log.open(d, SMALL, seen);
                    // An older snapshot, a file not needed any more, or the last batch, which nothing vouches for.
                    assertThat(m.answered.subList(0, seen.found.size())).isEqualTo(seen.found);
                    assertThat(m.answered.size() - seen.found.size()).isLessThanOrEqualTo(3);
                } catch (Damaged e) {
                    refused++;
                    assertThat(e.file).isEqualTo(name);
                    Repair.Plan plan = Repair.plan(d);
                    Repair.apply(d, plan);
                    Log.open(d, SMALL, seen);
                    assertThat(seen.found).hasSize((int) plan.kept());
                    assertThat(m.answered.subList(0, seen.found.size())).isEqualTo(seen.found);
                    assertThat(d.names()).anyMatch(n -> n.startsWith(name + ".damaged"));
                } catch (IOException e) {
                    assertThat(e).hasMessageContaining("version");
                }
            }
        }
        assertThat(refused).isGreaterThan(100);
        assertThat(Repair.plan(whole)).isNull();
    }

    @Test
    void aLogThatBeginsAfterItsSnapshotIsRefused() throws IOException {
        FaultDisk d = new FaultDisk(FaultDisk.Lie.NONE);
        Model m = new Model();
        play(d, m, 5, 12);
        List<String> snapshots =
                d.names().stream().filter(n -> n.startsWith("snap-")).sorted().toList();
        assertThat(snapshots).hasSize(2);
        // Both snapshots gone, as if an older directory had been restored beside newer files.
        for (String n : snapshots) {
            d.delete(n);
        }
        assertThatThrownBy(() -> Log.open(d, SMALL, new Model()))
                .isInstanceOf(Damaged.class)
                .hasMessageContaining("begins with record");
    }
}
