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

/** The commands of an operator of hosts: the daemon, agents, and the way out of a damaged log. */
final class OperatorCommands {
    private OperatorCommands() {}

    private static DaemonSettings readSettings(Path properties) throws IOException {
        try (Reader r = Files.newBufferedReader(properties)) {
            return DaemonSettings.read(r);
        }
    }

    /** Runs on SIGTERM and the like, before the process goes. */
    private static void onShutdown(Callable<Void> body) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                body.call();
                            } catch (Exception e) {
                                System.err.println("birchusher: " + e);
                            }
                        },
                        "end"));
    }

    @Command(
            name = "daemon",
            description = "run controller, state service and pool on this host",
            mixinStandardHelpOptions = true)
    static final class DaemonCommand implements Callable<Integer> {
        @Option(
                names = "--properties",
                required = true,
                paramLabel = "FILE",
                description = "as deploy/daemon.properties")
        Path propertiesFile;

        @Option(names = "--check", description = "only check the file")
        boolean checkOnly;

        @Option(
                names = "--local",
                paramLabel = "HOST",
                arity = "0..1",
                fallbackValue = "",
                description = "start the agent of this host beside it (default: the first host listed)")
        String localHost;

        @Option(
                names = "--local-listen",
                paramLabel = "HOST:PORT",
                defaultValue = "127.0.0.1:7075",
                description = "where that agent listens (default: ${DEFAULT-VALUE})")
        String localAgentAddress;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                DaemonSettings d = readSettings(propertiesFile);
                if (checkOnly) {
                    System.out.println("ok: " + d.hosts().hosts().size() + " hosts, "
                            + d.settings().teams().size() + " teams");
                    return 0;
                }
                Daemon daemon = new Daemon(d);
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
                    agent[0] = startLocalAgent(d);
                }
                return daemon.await() ? 0 : 1;
            });
        }

        /** A process of its own, so that its tasks live on if this one is killed. */
        private Process startLocalAgent(DaemonSettings d) throws IOException {
            String host =
                    localHost.isEmpty() ? d.hosts().hosts().keySet().iterator().next() : localHost;
            if (!d.hosts().hosts().containsKey(host)) {
                throw new InvalidInputException("--local: no host " + host + " is listed");
            }
            List<String> command = new ArrayList<>(List.of(
                    ProcessHandle.current().info().command().orElse("java"),
                    "-cp",
                    System.getProperty("java.class.path"),
                    Main.class.getName(),
                    "agent",
                    "--server",
                    d.listenAddress().toString(),
                    "--host",
                    host,
                    "--listen",
                    localAgentAddress,
                    "--dir",
                    d.dataDir().resolve("agent-" + host).toString()));
            Process p = new ProcessBuilder(command).inheritIO().start();
            // Such as one that still runs since an earlier daemon, which is as good, or an address that is taken, which
            // is not.
            p.onExit()
                    .thenAccept(x -> System.err.println("birchusher: the local agent has ended with " + x.exitValue()
                            + "; if 'machines' does not show host " + host + " as parked or running, start one"));
            return p;
        }
    }

    @Command(name = "agent", description = "run tasks on this host for a daemon", mixinStandardHelpOptions = true)
    static final class AgentCommand implements Callable<Integer> {
        @Option(names = "--server", required = true, paramLabel = "HOST:PORT", description = "the daemon's address")
        String server;

        @Option(
                names = "--host",
                required = true,
                paramLabel = "NAME",
                description = "the name that the daemon lists this host under")
        String hostName;

        @Option(
                names = "--listen",
                required = true,
                paramLabel = "HOST:PORT",
                description = "where the daemon reaches this agent")
        String listenAddress;

        @Option(
                names = "--dir",
                required = true,
                paramLabel = "DIR",
                description = "for its state, logs and working directories")
        Path dataDir;

        @Option(
                names = "--checkpoints",
                paramLabel = "DIR",
                description =
                        "where tasks save; shared by all hosts if tasks are to go on elsewhere (default: in --dir)")
        Path checkpointDir;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                Address a = SettingsReader.parseAddress(listenAddress, "--listen");
                SettingsReader.parseAddress(server, "--server");
                Agent agent = new Agent(new Agent.Options(
                        server,
                        hostName,
                        a.host(),
                        a.port(),
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
            description = "say what of a damaged log can be kept, and with --yes keep it",
            mixinStandardHelpOptions = true,
            footer = {"", "Without --yes nothing is changed. Restore a backup instead if you have one."})
    static final class RepairCommand implements Callable<Integer> {
        @Option(
                names = "--dir",
                required = true,
                paramLabel = "DIR",
                description = "the damaged directory: DATA/state or DATA/pool")
        Path damagedDir;

        @Option(names = "--yes", description = "do it; the old files stay beside the new ones")
        boolean confirmed;

        @Override
        public Integer call() {
            return Main.exitCodeOf(() -> {
                if (!Files.isDirectory(damagedDir)) {
                    throw new InvalidInputException("--dir: " + damagedDir + " is no directory");
                }
                try (LockedDirectory disk = new LockedDirectory(damagedDir)) {
                    Repair.Plan plan = Repair.plan(disk);
                    if (plan == null) {
                        System.out.println("nothing is damaged");
                        return 0;
                    }
                    plan.summaryLines().forEach(System.out::println);
                    if (confirmed) {
                        Repair.apply(disk, plan);
                        System.out.println("done");
                        return 0;
                    }
                    System.out.println("nothing was changed; --yes does it");
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
