package lilaclever.routing;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The names of the zones, by number. A number is the place of a zone in the settings, so it holds for one process;
 * what outlasts the process has the name. Without names, zones are named by their numbers.
 */
public final class ZoneNames {
    /** The number of a zone that the settings don't have; no endpoint is in it. */
    public static final int UNKNOWN_NUMBER = -1;
    /** The name of a zone that is not certain; no zone has it. */
    public static final String UNKNOWN_NAME = "";
    /** A longer name is not stored. */
    public static final int MAX_NAME_BYTES = 32;

    private final List<String> names;

    /** Creates the names of the settings' zones, in their order. */
    public ZoneNames(List<String> names) {
        this.names = names.stream().map(ZoneNames::storable).toList();
    }

    private static String storable(String name) {
        return name.getBytes(StandardCharsets.UTF_8).length > MAX_NAME_BYTES ? UNKNOWN_NAME : name;
    }

    /** The name to store for a zone. */
    public String name(int number) {
        if (names.isEmpty()) {
            return Integer.toString(number);
        }
        return number >= 0 && number < names.size() ? names.get(number) : UNKNOWN_NAME;
    }

    /** The number that a stored zone has in this process. */
    public int number(String name) {
        if (name.equals(UNKNOWN_NAME)) {
            return UNKNOWN_NUMBER;
        }
        return names.isEmpty() ? parseNumber(name) : names.indexOf(name);
    }

    private static int parseNumber(String name) {
        try {
            return Integer.parseInt(name);
        } catch (NumberFormatException e) {
            return UNKNOWN_NUMBER; // stored when zones had names
        }
    }
}
