package birchusher.jobs;

import birchusher.store.Claim;
import birchusher.wire.Wire;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What became of tasks lately, as this controller saw it in the state service's rows, for {@code describe}. Bounded over all jobs, in
 * memory only: after a start it begins with what is placed then.
 */
public final class TaskEvents {
    private static final int MAX_EVENTS = 4_096;
    private static final int MAX_EVENTS_PER_REPLY = 50;

    private record Event(long atMs, String job, int task, long attempt, String machine, String what) {}

    private final ArrayDeque<Event> ring = new ArrayDeque<>();

    public void placed(long now, Claim c) {
        add(now, c, "placed");
    }

    /** @param lost whether the task has still to run */
    public void ended(long now, Claim c, boolean lost) {
        add(now, c, lost ? "ended, to be run again" : Wire.DONE);
    }

    private void add(long now, Claim c, String what) {
        if (ring.size() == MAX_EVENTS) {
            ring.removeFirst();
        }
        ring.addLast(new Event(now, c.job().spec.id(), c.task(), c.attempt(), c.machine(), what));
    }

    /** The last ones of a job, newest first. */
    List<Map<String, Object>> latestOf(long now, String job) {
        List<Map<String, Object>> l = new ArrayList<>();
        for (Iterator<Event> i = ring.descendingIterator(); i.hasNext() && l.size() < MAX_EVENTS_PER_REPLY; ) {
            Event e = i.next();
            if (e.job().equals(job)) {
                l.add(Map.of(
                        "ago_s",
                        (now - e.atMs()) / 1000.0,
                        "index",
                        e.task(),
                        Wire.ATTEMPT,
                        e.attempt(),
                        Wire.MACHINE,
                        e.machine(),
                        "what",
                        e.what()));
            }
        }
        return l;
    }
}
