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

/** New settings while the program runs: classes come, go and change, attempts drop, and broken files change nothing. */
class RenewTest {
    private static final String PAYMENT =
            "{\"name\": \"payment\", \"aimS\": 1, \"deadlineS\": 28, \"credit\": 3, \"repeat\": \"non_idempotent\"}";
    private static final String RUSH =
            "{\"name\": \"rush\", \"aimS\": 0.1, \"deadlineS\": 28, \"repeat\": \"read_like\"}";

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> asked = new LinkedBlockingQueue<>();
    private final AtomicInteger status = new AtomicInteger(200);
    private Map<String, String> variables;
    private Peer platform, endpoint;
    private Forwarder forwarder;
    private SocketAddress address;

    @BeforeEach
    void peers() throws IOException {
        platform = Peer.platform("", notices);
        endpoint = new Peer(wire -> {
            for (Request r = wire.request(); r != null; r = wire.request()) {
                asked.add(r.headers().get("req-id"));
                wire.writeResponse(status.get() + " as told", "");
            }
        });
        variables = Map.of("ROUTER_CONFIG", state.resolve("config.json").toString());
    }

    @AfterEach
    void end() throws IOException {
        if (forwarder != null) {
            forwarder.stop();
        }
        platform.close();
        endpoint.close();
    }

    private String text() {
        return Setup.text(platform.address(), state, endpoint.address(), 3);
    }

    private void write(String text) throws IOException {
        Files.writeString(state.resolve("config.json"), text);
    }

    private void serve(String text) throws Exception {
        write(text);
        forwarder = Forwarder.start(Config.read(variables), null);
        address = forwarder.addresses().get(0);
    }

    /** Serves with the usual classes, and has one message tried once; the endpoint answers so. */
    private void serveAndTry(int answer, String id, String kind) throws Exception {
        status.set(answer);
        serve(text());
        assertEquals("202", handIn(address, id, kind));
        assertEquals(id, Peer.next(asked));
    }

    private void renew(String text) throws IOException {
        write(text);
        forwarder.reload(variables);
    }

    private static String handIn(SocketAddress to, String id, String kind) throws IOException {
        try (Wire client = Wire.to(to)) {
            return client.handIn(id, kind, 20, "").substring(0, 3);
        }
    }

    @Test
    void classesComeAndGoAtOnce() throws Exception {
        serve(text());
        assertEquals("400", handIn(address, "a", "rush"));
        renew(text().replace(PAYMENT, RUSH));
        assertEquals("202", handIn(address, "b", "rush"));
        assertEquals("b", Peer.next(asked));
        assertEquals("400", handIn(address, "c", "payment"));
        renew(text());
        assertEquals("202", handIn(address, "d", "payment"));
        assertEquals("400", handIn(address, "e", "rush"));
    }

    /**
     * A class that changes is another one for what comes later: what may not be repeated any more still may if it was
     * so.
     */
    @Test
    void aMessageUnderWayKeepsItsClass() throws Exception {
        serveAndTry(500, "old", "status");
        renew(text().replace("\"repeat\": \"read_like\"", "\"repeat\": \"non_idempotent\""));
        assertEquals("old", Peer.next(asked), "it is tried again");
        status.set(200);
        assertEquals("old", Peer.next(asked));
        status.set(500);
        assertEquals("202", handIn(address, "new", "status"));
        assertEquals("new", Peer.next(asked));
        assertEquals("{\"id\":\"new\",\"status\":\"undeliverable\"}", Peer.next(notices), "it may have run");
    }

    /** What has had as many attempts as are allowed now ends at once, and its client is told so. */
    @Test
    void fewerAttemptsEndWhatHasHadThem() throws Exception {
        serveAndTry(503, "a", "payment");
        assertEquals("a", Peer.next(asked));
        renew(text().replace("\"maxAttempts\": 8", "\"maxAttempts\": 1"));
        assertTrue(Peer.next(notices).contains("\"deferred\""));
    }

    /** Numbers of classes in the journal mean the same after a restart, whatever the file says by then. */
    @Test
    void aMessageOfAClassThatIsGoneOutlastsARestart() throws Exception {
        try (Socket nobody = new Socket()) {
            nobody.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String away = Setup.text(platform.address(), state, "127.0.0.1:" + nobody.getLocalPort(), 3);
            serve(away);
            renew(away.replace(PAYMENT, RUSH));
            assertEquals("202", handIn(address, "held", "rush"));
            renew(away.replace("\"name\": \"status\"", "\"name\": \"other\""));
            forwarder.stop();
        }
        serve(text().replace(PAYMENT, RUSH.replace("rush", "last").replace("read_like", "non_idempotent")));
        assertEquals("held", Peer.next(asked));
        status.set(500);
        assertEquals("202", handIn(address, "once", "last"));
        assertEquals("once", Peer.next(asked));
        assertTrue(Peer.next(notices).contains("\"once\",\"status\":\"undeliverable\""));
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
    void aBrokenFileChangesNothing(String part, String instead, String named) throws Exception {
        serve(text());
        assertTrue(text().contains(part));
        String bad = text().replace(PAYMENT, RUSH).replace(part, instead == null ? "" : instead);
        write(bad);
        Config used = Config.parse(text(), Map.of());
        assertTrue(assertThrows(ConfigurationException.class, () -> Config.reread(variables, used))
                .getMessage()
                .contains(named));
        for (String broken : new String[] {bad, "", text().substring(0, 700)}) {
            renew(broken);
            assertEquals("400", handIn(address, "a", "rush"));
            assertEquals("202", handIn(address, "b" + broken.length(), "payment"));
        }
    }

    @Test
    void moreClassesThanFitAreRefused() throws Exception {
        Config config = Config.parse(text(), Map.of());
        ClassTable table = config.table();
        for (int i = 0; i < 62; i++) {
            table = table.followedBy(
                            table.names().subList(0, 0), table.classes().subList(0, 0))
                    .followedBy(
                            config.classNames().subList(0, 2),
                            config.settings().classes().subList(0, 2));
        }
        ClassTable full = table;
        assertEquals(127, full.names().size());
        assertTrue(assertThrows(
                        ConfigurationException.class,
                        () -> full.followedBy(
                                config.classNames(),
                                config.settings().classes().stream()
                                        .map(c -> config.settings().classes().get(0))
                                        .toList()))
                .getMessage()
                .contains("128"));
    }
}
