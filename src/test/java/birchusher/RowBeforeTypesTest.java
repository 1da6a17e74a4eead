package birchusher;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.model.Catalog;
import birchusher.settings.SettingsReader;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Found on mahr-galleries: after a restart, replicas that named their machine type were never placed again. */
class RowBeforeTypesTest {
    static final String SETTINGS = """
            {"member":"a","area":"z","listen":"1.1.1.1:1","mesh_addr":"1.1.1.1:2","seeds":[],
             "external":{"cloud":"1.1.1.1:3","state":"1.1.1.1:4"},
             "deployment":{"zones":["z"],"teams":[{"name":"red","gpus":4,"gpus_max":8}],
              "workers":{"report_s":3,"lease_s":10,"gang_wait_s":20,"gang_peer_s":4,"cancel_s":30},
              "state":{"rps":50,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":4,"list_lag_s":5},
              "resources":{"cores":0.3,"ram_mb":260,"max_connections":500}}}
            """;

    @Test
    void aRowReadBeforeTheTypesAreKnownStillFitsItsMachines() {
        Catalog catalog = new Catalog(SettingsReader.read(SETTINGS.getBytes(StandardCharsets.UTF_8)));
        Map<String, Object> row = TestJobs.job();
        row.put("builds", List.of("g8"));
        var spec = new JobCodec(catalog).readRow(row);
        catalog.learn(List.of(new Catalog.Type(catalog.typeNames.add("g8"), "g8", 8, 4, 64, 50, 1, 2, 1, 30, new int[] {0})));
        assertThat(spec.allows(catalog.typeNames.find("g8"))).isTrue();
        assertThat(catalog.misfit(spec)).isNull();
    }
}
