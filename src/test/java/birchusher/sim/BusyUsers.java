package birchusher.sim;

import java.util.Arrays;
import java.util.Random;

/**
 * Users of a soak run who submit short jobs throughout, cancel some of them, and ask, repeat and cancel at all controllers within
 * milliseconds; with the faults of the state service that matter most to their answers: late responses, histories cut short, small
 * pages.
 */
final class BusyUsers {
    private static final int ASK_INTERVAL_MS = 100;
    private static final int JOBS_ASKED_AT_ONCE = 2;
    private static final int RECENT_JOBS = 30;

    private final ProcessWorld world;
    private final Random random;
    private final long fromMs;
    private final long endMs;
    private int submittedJobs;

    private BusyUsers(ProcessWorld world, long seed, long fromMs, long endMs) {
        this.world = world;
        random = new Random(seed * 131 + 5);
        this.fromMs = fromMs;
        this.endMs = endMs;
    }

    /** Schedules the users' requests and the state service's faults between two times. */
    static void schedule(ProcessWorld world, long seed, double jobsPerS, long fromMs, long endMs) {
        BusyUsers users = new BusyUsers(world, seed, fromMs, endMs);
        world.recheckAtAllControllers = true;
        world.cancelAtCompletionRate = 0.2;
        users.scheduleJobs(jobsPerS);
        users.scheduleQuestions();
        users.scheduleStoreFaults();
    }

    private void scheduleJobs(double jobsPerS) {
        int gapMs = (int) Math.round(1_000 / jobsPerS);
        int number = 0;
        for (long atMs = fromMs; atMs < endMs; atMs += gapMs / 2 + random.nextInt(gapMs)) {
            String id = "wk-b" + number++;
            int kind = random.nextInt(100);
            String shape = kind < 70 ? "sweep" : kind < 85 ? "gang" : "standing";
            int tasks = kind < 70 ? 1 + random.nextInt(3) : kind < 85 ? 2 + random.nextInt(8) : 1;
            for (int task = 0; task < tasks && kind < 70; task++) {
                world.fixedRunTimesMs.put(id + "/" + task, 300L + random.nextInt(1_500));
            }
            world.schedule(atMs, () -> submit(id, shape, tasks));
            if (kind >= 85 || random.nextInt(4) == 0) {
                world.schedule(atMs + 300 + random.nextInt(4_000), () -> world.requestCancellation(id));
            }
        }
    }

    private void submit(String id, String shape, int tasks) {
        world.submit(id, shape, tasks, "urgent", false, false);
        submittedJobs++;
    }

    private void scheduleQuestions() {
        for (long atMs = fromMs; atMs < endMs; atMs += ASK_INTERVAL_MS) {
            int fromNewest = random.nextInt(RECENT_JOBS);
            int any = random.nextInt(Integer.MAX_VALUE);
            world.schedule(atMs, () -> {
                for (int i = 0; i < JOBS_ASKED_AT_ONCE && submittedJobs > 0; i++) {
                    int number = i == 0 ? Math.max(0, submittedJobs - 1 - fromNewest) : any % submittedJobs;
                    world.recheckEverywhere("wk-b" + number);
                }
            });
        }
    }

    private void scheduleStoreFaults() {
        world.store.maxRowsPerListing = random.nextBoolean() ? 20 : 1_000;
        double slowRate = 0.05 + 0.4 * random.nextDouble();
        world.schedule(fromMs, () -> world.slowStoreReplyRate = slowRate);
        boolean cutsHistory = random.nextBoolean();
        for (long atMs = fromMs; atMs < endMs; atMs += 3_000 + random.nextInt(5_000)) {
            int controller = random.nextInt(world.controllerCount);
            world.schedule(atMs, () -> world.viewLagging[controller] = true);
            world.schedule(atMs + 300 + random.nextInt(2_700), () -> world.viewLagging[controller] = false);
            if (cutsHistory) {
                world.schedule(atMs + random.nextInt(3_000), world.store::compactHistory);
            }
        }
        world.schedule(endMs, () -> {
            world.slowStoreReplyRate = 0;
            Arrays.fill(world.viewLagging, false);
        });
    }
}
