package birchusher.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CancellationsTest {
    /** More cancellations than are kept come while all rows are read: the oldest are dropped, and must not be claimed to be known. */
    @Test
    void droppedCancellationsAreNotReportedAsComplete() {
        Cancellations c = new Cancellations();
        c.loadStarted();
        for (int i = 0; i < 2_005; i++) {
            c.addSeen("wk-" + i, 100 + i);
        }
        c.loadCompleted(50);
        assertThat(c.since(50, 5_000)).as("those of 100 to 104 are missing").isNull();
        assertThat(c.since(103, 5_000)).isNull();
        assertThat(c.since(104, 5_000)).hasSize(2_000);
        c.loadStarted();
        c.addSeen("wk-x", 3_000);
        c.loadCompleted(2_500);
        assertThat(c.since(2_500, 10)).as("the next reading begins anew").hasSize(1);
    }
}
