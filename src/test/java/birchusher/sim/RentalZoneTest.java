package birchusher.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Machines are rented where the task that waits for them may run. Among equal kinds the emptier zone was rented in, whatever the job's
 * own zone rule said; the machine that booted there did not help, so another was rented half a second later, and so on, until that zone
 * had more machines than the one that was needed. Seen with {@link RecoveryTest}'s fleet and seed 1072, times from the end of an outage,
 * for one replica that had to go to the west:
 *
 * <pre>
 * 14350 ms rented 1 of 1 g4 in east (spot): [n-000038]
 * 14850 ms rented 1 of 1 g4 in east (spot): [n-000039]
 * ...      16 machines more than needed at 20000 ms
 * 28900 ms task wk-s1/2 claimed on n-000054 (in the west)
 * </pre>
 */
class RentalZoneTest {
    @BeforeAll
    static void quiet() {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getProperty("sim.log", "off"));
    }

    private static List<FakeWorker> machinesOf(World world, String job) {
        List<FakeWorker> machines = new ArrayList<>();
        world.workers.values().forEach(worker -> worker.tasks.values().stream()
                .filter(task -> task.key.startsWith(job + "/") && !task.exited())
                .forEach(task -> machines.add(worker)));
        return machines;
    }

    @ParameterizedTest
    @ValueSource(longs = {501, 502, 503, 504})
    void oneMachineIsRentedForAReplicaThatMayGoToTheFullerZoneOnly(long seed) {
        World world = new World(seed, 3, 60);
        Map<String, Object> spread = world.submit("wk-spread", "standing", 3, "production", true, false);
        spread.put("cards", 4.0);
        world.run(60_000);
        Map<String, List<FakeWorker>> byZone = new HashMap<>();
        machinesOf(world, "wk-spread")
                .forEach(machine -> byZone.computeIfAbsent(machine.zone, zone -> new ArrayList<>())
                        .add(machine));
        FakeWorker alone = byZone.values().stream()
                .filter(machines -> machines.size() == 1)
                .findFirst()
                .orElseThrow()
                .get(0);
        Map<String, Object> filler = world.submit("wk-filler", "standing", 6, "production", false, false);
        filler.put("cards", 4.0);
        filler.put("grove", alone.zone);
        world.run(60_000);
        assertThat(machinesOf(world, "wk-filler")).hasSize(6);
        int rented = world.machinesRented;
        alone.deleted = true;
        world.workers.remove(alone.name);
        world.run(60_000);
        assertThat(world.violations).isEmpty();
        assertThat(machinesOf(world, "wk-spread")).hasSize(3);
        assertThat(world.machinesRented - rented).isEqualTo(1);
    }
}
