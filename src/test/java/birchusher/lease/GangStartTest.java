package birchusher.lease;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.lease.GangStart.Fetch;
import java.util.List;
import org.junit.jupiter.api.Test;

/** No task of a gang may be started so early that it gives up before the others have their images, and none may be held for ever. */
class GangStartTest {
    private static final long MAX_WAIT_MS = 50_000;
    private static final double FETCH_MS = 80_000;

    private final GangStart gangStart = new GangStart(MAX_WAIT_MS);

    private static Fetch fetch(double remainingMs) {
        return new Fetch(FETCH_MS, remainingMs, 1);
    }

    @Test
    void machineWithTheImageWaitsUntilTheOthersFetchEndsWithinTheLimitEvenIfItIsSlow() {
        assertThat(gangStart.mayStart(List.of(fetch(FETCH_MS)), 0)).isFalse();
        long heldMs = 0;
        while (!gangStart.mayStart(List.of(Fetch.NONE, fetch(Math.max(1, FETCH_MS - heldMs))), heldMs)) {
            heldMs += 1_000;
        }
        double slowestFetchMs = 1.5 * FETCH_MS;
        assertThat(slowestFetchMs - heldMs)
                .as("wait of the machine with the image")
                .isLessThan(MAX_WAIT_MS);
        assertThat(gangStart.mayStart(List.of(Fetch.NONE, Fetch.NONE), 0)).isTrue();
    }

    @Test
    void fetchThatEndsSoonHoldsNoStartUnlessItSharesTheRate() {
        double remainingMs = 10_000;
        Fetch alone = new Fetch(remainingMs, remainingMs, 1);
        Fetch shared = new Fetch(remainingMs, remainingMs, 4);
        assertThat(gangStart.mayStart(List.of(alone), 0)).isTrue();
        assertThat(gangStart.mayStart(List.of(shared), 0)).isFalse();
    }

    @Test
    void startIsNotHeldForEverByAFetchThatDoesNotEnd() {
        Fetch overdue = new Fetch(200_000, 1_000, 1);
        assertThat(gangStart.mayStart(List.of(overdue), 400_000)).isFalse();
        assertThat(gangStart.mayStart(List.of(overdue), 600_001)).isTrue();
    }
}
