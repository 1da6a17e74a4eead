package birchusher.cli;

import birchusher.core.Fields.InvalidInputException;
import birchusher.server.ControllerServer;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The entry point of the command line. Exit codes: 0 done, 1 refused or failed, 2 invalid usage or settings, 3 no answer before the
 * deadline. Each class that a controller loads adds to the cost of its start, so {@code serve} and {@code check-config} run without the
 * other commands.
 */
@Command(
        name = "birchusher",
        mixinStandardHelpOptions = true,
        version = "birchusher 0.1.0",
        description = "A cluster scheduler that leases tasks for a fixed term renewed by progress.",
        subcommands = {Main.ServeCommand.class, Main.CheckConfigCommand.class})
public final class Main implements Runnable {
    @CommandLine.Spec
    CommandLine.Model.CommandSpec commandSpec;

    static {
        String level = System.getenv("LOG_LEVEL");
        System.setProperty(
                "org.slf4j.simpleLogger.defaultLogLevel",
                "debug".equals(level) || "info".equals(level) || "error".equals(level) ? level : "info");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showLogName", "false");
    }

    public static void main(String[] args) {
        boolean controllerOnly = args.length > 0 && (args[0].equals("serve") || args[0].equals("check-config"));
        System.exit((controllerOnly ? new CommandLine(new Main()) : fullCommandLine()).execute(args));
    }

    /** The command line with all commands, those of clients and operators included. */
    static CommandLine fullCommandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        List.of(
                        new OperatorCommands.DaemonCommand(),
                        new OperatorCommands.AgentCommand(),
                        new OperatorCommands.RepairCommand(),
                        new SubmitCommand(),
                        new ClientCommands.StatusCommand(),
                        new ClientCommands.ListCommand(),
                        new ClientCommands.DescribeCommand(),
                        new ClientCommands.LogsCommand(),
                        new WaitCommand(),
                        new ClientCommands.CancelCommand(),
                        new ClientCommands.MachinesCommand(),
                        new ClientCommands.TeamsCommand(),
                        new OperatorCommands.CompletionCommand())
                .forEach(commandLine::addSubcommand);
        return commandLine;
    }

    @Override
    public void run() {
        commandSpec.commandLine().usage(System.out);
    }

    /** Options for the two files that a controller reads at its start. */
    static class ControllerFiles {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "the platform's settings (JSON)")
        Path configFile;

        @Option(
                names = "--properties",
                paramLabel = "FILE",
                description = "the operators' settings, which override the defaults")
        Path propertiesFile;

        Settings readSettings() throws IOException {
            return SettingsReader.read(Files.readAllBytes(configFile));
        }

        Tuning readTuning() throws IOException {
            Tuning tuning = new Tuning();
            if (propertiesFile != null) {
                try (Reader reader = Files.newBufferedReader(propertiesFile)) {
                    tuning.withOverrides(reader);
                }
            }
            return tuning;
        }
    }

    /** What a command does, up to its exit code. */
    interface CommandBody {
        int run() throws Exception;
    }

    /** Runs a command, prints the message of an exception to standard error, and returns the exit code. */
    static int exitCodeOf(CommandBody body) {
        try {
            return body.run();
        } catch (InvalidInputException e) {
            System.err.println("birchusher: " + e.getMessage());
            return 2;
        } catch (RetryingClient.DeadlineExceededException e) {
            System.err.println("birchusher: " + e.getMessage());
            return 3;
        } catch (IOException e) {
            System.err.println("birchusher: " + e.getClass().getSimpleName() + ": " + e.getMessage());
            return 2;
        } catch (Exception e) {
            System.err.println("birchusher: " + e);
            return 1;
        }
    }

    @Command(name = "serve", description = "run a controller", mixinStandardHelpOptions = true)
    static final class ServeCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ControllerFiles files;

        @Override
        public Integer call() {
            return exitCodeOf(() -> {
                new ControllerServer(files.readSettings(), files.readTuning()).run();
                return 0;
            });
        }
    }

    @Command(
            name = "check-config",
            description = "check the settings and report errors",
            mixinStandardHelpOptions = true)
    static final class CheckConfigCommand implements Callable<Integer> {
        @CommandLine.Mixin
        ControllerFiles files;

        @Override
        public Integer call() {
            return exitCodeOf(() -> {
                Settings settings = files.readSettings();
                files.readTuning();
                System.out.println("ok: " + settings.member() + " in " + settings.zone() + ", "
                        + (settings.peers().size() + 1) + " controllers, "
                        + settings.teams().size() + " teams");
                return 0;
            });
        }
    }
}
