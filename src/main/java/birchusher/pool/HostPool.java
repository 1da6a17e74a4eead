package birchusher.pool;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A cloud of hosts that are there already, as a pure machine: a machine is rented by being taken from the pool and returned
 * by being parked. What it promises of the published cloud protocol:
 *
 * <ul>
 * <li>A host is never rented twice at once, nor lost: what it is rented as is durable before it is told, and a request
 *     that is repeated gets the same machines, also after a restart.
 * <li>A deletion is answered only when nothing of the machine runs any more: when its agent has said so, or when the agent has had no
 *     answer for so long that it has killed everything by itself ({@link Hosts#leaseMs}). Until then the answer is 503.
 * <li>{@code failed} is listed only of machines on which nothing runs: their agent was replaced, or has been silent that long.
 * </ul>
 *
 * <pre>
 * state     row                              becomes
 * parked    none                             rented: a rental asks for its type and zone, and its agent is heard
 * rented    host/NAME {machine, boot, ...}   leaving: a deletion; failed: silent for a lease, or another agent came
 * leaving   the same, leaving                parked: its agent says that it runs nothing, or was silent for a lease
 * failed    the same, failed                 parked: a deletion
 * </pre>
 */
public final class HostPool {
    static final String HOST_ROW_PREFIX = "host/";
    static final String REQUEST_ROW_PREFIX = "ask/";
    static final String NEXT_NUMBER_ROW = "next";
    /** From a rental to the first task: the agent asks, reports, and reports again with the token it was told. */
    private static final double READY_S = 3.0;

    private static final int MAX_RENT_COUNT = 50;
    private static final int MAX_DELETE_COUNT = 100;
    private static final int MAX_LIST_COUNT = 500;
    /** Answers to rentals that are remembered; a request that comes later than that many others is not known as a repeat. */
    private static final int MAX_REMEMBERED_REQUESTS = 5_000;

    private static final int MAX_HOSTS_PER_WRITE = 64;
    /** A host whose agent was not heard of for this long is not rented. */
    private static final long MAX_SILENCE_MS = 3_000;
    /** An agent parks its host within a poll; whoever deletes is told to come back after this. */
    private static final long DELETE_WAIT_MS = 3_000;
    /** Steady clocks of two hosts may differ by 0.05 % each, and an answer may have been a while on its way out. */
    private static final double CLOCK_DRIFT_FACTOR = 1.002;

    private static final long DELIVERY_MARGIN_MS = 1_000;

    private enum RentalState {
        RENTED,
        LEAVING,
        FAILED
    }

    /** What a host is rented as. */
    private record Rental(String machine, String bootId, long rentedAtMs, RentalState state) {
        Map<String, Object> toRow() {
            return Map.of("machine", machine, "boot", bootId, "since", rentedAtMs, "stage", state.name());
        }

        static Rental fromRow(Map<String, Object> m) {
            return new Rental(
                    Fields.text(m, "machine"),
                    Fields.text(m, "boot"),
                    Fields.count(m, "since"),
                    RentalState.valueOf(Fields.text(m, "stage")));
        }

        Rental withState(RentalState s) {
            return new Rental(machine, bootId, rentedAtMs, s);
        }
    }

    private static final class PooledHost {
        final HostInventory.Host host;
        Rental rental;
        /** A write about it is under way; nothing else is decided of it meanwhile. */
        boolean writePending;
        /** Of the agent that may speak for this host, null before one is heard. */
        String bootId;
        /** Number of its newest message; older ones that arrive late say what is no longer so. */
        long lastSequence;

        String address;
        long heardMs;
        /** It has said that it runs as the machine that it is rented as. */
        boolean running;

        PooledHost(HostInventory.Host host) {
            this.host = host;
        }
    }

    private record PendingDeletion(long exchange, Set<String> machines, long deadlineMs) {}

    private final HostInventory inventory;
    private final Map<String, ?> agentSettings;
    private final Outbox outbox;
    private final Map<String, PooledHost> hostsByName = new LinkedHashMap<>();
    private final TreeMap<String, PooledHost> hostsByMachine = new TreeMap<>();
    private final LinkedHashMap<String, List<String>> machinesByRequest = new LinkedHashMap<>();
    private final Set<String> requestsInProgress = new HashSet<>();
    private final List<PendingDeletion> pendingDeletions = new ArrayList<>();
    private long nextNumber = 1;
    private long requestSequence;
    private long nowMs;

    /**
     * @param terms what every agent is told with its answer
     * @param rows what was written before; others' rows are passed over
     * @throws Bad if a row can't be read, or is of a host that is no longer listed and was rented
     */
    public HostPool(
            HostInventory hosts, Map<String, ?> terms, Outbox out, Map<String, Map<String, Object>> rows, long now) {
        this.inventory = hosts;
        this.agentSettings = Map.copyOf(terms);
        this.outbox = out;
        this.nowMs = now;
        hosts.hosts().forEach((n, h) -> hostsByName.put(n, new PooledHost(h)));
        TreeMap<Long, String> order = new TreeMap<>();
        rows.forEach((key, row) -> {
            if (key.equals(NEXT_NUMBER_ROW)) {
                nextNumber = Fields.count(row, "next");
            } else if (key.startsWith(HOST_ROW_PREFIX)) {
                PooledHost m = hostsByName.get(key.substring(HOST_ROW_PREFIX.length()));
                if (m == null) {
                    throw new InvalidInputException(key.substring(HOST_ROW_PREFIX.length()) + ": is rented as "
                            + row.get("machine") + " and missing among the hosts; list it until it has been returned");
                }
                m.rental = Rental.fromRow(row);
                m.bootId = m.rental.bootId();
                // When its agent was last answered is not known any more: it may have been just now.
                m.heardMs = now;
                hostsByMachine.put(m.rental.machine(), m);
            } else if (key.startsWith(REQUEST_ROW_PREFIX)) {
                order.put(Fields.count(row, "order"), key.substring(REQUEST_ROW_PREFIX.length()));
            }
        });
        order.forEach((n, ask) -> {
            machinesByRequest.put(
                    ask,
                    Fields.list(rows.get(REQUEST_ROW_PREFIX + ask), Wire.MACHINES).stream()
                            .map(String::valueOf)
                            .toList());
            requestSequence = n;
        });
    }

    private long agentLeaseMs() {
        return Math.round(inventory.leaseMs() * CLOCK_DRIFT_FACTOR) + DELIVERY_MARGIN_MS;
    }

    // ---- the cloud protocol

    public Map<String, Object> listTypes() {
        List<Object> l = new ArrayList<>();
        for (HostInventory.HostType t : inventory.types()) {
            Map<String, Object> m = new HashMap<>();
            Object[] values = {
                t.name(),
                t.cpus(),
                t.gpus(),
                t.memoryGb(),
                1_000.0,
                1_000.0,
                t.price(),
                t.price(),
                inventory.zones(t.name()),
                READY_S
            };
            for (int i = 0; i < values.length; i++) {
                m.put(Wire.TYPE_FIELDS[i], values[i]);
            }
            l.add(m);
        }
        return Map.of(Wire.TYPE_LIST, l);
    }

    /** {@code POST /rentals} */
    public void rent(long at, long wall, long exchange, Map<String, Object> body) {
        nowMs = at;
        String ask = Fields.text(body, Wire.RENTAL_REQUEST);
        String type = Fields.text(body, Wire.TYPE);
        String zone = Fields.text(body, Wire.ZONE);
        boolean spot = Fields.flag(body, Wire.SPOT);
        long count = Fields.count(body, Wire.COUNT);
        if (count < 1 || count > MAX_RENT_COUNT) {
            throw new InvalidInputException(Wire.COUNT + ": 1 to " + MAX_RENT_COUNT);
        }
        List<String> before = machinesByRequest.get(ask);
        if (before != null) {
            outbox.answer(exchange, 200, Map.of(Wire.MACHINES, before));
            return;
        }
        if (requestsInProgress.contains(ask)) {
            outbox.refuse(exchange, 503, "the same request is under way", 1);
            return;
        }
        List<PooledHost> free = new ArrayList<>();
        for (PooledHost m : hostsByName.values()) {
            if (!spot
                    && m.rental == null
                    && !m.writePending
                    && m.bootId != null
                    && nowMs - m.heardMs <= MAX_SILENCE_MS
                    && free.size() < count
                    && m.host.type().equals(type)
                    && m.host.zone().equals(zone)) {
                free.add(m);
            }
        }
        if (free.isEmpty()) {
            // A host on its way back is no lack of hosts: whoever hears of one looks elsewhere for a good while.
            boolean soon = !spot
                    && hostsByName.values().stream()
                            .anyMatch(m -> nowMs - m.heardMs <= MAX_SILENCE_MS
                                    && m.bootId != null
                                    && (m.writePending || m.rental != null && m.rental.state() != RentalState.RENTED)
                                    && m.host.type().equals(type)
                                    && m.host.zone().equals(zone));
            outbox.refuse(exchange, 503, soon ? "trouble" : "no capacity", soon ? 1 : 5);
            return;
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        Map<PooledHost, Rental> taken = new LinkedHashMap<>();
        for (PooledHost m : free) {
            // A number is never used again, even if this write fails: it may be there after a restart.
            Rental r = new Rental(String.format("n-%06d", nextNumber++), m.bootId, wall, RentalState.RENTED);
            taken.put(m, r);
            rows.put(HOST_ROW_PREFIX + m.host.name(), r.toRow());
            m.writePending = true;
        }
        List<String> names = taken.values().stream().map(Rental::machine).toList();
        rows.put(REQUEST_ROW_PREFIX + ask, Map.of("order", ++requestSequence, Wire.MACHINES, names));
        rows.put(NEXT_NUMBER_ROW, Map.of("next", nextNumber));
        Iterator<String> oldest = machinesByRequest.keySet().iterator();
        String forgotten = machinesByRequest.size() >= MAX_REMEMBERED_REQUESTS ? oldest.next() : null;
        if (forgotten != null) {
            rows.put(REQUEST_ROW_PREFIX + forgotten, null);
        }
        requestsInProgress.add(ask);
        outbox.write(rows, durable -> {
            requestsInProgress.remove(ask);
            taken.forEach((m, r) -> {
                m.writePending = false;
                if (durable) {
                    m.rental = r;
                    m.running = false;
                    hostsByMachine.put(r.machine(), m);
                }
            });
            if (durable) {
                machinesByRequest.remove(forgotten);
                machinesByRequest.put(ask, names);
                outbox.answer(exchange, 200, Map.of(Wire.MACHINES, names));
            } else {
                outbox.refuse(exchange, 503, "trouble", 1);
            }
        });
    }

    /** {@code POST /rentals/delete} */
    public void delete(long at, long exchange, Map<String, Object> body) {
        nowMs = at;
        List<?> names = Fields.list(body, Wire.MACHINES);
        if (names.size() > MAX_DELETE_COUNT) {
            throw new InvalidInputException(Wire.MACHINES + ": at most " + MAX_DELETE_COUNT);
        }
        Set<String> leaving = new HashSet<>();
        for (Object o : names) {
            if (o instanceof String s && hostsByMachine.containsKey(s)) {
                leaving.add(s);
            }
        }
        startReturning(leaving);
        pendingDeletions.add(new PendingDeletion(exchange, leaving, nowMs + DELETE_WAIT_MS));
        answerDeletions();
    }

    /** Marks machines as leaving, or parks those on which nothing runs; what is busy is looked at again with the next tick. */
    private void startReturning(Set<String> names) {
        List<PooledHost> turn = new ArrayList<>();
        for (String n : names) {
            PooledHost m = hostsByMachine.get(n);
            if (m != null
                    && !m.writePending
                    && m.rental.state() != RentalState.LEAVING
                    && turn.size() < MAX_HOSTS_PER_WRITE) {
                turn.add(m);
            }
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        for (PooledHost m : turn) {
            rows.put(
                    HOST_ROW_PREFIX + m.host.name(),
                    m.rental.state() == RentalState.FAILED
                            ? null
                            : m.rental.withState(RentalState.LEAVING).toRow());
        }
        writeRentals(turn, rows);
    }

    /** Writes these members' new rows, and takes them over once they are durable. */
    private void writeRentals(List<PooledHost> turn, Map<String, Map<String, ?>> rows) {
        if (turn.isEmpty()) {
            return;
        }
        turn.forEach(m -> m.writePending = true);
        outbox.write(rows, durable -> {
            for (PooledHost m : turn) {
                m.writePending = false;
                Map<String, ?> row = rows.get(HOST_ROW_PREFIX + m.host.name());
                if (!durable) {
                    continue;
                }
                if (row == null) {
                    hostsByMachine.remove(m.rental.machine());
                    m.rental = null;
                    m.running = false;
                } else {
                    m.rental = m.rental.withState(RentalState.valueOf((String) row.get("stage")));
                }
            }
            answerDeletions();
        });
    }

    /** Answers deletions that have come to their end, or have waited long enough. */
    private void answerDeletions() {
        for (Iterator<PendingDeletion> i = pendingDeletions.iterator(); i.hasNext(); ) {
            PendingDeletion l = i.next();
            if (l.machines().stream().noneMatch(hostsByMachine::containsKey)) {
                i.remove();
                outbox.answer(l.exchange(), 200, Map.of());
            } else if (nowMs >= l.deadlineMs()) {
                i.remove();
                outbox.refuse(l.exchange(), 503, "trouble", 2);
            }
        }
    }

    /** {@code GET /rentals} */
    public Map<String, Object> listMachines(long wall, String after, long most) {
        if (most < 1 || most > MAX_LIST_COUNT) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + MAX_LIST_COUNT);
        }
        List<Object> l = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, PooledHost> e :
                hostsByMachine.tailMap(after, false).entrySet()) {
            if (l.size() == most) {
                more = true;
                break;
            }
            PooledHost m = e.getValue();
            l.add(Map.of(
                    Wire.ID,
                    e.getKey(),
                    Wire.ADDRESS,
                    m.address == null ? "unknown:1" : m.address,
                    Wire.TYPE,
                    m.host.type(),
                    Wire.ZONE,
                    m.host.zone(),
                    Wire.SPOT,
                    false,
                    Wire.STATE,
                    m.rental.state() == RentalState.FAILED ? "failed" : m.running ? Wire.RUNNING : "starting",
                    Wire.AGE_S,
                    Math.max(0, wall - m.rental.rentedAtMs()) / 1000.0));
        }
        return Map.of(Wire.MACHINES, l, Wire.HAS_MORE, more);
    }

    // ---- agents

    /**
     * {@code POST /agents}: an agent says who it is and which machine it runs as, and is told which one it should be.
     * 404: no such host; 409: another agent speaks for it. Whoever is answered otherwise may not run anything.
     */
    public void handlePoll(long at, long exchange, Map<String, Object> body) {
        nowMs = at;
        String name = Fields.text(body, "agent");
        String boot = Fields.text(body, "boot");
        String runs = Fields.textOrNull(body, Wire.MACHINE);
        String address = Fields.text(body, Wire.ADDRESS);
        String before = Fields.textOrNull(body, "before");
        long message = Fields.count(body, Wire.SEQUENCE);
        PooledHost m = hostsByName.get(name);
        if (m == null) {
            outbox.refuse(exchange, 404, "no host " + name + " is listed", 0);
            return;
        }
        if (!boot.equals(m.bootId)) {
            // Whoever holds the lock on the agent's directory and found the other's mark there knows that it is dead;
            // nobody
            // else does before a lease has passed.
            if (m.bootId != null && !m.bootId.equals(before) && nowMs - m.heardMs <= agentLeaseMs()) {
                outbox.refuse(
                        exchange,
                        409,
                        "another agent speaks for host " + name + ", heard " + (nowMs - m.heardMs) / 1000 + " s ago",
                        5);
                return;
            }
            m.bootId = boot;
        } else if (message <= m.lastSequence) {
            // "Runs nothing" from before it was told to be a machine would park that machine with its tasks running.
            outbox.refuse(exchange, 409, "older than what was heard", 1);
            return;
        }
        m.lastSequence = message;
        m.heardMs = nowMs;
        m.address = address;
        Rental r = m.rental;
        boolean mine = r != null && r.bootId().equals(boot);
        if (r != null && !m.writePending) {
            if (!mine && r.state() == RentalState.RENTED) {
                writeRentals(
                        List.of(m),
                        Map.of(
                                HOST_ROW_PREFIX + name,
                                r.withState(RentalState.FAILED).toRow()));
            } else if (r.state() == RentalState.LEAVING && (!mine || runs == null)) {
                Map<String, Map<String, ?>> rows = new HashMap<>();
                rows.put(HOST_ROW_PREFIX + name, null);
                writeRentals(List.of(m), rows);
            }
        }
        boolean should = mine && r.state() == RentalState.RENTED;
        m.running = should && r.machine().equals(runs);
        Map<String, Object> answer = new HashMap<>(agentSettings);
        answer.put(Wire.MACHINE, should ? r.machine() : null);
        answer.put(Wire.TYPE, m.host.type());
        answer.put(Wire.ZONE, m.host.zone());
        HostInventory.HostType t = inventory.type(m.host.type());
        answer.put(Wire.CPUS, t.cpus());
        answer.put(Wire.GPUS, t.gpus());
        answer.put(Wire.MEMORY_GB, t.memoryGb());
        outbox.answer(exchange, 200, answer);
    }

    public void tick(long at) {
        nowMs = at;
        List<PooledHost> turn = new ArrayList<>();
        Map<String, Map<String, ?>> rows = new HashMap<>();
        for (PooledHost m : hostsByName.values()) {
            if (m.rental == null
                    || m.writePending
                    || nowMs - m.heardMs <= agentLeaseMs()
                    || turn.size() >= MAX_HOSTS_PER_WRITE) {
                continue;
            }
            if (m.rental.state() == RentalState.RENTED) {
                turn.add(m);
                rows.put(
                        HOST_ROW_PREFIX + m.host.name(),
                        m.rental.withState(RentalState.FAILED).toRow());
            } else if (m.rental.state() == RentalState.LEAVING) {
                turn.add(m);
                rows.put(HOST_ROW_PREFIX + m.host.name(), null);
            }
        }
        writeRentals(turn, rows);
        Set<String> leaving = new HashSet<>();
        pendingDeletions.forEach(l -> leaving.addAll(l.machines()));
        startReturning(leaving);
        answerDeletions();
    }

    /** The hosts for people: name, state, machine, address, seconds since heard. */
    public List<Map<String, Object>> describeHosts(long at) {
        List<Map<String, Object>> l = new ArrayList<>();
        for (PooledHost m : hostsByName.values()) {
            Map<String, Object> x = new LinkedHashMap<>();
            x.put("agent", m.host.name());
            x.put(Wire.TYPE, m.host.type());
            x.put(Wire.ZONE, m.host.zone());
            x.put(
                    Wire.STATE,
                    m.rental == null
                            ? m.bootId == null || at - m.heardMs > MAX_SILENCE_MS ? "absent" : "parked"
                            : m.rental.state() == RentalState.RENTED
                                    ? m.running ? Wire.RUNNING : "starting"
                                    : m.rental.state() == RentalState.LEAVING ? "leaving" : "failed");
            x.put(Wire.MACHINE, m.rental == null ? null : m.rental.machine());
            x.put("heard_s", m.address == null ? null : (at - m.heardMs) / 1000.0);
            l.add(x);
        }
        return l;
    }

    /** Where a host's agent listens, null if it has not been heard of. */
    public String agentAddress(String host) {
        PooledHost m = hostsByName.get(host);
        return m == null ? null : m.address;
    }

    /** Hosts whose agents are heard of. */
    public List<String> reachableHosts(long at) {
        return hostsByName.values().stream()
                .filter(m -> m.address != null && at - m.heardMs <= MAX_SILENCE_MS)
                .map(m -> m.host.name())
                .toList();
    }
}
