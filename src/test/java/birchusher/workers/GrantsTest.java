package birchusher.workers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.TestJobs;
import birchusher.core.Effects;
import birchusher.model.Catalog;
import birchusher.settings.SettingsReader;
import birchusher.store.Claim;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import birchusher.wire.Wire;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What {@link WorkerLease} says was granted to a worker, and that {@link SafetyChecks} sees when it is not kept to. */
class GrantsTest {
    private static final long TERM = 5;
    /** A lease of 10 s, the clocks' drift and the margin. */
    private static final long DURATION_MS = 11_010;

    private static final WorkerLease.Ownership OWNED = new WorkerLease.Ownership(1_000, 2_000);

    private final WorkerLease lease = new WorkerLease(10);

    private static Report report(long session, long tick, long token, Map<String, Entry> tasks) {
        return new Report("n-1", "n-1:1", "g4", "east", false, session, tick, token, -1, tasks);
    }

    private static Report report(long tick) {
        return report(1, tick, TERM, Map.of());
    }

    private void answered(Report report, long now) {
        lease.heard(report, TERM, now);
        lease.renewal(report, TERM, List.of());
    }

    private long end() {
        return lease.endsBy(TERM, OWNED);
    }

    @Test
    void aReportThatWasOvertakenIsGrantedFromTheMessageThatOvertookIt() {
        answered(report(10), 10_000);
        lease.heard(report(12), TERM, 13_000);
        assertThat(end()).as("a direct command renews nothing").isEqualTo(10_000 + DURATION_MS);
        assertThat(lease.overtaken(report(11))).isTrue();
        assertThat(lease.renewal(report(11), TERM, List.of())).containsEntry(Wire.TOKEN, TERM);
        assertThat(end()).isEqualTo(13_000 + DURATION_MS);
    }

    @Test
    void copiesGetNoTokenAndPostponeNothing() {
        answered(report(10), 10_000);
        lease.heard(report(13), TERM, 11_000);
        lease.renewal(report(12), TERM, List.of());
        for (Report copy : List.of(report(10), report(11), report(12))) {
            assertThat(lease.overtaken(copy)).isFalse();
        }
        assertThat(WorkerLease.noRenewal()).doesNotContainKey(Wire.TOKEN);
        assertThat(end()).isEqualTo(11_000 + DURATION_MS);
        lease.heard(report(2, 14, TERM, Map.of()), TERM, 30_000);
        assertThat(lease.overtaken(report(13))).as("of an earlier session").isFalse();
    }

    @Test
    void earlierOwnersCountUntilTheyAreFencedOrOurTermIsShown() {
        WorkerLease.Ownership unfenced = new WorkerLease.Ownership(1_000, -1);
        assertThat(lease.endsBy(TERM, unfenced)).isEqualTo(WorkerLease.NEVER);
        assertThat(end()).isEqualTo(2_000 + DURATION_MS);
        answered(report(1, 10, TERM - 1, Map.of()), 10_000);
        assertThat(lease.endsBy(TERM, unfenced)).isEqualTo(WorkerLease.NEVER);
        lease.heard(report(11), TERM, 13_500);
        assertThat(lease.endsBy(TERM, unfenced))
                .as("it may have heard an earlier owner up to then")
                .isEqualTo(13_500 + DURATION_MS);
        lease.heard(report(12), TERM, 16_000);
        assertThat(end()).isEqualTo(13_500 + DURATION_MS);
        assertThat(lease.endsBy(TERM + 1, unfenced)).as("a new term").isEqualTo(WorkerLease.NEVER);
    }

    @Test
    void aBrokenRuleIsCountedAndEndsTheRunWhereAssertionsAreEnabled() {
        Effects effects = new Effects();
        Counters counters = new Counters();
        Machine first = new Machine("n-1", 0, 10);
        Machine second = new Machine("n-2", 0, 10);
        Map<String, Machine> owned = new LinkedHashMap<>(Map.of("n-1", first, "n-2", second));
        SafetyChecks checks = new SafetyChecks(effects, counters, new SafetyChecks.Machines() {
            @Override
            public Machine owned(String name) {
                return owned.get(name);
            }

            @Override
            public long leaseEnd(Machine machine) {
                return machine.workerLease.endsBy(TERM, OWNED);
            }
        });
        effects.setTime(20_000, 0);
        Entry running = new Entry("wk-1/0", 1, Entry.Phase.RUNNING, Entry.Why.NONE, false);
        Report report = report(1, 10, TERM, Map.of(running.attemptKey(), running));
        first.workerLease.heard(report, TERM, 20_000);
        first.workerLease.renewal(report, TERM, List.of());
        first.entries = report.tasks();
        checks.shown("wk-1/0", first);
        Catalog catalog = new Catalog(SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8)));
        StoreView view = new StoreView(catalog, new JobCodec(catalog));
        Map<String, Object> body = TestJobs.job();
        body.put("name_id", "wk-1");
        view.put(Keys.JOB + "wk-1", new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", body)), 1);
        Claim next = new Claim(view.job("wk-1"), 0, 2, "n-2", 1, 0);
        assertThatThrownBy(() -> checks.start(next, second))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("started_while_elsewhere");
        assertThatThrownBy(() -> checks.releaseOfSilent(next, first))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("release_before_lease_end");
        assertThat(counters.unsafe).isEqualTo(2);
        checks.start(next, first);
        effects.setTime(20_000 + DURATION_MS, 0);
        checks.start(next, second);
        checks.releaseOfSilent(next, first);
        owned.remove("n-1");
        effects.setTime(25_000, 0);
        checks.start(next, second);
        assertThat(counters.unsafe).isEqualTo(2);
    }
}
