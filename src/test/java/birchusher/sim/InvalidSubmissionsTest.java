package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Submissions that no controller may accept, in any state of its view, and whose refusal names the field. */
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
    static void silenceLog() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static Map<String, Object> validBody(String id) {
        return new LinkedHashMap<>(World.submission(id, "sweep", 1, "red"));
    }

    /** Each required field once missing, once null, once of the wrong kind. */
    private static Map<String, List<Map<String, Object>>> malformedBodies() {
        Map<String, List<Map<String, Object>>> all = new LinkedHashMap<>();
        int n = 0;
        for (String field : REQUIRED_FIELDS) {
            List<Map<String, Object>> bad = new ArrayList<>();
            for (Object wrong :
                    new Object[] {null, List.of(), Map.of("x", 1L), field.equals("name_id") ? "job 1" : -3.5}) {
                Map<String, Object> b = validBody("wk-m" + n++);
                b.put(field, wrong);
                bad.add(b);
            }
            Map<String, Object> lacks = validBody("wk-m" + n++);
            lacks.remove(field);
            bad.add(lacks);
            all.put(field, bad);
        }
        for (String field : List.of("builds", "grove", "due_s")) {
            Map<String, Object> b = validBody("wk-m" + n++);
            b.put(field, field.equals("builds") ? List.of(7L) : true);
            all.put(field, List.of(b));
        }
        return all;
    }

    @Test
    void refusalNamesTheMissingOrMistypedField() {
        World w = new World(1, 3, 16);
        w.run(10_000);
        int[] node = {0};
        malformedBodies()
                .forEach((field, bodies) -> bodies.forEach(b -> {
                    assertThat(w.requestAndWait(node[0]++ % 3, "POST", "/v2/runs", b))
                            .as(field + " of " + b)
                            .startsWith("400 ")
                            .contains(field);
                }));
        assertThat(w.requestAndWait(0, "POST", "/v2/runs", validBody("wk-fine")))
                .startsWith("201");
        w.run(2_000);
        assertThat(w.store.dump()).contains("job/wk-fine").doesNotContain("job/wk-m");
        assertThat(w.violations).isEmpty();
    }

    @Test
    void unsatisfiableSubmissionIsRefusedWithTheReason() {
        World w = new World(2, 3, 16);
        w.run(10_000);
        Map<String, Map<String, Object>> never = Map.of(
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
        never.forEach((word, b) -> {
            for (int i = 0; i < 3; i++) {
                assertThat(w.requestAndWait(i, "POST", "/v2/runs", b))
                        .startsWith("422 ")
                        .contains(word);
            }
        });
        assertThat(w.store.dump()).doesNotContain("job/wk-never");
    }

    private static Map<String, Object> bodyWith(String field, Object value) {
        Map<String, Object> b = validBody("wk-never");
        b.put(field, value);
        return b;
    }

    private static Map<String, Object> gangOfTasks(long tasks) {
        Map<String, Object> b = bodyWith("shape", "gang");
        b.put("pieces", tasks);
        return b;
    }

    /** Whether its id is known can't be told then, and an id that is known must never be refused. */
    @Test
    void staleViewAnswersServiceUnavailableAtOnce() {
        World w = new World(3, 3, 16);
        w.run(10_000);
        w.store.setOutage(true, w.nowMs);
        w.run(3_000);
        List<Map<String, Object>> odd =
                List.of(bodyWith("crew", "nobody"), bodyWith("shape", 3L), bodyWith("cores", 400.0));
        for (Map<String, Object> b : odd) {
            for (int i = 0; i < 3; i++) {
                long asked = w.nowMs;
                assertThat(w.requestAndWait(i, "POST", "/v2/runs", b)).isEqualTo("503");
                assertThat(w.nowMs - asked).isLessThanOrEqualTo(50);
            }
        }
        w.store.setOutage(false, w.nowMs);
        w.run(3_000);
        // Just restarted, it knows neither jobs nor machine types.
        w.crash(0, 200);
        for (int i = 0; i < 40; i++) {
            w.run(50);
            for (Map<String, Object> b : odd) {
                String got = w.requestAndWait(0, "POST", "/v2/runs", b);
                assertThat(got == null || got.startsWith("503") || got.startsWith("400 ") || got.startsWith("422 "))
                        .as(got)
                        .isTrue();
            }
        }
        assertThat(w.store.dump()).doesNotContain("job/wk-never");
    }
}
