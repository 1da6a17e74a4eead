package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;

/**
 * A worker that a test controls: it sends a report only when the test calls {@link #report} and
 * answers no direct commands.
 */
final class ScriptedWorker {
    final World world;
    final String name;
    /** Index of the controller that owns the shard of the machine. */
    int owner;

    long reportNumber;
    long fencingToken;

    ScriptedWorker(World world, String name) {
        this.world = world;
        this.name = name;
        findOwner();
    }

    /** Looks up the owner and its term, the fencing token that the next reports carry. */
    void findOwner() {
        owner = world.ownerOf(new FakeWorker(world, name, "east", false, world.nowMs));
        fencingToken = Long.parseLong(world.store
                .dump()
                .lines()
                .filter(line -> line.startsWith("b/live/shard/east/") && line.contains("m=perch-" + owner + ","))
                .findFirst()
                .orElseThrow()
                .replaceAll(".*, t=(\\d+),.*", "$1"));
    }

    String report() {
        return report(Map.of());
    }

    /** Sends the next report to the owner and returns the answer, as {@link World#requestAndWait} does. */
    String report(Map<String, Object> fields) {
        return world.requestAndWait(owner, "POST", "/hello", nextReport(fields));
    }

    /** Returns the next report, with additional or replaced fields, as it is sent. */
    Map<String, Object> nextReport(Map<String, Object> fields) {
        Map<String, Object> report = FakeWorker.report(name, "east", ++reportNumber);
        report.put("baton", fencingToken);
        report.putAll(fields);
        return report;
    }

    /** Returns the part of a report that describes one task. */
    static Map<String, Object> taskReport(String task, long attempt, String state, String cause) {
        Map<String, Object> entry =
                new java.util.LinkedHashMap<>(Map.of("piece", task, "try", attempt, "stage", state));
        if (cause != null) {
            entry.put("cause", cause);
        }
        return Map.of("pieces", List.of(entry));
    }

    /** Submits a job and reports until its task is claimed on this machine. */
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

    /** Returns whether the first task of a job is claimed on this machine. */
    boolean holdsClaim(String job) {
        return world.store
                .dump()
                .lines()
                .anyMatch(line -> line.startsWith("b/live/place/" + job + "/0") && line.contains(":" + name + ":"));
    }
}
