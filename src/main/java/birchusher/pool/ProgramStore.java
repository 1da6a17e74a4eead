package birchusher.pool;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Json;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Stores the programs of jobs: they are uploaded and made durable before the job itself is submitted, served to agents, and
 * deleted some time after the job has ended. The first upload for a job is kept; an upload of the same content is accepted
 * as a repeat, any other is refused. Not thread-safe. Wall times are milliseconds since the epoch.
 *
 * <pre>
 * {"command": ["sh", "-c", "..."], "env": {"NAME": "value"}, "save_signal": "TERM"}
 * </pre>
 */
public final class ProgramStore {
    static final String ROW_PREFIX = "program/";
    static final int MAX_PROGRAMS = 200_000;
    /** Size limit of one program as JSON. */
    public static final int MAX_PROGRAM_BYTES = 48 * 1024;

    private static final int MAX_COMMAND_WORDS = 1_000;
    private static final int MAX_VARIABLES = 200;
    /** How many programs one call of {@link #nextToCheck} looks at. */
    private static final int MAX_PROGRAMS_EXAMINED = 100;

    private static final int FULL_RETRY_AFTER_S = 30;
    private static final int RETRY_AFTER_S = 1;
    /** Age of a program from which on {@link #nextToCheck} returns it. */
    private static final long CHECK_AFTER_MS = 600_000;
    /** A program whose job was never submitted is deleted after this time. */
    private static final long UNKNOWN_JOB_RETENTION_MS = 86_400_000;

    private static final Set<String> SAVE_SIGNALS = Set.of("TERM", "INT", "HUP", "USR1", "USR2");

    /** A program and the wall time of its upload. */
    private record StoredProgram(long uploadedMs, Map<String, Object> program) {}

    private final Outbox outbox;
    private final TreeMap<String, StoredProgram> programs = new TreeMap<>();
    private final Set<String> jobsBeingWritten = new HashSet<>();
    private String lastChecked = "";

    /** @param rows all rows of the pool's store; rows that are no programs are skipped */
    public ProgramStore(Outbox outbox, Map<String, Map<String, Object>> rows) {
        this.outbox = outbox;
        rows.forEach((key, row) -> {
            if (key.startsWith(ROW_PREFIX)) {
                programs.put(
                        key.substring(ROW_PREFIX.length()),
                        new StoredProgram(Fields.count(row, "since"), Fields.map(row.get("program"), "program")));
            }
        });
    }

    /** Returns the program of a job, null if there is none. */
    public Map<String, Object> get(String job) {
        StoredProgram stored = programs.get(job);
        return stored == null ? null : stored.program();
    }

    /** Handles the upload of a job's program: 201 when it is durable, 200 for a repeat, 409 for other content, 503 otherwise. */
    public void put(long wallMs, long exchange, String job, Map<String, Object> body) {
        Map<String, Object> program = validate(body);
        StoredProgram stored = programs.get(job);
        if (stored != null) {
            if (Json.toText(stored.program(), false).equals(Json.toText(program, false))) {
                outbox.answer(exchange, 200, Map.of());
            } else {
                outbox.refuse(exchange, 409, "another program was uploaded for " + job, 0);
            }
            return;
        }
        if (programs.size() + jobsBeingWritten.size() >= MAX_PROGRAMS) {
            outbox.refuse(exchange, 503, "limit of stored programs reached", FULL_RETRY_AFTER_S);
            return;
        }
        if (!jobsBeingWritten.add(job)) {
            outbox.refuse(exchange, 503, "another write for this job's program is in progress", RETRY_AFTER_S);
            return;
        }
        outbox.write(Map.of(ROW_PREFIX + job, Map.of("since", wallMs, "program", program)), durable -> {
            jobsBeingWritten.remove(job);
            if (durable) {
                programs.put(job, new StoredProgram(wallMs, program));
                outbox.answer(exchange, 201, Map.of());
            } else {
                outbox.refuse(exchange, 503, "program could not be written to the store", RETRY_AFTER_S);
            }
        });
    }

    /**
     * Returns a program with only the known fields and their defaults. Unknown fields are refused, so that no user relies on
     * a field that has no effect.
     *
     * @throws InvalidInputException if the program is not valid
     */
    public static Map<String, Object> validate(Map<String, Object> body) {
        Map<String, Object> program = new HashMap<>();
        for (String field : body.keySet()) {
            if (!Set.of("command", "env", "save_signal").contains(field)) {
                throw new InvalidInputException(field + ": unknown field of a program");
            }
        }
        List<?> command = Fields.list(body, "command");
        if (command.isEmpty()
                || command.size() > MAX_COMMAND_WORDS
                || command.stream().anyMatch(word -> !(word instanceof String text) || text.indexOf('\0') >= 0)
                || ((String) command.get(0)).isEmpty()) {
            throw new InvalidInputException(
                    "command: must be 1 to " + MAX_COMMAND_WORDS + " strings without NUL, the first not empty");
        }
        program.put("command", command);
        Map<String, Object> variables = body.get("env") == null ? Map.of() : Fields.map(body.get("env"), "env");
        if (variables.size() > MAX_VARIABLES) {
            throw new InvalidInputException("env: more than " + MAX_VARIABLES);
        }
        variables.forEach((name, value) -> {
            if (!name.matches("[A-Za-z_][A-Za-z0-9_]*")
                    || name.startsWith("BIRCHUSHER_")
                    || !(value instanceof String text)
                    || text.indexOf('\0') >= 0) {
                throw new InvalidInputException("env." + name
                        + ": not a valid name, reserved by its prefix BIRCHUSHER_, or not a string without NUL");
            }
        });
        program.put("env", variables);
        String signal = body.get("save_signal") == null ? "TERM" : Fields.text(body, "save_signal");
        if (!SAVE_SIGNALS.contains(signal)) {
            throw new InvalidInputException("save_signal: must be one of TERM, INT, HUP, USR1, USR2");
        }
        program.put("save_signal", signal);
        if (Json.sizeBytes(program) > MAX_PROGRAM_BYTES) {
            throw new InvalidInputException("program: larger than " + MAX_PROGRAM_BYTES + " bytes as JSON");
        }
        return program;
    }

    /** Returns the next job whose program is old enough for a check of the job's status, in turn; null if there is none. */
    public String nextToCheck(long wallMs) {
        for (int i = 0; i < Math.min(MAX_PROGRAMS_EXAMINED, programs.size() + 1); i++) {
            String job = programs.higherKey(lastChecked);
            lastChecked = job == null ? "" : job;
            if (job != null
                    && wallMs - programs.get(job).uploadedMs() > CHECK_AFTER_MS
                    && !jobsBeingWritten.contains(job)) {
                return job;
            }
        }
        return null;
    }

    /** Handles a job's status from the controller: deletes the program if no task can need it any more. */
    public void onJobStatus(long wallMs, String job, boolean ended, boolean unknown) {
        StoredProgram stored = programs.get(job);
        if (stored == null
                || !ended && !(unknown && wallMs - stored.uploadedMs() > UNKNOWN_JOB_RETENTION_MS)
                || !jobsBeingWritten.add(job)) {
            return;
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        rows.put(ROW_PREFIX + job, null);
        outbox.write(rows, durable -> {
            jobsBeingWritten.remove(job);
            if (durable) {
                programs.remove(job);
            }
        });
    }
}
