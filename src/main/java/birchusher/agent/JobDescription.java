package birchusher.agent;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of a job and of its program that a worker needs.
 *
 * @param saveDurationMs how long a task takes to save a checkpoint
 * @param command empty if no program was uploaded for the job
 * @param saveSignal name of the signal that asks a task to save a checkpoint and to end
 */
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

    static JobDescription read(Map<String, Object> message) {
        Map<String, Object> jobFields = Fields.map(message.get("job"), "job");
        String shape = Fields.text(jobFields, Wire.SHAPE);
        Map<String, Object> programFields =
                message.get("program") == null ? Map.of() : Fields.map(message.get("program"), "program");
        Map<String, String> variables = new HashMap<>();
        if (programFields.get("env") != null) {
            Fields.map(programFields.get("env"), "env")
                    .forEach((name, value) -> variables.put(name, String.valueOf(value)));
        }
        List<String> command = programFields.get("command") == null
                ? List.of()
                : Fields.list(programFields, "command").stream()
                        .map(String::valueOf)
                        .toList();
        String signal = Fields.textOrNull(programFields, "save_signal");
        return new JobDescription(
                Fields.text(jobFields, Wire.ID),
                (int) Fields.count(jobFields, Wire.TASKS),
                shape.equals("gang"),
                shape.equals("standing"),
                Fields.amount(jobFields, Wire.CPUS),
                Fields.amount(jobFields, Wire.GPUS),
                Fields.amount(jobFields, Wire.MEMORY_GB),
                Fields.amount(jobFields, Wire.CHECKPOINT_INTERVAL_S) > 0,
                Math.round(Fields.amount(jobFields, Wire.CHECKPOINT_WRITE_S) * 1000),
                command,
                variables,
                signal == null ? "TERM" : signal);
    }
}
