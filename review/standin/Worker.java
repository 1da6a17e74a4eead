package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The worker of one machine, as the protocol describes it. */
final class Worker {
    static final class Task {
        final String piece;
        final long attempt;
        final boolean isGang;
        String stage = "fetching";
        String cause;
        boolean kept;
        long untilMs;

        Task(String piece, long attempt, boolean isGang) {
            this.piece = piece;
            this.attempt = attempt;
            this.isGang = isGang;
        }

        boolean exited() {
            return stage.equals("exited");
        }
    }

    private static final long RESPONSE_TIMEOUT_MS = 4_000;

    final String name;
    final String zone;
    final boolean spot;
    final String build;
    final double[] size;
    String address;

    private final Deployment deployment;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Long> cachedBundles = new LinkedHashMap<>();
    private Net.Client client = new Net.Client();
    private long tenure = 1;
    private long tick;
    private long baton;
    private long leaseFromMs = Net.now();
    private long nextReportMs = Net.now();
    private long lastReportMs;
    private long nextTokenChangeMs;
    private int controller;

    /** Every task that starts fails. */
    volatile boolean sick;
    /** No packet leaves or reaches the machine, since this time; 0: it is connected. */
    volatile long cutSinceMs;
    /** The worker reaches no controller, while requests to it arrive. */
    volatile boolean mute;
    volatile boolean gone;
    /** When the cloud takes the machine back; 0: no notice. */
    private long recallAtMs;

    Worker(Deployment deployment, String name, String zone, boolean spot, String build, double[] size) throws IOException {
        this.deployment = deployment;
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        this.build = build;
        this.size = size;
        random = new Random(name.hashCode());
        controller = random.nextInt(deployment.count());
        address = Net.serve(this::handle);
        Net.start("worker-" + name, this::reportLoop);
        Record.line("machine %s is up in %s", name, zone);
    }

    /** The machine has an image from earlier work. */
    synchronized void cache(String bundle) {
        cachedBundles.put(bundle, Net.now());
    }

    /** The cloud takes the machine back after this time, and says so. */
    synchronized void recall(long noticeMs) {
        Record.line("TROUBLE begins: machine %s gets the notice that it is taken back in %.0f s", name, noticeMs / 1000.0);
        recallAtMs = Net.now() + noticeMs;
        reportSoon();
    }

    // ---- requests from controllers

    private Net.Reply handle(String method, String target, Map<String, Object> body) {
        if (gone || cutSinceMs > 0) {
            // A machine behind a cut says nothing; the connection is reset when the caller has given up.
            Net.sleep(8_000);
            return null;
        }
        synchronized (this) {
            advance(Net.now());
            if (target.equals("/show")) {
                return new Net.Reply(200, report());
            }
            if (body.get("baton") == null || body.get("tenure") == null) {
                return new Net.Reply(400, Map.of("error", "baton or tenure missing"));
            }
            long token = Net.asLong(body.get("baton"), 0);
            if (token < baton || Net.asLong(body.get("tenure"), 0) != tenure) {
                return new Net.Reply(409, report());
            }
            seeToken(token);
            execute(Net.asList(body.get("orders")));
            return new Net.Reply(200, report());
        }
    }

    // ---- reports

    private void reportLoop() {
        while (!gone) {
            Map<String, Object> report = null;
            long sentMs = Net.now();
            synchronized (this) {
                advance(sentMs);
                if (sentMs >= nextReportMs) {
                    report = report();
                    lastReportMs = sentMs;
                    nextReportMs = sentMs + Math.round(deployment.reportS * 1000 * (0.75 + 0.5 * random.nextDouble()));
                }
            }
            if (report != null) {
                send(report, sentMs);
            }
            Net.sleep(15);
        }
    }

    private void send(Map<String, Object> report, long sentMs) {
        if (cutSinceMs > 0 || mute) {
            Net.sleep(RESPONSE_TIMEOUT_MS);
            client.reset();
            tryNext();
            return;
        }
        Net.Reply reply = client.call(deployment.listen(controller), "POST", "/hello", report, RESPONSE_TIMEOUT_MS);
        if (gone) {
            return;
        }
        if (cutSinceMs > 0) {
            // The cut began before the response could arrive.
            reply = new Net.Reply(0, Map.of());
        }
        if (reply.status() == 200) {
            synchronized (this) {
                advance(Net.now());
                long token = Net.asLong(reply.body().get("baton"), -1);
                if (Net.asLong(report.get("tenure"), 0) != tenure || token < baton || Net.now() - sentMs > RESPONSE_TIMEOUT_MS) {
                    return;
                }
                seeToken(token);
                leaseFromMs = Math.max(leaseFromMs, sentMs);
                execute(Net.asList(reply.body().get("orders")));
            }
        } else if (reply.status() == 421) {
            int named = deployment.indexOf((String) reply.body().get("usher"));
            if (named < 0 || named == controller) {
                tryNext();
            } else {
                controller = named;
                client.reset();
                Net.sleep(random.nextInt(500));
                reportSoon();
            }
        } else {
            tryNext();
        }
    }

    private void tryNext() {
        Net.sleep(1_000);
        controller = (controller + 1) % deployment.count();
        synchronized (this) {
            nextReportMs = Net.now();
        }
    }

    private synchronized void reportSoon() {
        nextReportMs = Math.min(nextReportMs, Math.max(Net.now(), lastReportMs + 500));
    }

    private void seeToken(long token) {
        if (token > baton) {
            baton = token;
            if (Net.now() >= nextTokenChangeMs) {
                nextTokenChangeMs = Net.now() + Math.round(deployment.leaseS * 500);
                reportSoon();
            }
        }
    }

    private Map<String, Object> report() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("piece", task.piece);
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
        report.put("address", address);
        report.put("build", build);
        report.put("grove", zone);
        report.put("loaners", spot);
        report.put("tenure", tenure);
        report.put("tick", ++tick);
        report.put("baton", baton);
        report.put("recall_s", recallAtMs == 0 ? null : Math.max(0, recallAtMs - Net.now()) / 1000.0);
        report.put("pieces", pieces);
        return report;
    }

    // ---- tasks

    synchronized List<Task> tasksSnapshot() {
        advance(Net.now());
        return gone ? List.of() : new ArrayList<>(tasks.values());
    }

    /** For how long the machine can't be seen by others, in ms. */
    long unseenByMatesMs(long now) {
        long since = cutSinceMs;
        return gone ? Long.MAX_VALUE : since == 0 ? 0 : now - since;
    }

    /** The machine ends with all that is on it. */
    synchronized void end(String why) {
        if (!gone) {
            gone = true;
            tasks.values().forEach(task -> {
                if (!task.exited()) {
                    leave(task, why);
                }
            });
            Record.line("machine %s: %s", name, why);
        }
    }

    /** What the machine's tasks leave of it: cpus, gpus, memory. */
    synchronized double[] free() {
        double[] free = size.clone();
        for (Task task : tasks.values()) {
            if (!task.exited()) {
                subtract(free, task.piece);
            }
        }
        return free;
    }

    private void subtract(double[] free, String piece) {
        Jobs.Spec spec = deployment.jobs.spec(Jobs.jobOf(piece));
        free[0] -= spec.amount("cores");
        free[1] -= spec.amount("cards");
        free[2] -= spec.amount("memory_gb");
    }

    private void advance(long now) {
        if (gone) {
            return;
        }
        if (recallAtMs > 0 && now >= recallAtMs) {
            deployment.taken(name);
            end("taken back");
            return;
        }
        if (now - leaseFromMs > Math.round(deployment.leaseS * 1000)) {
            Record.line("machine %s: its worker's lease is over, %d tasks killed and forgotten", name, tasks.size());
            tasks.values().forEach(task -> {
                if (!task.exited()) {
                    leave(task, "killed");
                }
            });
            tasks.clear();
            tenure++;
            leaseFromMs = now;
            reportSoon();
        }
        for (Task task : List.copyOf(tasks.values())) {
            if (task.stage.equals("fetching") && now >= task.untilMs) {
                begin(task, now);
            } else if (task.stage.equals("running") && !task.isGang && now >= task.untilMs) {
                deployment.jobs.completes(task.piece);
                exit(task, "done");
            } else if (task.stage.equals("waiting") && now >= task.untilMs) {
                exit(task, "incomplete");
            } else if (task.stage.equals("flushing") && now >= task.untilMs) {
                task.kept = true;
                exit(task, "halted");
            }
        }
    }

    private void begin(Task task, long now) {
        Jobs.Spec spec = deployment.jobs.spec(Jobs.jobOf(task.piece));
        cachedBundles.put((String) spec.submission().get("bundle"), now);
        if (deployment.jobs.isDone(task.piece)) {
            Record.line("%s try %d on %s: done before, result kept", task.piece, task.attempt, name);
            exit(task, "done");
            return;
        }
        deployment.taskBegins(this, task);
        if (sick) {
            exit(task, "error");
        } else if (task.isGang) {
            task.stage = "waiting";
            task.untilMs = now + Math.round(deployment.gangWaitS * 1000);
            reportSoon();
        } else {
            task.stage = "running";
            task.untilMs = spec.shape().equals("standing") ? Long.MAX_VALUE : now + Math.round(spec.runS() * 1000);
            reportSoon();
        }
    }

    private void exit(Task task, String cause) {
        task.stage = "exited";
        task.cause = cause;
        leave(task, cause);
        reportSoon();
    }

    private void leave(Task task, String why) {
        deployment.jobs.leaves(task.piece, name);
        if (!task.isGang || deployment.jobs.spec(Jobs.jobOf(task.piece)).pieces() < 10) {
            Record.line("%s try %d leaves %s: %s", task.piece, task.attempt, name, why);
        }
    }

    synchronized void gangRuns(String piece, long attempt) {
        Task task = tasks.get(piece + "#" + attempt);
        if (task != null && task.stage.equals("waiting")) {
            task.stage = "running";
            reportSoon();
        }
    }

    synchronized void gangEnds(String piece, long attempt, String cause) {
        Task task = tasks.get(piece + "#" + attempt);
        if (task != null && !task.exited()) {
            exit(task, cause);
        }
    }

    private void execute(List<Object> orders) {
        for (Object item : orders) {
            Map<String, Object> order = Net.asMap(item);
            String piece = (String) order.get("piece");
            long attempt = Net.asLong(order.get("try"), 0);
            String key = piece + "#" + attempt;
            Task task = tasks.get(key);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) {
                        start(piece, attempt, key);
                    }
                }
                case "stop" -> {
                    if (task == null || task.exited()) {
                        break;
                    }
                    double windDownS = Net.asDouble(order.get("wind_down_s"), 0);
                    Jobs.Spec spec = deployment.jobs.spec(Jobs.jobOf(piece));
                    double saveS = spec.amount("mark_take_s");
                    if (task.stage.equals("running") && spec.amount("mark_every_s") > 0 && windDownS >= saveS) {
                        task.stage = "flushing";
                        task.untilMs = Net.now() + Math.round(saveS * 1000);
                        reportSoon();
                    } else if (!task.stage.equals("flushing") || windDownS == 0) {
                        exit(task, "halted");
                    }
                }
                case "reap" -> {
                    if (task != null && task.exited()) {
                        tasks.remove(key);
                    }
                }
                default -> throw new IllegalStateException("unknown order " + order);
            }
        }
    }

    private void start(String piece, long attempt, String key) {
        Jobs.Spec spec = deployment.jobs.spec(Jobs.jobOf(piece));
        Task task = new Task(piece, attempt, spec != null && spec.shape().equals("gang"));
        tasks.put(key, task);
        deployment.orderedToStart(this, piece, attempt);
        if (spec == null) {
            task.stage = "exited";
            task.cause = "no_such";
            return;
        }
        double[] free = free();
        for (Task other : tasks.values()) {
            if (other != task && other.piece.equals(piece) && !other.exited()) {
                task.cause = "in_use";
            }
        }
        if (task.cause == null && (free[0] < -1e-6 || free[1] < -1e-6 || free[2] < -1e-6)) {
            task.cause = "full";
        }
        if (task.cause != null) {
            task.stage = "exited";
            Record.line("%s try %d refused by %s: %s", piece, attempt, name, task.cause);
            reportSoon();
            return;
        }
        boolean cached = cachedBundles.containsKey((String) spec.submission().get("bundle"));
        task.untilMs = Net.now() + (cached ? 50 : Math.round(spec.amount("size_gb") / deployment.fetchGbPerS * 1000));
        reportSoon();
    }
}
