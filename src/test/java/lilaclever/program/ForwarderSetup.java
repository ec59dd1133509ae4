package lilaclever.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lilaclever.conf.ConfigurationException;

/** Configurations and processes of forwarders under test. */
final class ForwarderSetup {
    private ForwarderSetup() {}

    static final String MAIL_CONFIG_TEMPLATE = """
            {"hostName": "mx.test", "classes": {"order": "order", "status": "status"}, "reportClass": "status",
             "listeners": [{"protocol": "smtp", "address": "127.0.0.1:0"},
              {"protocol": "lmtp", "address": "127.0.0.1:0"}],
             "routes": [%s]}""";

    static String endpointList(String endpoint) {
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"e1\",\"address\":\"" + endpoint
                + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":7,\"status\":\"active\"}]}";
    }

    /** The known list of the last configuration; empty where it had none. */
    private static volatile String knownList = "";

    /** The known list of the last configuration, for a platform that has no list of its own. */
    static String knownList() {
        return knownList;
    }

    /** A configuration; the endpoint is in its known list, or is null. */
    static String configText(String discovery, Path state, String endpoint, double diskMb) {
        knownList = endpoint == null ? "" : endpointList(endpoint);
        String template = """
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
                   "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}}""";
        return template.formatted(discovery, state, diskMb, endpoint == null ? "null" : endpointList(endpoint));
    }

    static Config config(String discovery, Path state, String endpoint) throws ConfigurationException {
        return Config.parse(configText(discovery, state, endpoint, 3), Map.of());
    }

    /** Copies a state folder while its forwarder runs: what a kill at this moment would leave. Returns the copy. */
    static Path copyState(Path state, Path copy) throws IOException {
        try (Stream<Path> files = Files.list(state)) {
            for (Path file : files.toList()) {
                Files.copy(file, copy.resolve(file.getFileName()));
            }
        }
        return copy;
    }

    /** Starts the real program in a process that can be killed, with this limit of file descriptors. */
    static Process startProcess(Path folder, String config, int descriptors) throws IOException {
        return startProcess(folder, config, "ulimit -n " + descriptors);
    }

    /** Starts the real program in a process, after this shell command. */
    static Process startProcess(Path folder, String config, String shellCommand, String... arguments)
            throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                shellCommand + " && exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "lilaclever.program.Main",
                "serve"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", file.toString());
        builder.environment().put("ROUTER_DISCOVERY", config.replaceAll("(?s).*\"discovery\": \"([^\"]*)\".*", "$1"));
        return builder.start();
    }

    /** A running program and the addresses that it serves at, HTTP first. */
    record RunningForwarder(Process process, List<InetSocketAddress> addresses) {}

    /**
     * Starts the built jar in a process with the platform's flags and returns once it serves; on core 0 alone where
     * {@code oneCore} is set. Lines of its log go to {@code log}; {@code conf} may be null.
     */
    static RunningForwarder startJar(
            Path folder, String config, String conf, boolean oneCore, int heapMb, Consumer<String> log)
            throws IOException {
        List<String> command = new ArrayList<>(oneCore ? List.of("taskset", "-c", "0") : List.of());
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + heapMb + "m",
                "-Xss256k",
                "-XX:SharedArchiveFile=target/lilaclever.jsa",
                "-Xshare:auto",
                "-jar",
                "target/lilaclever.jar",
                "serve"));
        if (conf != null) {
            command.addAll(List.of(
                    "--conf", Files.writeString(folder.resolve("conf"), conf).toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment()
                .put(
                        "ROUTER_CONFIG",
                        Files.writeString(folder.resolve("config.json"), config).toString());
        Process process = builder.start();
        BufferedReader lines = process.inputReader();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            log.accept(line);
            if (line.contains("serves at")) {
                Thread logReader = new Thread(() -> lines.lines().forEach(log));
                logReader.setDaemon(true);
                logReader.start();
                return new RunningForwarder(
                        process,
                        Pattern.compile("/([0-9.]+):(\\d+)")
                                .matcher(line)
                                .results()
                                .map(m -> new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2))))
                                .toList());
            }
        }
        throw new IOException("the program did not start");
    }
}
