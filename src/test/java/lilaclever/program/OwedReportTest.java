package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.program.Peer.Wire;
import lilaclever.routing.ClassVersion;
import lilaclever.routing.Core;
import lilaclever.routing.Submission;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Failure reports to clients whose mail servers are away: a client that heard 250 hears the end of its mail. */
class OwedReportTest {
    /** How often the whole time of the reports' class is over before their server is back. */
    private static final int FAILED_ROUNDS = 2;

    private static final int CONTENT_ROW_CHARS = 70;

    private static final Pattern MESSAGE_ID = Pattern.compile("(?m)^Message-ID: <(report-.*)>$");

    /** What a client's mail server does while it is away. */
    enum Absence {
        REFUSES_THE_CONTENT,
        REFUSES_THE_RECIPIENT,
        REFUSES_THE_GREETING,
        CLOSES_THE_CONNECTION,
        IS_SILENT,
        IS_SILENT_AFTER_THE_CONTENT
    }

    @TempDir
    private Path state;

    /** What a killed process leaves. */
    @TempDir
    private Path killedState;

    private final LinkedBlockingQueue<String> reports = new LinkedBlockingQueue<>();
    /** Message-IDs of all contents that were read, also of those that were not taken. */
    private final List<String> contents = new CopyOnWriteArrayList<>();

    private final LogCapture log = new LogCapture();
    private final AtomicInteger connections = new AtomicInteger();
    /** Mails that are being sent to the client's server, now and at most. */
    private final AtomicInteger transactions = new AtomicInteger(), maxTransactions = new AtomicInteger();

    private volatile Absence absence;
    /** The reply to a content while the server is not away. */
    private volatile String contentReply = "250 2.0.0 kept";

    private Peer platform, partner, clinic;
    private Forwarder forwarder;
    private SocketAddress http, smtp;

    @BeforeEach
    void startPeers() throws IOException {
        platform = Peer.platform("", new LinkedBlockingQueue<>());
        partner = refusingPartner(new CountDownLatch(0));
        clinic = new Peer(this::serveClinic);
    }

    @AfterEach
    void stop() throws IOException {
        forwarder.stop();
        platform.close();
        partner.close();
        clinic.close();
        log.close();
    }

    /** A mail server that refuses each recipient once the latch is open. */
    private static Peer refusingPartner(CountDownLatch latch) throws IOException {
        return new Peer(wire -> {
            wire.writeText("220 stand-in\r\n");
            for (String line = wire.readLine(); line != null; line = wire.readLine()) {
                boolean isRecipient = line.startsWith("RCPT");
                if (isRecipient) {
                    latch.await();
                }
                wire.writeText(isRecipient ? "550 5.2.1 takes no payments\r\n" : "250 2.0.0 good\r\n");
            }
        });
    }

    private void serveClinic(Wire wire) throws IOException, InterruptedException {
        connections.incrementAndGet();
        Absence away = absence;
        if (away == Absence.CLOSES_THE_CONNECTION) {
            return;
        }
        if (away == Absence.IS_SILENT) {
            wire.readWithoutAnswering();
            return;
        }
        wire.writeText(away == Absence.REFUSES_THE_GREETING ? "421 4.3.2 shut\r\n" : "220 stand-in\r\n");
        for (String line = wire.readLine(); line != null; line = wire.readLine()) {
            if (line.equals("DATA")) {
                maxTransactions.accumulateAndGet(transactions.incrementAndGet(), Math::max);
                wire.writeText("354 go on\r\n");
                String content = readContent(wire);
                contents.add(messageId(content));
                if (away == Absence.IS_SILENT_AFTER_THE_CONTENT) {
                    wire.readWithoutAnswering();
                    return;
                }
                String reply = away == Absence.REFUSES_THE_CONTENT ? "451 4.3.2 shut" : contentReply;
                if (reply.startsWith("2")) {
                    reports.add(content);
                }
                transactions.decrementAndGet();
                wire.writeText(reply + "\r\n");
            } else {
                boolean isRefused = away == Absence.REFUSES_THE_RECIPIENT && line.startsWith("RCPT");
                wire.writeText(isRefused ? "450 4.2.1 not now\r\n" : "250 2.0.0 good\r\n");
            }
        }
    }

    private static String readContent(Wire wire) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String row = wire.readLine(); !row.equals("."); row = wire.readLine()) {
            text.append(row).append('\n');
        }
        return text.toString();
    }

    private static String messageId(String content) {
        var matcher = MESSAGE_ID.matcher(content);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static String route(String domain, int destination, Peer server) {
        return "{\"domain\":\"" + domain + "\",\"destination\":" + destination
                + ",\"protocol\":\"smtp\",\"addresses\":[\"" + server.address() + "\"]}";
    }

    private String routes() {
        return route("frames.test", 1_000_001, partner) + "," + route("clinics.test", 1_000_002, clinic);
    }

    /** Starts a forwarder whose reports have 1 s in their class, so that an outage soon outlasts it. */
    private String configText() {
        return ForwarderSetup.configText(platform.address(), state, null, 3)
                .replace("\"deadlineS\": 6", "\"deadlineS\": 1");
    }

    private void serve(String routes, String reportClass) throws Exception {
        Config config = Config.parse(configText(), Map.of());
        forwarder = Forwarder.start(
                config,
                config.parseMail(ForwarderSetup.MAIL_CONFIG_TEMPLATE
                        .formatted(routes)
                        .replace("\"reportClass\": \"status\"", "\"reportClass\": \"" + reportClass + "\"")));
        http = forwarder.addresses().get(0);
        smtp = forwarder.addresses().get(1);
    }

    private void serve() throws Exception {
        serve(routes(), "status");
    }

    /** Hands in a payment that the partner refuses; returns the reply. */
    private static String handIn(SocketAddress address, String id, String from) throws IOException {
        try (Wire wire = Wire.connect(address)) {
            wire.readReply();
            wire.sendCommand("EHLO client");
            return handIn(wire, id, from);
        }
    }

    private static String handIn(Wire wire, String id, String from) throws IOException {
        assertTrue(wire.sendCommand("MAIL FROM:<" + from + ">").startsWith("250"));
        assertTrue(wire.sendCommand("RCPT TO:<desk@frames.test>").startsWith("250"));
        assertTrue(wire.sendCommand("DATA").startsWith("354"));
        wire.writeText("Message-ID: <" + id + ">\r\nX-Message-Class: payment\r\n\r\npay\r\n.\r\n");
        return wire.readReply();
    }

    private void handInAndHear250(String id) throws IOException {
        assertEquals("250 2.0.0 taken on", handIn(smtp, id, "pay@clinics.test"));
    }

    private String counter(String name) throws IOException {
        try (Wire wire = Wire.connect(http)) {
            wire.writeText("GET /counters HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
            return wire.readRequest().body().replaceAll("(?s).*\\b" + name + " (\\d+).*", "$1");
        }
    }

    private void awaitCounter(String name, String value) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!counter(name).equals(value)) {
            assertTrue(System.nanoTime() < until, name + " is " + counter(name) + " instead of " + value);
            Thread.sleep(20);
        }
    }

    private void awaitFailedRounds() throws Exception {
        awaitCounter("reports_retried", Integer.toString(FAILED_ROUNDS));
    }

    private void awaitConnections(int count) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (connections.get() < count) {
            assertTrue(System.nanoTime() < until, "only " + connections.get() + " connections");
            Thread.sleep(20);
        }
    }

    private String dropLine() {
        return log.lineWith("is dropped");
    }

    /** Guards against a report that is dropped once the time of its class is over, though it has not been taken. */
    @ParameterizedTest
    @EnumSource(Absence.class)
    void reportOutlastsAServerThatIsAwayForLongerThanItsClass(Absence how) throws Exception {
        absence = how;
        serve();
        handInAndHear250("p");
        awaitFailedRounds();
        assertEquals("1", counter("entries_reports_owed"));
        absence = null;
        String report = Peer.take(reports);
        assertTrue(report.contains("Message-ID: <p>"), report);
        assertTrue(report.contains("Status: 5.2.1"), report);
        awaitCounter("entries_reports_owed", "0");
        awaitCounter("entries_owed", "0");
        assertEquals("1", counter("reports_delivered"));
        assertEquals(1, new HashSet<>(contents).size(), "one Message-ID: " + contents);
    }

    /** Guards against a report that is lost with its process, by a stop or a kill, while its server is away. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reportOutlastsARestart(boolean isKilled) throws Exception {
        absence = Absence.REFUSES_THE_CONTENT;
        serve();
        handInAndHear250("p");
        awaitFailedRounds();
        if (isKilled) {
            Path copy = ForwarderSetup.copyState(state, killedState);
            forwarder.stop();
            state = copy;
        } else {
            forwarder.stop();
        }
        serve();
        awaitCounter("entries_reports_owed", "1");
        absence = null;
        assertTrue(Peer.take(reports).contains("Message-ID: <p>"));
        awaitCounter("entries_owed", "0");
    }

    /** Guards against a report that is dropped since its route is missing for one life of the program. */
    @Test
    void reportWaitsForARouteThatIsMissingAfterARestart() throws Exception {
        absence = Absence.REFUSES_THE_CONTENT;
        serve();
        handInAndHear250("p");
        awaitConnections(1);
        forwarder.stop();
        serve(route("frames.test", 1_000_001, partner), "status");
        awaitCounter("entries_reports_owed", "1");
        assertTrue(log.lineWith("no route for report-").startsWith("no route"), log.lineWith("no route"));
        forwarder.stop();
        absence = null;
        serve();
        assertTrue(Peer.take(reports).contains("Message-ID: <p>"));
    }

    /** Guards against a report that ends with its class when a reload removes that. */
    @Test
    void reportOutlastsItsClass() throws Exception {
        absence = Absence.REFUSES_THE_CONTENT;
        serve();
        handInAndHear250("p");
        awaitConnections(1);
        Path file = Files.writeString(
                state.resolve("config.json"), configText().replace("\"name\": \"status\"", "\"name\": \"other\""));
        forwarder.reload(Map.of("ROUTER_CONFIG", file.toString()));
        awaitFailedRounds();
        absence = null;
        assertTrue(Peer.take(reports).contains("Message-ID: <p>"));
    }

    /** Guards against a report that was refused for good and is tried, reported or held on, or dropped in silence. */
    @Test
    void reportThatIsRefusedForGoodEndsAndIsLogged() throws Exception {
        contentReply = "550 5.1.1 no such user";
        serve();
        handInAndHear250("p");
        awaitCounter("reports_dropped", "1");
        awaitCounter("entries_owed", "0");
        assertEquals("0", counter("entries_reports_owed"));
        assertEquals(1, contents.size());
        assertTrue(
                dropLine().matches("report-smtp-.* to pay@clinics.test is dropped: refused: 550 5.1.1 no such user"),
                dropLine());
    }

    /** Guards against a report of a class without repeats that is sent twice, as the first may have been taken. */
    @Test
    void reportThatMayHaveBeenTakenComesAgainOnlyIfItsClassAllowsIt() throws Exception {
        absence = Absence.IS_SILENT_AFTER_THE_CONTENT;
        Config config = Config.parse(configText().replace("\"deadlineS\": 28", "\"deadlineS\": 2"), Map.of());
        forwarder = Forwarder.start(
                config,
                config.parseMail(ForwarderSetup.MAIL_CONFIG_TEMPLATE
                        .formatted(routes())
                        .replace("\"reportClass\": \"status\"", "\"reportClass\": \"payment\"")));
        http = forwarder.addresses().get(0);
        smtp = forwarder.addresses().get(1);
        handInAndHear250("p");
        awaitCounter("reports_dropped", "1");
        assertTrue(dropLine().endsWith("may have been taken"), dropLine());
        assertEquals(1, contents.size());
        awaitCounter("entries_owed", "0");
    }

    /** Guards against reports of an outage that crowd its server or honest messages, or are lost in their number. */
    @Test
    void hundredsOfReportsWaitForAServerWithoutCrowdingIt() throws Exception {
        int failures = 200;
        absence = Absence.REFUSES_THE_CONTENT;
        serve();
        try (Wire wire = Wire.connect(smtp)) {
            wire.readReply();
            wire.sendCommand("EHLO client");
            for (int i = 0; i < failures; i++) {
                assertTrue(handIn(wire, "p" + i, "pay@clinics.test").startsWith("250"));
            }
        }
        awaitCounter("entries_reports_owed", Integer.toString(failures));
        assertEquals(1, maxTransactions.get(), "one report at a time");
        assertTrue(Integer.parseInt(counter("entries_held")) <= 1, "places taken: " + counter("entries_held"));
        absence = null;
        Set<String> told = new HashSet<>();
        while (told.size() < failures) {
            told.add(messageId(Peer.take(reports)));
        }
        assertTrue(maxTransactions.get() <= 5, maxTransactions + " at once, of 20 slots");
        awaitCounter("entries_owed", "0");
        assertEquals(Integer.toString(failures), counter("reports_delivered"));
        assertEquals(List.of(), new ArrayList<>(reports), "each is told once");
    }

    /** Guards against a client that hears 250 although its failure can't be reported, as its domain has no route. */
    @Test
    void clientWithoutARouteHearsTheEndInTheReply() throws Exception {
        serve();
        assertEquals("550 5.2.1 takes no payments", handIn(smtp, "p", "pay@elsewhere.test"));
        assertEquals("550 5.2.1 takes no payments", handIn(smtp, "p", "pay@elsewhere.test"), "when it comes again");
        assertEquals("250 2.0.0 taken on", handIn(smtp, "q", ""), "a null reverse path wants no report");
        awaitCounter("entries_owed", "0");
        assertEquals("0", counter("entries_reports_owed"));
    }

    /** Guards against an end that is lost where a client without a route has left before the reply. */
    @Test
    void endIsOwedToAClientWithoutARouteThatHasLeft() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        Peer slowPartner = refusingPartner(left);
        try (slowPartner) {
            String partnerRoute = route("frames.test", 1_000_001, slowPartner);
            serve(partnerRoute, "status");
            try (Wire wire = Wire.connect(smtp)) {
                wire.readReply();
                wire.sendCommand("EHLO client");
                wire.sendCommand("MAIL FROM:<pay@clinics.test>");
                wire.sendCommand("RCPT TO:<desk@frames.test>");
                wire.sendCommand("DATA");
                wire.writeText("Message-ID: <p>\r\nX-Message-Class: payment\r\n\r\npay\r\n.\r\n");
                awaitCounter("entries_held", "1");
            }
            left.countDown();
            awaitCounter("entries_reports_owed", "1");
            assertTrue(log.lineWith("no route for report-").startsWith("no route"), log.lineWith("no route"));
            forwarder.stop();
            serve(partnerRoute + "," + route("clinics.test", 1_000_002, clinic), "status");
            assertTrue(Peer.take(reports).contains("Message-ID: <p>"));
        }
    }

    /** Guards against a client that heard 250 and no report, as another one of the same mail heard the end. */
    @Test
    void reportIsOwedThoughAnotherClientHearsTheEndInItsReply() throws Exception {
        CountDownLatch bothHaveSent = new CountDownLatch(1);
        try (Peer slowPartner = refusingPartner(bothHaveSent)) {
            serve(
                    route("frames.test", 1_000_001, slowPartner) + "," + route("clinics.test", 1_000_002, clinic),
                    "status");
            handInAndHear250("p");
            try (Wire wire = Wire.connect(smtp)) {
                wire.readReply();
                wire.sendCommand("EHLO client");
                wire.sendCommand("MAIL FROM:<pay@elsewhere.test>");
                wire.sendCommand("RCPT TO:<desk@frames.test>");
                wire.sendCommand("DATA");
                wire.writeText("Message-ID: <p>\r\nX-Message-Class: payment\r\n\r\npay\r\n.\r\n");
                awaitCounter("handed_in", "2");
                bothHaveSent.countDown();
                assertEquals("550 5.2.1 takes no payments", wire.readReply());
            }
            assertTrue(Peer.take(reports).contains("Message-ID: <p>"));
        }
    }

    /** Guards against a failure that is hidden behind the 250 for another recipient of the same mail. */
    @Test
    void oneReplyTellsThatNotAllRecipientsWereServed() throws Exception {
        serve();
        try (Wire wire = Wire.connect(smtp)) {
            wire.readReply();
            wire.sendCommand("EHLO client");
            wire.sendCommand("MAIL FROM:<pay@elsewhere.test>");
            wire.sendCommand("RCPT TO:<till@clinics.test>");
            wire.sendCommand("RCPT TO:<desk@frames.test>");
            wire.sendCommand("DATA");
            wire.writeText("Message-ID: <p>\r\nX-Message-Class: payment\r\n\r\npay\r\n.\r\n");
            assertEquals(
                    "554 5.3.0 delivered, but not to all: <desk@frames.test> 5.2.1 takes no payments",
                    wire.readReply());
        }
    }

    /** Guards against reports that never get into a journal full of the mails that they are about. */
    @Test
    void failuresAreReportedWhereTheirMailsFillTheJournal() throws Exception {
        CountDownLatch full = new CountDownLatch(1);
        Peer slowPartner = refusingPartner(full);
        try (slowPartner) {
            Config config = Config.parse(ForwarderSetup.configText(platform.address(), state, null, 0.5), Map.of());
            forwarder = Forwarder.start(
                    config,
                    config.parseMail(
                            ForwarderSetup.MAIL_CONFIG_TEMPLATE.formatted(route("frames.test", 1_000_001, slowPartner)
                                    + "," + route("clinics.test", 1_000_002, clinic))));
            http = forwarder.addresses().get(0);
            smtp = forwarder.addresses().get(1);
            int taken = 0;
            for (int rows = 512; rows > 0; rows /= 2) {
                taken += fillJournal(taken, rows);
            }
            full.countDown();
            Set<String> told = new HashSet<>();
            while (told.size() < taken) {
                told.add(messageId(Peer.take(reports)));
            }
            awaitCounter("entries_owed", "0");
        }
    }

    /** Hands in payments with contents of so many rows until one is turned away; returns how many were taken on. */
    private int fillJournal(int firstNumber, int rows) throws IOException {
        int taken = 0;
        try (Wire wire = Wire.connect(smtp)) {
            wire.readReply();
            wire.sendCommand("EHLO client");
            while (true) {
                wire.sendCommand("MAIL FROM:<pay@clinics.test>");
                wire.sendCommand("RCPT TO:<desk@frames.test>");
                wire.sendCommand("DATA");
                wire.writeText("Message-ID: <p" + (firstNumber + taken) + ">\r\nX-Message-Class: payment\r\n\r\n"
                        + ("x".repeat(CONTENT_ROW_CHARS) + "\r\n").repeat(rows) + ".\r\n");
                if (!wire.readReply().startsWith("250")) {
                    return taken;
                }
                taken++;
            }
        }
    }

    /** Guards against a report that an earlier version has submitted as a mail, and that is dropped with its class. */
    @Test
    void reportOfAnEarlierVersionIsOwedFromNowOn() throws Exception {
        Config config = Config.parse(configText(), Map.of());
        ClassVersion status =
                new ClassVersion(1, "status", config.settings().classes().get(1));
        String mail = "\npay@clinics.test\nMessage-ID: <report-smtp-a-0@mx.test>\r\n\r\nfailed";
        String identity = "report smtp-a-0";
        Submission report = new Submission(
                "smtp-a-1",
                identity,
                status,
                1_000_002,
                identity,
                mail.getBytes(StandardCharsets.ISO_8859_1),
                false,
                false,
                1_000_000);
        JournalClocks clocks = new JournalClocks(Core::monotonicMicros, Core::wallMicros, BootClock.UNKNOWN);
        try (SegmentedJournal journal = new SegmentedJournal(
                FolderDisk.lock(state), 3 << 20, Durability.NONE, clocks, new SplittableRandom(1))) {
            assertTrue(journal.recordAccepted("smtp", report, Core.wallMicros(), Core.wallMicros()));
        }
        absence = Absence.REFUSES_THE_CONTENT;
        serve();
        awaitFailedRounds();
        absence = null;
        assertTrue(Peer.take(reports).contains("Message-ID: <report-smtp-a-0@mx.test>"));
        awaitCounter("entries_owed", "0");
    }
}
