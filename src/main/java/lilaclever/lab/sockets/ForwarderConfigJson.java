package lilaclever.lab.sockets;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import lilaclever.DecisionModule;
import lilaclever.lab.model.MessageClass;
import lilaclever.lab.model.PartnerKind;
import lilaclever.lab.scenario.Scenario;

/** The JSON configuration of a forwarder, as the platform would write it for the scenario. */
final class ForwarderConfigJson {
    static final String ZONE = "here";

    private ForwarderConfigJson() {}

    static JsonObject config(
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
        root.add("settings", settings(scenario, settings));
        return root;
    }

    private static JsonObject settings(Scenario scenario, DecisionModule.Settings settings) {
        JsonObject o = new JsonObject();
        o.addProperty("me", settings.self());
        o.addProperty("groupSize", settings.forwarders());
        o.addProperty("az", 0);
        o.addProperty("roundS", settings.roundMicros() / 1e6);
        o.addProperty("discovery", "push");
        o.addProperty("weights", "off");
        o.addProperty("overShareWorth", settings.overQuotaWorthFactor());
        JsonArray kindNames = new JsonArray(),
                zones = new JsonArray(),
                batchSizes = new JsonArray(),
                ownLimits = new JsonArray();
        for (PartnerKind k : scenario.kinds()) {
            kindNames.add(k.name());
            batchSizes.add(k.batch());
            ownLimits.add(false);
        }
        zones.add(ZONE);
        o.add("shapes", kindNames);
        o.add("zones", zones);
        JsonObject partnerSettings = new JsonObject();
        partnerSettings.addProperty("callSlots", settings.limits().slots());
        partnerSettings.add("kindBatch", batchSizes);
        partnerSettings.add("ownLimits", ownLimits);
        partnerSettings.addProperty("decay", "halves");
        o.add("familyInfo", partnerSettings);
        o.add("limits", limits(settings.limits()));
        o.add("rules", rules(settings.rules()));
        JsonArray classes = new JsonArray();
        scenario.classes().forEach(c -> classes.add(messageClass(c)));
        o.add("requestClasses", classes);
        return o;
    }

    private static JsonObject limits(DecisionModule.Limits l) {
        JsonObject o = new JsonObject();
        o.addProperty("maxAttempts", l.maxAttempts());
        o.addProperty("openCap", l.maxOpenMessages());
        o.addProperty("cancel", l.mayCancel());
        o.addProperty("probing", l.mayProbe());
        o.addProperty("streamsPerConn", l.callsPerConnection());
        o.addProperty("connectTimeoutS", l.connectTimeoutMicros() / 1e6);
        o.addProperty("keepaliveS", l.keepAliveMicros() / 1e6);
        o.addProperty("retryAfter", l.sendsRetryAfter());
        o.addProperty("maxRetryAfterS", l.maxRetryAfterMicros() / 1e6);
        return o;
    }

    private static JsonObject rules(DecisionModule.Rules r) {
        JsonObject o = new JsonObject();
        o.addProperty("answerSlackS", r.answerSlackMicros() / 1e6);
        o.addProperty("askWithinS", r.watchWithinMicros() / 1e6);
        o.addProperty("drainGraceS", r.drainGraceMicros() / 1e6);
        o.addProperty("coldFrom", r.initialCapacityShare());
        o.addProperty("rampTimeS", r.rampMicros() / 1e6);
        o.addProperty("tipMultiple", r.overloadMultiple());
        o.addProperty("overloadForS", r.overloadWindowMicros() / 1e6);
        return o;
    }

    private static JsonObject messageClass(MessageClass c) {
        JsonObject o = new JsonObject();
        o.addProperty("name", c.name());
        o.addProperty("aimS", c.terms().aimMicros() / 1e6);
        o.addProperty("deadlineS", c.terms().deadlineMicros() / 1e6);
        o.addProperty("credit", c.terms().worth());
        o.addProperty("lateShare", c.terms().lateShare());
        o.addProperty("group", "all");
        o.addProperty(
                "repeat",
                switch (c.terms().repeat()) {
                    case SAFE -> "read_like";
                    case KEYED -> "idempotency_key";
                    case UNSAFE -> "non_idempotent";
                });
        o.addProperty("repeatWindowS", c.terms().repeatWindowMicros() / 1e6);
        return o;
    }
}
