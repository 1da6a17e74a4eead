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
 * Generates load on a daemon; run by hand, not by the tests.
 *
 * <ul>
 *   <li>{@code fill DIR N} writes N ended jobs into the data directory of a daemon that is not running.
 *   <li>{@code submit HOST:PORT CLIENTS SECONDS} submits jobs that cannot run yet, from the given number of concurrent clients,
 *       each with a connection per request.
 *   <li>{@code state HOST:PORT CLIENTS SECONDS} lets the same clients write directly to the state service, a row of 400 bytes per
 *       request.
 * </ul>
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
        try (DurableStore store = DurableStore.open(
                new LockedDirectory(dir.resolve("state")),
                WriteAheadLog.Options.DEFAULT,
                64 << 20,
                new Limits(1e9, 1e9, 16, 8192),
                0)) {
            for (int job = 1; job <= jobs; job++) {
                store.handle(
                        job,
                        job,
                        new Request.Transaction(
                                List.of(),
                                List.of(new Write.Set(Keys.ENDED_JOB + "wk-old-" + job, ended, 0)),
                                100,
                                100));
                if (job % 1000 == 0 || job == jobs) {
                    store.flush(job);
                }
            }
        }
    }

    private static void generateLoad(String server, int clients, double seconds, boolean stateServiceOnly)
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
        ConcurrentHistogram latencyMs = new ConcurrentHistogram(60_000, 3);
        AtomicInteger accepted = new AtomicInteger();
        String runId = Long.toString(System.currentTimeMillis(), 36);
        long endNs = System.nanoTime() + (long) (seconds * 1e9);
        Thread[] threads = new Thread[clients];
        for (int i = 0; i < clients; i++) {
            int clientIndex = i;
            threads[i] = new Thread(() -> {
                RetryingClient client = new RetryingClient(server, 60);
                try {
                    for (int j = 0; System.nanoTime() < endNs; j++) {
                        Map<String, Object> submittedJob = new HashMap<>(job);
                        submittedJob.put(Wire.ID, "wk-" + runId + "-" + clientIndex + "-" + j);
                        long startNs = System.nanoTime();
                        Map<String, Object> transaction = Map.of(
                                "writes",
                                List.of(Map.of("set", "m/" + submittedJob.get(Wire.ID), "value", submittedJob)));
                        if (client.call(
                                        "POST",
                                        stateServiceOnly ? Wire.TRANSACTIONS : Wire.JOBS,
                                        stateServiceOnly ? transaction : submittedJob)
                                .isSuccess()) {
                            accepted.incrementAndGet();
                            latencyMs.recordValue(Math.min(60_000, (System.nanoTime() - startNs) / 1_000_000));
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    System.err.println(e);
                }
            });
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf(
                "%d clients: %.0f requests accepted per second, latency in ms: median %d, p95 %d, max %d%n",
                clients,
                accepted.get() / seconds,
                latencyMs.getValueAtPercentile(50),
                latencyMs.getValueAtPercentile(95),
                latencyMs.getMaxValue());
    }
}
