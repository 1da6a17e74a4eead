package standin;

import java.util.Map;

/** A machine fails every task that it starts, for a few seconds; the job that met it is never started again. */
public final class Case2 {
    private static final int SICK_MS = 6_000;
    /** As many as the site mahr-galleries has at the most; one of them is sick, as on the site's days. */
    private static final int MACHINES = 28;

    /** "no job is left waiting for 90 s while a machine that fits has room", once the troubles are over. */
    private static final int BOUND_MS = 90_000;

    private Case2() {}

    static int run(Deployment deployment, boolean trouble) throws Exception {
        deployment.team("retouchers", 8, 32);
        deployment.team("ops", 16, 72);
        deployment.capacity = MACHINES;
        deployment.start();
        for (int i = 0; i < MACHINES; i++) {
            deployment.addMachine("muscat", false);
        }
        User user = new User(deployment);
        if (!deployment.awaitReady(10_000)) {
            return 2;
        }
        // Replicas take every GPU but one. They run all the time and are not touched by the trouble.
        int replicas = MACHINES * 2 - 1;
        Map<String, Object> service = User.job("wk-000001", "album-serve", "ops", "standing", "production", replicas);
        service.putAll(Map.of("cores", 8.0, "cards", 1.0, "memory_gb", 29.0, "size_gb", 0.5));
        if (user.submit(new Jobs.Spec(service, 0)) != 201) {
            return 2;
        }
        if (!deployment.awaitOnMachines("wk-000001", replicas, 20_000)) {
            return 2;
        }
        Worker machine = deployment.workers.stream()
                .filter(worker -> worker.free()[1] >= 1)
                .findFirst()
                .orElseThrow();
        Record.line("%d replicas of wk-000001 run; machine %s alone has room", replicas, machine.name);
        Net.sleep(500);
        if (trouble) {
            machine.sick = true;
            Record.line("TROUBLE begins: machine %s fails every task that it starts", machine.name);
        }
        long sickFromMs = Net.now();
        Map<String, Object> array = User.job("wk-000002", "retouch-batch", "retouchers", "sweep", "standard", 1);
        array.putAll(Map.of("cores", 10.0, "cards", 1.0, "memory_gb", 36.0, "size_gb", 0.5, "expect_s", 10.0));
        if (user.submit(new Jobs.Spec(array, 10)) != 201) {
            return 2;
        }
        long overMs = sickFromMs + SICK_MS;
        boolean overRecorded = false;
        while (Net.now() < overMs + BOUND_MS + 500) {
            if (!overRecorded && Net.now() >= overMs) {
                overRecorded = true;
                machine.sick = false;
                Record.line("%s", trouble ? "TROUBLE over" : "no trouble in this run");
            }
            String stage = user.poll("wk-000002");
            if ("done".equals(stage)) {
                Record.line("held: the job is done");
                return 0;
            }
            double[] free = machine.free();
            Record.line("machine %s has room for %.0f CPUs, %.0f GPUs, %.0f GB; starts of wk-000002/0: %d",
                    machine.name, free[0], free[1], free[2], deployment.jobs.startCount("wk-000002/0"));
            if (machine.gone) {
                Record.line("the machine has gone; the case can't be judged");
                return 2;
            }
            if (overRecorded && deployment.jobs.machinesOf("wk-000002/0").contains(machine.name)) {
                Record.line("held: the task started again");
                return 0;
            }
            Net.sleep(5_000);
        }
        Record.line("BROKEN: wk-000002 has waited for 90 s since the trouble ended, while machine %s has room", machine.name);
        return 1;
    }
}
