package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.EndpointMembership;
import lilaclever.simhost.SettingsReader;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Retry intervals of the directory client: real sockets, and a clock that advances only when the test sets it. */
class DirectoryClientTest {
    private static final long SECOND_MICROS = 1_000_000;
    /** The least time between two turns; anything due sooner stems from tasks that arrived meanwhile. */
    private static final long TURN_INTERVAL_MICROS = 2_000;
    /** The platform's rule: a response is followed by the next request within this time. */
    private static final long MAX_DELAY_AFTER_RESPONSE_MICROS = 200_000;
    /** A directory that has recovered is to be noticed within this time. */
    private static final long MAX_RECOVERY_DETECTION_MICROS = 300_000;

    private static final String SETTINGS = """
            {"roundS": 0.002, "groupSize": 1, "shapes": ["lab"], "zones": ["z"],
             "familyInfo": {"callSlots": 20, "kindBatch": [1], "ownLimits": [false]},
             "limits": {"maxAttempts": 8, "openCap": 200, "connectTimeoutS": 1.5, "keepaliveS": 15},
             "requestClasses": [{"name": "status", "aimS": 0.4, "deadlineS": 6, "repeat": "read_like"}],
             "rules": {"answerSlackS": 0.02, "coldFrom": 0.5, "tipMultiple": 1.5, "rampTimeS": 0.1,
              "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}""";

    /** A clock that stands still until it is set, and signals that a task was posted to the event loop. */
    private static final class ManualClock implements Clock {
        private final Semaphore posted = new Semaphore(0);
        private long micros = SECOND_MICROS;

        @Override
        public long monotonicMicros() {
            return micros;
        }

        @Override
        public long wallMicros() {
            return micros;
        }

        @Override
        public Runnable awaitTask(BlockingQueue<Runnable> ready, long untilMicros) {
            throw new IllegalStateException("the test drives the event loop");
        }

        @Override
        public void sleep(long micros) {
            throw new IllegalStateException("the test drives the event loop");
        }

        @Override
        public void taskPosted() {
            posted.release();
        }
    }

    private final ManualClock clock = new ManualClock();

    @TempDir
    private Path state;

    private SegmentedJournal journal;
    private Transport transport;
    private Core core;
    private int listsReported;

    @BeforeEach
    void start() throws Exception {
        journal = new SegmentedJournal(
                FolderDisk.lock(state),
                1 << 20,
                Durability.NONE,
                new JournalClocks(clock::monotonicMicros, clock::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(1));
        core = new Core(
                SettingsReader.read(SETTINGS, 0),
                1,
                journal,
                new Counters(),
                new IdempotencyWindows(Map.of(), 0, 1),
                clock);
        core.runFirstTurn(List.of(), 0);
        transport = new Transport();
    }

    @AfterEach
    void stop() throws Exception {
        transport.close();
        journal.close();
    }

    private DirectoryClient watch(String address) throws InterruptedException {
        DirectoryClient directory = new DirectoryClient(
                core,
                transport,
                address,
                null,
                new DirectoryClient.KindsAndZones(List.of("lab"), List.of("z"), List.of()),
                1_500_000,
                15_000_000,
                new EndpointMembership(List.of(), departures -> {}),
                (kind, version, entries) -> listsReported++);
        directory.start(1, List.of());
        passFirstResponseWait();
        return directory;
    }

    /**
     * Waits for the first request to end, and advances the clock to where the known list is reported without a
     * response.
     */
    private void passFirstResponseWait() throws InterruptedException {
        awaitRequestEnd(MAX_RECOVERY_DETECTION_MICROS);
        clock.micros += DirectoryClient.FIRST_RESPONSE_WAIT_MICROS;
        core.runTurn();
        assertEquals(1, listsReported);
    }

    /**
     * Waits for the request in flight to end; returns the delay until the next one, which must be at most the limit.
     * One request may post several tasks to the event loop.
     */
    private long awaitRequestEnd(long limitMicros) throws InterruptedException {
        long delayMicros;
        do {
            assertTrue(
                    clock.posted.tryAcquire(10, TimeUnit.SECONDS), "no request is due within " + limitMicros + " us");
            core.runTurn();
            delayMicros = core.nextTurnMicros() - clock.micros;
        } while (delayMicros <= TURN_INTERVAL_MICROS || delayMicros > limitMicros);
        return delayMicros;
    }

    /** Like {@link #awaitRequestEnd}; then advances the clock to the next request and sends it. */
    private long advanceToNextRequest(long limitMicros) throws InterruptedException {
        long delayMicros = awaitRequestEnd(limitMicros);
        clock.micros += delayMicros;
        core.runTurn();
        return delayMicros;
    }

    /** An address that refuses connections: it is bound, and nothing listens. */
    private static Socket refusingSocket() throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket;
    }

    @Test
    void refusedConnectionsAreRetriedWithBoundedBackoff() throws Exception {
        try (Socket refusing = refusingSocket()) {
            watch("127.0.0.1:" + refusing.getLocalPort());
            int requestCount = 1;
            List<Long> delaysMicros = new ArrayList<>();
            for (long endMicros = clock.micros + 10 * SECOND_MICROS; clock.micros < endMicros; requestCount++) {
                delaysMicros.add(advanceToNextRequest(MAX_RECOVERY_DETECTION_MICROS));
            }
            assertTrue(requestCount <= 50, "requests in 10 s: " + requestCount);
            assertTrue(
                    delaysMicros.stream().distinct().count() > delaysMicros.size() / 2,
                    "delays are spread: " + delaysMicros);
        }
    }

    @Test
    void unreadableResponsesAreRetriedInTime() throws Exception {
        try (Socket refusing = refusingSocket();
                ServerSocket answering = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            DirectoryClient directory = watch("127.0.0.1:" + refusing.getLocalPort());
            for (int i = 0; i < 5; i++) {
                advanceToNextRequest(MAX_RECOVERY_DETECTION_MICROS);
            }
            LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
            Thread answers = new Thread(() -> respondWithErrors(answering, requests));
            answers.setDaemon(true);
            answers.start();
            directory.moveTo("127.0.0.1:" + answering.getLocalPort());
            for (int i = 0; i < 10; i++) {
                assertNotNull(requests.poll(10, TimeUnit.SECONDS), "request " + i);
                advanceToNextRequest(MAX_DELAY_AFTER_RESPONSE_MICROS);
            }
            assertEquals(0, core.counters().get(Counters.Name.TASKS_FAILED));
        }
    }

    private static void respondWithErrors(ServerSocket server, BlockingQueue<String> requests) {
        try {
            while (true) {
                try (StandInConnection wire = new StandInConnection(server.accept())) {
                    for (StandInConnection.HttpMessage head = wire.readHttp(); head != null; head = wire.readHttp()) {
                        requests.add(head.target());
                        wire.writeResponse("503 Service Unavailable", "");
                    }
                }
            }
        } catch (IOException e) {
            // closed: the test is over
        }
    }
}
