package birchusher.agent;

import java.util.List;
import java.util.Map;

/** What {@link Worker} asks its edge to do. */
sealed interface Action {
    /** One task and attempt. */
    record AttemptKey(String job, int index, long attempt) {
        String taskName() {
            return job + "/" + index;
        }
    }

    /** Send a report; {@link Worker#answered} is told the answer. */
    record SendReport(long id, String address, Map<String, ?> body) implements Action {}

    record SendResponse(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Action {}

    /** Ask for a job's description; {@link Worker#described} is told. */
    record FetchDescription(String jobId) implements Action {}

    /** Start the process, unless its result is kept; {@link Worker#exited} is told when nothing of it is left. */
    record StartProcess(AttemptKey key, JobDescription description, List<String> gangHosts) implements Action {}

    /** Ask the process to save or to end. */
    record SendSignal(AttemptKey key, String name) implements Action {}

    /** End everything the task has started, at once. */
    record KillTask(AttemptKey key) implements Action {}

    /** End everything of all tasks; {@link Worker#cleared} is told when nothing is left. */
    record KillAllTasks() implements Action {}

    /** What was kept for the task on this host may go, but its logs. */
    record DeleteWorkDir(AttemptKey key) implements Action {}

    /** Tell the other tasks of the gang; {@link Worker#gangSaid} is told. */
    record SendGangStatus(AttemptKey key, int taskCount, String phase) implements Action {}

    /** All tasks have to be gone in so many milliseconds, unless this is said again. */
    record ExtendSupervisorLease(long remainingMs) implements Action {}
}
