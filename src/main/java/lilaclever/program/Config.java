package lilaclever.program;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import lilaclever.DecisionModule;
import lilaclever.conf.ConfigurationException;
import lilaclever.log.Logs;
import lilaclever.protocol.http.EndpointList;
import lilaclever.protocol.mail.MailSettings;
import lilaclever.protocol.operator.OperatorPort;
import lilaclever.routing.ManualDrains;
import lilaclever.simhost.SettingsReader;
import lilaclever.simhost.WireException;
import lilaclever.transport.Transport;

/**
 * Reads and checks the configuration, and sets defaults. The environment variable {@code ROUTER_CONFIG} names the file;
 * the other variables override its values. {@code known} is the initial endpoint list; it is null if the file has none,
 * and in a configuration that was reloaded or is in use ({@link #withoutKnown}).
 */
record Config(
        String name,
        String listen,
        String operator,
        String discovery,
        Path state,
        long seed,
        long diskBytes,
        int sockets,
        DecisionModule.Settings settings,
        List<String> classNames,
        List<String> kinds,
        List<String> zones,
        EndpointList known,
        Set<String> keys) {
    private static final long BYTES_PER_MEGABYTE = 1024 * 1024;
    private static final double DEFAULT_DISK_MB = 3;
    private static final int DEFAULT_SOCKETS = 1024, MIN_SOCKETS = 64;
    private static final String DISCOVERY_FILE = "discovery";
    /** Disk space for the discovery file, and for the suspensions with the new file written beside the old one. */
    private static final long DISCOVERY_FILE_BYTES = 512, SUSPENDED_RESERVED_BYTES = 2 * ManualDrains.MAX_STORED_BYTES;

    private static final String SUSPENDED_FILE = "suspended";
    /** Descriptors that the Java runtime and the journal's files need; shares of all sockets are 1 / divisor. */
    private static final int RESERVED_SOCKETS = 40, IDLE_DIVISOR = 4, KEEP_ALIVE_DIVISOR = 6, MAIL_DIVISOR = 16;

    /** Reads the configuration for a start from the file that the environment names. */
    static Config read(Map<String, String> variables) throws ConfigurationException {
        return readFile(variables, Set.of());
    }

    /** {@code requiredKeys}: keys of the settings that must be present. */
    private static Config readFile(Map<String, String> variables, Set<String> requiredKeys)
            throws ConfigurationException {
        String path = variables.get("ROUTER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException("ROUTER_CONFIG", "not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException e) {
            throw new ConfigurationException("ROUTER_CONFIG", "can't be read: " + e);
        }
        return requiredKeys.isEmpty() ? parse(text, variables) : parse(rootOf(text), variables, requiredKeys);
    }

    /**
     * Records that the file's discovery address replaced that of the variable. A later start with the same file uses
     * this record, because the variable may still have its value of the first start.
     */
    void saveDiscovery(Path state) throws IOException {
        Files.writeString(state.resolve(DISCOVERY_FILE), discovery);
    }

    /** Returns the disk space for the departures file and the new one that is written beside it. */
    long departuresReservedBytes() {
        return Math.min(DepartureFile.RESERVED_BYTES, diskBytes / 16);
    }

    /** Returns the disk space for all files in the state folder except the journal. */
    long stateFilesBytes() {
        return DISCOVERY_FILE_BYTES
                + EarlierClassTable.sizeBytes(state)
                + departuresReservedBytes()
                + (operator == null ? 0 : SUSPENDED_RESERVED_BYTES);
    }

    /** Reads the ids of the endpoints that an operator suspended in an earlier process run. */
    Set<String> readSuspended() throws ConfigurationException {
        try {
            Path file = state.resolve(SUSPENDED_FILE);
            return Files.exists(file) ? new LinkedHashSet<>(Files.readAllLines(file)) : Set.of();
        } catch (IOException e) {
            // A start without the file would send to suspended endpoints.
            throw new ConfigurationException("state", SUSPENDED_FILE + " can't be read: " + e);
        }
    }

    /** Saves the ids of the suspended endpoints. */
    static void saveSuspended(Path state, Set<String> ids) throws IOException {
        replaceStateFile(
                state,
                SUSPENDED_FILE,
                ids.stream().map(id -> id + System.lineSeparator()).collect(Collectors.joining()));
    }

    /** Replaces a file in the state folder; the old one stays until the new one is complete. */
    static void replaceStateFile(Path state, String name, String text) throws IOException {
        Path complete = Files.writeString(state.resolve(name + ".new"), text);
        Files.move(complete, state.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    }

    private static String discovery(Map<String, String> variables, JsonObject root, Path state)
            throws ConfigurationException {
        try {
            if (root.has("discovery")
                    && Files.exists(state.resolve(DISCOVERY_FILE))
                    && Files.readString(state.resolve(DISCOVERY_FILE))
                            .equals(text("discovery", root, "discovery", null))) {
                return text("discovery", root, "discovery", null);
            }
        } catch (IOException e) {
            Logs.warn("", "note-unreadable", DISCOVERY_FILE + " can't be read: " + e); // treated as absent
        }
        return value(variables, "ROUTER_DISCOVERY", root, "discovery", null);
    }

    /**
     * Reads the file again; it must have every key of the settings in use. Its discovery address takes precedence over
     * the variable, which cannot change in a running process.
     */
    static Config reread(Map<String, String> variables, Config current) throws ConfigurationException {
        Map<String, String> otherVariables = new HashMap<>(variables);
        otherVariables.remove("ROUTER_DISCOVERY");
        return readFile(otherVariables, current.keys);
    }

    /** Limit of the attempts for one message. */
    private int maxAttempts() {
        return settings.limits().maxAttempts();
    }

    /** Returns a copy without the endpoint list, which grows with the fleet and is needed at the start only. */
    Config withoutKnown() {
        return with((EndpointList) null);
    }

    private Config with(EndpointList list) {
        return new Config(
                name,
                listen,
                operator,
                discovery,
                state,
                seed,
                diskBytes,
                sockets,
                settings,
                classNames,
                kinds,
                zones,
                list,
                keys);
    }

    /** Returns a copy with those settings of another configuration that can change at run time. */
    Config withReloadableSettings(Config read) {
        return new Config(
                name,
                listen,
                operator,
                discovery,
                state,
                seed,
                diskBytes,
                sockets,
                settings.withClasses(read.settings.classes()).withMaxAttempts(read.maxAttempts()),
                read.classNames,
                kinds,
                zones,
                known,
                keys);
    }

    /** Returns the paths of all keys; of objects in a list, those that all of them have. */
    private static Set<String> keys(JsonObject in, String path) {
        Set<String> paths = new LinkedHashSet<>();
        in.entrySet().forEach(e -> {
            paths.add(path + e.getKey());
            if (e.getValue().isJsonObject()) {
                paths.addAll(keys(e.getValue().getAsJsonObject(), path + e.getKey() + '.'));
            } else if (e.getValue().isJsonArray()) {
                paths.addAll(commonKeys(e.getValue().getAsJsonArray(), path + e.getKey() + '.'));
            }
        });
        return paths;
    }

    private static Set<String> commonKeys(JsonArray elements, String path) {
        Set<String> common = new LinkedHashSet<>();
        for (int i = 0; i < elements.size(); i++) {
            Set<String> elementKeys =
                    elements.get(i).isJsonObject() ? keys(elements.get(i).getAsJsonObject(), path) : Set.of();
            if (i == 0) {
                common.addAll(elementKeys);
            } else {
                common.retainAll(elementKeys);
            }
        }
        return common;
    }

    /** Limit of idle connections to endpoints. */
    int maxIdle() {
        return sockets / IDLE_DIVISOR;
    }

    /** Limit of mail connections of each sort: from SMTP clients, from LMTP clients, idle ones to servers. */
    int maxMail() {
        return sockets / MAIL_DIVISOR;
    }

    /**
     * Limit of HTTP client connections: what remains after the program itself, calls, idle connections, mail and other
     * fronts.
     */
    int maxClients(boolean mail, int otherConnections) {
        int operatorConnections = operator == null ? 0 : OperatorPort.MAX_CONNECTIONS + 1;
        return Math.max(
                1,
                sockets
                        - RESERVED_SOCKETS
                        - operatorConnections
                        - settings.limits().slots()
                        - maxIdle()
                        - (mail ? 3 * maxMail() : 0)
                        - otherConnections);
    }

    /** HTTP client connections above this number are not kept alive when idle. */
    int keepAliveClientLimit() {
        return sockets / KEEP_ALIVE_DIVISOR;
    }

    /**
     * Returns the keys whose values differ from those in use and take effect only after a restart: all except
     * discovery, classes and attempts.
     */
    List<String> keysNeedingRestart(Config current) {
        List<String> changedKeys = new ArrayList<>();
        if (!name.equals(current.name)) {
            changedKeys.add("name");
        }
        if (!listen.equals(current.listen)) {
            changedKeys.add("listen");
        }
        if (!Objects.equals(operator, current.operator)) {
            changedKeys.add("operator");
        }
        if (!state.equals(current.state)) {
            changedKeys.add("state");
        }
        if (diskBytes != current.diskBytes) {
            changedKeys.add("limits.disk_mb");
        }
        if (sockets != current.sockets) {
            changedKeys.add("limits.sockets");
        }
        if (!withReloadableSettings(current).settings.equals(current.settings)
                || !kinds.equals(current.kinds)
                || !zones.equals(current.zones)) {
            changedKeys.add("settings");
        }
        return changedKeys;
    }

    static Config parse(String text, Map<String, String> variables) throws ConfigurationException {
        JsonObject root = rootOf(text);
        return parse(root, variables, Set.of()).with(known(root));
    }

    private static JsonObject rootOf(String text) throws ConfigurationException {
        return object("ROUTER_CONFIG", parseJson("ROUTER_CONFIG", text));
    }

    /** Returns the initial endpoint list, or null. */
    private static EndpointList known(JsonObject root) throws ConfigurationException {
        if (!root.has("known") || root.get("known").isJsonNull()) {
            return null;
        }
        JsonObject list = object("known", root.get("known"));
        try {
            return EndpointList.read(list);
        } catch (RuntimeException e) {
            throw new ConfigurationException("known", "not a list of endpoints: " + e.getMessage());
        }
    }

    /** Parses all except the endpoint list. */
    private static Config parse(JsonObject root, Map<String, String> variables, Set<String> requiredKeys)
            throws ConfigurationException {
        JsonObject settings = root.has("settings") ? object("settings", root.get("settings")) : new JsonObject();
        JsonObject limits = root.has("limits") ? object("limits", root.get("limits")) : new JsonObject();
        Set<String> keys = keys(settings, "");
        for (String key : requiredKeys) {
            if (!keys.contains(key)) {
                throw new ConfigurationException("settings." + key, "missing");
            }
        }
        DecisionModule.Settings read;
        try {
            read = SettingsReader.read(settings.toString(), 0);
        } catch (WireException e) {
            throw new ConfigurationException(e.field().replaceFirst("^conf", "settings"), e.problem());
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("settings", e.getMessage());
        }
        List<String> classNames = new ArrayList<>();
        for (JsonElement c : list("settings.requestClasses", settings, "requestClasses")) {
            classNames.add(text("settings.requestClasses.name", object("settings.requestClasses", c), "name", null));
        }
        double diskMegabytes = number("limits.disk_mb", limits, "disk_mb", DEFAULT_DISK_MB);
        if (diskMegabytes <= 0) {
            throw new ConfigurationException("limits.disk_mb", "must be above 0");
        }
        int sockets = integer("limits.sockets", limits, "sockets", DEFAULT_SOCKETS);
        if (sockets < MIN_SOCKETS) {
            throw new ConfigurationException("limits.sockets", "must be " + MIN_SOCKETS + " or more");
        }
        Path state = Path.of(value(variables, "ROUTER_STATE", root, "state", null));
        String operator = value(variables, "ROUTER_OPERATOR", root, "operator", "");
        return new Config(
                value(variables, "ROUTER_NAME", root, "name", "lilaclever"),
                address(value(variables, "ROUTER_LISTEN", root, "listen", null), "listen"),
                operator.isEmpty() ? null : address(operator, "operator"),
                address(discovery(variables, root, state), "discovery"),
                state,
                seed(text("seed", root, "seed", "0")),
                (long) (diskMegabytes * BYTES_PER_MEGABYTE),
                sockets,
                read,
                classNames,
                strings("settings.shapes", settings, "shapes"),
                strings("settings.zones", settings, "zones"),
                null,
                keys);
    }

    private static String value(
            Map<String, String> variables, String variable, JsonObject root, String key, String defaultValue)
            throws ConfigurationException {
        String variableValue = variables.get(variable);
        return variableValue != null && !variableValue.isEmpty() ? variableValue : text(key, root, key, defaultValue);
    }

    private static String address(String value, String key) throws ConfigurationException {
        try {
            Transport.parseAddress(value);
            return value;
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(key, e.getMessage());
        }
    }

    private static long seed(String hex) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed", "not hex digits: " + hex);
        }
    }

    // Mail file
    private static final String DEFAULT_CLASS_HEADER = "X-Message-Class";
    private static final int DEFAULT_MAX_BYTES = 64 * 1024;
    private static final int DEFAULT_MAX_RECIPIENTS = 100;
    private static final double DEFAULT_IDLE_SECONDS = 300;
    /** Lower numbers belong to the platform, so that mail and other messages never share a destination. */
    private static final int FIRST_MAIL_DESTINATION = 1_000_000;

    /** Reads the mail file, which refers to the classes of the settings. */
    MailSettings readMail(Path path) throws ConfigurationException {
        try {
            return parseMail(Files.readString(path));
        } catch (IOException e) {
            throw new ConfigurationException("--mail", "can't be read: " + e);
        }
    }

    MailSettings parseMail(String text) throws ConfigurationException {
        JsonObject root = object("mail", parseJson("mail", text));
        List<MailSettings.Listener> listeners = new ArrayList<>();
        for (JsonElement e : list("mail.listeners", root, "listeners")) {
            JsonObject o = object("mail.listeners", e);
            listeners.add(new MailSettings.Listener(
                    protocol("mail.listeners.protocol", o),
                    address(text("mail.listeners.address", o, "address", null), "mail.listeners.address")));
        }
        List<MailSettings.Route> routes = new ArrayList<>();
        for (JsonElement e : list("mail.routes", root, "routes")) {
            JsonObject o = object("mail.routes", e);
            int destination = integer("mail.routes.destination", o, "destination", 0);
            if (destination < FIRST_MAIL_DESTINATION) {
                throw new ConfigurationException(
                        "mail.routes.destination", "must be " + FIRST_MAIL_DESTINATION + " or more");
            }
            List<String> addresses = strings("mail.routes.addresses", o, "addresses");
            if (addresses.isEmpty()) {
                throw new ConfigurationException("mail.routes.addresses", "must not be empty");
            }
            for (String a : addresses) {
                address(a, "mail.routes.addresses");
            }
            routes.add(new MailSettings.Route(
                    text("mail.routes.domain", o, "domain", null),
                    destination,
                    protocol("mail.routes.protocol", o),
                    addresses));
        }
        Map<String, String> classes = new HashMap<>();
        if (root.has("classes")) {
            for (Map.Entry<String, JsonElement> e :
                    object("mail.classes", root.get("classes")).entrySet()) {
                classes.put(
                        e.getKey(),
                        className("mail.classes." + e.getKey(), e.getValue().getAsString()));
            }
        }
        requireUnsafeClass();
        String reportClass = text("mail.reportClass", root, "reportClass", "");
        int maxBytes = integer("mail.mostBytes", root, "mostBytes", DEFAULT_MAX_BYTES);
        int maxRecipients = integer("mail.mostRecipients", root, "mostRecipients", DEFAULT_MAX_RECIPIENTS);
        double idleSeconds = number("mail.idleSeconds", root, "idleSeconds", DEFAULT_IDLE_SECONDS);
        if (maxBytes <= 0 || maxRecipients <= 0 || idleSeconds <= 0) {
            throw new ConfigurationException(
                    maxBytes <= 0 ? "mail.mostBytes" : maxRecipients <= 0 ? "mail.mostRecipients" : "mail.idleSeconds",
                    "must be above 0");
        }
        return new MailSettings(
                text("mail.hostName", root, "hostName", name),
                listeners,
                routes,
                text("mail.classHeader", root, "classHeader", DEFAULT_CLASS_HEADER),
                classes,
                reportClass.isEmpty() ? null : className("mail.reportClass", reportClass),
                maxBytes,
                maxRecipients,
                (long) (idleSeconds * 1e6));
    }

    private void requireUnsafeClass() throws ConfigurationException {
        if (settings.classes().stream().noneMatch(c -> c.repeat() == DecisionModule.RepeatSafety.UNSAFE)) {
            throw new ConfigurationException(
                    "settings.requestClasses", "mail of unknown class needs a class that is non_idempotent");
        }
    }

    private String className(String key, String className) throws ConfigurationException {
        if (!classNames.contains(className)) {
            throw new ConfigurationException(key, "no class of the settings: " + className);
        }
        return className;
    }

    private static MailSettings.Protocol protocol(String key, JsonObject in) throws ConfigurationException {
        String value = text(key, in, "protocol", null);
        return switch (value) {
            case "smtp" -> MailSettings.Protocol.SMTP;
            case "lmtp" -> MailSettings.Protocol.LMTP;
            default -> throw new ConfigurationException(key, "smtp or lmtp, not " + value);
        };
    }

    private static int integer(String path, JsonObject in, String key, int defaultValue) throws ConfigurationException {
        double value = number(path, in, key, defaultValue);
        if (value != (int) value) {
            throw new ConfigurationException(path, "not a whole number");
        }
        return (int) value;
    }

    // JSON
    static JsonElement parseJson(String key, String text) throws ConfigurationException {
        try {
            return JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new ConfigurationException(key, "no JSON: " + e.getMessage());
        }
    }

    static JsonObject object(String key, JsonElement value) throws ConfigurationException {
        if (value == null || !value.isJsonObject()) {
            throw new ConfigurationException(key, "not an object");
        }
        return value.getAsJsonObject();
    }

    static JsonArray list(String path, JsonObject in, String key) throws ConfigurationException {
        JsonElement value = in.get(key);
        if (value != null && !value.isJsonArray()) {
            throw new ConfigurationException(path, "not a list");
        }
        return value == null ? new JsonArray() : value.getAsJsonArray();
    }

    static List<String> strings(String path, JsonObject in, String key) throws ConfigurationException {
        List<String> values = new ArrayList<>();
        for (JsonElement e : list(path, in, key)) {
            if (!e.isJsonPrimitive()) {
                throw new ConfigurationException(path, "contains an element that is not a string");
            }
            values.add(e.getAsString());
        }
        return values;
    }

    static String text(String path, JsonObject in, String key, String defaultValue) throws ConfigurationException {
        JsonElement value = in.get(key);
        if (value == null || value.isJsonNull()) {
            if (defaultValue == null) {
                throw new ConfigurationException(path, "missing");
            }
            return defaultValue;
        }
        if (!value.isJsonPrimitive()) {
            throw new ConfigurationException(path, "not a string");
        }
        return value.getAsString();
    }

    static double number(String path, JsonObject in, String key, double defaultValue) throws ConfigurationException {
        String value = text(path, in, key, Double.toString(defaultValue));
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(path, "not a number: " + value);
        }
    }
}
