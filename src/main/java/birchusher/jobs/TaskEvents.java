package birchusher.jobs;

import birchusher.store.Claim;
import birchusher.wire.Wire;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Recent placements and ends of tasks, as this controller saw them in the rows of the state service, for
 * {@code describe}. Bounded over all jobs and kept in memory only: after a start it begins with the tasks that are
 * placed then.
 */
public final class TaskEvents {
    private static final int MAX_EVENTS = 4_096;
    private static final int MAX_EVENTS_PER_REPLY = 50;

    private record Event(long atMs, String job, int task, long attempt, String machine, String description) {}

    private final ArrayDeque<Event> ring = new ArrayDeque<>();

    /** Records that a task was placed; {@code nowMs} is steady time, as in all methods. */
    public void placed(long nowMs, Claim claim) {
        add(nowMs, claim, "placed");
    }

    /**
     * Records that a claim was released.
     *
     * @param lost whether the task has to run again
     */
    public void ended(long nowMs, Claim claim, boolean lost) {
        add(nowMs, claim, lost ? "ended, to be run again" : Wire.DONE);
    }

    private void add(long nowMs, Claim claim, String description) {
        if (ring.size() == MAX_EVENTS) {
            ring.removeFirst();
        }
        ring.addLast(
                new Event(nowMs, claim.job().spec.id(), claim.task(), claim.attempt(), claim.machine(), description));
    }

    /** Returns the last events of a job, newest first. */
    List<Map<String, Object>> latestOf(long nowMs, String job) {
        List<Map<String, Object>> events = new ArrayList<>();
        for (Iterator<Event> iterator = ring.descendingIterator();
                iterator.hasNext() && events.size() < MAX_EVENTS_PER_REPLY; ) {
            Event event = iterator.next();
            if (event.job().equals(job)) {
                events.add(Map.of(
                        "ago_s",
                        (nowMs - event.atMs()) / 1000.0,
                        "index",
                        event.task(),
                        Wire.ATTEMPT,
                        event.attempt(),
                        Wire.MACHINE,
                        event.machine(),
                        "what",
                        event.description()));
            }
        }
        return events;
    }
}
