import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker of one machine, by the worker protocol. All of its state is guarded by the world's lock. */
final class Worker {
    static final class Task {
        final String key;
        final long attempt;
        String stage = "fetching";
        String cause;
        boolean kept;
        /** When the present stage ends by itself; 0: not by time. */
        long endsMs;
        /** Whether it has its image and has not exited, as the pages count it. */
        boolean on;

        Task(String key, long attempt) {
            this.key = key;
            this.attempt = attempt;
        }

        String job() {
            return key.substring(0, key.lastIndexOf('/'));
        }

        boolean exited() {
            return stage.equals("exited");
        }
    }

    final World world;
    final String name;
    final World.Build build;
    final String grove;
    final boolean spot;
    final long bornMs = World.nowMs();
    private final Net.Client client = new Net.Client();
    private final Random random;
    final Map<String, Task> tasks = new LinkedHashMap<>();
    final Set<String> images = new HashSet<>();
    Net.Server server;
    long tenure = 1;
    long tick;
    long baton;
    long leaseFromMs;
    boolean gone;
    int node;
    /** Reports of this worker that were answered otherwise than 200 or 421, or not at all. */
    int failedReports;
    int leasesOver;
    private long nextReportMs;
    private long lastReportMs;
    private long nextTokenReportMs;

    Worker(World world, String name, World.Build build, String grove, boolean spot) {
        this.world = world;
        this.name = name;
        this.build = build;
        this.grove = grove;
        this.spot = spot;
        random = new Random(name.hashCode());
        node = random.nextInt(world.controllers());
    }

    /** The machine is up: its worker begins to report. */
    void up() throws Exception {
        server = new Net.Server(this::handle);
        leaseFromMs = World.nowMs();
        Net.thread("worker " + name, this::reportLoop);
    }

    void remove() {
        synchronized (world) {
            gone = true;
            for (Task task : tasks.values()) {
                leave(task, "machine gone");
            }
            tasks.clear();
        }
        if (server != null) {
            server.close();
        }
        client.close();
    }

    /** The machine stops with all that is on it and is back at once, in its next session. */
    void restart() {
        synchronized (world) {
            for (Task task : tasks.values()) {
                leave(task, "machine restarted");
            }
            tasks.clear();
            tenure++;
            leaseFromMs = World.nowMs();
            changed();
        }
    }

    private void changed() {
        nextReportMs = Math.min(nextReportMs, Math.max(World.nowMs() + 20, lastReportMs + 500));
    }

    private Map<String, Object> report() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("piece", task.key);
            entry.put("try", task.attempt);
            entry.put("stage", task.stage);
            if (task.cause != null) {
                entry.put("cause", task.cause);
            }
            if (task.kept) {
                entry.put("kept", true);
            }
            pieces.add(entry);
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("host", name);
        report.put("address", server.address());
        report.put("build", build.name());
        report.put("grove", grove);
        report.put("loaners", spot);
        report.put("tenure", tenure);
        report.put("tick", ++tick);
        report.put("baton", baton);
        report.put("recall_s", null);
        report.put("pieces", pieces);
        return report;
    }

    private void reportLoop() {
        while (true) {
            Map<String, Object> report = null;
            int to = 0;
            long sentMs = 0;
            synchronized (world) {
                if (gone) {
                    return;
                }
                advance();
                if (World.nowMs() >= nextReportMs) {
                    report = report();
                    to = node;
                    sentMs = World.nowMs();
                    lastReportMs = sentMs;
                    nextReportMs = sentMs + Math.round(world.reportS * 1000 * (0.75 + random.nextDouble() * 0.5));
                }
            }
            if (report == null) {
                World.sleep(25);
                continue;
            }
            Net.Message response = client.call(world.listen(to), "POST", "/hello", report, 4_000);
            synchronized (world) {
                if (gone) {
                    return;
                }
                boolean next = handleResponse(response, sentMs, to, report);
                if (next) {
                    node = (to + 1) % world.controllers();
                    nextReportMs = World.nowMs() + 1_000;
                }
            }
        }
    }

    /** Returns whether the worker turns to the next node a second later. */
    @SuppressWarnings("unchecked")
    private boolean handleResponse(Net.Message response, long sentMs, int to, Map<String, Object> report) {
        int status = response == null ? 0 : response.status();
        if (status == 421) {
            int named = world.indexOf((String) response.fields().get("usher"));
            if (named < 0 || named == to) {
                return true;
            }
            node = named;
            nextReportMs = World.nowMs();
            return false;
        }
        if (status != 200) {
            failedReports++;
            if (status != 0 && status != 503) {
                world.record("report of " + name + " with " + ((List<?>) report.get("pieces")).size() + " tasks, "
                        + Pack.jsonSize(report) + " bytes in JSON: status " + status);
            }
            return true;
        }
        Map<String, Object> fields = response.fields();
        Object token = fields.get("baton");
        if (token == null
                || ((Number) token).longValue() < baton
                || ((Number) report.get("tenure")).longValue() != tenure) {
            return false;
        }
        accept(((Number) token).longValue());
        leaseFromMs = Math.max(leaseFromMs, sentMs);
        execute((List<Map<String, Object>>) fields.getOrDefault("orders", List.of()));
        return false;
    }

    private void accept(long token) {
        if (token > baton) {
            baton = token;
            if (World.nowMs() >= nextTokenReportMs) {
                nextTokenReportMs = World.nowMs() + Math.round(world.leaseS * 500);
                changed();
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Net.Answer handle(String method, String target, byte[] body) {
        synchronized (world) {
            if (gone) {
                return new Net.Answer(0, null);
            }
            advance();
            if (target.equals("/show")) {
                return new Net.Answer(200, report());
            }
            Map<String, Object> fields = (Map<String, Object>) Pack.decode(body);
            if (Pack.jsonSize(fields) > 64 * 1024) {
                world.record("direct command to " + name + " of " + Pack.jsonSize(fields) + " bytes in JSON refused");
                return new Net.Answer(413, Map.of());
            }
            if (fields.get("baton") == null || fields.get("tenure") == null) {
                return new Net.Answer(400, Map.of());
            }
            long token = ((Number) fields.get("baton")).longValue();
            if (token < baton || ((Number) fields.get("tenure")).longValue() != tenure) {
                return new Net.Answer(409, report());
            }
            accept(token);
            execute((List<Map<String, Object>>) fields.getOrDefault("orders", List.of()));
            return new Net.Answer(200, report());
        }
    }

    private void execute(List<Map<String, Object>> orders) {
        for (Map<String, Object> order : orders) {
            String key = (String) order.get("piece");
            long attempt = ((Number) order.get("try")).longValue();
            String id = key + "#" + attempt;
            Task task = tasks.get(id);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) {
                        tasks.put(id, start(key, attempt));
                    }
                }
                case "stop" -> {
                    if (task != null && !task.exited()) {
                        exit(task, "halted");
                    }
                }
                case "reap" -> {
                    if (task != null && task.exited()) {
                        tasks.remove(id);
                    }
                }
                default -> throw new IllegalArgumentException("verb " + order);
            }
        }
        if (!orders.isEmpty()) {
            changed();
        }
    }

    private Task start(String key, long attempt) {
        Task task = new Task(key, attempt);
        World.Job job = world.jobs.get(task.job());
        if (job == null) {
            task.stage = "exited";
            task.cause = "no_such";
            return task;
        }
        double[] free = {build.cores() - job.cores, build.cards() - job.cards, build.memoryGb() - job.memoryGb};
        for (Task other : tasks.values()) {
            if (!other.exited()) {
                if (other.key.equals(key)) {
                    task.stage = "exited";
                    task.cause = "in_use";
                    return task;
                }
                World.Job otherJob = world.jobs.get(other.job());
                free[0] -= otherJob.cores;
                free[1] -= otherJob.cards;
                free[2] -= otherJob.memoryGb;
            }
        }
        if (free[0] < -1e-6 || free[1] < -1e-6 || free[2] < -1e-6) {
            task.stage = "exited";
            task.cause = "full";
            return task;
        }
        long fetchMs = images.contains(job.bundle) ? 50 : Math.round(job.sizeGb / build.fetchGbPerS() * 1000);
        task.endsMs = World.nowMs() + fetchMs;
        return task;
    }

    /** The task has its image: it is on its machine from now on. */
    private void begin(Task task) {
        World.Job job = world.jobs.get(task.job());
        images.add(job.bundle);
        task.on = true;
        world.onStarted(this, task);
        if (job.results.contains(task.key)) {
            exit(task, "done");
        } else if (job.shape.equals("gang") && job.pieces > 1) {
            task.stage = "waiting";
            task.endsMs = World.nowMs() + Math.round(world.gangWaitS * 1000);
            job.gangWaits(task);
        } else {
            run(task, job);
        }
        changed();
    }

    void run(Task task, World.Job job) {
        task.stage = "running";
        task.endsMs = job.shape.equals("standing") ? 0 : World.nowMs() + Math.round(job.runS * 1000);
        job.everRan.add(task.key);
        changed();
    }

    void exit(Task task, String cause) {
        leave(task, cause);
        task.stage = "exited";
        task.cause = cause;
        task.endsMs = 0;
        if (cause.equals("done")) {
            World.Job job = world.jobs.get(task.job());
            job.results.add(task.key);
        }
        changed();
    }

    private void leave(Task task, String why) {
        if (task.on) {
            task.on = false;
            world.onLeft(this, task, why);
        }
    }

    private void advance() {
        long now = World.nowMs();
        if (now - leaseFromMs > Math.round(world.leaseS * 1000)) {
            leasesOver++;
            world.record("lease of " + name + " over, tenure " + tenure + " ends with " + tasks.size() + " tasks");
            for (Task task : tasks.values()) {
                leave(task, "lease over");
            }
            tasks.clear();
            tenure++;
            leaseFromMs = now;
            changed();
        }
        for (Task task : List.copyOf(tasks.values())) {
            if (task.exited() || task.endsMs == 0 || now < task.endsMs) {
                continue;
            }
            switch (task.stage) {
                case "fetching" -> begin(task);
                case "waiting" -> exit(task, "incomplete");
                case "running" -> exit(task, "done");
                default -> throw new IllegalStateException(task.stage);
            }
        }
    }
}
