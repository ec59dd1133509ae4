package lilaclever.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lilaclever.conf.Bad;

/** Configurations of forwarders under test. */
final class Setup {
    private Setup() { }

    static final String MAIL = """
            {"hostName": "mx.test", "classes": {"order": "order", "status": "status"}, "reportClass": "status",
             "listeners": [{"protocol": "smtp", "address": "127.0.0.1:0"},
              {"protocol": "lmtp", "address": "127.0.0.1:0"}],
             "routes": [%s]}""";

    static String list(String endpoint) {
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"e1\",\"address\":\"" + endpoint
                + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":7,\"status\":\"active\"}]}";
    }

    /** A configuration; the endpoint is known from the start, or null. */
    static String text(String discovery, Path state, String endpoint, double diskMb) {
        return """
                {"name": "n0", "listen": "127.0.0.1:0", "discovery": "%s", "state": "%s", "seed": "0b",
                 "limits": {"disk_mb": %s}, "known": %s,
                 "settings": {"roundS": 0.002, "groupSize": 1, "shapes": ["lab"], "zones": ["z"],
                  "familyInfo": {"callSlots": 20, "kindBatch": [20], "ownLimits": [false]},
                  "limits": {"maxAttempts": 8, "openCap": 200, "connectTimeoutS": 1.5, "keepaliveS": 15,
                   "retryAfter": true, "maxRetryAfterS": 2},
                  "requestClasses": [
                   {"name": "order", "aimS": 1, "deadlineS": 20, "repeat": "idempotency_key", "repeatWindowS": 5},
                   {"name": "status", "aimS": 0.4, "deadlineS": 6, "repeat": "read_like"},
                   {"name": "payment", "aimS": 1, "deadlineS": 28, "credit": 3, "repeat": "non_idempotent"}],
                  "rules": {"answerSlackS": 0.02, "coldFrom": 0.5, "tipMultiple": 1.5, "rampTimeS": 0.1,
                   "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}}""".formatted(discovery, state, diskMb,
                endpoint == null ? "null" : list(endpoint));
    }

    static Config config(String discovery, Path state, String endpoint) throws Bad {
        return Config.parse(text(discovery, state, endpoint, 3), Map.of());
    }

    /** The real program in a process of its own, which can be killed, with so many descriptors. */
    static Process process(Path folder, String config, int descriptors) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c",
                "ulimit -n " + descriptors + " && exec \"$@\"", "sh", Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "lilaclever.program.Main", "serve");
        builder.environment().put("ROUTER_CONFIG", file.toString());
        builder.environment().put("ROUTER_DISCOVERY", config.replaceAll("(?s).*\"discovery\": \"([^\"]*)\".*", "$1"));
        return builder.start();
    }
}
