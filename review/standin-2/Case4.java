import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All machines of a plant restart at once, with thousands of small tasks on them. The check: no accepted job waits for 90 s after that while
 * machines that fit it have room.
 */
final class Case4 {
    private static final long WAITING_MS = 90_000;
    private static final int MACHINES = 20;
    private static final int TASKS_PER_MACHINE = 900;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World.Site site = new World.Site();
        site.reportS = 4;
        site.rps = 100;
        site.writeRps = 30;
        site.cloudRps = 7;
        site.capacity = MACHINES;
        int status = 2;
        try (World world = new World(site, Path.of(args[0], "record.txt"))) {
            for (int i = 0; i < MACHINES; i++) {
                world.addMachine("levis", false, 0.1);
            }
            world.startControllers();
            boolean ready = world.awaitReady(0, 20_000);
            World.Job web = new World.Job(
                    world, world.body("wk-000400", "formulation", "standing", "production", 1, 8, 1, 20, 0), 1e6);
            if (ready) {
                world.submit(web, 0);
            }
            int pieces = MACHINES * TASKS_PER_MACHINE / 3;
            List<World.Job> sweeps = new ArrayList<>();
            for (int i = 0; ready && i < 3; i++) {
                World.Job sweep = new World.Job(
                        world,
                        world.body("wk-00041" + i, "formulation", "sweep", "standard", pieces, 0.04, 0, 0.4, 600),
                        600);
                sweeps.add(sweep);
                world.submit(sweep, 0);
            }
            while (ready && world.seconds() < 24 && onMachines(world, sweeps) < pieces * 3) {
                World.sleep(250);
            }
            ready &= onMachines(world, sweeps) == pieces * 3 && world.onMachines(web) == 1;
            world.record("tasks of the arrays on machines: " + onMachines(world, sweeps) + " of " + pieces * 3
                    + ", of the service " + world.onMachines(web) + "; machines " + world.machineCount());
            if (trouble && ready) {
                for (Worker worker : List.copyOf(world.machines.values())) {
                    worker.restart();
                }
                world.record("all machines stop with all that is on them, and are back at once");
            }
            int startsBefore = web.starts;
            long fromMs = World.nowMs();
            int answered = 0;
            int asked = 0;
            while (ready && World.nowMs() - fromMs < WAITING_MS) {
                World.sleep(2_000);
                int polled = world.poll(web, 0);
                asked++;
                answered += polled == 200 ? 1 : 0;
                world.record("poll of wk-000400: " + polled + ", starts of it since " + (web.starts - startsBefore)
                        + "; tasks on machines: " + (onMachines(world, sweeps) + world.onMachines(web)) + ", machines "
                        + world.machineCount());
                if (trouble && web.starts > startsBefore && onMachines(world, sweeps) == pieces * 3) {
                    break;
                }
            }
            if (ready && trouble && web.starts == startsBefore) {
                world.broken("wk-000400 has waited for " + (World.nowMs() - fromMs) + " ms, while " + world.machineCount()
                        + " machines had room; tasks of the arrays on them " + onMachines(world, sweeps) + " of " + pieces * 3);
            }
            status = !ready || !trouble && world.onMachines(web) < 1 ? 2 : world.broken.isEmpty() ? 0 : 1;
            world.record("polls answered " + answered + " of " + asked + ", result " + status);
        }
        System.exit(status);
    }

    private static int onMachines(World world, List<World.Job> jobs) {
        return jobs.stream().mapToInt(world::onMachines).sum();
    }
}
