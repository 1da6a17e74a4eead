package standin;

import java.util.List;
import java.util.Map;

/** A gang has one machine with its image and one without; the first gives up waiting before the second has fetched it, again and again. */
public final class Case3 {
    /** A little more than "no job is left waiting for 90 s", once the troubles are over. */
    private static final int BOUND_MS = 91_000;

    private static final double IMAGE_GB = 12;
    private static final double RUN_S = 20;
    private static final int NOTICE_MS = 7_000;

    private Case3() {}

    static int run(Deployment deployment, boolean trouble) throws Exception {
        deployment.reportS = 4;
        deployment.leaseS = 26;
        deployment.gangWaitS = 50;
        deployment.gangPeerS = 4;
        deployment.cancelS = 46;
        deployment.stateWriteRps = 30;
        deployment.txnOps = 16;
        deployment.cloudRps = 7;
        deployment.listLagS = 10;
        deployment.zones = List.of("levis", "drummond", "sherbrooke");
        deployment.areas = deployment.zones;
        deployment.typeName = "melangeur-48";
        deployment.typeSize = new double[] {48, 4, 384};
        deployment.fetchGbPerS = 0.15;
        deployment.bootS = 40;
        deployment.bootMs = 1_500;
        deployment.capacity = 3;
        deployment.team("comptoir", 600, 6000);
        deployment.team("formulation", 1000, 12000);
        deployment.start();
        Worker ordinary = deployment.addMachine("levis", false);
        ordinary.cache("img-teinte-live");
        ordinary.cache("img-spectro-train");
        User user = new User(deployment);
        if (!deployment.awaitReady(10_000)) {
            return 2;
        }
        // One replica on the ordinary machine, so that it has room for one task of the gang only.
        Map<String, Object> service = User.job("wk-000001", "teinte-live", "comptoir", "standing", "production", 1);
        service.putAll(Map.of("cores", 8.0, "cards", 1.0, "memory_gb", 58.0, "size_gb", 0.5));
        if (user.submit(new Jobs.Spec(service, 0)) != 201 || !deployment.awaitOnMachines("wk-000001", 1, 10_000)) {
            return 2;
        }
        Worker cheap = deployment.addMachine("levis", true);
        cheap.cache("img-spectro-train");
        Map<String, Object> gang = User.job("wk-000002", "spectro-train", "formulation", "gang", "standard", 2);
        gang.putAll(Map.of("cores", 21.0, "cards", 3.0, "memory_gb", 150.0, "size_gb", IMAGE_GB, "grove", "levis", "loaners", true));
        gang.putAll(Map.of("expect_s", RUN_S, "mark_every_s", 30.0, "mark_take_s", 3.0));
        if (user.submit(new Jobs.Spec(gang, RUN_S)) != 201) {
            return 2;
        }
        long limitMs = Net.now() + 10_000;
        while (!deployment.jobs.gangRuns("wk-000002") && Net.now() < limitMs) {
            Net.sleep(20);
        }
        if (!deployment.jobs.gangRuns("wk-000002")) {
            return 2;
        }
        Net.sleep(1_000);
        if (trouble) {
            cheap.recall(NOTICE_MS);
        }
        while (!cheap.gone && !"done".equals(user.poll("wk-000002"))) {
            Net.sleep(1_000);
        }
        if (deployment.jobs.doneCount("wk-000002") == 2) {
            Record.line("held: the gang is done");
            return 0;
        }
        Record.line("TROUBLE over: the machine is gone");
        long overMs = Net.now();
        while (Net.now() < overMs + BOUND_MS) {
            if (deployment.jobs.gangRunsCount("wk-000002") > 1) {
                Record.line("held: the gang runs again");
                return 0;
            }
            user.poll("wk-000002");
            Net.sleep(5_000);
        }
        Record.line("BROKEN: wk-000002 has not run for 90 s since the trouble ended");
        return 1;
    }
}
