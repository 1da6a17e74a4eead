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
 * A machine must be rented in a zone in which the task that waits for it may run. Guards against renting in the emptier
 * of two zones with equal machine types regardless of the zone rule of the job: the machine that booted there did not
 * help, so another one was rented half a second later, and so on, until that zone had more machines than the required
 * one. Seen in the fleet of {@link RecoveryTest} with seed 1072, for one replica that had to run in zone west; times
 * from the end of an outage:
 *
 * <pre>
 * 14350 ms  one machine of type g4 rented in east (spot): n-000038
 * 14850 ms  one machine of type g4 rented in east (spot): n-000039
 * ...       16 machines more than needed at 20000 ms
 * 28900 ms  task wk-s1/2 claimed on n-000054 (in west)
 * </pre>
 */
class RentalZoneTest {
    @BeforeAll
    static void silenceLogging() {
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
    void oneMachineIsRentedForAReplicaRestrictedToTheFullerZone(long seed) {
        World world = new World(seed, 3, 60);
        Map<String, Object> spread = world.submit("wk-spread", "standing", 3, "production", true, false);
        spread.put("cards", 4.0);
        world.run(60_000);
        Map<String, List<FakeWorker>> byZone = new HashMap<>();
        machinesOf(world, "wk-spread")
                .forEach(machine -> byZone.computeIfAbsent(machine.zone, zone -> new ArrayList<>())
                        .add(machine));
        FakeWorker lostMachine = byZone.values().stream()
                .filter(machines -> machines.size() == 1)
                .findFirst()
                .orElseThrow()
                .get(0);
        Map<String, Object> filler = world.submit("wk-filler", "standing", 6, "production", false, false);
        filler.put("cards", 4.0);
        filler.put("grove", lostMachine.zone);
        world.run(60_000);
        assertThat(machinesOf(world, "wk-filler")).hasSize(6);
        int rentedBefore = world.machinesRented;
        lostMachine.deleted = true;
        world.workers.remove(lostMachine.name);
        world.run(60_000);
        assertThat(world.violations).isEmpty();
        assertThat(machinesOf(world, "wk-spread")).hasSize(3);
        assertThat(world.machinesRented - rentedBefore).isEqualTo(1);
    }
}
