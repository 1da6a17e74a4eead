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
 * A cloud provider made of a fixed set of hosts: renting a machine takes a parked host, deleting the machine parks the host
 * again. A state machine without I/O: times are passed in, responses and writes go to the {@link Outbox}. Not thread-safe.
 * It guarantees to users of the published cloud protocol:
 *
 * <ul>
 * <li>A host is never rented twice at the same time, nor lost: a rental is durable before it is answered, and a repeated
 *     request gets the same machines, also after a restart.
 * <li>A deletion succeeds only when nothing of the machine runs any more: its agent has reported that, or has received no
 *     answer for so long that it has killed everything itself ({@link HostInventory#leaseMs}). Until then the status is 503.
 * <li>{@code failed} is listed only for machines on which nothing runs: their agent was replaced or silent for that long.
 * </ul>
 *
 * <pre>
 * state     row                              next
 * parked    none                             rented: its type and zone are requested while its agent polls
 * rented    host/NAME {machine, boot, ...}   leaving: a deletion; failed: silent for a lease, or another agent polls
 * leaving   the same, leaving                parked: its agent reports that it runs nothing, or is silent for a lease
 * failed    the same, failed                 parked: a deletion
 * </pre>
 */
public final class HostPool {
    static final String HOST_ROW_PREFIX = "host/";
    static final String REQUEST_ROW_PREFIX = "ask/";
    static final String NEXT_NUMBER_ROW = "next";
    /** Time from a rental to the first task: the agent polls, reports, and reports again with its fencing token. */
    private static final double READY_S = 3.0;

    private static final int MAX_RENT_COUNT = 50;
    private static final int MAX_DELETE_COUNT = 100;
    private static final int MAX_LIST_COUNT = 500;
    /** Rental requests that are remembered; one repeated after that many others is not recognized as a repeat. */
    private static final int MAX_REMEMBERED_REQUESTS = 5_000;

    private static final int MAX_HOSTS_PER_WRITE = 64;
    /** A host whose agent has not polled for this long is not rented. */
    private static final long MAX_SILENCE_MS = 3_000;
    /** An agent parks its host within one poll; a deletion that takes longer is answered with 503. */
    private static final long DELETE_WAIT_MS = 3_000;
    /** Monotonic clocks of two hosts may drift by 0.05 % each. */
    private static final double CLOCK_DRIFT_FACTOR = 1.002;

    /** An answer may be delayed on its way to the agent. */
    private static final long DELIVERY_MARGIN_MS = 1_000;

    private static final double LISTED_CACHE_GB = 1_000.0;
    private static final double LISTED_FETCH_GB_PER_S = 1_000.0;
    private static final int RETRY_AFTER_S = 1;
    private static final int NO_CAPACITY_RETRY_AFTER_S = 5;
    private static final int OTHER_AGENT_RETRY_AFTER_S = 5;
    private static final int DELETE_RETRY_AFTER_S = 2;

    private enum RentalState {
        RENTED,
        LEAVING,
        FAILED
    }

    /** The rental of a host: its machine, the agent process it is rented to, and the wall time of the rental. */
    private record Rental(String machine, String bootId, long rentedAtMs, RentalState state) {
        Map<String, Object> toRow() {
            return Map.of("machine", machine, "boot", bootId, "since", rentedAtMs, "stage", state.name());
        }

        static Rental fromRow(Map<String, Object> row) {
            return new Rental(
                    Fields.text(row, "machine"),
                    Fields.text(row, "boot"),
                    Fields.count(row, "since"),
                    RentalState.valueOf(Fields.text(row, "stage")));
        }

        Rental withState(RentalState newState) {
            return new Rental(machine, bootId, rentedAtMs, newState);
        }
    }

    private static final class PooledHost {
        final HostInventory.Host listing;
        Rental rental;
        /** A write about this host is in progress; its rental does not change otherwise meanwhile. */
        boolean writePending;
        /** Identifies the agent process that controls this host; null before the first poll. */
        String bootId;
        /** Sequence number of the agent's newest poll; polls that arrive out of order are outdated and are refused. */
        long lastSequence;

        String address;
        /** Time of the newest accepted poll, or of the start of the pool if there was none since. */
        long lastPollMs;
        /** Its agent has reported that it runs as the rented machine. */
        boolean running;

        PooledHost(HostInventory.Host listing) {
            this.listing = listing;
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
     * @param agentSettings fields that are added to the response to every agent
     * @param rows the rows written before; rows of other components are skipped
     * @throws InvalidInputException if a row can't be read, or is of a rented host that is no longer listed
     */
    public HostPool(
            HostInventory inventory,
            Map<String, ?> agentSettings,
            Outbox outbox,
            Map<String, Map<String, Object>> rows,
            long nowMs) {
        this.inventory = inventory;
        this.agentSettings = Map.copyOf(agentSettings);
        this.outbox = outbox;
        this.nowMs = nowMs;
        inventory.hosts().forEach((name, host) -> hostsByName.put(name, new PooledHost(host)));
        TreeMap<Long, String> requestsBySequence = new TreeMap<>();
        rows.forEach((key, row) -> {
            if (key.equals(NEXT_NUMBER_ROW)) {
                nextNumber = Fields.count(row, "next");
            } else if (key.startsWith(HOST_ROW_PREFIX)) {
                PooledHost host = hostsByName.get(key.substring(HOST_ROW_PREFIX.length()));
                if (host == null) {
                    throw new InvalidInputException(
                            key.substring(HOST_ROW_PREFIX.length()) + ": is rented as " + row.get("machine")
                                    + " but is not listed among the hosts; list it until that machine has been returned");
                }
                host.rental = Rental.fromRow(row);
                host.bootId = host.rental.bootId();
                // The time of the last answer to its agent is unknown after a restart: it may be just before the
                // restart.
                host.lastPollMs = nowMs;
                hostsByMachine.put(host.rental.machine(), host);
            } else if (key.startsWith(REQUEST_ROW_PREFIX)) {
                requestsBySequence.put(Fields.count(row, "order"), key.substring(REQUEST_ROW_PREFIX.length()));
            }
        });
        requestsBySequence.forEach((sequence, request) -> {
            machinesByRequest.put(
                    request,
                    Fields.list(rows.get(REQUEST_ROW_PREFIX + request), Wire.MACHINES).stream()
                            .map(String::valueOf)
                            .toList());
            requestSequence = sequence;
        });
    }

    /** Time without a poll after which an agent has certainly killed all its tasks. */
    private long agentLeaseMs() {
        return Math.round(inventory.leaseMs() * CLOCK_DRIFT_FACTOR) + DELIVERY_MARGIN_MS;
    }

    // ---- the cloud protocol

    /** Handles {@code GET /machine_types}. */
    public Map<String, Object> listTypes() {
        List<Object> types = new ArrayList<>();
        for (HostInventory.HostType type : inventory.types()) {
            Map<String, Object> fields = new HashMap<>();
            Object[] values = {
                type.name(),
                type.cpus(),
                type.gpus(),
                type.memoryGb(),
                LISTED_CACHE_GB,
                LISTED_FETCH_GB_PER_S,
                type.price(),
                type.price(),
                inventory.zones(type.name()),
                READY_S
            };
            for (int i = 0; i < values.length; i++) {
                fields.put(Wire.TYPE_FIELDS[i], values[i]);
            }
            types.add(fields);
        }
        return Map.of(Wire.TYPE_LIST, types);
    }

    /** Handles {@code POST /rentals}; the response is sent when the rentals are durable. */
    public void rent(long atMs, long wallMs, long exchange, Map<String, Object> body) {
        nowMs = atMs;
        String request = Fields.text(body, Wire.RENTAL_REQUEST);
        String type = Fields.text(body, Wire.TYPE);
        String zone = Fields.text(body, Wire.ZONE);
        boolean spot = Fields.flag(body, Wire.SPOT);
        long count = Fields.count(body, Wire.COUNT);
        if (count < 1 || count > MAX_RENT_COUNT) {
            throw new InvalidInputException(Wire.COUNT + ": 1 to " + MAX_RENT_COUNT);
        }
        List<String> alreadyRented = machinesByRequest.get(request);
        if (alreadyRented != null) {
            outbox.answer(exchange, 200, Map.of(Wire.MACHINES, alreadyRented));
            return;
        }
        if (requestsInProgress.contains(request)) {
            outbox.refuse(exchange, 503, "the same request is in progress", RETRY_AFTER_S);
            return;
        }
        List<PooledHost> free = new ArrayList<>();
        for (PooledHost host : hostsByName.values()) {
            if (!spot
                    && host.rental == null
                    && !host.writePending
                    && host.bootId != null
                    && nowMs - host.lastPollMs <= MAX_SILENCE_MS
                    && free.size() < count
                    && host.listing.type().equals(type)
                    && host.listing.zone().equals(zone)) {
                free.add(host);
            }
        }
        if (free.isEmpty()) {
            // A host that will soon be parked is not reported as a lack of capacity, after which clients look for
            // it elsewhere for a long time.
            boolean freeSoon = !spot
                    && hostsByName.values().stream()
                            .anyMatch(host -> nowMs - host.lastPollMs <= MAX_SILENCE_MS
                                    && host.bootId != null
                                    && (host.writePending
                                            || host.rental != null && host.rental.state() != RentalState.RENTED)
                                    && host.listing.type().equals(type)
                                    && host.listing.zone().equals(zone));
            outbox.refuse(
                    exchange,
                    503,
                    freeSoon ? "trouble" : "no capacity",
                    freeSoon ? RETRY_AFTER_S : NO_CAPACITY_RETRY_AFTER_S);
            return;
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        Map<PooledHost, Rental> rentals = new LinkedHashMap<>();
        for (PooledHost host : free) {
            // A number is never used again, even if this write fails: a restart may find it written.
            Rental rental = new Rental(String.format("n-%06d", nextNumber++), host.bootId, wallMs, RentalState.RENTED);
            rentals.put(host, rental);
            rows.put(HOST_ROW_PREFIX + host.listing.name(), rental.toRow());
            host.writePending = true;
        }
        List<String> machines = rentals.values().stream().map(Rental::machine).toList();
        rows.put(REQUEST_ROW_PREFIX + request, Map.of("order", ++requestSequence, Wire.MACHINES, machines));
        rows.put(NEXT_NUMBER_ROW, Map.of("next", nextNumber));
        Iterator<String> oldestRequests = machinesByRequest.keySet().iterator();
        String forgottenRequest = machinesByRequest.size() >= MAX_REMEMBERED_REQUESTS ? oldestRequests.next() : null;
        if (forgottenRequest != null) {
            rows.put(REQUEST_ROW_PREFIX + forgottenRequest, null);
        }
        requestsInProgress.add(request);
        outbox.write(rows, durable -> {
            requestsInProgress.remove(request);
            rentals.forEach((host, rental) -> {
                host.writePending = false;
                if (durable) {
                    host.rental = rental;
                    host.running = false;
                    hostsByMachine.put(rental.machine(), host);
                }
            });
            if (durable) {
                machinesByRequest.remove(forgottenRequest);
                machinesByRequest.put(request, machines);
                outbox.answer(exchange, 200, Map.of(Wire.MACHINES, machines));
            } else {
                outbox.refuse(exchange, 503, "trouble", RETRY_AFTER_S);
            }
        });
    }

    /**
     * Handles {@code POST /rentals/delete}; the response is sent when all machines are gone, or with status 503
     * after {@value #DELETE_WAIT_MS} ms.
     */
    public void delete(long atMs, long exchange, Map<String, Object> body) {
        nowMs = atMs;
        List<?> machines = Fields.list(body, Wire.MACHINES);
        if (machines.size() > MAX_DELETE_COUNT) {
            throw new InvalidInputException(Wire.MACHINES + ": at most " + MAX_DELETE_COUNT);
        }
        Set<String> known = new HashSet<>();
        for (Object item : machines) {
            if (item instanceof String machine && hostsByMachine.containsKey(machine)) {
                known.add(machine);
            }
        }
        startReturning(known);
        pendingDeletions.add(new PendingDeletion(exchange, known, nowMs + DELETE_WAIT_MS));
        answerDeletions();
    }

    /** Marks machines as leaving and parks failed ones; {@link #tick} repeats this for hosts with a pending write. */
    private void startReturning(Set<String> machines) {
        List<PooledHost> changed = new ArrayList<>();
        for (String machine : machines) {
            PooledHost host = hostsByMachine.get(machine);
            if (host != null
                    && !host.writePending
                    && host.rental.state() != RentalState.LEAVING
                    && changed.size() < MAX_HOSTS_PER_WRITE) {
                changed.add(host);
            }
        }
        Map<String, Map<String, ?>> rows = new HashMap<>();
        for (PooledHost host : changed) {
            rows.put(
                    HOST_ROW_PREFIX + host.listing.name(),
                    host.rental.state() == RentalState.FAILED
                            ? null
                            : host.rental.withState(RentalState.LEAVING).toRow());
        }
        writeRentals(changed, rows);
    }

    /** Writes new rows of hosts, and applies them when they are durable. */
    private void writeRentals(List<PooledHost> changed, Map<String, Map<String, ?>> rows) {
        if (changed.isEmpty()) {
            return;
        }
        changed.forEach(host -> host.writePending = true);
        outbox.write(rows, durable -> {
            for (PooledHost host : changed) {
                host.writePending = false;
                Map<String, ?> row = rows.get(HOST_ROW_PREFIX + host.listing.name());
                if (!durable) {
                    continue;
                }
                if (row == null) {
                    hostsByMachine.remove(host.rental.machine());
                    host.rental = null;
                    host.running = false;
                } else {
                    host.rental = host.rental.withState(RentalState.valueOf((String) row.get("stage")));
                }
            }
            answerDeletions();
        });
    }

    /** Answers deletions whose machines are gone, or whose deadline has passed. */
    private void answerDeletions() {
        for (Iterator<PendingDeletion> i = pendingDeletions.iterator(); i.hasNext(); ) {
            PendingDeletion deletion = i.next();
            if (deletion.machines().stream().noneMatch(hostsByMachine::containsKey)) {
                i.remove();
                outbox.answer(deletion.exchange(), 200, Map.of());
            } else if (nowMs >= deletion.deadlineMs()) {
                i.remove();
                outbox.refuse(deletion.exchange(), 503, "trouble", DELETE_RETRY_AFTER_S);
            }
        }
    }

    /** Handles {@code GET /rentals}: at most {@code limit} machines whose names follow {@code after}. */
    public Map<String, Object> listMachines(long wallMs, String after, long limit) {
        if (limit < 1 || limit > MAX_LIST_COUNT) {
            throw new InvalidInputException(Wire.LIMIT + ": 1 to " + MAX_LIST_COUNT);
        }
        List<Object> machines = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, PooledHost> entry :
                hostsByMachine.tailMap(after, false).entrySet()) {
            if (machines.size() == limit) {
                more = true;
                break;
            }
            PooledHost host = entry.getValue();
            machines.add(Map.of(
                    Wire.ID,
                    entry.getKey(),
                    Wire.ADDRESS,
                    host.address == null ? "unknown:1" : host.address,
                    Wire.TYPE,
                    host.listing.type(),
                    Wire.ZONE,
                    host.listing.zone(),
                    Wire.SPOT,
                    false,
                    Wire.STATE,
                    host.rental.state() == RentalState.FAILED ? "failed" : host.running ? Wire.RUNNING : "starting",
                    Wire.AGE_S,
                    Math.max(0, wallMs - host.rental.rentedAtMs()) / 1000.0));
        }
        return Map.of(Wire.MACHINES, machines, Wire.HAS_MORE, more);
    }

    // ---- agents

    /**
     * Handles {@code POST /agents}: an agent reports its host and the machine that it runs as, and the response names the
     * machine that it is to run as. Status 404 if the host is not listed, 409 if another agent controls it or if the poll
     * is outdated. An agent must not run anything unless the status is 200.
     */
    public void handlePoll(long atMs, long exchange, Map<String, Object> body) {
        nowMs = atMs;
        String name = Fields.text(body, "agent");
        String bootId = Fields.text(body, "boot");
        String reportedMachine = Fields.textOrNull(body, Wire.MACHINE);
        String address = Fields.text(body, Wire.ADDRESS);
        String previousBootId = Fields.textOrNull(body, "before");
        long sequence = Fields.count(body, Wire.SEQUENCE);
        PooledHost host = hostsByName.get(name);
        if (host == null) {
            outbox.refuse(exchange, 404, "host " + name + " is not listed", 0);
            return;
        }
        if (!bootId.equals(host.bootId)) {
            // An agent that holds the lock on its directory and found the previous agent's id there proves that the
            // previous one is dead; any other agent has to wait until a lease has passed.
            if (host.bootId != null
                    && !host.bootId.equals(previousBootId)
                    && nowMs - host.lastPollMs <= agentLeaseMs()) {
                outbox.refuse(
                        exchange,
                        409,
                        "another agent speaks for host " + name + ", last poll " + (nowMs - host.lastPollMs) / 1000
                                + " s ago",
                        OTHER_AGENT_RETRY_AFTER_S);
                return;
            }
            host.bootId = bootId;
        } else if (sequence <= host.lastSequence) {
            // A poll sent before the agent ran as its machine would park that machine while its tasks run.
            outbox.refuse(exchange, 409, "poll is older than the newest one received", RETRY_AFTER_S);
            return;
        }
        host.lastSequence = sequence;
        host.lastPollMs = nowMs;
        host.address = address;
        Rental rental = host.rental;
        boolean rentedByAgent = rental != null && rental.bootId().equals(bootId);
        if (rental != null && !host.writePending) {
            if (!rentedByAgent && rental.state() == RentalState.RENTED) {
                writeRentals(
                        List.of(host),
                        Map.of(
                                HOST_ROW_PREFIX + name,
                                rental.withState(RentalState.FAILED).toRow()));
            } else if (rental.state() == RentalState.LEAVING && (!rentedByAgent || reportedMachine == null)) {
                Map<String, Map<String, ?>> rows = new HashMap<>();
                rows.put(HOST_ROW_PREFIX + name, null);
                writeRentals(List.of(host), rows);
            }
        }
        boolean assigned = rentedByAgent && rental.state() == RentalState.RENTED;
        host.running = assigned && rental.machine().equals(reportedMachine);
        Map<String, Object> answer = new HashMap<>(agentSettings);
        answer.put(Wire.MACHINE, assigned ? rental.machine() : null);
        answer.put(Wire.TYPE, host.listing.type());
        answer.put(Wire.ZONE, host.listing.zone());
        HostInventory.HostType type = inventory.type(host.listing.type());
        answer.put(Wire.CPUS, type.cpus());
        answer.put(Wire.GPUS, type.gpus());
        answer.put(Wire.MEMORY_GB, type.memoryGb());
        outbox.answer(exchange, 200, answer);
    }

    /** Ends rentals of silent agents and advances deletions; to be called periodically. */
    public void tick(long atMs) {
        nowMs = atMs;
        List<PooledHost> changed = new ArrayList<>();
        Map<String, Map<String, ?>> rows = new HashMap<>();
        for (PooledHost host : hostsByName.values()) {
            if (host.rental == null
                    || host.writePending
                    || nowMs - host.lastPollMs <= agentLeaseMs()
                    || changed.size() >= MAX_HOSTS_PER_WRITE) {
                continue;
            }
            if (host.rental.state() == RentalState.RENTED) {
                changed.add(host);
                rows.put(
                        HOST_ROW_PREFIX + host.listing.name(),
                        host.rental.withState(RentalState.FAILED).toRow());
            } else if (host.rental.state() == RentalState.LEAVING) {
                changed.add(host);
                rows.put(HOST_ROW_PREFIX + host.listing.name(), null);
            }
        }
        writeRentals(changed, rows);
        Set<String> leaving = new HashSet<>();
        pendingDeletions.forEach(deletion -> leaving.addAll(deletion.machines()));
        startReturning(leaving);
        answerDeletions();
    }

    /** Describes all hosts for operators: name, type, zone, state, machine and seconds since the last poll. */
    public List<Map<String, Object>> describeHosts(long atMs) {
        List<Map<String, Object>> descriptions = new ArrayList<>();
        for (PooledHost host : hostsByName.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("agent", host.listing.name());
            fields.put(Wire.TYPE, host.listing.type());
            fields.put(Wire.ZONE, host.listing.zone());
            fields.put(
                    Wire.STATE,
                    host.rental == null
                            ? host.bootId == null || atMs - host.lastPollMs > MAX_SILENCE_MS ? "absent" : "parked"
                            : host.rental.state() == RentalState.RENTED
                                    ? host.running ? Wire.RUNNING : "starting"
                                    : host.rental.state() == RentalState.LEAVING ? "leaving" : "failed");
            fields.put(Wire.MACHINE, host.rental == null ? null : host.rental.machine());
            fields.put("heard_s", host.address == null ? null : (atMs - host.lastPollMs) / 1000.0);
            descriptions.add(fields);
        }
        return descriptions;
    }

    /** Returns the host and port of a host's agent, null if it has not polled. */
    public String agentAddress(String name) {
        PooledHost host = hostsByName.get(name);
        return host == null ? null : host.address;
    }

    /** Returns the hosts whose agents have polled recently. */
    public List<String> reachableHosts(long atMs) {
        return hostsByName.values().stream()
                .filter(host -> host.address != null && atMs - host.lastPollMs <= MAX_SILENCE_MS)
                .map(host -> host.listing.name())
                .toList();
    }
}
