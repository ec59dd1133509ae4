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
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import lilaclever.benchlink.SettingsReader;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.lab.sockets.StandInConnection;
import lilaclever.routing.Clock;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.EndpointMembership;
import lilaclever.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** When the directory is asked again: real sockets, and a clock that goes on only when the test says so. */
class DirectoryTest {
    private static final long SECOND = 1_000_000;
    /** The least time between two turns: due after it is what has come meanwhile. */
    private static final long ROUND = 2_000;
    /** The platform's rule: a call follows an answered one within this. */
    private static final long AFTER_ANSWER = 200_000;
    /** A directory that is back is to be noticed within this. */
    private static final long NOTICED_BY = 300_000;

    private static final String SETTINGS = """
            {"roundS": 0.002, "groupSize": 1, "shapes": ["lab"], "zones": ["z"],
             "familyInfo": {"callSlots": 20, "kindBatch": [1], "ownLimits": [false]},
             "limits": {"maxAttempts": 8, "openCap": 200, "connectTimeoutS": 1.5, "keepaliveS": 15},
             "requestClasses": [{"name": "status", "aimS": 0.4, "deadlineS": 6, "repeat": "read_like"}],
             "rules": {"answerSlackS": 0.02, "coldFrom": 0.5, "tipMultiple": 1.5, "rampTimeS": 0.1,
              "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}""";

    /** A clock that stands still until it is set, and tells that a task has come for the loop. */
    private static final class SetClock implements Clock {
        private final Semaphore posted = new Semaphore(0);
        private long micros = SECOND;

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
            throw new IllegalStateException("the test does the loop's part");
        }

        @Override
        public void sleep(long micros) {
            throw new IllegalStateException("the test does the loop's part");
        }

        @Override
        public void taskPosted() {
            posted.release();
        }
    }

    private final SetClock clock = new SetClock();

    @TempDir
    private Path state;

    private SegmentedJournal journal;
    private Transport transport;
    private Core core;
    /** Lists that were told. */
    private int told;

    @BeforeEach
    void start() throws Exception {
        journal = new SegmentedJournal(
                FolderDisk.take(state),
                1 << 20,
                Durability.NONE,
                new JournalClocks(clock::monotonicMicros, clock::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(1));
        core = new Core(
                SettingsReader.read(SETTINGS, 0),
                1,
                journal,
                new Counters(),
                new IdempotencyWindows(List.of(), 0, 1),
                clock);
        core.runFirstTurn(List.of(), 0);
        transport = new Transport();
    }

    @AfterEach
    void end() throws Exception {
        transport.close();
        journal.close();
    }

    private Directory watch(String address) throws InterruptedException {
        Directory directory = new Directory(
                core,
                transport,
                address,
                null,
                new Directory.Names(List.of("lab"), List.of("z"), List.of()),
                1_500_000,
                15_000_000,
                new EndpointMembership(List.of(), departures -> {}),
                (kind, version, entries) -> told++);
        directory.start(1, List.of());
        passFirstAnswerWait();
        return directory;
    }

    /** Has the first call come back, and the time pass after which the known list is told without an answer. */
    private void passFirstAnswerWait() throws InterruptedException {
        untilCallIsBack(NOTICED_BY);
        clock.micros += Directory.FIRST_ANSWER_WAIT;
        core.runTurn();
        assertEquals(1, told);
    }

    /**
     * Has the call that is out come back; gives how long the next one has to wait, which must be the limit at most. Of
     * the same call more than one task may come for the loop.
     */
    private long untilCallIsBack(long limit) throws InterruptedException {
        long pause;
        do {
            assertTrue(clock.posted.tryAcquire(10, TimeUnit.SECONDS), "no call is due within " + limit + " us");
            core.runTurn();
            pause = core.nextTurnMicros() - clock.micros;
        } while (pause <= ROUND || pause > limit);
        return pause;
    }

    /** The same, and the next call goes out. */
    private long untilNextCall(long limit) throws InterruptedException {
        long pause = untilCallIsBack(limit);
        clock.micros += pause;
        core.runTurn();
        return pause;
    }

    /** An address where connections are refused: it is taken, and nobody listens. */
    private static Socket refusing() throws IOException {
        Socket taken = new Socket();
        taken.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return taken;
    }

    @Test
    void aDirectoryThatRefusesIsAskedSeldomAndItsReturnIsNoticedSoon() throws Exception {
        try (Socket refusing = refusing()) {
            watch("127.0.0.1:" + refusing.getLocalPort());
            int calls = 1;
            List<Long> pauses = new ArrayList<>();
            for (long until = clock.micros + 10 * SECOND; clock.micros < until; calls++) {
                pauses.add(untilNextCall(NOTICED_BY));
            }
            assertTrue(calls <= 50, "calls in 10 s: " + calls);
            assertTrue(pauses.stream().distinct().count() > pauses.size() / 2, "pauses are spread: " + pauses);
        }
    }

    @Test
    void oneThatAnswersWhatCannotBeReadIsAskedAgainInTime() throws Exception {
        try (Socket refusing = refusing();
                ServerSocket answering = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Directory directory = watch("127.0.0.1:" + refusing.getLocalPort());
            for (int i = 0; i < 5; i++) {
                untilNextCall(NOTICED_BY);
            }
            LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
            Thread answers = new Thread(() -> answerWithErrors(answering, requests));
            answers.setDaemon(true);
            answers.start();
            directory.move("127.0.0.1:" + answering.getLocalPort());
            for (int i = 0; i < 10; i++) {
                assertNotNull(requests.poll(10, TimeUnit.SECONDS), "call " + i);
                untilNextCall(AFTER_ANSWER);
            }
            assertEquals(0, core.counters().get(Counters.Name.TASKS_FAILED));
        }
    }

    private static void answerWithErrors(ServerSocket server, BlockingQueue<String> requests) {
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
