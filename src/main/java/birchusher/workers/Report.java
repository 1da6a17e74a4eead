package birchusher.workers;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.util.LinkedHashMap;
import java.util.Map;

/** A worker's report, checked. {@code noticeS} below 0: none. */
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

    public static Report read(Map<String, Object> m) {
        Map<String, ReportedTask> tasks = new LinkedHashMap<>();
        for (Object o : Fields.list(m, Wire.TASKS)) {
            ReportedTask e = ReportedTask.read(Fields.map(o, Wire.TASKS));
            tasks.put(e.attemptKey(), e);
            if (tasks.size() > MAX_TASKS) {
                throw new Fields.InvalidInputException(Wire.TASKS + ": too many");
            }
        }
        return new Report(
                Fields.text(m, Wire.MACHINE),
                Fields.text(m, Wire.ADDR),
                Fields.text(m, Wire.TYPE),
                Fields.text(m, Wire.ZONE),
                Fields.flag(m, Wire.SPOT),
                Fields.count(m, Wire.SESSION),
                Fields.count(m, Wire.SEQ),
                Fields.countOr(m, Wire.TOKEN, 0),
                m.get(Wire.NOTICE) == null ? -1 : Fields.amount(m, Wire.NOTICE),
                tasks);
    }
}
