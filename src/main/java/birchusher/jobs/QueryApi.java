package birchusher.jobs;

import birchusher.core.Effects;
import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.http.Target;
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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * What people ask beside the published paths: lists of jobs, one job in full, the teams. Like polls, all is answered from a view
 * that is as new as the question, so nothing here is older than what was answered before. Everything is paged.
 */
public final class QueryApi {
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

    private void withFreshView(long exchange, Runnable then) {
        boolean asked = store.whenUpToDate(ok -> {
            if (ok) {
                then.run();
            } else {
                effects.refuseWithRetry(exchange, 503, 2);
            }
        });
        if (!asked) {
            effects.refuseWithRetry(exchange, 503, 2);
        }
    }

    private static int pageLimit(Target t, int most) throws Target.Bad {
        long n = t.count(Wire.LIMIT, most);
        if (n < 1 || n > most) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + most);
        }
        return (int) n;
    }

    /**
     * {@code GET /v2/runs?stage=&crew=&lane=&since=&page=}: jobs by their ids, after {@code since}, at most 200:
     * {@code {"runs":[{"name_id","stage","done","running","crew","lane"}],"has_next":true}}. Ended jobs are listed only if their
     * stage is asked for, and keep neither team nor class.
     */
    public void list(long exchange, Target t) throws Target.Bad {
        String stage = t.text(Wire.STATE, null);
        String team = t.text(Wire.TEAM, null);
        String cls = t.text(Wire.CLASS, null);
        String after = t.text(Wire.AFTER, "");
        int most = pageLimit(t, MAX_JOBS_PER_PAGE);
        if (stage != null
                && !List.of(Wire.QUEUED, Wire.RUNNING, Wire.DONE, Wire.CANCELLED)
                        .contains(stage)) {
            throw new InvalidInputException(Wire.STATE + ": queued, running, done or cancelled");
        }
        boolean ended = Wire.DONE.equals(stage) || Wire.CANCELLED.equals(stage);
        if (ended && (team != null || cls != null)) {
            throw new InvalidInputException(Wire.TEAM + ", " + Wire.CLASS + ": not kept of ended jobs");
        }
        Predicate<Job> wanted = j -> j.spec.id().compareTo(after) > 0
                && (team == null || team.equals(catalog.teams.name(j.spec.team())))
                && (cls == null || cls.equals(catalog.classes.name(j.spec.jobClass())));
        withFreshView(exchange, () -> {
            TreeMap<String, Map<String, Object>> rows = liveJobs(wanted, stage);
            if (ended) {
                addArchivedJobs(exchange, rows, stage, after, most);
            } else {
                sendPage(exchange, rows, most, false);
            }
        });
    }

    private TreeMap<String, Map<String, Object>> liveJobs(Predicate<Job> wanted, String stage) {
        TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
        for (Job j : view.jobs()) {
            if (!wanted.test(j)) {
                continue;
            }
            Map<String, Object> m = new LinkedHashMap<>(jobApi.currentState(j));
            if (stage == null || stage.equals(m.get(Wire.STATE))) {
                m.put(Wire.TEAM, catalog.teams.name(j.spec.team()));
                m.put(Wire.CLASS, catalog.classes.name(j.spec.jobClass()));
                rows.put(j.spec.id(), m);
            }
        }
        return rows;
    }

    /** Adds a page of the jobs that were put away; what is live and behind that page has to wait for a later one. */
    private void addArchivedJobs(
            long exchange, TreeMap<String, Map<String, Object>> rows, String stage, String after, int most) {
        boolean sent =
                store.readPage(Keys.ENDED_JOB, after.isEmpty() ? "" : Keys.ENDED_JOB + after, most, (status, m) -> {
                    if (status != 200) {
                        effects.refuseWithRetry(exchange, 503, 2);
                        return;
                    }
                    boolean more = Boolean.TRUE.equals(m.get(Wire.MORE));
                    String last = "";
                    for (Object o : Fields.list(m, Wire.ITEMS)) {
                        Map<String, Object> row = Fields.map(o, "row");
                        last = Fields.text(row, Wire.KEY).substring(Keys.ENDED_JOB.length());
                        Map<String, Object> told = JobApi.endedBody(
                                last, StoreView.readEndedJob(Fields.map(row.get(Wire.VALUE), "value")));
                        if (stage.equals(told.get(Wire.STATE))) {
                            rows.put(last, told);
                        }
                    }
                    if (more) {
                        rows.tailMap(last, false).clear();
                        // A page may hold none of that stage: its last id says where to go on.
                        rows.putIfAbsent(last, Map.of());
                    }
                    sendPage(exchange, rows, most, more);
                });
        if (!sent) {
            effects.refuseWithRetry(exchange, 503, 1);
        }
    }

    private void sendPage(long exchange, TreeMap<String, Map<String, Object>> rows, int most, boolean more) {
        List<Object> l = new ArrayList<>();
        String last = "";
        for (Map.Entry<String, Map<String, Object>> e : rows.entrySet()) {
            if (l.size() == most) {
                break;
            }
            last = e.getKey();
            if (!e.getValue().isEmpty()) {
                l.add(e.getValue());
            }
        }
        effects.answer(exchange, 200, Map.of("runs", l, Wire.MORE, more || rows.higherKey(last) != null, "last", last));
    }

    /**
     * {@code GET /v2/runs/{id}/describe?since=&page=}: a job with its description and the tasks that have a machine, by their
     * index from {@code since} on, at most 500, and its last 50 events. Of a job that was put away, only its final state is kept.
     */
    public void describe(long exchange, String id, Target t) throws Target.Bad {
        long from = t.count(Wire.AFTER, 0);
        int most = pageLimit(t, MAX_TASKS_PER_PAGE);
        withFreshView(exchange, () -> {
            Job j = view.job(id);
            if (j == null) {
                // The same answer as to a poll, looked up in the same way.
                jobApi.poll(exchange, id);
                return;
            }
            Map<String, Object> m = new HashMap<>(jobApi.currentState(j));
            m.put("job", codec.write(j.spec));
            m.put("accepted_ms", j.acceptedAtMs);
            m.put("attempts", j.lastAttempt());
            List<Object> tasks = new ArrayList<>();
            int i = (int) Math.min(from, j.spec.tasks());
            for (; i < j.spec.tasks() && tasks.size() < most; i++) {
                Claim c = j.claim(i);
                if (c != null) {
                    tasks.add(Map.of(
                            "index",
                            i,
                            Wire.ATTEMPT,
                            c.attempt(),
                            Wire.MACHINE,
                            c.machine(),
                            "held_s",
                            Math.max(0, effects.now() - c.seenAtMs()) / 1000.0));
                }
            }
            m.put("pieces", tasks);
            m.put("events", events.latestOf(effects.now(), id));
            m.put("next", i);
            m.put(Wire.MORE, i < j.spec.tasks());
            effects.answer(exchange, 200, m);
        });
    }

    /** {@code GET /v2/teams}: what each team uses, is guaranteed and may use at most (0: no limit). */
    public void teams(long exchange, Collection<Settings.Team> teams) {
        withFreshView(exchange, () -> {
            List<Object> l = new ArrayList<>();
            for (Settings.Team t : teams) {
                int i = catalog.teams.find(t.name());
                l.add(Map.of(
                        Wire.TEAM,
                        t.name(),
                        "cpus_used",
                        view.claimedCpus(i),
                        "cpus",
                        t.cpus(),
                        "cpus_max",
                        t.cpusMax(),
                        "gpus_used",
                        view.claimedGpus(i),
                        "gpus",
                        t.gpus(),
                        "gpus_max",
                        t.gpusMax()));
            }
            effects.answer(exchange, 200, Map.of("teams", l));
        });
    }
}
