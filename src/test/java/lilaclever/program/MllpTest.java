package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.conf.ConfFile;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Stories of the HL7 port between scripted clients, an endpoint and a platform; HTTP beside it. */
class MllpTest {
    private static final String CONF = """
            [identity]
            shared yes
            http-practice X-Practice
            [mllp clinics]
            address 127.0.0.1:0
            networks 127.0.0.1
            in-flight 3
            whole 300ms
            [hl7]
            most-held 4
            [practice north]
            senders APP
            [practice south]
            senders SUD
            [hl7-class order]
            events ORM
            [hl7-class payment]
            events DFT
            [hl7-destination 7]
            receivers LAB
            [hl7-destination 99]
            receivers NOBODY
            """;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Request> calls = new LinkedBlockingQueue<>();
    /** What the endpoint answers next; it waits for it. */
    private final LinkedBlockingQueue<String> fates = new LinkedBlockingQueue<>();

    private Peer platform, endpoint;
    private Forwarder forwarder;
    private SocketAddress http, mllp;

    @BeforeEach
    void begin() throws Exception {
        platform = Peer.platform("", notices);
        endpoint = new Peer(wire -> {
            for (Request r = wire.request(); r != null; r = wire.request()) {
                calls.add(r);
                String fate = fates.take();
                if (fate.equals("drop")) {
                    return;
                }
                wire.writeResponse(fate, "");
            }
        });
        serve();
    }

    @AfterEach
    void end() throws IOException {
        forwarder.stop();
        platform.close();
        endpoint.close();
    }

    private void serve() throws Exception {
        serve(CONF);
    }

    private void serve(String conf) throws Exception {
        serve(conf, 3);
    }

    private void serve(String conf, double diskMb) throws Exception {
        // One message a call: the endpoint is asked for each on its own.
        Config config = Config.parse(
                Setup.text(platform.address(), state, endpoint.address(), diskMb)
                        .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]"),
                java.util.Map.of());
        forwarder = Forwarder.start(
                config, OperatorSettings.of(ConfFile.parse("f", conf.lines().toList()), config), null);
        http = forwarder.addresses().get(0);
        mllp = forwarder.addresses().get(1);
    }

    /** An order in enhanced mode; {@code wanted} are MSH-15 and MSH-16, or empty for original mode. */
    private static String order(String sender, String control, String wanted) {
        return "MSH|^~\\&|" + sender + "|F|LAB|L|20260101||ORM^O01|" + control + "|P|2.5|||" + wanted + "\rORC|NW|1\r";
    }

    private static String order(String control) {
        return order("APP", control, "AL|AL");
    }

    private static String payment(String control) {
        return order(control).replace("ORM^O01", "DFT^P03");
    }

    /** The code and the control id of the next acknowledgement. */
    private static String ack(Wire wire) throws IOException {
        String frame = wire.readFrame();
        return frame == null
                ? null
                : frame.split("\r")[1].split("\\|", 4)[1]
                        + ' '
                        + frame.split("\r")[1].split("\\|", 4)[2];
    }

    private static String asks(Wire wire, String message) throws IOException {
        wire.writeFrame(message);
        return ack(wire);
    }

    private static String post(Wire wire, String id, String kind, String practice, String key, String body)
            throws IOException {
        wire.writeText(
                "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline: 9"
                        + "\r\nX-Practice: " + practice + "\r\nIdempotency-Key: " + key
                        + "\r\nX-Envelope: dest=7\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
        return wire.request().path();
    }

    private Request call() throws InterruptedException {
        return calls.poll(20, TimeUnit.SECONDS);
    }

    private long counter(String name) throws IOException {
        try (Wire wire = Wire.to(http)) {
            wire.writeText("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
            return wire.request()
                    .body()
                    .lines()
                    .filter(l -> l.startsWith(name + ' '))
                    .mapToLong(l -> Long.parseLong(l.substring(name.length() + 1)))
                    .findFirst()
                    .orElse(-1);
        }
    }

    private void until(String name, long value) throws Exception {
        for (int i = 0; i < 1000 && counter(name) != value; i++) {
            Thread.sleep(10);
        }
        assertEquals(value, counter(name), name);
    }

    // ---- the two modes ----------------------------------------------------------------------------------
    @Test
    void enhancedModeTellsTheTakingOnAndTheEnd() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            assertEquals("CA M1", asks(client, order("M1")));
            Request call = call();
            assertEquals(order("M1"), call.body());
            assertEquals("north.M1", call.headers().get("idempotency-key"));
            fates.add("200 OK");
            assertEquals("AA M1", ack(client));
            assertEquals("CA M2", asks(client, payment("M2")));
            call();
            fates.add("drop");
            assertEquals("AE M2", ack(client)); // it may have run, and must not be repeated
        }
        assertNull(calls.poll());
    }

    /** The taking-on was told before the journal had the message: a client would hear CA for what is then refused. */
    @Test
    void whatTheJournalCanNotTakeIsNeverAccepted() throws Exception {
        forwarder.stop();
        serve(CONF, 0.3);
        Map<String, Integer> codes = new TreeMap<>();
        try (Wire wire = Wire.to(mllp)) {
            for (int i = 0; i < 12; i++) {
                String ack = asks(wire, order("B" + i) + "NTE|" + "x".repeat(50_000) + '\r');
                assertEquals("B" + i, ack.substring(3), "one answer for each, in order");
                codes.merge(ack.substring(0, 2), 1, Integer::sum);
            }
        }
        assertEquals(Set.of("CA", "CE"), codes.keySet(), codes.toString());
    }

    /** In original mode an acknowledgement that nobody waits for would pass for that of another message. */
    @Test
    void anEndInOriginalModeIsForItsConnectionAlone() throws Exception {
        try (Wire other = Wire.to(mllp)) {
            Wire gone = Wire.to(mllp);
            gone.writeFrame(order("APP", "A1", ""));
            call();
            other.writeFrame(order("APP", "B1", ""));
            call();
            gone.close();
            until("entries_mllp_connections", 1);
            fates.addAll(List.of("200 OK", "200 OK"));
            assertEquals("AA B1", ack(other));
            until("delivered", 2);
            fates.add("200 OK");
            assertEquals("AA B2", asks(other, order("APP", "B2", "")));
        }
    }

    /** In original mode the one acknowledgement is the end. */
    @Test
    void originalModeHasOneAcknowledgement() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            client.writeFrame(order("APP", "M1", ""));
            call();
            fates.add("200 OK");
            assertEquals("AA M1", ack(client));
            assertEquals("AA M1", asks(client, order("APP", "M1", ""))); // asked again
        }
        assertNull(calls.poll());
    }

    /** What an endpoint has never run is refused at the end of its tries, with a time to come back. */
    @Test
    void aRefusalSaysThatItMayComeAgain() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            client.writeFrame(order("M1").replace("LAB", "NOBODY"));
            String frame = client.readFrame();
            assertTrue(frame.contains("MSA|CE|M1|") && frame.contains("|come-again|1|"), frame);
            client.writeFrame(order("APP", "M1", "").replace("LAB", "NOBODY"));
            assertTrue(client.readFrame().contains("MSA|AR|M1|"));
        }
    }

    @Test
    void eachMessageOfABatchHasItsOwnEnd() throws Exception {
        fates.addAll(List.of("200 OK", "200 OK"));
        try (Wire client = Wire.to(mllp)) {
            client.writeFrame(
                    "BHS|^~\\&|APP\r" + order("APP", "M1", "NE|AL") + order("APP", "M2", "NE|AL") + "BTS|2\r");
            assertEquals(
                    List.of("AA M1", "AA M2"),
                    java.util.stream.Stream.of(ack(client), ack(client))
                            .sorted()
                            .toList());
            client.writeFrame("BHS|^~\\&|APP\r" + order("M3") + "BTS|2\r");
            assertTrue(client.readFrame().contains("102^Data type error^HL70357"));
        }
        assertEquals(0, counter("entries_held"));
    }

    // ---- clients that leave -----------------------------------------------------------------------------
    /** Guards against a message delivered twice since its client did not hear that it was taken on. */
    @Test
    void whoComesBackBeforeTheEndJoinsTheMessage() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            client.writeFrame(order("M1"));
        } // gone before or after its accept acknowledgement
        call();
        try (Wire again = Wire.to(mllp)) {
            assertEquals("CA M1", asks(again, order("M1")));
            fates.add("200 OK");
            assertEquals("AA M1", ack(again));
        }
        assertNull(calls.poll());
        assertEquals(1, counter("taken"));
    }

    /** An end that could not be told is owed to the practice's next connection. */
    @Test
    void anEndIsOwedToTheNextConnection() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            assertEquals("CA M1", asks(client, order("M1")));
        }
        until("entries_mllp_connections", 0);
        call();
        fates.add("200 OK");
        until("entries_mllp_owed", 1);
        fates.add("200 OK");
        try (Wire other = Wire.to(mllp)) { // not its own
            other.writeFrame(order("SUD", "S1", "NE|AL"));
            assertEquals("AA S1", ack(other));
        }
        fates.add("200 OK");
        try (Wire client = Wire.to(mllp)) {
            client.writeFrame(order("M2"));
            assertEquals("AA M1", ack(client));
            assertEquals("CA M2", ack(client));
            assertEquals("AA M2", ack(client));
        }
        until("entries_owed", 0);
    }

    /** A client that asks again itself gets its end once, not a second time as one that was owed. */
    @Test
    void whoAsksAgainIsToldOnce() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            assertEquals("CA M1", asks(client, order("M1")));
        }
        until("entries_mllp_connections", 0);
        fates.add("200 OK");
        until("entries_mllp_owed", 1);
        fates.add("200 OK");
        try (Wire client = Wire.to(mllp)) {
            assertEquals("CA M1", asks(client, order("M1")));
            assertEquals("AA M1", ack(client));
            assertEquals("CA M2", asks(client, order("M2")));
            assertEquals("AA M2", ack(client));
        }
        until("entries_owed", 0);
    }

    /** Guards against ends that are lost with the process: the next life owes them, also those decided before. */
    @Test
    void endsAreOwedAcrossARestart() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            assertEquals("CA M1", asks(client, order("M1")));
            call();
            assertEquals("CA M2", asks(client, payment("M2")));
            call();
        }
        until("entries_mllp_connections", 0);
        fates.addAll(List.of("200 OK", "200 OK"));
        until("entries_mllp_owed", 2);
        forwarder.stop();
        serve();
        until("entries_mllp_owed", 2);
        fates.add("200 OK");
        try (Wire client = Wire.to(mllp)) {
            client.writeFrame(order("M3"));
            assertEquals(
                    List.of("AA M1", "AA M2"),
                    java.util.stream.Stream.of(ack(client), ack(client))
                            .sorted()
                            .toList());
            assertEquals("CA M3", ack(client));
            assertEquals("AA M3", ack(client));
        }
        assertEquals(3, calls.size() + 2);
    }

    // ---- one message on two ports -----------------------------------------------------------------------
    /** Guards against a message that comes on both ports being delivered twice, whichever is first. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onBothPortsItIsOneMessage(boolean httpFirst) throws Exception {
        try (Wire client = Wire.to(mllp);
                Wire web = Wire.to(http)) {
            if (httpFirst) {
                assertEquals("202", post(web, "h1", "order", "north", "M1", order("M1")));
                assertEquals("CA M1", asks(client, order("M1")));
            } else {
                assertEquals("CA M1", asks(client, order("M1")));
                assertEquals("202", post(web, "h1", "order", "north", "M1", order("M1")));
            }
            call();
            fates.add("200 OK");
            assertEquals("AA M1", ack(client));
            assertEquals("200", post(web, "h2", "order", "north", "M1", order("M1"))); // its end is remembered
            assertEquals("CA M1", asks(client, order("M1")));
            assertEquals("AA M1", ack(client));
        }
        assertNull(calls.poll());
        assertNull(notices.poll());
        assertEquals(1, counter("taken"));
        assertEquals(1, counter("joined"));
    }

    /** Both in the same turn, many times: one call each. */
    @Test
    void inTheSameMomentToo() throws Exception {
        int n = 50;
        for (int i = 0; i < n; i++) {
            fates.add("200 OK");
        }
        try (Wire client = Wire.to(mllp);
                Wire web = Wire.to(http)) {
            for (int i = 0; i < n; i++) {
                String message = order("APP", "M" + i, "NE|AL");
                CountDownLatch both = new CountDownLatch(2);
                String control = "M" + i;
                Thread other = new Thread(() -> {
                    try {
                        both.countDown();
                        both.await();
                        assertTrue(post(web, "h" + control, "order", "north", control, message)
                                .matches("20[02]"));
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
                other.start();
                both.countDown();
                both.await();
                assertEquals("AA M" + i, asks(client, message));
                other.join();
            }
        }
        assertEquals(
                n, calls.stream().map(r -> r.headers().get("req-id")).distinct().count());
        assertEquals(n, calls.size());
        assertEquals(n, counter("delivered"));
    }

    /** A failure is told on each port under the id that came there, also where the process ended in between. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bothPortsHearOfAFailure(boolean restart) throws Exception {
        Wire client = Wire.to(mllp);
        assertEquals("CA M1", asks(client, payment("M1")));
        call();
        try (Wire web = Wire.to(http)) {
            assertEquals("202", post(web, "h1", "payment", "north", "M1", payment("M1")));
        }
        if (restart) {
            client.close();
            forwarder.stop(); // the call is cut: it may have run
            serve();
            client = Wire.to(mllp);
            fates.add("drop");
            client.writeFrame(payment("M1"));
            assertEquals("CA M1", ack(client));
        } else {
            fates.add("drop");
        }
        assertEquals("AE M1", ack(client));
        assertTrue(Peer.next(notices).contains("\"id\":\"h1\",\"status\":\"undeliverable\""));
        client.close();
        assertNull(calls.poll());
        try (Wire web = Wire.to(http)) { // and it stays failed for whoever asks
            assertEquals("500", post(web, "h2", "payment", "north", "M1", payment("M1")));
        }
    }

    /**
     * Guards against a client of the other port that is never told the end, since the process was killed in between.
     */
    @Test
    void aClientThatJoinedIsToldAfterAKillToo() throws Exception {
        Path folder = java.nio.file.Files.createDirectory(state.resolve("killed"));
        String config = Setup.text(platform.address(), folder, endpoint.address(), 3)
                .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]");
        Path conf = java.nio.file.Files.writeString(folder.resolve("conf"), CONF);
        Process process = Setup.process(folder, config, "true", "--conf", conf.toString());
        try {
            List<java.net.InetSocketAddress> at = addresses(process);
            try (Wire client = Wire.to(at.get(1));
                    Wire web = Wire.to(at.get(0))) {
                assertEquals("CA M1", asks(client, payment("M1")));
                call();
                assertEquals("202", post(web, "h1", "payment", "north", "M1", payment("M1")));
            }
            process.destroyForcibly().waitFor();
            process = Setup.process(folder, config, "true", "--conf", conf.toString());
            at = addresses(process);
            assertTrue(Peer.next(notices).contains("\"id\":\"h1\",\"status\":\"undeliverable\""));
            try (Wire client = Wire.to(at.get(1))) {
                client.writeFrame(payment("M1")); // asks again, and hears the end
                assertEquals("CA M1", ack(client));
                assertEquals("AE M1", ack(client));
            }
        } finally {
            process.destroyForcibly();
            fates.add("drop");
        }
        assertNull(calls.poll());
    }

    private static List<java.net.InetSocketAddress> addresses(Process process) throws IOException {
        for (String line = process.errorReader().readLine();
                line != null;
                line = process.errorReader().readLine()) {
            if (line.contains("serves at")) {
                return java.util.regex.Pattern.compile(":(\\d+)")
                        .matcher(line.substring(line.indexOf("serves at")))
                        .results()
                        .map(m -> new java.net.InetSocketAddress("127.0.0.1", Integer.parseInt(m.group(1))))
                        .toList();
            }
        }
        throw new IOException("the program did not start");
    }

    /** Guards against the second of two messages vanishing behind the first one's identity. */
    @Test
    void otherContentUnderAnIdentityIsRefused() throws Exception {
        try (Wire client = Wire.to(mllp);
                Wire web = Wire.to(http)) {
            assertEquals("CA M1", asks(client, order("M1")));
            client.writeFrame(order("M1") + "NTE|other\r");
            assertTrue(client.readFrame().contains("ERR||MSH^1^10|205^Duplicate key identifier^HL70357|E"));
            assertEquals("409", post(web, "h1", "order", "north", "M1", "other"));
            fates.add("200 OK");
            assertEquals("AA M1", ack(client));
            assertEquals("CR M1", asks(client, order("M1") + "NTE|other\r"));
        }
    }

    @Test
    void practicesMayUseTheSameControlIds() throws Exception {
        fates.addAll(List.of("200 OK", "200 OK"));
        try (Wire one = Wire.to(mllp);
                Wire two = Wire.to(mllp)) {
            assertEquals("AA M1", asks(one, order("APP", "M1", "NE|AL")));
            assertEquals("AA M1", asks(two, order("SUD", "M1", "NE|AL")));
        }
        assertFalse(
                call().headers().get("idempotency-key").equals(call().headers().get("idempotency-key")));
    }

    /** Without a practice HTTP is as it was: each Req-Id is a message of its own. */
    @Test
    void withoutAPracticeHttpIsAsItWas() throws Exception {
        fates.addAll(List.of("200 OK", "200 OK"));
        try (Wire web = Wire.to(http)) {
            assertTrue(web.handIn("a", "order", 5, "x").startsWith("202"));
            assertTrue(web.handIn("b", "order", 5, "x").startsWith("202"));
        }
        call();
        call();
        until("delivered", 2);
    }

    /** A control id may be used again once its window is over: guards against a new message taken for an old one. */
    @Test
    void anIdentityIsFreeAgainAfterItsWindow() throws Exception {
        forwarder.stop();
        serve(CONF.replace("[mllp clinics]", "window-order 1s\n[mllp clinics]"));
        fates.addAll(List.of("200 OK", "200 OK"));
        try (Wire client = Wire.to(mllp)) {
            assertEquals("AA M1", asks(client, order("APP", "M1", "NE|AL")));
            String other = order("APP", "M1", "AL|AL") + "NTE|the next day\r";
            String answer = asks(client, other);
            while (answer.equals("CR M1")) { // its window is not over
                answer = asks(client, other);
            }
            assertEquals("CA M1", answer);
            assertEquals("AA M1", ack(client));
        }
        assertEquals(2, calls.size());
    }

    // ---- bounds -----------------------------------------------------------------------------------------
    /** Guards against what is no frame, and half a frame, holding a connection. */
    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\n\r\n", "\u000bMSH|half", "\u000bMSH|\u000b"})
    void whatIsNoFrameEndsTheConnection(String noise) throws Exception {
        try (Wire client = Wire.to(mllp)) {
            client.writeText(noise);
            assertNull(client.readLine());
        } catch (java.net.SocketException e) {
            // closed with bytes unread
        }
        until("entries_mllp_connections", 0);
    }

    /** Only the networks that the operator names get in; the others are closed before anything is read. */
    @Test
    void strangersAreTurnedAway() throws Exception {
        java.net.Socket socket = new java.net.Socket();
        socket.bind(new java.net.InetSocketAddress("127.0.0.2", 0));
        socket.connect(mllp, 5000);
        try (Wire stranger = new Wire(socket)) {
            assertNull(stranger.readLine());
        }
        until("mllp_turned_away", 1);
        assertEquals(0, counter("entries_mllp_connections"));
    }

    /** Messages that can't be read are answered, and whoever sends nothing else is sent away. */
    @Test
    void nonsenseIsAnsweredAndThenEnded() throws Exception {
        try (Wire client = Wire.to(mllp)) {
            for (int i = 0; i < 9; i++) {
                client.writeFrame("PID|" + i + "\r");
                assertTrue(client.readFrame().contains("MSA|AE"));
            }
            assertNull(client.readFrame());
        }
    }

    /** A client that sends more than it may is told to come again, and the others are served. */
    @Test
    void tooManyAtOnceAreToldToComeAgain() throws Exception {
        try (Wire greedy = Wire.to(mllp);
                Wire other = Wire.to(mllp)) {
            for (int i = 0; i < 6; i++) {
                assertEquals((i < 4 ? "CA M" : "CE M") + i, asks(greedy, order("M" + i)));
            }
            assertEquals("CA S1", asks(other, order("SUD", "S1", "AL|NE")));
            for (int i = 0; i < 5; i++) {
                fates.add("200 OK");
            }
            until("delivered", 5);
        }
    }
}
