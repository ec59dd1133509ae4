package lilaclever.protocol.mail;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lilaclever.protocol.mail.MailSettings.Protocol;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.TestCore;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.InputFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What clients of a mail port, and servers, can queue for the event loop, which the tests hold meanwhile. */
class MailInputTest extends InputFixture {
    private static final int MAX_SESSIONS = 64, MAX_MESSAGE_BYTES = 64 * 1024;
    /** An eighth of a heap of 64 MB, for the sessions of one port. */
    private static final long MAX_UNHANDLED_BYTES = 8 << 20;

    private static final int FLOOD_LINES = 60 * 1024;

    private static final int FLOOD_CHUNK_LINES = 1_000, FLOOD_CHUNKS = 6_000;
    /** A server's lines are read in tasks of 4 KiB, of which 16 KiB may wait; a few tasks are of timers. */
    private static final int MAX_REPLY_TASKS = 5 + OTHER_TASKS;

    private ServerSocket server;
    private MailSettings settings;
    private MailFront front;

    @BeforeEach
    void create() throws Exception {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
        settings = new MailSettings(
                "mx.test",
                List.of(new MailSettings.Listener(Protocol.LMTP, "127.0.0.1:0")),
                List.of(new MailSettings.Route(
                        "a.test", 1_000_000, Protocol.LMTP, List.of("127.0.0.1:" + server.getLocalPort()))),
                "X-Message-Class",
                Map.of(),
                null,
                MAX_MESSAGE_BYTES,
                10,
                60_000_000);
        MessageClasses classes = new MessageClasses(
                List.of(TestCore.SAFE_CLASS, TestCore.UNSAFE_CLASS),
                TestCore.settings().classes());
        ReportFront reports = ReportFront.create(core, settings, classes, 1 << 20, 200, 20, new SplittableRandom(1));
        front = new MailFront(core, settings, classes, Protocol.LMTP, reports, MAX_SESSIONS);
        core.add(front);
    }

    private void serve() throws IOException {
        core.start(List.of(), 0);
        address = (InetSocketAddress) front.listen(transport).get(0);
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
    }

    private StandInConnection connect() throws IOException {
        StandInConnection client = open();
        assertTrue(client.readLine().startsWith("220"));
        return client;
    }

    private static void readUntil(StandInConnection client, String prefix) throws IOException {
        String line = client.readLine();
        while (line != null && !line.startsWith(prefix)) {
            line = client.readLine();
        }
        assertTrue(line != null, "closed before " + prefix);
    }

    private StandInConnection connectAndStartContent() throws IOException {
        StandInConnection client = connect();
        client.writeText("LHLO c\r\nMAIL FROM:<a@a.test>\r\nRCPT TO:<b@a.test>\r\nDATA\r\n");
        readUntil(client, "354");
        return client;
    }

    /** Guards against clients that fill the heap with lines, each of which takes more there than on the wire. */
    @Test
    @Timeout(60)
    void linesOfManyClientsAreReadNoFasterThanHandled() throws Exception {
        serve();
        List<StandInConnection> clients = new ArrayList<>();
        for (int i = 0; i < MAX_SESSIONS; i++) {
            clients.add(connectAndStartContent());
        }
        probe.blockLoop();
        ExecutorService threads = Executors.newFixedThreadPool(MAX_SESSIONS);
        List<Future<String>> replies = new ArrayList<>();
        for (StandInConnection client : clients) {
            replies.add(threads.submit(() -> {
                client.writeText("\r\n".repeat(FLOOD_LINES) + ".\r\n");
                return client.readLine();
            }));
        }
        probe.awaitSelections();
        assertTrue(front.unhandledBytes() > 0, "something was read");
        assertTrue(front.unhandledBytes() <= MAX_UNHANDLED_BYTES, "unhandled: " + front.unhandledBytes());
        probe.release();
        for (Future<String> reply : replies) {
            assertEquals("552", reply.get(50, TimeUnit.SECONDS).substring(0, 3), "the mail is too large");
        }
        threads.shutdownNow();
        assertEquals(0, front.unhandledBytes());
        for (StandInConnection client : clients) {
            client.close();
        }
    }

    /** Guards against sessions that wait for their replies and take the share of others. */
    @Test
    @Timeout(60)
    void clientIsServedWhileOthersWaitWithFullQueues() throws Exception {
        serve();
        List<StandInConnection> waiting = new ArrayList<>();
        for (int i = 0; i < MAX_SESSIONS - 1; i++) {
            StandInConnection client = connectAndStartContent();
            client.writeText("Message-ID: <" + i + "@a.test>\r\n\r\nx\r\n.\r\n" + "NOOP\r\n".repeat(5_000));
            waiting.add(client);
        }
        probe.awaitSelections();
        try (StandInConnection client = connect()) {
            client.writeText("LHLO c\r\nNOOP\r\n");
            readUntil(client, "250 2.0.0");
        }
        for (StandInConnection client : waiting) {
            client.close();
        }
    }

    private StandInConnection accept() throws IOException {
        StandInConnection wire = new StandInConnection(server.accept());
        wire.setReadTimeout(20_000);
        return wire;
    }

    /** Waits until the sender has to wait as the rest is not read, or all is written. */
    private void awaitNoProgress(AtomicInteger chunksWritten) throws Exception {
        int before = -1;
        while (chunksWritten.get() == 0 || chunksWritten.get() != before) {
            before = chunksWritten.get();
            probe.awaitSelections();
        }
    }

    /** Guards against clients that connect and leave, each of which left tasks for the event loop behind. */
    @Test
    @Timeout(60)
    void connectionsThatHaveEndedLeaveTasksWithinTheBound() throws Exception {
        serve();
        int queued = tasksLeftByConnections(10 * MAX_SESSIONS, "");
        assertTrue(queued <= 2 * MAX_SESSIONS + OTHER_TASKS, "queued: " + queued);
        probe.releaseAndAwaitTasks();
        connect().close();
    }

    /** Guards against a server that fills the event loop's queue with lines of a reply that never ends. */
    @Test
    @Timeout(60)
    void linesOfAServerAreReadNoFasterThanHandled() throws Exception {
        new MailDeliverer(core, transport, settings, 0, 1_500_000, 15_000_000, 8).start();
        serve();
        ExecutorService threads = Executors.newSingleThreadExecutor();
        try (StandInConnection client = connectAndStartContent()) {
            client.writeText("Message-ID: <m@a.test>\r\n\r\nx\r\n.\r\n");
            try (StandInConnection flooding = accept()) {
                probe.blockLoop();
                AtomicInteger chunksWritten = new AtomicInteger();
                Future<?> flood = threads.submit(() -> {
                    String chunk = "220-x\r\n".repeat(FLOOD_CHUNK_LINES);
                    for (int i = 0; i < FLOOD_CHUNKS; i++) {
                        flooding.writeText(chunk);
                        chunksWritten.incrementAndGet();
                    }
                    return null;
                });
                awaitNoProgress(chunksWritten);
                int queued = probe.counter("entries_tasks");
                assertTrue(queued > 0, "something was read");
                assertTrue(queued <= MAX_REPLY_TASKS, "queued: " + queued);
                assertFalse(flood.isDone(), "the server has to wait");
                probe.release();
                assertThrows(ExecutionException.class, () -> flood.get(50, TimeUnit.SECONDS), "the call is given up");
            }
            try (StandInConnection good = accept()) {
                good.writeText("220 good\r\n");
                assertTrue(good.readLine().startsWith("LHLO"), "the mail is sent again");
            }
        }
        threads.shutdownNow();
    }
}
