package birchusher.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A process beside the agent that ends its tasks when the agent can't: it reads from a pipe how long they may still live, and
 * kills them all when that time is over, or when the pipe ends because the agent is gone. An agent that was killed, stopped or
 * hangs so leaves nothing running past its lease.
 *
 * <p>Not covered: both processes ended at the same time by force. The next agent on that directory then kills what is left before
 * it says anything to anybody, and the pool gives the machine's place to nobody before.
 *
 * <p>Argument: the mark of the agent's tasks. Input: lines with milliseconds.
 */
public final class Supervisor {
    private static final long AGENT_GONE = -1;
    private static final int FINAL_KILL_ROUNDS = 20;
    private static final long FINAL_KILL_INTERVAL_MS = 100;

    private Supervisor() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        LinkedBlockingQueue<Long> said = new LinkedBlockingQueue<>();
        Thread reader = new Thread(() -> readLeases(said));
        reader.setDaemon(true);
        reader.start();
        enforceLease(args[0], said);
    }

    private static void readLeases(LinkedBlockingQueue<Long> said) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                said.add(Math.max(0, Long.parseLong(line.trim())));
            }
        } catch (IOException | NumberFormatException e) {
            System.err.println("warden: " + e);
        }
        said.add(AGENT_GONE);
    }

    private static void enforceLease(String tag, LinkedBlockingQueue<Long> said)
            throws IOException, InterruptedException {
        long until = System.nanoTime();
        boolean killed = true;
        while (true) {
            long left = (until - System.nanoTime()) / 1_000_000;
            Long news = killed ? said.take() : left > 0 ? said.poll(left, TimeUnit.MILLISECONDS) : said.poll();
            if (news != null && news != AGENT_GONE) {
                until = System.nanoTime() + news * 1_000_000;
                killed = false;
            } else if (news != null || !killed) {
                TaggedProcesses.killAll(tag);
                killed = true;
                if (news != null) {
                    // A process on its way from fork to exec at that moment does not bear the mark yet.
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
