package birchusher.settings;

import birchusher.core.Fields.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.io.Reader;
import java.util.Properties;

/**
 * The operators' settings of a controller: Java properties that override the defaults in {@code birchusher.properties}.
 */
public final class Tuning {
    private final Properties values = new Properties();

    /** Loads the defaults. */
    public Tuning() {
        try (InputStream in = Tuning.class.getResourceAsStream("/birchusher.properties")) {
            values.load(in);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Applies an operator's file on top of the current values and returns this object. Unknown keys are refused, as
     * they are mostly typing errors.
     */
    public Tuning withOverrides(Reader file) throws IOException {
        Properties overrides = new Properties();
        overrides.load(file);
        for (String key : overrides.stringPropertyNames()) {
            if (!values.containsKey(key)) {
                throw new InvalidInputException(key + ": unknown property");
            }
            values.setProperty(key, overrides.getProperty(key));
            value(key);
        }
        return this;
    }

    /** Returns the number of a known key, in the unit that the key names. */
    public double value(String key) {
        return parseAmount(key, values.getProperty(key));
    }

    /** Parses a finite number of 0 or more; the error names the key. {@code value} may be null. */
    public static double parseAmount(String key, String value) {
        try {
            double amount = Double.parseDouble(value.trim());
            if (Double.isFinite(amount) && amount >= 0) {
                return amount;
            }
        } catch (NumberFormatException | NullPointerException e) {
            // Falls through to the exception below.
        }
        throw new InvalidInputException(key + ": not a number of 0 or more");
    }

    /** Returns the duration of a key in seconds (-s), in milliseconds. */
    public long durationMs(String key) {
        return Math.round(value(key) * 1000);
    }
}
