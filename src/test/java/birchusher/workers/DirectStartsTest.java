package birchusher.workers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Effects;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a direct start may still be carried out, and what {@link SafetyChecks} finds of starts that are carried out again. */
class DirectStartsTest {
    private static final long TERM = 5;
    private static final ReportedTask EXITED =
            new ReportedTask("wk-1/0", 1, ReportedTask.Phase.EXITED, ReportedTask.ExitReason.DONE, false);
    private static final ReportedTask RUNNING =
            new ReportedTask("wk-1/0", 1, ReportedTask.Phase.RUNNING, ReportedTask.ExitReason.NONE, false);
    private static final WorkerCommand START = new WorkerCommand(WorkerCommand.Type.START, "wk-1/0", 1, 0);
    private static final List<WorkerCommand> REAP = List.of(WorkerCommand.reap(EXITED));

    private final DirectStarts starts = new DirectStarts();
    private final Counters counters = new Counters();
    private final Machine machine = new Machine("n-1", 0, 10);
    private final SafetyChecks checks = new SafetyChecks(new Effects(), counters, new SafetyChecks.OwnedMachines() {
        @Override
        public Machine ownedAndCurrent(String name) {
            return null;
        }

        @Override
        public long leaseEndMs(Machine owned) {
            return 0;
        }
    });

    @Test
    void anAnsweredStartCanBeRepeatedUntilTheTermIsHigher() {
        starts.onSent(EXITED.attemptKey(), TERM, 1_000);
        assertThat(starts.isUnanswered(EXITED.attemptKey())).isTrue();
        starts.onAnswered(EXITED.attemptKey(), 999);
        assertThat(starts.isUnanswered(EXITED.attemptKey()))
                .as("the answer to another call")
                .isTrue();
        starts.onAnswered(EXITED.attemptKey(), 1_000);
        assertThat(starts.isUnanswered(EXITED.attemptKey())).isFalse();
        starts.retainAnswered(attemptKey -> true);
        assertThat(starts.isRepeatable(EXITED.attemptKey(), TERM)).isTrue();
        assertThat(starts.countRepeatable(TERM)).isEqualTo(1);
        assertThat(starts.isRepeatable(EXITED.attemptKey(), TERM + 1)).isFalse();
        assertThat(starts.countRepeatable(TERM + 1)).isZero();
        assertThat(starts.isRepeatable("wk-1/1#1", TERM))
                .as("never sent directly")
                .isFalse();
    }

    @Test
    void aReapUnderTheTermOfTheDirectStartIsFound() {
        checks.recordSent(machine, TERM, List.of(START), false);
        assertThat(checks.withoutUnsafeReaps(machine, TERM, REAP))
                .as("started in a response")
                .isEqualTo(REAP);
        checks.recordSent(machine, TERM, List.of(START), true);
        assertThat(checks.withoutUnsafeReaps(machine, TERM + 1, REAP)).isEqualTo(REAP);
        assertThatThrownBy(() -> checks.withoutUnsafeReaps(machine, TERM, REAP))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("reap_under_start_term");
        assertThat(counters.safetyViolations).isEqualTo(1);
        machine.session++;
        assertThat(checks.withoutUnsafeReaps(machine, TERM, REAP))
                .as("a later session rejects the start")
                .isEqualTo(REAP);
    }

    @Test
    void anAttemptThatRunsAfterItsReapIsFoundOnce() {
        checks.checkNotReaped(RUNNING, machine);
        machine.lastSeq = 10;
        checks.recordSent(machine, TERM, REAP, true);
        machine.lastSeq = 7;
        checks.checkNotReaped(RUNNING, machine);
        assertThat(counters.secondStarts)
                .as("a delayed report from before the reap")
                .isZero();
        machine.lastSeq = 11;
        assertThatThrownBy(() -> checks.checkNotReaped(RUNNING, machine))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("started_after_reap");
        checks.checkNotReaped(RUNNING, machine);
        assertThat(counters.secondStarts).isEqualTo(1);
    }
}
