package birchusher.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the pool of fixed hosts: none is rented twice, none is reported gone while something on it may run. */
class HostPoolTest {
    private static final long LEASE_MS = 10_000;
    private static final HostInventory INVENTORY = new HostInventory(
            List.of(new HostInventory.HostType("small", 4, 0, 8, 1)),
            new TreeMap<>(Map.of(
                    "a", new HostInventory.Host("a", "small", "z"), "b", new HostInventory.Host("b", "small", "z"))),
            LEASE_MS);

    private final Map<String, Map<String, Object>> rows = new HashMap<>();
    private final Map<Long, Outbox.Response> responses = new HashMap<>();
    private Outbox outbox;
    private HostPool pool;
    private long nowMs = 1_000;
    private long lastExchange;
    private long lastSequence;
    /** Outcome of the next writes: 0 written; 1 not written and reported as failed; 2 written but reported as failed. */
    private int writeOutcome;

    @BeforeEach
    void restartPool() {
        outbox = new Outbox();
        pool = new HostPool(INVENTORY, Map.of("lease_s", 10.0), outbox, rows, nowMs);
    }

    @SuppressWarnings("unchecked")
    private void perform() {
        for (List<Outbox.Output> outputs = outbox.drain(); !outputs.isEmpty(); outputs = outbox.drain()) {
            for (Outbox.Output output : outputs) {
                if (output instanceof Outbox.Response response) {
                    assertThat(responses.put(response.exchange(), response))
                            .as("answered twice")
                            .isNull();
                } else {
                    Outbox.Write write = (Outbox.Write) output;
                    if (writeOutcome != 1) {
                        write.rows().forEach((key, value) -> {
                            if (value == null) {
                                rows.remove(key);
                            } else {
                                rows.put(key, (Map<String, Object>) value);
                            }
                        });
                    }
                    outbox.onWritten(write.id(), writeOutcome == 0);
                }
            }
        }
    }

    private Outbox.Response rent(String request, long count) {
        pool.rent(
                nowMs,
                50_000 + nowMs,
                ++lastExchange,
                Map.of("ask", request, "build", "small", "grove", "z", "loaners", false, "how_many", count));
        perform();
        return responses.get(lastExchange);
    }

    private long delete(String... machines) {
        pool.delete(nowMs, ++lastExchange, Map.of("hosts", List.of(machines)));
        perform();
        return lastExchange;
    }

    private Outbox.Response poll(String host, String bootId, String machine) {
        return poll(host, bootId, machine, null, ++lastSequence);
    }

    private Outbox.Response poll(String host, String bootId, String machine, String previousBootId, long sequence) {
        Map<String, Object> body =
                new HashMap<>(Map.of("agent", host, "boot", bootId, "address", "h:1", "tick", sequence));
        body.put("host", machine);
        body.put("before", previousBootId);
        pool.handlePoll(nowMs, ++lastExchange, body);
        perform();
        return responses.get(lastExchange);
    }

    private int responseStatus(long exchange) {
        return responses.containsKey(exchange) ? responses.get(exchange).status() : 0;
    }

    private List<Object> machines(Outbox.Response response) {
        return new ArrayList<>((List<?>) response.body().get("hosts"));
    }

    @SuppressWarnings("unchecked")
    private Map<String, String> statesByMachine() {
        Map<String, String> states = new LinkedHashMap<>();
        for (Object item : (List<Object>) pool.listMachines(nowMs, "", 500).get("hosts")) {
            Map<String, Object> machine = (Map<String, Object>) item;
            states.put((String) machine.get("name_id"), (String) machine.get("stage"));
        }
        return states;
    }

    @Test
    void repeatedRentalRequestReturnsTheSameMachinesAlsoAfterARestart() {
        assertThat(rent("r1", 2).body().get("error")).as("no agent has polled").isEqualTo("no capacity");
        poll("a", "boot-a", null);
        poll("b", "boot-b", null);
        assertThat(machines(rent("r1", 3))).containsExactly("n-000001", "n-000002");
        assertThat(machines(rent("r1", 3))).containsExactly("n-000001", "n-000002");
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        restartPool();
        assertThat(machines(rent("r1", 3))).containsExactly("n-000001", "n-000002");
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        assertThat(poll("a", "boot-a", "n-000001").body().get("host")).isEqualTo("n-000001");
        assertThat(statesByMachine()).isEqualTo(Map.of("n-000001", "running", "n-000002", "starting"));
    }

    @Test
    void deletionIsConfirmedOnlyByTheAgentOrAfterItsLease() {
        poll("a", "boot-a", null);
        rent("r1", 1);
        poll("a", "boot-a", "n-000001");
        long firstDeletion = delete("n-000001", "n-000099");
        assertThat(responseStatus(firstDeletion)).isZero();
        assertThat(rent("r2", 1).body().get("error"))
                .as("the host will soon be free")
                .isEqualTo("trouble");
        assertThat(poll("a", "boot-a", "n-000001").body().get("host"))
                .as("its agent is instructed to stop the machine")
                .isNull();
        assertThat(responseStatus(firstDeletion)).isZero();
        poll("a", "boot-a", null);
        assertThat(responseStatus(firstDeletion)).isEqualTo(200);
        assertThat(machines(rent("r2", 1))).containsExactly("n-000002");
        // The agent falls silent: a deletion is answered with a retry until the lease has passed.
        long secondDeletion = delete("n-000002");
        nowMs += 4_000;
        pool.tick(nowMs);
        perform();
        assertThat(responses.get(secondDeletion).status()).isEqualTo(503);
        assertThat(responses.get(secondDeletion).retryAfterS()).isPositive();
        nowMs += LEASE_MS;
        pool.tick(nowMs);
        perform();
        assertThat(responseStatus(delete("n-000002"))).isEqualTo(200);
        assertThat(statesByMachine()).isEmpty();
    }

    @Test
    void outdatedPollDoesNotParkAHost() {
        poll("a", "boot-a", null, null, 1);
        long lateSequence = 2;
        rent("r1", 1);
        poll("a", "boot-a", "n-000001", null, 3);
        long deletion = delete("n-000001");
        // A poll that reports no machine, sent before the agent received its assignment.
        assertThat(poll("a", "boot-a", null, null, lateSequence).status()).isEqualTo(409);
        assertThat(responseStatus(deletion)).isZero();
    }

    @Test
    void onlyOneAgentControlsAHost() {
        poll("a", "boot-1", null);
        rent("r1", 1);
        poll("a", "boot-1", "n-000001");
        assertThat(poll("a", "boot-2", null).status()).isEqualTo(409);
        assertThat(poll("a", "boot-1", "n-000001").body().get("host")).isEqualTo("n-000001");
        // An agent that found the other's id in its own directory takes over at once; the other's machine has failed.
        assertThat(poll("a", "boot-2", null, "boot-1", ++lastSequence).body().get("host"))
                .isNull();
        assertThat(statesByMachine()).isEqualTo(Map.of("n-000001", "failed"));
        assertThat(poll("a", "boot-1", "n-000001").status()).isEqualTo(409);
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        assertThat(responseStatus(delete("n-000001"))).isEqualTo(200);
        assertThat(machines(rent("r2", 1))).containsExactly("n-000002");
        // An agent without that id has to wait until a lease has passed.
        nowMs += LEASE_MS / 2;
        assertThat(poll("a", "boot-3", null).status()).isEqualTo(409);
        nowMs += LEASE_MS;
        assertThat(poll("a", "boot-3", null).status()).isEqualTo(200);
        assertThat(statesByMachine()).isEqualTo(Map.of("n-000002", "failed"));
    }

    @Test
    void failedWriteIsRefusedAndItsMachineNumberNeverReused() {
        poll("a", "boot-a", null);
        writeOutcome = 1;
        assertThat(rent("r1", 1).status()).isEqualTo(503);
        writeOutcome = 2;
        assertThat(rent("r1", 1).status()).isEqualTo(503);
        writeOutcome = 0;
        assertThat(machines(rent("r1", 1))).containsExactly("n-000003");
        rows.put("host/gone", rows.get("host/a"));
        assertThatThrownBy(this::restartPool)
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("gone");
    }

    /** An agent that obeys responses, some of which are lost, and stops its machine a lease after the last one. */
    private static final class SimulatedAgent {
        final String host;
        int boots;
        long sequence;
        String machine;
        long nextPollMs;
        long lastResponseMs;

        SimulatedAgent(String host) {
            this.host = host;
        }
    }

    @Test
    void noMachineIsReportedGoneWhileItRuns() {
        int deleted = 0;
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            rows.clear();
            responses.clear();
            restartPool();
            List<SimulatedAgent> agents = List.of(new SimulatedAgent("a"), new SimulatedAgent("b"));
            Map<Long, List<String>> deletions = new HashMap<>();
            Set<String> rented = new HashSet<>();
            Set<String> gone = new HashSet<>();
            for (int i = 0; i < 400; i++) {
                nowMs += 250;
                writeOutcome = random.nextInt(20) == 0 ? 1 + random.nextInt(2) : 0;
                for (SimulatedAgent agent : agents) {
                    stepAgent(agent, random);
                }
                if (random.nextInt(6) == 0) {
                    Outbox.Response response = rent("r" + i, 1);
                    if (response.status() == 200) {
                        for (Object machine : machines(response)) {
                            assertThat(rented.add((String) machine))
                                    .as("machine name used twice, seed " + seed)
                                    .isTrue();
                        }
                    }
                }
                List<String> machines = new ArrayList<>(statesByMachine().keySet());
                if (random.nextInt(8) == 0 && !machines.isEmpty()) {
                    deletions.put(delete(machines.get(0)), List.of(machines.get(0)));
                }
                if (random.nextInt(100) == 0) {
                    restartPool();
                }
                pool.tick(nowMs);
                perform();
                deletions.forEach((exchange, deletedMachines) -> {
                    if (responseStatus(exchange) == 200) {
                        gone.addAll(deletedMachines);
                    }
                });
                for (SimulatedAgent agent : agents) {
                    assertThat(agent.machine == null || !gone.contains(agent.machine))
                            .as(agent.machine + " runs but was reported gone, seed " + seed)
                            .isTrue();
                    assertThat(agent.machine == null
                                    || !"failed".equals(statesByMachine().get(agent.machine)))
                            .as("machine is failed and runs, seed " + seed)
                            .isTrue();
                }
                assertThat(agents.get(0).machine == null
                                || !agents.get(0).machine.equals(agents.get(1).machine))
                        .isTrue();
            }
            deleted += gone.size();
        }
        assertThat(deleted).isGreaterThan(3_000);
    }

    private void stepAgent(SimulatedAgent agent, SplittableRandom random) {
        if (agent.machine != null && nowMs - agent.lastResponseMs > LEASE_MS) {
            agent.machine = null;
        }
        if (random.nextInt(120) == 0) {
            agent.boots++;
            agent.machine = null;
            agent.sequence = 0;
        }
        if (nowMs < agent.nextPollMs || random.nextInt(5) == 0) {
            return;
        }
        Outbox.Response response = poll(
                agent.host,
                "boot-" + agent.boots,
                agent.machine,
                agent.boots > 0 ? "boot-" + (agent.boots - 1) : null,
                ++agent.sequence);
        if (random.nextInt(4) == 0) {
            // The response is lost, in some cases with all others for longer than a lease.
            agent.nextPollMs = nowMs + (random.nextInt(10) == 0 ? 2 * LEASE_MS : 1_000);
            return;
        }
        if (response.status() == 200) {
            agent.lastResponseMs = nowMs;
            agent.machine = (String) response.body().get("host");
        }
    }
}
