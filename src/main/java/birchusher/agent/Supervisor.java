package birchusher.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A process that kills the agent's tasks when the agent cannot do so itself. It reads the remaining lease of the tasks from
 * a pipe, and kills all of them when the lease expires, or when the pipe ends because the agent is gone. Thus an agent that
 * was killed, is suspended or hangs leaves no process running past its lease.
 *
 * <p>Not covered is a simultaneous kill of both processes. The next agent of that directory then kills the processes that
 * are left before it sends any message, and the pool does not rent the host again before that.
 *
 * <p>Argument: the tag prefix of the agent's tasks. Input: one line for each lease, with its remaining milliseconds.
 */
public final class Supervisor {
    private static final long AGENT_GONE = -1;
    private static final int FINAL_KILL_ROUNDS = 20;
    private static final long FINAL_KILL_INTERVAL_MS = 100;

    private Supervisor() {}

    /** Runs until the input ends and all tasks have been killed. */
    public static void main(String[] args) throws IOException, InterruptedException {
        LinkedBlockingQueue<Long> leases = new LinkedBlockingQueue<>();
        Thread reader = new Thread(() -> readLeases(leases));
        reader.setDaemon(true);
        reader.start();
        enforceLease(args[0], leases);
    }

    private static void readLeases(LinkedBlockingQueue<Long> leases) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                leases.add(Math.max(0, Long.parseLong(line.trim())));
            }
        } catch (IOException | NumberFormatException e) {
            System.err.println("warden: " + e);
        }
        leases.add(AGENT_GONE);
    }

    private static void enforceLease(String tag, LinkedBlockingQueue<Long> leases)
            throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime();
        boolean killed = true;
        while (true) {
            long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
            Long leaseMs = killed
                    ? leases.take()
                    : remainingMs > 0 ? leases.poll(remainingMs, TimeUnit.MILLISECONDS) : leases.poll();
            if (leaseMs != null && leaseMs != AGENT_GONE) {
                deadlineNs = System.nanoTime() + leaseMs * 1_000_000;
                killed = false;
            } else if (leaseMs != null || !killed) {
                TaggedProcesses.killAll(tag);
                killed = true;
                if (leaseMs != null) {
                    // A process that was between fork and exec at that moment does not carry the tag yet.
                    for (int i = 0; i < FINAL_KILL_ROUNDS; i++) {
                        Thread.sleep(FINAL_KILL_INTERVAL_MS);
                        TaggedProcesses.killAll(tag);
                    }
                    return;
                }
            }
        }
    }
}
