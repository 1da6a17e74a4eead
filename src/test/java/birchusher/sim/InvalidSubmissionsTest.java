package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Submissions that no controller may accept, whatever the state of its view. A refusal names the field or the reason.
 */
class InvalidSubmissionsTest {
    private static final List<String> REQUIRED_FIELDS = List.of(
            "name_id",
            "lane",
            "crew",
            "shape",
            "rank",
            "pieces",
            "cores",
            "cards",
            "memory_gb",
            "bundle",
            "size_gb",
            "one_zone",
            "scatter",
            "loaners",
            "expect_s",
            "mark_every_s",
            "mark_take_s");

    @BeforeAll
    static void silenceLogging() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static Map<String, Object> validBody(String id) {
        return new LinkedHashMap<>(World.submission(id, "sweep", 1, "red"));
    }

    /**
     * Returns malformed submissions by field: each required field missing, null, a list, a map or an invalid value, and
     * each optional field with a value of a wrong type.
     */
    private static Map<String, List<Map<String, Object>>> malformedBodies() {
        Map<String, List<Map<String, Object>>> bodiesByField = new LinkedHashMap<>();
        int number = 0;
        for (String field : REQUIRED_FIELDS) {
            List<Map<String, Object>> fieldBodies = new ArrayList<>();
            for (Object wrongValue :
                    new Object[] {null, List.of(), Map.of("x", 1L), field.equals("name_id") ? "job 1" : -3.5}) {
                Map<String, Object> body = validBody("wk-m" + number++);
                body.put(field, wrongValue);
                fieldBodies.add(body);
            }
            Map<String, Object> incomplete = validBody("wk-m" + number++);
            incomplete.remove(field);
            fieldBodies.add(incomplete);
            bodiesByField.put(field, fieldBodies);
        }
        for (String field : List.of("builds", "grove", "due_s")) {
            Map<String, Object> body = validBody("wk-m" + number++);
            body.put(field, field.equals("builds") ? List.of(7L) : true);
            bodiesByField.put(field, List.of(body));
        }
        return bodiesByField;
    }

    @Test
    void refusalNamesTheMissingOrMistypedField() {
        World world = new World(1, 3, 16);
        world.run(10_000);
        int[] nextController = {0};
        malformedBodies()
                .forEach((field, bodies) -> bodies.forEach(body -> {
                    assertThat(world.requestAndWait(nextController[0]++ % 3, "POST", "/v2/runs", body))
                            .as(field + " of " + body)
                            .startsWith("400 ")
                            .contains(field);
                }));
        assertThat(world.requestAndWait(0, "POST", "/v2/runs", validBody("wk-fine")))
                .startsWith("201");
        world.run(2_000);
        assertThat(world.store.dump()).contains("job/wk-fine").doesNotContain("job/wk-m");
        assertThat(world.violations).isEmpty();
    }

    @Test
    void unsatisfiableSubmissionIsRefusedWithTheReason() {
        World world = new World(2, 3, 16);
        world.run(10_000);
        Map<String, Map<String, Object>> unsatisfiable = Map.of(
                "team",
                bodyWith("crew", "nobody"),
                "zone",
                bodyWith("grove", "nowhere"),
                "type",
                bodyWith("cores", 400.0),
                "machine",
                bodyWith("builds", List.of("none")),
                "fits",
                bodyWith("builds", List.of()),
                "limit",
                gangOfTasks(17L));
        unsatisfiable.forEach((expectedWord, body) -> {
            for (int i = 0; i < 3; i++) {
                assertThat(world.requestAndWait(i, "POST", "/v2/runs", body))
                        .startsWith("422 ")
                        .contains(expectedWord);
            }
        });
        assertThat(world.store.dump()).doesNotContain("job/wk-never");
    }

    /** Returns a valid submission with one field replaced. */
    private static Map<String, Object> bodyWith(String field, Object value) {
        Map<String, Object> body = validBody("wk-never");
        body.put(field, value);
        return body;
    }

    private static Map<String, Object> gangOfTasks(long tasks) {
        Map<String, Object> body = bodyWith("shape", "gang");
        body.put("pieces", tasks);
        return body;
    }

    /**
     * While its view is stale, a controller cannot tell whether the id of a submission is known, and it must never
     * refuse a known id. It must answer 503 at once.
     */
    @Test
    void staleViewAnswersServiceUnavailableAtOnce() {
        World world = new World(3, 3, 16);
        world.run(10_000);
        world.store.setOutage(true, world.nowMs);
        world.run(3_000);
        List<Map<String, Object>> invalidBodies =
                List.of(bodyWith("crew", "nobody"), bodyWith("shape", 3L), bodyWith("cores", 400.0));
        for (Map<String, Object> body : invalidBodies) {
            for (int i = 0; i < 3; i++) {
                long sentAtMs = world.nowMs;
                assertThat(world.requestAndWait(i, "POST", "/v2/runs", body)).isEqualTo("503");
                assertThat(world.nowMs - sentAtMs).isLessThanOrEqualTo(50);
            }
        }
        world.store.setOutage(false, world.nowMs);
        world.run(3_000);
        // A restarted controller knows neither jobs nor machine types at first.
        world.crash(0, 200);
        for (int i = 0; i < 40; i++) {
            world.run(50);
            for (Map<String, Object> body : invalidBodies) {
                String answer = world.requestAndWait(0, "POST", "/v2/runs", body);
                assertThat(answer == null
                                || answer.startsWith("503")
                                || answer.startsWith("400 ")
                                || answer.startsWith("422 "))
                        .as(answer)
                        .isTrue();
            }
        }
        assertThat(world.store.dump()).doesNotContain("job/wk-never");
    }
}
