package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import lilaclever.journal.EarlierFormat;
import lilaclever.program.Peer.Request;
import lilaclever.program.Peer.Wire;
import lilaclever.routing.Core;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A message keeps its class across restarts, whatever the configuration says by then. A kill is played by a copy of the
 * state folder that is made while the call is out.
 */
class ClassMeaningTest {
    private static final String ORDER = "{\"name\": \"order\", \"aimS\": 1, \"deadlineS\": 20, "
            + "\"repeat\": \"idempotency_key\", \"repeatWindowS\": 5}";
    private static final String STATUS =
            "{\"name\": \"status\", \"aimS\": 0.4, \"deadlineS\": 6, \"repeat\": \"read_like\"}";
    private static final String PAYMENT =
            "{\"name\": \"payment\", \"aimS\": 1, \"deadlineS\": 28, \"credit\": 3, \"repeat\": \"non_idempotent\"}";
    private static final String RECALL =
            "{\"name\": \"recall\", \"aimS\": 4, \"deadlineS\": 12, \"repeat\": \"read_like\"}";
    private static final String UNDELIVERABLE = "{\"id\":\"pay\",\"status\":\"undeliverable\"}";
    private static final long BUDGET_MICROS = 20_000_000;

    /** What the next configuration does to the classes order, status and payment. */
    enum Change {
        NONE(ORDER, STATUS, PAYMENT),
        CLASS_APPEARS(ORDER, STATUS, RECALL, PAYMENT),
        CLASS_VANISHES(ORDER, PAYMENT),
        ONLY_CLASS_OF_THE_MESSAGE_VANISHES(ORDER, STATUS),
        ORDER_CHANGES(PAYMENT, ORDER, STATUS),
        CLASS_BECOMES_REPEATABLE(ORDER, STATUS, PAYMENT.replace("non_idempotent", "read_like"));

        private final String classes;

        Change(String... classes) {
            this.classes = String.join(", ", classes);
        }
    }

    @TempDir
    private Path folder;

    private final LinkedBlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final CountDownLatch answersAllowed = new CountDownLatch(1);
    private Peer platform, endpoint;
    private Forwarder forwarder;

    @BeforeEach
    void startPeers() throws IOException {
        platform = Peer.platform("", notices);
        endpoint = new Peer(wire -> {
            for (Request r = wire.readRequest(); r != null; r = wire.readRequest()) {
                calls.add(r.headers().get("req-id"));
                answersAllowed.await();
                wire.writeResponse("200 OK", "");
            }
        });
    }

    @AfterEach
    void stop() throws IOException {
        answersAllowed.countDown();
        if (forwarder != null) {
            forwarder.stop();
        }
        platform.close();
        endpoint.close();
    }

    private String configText(Path state, Change change) {
        String text = ForwarderSetup.configText(platform.address(), state, endpoint.address(), 3);
        int start = text.indexOf("\"requestClasses\": [") + "\"requestClasses\": [".length();
        return text.substring(0, start) + change.classes + text.substring(text.indexOf("],", start));
    }

    private Path state(String name) throws IOException {
        return Files.createDirectories(folder.resolve(name));
    }

    private Map<String, String> write(Path state, Change change) throws IOException {
        Path file = Files.writeString(folder.resolve(state.getFileName() + ".json"), configText(state, change));
        return Map.of("ROUTER_CONFIG", file.toString());
    }

    private Forwarder start(Path state, Change change) throws Exception {
        return Forwarder.start(Config.read(write(state, change)), null);
    }

    private void submitPayment(Forwarder to) throws Exception {
        try (Wire client = Wire.connect(to.addresses().get(0))) {
            assertEquals("202", client.submit("pay", "payment", 20, "").substring(0, 3));
        }
        assertEquals("pay", Peer.take(calls));
    }

    /** A folder as a kill at this moment would leave it. */
    private Path copyOfFolder(Path state) throws IOException {
        return ForwarderSetup.copyState(state, state("after-kill"));
    }

    /** The payment was called once, so it ends by a notice and is not called again. */
    private void assertThatPaymentIsNotRepeated() throws Exception {
        assertEquals(UNDELIVERABLE, Peer.take(notices));
        assertEquals(List.of(), List.copyOf(calls), "calls after the restart");
    }

    /** Guards against a payment that runs twice, or gets no end, after a restart that finds other classes. */
    @ParameterizedTest
    @EnumSource
    void paymentUnderWayIsNotRepeatedAfterAKill(Change change) throws Exception {
        Path state = state("first");
        forwarder = start(state, Change.NONE);
        submitPayment(forwarder);
        Forwarder restarted = start(copyOfFolder(state), change);
        try {
            assertThatPaymentIsNotRepeated();
        } finally {
            restarted.stop();
        }
    }

    /** Guards against a payment that runs twice after a reload that only changed the order of the classes. */
    @ParameterizedTest
    @EnumSource
    void paymentOfAReloadedConfigurationIsNotRepeatedAfterAKill(Change change) throws Exception {
        Path state = state("first");
        forwarder = start(state, change);
        forwarder.reload(write(state, Change.ORDER_CHANGES));
        submitPayment(forwarder);
        Forwarder restarted = start(copyOfFolder(state), Change.ORDER_CHANGES);
        try {
            assertThatPaymentIsNotRepeated();
        } finally {
            restarted.stop();
        }
    }

    /** Guards against a payment of an earlier version's folder that takes a gentler class. */
    @ParameterizedTest
    @CsvSource({"0,", "1,", "2,", "7,", "1,{", "1,'{\"names\":[\"a\"],\"classes\":[]}'"})
    void messageOfAnEarlierVersionIsNotRepeated(int classNumber, String table) throws Exception {
        Path state = state("earlier");
        if (table != null) {
            Files.writeString(state.resolve("classes"), table);
        }
        long deadlineMicros = Core.wallMicros() + BUDGET_MICROS;
        Files.write(
                state.resolve(EarlierFormat.firstSegmentName()),
                EarlierFormat.segment("pay", classNumber, deadlineMicros, true));
        forwarder = start(state, Change.ORDER_CHANGES);
        assertThatPaymentIsNotRepeated();
    }

    /** Guards against the loss of what the table of an earlier version did say: this message may be repeated. */
    @Test
    void tableOfAnEarlierVersionIsUsed() throws Exception {
        Path state = state("earlier");
        String status = "{\"aimMicros\":400000,\"deadlineMicros\":6000000,\"worth\":1,\"repeat\":\"SAFE\","
                + "\"group\":\"ALL\",\"repeatWindowMicros\":0,\"ordered\":false,\"lateShare\":0,\"halves\":false}";
        Files.writeString(state.resolve("classes"), "{\"names\":[\"old\"],\"classes\":[" + status + "]}");
        Files.write(
                state.resolve(EarlierFormat.firstSegmentName()),
                EarlierFormat.segment("held", 0, Core.wallMicros() + BUDGET_MICROS, true));
        forwarder = start(state, Change.NONE);
        assertEquals("held", Peer.take(calls));
    }
}
