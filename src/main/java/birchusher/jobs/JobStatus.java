package birchusher.jobs;

import birchusher.store.Job;
import birchusher.store.StoreView.EndedJob;
import birchusher.wire.Wire;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What may be told of a job.
 *
 * @param doneTasks number of tasks done, 0 if the job is cancelled
 * @param runningTasks number of tasks placed, 0 if the job has ended
 * @param evidence the row or rows that show it
 */
record JobStatus(Kind kind, int doneTasks, int runningTasks, Evidence evidence) {
    /** Kinds of statuses. */
    enum Kind {
        QUEUED,
        RUNNING,
        DONE,
        CANCELLED,
        /** The job was accepted, and its state can't be told now. */
        UNDECIDED,
        /** No row in the view shows the job; if it was accepted, it has ended and the state service has its final state. */
        NOT_IN_VIEW,
        NEVER_ACCEPTED
    }

    /** Rows that a status rests on. */
    enum Evidence {
        ENDED_ROW,
        JOB_ROW,
        /** The placement rows of an open job, in which all tasks are done. */
        PLACEMENT_ROWS,
        NONE
    }

    static final JobStatus ACCEPTED = new JobStatus(Kind.QUEUED, 0, 0, Evidence.JOB_ROW);
    static final JobStatus UNDECIDED = new JobStatus(Kind.UNDECIDED, 0, 0, Evidence.NONE);
    static final JobStatus NOT_IN_VIEW = new JobStatus(Kind.NOT_IN_VIEW, 0, 0, Evidence.NONE);
    static final JobStatus NEVER_ACCEPTED = new JobStatus(Kind.NEVER_ACCEPTED, 0, 0, Evidence.NONE);

    static JobStatus done(int tasks, Evidence evidence) {
        return new JobStatus(Kind.DONE, tasks, 0, evidence);
    }

    static JobStatus cancelled(Evidence evidence) {
        return new JobStatus(Kind.CANCELLED, 0, 0, evidence);
    }

    static JobStatus ofEnded(EndedJob ended) {
        return ended.done() ? done(ended.tasks(), Evidence.ENDED_ROW) : cancelled(Evidence.ENDED_ROW);
    }

    static JobStatus ofOpen(Job job) {
        int running = job.claimCount();
        return new JobStatus(running > 0 ? Kind.RUNNING : Kind.QUEUED, job.doneCount(), running, Evidence.JOB_ROW);
    }

    /** Returns whether the job has ended, so that its state never changes. */
    boolean isFinal() {
        return kind == Kind.DONE || kind == Kind.CANCELLED;
    }

    /** Returns whether the job is accepted and its state is known. */
    boolean hasState() {
        return isFinal() || kind == Kind.QUEUED || kind == Kind.RUNNING;
    }

    /** Returns the published name of the state; only for a status that has one. */
    String wireState() {
        return switch (kind) {
            case QUEUED -> Wire.QUEUED;
            case RUNNING -> Wire.RUNNING;
            case DONE -> Wire.DONE;
            case CANCELLED -> Wire.CANCELLED;
            default -> throw new IllegalStateException("no published state: " + kind);
        };
    }

    /** Returns the status in a response; only for a status that has a state. */
    Map<String, Object> toBody(String id) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put(Wire.ID, id);
        body.put(Wire.STATE, wireState());
        body.put(Wire.DONE, doneTasks);
        body.put(Wire.RUNNING, runningTasks);
        return body;
    }

    /** Returns the evidence as it is written in logs. */
    String evidenceText() {
        return evidence.name().toLowerCase(Locale.ROOT);
    }
}
