import java.nio.file.Path;
import java.util.List;

/**
 * Gangs of as many tasks as a submission may have, which take little of their machines. The check: a question about another job, asked at
 * every controller about every two seconds, is answered at least once in 75 s.
 */
final class Case5 {
    private static final long FORGOTTEN_MS = 75_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World.Site site = new World.Site();
        site.members = List.of("perch-0", "perch-1", "perch-2");
        site.zones = List.of("levis", "drummond", "sherbrooke");
        site.teams = List.of(
                new Object[] {"comptoir", 0.0, 0.0, 24.0, 300.0}, new Object[] {"formulation", 0.0, 0.0, 40.0, 500.0});
        int status = 2;
        try (World world = new World(site, Path.of(args[0], "record.txt"))) {
            for (String zone : site.zones) {
                world.addMachine(zone, false, 0.1);
            }
            world.startControllers();
            boolean ready = true;
            for (int i = 0; i < 3; i++) {
                ready &= world.awaitReady(i, 20_000);
            }
            World.Job[] services = new World.Job[3];
            for (int i = 0; i < 3; i++) {
                var body = world.body("wk-00040" + i, "comptoir", "standing", "production", 1, 8, 1, 58, 0);
                body.put("grove", site.zones.get(i));
                services[i] = new World.Job(world, body, 1e6);
                if (ready) {
                    world.submit(services[i], i);
                }
            }
            for (int i = 0; i < 100 && onMachines(world, services) < 3; i++) {
                World.sleep(100);
            }
            if (onMachines(world, services) < 3) {
                world.record("the case couldn't run: the services did not start");
                world.close();
                System.exit(2);
            }
            World.Job web = services[0];
            int pieces = trouble ? 100_000 : 500;
            World.Job[] gangs = new World.Job[3];
            // With these ids each controller plans the gang of its own zone.
            String[] ids = {"wk-000410", "wk-000416", "wk-000411"};
            for (int i = 0; i < 3; i++) {
                var body = world.body(ids[i], "formulation", "gang", "standard", pieces, 0.0003, 0, 0.001, 20);
                body.put("grove", site.zones.get(i));
                gangs[i] = new World.Job(world, body, 10);
                World.Job gang = gangs[i];
                int first = i;
                Net.thread("user", () -> world.submit(gang, first));
            }
            long lastAnswerMs = World.nowMs();
            long longestGapMs = 0;
            while (world.seconds() < 110) {
                int[] polled = new int[3];
                Thread[] users = new Thread[3];
                for (int i = 0; i < 3; i++) {
                    int controller = i;
                    users[i] = new Thread(() -> polled[controller] = world.poll(web, controller));
                    users[i].start();
                }
                for (Thread user : users) {
                    user.join();
                }
                boolean answered = polled[0] == 200 || polled[1] == 200 || polled[2] == 200;
                lastAnswerMs = answered ? World.nowMs() : lastAnswerMs;
                longestGapMs = Math.max(longestGapMs, World.nowMs() - lastAnswerMs);
                world.record("polls of wk-000400 at the three controllers: " + polled[0] + " " + polled[1] + " " + polled[2]
                        + " (0: no response), tasks of the services on machines " + onMachines(world, services) + ", starts of the gangs "
                        + gangs[0].starts + " " + gangs[1].starts + " " + gangs[2].starts);
                if (longestGapMs >= FORGOTTEN_MS) {
                    world.broken("forgotten: no question about wk-000400 was answered for " + longestGapMs + " ms");
                    break;
                }
                World.sleep(1_000);
            }
            boolean accepted = gangs[0].accepted || gangs[1].accepted || gangs[2].accepted;
            boolean ran = gangs[0].starts >= pieces && gangs[1].starts >= pieces && gangs[2].starts >= pieces;
            status = !world.broken.isEmpty() ? 1 : !accepted || !trouble && !ran ? 2 : 0;
            world.record("longest time without an answer " + longestGapMs + " ms, result " + status);
        }
        System.exit(status);
    }

    private static int onMachines(World world, World.Job[] services) {
        int count = 0;
        for (World.Job service : services) {
            count += world.onMachines(service);
        }
        return count;
    }
}
