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

/** The operator port, tested over loopback sockets. */
class OperatorPortTest {
    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private Forwarder forwarder;

    @AfterEach
    void stop() {
        forwarder.stop();
    }

    private void serve(Peer platform, Peer endpoint) throws Exception {
        forwarder = Forwarder.start(
                Config.parse(
                        ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3),
                        Map.of("ROUTER_OPERATOR", "127.0.0.1:0")),
                null);
    }

    private SocketAddress operatorAddress() {
        return forwarder.addresses().get(1);
    }

    private String sendCommand(String line) throws Exception {
        try (Wire wire = Wire.connect(operatorAddress())) {
            return wire.sendCommand(line);
        }
    }

    private Peer endpoint() throws Exception {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r.headers().get("req-id"));
                wire.writeResponse("200 OK", "");
            }
        });
    }

    private Peer platform(Peer endpoint) throws Exception {
        return Peer.platform(ForwarderSetup.endpointList(endpoint.address()), notices);
    }

    private void submit(String id, double deadline) throws Exception {
        try (Wire client = Wire.connect(forwarder.addresses().get(0))) {
            assertTrue(client.submit(id, "status", deadline, "x").startsWith("202"));
        }
    }

    /**
     * Guards against calls to a suspended endpoint, also after a restart, and against a suspension that cannot be
     * ended.
     */
    @Test
    void suspendedEndpointGetsNoCallsUntilRestoredAlsoAfterARestart() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            assertTrue(sendCommand("SUSPEND e1").startsWith("200"));
            assertTrue(sendCommand("SUSPEND e1").startsWith("200"), "a repeated suspension is harmless");
            submit("out", 0.5);
            assertTrue(Peer.take(notices).contains("out"), "it ends without a call");
            forwarder.stop();
            serve(platform, endpoint);
            submit("still", 0.5);
            assertTrue(Peer.take(notices).contains("still"));
            assertTrue(sendCommand("RESTORE e1").startsWith("200"), "one restore command ends both suspensions");
            submit("back", 6);
            assertEquals("back", Peer.take(calls), "and no call was made before");
            assertEquals(List.of(), Files.readAllLines(state.resolve("suspended")));
        }
    }

    /** Guards against confirming an invalid command or one for an unknown endpoint. */
    @Test
    void invalidCommandsAndUnknownEndpointsAreRejected() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            assertEquals("200 ready", sendCommand("STATUS"));
            assertEquals("400 e9: never listed", sendCommand("SUSPEND e9"));
            assertEquals("400 e9: never listed", sendCommand("RESTORE e9"));
            for (String bad : new String[] {"", "STATUS now", "SUSPEND", "suspend e1", "x".repeat(300)}) {
                assertTrue(sendCommand(bad).startsWith("400 STATUS"), bad);
            }
        }
    }

    /** Guards against a timer that stays for each connection that has closed. */
    @Test
    void closedOperatorConnectionsLeaveNoTimers() throws Exception {
        int connections = 60;
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            for (int i = 0; i < connections; i++) {
                assertEquals("200 ready", sendCommand("STATUS"));
            }
            try (Wire client = Wire.connect(forwarder.addresses().get(0))) {
                client.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                int timers = Integer.parseInt(
                        client.readRequest().body().replaceAll("(?s).*entries_deadlines (\\d+).*", "$1"));
                assertTrue(timers < connections, "timers: " + timers);
            }
        }
    }

    /** Guards against connections that never finish a line and exhaust the limit of connections. */
    @Test
    void idleOperatorConnectionsAreClosedForNewOnes() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            List<Wire> idleConnections = new ArrayList<>();
            for (int i = 0; i < 3 * OperatorPort.MAX_CONNECTIONS; i++) {
                idleConnections.add(Wire.connect(operatorAddress()));
                idleConnections.get(i).writeText("STAT");
            }
            assertEquals("200 ready", sendCommand("STATUS"));
            assertEquals(null, idleConnections.get(0).readLine(), "the oldest connection is closed");
            idleConnections.forEach(Wire::close);
        }
    }

    /** Guards against confirming a suspension that is not stored on disk. */
    @Test
    void endpointStaysInServiceWhereSuspensionCannotBeStored() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            Files.createDirectory(state.resolve("suspended.new"));
            assertEquals("400 e1: can't be noted on disk, so it stays in", sendCommand("SUSPEND e1"));
            submit("in", 6);
            assertEquals("in", Peer.take(calls));
        }
    }

    /** Guards against a start that ignores an unreadable suspension file or an invalid address. */
    @Test
    void unreadableSuspensionFileAndInvalidAddressAreReported() throws Exception {
        try (Peer endpoint = endpoint();
                Peer platform = platform(endpoint)) {
            serve(platform, endpoint);
            String text = ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3);
            ConfigurationException bad = assertThrows(
                    ConfigurationException.class, () -> Config.parse(text, Map.of("ROUTER_OPERATOR", "nowhere")));
            assertTrue(bad.getMessage().contains("operator"), bad.getMessage());
            Files.createDirectory(state.resolve("suspended"));
            Config config = Config.parse(text, Map.of());
            assertThrows(ConfigurationException.class, config::readSuspended);
        }
    }
}
