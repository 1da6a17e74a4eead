package birchusher.settings;

import birchusher.core.Fields.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.io.Reader;
import java.util.Properties;

/** The operators' own settings: Java properties over the defaults in {@code birchusher.properties}. */
public final class Tuning {
    private final Properties values = new Properties();

    public Tuning() {
        try (InputStream in = Tuning.class.getResourceAsStream("/birchusher.properties")) {
            values.load(in);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Lays an operator's file over the defaults; a key nobody knows is refused, as it is mostly a typing mistake. */
    public Tuning withOverrides(Reader file) throws IOException {
        Properties mine = new Properties();
        mine.load(file);
        for (String key : mine.stringPropertyNames()) {
            if (!values.containsKey(key)) {
                throw new InvalidInputException(key + ": unknown property");
            }
            values.setProperty(key, mine.getProperty(key));
            value(key);
        }
        return this;
    }

    public double value(String key) {
        return parseAmount(key, values.getProperty(key));
    }

    /** A property's value as an amount; the complaint names its key. */
    public static double parseAmount(String key, String value) {
        try {
            double d = Double.parseDouble(value.trim());
            if (Double.isFinite(d) && d >= 0) {
                return d;
            }
        } catch (NumberFormatException | NullPointerException e) {
            // falls through to the same complaint
        }
        throw new InvalidInputException(key + ": not a number of 0 or more");
    }

    public long durationMs(String key) {
        return Math.round(value(key) * 1000);
    }
}
