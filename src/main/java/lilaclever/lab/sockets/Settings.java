package lilaclever.lab.sockets;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import lilaclever.DecisionModule;
import lilaclever.lab.model.MessageClass;
import lilaclever.lab.model.PartnerKind;
import lilaclever.lab.scenario.Scenario;

/** The configuration of a forwarder, as the platform would write it for the scenario. */
final class Settings {
    static final String ZONE = "here";

    private Settings() {}

    static JsonObject config(
            Scenario s,
            DecisionModule.Settings settings,
            String listen,
            String discovery,
            Path state,
            long seed,
            JsonObject known) {
        JsonObject root = new JsonObject();
        root.addProperty("name", "n" + settings.self());
        root.addProperty("listen", listen);
        root.addProperty("discovery", discovery);
        root.addProperty("state", state.toString());
        root.addProperty("seed", Long.toHexString(seed));
        JsonObject limits = new JsonObject();
        limits.addProperty("disk_mb", s.fleet().diskBytes() / 1048576.0);
        root.add("limits", limits);
        root.add("known", known);
        root.add("settings", settings(s, settings));
        return root;
    }

    private static JsonObject settings(Scenario s, DecisionModule.Settings t) {
        JsonObject o = new JsonObject();
        o.addProperty("me", t.self());
        o.addProperty("groupSize", t.forwarders());
        o.addProperty("az", 0);
        o.addProperty("roundS", t.roundMicros() / 1e6);
        o.addProperty("discovery", "push");
        o.addProperty("weights", "off");
        o.addProperty("overShareWorth", t.overQuotaWorthFactor());
        JsonArray shapes = new JsonArray(), zones = new JsonArray(), batch = new JsonArray(), own = new JsonArray();
        for (PartnerKind k : s.kinds()) {
            shapes.add(k.name());
            batch.add(k.maxBatch());
            own.add(false);
        }
        zones.add(ZONE);
        o.add("shapes", shapes);
        o.add("zones", zones);
        JsonObject family = new JsonObject();
        family.addProperty("callSlots", t.limits().slots());
        family.add("kindBatch", batch);
        family.add("ownLimits", own);
        family.addProperty("decay", "halves");
        o.add("familyInfo", family);
        o.add("limits", limits(t.limits()));
        o.add("rules", rules(t.rules()));
        JsonArray classes = new JsonArray();
        s.classes().forEach(c -> classes.add(messageClass(c)));
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
