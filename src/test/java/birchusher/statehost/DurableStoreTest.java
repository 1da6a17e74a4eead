package birchusher.statehost;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.kv.Engine.Answer;
import birchusher.kv.Limits;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Row;
import birchusher.kv.State;
import birchusher.kv.Write;
import birchusher.wal.FaultDirectory;
import birchusher.wal.WriteAheadLog;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Through kills, power cuts and a full disk, answered changes survive, and no transaction survives in part. */
class DurableStoreTest {
    private static final Limits LIMITS = new Limits(1e6, 1e6, 8, 100);
    private static final WriteAheadLog.Options SMALL_SEGMENTS = new WriteAheadLog.Options(700, 2);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static TreeMap<String, String> rows(State state) {
        TreeMap<String, String> rows = new TreeMap<>();
        for (Map.Entry<String, Row> entry : state.rows().entrySet()) {
            Row row = entry.getValue();
            rows.put(
                    entry.getKey(),
                    new String(row.value(), StandardCharsets.UTF_8) + "@" + row.modRevision() + "/" + row.leaseId());
        }
        return rows;
    }

    /** What was observed of a service: its states by revision, and the last revision that was answered. */
    private static final class ObservedHistory {
        final TreeMap<Long, TreeMap<String, String>> statesByRevision = new TreeMap<>(Map.of(0L, new TreeMap<>()));
        long answeredRevision;
        long lastLeaseId;

        void recordAnswers(List<Answer> answers) {
            for (Answer answer : answers) {
                if (answer.reply() instanceof Reply.Committed committed) {
                    assertThat(committed.revision()).isGreaterThanOrEqualTo(answeredRevision);
                    answeredRevision = committed.revision();
                } else if (answer.reply() instanceof Reply.LeaseGranted granted) {
                    assertThat(granted.leaseId())
                            .as("a lease is never granted twice")
                            .isGreaterThan(lastLeaseId);
                    lastLeaseId = granted.leaseId();
                }
            }
        }

        /**
         * Checks that the recovered state is one that existed and is not older than the last answered one. States after it
         * are forgotten, as they did not survive.
         */
        void verifyRecovered(State state) {
            assertThat(state.revision()).isGreaterThanOrEqualTo(answeredRevision);
            assertThat(rows(state)).isEqualTo(statesByRevision.get(state.revision()));
            state.rows().forEach((key, row) -> {
                if (row.leaseId() != 0) {
                    assertThat(state.leases().get(row.leaseId()).keys()).contains(key);
                }
            });
            state.leases().values().forEach(lease -> lease.keys()
                    .forEach(key -> assertThat(state.rows()).containsKey(key)));
            statesByRevision.tailMap(state.revision(), false).clear();
            answeredRevision = state.revision();
        }
    }

    private static void runWorkload(FaultDirectory directory, ObservedHistory history, SplittableRandom random)
            throws IOException {
        long nowMs = 0;
        DurableStore store = DurableStore.open(directory, SMALL_SEGMENTS, 500, LIMITS, nowMs);
        history.verifyRecovered(store.durableState());
        long requestId = 0;
        TreeMap<String, String> model =
                new TreeMap<>(history.statesByRevision.get(store.durableState().revision()));
        long revision = store.durableState().revision();
        for (int i = 0; i < 40; i++) {
            nowMs += 50;
            if (random.nextInt(8) == 0) {
                history.recordAnswers(store.handle(nowMs, ++requestId, new Request.GrantLease(200)));
            }
            TreeMap<String, Write> writes = new TreeMap<>();
            for (int remaining = random.nextInt(3); remaining >= 0; remaining--) {
                String key = "k" + random.nextInt(8);
                writes.put(
                        key,
                        random.nextInt(5) == 0
                                ? new Write.Remove(key)
                                : new Write.Set(
                                        key,
                                        bytes("v" + random.nextInt(1_000)),
                                        store.durableState().leases().isEmpty()
                                                ? 0
                                                : new TreeSet<>(store.durableState()
                                                                .leases()
                                                                .keySet())
                                                        .last()));
            }
            // No other request is pending, so the model equals the engine's newest state.
            if (!store.readOnly()
                    && writes.values().stream()
                            .anyMatch(write -> write instanceof Write.Set || model.containsKey(write.key()))) {
                revision++;
                for (Write write : writes.values()) {
                    model.remove(write.key());
                    if (write instanceof Write.Set set) {
                        model.put(
                                write.key(),
                                new String(set.value(), StandardCharsets.UTF_8) + "@" + revision + "/" + set.leaseId());
                    }
                }
                history.statesByRevision.put(revision, new TreeMap<>(model));
            }
            history.recordAnswers(store.handle(
                    nowMs, ++requestId, new Request.Transaction(List.of(), List.copyOf(writes.values()), 100, 10)));
            history.recordAnswers(store.flush(nowMs));
            // Leases expire, and their rows are removed.
            boolean writable = !store.readOnly();
            history.recordAnswers(store.tick(nowMs));
            if (writable) {
                history.statesByRevision.putAll(statesAfterLeaseExpiry(model, revision, store.durableState()));
            }
            history.recordAnswers(store.flush(nowMs));
            model.clear();
            model.putAll(rows(store.durableState()));
            revision = store.durableState().revision();
            if (!store.readOnly()) {
                history.statesByRevision.tailMap(revision, false).clear();
                assertThat(model).isEqualTo(history.statesByRevision.get(revision));
            }
            DurableStore.PendingSnapshot snapshot = store.takeDueSnapshot(nowMs);
            if (snapshot != null) {
                boolean written = true;
                try {
                    snapshot.write();
                } catch (IOException e) {
                    written = false;
                }
                store.onSnapshotWritten(nowMs, snapshot, written);
            }
        }
    }

    /** The states after the expiry of one lease after the other, in the order of their ids, by revision. */
    private static Map<Long, TreeMap<String, String>> statesAfterLeaseExpiry(
            TreeMap<String, String> model, long revision, State state) {
        Map<Long, TreeMap<String, String>> states = new TreeMap<>();
        TreeMap<String, String> rows = new TreeMap<>(model);
        long lastRevision = revision;
        for (long leaseId : new TreeSet<>(state.leases().keySet())) {
            if (rows.values().removeIf(value -> value.endsWith("/" + leaseId))) {
                states.put(++lastRevision, new TreeMap<>(rows));
            }
        }
        return states;
    }

    @Test
    void answeredChangesSurviveCrashesAndUnansweredOnesAreWholeOrAbsent() throws IOException {
        int crashes = 0;
        int failures = 0;
        for (long seed = 0; seed < 400; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ObservedHistory history = new ObservedHistory();
            FaultDirectory directory = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
            for (int incarnation = 0; incarnation < 5; incarnation++) {
                int call = random.nextInt(160);
                if (random.nextInt(4) == 0) {
                    directory.failAt(call, random.nextInt(40), 1 + random.nextInt(6));
                    failures++;
                } else {
                    directory.crashAt(call, random.nextInt(120));
                }
                try {
                    runWorkload(directory, history, random);
                } catch (FaultDirectory.SimulatedCrash e) {
                    crashes++;
                } catch (IOException e) {
                    // The fault hit the recovery at the start.
                }
                directory = random.nextBoolean() ? directory.afterKill() : directory.afterPowerCut(random);
            }
            runWorkload(directory, history, random);
        }
        assertThat(crashes).isGreaterThan(500);
        assertThat(failures).isGreaterThan(200);
    }
}
