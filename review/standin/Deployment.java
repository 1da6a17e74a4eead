package standin;

import birchusher.wire.Json;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment with the settings of the site mahr-galleries: the project's controllers as processes of their own, and stand-ins for
 * everything else.
 */
final class Deployment {
    double reportS = 3;
    double leaseS = 14;
    double gangWaitS = 40;
    double gangPeerS = 6;
    double cancelS = 39;
    double stateRps = 100;
    double stateWriteRps = 15;
    int txnOps = 12;
    double cloudRps = 4;
    double listLagS = 5;
    List<String> zones = List.of("muscat", "sohar");
    List<String> areas = List.of("muscat", "sohar", "muscat");
    List<Map<String, Object>> teams = new ArrayList<>();
    double fetchGbPerS = 1.0;
    /** The one machine type: cpus, gpus, memory. */
    double[] typeSize = {24, 2, 96};

    String typeName = "studio-24";
    double bootS = 60;
    /** How long a rented machine really takes. */
    long bootMs = 42_000;
    /** How many machines the cloud can rent in all. */
    int capacity;

    StateService state;
    final Jobs jobs = new Jobs();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    /** What the checks of a script found, such as a task that started while it was on another machine. */
    final List<String> violations = new CopyOnWriteArrayList<>();

    private final Path folder;
    private final List<String> command;
    private Process[] processes;
    private String[] listen;
    private String[] mesh;
    private String stateAddress;
    private String cloudAddress;
    private final Map<String, Map<String, Object>> rentals = new LinkedHashMap<>();
    private final Map<String, List<Object>> answeredAsks = new LinkedHashMap<>();
    private int nextMachine = 1;

    Deployment() throws IOException {
        folder = Files.createTempDirectory("birchusher-review");
        Matcher run = Pattern.compile("(?m)^run *= *\"(.*)\"$").matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!run.find()) {
            throw new IOException("deploy/service.toml has no run command");
        }
        command = Arrays.asList(run.group(1).trim().split(" +"));
    }

    int count() {
        return areas.size();
    }

    String listen(int controller) {
        return listen[controller];
    }

    static String member(int controller) {
        return "perch-" + controller;
    }

    int indexOf(String member) {
        for (int i = 0; i < count(); i++) {
            if (member(i).equals(member)) {
                return i;
            }
        }
        return -1;
    }

    void team(String name, double gpus, double gpusMax) {
        Map<String, Object> team = new LinkedHashMap<>();
        team.put("name", name);
        team.put("cpus", 0.0);
        team.put("cpus_max", 0.0);
        team.put("gpus", gpus);
        team.put("gpus_max", gpusMax);
        teams.add(team);
    }

    // ---- start and end

    void start() throws IOException {
        state = new StateService(stateRps, stateWriteRps, 8, txnOps);
        stateAddress = Net.serve(state::handle);
        cloudAddress = Net.serve(this::cloud);
        int[] ports = Net.freePorts(2 * count());
        listen = new String[count()];
        mesh = new String[count()];
        processes = new Process[count()];
        for (int i = 0; i < count(); i++) {
            listen[i] = "127.0.0.1:" + ports[2 * i];
            mesh[i] = "127.0.0.1:" + ports[2 * i + 1];
        }
        for (int i = 0; i < count(); i++) {
            Files.writeString(folder.resolve(member(i) + ".json"), Json.toText(settings(i), true));
            startController(i);
        }
        Net.start("gangs", () -> {
            while (true) {
                Net.sleep(20);
                jobs.advanceGangs(workers, Net.now(), Math.round(gangPeerS * 1000));
            }
        });
    }

    private Map<String, Object> settings(int index) {
        List<Object> seeds = new ArrayList<>();
        for (int i = 0; i < count(); i++) {
            if (i != index) {
                seeds.add(Map.of("member", member(i), "area", areas.get(i), "peer_addr", mesh[i]));
            }
        }
        Map<String, Object> workersSection = Map.of(
                "report_s", reportS, "lease_s", leaseS, "gang_wait_s", gangWaitS, "gang_peer_s", gangPeerS, "cancel_s", cancelS);
        Map<String, Object> deployment = new LinkedHashMap<>();
        deployment.put("count", count());
        deployment.put("zones", zones);
        deployment.put("teams", teams);
        deployment.put("objectives", List.of());
        deployment.put("workers", workersSection);
        deployment.put("state", Map.of("rps", stateRps, "write_rps", stateWriteRps, "value_kb", 8.0, "txn_ops", txnOps));
        deployment.put("cloud", Map.of("rps", cloudRps, "list_lag_s", listLagS));
        deployment.put("resources", Map.of("cores", 0.33, "ram_mb", 263.0, "max_connections", 1800));
        deployment.put("clock_off_ms", 5.0);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("member", member(index));
        settings.put("area", areas.get(index));
        settings.put("listen", listen[index]);
        settings.put("mesh_addr", mesh[index]);
        settings.put("seeds", seeds);
        settings.put("external", Map.of("cloud", cloudAddress, "state", stateAddress));
        settings.put("deployment", deployment);
        return settings;
    }

    void startController(int index) throws IOException {
        List<String> full = new ArrayList<>(command);
        full.add(folder.resolve(member(index) + ".json").toString());
        ProcessBuilder builder = new ProcessBuilder(full).redirectErrorStream(true);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        File log = folder.resolve(member(index) + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes[index] = builder.start();
        Record.line("controller %s started", member(index));
    }

    void kill(int index) {
        processes[index].destroyForcibly();
        processes[index].onExit().join();
        Record.line("controller %s killed", member(index));
    }

    void signal(int index, String signal) throws IOException {
        new ProcessBuilder("kill", signal, String.valueOf(processes[index].pid())).start();
        Record.line("controller %s: %s", member(index), signal);
    }

    boolean allAlive() {
        for (Process process : processes) {
            if (!process.isAlive()) {
                return false;
            }
        }
        return true;
    }

    /** Ends all processes and removes the temporary folder, unless KEEP_LOGS is set. */
    void close() {
        if (processes != null) {
            for (Process process : processes) {
                if (process != null) {
                    process.destroyForcibly();
                    process.onExit().join();
                }
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("temporary folder not removed: " + e.getMessage());
        }
    }

    /** Waits until all controllers are ready; false if they are not in time. */
    boolean awaitReady(long timeoutMs) {
        Net.Client client = new Net.Client();
        long endMs = Net.now() + timeoutMs;
        int ready = 0;
        while (ready < count() && Net.now() < endMs) {
            ready = 0;
            for (int i = 0; i < count(); i++) {
                ready += client.call(listen(i), "GET", "/ready", null, 1_000).status() == 200 ? 1 : 0;
            }
            Net.sleep(100);
        }
        Record.line("%d of %d controllers are ready", ready, count());
        return ready == count();
    }

    // ---- cloud

    /** A machine that is up at the start. */
    Worker addMachine(String zone, boolean spot) throws IOException {
        synchronized (rentals) {
            return boot(newRental(zone, spot), zone, spot);
        }
    }

    /** The cloud takes a machine back: it is listed no more. */
    void taken(String machine) {
        synchronized (rentals) {
            rentals.remove(machine);
        }
    }

    /** Waits until this many tasks of a job are on machines. */
    boolean awaitOnMachines(String job, int count, long timeoutMs) {
        long endMs = Net.now() + timeoutMs;
        while (jobs.onMachinesCount(job) < count && Net.now() < endMs) {
            Net.sleep(50);
        }
        return jobs.onMachinesCount(job) >= count;
    }

    private String newRental(String zone, boolean spot) {
        String name = String.format("n-%06d", nextMachine++);
        Map<String, Object> rental = new LinkedHashMap<>();
        rental.put("name_id", name);
        rental.put("build", typeName);
        rental.put("grove", zone);
        rental.put("loaners", spot);
        rental.put("stage", "starting");
        rental.put("since", Net.now());
        rentals.put(name, rental);
        return name;
    }

    private Worker boot(String name, String zone, boolean spot) throws IOException {
        Worker worker = new Worker(this, name, zone, spot, typeName, typeSize);
        workers.add(worker);
        rentals.get(name).put("stage", "running");
        rentals.get(name).put("address", worker.address);
        return worker;
    }

    private Net.Reply cloud(String method, String target, Map<String, Object> body) {
        synchronized (rentals) {
            if (target.startsWith("/machine_types")) {
                Map<String, Object> type = new LinkedHashMap<>();
                type.put("name", typeName);
                type.put("cores", typeSize[0]);
                type.put("cards", typeSize[1]);
                type.put("memory_gb", typeSize[2]);
                type.put("cache_gb", 90.0);
                type.put("fetch_gb_per_s", fetchGbPerS);
                type.put("hourly", 4.98);
                type.put("market_price", 1.32);
                type.put("ready_s", bootS);
                type.put("groves", zones);
                return new Net.Reply(200, Map.of("builds", List.of(type)));
            }
            if (target.equals("/rentals") && method.equals("POST")) {
                return rent(body);
            }
            if (target.equals("/rentals/delete")) {
                for (Object host : Net.asList(body.get("hosts"))) {
                    Record.line("cloud: delete %s", host);
                    rentals.remove((String) host);
                    workers.stream().filter(worker -> worker.name.equals(host)).forEach(worker -> worker.end("deleted"));
                }
                return new Net.Reply(200, Map.of());
            }
            return list(Net.query(target));
        }
    }

    private Net.Reply rent(Map<String, Object> body) {
        String ask = (String) body.get("ask");
        if (answeredAsks.containsKey(ask)) {
            return new Net.Reply(200, Map.of("hosts", answeredAsks.get(ask)));
        }
        int wanted = (int) Net.asLong(body.get("how_many"), 0);
        int rented = Math.min(wanted, capacity - rentals.size());
        if (rented <= 0) {
            Record.line("cloud: %s for %d machines: no capacity", ask, wanted);
            return new Net.Reply(503, Map.of("error", "no capacity"));
        }
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < rented; i++) {
            String zone = (String) body.get("grove");
            boolean spot = Boolean.TRUE.equals(body.get("loaners"));
            String name = newRental(zone, spot);
            hosts.add(name);
            Net.start("boot", () -> {
                Net.sleep(bootMs);
                synchronized (rentals) {
                    try {
                        if (rentals.containsKey(name)) {
                            boot(name, zone, spot);
                        }
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
        }
        Record.line("cloud: %s rents %s", ask, hosts);
        answeredAsks.put(ask, hosts);
        return new Net.Reply(200, Map.of("hosts", hosts));
    }

    private Net.Reply list(Map<String, String> query) {
        List<Object> hosts = new ArrayList<>();
        String since = query.getOrDefault("since", "");
        rentals.forEach((name, rental) -> {
            if (name.compareTo(since) > 0) {
                Map<String, Object> entry = new LinkedHashMap<>(rental);
                entry.put("age_s", (Net.now() - (Long) entry.remove("since")) / 1000.0);
                hosts.add(entry);
            }
        });
        return new Net.Reply(200, Map.of("hosts", hosts, "has_next", false));
    }

    // ---- what workers tell

    void orderedToStart(Worker worker, String piece, long attempt) {
        Jobs.Spec spec = jobs.spec(Jobs.jobOf(piece));
        if (spec == null || spec.pieces() < 10) {
            Record.line("%s is ordered to start %s try %d", worker.name, piece, attempt);
        }
    }

    void taskBegins(Worker worker, Worker.Task task) {
        List<String> others = jobs.begins(task.piece, worker.name);
        if (jobs.spec(Jobs.jobOf(task.piece)).pieces() < 10) {
            Record.line("%s try %d begins on %s", task.piece, task.attempt, worker.name);
        }
        if (!others.isEmpty()) {
            Record.line("ran_twice: %s try %d begins on %s while it is on %s", task.piece, task.attempt, worker.name, others);
            violations.add("ran_twice " + task.piece);
        }
    }
}
