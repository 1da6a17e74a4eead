package birchusher.cli;

import birchusher.agent.Agent;
import birchusher.core.Fields.InvalidInputException;
import birchusher.daemon.Daemon;
import birchusher.daemon.DaemonSettings;
import birchusher.settings.Settings.Address;
import birchusher.settings.SettingsReader;
import birchusher.wal.LockedDirectory;
import birchusher.wal.Repair;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The commands for operators of hosts: the daemon, agents, and the repair of a damaged log. */
final class OperatorCommands {
    private OperatorCommands() {}

    private static DaemonSettings readSettings(Path propertiesFile) throws IOException {
        try (Reader reader = Files.newBufferedReader(propertiesFile)) {
            return DaemonSettings.read(reader);
        }
    }

    /** Registers an action that runs before the process ends, for example on SIGTERM. */
    private static void onShutdown(Callable<Void> action) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                action.call();
                            } catch (Exception e) {
                                System.err.println("birchusher: " + e);
                            }
                        },
                        "end"));
    }

    @Command(
            name = "daemon",
            description = "run a controller, the state service and the host pool on this host",
            mixinStandardHelpOptions = true)
    static final class DaemonCommand implements Callable<Integer> {
        @Option(
                names = "--properties",
                required = true,
                paramLabel = "FILE",
                description = "the daemon's settings; deploy/daemon.properties is an example")
        Path propertiesFile;

        @Option(names = "--check", description = "check the properties file and exit")
        boolean checkOnly;

        @Option(
                names = "--local",
                paramLabel = "HOST",
                arity = "0..1",
                fallbackValue = "",
                description = "also start the agent of this host (default: the first host listed)")
        String localHost;

        @Option(
                names = "--local-listen",
                paramLabel = "HOST:PORT",
                defaultValue = "127.0.0.1:7075",
                description = "address that this agent listens on (default: ${DEFAULT-VALUE})")
        String localAgentAddress;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                DaemonSettings settings = readSettings(propertiesFile);
                if (checkOnly) {
                    System.out.println("ok: " + settings.hosts().hosts().size() + " hosts, "
                            + settings.controllerSettings().teams().size() + " teams");
                    return 0;
                }
                Daemon daemon = new Daemon(settings);
                Process[] agent = new Process[1];
                onShutdown(() -> {
                    if (agent[0] != null) {
                        agent[0].destroy();
                        agent[0].waitFor();
                    }
                    daemon.close();
                    return null;
                });
                daemon.start();
                if (localHost != null) {
                    agent[0] = startLocalAgent(settings);
                }
                return daemon.await() ? 0 : 1;
            });
        }

        /** Starts the agent as a separate process, so that its tasks keep running if the daemon is killed. */
        private Process startLocalAgent(DaemonSettings settings) throws IOException {
            String host = localHost.isEmpty()
                    ? settings.hosts().hosts().keySet().iterator().next()
                    : localHost;
            if (!settings.hosts().hosts().containsKey(host)) {
                throw new InvalidInputException("--local: no host " + host + " is listed");
            }
            List<String> command = new ArrayList<>(List.of(
                    ProcessHandle.current().info().command().orElse("java"),
                    "-cp",
                    System.getProperty("java.class.path"),
                    Main.class.getName(),
                    "agent",
                    "--server",
                    settings.listenAddress().toString(),
                    "--host",
                    host,
                    "--listen",
                    localAgentAddress,
                    "--dir",
                    settings.dataDir().resolve("agent-" + host).toString()));
            Process agent = new ProcessBuilder(command).inheritIO().start();
            // The agent exits at once if an agent that an earlier daemon started still runs; that one serves the host
            // as well. It also exits if another process uses its address, and then no agent serves the host.
            agent.onExit()
                    .thenAccept(exited -> System.err.println("birchusher: the local agent exited with status "
                            + exited.exitValue() + "; if 'machines' does not show host " + host
                            + " as parked or running, start its agent"));
            return agent;
        }
    }

    @Command(
            name = "agent",
            description = "run the agent that executes tasks on this host for a daemon",
            mixinStandardHelpOptions = true)
    static final class AgentCommand implements Callable<Integer> {
        @Option(names = "--server", required = true, paramLabel = "HOST:PORT", description = "the daemon's address")
        String server;

        @Option(
                names = "--host",
                required = true,
                paramLabel = "NAME",
                description = "name of this host in the daemon's properties")
        String hostName;

        @Option(
                names = "--listen",
                required = true,
                paramLabel = "HOST:PORT",
                description = "address at which the daemon reaches this agent")
        String listenAddress;

        @Option(
                names = "--dir",
                required = true,
                paramLabel = "DIR",
                description = "directory for the agent's state, logs and working directories")
        Path dataDir;

        @Option(
                names = "--checkpoints",
                paramLabel = "DIR",
                description = "directory for checkpoints; shared by all hosts if tasks are to resume on another host "
                        + "(default: in --dir)")
        Path checkpointDir;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                Address address = SettingsReader.parseAddress(listenAddress, "--listen");
                SettingsReader.parseAddress(server, "--server");
                Agent agent = new Agent(new Agent.Options(
                        server,
                        hostName,
                        address.host(),
                        address.port(),
                        dataDir,
                        checkpointDir == null ? dataDir.resolve("checkpoints") : checkpointDir));
                onShutdown(() -> {
                    agent.stop();
                    agent.close();
                    return null;
                });
                agent.run();
                return 1;
            });
        }
    }

    @Command(
            name = "repair",
            description = "report what can be kept of a damaged log, and with --yes repair the log",
            mixinStandardHelpOptions = true,
            footer = {"", "Without --yes nothing is changed. Restore a backup instead if there is one."})
    static final class RepairCommand implements Callable<Integer> {
        @Option(
                names = "--dir",
                required = true,
                paramLabel = "DIR",
                description = "the damaged directory: DATA/state or DATA/pool")
        Path damagedDir;

        @Option(names = "--yes", description = "carry out the repair; the old files are kept beside the new ones")
        boolean confirmed;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                if (!Files.isDirectory(damagedDir)) {
                    throw new InvalidInputException("--dir: " + damagedDir + " is not a directory");
                }
                try (LockedDirectory directory = new LockedDirectory(damagedDir)) {
                    Repair.Plan plan = Repair.plan(directory);
                    if (plan == null) {
                        System.out.println("no damage found");
                        return 0;
                    }
                    plan.summaryLines().forEach(System.out::println);
                    if (confirmed) {
                        Repair.apply(directory, plan);
                        System.out.println("done");
                        return 0;
                    }
                    System.out.println("nothing was changed; run again with --yes to repair");
                    return 1;
                }
            });
        }
    }

    @Command(
            name = "completion",
            description = "print a completion script for bash or zsh",
            mixinStandardHelpOptions = true)
    static final class CompletionCommand implements Callable<Integer> {
        @CommandLine.Spec
        CommandLine.Model.CommandSpec commandSpec;

        @Override
        public Integer call() {
            System.out.print(
                    picocli.AutoComplete.bash("birchusher", commandSpec.root().commandLine()));
            return 0;
        }
    }
}
