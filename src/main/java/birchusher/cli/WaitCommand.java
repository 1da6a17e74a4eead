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

/** The command {@code wait}: waits until jobs have ended, also across restarts of the server. */
@Command(
        name = "wait",
        description = "wait until jobs are done or cancelled",
        mixinStandardHelpOptions = true,
        footer = {
            "",
            "Exit codes: 0 all done, 1 one is cancelled or unknown, 2 invalid usage, 3 no answer in time or timed out."
        })
final class WaitCommand implements Callable<Integer> {
    private static final long MIN_POLL_INTERVAL_MS = 300;
    private static final long MAX_POLL_INTERVAL_MS = 5_000;

    @CommandLine.Mixin
    ClientContext context;

    @Option(
            names = "--timeout",
            paramLabel = "S",
            defaultValue = "0",
            description = "give up after this many seconds (default: never)")
    double timeoutS;

    @Parameters(paramLabel = "ID", arity = "1..*", description = "the jobs' ids")
    List<String> jobIds;

    @Override
    public Integer call() {
        return Main.exitCodeOf(() -> {
            if (!(timeoutS >= 0)) {
                throw new InvalidInputException("--timeout: must be 0 or more");
            }
            jobIds.forEach(ClientContext::requireJobId);
            return waitForEnd(context, jobIds, timeoutS);
        });
    }

    /**
     * Polls the jobs, prints each one when it has ended, and returns the exit code.
     *
     * @param timeoutS 0 for no time limit
     */
    static int waitForEnd(ClientContext context, List<String> jobIds, double timeoutS) throws Exception {
        long startNs = System.nanoTime();
        List<String> pendingIds = new ArrayList<>(jobIds);
        boolean interactive = System.console() != null && !context.isJson();
        int code = 0;
        long delayMs = MIN_POLL_INTERVAL_MS;
        while (true) {
            for (String id : List.copyOf(pendingIds)) {
                RetryingClient.Response response = context.call("GET", Wire.JOBS + "/" + id, null);
                if (!response.isSuccess()) {
                    return ClientContext.printRefusal(response);
                }
                Object state = response.body().get(Wire.STATE);
                if (Wire.DONE.equals(state) || Wire.CANCELLED.equals(state)) {
                    pendingIds.remove(id);
                    showProgress(interactive, "");
                    context.printState(response.body());
                    code = Wire.DONE.equals(state) ? code : 1;
                } else if (interactive && pendingIds.size() == 1) {
                    showProgress(true, progressLine(response.body()));
                }
            }
            double elapsedS = (System.nanoTime() - startNs) / 1e9;
            if (pendingIds.isEmpty()) {
                return code;
            }
            if (timeoutS > 0 && elapsedS >= timeoutS) {
                showProgress(interactive, "");
                throw new RetryingClient.DeadlineExceededException(
                        String.join(", ", pendingIds) + ": not ended after " + Math.round(elapsedS) + " s");
            }
            Thread.sleep(delayMs);
            delayMs = Math.min(MAX_POLL_INTERVAL_MS, delayMs * 5 / 4);
        }
    }

    private static String progressLine(Map<String, Object> job) {
        return job.get(Wire.ID) + " " + job.get(Wire.STATE) + ", " + job.get(Wire.DONE) + " done, "
                + job.get(Wire.RUNNING) + " running";
    }

    /** Overwrites the progress line on standard error; does nothing unless a person reads the output at a terminal. */
    private static void showProgress(boolean interactive, String line) {
        if (interactive) {
            System.err.print("\r" + line + "\u001b[K");
            System.err.flush();
        }
    }
}
