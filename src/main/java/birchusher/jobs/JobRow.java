package birchusher.jobs;

import birchusher.model.JobSpec;
import birchusher.store.Job;
import birchusher.wire.JobCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes the row of a job, as {@link birchusher.store.StoreView} reads it. */
final class JobRow {
    private JobRow() {}

    /** Encodes the row of a job that is being accepted; {@code acceptedAtMs} is a time of day. */
    static Map<String, Object> ofNewJob(JobCodec codec, JobSpec spec, int chunkSize, long acceptedAtMs) {
        return encode(codec, spec, chunkSize, acceptedAtMs, Job.State.OPEN);
    }

    /** Encodes the row of a job with another state. */
    static Map<String, Object> withState(JobCodec codec, Job job, Job.State state) {
        return encode(codec, job.spec, job.chunkSize, job.acceptedAtMs, state);
    }

    private static Map<String, Object> encode(
            JobCodec codec, JobSpec spec, int chunkSize, long acceptedAtMs, Job.State state) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("s", state.name());
        row.put("k", chunkSize);
        row.put("t", acceptedAtMs);
        row.put("j", codec.encode(spec));
        return row;
    }
}
