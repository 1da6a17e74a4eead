package birchusher.settings;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.settings.Settings.Address;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the platform's JSON file. Unknown fields are ignored; the error for an invalid field names it. */
public final class SettingsReader {
    private static final double DEFAULT_CLOCK_OFFSET_MS = 1_000;

    private SettingsReader() {}

    /**
     * Parses and validates a controller's settings.
     *
     * @throws InvalidInputException if a field is missing or invalid
     */
    public static Settings read(byte[] json) {
        Map<String, Object> root = Fields.map(parseJson(json), "settings");
        Map<String, Object> deployment = requiredSection(root, "deployment");
        Map<String, Object> external = requiredSection(root, "external");
        Map<String, Object> workers = requiredSection(deployment, "workers");
        Map<String, Object> state = requiredSection(deployment, "state");
        Map<String, Object> cloud = requiredSection(deployment, "cloud");
        Map<String, Object> resources = requiredSection(deployment, "resources");
        List<Settings.Peer> peers = new ArrayList<>();
        for (Object item : Fields.list(root, "seeds")) {
            Map<String, Object> fields = Fields.map(item, "seeds");
            peers.add(new Settings.Peer(
                    Fields.text(fields, "member"), Fields.text(fields, "area"), requiredAddress(fields, "peer_addr")));
        }
        List<String> zones = new ArrayList<>();
        for (Object item : Fields.list(deployment, "zones")) {
            if (!(item instanceof String zone)) {
                throw new InvalidInputException("deployment.zones: not a string");
            }
            zones.add(zone);
        }
        List<Settings.Team> teams = new ArrayList<>();
        for (Object item : Fields.list(deployment, "teams")) {
            Map<String, Object> fields = Fields.map(item, "teams");
            teams.add(new Settings.Team(
                    Fields.text(fields, "name"),
                    Fields.amountOr(fields, "cpus", 0),
                    Fields.amountOr(fields, "cpus_max", 0),
                    Fields.amountOr(fields, "gpus", 0),
                    Fields.amountOr(fields, "gpus_max", 0)));
        }
        List<Settings.Objective> objectives = new ArrayList<>();
        if (deployment.get("objectives") != null) {
            for (Object item : Fields.list(deployment, "objectives")) {
                Map<String, Object> fields = Fields.map(item, "objectives");
                objectives.add(new Settings.Objective(
                        Fields.text(fields, "kind"),
                        Fields.textOrNull(fields, "class"),
                        Fields.amountOr(fields, "within_s", 0),
                        Fields.amountOr(fields, "share", 0)));
            }
        }
        return new Settings(
                Fields.text(root, "member"),
                Fields.text(root, "area"),
                requiredAddress(root, "listen"),
                requiredAddress(root, "mesh_addr"),
                List.copyOf(peers),
                requiredAddress(external, "cloud"),
                requiredAddress(external, "state"),
                List.copyOf(zones),
                List.copyOf(teams),
                List.copyOf(objectives),
                positiveNumber(workers, "report_s"),
                positiveNumber(workers, "lease_s"),
                Fields.amount(workers, "gang_wait_s"),
                Fields.amount(workers, "gang_peer_s"),
                Fields.amount(workers, "cancel_s"),
                positiveNumber(state, "rps"),
                positiveNumber(state, "write_rps"),
                positiveNumber(state, "value_kb"),
                (int) positiveNumber(state, "txn_ops"),
                positiveNumber(cloud, "rps"),
                Fields.amount(cloud, "list_lag_s"),
                (int) positiveNumber(resources, "max_connections"),
                Fields.amountOr(deployment, "clock_off_ms", DEFAULT_CLOCK_OFFSET_MS));
    }

    /**
     * Parses any JSON into maps, lists, strings, longs, doubles, booleans and null.
     *
     * @throws InvalidInputException if it is not JSON or empty
     */
    public static Object parseJson(byte[] json) {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            parser.nextToken();
            return readValue(parser);
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + e.getClass().getSimpleName());
        }
    }

    private static Map<String, Object> requiredSection(Map<String, Object> fields, String key) {
        return Fields.map(fields.get(key), key);
    }

    private static double positiveNumber(Map<String, Object> fields, String key) {
        double number = Fields.amount(fields, key);
        if (number <= 0) {
            throw new InvalidInputException(key + ": must be above 0");
        }
        return number;
    }

    private static Address requiredAddress(Map<String, Object> fields, String key) {
        return parseAddress(Fields.text(fields, key), key);
    }

    /**
     * Parses {@code host:port}.
     *
     * @param key named in the error
     */
    public static Address parseAddress(String text, String key) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Falls through to the exception below.
        }
        throw new InvalidInputException(key + ": not host:port");
    }

    /** Reads the value that begins at the current token. */
    private static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new InvalidInputException("settings: empty");
        }
        return switch (token) {
            case START_OBJECT -> {
                Map<String, Object> fields = new HashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String key = parser.currentName();
                    parser.nextToken();
                    fields.put(key, readValue(parser));
                }
                yield fields;
            }
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(readValue(parser));
                }
                yield items;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }
}
