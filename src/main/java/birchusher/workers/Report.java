package birchusher.workers;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A worker's report, validated.
 *
 * @param address where the worker takes direct commands
 * @param session number of the worker's session; later sessions have higher numbers
 * @param seq sequence number within the session
 * @param fencingToken the highest term that the worker has seen; 0: none
 * @param noticeS seconds until the cloud takes the machine back; below 0: no notice
 * @param tasks by attempt key
 */
public record Report(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long seq,
        long fencingToken,
        double noticeS,
        Map<String, ReportedTask> tasks) {
    private static final int MAX_TASKS = 2_000;

    /** Reads a report from a message body; throws {@link Fields.InvalidInputException} if it is invalid. */
    public static Report read(Map<String, Object> fields) {
        Map<String, ReportedTask> tasks = new LinkedHashMap<>();
        for (Object item : Fields.list(fields, Wire.TASKS)) {
            ReportedTask task = ReportedTask.read(Fields.map(item, Wire.TASKS));
            tasks.put(task.attemptKey(), task);
            if (tasks.size() > MAX_TASKS) {
                throw new Fields.InvalidInputException(Wire.TASKS + ": too many");
            }
        }
        return new Report(
                Fields.text(fields, Wire.MACHINE),
                Fields.text(fields, Wire.ADDRESS),
                Fields.text(fields, Wire.TYPE),
                Fields.text(fields, Wire.ZONE),
                Fields.flag(fields, Wire.SPOT),
                Fields.count(fields, Wire.SESSION),
                Fields.count(fields, Wire.SEQUENCE),
                Fields.countOr(fields, Wire.FENCING_TOKEN, 0),
                fields.get(Wire.RECLAIM_NOTICE_S) == null ? -1 : Fields.amount(fields, Wire.RECLAIM_NOTICE_S),
                tasks);
    }
}
