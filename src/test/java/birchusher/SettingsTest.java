package birchusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import birchusher.settings.SettingsReader;
import birchusher.settings.Tuning;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static void read(String json) {
        SettingsReader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void unknownFieldsAreIgnored() {
        read(TestJobs.SETTINGS.replaceFirst("\\{", "{\"new_field\":[1,{\"x\":null}],"));
    }

    @Test
    void errorNamesTheInvalidField() {
        String good = TestJobs.SETTINGS;
        assertThatThrownBy(() -> read(good.replace("\"lease_s\":10", "\"lease_s\":0")))
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("lease_s");
        assertThatThrownBy(() -> read(good.replace("1.1.1.1:4", "nowhere"))).hasMessageContaining("state");
        assertThatThrownBy(() -> read(good.replace("\"member\":\"a\",", ""))).hasMessageContaining("member");
        assertThatThrownBy(() -> read("{")).isInstanceOf(InvalidInputException.class);
    }

    @Test
    void propertiesOverrideDefaultsAndUnknownKeysAreRejected() throws IOException {
        Tuning tuning = new Tuning().withOverrides(new StringReader("lease.base-s=120\n"));
        assertThat(tuning.durationMs("lease.base-s")).isEqualTo(120_000);
        assertThat(tuning.durationMs("lease.renew-s")).isEqualTo(30_000);
        assertThatThrownBy(() -> new Tuning().withOverrides(new StringReader("lease.bass-s=1\n")))
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("lease.bass-s");
        assertThatThrownBy(() -> new Tuning().withOverrides(new StringReader("lease.base-s=soon\n")))
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("lease.base-s");
    }
}
