package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import javax.management.ObjectName;
import lilaclever.conf.ConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The known list of endpoints that a start begins with: how it is read, and what is retained of it. */
class KnownListTest {
    private static final int ENDPOINTS = 5_000;

    @TempDir
    private Path state;

    private static String list() {
        return IntStream.range(0, ENDPOINTS)
                .mapToObj(i -> "{\"name\":\"e" + i + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
                        + "\"type\":\"lab\",\"group\":" + i + ",\"status\":\"active\"}")
                .collect(Collectors.joining(",", "{\"index\":1,\"snapshot\":true,\"endpoints\":[", "]}"));
    }

    private String text(String platform) {
        return ForwarderSetup.configText(platform, state, null, 3).replace("\"known\": null", "\"known\": " + list());
    }

    /** The number of reachable instances of this class, after a full collection. */
    private static long instances(String className) throws Exception {
        String histogram = (String) ManagementFactory.getPlatformMBeanServer()
                .invoke(
                        new ObjectName("com.sun.management:type=DiagnosticCommand"),
                        "gcClassHistogram",
                        new Object[] {new String[0]},
                        new String[] {String[].class.getName()});
        Matcher lines = Pattern.compile("\\d+:\\s+(\\d+)\\s+\\d+\\s+" + Pattern.quote(className) + "\\s")
                .matcher(histogram);
        return lines.results().mapToLong(line -> Long.parseLong(line.group(1))).sum();
    }

    @Test
    void forwarderRetainsNeitherTheJsonTreeNorTheParsedList() throws Exception {
        try (Peer platform =
                Peer.platform("{\"index\":1,\"snapshot\":true,\"endpoints\":[]}", new LinkedBlockingQueue<>())) {
            Forwarder forwarder = Forwarder.start(Config.parse(text(platform.address()), Map.of()), null);
            try {
                long endpoints = instances("lilaclever.routing.Call$Endpoint");
                assertTrue(endpoints >= ENDPOINTS, "endpoints in use: " + endpoints);
                assertTrue(instances("com.google.gson.JsonObject") < ENDPOINTS / 10, "objects of the JSON tree");
                assertTrue(instances("com.google.gson.JsonPrimitive") < ENDPOINTS / 10, "values of the JSON tree");
                assertTrue(
                        instances("lilaclever.protocol.http.EndpointList$Endpoint") < ENDPOINTS / 10,
                        "the list as parsed");
            } finally {
                forwarder.stop();
            }
        }
    }

    @Test
    void invalidListIsReportedByItsKey() {
        ConfigurationException bad = assertThrows(
                ConfigurationException.class,
                () -> Config.parse(text("127.0.0.1:9").replace("\"status\":\"active\"", "\"x\":1"), Map.of()));
        assertTrue(bad.getMessage().startsWith("known: not a list of endpoints"), bad.getMessage());
    }

    /** After SIGHUP the known list is neither read nor used. */
    @Test
    void reloadedConfigurationHasNoKnownList() throws Exception {
        File file = Files.writeString(state.resolve("config.json"), text("127.0.0.1:9"))
                .toFile();
        Map<String, String> variables = Map.of("ROUTER_CONFIG", file.toString());
        Config first = Config.read(variables);
        assertEquals(ENDPOINTS, first.known().endpoints().size());
        Config again = Config.reread(variables, first);
        assertNull(again.known());
        assertNull(first.withoutKnown().withReloadableSettings(again).known());
    }
}
