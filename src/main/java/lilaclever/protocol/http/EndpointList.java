package lilaclever.protocol.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import lilaclever.DecisionModule;

/**
 * A list of endpoints in the platform's form, read into values: nothing of the JSON tree that it came from is kept.
 *
 * @param version grows with each change of the list
 * @param isWhole false where only changes since an earlier version are listed
 */
public record EndpointList(long version, boolean isWhole, List<Endpoint> endpoints) {
    private static final double DEFAULT_WEIGHT = 1;

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
     * Reads a list.
     *
     * @throws RuntimeException of some kind, where a key is missing or of another form
     */
    public static EndpointList read(JsonObject list) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonElement element : list.getAsJsonArray("endpoints")) {
            endpoints.add(endpoint(element.getAsJsonObject()));
        }
        return new EndpointList(
                list.get("index").getAsLong(), list.get("snapshot").getAsBoolean(), endpoints);
    }

    private static Endpoint endpoint(JsonObject from) {
        return new Endpoint(
                from.get("name").getAsString(),
                from.get("address").getAsString(),
                from.get("group").getAsInt(),
                from.get("type").getAsString(),
                from.get("zone").getAsString(),
                presence(from.get("status").getAsString()),
                from.has("weight") ? from.get("weight").getAsDouble() : DEFAULT_WEIGHT,
                from.has("since_ms") ? from.get("since_ms").getAsLong() : 0);
    }

    private static DecisionModule.Presence presence(String status) {
        return switch (status) {
            case "active" -> DecisionModule.Presence.ACTIVE;
            case "leaving" -> DecisionModule.Presence.LEAVING;
            default -> DecisionModule.Presence.LEFT;
        };
    }
}
