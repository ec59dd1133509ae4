package lilaclever.protocol.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule;

/**
 * An endpoint list parsed from the platform's format. It keeps none of the text that it was read from.
 *
 * @param version grows with each change of the list; {@link #NO_VERSION} where it can't be read
 * @param isWhole false where the list has only the changes since an earlier version, or where that can't be read
 * @param isTruncated whether entries may be missing after the last one, so that absence from the list proves nothing
 * @param endpoints the usable entries, in the list's order; a name that is listed twice is here twice
 * @param unusable names of the entries that can't be used
 * @param faults what could not be read; empty for a list without faults
 */
public record EndpointList(
        long version,
        boolean isWhole,
        boolean isTruncated,
        List<Endpoint> endpoints,
        Set<String> unusable,
        List<Fault> faults) {
    /** The version of a list without a readable one. */
    public static final long NO_VERSION = -1;

    /**
     * One endpoint of the list.
     *
     * @param type name of its kind in the settings
     * @param zone name of its zone in the settings
     * @param sinceMillis when its process was last started, milliseconds since 1970; 0 where that is unknown
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
     * A part of the list that could not be read.
     *
     * @param entry number of the entry in the list, from 1; 0 for the list itself
     * @param name the entry's name; null where that can't be read
     * @param key the faulty key; null where the whole entry or list is faulty
     * @param problem a description of the fault
     */
    public record Fault(int entry, String name, String key, String problem) {
        private static final int MAX_NAME_LENGTH = 64;
        /** The problem reported for a name that occurred earlier in the list. */
        static final String LISTED_TWICE = "listed twice";

        /**
         * Whether the list is usable in spite of this fault: of two entries of one name the more cautious one applies.
         */
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

    /** Thrown for a text that is not an endpoint list at all, or for one with faults where none are allowed. */
    public static final class UnreadableListException extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableListException(String problem) {
            super(problem);
        }
    }

    /** Returns the same list marked as truncated, where that is known from elsewhere. */
    EndpointList truncated() {
        return new EndpointList(version, isWhole, true, endpoints, unusable, faults);
    }

    /**
     * Reads a list that must be without faults, such as one from a configuration; only duplicate names are allowed.
     *
     * @throws IllegalArgumentException names the first faulty entry and key
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
