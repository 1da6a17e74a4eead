package birchusher.cli;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Json;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that query a server, and the one that cancels a job. */
final class ClientCommands {
    private ClientCommands() {}

    @Command(name = "status", description = "print the state of a job", mixinStandardHelpOptions = true)
    static final class StatusCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Parameters(paramLabel = "ID", description = "the job's id")
        String jobId;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> printStateOrRefusal(
                    context, context.call("GET", Wire.JOBS + "/" + ClientContext.requireJobId(jobId), null)));
        }
    }

    @Command(name = "cancel", description = "cancel a job", mixinStandardHelpOptions = true)
    static final class CancelCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Parameters(paramLabel = "ID", description = "the job's id")
        String jobId;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> printStateOrRefusal(
                    context,
                    context.call("POST", Wire.JOBS + "/" + ClientContext.requireJobId(jobId) + Wire.CANCEL, null)));
        }
    }

    /** Prints the job's state or the server's refusal, and returns the exit code. */
    private static int printStateOrRefusal(ClientContext context, RetryingClient.Response response) {
        if (!response.isSuccess()) {
            return ClientContext.printRefusal(response);
        }
        context.printState(response.body());
        return 0;
    }

    @Command(name = "list", description = "list jobs in the order of their ids", mixinStandardHelpOptions = true)
    static final class ListCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Option(
                names = "--state",
                description =
                        "only jobs that are queued, running, done or cancelled (default: all that have not ended)")
        String state;

        @Option(names = "--team", description = "only jobs of this team")
        String team;

        @Option(names = "--class", description = "only jobs of this class")
        String jobClass;

        @Option(names = "--after", paramLabel = "ID", description = "start after this id")
        String afterId;

        @Option(
                names = "--limit",
                paramLabel = "N",
                defaultValue = "200",
                description = "maximum number of jobs to print (default: ${DEFAULT-VALUE})")
        int limit;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                List<Object> jobs = new ArrayList<>();
                String lastId = afterId == null ? "" : ClientContext.requireJobId(afterId);
                boolean hasMore = true;
                while (hasMore && jobs.size() < limit) {
                    RetryingClient.Response response = context.call(
                            "GET",
                            Wire.JOBS + "?" + Wire.AFTER + "=" + lastId + queryParameter("--state", Wire.STATE, state)
                                    + queryParameter("--team", Wire.TEAM, team)
                                    + queryParameter("--class", Wire.JOB_CLASS, jobClass),
                            null);
                    if (!response.isSuccess()) {
                        return ClientContext.printRefusal(response);
                    }
                    jobs.addAll(Fields.list(response.body(), "runs"));
                    hasMore = Boolean.TRUE.equals(response.body().get(Wire.HAS_MORE));
                    lastId = String.valueOf(response.body().get("last"));
                }
                hasMore |= jobs.size() > limit;
                List<Object> printedJobs = jobs.subList(0, Math.min(limit, jobs.size()));
                if (context.isJson()) {
                    System.out.println(Json.toText(Map.of("runs", printedJobs, Wire.HAS_MORE, hasMore), false));
                } else {
                    ClientContext.printTable(
                            printedJobs,
                            new String[] {Wire.ID, Wire.STATE, Wire.DONE, Wire.RUNNING, Wire.TEAM, Wire.JOB_CLASS},
                            new String[] {"ID", "STATE", "DONE", "RUNNING", "TEAM", "CLASS"});
                    if (hasMore) {
                        System.err.println("more: --after "
                                + Fields.map(printedJobs.get(printedJobs.size() - 1), "row")
                                        .get(Wire.ID));
                    }
                }
                return 0;
            });
        }

        private static String queryParameter(String option, String name, String value) {
            if (value != null && !value.matches("[A-Za-z0-9_.-]+")) {
                throw new InvalidInputException(option + ": only letters, digits, - _ and . are allowed");
            }
            return value == null ? "" : "&" + name + "=" + value;
        }
    }

    @Command(name = "describe", description = "print all details of a job", mixinStandardHelpOptions = true)
    static final class DescribeCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Parameters(paramLabel = "ID", description = "the job's id")
        String jobId;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                RetryingClient.Response response =
                        context.call("GET", Wire.JOBS + "/" + ClientContext.requireJobId(jobId) + Wire.DESCRIBE, null);
                if (!response.isSuccess()) {
                    return ClientContext.printRefusal(response);
                }
                Map<String, Object> details = new HashMap<>(response.body());
                RetryingClient.Response program = context.call("GET", Wire.PROGRAMS + jobId, null);
                if (program.isSuccess()) {
                    details.put("program", program.body());
                }
                if (context.isJson()) {
                    System.out.println(Json.toText(details, true));
                    return 0;
                }
                context.printState(details);
                if (details.get("job") != null) {
                    new TreeMap<>(Fields.map(details.get("job"), "job"))
                            .forEach((field, value) -> System.out.printf("  %-14s %s%n", field, value));
                }
                if (program.isSuccess()) {
                    System.out.printf("  %-14s %s%n", "command", program.body().get("command"));
                }
                if (details.get("pieces") instanceof List<?> tasks && !tasks.isEmpty()) {
                    ClientContext.printTable(
                            tasks,
                            new String[] {"index", Wire.ATTEMPT, Wire.MACHINE, "held_s"},
                            new String[] {"TASK", "ATTEMPT", "MACHINE", "SINCE S"});
                    if (Boolean.TRUE.equals(details.get(Wire.HAS_MORE))) {
                        System.out.println("more tasks after " + details.get("next"));
                    }
                }
                if (details.get("events") instanceof List<?> events && !events.isEmpty()) {
                    ClientContext.printTable(
                            events,
                            new String[] {"ago_s", "index", Wire.ATTEMPT, Wire.MACHINE, "what"},
                            new String[] {"S AGO", "TASK", "ATTEMPT", "MACHINE", "WHAT"});
                }
                return 0;
            });
        }
    }

    @Command(name = "machines", description = "list the hosts that the daemon manages", mixinStandardHelpOptions = true)
    static final class MachinesCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> printRowsOrRefusal(
                    context,
                    Wire.POOL_MACHINES,
                    "machines",
                    new String[] {"agent", Wire.STATE, Wire.MACHINE, Wire.TYPE, Wire.ZONE, "heard_s"},
                    new String[] {"HOST", "STATE", "MACHINE", "TYPE", "ZONE", "HEARD S"}));
        }
    }

    @Command(name = "teams", description = "print the usage and the quotas of teams", mixinStandardHelpOptions = true)
    static final class TeamsCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> printRowsOrRefusal(
                    context,
                    Wire.TEAMS,
                    "teams",
                    new String[] {Wire.TEAM, "cpus_used", "cpus", "cpus_max", "gpus_used", "gpus", "gpus_max"},
                    new String[] {"TEAM", "CPUS", "GUARANTEED", "LIMIT", "GPUS", "GUARANTEED", "LIMIT"}));
        }
    }

    /** Gets a list of rows and prints it or the server's refusal, and returns the exit code. */
    private static int printRowsOrRefusal(
            ClientContext context, String path, String field, String[] fields, String[] headers) throws Exception {
        RetryingClient.Response response = context.call("GET", path, null);
        if (!response.isSuccess()) {
            return ClientContext.printRefusal(response);
        }
        if (context.isJson()) {
            System.out.println(Json.toText(response.body(), false));
        } else {
            ClientContext.printTable(Fields.list(response.body(), field), fields, headers);
        }
        return 0;
    }

    @Command(name = "logs", description = "print the output of a task", mixinStandardHelpOptions = true)
    static final class LogsCommand implements Callable<Integer> {
        private static final long FOLLOW_INTERVAL_MS = 1_000;

        @CommandLine.Mixin
        ClientContext context;

        @Parameters(index = "0", paramLabel = "ID", description = "the job's id")
        String jobId;

        @Parameters(
                index = "1",
                paramLabel = "TASK",
                arity = "0..1",
                defaultValue = "0",
                description = "the task's index (default: 0)")
        int taskIndex;

        @Option(
                names = "--attempt",
                paramLabel = "N",
                description = "number of the attempt (default: the one with the latest output)")
        Long attempt;

        @Option(
                names = {"-f", "--follow"},
                description = "print new output until the job has ended")
        boolean follow;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                String path = Wire.TASK_LOGS + ClientContext.requireJobId(jobId) + "/" + taskIndex;
                Map<String, Object> log = null;
                long offset = 0;
                while (true) {
                    boolean ended = isJobOver();
                    if (log == null) {
                        log = findLog(path);
                    }
                    if (log != null) {
                        offset = printFrom(path, log, offset);
                    }
                    if (!follow || ended) {
                        break;
                    }
                    Thread.sleep(FOLLOW_INTERVAL_MS);
                }
                if (log == null) {
                    System.err.println("birchusher: no host that answers has a log of this task");
                    return 1;
                }
                return 0;
            });
        }

        /** Whether the job is done or cancelled, or the server refuses to report its state. */
        private boolean isJobOver() throws Exception {
            RetryingClient.Response response = context.call("GET", Wire.JOBS + "/" + jobId, null);
            Object state = response.body().get(Wire.STATE);
            return !response.isSuccess() || Wire.DONE.equals(state) || Wire.CANCELLED.equals(state);
        }

        /** The log of the wanted attempt, or else the one that changed last; null if no host has one. */
        private Map<String, Object> findLog(String path) throws Exception {
            RetryingClient.Response response = context.call("GET", path, null);
            if (!response.isSuccess()) {
                throw new InvalidInputException(response.errorMessage());
            }
            Map<String, Object> latest = null;
            for (Map.Entry<String, Object> host :
                    Fields.map(response.body().get("hosts"), "hosts").entrySet()) {
                for (Object log : (List<?>) host.getValue()) {
                    Map<String, Object> candidate = new HashMap<>(Fields.map(log, "log"));
                    candidate.put("host", host.getKey());
                    if ((attempt == null || attempt == Fields.count(candidate, "try"))
                            && (latest == null
                                    || Fields.count(candidate, "changed_ms") > Fields.count(latest, "changed_ms"))) {
                        latest = candidate;
                    }
                }
            }
            return latest;
        }

        /** Prints a log from an offset to its current end, and returns the offset of that end. */
        private long printFrom(String path, Map<String, Object> log, long startOffset) throws Exception {
            long offset = startOffset;
            while (true) {
                RetryingClient.Response response = context.call(
                        "GET", path + "?host=" + log.get("host") + "&try=" + log.get("try") + "&from=" + offset, null);
                if (!response.isSuccess()) {
                    throw new InvalidInputException(response.errorMessage());
                }
                if (Boolean.TRUE.equals(response.body().get("cut"))) {
                    System.out.println("\n[... the middle of this log was discarded ...]");
                }
                System.out.print(response.body().get("text"));
                System.out.flush();
                long nextOffset = Fields.count(response.body(), "next");
                if (nextOffset == offset) {
                    return offset;
                }
                offset = nextOffset;
            }
        }
    }
}
