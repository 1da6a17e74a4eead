package birchusher.agent;

import java.util.List;
import java.util.Map;

/** What the {@link Worker} state machine wants the {@link Agent} to do. */
sealed interface Action {
    /** Identifies one attempt of one task. */
    record AttemptKey(String job, int index, long attempt) {
        String taskName() {
            return job + "/" + index;
        }
    }

    /** Send a report to a controller; the response goes to {@link Worker#onReportResponse}. */
    record SendReport(long id, String address, Map<String, ?> body) implements Action {}

    /** Answer an HTTP request that the worker received. */
    record SendResponse(long exchange, int status, Map<String, ?> body, int retryAfterS) implements Action {}

    /** Request a job's description from the daemon; it goes to {@link Worker#onDescription}. */
    record FetchDescription(String jobId) implements Action {}

    /**
     * Start the task's process, unless the task is marked as done; {@link Worker#onTaskExit} is called when no process of the
     * task is left.
     */
    record StartProcess(AttemptKey key, JobDescription description, List<String> gangHosts) implements Action {}

    /** Send the task's process a signal, which asks it to save or to end. */
    record SendSignal(AttemptKey key, String name) implements Action {}

    /** Kill all processes that the task has started, at once. */
    record KillTask(AttemptKey key) implements Action {}

    /** Kill all processes of all tasks; {@link Worker#onAllKilled} is called when none is left. */
    record KillAllTasks() implements Action {}

    /** Delete the attempt's working directory on this host; its logs stay. */
    record DeleteWorkDir(AttemptKey key) implements Action {}

    /** Report the task's phase to the gang coordinator; its instruction goes to {@link Worker#onGangInstruction}. */
    record SendGangStatus(AttemptKey key, int taskCount, String phase) implements Action {}

    /** Make the supervisor kill all tasks after this time, unless the lease is extended again before. */
    record ExtendSupervisorLease(long remainingMs) implements Action {}
}
