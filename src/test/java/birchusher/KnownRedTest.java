package birchusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KnownRedTest {
    private static final String LINE =
            "a.BTest.c[7, 2]: mvn -B test -Dtest=BTest#c: seed 7: \"taken once\" was taken 3 times: issue 1";

    @Test
    void entryMatchesOnlyTheNamedTestCase() {
        KnownRed.Entry entry = KnownRed.Entry.parse(LINE);
        assertThat(entry.matchesTest("a.BTest.c", "[4] 7, 2")).isTrue();
        assertThat(entry.matchesTest("a.BTest.c", "[4] 7, 20")).isFalse();
        assertThat(entry.matchesTest("a.BTest.c", "c()")).isFalse();
        assertThat(entry.matchesTest("a.BTest.cd", "[4] 7, 2")).isFalse();
        assertThat(entry.matchesTest("BTest.c", "[4] 7, 2")).isFalse();
        assertThat(KnownRed.Entry.parse(LINE.replace("[7, 2]", "")).matchesTest("a.BTest.c", "c()"))
                .isTrue();
    }

    /** A failure other than the quoted assertion, such as a broken safety rule, is a different fault and must count. */
    @Test
    void entryMatchesOnlyTheQuotedAssertionFailure() {
        KnownRed.Entry entry = KnownRed.Entry.parse(LINE);
        assertThat(entry.matchesFailure(new AssertionError("[each is taken once] but was 3")))
                .isTrue();
        assertThat(entry.matchesFailure(new AssertionError("expected no broken rule but was ran_twice")))
                .isFalse();
        assertThat(entry.matchesFailure(new AssertionError())).isFalse();
        assertThat(entry.matchesFailure(new IllegalStateException("taken once")))
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "a.BTest.c: mvn -B test: seed 7: was taken 3 times: issue 1",
                "a.BTest.c: mvn -B test: seed 7: \"taken once\" was taken 3 times",
                "a.BTest.c: mvn -B test: \"taken once\" was taken 3 times: issue 1",
                "a.BTest.c: seed 7: \"taken once\" was taken 3 times: issue 1",
                "a.BTest.c: cause: issue 1"
            })
    void incompleteLineIsRejected(String line) {
        assertThatThrownBy(() -> KnownRed.parseLines(List.of(line))).hasMessageContaining("KNOWN-RED.txt");
    }

    /** A line for a test that no longer exists would stay in the list unnoticed. */
    @Test
    void eachLineNamesAnExistingTest() throws IOException, ReflectiveOperationException {
        Path listFile = Path.of("KNOWN-RED.txt");
        for (KnownRed.Entry entry :
                KnownRed.parseLines(Files.exists(listFile) ? Files.readAllLines(listFile) : List.of())) {
            int dot = entry.test().lastIndexOf('.');
            assertThat(Class.forName(entry.test().substring(0, dot)).getDeclaredMethods())
                    .anyMatch(method -> method.getName().equals(entry.test().substring(dot + 1)));
        }
    }
}
