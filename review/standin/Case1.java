package standin;

import java.util.Map;

/** A gang whose tasks are recorded in two rows completes while one of its machines is cut off for longer than a lease. */
public final class Case1 {
    private static final int TASKS = 200;
    private static final double RUN_S = 5;
    /** The cut begins this long before the gang completes: less than gang_peer_s, so that the gang does not fail. */
    private static final int CUT_BEFORE_END_MS = 2_500;

    private static final int CUT_MS = 16_000;
    /** A user expects `done` from 3 s after the last task has completed; the script waits for much longer. */
    private static final int BOUND_MS = 70_000;

    private Case1() {}

    static int run(Deployment deployment, boolean trouble) throws Exception {
        deployment.team("ops", 16, 72);
        deployment.capacity = 4;
        deployment.bootMs = 1_500;
        deployment.start();
        deployment.addMachine("muscat", false);
        deployment.addMachine("muscat", false);
        User user = new User(deployment);
        if (!deployment.awaitReady(10_000)) {
            return 2;
        }
        Map<String, Object> gang = User.job("wk-000001", "face-train", "ops", "gang", "urgent", TASKS);
        gang.putAll(Map.of("cores", 0.2, "memory_gb", 0.5, "size_gb", 0.5, "one_zone", true, "expect_s", RUN_S));
        if (user.submit(new Jobs.Spec(gang, RUN_S)) != 201) {
            return 2;
        }
        long limitMs = Net.now() + 15_000;
        while (!deployment.jobs.gangRuns("wk-000001") && Net.now() < limitMs) {
            Net.sleep(20);
        }
        if (!deployment.jobs.gangRuns("wk-000001")) {
            return 2;
        }
        // The machine that holds the last tasks, which are recorded in the second row.
        String last = deployment.jobs.machinesOf("wk-000001/" + (TASKS - 1)).iterator().next();
        Worker machine = deployment.workers.stream().filter(worker -> worker.name.equals(last)).findFirst().orElseThrow();
        Net.sleep(Math.round(RUN_S * 1000) - CUT_BEFORE_END_MS);
        if (trouble) {
            machine.cutSinceMs = Net.now();
            Record.line("TROUBLE begins: machine %s loses the network", machine.name);
        }
        long overMs = Net.now() + CUT_MS;
        boolean overRecorded = false;
        while (Net.now() < overMs + BOUND_MS) {
            if (!overRecorded && Net.now() >= overMs) {
                overRecorded = true;
                machine.cutSinceMs = 0;
                Record.line("%s", trouble ? "TROUBLE over" : "no trouble in this run");
            }
            String stage = user.poll("wk-000001");
            Record.line("tasks of wk-000001 that have completed: %d of %d", deployment.jobs.doneCount("wk-000001"), TASKS);
            if ("done".equals(stage)) {
                Record.line("held: the job is done");
                return deployment.violations.isEmpty() ? 0 : 1;
            }
            Net.sleep(2_000);
        }
        Record.line("BROKEN: all tasks have completed, and the trouble has been over for %d s, but the job is not done", BOUND_MS / 1000);
        return deployment.jobs.doneCount("wk-000001") == TASKS ? 1 : 2;
    }
}
