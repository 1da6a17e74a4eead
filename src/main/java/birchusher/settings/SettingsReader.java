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

/** Reads the platform's JSON file. Unknown fields are ignored; a bad one is named. */
public final class SettingsReader {
    private SettingsReader() {}

    public static Settings read(byte[] json) {
        Map<String, Object> top = Fields.map(parseJson(json), "settings");
        Map<String, Object> dep = requiredSection(top, "deployment");
        Map<String, Object> ext = requiredSection(top, "external");
        Map<String, Object> workers = requiredSection(dep, "workers");
        Map<String, Object> state = requiredSection(dep, "state");
        Map<String, Object> cloud = requiredSection(dep, "cloud");
        Map<String, Object> res = requiredSection(dep, "resources");
        List<Settings.Peer> peers = new ArrayList<>();
        for (Object o : Fields.list(top, "seeds")) {
            Map<String, Object> m = Fields.map(o, "seeds");
            peers.add(new Settings.Peer(
                    Fields.text(m, "member"), Fields.text(m, "area"), requiredAddress(m, "peer_addr")));
        }
        List<String> zones = new ArrayList<>();
        for (Object o : Fields.list(dep, "zones")) {
            if (!(o instanceof String s)) {
                throw new InvalidInputException("deployment.zones: not text");
            }
            zones.add(s);
        }
        List<Settings.Team> teams = new ArrayList<>();
        for (Object o : Fields.list(dep, "teams")) {
            Map<String, Object> m = Fields.map(o, "teams");
            teams.add(new Settings.Team(
                    Fields.text(m, "name"),
                    Fields.amountOr(m, "cpus", 0),
                    Fields.amountOr(m, "cpus_max", 0),
                    Fields.amountOr(m, "gpus", 0),
                    Fields.amountOr(m, "gpus_max", 0)));
        }
        List<Settings.Objective> objectives = new ArrayList<>();
        if (dep.get("objectives") != null) {
            for (Object o : Fields.list(dep, "objectives")) {
                Map<String, Object> m = Fields.map(o, "objectives");
                objectives.add(new Settings.Objective(
                        Fields.text(m, "kind"),
                        Fields.textOrNull(m, "class"),
                        Fields.amountOr(m, "within_s", 0),
                        Fields.amountOr(m, "share", 0)));
            }
        }
        return new Settings(
                Fields.text(top, "member"),
                Fields.text(top, "area"),
                requiredAddress(top, "listen"),
                requiredAddress(top, "mesh_addr"),
                List.copyOf(peers),
                requiredAddress(ext, "cloud"),
                requiredAddress(ext, "state"),
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
                (int) positiveNumber(res, "max_connections"),
                Fields.amountOr(dep, "clock_off_ms", 1000));
    }

    /** Any JSON as maps, lists, text, numbers and booleans. */
    public static Object parseJson(byte[] json) {
        try (JsonParser p = new JsonFactory().createParser(json)) {
            p.nextToken();
            return readValue(p);
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + e.getClass().getSimpleName());
        }
    }

    private static Map<String, Object> requiredSection(Map<String, Object> m, String key) {
        return Fields.map(m.get(key), key);
    }

    private static double positiveNumber(Map<String, Object> m, String key) {
        double d = Fields.amount(m, key);
        if (d <= 0) {
            throw new InvalidInputException(key + ": must be above 0");
        }
        return d;
    }

    private static Address requiredAddress(Map<String, Object> m, String key) {
        return parseAddress(Fields.text(m, key), key);
    }

    public static Address parseAddress(String s, String key) {
        int colon = s.lastIndexOf(':');
        try {
            int port = Integer.parseInt(s.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65536) {
                return new Address(s.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // falls through to the same complaint
        }
        throw new InvalidInputException(key + ": not host:port");
    }

    private static Object readValue(JsonParser p) throws IOException {
        JsonToken t = p.currentToken();
        if (t == null) {
            throw new InvalidInputException("settings: empty");
        }
        return switch (t) {
            case START_OBJECT -> {
                Map<String, Object> m = new HashMap<>();
                while (p.nextToken() != JsonToken.END_OBJECT) {
                    String key = p.currentName();
                    p.nextToken();
                    m.put(key, readValue(p));
                }
                yield m;
            }
            case START_ARRAY -> {
                List<Object> l = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    l.add(readValue(p));
                }
                yield l;
            }
            case VALUE_STRING -> p.getText();
            case VALUE_NUMBER_INT -> p.getLongValue();
            case VALUE_NUMBER_FLOAT -> p.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }
}
