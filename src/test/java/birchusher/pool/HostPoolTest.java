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

/** A pool of fixed hosts: never rented twice, never called gone while something of it may run. */
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
    /** Of the next writes: kept and told; not kept and told so; kept, but told otherwise. */
    private int writeOutcome;

    @BeforeEach
    void restartPool() {
        outbox = new Outbox();
        pool = new HostPool(INVENTORY, Map.of("lease_s", 10.0), outbox, rows, nowMs);
    }

    @SuppressWarnings("unchecked")
    private void perform() {
        for (List<Outbox.Output> l = outbox.drain(); !l.isEmpty(); l = outbox.drain()) {
            for (Outbox.Output o : l) {
                if (o instanceof Outbox.Response a) {
                    assertThat(responses.put(a.exchange(), a))
                            .as("answered twice")
                            .isNull();
                } else {
                    Outbox.Write w = (Outbox.Write) o;
                    if (writeOutcome != 1) {
                        w.rows().forEach((k, v) -> {
                            if (v == null) {
                                rows.remove(k);
                            } else {
                                rows.put(k, (Map<String, Object>) v);
                            }
                        });
                    }
                    outbox.onWritten(w.id(), writeOutcome == 0);
                }
            }
        }
    }

    private Outbox.Response rent(String ask, long count) {
        pool.rent(
                nowMs,
                50_000 + nowMs,
                ++lastExchange,
                Map.of("ask", ask, "build", "small", "grove", "z", "loaners", false, "how_many", count));
        perform();
        return responses.get(lastExchange);
    }

    private long delete(String... names) {
        pool.delete(nowMs, ++lastExchange, Map.of("hosts", List.of(names)));
        perform();
        return lastExchange;
    }

    private Outbox.Response poll(String host, String boot, String runs) {
        return poll(host, boot, runs, null, ++lastSequence);
    }

    private Outbox.Response poll(String host, String boot, String runs, String before, long number) {
        Map<String, Object> m = new HashMap<>(Map.of("agent", host, "boot", boot, "address", "h:1", "tick", number));
        m.put("host", runs);
        m.put("before", before);
        pool.handlePoll(nowMs, ++lastExchange, m);
        perform();
        return responses.get(lastExchange);
    }

    private int responseStatus(long x) {
        return responses.containsKey(x) ? responses.get(x).status() : 0;
    }

    private List<Object> machines(Outbox.Response a) {
        return new ArrayList<>((List<?>) a.body().get("hosts"));
    }

    @SuppressWarnings("unchecked")
    private Map<String, String> statesByMachine() {
        Map<String, String> m = new LinkedHashMap<>();
        for (Object o : (List<Object>) pool.listMachines(nowMs, "", 500).get("hosts")) {
            Map<String, Object> x = (Map<String, Object>) o;
            m.put((String) x.get("name_id"), (String) x.get("stage"));
        }
        return m;
    }

    @Test
    void repeatedRentalRequestReturnsTheSameMachinesAlsoAfterARestart() {
        assertThat(rent("r1", 2).body().get("error")).as("no agent is heard").isEqualTo("no capacity");
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
        long x = delete("n-000001", "n-000099");
        assertThat(responseStatus(x)).isZero();
        assertThat(rent("r2", 1).body().get("error")).as("it will be back soon").isEqualTo("trouble");
        assertThat(poll("a", "boot-a", "n-000001").body().get("host"))
                .as("told to end it")
                .isNull();
        assertThat(responseStatus(x)).isZero();
        poll("a", "boot-a", null);
        assertThat(responseStatus(x)).isEqualTo(200);
        assertThat(machines(rent("r2", 1))).containsExactly("n-000002");
        // Now it falls silent: who deletes is told to come back, until the lease has passed.
        long y = delete("n-000002");
        nowMs += 4_000;
        pool.tick(nowMs);
        perform();
        assertThat(responses.get(y).status()).isEqualTo(503);
        assertThat(responses.get(y).retryAfterS()).isPositive();
        nowMs += LEASE_MS;
        pool.tick(nowMs);
        perform();
        assertThat(responseStatus(delete("n-000002"))).isEqualTo(200);
        assertThat(statesByMachine()).isEmpty();
    }

    @Test
    void outdatedPollDoesNotParkAHost() {
        poll("a", "boot-a", null, null, 1);
        long late = 2;
        rent("r1", 1);
        poll("a", "boot-a", "n-000001", null, 3);
        long x = delete("n-000001");
        // "Runs nothing", sent before the agent was told to be the machine.
        assertThat(poll("a", "boot-a", null, null, late).status()).isEqualTo(409);
        assertThat(responseStatus(x)).isZero();
    }

    @Test
    void onlyOneAgentControlsAHost() {
        poll("a", "boot-1", null);
        rent("r1", 1);
        poll("a", "boot-1", "n-000001");
        assertThat(poll("a", "boot-2", null).status()).isEqualTo(409);
        assertThat(poll("a", "boot-1", "n-000001").body().get("host")).isEqualTo("n-000001");
        // One that found the other dead, in its own directory, may take over at once; what that ran has failed.
        assertThat(poll("a", "boot-2", null, "boot-1", ++lastSequence).body().get("host"))
                .isNull();
        assertThat(statesByMachine()).isEqualTo(Map.of("n-000001", "failed"));
        assertThat(poll("a", "boot-1", "n-000001").status()).isEqualTo(409);
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        assertThat(responseStatus(delete("n-000001"))).isEqualTo(200);
        assertThat(machines(rent("r2", 1))).containsExactly("n-000002");
        // And one that knows nothing has to wait.
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

    /** What one agent would do: it obeys answers, which may be lost, and ends its machine a lease after the last one. */
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
            SplittableRandom r = new SplittableRandom(seed);
            rows.clear();
            responses.clear();
            restartPool();
            List<SimulatedAgent> agents = List.of(new SimulatedAgent("a"), new SimulatedAgent("b"));
            Map<Long, List<String>> deletions = new HashMap<>();
            Set<String> rented = new HashSet<>();
            Set<String> gone = new HashSet<>();
            for (int i = 0; i < 400; i++) {
                nowMs += 250;
                writeOutcome = r.nextInt(20) == 0 ? 1 + r.nextInt(2) : 0;
                for (SimulatedAgent a : agents) {
                    stepAgent(a, r);
                }
                if (r.nextInt(6) == 0) {
                    Outbox.Response got = rent("r" + i, 1);
                    if (got.status() == 200) {
                        for (Object h : machines(got)) {
                            assertThat(rented.add((String) h))
                                    .as("a name given twice, seed " + seed)
                                    .isTrue();
                        }
                    }
                }
                List<String> names = new ArrayList<>(statesByMachine().keySet());
                if (r.nextInt(8) == 0 && !names.isEmpty()) {
                    deletions.put(delete(names.get(0)), List.of(names.get(0)));
                }
                if (r.nextInt(100) == 0) {
                    restartPool();
                }
                pool.tick(nowMs);
                perform();
                deletions.forEach((x, l) -> {
                    if (responseStatus(x) == 200) {
                        gone.addAll(l);
                    }
                });
                for (SimulatedAgent a : agents) {
                    assertThat(a.machine == null || !gone.contains(a.machine))
                            .as(a.machine + " runs and is gone, seed " + seed)
                            .isTrue();
                    assertThat(a.machine == null
                                    || !"failed".equals(statesByMachine().get(a.machine)))
                            .as("failed and runs, " + seed)
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

    private void stepAgent(SimulatedAgent a, SplittableRandom r) {
        if (a.machine != null && nowMs - a.lastResponseMs > LEASE_MS) {
            a.machine = null;
        }
        if (r.nextInt(120) == 0) {
            a.boots++;
            a.machine = null;
            a.sequence = 0;
        }
        if (nowMs < a.nextPollMs || r.nextInt(5) == 0) {
            return;
        }
        Outbox.Response got =
                poll(a.host, "boot-" + a.boots, a.machine, a.boots > 0 ? "boot-" + (a.boots - 1) : null, ++a.sequence);
        if (r.nextInt(4) == 0) {
            // The answer is lost; now and then for longer than a lease.
            a.nextPollMs = nowMs + (r.nextInt(10) == 0 ? 2 * LEASE_MS : 1_000);
            return;
        }
        if (got.status() == 200) {
            a.lastResponseMs = nowMs;
            a.machine = (String) got.body().get("host");
        }
    }
}
