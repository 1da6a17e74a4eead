package birchusher.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.TestJobs;
import birchusher.core.Effects;
import birchusher.jobs.JobStatus.Kind;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the rows of a job in the view allow to be told of it. */
class JobStatusResolverTest {
    private static final String ID = "wk-1";
    private static final int MAX_ENDED_JOBS = 10;

    private final Settings settings = SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8));
    private final Catalog catalog = new Catalog(settings);
    private final StoreView view = new StoreView(catalog, new JobCodec(catalog), MAX_ENDED_JOBS);
    private final JobStatusResolver statuses =
            new JobStatusResolver(view, new StoreClient(new Effects(), view, settings, new Tuning()), false);

    private void putJob(String state, long version) {
        Map<String, Object> row = new HashMap<>(Map.of("s", state, "k", 100L, "t", 0L, "j", TestJobs.job()));
        view.put(Keys.JOB + ID, row, version);
    }

    /** Writes the placement row of both tasks, done as in the bits, with the second one's claim or without. */
    private void putPlacement(String doneBits, boolean claim, long version) {
        Map<String, Object> row = Map.of("a", 1L, "d", doneBits, "c", claim ? "1:1:n-000001:1:0" : "");
        view.put(Keys.placement(ID, 0), new HashMap<>(row), version);
    }

    /** Guards against a done job that is called running because this controller has since removed the claim of one of its tasks. */
    @Test
    void jobCalledDoneStaysDoneWhenItsOwnControllerRemovesALaterClaim() {
        putJob("OPEN", 2);
        putPlacement("3", true, 3);
        view.appliedRevision(3);
        assertThat(statuses.finalStatus(ID).kind()).isEqualTo(Kind.DONE);
        putPlacement("3", false, 5);
        assertThat(statuses.currentStatus(ID).kind()).isEqualTo(Kind.DONE);
    }

    /** Guards against done and cancelled both being told: a cancellation may precede an end that this controller has written itself. */
    @Test
    void ownEndOfTheLastTaskIsNotToldBeforeTheViewHasReachedIt() {
        putJob("OPEN", 2);
        putPlacement("1", true, 3);
        view.appliedRevision(3);
        putPlacement("3", false, 5);
        assertThat(statuses.finalStatus(ID)).isNull();
        assertThat(statuses.currentStatus(ID).kind()).isEqualTo(Kind.UNDECIDED);
        putJob("CANCELLED", 4);
        view.appliedRevision(5);
        assertThat(statuses.currentStatus(ID).kind()).isEqualTo(Kind.CANCELLED);
    }

    /** Guards against an end that is told too early after a reload: the placement row may be newer than the job's row. */
    @Test
    void endReadOnALaterPageIsNotToldBeforeTheViewHasReachedIt() {
        putJob("OPEN", 2);
        putPlacement("3", false, 7);
        view.loadCompleted(5);
        assertThat(statuses.finalStatus(ID)).isNull();
        view.appliedRevision(7);
        assertThat(statuses.finalStatus(ID).kind()).isEqualTo(Kind.DONE);
    }

    /** Guards against an archived job that is called queued, because a late response brings its row back once its end has left memory. */
    @Test
    void archivedJobIsNotCalledQueuedAfterALateResponseOnceItsEndWasEvicted() {
        putJob("OPEN", 2);
        view.remove(Keys.JOB + ID, 3);
        view.put(Keys.ENDED_JOB + ID, StoreView.endedJobRow(true, 2), 3);
        for (long version = 4; version < 4_204; version++) {
            view.remove(Keys.JOB + "wk-old-" + version, version);
        }
        for (int i = 0; i < MAX_ENDED_JOBS; i++) {
            view.put(Keys.ENDED_JOB + "wk-end-" + i, StoreView.endedJobRow(true, 1), 4_203);
        }
        view.appliedRevision(4_203);
        putJob("OPEN", 2);
        assertThat(statuses.currentStatus(ID).kind()).isEqualTo(Kind.NOT_IN_VIEW);
    }

    /** Guards against a cancelled job that is called queued by a controller that can't read the rest of its row. */
    @Test
    void stateOfAJobWhoseDescriptionCannotBeReadIsToldAsItIsStored() {
        view.put(Keys.JOB + ID, new HashMap<>(Map.of("s", "CANCELLED", "k", 100L, "t", 0L, "j", Map.of("odd", 1L))), 2);
        view.appliedRevision(2);
        assertThat(statuses.currentStatus(ID).kind()).isEqualTo(Kind.CANCELLED);
    }

    /** Guards against a job that keeps its old state under the version of a row that could not be read. */
    @Test
    void newerRowThatCannotBeReadDoesNotLeaveTheOldStateStanding() {
        putJob("OPEN", 2);
        view.put(Keys.JOB + ID, new HashMap<>(Map.of("s", 7L, "k", 100L, "t", 0L, "j", TestJobs.job())), 3);
        view.appliedRevision(3);
        assertThat(statuses.currentStatus(ID).kind()).isEqualTo(Kind.UNDECIDED);
        assertThat(view.version(Keys.JOB + ID)).isEqualTo(2);
    }

    /** Guards against a job that is called cancelled, because the row of its final state can't be read. */
    @Test
    void finalStateThatCannotBeReadIsNotToldAsCancelled() {
        view.put(Keys.ENDED_JOB + ID, new HashMap<>(Map.of("s", "odd", "n", 2L)), 2);
        view.appliedRevision(2);
        assertThat(statuses.finalStatus(ID)).isNull();
    }
}
