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
import birchusher.wire.Pack;
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
 * Controllers with views that lag, transactions whose answers get lost and restarts: together they never claim more than the
 * team's limit, and far below it they do so without writing the gate each time.
 */
class QuotasTest {
    private static final int GPU_LIMIT = 150;
    private static final String SETTINGS =
            birchusher.TestJobs.SETTINGS.replace("\"gpus_max\":8", "\"gpus_max\":" + GPU_LIMIT);
    private final TreeMap<String, Object[]> rows = new TreeMap<>();
    private final List<Object[]> changes = new ArrayList<>();
    private long revision = 1;
    private int quotaRowWrites;
    private int claimCount;

    /** One controller's part: its view, its gates and how far it has read. */
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
            rows.forEach((k, r) -> view.put(k, decode(r[0]), (Long) r[1]));
            view.appliedRevision(revision);
            changesRead = changes.size();
        }

        void readChanges(int events) {
            for (int n = 0; n < events && changesRead < changes.size(); n++) {
                // Whole transactions only, as a watch tells them.
                long at = (Long) changes.get(changesRead)[2];
                while (changesRead < changes.size() && (Long) changes.get(changesRead)[2] == at) {
                    Object[] e = changes.get(changesRead++);
                    view.put((String) e[0], decode(e[1]), at);
                }
                view.appliedRevision(at);
            }
        }

        /** True if the claim was made. */
        boolean claim(String id, int n, boolean answered) {
            Job j = view.job(id);
            List<Integer> free = new ArrayList<>();
            for (int t = 0; t < j.spec.tasks() && free.size() < n; t++) {
                if (j.claim(t) == null) {
                    free.add(t);
                }
            }
            Transaction tx = new Transaction(view);
            Quotas.Decision pass = free.isEmpty()
                    ? Quotas.Decision.REFUSED
                    : quotas.tryClaim(tx, j.spec.team(), free.size(), 0, free.size());
            if (pass == Quotas.Decision.REFUSED) {
                return false;
            }
            if (pass == Quotas.Decision.GRANTED) {
                Chunk c = tx.editChunk(j, 0);
                free.forEach(t -> c.claims.put((int) t, new Claim(j, t, ++c.lastAttempt, "m" + t, 1, 0)));
            }
            long rev = commit(tx);
            if (rev > 0 && answered) {
                tx.applyTo(view, rev);
            } else {
                readChanges(Integer.MAX_VALUE);
            }
            claimCount += rev > 0 && pass == Quotas.Decision.GRANTED ? 1 : 0;
            return rev > 0;
        }

        void release(String id, Random r) {
            Job j = view.job(id);
            Transaction tx = new Transaction(view);
            Chunk c = tx.editChunk(j, 0);
            c.claims.values().removeIf(x -> r.nextBoolean());
            long rev = commit(tx);
            if (rev > 0) {
                tx.applyTo(view, rev);
            }
        }
    }

    private static Map<String, Object> decode(Object packed) {
        return Fields.map(Pack.decode((byte[]) packed), "value");
    }

    @SuppressWarnings("unchecked")
    private long commit(Transaction tx) {
        Map<String, Object> body = tx.toRequestBody();
        for (Object o : (List<Object>) body.get("if")) {
            Map<String, Object> c = (Map<String, Object>) o;
            Object[] row = rows.get(c.get("path"));
            if ((row == null ? 0 : (Long) row[1]) != (Long) c.get("stamp")) {
                return 0;
            }
        }
        revision++;
        for (Object o : (List<Object>) body.get("writes")) {
            Map<String, Object> w = (Map<String, Object>) o;
            put((String) w.get("set"), (Map<String, Object>) w.get("value"));
        }
        return revision;
    }

    private void put(String key, Map<String, Object> value) {
        byte[] packed = Pack.encode(value);
        rows.put(key, new Object[] {packed, revision});
        changes.add(new Object[] {key, packed, revision});
        quotaRowWrites += key.startsWith(Keys.QUOTA) ? 1 : 0;
    }

    private void createJob(String id) {
        Map<String, Object> m = birchusher.TestJobs.job();
        m.put("name_id", id);
        m.put("pieces", 140L);
        revision++;
        put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 182L, "t", 0L, "j", m)));
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
        Random r = new Random(seed);
        double most = 0;
        for (int step = 0; step < 3_000; step++) {
            int i = r.nextInt(3);
            Controller m = controllers[i];
            int what = r.nextInt(20);
            if (what < 7) {
                m.readChanges(1 + r.nextInt(6));
            } else if (what < 17) {
                m.claim("wk-" + i, 1 + r.nextInt(r.nextInt(8) == 0 ? 30 : 5), r.nextInt(8) > 0);
            } else if (what == 17 && r.nextInt(3) == 0) {
                m.release("wk-" + i, r);
            } else if (what == 18 && r.nextInt(8) == 0) {
                m.restart();
            }
            double use = gpusInUse();
            assertThat(use).as("step " + step).isLessThanOrEqualTo(GPU_LIMIT);
            most = Math.max(most, use);
        }
        assertThat(most).as("the limit is reached, so it was tried").isGreaterThan(GPU_LIMIT - 12);
    }

    @Test
    void claimsFarBelowTheLimitRarelyWriteTheQuotaRow() {
        for (int n = 0; n < 30; n++) {
            assertThat(controllers[n % 3].claim("wk-" + n % 3, 1, true)).isTrue();
            for (Controller m : controllers) {
                m.readChanges(Integer.MAX_VALUE);
            }
        }
        assertThat(claimCount).isEqualTo(30);
        assertThat(quotaRowWrites).isLessThan(10);
    }
}
