package birchusher.agent;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A job as a worker needs it. {@code command} is empty if its user has uploaded no program. */
record JobDescription(
        String jobId,
        int taskCount,
        boolean gang,
        boolean service,
        double cpus,
        double gpus,
        double memoryGb,
        boolean usesCheckpoints,
        long saveDurationMs,
        List<String> command,
        Map<String, String> env,
        String saveSignal) {

    static JobDescription read(Map<String, Object> m) {
        Map<String, Object> job = Fields.map(m.get("job"), "job");
        String shape = Fields.text(job, Wire.SHAPE);
        Map<String, Object> program = m.get("program") == null ? Map.of() : Fields.map(m.get("program"), "program");
        Map<String, String> env = new HashMap<>();
        if (program.get("env") != null) {
            Fields.map(program.get("env"), "env").forEach((k, v) -> env.put(k, String.valueOf(v)));
        }
        List<String> command = program.get("command") == null
                ? List.of()
                : Fields.list(program, "command").stream().map(String::valueOf).toList();
        String signal = Fields.textOrNull(program, "save_signal");
        return new JobDescription(
                Fields.text(job, Wire.ID),
                (int) Fields.count(job, Wire.TASKS),
                shape.equals("gang"),
                shape.equals("standing"),
                Fields.amount(job, Wire.CPUS),
                Fields.amount(job, Wire.GPUS),
                Fields.amount(job, Wire.MEMORY_GB),
                Fields.amount(job, Wire.CHECKPOINT_INTERVAL_S) > 0,
                Math.round(Fields.amount(job, Wire.CHECKPOINT_WRITE_S) * 1000),
                command,
                env,
                signal == null ? "TERM" : signal);
    }
}
