package birchusher.kv;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.statehost.DurableStore;
import birchusher.wal.FaultDirectory;
import birchusher.wal.WriteAheadLog;
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
    private static final int NOT_ANSWERED = Integer.MAX_VALUE;
    private static final long UNKNOWN_REVISION = -1;

    /** A read, or a write of one key that holds only if the key's stamp is the given one; stamps come from answers. */
    private static final class Operation {
        final boolean write;
        final long conditionRevision;
        final String value;
        final int startTime;
        int answerTime = NOT_ANSWERED;
        /** What was answered: a value and its stamp, or whether the condition held and at which revision. */
        String valueRead;

        long modRevision;
        Boolean conditionHeld;

        Operation(boolean write, long condition, String value, int from) {
            this.write = write;
            this.conditionRevision = condition;
            this.value = value;
            this.startTime = from;
        }
    }

    /** The key's value and stamp, with what is done of the history; revisions of other keys only have to grow. */
    private record SearchState(Set<Integer> done, String value, long modRevision) {}

    static boolean isLinearizable(List<Operation> ops) {
        return isLinearizable(ops, new HashSet<>(), null, 0, new HashSet<>());
    }

    private static boolean isLinearizable(
            List<Operation> ops, Set<Integer> done, String value, long stamp, Set<SearchState> seen) {
        if (!seen.add(new SearchState(Set.copyOf(done), value, stamp))) {
            return false;
        }
        int first = NOT_ANSWERED;
        boolean open = false;
        for (int i = 0; i < ops.size(); i++) {
            if (!done.contains(i)) {
                open |= ops.get(i).answerTime != NOT_ANSWERED;
                first = Math.min(first, ops.get(i).answerTime);
            }
        }
        if (!open) {
            return true;
        }
        for (int i = 0; i < ops.size(); i++) {
            Operation o = ops.get(i);
            if (done.contains(i) || o.startTime > first) {
                continue;
            }
            done.add(i);
            for (SearchState next : possibleStatesAfter(o, value, stamp)) {
                if (isLinearizable(ops, done, next.value(), next.modRevision(), seen)) {
                    return true;
                }
            }
            done.remove(i);
        }
        return false;
    }

    /** What the key may be after this request, if it comes now and its answer is right; -1 is a stamp that nobody was told. */
    private static List<SearchState> possibleStatesAfter(Operation o, String value, long stamp) {
        SearchState same = new SearchState(Set.of(), value, stamp);
        boolean may = stamp == UNKNOWN_REVISION || stamp == o.conditionRevision;
        boolean mayNot = stamp == UNKNOWN_REVISION || stamp != o.conditionRevision;
        if (o.answerTime == NOT_ANSWERED) {
            SearchState changed = new SearchState(Set.of(), o.value, UNKNOWN_REVISION);
            return !o.write || !may ? List.of(same) : mayNot ? List.of(changed, same) : List.of(changed);
        }
        if (!o.write) {
            boolean right = java.util.Objects.equals(o.valueRead, value)
                    && (stamp == UNKNOWN_REVISION || o.modRevision == stamp);
            return right ? List.of(new SearchState(Set.of(), value, o.modRevision)) : List.of();
        }
        return o.conditionHeld
                ? may ? List.of(new SearchState(Set.of(), o.value, o.modRevision)) : List.of()
                : mayNot ? List.of(same) : List.of();
    }

    private static final class History {
        final SplittableRandom random;
        final Map<String, List<Operation>> operationsByKey = new HashMap<>();
        final Map<String, Long> lastModRevision = new HashMap<>();
        final Map<Long, Operation> openOperations = new HashMap<>();
        int clock;
        long lastRequestId;
        int answeredCount;

        History(long seed) {
            random = new SplittableRandom(seed);
        }

        void submit(DurableStore k) {
            String key = "k" + random.nextInt(2);
            boolean write = random.nextInt(3) > 0;
            long condition = random.nextInt(4) == 0 ? random.nextInt(4) : lastModRevision.getOrDefault(key, 0L);
            Operation o = new Operation(write, condition, "v" + lastRequestId, clock++);
            operationsByKey.computeIfAbsent(key, x -> new ArrayList<>()).add(o);
            openOperations.put(++lastRequestId, o);
            recordAnswers(k.handle(
                    clock,
                    lastRequestId,
                    write
                            ? new Request.Transaction(
                                    List.of(new Request.Condition(key, condition)),
                                    List.of(new Write.Set(key, o.value.getBytes(StandardCharsets.UTF_8), 0)),
                                    100,
                                    10)
                            : new Request.Get(key)));
        }

        void recordAnswers(List<Engine.Answer> answers) {
            for (Engine.Answer a : answers) {
                Operation o = openOperations.remove(a.requestId());
                String key = operationsByKey.entrySet().stream()
                        .filter(e -> e.getValue().contains(o))
                        .findFirst()
                        .orElseThrow()
                        .getKey();
                if (a.reply() instanceof Reply.Unavailable) {
                    operationsByKey.get(key).remove(o);
                    continue;
                }
                if (a.reply() instanceof Reply.OutcomeUnknown) {
                    continue;
                }
                answeredCount++;
                o.answerTime = clock++;
                if (a.reply() instanceof Reply.Found f) {
                    o.valueRead = new String(f.row().value(), StandardCharsets.UTF_8);
                    o.modRevision = f.row().modRevision();
                } else if (a.reply() instanceof Reply.Committed c) {
                    o.conditionHeld = true;
                    o.modRevision = c.revision();
                } else if (a.reply() instanceof Reply.ConditionsFailed) {
                    o.conditionHeld = false;
                } else {
                    assertThat(a.reply()).isInstanceOf(Reply.NotFound.class);
                }
                if (o.modRevision > 0) {
                    lastModRevision.merge(key, o.modRevision, Math::max);
                }
            }
        }

        /** One life: requests come at any moment, also while a batch is being written. */
        void runIncarnation(DurableStore k) {
            for (int i = 0; i < 12; i++) {
                int n = random.nextInt(3);
                for (int j = 0; j < n; j++) {
                    submit(k);
                }
                DurableStore.Batch b = k.takeBatch();
                if (b != null) {
                    if (random.nextBoolean()) {
                        submit(k);
                    }
                    b.write();
                    if (random.nextBoolean()) {
                        submit(k);
                    }
                    recordAnswers(k.onBatchWritten(clock, b));
                }
                recordAnswers(k.tick(clock + 2_000L * i));
            }
        }
    }

    @Test
    void everyHistoryIsLinearizable() throws IOException {
        int answered = 0;
        int ends = 0;
        for (long seed = 0; seed < 500; seed++) {
            History h = new History(seed);
            FaultDirectory disk = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
            for (int life = 0; life < 3; life++) {
                if (h.random.nextInt(3) == 0) {
                    disk.failAt(h.random.nextInt(25), h.random.nextInt(40), 1 + h.random.nextInt(3));
                } else {
                    disk.crashAt(h.random.nextInt(25), h.random.nextInt(120));
                }
                try {
                    h.runIncarnation(DurableStore.open(disk, new WriteAheadLog.Options(700, 2), 500, LIMITS, h.clock));
                } catch (FaultDirectory.SimulatedCrash e) {
                    ends++;
                } catch (IOException e) {
                    // The fault fell on the start.
                }
                h.openOperations.clear();
                disk = h.random.nextBoolean() ? disk.afterKill() : disk.afterPowerCut(h.random);
            }
            for (Map.Entry<String, List<Operation>> e : h.operationsByKey.entrySet()) {
                assertThat(isLinearizable(e.getValue()))
                        .as("seed " + seed + ", " + e.getKey())
                        .isTrue();
            }
            answered += h.answeredCount;
        }
        assertThat(answered).isGreaterThan(5_000);
        assertThat(ends).isGreaterThan(400);
    }

    @Test
    void historiesThatAreNotLinearizableAreRejected() {
        Operation write = new Operation(true, 0, "a", 0);
        write.answerTime = 1;
        write.conditionHeld = true;
        write.modRevision = 1;
        Operation old = new Operation(false, 0, null, 2);
        old.answerTime = 3;
        assertThat(isLinearizable(List.of(write, old)))
                .as("a read that has not seen a write before it")
                .isFalse();
        Operation beside = new Operation(false, 0, null, 0);
        beside.answerTime = 3;
        assertThat(isLinearizable(List.of(write, beside))).isTrue();
        Operation twice = new Operation(true, 0, "b", 2);
        twice.answerTime = 3;
        twice.conditionHeld = true;
        twice.modRevision = 2;
        assertThat(isLinearizable(List.of(write, twice)))
                .as("two writes on the same condition")
                .isFalse();
    }
}
