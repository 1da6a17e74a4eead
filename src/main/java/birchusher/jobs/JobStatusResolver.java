package birchusher.jobs;

import birchusher.store.Job;
import birchusher.store.Keys;
import birchusher.store.StoreClient;
import birchusher.store.StoreView;

/**
 * Decides what may be told of a job from the rows in the view. All answers to users get the states of jobs from here.
 *
 * <p>Not thread-safe: used on the controller's thread.
 */
final class JobStatusResolver {
    private final StoreView view;
    private final StoreClient store;
    private final boolean confirmsCancelWhenStopped;

    /**
     * @param confirmsCancelWhenStopped leases are too long for the promised time of a cancellation, so it is told only when no task of
     *     the job is left
     */
    JobStatusResolver(StoreView view, StoreClient store, boolean confirmsCancelWhenStopped) {
        this.view = view;
        this.store = store;
        this.confirmsCancelWhenStopped = confirmsCancelWhenStopped;
    }

    /** Returns the final status of a job, which may be told without asking the state service since it never changes; null if there is none. */
    JobStatus finalStatus(String id) {
        StoreView.EndedJob ended = view.endedJob(id);
        if (ended != null) {
            return JobStatus.ofEnded(ended);
        }
        Job job = view.job(id);
        if (job == null) {
            return null;
        }
        return switch (job.state()) {
            case DONE -> JobStatus.done(job.spec.tasks(), JobStatus.Evidence.JOB_ROW);
            case CANCELLED -> mayConfirmCancel(job) ? JobStatus.cancelled(JobStatus.Evidence.JOB_ROW) : null;
            case OPEN -> job.allDone() && viewCoversLastEnd(job)
                    ? JobStatus.done(job.spec.tasks(), JobStatus.Evidence.PLACEMENT_ROWS)
                    : null;
        };
    }

    /** Returns the status of a job, provided that the view is at least as new as the request that is to be answered. */
    JobStatus currentStatus(String id) {
        JobStatus finalStatus = finalStatus(id);
        if (finalStatus != null) {
            return finalStatus;
        }
        Job job = view.job(id);
        if (job != null) {
            // All tasks done, but not final: done or cancelled, whichever was written first.
            return job.state() == Job.State.OPEN && job.allDone() ? JobStatus.UNDECIDED : JobStatus.ofOpen(job);
        }
        if (view.isUnreadable(id)) {
            return JobStatus.ACCEPTED;
        }
        return store.allEndedJobsKnown() ? JobStatus.NEVER_ACCEPTED : JobStatus.NOT_IN_VIEW;
    }

    /**
     * Whether the view holds every change up to the last end of a task that it shows for a job whose tasks are all done. This
     * controller's own write of that end enters the view ahead of the changes of other controllers, and a cancellation among those
     * may precede it. None can follow it, as each requires a placement row that was not full.
     */
    private boolean viewCoversLastEnd(Job job) {
        return job.allDoneRevision() <= view.appliedRevision();
    }

    /**
     * Whether a cancellation may be confirmed. Where leases are too long for the promised time of a cancellation, it
     * is confirmed only when no task is left, as far as a view shows that is at least as new as the cancellation.
     */
    private boolean mayConfirmCancel(Job job) {
        return !confirmsCancelWhenStopped
                || job.claimCount() == 0 && view.appliedRevision() >= view.version(Keys.JOB + job.spec.id());
    }
}
