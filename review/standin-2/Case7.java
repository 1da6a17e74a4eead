import java.nio.file.Path;

/**
 * An array of small tasks that all find room on one machine. The check: a job whose tasks run for 40 s, and all of which the machines
 * could run at once from its acceptance on, has a completed task within 90 s.
 */
final class Case7 {
    private static final long WAITING_MS = 90_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World.Site site = new World.Site();
        int status = 2;
        try (World world = new World(site, Path.of(args[0], "record.txt"))) {
            for (int i = 0; i < 2; i++) {
                world.addMachine("levis", false, 0.1);
            }
            world.startControllers();
            World.Job web = new World.Job(
                    world, world.body("wk-000400", "formulation", "standing", "production", 1, 8, 1, 58, 0), 1e6);
            int pieces = trouble ? Integer.getInteger("pieces", 1_900) : 500;
            World.Job sweep = new World.Job(
                    world, world.body("wk-000412", "formulation", "sweep", "standard", pieces, 0.02, 0, 0.1, 40), 40);
            if (world.awaitReady(0, 20_000)) {
                world.submit(web, 0);
                World.sleep(3_000);
                world.submit(sweep, 0);
            }
            while (sweep.accepted && !"done".equals(sweep.told) && World.nowMs() - sweep.acceptedMs < WAITING_MS + 2_000) {
                World.sleep(2_000);
                int polled = world.poll(sweep, 0);
                world.record("poll of wk-000412: " + polled + " " + sweep.told + ", " + sweep.starts + " starts, "
                        + sweep.results.size() + " completed; service: " + world.onMachines(web) + " on machines, "
                        + web.starts + " starts; " + world.machineCount() + " machines");
            }
            if (sweep.accepted && sweep.doneTold == 0) {
                world.broken("after " + (World.nowMs() - sweep.acceptedMs) + " ms no task of wk-000412 is done, after "
                        + sweep.starts + " starts of its " + pieces + " tasks");
            }
            status = !sweep.accepted || !trouble && !"done".equals(sweep.told) ? 2 : world.broken.isEmpty() ? 0 : 1;
            world.record("result " + status);
        }
        System.exit(status);
    }
}
