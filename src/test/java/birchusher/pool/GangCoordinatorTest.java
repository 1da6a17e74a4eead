package birchusher.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the coordination of gangs, and the upload and validation of programs. */
class GangCoordinatorTest {
    private final GangCoordinator gangs = new GangCoordinator(5_000);

    private String instruction(long nowMs, int index, String phase) {
        return (String) sendStatus(nowMs, index, phase).get("say");
    }

    private Map<String, Object> sendStatus(long nowMs, int index, String phase) {
        return gangs.handleStatus(
                nowMs,
                Map.of(
                        "job",
                        "wk-1",
                        "try",
                        1L,
                        "index",
                        (long) index,
                        "pieces",
                        2L,
                        "phase",
                        phase,
                        "address",
                        "10.0.0." + index + ":9"));
    }

    @Test
    void gangStartsAndIsDoneOnlyAsAWhole() {
        assertThat(instruction(0, 0, "waiting")).isEqualTo("wait");
        assertThat(instruction(1_000, 0, "waiting")).isEqualTo("wait");
        assertThat(sendStatus(1_500, 1, "waiting"))
                .containsEntry("say", "go")
                .containsEntry("hosts", List.of("10.0.0.0", "10.0.0.1"));
        assertThat(instruction(2_000, 0, "waiting")).isEqualTo("go");
        assertThat(instruction(3_000, 0, "ended")).isEqualTo("go");
        assertThat(instruction(4_000, 1, "ended")).isEqualTo("all");
        assertThat(instruction(30_000, 0, "ended"))
                .as("also after the silence timeout")
                .isEqualTo("all");
    }

    @Test
    void silentTaskBreaksARunningGangButNotAWaitingOne() {
        instruction(0, 0, "waiting");
        instruction(0, 1, "waiting");
        assertThat(instruction(1_000, 0, "running")).isEqualTo("go");
        assertThat(instruction(6_500, 0, "running"))
                .as("task 1 was silent for longer than allowed")
                .isEqualTo("broken");
        GangCoordinator other = new GangCoordinator(5_000);
        Map<String, Object> zero =
                Map.of("job", "wk-1", "try", 1L, "index", 0L, "pieces", 2L, "phase", "waiting", "address", "x:1");
        other.handleStatus(0, zero);
        Map<String, Object> one = new HashMap<>(zero);
        one.put("index", 1L);
        one.put("phase", "leaving");
        assertThat(other.handleStatus(1_000, one).get("say")).isEqualTo("wait");
        one.put("phase", "waiting");
        assertThat(other.handleStatus(2_000, one).get("say"))
                .as("a replacement completes the gang")
                .isEqualTo("go");
    }

    @Test
    void afterARestartNoTaskIsMissingBeforeTheSilenceTimeout() {
        assertThat(instruction(100_000, 0, "running")).isEqualTo("go");
        assertThat(instruction(104_000, 0, "running")).isEqualTo("go");
        assertThat(instruction(104_500, 1, "running")).isEqualTo("go");
        assertThat(instruction(106_000, 0, "running")).isEqualTo("go");
        GangCoordinator fresh = new GangCoordinator(5_000);
        Map<String, Object> zero =
                Map.of("job", "wk-1", "try", 1L, "index", 0L, "pieces", 2L, "phase", "running", "address", "x:1");
        fresh.handleStatus(0, zero);
        assertThat(fresh.handleStatus(5_000, zero).get("say")).isEqualTo("broken");
    }

    @Test
    void programIsStoredOnceAndOnlyIfValid() {
        Outbox outbox = new Outbox();
        ProgramStore programs = new ProgramStore(outbox, Map.of());
        Map<String, Object> program = Map.of("command", List.of("sh", "-c", "true"), "env", Map.of("A", "b"));
        programs.put(0, 1, "wk-1", program);
        programs.put(0, 2, "wk-1", program);
        List<Outbox.Output> outputs = outbox.drain();
        assertThat(((Outbox.Response) outputs.get(1)).status())
                .as("the first upload is not durable yet")
                .isEqualTo(503);
        outbox.onWritten(((Outbox.Write) outputs.get(0)).id(), true);
        programs.put(0, 3, "wk-1", program);
        programs.put(0, 4, "wk-1", Map.of("command", List.of("other")));
        assertThat(outbox.drain().stream().map(output -> ((Outbox.Response) output).status()))
                .containsExactly(201, 200, 409);
        // A program is deleted when its job has ended, not before.
        assertThat(programs.nextToCheck(1_000)).isNull();
        assertThat(programs.nextToCheck(700_000)).isEqualTo("wk-1");
        programs.onJobStatus(700_000, "wk-1", false, true);
        assertThat(outbox.drain()).as("the job may still be submitted").isEmpty();
        programs.onJobStatus(700_000, "wk-1", true, false);
        outbox.onWritten(((Outbox.Write) outbox.drain().get(0)).id(), true);
        assertThat(programs.get("wk-1")).isNull();
        for (Map<String, Object> invalid : List.<Map<String, Object>>of(
                Map.of(),
                Map.of("command", List.of()),
                Map.of("command", List.of(1L)),
                Map.of("command", List.of("a\0b")),
                Map.of("command", List.of("x"), "dir", "/"),
                Map.of("command", List.of("x"), "env", Map.of("BIRCHUSHER_TAG", "x")),
                Map.of("command", List.of("x"), "save_signal", "KILL"),
                Map.of("command", List.of("x".repeat(50_000))))) {
            assertThatThrownBy(() -> ProgramStore.validate(invalid))
                    .as(String.valueOf(invalid.keySet()))
                    .isInstanceOf(InvalidInputException.class);
        }
    }
}
