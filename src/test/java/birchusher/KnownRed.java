package birchusher;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Aborts the tests that fail because of a known fault instead of failing the build. KNOWN-RED.txt lists them, one per line in the format
 * of {@link Entry#parse}. Listed tests run like all others: only the failure that a line quotes is printed and aborts the test, every
 * other failure counts. A listed test that passes is printed too, so that its line can be removed.
 */
public final class KnownRed implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
    private static final List<Entry> ENTRIES = loadEntries();

    /**
     * One line of the list.
     *
     * @param line the whole line
     * @param test qualified class and method
     * @param parameters as in the display name of the test case; null for a test without parameters
     * @param failure a part of the assertion's message
     */
    record Entry(String line, String test, String parameters, String failure) {
        private static final Pattern LINE_PATTERN = Pattern.compile(
                "(?<test>[\\w.]+)(\\[(?<parameters>[^\\]]+)\\])?: mvn [^:]+: [^:\"]+: \"(?<failure>[^\"]+)\"[^\"]*: issue \\d+");

        /** Format: {@code package.Class.method[parameters]: mvn command: seed: "part of the failure" what was seen: issue N}. */
        static Entry parse(String line) {
            Matcher matcher = LINE_PATTERN.matcher(line);
            if (!matcher.matches()) {
                throw new IllegalStateException(
                        "KNOWN-RED.txt: expected test, command, seed, what was seen and issue in: " + line);
            }
            return new Entry(line, matcher.group("test"), matcher.group("parameters"), matcher.group("failure"));
        }

        /** Whether this entry is about a test run; the display name of a parameterized case begins with its number in brackets. */
        boolean matchesTest(String ranTest, String displayName) {
            return test.equals(ranTest)
                    && (parameters == null
                            || displayName.replaceFirst("^\\[\\d+\\] ", "").equals(parameters));
        }

        /** Whether a test failed with the assertion that this entry quotes. */
        boolean matchesFailure(Throwable thrown) {
            return thrown instanceof AssertionError
                    && String.valueOf(thrown.getMessage()).contains(failure);
        }
    }

    private static List<Entry> loadEntries() {
        Path listFile = Path.of("KNOWN-RED.txt");
        try {
            return Files.exists(listFile) ? parseLines(Files.readAllLines(listFile)) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<Entry> parseLines(List<String> lines) {
        return lines.stream().filter(line -> !line.isBlank()).map(Entry::parse).toList();
    }

    /** The entry of the running test, or null. */
    private static Entry findEntry(ExtensionContext context) {
        String test = context.getRequiredTestClass().getName() + "."
                + context.getRequiredTestMethod().getName();
        return ENTRIES.stream()
                .filter(entry -> entry.matchesTest(test, context.getDisplayName()))
                .findFirst()
                .orElse(null);
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable thrown) throws Throwable {
        Entry entry = findEntry(context);
        if (entry == null || !entry.matchesFailure(thrown)) {
            throw thrown;
        }
        System.out.println("KNOWN RED, passed over: " + entry.line());
        throw new TestAbortedException("known red: " + entry.line(), thrown);
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        Entry entry = findEntry(context);
        if (entry != null && context.getExecutionException().isEmpty()) {
            System.out.println("KNOWN RED, but it passed; its line can be removed: " + entry.line());
        }
    }
}
