package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
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

/** Runs the HL7 port between scripted clients, an endpoint and a platform, with the HTTP port beside it. */
class MllpTest {
    private static final String OPERATOR_FILE = """
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
    /** The next answers of the endpoint, which waits for each of them. */
    private final LinkedBlockingQueue<String> endpointAnswers = new LinkedBlockingQueue<>();

    private Peer platform, endpoint;
    private Forwarder forwarder;
    private SocketAddress http, mllp;

    @BeforeEach
    void startPeersAndForwarder() throws Exception {
        platform = Peer.platform("", notices);
        endpoint = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r);
                String answer = endpointAnswers.take();
                if (answer.equals("drop")) {
                    return;
                }
                wire.writeResponse(answer, "");
            }
        });
        serve();
    }

    @AfterEach
    void stop() throws IOException {
        forwarder.stop();
        platform.close();
        endpoint.close();
    }

    private void serve() throws Exception {
        serve(OPERATOR_FILE);
    }

    private void serve(String conf) throws Exception {
        serve(conf, 3);
    }

    /** One message per call, so that the endpoint answers each separately. */
    private String configText(double diskMb) {
        return ForwarderSetup.configText(platform.address(), state, endpoint.address(), diskMb)
                .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]");
    }

    private void serve(String conf, double diskMb) throws Exception {
        Config config = Config.parse(configText(diskMb), java.util.Map.of());
        forwarder = Forwarder.start(
                config, OperatorSettings.of(ConfFile.parse("f", conf.lines().toList()), config), null);
        http = forwarder.addresses().get(0);
        mllp = forwarder.addresses().get(1);
    }

    /** An order message; {@code wanted} holds MSH-15 and MSH-16, and is empty for original mode. */
    private static String order(String sender, String control, String wanted) {
        return "MSH|^~\\&|" + sender + "|F|LAB|L|20260101||ORM^O01|" + control + "|P|2.5|||" + wanted + "\rORC|NW|1\r";
    }

    private static String order(String control) {
        return order("APP", control, "AL|AL");
    }

    private static String payment(String control) {
        return order(control).replace("ORM^O01", "DFT^P03");
    }

    /** The acknowledgement code and the control id of the next acknowledgement. */
    private static String readAck(Wire wire) throws IOException {
        String frame = wire.readFrame();
        return frame == null
                ? null
                : frame.split("\r")[1].split("\\|", 4)[1]
                        + ' '
                        + frame.split("\r")[1].split("\\|", 4)[2];
    }

    private static String sendAndReadAck(Wire wire, String message) throws IOException {
        wire.writeFrame(message);
        return readAck(wire);
    }

    private static String submitOverHttp(
            Wire wire, String id, String messageClass, String practice, String key, String body) throws IOException {
        wire.writeText("POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + messageClass
                + "\r\nReq-Deadline: 9"
                + "\r\nX-Practice: " + practice + "\r\nIdempotency-Key: " + key
                + "\r\nX-Envelope: dest=7\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
        return wire.readRequest().path();
    }

    private Request nextCall() throws InterruptedException {
        return calls.poll(20, TimeUnit.SECONDS);
    }

    private long counter(String name) throws IOException {
        try (Wire wire = Wire.connect(http)) {
            wire.writeText("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
            return wire.readRequest()
                    .body()
                    .lines()
                    .filter(l -> l.startsWith(name + ' '))
                    .mapToLong(l -> Long.parseLong(l.substring(name.length() + 1)))
                    .findFirst()
                    .orElse(-1);
        }
    }

    private void awaitCounter(String name, long value) throws Exception {
        for (int i = 0; i < 1000 && counter(name) != value; i++) {
            Thread.sleep(10);
        }
        assertEquals(value, counter(name), name);
    }

    // Reloads

    private void reload(String text) throws IOException {
        Path file = Files.writeString(state.resolve("config.json"), text);
        forwarder.reload(Map.of("ROUTER_CONFIG", file.toString()));
    }

    /** Submits an order whose call is cut off: it may have run, and must not be called again. */
    private void assertThatOrderIsNotRepeated() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA R1", sendAndReadAck(client, order("R1")));
            nextCall();
            endpointAnswers.add("drop");
            assertEquals("AE R1", readAck(client));
            assertTrue(calls.isEmpty(), "it may have run");
        }
    }

    /** Guards against a front that keeps the classes of its start past a reload that tightens one. */
    @Test
    void tightenedClassHoldsForLaterMessages() throws Exception {
        reload(configText(3).replace("idempotency_key", "non_idempotent"));
        assertThatOrderIsNotRepeated();
    }

    /** Guards against a removed class that HL7 clients still submit: its events count as unknown, without repeats. */
    @Test
    void removedClassCountsAsUnknown() throws Exception {
        reload(configText(3).replaceAll("\\{\"name\": \"order\"[^}]*\\},", ""));
        assertThatOrderIsNotRepeated();
    }

    // Acknowledgement modes
    @Test
    void enhancedModeAcknowledgesAcceptanceAndFinalStatus() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            Request call = nextCall();
            assertEquals(order("M1"), call.body());
            assertEquals("north.M1", call.headers().get("idempotency-key"));
            endpointAnswers.add("200 OK");
            assertEquals("AA M1", readAck(client));
            assertEquals("CA M2", sendAndReadAck(client, payment("M2")));
            nextCall();
            endpointAnswers.add("drop");
            assertEquals("AE M2", readAck(client)); // it may have run, so it must not be repeated
        }
        assertNull(calls.poll());
    }

    /**
     * Guards against acknowledging a message before the journal has stored it: the client would receive CA for a
     * message that is then rejected.
     */
    @Test
    void messageThatTheJournalCannotStoreIsNeverAccepted() throws Exception {
        forwarder.stop();
        serve(OPERATOR_FILE, 0.3);
        Map<String, Integer> codes = new TreeMap<>();
        try (Wire wire = Wire.connect(mllp)) {
            for (int i = 0; i < 12; i++) {
                String ack = sendAndReadAck(wire, order("B" + i) + "NTE|" + "x".repeat(50_000) + '\r');
                assertEquals("B" + i, ack.substring(3), "one acknowledgement for each message, in order");
                codes.merge(ack.substring(0, 2), 1, Integer::sum);
            }
        }
        assertEquals(Set.of("CA", "CE"), codes.keySet(), codes.toString());
    }

    /**
     * Guards against sending an acknowledgement whose connection has closed on another connection: in original mode the
     * client there would take it for the acknowledgement of its own message.
     */
    @Test
    void finalAcknowledgementInOriginalModeGoesToItsOwnConnectionOnly() throws Exception {
        try (Wire other = Wire.connect(mllp)) {
            Wire closed = Wire.connect(mllp);
            closed.writeFrame(order("APP", "A1", ""));
            nextCall();
            other.writeFrame(order("APP", "B1", ""));
            nextCall();
            closed.close();
            awaitCounter("entries_mllp_connections", 1);
            endpointAnswers.addAll(List.of("200 OK", "200 OK"));
            assertEquals("AA B1", readAck(other));
            awaitCounter("delivered", 2);
            endpointAnswers.add("200 OK");
            assertEquals("AA B2", sendAndReadAck(other, order("APP", "B2", "")));
        }
    }

    /** In original mode the only acknowledgement is the final one. */
    @Test
    void originalModeSendsOnlyTheFinalAcknowledgement() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("APP", "M1", ""));
            nextCall();
            endpointAnswers.add("200 OK");
            assertEquals("AA M1", readAck(client));
            assertEquals("AA M1", sendAndReadAck(client, order("APP", "M1", ""))); // resent
        }
        assertNull(calls.poll());
    }

    /** A message that no endpoint has run is refused once its attempts end, with a time after which to retry. */
    @Test
    void refusedMessageIsAnsweredWithARetryTime() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("M1").replace("LAB", "NOBODY"));
            String frame = client.readFrame();
            assertTrue(frame.contains("MSA|CE|M1|") && frame.contains("|come-again|1|"), frame);
            client.writeFrame(order("APP", "M1", "").replace("LAB", "NOBODY"));
            assertTrue(client.readFrame().contains("MSA|AR|M1|"));
        }
    }

    @Test
    void eachMessageOfABatchIsAcknowledgedSeparately() throws Exception {
        endpointAnswers.addAll(List.of("200 OK", "200 OK"));
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(
                    "BHS|^~\\&|APP\r" + order("APP", "M1", "NE|AL") + order("APP", "M2", "NE|AL") + "BTS|2\r");
            assertEquals(
                    List.of("AA M1", "AA M2"),
                    java.util.stream.Stream.of(readAck(client), readAck(client))
                            .sorted()
                            .toList());
            client.writeFrame("BHS|^~\\&|APP\r" + order("M3") + "BTS|2\r");
            assertTrue(client.readFrame().contains("102^Data type error^HL70357"));
        }
        assertEquals(0, counter("entries_held"));
    }

    // Clients that disconnect
    /**
     * Guards against delivering a message twice because its client resent it after missing the accept acknowledgement.
     */
    @Test
    void resentMessageIsAttachedToThePendingOne() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("M1"));
        } // closed before or after its accept acknowledgement
        nextCall();
        try (Wire again = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(again, order("M1")));
            endpointAnswers.add("200 OK");
            assertEquals("AA M1", readAck(again));
        }
        assertNull(calls.poll());
        assertEquals(1, counter("taken"));
    }

    /** A final status that could not be sent is stored for the practice's next connection. */
    @Test
    void finalStatusIsSentOnThePracticesNextConnection() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
        }
        awaitCounter("entries_mllp_connections", 0);
        nextCall();
        endpointAnswers.add("200 OK");
        awaitCounter("entries_mllp_owed", 1);
        endpointAnswers.add("200 OK");
        try (Wire other = Wire.connect(mllp)) { // a connection of another practice
            other.writeFrame(order("SUD", "S1", "NE|AL"));
            assertEquals("AA S1", readAck(other));
            other.closeInOrder();
        }
        endpointAnswers.add("200 OK");
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("M2"));
            assertEquals("AA M1", readAck(client));
            assertEquals("CA M2", readAck(client));
            assertEquals("AA M2", readAck(client));
            client.closeInOrder();
        }
        awaitCounter("entries_owed", 0);
    }

    /** A client that resends its message gets the final status once, not again as a pending notification. */
    @Test
    void resentMessageIsAnsweredOnceOnly() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
        }
        awaitCounter("entries_mllp_connections", 0);
        endpointAnswers.add("200 OK");
        awaitCounter("entries_mllp_owed", 1);
        endpointAnswers.add("200 OK");
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            assertEquals("AA M1", readAck(client));
            assertEquals("CA M2", sendAndReadAck(client, order("M2")));
            assertEquals("AA M2", readAck(client));
            client.closeInOrder();
        }
        awaitCounter("entries_owed", 0);
    }

    /**
     * Guards against losing final statuses with the process: the next run sends them, also those decided before the
     * restart.
     */
    @Test
    void pendingNotificationsSurviveARestart() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            nextCall();
            assertEquals("CA M2", sendAndReadAck(client, payment("M2")));
            nextCall();
        }
        awaitCounter("entries_mllp_connections", 0);
        endpointAnswers.addAll(List.of("200 OK", "200 OK"));
        awaitCounter("entries_mllp_owed", 2);
        forwarder.stop();
        serve();
        awaitCounter("entries_mllp_owed", 2);
        endpointAnswers.add("200 OK");
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("M3"));
            assertEquals(
                    List.of("AA M1", "AA M2"),
                    java.util.stream.Stream.of(readAck(client), readAck(client))
                            .sorted()
                            .toList());
            assertEquals("CA M3", readAck(client));
            assertEquals("AA M3", readAck(client));
        }
        assertEquals(3, calls.size() + 2);
    }

    /** Submits an order and leaves its final acknowledgement unread in the socket; the connection is still open. */
    private Wire submitAndLeaveTheEndUnread(String control) throws Exception {
        Wire client = Wire.connect(mllp);
        assertEquals("CA " + control, sendAndReadAck(client, order(control)));
        nextCall();
        endpointAnswers.add("200 OK");
        client.awaitUnread();
        return client;
    }

    /** The next connection of the practice hears the end of an earlier message before the answer to its own. */
    private void assertThatNextConnectionHears(String end) throws Exception {
        endpointAnswers.add("200 OK");
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("NEXT"));
            assertEquals(end, readAck(client));
            assertEquals("CA NEXT", readAck(client));
            assertEquals("AA NEXT", readAck(client));
            client.closeInOrder();
        }
        awaitCounter("entries_owed", 0);
    }

    /** Guards against an end that counts as told once it is written, though its client dies before it reads it. */
    @Test
    void endIsSentAgainIfItsClientDiesBeforeReadingIt() throws Exception {
        submitAndLeaveTheEndUnread("M1").close(); // with bytes unread the system resets the connection
        awaitCounter("entries_mllp_connections", 0);
        assertThatNextConnectionHears("AA M1");
    }

    /** Guards against an end that is lost with the process while its client has not read it. */
    @Test
    void unreadEndOutlastsARestart() throws Exception {
        Wire client = submitAndLeaveTheEndUnread("M1");
        forwarder.stop();
        client.close();
        serve();
        assertThatNextConnectionHears("AA M1");
    }

    /** Guards against an end that is lost as its client dies before it reads the answer to its repeat. */
    @Test
    void endIsSentAgainIfItsClientDiesAfterAskingAgain() throws Exception {
        submitAndLeaveTheEndUnread("M1").close();
        awaitCounter("entries_mllp_connections", 0);
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("M1"));
            client.awaitUnread();
        }
        awaitCounter("entries_mllp_connections", 0);
        awaitCounter("entries_mllp_owed", 1);
        assertThatNextConnectionHears("AA M1");
    }

    /** Guards against an end on an idle connection that is closed on this side, which counts as read. */
    @Test
    void unreadEndIsSentAgainAfterTheIdleTimeout() throws Exception {
        forwarder.stop();
        serve(OPERATOR_FILE.replace("[mllp clinics]", "[mllp clinics]\nidle 1s"));
        Wire client = submitAndLeaveTheEndUnread("M1");
        awaitCounter("entries_mllp_connections", 0);
        client.close();
        assertThatNextConnectionHears("AA M1");
    }

    /** Guards against an owed end that is dropped since another message came under its key. */
    @Test
    void endIsStillOwedAfterAConflict() throws Exception {
        submitAndLeaveTheEndUnread("M1").close();
        awaitCounter("entries_mllp_connections", 0);
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("M1") + "NTE|other\r");
            assertEquals("CR M1", readAck(client));
        }
        assertThatNextConnectionHears("AA M1");
    }

    /** Guards against ends that are told twice though a later message has shown that they were read. */
    @Test
    void laterMessageConfirmsAnEnd() throws Exception {
        int sent = 0;
        try (Wire client = Wire.connect(mllp)) {
            while (sent < 2 || counter("entries_mllp_unconfirmed") == sent) {
                assertTrue(sent < 1_000, "no end is confirmed");
                String control = "K" + sent++;
                endpointAnswers.add("200 OK");
                assertEquals("CA " + control, sendAndReadAck(client, order(control)));
                assertEquals("AA " + control, readAck(client));
            }
        }
        awaitCounter("entries_mllp_connections", 0);
        endpointAnswers.add("200 OK");
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("NEXT"));
            String first = readAck(client);
            assertFalse(first.equals("AA K0"), first);
        }
    }

    /** Guards against clients that hear an end twice though they have read it: orderly close, idle timeout. */
    @Test
    void readEndIsNotSentAgain() throws Exception {
        forwarder.stop();
        serve(OPERATOR_FILE.replace("[mllp clinics]", "[mllp clinics]\nidle 1s"));
        endpointAnswers.addAll(List.of("200 OK", "200 OK", "200 OK"));
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            assertEquals("AA M1", readAck(client));
            client.closeInOrder();
        }
        awaitCounter("entries_owed", 0);
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M2", sendAndReadAck(client, order("M2")));
            assertEquals("AA M2", readAck(client));
            assertNull(readAck(client)); // the idle timeout ends the output
            client.closeInOrder();
        }
        awaitCounter("entries_owed", 0);
        assertEquals(0, counter("mllp_sent_again"));
        assertThatNextConnectionHearsNothingElse();
    }

    private void assertThatNextConnectionHearsNothingElse() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("CA M3", sendAndReadAck(client, order("M3")));
            assertEquals("AA M3", readAck(client));
        }
    }

    /** Guards against messages that are turned away since the ends owed to clients that are away fill the journal. */
    @Test
    void endsOwedToClientsThatAreAwayTakeNoRoomFromOtherMessages() throws Exception {
        forwarder.stop();
        serve(OPERATOR_FILE.replace("[hl7]", "[hl7]\nany-sender yes"), 0.3);
        int absentClients = 24;
        for (int i = 0; i < absentClients; i++) {
            try (Wire client = Wire.connect(mllp)) {
                String order = order("AWAY" + i, "B" + i, "AL|AL") + "NTE|" + "x".repeat(30_000) + '\r';
                assertEquals("CA B" + i, sendAndReadAck(client, order));
            }
            awaitCounter("entries_mllp_connections", 0);
            nextCall();
            endpointAnswers.add("200 OK");
            awaitCounter("entries_mllp_owed", i + 1);
        }
        forwarder.stop();
        serve(OPERATOR_FILE.replace("[hl7]", "[hl7]\nany-sender yes"), 0.3);
        awaitCounter("entries_mllp_owed", absentClients);
        try (Wire client = Wire.connect(mllp)) {
            client.writeFrame(order("AWAY3", "C", "AL|AL"));
            assertEquals("AA B3", readAck(client));
            assertEquals("CA C", readAck(client));
        }
        endpointAnswers.add("200 OK");
    }

    /** Guards against ends that are owed and dropped in silence. */
    @Test
    void endThatNobodyComesForIsLogged() throws Exception {
        forwarder.stop();
        serve(OPERATOR_FILE.replace("[hl7]", "[hl7]\nowe 1s"));
        try (LogCapture log = new LogCapture()) {
            try (Wire client = Wire.connect(mllp)) {
                assertEquals("CA M1", sendAndReadAck(client, order("M1")));
                client.writeFrame(order("SUD", "M2", ""));
                nextCall();
                nextCall();
            }
            awaitCounter("entries_mllp_connections", 0);
            endpointAnswers.addAll(List.of("200 OK", "200 OK"));
            awaitCounter("entries_owed", 0);
            awaitCounter("mllp_owed_given_up", 1);
            assertEquals(
                    "the end (delivered) of message M1 of practice north is not told: its client did not come in time",
                    log.lineWith("message M1"));
            assertEquals(
                    "the end (delivered) of message M2 of practice south is not told yet: its client has left in"
                            + " original mode, and hears it when it asks again",
                    log.lineWith("message M2"));
        }
    }

    // One message on two ports
    /** Guards against delivering a message twice that is submitted on both ports, whichever is first. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void messageSubmittedOnBothPortsIsDeliveredOnce(boolean httpFirst) throws Exception {
        try (Wire client = Wire.connect(mllp);
                Wire web = Wire.connect(http)) {
            if (httpFirst) {
                assertEquals("202", submitOverHttp(web, "h1", "order", "north", "M1", order("M1")));
                assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            } else {
                assertEquals("CA M1", sendAndReadAck(client, order("M1")));
                assertEquals("202", submitOverHttp(web, "h1", "order", "north", "M1", order("M1")));
            }
            nextCall();
            endpointAnswers.add("200 OK");
            assertEquals("AA M1", readAck(client));
            assertEquals(
                    "200", submitOverHttp(web, "h2", "order", "north", "M1", order("M1"))); // its result is remembered
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            assertEquals("AA M1", readAck(client));
        }
        assertNull(calls.poll());
        assertNull(notices.poll());
        assertEquals(1, counter("taken"));
        assertEquals(1, counter("joined"));
    }

    /** Both submissions arrive in the same turn of the event loop, many times: one call for each message. */
    @Test
    void messageSubmittedOnBothPortsAtOnceIsDeliveredOnce() throws Exception {
        int n = 50;
        for (int i = 0; i < n; i++) {
            endpointAnswers.add("200 OK");
        }
        try (Wire client = Wire.connect(mllp);
                Wire web = Wire.connect(http)) {
            for (int i = 0; i < n; i++) {
                String message = order("APP", "M" + i, "NE|AL");
                CountDownLatch both = new CountDownLatch(2);
                String control = "M" + i;
                Thread other = new Thread(() -> {
                    try {
                        both.countDown();
                        both.await();
                        assertTrue(submitOverHttp(web, "h" + control, "order", "north", control, message)
                                .matches("20[02]"));
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
                other.start();
                both.countDown();
                both.await();
                assertEquals("AA M" + i, sendAndReadAck(client, message));
                other.join();
            }
        }
        assertEquals(
                n, calls.stream().map(r -> r.headers().get("req-id")).distinct().count());
        assertEquals(n, calls.size());
        assertEquals(n, counter("delivered"));
    }

    /** A failure is reported on each port under the id submitted there, also after a restart in between. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failureIsReportedOnBothPorts(boolean restart) throws Exception {
        Wire client = Wire.connect(mllp);
        assertEquals("CA M1", sendAndReadAck(client, payment("M1")));
        nextCall();
        try (Wire web = Wire.connect(http)) {
            assertEquals("202", submitOverHttp(web, "h1", "payment", "north", "M1", payment("M1")));
        }
        if (restart) {
            client.close();
            forwarder.stop(); // the call is interrupted: it may have run
            serve();
            client = Wire.connect(mllp);
            endpointAnswers.add("drop");
            client.writeFrame(payment("M1"));
            assertEquals("CA M1", readAck(client));
        } else {
            endpointAnswers.add("drop");
        }
        assertEquals("AE M1", readAck(client));
        assertTrue(Peer.take(notices).contains("\"id\":\"h1\",\"status\":\"undeliverable\""));
        client.close();
        assertNull(calls.poll());
        try (Wire web = Wire.connect(http)) { // a later submission gets the same failure
            assertEquals("500", submitOverHttp(web, "h2", "payment", "north", "M1", payment("M1")));
        }
    }

    /** Guards against a client of the other port that is never notified because the process was killed in between. */
    @Test
    void clientOfTheOtherPortIsNotifiedAfterAKill() throws Exception {
        Path folder = java.nio.file.Files.createDirectory(state.resolve("killed"));
        String config = ForwarderSetup.configText(platform.address(), folder, endpoint.address(), 3)
                .replace("\"kindBatch\": [20]", "\"kindBatch\": [1]");
        Path conf = java.nio.file.Files.writeString(folder.resolve("conf"), OPERATOR_FILE);
        Process process = ForwarderSetup.startProcess(folder, config, "true", "--conf", conf.toString());
        try {
            List<java.net.InetSocketAddress> addresses = readListenAddresses(process);
            try (Wire client = Wire.connect(addresses.get(1));
                    Wire web = Wire.connect(addresses.get(0))) {
                assertEquals("CA M1", sendAndReadAck(client, payment("M1")));
                nextCall();
                assertEquals("202", submitOverHttp(web, "h1", "payment", "north", "M1", payment("M1")));
            }
            process.destroyForcibly().waitFor();
            process = ForwarderSetup.startProcess(folder, config, "true", "--conf", conf.toString());
            addresses = readListenAddresses(process);
            assertTrue(Peer.take(notices).contains("\"id\":\"h1\",\"status\":\"undeliverable\""));
            try (Wire client = Wire.connect(addresses.get(1))) {
                client.writeFrame(payment("M1")); // resends it and receives the final status
                assertEquals("CA M1", readAck(client));
                assertEquals("AE M1", readAck(client));
            }
        } finally {
            process.destroyForcibly();
            endpointAnswers.add("drop");
        }
        assertNull(calls.poll());
    }

    private static List<java.net.InetSocketAddress> readListenAddresses(Process process) throws IOException {
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

    /** Guards against dropping a different message that has the identity of an earlier one. */
    @Test
    void differentContentUnderTheSameIdentityIsRejected() throws Exception {
        try (Wire client = Wire.connect(mllp);
                Wire web = Wire.connect(http)) {
            assertEquals("CA M1", sendAndReadAck(client, order("M1")));
            client.writeFrame(order("M1") + "NTE|other\r");
            assertTrue(client.readFrame().contains("ERR||MSH^1^10|205^Duplicate key identifier^HL70357|E"));
            assertEquals("409", submitOverHttp(web, "h1", "order", "north", "M1", "other"));
            endpointAnswers.add("200 OK");
            assertEquals("AA M1", readAck(client));
            assertEquals("CR M1", sendAndReadAck(client, order("M1") + "NTE|other\r"));
        }
    }

    @Test
    void controlIdsOfDifferentPracticesAreIndependent() throws Exception {
        endpointAnswers.addAll(List.of("200 OK", "200 OK"));
        try (Wire one = Wire.connect(mllp);
                Wire two = Wire.connect(mllp)) {
            assertEquals("AA M1", sendAndReadAck(one, order("APP", "M1", "NE|AL")));
            assertEquals("AA M1", sendAndReadAck(two, order("SUD", "M1", "NE|AL")));
        }
        assertFalse(nextCall()
                .headers()
                .get("idempotency-key")
                .equals(nextCall().headers().get("idempotency-key")));
    }

    /** Without a practice header each Req-Id is a message of its own. */
    @Test
    void httpMessagesWithoutAPracticeAreNotDeduplicated() throws Exception {
        endpointAnswers.addAll(List.of("200 OK", "200 OK"));
        try (Wire web = Wire.connect(http)) {
            assertTrue(web.submit("a", "order", 5, "x").startsWith("202"));
            assertTrue(web.submit("b", "order", 5, "x").startsWith("202"));
        }
        nextCall();
        nextCall();
        awaitCounter("delivered", 2);
    }

    /**
     * Guards against taking a new message for an old one with the same control id, which may be used again once the
     * window of the old message is over.
     */
    @Test
    void controlIdCanBeReusedAfterItsWindow() throws Exception {
        forwarder.stop();
        serve(OPERATOR_FILE.replace("[mllp clinics]", "window-order 1s\n[mllp clinics]"));
        endpointAnswers.addAll(List.of("200 OK", "200 OK"));
        try (Wire client = Wire.connect(mllp)) {
            assertEquals("AA M1", sendAndReadAck(client, order("APP", "M1", "NE|AL")));
            String other = order("APP", "M1", "AL|AL") + "NTE|the next day\r";
            String answer = sendAndReadAck(client, other);
            while (answer.equals("CR M1")) { // its window is not over yet
                answer = sendAndReadAck(client, other);
            }
            assertEquals("CA M1", answer);
            assertEquals("AA M1", readAck(client));
        }
        assertEquals(2, calls.size());
    }

    // Limits
    /** Guards against invalid or incomplete frames that keep a connection open. */
    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\n\r\n", "\u000bMSH|half", "\u000bMSH|\u000b"})
    void invalidFrameClosesTheConnection(String noise) throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            client.writeText(noise);
            assertNull(client.readLine());
        } catch (java.net.SocketException e) {
            // closed with bytes unread
        }
        awaitCounter("entries_mllp_connections", 0);
    }

    /** Connections from networks that the operator does not list are closed before anything is read. */
    @Test
    void connectionFromAnUnlistedNetworkIsClosed() throws Exception {
        java.net.Socket socket = new java.net.Socket();
        socket.bind(new java.net.InetSocketAddress("127.0.0.2", 0));
        socket.connect(mllp, 5000);
        try (Wire unlistedClient = new Wire(socket)) {
            assertNull(unlistedClient.readLine());
        }
        awaitCounter("mllp_turned_away", 1);
        assertEquals(0, counter("entries_mllp_connections"));
    }

    /** Invalid messages are answered, and a client that sends nothing else is disconnected. */
    @Test
    void clientSendingOnlyInvalidMessagesIsAnsweredThenDisconnected() throws Exception {
        try (Wire client = Wire.connect(mllp)) {
            for (int i = 0; i < 9; i++) {
                client.writeFrame("PID|" + i + "\r");
                assertTrue(client.readFrame().contains("MSA|AE"));
            }
            assertNull(client.readFrame());
        }
    }

    /** A client over its limit is asked to retry later, and other clients are served. */
    @Test
    void clientOverItsLimitIsRejectedAndOthersAreServed() throws Exception {
        try (Wire clientOverLimit = Wire.connect(mllp);
                Wire other = Wire.connect(mllp)) {
            for (int i = 0; i < 6; i++) {
                assertEquals((i < 4 ? "CA M" : "CE M") + i, sendAndReadAck(clientOverLimit, order("M" + i)));
            }
            assertEquals("CA S1", sendAndReadAck(other, order("SUD", "S1", "AL|NE")));
            for (int i = 0; i < 5; i++) {
                endpointAnswers.add("200 OK");
            }
            awaitCounter("delivered", 5);
        }
    }
}
