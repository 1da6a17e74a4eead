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
class WriteAheadLogFaultTest {
    private static final WriteAheadLog.Options SMALL_SEGMENTS = new WriteAheadLog.Options(220, 2);

    /** What a history may have left: all of {@code answered}, then a beginning of {@code inFlight}. */
    private static final class Model implements WriteAheadLog.RecoveryHandler {
        final List<Long> answeredIds = new ArrayList<>();
        final List<Long> inFlightIds = new ArrayList<>();
        private final List<Long> foundIds = new ArrayList<>();

        @Override
        public void reset() {
            foundIds.clear();
        }

        @Override
        public void snapshotRecord(byte[] payload) {
            foundIds.add(id(payload));
        }

        @Override
        public void logRecord(long sequence, byte[] payload) {
            assertThat(sequence).isEqualTo(foundIds.size() + 1L);
            foundIds.add(id(payload));
        }

        /** What was found is what may be, and counts from now on. */
        void verifyFound() {
            List<Long> most = new ArrayList<>(answeredIds);
            most.addAll(inFlightIds);
            if (foundIds.size() < answeredIds.size()
                    || !foundIds.equals(most.subList(0, Math.min(foundIds.size(), most.size())))) {
                fail("answered %s, in flight %s, found %s", answeredIds, inFlightIds, foundIds);
            }
            answeredIds.clear();
            answeredIds.addAll(foundIds);
            inFlightIds.clear();
        }
    }

    private static byte[] payload(long id, int filler) {
        return ByteBuffer.allocate(8 + filler).putLong(id).array();
    }

    private static long id(byte[] payload) {
        return ByteBuffer.wrap(payload).getLong();
    }

    /** Opens, checks, and plays batches and snapshots until the end or the fault. */
    private static void runWorkload(FaultDirectory disk, Model m, long seed, int batches) throws IOException {
        SplittableRandom r = new SplittableRandom(seed);
        WriteAheadLog log = WriteAheadLog.open(disk, SMALL_SEGMENTS, m);
        m.verifyFound();
        for (int i = 0; i < batches; i++) {
            if (r.nextInt(4) == 0) {
                snapshot(disk, log, m);
            }
            int n = 1 + r.nextInt(3);
            for (int k = 0; k < n; k++) {
                long id = seed * 1_000_000 + i * 10 + k;
                log.append(payload(id, r.nextInt(12)));
                m.inFlightIds.add(id);
            }
            try {
                log.sync();
                m.answeredIds.addAll(m.inFlightIds);
                m.inFlightIds.clear();
            } catch (WriteAheadLog.WriteFailedException e) {
                if (!e.outcomeUnknown || log.tryRemoveFailedBatch()) {
                    m.inFlightIds.clear();
                } else {
                    return;
                }
            }
        }
    }

    private static void snapshot(FaultDirectory disk, WriteAheadLog log, Model m) {
        try {
            long at = log.durableSequence();
            Snapshot.write(disk, at, to -> {
                for (long id : m.answeredIds) {
                    to.accept(payload(id, 0));
                }
            });
            log.prune(at);
        } catch (IOException e) {
            // The log goes on without it.
        }
    }

    private static int countCalls(long seed, int batches) throws IOException {
        FaultDirectory d = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
        runWorkload(d, new Model(), seed, batches);
        return d.callCount;
    }

    /** One history with one fault, what is left of it, and another start that must read and go on. Returns the bytes hit. */
    private static int runWithFault(FaultDirectory disk, long seed, int batches, UnaryOperator<FaultDirectory> after)
            throws IOException {
        Model m = new Model();
        try {
            runWorkload(disk, m, seed, batches);
        } catch (FaultDirectory.SimulatedCrash e) {
            // As wanted.
        } catch (IOException e) {
            if (m.answeredIds.isEmpty() && !disk.fileNames().isEmpty()) {
                // Opening failed: nothing was answered.
                m.inFlightIds.clear();
            }
        }
        FaultDirectory left = after.apply(disk);
        runWorkload(left, m, seed + 7, 3);
        return disk.faultedWriteBytes;
    }

    /** Faults at all calls and all bytes of a few histories; returns how many were played. */
    private static int runWithEveryFault(FaultDirectory.IgnoredSyncs lie, long seeds, boolean byteByByte)
            throws IOException {
        int played = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            int batches = 8;
            int calls = countCalls(seed, batches);
            for (int c = 0; c < calls; c++) {
                int bytes = 1;
                for (int part = 0; part <= bytes; part += byteByByte ? 1 : Math.max(1, bytes / 2)) {
                    SplittableRandom r = new SplittableRandom(seed * 100_003 + c * 1009L + part);
                    int hit = runWithFault(
                            new FaultDirectory(lie).crashAt(c, part), seed, batches, FaultDirectory::afterKill);
                    bytes = Math.max(bytes, hit);
                    runWithFault(new FaultDirectory(lie).crashAt(c, part), seed, batches, d -> d.afterPowerCut(r));
                    // Killed, read again, and the power cut before anything more is written.
                    runWithFault(new FaultDirectory(lie).crashAt(c, part), seed, batches, d -> {
                        FaultDirectory k = d.afterKill();
                        Model seen = new Model();
                        try {
                            WriteAheadLog.open(k, SMALL_SEGMENTS, seen);
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        FaultDirectory cut = k.afterPowerCut(r);
                        Model again = new Model();
                        again.answeredIds.addAll(seen.foundIds);
                        try {
                            WriteAheadLog.open(cut, SMALL_SEGMENTS, again);
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        again.verifyFound();
                        return cut;
                    });
                    runWithFault(
                            new FaultDirectory(lie).failAt(c, part, 1 + r.nextInt(4)),
                            seed,
                            batches,
                            d -> d.afterPowerCut(r));
                    runWithFault(
                            new FaultDirectory(lie).failAt(c, part, 1 + r.nextInt(4)),
                            seed,
                            batches,
                            FaultDirectory::afterKill);
                    played += 5;
                }
            }
        }
        return played;
    }

    @Test
    void answeredRecordsSurviveACrashOrFailureOfAnyCall() throws IOException {
        assertThat(runWithEveryFault(FaultDirectory.IgnoredSyncs.NONE, 2, true)).isGreaterThan(6_000);
        assertThat(runWithEveryFault(FaultDirectory.IgnoredSyncs.NONE, 30, false))
                .isGreaterThan(10_000);
    }

    @Test
    void ignoredSyncsAreDetected() {
        assertThatThrownBy(() -> runWithEveryFault(FaultDirectory.IgnoredSyncs.OF_FILES, 5, false))
                .isInstanceOfAny(AssertionError.class, CorruptedDataException.class);
        assertThatThrownBy(() -> runWithEveryFault(FaultDirectory.IgnoredSyncs.OF_DIRECTORY, 5, false))
                .isInstanceOfAny(AssertionError.class, CorruptedDataException.class);
    }

    @Test
    void corruptionIsRefusedAndRepairKeepsTheRecordsBeforeIt() throws IOException {
        FaultDirectory whole = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
        Model m = new Model();
        runWorkload(whole, m, 5, 12);
        int refused = 0;
        for (String name : whole.fileNames()) {
            for (int at = 0; at < whole.size(name); at++) {
                FaultDirectory d = whole.afterKill();
                d.flipBit(name, at);
                Model seen = new Model();
                try {
                    WriteAheadLog.open(d, SMALL_SEGMENTS, seen);
                    // An older snapshot, a file not needed any more, or the last batch, which nothing vouches for.
                    assertThat(m.answeredIds.subList(0, seen.foundIds.size())).isEqualTo(seen.foundIds);
                    assertThat(m.answeredIds.size() - seen.foundIds.size()).isLessThanOrEqualTo(3);
                } catch (CorruptedDataException e) {
                    refused++;
                    assertThat(e.file).isEqualTo(name);
                    Repair.Plan plan = Repair.plan(d);
                    Repair.apply(d, plan);
                    WriteAheadLog.open(d, SMALL_SEGMENTS, seen);
                    assertThat(seen.foundIds).hasSize((int) plan.lastKeptSequence());
                    assertThat(m.answeredIds.subList(0, seen.foundIds.size())).isEqualTo(seen.foundIds);
                    assertThat(d.fileNames()).anyMatch(n -> n.startsWith(name + ".damaged"));
                } catch (IOException e) {
                    assertThat(e).hasMessageContaining("version");
                }
            }
        }
        assertThat(refused).isGreaterThan(100);
        assertThat(Repair.plan(whole)).isNull();
    }

    @Test
    void aLogThatBeginsAfterAGapIsRefused() throws IOException {
        FaultDirectory d = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
        Model m = new Model();
        runWorkload(d, m, 5, 12);
        List<String> snapshots = d.fileNames().stream()
                .filter(n -> n.startsWith("snap-"))
                .sorted()
                .toList();
        assertThat(snapshots).hasSize(2);
        // Both snapshots gone, as if an older directory had been restored beside newer files.
        for (String n : snapshots) {
            d.delete(n);
        }
        assertThatThrownBy(() -> WriteAheadLog.open(d, SMALL_SEGMENTS, new Model()))
                .isInstanceOf(CorruptedDataException.class)
                .hasMessageContaining("begins with record");
    }
}
