package birchusher.cli;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.pool.ProgramStore;
import birchusher.settings.SettingsReader;
import birchusher.wire.Wire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code submit}: a job from options, or from a file whose fields options override. */
@Command(
        name = "submit",
        description = "submit a job",
        mixinStandardHelpOptions = true,
        footer = {
            "",
            "The job is written to the journal before it is sent: after a crash, 'submit --resume' sends the same job again.",
            "Exit codes: 0 accepted (with --wait: done), 1 refused (with --wait: cancelled), 2 invalid usage, 3 no answer in time."
        })
final class SubmitCommand implements Callable<Integer> {
    @CommandLine.Mixin
    ClientContext context;

    @Option(
            names = "--file",
            paramLabel = "FILE",
            description = "the job as JSON; its field \"program\" holds the program to run")
    Path jobFile;

    @Option(names = "--id", paramLabel = "ID", description = "the job's id (default: a generated one)")
    String jobId;

    @Option(
            names = "--team",
            description = "the team whose guarantee and limit apply",
            defaultValue = "${BIRCHUSHER_TEAM}")
    String team;

    @Option(names = "--class", description = "the job's class (default: batch)")
    String jobClass;

    @Option(
            names = "--shape",
            description =
                    "sweep: independent tasks; gang: all tasks at the same time; standing: tasks run until cancelled")
    String shape;

    @Option(names = "--priority", description = "production, urgent, standard or low")
    String priority;

    @Option(names = "--tasks", paramLabel = "N", description = "number of tasks (default: 1)")
    Long tasks;

    @Option(names = "--cpus", paramLabel = "N", description = "CPUs of each task (default: 1)")
    Double cpus;

    @Option(names = "--gpus", paramLabel = "N", description = "GPUs of each task (default: 0)")
    Double gpus;

    @Option(names = "--memory", paramLabel = "GB", description = "memory of each task in GB (default: 0.5)")
    Double memoryGb;

    @Option(names = "--zone", description = "run the tasks only in this zone")
    String zone;

    @Option(names = "--expect", paramLabel = "S", description = "estimated run time of a task in seconds (default: 60)")
    Double estimateS;

    @Option(
            names = "--save-every",
            paramLabel = "S",
            description = "interval between checkpoints of a task in seconds (default: 0, none)")
    Double checkpointIntervalS;

    @Option(
            names = "--save-take",
            paramLabel = "S",
            description = "time in seconds to write a checkpoint when a task is stopped")
    Double checkpointWriteS;

    @Option(
            names = "--env",
            paramLabel = "NAME=VALUE",
            description = "environment variable of the program; may be repeated")
    Map<String, String> environment = new HashMap<>();

    @Option(names = "--wait", description = "wait until the job is done or cancelled")
    boolean waitForEnd;

    @Option(names = "--resume", description = "send again all jobs that are not known to be accepted")
    boolean resume;

    @Option(
            names = "--journal",
            paramLabel = "DIR",
            defaultValue = "${user.home}/.birchusher/submissions",
            description = "directory for jobs that are not known to be accepted (default: ${DEFAULT-VALUE})")
    Path journalDir;

    @Parameters(
            paramLabel = "COMMAND",
            arity = "0..*",
            description = "the command that each task runs, after --; or a job file (.json)")
    List<String> command = List.of();

    @Override
    public Integer call() {
        return Main.exitCodeOf(() -> {
            SubmissionJournal journal = new SubmissionJournal(journalDir);
            if (resume) {
                return resumeSubmissions(journal);
            }
            if (jobFile == null && command.size() == 1 && command.get(0).endsWith(".json")) {
                jobFile = Path.of(command.get(0));
                command = List.of();
            }
            Map<String, Object> submission = buildSubmission();
            String id = Fields.text(Fields.map(submission.get("job"), "job"), Wire.ID);
            journal.write(id, submission);
            int code = send(journal, id, submission);
            return code == 0 && waitForEnd ? WaitCommand.waitForEnd(context, List.of(id), 0) : code;
        });
    }

    /** Sends all submissions of the journal and returns the highest exit code. */
    private int resumeSubmissions(SubmissionJournal journal) throws Exception {
        int code = 0;
        for (String id : journal.pendingIds()) {
            code = Math.max(code, send(journal, id, journal.read(id)));
        }
        return code;
    }

    /** Sends the program and then the job; their journal entry is removed once the answer is known. */
    private int send(SubmissionJournal journal, String id, Map<String, Object> submission) throws Exception {
        RetryingClient.Response response = null;
        if (submission.get("program") != null) {
            response = context.call("POST", Wire.PROGRAMS + id, submission.get("program"));
        }
        if (response == null || response.isSuccess()) {
            response = context.call("POST", Wire.JOBS, submission.get("job"));
        }
        journal.remove(id);
        if (!response.isSuccess()) {
            return ClientContext.printRefusal(response);
        }
        context.printState(response.body());
        return 0;
    }

    /** Combines defaults, the job file and options, each overriding the one before, into a checked job and program. */
    private Map<String, Object> buildSubmission() throws IOException {
        Map<String, Object> job = defaultJobFields();
        Map<String, Object> program = null;
        if (jobFile != null) {
            Map<String, Object> fileFields =
                    new HashMap<>(Fields.map(SettingsReader.parseJson(Files.readAllBytes(jobFile)), "job"));
            Object fileProgram = fileFields.remove("program");
            program = fileProgram == null ? null : new HashMap<>(Fields.map(fileProgram, "program"));
            job.putAll(fileFields);
        }
        putIfSet(job, Wire.ID, jobId);
        putIfSet(job, Wire.TEAM, team);
        putIfSet(job, Wire.JOB_CLASS, jobClass);
        putIfSet(job, Wire.SHAPE, shape);
        putIfSet(job, Wire.PRIORITY, priority);
        putIfSet(job, Wire.TASKS, tasks);
        putIfSet(job, Wire.CPUS, cpus);
        putIfSet(job, Wire.GPUS, gpus);
        putIfSet(job, Wire.MEMORY_GB, memoryGb);
        putIfSet(job, Wire.ZONE, zone);
        putIfSet(job, Wire.ESTIMATE_S, estimateS);
        putIfSet(job, Wire.CHECKPOINT_INTERVAL_S, checkpointIntervalS);
        putIfSet(job, Wire.CHECKPOINT_WRITE_S, checkpointWriteS);
        if (job.get(Wire.TEAM) == null) {
            throw new InvalidInputException("--team: missing, and BIRCHUSHER_TEAM is not set");
        }
        if (job.get(Wire.ID) == null) {
            job.put(Wire.ID, Wire.JOB_ID_PREFIX + UUID.randomUUID());
        }
        ClientContext.requireJobId(Fields.text(job, Wire.ID));
        if (!command.isEmpty()) {
            program = program == null ? new HashMap<>() : program;
            program.put("command", command);
        }
        if (!environment.isEmpty()) {
            if (program == null) {
                throw new InvalidInputException("--env: needs a command or a job file with a program");
            }
            Map<String, Object> allVariables =
                    new HashMap<>(program.get("env") == null ? Map.of() : Fields.map(program.get("env"), "env"));
            allVariables.putAll(environment);
            program.put("env", allVariables);
        }
        Map<String, Object> submission = new LinkedHashMap<>();
        submission.put("job", job);
        submission.put("program", program == null ? null : ProgramStore.validate(program));
        return submission;
    }

    private static Map<String, Object> defaultJobFields() {
        Map<String, Object> fields = new HashMap<>();
        fields.put(Wire.JOB_CLASS, "batch");
        fields.put(Wire.SHAPE, "sweep");
        fields.put(Wire.PRIORITY, "standard");
        fields.put(Wire.TASKS, 1L);
        fields.put(Wire.CPUS, 1.0);
        fields.put(Wire.GPUS, 0.0);
        fields.put(Wire.MEMORY_GB, 0.5);
        fields.put(Wire.IMAGE, "none");
        fields.put(Wire.IMAGE_GB, 0.0);
        fields.put(Wire.ONE_ZONE, false);
        fields.put(Wire.SPREAD, false);
        fields.put(Wire.SPOT, false);
        fields.put(Wire.ESTIMATE_S, 60.0);
        fields.put(Wire.CHECKPOINT_INTERVAL_S, 0.0);
        fields.put(Wire.CHECKPOINT_WRITE_S, 0.0);
        return fields;
    }

    private static void putIfSet(Map<String, Object> fields, String name, Object value) {
        if (value != null && !value.equals("")) {
            fields.put(name, value);
        }
    }
}
