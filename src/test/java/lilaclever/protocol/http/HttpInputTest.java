package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.TestCore;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.InputFixture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What clients of the HTTP port can queue for the event loop, which the tests hold meanwhile. */
class HttpInputTest extends InputFixture {
    private static final int BODY_BYTES = 64 * 1024;
    /** A tenth of a heap of 64 MB, as documented in docs/bounds.md. */
    private static final int MAX_UNHANDLED_BYTES = 6 << 20;

    private static final int CLIENTS = 200;
    /** 16 KiB and one answer, as documented in docs/bounds.md. */
    private static final int MAX_UNREAD_ANSWER_BYTES = 17 * 1024;

    @BeforeEach
    void serve() throws Exception {
        MessageClasses classes = new MessageClasses(
                List.of(TestCore.SAFE_CLASS, TestCore.UNSAFE_CLASS),
                TestCore.settings().classes());
        HttpFront front = new HttpFront(core, classes, 2 * CLIENTS, 2 * CLIENTS, null, null);
        core.add(front);
        core.start(List.of(), 0);
        address = (InetSocketAddress) front.listen(transport, new InetSocketAddress("127.0.0.1", 0));
    }

    private StandInConnection connectAndSend(int number) throws IOException {
        StandInConnection client = open();
        client.writeText("POST /api HTTP/1.1\r\nReq-Id: m" + number + "\r\nReq-Kind: " + TestCore.SAFE_CLASS
                + "\r\nReq-Deadline: 3600\r\nX-Envelope: dest=7\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                + "x".repeat(BODY_BYTES));
        return client;
    }

    /** Guards against clients that fill the heap with whole requests that wait for the event loop. */
    @Test
    @Timeout(60)
    void requestsOfManyClientsWaitWithinTheBoundAndAreAllAnswered() throws Exception {
        probe.blockLoop();
        List<StandInConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(connectAndSend(i));
        }
        probe.awaitSelections();
        int queued = probe.counter("entries_tasks");
        int maxRequests = MAX_UNHANDLED_BYTES / BODY_BYTES;
        assertTrue(queued <= maxRequests + OTHER_TASKS, "queued: " + queued);
        assertTrue(queued >= maxRequests / 2, "something was read: " + queued);
        probe.release();
        for (StandInConnection client : clients) {
            StandInConnection.HttpMessage answer = client.readHttp();
            assertTrue(answer != null && Set.of("202", "503").contains(answer.target()), "answer: " + answer);
            client.close();
        }
    }

    /** Guards against clients that connect and leave, each of which left a task for the event loop behind. */
    @Test
    @Timeout(60)
    void connectionsThatHaveEndedLeaveNoTasks() throws Exception {
        int queued = tasksLeftByConnections(CLIENTS, "");
        assertTrue(queued <= OTHER_TASKS, "queued: " + queued);
        probe.releaseAndAwaitTasks();
        StandInConnection client = connectAndSend(0);
        assertTrue(client.readHttp() != null, "a client that comes later is answered");
        client.close();
    }

    /** Guards against clients that leave and whose requests wait for the event loop without being counted. */
    @Test
    @Timeout(60)
    void requestsOfClientsThatHaveLeftAreCounted() throws Exception {
        probe.blockLoop();
        for (int i = 0; i < CLIENTS; i++) {
            connectAndSend(i).close();
        }
        probe.awaitSelections();
        int queued = probe.counter("entries_tasks");
        assertTrue(queued <= MAX_UNHANDLED_BYTES / BODY_BYTES + OTHER_TASKS, "queued: " + queued);
        probe.release();
        StandInConnection client = connectAndSend(CLIENTS);
        assertTrue(client.readHttp() != null, "a client that comes later is answered");
        client.close();
    }

    /** Heads of many fields counted for 1 KiB, whatever they took, where their clients had left. */
    @Test
    @Timeout(60)
    void requestsWithManyFieldsAreCountedWithTheirHeads() throws Exception {
        String fields = IntStream.range(0, 59)
                .mapToObj(i -> "f" + i + ": " + "x".repeat(120) + "\r\n")
                .collect(Collectors.joining());
        probe.blockLoop();
        for (int i = 0; i < 1_200; i++) {
            StandInConnection client = open();
            client.writeText("POST /api HTTP/1.1\r\nReq-Id: m" + i + "\r\nReq-Kind: " + TestCore.SAFE_CLASS
                    + "\r\nReq-Deadline: 3600\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n" + fields + "\r\n");
            client.reset(); // its connection ends at once, and the request waits
        }
        probe.awaitSelections();
        int queued = probe.counter("entries_tasks");
        int maxRequests = MAX_UNHANDLED_BYTES / fields.length();
        assertTrue(queued <= maxRequests + OTHER_TASKS, "queued: " + queued);
        assertTrue(queued >= maxRequests / 4, "something was read: " + queued);
        probe.release();
    }

    /** Clients that stopped within large requests held all room for input, and whoever came next was turned away. */
    @Test
    @Timeout(60)
    void smallRequestIsTakenBesideManyUnfinishedLargeOnes() throws Exception {
        List<StandInConnection> unfinished = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            StandInConnection client = open();
            client.writeText(
                    "POST /api HTTP/1.1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES - 1));
            unfinished.add(client);
        }
        probe.awaitSelections();
        try (StandInConnection client = open()) {
            client.writeText("POST /api HTTP/1.1\r\nReq-Id: small\r\nReq-Kind: " + TestCore.SAFE_CLASS
                    + "\r\nReq-Deadline: 3600\r\nX-Envelope: dest=7\r\nContent-Length: 1\r\n\r\nx");
            assertEquals("202", client.readHttp().target());
        }
        unfinished.forEach(StandInConnection::close);
    }

    /** One client wrote small requests and read no answer: its answers filled the heap, and the process ended. */
    @Test
    @Timeout(60)
    void answersThatAClientDoesNotReadStayWithinTheBound() throws Exception {
        int count = 200_000; // more answers than the sockets' buffers hold
        StandInConnection client = open();
        Thread writer = new Thread(() -> writeAll(client, "GET /health/live HTTP/1.1\r\n\r\n".repeat(count)));
        writer.start();
        while (probe.counter("http_unread_answer_bytes") == 0) {
            probe.awaitSelections();
        }
        for (int i = 0; i < 20; i++) {
            probe.awaitSelections();
            int unread = probe.counter("http_unread_answer_bytes");
            assertTrue(unread <= MAX_UNREAD_ANSWER_BYTES, "unread: " + unread);
        }
        for (int i = 0; i < count; i++) {
            StandInConnection.HttpMessage answer = client.readHttp();
            assertTrue(answer != null && answer.target().equals("200"), "answer " + i + ": " + answer);
        }
        writer.join();
        client.close();
    }

    private static void writeAll(StandInConnection client, String text) {
        try {
            client.writeText(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
