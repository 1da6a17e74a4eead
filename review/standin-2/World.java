import java.io.File;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: controllers as processes, and stand-ins for the state service, the cloud, workers and users. */
final class World implements AutoCloseable {
    record Build(String name, double cores, double cards, double memoryGb, double fetchGbPerS, double readyS) {}

    /** Settings of the deployment; the defaults are those of the first site of the brief. */
    static final class Site {
        List<String> members = List.of("perch-0");
        List<String> zones = List.of("levis");
        Build build = new Build("melangeur-48", 48, 4, 384, 0.15, 40);
        double reportS = 3;
        double leaseS = 26;
        double gangWaitS = 50;
        double gangPeerS = 4;
        double cancelS = 46;
        double rps = 80;
        double writeRps = 25;
        double valueKb = 8;
        int txnOps = 16;
        double cloudRps = 6;
        double listLagS = 10;
        /** Each team's name, cpus, cpus_max, gpus, gpus_max. */
        List<Object[]> teams = List.<Object[]>of(new Object[] {"formulation", 0.0, 0.0, 40.0, 500.0});
        List<Map<String, Object>> objectives = List.of();
        /** The state service's count of changes at the start, as the bits of a long. */
        long firstEpoch = 0;
        /** Machines that the cloud can rent at most. */
        int capacity = 111;
        /** Seconds from a rental to the machine's first report. */
        double bootS = 2;
    }

    /** A job as its user sees it, and what its tasks do. */
    static final class Job {
        final String id;
        final String shape;
        final int pieces;
        final Map<String, Object> body;
        final double cores;
        final double cards;
        final double memoryGb;
        final String bundle;
        final double sizeGb;
        final double runS;
        /** Tasks that have completed; the result is kept. */
        final Set<String> results = new HashSet<>();
        final Set<String> everRan = new HashSet<>();
        private final Map<Long, Map<String, Worker.Task>> gang = new HashMap<>();
        private final World world;
        int starts;
        volatile boolean accepted;
        volatile String told;
        /** The number of tasks done, as the last poll told it. */
        volatile long doneTold;
        volatile long acceptedMs;

        Job(World world, Map<String, Object> body, double runS) {
            this.world = world;
            this.body = body;
            this.runS = runS;
            id = (String) body.get("name_id");
            shape = (String) body.get("shape");
            pieces = (Integer) body.get("pieces");
            cores = (Double) body.get("cores");
            cards = (Double) body.get("cards");
            memoryGb = (Double) body.get("memory_gb");
            bundle = (String) body.get("bundle");
            sizeGb = (Double) body.get("size_gb");
        }

        /** A task of the gang has its image. When all of an attempt wait, they run. */
        void gangWaits(Worker.Task task) {
            Map<String, Worker.Task> waiting = gang.computeIfAbsent(task.attempt, key -> new HashMap<>());
            waiting.values().removeIf(Worker.Task::exited);
            waiting.put(task.key, task);
            if (waiting.size() == pieces) {
                world.record("gang " + id + " complete, attempt " + task.attempt);
                for (Worker worker : List.copyOf(world.machines.values())) {
                    for (Worker.Task other : worker.tasks.values()) {
                        if (other.job().equals(id) && other.attempt == task.attempt && other.stage.equals("waiting")) {
                            worker.run(other, this);
                        }
                    }
                }
            }
        }
    }

    /** No case runs for longer. */
    private static final long MAX_RUN_MS = 117_000;

    final Site site;
    final double reportS;
    final double leaseS;
    final double gangWaitS;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Map<String, Worker> machines = new TreeMap<>();
    final State state;
    final Net.Server cloud;
    final Path dir;
    private final PrintWriter record;
    private final int[] listenPorts;
    private final int[] meshPorts;
    final Process[] processes;
    private final Map<String, List<Object>> asks = new HashMap<>();
    private final Map<String, Long> askedMs = new HashMap<>();
    private final Map<String, Set<String>> where = new HashMap<>();
    private int nextMachine = 231;
    private final long startMs = nowMs();
    int rentalCalls;
    int rented;
    final List<String> broken = new ArrayList<>();

    World(Site site, Path recordFile) throws Exception {
        this.site = site;
        reportS = site.reportS;
        leaseS = site.leaseS;
        gangWaitS = site.gangWaitS;
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        dir = Files.createTempDirectory("review-2-");
        state = new State(this, site.rps, site.writeRps, site.valueKb, site.txnOps, site.firstEpoch);
        cloud = new Net.Server(this::handleCloud);
        listenPorts = new int[site.members.size()];
        meshPorts = new int[site.members.size()];
        processes = new Process[site.members.size()];
        for (int i = 0; i < listenPorts.length; i++) {
            listenPorts[i] = Net.freePort();
            meshPorts[i] = Net.freePort();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Net.thread("limit", () -> {
            sleep(MAX_RUN_MS);
            record("the case couldn't be finished in time");
            System.exit(2);
        });
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    double seconds() {
        return (nowMs() - startMs) / 1000.0;
    }

    void record(String text) {
        synchronized (record) {
            record.printf("%7.2f %s%n", seconds(), text);
            record.flush();
        }
    }

    int controllers() {
        return listenPorts.length;
    }

    String listen(int controller) {
        return "127.0.0.1:" + listenPorts[controller];
    }

    int indexOf(String member) {
        return site.members.indexOf(member);
    }

    // ---- controllers

    private Map<String, Object> settings(int i) {
        List<Object> seeds = new ArrayList<>();
        for (int k = 0; k < controllers(); k++) {
            if (k != i) {
                seeds.add(Map.of(
                        "member", site.members.get(k),
                        "area", site.zones.get(k % site.zones.size()),
                        "peer_addr", "127.0.0.1:" + meshPorts[k]));
            }
        }
        List<Object> teams = new ArrayList<>();
        for (Object[] team : site.teams) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("name", team[0]);
            fields.put("cpus", team[1]);
            fields.put("cpus_max", team[2]);
            fields.put("gpus", team[3]);
            fields.put("gpus_max", team[4]);
            teams.add(fields);
        }
        Map<String, Object> deployment = new LinkedHashMap<>();
        deployment.put("count", controllers());
        deployment.put("zones", site.zones);
        deployment.put("teams", teams);
        deployment.put("objectives", site.objectives);
        deployment.put(
                "workers",
                Map.of(
                        "report_s", site.reportS,
                        "lease_s", site.leaseS,
                        "gang_wait_s", site.gangWaitS,
                        "gang_peer_s", site.gangPeerS,
                        "cancel_s", site.cancelS));
        deployment.put(
                "state",
                Map.of(
                        "rps", site.rps,
                        "write_rps", site.writeRps,
                        "value_kb", site.valueKb,
                        "txn_ops", site.txnOps));
        deployment.put("cloud", Map.of("rps", site.cloudRps, "list_lag_s", site.listLagS));
        deployment.put("resources", Map.of("cores", 0.33, "ram_mb", 263.0, "max_connections", 1500));
        deployment.put("clock_off_ms", 1000.0);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("member", site.members.get(i));
        settings.put("area", site.zones.get(i % site.zones.size()));
        settings.put("listen", listen(i));
        settings.put("mesh_addr", "127.0.0.1:" + meshPorts[i]);
        settings.put("seeds", seeds);
        settings.put("external", Map.of("cloud", cloud.address(), "state", state.server.address()));
        settings.put("deployment", deployment);
        return settings;
    }

    private static String json(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, item) -> parts.add("\"" + key + "\":" + json(item)));
            return "{" + String.join(",", parts) + "}";
        } else if (value instanceof List<?> list) {
            List<String> parts = new ArrayList<>();
            list.forEach(item -> parts.add(json(item)));
            return "[" + String.join(",", parts) + "]";
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }

    /** Starts a controller with the run command of the deploy file, from the repository's root. */
    void startController(int i) throws Exception {
        Path file = dir.resolve("settings-" + i + ".json");
        Files.writeString(file, json(settings(i)));
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG_LEVEL", "info"));
        File log = dir.resolve("controller-" + i + ".log").toFile();
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log)).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        processes[i] = builder.start();
        record("controller " + site.members.get(i) + " started, pid " + processes[i].pid());
        Process process = processes[i];
        process.onExit().thenAccept(ended -> record(
                "controller " + site.members.get(i) + " ended, exit status " + ended.exitValue()));
    }

    void startControllers() throws Exception {
        for (int i = 0; i < controllers(); i++) {
            startController(i);
        }
    }

    /** Waits until a controller is ready; false if it isn't in time. */
    boolean awaitReady(int controller, long withinMs) {
        Net.Client client = new Net.Client();
        long until = nowMs() + withinMs;
        while (nowMs() < until) {
            Net.Message message = client.call(listen(controller), "GET", "/ready", null, 1_000);
            if (message != null && message.status() == 200) {
                client.close();
                record("controller " + site.members.get(controller) + " is ready");
                return true;
            }
            sleep(200);
        }
        return false;
    }

    /** The lines of the controllers' logs that hold a text. */
    List<String> logLines(String text) throws Exception {
        List<String> found = new ArrayList<>();
        for (int i = 0; i < controllers(); i++) {
            Path log = dir.resolve("controller-" + i + ".log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains(text)) {
                        found.add(site.members.get(i) + ": " + line);
                    }
                }
            }
        }
        return found;
    }

    private void killAll() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Process process : processes) {
            if (process != null) {
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }
        if (System.getenv("CASE_KEEP") == null) {
            try (var files = Files.list(dir)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(dir);
        } else {
            System.out.println("kept " + dir);
        }
        record.close();
    }

    // ---- cloud

    @SuppressWarnings("unchecked")
    private Net.Answer handleCloud(String method, String target, byte[] raw) {
        if (target.startsWith("/machine_types")) {
            Build b = site.build;
            Map<String, Object> type = new LinkedHashMap<>();
            type.put("name", b.name());
            type.put("cores", b.cores());
            type.put("cards", b.cards());
            type.put("memory_gb", b.memoryGb());
            type.put("cache_gb", 60.0);
            type.put("fetch_gb_per_s", b.fetchGbPerS());
            type.put("hourly", 11.68);
            type.put("market_price", 5.26);
            type.put("ready_s", b.readyS());
            type.put("groves", site.zones);
            return new Net.Answer(200, Map.of("builds", List.of(type)));
        }
        if (target.equals("/rentals")) {
            Map<String, Object> body = (Map<String, Object>) Pack.decode(raw);
            synchronized (this) {
                rentalCalls++;
                String ask = (String) body.get("ask");
                if (asks.containsKey(ask)) {
                    return new Net.Answer(200, Map.of("hosts", asks.get(ask)));
                }
                List<Object> hosts = new ArrayList<>();
                int count = ((Number) body.get("how_many")).intValue();
                while (hosts.size() < Math.min(50, count) && machines.size() < site.capacity) {
                    hosts.add(addMachine((String) body.get("grove"), Boolean.TRUE.equals(body.get("loaners")), site.bootS)
                            .name);
                }
                record("rental " + ask + ": " + hosts.size() + " of " + count + " machines");
                if (hosts.isEmpty()) {
                    return new Net.Answer(503, Map.of("error", "no capacity"));
                }
                rented += hosts.size();
                asks.put(ask, hosts);
                return new Net.Answer(200, Map.of("hosts", hosts));
            }
        }
        if (target.equals("/rentals/delete")) {
            List<Object> hosts = (List<Object>) ((Map<String, Object>) Pack.decode(raw)).get("hosts");
            for (Object host : hosts) {
                Worker worker;
                synchronized (this) {
                    worker = machines.remove((String) host);
                }
                if (worker != null) {
                    worker.remove();
                    record("machine " + host + " deleted by request");
                }
            }
            return new Net.Answer(200, Map.of());
        }
        synchronized (this) {
            List<Object> listed = new ArrayList<>();
            for (Worker worker : machines.values()) {
                double ageS = (nowMs() - worker.bornMs) / 1000.0;
                // The list lags.
                if (ageS < site.listLagS) {
                    continue;
                }
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put("name_id", worker.name);
                fields.put("address", worker.server == null ? "127.0.0.1:1" : worker.server.address());
                fields.put("build", worker.build.name());
                fields.put("grove", worker.grove);
                fields.put("loaners", worker.spot);
                fields.put("stage", worker.server == null ? "starting" : "running");
                fields.put("age_s", ageS);
                listed.add(fields);
            }
            return new Net.Answer(200, Map.of("hosts", listed, "has_next", false));
        }
    }

    /** Adds a machine, which is up after {@code bootS}. */
    synchronized Worker addMachine(String grove, boolean spot, double bootS) {
        String name = String.format("n-%06d", nextMachine++);
        Worker worker = new Worker(this, name, site.build, grove, spot);
        machines.put(name, worker);
        Net.thread("boot " + name, () -> {
            sleep(Math.round(bootS * 1000));
            try {
                worker.up();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        return worker;
    }

    /** The cloud takes a machine back without notice: it is gone with all that is on it. */
    void takeBack(String name) {
        Worker worker;
        synchronized (this) {
            worker = machines.remove(name);
        }
        worker.remove();
    }

    // ---- tasks

    /** The number of a job's tasks that are on a machine. */
    synchronized int onMachines(Job job) {
        int count = 0;
        for (Worker worker : machines.values()) {
            for (Worker.Task task : worker.tasks.values()) {
                count += task.on && task.job().equals(job.id) ? 1 : 0;
            }
        }
        return count;
    }

    /** The size of the names of the images that the machines have, in UTF-8. */
    synchronized int imageNameBytes() {
        int bytes = 0;
        for (Worker worker : machines.values()) {
            for (String image : worker.images) {
                bytes += image.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
            }
        }
        return bytes;
    }

    synchronized int machineCount() {
        return machines.size();
    }

    synchronized void onStarted(Worker worker, Worker.Task task) {
        Job job = jobs.get(task.job());
        job.starts++;
        Set<String> on = where.computeIfAbsent(task.key, key -> new HashSet<>());
        if (!on.isEmpty()) {
            broken("ran_twice: " + task.key + " starts on " + worker.name + " while on " + on);
        }
        on.add(worker.name);
        if (job.starts <= 20) {
            record("task " + task.key + " attempt " + task.attempt + " starts on " + worker.name);
        }
    }

    synchronized void onLeft(Worker worker, Worker.Task task, String why) {
        where.getOrDefault(task.key, new HashSet<>()).remove(worker.name);
        Job job = jobs.get(task.job());
        if (job.pieces <= 20) {
            record("task " + task.key + " attempt " + task.attempt + " left " + worker.name + ": " + why);
        }
    }

    void broken(String text) {
        broken.add(text);
        record("RULE BROKEN " + text);
    }

    // ---- users

    /** The body of a submission; amounts are decimal numbers. */
    Map<String, Object> body(
            String id, String team, String shape, String rank, int pieces, double cores, double cards, double memoryGb,
            double expectS) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("name_id", id);
        body.put("lane", "lane-" + shape);
        body.put("crew", team);
        body.put("shape", shape);
        body.put("rank", rank);
        body.put("pieces", pieces);
        body.put("cores", cores);
        body.put("cards", cards);
        body.put("memory_gb", memoryGb);
        body.put("bundle", "img-07");
        body.put("size_gb", 0.3);
        body.put("builds", null);
        body.put("grove", null);
        body.put("one_zone", false);
        body.put("scatter", false);
        body.put("loaners", false);
        body.put("expect_s", expectS);
        body.put("mark_every_s", 0.0);
        body.put("mark_take_s", 0.0);
        body.put("due_s", null);
        return body;
    }

    /** Submits a job as its user does, for up to 60 s; returns the last status. */
    int submit(Job job, int firstController) {
        synchronized (this) {
            jobs.put(job.id, job);
        }
        Net.Client client = new Net.Client();
        long until = nowMs() + 60_000;
        int status = 0;
        for (int i = firstController; nowMs() < until; i++) {
            Net.Message answer = client.call(listen(i % controllers()), "POST", "/v2/runs", job.body, 5_000);
            status = answer == null ? 0 : answer.status();
            if (status == 200 || status == 201) {
                job.accepted = true;
                job.acceptedMs = nowMs();
                job.told = (String) answer.fields().get("stage");
                record("job " + job.id + " (" + job.shape + ", " + job.pieces + " tasks of " + job.cores
                        + " cores) accepted: " + status + " " + job.told);
                break;
            }
            if (status == 400 || status == 422) {
                record("job " + job.id + " refused: " + status + " " + answer.fields());
                break;
            }
            sleep(1_000);
        }
        client.close();
        return status;
    }

    /** One poll of a job; the status, 0 without a response in 2 s. Its stage goes to {@code job.told}. */
    int poll(Job job, int controller) {
        Net.Client client = new Net.Client();
        Net.Message answer = client.call(listen(controller), "GET", "/v2/runs/" + job.id, null, 2_000);
        client.close();
        if (answer == null) {
            return 0;
        }
        if (answer.status() == 200) {
            job.told = (String) answer.fields().get("stage");
            job.doneTold = ((Number) answer.fields().get("done")).longValue();
        }
        return answer.status();
    }
}
