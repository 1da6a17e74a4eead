package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;

/** A machine in the hands of a test: reports as one, says nothing to direct commands. */
final class ScriptedWorker {
    final World world;
    final String name;
    int owner;
    long reportNumber;
    long fencingToken;

    ScriptedWorker(World w, String name) {
        this.world = w;
        this.name = name;
        findOwner();
    }

    /** Asks for its owner and that one's term, as its next answers would tell them. */
    void findOwner() {
        owner = world.ownerOf(new FakeWorker(world, name, "east", false, world.nowMs));
        fencingToken = Long.parseLong(world.store
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
        return world.requestAndWait(owner, "POST", "/hello", nextReport(more));
    }

    /** The next report as it is sent. */
    Map<String, Object> nextReport(Map<String, Object> more) {
        Map<String, Object> r = FakeWorker.report(name, "east", ++reportNumber);
        r.put("baton", fencingToken);
        r.putAll(more);
        return r;
    }

    /** What a report says of one task. */
    static Map<String, Object> taskReport(String task, long attempt, String stage, String why) {
        Map<String, Object> p = new java.util.LinkedHashMap<>(Map.of("piece", task, "try", attempt, "stage", stage));
        if (why != null) {
            p.put("cause", why);
        }
        return Map.of("pieces", List.of(p));
    }

    /** Submits a job and reports until its task has its place here. */
    void submitAndAwaitClaim(String job, String shape) {
        Map<String, Object> body = World.submission(job, shape, 1, "red");
        world.registerUnpolledJob(body);
        assertThat(world.requestAndWait(owner, "POST", "/v2/runs", body)).startsWith("201");
        for (int i = 0; i < 100 && !holdsClaim(job); i++) {
            world.run(100);
            if (i % 5 == 0) {
                report();
            }
        }
        assertThat(holdsClaim(job)).isTrue();
    }

    boolean holdsClaim(String job) {
        return world.store
                .dump()
                .lines()
                .anyMatch(l -> l.startsWith("b/live/place/" + job + "/0") && l.contains(":" + name + ":"));
    }
}
