package birchusher.cli;

import birchusher.kv.Limits;
import birchusher.kv.Request;
import birchusher.kv.Write;
import birchusher.statehost.DurableStore;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.wal.LockedDirectory;
import birchusher.wal.WriteAheadLog;
import birchusher.wire.MessagePackCodec;
import birchusher.wire.Wire;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * By hand, not by the tests. {@code fill DIR N}: N ended jobs into a daemon's directory that is not in use. {@code submit
 * HOST:PORT CLIENTS SECONDS}: jobs that nothing can run yet, from so many clients at once, each with one connection a request.
 * {@code state}: the same number of clients straight at the state service, a row of 400 bytes each.
 */
final class DaemonLoadGenerator {
    private DaemonLoadGenerator() {}

    public static void main(String[] args) throws Exception {
        if (args[0].equals("fill")) {
            writeEndedJobs(Path.of(args[1]), Integer.parseInt(args[2]));
        } else {
            generateLoad(args[1], Integer.parseInt(args[2]), Double.parseDouble(args[3]), args[0].equals("state"));
        }
    }

    private static void writeEndedJobs(Path dir, int jobs) throws IOException {
        byte[] ended = MessagePackCodec.encode(StoreView.endedJobRow(true, 1));
        try (DurableStore k = DurableStore.open(
                new LockedDirectory(dir.resolve("state")),
                WriteAheadLog.Options.DEFAULT,
                64 << 20,
                new Limits(1e9, 1e9, 16, 8192),
                0)) {
            for (int i = 1; i <= jobs; i++) {
                k.handle(
                        i,
                        i,
                        new Request.Transaction(
                                List.of(), List.of(new Write.Set(Keys.ENDED_JOB + "wk-old-" + i, ended, 0)), 100, 100));
                if (i % 1000 == 0 || i == jobs) {
                    k.flush(i);
                }
            }
        }
    }

    private static void generateLoad(String server, int clients, double seconds, boolean state)
            throws InterruptedException {
        Map<String, Object> job = new HashMap<>(Map.of(
                "lane",
                "l",
                "crew",
                "main",
                "shape",
                "sweep",
                "rank",
                "low",
                "pieces",
                1L,
                "cores",
                4.0,
                "cards",
                0.0,
                "memory_gb",
                0.1));
        job.putAll(Map.of(
                "bundle",
                "none",
                "size_gb",
                0.0,
                "one_zone",
                false,
                "scatter",
                false,
                "loaners",
                false,
                "expect_s",
                600.0,
                "mark_every_s",
                0.0,
                "mark_take_s",
                0.0));
        ConcurrentHistogram ms = new ConcurrentHistogram(60_000, 3);
        AtomicInteger accepted = new AtomicInteger();
        String run = Long.toString(System.currentTimeMillis(), 36);
        long end = System.nanoTime() + (long) (seconds * 1e9);
        Thread[] threads = new Thread[clients];
        for (int i = 0; i < clients; i++) {
            int n = i;
            threads[i] = new Thread(() -> {
                RetryingClient c = new RetryingClient(server, 60);
                try {
                    for (int j = 0; System.nanoTime() < end; j++) {
                        Map<String, Object> mine = new HashMap<>(job);
                        mine.put(Wire.ID, "wk-" + run + "-" + n + "-" + j);
                        long from = System.nanoTime();
                        Map<String, Object> row =
                                Map.of("writes", List.of(Map.of("set", "m/" + mine.get(Wire.ID), "value", mine)));
                        if (c.call("POST", state ? Wire.TRANSACTIONS : Wire.JOBS, state ? row : mine)
                                .isSuccess()) {
                            accepted.incrementAndGet();
                            ms.recordValue(Math.min(60_000, (System.nanoTime() - from) / 1_000_000));
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    System.err.println(e);
                }
            });
            threads[i].start();
        }
        for (Thread t : threads) {
            t.join();
        }
        System.out.printf(
                "%d clients: %.0f accepted a second, ms median %d, p95 %d, most %d%n",
                clients,
                accepted.get() / seconds,
                ms.getValueAtPercentile(50),
                ms.getValueAtPercentile(95),
                ms.getMaxValue());
    }
}
