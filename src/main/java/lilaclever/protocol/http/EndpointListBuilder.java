package lilaclever.protocol.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import lilaclever.DecisionModule;
import lilaclever.transport.Transport;

/**
 * Builds an endpoint list from the members of its JSON objects, passed one after the other, and records what can't be
 * read. A value is passed as its text, or as null if it is not a string, number or boolean. Used from one thread.
 */
final class EndpointListBuilder {
    /** JSON keys of the list. */
    static final String VERSION = "index", WHOLE = "snapshot", ENTRIES = "endpoints";
    /** JSON keys of an entry. */
    private static final String NAME = "name",
            ADDRESS = "address",
            DESTINATION = "group",
            STATUS = "status",
            TYPE = "type",
            ZONE = "zone",
            WEIGHT = "weight",
            SINCE = "since_ms";

    private static final Set<String> LIST_KEYS = Set.of(VERSION, WHOLE);
    private static final Set<String> ENTRY_KEYS = Set.of(NAME, ADDRESS, DESTINATION, STATUS, TYPE, ZONE, WEIGHT, SINCE);

    private static final double DEFAULT_WEIGHT = 1;
    /** Stands for a missing kind or zone; matches no name of the settings. */
    private static final String UNNAMED = "";
    /** In the year 5138: larger values would overflow when converted to microseconds. */
    private static final long MAX_SINCE_MILLIS = 100_000_000_000_000L;

    private static final int MAX_PORT = 65_535;

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    /** Other hosts of digits and dots would be resolved as names, which may take seconds. */
    private static final Pattern IPV4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);

    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

    private final Members listMembers = new Members(LIST_KEYS);
    private final List<EndpointList.Endpoint> endpoints = new ArrayList<>();
    private final Set<String> names = new HashSet<>();
    private final Set<String> unusable = new LinkedHashSet<>();
    private final List<EndpointList.Fault> faults = new ArrayList<>();
    private boolean hasEntries;
    private boolean isTruncated;
    private int entryNumber;
    private Members entryMembers;
    private boolean entryIsUsable;

    /** The members of one JSON object; a key that occurs twice with different values counts as having no value. */
    private static final class Members {
        private final Set<String> keys;
        private final Map<String, String> values = new HashMap<>();
        private final Map<String, String> problems = new HashMap<>();

        Members(Set<String> keys) {
            this.keys = keys;
        }

        void add(String key, String value) {
            if (!keys.contains(key)) {
                return;
            }
            if (value == null) {
                problems.put(key, "neither text nor number");
            } else if (values.containsKey(key) && !values.get(key).equals(value)) {
                problems.put(key, "comes twice");
            } else {
                values.put(key, value);
            }
        }

        /** Returns the value's text, or null if there is no usable value. */
        String text(String key) {
            return problems.containsKey(key) ? null : values.get(key);
        }

        String problem(String key) {
            return problems.getOrDefault(key, values.containsKey(key) ? "can't be read: " + excerpt(key) : "missing");
        }

        private String excerpt(String key) {
            int maxLength = 40;
            String value = values.get(key);
            return value.length() <= maxLength ? value : value.substring(0, maxLength) + "...";
        }
    }

    /** Adds a member of the list itself, other than its entries. */
    void member(String key, String value) {
        listMembers.add(key, value);
    }

    /** Marks the start of the list's entries. */
    void beginEntries() {
        hasEntries = true;
    }

    /** Marks the start of an entry. */
    void beginEntry() {
        entryNumber++;
        entryMembers = new Members(ENTRY_KEYS);
    }

    /** Adds a member of the current entry. */
    void entryMember(String key, String value) {
        entryMembers.add(key, value);
    }

    /** Marks the end of the current entry. */
    void endEntry() {
        entryIsUsable = true;
        String name = name();
        String address = address();
        int destination = destination();
        DecisionModule.Presence presence = presence();
        String type = nameOrDefault(TYPE);
        String zone = nameOrDefault(ZONE);
        double weight = weight();
        long sinceMillis = sinceMillis();
        if (name != null && !names.add(name)) {
            fault(name, NAME, EndpointList.Fault.LISTED_TWICE);
        }
        if (entryIsUsable) {
            endpoints.add(
                    new EndpointList.Endpoint(name, address, destination, type, zone, presence, weight, sinceMillis));
        } else if (name != null) {
            unusable.add(name);
        }
    }

    /** Records a value that stands in place of an entry but is not one. */
    void invalidEntry() {
        entryNumber++;
        fault(null, null, "not an object");
    }

    /** Marks the list as truncated: the text ends here or can't be read any further. */
    void truncate(String problem) {
        isTruncated = true;
        faults.add(new EndpointList.Fault(0, null, null, "truncated after entry " + entryNumber + ": " + problem));
    }

    /** Records a fault of the list as a whole. */
    void listFault(String problem) {
        faults.add(new EndpointList.Fault(0, null, null, problem));
    }

    /** Returns the list as far as it was read. */
    EndpointList build() {
        if (!hasEntries) {
            isTruncated = true;
            faults.add(new EndpointList.Fault(0, null, ENTRIES, "missing or not an array"));
        }
        return new EndpointList(version(), isWhole(), isTruncated, endpoints, unusable, faults);
    }

    // Values of the list
    private long version() {
        Long version = parseWholeNumber(listMembers.text(VERSION));
        if (version == null || version < 0) {
            faults.add(new EndpointList.Fault(0, null, VERSION, listMembers.problem(VERSION)));
            return EndpointList.NO_VERSION;
        }
        return version;
    }

    private boolean isWhole() {
        String whole = listMembers.text(WHOLE);
        if ("true".equals(whole) || "false".equals(whole)) {
            return whole.equals("true");
        }
        faults.add(new EndpointList.Fault(0, null, WHOLE, listMembers.problem(WHOLE)));
        return false;
    }

    // Values of an entry
    private String name() {
        String name = entryMembers.text(NAME);
        if (name == null || name.isEmpty()) {
            entryIsUsable = false;
            fault(null, NAME, entryMembers.problem(NAME));
            return null;
        }
        return name;
    }

    private String address() {
        String address = entryMembers.text(ADDRESS);
        if (address == null || !isAddress(address)) {
            markUnusable(ADDRESS);
        }
        return address;
    }

    private int destination() {
        Long destination = parseWholeNumber(entryMembers.text(DESTINATION));
        if (destination == null || destination < Integer.MIN_VALUE || destination > Integer.MAX_VALUE) {
            markUnusable(DESTINATION);
            return 0;
        }
        return destination.intValue();
    }

    private DecisionModule.Presence presence() {
        String status = entryMembers.text(STATUS);
        if (status != null) {
            switch (status) {
                case "active":
                    return DecisionModule.Presence.ACTIVE;
                case "leaving":
                    return DecisionModule.Presence.LEAVING;
                case "left":
                    return DecisionModule.Presence.LEFT;
                default:
                    break;
            }
        }
        markUnusable(STATUS);
        return DecisionModule.Presence.LEFT;
    }

    private String nameOrDefault(String key) {
        String value = entryMembers.text(key);
        if (value == null) {
            reportDefault(key);
            return UNNAMED;
        }
        return value;
    }

    private double weight() {
        if (isAbsent(WEIGHT)) {
            return DEFAULT_WEIGHT;
        }
        Double weight = parseNumber(entryMembers.text(WEIGHT));
        if (weight == null || weight < 0) {
            reportDefault(WEIGHT);
            return DEFAULT_WEIGHT;
        }
        return weight;
    }

    private long sinceMillis() {
        if (isAbsent(SINCE)) {
            return 0;
        }
        Long since = parseWholeNumber(entryMembers.text(SINCE));
        if (since == null || since < 0 || since > MAX_SINCE_MILLIS) {
            reportDefault(SINCE);
            return 0;
        }
        return since;
    }

    private boolean isAbsent(String key) {
        return !entryMembers.values.containsKey(key) && !entryMembers.problems.containsKey(key);
    }

    /** Marks the entry as unusable, since this value is missing or invalid. */
    private void markUnusable(String key) {
        entryIsUsable = false;
        fault(entryMembers.text(NAME), key, entryMembers.problem(key));
    }

    /** Records a fault in a value that is replaced by its default. */
    private void reportDefault(String key) {
        fault(entryMembers.text(NAME), key, entryMembers.problem(key) + "; the default counts");
    }

    private void fault(String name, String key, String problem) {
        faults.add(new EndpointList.Fault(entryNumber, name, key, problem));
    }

    // Formats
    private static Long parseWholeNumber(String text) {
        Double value = parseNumber(text);
        if (value == null || value != Math.rint(value)) {
            return null;
        }
        try {
            return Long.valueOf(text);
        } catch (NumberFormatException e) { // such as 7.0 or 7e3
            return Math.abs(value) < Long.MAX_VALUE ? value.longValue() : null;
        }
    }

    private static Double parseNumber(String text) {
        if (text == null) {
            return null;
        }
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) ? value : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Whether the text is an IP address and port that can be connected to; host names are not accepted. */
    static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !PORT.matcher(text.substring(colon + 1)).matches()) {
            return false;
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        String host = text.substring(0, colon);
        if (port == 0
                || port > MAX_PORT
                || !host.startsWith("[") && !IPV4.matcher(host).matches()) {
            return false;
        }
        try {
            return !Transport.parseAddress(text).isUnresolved();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
