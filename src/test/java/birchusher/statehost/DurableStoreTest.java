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

/** The state service through kills, power cuts and a full disk: what was answered stands, and nothing stands in half. */
class DurableStoreTest {
    private static final Limits LIMITS = new Limits(1e6, 1e6, 8, 100);
    private static final WriteAheadLog.Options SMALL_SEGMENTS = new WriteAheadLog.Options(700, 2);

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private static TreeMap<String, String> rows(State s) {
        TreeMap<String, String> m = new TreeMap<>();
        for (Map.Entry<String, Row> e : s.rows().entrySet()) {
            Row r = e.getValue();
            m.put(
                    e.getKey(),
                    new String(r.value(), StandardCharsets.UTF_8) + "@" + r.modRevision() + "/" + r.leaseId());
        }
        return m;
    }

    /** Everything a life of the service saw: its states by revision, and the last one that was answered for. */
    private static final class ObservedHistory {
        final TreeMap<Long, TreeMap<String, String>> statesByRevision = new TreeMap<>(Map.of(0L, new TreeMap<>()));
        long answeredRevision;
        long lastLeaseId;

        void recordAnswers(List<Answer> answers) {
            for (Answer a : answers) {
                if (a.reply() instanceof Reply.Committed c) {
                    assertThat(c.revision()).isGreaterThanOrEqualTo(answeredRevision);
                    answeredRevision = c.revision();
                } else if (a.reply() instanceof Reply.LeaseGranted l) {
                    assertThat(l.leaseId()).as("a lease is never granted twice").isGreaterThan(lastLeaseId);
                    lastLeaseId = l.leaseId();
                }
            }
        }

        /** What a start found is a state that was there, not older than what was answered; later ones never were. */
        void verifyRecovered(State s) {
            assertThat(s.revision()).isGreaterThanOrEqualTo(answeredRevision);
            assertThat(rows(s)).isEqualTo(statesByRevision.get(s.revision()));
            s.rows().forEach((k, r) -> {
                if (r.leaseId() != 0) {
                    assertThat(s.leases().get(r.leaseId()).keys()).contains(k);
                }
            });
            s.leases().values().forEach(l -> l.keys()
                    .forEach(k -> assertThat(s.rows()).containsKey(k)));
            statesByRevision.tailMap(s.revision(), false).clear();
            answeredRevision = s.revision();
        }
    }

    private static void runWorkload(FaultDirectory disk, ObservedHistory seen, SplittableRandom r) throws IOException {
        long now = 0;
        DurableStore k = DurableStore.open(disk, SMALL_SEGMENTS, 500, LIMITS, now);
        seen.verifyRecovered(k.durableState());
        long ticket = 0;
        TreeMap<String, String> model =
                new TreeMap<>(seen.statesByRevision.get(k.durableState().revision()));
        long revision = k.durableState().revision();
        for (int i = 0; i < 40; i++) {
            now += 50;
            if (r.nextInt(8) == 0) {
                seen.recordAnswers(k.handle(now, ++ticket, new Request.GrantLease(200)));
            }
            TreeMap<String, Write> writes = new TreeMap<>();
            for (int w = r.nextInt(3); w >= 0; w--) {
                String key = "k" + r.nextInt(8);
                writes.put(
                        key,
                        r.nextInt(5) == 0
                                ? new Write.Remove(key)
                                : new Write.Set(
                                        key,
                                        bytes("v" + r.nextInt(1_000)),
                                        k.durableState().leases().isEmpty()
                                                ? 0
                                                : new TreeSet<>(k.durableState()
                                                                .leases()
                                                                .keySet())
                                                        .last()));
            }
            // Nothing else is open here, so the engine's newest state is what the model has.
            if (!k.readOnly()
                    && writes.values().stream().anyMatch(w -> w instanceof Write.Set || model.containsKey(w.key()))) {
                revision++;
                for (Write w : writes.values()) {
                    model.remove(w.key());
                    if (w instanceof Write.Set s) {
                        model.put(
                                w.key(),
                                new String(s.value(), StandardCharsets.UTF_8) + "@" + revision + "/" + s.leaseId());
                    }
                }
                seen.statesByRevision.put(revision, new TreeMap<>(model));
            }
            seen.recordAnswers(
                    k.handle(now, ++ticket, new Request.Transaction(List.of(), List.copyOf(writes.values()), 100, 10)));
            seen.recordAnswers(k.flush(now));
            // Leases end by time, and their keys go.
            boolean ends = !k.readOnly();
            seen.recordAnswers(k.tick(now));
            if (ends) {
                seen.statesByRevision.putAll(statesAfterLeaseExpiry(model, revision, k.durableState()));
            }
            seen.recordAnswers(k.flush(now));
            model.clear();
            model.putAll(rows(k.durableState()));
            revision = k.durableState().revision();
            if (!k.readOnly()) {
                seen.statesByRevision.tailMap(revision, false).clear();
                assertThat(model).isEqualTo(seen.statesByRevision.get(revision));
            }
            DurableStore.PendingSnapshot p = k.takeDueSnapshot(now);
            if (p != null) {
                boolean written = true;
                try {
                    p.write();
                } catch (IOException e) {
                    written = false;
                }
                k.onSnapshotWritten(now, p, written);
            }
        }
    }

    /** The states after any of the leases' ends that may be under way, one after the other in the order of their numbers. */
    private static Map<Long, TreeMap<String, String>> statesAfterLeaseExpiry(
            TreeMap<String, String> model, long revision, State durable) {
        Map<Long, TreeMap<String, String>> states = new TreeMap<>();
        TreeMap<String, String> m = new TreeMap<>(model);
        long at = revision;
        for (long lease : new TreeSet<>(durable.leases().keySet())) {
            if (m.values().removeIf(v -> v.endsWith("/" + lease))) {
                states.put(++at, new TreeMap<>(m));
            }
        }
        return states;
    }

    @Test
    void answeredChangesSurviveCrashesAndUnansweredOnesAreWholeOrAbsent() throws IOException {
        int ends = 0;
        int failures = 0;
        for (long seed = 0; seed < 400; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            ObservedHistory seen = new ObservedHistory();
            FaultDirectory disk = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
            for (int life = 0; life < 5; life++) {
                int at = r.nextInt(160);
                if (r.nextInt(4) == 0) {
                    disk.failAt(at, r.nextInt(40), 1 + r.nextInt(6));
                    failures++;
                } else {
                    disk.crashAt(at, r.nextInt(120));
                }
                try {
                    runWorkload(disk, seen, r);
                } catch (FaultDirectory.SimulatedCrash e) {
                    ends++;
                } catch (IOException e) {
                    // The fault fell on the start.
                }
                disk = r.nextBoolean() ? disk.afterKill() : disk.afterPowerCut(r);
            }
            runWorkload(disk, seen, r);
        }
        assertThat(ends).isGreaterThan(500);
        assertThat(failures).isGreaterThan(200);
    }
}
