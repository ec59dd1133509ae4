package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the mail front between scripted clients and servers of SMTP and LMTP. */
class MailTest {
    /** More than the socket buffers hold, and less than the largest record of the journal. */
    private static final int LONG_CONTENT_ROWS = 4_400;

    @TempDir
    private Path state;

    private final LinkedBlockingQueue<String> mails = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private Peer platform;
    private Forwarder forwarder;
    private SocketAddress http, smtp, lmtp;

    @BeforeEach
    void startPlatform() throws IOException {
        platform = Peer.platform("", notices);
    }

    @AfterEach
    void stop() throws IOException {
        forwarder.stop();
        platform.close();
    }

    private static String route(String domain, int number, String protocol, String address) {
        return "{\"domain\":\"" + domain + "\",\"destination\":" + (1_000_000 + number) + ",\"protocol\":\"" + protocol
                + "\",\"addresses\":[\"" + address + "\"]}";
    }

    private void serve(String... routes) throws Exception {
        serve(300, routes);
    }

    private void serve(int idleSeconds, String... routes) throws Exception {
        Config config = ForwarderSetup.config(platform.address(), state, null);
        forwarder = Forwarder.start(
                config,
                config.parseMail(ForwarderSetup.MAIL_CONFIG_TEMPLATE
                        .formatted(String.join(",", routes))
                        .replace("{\"hostName\"", "{\"idleSeconds\": " + idleSeconds + ", \"hostName\"")));
        http = forwarder.addresses().get(0);
        smtp = forwarder.addresses().get(1);
        lmtp = forwarder.addresses().get(2);
    }

    /** How the stand-in server replies to a recipient or to a content; null drops the connection. */
    interface ReplyScript {
        String reply(String text) throws IOException, InterruptedException;
    }

    /** A stand-in server for both protocols that announces its extensions and reads complete contents. */
    private Peer server(ReplyScript recipient, ReplyScript content) throws IOException {
        return new Peer(wire -> {
            wire.writeText("220 stand-in\r\n");
            for (String line = wire.readLine(); line != null; line = wire.readLine()) {
                String reply = "250 2.0.0 good";
                if (line.startsWith("EHLO") || line.startsWith("LHLO")) {
                    reply = "250-stand-in\r\n250-PIPELINING\r\n250 SIZE 100000";
                } else if (line.startsWith("RCPT")) {
                    reply = recipient.reply(line);
                } else if (line.equals("DATA")) {
                    wire.writeText("354 go on\r\n");
                    StringBuilder text = new StringBuilder();
                    for (String row = wire.readLine(); !row.equals("."); row = wire.readLine()) {
                        text.append(row).append('\n');
                    }
                    reply = content.reply(text.toString());
                }
                if (reply == null) {
                    return;
                }
                wire.writeText(reply + "\r\n");
            }
        });
    }

    private Peer acceptingServer() throws IOException {
        return server(r -> "250 2.1.5 good", text -> {
            mails.add(text);
            return "250 2.0.0 kept";
        });
    }

    private static void greet(Wire wire, String greeting) throws IOException {
        assertTrue(wire.readReply().startsWith("220"));
        assertTrue(wire.sendCommand(greeting + " client").startsWith("250"));
    }

    /** Sends one mail with its commands pipelined, and returns the first reply to its content. */
    private static List<String> send(Wire wire, String from, String content, String... to) throws IOException {
        StringBuilder commands = new StringBuilder("MAIL FROM:<" + from + ">\r\n");
        for (String each : to) {
            commands.append("RCPT TO:<").append(each).append(">\r\n");
        }
        wire.writeText(commands + "DATA\r\n");
        for (int i = 0; i <= to.length; i++) {
            assertTrue(wire.readReply().startsWith("250"));
        }
        assertTrue(wire.readReply().startsWith("354"));
        wire.writeText(content + "\r\n.\r\n");
        return new ArrayList<>(List.of(wire.readReply()));
    }

    private static String payment(String id) {
        return "Message-ID: <" + id + ">\r\nX-Message-Class: payment\r\n\r\npay";
    }

    /**
     * The server drops the connection once it has the whole payment, which may thus have run: it is never sent again,
     * and its client always gets a reply.
     */
    @Test
    void droppedConnectionsAfterTheEndOfDataRepeatNoPayment() throws Exception {
        int lanes = 8;
        int paymentsPerLane = 125;
        Map<String, AtomicInteger> deliveriesById = new ConcurrentHashMap<>();
        AtomicInteger drops = new AtomicInteger();
        try (Peer server = server(r -> "250 good", text -> {
            String id = text.replaceAll("(?s).*Message-ID: <(.*?)>.*", "$1");
            deliveriesById.computeIfAbsent(id, x -> new AtomicInteger()).incrementAndGet();
            if (id.startsWith("drop")) {
                drops.incrementAndGet();
                return null;
            }
            return "250 2.0.0 kept";
        })) {
            String[] routes = new String[lanes];
            for (int i = 0; i < lanes; i++) {
                routes[i] = route("lane" + i + ".test", i, "lmtp", server.address());
            }
            serve(routes);
            ExecutorService clients = Executors.newFixedThreadPool(lanes);
            List<Future<Integer>> answered = new ArrayList<>();
            for (int lane = 0; lane < lanes; lane++) {
                String to = "till@lane" + lane + ".test";
                Callable<Integer> client = () -> {
                    int answers = 0;
                    try (Wire wire = Wire.connect(lmtp)) {
                        greet(wire, "LHLO");
                        for (int i = 0; i < paymentsPerLane; i++) {
                            // A delivered payment after each dropped one keeps the server from being considered down.
                            for (String idPrefix : new String[] {"drop", "keep"}) {
                                String content = payment(idPrefix + i + to);
                                String first =
                                        send(wire, "a@b.test", content, to).get(0);
                                assertTrue(first.startsWith(idPrefix.equals("drop") ? "554 5.4.0" : "250"), first);
                                assertEquals(
                                        first,
                                        send(wire, "a@b.test", content, to).get(0),
                                        "the reply to its resubmission");
                                answers += 2;
                            }
                        }
                    }
                    return answers;
                };
                answered.add(clients.submit(client));
            }
            int answers = 0;
            for (Future<Integer> f : answered) {
                answers += f.get();
            }
            clients.shutdown();
            assertEquals(4 * lanes * paymentsPerLane, answers);
            assertEquals(1000, drops.get());
            assertEquals(2000, deliveriesById.size());
            assertTrue(deliveriesById.values().stream().allMatch(n -> n.get() == 1), "each payment was delivered once");
        }
    }

    /** Guards against a front that keeps the classes of its start past a reload that tightens one. */
    @Test
    void tightenedClassHoldsForLaterMails() throws Exception {
        AtomicInteger deliveries = new AtomicInteger();
        try (Peer server = server(r -> "250 good", text -> {
            deliveries.incrementAndGet();
            return null;
        })) {
            serve(route("a.test", 0, "lmtp", server.address()));
            Path file = Files.writeString(
                    state.resolve("config.json"),
                    ForwarderSetup.configText(platform.address(), state, null, 3)
                            .replace("read_like", "non_idempotent"));
            forwarder.reload(Map.of("ROUTER_CONFIG", file.toString()));
            try (Wire client = Wire.connect(lmtp)) {
                greet(client, "LHLO");
                String content = payment("once").replace("X-Message-Class: payment", "X-Message-Class: status");
                String reply = send(client, "a@b.test", content, "till@a.test").get(0);
                assertTrue(reply.startsWith("554 5.4.0"), reply);
                assertEquals(1, deliveries.get());
            }
        }
    }

    /** The reply to the recipient comes again after the content, and was taken for the content's own, a refusal. */
    @Test
    void mailIsNotLostWhenTheReplyToItsRecipientIsRepeated() throws Exception {
        try (Peer server = server(r -> "250 2.1.5 good", text -> "250 2.1.5 good\r\n452 4.3.1 no room")) {
            serve(route("a.test", 0, "lmtp", server.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                String reply = send(wire, "a@b.test", payment("repeated"), "till@a.test")
                        .get(0);
                assertTrue(reply.startsWith("554"), reply);
            }
        }
    }

    /** A server's rejection that was cut counted as a reset, and the mail was sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"550", "550 5.7.1 not he", "550-5.7.1 not here\r\n"})
    void mailIsNotSentAgainAfterARejectionThatWasCut(String part) throws Exception {
        AtomicInteger contentCount = new AtomicInteger();
        Peer server = new Peer(wire -> {
            wire.writeText("220 stand-in\r\n");
            for (String line = wire.readLine(); line != null; line = wire.readLine()) {
                wire.writeText(line.equals("DATA") ? "354 go on\r\n" : "250 good\r\n");
                while (line.equals("DATA")) {
                    if (".".equals(wire.readLine())) {
                        contentCount.incrementAndGet();
                        wire.writeText(part);
                        Thread.sleep(100); // read before the connection ends
                        return;
                    }
                }
            }
        });
        try (server) {
            serve(route("a.test", 1, "lmtp", server.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                String reply = send(wire, "", payment("x").replace("payment", "status"), "till@a.test")
                        .get(0);
                assertTrue(reply.startsWith("550"), reply);
                assertEquals(1, contentCount.get());
            }
        }
    }

    @Test
    void eachLmtpRecipientGetsItsOwnFinalReplyInOrder() throws Exception {
        try (Peer server = server(r -> r.contains("bad@") ? "550 5.1.1 nobody" : "250 good", t -> "250 2.0.0 kept")) {
            serve(route("a.test", 1, "lmtp", server.address()), route("b.test", 2, "smtp", server.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                List<String> replies = send(wire, "", payment("x"), "good@a.test", "bad@a.test", "good@b.test");
                replies.add(wire.readReply());
                replies.add(wire.readReply());
                assertEquals(List.of("250 2.1.5 delivered", "550 5.1.1 nobody", "250 2.1.5 delivered"), replies);
            }
        }
    }

    @Test
    void paymentIsRetriedAfterADropBeforeTheEndOfDataOrA4xxReply() throws Exception {
        AtomicInteger attemptCount = new AtomicInteger();
        try (Peer server = server(
                r -> attemptCount.incrementAndGet() == 1 ? null : "250 good",
                t -> attemptCount.get() == 2 ? "451 4.3.0 later" : "250 2.0.0 kept")) {
            serve(route("a.test", 1, "smtp", server.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                assertTrue(send(wire, "", payment("x"), "till@a.test").get(0).startsWith("250"));
                assertEquals(3, attemptCount.get());
            }
        }
    }

    @Test
    void failureAfterSmtpAcceptanceIsReportedOnceToTheReversePath() throws Exception {
        try (Peer bad = server(r -> "550 5.1.1 nobody here", t -> "250 kept");
                Peer good = acceptingServer()) {
            serve(route("bad.test", 1, "lmtp", bad.address()), route("sender.test", 2, "smtp", good.address()));
            try (Wire wire = Wire.connect(smtp)) {
                greet(wire, "EHLO");
                assertEquals(
                        "250 2.0.0 taken on",
                        send(wire, "", payment("n"), "x@bad.test").get(0));
                assertEquals(
                        "250 2.0.0 taken on",
                        send(wire, "me@sender.test", payment("m"), "x@bad.test").get(0));
                String report = Peer.take(mails);
                for (String part : List.of(
                        "To: <me@sender.test>",
                        "report-type=delivery-status",
                        "Status: 5.1.1",
                        "Final-Recipient: rfc822; x@bad.test",
                        "Diagnostic-Code: smtp; 550 5.1.1 nobody here",
                        "Message-ID: <m>")) {
                    assertTrue(report.contains(part), part + " in " + report);
                }
                assertTrue(
                        send(wire, "me@sender.test", payment("m"), "x@bad.test")
                                .get(0)
                                .startsWith("550 5.1.1"),
                        "its resubmission gets the final status");
                assertTrue(send(wire, "me@sender.test", payment("o"), "y@sender.test")
                        .get(0)
                        .startsWith("250"));
                assertTrue(Peer.take(mails).contains("Message-ID: <o>"), "no other report was sent in between");
            }
        }
    }

    /** A server stood still within the content: its call was given up as never sent, and the close wrote the rest. */
    @Test
    void restOfAContentIsNotWrittenAfterItsCallIsGivenUp() throws Exception {
        CountDownLatch reported = new CountDownLatch(1);
        LinkedBlockingQueue<Boolean> contentEnds = new LinkedBlockingQueue<>();
        Peer standingStill = new Peer(wire -> {
            wire.writeText("220 stand-in\r\n");
            wire.readLine();
            wire.writeText("250 stand-in\r\n");
            for (String command = ""; !command.equals("DATA"); ) {
                command = wire.readLine();
                wire.writeText(command.equals("DATA") ? "354 go on\r\n" : "250 good\r\n");
            }
            await(reported);
            String line = "";
            try {
                while (line != null && !line.equals(".")) {
                    line = wire.readLine();
                }
            } catch (IOException e) {
                line = null;
            }
            contentEnds.add(line != null);
        });
        try (Peer server = standingStill) {
            String config = ForwarderSetup.configText(platform.address(), state, null, 200)
                    .replace("\"deadlineS\": 6", "\"deadlineS\": 1.5");
            Config parsed = Config.parse(config, Map.of());
            forwarder = Forwarder.start(
                    parsed,
                    parsed.parseMail(ForwarderSetup.MAIL_CONFIG_TEMPLATE
                            .formatted(route("lab.test", 1, "smtp", server.address()))
                            .replace("{\"hostName\"", "{\"mostBytes\": 20000000, \"hostName\"")));
            lmtp = forwarder.addresses().get(2);
            try (Wire client = Wire.connect(lmtp)) {
                greet(client, "LHLO");
                String row = "x".repeat(900) + "\r\n";
                List<String> replies = send(
                        client,
                        "a@b.test",
                        "X-Message-Class: status\r\n\r\n" + row.repeat(LONG_CONTENT_ROWS),
                        "c@lab.test");
                assertTrue(replies.get(0).startsWith("451"), replies.get(0));
                reported.countDown();
                assertEquals(false, contentEnds.poll(20, TimeUnit.SECONDS), "the content does not come to its end");
            }
        }
    }

    /** The server accepts the whole content and never replies: the mail is sent again only if its class allows it. */
    @ParameterizedTest
    @CsvSource({"payment, 1, 554 5.4.0", "unheard-of, 1, 554 5.4.0", "order, 2, 250 2.1.5", "status, 2, 250 2.1.5"})
    void unansweredEndOfDataIsRetriedOnlyIfTheClassAllowsIt(String messageClass, int attempts, String answer)
            throws Exception {
        AtomicInteger attemptCount = new AtomicInteger();
        CountDownLatch never = new CountDownLatch(1);
        try (Peer server = server(r -> "250 good", text -> {
            if (attemptCount.incrementAndGet() == 1) {
                await(never);
            }
            return "250 2.0.0 kept";
        })) {
            serve(route("a.test", 1, "lmtp", server.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                String reply = send(wire, "", payment("x").replace("payment", messageClass), "till@a.test")
                        .get(0);
                assertTrue(reply.startsWith(answer), reply);
                assertEquals(attempts, attemptCount.get());
            }
        } finally {
            never.countDown();
        }
    }

    /** An order that may have run was refused after its repeat window, and ran again when it came again. */
    @Test
    void orderThatMayHaveRunIsNotRefused() throws Exception {
        AtomicInteger attemptCount = new AtomicInteger();
        CountDownLatch never = new CountDownLatch(1);
        try (Peer server = server(r -> "250 good", text -> {
            attemptCount.incrementAndGet();
            await(never);
            return null;
        })) {
            serve(route("a.test", 1, "lmtp", server.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                String order = payment("x").replace("payment", "order");
                String reply = send(wire, "", order, "till@a.test").get(0);
                assertTrue(reply.startsWith("554 5.4.0"), reply);
                int attempts = attemptCount.get();
                String again = send(wire, "", order, "till@a.test").get(0);
                assertTrue(again.startsWith("554 5.4.0"), again);
                assertEquals(attempts, attemptCount.get());
            }
        } finally {
            never.countDown();
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void mailAcceptedOverSmtpSurvivesARestart() throws Exception {
        AtomicInteger processRun = new AtomicInteger();
        try (Peer server = server(r -> processRun.get() == 0 ? "450 4.2.1 not\rnow" : "250 good", text -> {
            mails.add(text);
            return "250 2.0.0 kept";
        })) {
            String route = route("a.test", 1, "smtp", server.address());
            serve(route);
            try (Wire wire = Wire.connect(smtp)) {
                greet(wire, "EHLO");
                assertEquals(
                        "250 2.0.0 taken on",
                        send(wire, "", payment("x"), "till@a.test").get(0));
            }
            forwarder.stop();
            processRun.set(1);
            serve(route);
            assertTrue(Peer.take(mails).contains("Message-ID: <x>"));
        }
    }

    /** Guards against held mail that goes to another domain's servers as the mail file has given them its number. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 3"})
    void mailStaysWithItsDomainWhenNumbersChangeOverARestart(int ownNumber, int otherNumber) throws Exception {
        AtomicInteger processRun = new AtomicInteger();
        LinkedBlockingQueue<String> misdirected = new LinkedBlockingQueue<>();
        try (Peer server = server(r -> processRun.get() == 0 ? "450 4.2.1 not now" : "250 good", text -> {
                    mails.add(text);
                    return "250 2.0.0 kept";
                });
                Peer other = server(r -> "250 good", text -> {
                    misdirected.add(text);
                    return "250 2.0.0 kept";
                })) {
            serve(route("a.test", 1, "smtp", server.address()), route("b.test", 2, "smtp", other.address()));
            try (Wire wire = Wire.connect(smtp)) {
                greet(wire, "EHLO");
                assertEquals(
                        "250 2.0.0 taken on",
                        send(wire, "", payment("x"), "till@a.test").get(0));
            }
            forwarder.stop();
            processRun.set(1);
            serve(
                    route("b.test", otherNumber, "smtp", other.address()),
                    route("a.test", ownNumber, "smtp", server.address()));
            assertTrue(Peer.take(mails).contains("Message-ID: <x>"));
            assertEquals(List.of(), List.copyOf(misdirected));
        }
    }

    /** Guards against held mail that never ends, or goes elsewhere, where the mail file has lost its domain's route. */
    @Test
    void mailWhoseDomainHasLostItsRouteIsReportedAtItsDeadline() throws Exception {
        try (Peer server = server(r -> "450 4.2.1 not now", text -> "250 2.0.0 kept");
                Peer sender = acceptingServer()) {
            serve(route("a.test", 1, "smtp", server.address()), route("b.test", 2, "smtp", sender.address()));
            try (Wire wire = Wire.connect(smtp)) {
                greet(wire, "EHLO");
                String status = "Message-ID: <x>\r\nX-Message-Class: status\r\n\r\nready";
                assertEquals(
                        "250 2.0.0 taken on",
                        send(wire, "clerk@b.test", status, "till@a.test").get(0));
            }
            forwarder.stop();
            serve(route("b.test", 1, "smtp", sender.address()));
            String report = Peer.take(mails);
            assertTrue(report.contains("Final-Recipient: rfc822; till@a.test"), report);
            assertEquals(List.of(), List.copyOf(mails), "the mail itself went to no other domain");
        }
    }

    @Test
    void messageWithoutAMailEnvelopeForAMailDestinationIsUndeliverable() throws Exception {
        try (Peer good = acceptingServer()) {
            serve(route("a.test", 1, "smtp", good.address()));
            try (Wire client = Wire.connect(http)) {
                assertTrue(
                        client.submit("a", "payment", 1_000_001, 20, "no mail").startsWith("202"));
                assertEquals("{\"id\":\"a\",\"status\":\"undeliverable\"}", Peer.take(notices));
            }
        }
    }

    @Test
    void smtpServerFollowsTheProtocol() throws Exception {
        try (Peer good = acceptingServer()) {
            serve(route("a.test", 1, "smtp", good.address()));
            try (Wire wire = Wire.connect(smtp)) {
                assertTrue(wire.readReply().startsWith("220 mx.test ESMTP"));
                String[][] commands = {
                    {"MAIL FROM:<a@b>", "503 5.5.1"},
                    {"LHLO x", "500 5.5.1"},
                    {"EHLO x", "250 ENH"},
                    {"RCPT TO:<x@a.test>", "503 5.5.1"},
                    {"MAIL FROM:<a@b> SIZE=99999999", "552 5.3.4"},
                    {"MAIL FROM:a", "501 5.5.4"},
                    {"MAIL FROM:<a@b> SIZE=10 BODY=8BITMIME", "250 2.1.0"},
                    {"DATA", "503 5.5.1"},
                    {"RCPT TO:<x@nowhere.test>", "550 5.1.2"},
                    {"NOPE", "500 5.5.1"},
                    {"NOOP\nRSET", "500 5.5.2"},
                    {"RCPT TO:<x@a.test>", "250 2.1.5"},
                    {"RSET", "250 2.0.0"},
                    {"DATA", "503 5.5.1"},
                    {"VRFY x", "252 2.1.5"}
                };
                for (String[] exchange : commands) {
                    String reply = wire.sendCommand(exchange[0]);
                    assertTrue(reply.startsWith(exchange[1]), exchange[0] + " gave " + reply);
                }
                assertTrue(send(wire, "", "a\n.\nMAIL FROM:<smuggled>", "x@a.test")
                        .get(0)
                        .startsWith("550 5.6.0"));
                assertTrue(send(wire, "", "x".repeat(70_000).replaceAll("(.{900})", "$1\r\n"), "x@a.test")
                        .get(0)
                        .startsWith("552 5.3.4"));
                assertTrue(send(wire, "", "S: s\r\n\r\n..dot\r\n...\r\nend", "x@a.test")
                        .get(0)
                        .startsWith("250"));
                assertTrue(
                        Peer.take(mails).endsWith("S: s\n\n..dot\n...\nend\n"),
                        "leading dots are stuffed and unstuffed");
                assertTrue(wire.sendCommand("QUIT").startsWith("221 2.0.0"));
                assertEquals(null, wire.readLine());
            }
        }
    }

    /**
     * Endless commands without a mail, a content that is far too long or too slow, and commands while a reply is
     * pending.
     */
    @ParameterizedTest
    @CsvSource({
        "300, , NOOP, 1000, 0, ",
        "300, DATA, x, 200000, 0, ",
        "1, DATA, x, 40, 200, 421 4.4.2 the mail",
        "300, ., NOOP, 100000, 0, "
    })
    void clientThatSendsWithoutEndIsDisconnected(
            int idleSeconds, String lastCommand, String line, int lineCount, int pauseMillis, String lastReply)
            throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (Peer slow = server(r -> "250 good", t -> answer.await(60, TimeUnit.SECONDS) ? "250 late" : "250 later")) {
            serve(idleSeconds, route("a.test", 1, "smtp", slow.address()));
            try (Wire wire = Wire.connect(lmtp)) {
                greet(wire, "LHLO");
                wire.writeText(lastCommand == null ? "" : "MAIL FROM:<a@b>\r\nRCPT TO:<x@a.test>\r\nDATA\r\n");
                if (".".equals(lastCommand)) {
                    wire.writeText("\r\nx\r\n.\r\n");
                }
                String received = "";
                try {
                    for (int i = 0; i < lineCount; i += pauseMillis == 0 ? 100 : 1) {
                        wire.writeText((line + "\r\n").repeat(pauseMillis == 0 ? 100 : 1));
                        Thread.sleep(pauseMillis);
                    }
                } catch (SocketException e) {
                    // closed meanwhile: its last reply is read below
                }
                try {
                    for (String reply = wire.readLine(); reply != null; reply = wire.readLine()) {
                        received = reply;
                    }
                } catch (SocketException e) {
                    // a reset ends the replies too
                }
                assertTrue(lastReply == null || received.startsWith(lastReply), received);
            } finally {
                answer.countDown();
            }
        }
    }
}
