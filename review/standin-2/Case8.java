import java.nio.file.Path;
import java.util.List;

/**
 * The state service's versions pass 2^63. The check: a question about a job, asked at every controller about every two seconds, is
 * answered at least once in 75 s.
 */
final class Case8 {
    private static final long FORGOTTEN_MS = 75_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World.Site site = new World.Site();
        site.members = List.of("perch-0", "perch-1", "perch-2");
        site.zones = List.of("levis", "drummond", "sherbrooke");
        site.firstEpoch = trouble ? Long.MAX_VALUE - 60 : 1_000_000;
        int status = 2;
        try (World world = new World(site, Path.of(args[0], "record.txt"))) {
            for (int i = 0; i < 9; i++) {
                world.addMachine(site.zones.get(i % 3), false, 0.1);
            }
            world.startControllers();
            boolean ready = true;
            for (int i = 0; i < 3; i++) {
                ready &= world.awaitReady(i, 20_000);
            }
            World.Job web = new World.Job(
                    world, world.body("wk-000400", "formulation", "standing", "production", 3, 8, 1, 58, 0), 1e6);
            if (ready) {
                world.submit(web, 0);
            }
            long lastAnswerMs = World.nowMs();
            long longestGapMs = 0;
            int next = 401;
            while (web.accepted && world.seconds() < 110) {
                if (world.seconds() < 40 && next < 440) {
                    World.Job sweep = new World.Job(
                            world,
                            world.body("wk-000" + next, "formulation", "sweep", "standard", 2, 4, 0, 8, 3),
                            3);
                    int first = next++;
                    Net.thread("user", () -> world.submit(sweep, first));
                }
                int[] polled = new int[3];
                for (int i = 0; i < 3; i++) {
                    polled[i] = world.poll(web, i);
                }
                boolean answered = polled[0] == 200 || polled[1] == 200 || polled[2] == 200;
                lastAnswerMs = answered ? World.nowMs() : lastAnswerMs;
                longestGapMs = Math.max(longestGapMs, World.nowMs() - lastAnswerMs);
                world.record("polls of wk-000400 at the three controllers: " + polled[0] + " " + polled[1] + " " + polled[2]
                        + ", tasks of it on machines " + world.onMachines(web));
                if (longestGapMs >= FORGOTTEN_MS) {
                    world.broken("forgotten: no question about wk-000400 was answered for " + longestGapMs + " ms");
                    break;
                }
                World.sleep(1_000);
            }
            status = !world.broken.isEmpty() ? 1 : web.accepted ? 0 : 2;
            world.record("longest time without an answer " + longestGapMs + " ms, result " + status);
            for (String line : world.logLines("missing or invalid fields").stream().limit(3).toList()) {
                world.record("log of " + line);
            }
        }
        System.exit(status);
    }
}
