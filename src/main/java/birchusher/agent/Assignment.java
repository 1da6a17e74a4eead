package birchusher.agent;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What the pool says this host is at present.
 *
 * @param machine null: nothing, it is parked
 * @param controllers whom to report to, by their names
 */
record Assignment(
        String machine,
        String type,
        String zone,
        double cpus,
        double gpus,
        double memoryGb,
        long reportMs,
        long leaseMs,
        long gangWaitMs,
        List<Controller> controllers) {
    record Controller(String name, String address) {}

    static Assignment read(Map<String, Object> m) {
        List<Controller> controllers = new ArrayList<>();
        for (Object o : Fields.list(m, "controllers")) {
            Map<String, Object> c = Fields.map(o, "controllers");
            controllers.add(new Controller(Fields.text(c, "member"), Fields.text(c, Wire.ADDRESS)));
        }
        return new Assignment(
                Fields.textOrNull(m, Wire.MACHINE),
                Fields.text(m, Wire.TYPE),
                Fields.text(m, Wire.ZONE),
                Fields.amount(m, Wire.CPUS),
                Fields.amount(m, Wire.GPUS),
                Fields.amount(m, Wire.MEMORY_GB),
                milliseconds(m, "report_s"),
                milliseconds(m, "lease_s"),
                milliseconds(m, "gang_wait_s"),
                List.copyOf(controllers));
    }

    private static long milliseconds(Map<String, Object> m, String field) {
        return Math.round(Fields.amount(m, field) * 1000);
    }
}
