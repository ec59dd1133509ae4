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
import lilaclever.benchlink.SettingsReader;
import lilaclever.benchlink.WireException;
import lilaclever.conf.ConfigurationException;
import lilaclever.log.Logs;
import lilaclever.protocol.http.EndpointList;
import lilaclever.protocol.mail.MailSettings;
import lilaclever.protocol.operator.OperatorPort;
import lilaclever.routing.ManualDrains;
import lilaclever.transport.Transport;

/**
 * The one place where configuration is read, checked and given defaults. The file is named by {@code ROUTER_CONFIG};
 * the other variables override it. {@code known} is the list of endpoints that a start begins with; it is null where
 * the file has none, and in a configuration that was read again or is in force ({@link #withoutKnown}).
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
    private static final long MEGABYTE = 1024 * 1024;
    private static final double DEFAULT_DISK_MB = 3;
    private static final int DEFAULT_SOCKETS = 1024, MIN_SOCKETS = 64;
    private static final String DISCOVERY_FILE = "discovery";
    /** What the note takes on disk, and the one of endpoints out by hand, written beside the old one. */
    private static final long DISCOVERY_FILE_BYTES = 512, SUSPENDED_RESERVED_BYTES = 2 * ManualDrains.NOTE_BYTES;

    private static final String SUSPENDED_FILE = "suspended";
    /** Descriptors that the machine itself needs, and some for files of the journal. */
    private static final int RESERVED_SOCKETS = 40, IDLE_DIVISOR = 4, KEEP_ALIVE_DIVISOR = 6, MAIL_DIVISOR = 16;

    /** Reads the configuration that the variables name, for a start. */
    static Config read(Map<String, String> variables) throws ConfigurationException {
        Config read = readFile(variables, Set.of());
        ClassTable savedClasses = ClassTable.read(read.state);
        return savedClasses == null
                ? read
                : read.with(
                        savedClasses.withCurrentClasses(read.classNames, read.settings.classes()), read.maxAttempts());
    }

    /** {@code needed}: keys of the settings that must not be missing. */
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
     * Notes that the file's discovery was taken on in place of the variable's. A start with the same file goes by the
     * note: the variable may still be what it was at the first start.
     */
    void saveDiscovery(Path state) throws IOException {
        Files.writeString(state.resolve(DISCOVERY_FILE), discovery);
    }

    /** What the note of classes, and the one written beside it, take on disk. */
    private long classesReservedBytes() {
        return Math.min(ClassTable.RESERVED_BYTES, diskBytes / 16);
    }

    /** What the note of departures, and the one written beside it, take on disk. */
    long departuresReservedBytes() {
        return Math.min(DepartureFile.RESERVED_BYTES, diskBytes / 16);
    }

    /** Notes the classes, if there is room. */
    void saveClasses() throws ConfigurationException {
        try {
            table().write(state, classesReservedBytes() / 2);
        } catch (IOException e) {
            throw new ConfigurationException("settings", "can't be noted on disk: " + e.getMessage());
        }
    }

    /** What the notes take on disk. */
    long stateFilesBytes() {
        return DISCOVERY_FILE_BYTES
                + classesReservedBytes()
                + departuresReservedBytes()
                + (operator == null ? 0 : SUSPENDED_RESERVED_BYTES);
    }

    /** Ids of endpoints that were taken out by hand in an earlier life. */
    Set<String> readSuspended() throws ConfigurationException {
        try {
            Path file = state.resolve(SUSPENDED_FILE);
            return Files.exists(file) ? new LinkedHashSet<>(Files.readAllLines(file)) : Set.of();
        } catch (IOException e) {
            // To start without it would send to what an operator has taken out.
            throw new ConfigurationException("state", SUSPENDED_FILE + " can't be read: " + e);
        }
    }

    /** Notes the ids of endpoints that are out by hand. */
    static void saveSuspended(Path state, Set<String> ids) throws IOException {
        replaceStateFile(
                state,
                SUSPENDED_FILE,
                ids.stream().map(id -> id + System.lineSeparator()).collect(Collectors.joining()));
    }

    /** Writes a note in the state folder: the old one stays until the new one is whole. */
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
            Logs.warn("", "note-unreadable", DISCOVERY_FILE + " can't be read: " + e); // as if there were none
        }
        return value(variables, "ROUTER_DISCOVERY", root, "discovery", null);
    }

    /**
     * Reads the file again, which must have every key of the settings in use. What it says of discovery wins over the
     * variable, which a running process keeps as it was at its start.
     */
    static Config reread(Map<String, String> variables, Config current) throws ConfigurationException {
        Map<String, String> otherVariables = new HashMap<>(variables);
        otherVariables.remove("ROUTER_DISCOVERY");
        return readFile(otherVariables, current.keys);
    }

    /** How often a message may be attempted. */
    private int maxAttempts() {
        return settings.limits().maxAttempts();
    }

    /** The same without the list of endpoints, which grows with the fleet and is of use at the start alone. */
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

    /** The same with other classes and attempts: what can change while the program runs. */
    private Config with(ClassTable table, int maxAttempts) {
        DecisionModule.Settings oldSettings = settings;
        DecisionModule.Limits oldLimits = oldSettings.limits();
        DecisionModule.Limits limits = new DecisionModule.Limits(
                maxAttempts,
                oldLimits.maxOpenMessages(),
                oldLimits.slots(),
                oldLimits.mayCancel(),
                oldLimits.mayProbe(),
                oldLimits.mayMessagePeers(),
                oldLimits.callsPerConnection(),
                oldLimits.connectTimeoutMicros(),
                oldLimits.keepAliveMicros(),
                oldLimits.sendsRetryAfter(),
                oldLimits.maxRetryAfterMicros());
        return new Config(
                name,
                listen,
                operator,
                discovery,
                state,
                seed,
                diskBytes,
                sockets,
                new DecisionModule.Settings(
                        oldSettings.self(),
                        oldSettings.forwarders(),
                        oldSettings.zone(),
                        oldSettings.zones(),
                        oldSettings.roundMicros(),
                        oldSettings.mustWatchList(),
                        oldSettings.weightMeaning(),
                        oldSettings.limitReports(),
                        oldSettings.overQuotaWorthFactor(),
                        table.classes(),
                        oldSettings.kinds(),
                        oldSettings.tenants(),
                        limits,
                        oldSettings.rules()),
                table.names(),
                kinds,
                zones,
                known,
                keys);
    }

    /** The classes by number. */
    ClassTable table() {
        return new ClassTable(classNames, settings.classes());
    }

    /** This one with what can be taken over of another while the program runs. */
    Config withReloadableSettings(Config read) throws ConfigurationException {
        return with(table().withCurrentClasses(read.classNames, read.settings.classes()), read.maxAttempts());
    }

    /** Keys of the settings, of objects in lists those that all of them have. */
    private static Set<String> keys(JsonObject in, String path) {
        Set<String> all = new LinkedHashSet<>();
        in.entrySet().forEach(e -> {
            all.add(path + e.getKey());
            if (e.getValue().isJsonObject()) {
                all.addAll(keys(e.getValue().getAsJsonObject(), path + e.getKey() + '.'));
            } else if (e.getValue().isJsonArray()) {
                all.addAll(commonKeys(e.getValue().getAsJsonArray(), path + e.getKey() + '.'));
            }
        });
        return all;
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

    /** Idle connections to endpoints at most. */
    int maxIdleConnections() {
        return sockets / IDLE_DIVISOR;
    }

    /** Mail connections of each sort at most: SMTP clients, LMTP clients, idle ones to servers. */
    int maxMailConnections() {
        return sockets / MAIL_DIVISOR;
    }

    /**
     * Connections of clients at most: what the program itself, calls, idle connections, mail and other fronts leave.
     */
    int maxClientConnections(boolean mail, int otherConnections) {
        int operators = operator == null ? 0 : OperatorPort.MOST + 1;
        return Math.max(
                1,
                sockets
                        - RESERVED_SOCKETS
                        - operators
                        - settings.limits().slots()
                        - maxIdleConnections()
                        - (mail ? 3 * maxMailConnections() : 0)
                        - otherConnections);
    }

    /** With more connections of clients than this none stays idle. */
    int keepAliveClientLimit() {
        return sockets / KEEP_ALIVE_DIVISOR;
    }

    /**
     * The keys, but for discovery, classes and attempts, whose values differ from those of a configuration in use: they
     * need a restart.
     */
    List<String> keysNeedingRestart(Config current) {
        List<String> keys = new ArrayList<>();
        if (!name.equals(current.name)) {
            keys.add("name");
        }
        if (!listen.equals(current.listen)) {
            keys.add("listen");
        }
        if (!Objects.equals(operator, current.operator)) {
            keys.add("operator");
        }
        if (!state.equals(current.state)) {
            keys.add("state");
        }
        if (diskBytes != current.diskBytes) {
            keys.add("limits.disk_mb");
        }
        if (sockets != current.sockets) {
            keys.add("limits.sockets");
        }
        if (!with(current.table(), current.maxAttempts()).settings.equals(current.settings)
                || !kinds.equals(current.kinds)
                || !zones.equals(current.zones)) {
            keys.add("settings");
        }
        return keys;
    }

    static Config parse(String text, Map<String, String> variables) throws ConfigurationException {
        JsonObject root = rootOf(text);
        return parse(root, variables, Set.of()).with(known(root));
    }

    private static JsonObject rootOf(String text) throws ConfigurationException {
        return object("ROUTER_CONFIG", parseJson("ROUTER_CONFIG", text));
    }

    /** The list of endpoints that a start begins with, or null. */
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

    /** All but the list of endpoints. */
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
                (long) (diskMegabytes * MEGABYTE),
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
        String set = variables.get(variable);
        return set != null && !set.isEmpty() ? set : text(key, root, key, defaultValue);
    }

    private static String address(String value, String key) throws ConfigurationException {
        try {
            Transport.address(value);
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

    // ---- the mail file ------------------------------------------------------------------------------------
    private static final String DEFAULT_CLASS_HEADER = "X-Message-Class";
    private static final int DEFAULT_MAX_BYTES = 64 * 1024;
    private static final int DEFAULT_MAX_RECIPIENTS = 100;
    private static final double DEFAULT_IDLE_SECONDS = 300;
    /** Numbers under this are the platform's: mail must not go to its endpoints, nor its messages to ours. */
    private static final int FIRST_MAIL_DESTINATION = 1_000_000;

    /** Reads the mail file; its classes are those of the settings. */
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
        Map<String, Integer> classes = new HashMap<>();
        if (root.has("classes")) {
            for (Map.Entry<String, JsonElement> e :
                    object("mail.classes", root.get("classes")).entrySet()) {
                classes.put(
                        e.getKey(),
                        classNumber("mail.classes." + e.getKey(), e.getValue().getAsString()));
            }
        }
        int defaultClass = firstUnsafeClass();
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
                defaultClass,
                reportClass.isEmpty() ? defaultClass : classNumber("mail.reportClass", reportClass),
                maxBytes,
                maxRecipients,
                (long) (idleSeconds * 1e6),
                settings.classes().stream()
                        .map(DecisionModule.MessageClass::deadlineMicros)
                        .toList());
    }

    private int firstUnsafeClass() throws ConfigurationException {
        for (int i = 0; i < settings.classes().size(); i++) {
            if (settings.classes().get(i).repeat() == DecisionModule.RepeatSafety.UNSAFE) {
                return i;
            }
        }
        throw new ConfigurationException(
                "settings.requestClasses", "mail of no known class needs one that must not be repeated");
    }

    private int classNumber(String key, String className) throws ConfigurationException {
        int number = classNames.indexOf(className);
        if (number < 0) {
            throw new ConfigurationException(key, "no class of the settings: " + className);
        }
        return number;
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

    // ---- JSON -------------------------------------------------------------------------------------------
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
        List<String> all = new ArrayList<>();
        for (JsonElement e : list(path, in, key)) {
            if (!e.isJsonPrimitive()) {
                throw new ConfigurationException(path, "holds something that is no text");
            }
            all.add(e.getAsString());
        }
        return all;
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
            throw new ConfigurationException(path, "not a text");
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
