package birchusher;

import java.util.HashMap;
import java.util.Map;

/** A well-formed submission for tests to change. */
public final class TestJobs {
    private TestJobs() { }

    public static Map<String, Object> job() {
        Map<String, Object> m = new HashMap<>(Map.of("name_id", "wk-1", "lane", "l", "crew", "red", "shape", "sweep",
                "rank", "standard", "pieces", 2L, "cores", 1.0, "cards", 1.0, "memory_gb", 1.0));
        m.putAll(Map.of("bundle", "i", "size_gb", 1.0, "one_zone", false, "scatter", false, "loaners", false,
                "expect_s", 5.0, "mark_every_s", 0.0, "mark_take_s", 0.0));
        return m;
    }
}
