package lilaclever.protocol.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule;

/**
 * A list of endpoints in the platform's form, read into values: nothing of the text that it came from is kept.
 *
 * @param version grows with each change of the list; {@link #NO_VERSION} where it can't be read
 * @param isWhole false where only changes since an earlier version are listed, or where that can't be read
 * @param isTruncated whether entries may be missing behind the last one: what is not listed may be there all the same
 * @param endpoints entries that can be used, in the list's order; a name that comes twice is here twice
 * @param unusable names of entries that can't be used
 * @param faults what could not be read; empty for a list in order
 */
public record EndpointList(
        long version,
        boolean isWhole,
        boolean isTruncated,
        List<Endpoint> endpoints,
        Set<String> unusable,
        List<Fault> faults) {
    /** The version of a list that tells none. */
    public static final long NO_VERSION = -1;

    /**
     * One endpoint of the list.
     *
     * @param type name of its kind in the settings
     * @param zone name of its zone in the settings
     * @param sinceMillis when it got this presence, wall clock, milliseconds since 1970; 0 where that is not told
     */
    public record Endpoint(
            String name,
            String address,
            int destination,
            String type,
            String zone,
            DecisionModule.Presence presence,
            double weight,
            long sinceMillis) {}

    /**
     * Something that could not be read.
     *
     * @param entry number of the entry in the list, from 1; 0 for the list itself
     * @param name the entry's name; null where that can't be read
     * @param key the key at fault; null where it is the whole entry or list
     * @param problem what is wrong, in words
     */
    public record Fault(int entry, String name, String key, String problem) {
        private static final int MAX_NAME_LENGTH = 64;
        /** What is said of a name that has come before in the list. */
        static final String LISTED_TWICE = "listed twice";

        /** Whether the list can be used all the same, the more cautious of two entries counting. */
        boolean isRepetition() {
            return LISTED_TWICE.equals(problem);
        }

        @Override
        public String toString() {
            String where = entry == 0 ? "list" : "entry " + entry;
            String who = name == null ? "" : " (" + shortened(name) + ")";
            return where + who + ": " + (key == null ? "" : key + ": ") + problem;
        }

        private static String shortened(String name) {
            return name.length() <= MAX_NAME_LENGTH ? name : name.substring(0, MAX_NAME_LENGTH) + "...";
        }
    }

    /** A text that is no list of endpoints at all, or one with faults where none is allowed. */
    public static final class UnreadableListException extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableListException(String problem) {
            super(problem);
        }
    }

    /** The same list, where it is known from elsewhere that its end is missing. */
    EndpointList truncated() {
        return new EndpointList(version, isWhole, true, endpoints, unusable, faults);
    }

    /**
     * Reads a list that must be in order, such as one from a configuration; a name may come twice in it.
     *
     * @throws IllegalArgumentException names the first entry and key at fault
     */
    public static EndpointList read(JsonObject list) {
        EndpointListBuilder builder = new EndpointListBuilder();
        list.entrySet().stream()
                .filter(member -> !member.getKey().equals(EndpointListBuilder.ENTRIES))
                .forEach(member -> builder.member(member.getKey(), text(member.getValue())));
        JsonElement entries = list.get(EndpointListBuilder.ENTRIES);
        if (entries != null && entries.isJsonArray()) {
            builder.beginEntries();
            entries.getAsJsonArray().forEach(entry -> add(entry, builder));
        }
        EndpointList read = builder.build();
        read.faults().stream()
                .filter(fault -> !fault.isRepetition())
                .findFirst()
                .ifPresent(fault -> {
                    throw new IllegalArgumentException(fault.toString());
                });
        return read;
    }

    private static void add(JsonElement entry, EndpointListBuilder builder) {
        if (!entry.isJsonObject()) {
            builder.invalidEntry();
            return;
        }
        builder.beginEntry();
        for (Map.Entry<String, JsonElement> member : entry.getAsJsonObject().entrySet()) {
            builder.entryMember(member.getKey(), text(member.getValue()));
        }
        builder.endEntry();
    }

    private static String text(JsonElement value) {
        return value.isJsonPrimitive() ? value.getAsString() : null;
    }
}
