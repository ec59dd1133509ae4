package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.identity.IdempotencyWindows;
import lilaclever.journal.BootClock;
import lilaclever.journal.Durability;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.simhost.SettingsReader;
import lilaclever.simulation.sockets.StandInConnection;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Runs a real event loop and a real selector thread, either of which a test can block while something else happens. */
abstract class TwoThreadFixture {
    static final String SETTINGS = """
            {"roundS": 0.002, "groupSize": 1, "shapes": ["lab"], "zones": ["z"],
             "familyInfo": {"callSlots": 20, "kindBatch": [1], "ownLimits": [false]},
             "limits": {"maxAttempts": 8, "openCap": 200, "connectTimeoutS": 1.5, "keepaliveS": 15},
             "requestClasses": [{"name": "status", "aimS": 0.4, "deadlineS": 6, "repeat": "read_like"}],
             "rules": {"answerSlackS": 0.02, "coldFrom": 0.5, "tipMultiple": 1.5, "rampTimeS": 0.1,
              "overloadForS": 3, "drainGraceS": 0.5, "askWithinS": 10}}""";

    @TempDir
    private Path state;

    final LinkedBlockingQueue<String> reports = new LinkedBlockingQueue<>();
    private SegmentedJournal journal;
    Core core;
    Transport transport;
    ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        journal = new SegmentedJournal(
                FolderDisk.lock(state),
                1 << 20,
                Durability.NONE,
                new JournalClocks(Core::monotonicMicros, Core::wallMicros, BootClock.UNKNOWN),
                new SplittableRandom(1));
        core = new Core(
                SettingsReader.read(SETTINGS, 0), 1, journal, new Counters(), new IdempotencyWindows(Map.of(), 0, 1));
        transport = new Transport();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
        core.start(List.of(), 0);
    }

    @AfterEach
    void stop() throws Exception {
        core.stop();
        journal.close();
        transport.close();
        server.close();
    }

    final String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    final StandInConnection accept() throws Exception {
        StandInConnection wire = new StandInConnection(server.accept());
        wire.setReadTimeout(20_000);
        return wire;
    }

    /** Runs the task on the event loop and waits for it. */
    final void runOnLoop(Runnable task) throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        core.post(() -> {
            task.run();
            ran.countDown();
        });
        assertTrue(ran.await(20, TimeUnit.SECONDS));
    }

    /** Blocks the selector thread until the returned latch is released. */
    final CountDownLatch blockSelector() throws InterruptedException {
        LinkedBlockingQueue<Connection<?>> opened = new LinkedBlockingQueue<>();
        transport.connect(
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                Transport.chain(new BaseFilter() {}),
                opened::add,
                Throwable::printStackTrace);
        Connection<?> connection = opened.poll(20, TimeUnit.SECONDS);
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Transport.runOnSelector(connection, () -> {
            blocked.countDown();
            try {
                release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(blocked.await(20, TimeUnit.SECONDS));
        return release;
    }
}
