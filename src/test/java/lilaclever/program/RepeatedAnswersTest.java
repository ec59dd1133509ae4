package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Peers that write an answer again, or clients whose request arrives again; real processes. */
class RepeatedAnswersTest extends RealProcessFixture {
    private static final int SERVICE_MILLIS = 80;
    /** Rests after which a connection may be in use again, up to the longest delay of a repeated answer. */
    private static final int LONG_REST_MILLIS = 900;

    /** The longest delay of a repeated answer. */
    private static final long MAX_REPEAT_NANOS = 500_000_000;

    /** The first message's 200 comes again just after the second call, whose own answer is a refusal: it was lost. */
    @ParameterizedTest
    @ValueSource(ints = {0, LONG_REST_MILLIS})
    void messageIsNotLostWhenThePreviousAnswerIsRepeated(int restMillis) throws Exception {
        Peer endpointScript = new Peer(wire -> {
            int requests = 0;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                boolean refuses = ++requests > 1 && r.headers().get("req-id").startsWith("second");
                if (refuses) {
                    wire.writeResponse("200 OK", "");
                }
                Thread.sleep(SERVICE_MILLIS);
                if (refuses) {
                    wire.writeResponse("503 Service Unavailable", "");
                } else {
                    run(r);
                    wire.writeResponse("200 OK", "");
                }
            }
        });
        try (Peer endpoint = endpointScript;
                Peer platform = Peer.platform("", notices)) {
            startProcess(platform, endpoint);
            for (String messageClass : List.of("status", "order", "payment")) {
                String first = "first-" + messageClass;
                submit(first, messageClass);
                awaitRun(first);
                Thread.sleep(restMillis);
                submit("second-" + messageClass, messageClass);
            }
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            for (String id : List.of("second-status", "second-order", "second-payment")) {
                assertTrue(runsOf(id) > 0 || hasNotice(id), id + " has neither been delivered nor ended by a notice");
            }
        }
    }

    /** The first message's 200 comes again just after the second call, which hangs: silence follows, and it is lost. */
    @Test
    void messageIsNotLostWhenTheFirstRepeatedAnswerIsForACallThatHangs() throws Exception {
        Peer endpointScript = new Peer(wire -> {
            long answeredNanos = System.nanoTime() - MAX_REPEAT_NANOS;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (System.nanoTime() - answeredNanos < MAX_REPEAT_NANOS) {
                    wire.writeResponse("200 OK", "");
                    wire.readWithoutAnswering();
                    return;
                }
                run(r);
                wire.writeResponse("200 OK", "");
                answeredNanos = System.nanoTime();
            }
        });
        try (Peer endpoint = endpointScript;
                Peer platform = Peer.platform("", notices)) {
            startProcess(platform, endpoint);
            submit("first", "status");
            awaitRun("first");
            submit("second", "status");
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            assertTrue(
                    runsOf("second") > 0 || hasNotice("second"),
                    "second has neither been delivered nor ended by a notice");
        }
    }

    /** The refusal of the first payment comes again just after the second was written, which then ran twice. */
    @ParameterizedTest
    @ValueSource(ints = {0, LONG_REST_MILLIS})
    void paymentDoesNotRunTwiceWhenARefusalIsRepeated(int restMillis) throws Exception {
        List<String> copies = new CopyOnWriteArrayList<>();
        Peer endpointScript = new Peer(wire -> {
            int requests = 0;
            long answeredNanos = 0;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                boolean runs = ++requests > 1;
                if (runs) {
                    wire.writeResponse("503 Service Unavailable", "");
                    long ageMillis = (System.nanoTime() - answeredNanos) / 1_000_000;
                    copies.add(r.headers().get("req-id") + " got a copy " + ageMillis + " ms after the answer before");
                    run(r);
                }
                Thread.sleep(SERVICE_MILLIS);
                wire.writeResponse(runs ? "200 OK" : "503 Service Unavailable", "");
                answeredNanos = System.nanoTime();
                if (!runs) {
                    Thread.sleep(restMillis);
                }
            }
        });
        try (Peer endpoint = endpointScript;
                Peer platform = Peer.platform("", notices)) {
            startProcess(platform, endpoint);
            for (int i = 0; i < 6; i++) {
                submit("payment-" + i, "payment");
                Thread.sleep(SERVICE_MILLIS + restMillis / 2);
            }
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            for (int i = 0; i < 6; i++) {
                String id = "payment-" + i;
                assertTrue(runsOf(id) <= 1, id + " ran " + runsOf(id) + " times: " + copies + logLines);
                assertTrue(runsOf(id) > 0 || hasNotice(id), id + " has neither been delivered nor ended by a notice");
            }
        }
    }

    /** A wait in an answer that came behind a repeated one was dropped with it, and the next call broke it. */
    @Test
    void waitIsKeptWhereItsAnswerCameBehindARepeatedOne() throws Exception {
        List<String> calledDuringWait = new CopyOnWriteArrayList<>();
        AtomicLong waitEndNanos = new AtomicLong();
        Peer endpointScript = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                String id = r.headers().get("req-id");
                if (id.equals("second") && waitEndNanos.get() == 0) {
                    waitEndNanos.set(System.nanoTime() + 2_000_000_000L);
                    wire.writeResponse("200 OK", "");
                    Thread.sleep(SERVICE_MILLIS);
                    wire.writeResponse("429 Too Many Requests", "", "X-Retry-In-Ms: 2000");
                } else {
                    if (System.nanoTime() < waitEndNanos.get()) {
                        calledDuringWait.add(id);
                    }
                    run(r);
                    wire.writeResponse("200 OK", "");
                }
            }
        });
        try (Peer endpoint = endpointScript;
                Peer platform = Peer.platform("", notices)) {
            startProcess(platform, endpoint);
            submit("first", "payment");
            awaitRun("first");
            submit("second", "payment");
            Thread.sleep(3 * SERVICE_MILLIS);
            submit("third", "payment");
            awaitRun("third");
            assertEquals(List.of(), calledDuringWait);
        }
    }

    /** A copy for a call that hangs is believed, unless no connection is used soon after an answer. */
    @Test
    void connectionsRestOnceAnyEndpointHasRepeatedAnAnswer() throws Exception {
        AtomicInteger reusedEarly = new AtomicInteger();
        Peer repeating = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                run(r);
                wire.writeResponse("200 OK", "");
                Thread.sleep(SERVICE_MILLIS);
                wire.writeResponse("200 OK", "");
            }
        });
        Peer plain = new Peer(wire -> {
            long answeredNanos = System.nanoTime() - 10_000_000_000L;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (System.nanoTime() - answeredNanos < 500_000_000L) {
                    reusedEarly.incrementAndGet();
                }
                run(r);
                wire.writeResponse("200 OK", "");
                answeredNanos = System.nanoTime();
            }
        });
        AtomicReference<String> list = new AtomicReference<>();
        try (Peer first = repeating;
                Peer second = plain;
                Peer platform = Peer.platform(list::get, notices)) {
            String entry = ForwarderSetup.endpointList(second.address())
                    .replaceAll(".*\\[(.*)].*", "$1")
                    .replace("e1", "e2")
                    .replace("\"group\":7", "\"group\":8");
            list.set(ForwarderSetup.endpointList(first.address()).replace("}]}", "}," + entry + "]}"));
            startProcess(ForwarderSetup.configText(platform.address(), state, first.address(), 3)
                    .replaceAll("\"known\": .*\\]\\},", "\"known\": " + list.get() + ","));
            submit("evidence", "payment");
            awaitRun("evidence");
            Thread.sleep(3 * SERVICE_MILLIS);
            for (int i = 0; i < 5; i++) {
                try (Wire client = Wire.connect(address)) {
                    assertTrue(client.submit("other-" + i, "payment", 8, DEADLINE_SECONDS, "")
                            .startsWith("202"));
                }
                awaitRun("other-" + i);
            }
            assertEquals(0, reusedEarly.get());
        }
    }

    /** The 204 of an earlier notice comes again for one that is dropped and never answered: silence follows. */
    @Test
    void noticeIsNotLostWhenItIsDroppedBehindARepeatedConfirmation() throws Exception {
        Peer platformScript = new Peer(wire -> {
            long answeredNanos = System.nanoTime() - MAX_REPEAT_NANOS;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path().equals("/status")) {
                    if (System.nanoTime() - answeredNanos >= MAX_REPEAT_NANOS) {
                        r.body().lines().forEach(notices::add);
                    }
                    wire.writeResponse("204 No Content", ""); // else the one before again, and no other
                    answeredNanos = System.nanoTime();
                } else if (!r.path().contains("?")) {
                    wire.writeResponse("200 OK", ForwarderSetup.knownList());
                }
            }
        });
        Peer failing = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                wire.writeResponse("500 Internal Server Error", "", "Connection: close");
            }
        });
        try (Peer endpoint = failing;
                Peer platform = platformScript) {
            startProcess(platform, endpoint);
            for (int i = 0; i < 4; i++) {
                submit("notice-" + i, "payment");
                Thread.sleep(SERVICE_MILLIS); // a repeated answer may be later
            }
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            for (int i = 0; i < 4; i++) {
                assertTrue(hasNotice("notice-" + i), "no notice of notice-" + i);
            }
        }
    }

    /** The 204 of an earlier notice comes again, and was taken for that of a notice that the platform never read. */
    @ParameterizedTest
    @ValueSource(ints = {0, LONG_REST_MILLIS})
    void noticeIsNotLostWhenAnEarlierConfirmationIsRepeated(int restMillis) throws Exception {
        Peer platformScript = new Peer(wire -> {
            int noticeRequests = 0;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path().equals("/status")) {
                    boolean drops = ++noticeRequests > 1;
                    wire.writeResponse("204 No Content", "");
                    if (drops) {
                        Thread.sleep(SERVICE_MILLIS);
                        return;
                    }
                    r.body().lines().forEach(notices::add);
                } else if (!r.path().contains("?")) {
                    wire.writeResponse("200 OK", ForwarderSetup.knownList());
                }
            }
        });
        Peer failing = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                wire.writeResponse("500 Internal Server Error", "");
            }
        });
        try (Peer endpoint = failing;
                Peer platform = platformScript) {
            startProcess(platform, endpoint);
            for (int i = 0; i < 4; i++) {
                submit("notice-" + i, "payment");
                Thread.sleep(restMillis);
            }
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            for (int i = 0; i < 4; i++) {
                assertTrue(hasNotice("notice-" + i), "no notice of notice-" + i);
            }
        }
    }

    /** An earlier whole list comes again with its lower version, and brought back an endpoint that had left. */
    @Test
    void endpointStaysAwayWhenAnEarlierListIsRepeated() throws Exception {
        AtomicReference<String> active = new AtomicReference<>();
        CountDownLatch left = new CountDownLatch(1);
        Peer platformScript = new Peer(wire -> {
            int lists = 0;
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                if (r.path().equals("/status")) {
                    r.body().lines().forEach(notices::add);
                    wire.writeResponse("204 No Content", "");
                    continue;
                }
                lists++;
                if (lists == 1 && left.getCount() > 0) {
                    wire.writeResponse("200 OK", active.get());
                    continue;
                }
                if (lists == 3) {
                    wire.writeResponse("500 Internal Server Error", ""); // so that the whole list is asked for
                    continue;
                }
                if (lists == 4) {
                    wire.writeResponse("200 OK", active.get()); // the first answer again
                }
                Thread.sleep(LONG_REST_MILLIS);
                wire.writeResponse("200 OK", "{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
                left.countDown();
            }
        });
        Peer endpointScript = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                run(r);
                wire.writeResponse("200 OK", "");
            }
        });
        try (Peer endpoint = endpointScript;
                Peer platform = platformScript) {
            active.set(ForwarderSetup.endpointList(endpoint.address()));
            startProcess(platform, endpoint);
            submit("before", "payment");
            awaitRun("before");
            left.await();
            for (int i = 0; i < 10; i++) {
                Thread.sleep(SERVICE_MILLIS); // the list comes again and again meanwhile
                submit("after-" + i, "payment");
            }
            Thread.sleep((long) (DEADLINE_SECONDS * 1_000) + NOTICE_SLACK_MILLIS);
            for (int i = 0; i < 10; i++) {
                assertEquals(0, runsOf("after-" + i), "after-" + i + " went to an endpoint that had left");
            }
        }
    }

    /** A request whose bytes arrive a second time after its message was delivered ran a second time. */
    @Test
    void paymentDoesNotRunTwiceWhenItsRequestArrivesTwice() throws Exception {
        Peer endpointScript = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                run(r);
                wire.writeResponse("200 OK", "");
            }
        });
        try (Peer endpoint = endpointScript;
                Peer platform = Peer.platform("", notices)) {
            startProcess(platform, endpoint);
            String request = "POST /api HTTP/1.1\r\nReq-Id: twice\r\nReq-Kind: payment\r\nReq-Deadline: 4\r\n"
                    + "X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nok";
            try (Wire client = Wire.connect(address)) {
                client.writeText(request);
                assertEquals("202", client.readRequest().path());
                awaitRun("twice");
                Thread.sleep(1_000);
                client.writeText(request);
                client.readRequest();
            }
            submit("after", "payment");
            awaitRun("after");
            assertEquals(1, runsOf("twice"));
        }
    }
}
