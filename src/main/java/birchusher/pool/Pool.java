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
public final class Pool {
    static final String HOST = "host/";
    static final String ASK = "ask/";
    static final String NEXT = "next";
    /** From a rental to the first task: the agent asks, reports, and reports again with the token it was told. */
    private static final double READY_S = 3.0;

    private static final int MAX_COUNT = 50;
    private static final int MAX_DELETE = 100;
    private static final int MAX_LIST = 500;
    /** Answers to rentals that are remembered; a request that comes later than that many others is not known as a repeat. */
    private static final int MAX_ASKS = 5_000;

    private static final int MAX_WRITES = 64;
    /** A host whose agent was not heard of for this long is not rented. */
    private static final long SILENT_MS = 3_000;
    /** An agent parks its host within a poll; whoever deletes is told to come back after this. */
    private static final long LEAVE_MS = 3_000;
    /** Steady clocks of two hosts may differ by 0.05 % each, and an answer may have been a while on its way out. */
    private static final double DRIFT = 1.002;

    private static final long MARGIN_MS = 1_000;

    private enum Stage {
        RENTED,
        LEAVING,
        FAILED
    }

    /** What a host is rented as. */
    private record Rental(String machine, String boot, long since, Stage stage) {
        Map<String, Object> row() {
            return Map.of("machine", machine, "boot", boot, "since", since, "stage", stage.name());
        }

        static Rental of(Map<String, Object> m) {
            return new Rental(
                    Fields.text(m, "machine"),
                    Fields.text(m, "boot"),
                    Fields.count(m, "since"),
                    Stage.valueOf(Fields.text(m, "stage")));
        }

        Rental with(Stage s) {
            return new Rental(machine, boot, since, s);
        }
    }

    private static final class Member {
        final Hosts.Host host;
        Rental rental;
        /** A write about it is under way; nothing else is decided of it meanwhile. */
        boolean busy;
        /** Of the agent that may speak for this host, null before one is heard. */
        String boot;
        /** Number of its newest message; older ones that arrive late say what is no longer so. */
        long message;

        String address;
        long heard;
        /** It has said that it runs as the machine that it is rented as. */
        boolean up;

        Member(Hosts.Host host) {
            this.host = host;
        }
    }

    private record Leaver(long exchange, Set<String> machines, long until) {}

    private final Hosts hosts;
    private final Map<String, ?> terms;
    private final Outbox out;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final TreeMap<String, Member> machines = new TreeMap<>();
    private final LinkedHashMap<String, List<String>> asks = new LinkedHashMap<>();
    private final Set<String> asking = new HashSet<>();
    private final List<Leaver> leavers = new ArrayList<>();
    private long next = 1;
    private long asked;
    private long now;

    /**
     * @param terms what every agent is told with its answer
     * @param rows what was written before; others' rows are passed over
     * @throws Bad if a row can't be read, or is of a host that is no longer listed and was rented
     */
    public Pool(Hosts hosts, Map<String, ?> terms, Outbox out, Map<String, Map<String, Object>> rows, long now) {
        this.hosts = hosts;
        this.terms = Map.copyOf(terms);
        this.out = out;
        this.now = now;
        hosts.hosts().forEach((n, h) -> members.put(n, new Member(h)));
        TreeMap<Long, String> order = new TreeMap<>();
        rows.forEach((key, row) -> {
            if (key.equals(NEXT)) {
                next = Fields.count(row, "next");
            } else if (key.startsWith(HOST)) {
                Member m = members.get(key.substring(HOST.length()));
                if (m == null) {
                    throw new InvalidInputException(key.substring(HOST.length()) + ": is rented as "
                            + row.get("machine") + " and missing among the hosts; list it until it has been returned");
                }
                m.rental = Rental.of(row);
                m.boot = m.rental.boot();
                // When its agent was last answered is not known any more: it may have been just now.
                m.heard = now;
                machines.put(m.rental.machine(), m);
            } else if (key.startsWith(ASK)) {
                order.put(Fields.count(row, "order"), key.substring(ASK.length()));
            }
        });
        order.forEach((n, ask) -> {
            asks.put(
                    ask,
                    Fields.list(rows.get(ASK + ask), Wire.MACHINES).stream()
                            .map(String::valueOf)
                            .toList());
            asked = n;
        });
    }

    private long silentEnough() {
        return Math.round(hosts.leaseMs() * DRIFT) + MARGIN_MS;
    }

    // ---- the cloud protocol

    public Map<String, Object> types() {
        List<Object> l = new ArrayList<>();
        for (Hosts.Type t : hosts.types()) {
            Map<String, Object> m = new HashMap<>();
            Object[] values = {
                t.name(),
                t.cpus(),
                t.gpus(),
                t.memGb(),
                1_000.0,
                1_000.0,
                t.price(),
                t.price(),
                hosts.zones(t.name()),
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
        now = at;
        String ask = Fields.text(body, Wire.RENTAL_REQUEST);
        String type = Fields.text(body, Wire.TYPE);
        String zone = Fields.text(body, Wire.ZONE);
        boolean spot = Fields.flag(body, Wire.SPOT);
        long count = Fields.count(body, Wire.COUNT);
        if (count < 1 || count > MAX_COUNT) {
            throw new InvalidInputException(Wire.COUNT + ": 1 to " + MAX_COUNT);
        }
        List<String> before = asks.get(ask);
        if (before != null) {
            out.answer(exchange, 200, Map.of(Wire.MACHINES, before));
            return;
        }
        if (asking.contains(ask)) {
            out.refuse(exchange, 503, "the same request is under way", 1);
            return;
        }
        List<Member> free = new ArrayList<>();
        for (Member m : members.values()) {
            if (!spot
                    && m.rental == null
                    && !m.busy
                    && m.boot != null
                    && now - m.heard <= SILENT_MS
                    && free.size() < count
                    && m.host.type().equals(type)
                    && m.host.zone().equals(zone)) {
                free.add(m);
            }
        }
        if (free.isEmpty()) {
            // A host on its way back is no lack of hosts: whoever hears of one looks elsewhere for a good while.
            boolean soon = !spot
                    && members.values().stream()
                            .anyMatch(m -> now - m.heard <= SILENT_MS
                                    && m.boot != null
                                    && (m.busy || m.rental != null && m.rental.stage() != Stage.RENTED)
                                    && m.host.type().equals(type)
                                    && m.host.zone().equals(zone));
            out.refuse(exchange, 503, soon ? "trouble" : "no capacity", soon ? 1 : 5);
            return;
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        Map<Member, Rental> taken = new LinkedHashMap<>();
        for (Member m : free) {
            // A number is never used again, even if this write fails: it may be there after a restart.
            Rental r = new Rental(String.format("n-%06d", next++), m.boot, wall, Stage.RENTED);
            taken.put(m, r);
            rows.put(HOST + m.host.name(), r.row());
            m.busy = true;
        }
        List<String> names = taken.values().stream().map(Rental::machine).toList();
        rows.put(ASK + ask, Map.of("order", ++asked, Wire.MACHINES, names));
        rows.put(NEXT, Map.of("next", next));
        Iterator<String> oldest = asks.keySet().iterator();
        String forgotten = asks.size() >= MAX_ASKS ? oldest.next() : null;
        if (forgotten != null) {
            rows.put(ASK + forgotten, null);
        }
        asking.add(ask);
        out.write(rows, durable -> {
            asking.remove(ask);
            taken.forEach((m, r) -> {
                m.busy = false;
                if (durable) {
                    m.rental = r;
                    m.up = false;
                    machines.put(r.machine(), m);
                }
            });
            if (durable) {
                asks.remove(forgotten);
                asks.put(ask, names);
                out.answer(exchange, 200, Map.of(Wire.MACHINES, names));
            } else {
                out.refuse(exchange, 503, "trouble", 1);
            }
        });
    }

    /** {@code POST /rentals/delete} */
    public void delete(long at, long exchange, Map<String, Object> body) {
        now = at;
        List<?> names = Fields.list(body, Wire.MACHINES);
        if (names.size() > MAX_DELETE) {
            throw new InvalidInputException(Wire.MACHINES + ": at most " + MAX_DELETE);
        }
        Set<String> leaving = new HashSet<>();
        for (Object o : names) {
            if (o instanceof String s && machines.containsKey(s)) {
                leaving.add(s);
            }
        }
        leave(leaving);
        leavers.add(new Leaver(exchange, leaving, now + LEAVE_MS));
        settle();
    }

    /** Marks machines as leaving, or parks those on which nothing runs; what is busy is looked at again with the next tick. */
    private void leave(Set<String> names) {
        List<Member> turn = new ArrayList<>();
        for (String n : names) {
            Member m = machines.get(n);
            if (m != null && !m.busy && m.rental.stage() != Stage.LEAVING && turn.size() < MAX_WRITES) {
                turn.add(m);
            }
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        for (Member m : turn) {
            rows.put(
                    HOST + m.host.name(),
                    m.rental.stage() == Stage.FAILED
                            ? null
                            : m.rental.with(Stage.LEAVING).row());
        }
        change(turn, rows);
    }

    /** Writes these members' new rows, and takes them over once they are durable. */
    private void change(List<Member> turn, Map<String, Map<String, ?>> rows) {
        if (turn.isEmpty()) {
            return;
        }
        turn.forEach(m -> m.busy = true);
        out.write(rows, durable -> {
            for (Member m : turn) {
                m.busy = false;
                Map<String, ?> row = rows.get(HOST + m.host.name());
                if (!durable) {
                    continue;
                }
                if (row == null) {
                    machines.remove(m.rental.machine());
                    m.rental = null;
                    m.up = false;
                } else {
                    m.rental = m.rental.with(Stage.valueOf((String) row.get("stage")));
                }
            }
            settle();
        });
    }

    /** Answers deletions that have come to their end, or have waited long enough. */
    private void settle() {
        for (Iterator<Leaver> i = leavers.iterator(); i.hasNext(); ) {
            Leaver l = i.next();
            if (l.machines().stream().noneMatch(machines::containsKey)) {
                i.remove();
                out.answer(l.exchange(), 200, Map.of());
            } else if (now >= l.until()) {
                i.remove();
                out.refuse(l.exchange(), 503, "trouble", 2);
            }
        }
    }

    /** {@code GET /rentals} */
    public Map<String, Object> list(long wall, String after, long most) {
        if (most < 1 || most > MAX_LIST) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + MAX_LIST);
        }
        List<Object> l = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Member> e : machines.tailMap(after, false).entrySet()) {
            if (l.size() == most) {
                more = true;
                break;
            }
            Member m = e.getValue();
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
                    m.rental.stage() == Stage.FAILED ? "failed" : m.up ? Wire.RUNNING : "starting",
                    Wire.AGE_S,
                    Math.max(0, wall - m.rental.since()) / 1000.0));
        }
        return Map.of(Wire.MACHINES, l, Wire.HAS_MORE, more);
    }

    // ---- agents

    /**
     * {@code POST /agents}: an agent says who it is and which machine it runs as, and is told which one it should be.
     * 404: no such host; 409: another agent speaks for it. Whoever is answered otherwise may not run anything.
     */
    public void poll(long at, long exchange, Map<String, Object> body) {
        now = at;
        String name = Fields.text(body, "agent");
        String boot = Fields.text(body, "boot");
        String runs = Fields.textOrNull(body, Wire.MACHINE);
        String address = Fields.text(body, Wire.ADDRESS);
        String before = Fields.textOrNull(body, "before");
        long message = Fields.count(body, Wire.SEQUENCE);
        Member m = members.get(name);
        if (m == null) {
            out.refuse(exchange, 404, "no host " + name + " is listed", 0);
            return;
        }
        if (!boot.equals(m.boot)) {
            // Whoever holds the lock on the agent's directory and found the other's mark there knows that it is dead;
            // nobody
            // else does before a lease has passed.
            if (m.boot != null && !m.boot.equals(before) && now - m.heard <= silentEnough()) {
                out.refuse(
                        exchange,
                        409,
                        "another agent speaks for host " + name + ", heard " + (now - m.heard) / 1000 + " s ago",
                        5);
                return;
            }
            m.boot = boot;
        } else if (message <= m.message) {
            // "Runs nothing" from before it was told to be a machine would park that machine with its tasks running.
            out.refuse(exchange, 409, "older than what was heard", 1);
            return;
        }
        m.message = message;
        m.heard = now;
        m.address = address;
        Rental r = m.rental;
        boolean mine = r != null && r.boot().equals(boot);
        if (r != null && !m.busy) {
            if (!mine && r.stage() == Stage.RENTED) {
                change(List.of(m), Map.of(HOST + name, r.with(Stage.FAILED).row()));
            } else if (r.stage() == Stage.LEAVING && (!mine || runs == null)) {
                Map<String, Map<String, ?>> rows = new HashMap<>();
                rows.put(HOST + name, null);
                change(List.of(m), rows);
            }
        }
        boolean should = mine && r.stage() == Stage.RENTED;
        m.up = should && r.machine().equals(runs);
        Map<String, Object> answer = new HashMap<>(terms);
        answer.put(Wire.MACHINE, should ? r.machine() : null);
        answer.put(Wire.TYPE, m.host.type());
        answer.put(Wire.ZONE, m.host.zone());
        Hosts.Type t = hosts.type(m.host.type());
        answer.put(Wire.CPUS, t.cpus());
        answer.put(Wire.GPUS, t.gpus());
        answer.put(Wire.MEMORY_GB, t.memGb());
        out.answer(exchange, 200, answer);
    }

    public void tick(long at) {
        now = at;
        List<Member> turn = new ArrayList<>();
        Map<String, Map<String, ?>> rows = new HashMap<>();
        for (Member m : members.values()) {
            if (m.rental == null || m.busy || now - m.heard <= silentEnough() || turn.size() >= MAX_WRITES) {
                continue;
            }
            if (m.rental.stage() == Stage.RENTED) {
                turn.add(m);
                rows.put(HOST + m.host.name(), m.rental.with(Stage.FAILED).row());
            } else if (m.rental.stage() == Stage.LEAVING) {
                turn.add(m);
                rows.put(HOST + m.host.name(), null);
            }
        }
        change(turn, rows);
        Set<String> leaving = new HashSet<>();
        leavers.forEach(l -> leaving.addAll(l.machines()));
        leave(leaving);
        settle();
    }

    /** The hosts for people: name, state, machine, address, seconds since heard. */
    public List<Map<String, Object>> describe(long at) {
        List<Map<String, Object>> l = new ArrayList<>();
        for (Member m : members.values()) {
            Map<String, Object> x = new LinkedHashMap<>();
            x.put("agent", m.host.name());
            x.put(Wire.TYPE, m.host.type());
            x.put(Wire.ZONE, m.host.zone());
            x.put(
                    Wire.STATE,
                    m.rental == null
                            ? m.boot == null || at - m.heard > SILENT_MS ? "absent" : "parked"
                            : m.rental.stage() == Stage.RENTED
                                    ? m.up ? Wire.RUNNING : "starting"
                                    : m.rental.stage() == Stage.LEAVING ? "leaving" : "failed");
            x.put(Wire.MACHINE, m.rental == null ? null : m.rental.machine());
            x.put("heard_s", m.address == null ? null : (at - m.heard) / 1000.0);
            l.add(x);
        }
        return l;
    }

    /** Where a host's agent listens, null if it has not been heard of. */
    public String address(String host) {
        Member m = members.get(host);
        return m == null ? null : m.address;
    }

    /** Hosts whose agents are heard of. */
    public List<String> heard(long at) {
        return members.values().stream()
                .filter(m -> m.address != null && at - m.heard <= SILENT_MS)
                .map(m -> m.host.name())
                .toList();
    }
}
