package lilaclever.simulation.sockets;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import lilaclever.DecisionModule;
import lilaclever.simulation.model.MessageClass;
import lilaclever.simulation.model.PartnerKind;
import lilaclever.simulation.scenario.Scenario;

/** The JSON configuration of a forwarder, as the platform would write it for the scenario. */
final class ForwarderConfigJson {
    static final String ZONE = "here";

    private ForwarderConfigJson() {}

    static JsonObject create(
            Scenario scenario,
            DecisionModule.Settings settings,
            String listen,
            String discovery,
            Path stateFolder,
            long seed,
            JsonObject knownEndpoints) {
        JsonObject root = new JsonObject();
        root.addProperty("name", "n" + settings.self());
        root.addProperty("listen", listen);
        root.addProperty("discovery", discovery);
        root.addProperty("state", stateFolder.toString());
        root.addProperty("seed", Long.toHexString(seed));
        JsonObject limits = new JsonObject();
        limits.addProperty("disk_mb", scenario.fleet().diskBytes() / 1048576.0);
        root.add("limits", limits);
        root.add("known", knownEndpoints);
        root.add("settings", settingsJson(scenario, settings));
        return root;
    }

    private static JsonObject settingsJson(Scenario scenario, DecisionModule.Settings settings) {
        JsonObject json = new JsonObject();
        json.addProperty("me", settings.self());
        json.addProperty("groupSize", settings.forwarders());
        json.addProperty("az", 0);
        json.addProperty("roundS", settings.roundMicros() / 1e6);
        json.addProperty("discovery", "push");
        json.addProperty("weights", "off");
        json.addProperty("overShareWorth", settings.overQuotaWorthFactor());
        JsonArray kindNames = new JsonArray(),
                zones = new JsonArray(),
                batchSizes = new JsonArray(),
                ownLimits = new JsonArray();
        for (PartnerKind k : scenario.kinds()) {
            kindNames.add(k.name());
            batchSizes.add(k.maxBatchSize());
            ownLimits.add(false);
        }
        zones.add(ZONE);
        json.add("shapes", kindNames);
        json.add("zones", zones);
        JsonObject partnerSettings = new JsonObject();
        partnerSettings.addProperty("callSlots", settings.limits().slots());
        partnerSettings.add("kindBatch", batchSizes);
        partnerSettings.add("ownLimits", ownLimits);
        partnerSettings.addProperty("decay", "halves");
        json.add("familyInfo", partnerSettings);
        json.add("limits", limitsJson(settings.limits()));
        json.add("rules", rulesJson(settings.rules()));
        JsonArray classes = new JsonArray();
        scenario.classes().forEach(c -> classes.add(messageClassJson(c)));
        json.add("requestClasses", classes);
        return json;
    }

    private static JsonObject limitsJson(DecisionModule.Limits limits) {
        JsonObject json = new JsonObject();
        json.addProperty("maxAttempts", limits.maxAttempts());
        json.addProperty("openCap", limits.maxOpenMessages());
        json.addProperty("cancel", limits.mayCancel());
        json.addProperty("probing", limits.mayProbe());
        json.addProperty("streamsPerConn", limits.callsPerConnection());
        json.addProperty("connectTimeoutS", limits.connectTimeoutMicros() / 1e6);
        json.addProperty("keepaliveS", limits.keepAliveMicros() / 1e6);
        json.addProperty("retryAfter", limits.sendsRetryAfter());
        json.addProperty("maxRetryAfterS", limits.maxRetryAfterMicros() / 1e6);
        return json;
    }

    private static JsonObject rulesJson(DecisionModule.Rules rules) {
        JsonObject json = new JsonObject();
        json.addProperty("answerSlackS", rules.answerSlackMicros() / 1e6);
        json.addProperty("askWithinS", rules.watchWithinMicros() / 1e6);
        json.addProperty("drainGraceS", rules.drainGraceMicros() / 1e6);
        json.addProperty("coldFrom", rules.initialCapacityShare());
        json.addProperty("rampTimeS", rules.rampMicros() / 1e6);
        json.addProperty("tipMultiple", rules.overloadMultiple());
        json.addProperty("overloadForS", rules.overloadWindowMicros() / 1e6);
        return json;
    }

    private static JsonObject messageClassJson(MessageClass messageClass) {
        JsonObject json = new JsonObject();
        json.addProperty("name", messageClass.name());
        json.addProperty("aimS", messageClass.terms().aimMicros() / 1e6);
        json.addProperty("deadlineS", messageClass.terms().deadlineMicros() / 1e6);
        json.addProperty("credit", messageClass.terms().worth());
        json.addProperty("lateShare", messageClass.terms().lateShare());
        json.addProperty("group", "all");
        json.addProperty(
                "repeat",
                switch (messageClass.terms().repeat()) {
                    case SAFE -> "read_like";
                    case KEYED -> "idempotency_key";
                    case UNSAFE -> "non_idempotent";
                });
        json.addProperty("repeatWindowS", messageClass.terms().repeatWindowMicros() / 1e6);
        return json;
    }
}
