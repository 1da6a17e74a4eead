package birchusher.kv;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.statehost.Keeper;
import birchusher.wal.FaultDisk;
import birchusher.wal.Log;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Histories of concurrent clients of the state service, through failed writes, kills and power cuts, are linearizable: there is
 * one order of all requests, within the times at which each was open, that explains every answer. Requests without an answer
 * may have happened at any later time, or never.
 *
 * <p>Source of the search: Wing and Gong, Testing and Verifying Concurrent Objects (1993), with the states seen remembered as
 * Lowe does (2017).
 */
class LinearizabilityTest {
    private static final Limits LIMITS = new Limits(1e6, 1e6, 8, 100);
    private static final int NEVER = Integer.MAX_VALUE;
    private static final long UNTOLD = -1;

    /** A read, or a write of one key that holds only if the key's stamp is the given one; stamps come from answers. */
    private static final class Op {
        final boolean write;
        final long condition;
        final String value;
        final int from;
        int until = NEVER;
        /** What was answered: a value and its stamp, or whether the condition held and at which revision. */
        String read;

        long stamp;
        Boolean held;

        Op(boolean write, long condition, String value, int from) {
            this.write = write;
            this.condition = condition;
            this.value = value;
            this.from = from;
        }
    }

    /** The key's value and stamp, with what is done of the history; revisions of other keys only have to grow. */
    private record Point(Set<Integer> done, String value, long stamp) {}

    static boolean explained(List<Op> ops) {
        return explained(ops, new HashSet<>(), null, 0, new HashSet<>());
    }

    private static boolean explained(List<Op> ops, Set<Integer> done, String value, long stamp, Set<Point> seen) {
        if (!seen.add(new Point(Set.copyOf(done), value, stamp))) {
            return false;
        }
        int first = NEVER;
        boolean open = false;
        for (int i = 0; i < ops.size(); i++) {
            if (!done.contains(i)) {
                open |= ops.get(i).until != NEVER;
                first = Math.min(first, ops.get(i).until);
            }
        }
        if (!open) {
            return true;
        }
        for (int i = 0; i < ops.size(); i++) {
            Op o = ops.get(i);
            if (done.contains(i) || o.from > first) {
                continue;
            }
            done.add(i);
            for (Point next : after(o, value, stamp)) {
                if (explained(ops, done, next.value(), next.stamp(), seen)) {
                    return true;
                }
            }
            done.remove(i);
        }
        return false;
    }

    /** What the key may be after this request, if it comes now and its answer is right; -1 is a stamp that nobody was told. */
    private static List<Point> after(Op o, String value, long stamp) {
        Point same = new Point(Set.of(), value, stamp);
        boolean may = stamp == UNTOLD || stamp == o.condition;
        boolean mayNot = stamp == UNTOLD || stamp != o.condition;
        if (o.until == NEVER) {
            Point changed = new Point(Set.of(), o.value, UNTOLD);
            return !o.write || !may ? List.of(same) : mayNot ? List.of(changed, same) : List.of(changed);
        }
        if (!o.write) {
            boolean right = java.util.Objects.equals(o.read, value) && (stamp == UNTOLD || o.stamp == stamp);
            return right ? List.of(new Point(Set.of(), value, o.stamp)) : List.of();
        }
        return o.held
                ? may ? List.of(new Point(Set.of(), o.value, o.stamp)) : List.of()
                : mayNot ? List.of(same) : List.of();
    }

    private static final class History {
        final SplittableRandom random;
        final Map<String, List<Op>> ops = new HashMap<>();
        final Map<String, Long> lastStamp = new HashMap<>();
        final Map<Long, Op> open = new HashMap<>();
        int clock;
        long tickets;
        int answered;

        History(long seed) {
            random = new SplittableRandom(seed);
        }

        void ask(Keeper k) {
            String key = "k" + random.nextInt(2);
            boolean write = random.nextInt(3) > 0;
            long condition = random.nextInt(4) == 0 ? random.nextInt(4) : lastStamp.getOrDefault(key, 0L);
            Op o = new Op(write, condition, "v" + tickets, clock++);
            ops.computeIfAbsent(key, x -> new ArrayList<>()).add(o);
            open.put(++tickets, o);
            told(k.handle(
                    clock,
                    tickets,
                    write
                            ? new Request.Txn(
                                    List.of(new Request.Condition(key, condition)),
                                    List.of(new Write.Set(key, o.value.getBytes(StandardCharsets.UTF_8), 0)),
                                    100,
                                    10)
                            : new Request.Get(key)));
        }

        void told(List<Engine.Answer> answers) {
            for (Engine.Answer a : answers) {
                Op o = open.remove(a.ticket());
                String key = ops.entrySet().stream()
                        .filter(e -> e.getValue().contains(o))
                        .findFirst()
                        .orElseThrow()
                        .getKey();
                if (a.reply() instanceof Reply.Unavailable) {
                    ops.get(key).remove(o);
                    continue;
                }
                if (a.reply() instanceof Reply.Unclear) {
                    continue;
                }
                answered++;
                o.until = clock++;
                if (a.reply() instanceof Reply.Found f) {
                    o.read = new String(f.row().value(), StandardCharsets.UTF_8);
                    o.stamp = f.row().stamp();
                } else if (a.reply() instanceof Reply.Committed c) {
                    o.held = true;
                    o.stamp = c.revision();
                } else if (a.reply() instanceof Reply.Failed) {
                    o.held = false;
                } else {
                    assertThat(a.reply()).isInstanceOf(Reply.Missing.class);
                }
                if (o.stamp > 0) {
                    lastStamp.merge(key, o.stamp, Math::max);
                }
            }
        }

        /** One life: requests come at any moment, also while a batch is being written. */
        void live(Keeper k) {
            for (int i = 0; i < 12; i++) {
                int n = random.nextInt(3);
                for (int j = 0; j < n; j++) {
                    ask(k);
                }
                Keeper.Batch b = k.take();
                if (b != null) {
                    if (random.nextBoolean()) {
                        ask(k);
                    }
                    b.write();
                    if (random.nextBoolean()) {
                        ask(k);
                    }
                    told(k.written(clock, b));
                }
                told(k.tick(clock + 2_000L * i));
            }
        }
    }

    @Test
    void everyHistoryHasAnOrderThatExplainsIt() throws IOException {
        int answered = 0;
        int ends = 0;
        for (long seed = 0; seed < 500; seed++) {
            History h = new History(seed);
            FaultDisk disk = new FaultDisk(FaultDisk.Lie.NONE);
            for (int life = 0; life < 3; life++) {
                if (h.random.nextInt(3) == 0) {
                    disk.failAt(h.random.nextInt(25), h.random.nextInt(40), 1 + h.random.nextInt(3));
                } else {
                    disk.endAt(h.random.nextInt(25), h.random.nextInt(120));
                }
                try {
                    h.live(Keeper.open(disk, new Log.Options(700, 2), 500, LIMITS, h.clock));
                } catch (FaultDisk.Ended e) {
                    ends++;
                } catch (IOException e) {
                    // The fault fell on the start.
                }
                h.open.clear();
                disk = h.random.nextBoolean() ? disk.killed() : disk.powerCut(h.random);
            }
            for (Map.Entry<String, List<Op>> e : h.ops.entrySet()) {
                assertThat(explained(e.getValue()))
                        .as("seed " + seed + ", " + e.getKey())
                        .isTrue();
            }
            answered += h.answered;
        }
        assertThat(answered).isGreaterThan(5_000);
        assertThat(ends).isGreaterThan(400);
    }

    @Test
    void aHistoryThatHasNoneIsFound() {
        Op write = new Op(true, 0, "a", 0);
        write.until = 1;
        write.held = true;
        write.stamp = 1;
        Op old = new Op(false, 0, null, 2);
        old.until = 3;
        assertThat(explained(List.of(write, old)))
                .as("a read that has not seen a write before it")
                .isFalse();
        Op beside = new Op(false, 0, null, 0);
        beside.until = 3;
        assertThat(explained(List.of(write, beside))).isTrue();
        Op twice = new Op(true, 0, "b", 2);
        twice.until = 3;
        twice.held = true;
        twice.stamp = 2;
        assertThat(explained(List.of(write, twice)))
                .as("two writes on the same condition")
                .isFalse();
    }
}
