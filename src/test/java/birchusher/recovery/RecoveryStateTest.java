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

/** Tests of the state kept for restart recovery: {@link Inventory}, {@link LostTasks} and {@link ActionCounters}. */
class RecoveryStateTest {
    private final Catalog catalog = new Catalog(birchusher.settings.SettingsReader.read(
            birchusher.TestJobs.SETTINGS.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    private final Inventory inventory = new Inventory(new StoreView(catalog, new JobCodec(catalog)), 10_000);
    private final Set<String> confirmed = new HashSet<>();
    private final Set<String> reported = new HashSet<>();
    private final Set<String> gone = new HashSet<>();
    private final List<String> listed = new ArrayList<>(List.of("n-1", "n-2", "n-3"));

    private Inventory.Phase updateInventory(long now, boolean loaded) {
        inventory.update(
                now,
                loaded,
                machine -> confirmed.contains(machine)
                        ? Inventory.MachineEvidence.CONFIRMED
                        : reported.contains(machine)
                                ? Inventory.MachineEvidence.REPORTED
                                : Inventory.MachineEvidence.NONE,
                gone::contains,
                listed);
        return inventory.phase();
    }

    @Test
    void machinesAreAwaitedUntilConfirmedOrGone() {
        assertThat(updateInventory(0, false)).isEqualTo(Inventory.Phase.READING);
        assertThat(updateInventory(1_000, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(inventory.awaitedMachines()).isEqualTo(3);
        confirmed.add("n-1");
        gone.add("n-2");
        assertThat(updateInventory(2_000, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(inventory.isFleetKnown()).isFalse();
        reported.add("n-3");
        assertThat(updateInventory(3_000, true)).isEqualTo(Inventory.Phase.HEARING);
        confirmed.add("n-3");
        assertThat(updateInventory(4_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
        // The last plan may have been made without its capacity.
        assertThat(inventory.isFleetKnown()).isFalse();
        updateInventory(5_000, true);
        assertThat(inventory.isFleetKnown()).isTrue();
        // A confirmed machine that ceases to be usable is not awaited again.
        confirmed.remove("n-3");
        assertThat(updateInventory(6_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
    }

    @Test
    void silentMachineIsAwaitedOnceButAnewAfterItVanishesAgain() {
        updateInventory(0, true);
        confirmed.add("n-1");
        confirmed.add("n-2");
        assertThat(updateInventory(9_999, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(updateInventory(10_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
        assertThat(updateInventory(60_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
        confirmed.remove("n-1");
        assertThat(updateInventory(61_000, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(inventory.awaitedMachines()).isEqualTo(1);
        assertThat(updateInventory(70_999, true)).isEqualTo(Inventory.Phase.HEARING);
        assertThat(updateInventory(71_000, true)).isEqualTo(Inventory.Phase.ORDINARY);
    }

    @Test
    void reconnectTimeFollowsFromReportIntervalAndControllers() {
        assertThat(Inventory.reconnectTimeMs(4_000, 3)).isEqualTo(13_000);
        assertThat(Inventory.reconnectTimeMs(4_000, 7)).isEqualTo(17_000);
    }

    @Test
    void droppedTasksAreAwaitedForTheReconnectTimeAndForgottenAfterAMinute() {
        LostTasks lostTasks = new LostTasks(10_000, 3);
        lostTasks.recordDropped("wk-1", 0, "n-1", 0);
        lostTasks.recordDropped("wk-1", 4, "n-2", 0);
        lostTasks.tick(100);
        lostTasks.handlePeerReport(2, 5, 100);
        assertThat(lostTasks.tasksToRestoreOfAll(200)).isEqualTo(7);
        assertThat(lostTasks.awaitedMachine("wk-1", 4, 1_000)).isEqualTo("n-2");
        assertThat(lostTasks.awaitedMachine("wk-1", 4, 2_000)).isNull();
        lostTasks.tick(10_500);
        assertThat(lostTasks.tasksToRestoreOfAll(10_500)).isZero();
        assertThat(lostTasks.machinesByTask("wk-1")).containsEntry(0, "n-1").containsEntry(4, "n-2");
        lostTasks.tick(60_200);
        assertThat(lostTasks.hasLostTasks("wk-1")).isFalse();
        assertThat(lostTasks.size()).isZero();
    }

    @Test
    void contradictingActionsAreCountedOnce() {
        ActionCounters actionCounters = new ActionCounters();
        actionCounters.recordStart("wk-1/0#1", false, 0);
        actionCounters.recordStart("wk-1/1#2", true, 0);
        actionCounters.recordStart("wk-1/2#1", false, 0);
        actionCounters.recordStop("wk-1/0#1", "makes room for wk-9", 29_000);
        actionCounters.recordStop("wk-1/0#1", "makes room for wk-8", 29_500);
        actionCounters.recordStop("wk-1/1#2", "notice", 29_000);
        actionCounters.recordStop("wk-1/2#1", "moves", 31_000);
        assertThat(actionCounters.stoppedSoon()).isEqualTo(1);
        assertThat(actionCounters.count("stop makes room")).isEqualTo(2);
        actionCounters.recordReturn(4, 0);
        actionCounters.recordReturn(4, 50_000);
        actionCounters.recordReturn(5, 50_000);
        actionCounters.recordRental(4, 3, 40_000, 60_000);
        actionCounters.recordRental(4, 3, 40_000, 61_000);
        assertThat(actionCounters.rentedAgain()).isEqualTo(1);
        assertThat(actionCounters.count("rent")).isEqualTo(6);
    }
}
