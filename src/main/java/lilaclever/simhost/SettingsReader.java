package lilaclever.simhost;

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
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.DecisionModule.WeightMeaning;

/** Reads the JSON settings of the decision module. Unknown keys are ignored. */
public final class SettingsReader {
    /** Field name in errors; program.Config replaces this prefix by "settings". */
    private static final String FIELD = "conf";

    private final JsonObject object;
    private final String path;
    private final long lineNumber;

    private SettingsReader(JsonObject object, String path, long lineNumber) {
        this.object = object;
        this.path = path;
        this.lineNumber = lineNumber;
    }

    static DecisionModule createModule(String json, long seed, long lineNumber) throws WireException {
        return DecisionModule.create(read(json, lineNumber), seed);
    }

    /** Reads the settings from a JSON text; errors name the given line. */
    public static DecisionModule.Settings read(String json, long lineNumber) throws WireException {
        try {
            JsonElement root = JsonParser.parseString(json);
            if (!root.isJsonObject()) {
                throw new WireException(lineNumber, FIELD, "the settings are no JSON object");
            }
            return new SettingsReader(root.getAsJsonObject(), "", lineNumber).settings();
        } catch (JsonParseException e) {
            throw new WireException(lineNumber, FIELD, "the settings are no JSON");
        } catch (IllegalStateException | UnsupportedOperationException e) {
            throw new WireException(lineNumber, FIELD, "a list holds a value of the wrong type: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new WireException(lineNumber, FIELD, e.getMessage());
        }
    }

    /** Converts decimal seconds to microseconds without floating-point error, rounded to the nearest. */
    static long parseMicros(String seconds) {
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
        List<DecisionModule.EndpointKind> kinds = kinds(family);
        List<DecisionModule.MessageClass> classes = messageClasses(family);
        List<DecisionModule.Tenant> tenants = new ArrayList<>();
        for (SettingsReader tenant : children("tenants")) {
            tenants.add(new DecisionModule.Tenant(tenant.decimal("portion", 0), tenant.decimal("quotaPerS", 0)));
        }
        WeightMeaning weights = switch (text("weights", "off")) {
            case "off" -> WeightMeaning.NONE;
            case "nominal" -> WeightMeaning.EXACT;
            default -> WeightMeaning.APPROXIMATE;
        };
        return new DecisionModule.Settings(
                wholeNumber("me", 0),
                wholeNumber("groupSize", 1),
                wholeNumber("az", 0),
                array("zones").size(),
                timeMicros("roundS"),
                text("discovery", "push").equals("ask"),
                weights,
                report.text("via", "off").equals("inline"),
                decimal("overShareWorth", 1),
                classes,
                kinds,
                tenants,
                new DecisionModule.Limits(
                        limits.wholeNumber("maxAttempts", 1),
                        limits.wholeNumber("openCap", 1),
                        family.wholeNumber("callSlots", 0),
                        limits.bool("cancel"),
                        limits.bool("probing"),
                        limits.bool("mayTell"),
                        limits.wholeNumber("streamsPerConn", 1),
                        limits.timeMicros("connectTimeoutS"),
                        limits.timeMicros("keepaliveS"),
                        limits.bool("retryAfter"),
                        limits.timeMicros("maxRetryAfterS")),
                new DecisionModule.Rules(
                        rules.timeMicros("answerSlackS"),
                        rules.timeMicros("askWithinS"),
                        rules.timeMicros("drainGraceS"),
                        rules.decimal("coldFrom", 1),
                        rules.timeMicros("rampTimeS"),
                        rules.decimal("tipMultiple", 1),
                        rules.timeMicros("overloadForS"),
                        rules.timeMicros("orderPauseS")));
    }

    private static List<DecisionModule.EndpointKind> kinds(SettingsReader family) throws WireException {
        List<DecisionModule.EndpointKind> kinds = new ArrayList<>();
        JsonArray ownLimits = family.array("ownLimits");
        JsonArray batch = family.array("kindBatch");
        for (int i = 0; i < Math.max(ownLimits.size(), batch.size()); i++) {
            kinds.add(new DecisionModule.EndpointKind(
                    i < ownLimits.size() && ownLimits.get(i).getAsBoolean(),
                    i < batch.size() ? batch.get(i).getAsInt() : 1));
        }
        return kinds;
    }

    private List<DecisionModule.MessageClass> messageClasses(SettingsReader family) throws WireException {
        List<DecisionModule.MessageClass> classes = new ArrayList<>();
        for (SettingsReader object : children("requestClasses")) {
            RepeatSafety repeat = switch (object.text("repeat", "non_idempotent")) {
                case "read_like" -> RepeatSafety.SAFE;
                case "idempotency_key" -> RepeatSafety.KEYED;
                case "non_idempotent" -> RepeatSafety.UNSAFE;
                default -> throw object.invalid("repeat", "unknown value");
            };
            KeyScope group = switch (object.text("group", "all")) {
                case "all" -> KeyScope.ALL;
                case "zone" -> KeyScope.ZONE;
                case "cell" -> KeyScope.DESTINATION;
                default -> throw object.invalid("group", "unknown value");
            };
            classes.add(new DecisionModule.MessageClass(
                    object.timeMicros("aimS"),
                    object.timeMicros("deadlineS"),
                    object.decimal("credit", 1),
                    repeat,
                    group,
                    object.timeMicros("repeatWindowS"),
                    object.bool("byArrival"),
                    object.decimal("lateShare", 0),
                    family.text("decay", "line").equals("halves")));
        }
        return classes;
    }

    private WireException invalid(String key, String problem) {
        return new WireException(lineNumber, FIELD + "." + path + key, problem);
    }

    private JsonElement get(String key) {
        JsonElement value = object.get(key);
        return value == null || value.isJsonNull() ? null : value;
    }

    private SettingsReader child(String key) throws WireException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonObject()) {
            throw invalid(key, "not an object");
        }
        return new SettingsReader(
                value == null ? new JsonObject() : value.getAsJsonObject(), path + key + ".", lineNumber);
    }

    private JsonArray array(String key) throws WireException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonArray()) {
            throw invalid(key, "not a list");
        }
        return value == null ? new JsonArray() : value.getAsJsonArray();
    }

    private List<SettingsReader> children(String key) throws WireException {
        List<SettingsReader> readers = new ArrayList<>();
        for (JsonElement value : array(key)) {
            if (!value.isJsonObject()) {
                throw invalid(key, "holds something that is no object");
            }
            readers.add(new SettingsReader(value.getAsJsonObject(), path + key + ".", lineNumber));
        }
        return readers;
    }

    private String text(String key, String defaultValue) throws WireException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonPrimitive()) {
            throw invalid(key, "not a text");
        }
        return value == null ? defaultValue : value.getAsString();
    }

    private boolean bool(String key) throws WireException {
        return Boolean.parseBoolean(text(key, "false"));
    }

    private double decimal(String key, double defaultValue) throws WireException {
        try {
            return Double.parseDouble(text(key, Double.toString(defaultValue)));
        } catch (NumberFormatException e) {
            throw invalid(key, "not a number");
        }
    }

    private int wholeNumber(String key, int defaultValue) throws WireException {
        double value = decimal(key, defaultValue);
        if (value != (int) value) {
            throw invalid(key, "not a whole number");
        }
        return (int) value;
    }

    private long timeMicros(String key) throws WireException {
        try {
            return parseMicros(text(key, "0"));
        } catch (ArithmeticException | NumberFormatException e) {
            throw invalid(key, "not a time");
        }
    }
}
