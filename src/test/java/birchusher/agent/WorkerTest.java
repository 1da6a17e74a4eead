package birchusher.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The worker's machine, told in traces: what it is told on the left, what it wants done on the right. */
class WorkerTest {
    private static final Action.Key KEY = new Action.Key("wk-1", 0, 1);

    private final Worker worker = new Worker("h:1", new SplittableRandom(1));
    private final List<String> did = new ArrayList<>();
    private Action.Report report;

    private void act(List<Action> actions) {
        for (Action a : actions) {
            if (a instanceof Action.Report r) {
                report = r;
                did.add("report " + brief(r.body()));
            } else if (a instanceof Action.Answer x) {
                did.add("answer " + x.status());
            } else if (a instanceof Action.Fetch f) {
                did.add("fetch " + f.job());
            } else if (a instanceof Action.Run r) {
                did.add("run " + r.key().piece());
            } else if (a instanceof Action.Signal s) {
                did.add(s.name() + " " + s.key().piece());
            } else if (a instanceof Action.Kill k) {
                did.add("kill " + k.key().piece());
            } else if (a instanceof Action.KillAll) {
                did.add("kill all");
            } else if (a instanceof Action.Forget f) {
                did.add("forget " + f.key().piece());
            } else if (a instanceof Action.Say s) {
                did.add("say " + s.phase());
            } else if (a instanceof Action.Lease l) {
                did.add("lease " + l.remainingMs());
            }
        }
    }

    private static String brief(Map<String, ?> body) {
        List<String> l = new ArrayList<>();
        for (Object o : (List<?>) body.get("pieces")) {
            Map<?, ?> m = (Map<?, ?>) o;
            l.add(m.get("piece") + "#" + m.get("try") + " " + m.get("stage")
                    + (m.containsKey("cause") ? " " + m.get("cause") : "") + (m.containsKey("kept") ? " kept" : ""));
        }
        return body.get("host") + " " + body.get("tenure") + " " + l;
    }

    private String took() {
        String s = String.join(", ", did);
        did.clear();
        return s;
    }

    private static Assignment assignment(String machine) {
        return new Assignment(
                machine,
                "small",
                "z",
                4,
                0,
                8,
                2_000,
                20_000,
                5_000,
                List.of(new Assignment.Controller("p", "c:1"), new Assignment.Controller("q", "c:2")));
    }

    private static Description job(String shape, int tasks, double cpus, boolean saves) {
        return new Description(
                "wk-1",
                tasks,
                shape.equals("gang"),
                shape.equals("standing"),
                cpus,
                0,
                1,
                saves,
                3_000,
                List.of("x"),
                Map.of(),
                "USR1");
    }

    private static Map<String, Object> orders(long baton, Object... orders) {
        Map<String, Object> m = new HashMap<>();
        m.put("baton", baton);
        m.put("orders", List.of(orders));
        return m;
    }

    private static Map<String, Object> start(String piece, long attempt) {
        return Map.of("verb", "start", "piece", piece, "try", attempt);
    }

    private static Map<String, Object> stop(String piece, double grace) {
        return Map.of("verb", "stop", "piece", piece, "try", 1L, "wind_down_s", grace);
    }

    /** Running as n-1 at 1,000 with one task running since 1,100. */
    private void running(Description job) {
        act(worker.assigned(1_000, 900, assignment("n-1")));
        act(worker.tick(1_000));
        act(worker.answered(1_050, report.id(), 200, orders(5, start("wk-1/0", 1))));
        act(worker.described(1_100, "wk-1", job));
        did.clear();
    }

    private void report(long at) {
        act(worker.tick(at));
    }

    @Test
    void aTaskFromItsStartToItsReap() {
        act(worker.assigned(1_000, 900, assignment("n-1")));
        assertThat(took()).isEqualTo("lease 18400");
        act(worker.tick(1_000));
        assertThat(took()).isEqualTo("report n-1 1 []");
        act(worker.answered(1_050, report.id(), 200, orders(5, start("wk-1/0", 1), start("wk-1/0", 1))));
        assertThat(took()).isEqualTo("lease 18350, fetch wk-1");
        report(1_500);
        assertThat(took()).isEqualTo("report n-1 1 [wk-1/0#1 fetching]");
        act(worker.described(1_600, "wk-1", job("sweep", 1, 1, false)));
        act(worker.answered(1_700, report.id(), 200, orders(5)));
        assertThat(took()).isEqualTo("run wk-1/0, lease 17700");
        act(worker.exited(2_500, KEY, 0));
        report(2_600);
        assertThat(took()).isEqualTo("report n-1 1 [wk-1/0#1 exited done]");
        act(worker.answered(2_650, report.id(), 200, orders(5, Map.of("verb", "reap", "piece", "wk-1/0", "try", 1L))));
        assertThat(took()).isEqualTo("lease 16750, forget wk-1/0");
    }

    @Test
    void oneDescriptionServesAllTasksOfAJobAndIsAskedForAgainIfNoneComes() {
        act(worker.assigned(1_000, 900, assignment("n-1")));
        act(worker.tick(1_000));
        did.clear();
        act(worker.answered(
                1_050, report.id(), 200, orders(5, start("wk-1/0", 1), start("wk-1/1", 1), start("wk-2/0", 1))));
        assertThat(took()).isEqualTo("lease 18350, fetch wk-1, fetch wk-2");
        act(worker.tick(5_050));
        assertThat(took()).contains("fetch wk-1, fetch wk-2").doesNotContain("fetch wk-1, fetch wk-1");
        act(worker.described(5_100, "wk-1", job("sweep", 2, 1, false)));
        assertThat(took()).isEqualTo("run wk-1/0, run wk-1/1");
    }

    @Test
    void answersThatMustBeDroppedNeitherRenewNorCommand() {
        running(job("sweep", 1, 1, false));
        report(2_000);
        act(worker.answered(2_100, report.id(), 200, orders(4, stop("wk-1/0", 0))));
        report(5_000);
        act(worker.answered(5_100, report.id(), 200, Map.of("orders", List.of(stop("wk-1/0", 0)))));
        act(worker.answered(5_100, report.id() - 1, 200, orders(9, stop("wk-1/0", 0))));
        act(worker.direct(
                5_200, 1, "POST", "/do", Map.of("baton", 4L, "tenure", 1L, "orders", List.of(stop("wk-1/0", 0)))));
        act(worker.direct(
                5_200, 2, "POST", "/do", Map.of("baton", 9L, "tenure", 2L, "orders", List.of(stop("wk-1/0", 0)))));
        assertThatThrownBy(() -> worker.direct(5_200, 3, "POST", "/do", Map.of("baton", 9L)))
                .isInstanceOf(InvalidInputException.class);
        assertThat(took())
                .isEqualTo("report n-1 1 [wk-1/0#1 running], report n-1 1 [wk-1/0#1 running], answer 409, answer 409");
        act(worker.assigned(6_000, 5_900, assignment("n-1")));
        // The lease counts from the sending of the report that was answered as it should be, at 1,000.
        act(worker.tick(19_499));
        assertThat(took()).contains("report");
        act(worker.tick(19_501));
        assertThat(took()).isEqualTo("kill all");
    }

    @Test
    void aLapsedLeaseEndsEverythingBeforeAnythingIsSaidAgain() {
        running(job("sweep", 1, 1, false));
        act(worker.assigned(19_000, 18_900, assignment("n-1")));
        did.clear();
        act(worker.tick(19_600));
        act(worker.tick(22_000));
        act(worker.exited(22_100, KEY, 137));
        act(worker.direct(22_200, 1, "GET", "/show", null));
        assertThat(took()).isEqualTo("kill all, answer 503");
        act(worker.cleared(23_000));
        act(worker.tick(23_000));
        assertThat(took()).isEqualTo("forget wk-1/0, report n-1 2 []");
        act(worker.answered(23_050, report.id(), 200, orders(5, start("wk-1/0", 1))));
        assertThat(took()).contains("fetch wk-1");
    }

    @Test
    void aPoolThatIsNotHeardEndsTheMachineAndItsSessionsGoOnAfterwards() {
        running(job("sweep", 1, 1, false));
        report(18_000);
        act(worker.answered(18_100, report.id(), 200, orders(5)));
        did.clear();
        act(worker.tick(19_500));
        act(worker.cleared(19_600));
        act(worker.tick(19_700));
        assertThat(worker.runs()).isNull();
        assertThat(took()).isEqualTo("kill all, forget wk-1/0");
        act(worker.assigned(30_000, 29_900, assignment("n-1")));
        act(worker.tick(30_000));
        assertThat(took()).isEqualTo("lease 18400, report n-1 2 []");
        act(worker.assigned(31_000, 30_900, assignment("n-2")));
        assertThat(took()).isEqualTo("kill all");
        assertThat(worker.runs()).as("until all is gone").isEqualTo("n-1");
        act(worker.cleared(31_100));
        act(worker.tick(31_100));
        assertThat(took()).isEqualTo("report n-2 1 []");
    }

    @Test
    void aStopSavesIfThereIsTimeAndNeverCallsWorkDone() {
        running(job("sweep", 1, 1, true));
        act(worker.direct(
                2_000, 1, "POST", "/do", Map.of("baton", 5L, "tenure", 1L, "orders", List.of(stop("wk-1/0", 4)))));
        assertThat(took()).isEqualTo("USR1 wk-1/0, answer 200");
        act(worker.exited(3_000, KEY, Worker.SAVED));
        report(3_000);
        assertThat(took()).isEqualTo("report n-1 1 [wk-1/0#1 exited halted kept]");
    }

    @Test
    void aProgramThatIgnoresItsStopIsKilledWhenItsTimeIsOver() {
        running(job("sweep", 1, 1, true));
        act(worker.direct(
                2_000, 1, "POST", "/do", Map.of("baton", 5L, "tenure", 1L, "orders", List.of(stop("wk-1/0", 4)))));
        did.clear();
        act(worker.tick(5_900));
        assertThat(took()).isEqualTo("report n-1 1 [wk-1/0#1 flushing]");
        act(worker.tick(6_000));
        assertThat(took()).isEqualTo("kill wk-1/0");
        act(worker.exited(6_100, KEY, 137));
        act(worker.answered(6_100, report.id(), 503, Map.of()));
        report(8_000);
        assertThat(took()).isEqualTo("report n-1 1 [wk-1/0#1 exited halted]");
        assertThat(report.address()).as("the next controller").isEqualTo("c:2");
    }

    @Test
    void askedToEndAnExitWithZeroIsNotDone() {
        running(job("sweep", 1, 1, false));
        act(worker.direct(
                2_000, 1, "POST", "/do", Map.of("baton", 5L, "tenure", 1L, "orders", List.of(stop("wk-1/0", 4)))));
        assertThat(took()).startsWith("TERM wk-1/0");
        act(worker.exited(2_100, KEY, 0));
        report(3_000);
        assertThat(took()).isEqualTo("report n-1 1 [wk-1/0#1 exited halted]");
    }

    @Test
    void startsThatCantBeSayWhy() {
        running(job("sweep", 2, 3, false));
        act(worker.answered(1_150, report.id(), 200, orders(5)));
        act(worker.direct(
                2_000,
                1,
                "POST",
                "/do",
                Map.of(
                        "baton",
                        5L,
                        "tenure",
                        1L,
                        "orders",
                        List.of(
                                start("wk-1/0", 2),
                                start("wk-1/1", 1),
                                start("wk-2/0", 1),
                                start("wk-1/7", 1),
                                start("wk-3/0", 1)))));
        act(worker.described(2_100, "wk-1", job("sweep", 2, 3, false)));
        act(worker.described(2_100, "wk-2", null));
        act(worker.described(
                2_100,
                "wk-3",
                new Description("wk-3", 1, false, false, 1, 0, 1, false, 0, List.of(), Map.of(), "TERM")));
        did.clear();
        report(3_500);
        assertThat(took())
                .isEqualTo("report n-1 1 [wk-1/0#1 running, wk-1/0#2 exited in_use, wk-1/1#1 exited full, "
                        + "wk-2/0#1 exited no_such, wk-1/7#1 exited no_such, wk-3/0#1 exited error]");
        for (String piece : List.of("../0", "wk-1", "wk-1/x", "wk/../../1", "/1")) {
            assertThatThrownBy(() -> worker.direct(
                            4_000,
                            9,
                            "POST",
                            "/do",
                            Map.of("baton", 5L, "tenure", 1L, "orders", List.of(start(piece, 1)))))
                    .as(piece)
                    .isInstanceOf(InvalidInputException.class);
        }
    }

    @Test
    void aGangStartsTogetherEndsTogetherAndBreaksTogether() {
        running(job("gang", 2, 1, false));
        act(worker.tick(2_200));
        assertThat(took()).contains("say waiting").doesNotContain("run");
        act(worker.gangSaid(2_300, KEY, "go", List.of("h", "i")));
        assertThat(took()).isEqualTo("run wk-1/0");
        act(worker.exited(4_000, KEY, 0));
        assertThat(took()).isEqualTo("say ended");
        act(worker.gangSaid(4_100, KEY, "all", List.of()));
        act(worker.answered(4_100, report.id(), 200, orders(5)));
        report(4_200);
        assertThat(took()).contains("[wk-1/0#1 exited done]");
    }

    @Test
    void aGangThatBreaksOrIsNeverWholeSaysWhich() {
        running(job("gang", 2, 1, false));
        act(worker.tick(6_200));
        assertThat(took()).contains("say leaving");
        act(worker.tick(6_800));
        act(worker.answered(
                6_900,
                report.id(),
                200,
                orders(5, Map.of("verb", "reap", "piece", "wk-1/0", "try", 1L), start("wk-1/0", 1))));
        act(worker.described(7_000, "wk-1", job("gang", 2, 1, false)));
        act(worker.gangSaid(7_100, KEY, "go", List.of()));
        did.clear();
        act(worker.gangSaid(7_200, KEY, "broken", List.of()));
        assertThat(took()).isEqualTo("kill wk-1/0");
        act(worker.exited(7_300, KEY, 137));
        report(9_500);
        assertThat(took()).contains("[wk-1/0#1 exited mates_gone]");
    }
}
