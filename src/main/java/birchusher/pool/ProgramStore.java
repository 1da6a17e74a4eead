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
 * What jobs run, as their users upload it: kept durably before the job itself is submitted, served to agents, dropped some time
 * after the job is over. The first upload for an id stays; another one with the same content is a repeat.
 *
 * <pre>
 * {"command": ["sh", "-c", "..."], "env": {"NAME": "value"}, "save_signal": "TERM"}
 * </pre>
 */
public final class ProgramStore {
    static final String ROW_PREFIX = "program/";
    static final int MAX_PROGRAMS = 200_000;
    /** Of one program, as JSON. */
    public static final int MAX_PROGRAM_BYTES = 48 * 1024;

    private static final int MAX_COMMAND_WORDS = 1_000;
    private static final int MAX_VARIABLES = 200;
    private static final long CHECK_AFTER_MS = 600_000;
    /** An upload whose job never came is dropped after this. */
    private static final long UNKNOWN_JOB_RETENTION_MS = 86_400_000;

    private static final Set<String> SAVE_SIGNALS = Set.of("TERM", "INT", "HUP", "USR1", "USR2");

    /** Time of day of the upload, and the program. */
    private record StoredProgram(long uploadedMs, Map<String, Object> program) {}

    private final Outbox out;
    private final TreeMap<String, StoredProgram> programs = new TreeMap<>();
    private final Set<String> jobsBeingWritten = new HashSet<>();
    private String lastChecked = "";

    public ProgramStore(Outbox out, Map<String, Map<String, Object>> rows) {
        this.out = out;
        rows.forEach((key, row) -> {
            if (key.startsWith(ROW_PREFIX)) {
                programs.put(
                        key.substring(ROW_PREFIX.length()),
                        new StoredProgram(Fields.count(row, "since"), Fields.map(row.get("program"), "program")));
            }
        });
    }

    /** Null if there is none. */
    public Map<String, Object> get(String job) {
        StoredProgram k = programs.get(job);
        return k == null ? null : k.program();
    }

    public void put(long wall, long exchange, String job, Map<String, Object> body) {
        Map<String, Object> program = validate(body);
        StoredProgram k = programs.get(job);
        if (k != null) {
            if (Json.toText(k.program(), false).equals(Json.toText(program, false))) {
                out.answer(exchange, 200, Map.of());
            } else {
                out.refuse(exchange, 409, "another program was uploaded for " + job, 0);
            }
            return;
        }
        if (programs.size() + jobsBeingWritten.size() >= MAX_PROGRAMS) {
            out.refuse(exchange, 503, "as many programs as are kept", 30);
            return;
        }
        if (!jobsBeingWritten.add(job)) {
            out.refuse(exchange, 503, "an upload for this job is under way", 1);
            return;
        }
        out.write(Map.of(ROW_PREFIX + job, Map.of("since", wall, "program", program)), durable -> {
            jobsBeingWritten.remove(job);
            if (durable) {
                programs.put(job, new StoredProgram(wall, program));
                out.answer(exchange, 201, Map.of());
            } else {
                out.refuse(exchange, 503, "can't be kept at present", 1);
            }
        });
    }

    /** Only what is known here, so that nobody takes an unknown field for granted. */
    public static Map<String, Object> validate(Map<String, Object> body) {
        Map<String, Object> p = new HashMap<>();
        for (String field : body.keySet()) {
            if (!Set.of("command", "env", "save_signal").contains(field)) {
                throw new InvalidInputException(field + ": not a field of a program");
            }
        }
        List<?> command = Fields.list(body, "command");
        if (command.isEmpty()
                || command.size() > MAX_COMMAND_WORDS
                || command.stream().anyMatch(w -> !(w instanceof String s) || s.indexOf('\0') >= 0)
                || ((String) command.get(0)).isEmpty()) {
            throw new InvalidInputException("command: 1 to " + MAX_COMMAND_WORDS + " words, the first not empty");
        }
        p.put("command", command);
        Map<String, Object> env = body.get("env") == null ? Map.of() : Fields.map(body.get("env"), "env");
        if (env.size() > MAX_VARIABLES) {
            throw new InvalidInputException("env: at most " + MAX_VARIABLES);
        }
        env.forEach((k, v) -> {
            if (!k.matches("[A-Za-z_][A-Za-z0-9_]*")
                    || k.startsWith("BIRCHUSHER_")
                    || !(v instanceof String s)
                    || s.indexOf('\0') >= 0) {
                throw new InvalidInputException("env." + k + ": not a name, one of ours, or not text");
            }
        });
        p.put("env", env);
        String signal = body.get("save_signal") == null ? "TERM" : Fields.text(body, "save_signal");
        if (!SAVE_SIGNALS.contains(signal)) {
            throw new InvalidInputException("save_signal: one of TERM, INT, HUP, USR1, USR2");
        }
        p.put("save_signal", signal);
        if (Json.sizeBytes(p) > MAX_PROGRAM_BYTES) {
            throw new InvalidInputException("program: over " + MAX_PROGRAM_BYTES + " bytes as JSON");
        }
        return p;
    }

    /** The next program old enough to be asked about, null if none is; each is asked about in turn. */
    public String nextToCheck(long wall) {
        for (int i = 0; i < Math.min(100, programs.size() + 1); i++) {
            String id = programs.higherKey(lastChecked);
            lastChecked = id == null ? "" : id;
            if (id != null && wall - programs.get(id).uploadedMs() > CHECK_AFTER_MS && !jobsBeingWritten.contains(id)) {
                return id;
            }
        }
        return null;
    }

    /** What the controller said of a job: a program that nobody can need any more goes. */
    public void onJobStatus(long wall, String job, boolean over, boolean unknown) {
        StoredProgram k = programs.get(job);
        if (k == null
                || !over && !(unknown && wall - k.uploadedMs() > UNKNOWN_JOB_RETENTION_MS)
                || !jobsBeingWritten.add(job)) {
            return;
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        rows.put(ROW_PREFIX + job, null);
        out.write(rows, durable -> {
            jobsBeingWritten.remove(job);
            if (durable) {
                programs.remove(job);
            }
        });
    }
}
