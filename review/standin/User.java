package standin;

import java.util.LinkedHashMap;
import java.util.Map;

/** A user: submits, polls and cancels through whichever controller answers. */
final class User {
    private final Deployment deployment;
    private final Net.Client client = new Net.Client();
    private int controller;

    User(Deployment deployment) {
        this.deployment = deployment;
    }

    /** A submission with all fields; the caller changes what it wants. */
    static Map<String, Object> job(String id, String lane, String crew, String shape, String rank, int pieces) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("name_id", id);
        job.put("lane", lane);
        job.put("crew", crew);
        job.put("shape", shape);
        job.put("rank", rank);
        job.put("pieces", pieces);
        job.put("cores", 1.0);
        job.put("cards", 0.0);
        job.put("memory_gb", 1.0);
        job.put("bundle", "img-" + lane);
        job.put("size_gb", 1.0);
        job.put("builds", null);
        job.put("grove", null);
        job.put("one_zone", false);
        job.put("scatter", false);
        job.put("loaners", false);
        job.put("expect_s", 0.0);
        job.put("mark_every_s", 0.0);
        job.put("mark_take_s", 0.0);
        job.put("due_s", null);
        return job;
    }

    /** Submits until it is accepted or refused for good, for 60 s; returns the last status. */
    int submit(Jobs.Spec spec) {
        deployment.jobs.upload(spec);
        long endMs = Net.now() + 60_000;
        int status = 0;
        while (Net.now() < endMs) {
            Net.Reply reply = client.call(deployment.listen(controller), "POST", "/v2/runs", spec.submission(), 5_000);
            status = reply.status();
            Record.line("submission of %s at %s: %d %s", spec.id(), Deployment.member(controller), status, reply.body());
            if (status == 200 || status == 201 || status == 400 || status == 422) {
                return status;
            }
            controller = (controller + 1) % deployment.count();
            Net.sleep(Math.max(1_000, reply.retryAfterS() * 1_000L));
        }
        return status;
    }

    /** One poll; returns the stage, "unknown" for 404, or null if there was no answer. */
    String poll(String id) {
        return poll(id, controller);
    }

    String poll(String id, int at) {
        Net.Reply reply = client.call(deployment.listen(at), "GET", "/v2/runs/" + id, null, 2_000);
        Record.line("poll of %s at %s: %d %s", id, Deployment.member(at), reply.status(), reply.body());
        if (reply.status() == 200) {
            return (String) reply.body().get("stage");
        }
        controller = (at + 1) % deployment.count();
        return reply.status() == 404 ? "unknown" : null;
    }

    /** Cancels until the answer is 200, for 60 s; returns the stage, or null. */
    String cancel(String id) {
        long endMs = Net.now() + 60_000;
        while (Net.now() < endMs) {
            Net.Reply reply = client.call(
                    deployment.listen(controller), "POST", "/v2/runs/" + id + "/withdraw", Map.of(), 5_000);
            Record.line("cancellation of %s at %s: %d %s", id, Deployment.member(controller), reply.status(), reply.body());
            if (reply.status() == 200) {
                return (String) reply.body().get("stage");
            }
            controller = (controller + 1) % deployment.count();
            Net.sleep(Math.max(1_000, reply.retryAfterS() * 1_000L));
        }
        return null;
    }
}
