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
 * A benchmark to be run by hand: durable changes per second with 1, 16 and 256 clients sharing a sync, then the time and
 * memory of a start with given numbers of ended jobs. Arguments: an empty directory, then the numbers of ended jobs.
 */
final class DurableStoreMeasure {
    private static final Limits LIMITS = new Limits(1e9, 1e9, 16, 8192);
    private static final int MEASURED_S = 3;
    private static final byte[] JOB_VALUE = new byte[400];
    private static final byte[] ENDED_JOB_VALUE = new byte[60];

    private DurableStoreMeasure() {}

    private static DurableStore open(Path dir) throws IOException {
        return DurableStore.open(new LockedDirectory(dir), WriteAheadLog.Options.DEFAULT, 64 << 20, LIMITS, 0);
    }

    private static void change(DurableStore store, long requestId, String key, byte[] value) {
        List<Answer> early = store.handle(
                requestId,
                requestId,
                new Request.Transaction(List.of(), List.of(new Write.Set(key, value, 0)), 500, 500));
        if (!early.isEmpty()) {
            throw new IllegalStateException("answered before it was durable: " + early);
        }
    }

    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        for (int clients : new int[] {1, 16, 256}) {
            try (DurableStore store = open(root.resolve("rate-" + clients))) {
                long requestId = 0;
                int done = 0;
                long startNs = System.nanoTime();
                while (System.nanoTime() - startNs < MEASURED_S * 1_000_000_000L) {
                    for (int i = 0; i < clients; i++) {
                        change(store, ++requestId, "b/live/job/wk-" + requestId, JOB_VALUE);
                    }
                    for (Answer answer : store.flush(requestId)) {
                        done += answer.reply() instanceof Reply.Committed ? 1 : 0;
                    }
                }
                System.out.printf("%d clients: %.0f durable changes a second%n", clients, done / (double) MEASURED_S);
            }
        }
        for (int argument = 1; argument < args.length; argument++) {
            int jobs = Integer.parseInt(args[argument]);
            Path dir = root.resolve("jobs-" + jobs);
            try (DurableStore store = open(dir)) {
                for (int i = 1; i <= jobs; i++) {
                    change(store, i, "b/end/wk-" + i, ENDED_JOB_VALUE);
                    if (i % 1000 == 0 || i == jobs) {
                        store.flush(i);
                    }
                }
            }
            report(dir, jobs, "log");
            try (DurableStore store =
                    DurableStore.open(new LockedDirectory(dir), WriteAheadLog.Options.DEFAULT, 1, LIMITS, 0)) {
                long startNs = System.nanoTime();
                DurableStore.PendingSnapshot snapshot = store.takeDueSnapshot(0);
                snapshot.write();
                store.onSnapshotWritten(0, snapshot, true);
                store.flush(0);
                System.out.printf(
                        "%d ended jobs: snapshot written in %.2f s%n", jobs, (System.nanoTime() - startNs) / 1e9);
            }
            report(dir, jobs, "snapshot");
        }
    }

    private static void report(Path dir, int jobs, String source) throws IOException {
        long bytes = 0;
        try (var files = Files.list(dir)) {
            for (Path file : files.toList()) {
                bytes += Files.size(file);
            }
        }
        long startNs = System.nanoTime();
        try (DurableStore store = open(dir)) {
            double startS = (System.nanoTime() - startNs) / 1e9;
            System.gc();
            long used =
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            System.out.printf(
                    "%d ended jobs, %s: start %.2f s, heap %d MB, %d bytes a job on disk%n",
                    jobs, source, startS, used >> 20, bytes / jobs);
            if (store.durableState().rows().size() != jobs) {
                throw new IllegalStateException("rows lost");
            }
        }
    }
}
