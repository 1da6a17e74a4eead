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
 * Tests that fail for a known fault, each a line of KNOWN-RED.txt; {@link Entry#read} says how a line reads. They run like all others.
 * Only the failure that the line quotes is printed and passed over; every other failure counts. A listed test that passes is printed too,
 * so that its line can go.
 */
public final class KnownRed implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
    private static final List<Entry> ENTRIES = loadEntries();

    /**
     * One line of the list.
     *
     * @param test class and method
     * @param parameters as the case's display name shows them; null for a test without
     * @param failure a part of the assertion's message
     */
    record Entry(String line, String test, String parameters, String failure) {
        private static final Pattern FORM = Pattern.compile(
                "(?<test>[\\w.]+)(\\[(?<parameters>[^\\]]+)\\])?: mvn [^:]+: [^:\"]+: \"(?<failure>[^\"]+)\"[^\"]*: issue \\d+");

        /** {@code package.Class.method[parameters]: mvn command: seed: "part of the failure" what was seen: issue N}. */
        static Entry parse(String line) {
            Matcher form = FORM.matcher(line);
            if (!form.matches()) {
                throw new IllegalStateException(
                        "KNOWN-RED.txt: not test, command, seed, what was seen and issue: " + line);
            }
            return new Entry(line, form.group("test"), form.group("parameters"), form.group("failure"));
        }

        /** Whether this line is about a test's run; a case's display name begins with its number in brackets. */
        boolean matchesTest(String ranTest, String displayName) {
            return test.equals(ranTest)
                    && (parameters == null
                            || displayName.replaceFirst("^\\[\\d+\\] ", "").equals(parameters));
        }

        boolean matchesFailure(Throwable thrown) {
            return thrown instanceof AssertionError
                    && String.valueOf(thrown.getMessage()).contains(failure);
        }
    }

    private static List<Entry> loadEntries() {
        Path list = Path.of("KNOWN-RED.txt");
        try {
            return Files.exists(list) ? parseLines(Files.readAllLines(list)) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<Entry> parseLines(List<String> lines) {
        return lines.stream().filter(line -> !line.isBlank()).map(Entry::parse).toList();
    }

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
            System.out.println("KNOWN RED, but it passed; its line may go: " + entry.line());
        }
    }
}
