package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays the kept traces of whole cores, one world for each; the file says what each one shows. */
class CoreTraceTest {
    @TestFactory
    List<DynamicTest> traces() throws IOException {
        String text;
        try (InputStream in = getClass().getResourceAsStream("/traces/core.txt")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        List<DynamicTest> tests = new ArrayList<>();
        for (String trace : text.split("(?m)^== ")) {
            if (!trace.startsWith("#")) {
                String[] lines = trace.split("\n");
                tests.add(DynamicTest.dynamicTest(lines[0], () -> play(lines)));
            }
        }
        assertThat(tests).hasSizeGreaterThan(5);
        return tests;
    }

    private static void play(String[] lines) {
        World w = new World(9);
        for (String line : Arrays.copyOfRange(lines, 1, lines.length)) {
            if (line.isBlank()) {
                continue;
            }
            String[] halves = line.split(" -> ");
            String[] c = halves[0].split(" ");
            String got =
                    switch (c[0]) {
                        case "run" -> {
                            w.run(Long.parseLong(c[1]));
                            yield "";
                        }
                        case "outage" -> {
                            w.store.setOutage(c[1].equals("on"), w.nowMs);
                            yield "";
                        }
                        case "crash" -> {
                            w.crash(Integer.parseInt(c[1]), Long.parseLong(c[2]));
                            yield "";
                        }
                        case "refuse" -> {
                            w.refusedByStore[ownerOf(w, c[1])] = true;
                            yield "";
                        }
                        case "lonely" -> {
                            w.setIsolated(ownerOf(w, c[1]), true);
                            yield "";
                        }
                        case "tasks" -> String.valueOf(w.unfinishedTaskCount(c[1]));
                        case "post" -> {
                            Map<String, Object> body = World.submission(c[2], c[3], Integer.parseInt(c[4]), c[5]);
                            w.registerUnpolledJob(body);
                            yield w.requestAndWait(Integer.parseInt(c[1]), "POST", "/v2/runs", body)
                                    .split(" ")[0];
                        }
                        case "get" -> w.requestAndWait(Integer.parseInt(c[1]), "GET", "/v2/runs/" + c[2], null);
                        case "withdraw" -> w.requestAndWait(
                                Integer.parseInt(c[1]), "POST", "/v2/runs/" + c[2] + "/withdraw", null);
                        case "hello" -> sendReport(w, c);
                        default -> throw new IllegalArgumentException(line);
                    };
            if (halves.length > 1) {
                if (c[0].equals("hello")) {
                    assertThat(got).as(line).isEqualTo(halves[1]);
                } else {
                    assertThat(got).as(line).startsWith(halves[1]);
                }
            }
            assertThat(w.violations).as(line).isEmpty();
        }
    }

    /** The controller that owns the machine on which a job runs. */
    private static int ownerOf(World w, String job) {
        return w.ownerOf(w.workers.values().stream()
                .filter(m -> m.tasks.values().stream().anyMatch(t -> t.key.startsWith(job + "/")))
                .findFirst()
                .orElseThrow());
    }

    /** Reports to each controller until one does not send the worker on. */
    private static String sendReport(World w, String[] c) {
        List<Object> pieces = new ArrayList<>();
        for (int i = 6; i < c.length; i++) {
            String[] p = c[i].split("[#:]");
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("piece", p[0]);
            m.put("try", Long.parseLong(p[1]));
            m.put("stage", p[2]);
            if (p.length > 3) {
                m.put("cause", p[3]);
            }
            pieces.add(m);
        }
        Map<String, Object> r = FakeWorker.report(c[1], c[2], Long.parseLong(c[4]));
        r.put("tenure", Long.parseLong(c[3]));
        r.put("baton", Long.parseLong(c[5]));
        r.put("pieces", pieces);
        String got = "";
        for (int node = 0; node < 3; node++) {
            got = w.requestAndWait(node, "POST", "/hello", r);
            if (!got.startsWith("421")) {
                return got;
            }
        }
        return got;
    }
}
