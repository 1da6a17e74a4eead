package birchusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class KnownRedTest {
    @Test
    void onlyTheTestThatALineNamesIsPassedOver() {
        List<String> lines = List.of("a.BTest.c: cause: issue 1");
        assertThat(KnownRed.line(lines, "a.BTest.c")).isEqualTo(lines.get(0));
        assertThat(KnownRed.line(lines, "a.BTest.cd")).isNull();
        assertThat(KnownRed.line(lines, "a.BTest")).isNull();
        assertThat(KnownRed.line(lines, "BTest.c")).isNull();
    }

    /** A line whose test is gone, or that says neither cause nor issue, passes over nothing and hides that. */
    @Test
    void eachLineNamesATestThatIsThereItsCauseAndItsIssue() throws IOException, ReflectiveOperationException {
        Path list = Path.of("KNOWN-RED.txt");
        for (String line : Files.exists(list) ? Files.readAllLines(list) : List.<String>of()) {
            assertThat(line).matches("[\\w.]+: .+: issue \\d+");
            String test = line.substring(0, line.indexOf(": "));
            int dot = test.lastIndexOf('.');
            assertThat(Class.forName(test.substring(0, dot)).getDeclaredMethods())
                    .anyMatch(m -> m.getName().equals(test.substring(dot + 1)));
        }
    }
}
