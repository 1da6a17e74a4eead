package birchusher.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.TestJobs;
import birchusher.core.Effect;
import birchusher.core.Effects;
import birchusher.jobs.JobAnswers.Request;
import birchusher.jobs.JobStatus.Evidence;
import birchusher.model.Catalog;
import birchusher.settings.SettingsReader;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The check at run time that no answer is older than one that the same controller gave before. */
class JobAnswersTest {
    private static final String ID = "wk-1";
    private static final JobStatus DONE = JobStatus.done(2, Evidence.JOB_ROW);
    private static final JobStatus CANCELLED = JobStatus.cancelled(Evidence.ENDED_ROW);

    private final Effects effects = new Effects();
    private final JobAnswers answers = new JobAnswers(effects, newView());

    private static StoreView newView() {
        Catalog catalog = new Catalog(SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8)));
        return new StoreView(catalog, new JobCodec(catalog));
    }

    private void tell(JobStatus status) {
        answers.tell(1, 200, Request.POLL, ID, status);
    }

    private int lastHttpStatus() {
        return effects.drain().stream()
                .map(effect -> ((Effect.Answer) effect).status())
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private void assertRefused(JobStatus status) {
        assertThatThrownBy(() -> tell(status))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("answer_went_back");
        assertThat(lastHttpStatus()).isEqualTo(503);
    }

    /** Guards against a final state that is followed by any other, whatever fault in the rows or the code brings it about. */
    @Test
    void nothingElseIsToldAfterAFinalState() {
        tell(JobStatus.ACCEPTED);
        tell(DONE);
        assertThat(lastHttpStatus()).isEqualTo(200);
        assertRefused(JobStatus.ACCEPTED);
        assertRefused(CANCELLED);
        tell(DONE);
        assertThat(lastHttpStatus()).isEqualTo(200);
        assertThat(answers.logText()).contains("answers_unsafe=2");
    }

    /** Guards against 404 for a job that was accepted here. */
    @Test
    void acceptedJobIsNotCalledUnknown() {
        tell(JobStatus.ACCEPTED);
        effects.drain();
        assertThatThrownBy(
                        () -> answers.tellNeverAccepted(2, Request.POLL, ID, () -> effects.refuseWithRetry(2, 404, 1)))
                .isInstanceOf(AssertionError.class);
        assertThat(lastHttpStatus()).isEqualTo(503);
    }

    /** Guards against another state after an end that only a list or a description has shown. */
    @Test
    void endShownByAListCountsAsTold() {
        assertThat(answers.mayTell(1, Request.LIST, ID, DONE)).isTrue();
        assertRefused(JobStatus.ACCEPTED);
    }
}
