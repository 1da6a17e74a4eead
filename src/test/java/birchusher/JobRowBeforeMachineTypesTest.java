package birchusher;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.model.Catalog;
import birchusher.settings.SettingsReader;
import birchusher.wire.JobCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * After a restart, job rows may be read before the machine types of the cloud are known. Replicas restricted to a machine type were then
 * never placed again.
 */
class JobRowBeforeMachineTypesTest {
    @Test
    void jobRowReadBeforeMachineTypesAllowsThoseTypes() {
        Catalog catalog = new Catalog(SettingsReader.read(TestJobs.SETTINGS.getBytes(StandardCharsets.UTF_8)));
        Map<String, Object> row = TestJobs.job();
        row.put("builds", List.of("g8"));
        var spec = new JobCodec(catalog).decodeRow(row);
        catalog.addTypes(List.of(
                new Catalog.MachineType(catalog.typeNames.add("g8"), "g8", 8, 4, 64, 50, 1, 2, 1, 30, new int[] {0})));
        assertThat(spec.allowsType(catalog.typeNames.find("g8"))).isTrue();
        assertThat(catalog.unschedulableReason(spec)).isNull();
    }
}
