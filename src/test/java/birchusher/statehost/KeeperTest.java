package birchusher.statehost;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.kv.Engine.Answer;
import birchusher.kv.Limits;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Row;
import birchusher.kv.State;
import birchusher.kv.Write;
import birchusher.wal.FaultDisk;
import birchusher.wal.Log;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The state service through kills, power cuts and a full disk: what was answered stands, and nothing stands in half. */
class KeeperTest {
    private static final Limits LIMITS = new Limits(1e6, 1e6, 8, 100);
    private static final Log.Options SMALL = new Log.Options(700, 2);

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private static TreeMap<String, String> rows(State s) {
        TreeMap<String, String> m = new TreeMap<>();
        for (Map.Entry<String, Row> e : s.rows().entrySet()) {
            Row r = e.getValue();
            m.put(e.getKey(), new String(r.value(), StandardCharsets.UTF_8) + "@" + r.stamp() + "/" + r.lease());
        }
        return m;
    }

    /** Everything a life of the service saw: its states by revision, and the last one that was answered for. */
    private static final class Seen {
        final TreeMap<Long, TreeMap<String, String>> states = new TreeMap<>(Map.of(0L, new TreeMap<>()));
        long answered;
        long leases;

        void answers(List<Answer> answers) {
            for (Answer a : answers) {
                if (a.reply() instanceof Reply.Committed c) {
                    assertThat(c.revision()).isGreaterThanOrEqualTo(answered);
                    answered = c.revision();
                } else if (a.reply() instanceof Reply.Leased l) {
                    assertThat(l.lease()).as("a lease is never granted twice").isGreaterThan(leases);
                    leases = l.lease();
                }
            }
        }

        /** What a start found is a state that was there, not older than what was answered; later ones never were. */
        void found(State s) {
            assertThat(s.revision()).isGreaterThanOrEqualTo(answered);
            assertThat(rows(s)).isEqualTo(states.get(s.revision()));
            s.rows().forEach((k, r) -> {
                if (r.lease() != 0) {
                    assertThat(s.leases().get(r.lease()).keys()).contains(k);
                }
            });
            s.leases().values().forEach(l -> l.keys()
                    .forEach(k -> assertThat(s.rows()).containsKey(k)));
            states.tailMap(s.revision(), false).clear();
            answered = s.revision();
        }
    }

    private static void live(FaultDisk disk, Seen seen, SplittableRandom r) throws IOException {
        long now = 0;
        Keeper k = Keeper.open(disk, SMALL, 500, LIMITS, now);
        seen.found(k.state());
        long ticket = 0;
        TreeMap<String, String> model = new TreeMap<>(seen.states.get(k.state().revision()));
        long revision = k.state().revision();
        for (int i = 0; i < 40; i++) {
            now += 50;
            if (r.nextInt(8) == 0) {
                seen.answers(k.handle(now, ++ticket, new Request.Grant(200)));
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
                                        k.state().leases().isEmpty()
                                                ? 0
                                                : new TreeSet<>(k.state()
                                                                .leases()
                                                                .keySet())
                                                        .last()));
            }
            // Nothing else is open here, so the engine's newest state is what the model has.
            if (!k.stalled()
                    && writes.values().stream().anyMatch(w -> w instanceof Write.Set || model.containsKey(w.key()))) {
                revision++;
                for (Write w : writes.values()) {
                    model.remove(w.key());
                    if (w instanceof Write.Set s) {
                        model.put(
                                w.key(),
                                new String(s.value(), StandardCharsets.UTF_8) + "@" + revision + "/" + s.lease());
                    }
                }
                seen.states.put(revision, new TreeMap<>(model));
            }
            seen.answers(k.handle(now, ++ticket, new Request.Txn(List.of(), List.copyOf(writes.values()), 100, 10)));
            seen.answers(k.flush(now));
            // Leases end by time, and their keys go.
            boolean ends = !k.stalled();
            seen.answers(k.tick(now));
            if (ends) {
                seen.states.putAll(ended(model, revision, k.state()));
            }
            seen.answers(k.flush(now));
            model.clear();
            model.putAll(rows(k.state()));
            revision = k.state().revision();
            if (!k.stalled()) {
                seen.states.tailMap(revision, false).clear();
                assertThat(model).isEqualTo(seen.states.get(revision));
            }
            Keeper.MachineStatus p = k.picture(now);
            if (p != null) {
                boolean written = true;
                try {
                    p.write();
                } catch (IOException e) {
                    written = false;
                }
                k.pictured(now, p, written);
            }
        }
    }

    /** The states after any of the leases' ends that may be under way, one after the other in the order of their numbers. */
    private static Map<Long, TreeMap<String, String>> ended(
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
    void livesThatEndAnywhereLeaveExactlyWhatWasAnsweredAndPerhapsWhatWasUnderWay() throws IOException {
        int ends = 0;
        int failures = 0;
        for (long seed = 0; seed < 400; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Seen seen = new Seen();
            FaultDisk disk = new FaultDisk(FaultDisk.Lie.NONE);
            for (int life = 0; life < 5; life++) {
                int at = r.nextInt(160);
                if (r.nextInt(4) == 0) {
                    disk.failAt(at, r.nextInt(40), 1 + r.nextInt(6));
                    failures++;
                } else {
                    disk.endAt(at, r.nextInt(120));
                }
                try {
                    live(disk, seen, r);
                } catch (FaultDisk.Ended e) {
                    ends++;
                } catch (IOException e) {
                    // The fault fell on the start.
                }
                disk = r.nextBoolean() ? disk.killed() : disk.powerCut(r);
            }
            live(disk, seen, r);
        }
        assertThat(ends).isGreaterThan(500);
        assertThat(failures).isGreaterThan(200);
    }
}
