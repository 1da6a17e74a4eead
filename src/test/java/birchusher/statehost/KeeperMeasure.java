package birchusher.statehost;

import birchusher.kv.Engine.Answer;
import birchusher.kv.Limits;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Write;
import birchusher.wal.HostDisk;
import birchusher.wal.Log;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * By hand, not by the tests: changes a second with so many clients to one sync, then the time and memory of a start with so
 * many ended jobs. Arguments: an empty directory, and numbers of ended jobs.
 */
final class KeeperMeasure {
    private static final Limits LIMITS = new Limits(1e9, 1e9, 16, 8192);
    private static final byte[] JOB = new byte[400];
    private static final byte[] ENDED = new byte[60];

    private KeeperMeasure() {}

    private static Keeper open(Path dir) throws IOException {
        return Keeper.open(new HostDisk(dir), Log.Options.USUAL, 64 << 20, LIMITS, 0);
    }

    private static void change(Keeper k, long ticket, String key, byte[] value) {
        List<Answer> early =
                k.handle(ticket, ticket, new Request.Txn(List.of(), List.of(new Write.Set(key, value, 0)), 500, 500));
        if (!early.isEmpty()) {
            throw new IllegalStateException("answered before it was durable: " + early);
        }
    }

    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        for (int clients : new int[] {1, 16, 256}) {
            try (Keeper k = open(root.resolve("rate-" + clients))) {
                long ticket = 0;
                int done = 0;
                long from = System.nanoTime();
                while (System.nanoTime() - from < 3_000_000_000L) {
                    for (int i = 0; i < clients; i++) {
                        change(k, ++ticket, "b/live/job/wk-" + ticket, JOB);
                    }
                    for (Answer a : k.flush(ticket)) {
                        done += a.reply() instanceof Reply.Committed ? 1 : 0;
                    }
                }
                System.out.printf("%d clients: %.0f durable changes a second%n", clients, done / 3.0);
            }
        }
        for (int n = 1; n < args.length; n++) {
            int jobs = Integer.parseInt(args[n]);
            Path dir = root.resolve("jobs-" + jobs);
            try (Keeper k = open(dir)) {
                for (int i = 1; i <= jobs; i++) {
                    change(k, i, "b/end/wk-" + i, ENDED);
                    if (i % 1000 == 0 || i == jobs) {
                        k.flush(i);
                    }
                }
            }
            report(dir, jobs, "log");
            try (Keeper k = Keeper.open(new HostDisk(dir), Log.Options.USUAL, 1, LIMITS, 0)) {
                long from = System.nanoTime();
                Keeper.MachineStatus p = k.picture(0);
                p.write();
                k.pictured(0, p, true);
                k.flush(0);
                System.out.printf(
                        "%d ended jobs: snapshot written in %.2f s%n", jobs, (System.nanoTime() - from) / 1e9);
            }
            report(dir, jobs, "snapshot");
        }
    }

    private static void report(Path dir, int jobs, String from) throws IOException {
        long bytes = 0;
        try (var files = Files.list(dir)) {
            for (Path p : files.toList()) {
                bytes += Files.size(p);
            }
        }
        long start = System.nanoTime();
        try (Keeper k = open(dir)) {
            double s = (System.nanoTime() - start) / 1e9;
            System.gc();
            long used =
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            System.out.printf(
                    "%d ended jobs, %s: start %.2f s, heap %d MB, %d bytes a job on disk%n",
                    jobs, from, s, used >> 20, bytes / jobs);
            if (k.state().rows().size() != jobs) {
                throw new IllegalStateException("rows lost");
            }
        }
    }
}
