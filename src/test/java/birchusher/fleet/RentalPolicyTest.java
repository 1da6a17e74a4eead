package birchusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.TestJobs;
import birchusher.model.Catalog;
import birchusher.settings.Settings;
import birchusher.settings.SettingsReader;
import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which machines are waited and rented for: {@link BootStatistics} and {@link RentalPolicy}. */
class RentalPolicyTest {
    @Test
    void overdueTimeAndEtaFollowObservedBootTimes() {
        BootStatistics statistics = new BootStatistics(3);
        assertThat(statistics.overdueBoots(1)).isEqualTo(1.5);
        assertThat(statistics.etaS(1, 10, 40)).isEqualTo(30);
        assertThat(statistics.etaS(1, 90, 40))
                .as("estimate grows with the delay")
                .isEqualTo(20);
        for (int i = 0; i < 10; i++) {
            statistics.recordBooted(1, "n-" + i, 100, 40);
        }
        assertThat(statistics.overdueBoots(1))
                .as("all machines of this kind boot late")
                .isGreaterThan(2.5)
                .isLessThanOrEqualTo(3);
        assertThat(statistics.etaS(1, 10, 40)).isEqualTo(90);
        assertThat(statistics.etaS(2, 10, 40))
                .as("other kinds are not affected")
                .isEqualTo(30);
        for (int i = 10; i < 40; i++) {
            statistics.recordBooted(1, "n-" + i, 2, 40);
        }
        assertThat(statistics.etaS(1, 1, 40))
                .as("minimum estimate after quick boots")
                .isEqualTo(1);
    }

    @Test
    void bootedShareFallsWithMachinesThatNeverBootAndRecovers() {
        BootStatistics statistics = new BootStatistics(3);
        for (int i = 0; i < 8; i++) {
            statistics.recordNeverBooted(1, "n-" + i);
            statistics.recordNeverBooted(1, "n-" + i);
        }
        statistics.recordBooted(1, "n-8", 40, 40);
        assertThat(statistics.bootedShare(1)).isBetween(0.1, 0.12);
        for (int i = 10; i < 40; i++) {
            statistics.recordBooted(1, "n-" + i, 40, 40);
        }
        assertThat(statistics.bootedShare(1)).isEqualTo(1);
    }

    private long revision;

    private Job addJob(StoreView view, String id, String team, String rank, String jobClass) {
        Map<String, Object> fields = TestJobs.job();
        fields.putAll(
                Map.of("name_id", id, "crew", team, "rank", rank, "lane", jobClass, "pieces", 9L, "loaners", true));
        view.put(Keys.JOB + id, new HashMap<>(Map.of("s", "OPEN", "k", 100L, "t", 0L, "j", fields)), ++revision);
        return view.job(id);
    }

    /**
     * Guards against renting for low-priority jobs at any price: 213 machines were rented at four times the price for
     * arrays that were meant to use idle ones.
     */
    @Test
    void lowPriorityJobsOfTeamsWithoutGuaranteeRentLittle() {
        String guests = TestJobs.SETTINGS.replace(
                "\"teams\":[", "\"teams\":[{\"name\":\"guests\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0},");
        Catalog catalog = new Catalog(SettingsReader.read(guests.getBytes(StandardCharsets.UTF_8)));
        StoreView view = new StoreView(catalog, new JobCodec(catalog));
        RentalPolicy policy =
                new RentalPolicy(catalog, List.of(new Settings.Objective("finished", "spoken", 400, 0.8)), 150_000);
        Job idle = addJob(view, "wk-idle", "guests", "low", "idle");
        assertThat(policy.limitFor(idle, 9, 100_000)).isEqualTo(new RentalPolicy.RentalLimit(0, true));
        assertThat(policy.limitFor(idle, 9, 151_000))
                .as("one task may start after the wait")
                .isEqualTo(new RentalPolicy.RentalLimit(1, true));
        view.put(Keys.placement("wk-idle", 0), new HashMap<>(Map.of("a", 1L, "d", "1", "c", "")), ++revision);
        assertThat(policy.limitFor(idle, 8, 400_000))
                .as("job that has begun")
                .isEqualTo(new RentalPolicy.RentalLimit(0, true));
        Job spoken = addJob(view, "wk-spoken", "guests", "low", "spoken");
        assertThat(policy.limitFor(spoken, 9, 100_000)).isEqualTo(new RentalPolicy.RentalLimit(9, true));
        assertThat(policy.limitFor(spoken, 9, 151_000)).isEqualTo(new RentalPolicy.RentalLimit(9, false));
        String team = "red";
        assertThat(policy.limitFor(addJob(view, "wk-own", team, "low", "idle"), 9, 0))
                .isEqualTo(new RentalPolicy.RentalLimit(9, false));
        assertThat(policy.limitFor(addJob(view, "wk-mid", "guests", "standard", "idle"), 9, 0))
                .isEqualTo(new RentalPolicy.RentalLimit(9, false));
    }
}
