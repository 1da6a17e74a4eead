package birchusher.statehost;

import birchusher.kv.Engine.Answer;
import birchusher.kv.Limits;
import birchusher.kv.Reply;
import birchusher.kv.Request;
import birchusher.kv.Write;
import birchusher.wal.LockedDirectory;
import birchusher.wal.WriteAheadLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * By hand, not by the tests: changes a second with so many clients to one sync, then the time and memory of a start with so
 * many ended jobs. Arguments: an empty directory, and numbers of ended jobs.
 */
final class DurableStoreMeasure {
    private static final Limits LIMITS = new Limits(1e9, 1e9, 16, 8192);
    private static final byte[] JOB = new byte[400];
    private static final byte[] ENDED = new byte[60];

    private DurableStoreMeasure() {}

    private static DurableStore open(Path dir) throws IOException {
        return DurableStore.open(new LockedDirectory(dir), WriteAheadLog.Options.DEFAULT, 64 << 20, LIMITS, 0);
    }

    private static void change(DurableStore k, long ticket, String key, byte[] value) {
        List<Answer> early = k.handle(
                ticket, ticket, new Request.Transaction(List.of(), List.of(new Write.Set(key, value, 0)), 500, 500));
        if (!early.isEmpty()) {
            throw new IllegalStateException("answered before it was durable: " + early);
        }
    }

    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        for (int clients : new int[] {1, 16, 256}) {
            try (DurableStore k = open(root.resolve("rate-" + clients))) {
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
            try (DurableStore k = open(dir)) {
                for (int i = 1; i <= jobs; i++) {
                    change(k, i, "b/end/wk-" + i, ENDED);
                    if (i % 1000 == 0 || i == jobs) {
                        k.flush(i);
                    }
                }
            }
            report(dir, jobs, "log");
            try (DurableStore k =
                    DurableStore.open(new LockedDirectory(dir), WriteAheadLog.Options.DEFAULT, 1, LIMITS, 0)) {
                long from = System.nanoTime();
                DurableStore.PendingSnapshot p = k.takeDueSnapshot(0);
                p.write();
                k.onSnapshotWritten(0, p, true);
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
        try (DurableStore k = open(dir)) {
            double s = (System.nanoTime() - start) / 1e9;
            System.gc();
            long used =
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            System.out.printf(
                    "%d ended jobs, %s: start %.2f s, heap %d MB, %d bytes a job on disk%n",
                    jobs, from, s, used >> 20, bytes / jobs);
            if (k.durableState().rows().size() != jobs) {
                throw new IllegalStateException("rows lost");
            }
        }
    }
}
