package birchusher.workers;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.TestJobs;
import birchusher.model.Catalog;
import birchusher.settings.SettingsReader;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Seen in the plants' incident: eleven jobs submitted with a mistake made 404 errors, and each left a machine idle for ten seconds. */
class FaultsTest {
    private final Catalog catalog =
            new Catalog(SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8)));
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog));
    private final Faults faults = new Faults();
    private final Machine a = new Machine("a", 0, 10);
    private final Machine b = new Machine("b", 0, 10);
    private long revision;

    private Job job(String id) {
        Map<String, Object> m = TestJobs.job();
        m.putAll(Map.of("name_id", id, "pieces", 4L));
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", m)), ++revision);
        return view.job(id);
    }

    @Test
    void aJobThatFailsOnSeveralMachinesSpeaksAgainstItselfUntilOneOfItsTasksEndsWell() {
        Job bad = job("wk-bad");
        faults.failed(bad, a);
        assertThat(faults.against(a, view::job)).isEqualTo(1);
        assertThat(faults.failed(bad, b)).containsExactlyInAnyOrder("a", "b");
        assertThat(faults.against(a, view::job)).isZero();
        assertThat(faults.against(b, view::job)).isZero();
        view.put(Keys.placement("wk-bad", 0), new HashMap<>(Map.of("a", 3L, "d", "1", "c", "")), ++revision);
        assertThat(bad.doneCount()).as("a task ended well").isEqualTo(1);
        assertThat(faults.against(a, view::job)).isEqualTo(1);
    }

    @Test
    void brokenJobsCondemnNoMachineAndAFaultyMachineIsFoundAmongThem() {
        for (String id : new String[] {"wk-x", "wk-y", "wk-z"}) {
            faults.failed(job(id), a);
            faults.failed(view.job(id), b);
        }
        assertThat(faults.condemns(a, view::job)).isFalse();
        faults.failed(job("wk-fine"), b);
        assertThat(faults.condemns(b, view::job))
                .as("four jobs, and nothing ended well between them")
                .isTrue();
        Machine c = new Machine("c", 0, 10);
        faults.failed(view.job("wk-fine"), c);
        faults.failed(job("wk-good"), c);
        assertThat(faults.condemns(c, view::job))
                .as("one of the two failed elsewhere as well")
                .isFalse();
        faults.failed(job("wk-too"), c);
        assertThat(faults.condemns(c, view::job)).isTrue();
    }
}
