package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import lilaclever.conf.ConfigurationException;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Reloads of the settings: classes are added, removed and changed, the attempt limit is lowered, and invalid files
 * change nothing.
 */
class SettingsReloadTest {
    private static final String PAYMENT =
            "{\"name\": \"payment\", \"aimS\": 1, \"deadlineS\": 28, \"credit\": 3, \"repeat\": \"non_idempotent\"}";
    private static final String RUSH =
            "{\"name\": \"rush\", \"aimS\": 0.1, \"deadlineS\": 28, \"repeat\": \"read_like\"}";

    private static final int HELD = 0;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    /** The status of the next answers; {@link #HELD}: each call waits for one of {@link #heldAnswers}. */
    private final AtomicInteger status = new AtomicInteger(200);

    private final LinkedBlockingQueue<Integer> heldAnswers = new LinkedBlockingQueue<>();
    private Map<String, String> variables;
    private Peer platform, endpoint;
    private Forwarder forwarder;
    private SocketAddress address;

    @BeforeEach
    void startPeers() throws IOException {
        platform = Peer.platform("", notices);
        endpoint = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r.headers().get("req-id"));
                int answer = status.get() == HELD ? heldAnswers.take() : status.get();
                wire.writeResponse(answer + " as told", "");
            }
        });
        variables = Map.of("ROUTER_CONFIG", state.resolve("config.json").toString());
    }

    @AfterEach
    void stop() throws IOException {
        if (forwarder != null) {
            forwarder.stop();
        }
        platform.close();
        endpoint.close();
    }

    private String configText() {
        return ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3);
    }

    private void write(String text) throws IOException {
        Files.writeString(state.resolve("config.json"), text);
    }

    private void serve(String text) throws Exception {
        write(text);
        forwarder = Forwarder.start(Config.read(variables), null);
        address = forwarder.addresses().get(0);
    }

    /**
     * Serves with the default test classes and has one message attempted once; the endpoint answers with the given
     * status.
     */
    private void serveAndAttempt(int answer, String id, String messageClass) throws Exception {
        status.set(answer);
        serve(configText());
        assertEquals("202", submit(address, id, messageClass));
        assertEquals(id, Peer.take(calls));
    }

    private void reload(String text) throws IOException {
        write(text);
        forwarder.reload(variables);
    }

    private static String submit(SocketAddress to, String id, String messageClass) throws IOException {
        try (Wire client = Wire.connect(to)) {
            return client.submit(id, messageClass, 20, "").substring(0, 3);
        }
    }

    @Test
    void classesAreAddedAndRemovedAtOnce() throws Exception {
        serve(configText());
        assertEquals("400", submit(address, "a", "rush"));
        reload(configText().replace(PAYMENT, RUSH));
        assertEquals("202", submit(address, "b", "rush"));
        assertEquals("b", Peer.take(calls));
        assertEquals("400", submit(address, "c", "payment"));
        reload(configText());
        assertEquals("202", submit(address, "d", "payment"));
        assertEquals("400", submit(address, "e", "rush"));
    }

    /**
     * A changed class applies to later messages only: a pending message may still be repeated if its class allowed it.
     */
    @Test
    void pendingMessageKeepsTheOldClassSettings() throws Exception {
        serveAndAttempt(HELD, "old", "status");
        reload(configText().replace("\"repeat\": \"read_like\"", "\"repeat\": \"non_idempotent\""));
        heldAnswers.add(500);
        assertEquals("old", Peer.take(calls), "it is retried");
        heldAnswers.add(500);
        assertEquals("old", Peer.take(calls), "it is retried");
        heldAnswers.add(200);
        assertEquals("202", submit(address, "new", "status"));
        assertEquals("new", Peer.take(calls));
        heldAnswers.add(500);
        assertEquals("{\"id\":\"new\",\"status\":\"undeliverable\"}", Peer.take(notices), "it may have run");
    }

    /** A message that has had as many attempts as the new limit allows ends at once, and its client is notified. */
    @Test
    void loweredAttemptLimitEndsMessagesThatReachedIt() throws Exception {
        serveAndAttempt(503, "a", "payment");
        assertEquals("a", Peer.take(calls));
        reload(configText().replace("\"maxAttempts\": 8", "\"maxAttempts\": 1"));
        assertTrue(Peer.take(notices).contains("\"deferred\""));
    }

    /**
     * The numbers of classes in the journal keep their meaning across a restart, whatever the file contains by then.
     */
    @Test
    void messageOfARemovedClassSurvivesARestart() throws Exception {
        try (Socket notListening = new Socket()) {
            notListening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String unreachableConfig =
                    ForwarderSetup.configText(platform.address(), state, "127.0.0.1:" + notListening.getLocalPort(), 3);
            serve(unreachableConfig);
            reload(unreachableConfig.replace(PAYMENT, RUSH));
            assertEquals("202", submit(address, "held", "rush"));
            reload(unreachableConfig.replace("\"name\": \"status\"", "\"name\": \"other\""));
            forwarder.stop();
        }
        serve(configText().replace(PAYMENT, RUSH.replace("rush", "last").replace("read_like", "non_idempotent")));
        assertEquals("held", Peer.take(calls));
        status.set(500);
        assertEquals("202", submit(address, "once", "last"));
        assertEquals("once", Peer.take(calls));
        assertTrue(Peer.take(notices).contains("\"once\",\"status\":\"undeliverable\""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"maxAttempts\": 8, | | settings.limits.maxAttempts: missing",
                "\"maxAttempts\": 8 | \"maxAttempts\": 0 | limits.maxAttempts",
                "\"deadlineS\": 20 | \"deadlineS\": 0 | deadline",
                "\"deadlineS\": 20, | | settings.requestClasses.deadlineS: missing",
                "\"name\": \"order\", | | requestClasses.name",
                "\"rules\": { | \"rules\": | no JSON"
            })
    void invalidFileChangesNothing(String part, String replacement, String expectedMessage) throws Exception {
        serve(configText());
        assertTrue(configText().contains(part));
        String bad = configText().replace(PAYMENT, RUSH).replace(part, replacement == null ? "" : replacement);
        write(bad);
        Config used = Config.parse(configText(), Map.of());
        assertTrue(assertThrows(ConfigurationException.class, () -> Config.reread(variables, used))
                .getMessage()
                .contains(expectedMessage));
        for (String broken : new String[] {bad, "", configText().substring(0, 700)}) {
            reload(broken);
            assertEquals("400", submit(address, "a", "rush"));
            assertEquals("202", submit(address, "b" + broken.length(), "payment"));
        }
    }

    /** Guards against a forwarder that takes reloads no longer after some time: equal classes need no new number. */
    @Test
    void alternatingReloadsAreNeverRefused() throws Exception {
        serve(configText());
        for (int i = 0; i < 70; i++) {
            reload(configText().replace(PAYMENT, RUSH));
            reload(configText());
        }
        assertEquals("202", submit(address, "a", "payment"));
        reload(configText().replace(PAYMENT, RUSH));
        assertEquals("202", submit(address, "b", "rush"));
    }
}
