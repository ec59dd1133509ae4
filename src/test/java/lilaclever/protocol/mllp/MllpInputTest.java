package lilaclever.protocol.mllp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.TestCore;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.AddressSet;
import lilaclever.transport.InputFixture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What clients of the HL7 port can queue for the event loop, which the tests block meanwhile. */
class MllpInputTest extends InputFixture {
    private static final int MAX_IN_FLIGHT = 16, MAX_CONNECTIONS = 100;
    /** All sessions together: the event loop needs some 0.1 ms for each, so their time stays far below 100 ms. */
    private static final int MAX_UNHANDLED = 200;

    private static final String ORDER = "MSH|^~\\&|APP|F|LAB|L|20260101||ORM^O01|%s|P|2.5|||AL|NE\rORC|NW|1\r";

    private static final String EMPTY_BATCH = "BHS|^~\\&|APP\rBTS|0\r";

    private MllpFront front;

    @BeforeEach
    void serve() throws Exception {
        MllpSettings settings = new MllpSettings(
                List.of(new MllpSettings.Listener(
                        "clinics",
                        "127.0.0.1:0",
                        new AddressSet(List.of("127.0.0.0/8")),
                        MAX_CONNECTIONS,
                        MAX_CONNECTIONS,
                        MAX_IN_FLIGHT,
                        64 * 1024,
                        60_000_000,
                        30_000_000)),
                Map.of("APP", "north"),
                false,
                Map.of("ORM", TestCore.SAFE_CLASS),
                true,
                Map.of("LAB", 7),
                Field.parse("MSH-10"),
                null,
                Set.of("P"),
                Set.of("2.5"),
                1000,
                60_000_000,
                1000);
        MessageClasses classes = new MessageClasses(
                List.of(TestCore.SAFE_CLASS, TestCore.UNSAFE_CLASS),
                TestCore.settings().classes());
        front = new MllpFront(core, settings, classes);
        core.add(front);
        core.start(List.of(), 0);
        SocketAddress bound = front.listen(transport).get(0);
        address = (InetSocketAddress) bound;
    }

    /** Sends orders, each behind a batch without messages, which nothing is posted for. */
    private static void sendOrders(StandInConnection client, String prefix, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            client.writeFrame(EMPTY_BATCH);
            client.writeFrame(ORDER.formatted(prefix + i));
        }
    }

    /** Reads acknowledgements until there is one for each message; returns how many said taken or come again. */
    private static int readAcknowledgements(StandInConnection client, int count) throws IOException {
        int good = 0;
        for (int i = 0; i < count; i++) {
            String frame = client.readFrame();
            good += frame != null && frame.matches("(?s).*\rMSA\\|C[AE]\\|.*") ? 1 : 0;
        }
        return good;
    }

    /** Guards against clients that fill the event loop's queue by sending faster than they are served. */
    @ParameterizedTest
    @CsvSource({"1, 5000", "60, 100"})
    @Timeout(60)
    void clientsAtFullSpeedQueueNoMoreThanTheirShare(int connections, int messagesOfEach) throws Exception {
        List<StandInConnection> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            clients.add(open());
        }
        probe.blockLoop();
        ExecutorService threads = Executors.newFixedThreadPool(2 * connections);
        List<Future<Integer>> answered = new ArrayList<>();
        CountDownLatch begun = new CountDownLatch(connections);
        for (StandInConnection client : clients) {
            Callable<Void> sending = () -> {
                begun.countDown();
                sendOrders(client, "c" + clients.indexOf(client) + '.', messagesOfEach);
                return null;
            };
            threads.submit(sending);
            answered.add(threads.submit(() -> readAcknowledgements(client, messagesOfEach)));
        }
        assertTrue(begun.await(20, TimeUnit.SECONDS));
        probe.awaitSelections();
        int queued = probe.counter("entries_tasks");
        int maxQueued = Math.min(MAX_UNHANDLED, connections * MAX_IN_FLIGHT) + connections + OTHER_TASKS;
        assertTrue(queued <= maxQueued, "queued: " + queued);
        assertTrue(queued >= Math.min(connections, MAX_IN_FLIGHT), "something was read: " + queued);
        probe.release();
        for (Future<Integer> each : answered) {
            assertEquals(messagesOfEach, each.get(50, TimeUnit.SECONDS));
        }
        threads.shutdownNow();
        for (StandInConnection client : clients) {
            client.close();
        }
    }

    /** Guards against clients that connect and leave, each of which left tasks for the event loop behind. */
    @Test
    @Timeout(60)
    void connectionsThatHaveEndedLeaveTasksWithinTheBound() throws Exception {
        int queued = tasksLeftByConnections(10 * MAX_CONNECTIONS, "");
        assertTrue(queued <= 2 * MAX_CONNECTIONS + OTHER_TASKS, "queued: " + queued);
        probe.releaseAndAwaitTasks();
        try (StandInConnection client = open()) {
            sendOrders(client, "later", 1);
            assertEquals(1, readAcknowledgements(client, 1));
        }
    }

    /** Guards against clients that have left and still take the share of others. */
    @Test
    @Timeout(60)
    void shareOfClientsThatHaveLeftIsFree() throws Exception {
        probe.blockLoop();
        for (int i = 0; i < 60; i++) {
            StandInConnection leaving = open();
            sendOrders(leaving, "left" + i + '.', MAX_IN_FLIGHT);
            leaving.close();
        }
        probe.awaitSelections();
        probe.release();
        try (StandInConnection client = open()) {
            sendOrders(client, "here", 100);
            assertEquals(100, readAcknowledgements(client, 100));
        }
    }
}
