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
class ErrorAttributionTest {
    private final Catalog catalog =
            new Catalog(SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8)));
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog));
    private final ErrorAttribution attribution = new ErrorAttribution();
    private final Machine firstMachine = new Machine("a", 0, 10);
    private final Machine secondMachine = new Machine("b", 0, 10);
    private long revision;

    private Job job(String id) {
        Map<String, Object> m = TestJobs.job();
        m.putAll(Map.of("name_id", id, "pieces", 4L));
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", m)), ++revision);
        return view.job(id);
    }

    @Test
    void aJobThatFailsOnSeveralMachinesIsBlamedUntilOneOfItsTasksSucceeds() {
        Job bad = job("wk-bad");
        attribution.recordError(bad, firstMachine);
        assertThat(attribution.countJobsAgainst(firstMachine, view::job)).isEqualTo(1);
        assertThat(attribution.recordError(bad, secondMachine)).containsExactlyInAnyOrder("a", "b");
        assertThat(attribution.countJobsAgainst(firstMachine, view::job)).isZero();
        assertThat(attribution.countJobsAgainst(secondMachine, view::job)).isZero();
        view.put(Keys.placement("wk-bad", 0), new HashMap<>(Map.of("a", 3L, "d", "1", "c", "")), ++revision);
        assertThat(bad.doneCount()).as("a task ended well").isEqualTo(1);
        assertThat(attribution.countJobsAgainst(firstMachine, view::job)).isEqualTo(1);
    }

    @Test
    void jobsThatFailEverywhereBlameNoMachineAndAFaultyMachineIsStillDetected() {
        for (String id : new String[] {"wk-x", "wk-y", "wk-z"}) {
            attribution.recordError(job(id), firstMachine);
            attribution.recordError(view.job(id), secondMachine);
        }
        assertThat(attribution.isFaulty(firstMachine, view::job)).isFalse();
        attribution.recordError(job("wk-fine"), secondMachine);
        assertThat(attribution.isFaulty(secondMachine, view::job))
                .as("four jobs, and nothing ended well between them")
                .isTrue();
        Machine c = new Machine("c", 0, 10);
        attribution.recordError(view.job("wk-fine"), c);
        attribution.recordError(job("wk-good"), c);
        assertThat(attribution.isFaulty(c, view::job))
                .as("one of the two failed elsewhere as well")
                .isFalse();
        attribution.recordError(job("wk-too"), c);
        assertThat(attribution.isFaulty(c, view::job)).isTrue();
    }
}
