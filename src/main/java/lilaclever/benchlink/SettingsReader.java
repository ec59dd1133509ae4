package lilaclever.benchlink;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule;
import lilaclever.DecisionModule.Group;
import lilaclever.DecisionModule.Repeat;
import lilaclever.DecisionModule.Weights;

/** Reads the JSON settings of the decision module. Unknown keys are ignored. */
public final class SettingsReader {
    /** Field name in errors; program.Config replaces this prefix by "settings". */
    private static final String FIELD = "conf";
    private final JsonObject object;
    private final String path;
    private final long line;

    private SettingsReader(JsonObject object, String path, long line) {
        this.object = object;
        this.path = path;
        this.line = line;
    }

    static DecisionModule relay(String json, long seed, long line) throws WireException {
        return DecisionModule.create(read(json, line), seed);
    }

    /** Reads the settings from a JSON text; errors name the given line. */
    public static DecisionModule.Settings read(String json, long line) throws WireException {
        try {
            JsonElement root = JsonParser.parseString(json);
            if (!root.isJsonObject()) {
                throw new WireException(line, FIELD, "the settings are no JSON object");
            }
            return new SettingsReader(root.getAsJsonObject(), "", line).settings();
        } catch (JsonParseException e) {
            throw new WireException(line, FIELD, "the settings are no JSON");
        } catch (IllegalStateException | UnsupportedOperationException e) {
            throw new WireException(line, FIELD, "a list holds a value of the wrong type: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new WireException(line, FIELD, e.getMessage());
        }
    }

    /** Converts decimal seconds to microseconds without floating-point error, rounded to the nearest. */
    static long micros(String seconds) {
        long value = new BigDecimal(seconds)
                .movePointRight(6)
                .setScale(0, RoundingMode.HALF_UP)
                .longValueExact();
        if (value < 0) {
            throw new NumberFormatException("negative");
        }
        return value;
    }

    private DecisionModule.Settings settings() throws WireException {
        SettingsReader family = child("familyInfo");
        SettingsReader limits = child("limits");
        SettingsReader rules = child("rules");
        SettingsReader report = child("report");
        List<DecisionModule.Kind> kinds = kinds(family);
        List<DecisionModule.MessageClass> classes = messageClasses(family);
        List<DecisionModule.Tenant> tenants = new ArrayList<>();
        for (SettingsReader t : children("tenants")) {
            tenants.add(new DecisionModule.Tenant(t.real("portion", 0), t.real("quotaPerS", 0)));
        }
        Weights weights = switch (text("weights", "off")) {
            case "off" -> Weights.NONE;
            case "nominal" -> Weights.EXACT;
            default -> Weights.ROUGH;
        };
        return new DecisionModule.Settings(
                whole("me", 0),
                whole("groupSize", 1),
                whole("az", 0),
                array("zones").size(),
                time("roundS"),
                text("discovery", "push").equals("ask"),
                weights,
                report.text("via", "off").equals("inline"),
                real("overShareWorth", 1),
                classes,
                kinds,
                tenants,
                new DecisionModule.Limits(
                        limits.whole("maxAttempts", 1),
                        limits.whole("openCap", 1),
                        family.whole("callSlots", 0),
                        limits.bool("cancel"),
                        limits.bool("probing"),
                        limits.bool("mayTell"),
                        limits.whole("streamsPerConn", 1),
                        limits.time("connectTimeoutS"),
                        limits.time("keepaliveS"),
                        limits.bool("retryAfter"),
                        limits.time("maxRetryAfterS")),
                new DecisionModule.Rules(
                        rules.time("answerSlackS"),
                        rules.time("askWithinS"),
                        rules.time("drainGraceS"),
                        rules.real("coldFrom", 1),
                        rules.time("rampTimeS"),
                        rules.real("tipMultiple", 1),
                        rules.time("overloadForS"),
                        rules.time("orderPauseS")));
    }

    private static List<DecisionModule.Kind> kinds(SettingsReader family) throws WireException {
        List<DecisionModule.Kind> kinds = new ArrayList<>();
        JsonArray own = family.array("ownLimits");
        JsonArray batch = family.array("kindBatch");
        for (int i = 0; i < Math.max(own.size(), batch.size()); i++) {
            kinds.add(new DecisionModule.Kind(
                    i < own.size() && own.get(i).getAsBoolean(),
                    i < batch.size() ? batch.get(i).getAsInt() : 1));
        }
        return kinds;
    }

    private List<DecisionModule.MessageClass> messageClasses(SettingsReader family) throws WireException {
        List<DecisionModule.MessageClass> classes = new ArrayList<>();
        for (SettingsReader c : children("requestClasses")) {
            Repeat repeat = switch (c.text("repeat", "non_idempotent")) {
                case "read_like" -> Repeat.SAFE;
                case "idempotency_key" -> Repeat.KEYED;
                case "non_idempotent" -> Repeat.UNSAFE;
                default -> throw c.bad("repeat", "unknown value");
            };
            Group group = switch (c.text("group", "all")) {
                case "all" -> Group.ALL;
                case "zone" -> Group.ZONE;
                case "cell" -> Group.DESTINATION;
                default -> throw c.bad("group", "unknown value");
            };
            classes.add(new DecisionModule.MessageClass(
                    c.time("aimS"),
                    c.time("deadlineS"),
                    c.real("credit", 1),
                    repeat,
                    group,
                    c.time("repeatWindowS"),
                    c.bool("byArrival"),
                    c.real("lateShare", 0),
                    family.text("decay", "line").equals("halves")));
        }
        return classes;
    }

    private WireException bad(String key, String problem) {
        return new WireException(line, FIELD + "." + path + key, problem);
    }

    private JsonElement get(String key) {
        JsonElement value = object.get(key);
        return value == null || value.isJsonNull() ? null : value;
    }

    private SettingsReader child(String key) throws WireException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonObject()) {
            throw bad(key, "not an object");
        }
        return new SettingsReader(value == null ? new JsonObject() : value.getAsJsonObject(), path + key + ".", line);
    }

    private JsonArray array(String key) throws WireException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonArray()) {
            throw bad(key, "not a list");
        }
        return value == null ? new JsonArray() : value.getAsJsonArray();
    }

    private List<SettingsReader> children(String key) throws WireException {
        List<SettingsReader> all = new ArrayList<>();
        for (JsonElement value : array(key)) {
            if (!value.isJsonObject()) {
                throw bad(key, "holds something that is no object");
            }
            all.add(new SettingsReader(value.getAsJsonObject(), path + key + ".", line));
        }
        return all;
    }

    private String text(String key, String otherwise) throws WireException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonPrimitive()) {
            throw bad(key, "not a text");
        }
        return value == null ? otherwise : value.getAsString();
    }

    private boolean bool(String key) throws WireException {
        return Boolean.parseBoolean(text(key, "false"));
    }

    private double real(String key, double otherwise) throws WireException {
        try {
            return Double.parseDouble(text(key, Double.toString(otherwise)));
        } catch (NumberFormatException e) {
            throw bad(key, "not a number");
        }
    }

    private int whole(String key, int otherwise) throws WireException {
        double value = real(key, otherwise);
        if (value != (int) value) {
            throw bad(key, "not a whole number");
        }
        return (int) value;
    }

    private long time(String key) throws WireException {
        try {
            return micros(text(key, "0"));
        } catch (ArithmeticException | NumberFormatException e) {
            throw bad(key, "not a time");
        }
    }
}
