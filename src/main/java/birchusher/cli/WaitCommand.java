package birchusher.cli;

import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code wait}: until jobs are over, through restarts of the server. */
@Command(
        name = "wait",
        description = "wait until jobs are done or cancelled",
        mixinStandardHelpOptions = true,
        footer = {"", "Exit codes: 0 all done, 1 one cancelled or unknown, 2 wrong use, 3 time is over."})
final class WaitCommand implements Callable<Integer> {
    private static final long MIN_POLL_INTERVAL_MS = 300;
    private static final long MAX_POLL_INTERVAL_MS = 5_000;

    @CommandLine.Mixin
    ClientContext context;

    @Option(
            names = "--timeout",
            paramLabel = "S",
            defaultValue = "0",
            description = "give up after so long (default: never)")
    double timeoutS;

    @Parameters(paramLabel = "ID", arity = "1..*", description = "the jobs' ids")
    List<String> jobIds;

    @Override
    public Integer call() {
        return Main.exitCodeOf(() -> {
            if (!(timeoutS >= 0)) {
                throw new InvalidInputException("--timeout: 0 or more");
            }
            jobIds.forEach(ClientContext::requireJobId);
            return waitForEnd(context, jobIds, timeoutS);
        });
    }

    static int waitForEnd(ClientContext talk, List<String> ids, double timeoutS) throws Exception {
        long from = System.nanoTime();
        List<String> open = new ArrayList<>(ids);
        boolean person = System.console() != null && !talk.isJson();
        int code = 0;
        long pause = MIN_POLL_INTERVAL_MS;
        while (true) {
            for (String id : List.copyOf(open)) {
                RetryingClient.Response g = talk.call("GET", Wire.JOBS + "/" + id, null);
                if (!g.isSuccess()) {
                    return ClientContext.printRefusal(g);
                }
                Object stage = g.body().get(Wire.STATE);
                if (Wire.DONE.equals(stage) || Wire.CANCELLED.equals(stage)) {
                    open.remove(id);
                    showProgress(person, "");
                    talk.printState(g.body());
                    code = Wire.DONE.equals(stage) ? code : 1;
                } else if (person && open.size() == 1) {
                    showProgress(true, progressLine(g.body()));
                }
            }
            double passed = (System.nanoTime() - from) / 1e9;
            if (open.isEmpty()) {
                return code;
            }
            if (timeoutS > 0 && passed >= timeoutS) {
                showProgress(person, "");
                throw new RetryingClient.DeadlineExceededException(
                        String.join(", ", open) + ": not over after " + Math.round(passed) + " s");
            }
            Thread.sleep(pause);
            pause = Math.min(MAX_POLL_INTERVAL_MS, pause * 5 / 4);
        }
    }

    private static String progressLine(Map<String, Object> m) {
        return m.get(Wire.ID) + " " + m.get(Wire.STATE) + ", " + m.get(Wire.DONE) + " done, " + m.get(Wire.RUNNING)
                + " running";
    }

    /** One line that is written over; nothing where nobody looks. */
    private static void showProgress(boolean person, String line) {
        if (person) {
            System.err.print("\r" + line + "\u001b[K");
            System.err.flush();
        }
    }
}
