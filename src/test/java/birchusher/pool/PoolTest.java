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
class PoolTest {
    private static final long LEASE_MS = 10_000;
    private static final Hosts HOSTS = new Hosts(
            List.of(new Hosts.Type("small", 4, 0, 8, 1)),
            new TreeMap<>(Map.of("a", new Hosts.Host("a", "small", "z"), "b", new Hosts.Host("b", "small", "z"))),
            LEASE_MS);

    private final Map<String, Map<String, Object>> rows = new HashMap<>();
    private final Map<Long, Outbox.Answer> answers = new HashMap<>();
    private Outbox outbox;
    private Pool pool;
    private long now = 1_000;
    private long exchange;
    private long message;
    /** Of the next writes: kept and told; not kept and told so; kept, but told otherwise. */
    private int writes;

    @BeforeEach
    void start() {
        outbox = new Outbox();
        pool = new Pool(HOSTS, Map.of("lease_s", 10.0), outbox, rows, now);
    }

    @SuppressWarnings("unchecked")
    private void act() {
        for (List<Outbox.Output> l = outbox.drain(); !l.isEmpty(); l = outbox.drain()) {
            for (Outbox.Output o : l) {
                if (o instanceof Outbox.Answer a) {
                    assertThat(answers.put(a.exchange(), a))
                            .as("answered twice")
                            .isNull();
                } else {
                    Outbox.Write w = (Outbox.Write) o;
                    if (writes != 1) {
                        w.rows().forEach((k, v) -> {
                            if (v == null) {
                                rows.remove(k);
                            } else {
                                rows.put(k, (Map<String, Object>) v);
                            }
                        });
                    }
                    outbox.written(w.id(), writes == 0);
                }
            }
        }
    }

    private Outbox.Answer rent(String ask, long count) {
        pool.rent(
                now,
                50_000 + now,
                ++exchange,
                Map.of("ask", ask, "build", "small", "grove", "z", "loaners", false, "how_many", count));
        act();
        return answers.get(exchange);
    }

    private long delete(String... names) {
        pool.delete(now, ++exchange, Map.of("hosts", List.of(names)));
        act();
        return exchange;
    }

    private Outbox.Answer poll(String host, String boot, String runs) {
        return poll(host, boot, runs, null, ++message);
    }

    private Outbox.Answer poll(String host, String boot, String runs, String before, long number) {
        Map<String, Object> m = new HashMap<>(Map.of("agent", host, "boot", boot, "address", "h:1", "tick", number));
        m.put("host", runs);
        m.put("before", before);
        pool.poll(now, ++exchange, m);
        act();
        return answers.get(exchange);
    }

    private int status(long x) {
        return answers.containsKey(x) ? answers.get(x).status() : 0;
    }

    private List<Object> hosts(Outbox.Answer a) {
        return new ArrayList<>((List<?>) a.body().get("hosts"));
    }

    @SuppressWarnings("unchecked")
    private Map<String, String> listed() {
        Map<String, String> m = new LinkedHashMap<>();
        for (Object o : (List<Object>) pool.list(now, "", 500).get("hosts")) {
            Map<String, Object> x = (Map<String, Object>) o;
            m.put((String) x.get("name_id"), (String) x.get("stage"));
        }
        return m;
    }

    @Test
    void aHostIsRentedOnceAndARepeatedRequestGetsTheSameAlsoAfterARestart() {
        assertThat(rent("r1", 2).body().get("error")).as("no agent is heard").isEqualTo("no capacity");
        poll("a", "boot-a", null);
        poll("b", "boot-b", null);
        assertThat(hosts(rent("r1", 3))).containsExactly("n-000001", "n-000002");
        assertThat(hosts(rent("r1", 3))).containsExactly("n-000001", "n-000002");
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        start();
        assertThat(hosts(rent("r1", 3))).containsExactly("n-000001", "n-000002");
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        assertThat(poll("a", "boot-a", "n-000001").body().get("host")).isEqualTo("n-000001");
        assertThat(listed()).isEqualTo(Map.of("n-000001", "running", "n-000002", "starting"));
    }

    @Test
    void aMachineIsGoneOnlyWhenItsAgentSaysSoOrHasBeenSilentForALease() {
        poll("a", "boot-a", null);
        rent("r1", 1);
        poll("a", "boot-a", "n-000001");
        long x = delete("n-000001", "n-000099");
        assertThat(status(x)).isZero();
        assertThat(rent("r2", 1).body().get("error")).as("it will be back soon").isEqualTo("trouble");
        assertThat(poll("a", "boot-a", "n-000001").body().get("host"))
                .as("told to end it")
                .isNull();
        assertThat(status(x)).isZero();
        poll("a", "boot-a", null);
        assertThat(status(x)).isEqualTo(200);
        assertThat(hosts(rent("r2", 1))).containsExactly("n-000002");
        // Now it falls silent: who deletes is told to come back, until the lease has passed.
        long y = delete("n-000002");
        now += 4_000;
        pool.tick(now);
        act();
        assertThat(answers.get(y).status()).isEqualTo(503);
        assertThat(answers.get(y).retryAfterS()).isPositive();
        now += LEASE_MS;
        pool.tick(now);
        act();
        assertThat(status(delete("n-000002"))).isEqualTo(200);
        assertThat(listed()).isEmpty();
    }

    @Test
    void aMessageThatArrivesLateParksNothing() {
        poll("a", "boot-a", null, null, 1);
        long late = 2;
        rent("r1", 1);
        poll("a", "boot-a", "n-000001", null, 3);
        long x = delete("n-000001");
        // "Runs nothing", sent before the agent was told to be the machine.
        assertThat(poll("a", "boot-a", null, null, late).status()).isEqualTo(409);
        assertThat(status(x)).isZero();
    }

    @Test
    void twoAgentsOfOneNameNeverSpeakForOneHost() {
        poll("a", "boot-1", null);
        rent("r1", 1);
        poll("a", "boot-1", "n-000001");
        assertThat(poll("a", "boot-2", null).status()).isEqualTo(409);
        assertThat(poll("a", "boot-1", "n-000001").body().get("host")).isEqualTo("n-000001");
        // One that found the other dead, in its own directory, may take over at once; what that ran has failed.
        assertThat(poll("a", "boot-2", null, "boot-1", ++message).body().get("host"))
                .isNull();
        assertThat(listed()).isEqualTo(Map.of("n-000001", "failed"));
        assertThat(poll("a", "boot-1", "n-000001").status()).isEqualTo(409);
        assertThat(rent("r2", 1).status()).isEqualTo(503);
        assertThat(status(delete("n-000001"))).isEqualTo(200);
        assertThat(hosts(rent("r2", 1))).containsExactly("n-000002");
        // And one that knows nothing has to wait.
        now += LEASE_MS / 2;
        assertThat(poll("a", "boot-3", null).status()).isEqualTo(409);
        now += LEASE_MS;
        assertThat(poll("a", "boot-3", null).status()).isEqualTo(200);
        assertThat(listed()).isEqualTo(Map.of("n-000002", "failed"));
    }

    @Test
    void whatCantBeKeptIsRefusedAndItsNumberNeverUsedAgain() {
        poll("a", "boot-a", null);
        writes = 1;
        assertThat(rent("r1", 1).status()).isEqualTo(503);
        writes = 2;
        assertThat(rent("r1", 1).status()).isEqualTo(503);
        writes = 0;
        assertThat(hosts(rent("r1", 1))).containsExactly("n-000003");
        rows.put("host/gone", rows.get("host/a"));
        assertThatThrownBy(this::start)
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("gone");
    }

    /** What one agent would do: it obeys answers, which may be lost, and ends its machine a lease after the last one. */
    private static final class Agent {
        final String host;
        int boots;
        long message;
        String runs;
        long asked;
        long answered;

        Agent(String host) {
            this.host = host;
        }
    }

    @Test
    void whateverIsLostNoMachineIsCalledGoneWhileItRuns() {
        int deleted = 0;
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            rows.clear();
            answers.clear();
            start();
            List<Agent> agents = List.of(new Agent("a"), new Agent("b"));
            Map<Long, List<String>> deletions = new HashMap<>();
            Set<String> rented = new HashSet<>();
            Set<String> gone = new HashSet<>();
            for (int i = 0; i < 400; i++) {
                now += 250;
                writes = r.nextInt(20) == 0 ? 1 + r.nextInt(2) : 0;
                for (Agent a : agents) {
                    step(a, r);
                }
                if (r.nextInt(6) == 0) {
                    Outbox.Answer got = rent("r" + i, 1);
                    if (got.status() == 200) {
                        for (Object h : hosts(got)) {
                            assertThat(rented.add((String) h))
                                    .as("a name given twice, seed " + seed)
                                    .isTrue();
                        }
                    }
                }
                List<String> names = new ArrayList<>(listed().keySet());
                if (r.nextInt(8) == 0 && !names.isEmpty()) {
                    deletions.put(delete(names.get(0)), List.of(names.get(0)));
                }
                if (r.nextInt(100) == 0) {
                    start();
                }
                pool.tick(now);
                act();
                deletions.forEach((x, l) -> {
                    if (status(x) == 200) {
                        gone.addAll(l);
                    }
                });
                for (Agent a : agents) {
                    assertThat(a.runs == null || !gone.contains(a.runs))
                            .as(a.runs + " runs and is gone, seed " + seed)
                            .isTrue();
                    assertThat(a.runs == null || !"failed".equals(listed().get(a.runs)))
                            .as("failed and runs, " + seed)
                            .isTrue();
                }
                assertThat(agents.get(0).runs == null || !agents.get(0).runs.equals(agents.get(1).runs))
                        .isTrue();
            }
            deleted += gone.size();
        }
        assertThat(deleted).isGreaterThan(3_000);
    }

    private void step(Agent a, SplittableRandom r) {
        if (a.runs != null && now - a.answered > LEASE_MS) {
            a.runs = null;
        }
        if (r.nextInt(120) == 0) {
            a.boots++;
            a.runs = null;
            a.message = 0;
        }
        if (now < a.asked || r.nextInt(5) == 0) {
            return;
        }
        Outbox.Answer got =
                poll(a.host, "boot-" + a.boots, a.runs, a.boots > 0 ? "boot-" + (a.boots - 1) : null, ++a.message);
        if (r.nextInt(4) == 0) {
            // The answer is lost; now and then for longer than a lease.
            a.asked = now + (r.nextInt(10) == 0 ? 2 * LEASE_MS : 1_000);
            return;
        }
        if (got.status() == 200) {
            a.answered = now;
            a.runs = (String) got.body().get("host");
        }
    }
}
