package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import lilaclever.conf.ConfigurationException;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import lilaclever.protocol.operator.OperatorPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' address: stories over loopback sockets. */
class OperatorPortTest {
    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private Forwarder forwarder;

    @AfterEach
    void end() {
        forwarder.stop();
    }

    private void serve(Peer platform, Peer endpoint) throws Exception {
        forwarder = Forwarder.start(
                Config.parse(
                        Setup.text(platform.address(), state, endpoint.address(), 3),
                        Map.of("ROUTER_OPERATOR", "127.0.0.1:0")),
                null);
    }

    private SocketAddress operators() {
        return forwarder.addresses().get(1);
    }

    private String ask(String line) throws Exception {
        try (Wire wire = Wire.to(operators())) {
            return wire.ask(line);
        }
    }

    private Peer endpoint() throws Exception {
        return new Peer(wire -> {
            for (Request r = wire.request(); r != null; r = wire.request()) {
                calls.add(r.headers().get("req-id"));
                wire.writeResponse("200 OK", "");
            }
        });
    }

    private Peer platform(Peer endpoint) throws Exception {
        return Peer.platform(Setup.list(endpoint.address()), notices);
    }

    private void handIn(String id, double deadline) throws Exception {
        try (Wire client = Wire.to(forwarder.addresses().get(0))) {
            assertTrue(client.handIn(id, "status", deadline, "x").startsWith("202"));
        }
    }

    /** Guards against sending to what an operator has taken out, in this life and in the next one, and for ever. */
    @Test
    void anEndpointOutByHandGetsNothingUntilItIsPutBackAlsoAfterARestart() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            assertTrue(ask("SUSPEND e1").startsWith("200"));
            assertTrue(ask("SUSPEND e1").startsWith("200"), "a second call out is harmless");
            handIn("out", 0.5);
            assertTrue(Peer.next(notices).contains("out"), "it ends with no call");
            forwarder.stop();
            serve(platform, endpoint);
            handIn("still", 0.5);
            assertTrue(Peer.next(notices).contains("still"));
            assertTrue(ask("RESTORE e1").startsWith("200"), "one call ends two");
            handIn("back", 6);
            assertEquals("back", Peer.next(calls), "and nothing went before");
            assertEquals(List.of(), Files.readAllLines(state.resolve("suspended")));
        }
    }

    /** Guards against a yes to what can't be done or is no call. */
    @Test
    void whatIsNoCallOrWasNeverListedIsRefusedWithItsName() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            assertEquals("200 ready", ask("STATUS"));
            assertEquals("400 e9: never listed", ask("SUSPEND e9"));
            assertEquals("400 e9: never listed", ask("RESTORE e9"));
            for (String bad : new String[] {"", "STATUS now", "SUSPEND", "suspend e1", "x".repeat(300)}) {
                assertTrue(ask(bad).startsWith("400 STATUS"), bad);
            }
        }
    }

    /** Guards against callers who finish no line and hold the place of those who do. */
    @Test
    void callersWhoSayNothingMakeRoom() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            List<Wire> silent = new ArrayList<>();
            for (int i = 0; i < 3 * OperatorPort.MOST; i++) {
                silent.add(Wire.to(operators()));
                silent.get(i).writeText("STAT");
            }
            assertEquals("200 ready", ask("STATUS"));
            assertEquals(null, silent.get(0).readLine(), "the oldest has gone");
            silent.forEach(Wire::close);
        }
    }

    /** Guards against a yes that the disk does not keep. */
    @Test
    void whatCanNotBeNotedStaysIn() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            Files.createDirectory(state.resolve("suspended.new"));
            assertEquals("400 e1: can't be noted on disk, so it stays in", ask("SUSPEND e1"));
            handIn("in", 6);
            assertEquals("in", Peer.next(calls));
        }
    }

    /** Guards against a start that forgets what was taken out, and an address that is none. */
    @Test
    void aNoteThatCanNotBeReadAndABadAddressAreNamed() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            String text = Setup.text(platform.address(), state, endpoint.address(), 3);
            ConfigurationException bad = assertThrows(
                    ConfigurationException.class, () -> Config.parse(text, Map.of("ROUTER_OPERATOR", "nowhere")));
            assertTrue(bad.getMessage().contains("operator"), bad.getMessage());
            Files.createDirectory(state.resolve("suspended"));
            Config config = Config.parse(text, Map.of());
            assertThrows(ConfigurationException.class, config::suspended);
        }
    }
}
