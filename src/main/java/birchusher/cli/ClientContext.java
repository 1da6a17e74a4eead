package birchusher.cli;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.JobCodec;
import birchusher.wire.Json;
import birchusher.wire.Wire;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Help.Column;
import picocli.CommandLine.Help.TextTable;
import picocli.CommandLine.Option;

/** What all commands share that talk to a server: where it is, how long to try, how to print. */
final class ClientContext {
    enum Output {
        table,
        json
    }

    @Option(
            names = "--server",
            paramLabel = "HOST:PORT",
            defaultValue = "${BIRCHUSHER_SERVER:-127.0.0.1:7070}",
            description =
                    "the daemon, a controller or the load balancer (default: $BIRCHUSHER_SERVER, or ${DEFAULT-VALUE})")
    String server;

    @Option(
            names = "--deadline",
            paramLabel = "S",
            defaultValue = "30",
            description = "how long to go on trying, in seconds (default: ${DEFAULT-VALUE})")
    double deadlineS;

    @Option(
            names = {"-o", "--output"},
            paramLabel = "FORM",
            defaultValue = "table",
            description = "${COMPLETION-CANDIDATES}; json is for scripts (default: ${DEFAULT-VALUE})")
    Output output;

    private RetryingClient client;

    RetryingClient.Response call(String method, String path, Object body) throws Exception {
        if (!(deadlineS > 0 && deadlineS <= 86_400)) {
            throw new InvalidInputException("--deadline: above 0, at most 86400");
        }
        if (client == null) {
            client = new RetryingClient(server, deadlineS);
        }
        return client.call(method, path, body);
    }

    boolean isJson() {
        return output == Output.json;
    }

    static String requireJobId(String id) {
        if (!JobCodec.isJobId(id)) {
            throw new InvalidInputException("ID: not a job id, expected " + Wire.JOB_ID_PREFIX + "...");
        }
        return id;
    }

    /** Prints a server's refusal; the exit code for it. */
    static int printRefusal(RetryingClient.Response g) {
        System.err.println("birchusher: " + g.errorMessage());
        return 1;
    }

    /** A job's state, as a script or a person reads it. */
    void printState(Map<String, Object> m) {
        if (isJson()) {
            System.out.println(Json.toText(m, false));
        } else {
            System.out.println(m.get(Wire.ID) + " " + m.get(Wire.STATE)
                    + (Wire.RUNNING.equals(m.get(Wire.STATE)) || Wire.QUEUED.equals(m.get(Wire.STATE))
                            ? ", " + m.get(Wire.DONE) + " done, " + m.get(Wire.RUNNING) + " running"
                            : ""));
        }
    }

    /** Rows of the same fields, under the names given. */
    static void printTable(List<?> rows, String[] fields, String[] names) {
        Column[] columns = new Column[fields.length];
        int[] widths = new int[fields.length];
        for (int i = 0; i < fields.length; i++) {
            widths[i] = names[i].length();
            for (Object r : rows) {
                widths[i] = Math.max(
                        widths[i],
                        formatCell(Fields.map(r, "row").get(fields[i])).length());
            }
            columns[i] = new Column(widths[i] + 2, 0, Column.Overflow.SPAN);
        }
        TextTable t = TextTable.forColumns(picocli.CommandLine.Help.defaultColorScheme(Ansi.OFF), columns);
        t.addRowValues(names);
        for (Object r : rows) {
            String[] cells = new String[fields.length];
            for (int i = 0; i < fields.length; i++) {
                cells[i] = formatCell(Fields.map(r, "row").get(fields[i]));
            }
            t.addRowValues(cells);
        }
        System.out.print(t.toString().replaceAll("(?m) +$", ""));
    }

    private static String formatCell(Object o) {
        return o == null ? "-" : o instanceof Double d ? String.format("%.1f", d) : String.valueOf(o);
    }
}
