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
 * Histories of concurrent clients of the state service are linearizable, with failed writes, kills and power cuts: one order
 * of all requests, each within the time between its start and its answer, explains every answer. A request without an answer
 * may take effect at any later time, or never.
 *
 * <p>The search is that of Wing and Gong, Testing and Verifying Concurrent Objects (1993), with visited states remembered as
 * in Lowe (2017).
 */
class LinearizabilityTest {
    private static final Limits LIMITS = new Limits(1e6, 1e6, 8, 100);
    private static final int NOT_ANSWERED = Integer.MAX_VALUE;
    private static final long UNKNOWN_REVISION = -1;

    /** A read, or a conditional write of one key; the condition is a revision that came from an answer. */
    private static final class Operation {
        final boolean write;
        final long conditionRevision;
        final String value;
        final int startTime;
        int answerTime = NOT_ANSWERED;
        /** The answer to a read: the value, null if there was none, and its revision. */
        String valueRead;

        /** The revision of the row read, or that of the successful write. */
        long modRevision;

        /** The answer to a write. */
        Boolean conditionHeld;

        Operation(boolean write, long conditionRevision, String value, int startTime) {
            this.write = write;
            this.conditionRevision = conditionRevision;
            this.value = value;
            this.startTime = startTime;
        }
    }

    /** The operations ordered so far, and the key's value and revision after them. */
    private record SearchState(Set<Integer> done, String value, long modRevision) {}

    static boolean isLinearizable(List<Operation> operations) {
        return isLinearizable(operations, new HashSet<>(), null, 0, new HashSet<>());
    }

    private static boolean isLinearizable(
            List<Operation> operations, Set<Integer> done, String value, long modRevision, Set<SearchState> visited) {
        if (!visited.add(new SearchState(Set.copyOf(done), value, modRevision))) {
            return false;
        }
        int earliestAnswer = NOT_ANSWERED;
        boolean answersLeft = false;
        for (int i = 0; i < operations.size(); i++) {
            if (!done.contains(i)) {
                answersLeft |= operations.get(i).answerTime != NOT_ANSWERED;
                earliestAnswer = Math.min(earliestAnswer, operations.get(i).answerTime);
            }
        }
        if (!answersLeft) {
            return true;
        }
        for (int i = 0; i < operations.size(); i++) {
            Operation operation = operations.get(i);
            if (done.contains(i) || operation.startTime > earliestAnswer) {
                continue;
            }
            done.add(i);
            for (SearchState next : possibleStatesAfter(operation, value, modRevision)) {
                if (isLinearizable(operations, done, next.value(), next.modRevision(), visited)) {
                    return true;
                }
            }
            done.remove(i);
        }
        return false;
    }

    /**
     * The states in which the operation may leave the key if it is the next one and its answer is right; none if the
     * answer would be wrong. The revision of a write without an answer is {@link #UNKNOWN_REVISION}.
     */
    private static List<SearchState> possibleStatesAfter(Operation operation, String value, long modRevision) {
        SearchState unchanged = new SearchState(Set.of(), value, modRevision);
        boolean mayHold = modRevision == UNKNOWN_REVISION || modRevision == operation.conditionRevision;
        boolean mayFail = modRevision == UNKNOWN_REVISION || modRevision != operation.conditionRevision;
        if (operation.answerTime == NOT_ANSWERED) {
            SearchState changed = new SearchState(Set.of(), operation.value, UNKNOWN_REVISION);
            return !operation.write || !mayHold
                    ? List.of(unchanged)
                    : mayFail ? List.of(changed, unchanged) : List.of(changed);
        }
        if (!operation.write) {
            boolean answerIsRight = java.util.Objects.equals(operation.valueRead, value)
                    && (modRevision == UNKNOWN_REVISION || operation.modRevision == modRevision);
            return answerIsRight ? List.of(new SearchState(Set.of(), value, operation.modRevision)) : List.of();
        }
        return operation.conditionHeld
                ? mayHold ? List.of(new SearchState(Set.of(), operation.value, operation.modRevision)) : List.of()
                : mayFail ? List.of(unchanged) : List.of();
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

        void submit(DurableStore store) {
            String key = "k" + random.nextInt(2);
            boolean write = random.nextInt(3) > 0;
            long condition = random.nextInt(4) == 0 ? random.nextInt(4) : lastModRevision.getOrDefault(key, 0L);
            Operation operation = new Operation(write, condition, "v" + lastRequestId, clock++);
            operationsByKey.computeIfAbsent(key, newKey -> new ArrayList<>()).add(operation);
            openOperations.put(++lastRequestId, operation);
            recordAnswers(store.handle(
                    clock,
                    lastRequestId,
                    write
                            ? new Request.Transaction(
                                    List.of(new Request.Condition(key, condition)),
                                    List.of(new Write.Set(key, operation.value.getBytes(StandardCharsets.UTF_8), 0)),
                                    100,
                                    10)
                            : new Request.Get(key)));
        }

        void recordAnswers(List<Engine.Answer> answers) {
            for (Engine.Answer answer : answers) {
                Operation operation = openOperations.remove(answer.requestId());
                String key = operationsByKey.entrySet().stream()
                        .filter(entry -> entry.getValue().contains(operation))
                        .findFirst()
                        .orElseThrow()
                        .getKey();
                if (answer.reply() instanceof Reply.Unavailable) {
                    operationsByKey.get(key).remove(operation);
                    continue;
                }
                if (answer.reply() instanceof Reply.OutcomeUnknown) {
                    continue;
                }
                answeredCount++;
                operation.answerTime = clock++;
                if (answer.reply() instanceof Reply.Found found) {
                    operation.valueRead = new String(found.row().value(), StandardCharsets.UTF_8);
                    operation.modRevision = found.row().modRevision();
                } else if (answer.reply() instanceof Reply.Committed committed) {
                    operation.conditionHeld = true;
                    operation.modRevision = committed.revision();
                } else if (answer.reply() instanceof Reply.ConditionsFailed) {
                    operation.conditionHeld = false;
                } else {
                    assertThat(answer.reply()).isInstanceOf(Reply.NotFound.class);
                }
                if (operation.modRevision > 0) {
                    lastModRevision.merge(key, operation.modRevision, Math::max);
                }
            }
        }

        /** Runs one incarnation of the service: requests arrive at any time, also while a batch is being written. */
        void runIncarnation(DurableStore store) {
            for (int i = 0; i < 12; i++) {
                int requests = random.nextInt(3);
                for (int j = 0; j < requests; j++) {
                    submit(store);
                }
                DurableStore.Batch batch = store.takeBatch();
                if (batch != null) {
                    if (random.nextBoolean()) {
                        submit(store);
                    }
                    batch.write();
                    if (random.nextBoolean()) {
                        submit(store);
                    }
                    recordAnswers(store.onBatchWritten(clock, batch));
                }
                recordAnswers(store.tick(clock + 2_000L * i));
            }
        }
    }

    @Test
    void everyHistoryIsLinearizable() throws IOException {
        int answered = 0;
        int crashes = 0;
        for (long seed = 0; seed < 500; seed++) {
            History history = new History(seed);
            FaultDirectory directory = new FaultDirectory(FaultDirectory.IgnoredSyncs.NONE);
            for (int incarnation = 0; incarnation < 3; incarnation++) {
                if (history.random.nextInt(3) == 0) {
                    directory.failAt(
                            history.random.nextInt(25), history.random.nextInt(40), 1 + history.random.nextInt(3));
                } else {
                    directory.crashAt(history.random.nextInt(25), history.random.nextInt(120));
                }
                try {
                    history.runIncarnation(DurableStore.open(
                            directory, new WriteAheadLog.Options(700, 2), 500, LIMITS, history.clock));
                } catch (FaultDirectory.SimulatedCrash e) {
                    crashes++;
                } catch (IOException e) {
                    // The fault hit the recovery at the start.
                }
                history.openOperations.clear();
                directory =
                        history.random.nextBoolean() ? directory.afterKill() : directory.afterPowerCut(history.random);
            }
            for (Map.Entry<String, List<Operation>> entry : history.operationsByKey.entrySet()) {
                assertThat(isLinearizable(entry.getValue()))
                        .as("seed " + seed + ", " + entry.getKey())
                        .isTrue();
            }
            answered += history.answeredCount;
        }
        assertThat(answered).isGreaterThan(5_000);
        assertThat(crashes).isGreaterThan(400);
    }

    @Test
    void historiesThatAreNotLinearizableAreRejected() {
        Operation write = new Operation(true, 0, "a", 0);
        write.answerTime = 1;
        write.conditionHeld = true;
        write.modRevision = 1;
        Operation staleRead = new Operation(false, 0, null, 2);
        staleRead.answerTime = 3;
        assertThat(isLinearizable(List.of(write, staleRead)))
                .as("a read that misses a write answered before it")
                .isFalse();
        Operation concurrentRead = new Operation(false, 0, null, 0);
        concurrentRead.answerTime = 3;
        assertThat(isLinearizable(List.of(write, concurrentRead))).isTrue();
        Operation secondWrite = new Operation(true, 0, "b", 2);
        secondWrite.answerTime = 3;
        secondWrite.conditionHeld = true;
        secondWrite.modRevision = 2;
        assertThat(isLinearizable(List.of(write, secondWrite)))
                .as("two successful writes on the same condition")
                .isFalse();
    }
}
