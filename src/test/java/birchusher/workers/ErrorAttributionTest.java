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

/**
 * Errors of jobs that fail on every machine must not take machines out of use. Eleven jobs submitted with a mistake once made 404 errors, and
 * each error left a machine idle for ten seconds.
 */
class ErrorAttributionTest {
    private final Catalog catalog =
            new Catalog(SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8)));
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog));
    private final ErrorAttribution attribution = new ErrorAttribution();
    private final Machine firstMachine = new Machine("a", 0, 10);
    private final Machine secondMachine = new Machine("b", 0, 10);
    private long revision;

    private Job job(String id) {
        Map<String, Object> fields = TestJobs.job();
        fields.putAll(Map.of("name_id", id, "pieces", 4L));
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", fields)), ++revision);
        return view.job(id);
    }

    @Test
    void aJobThatFailsOnSeveralMachinesIsBlamedUntilOneOfItsTasksSucceeds() {
        Job badJob = job("wk-bad");
        attribution.recordError(badJob, firstMachine);
        assertThat(attribution.countJobsAgainst(firstMachine, view::job)).isEqualTo(1);
        assertThat(attribution.recordError(badJob, secondMachine)).containsExactlyInAnyOrder("a", "b");
        assertThat(attribution.countJobsAgainst(firstMachine, view::job)).isZero();
        assertThat(attribution.countJobsAgainst(secondMachine, view::job)).isZero();
        view.put(Keys.placement("wk-bad", 0), new HashMap<>(Map.of("a", 3L, "d", "1", "c", "")), ++revision);
        assertThat(badJob.doneCount()).as("finished tasks").isEqualTo(1);
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
                .as("errors of four jobs, and no task ended well between them")
                .isTrue();
        Machine thirdMachine = new Machine("c", 0, 10);
        attribution.recordError(view.job("wk-fine"), thirdMachine);
        attribution.recordError(job("wk-good"), thirdMachine);
        assertThat(attribution.isFaulty(thirdMachine, view::job))
                .as("one of the two jobs failed on other machines too")
                .isFalse();
        attribution.recordError(job("wk-too"), thirdMachine);
        assertThat(attribution.isFaulty(thirdMachine, view::job)).isTrue();
    }
}
