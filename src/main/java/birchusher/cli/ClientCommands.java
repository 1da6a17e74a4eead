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

/** The commands that look and those that cancel. */
final class ClientCommands {
    private ClientCommands() {}

    @Command(name = "status", description = "tell a job's state", mixinStandardHelpOptions = true)
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

    private static int printStateOrRefusal(ClientContext talk, RetryingClient.Response g) {
        if (!g.isSuccess()) {
            return ClientContext.printRefusal(g);
        }
        talk.printState(g.body());
        return 0;
    }

    @Command(name = "list", description = "list jobs by their ids", mixinStandardHelpOptions = true)
    static final class ListCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Option(names = "--state", description = "queued, running, done or cancelled (default: all that are not over)")
        String state;

        @Option(names = "--team", description = "only this team's")
        String team;

        @Option(names = "--class", description = "only this class")
        String jobClass;

        @Option(names = "--after", paramLabel = "ID", description = "begin behind this id")
        String afterId;

        @Option(
                names = "--limit",
                paramLabel = "N",
                defaultValue = "200",
                description = "at most so many (default: ${DEFAULT-VALUE})")
        int limit;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                List<Object> runs = new ArrayList<>();
                String from = afterId == null ? "" : ClientContext.requireJobId(afterId);
                boolean more = true;
                while (more && runs.size() < limit) {
                    RetryingClient.Response g = context.call(
                            "GET",
                            Wire.JOBS + "?" + Wire.AFTER + "=" + from + queryParameter("--state", Wire.STATE, state)
                                    + queryParameter("--team", Wire.TEAM, team)
                                    + queryParameter("--class", Wire.JOB_CLASS, jobClass),
                            null);
                    if (!g.isSuccess()) {
                        return ClientContext.printRefusal(g);
                    }
                    runs.addAll(Fields.list(g.body(), "runs"));
                    more = Boolean.TRUE.equals(g.body().get(Wire.HAS_MORE));
                    from = String.valueOf(g.body().get("last"));
                }
                more |= runs.size() > limit;
                List<Object> shown = runs.subList(0, Math.min(limit, runs.size()));
                if (context.isJson()) {
                    System.out.println(Json.toText(Map.of("runs", shown, Wire.HAS_MORE, more), false));
                } else {
                    ClientContext.printTable(
                            shown,
                            new String[] {Wire.ID, Wire.STATE, Wire.DONE, Wire.RUNNING, Wire.TEAM, Wire.JOB_CLASS},
                            new String[] {"ID", "STATE", "DONE", "RUNNING", "TEAM", "CLASS"});
                    if (more) {
                        System.err.println("more: --after "
                                + Fields.map(shown.get(shown.size() - 1), "row").get(Wire.ID));
                    }
                }
                return 0;
            });
        }

        private static String queryParameter(String option, String name, String value) {
            if (value != null && !value.matches("[A-Za-z0-9_.-]+")) {
                throw new InvalidInputException(option + ": letters, digits, - _ and .");
            }
            return value == null ? "" : "&" + name + "=" + value;
        }
    }

    @Command(name = "describe", description = "tell all about a job", mixinStandardHelpOptions = true)
    static final class DescribeCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ClientContext context;

        @Parameters(paramLabel = "ID", description = "the job's id")
        String jobId;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                RetryingClient.Response g =
                        context.call("GET", Wire.JOBS + "/" + ClientContext.requireJobId(jobId) + Wire.DESCRIBE, null);
                if (!g.isSuccess()) {
                    return ClientContext.printRefusal(g);
                }
                Map<String, Object> m = new HashMap<>(g.body());
                RetryingClient.Response program = context.call("GET", Wire.PROGRAMS + jobId, null);
                if (program.isSuccess()) {
                    m.put("program", program.body());
                }
                if (context.isJson()) {
                    System.out.println(Json.toText(m, true));
                    return 0;
                }
                context.printState(m);
                if (m.get("job") != null) {
                    new TreeMap<>(Fields.map(m.get("job"), "job"))
                            .forEach((k, v) -> System.out.printf("  %-14s %s%n", k, v));
                }
                if (program.isSuccess()) {
                    System.out.printf("  %-14s %s%n", "command", program.body().get("command"));
                }
                if (m.get("pieces") instanceof List<?> l && !l.isEmpty()) {
                    ClientContext.printTable(
                            l,
                            new String[] {"index", Wire.ATTEMPT, Wire.MACHINE, "held_s"},
                            new String[] {"TASK", "ATTEMPT", "MACHINE", "SINCE S"});
                    if (Boolean.TRUE.equals(m.get(Wire.HAS_MORE))) {
                        System.out.println("more tasks behind " + m.get("next"));
                    }
                }
                if (m.get("events") instanceof List<?> l && !l.isEmpty()) {
                    ClientContext.printTable(
                            l,
                            new String[] {"ago_s", "index", Wire.ATTEMPT, Wire.MACHINE, "what"},
                            new String[] {"S AGO", "TASK", "ATTEMPT", "MACHINE", "WHAT"});
                }
                return 0;
            });
        }
    }

    @Command(name = "machines", description = "list the daemon's hosts", mixinStandardHelpOptions = true)
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

    @Command(name = "teams", description = "tell what teams use and may use", mixinStandardHelpOptions = true)
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

    private static int printRowsOrRefusal(
            ClientContext talk, String path, String field, String[] fields, String[] names) throws Exception {
        RetryingClient.Response g = talk.call("GET", path, null);
        if (!g.isSuccess()) {
            return ClientContext.printRefusal(g);
        }
        if (talk.isJson()) {
            System.out.println(Json.toText(g.body(), false));
        } else {
            ClientContext.printTable(Fields.list(g.body(), field), fields, names);
        }
        return 0;
    }

    @Command(name = "logs", description = "print what a task has printed", mixinStandardHelpOptions = true)
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
                description = "which attempt (default: the one that printed last)")
        Long attempt;

        @Option(
                names = {"-f", "--follow"},
                description = "go on until the job is over")
        boolean follow;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                String path = Wire.TASK_LOGS + ClientContext.requireJobId(jobId) + "/" + taskIndex;
                Map<String, Object> log = null;
                long from = 0;
                while (true) {
                    boolean over = isJobOver();
                    if (log == null) {
                        log = findLog(path);
                    }
                    if (log != null) {
                        from = printFrom(path, log, from);
                    }
                    if (!follow || over) {
                        break;
                    }
                    Thread.sleep(FOLLOW_INTERVAL_MS);
                }
                if (log == null) {
                    System.err.println("birchusher: no log of this task is kept on a host that answers");
                    return 1;
                }
                return 0;
            });
        }

        private boolean isJobOver() throws Exception {
            RetryingClient.Response g = context.call("GET", Wire.JOBS + "/" + jobId, null);
            Object stage = g.body().get(Wire.STATE);
            return !g.isSuccess() || Wire.DONE.equals(stage) || Wire.CANCELLED.equals(stage);
        }

        private Map<String, Object> findLog(String path) throws Exception {
            RetryingClient.Response g = context.call("GET", path, null);
            if (!g.isSuccess()) {
                throw new InvalidInputException(g.errorMessage());
            }
            Map<String, Object> best = null;
            for (Map.Entry<String, Object> host :
                    Fields.map(g.body().get("hosts"), "hosts").entrySet()) {
                for (Object o : (List<?>) host.getValue()) {
                    Map<String, Object> m = new HashMap<>(Fields.map(o, "log"));
                    m.put("host", host.getKey());
                    if ((attempt == null || attempt == Fields.count(m, "try"))
                            && (best == null || Fields.count(m, "changed_ms") > Fields.count(best, "changed_ms"))) {
                        best = m;
                    }
                }
            }
            return best;
        }

        private long printFrom(String path, Map<String, Object> log, long from) throws Exception {
            long at = from;
            while (true) {
                RetryingClient.Response g = context.call(
                        "GET", path + "?host=" + log.get("host") + "&try=" + log.get("try") + "&from=" + at, null);
                if (!g.isSuccess()) {
                    throw new InvalidInputException(g.errorMessage());
                }
                if (Boolean.TRUE.equals(g.body().get("cut"))) {
                    System.out.println("\n[... the middle is not kept ...]");
                }
                System.out.print(g.body().get("text"));
                System.out.flush();
                long next = Fields.count(g.body(), "next");
                if (next == at) {
                    return at;
                }
                at = next;
            }
        }
    }
}
