package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.RequestTarget;
import birchusher.jobs.JobAnswers.Request;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Answers the queries of users beyond the published paths: lists of jobs, one job in full, and the teams. As with
 * polls, all answers come from a view that is at least as new as the query, so nothing in them is older than an
 * earlier answer. All lists of jobs and tasks are paged.
 *
 * <p>Not thread-safe: all calls run on the controller's event loop. {@code exchange} identifies the request to
 * answer.
 */
public final class QueryApi {
    /** Retry-After when a queue is full or the state service did not answer as needed. */
    private static final int LONG_RETRY_AFTER_S = 2;
    /** Retry-After in other cases. */
    private static final int RETRY_AFTER_S = 1;

    private static final int MAX_JOBS_PER_PAGE = 200;
    private static final int MAX_TASKS_PER_PAGE = 500;

    private final Effects effects;
    private final Catalog catalog;
    private final JobCodec codec;
    private final StoreView view;
    private final StoreClient store;
    private final JobApi jobApi;
    private final TaskEvents events;

    public QueryApi(
            Effects effects,
            Catalog catalog,
            JobCodec codec,
            StoreView view,
            StoreClient store,
            JobApi jobApi,
            TaskEvents events) {
        this.effects = effects;
        this.catalog = catalog;
        this.codec = codec;
        this.view = view;
        this.store = store;
        this.jobApi = jobApi;
        this.events = events;
    }

    private void withFreshView(long exchange, Runnable answer) {
        boolean queued = store.whenUpToDate(ok -> {
            if (ok) {
                answer.run();
            } else {
                effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
            }
        });
        if (!queued) {
            effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
        }
    }

    private static int pageLimit(RequestTarget target, int maxLimit) throws RequestTarget.InvalidTargetException {
        long limit = target.count(Wire.LIMIT, maxLimit);
        if (limit < 1 || limit > maxLimit) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + maxLimit);
        }
        return (int) limit;
    }

    /**
     * {@code GET /v2/runs?stage=&crew=&lane=&since=&page=}: jobs ordered by id, after {@code since}, at most 200:
     * {@code {"runs":[{"name_id","stage","done","running","crew","lane"}],"has_next":true}}. Ended jobs are listed
     * only if their stage is requested, and have neither team nor class.
     */
    public void list(long exchange, RequestTarget target) throws RequestTarget.InvalidTargetException {
        String state = target.text(Wire.STATE, null);
        String team = target.text(Wire.TEAM, null);
        String jobClass = target.text(Wire.JOB_CLASS, null);
        String after = target.text(Wire.AFTER, "");
        int limit = pageLimit(target, MAX_JOBS_PER_PAGE);
        if (state != null
                && !List.of(Wire.QUEUED, Wire.RUNNING, Wire.DONE, Wire.CANCELLED)
                        .contains(state)) {
            throw new InvalidInputException(Wire.STATE + ": queued, running, done or cancelled");
        }
        boolean ended = Wire.DONE.equals(state) || Wire.CANCELLED.equals(state);
        if (ended && (team != null || jobClass != null)) {
            throw new InvalidInputException(Wire.TEAM + ", " + Wire.JOB_CLASS + ": not kept of ended jobs");
        }
        Predicate<Job> filter = job -> job.spec.id().compareTo(after) > 0
                && (team == null || team.equals(catalog.teams.name(job.spec.team())))
                && (jobClass == null || jobClass.equals(catalog.classes.name(job.spec.jobClass())));
        withFreshView(exchange, () -> {
            TreeMap<String, Map<String, Object>> rows = liveJobs(exchange, filter, state);
            if (rows == null) {
                return;
            }
            if (ended) {
                addEndedJobs(exchange, rows, state, after, limit);
            } else {
                sendPage(exchange, rows, limit, false);
            }
        });
    }

    /** Returns the rows of the jobs in the view, by id; refuses the request and returns null if the state of one can't be told now. */
    private TreeMap<String, Map<String, Object>> liveJobs(long exchange, Predicate<Job> filter, String state) {
        TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
        for (Job job : view.jobs()) {
            if (!filter.test(job)) {
                continue;
            }
            JobStatus status = jobApi.statuses().currentStatus(job.spec.id());
            if (status.hasState() && state != null && !state.equals(status.wireState())) {
                continue;
            }
            if (!jobApi.answers().mayTell(exchange, Request.LIST, job.spec.id(), status)) {
                return null;
            }
            Map<String, Object> body = status.toBody(job.spec.id());
            body.put(Wire.TEAM, catalog.teams.name(job.spec.team()));
            body.put(Wire.JOB_CLASS, catalog.classes.name(job.spec.jobClass()));
            rows.put(job.spec.id(), body);
        }
        return rows;
    }

    /**
     * Adds a page of ended jobs and answers. Live jobs whose ids follow the last one of that page are left to a
     * later page.
     */
    private void addEndedJobs(
            long exchange, TreeMap<String, Map<String, Object>> rows, String state, String after, int limit) {
        boolean sent = store.readPage(
                Keys.ENDED_JOB, after.isEmpty() ? "" : Keys.ENDED_JOB + after, limit, (status, reply) -> {
                    if (status != 200) {
                        effects.refuseWithRetry(exchange, 503, LONG_RETRY_AFTER_S);
                        return;
                    }
                    boolean hasMore = Boolean.TRUE.equals(reply.get(Wire.HAS_MORE));
                    String lastId = "";
                    for (Object entry : Fields.list(reply, Wire.ROWS)) {
                        Map<String, Object> row = Fields.map(entry, "row");
                        lastId = Fields.text(row, Wire.KEY).substring(Keys.ENDED_JOB.length());
                        JobStatus stored =
                                JobStatus.ofEnded(StoreView.readEndedJob(Fields.map(row.get(Wire.VALUE), "value")));
                        if (!state.equals(stored.wireState())) {
                            continue;
                        }
                        if (!jobApi.answers().mayTell(exchange, Request.LIST, lastId, stored)) {
                            return;
                        }
                        rows.put(lastId, stored.toBody(lastId));
                    }
                    if (hasMore) {
                        rows.tailMap(lastId, false).clear();
                        // The page may contain no job of the requested state; the next page continues after its last
                        // id.
                        rows.putIfAbsent(lastId, Map.of());
                    }
                    sendPage(exchange, rows, limit, hasMore);
                });
        if (!sent) {
            effects.refuseWithRetry(exchange, 503, RETRY_AFTER_S);
        }
    }

    private void sendPage(long exchange, TreeMap<String, Map<String, Object>> rows, int limit, boolean hasMore) {
        List<Object> page = new ArrayList<>();
        String lastId = "";
        for (Map.Entry<String, Map<String, Object>> entry : rows.entrySet()) {
            if (page.size() == limit) {
                break;
            }
            lastId = entry.getKey();
            if (!entry.getValue().isEmpty()) {
                page.add(entry.getValue());
            }
        }
        effects.answer(
                exchange,
                200,
                Map.of("runs", page, Wire.HAS_MORE, hasMore || rows.higherKey(lastId) != null, "last", lastId));
    }

    /**
     * {@code GET /v2/runs/{id}/describe?since=&page=}: a job with its description, the tasks that have a machine,
     * ordered by index from {@code since} on, at most 500, and its last 50 events. Of an ended job, only the final
     * state is kept.
     */
    public void describe(long exchange, String id, RequestTarget target) throws RequestTarget.InvalidTargetException {
        long from = target.count(Wire.AFTER, 0);
        int limit = pageLimit(target, MAX_TASKS_PER_PAGE);
        withFreshView(exchange, () -> {
            Job job = view.job(id);
            if (job == null) {
                // Answered like a poll, which also looks up ended jobs.
                jobApi.poll(exchange, id);
                return;
            }
            JobStatus status = jobApi.statuses().currentStatus(id);
            if (!jobApi.answers().mayTell(exchange, Request.DESCRIBE, id, status)) {
                return;
            }
            Map<String, Object> body = status.toBody(id);
            body.put("job", codec.encode(job.spec));
            body.put("accepted_ms", job.acceptedAtMs);
            body.put("attempts", job.lastAttempt());
            List<Object> tasks = new ArrayList<>();
            int index = (int) Math.min(from, job.spec.tasks());
            for (; index < job.spec.tasks() && tasks.size() < limit; index++) {
                Claim claim = job.claim(index);
                if (claim != null) {
                    tasks.add(Map.of(
                            "index",
                            index,
                            Wire.ATTEMPT,
                            claim.attempt(),
                            Wire.MACHINE,
                            claim.machine(),
                            "held_s",
                            Math.max(0, effects.now() - claim.seenAtMs()) / 1000.0));
                }
            }
            body.put("pieces", tasks);
            body.put("events", events.latestOf(effects.now(), id));
            body.put("next", index);
            body.put(Wire.HAS_MORE, index < job.spec.tasks());
            effects.answer(exchange, 200, body);
        });
    }

    /** {@code GET /v2/teams}: what each team uses, is guaranteed and may use at most (0: no limit). */
    public void teams(long exchange, Collection<Settings.Team> teams) {
        withFreshView(exchange, () -> {
            List<Object> rows = new ArrayList<>();
            for (Settings.Team team : teams) {
                int teamIndex = catalog.teams.find(team.name());
                rows.add(Map.of(
                        Wire.TEAM,
                        team.name(),
                        "cpus_used",
                        view.claimedCpus(teamIndex),
                        "cpus",
                        team.cpus(),
                        "cpus_max",
                        team.cpusMax(),
                        "gpus_used",
                        view.claimedGpus(teamIndex),
                        "gpus",
                        team.gpus(),
                        "gpus_max",
                        team.gpusMax()));
            }
            effects.answer(exchange, 200, Map.of("teams", rows));
        });
    }
}
