package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One forwarder with as many endpoints as the largest fleets have. */
class ManyEndpointsTest {
    private static final int ENDPOINTS = 1_030, MAX_SUSPENDED = 1_024;

    @TempDir
    private Path state;

    /** Each endpoint has its own loopback address, and all share a port. */
    private static String entries(int from, int to, int port) {
        return IntStream.range(from, to)
                .mapToObj(i -> "{\"name\":\"server-" + i + "\",\"address\":\"127.1." + i / 200 + '.'
                        + (1 + i % 200) + ':' + port + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":" + i
                        + ",\"status\":\"active\"}")
                .collect(Collectors.joining(","));
    }

    /**
     * The list arrives in parts that repeat some names; each endpoint gets a message, and all but a few endpoints are
     * suspended by operator command.
     */
    @Test
    void aThousandEndpointsGetMessagesAndCanBeSuspended() throws Exception {
        Set<String> calledIds = ConcurrentHashMap.newKeySet();
        LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket()) {
            server.bind(new InetSocketAddress("0.0.0.0", 0), 512);
            Thread acceptThread = new Thread(() -> {
                try {
                    while (true) {
                        Wire wire = new Wire(server.accept());
                        Thread serveThread = new Thread(() -> serve(wire, calls));
                        serveThread.setDaemon(true);
                        serveThread.start();
                    }
                } catch (java.io.IOException e) {
                    // the server socket is closed at the end of the test
                }
            });
            acceptThread.setDaemon(true);
            acceptThread.start();
            int port = server.getLocalPort();
            try (Peer platform = new Peer(wire -> {
                for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                    if (r.path().equals("/status")) {
                        wire.writeResponse("204 No Content", "");
                    } else if (!r.path().contains("?")) {
                        wire.writeResponse(
                                "200 OK",
                                "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries(0, 600, port) + "]}");
                    } else if (r.path().contains("after=1&")) {
                        wire.writeResponse(
                                "200 OK",
                                "{\"index\":2,\"snapshot\":false,\"endpoints\":[" + entries(500, ENDPOINTS, port) + ','
                                        + entries(0, 20, port) + "]}");
                    } // a later watch is never answered, as nothing changes
                }
            })) {
                Config config = Config.parse(
                        ForwarderSetup.configText(platform.address(), state, null, 3)
                                .replace("\"listen\"", "\"operator\": \"127.0.0.1:0\", \"listen\""),
                        Map.of());
                Forwarder forwarder = Forwarder.start(config, null);
                try {
                    SocketAddress address = forwarder.addresses().get(0);
                    try (Wire client = Wire.connect(address)) {
                        awaitCounter(client, "\nentries_endpoints " + ENDPOINTS + "\n");
                        for (int i = 0; i < ENDPOINTS; i++) {
                            String answer = client.submit("m" + i, "status", i, 6, "");
                            assertTrue(answer.startsWith("202"), answer);
                            calledIds.add(Peer.take(calls));
                        }
                        assertEquals(ENDPOINTS, calledIds.size());
                    }
                    for (int i = 0; i < MAX_SUSPENDED; i++) {
                        assertEquals("200 server-" + i, operatorCommand(forwarder, "SUSPEND server-" + i));
                    }
                    assertEquals(
                            "400 no more than 1024 endpoints may be out at once",
                            operatorCommand(forwarder, "SUSPEND server-1024"));
                } finally {
                    forwarder.stop();
                }
                assertEquals(MAX_SUSPENDED, config.readSuspended().size());
            }
        }
    }

    private static void serve(Wire wire, LinkedBlockingQueue<String> calls) {
        try (wire) {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r.headers().get("req-id"));
                wire.writeResponse("200 OK", "");
            }
        } catch (java.io.IOException e) {
            // the forwarder has closed the connection
        }
    }

    private static String operatorCommand(Forwarder forwarder, String line) throws Exception {
        try (Wire wire = Wire.connect(forwarder.addresses().get(1))) {
            return wire.sendCommand(line);
        }
    }

    private static void awaitCounter(Wire client, String counterLine) throws Exception {
        String last = "";
        for (long end = System.nanoTime() + 20_000_000_000L; !last.contains(counterLine) && System.nanoTime() < end; ) {
            client.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\n\r\n");
            last = client.readRequest().body();
        }
        assertTrue(last.contains(counterLine), last);
    }
}
