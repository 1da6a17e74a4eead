import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A controller is restarted while another one's machines have so many images that all of their statuses do not fit one record between
 * controllers. The check: no accepted job waits for 90 s while machines that fit it have room, once the controller is back.
 */
final class Case6 {
    private static final long WAITING_MS = 90_000;
    private static final int MACHINES = 250;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World.Site site = new World.Site();
        site.members = List.of("perch-0", "perch-1", "perch-2");
        site.zones = List.of("levis", "drummond", "sherbrooke");
        site.teams = List.<Object[]>of(new Object[] {"formulation", 0.0, 0.0, 800.0, 10_000.0});
        site.capacity = MACHINES;
        int status = 2;
        try (World world = new World(site, Path.of(args[0], "record.txt"))) {
            for (int i = 0; i < MACHINES; i++) {
                world.addMachine("levis", false, 0.1);
            }
            world.startControllers();
            boolean ready = true;
            for (int i = 0; i < 3; i++) {
                ready &= world.awaitReady(i, 20_000);
            }
            var body = world.body("wk-000300", "formulation", "standing", "production", MACHINES, 1, 4, 4, 0);
            body.put("bundle", bundle(0));
            body.put("size_gb", 0.02);
            World.Job service = new World.Job(world, body, 1e6);
            if (ready) {
                world.submit(service, 0);
            }
            List<World.Job> sweeps = new ArrayList<>();
            int images = Integer.getInteger("images", 3);
            for (int i = 1; service.accepted && i <= images; i++) {
                body = world.body("wk-00030" + i, "formulation", "sweep", "standard", MACHINES, 47, 0, 4, 1.5);
                body.put("bundle", bundle(i));
                body.put("size_gb", 0.02);
                World.Job sweep = new World.Job(world, body, 1.5);
                sweeps.add(sweep);
                world.submit(sweep, 0);
            }
            while (world.seconds() < 60 && sweeps.stream().anyMatch(sweep -> sweep.results.size() < MACHINES)) {
                World.sleep(200);
            }
            world.record("services on machines " + world.onMachines(service) + ", arrays completed "
                    + sweeps.stream().filter(sweep -> sweep.results.size() == MACHINES).count()
                    + ", names of images on all machines " + world.imageNameBytes() + " bytes");
            ready &= sweeps.size() == images && sweeps.stream().allMatch(sweep -> sweep.results.size() == MACHINES);
            World.sleep(1_000);
            if (trouble && ready) {
                world.processes[1].destroyForcibly().waitFor();
                World.sleep(1_000);
                world.startController(1);
                ready = world.awaitReady(1, 10_000);
            }
            String[] ids = {"wk-000416"};
            List<World.Job> jobs = new ArrayList<>();
            World.sleep(2_000);
            for (String id : ids) {
                World.Job job = new World.Job(
                        world, world.body(id, "formulation", "gang", "standard", 60, 40, 0, 16, 5), 5);
                jobs.add(job);
                if (ready) {
                    world.submit(job, 0);
                }
            }
            long acceptedMs = World.nowMs();
            while (World.nowMs() - acceptedMs < WAITING_MS + 1_000
                    && jobs.stream().anyMatch(job -> job.accepted && job.starts == 0)) {
                World.sleep(3_000);
                StringBuilder line = new StringBuilder();
                for (World.Job job : jobs) {
                    int polled = world.poll(job, 0);
                    line.append(job.id).append(' ').append(polled).append(' ').append(job.told).append(", ").append(job.starts)
                            .append(" starts; ");
                }
                world.record(line + "services on machines " + world.onMachines(service) + " of " + world.machineCount());
            }
            for (World.Job job : jobs) {
                if (job.accepted && job.starts == 0 && World.nowMs() - job.acceptedMs >= WAITING_MS) {
                    world.broken(job.id + " has waited for " + (World.nowMs() - job.acceptedMs) + " ms, while "
                            + world.machineCount() + " machines had 47 of 48 cores free");
                }
            }
            status = !ready ? 2 : world.broken.isEmpty() ? 0 : 1;
            world.record("result " + status);
        }
        System.exit(status);
    }

    /** A text of 200 characters. */
    private static String bundle(int i) {
        return "\u56fe".repeat(Integer.getInteger("characters", 198)) + (10 + i);
    }
}
