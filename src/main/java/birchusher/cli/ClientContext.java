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

/**
 * Options of all commands that call a server (its address, the deadline, the output format), with the calls and the console
 * output that depend on them.
 */
final class ClientContext {
    /** Output formats; the names are the values of {@code --output}. */
    enum Output {
        table,
        json
    }

    @Option(
            names = "--server",
            paramLabel = "HOST:PORT",
            defaultValue = "${BIRCHUSHER_SERVER:-127.0.0.1:7070}",
            description =
                    "address of the daemon, a controller or the load balancer (default: $BIRCHUSHER_SERVER, or ${DEFAULT-VALUE})")
    String server;

    @Option(
            names = "--deadline",
            paramLabel = "S",
            defaultValue = "30",
            description = "time limit of each request in seconds, retries included (default: ${DEFAULT-VALUE})")
    double deadlineS;

    @Option(
            names = {"-o", "--output"},
            paramLabel = "FORM",
            defaultValue = "table",
            description = "output format: ${COMPLETION-CANDIDATES}; json is for scripts (default: ${DEFAULT-VALUE})")
    Output output;

    private static final double MAX_DEADLINE_S = 86_400;

    private RetryingClient client;

    /**
     * Calls the server, with retries until the deadline.
     *
     * @param body null for an empty body
     */
    RetryingClient.Response call(String method, String path, Object body) throws Exception {
        if (!(deadlineS > 0 && deadlineS <= MAX_DEADLINE_S)) {
            throw new InvalidInputException("--deadline: must be above 0 and at most 86400 seconds");
        }
        if (client == null) {
            client = new RetryingClient(server, deadlineS);
        }
        return client.call(method, path, body);
    }

    boolean isJson() {
        return output == Output.json;
    }

    /** Returns the id, or rejects what does not have the form of a job id. */
    static String requireJobId(String id) {
        if (!JobCodec.isJobId(id)) {
            throw new InvalidInputException("ID: not a job id, expected " + Wire.JOB_ID_PREFIX + "...");
        }
        return id;
    }

    /** Prints a server's refusal to standard error and returns the exit code for it. */
    static int printRefusal(RetryingClient.Response response) {
        System.err.println("birchusher: " + response.errorMessage());
        return 1;
    }

    /** Prints a job's state: the whole answer as JSON, or one line of text. */
    void printState(Map<String, Object> job) {
        if (isJson()) {
            System.out.println(Json.toText(job, false));
        } else {
            System.out.println(job.get(Wire.ID) + " " + job.get(Wire.STATE)
                    + (Wire.RUNNING.equals(job.get(Wire.STATE)) || Wire.QUEUED.equals(job.get(Wire.STATE))
                            ? ", " + job.get(Wire.DONE) + " done, " + job.get(Wire.RUNNING) + " running"
                            : ""));
        }
    }

    /** Prints the given fields of all rows as columns under the given headers. */
    static void printTable(List<?> rows, String[] fields, String[] headers) {
        Column[] columns = new Column[fields.length];
        int[] widths = new int[fields.length];
        for (int i = 0; i < fields.length; i++) {
            widths[i] = headers[i].length();
            for (Object row : rows) {
                widths[i] = Math.max(
                        widths[i],
                        formatCell(Fields.map(row, "row").get(fields[i])).length());
            }
            columns[i] = new Column(widths[i] + 2, 0, Column.Overflow.SPAN);
        }
        TextTable table = TextTable.forColumns(picocli.CommandLine.Help.defaultColorScheme(Ansi.OFF), columns);
        table.addRowValues(headers);
        for (Object row : rows) {
            String[] cells = new String[fields.length];
            for (int i = 0; i < fields.length; i++) {
                cells[i] = formatCell(Fields.map(row, "row").get(fields[i]));
            }
            table.addRowValues(cells);
        }
        System.out.print(table.toString().replaceAll("(?m) +$", ""));
    }

    private static String formatCell(Object value) {
        return value == null
                ? "-"
                : value instanceof Double number ? String.format("%.1f", number) : String.valueOf(value);
    }
}
