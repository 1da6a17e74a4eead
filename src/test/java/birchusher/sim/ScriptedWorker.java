package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;

/** A machine in the hands of a test: reports as one, says nothing to direct commands. */
final class ScriptedWorker {
    final World w;
    final String name;
    int owner;
    long tick;
    long token;

    ScriptedWorker(World w, String name) {
        this.w = w;
        this.name = name;
        finds();
    }

    /** Asks for its owner and that one's term, as its next answers would tell them. */
    void finds() {
        owner = w.owner(new FakeWorker(w, name, "east", false, w.now));
        token = Long.parseLong(w.store
                .dump()
                .lines()
                .filter(l -> l.startsWith("b/live/shard/east/") && l.contains("m=perch-" + owner + ","))
                .findFirst()
                .orElseThrow()
                .replaceAll(".*, t=(\\d+),.*", "$1"));
    }

    String report() {
        return report(Map.of());
    }

    String report(Map<String, Object> more) {
        return w.tell(owner, "POST", "/hello", message(more));
    }

    /** The next report as it is sent. */
    Map<String, Object> message(Map<String, Object> more) {
        Map<String, Object> r = FakeWorker.report(name, "east", ++tick);
        r.put("baton", token);
        r.putAll(more);
        return r;
    }

    /** What a report says of one task. */
    static Map<String, Object> shows(String task, long attempt, String stage, String why) {
        Map<String, Object> p = new java.util.LinkedHashMap<>(Map.of("piece", task, "try", attempt, "stage", stage));
        if (why != null) {
            p.put("cause", why);
        }
        return Map.of("pieces", List.of(p));
    }

    /** Submits a job and reports until its task has its place here. */
    void takes(String job, String shape) {
        Map<String, Object> body = World.body(job, shape, 1, "red");
        w.foreign(body);
        assertThat(w.tell(owner, "POST", "/v2/runs", body)).startsWith("201");
        for (int i = 0; i < 100 && !holds(job); i++) {
            w.run(100);
            if (i % 5 == 0) {
                report();
            }
        }
        assertThat(holds(job)).isTrue();
    }

    boolean holds(String job) {
        return w.store
                .dump()
                .lines()
                .anyMatch(l -> l.startsWith("b/live/place/" + job + "/0") && l.contains(":" + name + ":"));
    }
}
