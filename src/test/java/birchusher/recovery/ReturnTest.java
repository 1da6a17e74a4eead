package birchusher.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.model.Catalog;
import birchusher.store.StoreView;
import birchusher.wire.JobCodec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The census, the memory of what was dropped, and the account of orders, each by itself. */
class ReturnTest {
    private final Catalog catalog = new Catalog(birchusher.settings.SettingsReader.read(
            birchusher.TestJobs.SETTINGS.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    private final Inventory inventory = new Inventory(new StoreView(catalog, new JobCodec(catalog)), 10_000);
    private final Set<String> heard = new HashSet<>();
    private final Set<String> reports = new HashSet<>();
    private final Set<String> gone = new HashSet<>();
    private final List<String> listed = new ArrayList<>(List.of("n-1", "n-2", "n-3"));

    private Inventory.Phase look(long now, boolean read) {
        inventory.look(
                now,
                read,
                m -> heard.contains(m)
                        ? Inventory.Told.FIT
                        : reports.contains(m) ? Inventory.Told.REPORTS : Inventory.Told.NOTHING,
                gone::contains,
                listed);
        return inventory.phase();
    }

    @Test
    void machinesAreWaitedForUntilTheyAreHeardOrGone() {
        assertThat(look(0, false)).isEqualTo(Inventory.Phase.READING);
        assertThat(look(1_000, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(inventory.open()).isEqualTo(3);
        heard.add("n-1");
        gone.add("n-2");
        assertThat(look(2_000, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(inventory.known()).isFalse();
        reports.add("n-3");
        assertThat(look(3_000, true)).isEqualTo(Inventory.Phase.HEARING);
        heard.add("n-3");
        assertThat(look(4_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
        // The last plan was made without its room.
        assertThat(inventory.known()).isFalse();
        look(5_000, true);
        assertThat(inventory.known()).isTrue();
        // Unfit for reasons of its own, it is not waited for again.
        heard.remove("n-3");
        assertThat(look(6_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
    }

    @Test
    void aMachineThatStaysSilentIsNotWaitedForTwiceButOneThatVanishesAgainIs() {
        look(0, true);
        heard.add("n-1");
        heard.add("n-2");
        assertThat(look(9_999, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(look(10_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
        assertThat(look(60_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
        heard.remove("n-1");
        assertThat(look(61_000, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(inventory.open()).isEqualTo(1);
        assertThat(look(70_999, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(look(71_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
    }

    @Test
    void patienceFollowsFromReportsAndControllers() {
        assertThat(Inventory.patience(4_000, 3)).isEqualTo(13_000);
        assertThat(Inventory.patience(4_000, 7)).isEqualTo(17_000);
    }

    @Test
    void whatWasDroppedIsExpectedBackForAWhileAndForgottenAfterAMinute() {
        Losses losses = new Losses(10_000, 3);
        losses.dropped("wk-1", 0, "n-1", 0);
        losses.dropped("wk-1", 4, "n-2", 0);
        losses.tick(100);
        losses.told(2, 5, 100);
        assertThat(losses.returningOfAll(200)).isEqualTo(7);
        assertThat(losses.awaits("wk-1", 4, 1_000)).isEqualTo("n-2");
        assertThat(losses.awaits("wk-1", 4, 2_000)).isNull();
        losses.tick(10_500);
        assertThat(losses.returningOfAll(10_500)).isZero();
        assertThat(losses.of("wk-1")).containsEntry(0, "n-1").containsEntry(4, "n-2");
        losses.tick(60_200);
        assertThat(losses.any("wk-1")).isFalse();
        assertThat(losses.count()).isZero();
    }

    @Test
    void contradictionsAreCountedOnce() {
        Orders orders = new Orders();
        orders.start("wk-1/0#1", false, 0);
        orders.start("wk-1/1#2", true, 0);
        orders.start("wk-1/2#1", false, 0);
        orders.stop("wk-1/0#1", "makes room for wk-9", 29_000);
        orders.stop("wk-1/0#1", "makes room for wk-8", 29_500);
        orders.stop("wk-1/1#2", "notice", 29_000);
        orders.stop("wk-1/2#1", "moves", 31_000);
        assertThat(orders.stoppedSoon()).isEqualTo(1);
        assertThat(orders.count("stop makes room")).isEqualTo(2);
        orders.giveBack(4, 0);
        orders.giveBack(4, 50_000);
        orders.giveBack(5, 50_000);
        orders.rent(4, 3, 40_000, 60_000);
        orders.rent(4, 3, 40_000, 61_000);
        assertThat(orders.rentedAgain()).isEqualTo(1);
        assertThat(orders.count("rent")).isEqualTo(6);
    }
}
