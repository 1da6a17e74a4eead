package birchusher.placement;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.core.Fields;
import birchusher.model.Catalog;
import birchusher.settings.SettingsReader;
import birchusher.store.Chunk;
import birchusher.store.Claim;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.store.Transaction;
import birchusher.wire.JobCodec;
import birchusher.wire.MessagePackCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers with stale views, transactions without a response and restarts: together they never claim more than the
 * team's limit, and far below it they claim without writing the quota row each time.
 */
class QuotasTest {
    private static final int GPU_LIMIT = 150;
    private static final String SETTINGS =
            birchusher.TestJobs.SETTINGS.replace("\"gpus_max\":8", "\"gpus_max\":" + GPU_LIMIT);
    /** By key: the encoded value and the revision of its last write. */
    private final TreeMap<String, Object[]> rows = new TreeMap<>();
    /** Key, encoded value and revision of each write. */
    private final List<Object[]> changes = new ArrayList<>();

    private long revision = 1;
    private int quotaRowWrites;
    private int claimCount;

    /** A simulated controller with a view of its own, which lags until it reads the changes. */
    private final class Controller {
        Catalog catalog;
        StoreView view;
        Quotas quotas;
        int changesRead;

        Controller() {
            restart();
        }

        void restart() {
            catalog = new Catalog(SettingsReader.read(SETTINGS.getBytes(StandardCharsets.UTF_8)));
            view = new StoreView(catalog, new JobCodec(catalog));
            quotas = new Quotas(catalog, view, 3);
            rows.forEach((key, row) -> view.put(key, decode(row[0]), (Long) row[1]));
            view.appliedRevision(revision);
            changesRead = changes.size();
        }

        void readChanges(int transactions) {
            for (int i = 0; i < transactions && changesRead < changes.size(); i++) {
                // A watch delivers whole transactions only.
                long changeRevision = (Long) changes.get(changesRead)[2];
                while (changesRead < changes.size() && (Long) changes.get(changesRead)[2] == changeRevision) {
                    Object[] change = changes.get(changesRead++);
                    view.put((String) change[0], decode(change[1]), changeRevision);
                }
                view.appliedRevision(changeRevision);
            }
        }

        /**
         * Claims up to {@code count} unclaimed tasks of a job. Returns whether the transaction was applied; without
         * {@code answered} its response is lost.
         */
        boolean claim(String id, int count, boolean answered) {
            Job job = view.job(id);
            List<Integer> free = new ArrayList<>();
            for (int task = 0; task < job.spec.tasks() && free.size() < count; task++) {
                if (job.claim(task) == null) {
                    free.add(task);
                }
            }
            Transaction tx = new Transaction(view);
            Quotas.Decision decision = free.isEmpty()
                    ? Quotas.Decision.REFUSED
                    : quotas.tryClaim(tx, job.spec.team(), free.size(), 0, free.size());
            if (decision == Quotas.Decision.REFUSED) {
                return false;
            }
            if (decision == Quotas.Decision.GRANTED) {
                Chunk chunk = tx.editChunk(job, 0);
                free.forEach(task ->
                        chunk.claims.put((int) task, new Claim(job, task, ++chunk.lastAttempt, "m" + task, 1, 0)));
            }
            long committedRevision = commit(tx);
            if (committedRevision > 0 && answered) {
                tx.applyTo(view, committedRevision);
            } else {
                readChanges(Integer.MAX_VALUE);
            }
            claimCount += committedRevision > 0 && decision == Quotas.Decision.GRANTED ? 1 : 0;
            return committedRevision > 0;
        }

        /** Removes each claim of a job with a probability of one half. */
        void release(String id, Random random) {
            Job job = view.job(id);
            Transaction tx = new Transaction(view);
            Chunk chunk = tx.editChunk(job, 0);
            chunk.claims.values().removeIf(claim -> random.nextBoolean());
            long committedRevision = commit(tx);
            if (committedRevision > 0) {
                tx.applyTo(view, committedRevision);
            }
        }
    }

    private static Map<String, Object> decode(Object packed) {
        return Fields.map(MessagePackCodec.decode((byte[]) packed), "value");
    }

    /** Applies a transaction if its conditions hold. Returns its revision, or 0 if it was rejected. */
    @SuppressWarnings("unchecked")
    private long commit(Transaction tx) {
        Map<String, Object> body = tx.toRequestBody();
        for (Object entry : (List<Object>) body.get("if")) {
            Map<String, Object> condition = (Map<String, Object>) entry;
            Object[] row = rows.get(condition.get("path"));
            if ((row == null ? 0 : (Long) row[1]) != (Long) condition.get("stamp")) {
                return 0;
            }
        }
        revision++;
        for (Object entry : (List<Object>) body.get("writes")) {
            Map<String, Object> write = (Map<String, Object>) entry;
            put((String) write.get("set"), (Map<String, Object>) write.get("value"));
        }
        return revision;
    }

    private void put(String key, Map<String, Object> value) {
        byte[] packed = MessagePackCodec.encode(value);
        rows.put(key, new Object[] {packed, revision});
        changes.add(new Object[] {key, packed, revision});
        quotaRowWrites += key.startsWith(Keys.QUOTA) ? 1 : 0;
    }

    private void createJob(String id) {
        Map<String, Object> fields = birchusher.TestJobs.job();
        fields.put("name_id", id);
        fields.put("pieces", 140L);
        revision++;
        put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 182L, "t", 0L, "j", fields)));
    }

    private double gpusInUse() {
        return new Controller().view.claimedGpus(0);
    }

    private final Controller[] controllers = new Controller[3];

    QuotasTest() {
        for (int i = 0; i < 3; i++) {
            createJob("wk-" + i);
        }
        for (int i = 0; i < 3; i++) {
            controllers[i] = new Controller();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void limitHoldsWithStaleViewsLostResponsesAndRestarts(long seed) {
        Random random = new Random(seed);
        double mostInUse = 0;
        for (int step = 0; step < 3_000; step++) {
            int index = random.nextInt(3);
            Controller controller = controllers[index];
            int action = random.nextInt(20);
            if (action < 7) {
                controller.readChanges(1 + random.nextInt(6));
            } else if (action < 17) {
                controller.claim(
                        "wk-" + index, 1 + random.nextInt(random.nextInt(8) == 0 ? 30 : 5), random.nextInt(8) > 0);
            } else if (action == 17 && random.nextInt(3) == 0) {
                controller.release("wk-" + index, random);
            } else if (action == 18 && random.nextInt(8) == 0) {
                controller.restart();
            }
            double inUse = gpusInUse();
            assertThat(inUse).as("step " + step).isLessThanOrEqualTo(GPU_LIMIT);
            mostInUse = Math.max(mostInUse, inUse);
        }
        assertThat(mostInUse)
                .as("the limit is approached, so the test exercises it")
                .isGreaterThan(GPU_LIMIT - 12);
    }

    @Test
    void claimsFarBelowTheLimitRarelyWriteTheQuotaRow() {
        for (int i = 0; i < 30; i++) {
            assertThat(controllers[i % 3].claim("wk-" + i % 3, 1, true)).isTrue();
            for (Controller controller : controllers) {
                controller.readChanges(Integer.MAX_VALUE);
            }
        }
        assertThat(claimCount).isEqualTo(30);
        assertThat(quotaRowWrites).isLessThan(10);
    }
}
