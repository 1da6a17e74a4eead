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

/**
 * Plays the recorded traces through controller cores, each in a world of its own; the trace file says what each one
 * shows.
 */
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
        World world = new World(9);
        for (String line : Arrays.copyOfRange(lines, 1, lines.length)) {
            if (line.isBlank()) {
                continue;
            }
            String[] commandAndAnswer = line.split(" -> ");
            String[] words = commandAndAnswer[0].split(" ");
            String answer =
                    switch (words[0]) {
                        case "run" -> {
                            world.run(Long.parseLong(words[1]));
                            yield "";
                        }
                        case "outage" -> {
                            world.store.setOutage(words[1].equals("on"), world.nowMs);
                            yield "";
                        }
                        case "crash" -> {
                            world.crash(Integer.parseInt(words[1]), Long.parseLong(words[2]));
                            yield "";
                        }
                        case "refuse" -> {
                            world.refusedByStore[ownerOf(world, words[1])] = true;
                            yield "";
                        }
                        case "lonely" -> {
                            world.setIsolated(ownerOf(world, words[1]), true);
                            yield "";
                        }
                        case "tasks" -> String.valueOf(world.unfinishedTaskCount(words[1]));
                        case "post" -> {
                            Map<String, Object> body =
                                    World.submission(words[2], words[3], Integer.parseInt(words[4]), words[5]);
                            world.registerUnpolledJob(body);
                            yield world.requestAndWait(Integer.parseInt(words[1]), "POST", "/v2/runs", body)
                                    .split(" ")[0];
                        }
                        case "get" -> world.requestAndWait(
                                Integer.parseInt(words[1]), "GET", "/v2/runs/" + words[2], null);
                        case "withdraw" -> world.requestAndWait(
                                Integer.parseInt(words[1]), "POST", "/v2/runs/" + words[2] + "/withdraw", null);
                        case "hello" -> sendReport(world, words);
                        default -> throw new IllegalArgumentException(line);
                    };
            if (commandAndAnswer.length > 1) {
                if (words[0].equals("hello")) {
                    assertThat(answer).as(line).isEqualTo(commandAndAnswer[1]);
                } else {
                    assertThat(answer).as(line).startsWith(commandAndAnswer[1]);
                }
            }
            assertThat(world.violations).as(line).isEmpty();
        }
    }

    /** Returns the controller that owns the machine on which a job runs. */
    private static int ownerOf(World world, String job) {
        return world.ownerOf(world.workers.values().stream()
                .filter(worker -> worker.tasks.values().stream().anyMatch(task -> task.key.startsWith(job + "/")))
                .findFirst()
                .orElseThrow());
    }

    /** Reports to each controller in turn until one does not redirect the worker, and returns its answer. */
    private static String sendReport(World world, String[] words) {
        List<Object> taskEntries = new ArrayList<>();
        for (int i = 6; i < words.length; i++) {
            String[] parts = words[i].split("[#:]");
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("piece", parts[0]);
            entry.put("try", Long.parseLong(parts[1]));
            entry.put("stage", parts[2]);
            if (parts.length > 3) {
                entry.put("cause", parts[3]);
            }
            taskEntries.add(entry);
        }
        Map<String, Object> report = FakeWorker.report(words[1], words[2], Long.parseLong(words[4]));
        report.put("tenure", Long.parseLong(words[3]));
        report.put("baton", Long.parseLong(words[5]));
        report.put("pieces", taskEntries);
        String answer = "";
        for (int controller = 0; controller < 3; controller++) {
            answer = world.requestAndWait(controller, "POST", "/hello", report);
            if (!answer.startsWith("421")) {
                return answer;
            }
        }
        return answer;
    }
}
