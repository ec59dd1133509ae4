package lilaclever.protocol.mail;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lilaclever.protocol.mail.MailSettings.Protocol;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.TestCore;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.InputProbe;
import lilaclever.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What clients of a mail port can queue for the event loop, which the tests hold meanwhile. */
class MailInputTest {
    private static final int MAX_SESSIONS = 64, MAX_MESSAGE_BYTES = 64 * 1024;
    /** An eighth of a heap of 64 MB, for the sessions of one port. */
    private static final long MAX_UNHANDLED_BYTES = 8 << 20;

    private static final int FLOOD_LINES = 60 * 1024;

    @TempDir
    private Path state;

    private Transport transport;
    private Core core;
    private MailFront front;
    private InetSocketAddress address;
    private InputProbe probe;

    @BeforeEach
    void serve() throws Exception {
        transport = new Transport();
        core = TestCore.create(state, Clock.system());
        MailSettings settings = new MailSettings(
                "mx.test",
                List.of(new MailSettings.Listener(Protocol.LMTP, "127.0.0.1:0")),
                List.of(new MailSettings.Route("a.test", 1_000_000, Protocol.LMTP, List.of("127.0.0.1:9"))),
                "X-Message-Class",
                Map.of(),
                null,
                MAX_MESSAGE_BYTES,
                10,
                60_000_000);
        MessageClasses classes = new MessageClasses(
                List.of(TestCore.SAFE_CLASS, TestCore.UNSAFE_CLASS),
                TestCore.settings().classes());
        front = new MailFront(core, settings, classes, Protocol.LMTP, MAX_SESSIONS);
        core.add(front);
        core.start(List.of(), 0);
        address = (InetSocketAddress) front.listen(transport).get(0);
        probe = new InputProbe(core, transport);
    }

    @AfterEach
    void stop() throws Exception {
        probe.close();
        core.stop();
        transport.close();
    }

    private StandInConnection connect() throws IOException {
        StandInConnection client = new StandInConnection(new Socket(address.getAddress(), address.getPort()));
        client.setReadTimeout(20_000);
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
}
