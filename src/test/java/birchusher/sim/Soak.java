package birchusher.sim;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A spell of troubles on real processes, drawn by a seed: kills, pauses, cuts, delays, lost, doubled and late messages, two or three at once. */
final class Soak {
    /** Before this the controllers start and the first machines come up. */
    private static final long FIRST_TROUBLE_MS = 14_000;
    /** For so long before the end no trouble begins, and all have ended. */
    static final long QUIET_MS = 15_000;

    private static final int CARDS = 4;

    private final long seed;
    private final Random random;
    private final ProcessWorld world;
    private final long endMs;
    private final List<String> schedule = new ArrayList<>();
    private int jobs;

    /** What came of one seed. */
    record Result(long seed, List<String> broken, List<String> schedule, int starts, int machines, int boots) {
        String line() {
            return "seed " + seed + ": " + (broken.isEmpty() ? "no rule broken" : "BROKEN " + broken) + ", " + starts
                    + " starts, " + machines + " machines, " + boots + " controller starts";
        }
    }

    private Soak(long seed, ProcessWorld world, long endMs) {
        this.seed = seed;
        this.world = world;
        this.endMs = endMs;
        random = new Random(seed * 31 + 7);
    }

    /** @param workers about how many machines the jobs of the beginning need */
    static Result play(long seed, int workers, int seconds, Path dir) throws IOException, InterruptedException {
        try (ProcessWorld world = new ProcessWorld(seed, 3, workers * CARDS, dir)) {
            Soak soak = new Soak(seed, world, seconds * 1000L);
            soak.prepare(workers);
            world.runUntil(soak.endMs);
            List<String> broken = new ArrayList<>(world.broken);
            broken.addAll(world.logged("safety rule broken"));
            return new Result(seed, broken, soak.schedule, world.starts, world.rented, world.boots);
        }
    }

    private void prepare(int workers) {
        world.imagesCached = random.nextBoolean();
        world.upAtOnce = workers > 50;
        world.submit("wk-web", "standing", 3, "production", true, false);
        world.submit("wk-gang", "gang", 3, "standard", false, true);
        int places = workers * CARDS * 2 / 3;
        for (int i = 0; places > 0; i++, places -= 12) {
            world.submit(
                    "wk-arr" + i,
                    i % 3 == 0 ? "standing" : "sweep",
                    Math.min(12, places),
                    i % 3 == 0 ? "production" : "standard",
                    false,
                    false);
        }
        long at = FIRST_TROUBLE_MS;
        while (at < endMs - QUIET_MS) {
            int together = 1 + random.nextInt(3);
            for (int i = 0; i < together; i++) {
                trouble(at + random.nextInt(2_500), Math.min(12_000, endMs - QUIET_MS - at));
            }
            at += 3_000 + random.nextInt(6_000);
        }
        for (long t = 6_000; t < endMs - QUIET_MS; t += 2_500 + random.nextInt(3_000)) {
            usersAt(t);
        }
        world.at(endMs - QUIET_MS, this::calm);
    }

    private void usersAt(long at) {
        String id = "wk-s" + jobs++;
        String shape = List.of("standing", "sweep", "gang").get(random.nextInt(3));
        int tasks = 1 + random.nextInt(4);
        String rank = List.of("production", "urgent", "standard").get(random.nextInt(3));
        long cancelAfter = random.nextBoolean() ? 500 + random.nextInt(12_000) : -1;
        world.at(at, () -> world.submit(id, shape, tasks, rank, false, false));
        if (cancelAfter >= 0) {
            world.at(at + cancelAfter, () -> world.cancel(id));
        }
    }

    private void step(long at, String what, Runnable action) {
        schedule.add(String.format("%.1f s: %s", at / 1000.0, what));
        world.at(at, action);
    }

    private void between(long at, long ms, String what, Runnable begin, Runnable end) {
        step(at, what + " for " + ms + " ms", begin);
        world.at(at + ms, end);
    }

    /** A machine by a number drawn now, among those there then. */
    private void machine(int drawn, java.util.function.Consumer<FakeWorker> then) {
        List<FakeWorker> all = new ArrayList<>(world.workers.values());
        if (!all.isEmpty()) {
            then.accept(all.get(drawn % all.size()));
        }
    }

    private void machines(long at, long ms, String what, java.util.function.BiConsumer<FakeWorker, Boolean> turn) {
        int first = random.nextInt(1_000);
        int count = 1 + random.nextInt(4);
        List<FakeWorker> hit = new ArrayList<>();
        between(
                at,
                ms,
                count + " machines " + what,
                () -> {
                    for (int i = 0; i < count; i++) {
                        machine(first + i, worker -> {
                            hit.add(worker);
                            turn.accept(worker, true);
                        });
                    }
                },
                () -> hit.forEach(worker -> turn.accept(worker, false)));
    }

    private void trouble(long at, long most) {
        int node = random.nextInt(world.controllers);
        long ms = 500 + random.nextInt((int) Math.max(1_000, most - 500));
        switch (random.nextInt(14)) {
            case 0 -> step(
                    at,
                    "perch-" + node + " killed, back after " + Math.min(ms, 4_000),
                    () -> world.crash(node, Math.min(ms, 4_000)));
            case 1 -> {
                for (int i = 0; i < world.controllers; i++) {
                    int each = i;
                    long back = 100 + random.nextInt(3_000);
                    step(
                            at + random.nextInt(300),
                            "perch-" + each + " killed with all, back after " + back,
                            () -> world.crash(each, back));
                }
            }
            case 2 -> {
                for (int i = 0; i < 4; i++) {
                    int each = (node + i) % world.controllers;
                    step(at + i * 1_500L, "perch-" + each + " killed in a series", () -> world.crash(each, 200));
                }
            }
            case 3 -> step(at, "perch-" + node + " paused for " + ms + " ms", () -> world.still(node, ms));
            case 4 -> between(
                    at,
                    ms,
                    "state service out",
                    () -> world.store.outage(true, world.now),
                    () -> world.store.outage(false, world.now));
            case 5 -> between(
                    at,
                    ms,
                    "state service refuses perch-" + node,
                    () -> world.refused[node] = true,
                    () -> world.refused[node] = false);
            case 6 -> step(
                    at, "peers' connections held for " + ms + " ms", () -> world.holdPeers(random.nextBoolean(), ms));
            case 7 -> step(at, "peers' connections reset", world::resetPeers);
            case 8 -> machines(at, ms, "cut off", FakeWorker::cutOff);
            case 9 -> machines(at, ms, "deaf", (worker, on) -> worker.deaf = on);
            case 10 -> machines(at, ms, "mute", (worker, on) -> worker.mute = on);
            case 11 -> machines(at, ms, "hang", (worker, on) -> worker.hungUntil = on ? world.now + ms : 0);
            case 12 -> {
                long reports = random.nextInt(3_800);
                long commands = random.nextInt(3_800);
                machines(at, ms, "with reports held " + reports + " ms, commands " + commands + " ms", (worker, on) -> {
                    worker.reportsHeldMs = on ? reports : 0;
                    worker.commandsHeldMs = on ? commands : 0;
                });
            }
            default -> between(
                    at,
                    ms,
                    "messages lost, doubled and late, writes late, answers lost",
                    () -> {
                        world.loss = 0.02;
                        world.copies = 0.2;
                        world.lateWrites = 0.05;
                        world.lostAnswers = 0.05;
                    },
                    this::messagesFine);
        }
    }

    private void messagesFine() {
        world.loss = 0;
        world.copies = 0;
        world.lateWrites = 0;
        world.lostAnswers = 0;
    }

    /** Whatever still goes on ends. */
    private void calm() {
        messagesFine();
        if (world.store.out()) {
            world.store.outage(false, world.now);
        }
        for (int i = 0; i < world.controllers; i++) {
            world.refused[i] = false;
        }
        world.holdPeers(true, 0);
        world.workers.values().forEach(worker -> {
            worker.cutOff(false);
            worker.reportsHeldMs = 0;
            worker.commandsHeldMs = 0;
        });
    }
}
