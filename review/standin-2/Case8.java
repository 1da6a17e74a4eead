import java.nio.file.Path;

/**
 * A gang that needs more placement rows than one transaction may write. The check: an accepted job does not wait for 90 s while the machines
 * have room for all of it, and its team has no limit on what it takes.
 */
final class Case8 {
    private static final long WAITING_MS = 90_000;
    private static final int MACHINES = 70;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World.Site site = new World.Site();
        int status = 2;
        try (World world = new World(site, Path.of(args[0], "record.txt"))) {
            for (int i = 0; i < MACHINES; i++) {
                world.addMachine("levis", false, 0.1);
            }
            world.startControllers();
            int pieces = trouble ? 3_000 : 1_500;
            World.Job gang = new World.Job(
                    world, world.body("wk-000412", "formulation", "gang", "standard", pieces, 1, 0, 4, 20), 10);
            if (world.awaitReady(0, 20_000)) {
                world.submit(gang, 0);
            }
            World.Job other = new World.Job(
                    world, world.body("wk-000413", "formulation", "sweep", "standard", 4, 4, 0, 16, 5), 5);
            if (gang.accepted) {
                World.sleep(3_000);
                world.submit(other, 0);
            }
            while (gang.accepted
                    && gang.starts == 0
                    && World.nowMs() - gang.acceptedMs < WAITING_MS + 2_000
                    && other.accepted) {
                World.sleep(2_000);
                int polled = world.poll(gang, 0);
                world.poll(other, 0);
                world.record("poll of wk-000412: " + polled + " " + gang.told + ", " + gang.starts + " starts; of wk-000413: "
                        + other.told + ", " + other.starts + " starts; " + world.machineCount() + " machines of 48 cores, "
                        + world.state.rejected + " transactions refused");
            }
            if (gang.accepted && gang.starts == 0) {
                world.broken("wk-000412 has waited for " + (World.nowMs() - gang.acceptedMs)
                        + " ms, and none of its tasks was started");
                status = 1;
            } else if (gang.accepted) {
                for (int i = 0; i < 60 && !"done".equals(gang.told); i++) {
                    World.sleep(1_000);
                    world.poll(gang, 0);
                }
                status = "done".equals(gang.told) || trouble ? 0 : 2;
            }
            world.record("wk-000412: " + gang.told + ", " + gang.starts + " starts, result " + status);
            for (String line : world.logLines("rejected as invalid").stream().limit(2).toList()) {
                world.record("log of " + line);
            }
        }
        System.exit(status);
    }
}
