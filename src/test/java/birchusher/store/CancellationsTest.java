package birchusher.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CancellationsTest {
    /**
     * More cancellations than are kept are seen while all rows are loaded: the oldest are dropped, and revisions up to theirs must not be
     * reported as complete.
     */
    @Test
    void droppedCancellationsAreNotReportedAsComplete() {
        Cancellations cancellations = new Cancellations();
        cancellations.loadStarted();
        for (int i = 0; i < 2_005; i++) {
            cancellations.addSeen("wk-" + i, 100 + i);
        }
        cancellations.loadCompleted(50);
        assertThat(cancellations.since(50, 5_000))
                .as("cancellations 100 to 104 were dropped")
                .isNull();
        assertThat(cancellations.since(103, 5_000)).isNull();
        assertThat(cancellations.since(104, 5_000)).hasSize(2_000);
        cancellations.loadStarted();
        cancellations.addSeen("wk-x", 3_000);
        cancellations.loadCompleted(2_500);
        assertThat(cancellations.since(2_500, 10))
                .as("the next load starts from nothing")
                .hasSize(1);
    }
}
