package birchusher;

import java.util.HashMap;
import java.util.Map;

/** Valid settings and a valid job submission, for tests to modify. */
public final class TestJobs {
    public static final String SETTINGS =
            """
            {"member":"a","area":"z","listen":"1.1.1.1:1","mesh_addr":"1.1.1.1:2","seeds":[],
             "external":{"cloud":"1.1.1.1:3","state":"1.1.1.1:4"},
             "deployment":{"zones":["z"],"teams":[{"name":"red","gpus":4,"gpus_max":8}],
              "workers":{"report_s":3,"lease_s":10,"gang_wait_s":20,"gang_peer_s":4,"cancel_s":30},
              "state":{"rps":50,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":4,"list_lag_s":5},
              "resources":{"cores":0.3,"ram_mb":260,"max_connections":500}}}
            """;

    private TestJobs() {}

    /** A new map with the fields of a valid submission. */
    public static Map<String, Object> job() {
        Map<String, Object> fields = new HashMap<>(Map.of(
                "name_id",
                "wk-1",
                "lane",
                "l",
                "crew",
                "red",
                "shape",
                "sweep",
                "rank",
                "standard",
                "pieces",
                2L,
                "cores",
                1.0,
                "cards",
                1.0,
                "memory_gb",
                1.0));
        fields.putAll(Map.of(
                "bundle",
                "i",
                "size_gb",
                1.0,
                "one_zone",
                false,
                "scatter",
                false,
                "loaners",
                false,
                "expect_s",
                5.0,
                "mark_every_s",
                0.0,
                "mark_take_s",
                0.0));
        return fields;
    }
}
