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
 * In seeded histories, each write, sync, rename, deletion and truncation in turn crashes the process or fails, writes after
 * each number of their bytes, and unsynced changes are lost at random. The next start must recover exactly the answered
 * records, then possibly a prefix of the records in flight, in order.
 */
class WriteAheadLogFaultTest {
    private static final WriteAheadLog.Options SMALL_SEGMENTS = new WriteAheadLog.Options(220, 2);

    /** What a history may leave: all answered records, then a prefix of the records in flight. */
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

        /** Checks the recovered records; they count as answered from then on. */
        void verifyFound() {
            List<Long> allowed = new ArrayList<>(answeredIds);
            allowed.addAll(inFlightIds);
            if (foundIds.size() < answeredIds.size()
                    || !foundIds.equals(allowed.subList(0, Math.min(foundIds.size(), allowed.size())))) {
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

    /** Opens the log, checks what it recovers, then writes batches and snapshots until the end or the fault. */
    private static void runWorkload(FaultDirectory directory, Model model, long seed, int batches) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        WriteAheadLog log = WriteAheadLog.open(directory, SMALL_SEGMENTS, model);
        model.verifyFound();
        for (int i = 0; i < batches; i++) {
            if (random.nextInt(4) == 0) {
                snapshot(directory, log, model);
            }
            int records = 1 + random.nextInt(3);
            for (int j = 0; j < records; j++) {
                long id = seed * 1_000_000 + i * 10 + j;
                log.append(payload(id, random.nextInt(12)));
                model.inFlightIds.add(id);
            }
            try {
                log.sync();
                model.answeredIds.addAll(model.inFlightIds);
                model.inFlightIds.clear();
            } catch (WriteAheadLog.WriteFailedException e) {
                if (!e.outcomeUnknown || log.tryRemoveFailedBatch()) {
                    model.inFlightIds.clear();
                } else {
                    return;
                }
            }
        }
    }

    private static void snapshot(FaultDirectory directory, WriteAheadLog log, Model model) {
        try {
            long sequence = log.durableSequence();
            Snapshot.write(directory, sequence, sink -> {
                for (long id : model.answeredIds) {
                    sink.accept(payload(id, 0));
                }
            });
            log.prune(sequence);
        } catch (IOException e) {
            // A log continues without the snapshot.
        }
    }

    private static int countCalls(long seed, int batches) throws IOException {
        FaultDirectory directory = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
        runWorkload(directory, new Model(), seed, batches);
        return directory.callCount;
    }

    /**
     * Runs one history with one fault, then a second start on what is left, which must recover and continue.
     *
     * @return the size in bytes of the write that the fault hit
     */
    private static int runWithFault(
            FaultDirectory directory, long seed, int batches, UnaryOperator<FaultDirectory> after) throws IOException {
        Model model = new Model();
        try {
            runWorkload(directory, model, seed, batches);
        } catch (FaultDirectory.SimulatedCrash e) {
            // The crash was scheduled.
        } catch (IOException e) {
            if (model.answeredIds.isEmpty() && !directory.fileNames().isEmpty()) {
                // Opening failed, so nothing was written.
                model.inFlightIds.clear();
            }
        }
        FaultDirectory remaining = after.apply(directory);
        runWorkload(remaining, model, seed + 7, 3);
        return directory.faultedWriteBytes;
    }

    /** Runs some histories with a fault at each call, and at each byte or three points of a write; returns how many ran. */
    private static int runWithEveryFault(FaultDirectory.IgnoredSyncs ignoredSyncs, long seeds, boolean byteByByte)
            throws IOException {
        int runs = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            int batches = 8;
            int calls = countCalls(seed, batches);
            for (int call = 0; call < calls; call++) {
                int bytes = 1;
                for (int part = 0; part <= bytes; part += byteByByte ? 1 : Math.max(1, bytes / 2)) {
                    SplittableRandom random = new SplittableRandom(seed * 100_003 + call * 1009L + part);
                    int writeBytes = runWithFault(
                            new FaultDirectory(ignoredSyncs).crashAt(call, part),
                            seed,
                            batches,
                            FaultDirectory::afterKill);
                    bytes = Math.max(bytes, writeBytes);
                    runWithFault(
                            new FaultDirectory(ignoredSyncs).crashAt(call, part),
                            seed,
                            batches,
                            faulty -> faulty.afterPowerCut(random));
                    // A kill, a recovery, and a power cut before anything more is written.
                    runWithFault(new FaultDirectory(ignoredSyncs).crashAt(call, part), seed, batches, faulty -> {
                        FaultDirectory killed = faulty.afterKill();
                        Model recovered = new Model();
                        try {
                            WriteAheadLog.open(killed, SMALL_SEGMENTS, recovered);
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        FaultDirectory afterCut = killed.afterPowerCut(random);
                        Model recoveredAgain = new Model();
                        recoveredAgain.answeredIds.addAll(recovered.foundIds);
                        try {
                            WriteAheadLog.open(afterCut, SMALL_SEGMENTS, recoveredAgain);
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        recoveredAgain.verifyFound();
                        return afterCut;
                    });
                    runWithFault(
                            new FaultDirectory(ignoredSyncs).failAt(call, part, 1 + random.nextInt(4)),
                            seed,
                            batches,
                            faulty -> faulty.afterPowerCut(random));
                    runWithFault(
                            new FaultDirectory(ignoredSyncs).failAt(call, part, 1 + random.nextInt(4)),
                            seed,
                            batches,
                            FaultDirectory::afterKill);
                    runs += 5;
                }
            }
        }
        return runs;
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
        FaultDirectory intact = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
        Model model = new Model();
        runWorkload(intact, model, 5, 12);
        int refused = 0;
        for (String name : intact.fileNames()) {
            for (int offset = 0; offset < intact.size(name); offset++) {
                FaultDirectory corrupted = intact.afterKill();
                corrupted.flipBit(name, offset);
                Model recovered = new Model();
                try {
                    WriteAheadLog.open(corrupted, SMALL_SEGMENTS, recovered);
                    // The flipped bit is in an older snapshot, in a file that is no longer needed, or in the last
                    // batch, after which no record states that it was durable.
                    assertThat(model.answeredIds.subList(0, recovered.foundIds.size()))
                            .isEqualTo(recovered.foundIds);
                    assertThat(model.answeredIds.size() - recovered.foundIds.size())
                            .isLessThanOrEqualTo(3);
                } catch (CorruptedDataException e) {
                    refused++;
                    assertThat(e.file).isEqualTo(name);
                    Repair.Plan plan = Repair.plan(corrupted);
                    Repair.apply(corrupted, plan);
                    WriteAheadLog.open(corrupted, SMALL_SEGMENTS, recovered);
                    assertThat(recovered.foundIds).hasSize((int) plan.lastKeptSequence());
                    assertThat(model.answeredIds.subList(0, recovered.foundIds.size()))
                            .isEqualTo(recovered.foundIds);
                    assertThat(corrupted.fileNames()).anyMatch(file -> file.startsWith(name + ".damaged"));
                } catch (IOException e) {
                    assertThat(e).hasMessageContaining("version");
                }
            }
        }
        assertThat(refused).isGreaterThan(100);
        assertThat(Repair.plan(intact)).isNull();
    }

    @Test
    void aLogThatBeginsAfterAGapIsRefused() throws IOException {
        FaultDirectory directory = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
        Model model = new Model();
        runWorkload(directory, model, 5, 12);
        List<String> snapshots = directory.fileNames().stream()
                .filter(name -> name.startsWith("snap-"))
                .sorted()
                .toList();
        assertThat(snapshots).hasSize(2);
        // Both snapshots are missing, as if an older directory had been restored over newer files.
        for (String name : snapshots) {
            directory.delete(name);
        }
        assertThatThrownBy(() -> WriteAheadLog.open(directory, SMALL_SEGMENTS, new Model()))
                .isInstanceOf(CorruptedDataException.class)
                .hasMessageContaining("begins with record");
    }
}
