package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Calls decided before the endpoint list changed whose connection is established afterwards: no byte of them is
 * written.
 */
class WithheldCallsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int DESTINATION = 7;
    /**
     * The system retries a connection attempt after 1 s, so an endpoint without a connection within this time got none.
     */
    private static final int CONNECT_WAIT_MILLIS = 3_000;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> changes = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private Forwarder forwarder;
    private SocketAddress address;

    @AfterEach
    void stop() {
        if (forwarder != null) {
            forwarder.stop();
        }
    }

    private void serve(String discovery, String endpoint) throws Exception {
        String text = ForwarderSetup.configText(discovery, state, endpoint, 3)
                .replace("\"connectTimeoutS\": 1.5", "\"connectTimeoutS\": 15")
                .replace("\"ownLimits\": [false]", "\"ownLimits\": [true]");
        forwarder = Forwarder.start(Config.parse(text, Map.of()), null);
        address = forwarder.addresses().get(0);
    }

    /** A discovery agent that answers watches with each change as it is added, and with no change after a while. */
    private Peer discovery() throws IOException {
        return new Peer(wire -> {
            long index = 1;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path().equals("/status")) {
                    r.body().lines().forEach(notices::add);
                    wire.writeResponse("204 No Content", "");
                    continue;
                }
                if (!r.path().contains("?")) {
                    wire.writeResponse("200 OK", ForwarderSetup.knownList());
                    continue;
                }
                String entries = changes.poll(1_500, TimeUnit.MILLISECONDS);
                index += entries == null ? 0 : 1;
                wire.writeResponse("200 OK", list(index, entries == null ? "" : entries));
            }
        });
    }

    private static String list(long index, String entries) {
        return "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entries + "]}";
    }

    private static String entry(String name, String endpointAddress, int destination, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + endpointAddress
                + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":" + destination + ",\"status\":\"" + status + "\"}";
    }

    private Peer endpoint() throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r.headers().get("req-id"));
                wire.writeResponse("200 OK", "");
            }
        });
    }

    private static String readCounters(Wire client) throws IOException {
        client.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        return client.readRequest().body();
    }

    private static void awaitCounter(Wire client, String counterLine) throws IOException {
        String last = readCounters(client);
        for (long end = System.nanoTime() + 10_000 * NANOS_PER_MILLI;
                !last.contains(counterLine) && System.nanoTime() < end; ) {
            last = readCounters(client);
        }
        assertTrue(last.contains(counterLine), last);
    }

    /** An endpoint whose connections are established only once its backlog has space. */
    private static final class EndpointWithFullBacklog implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> backlogFillers = List.of(new Socket(), new Socket());

        EndpointWithFullBacklog() throws IOException {
            for (Socket each : backlogFillers) {
                each.connect(server.getLocalSocketAddress());
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Accepts connections and returns the first request read, or null where none arrives. */
        String firstRequest() throws IOException {
            for (Socket each : backlogFillers) {
                server.accept().close();
                each.close();
            }
            server.setSoTimeout(CONNECT_WAIT_MILLIS);
            try (Wire connection = new Wire(server.accept())) {
                Request request = connection.readRequest();
                return request == null ? null : request.headers().get("req-id");
            } catch (SocketTimeoutException none) {
                return null;
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /**
     * The endpoint leaves while the call's connection is being established: the call is not written there, and the
     * message goes to another endpoint at once, without counting the attempt.
     */
    @ParameterizedTest
    @CsvSource({"leaving, 7", "left, 7", "active, 8"})
    void callWhoseConnectionIsEstablishedAfterADrainIsNotWritten(String status, int destination) throws Exception {
        try (Peer discovery = discovery();
                Peer other = endpoint();
                EndpointWithFullBacklog draining = new EndpointWithFullBacklog()) {
            serve(discovery.address(), draining.address());
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("a", "payment", 20, "").startsWith("202"));
                awaitCounter(client, "\ncalls 1\n");
                long publishedAt = System.nanoTime();
                changes.add(entry("e1", draining.address(), destination, status)
                        + ','
                        + entry("e2", other.address(), DESTINATION, "active"));
                assertEquals("a", Peer.take(calls));
                assertTrue(System.nanoTime() - publishedAt < 500 * NANOS_PER_MILLI, "at once");
                assertNull(draining.firstRequest(), "no call to the endpoint that has left");
                assertTrue(readCounters(client).contains("\nending_withheld 1\n"), "not counted as an attempt");
            }
        }
    }

    /** The connection is established as soon as the list is received: the call is not written. */
    @Test
    void connectionEstablishedRightAfterADrainCarriesNoCall() throws Exception {
        try (Peer discovery = discovery();
                EndpointWithFullBacklog draining = new EndpointWithFullBacklog()) {
            serve(discovery.address(), draining.address());
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("a", "payment", 20, "").startsWith("202"));
                awaitCounter(client, "\ncalls 1\n");
                changes.add(entry("e1", draining.address(), DESTINATION, "leaving"));
                awaitCounter(client, "\nentries_departed 1\n");
                assertNull(draining.firstRequest());
            }
        }
    }

    /**
     * The endpoint's address changes while the call's connection is being established: the old address gets nothing.
     */
    @Test
    void callToAChangedAddressGoesToTheNewAddress() throws Exception {
        try (Peer discovery = discovery();
                Peer moved = endpoint();
                EndpointWithFullBacklog old = new EndpointWithFullBacklog()) {
            serve(discovery.address(), old.address());
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("a", "payment", 20, "").startsWith("202"));
                awaitCounter(client, "\ncalls 1\n");
                changes.add(entry("e1", moved.address(), DESTINATION, "active"));
                assertEquals("a", Peer.take(calls));
                assertNull(old.firstRequest());
            }
        }
    }

    /** An endpoint moved to another destination gets no message of the destination that it served before. */
    @Test
    void endpointMovedToAnotherDestinationGetsNoMessagesOfTheOldOne() throws Exception {
        LinkedBlockingQueue<String> callsOfOther = new LinkedBlockingQueue<>();
        try (Peer discovery = discovery();
                Peer first = endpoint();
                Peer second = new Peer(wire -> {
                    for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                        callsOfOther.add(r.headers().get("req-id"));
                        wire.writeResponse("200 OK", "");
                    }
                })) {
            serve(discovery.address(), first.address());
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("before", "payment", 20, "").startsWith("202"));
                assertEquals("before", Peer.take(calls));
                changes.add(entry("e1", second.address(), 8, "active")
                        + ','
                        + entry("e2", first.address(), DESTINATION, "active"));
                awaitCounter(client, "\nentries_listed 2\n");
                for (int i = 0; i < 20; i++) {
                    assertTrue(client.submit("seven" + i, "payment", 7, 20, "").startsWith("202"));
                    assertTrue(client.submit("eight" + i, "payment", 8, 20, "").startsWith("202"));
                }
                for (int i = 0; i < 20; i++) {
                    assertTrue(Peer.take(calls).startsWith("seven"));
                    assertTrue(Peer.take(callsOfOther).startsWith("eight"));
                }
            }
        }
    }
}
