package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start of the script in seconds. */
final class Record {
    private static PrintWriter out;
    private static final long START_MS = Net.now();

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double seconds() {
        return (Net.now() - START_MS) / 1000.0;
    }

    static synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(text);
        System.out.println(text);
    }
}
