package birchusher.sim;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A spell of troubles on real processes, drawn by a seed: kills, pauses, cuts, delays, lost, doubled and late messages, two or three at once. */
final class Soak {
    /** Before this the controllers start and the first machines come up. */
    private static final long FIRST_FAULT_MS = 14_000;
    /** For so long before the end no trouble begins, and all have ended. */
    static final long FAULT_FREE_END_MS = 15_000;

    private static final int GPUS_PER_MACHINE = 4;

    private final long seed;
    private final Random random;
    private final ProcessWorld world;
    private final long endMs;
    private final List<String> faultSchedule = new ArrayList<>();
    private int nextJobNumber;

    /** What came of one seed. */
    record Result(
            long seed,
            List<String> violations,
            List<String> faultSchedule,
            int taskStarts,
            int machinesRented,
            int controllerStarts) {
        String summary() {
            return "seed " + seed + ": " + (violations.isEmpty() ? "no rule broken" : "BROKEN " + violations) + ", "
                    + taskStarts + " starts, " + machinesRented + " machines, " + controllerStarts
                    + " controller starts";
        }
    }

    private Soak(long seed, ProcessWorld world, long endMs) {
        this.seed = seed;
        this.world = world;
        this.endMs = endMs;
        random = new Random(seed * 31 + 7);
    }

    /** @param workers about how many machines the jobs of the beginning need */
    static Result run(long seed, int workers, int seconds, Path dir) throws IOException, InterruptedException {
        try (ProcessWorld world = new ProcessWorld(seed, 3, workers * GPUS_PER_MACHINE, dir)) {
            Soak soak = new Soak(seed, world, seconds * 1000L);
            soak.scheduleJobsAndFaults(workers);
            world.runInRealTime(soak.endMs);
            List<String> broken = new ArrayList<>(world.violations);
            broken.addAll(world.logLines("safety rule broken"));
            return new Result(
                    seed, broken, soak.faultSchedule, world.taskStarts, world.machineRented, world.controllerStarts);
        }
    }

    private void scheduleJobsAndFaults(int workers) {
        world.imagesCached = random.nextBoolean();
        world.fastBoot = workers > 50;
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.submit("wk-gang", "gang", 3, "standard", false, true);
        int places = workers * GPUS_PER_MACHINE * 2 / 3;
        for (int i = 0; places > 0; i++, places -= 12) {
            world.submit(
                    "wk-arr" + i,
                    i % 3 == 0 ? "standing" : "sweep",
                    Math.min(12, places),
                    i % 3 == 0 ? "production" : "standard",
                    false,
                    false);
        }
        long at = FIRST_FAULT_MS;
        while (at < endMs - FAULT_FREE_END_MS) {
            int together = 1 + random.nextInt(3);
            for (int i = 0; i < together; i++) {
                scheduleRandomFault(at + random.nextInt(2_500), Math.min(12_000, endMs - FAULT_FREE_END_MS - at));
            }
            at += 3_000 + random.nextInt(6_000);
        }
        for (long t = 6_000; t < endMs - FAULT_FREE_END_MS; t += 2_500 + random.nextInt(3_000)) {
            scheduleUserJob(t);
        }
        world.schedule(endMs - FAULT_FREE_END_MS, this::endAllFaults);
    }

    private void scheduleUserJob(long at) {
        String id = "wk-s" + nextJobNumber++;
        String shape = List.of("standing", "sweep", "gang").get(random.nextInt(3));
        int tasks = 1 + random.nextInt(4);
        String rank = List.of("production", "urgent", "standard").get(random.nextInt(3));
        long cancelAfter = random.nextBoolean() ? 500 + random.nextInt(12_000) : -1;
        world.schedule(at, () -> world.submit(id, shape, tasks, rank, false, false));
        if (cancelAfter >= 0) {
            world.schedule(at + cancelAfter, () -> world.requestCancellation(id));
        }
    }

    private void scheduleFault(long at, String what, Runnable action) {
        faultSchedule.add(String.format("%.1f s: %s", at / 1000.0, what));
        world.schedule(at, action);
    }

    private void scheduleFaultPeriod(long at, long ms, String what, Runnable begin, Runnable end) {
        scheduleFault(at, what + " for " + ms + " ms", begin);
        world.schedule(at + ms, end);
    }

    /** A machine by a number drawn now, among those there then. */
    private void withMachine(int drawn, java.util.function.Consumer<FakeWorker> then) {
        List<FakeWorker> all = new ArrayList<>(world.workers.values());
        if (!all.isEmpty()) {
            then.accept(all.get(drawn % all.size()));
        }
    }

    private void scheduleMachineFault(
            long at, long ms, String what, java.util.function.BiConsumer<FakeWorker, Boolean> turn) {
        int first = random.nextInt(1_000);
        int count = 1 + random.nextInt(4);
        List<FakeWorker> hit = new ArrayList<>();
        scheduleFaultPeriod(
                at,
                ms,
                count + " machines " + what,
                () -> {
                    for (int i = 0; i < count; i++) {
                        withMachine(first + i, worker -> {
                            hit.add(worker);
                            turn.accept(worker, true);
                        });
                    }
                },
                () -> hit.forEach(worker -> turn.accept(worker, false)));
    }

    private void scheduleRandomFault(long at, long most) {
        int node = random.nextInt(world.controllerCount);
        long ms = 500 + random.nextInt((int) Math.max(1_000, most - 500));
        switch (random.nextInt(14)) {
            case 0 -> scheduleFault(
                    at,
                    "perch-" + node + " killed, back after " + Math.min(ms, 4_000),
                    () -> world.crash(node, Math.min(ms, 4_000)));
            case 1 -> {
                for (int i = 0; i < world.controllerCount; i++) {
                    int each = i;
                    long back = 100 + random.nextInt(3_000);
                    scheduleFault(
                            at + random.nextInt(300),
                            "perch-" + each + " killed with all, back after " + back,
                            () -> world.crash(each, back));
                }
            }
            case 2 -> {
                for (int i = 0; i < 4; i++) {
                    int each = (node + i) % world.controllerCount;
                    scheduleFault(
                            at + i * 1_500L, "perch-" + each + " killed in a series", () -> world.crash(each, 200));
                }
            }
            case 3 -> scheduleFault(at, "perch-" + node + " paused for " + ms + " ms", () -> world.pause(node, ms));
            case 4 -> scheduleFaultPeriod(
                    at,
                    ms,
                    "state service out",
                    () -> world.store.setOutage(true, world.nowMs),
                    () -> world.store.setOutage(false, world.nowMs));
            case 5 -> scheduleFaultPeriod(
                    at,
                    ms,
                    "state service refuses perch-" + node,
                    () -> world.refusedByStore[node] = true,
                    () -> world.refusedByStore[node] = false);
            case 6 -> scheduleFault(
                    at,
                    "peers' connections held for " + ms + " ms",
                    () -> world.holdPeerConnections(random.nextBoolean(), ms));
            case 7 -> scheduleFault(at, "peers' connections reset", world::resetPeerConnections);
            case 8 -> scheduleMachineFault(at, ms, "cut off", FakeWorker::setCutOff);
            case 9 -> scheduleMachineFault(at, ms, "deaf", (worker, on) -> worker.cannotReceive = on);
            case 10 -> scheduleMachineFault(at, ms, "mute", (worker, on) -> worker.cannotReport = on);
            case 11 -> scheduleMachineFault(
                    at, ms, "hang", (worker, on) -> worker.hungUntilMs = on ? world.nowMs + ms : 0);
            case 12 -> {
                long reports = random.nextInt(3_800);
                long commands = random.nextInt(3_800);
                scheduleMachineFault(
                        at, ms, "with reports held " + reports + " ms, commands " + commands + " ms", (worker, on) -> {
                            worker.reportDelayMs = on ? reports : 0;
                            worker.commandDelayMs = on ? commands : 0;
                        });
            }
            default -> scheduleFaultPeriod(
                    at,
                    ms,
                    "messages lost, doubled and late, writes late, answers lost",
                    () -> {
                        world.messageLossRate = 0.02;
                        world.duplicateReportRate = 0.2;
                        world.lateTransactionRate = 0.05;
                        world.lostTransactionReplyRate = 0.05;
                    },
                    this::endMessageFaults);
        }
    }

    private void endMessageFaults() {
        world.messageLossRate = 0;
        world.duplicateReportRate = 0;
        world.lateTransactionRate = 0;
        world.lostTransactionReplyRate = 0;
    }

    /** Whatever still goes on ends. */
    private void endAllFaults() {
        endMessageFaults();
        if (world.store.inOutage()) {
            world.store.setOutage(false, world.nowMs);
        }
        for (int i = 0; i < world.controllerCount; i++) {
            world.refusedByStore[i] = false;
        }
        world.holdPeerConnections(true, 0);
        world.workers.values().forEach(worker -> {
            worker.setCutOff(false);
            worker.reportDelayMs = 0;
            worker.commandDelayMs = 0;
        });
    }
}
