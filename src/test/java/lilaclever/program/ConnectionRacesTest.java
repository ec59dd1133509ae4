package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Races with a close, an unresponsive peer or a restart: data that arrives at that moment, and answers that arrive just
 * after it.
 */
class ConnectionRacesTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private Forwarder forwarder;
    private Process process;
    private SocketAddress address;

    @AfterEach
    void stop() {
        if (forwarder != null) {
            forwarder.stop();
        }
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void serve(String text) throws Exception {
        forwarder = Forwarder.start(Config.parse(text, Map.of()), null);
        address = forwarder.addresses().get(0);
    }

    private void startProcess(String text, int descriptors) throws IOException {
        process = ForwarderSetup.startProcess(state, text, descriptors);
        var log = process.errorReader();
        String line = log.readLine();
        while (!line.contains("serves at")) {
            line = log.readLine();
        }
        address = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.replaceAll(".*:(\\d+)]", "$1")));
    }

    private Peer endpoint() throws IOException {
        return new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r.headers().get("req-id"));
                wire.writeResponse("200 OK", "");
            }
        });
    }

    private static long take(LinkedBlockingQueue<Long> times) throws InterruptedException {
        Long time = times.poll(20, TimeUnit.SECONDS);
        assertNotNull(time, "nothing received in time");
        return time;
    }

    private static String request(String id) {
        return "POST /api HTTP/1.1\r\nReq-Id: " + id
                + "\r\nReq-Kind: payment\r\nReq-Deadline: 20\r\nX-Envelope: dest=7\r\n" + "Content-Length: 2\r\n\r\nok";
    }

    // Closing
    /**
     * A connection closed while more data arrives is not reset, as a reset could destroy an answer in flight, and data
     * after the shutdown is not read as a request. Covers each way to close: after a last answer, after a rejection,
     * and after a timeout.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST /api HTTP/1.1~Req-Id: a~Req-Kind: payment~Req-Deadline: 5~X-Envelope: dest=7~Connection: "
                        + "close~Content-Length: 0~~ | 202",
                "POST /api HTTP/1.1~Content-Length: 60000000~~abc | 413",
                "nonsense~~ | 400",
                "POST /api HTTP/1.1~Content-Length: 5~~ab | 408",
                "-|-"
            })
    void dataReceivedDuringACloseIsDroppedWithoutAReset(String sent, String status) throws Exception {
        try (Peer platform = Peer.platform("", notices);
                Peer endpoint = endpoint()) {
            serve(ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3));
            // Once this message is delivered the known list is in use, and calls are made at once.
            try (Wire first = Wire.connect(address)) {
                assertTrue(first.submit("first", "payment", 20, "").startsWith("202"));
                assertEquals("first", Peer.take(calls));
            }
            try (Wire client = Wire.connect(address)) {
                if (!sent.equals("-")) {
                    client.writeText(sent.replace("~", "\r\n"));
                    assertEquals(status, client.readRequest().path());
                }
                assertNull(client.readRequest(), "closed by the forwarder");
                client.writeText(request("late"));
                client.writeText(request("later")); // fails if the first one was answered by a reset
                assertNull(client.readRequest());
            }
            try (Wire other = Wire.connect(address)) {
                assertTrue(other.submit("z", "payment", 20, "").startsWith("202"));
                while (!Peer.take(calls).equals("z")) {
                    assertEquals("202", status, "only a message accepted before the close is forwarded");
                }
                assertEquals(0, calls.size());
                awaitCounter(other, "\nentries_clients 1\n"); // no connection remains once the client has closed
            }
        }
    }

    /** A client that never closes its side is not waited for indefinitely. */
    @Test
    void connectionIsReleasedWhereTheClientDoesNotClose() throws Exception {
        try (Peer platform = Peer.platform("", notices)) {
            serve(ForwarderSetup.configText(platform.address(), state, null, 3));
            try (Wire neverClosing = Wire.connect(address);
                    Wire client = Wire.connect(address)) {
                neverClosing.writeText("nonsense\r\n\r\n");
                assertEquals("400", neverClosing.readRequest().path());
                assertNull(neverClosing.readRequest());
                awaitCounter(client, "\nentries_clients 1\n");
            }
        }
    }

    private static void awaitCounter(Wire client, String counterLine) throws IOException {
        String last = "";
        for (long end = System.nanoTime() + 10_000 * NANOS_PER_MILLI;
                !last.contains(counterLine) && System.nanoTime() < end; ) {
            client.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\n\r\n");
            last = client.readRequest().body();
        }
        assertTrue(last.contains(counterLine), last);
    }

    /**
     * Idle clients use up the limit of client connections while discovery is down: once it is back, its list is
     * received and calls are made.
     */
    @Test
    void idleClientsLeaveDescriptorsForDiscoveryAndCalls() throws Exception {
        LinkedBlockingQueue<String> lists = new LinkedBlockingQueue<>();
        List<Wire> idleClients = new ArrayList<>();
        try (Peer endpoint = endpoint();
                Peer platform = Peer.platform(() -> Peer.take(lists), notices)) {
            startProcess(
                    ForwarderSetup.configText(platform.address(), state, null, 3)
                            .replace("\"limits\": {\"disk", "\"limits\": {\"sockets\": 100, \"disk"),
                    100);
            for (int i = 0; i < 150; i++) {
                Wire wire = Wire.connect(address);
                idleClients.add(wire);
                wire.writeText("GET /health/ready HTTP/1.1\r\n\r\n");
                assertEquals("200", wire.readRequest().path(), "after " + i);
            }
            for (int i = 0; i < 150; i++) {
                idleClients.add(Wire.connect(address)); // and others that send nothing
            }
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("m", "payment", 20, "").startsWith("202"));
            }
            String delivered = null;
            for (int i = 0; delivered == null; i++) {
                assertTrue(i < 200, "no list was received");
                lists.add(ForwarderSetup.endpointList(endpoint.address())); // for the pending request or the next one
                delivered = calls.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("m", delivered);
        } finally {
            idleClients.forEach(Wire::close);
        }
    }

    // Discovery and notices
    /** A change missed by an unresponsive watch is received within the 6 s after which it counts as notified. */
    @Test
    void unresponsiveWatchIsReopenedInTime() throws Exception {
        LinkedBlockingQueue<Long> silentSince = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<Long> polledAt = new LinkedBlockingQueue<>();
        try (Peer second = endpoint();
                Peer platform = new Peer(wire -> {
                    for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                        if (r.path().contains("?")) { // a watch that is never answered
                            silentSince.add(System.nanoTime());
                            wire.readWithoutAnswering();
                        } else if (silentSince.isEmpty()) {
                            wire.writeResponse("200 OK", ForwarderSetup.knownList());
                        } else {
                            polledAt.add(System.nanoTime());
                            wire.writeResponse(
                                    "200 OK",
                                    ForwarderSetup.endpointList(second.address())
                                            .replace("e1", "e2")
                                            .replace("\"index\":1", "\"index\":2"));
                        }
                    }
                })) {
            serve(ForwarderSetup.configText(platform.address(), state, "127.0.0.1:9", 3));
            assertTrue(
                    -take(silentSince) + take(polledAt) < 5_000 * NANOS_PER_MILLI,
                    "a second before the change counts as notified");
            try (Wire client = Wire.connect(address)) {
                awaitCounter(client, "\nentries_listed 2\n"); // the known one, and the one that the watch missed
                assertTrue(client.submit("a", "payment", 20, "").startsWith("202"));
                assertEquals("a", Peer.take(calls));
            }
        }
    }

    /**
     * Discovery that does not answer is polled repeatedly, as a change that it has when it recovers counts as
     * notified at once.
     */
    @Test
    void unresponsiveDiscoveryIsPolledWithinTheDrainGrace() throws Exception {
        LinkedBlockingQueue<Long> requestTimes = new LinkedBlockingQueue<>();
        try (Peer platform = new Peer(wire -> {
            while (wire.readRequest() != null) {
                requestTimes.add(System.nanoTime());
                wire.readWithoutAnswering();
            }
        })) {
            serve(ForwarderSetup.configText(platform.address(), state, "127.0.0.1:9", 3));
            long first = take(requestTimes);
            for (int i = 0; i < 5; i++) {
                take(requestTimes);
            }
            assertTrue(
                    System.nanoTime() - first < 5 * 500 * NANOS_PER_MILLI,
                    "five requests, each within the drain grace");
        }
    }

    /** A notice whose connection is unresponsive or breaks is repeated while its result still counts as in time. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noticeOnAnUnresponsiveConnectionIsRepeatedInTime(boolean unresponsive) throws Exception {
        LinkedBlockingQueue<Long> noticeTimes = new LinkedBlockingQueue<>();
        try (Peer platform = new Peer(wire -> {
                    for (Request r = wire.readRequest(); r != null && noticeTimes.size() < 2; r = wire.readRequest()) {
                        if (!r.path().equals("/status")) {
                            continue; // a watch is never answered, as nothing changes
                        }
                        noticeTimes.add(System.nanoTime());
                        if (noticeTimes.size() > 1) {
                            wire.writeResponse("204 No Content", "");
                        } else if (unresponsive) {
                            wire.readWithoutAnswering();
                        } else {
                            return;
                        }
                    }
                });
                Peer endpoint = new Peer(wire -> {
                    while (wire.readRequest() != null) {
                        wire.writeResponse("500 no", "");
                    }
                })) {
            serve(ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3));
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("a", "payment", 20, "").startsWith("202"));
            }
            assertTrue(
                    -take(noticeTimes) + take(noticeTimes) < 300 * NANOS_PER_MILLI,
                    "while the result counts as in time");
        }
    }

    // Restarts
    /**
     * With a repeat window of one second and a kill during the call, a repeat happens within the window or not at all.
     */
    @Test
    void repeatWindowOfOneSecondIsKeptAcrossARestart() throws Exception {
        LinkedBlockingQueue<Long> times = new LinkedBlockingQueue<>();
        String text = null;
        try (Peer platform = Peer.platform("", notices);
                Peer endpoint = new Peer(wire -> {
                    while (wire.readRequest() != null) {
                        times.add(System.nanoTime());
                        wire.readWithoutAnswering();
                    }
                })) {
            text = ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3)
                    .replace("\"repeatWindowS\": 5", "\"repeatWindowS\": 1");
            startProcess(text, 1024);
            try (Wire client = Wire.connect(address)) {
                assertTrue(client.submit("a", "order", 20, "").startsWith("202"));
            }
            long first = take(times);
            process.destroyForcibly().waitFor();
            startProcess(text, 1024);
            assertTrue(Peer.take(notices).contains("\"a\""), "its result is reported");
            for (Long again = times.poll(); again != null; again = times.poll()) {
                assertTrue(again - first <= 1_050 * NANOS_PER_MILLI, "within the window");
            }
        }
    }

    /** Untried messages are tried after a restart, even if they exceed a limit that was lowered meanwhile. */
    @Test
    void untriedMessagesAreTriedAfterARestart() throws Exception {
        Set<String> untriedIds = new TreeSet<>();
        AtomicReference<String> list = new AtomicReference<>();
        try (Peer endpoint = endpoint();
                Peer platform = Peer.platform(list::get, notices)) {
            String text = ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3)
                    .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]");
            list.set(ForwarderSetup.knownList().replace("active", "leaving"));
            startProcess(text.replace("active", "leaving"), 1024); // known, but it gets no new messages
            try (Wire client = Wire.connect(address)) {
                for (int i = 0; i < 60; i++) {
                    assertTrue(client.submit("m" + i, "payment", 20, "").startsWith("202"));
                    untriedIds.add("m" + i);
                }
            }
            assertEquals(0, calls.size(), "none is tried before the restart");
            process.destroyForcibly().waitFor();
            list.set(ForwarderSetup.endpointList(endpoint.address()).replace("\"index\":1", "\"index\":2"));
            startProcess(text.replace("\"openCap\": 200", "\"openCap\": 50"), 1024);
            while (!untriedIds.isEmpty()) {
                assertTrue(untriedIds.remove(Peer.take(calls)));
            }
        }
    }
}
