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

/** {@code submit}: a job from options, or from a file that options change. */
@Command(
        name = "submit",
        description = "submit a job",
        mixinStandardHelpOptions = true,
        footer = {
            "",
            "The job's id is on disk before the job is sent: after a crash, 'submit --resume' sends the same job again.",
            "Exit codes: 0 accepted (with --wait: done), 1 refused (with --wait: cancelled), 2 wrong use, 3 not known in time."
        })
final class SubmitCommand implements Callable<Integer> {
    @CommandLine.Mixin
    ClientContext context;

    @Option(
            names = "--file",
            paramLabel = "FILE",
            description = "a job as JSON; its field \"program\" says what to run")
    Path jobFile;

    @Option(names = "--id", paramLabel = "ID", description = "the job's id (default: a new one)")
    String jobId;

    @Option(names = "--team", description = "whose guarantee and limit apply", defaultValue = "${BIRCHUSHER_TEAM}")
    String team;

    @Option(names = "--class", description = "the class of jobs it belongs to (default: batch)")
    String jobClass;

    @Option(
            names = "--shape",
            description = "sweep: independent tasks; gang: all at the same time; standing: until cancelled")
    String shape;

    @Option(names = "--priority", description = "production, urgent, standard or low")
    String priority;

    @Option(names = "--tasks", paramLabel = "N", description = "number of tasks (default: 1)")
    Long tasks;

    @Option(names = "--cpus", paramLabel = "N", description = "of each task (default: 1)")
    Double cpus;

    @Option(names = "--gpus", paramLabel = "N", description = "of each task (default: 0)")
    Double gpus;

    @Option(names = "--memory", paramLabel = "GB", description = "of each task (default: 0.5)")
    Double memoryGb;

    @Option(names = "--zone", description = "the only allowed zone")
    String zone;

    @Option(names = "--expect", paramLabel = "S", description = "estimated run time of a task (default: 60)")
    Double estimateS;

    @Option(names = "--save-every", paramLabel = "S", description = "a task saves about so often (default: 0, never)")
    Double checkpointIntervalS;

    @Option(names = "--save-take", paramLabel = "S", description = "time to save when stopped")
    Double checkpointWriteS;

    @Option(names = "--env", paramLabel = "NAME=VALUE", description = "for the program's environment; may be repeated")
    Map<String, String> environment = new HashMap<>();

    @Option(names = "--wait", description = "wait until the job is done or cancelled")
    boolean waitForEnd;

    @Option(names = "--resume", description = "send again what is not known to be accepted")
    boolean resume;

    @Option(
            names = "--journal",
            paramLabel = "DIR",
            defaultValue = "${user.home}/.birchusher/submissions",
            description = "where ids are kept until they are accepted (default: ${DEFAULT-VALUE})")
    Path journalDir;

    @Parameters(
            paramLabel = "COMMAND",
            arity = "0..*",
            description = "what each task runs, after --; or a job file (.json)")
    List<String> command = List.of();

    @Override
    public Integer call() {
        return Main.exitCodeOf(() -> {
            SubmissionJournal journal = new SubmissionJournal(journalDir);
            if (resume) {
                return resume(journal);
            }
            if (jobFile == null && command.size() == 1 && command.get(0).endsWith(".json")) {
                jobFile = Path.of(command.get(0));
                command = List.of();
            }
            Map<String, Object> submission = buildSubmission();
            String made = Fields.text(Fields.map(submission.get("job"), "job"), Wire.ID);
            journal.write(made, submission);
            int code = send(journal, made, submission);
            return code == 0 && waitForEnd ? WaitCommand.waitForEnd(context, List.of(made), 0) : code;
        });
    }

    private int resume(SubmissionJournal journal) throws Exception {
        int code = 0;
        for (String open : journal.pendingIds()) {
            code = Math.max(code, send(journal, open, journal.read(open)));
        }
        return code;
    }

    private int send(SubmissionJournal journal, String made, Map<String, Object> submission) throws Exception {
        RetryingClient.Response g = null;
        if (submission.get("program") != null) {
            g = context.call("POST", Wire.PROGRAMS + made, submission.get("program"));
        }
        if (g == null || g.isSuccess()) {
            g = context.call("POST", Wire.JOBS, submission.get("job"));
        }
        journal.remove(made);
        if (!g.isSuccess()) {
            return ClientContext.printRefusal(g);
        }
        context.printState(g.body());
        return 0;
    }

    private Map<String, Object> buildSubmission() throws IOException {
        Map<String, Object> job = defaultJobFields();
        Map<String, Object> program = null;
        if (jobFile != null) {
            Map<String, Object> read =
                    new HashMap<>(Fields.map(SettingsReader.parseJson(Files.readAllBytes(jobFile)), "job"));
            Object p = read.remove("program");
            program = p == null ? null : new HashMap<>(Fields.map(p, "program"));
            job.putAll(read);
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
                throw new InvalidInputException("--env: without a command");
            }
            Map<String, Object> all =
                    new HashMap<>(program.get("env") == null ? Map.of() : Fields.map(program.get("env"), "env"));
            all.putAll(environment);
            program.put("env", all);
        }
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("job", job);
        s.put("program", program == null ? null : ProgramStore.validate(program));
        return s;
    }

    private static Map<String, Object> defaultJobFields() {
        Map<String, Object> m = new HashMap<>();
        m.put(Wire.JOB_CLASS, "batch");
        m.put(Wire.SHAPE, "sweep");
        m.put(Wire.PRIORITY, "standard");
        m.put(Wire.TASKS, 1L);
        m.put(Wire.CPUS, 1.0);
        m.put(Wire.GPUS, 0.0);
        m.put(Wire.MEMORY_GB, 0.5);
        m.put(Wire.IMAGE, "none");
        m.put(Wire.IMAGE_GB, 0.0);
        m.put(Wire.ONE_ZONE, false);
        m.put(Wire.SPREAD, false);
        m.put(Wire.SPOT, false);
        m.put(Wire.ESTIMATE_S, 60.0);
        m.put(Wire.CHECKPOINT_INTERVAL_S, 0.0);
        m.put(Wire.CHECKPOINT_WRITE_S, 0.0);
        return m;
    }

    private static void putIfSet(Map<String, Object> m, String field, Object value) {
        if (value != null && !value.equals("")) {
            m.put(field, value);
        }
    }
}
