package birchusher.agent;

import java.util.List;
import java.util.Map;

/** What {@link Worker} asks its edge to do. */
sealed interface Action {
    /** One task and attempt. */
    record Key(String job, int index, long attempt) {
        String piece() {
            return job + "/" + index;
        }
    }

    /** Send a report; {@link Worker#answered} is told the answer. */
    record Report(long id, String address, Map<String, ?> body) implements Action {}

    record Answer(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Action {}

    /** Ask for a job's description; {@link Worker#described} is told. */
    record Fetch(String job) implements Action {}

    /** Start the process, unless its result is kept; {@link Worker#exited} is told when nothing of it is left. */
    record Run(Key key, Description job, List<String> gangHosts) implements Action {}

    /** Ask the process to save or to end. */
    record Signal(Key key, String name) implements Action {}

    /** End everything the task has started, at once. */
    record Kill(Key key) implements Action {}

    /** End everything of all tasks; {@link Worker#cleared} is told when nothing is left. */
    record KillAll() implements Action {}

    /** What was kept for the task on this host may go, but its logs. */
    record Forget(Key key) implements Action {}

    /** Tell the other tasks of the gang; {@link Worker#gangSaid} is told. */
    record Say(Key key, int tasks, String phase) implements Action {}

    /** All tasks have to be gone in so many milliseconds, unless this is said again. */
    record Lease(long remainingMs) implements Action {}
}
