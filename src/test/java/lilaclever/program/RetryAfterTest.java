package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
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
 * Retry-after periods: no byte of a call goes to an endpoint before the period is over, whatever else its answer
 * contains.
 */
class RetryAfterTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private Forwarder forwarder;
    private SocketAddress address;

    @AfterEach
    void stop() {
        if (forwarder != null) {
            forwarder.stop();
        }
    }

    private void serve(String platform, String endpoint) throws Exception {
        forwarder = Forwarder.start(ForwarderSetup.config(platform, state, endpoint), null);
        address = forwarder.addresses().get(0);
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

    /** An endpoint whose connection backlog is full until the connections in it are accepted. */
    private static final class EndpointWithFullBacklog implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> backlogFillers = List.of(new Socket(), new Socket());

        EndpointWithFullBacklog() throws IOException {
            server.setSoTimeout(20_000);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        Wire accept() throws IOException {
            return new Wire(server.accept());
        }

        void fillBacklog() throws IOException {
            for (Socket each : backlogFillers) {
                each.connect(server.getLocalSocketAddress());
            }
        }

        void emptyBacklog() throws IOException {
            for (Socket each : backlogFillers) {
                server.accept().close();
                each.close();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /**
     * Guards against writing a call during a retry-after period. After the call was decided, the answer to another call
     * announced the period, and only then the connection for the first call was established.
     */
    @Test
    void callWhoseConnectionIsEstablishedDuringRetryAfterIsNotWritten() throws Exception {
        try (Peer platform = Peer.platform("", notices);
                EndpointWithFullBacklog endpoint = new EndpointWithFullBacklog()) {
            serve(platform.address(), endpoint.address());
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("first", "payment", 20, "x").startsWith("202"));
                try (Wire first = endpoint.accept()) {
                    assertEquals("first", first.readRequest().headers().get("req-id"));
                    endpoint.fillBacklog();
                    assertTrue(client.submit("second", "payment", 20, "y").startsWith("202"));
                    awaitCounter(client, "\ncalls 2\n");
                    long sentAt = System.nanoTime();
                    first.writeText("HTTP/1.1 429 no\r\nX-Retry-In-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
                    endpoint.emptyBacklog();
                    try (Wire lateConnection = endpoint.accept()) {
                        if (lateConnection.readRequest() == null) { // closed without a byte of the call
                            try (Wire next = endpoint.accept()) {
                                next.readRequest();
                            }
                        }
                    }
                    assertTrue(
                            System.nanoTime() - sentAt >= 3000 * NANOS_PER_MILLI,
                            "nothing within the retry-after period");
                    assertTrue(readCounters(client).contains("\nending_withheld 1\n"), "counted");
                }
            }
        }
    }

    /**
     * A retry-after period counts in any answer and form, even if the rest of the answer is malformed; a value that is
     * not a plain positive number is ignored.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 429 no~X-Retry-In-Ms: 60000~Content-Length: 0~~ | 1",
                "HTTP/1.1 429 no~X-Retry-In-Ms: 60000.4999~Content-Length: 0~~ | 1",
                "HTTP/1.1 429 no~X-Retry-In-Ms: 60000~X-Retry-In-Ms: 0~Content-Length: 0~~ | 1",
                "HTTP/1.1 429 no~X-Retry-In-Ms: soon, 60000~Content-Length: 0~~ | 1",
                "HTTP/1.1 500 no~X-Retry-In-Ms: 60000~Content-Length: 0~~ | 1",
                "HTTP/1.1 503 no~X-Retry-In-Ms: 60000~X-No-Slot: 1~Content-Length: 0~~ | 1",
                "HTTP/1.1 504 no~X-Retry-In-Ms: 60000~Content-Length: 0~~ | 1",
                "HTTP/1.1 200 OK~X-Retry-In-Ms: 60000~Content-Length: 0~~ | 1",
                "HTTP/1.1 503 no~X-Retry-In-Ms: 60000~Content-Length: 9~~half | 1",
                "HTTP/1.1 503 no~X-Retry-In-Ms: 60000~Content-Length: many~~ | 1",
                "HTTP/1.1 503 no~X-Retry-In-Ms: 60000~what | 1",
                "HTTP/1.1 429 no~X-Retry-In-Ms: -60000~Content-Length: 0~~ | 0",
                "HTTP/1.1 429 no~X-Retry-In-Ms: 6e4~Content-Length: 0~~ | 0"
            })
    void retryAfterIsRespectedInAnyAnswer(String answer, int activeWaits) throws Exception {
        LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
        try (Peer platform = Peer.platform("", notices);
                Peer endpoint = new Peer(wire -> {
                    for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                        calls.add(r.headers().get("req-id"));
                        wire.writeText(answer.replace("~", "\r\n"));
                        if (answer.endsWith("half") || answer.endsWith("what")) {
                            return; // the rest is never sent
                        }
                    }
                })) {
            serve(platform.address(), endpoint.address());
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("a", "status", 6, "").startsWith("202"));
                assertEquals("a", Peer.take(calls));
                awaitCounter(client, "\nending_"); // its outcome is counted
                assertTrue(readCounters(client).contains("\nentries_waits " + activeWaits + "\n"));
                if (activeWaits > 0) {
                    assertTrue(
                            client.submit("b", "status", 6, "").startsWith("503"),
                            "the decision module knows the period too");
                    assertEquals(0, calls.size());
                }
            }
        }
    }

    /**
     * A message whose endpoint asks for a retry after the message's deadline ends at once, and its client is notified.
     */
    @Test
    void messageIsDeferredWhereRetryAfterExceedsItsDeadline() throws Exception {
        try (Peer platform = Peer.platform("", notices);
                Peer endpoint = new Peer(wire -> {
                    while (wire.readRequest() != null) {
                        wire.writeText("HTTP/1.1 429 no\r\nX-Retry-In-Ms: " + "9".repeat(400)
                                + "\r\nContent-Length: 0\r\n\r\n");
                    }
                })) {
            serve(platform.address(), endpoint.address());
            try (Wire client = Wire.connect(address)) {
                long began = System.nanoTime();
                assertTrue(client.submit("a", "payment", 25, "").startsWith("202"));
                assertTrue(Peer.take(notices).contains("deferred"));
                assertTrue(client.submit("b", "payment", 25, "").startsWith("503"), "rejected at once");
                assertTrue(System.nanoTime() - began < 10_000 * NANOS_PER_MILLI, "not kept pending until its deadline");
                assertTrue(readCounters(client).contains("\ncalls 1\n"));
            }
        }
    }

    /**
     * The rest of a call that is partly written, as its endpoint reads slowly, is not written during a retry-after
     * period.
     */
    @Test
    void partlyWrittenCallIsAbortedDuringRetryAfter() throws Exception {
        CountDownLatch listed = new CountDownLatch(1);
        try (ServerSocket endpoint = new ServerSocket()) {
            endpoint.setReceiveBufferSize(4096);
            endpoint.bind(null);
            endpoint.setSoTimeout(20_000);
            String endpointAddress = "127.0.0.1:" + endpoint.getLocalPort();
            try (Peer platform = Peer.platform(
                    () -> {
                        listed.await(20, TimeUnit.SECONDS); // to whichever request is open: earlier ones have timed out
                        return ForwarderSetup.endpointList(endpointAddress);
                    },
                    notices)) {
                forwarder = Forwarder.start(
                        Config.parse(
                                ForwarderSetup.configText(platform.address(), state, null, 40)
                                        .replace("\"kindBatch\": [20]", "\"kindBatch\": [100]"),
                                Map.of()),
                        null);
                address = forwarder.addresses().get(0);
                try (Wire client = Wire.connect(address)) {
                    String large = "x".repeat(60_000);
                    for (int i = 0; i < 100; i++) { // one call that exceeds all socket buffers
                        String answer = client.submit("m" + i, "payment", 20, large);
                        assertTrue(answer.startsWith("202"), answer);
                    }
                    listed.countDown();
                    try (Wire slow = new Wire(endpoint.accept())) {
                        assertTrue(client.submit("other", "payment", 20, "").startsWith("202"));
                        try (Wire other = new Wire(endpoint.accept())) {
                            assertEquals("other", other.readRequest().headers().get("req-id"));
                            awaitCounter(client, "\nentries_partly_written_calls 1\n");
                            long sentAt = System.nanoTime();
                            other.writeText("HTTP/1.1 429 no\r\nX-Retry-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
                            awaitCounter(client, "\nending_withheld 100\n");
                            assertThrows(IOException.class, slow::readRequest, "it ends before its last byte");
                            try (Wire next = new Wire(endpoint.accept())) {
                                next.readRequest();
                                assertTrue(
                                        System.nanoTime() - sentAt >= 1500 * NANOS_PER_MILLI,
                                        "nothing within the retry-after period");
                            }
                        }
                    }
                }
            }
        }
    }
}
