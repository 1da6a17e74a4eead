package birchusher.agent;

import birchusher.core.Fields;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The pool's answer to a poll: the machine that this host is assigned to, its capacity, and the settings of its worker.
 *
 * @param machine null if the host is parked
 * @param reportMs interval of reports
 * @param leaseMs duration of the worker lease and of the pool lease
 * @param gangWaitMs how long a gang's task waits for the others
 * @param controllers the controllers that accept reports
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
    /** A controller and where it listens. */
    record Controller(String name, String address) {}

    static Assignment read(Map<String, Object> fields) {
        List<Controller> controllers = new ArrayList<>();
        for (Object item : Fields.list(fields, "controllers")) {
            Map<String, Object> controller = Fields.map(item, "controllers");
            controllers.add(new Controller(Fields.text(controller, "member"), Fields.text(controller, Wire.ADDRESS)));
        }
        return new Assignment(
                Fields.textOrNull(fields, Wire.MACHINE),
                Fields.text(fields, Wire.TYPE),
                Fields.text(fields, Wire.ZONE),
                Fields.amount(fields, Wire.CPUS),
                Fields.amount(fields, Wire.GPUS),
                Fields.amount(fields, Wire.MEMORY_GB),
                milliseconds(fields, "report_s"),
                milliseconds(fields, "lease_s"),
                milliseconds(fields, "gang_wait_s"),
                List.copyOf(controllers));
    }

    private static long milliseconds(Map<String, Object> fields, String field) {
        return Math.round(Fields.amount(fields, field) * 1000);
    }
}
