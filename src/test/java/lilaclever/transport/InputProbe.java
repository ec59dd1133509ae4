package lilaclever.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lilaclever.routing.Core;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** Holds the event loop, and sees what clients of a listener can queue for it meanwhile. */
public final class InputProbe implements AutoCloseable {
    /** Each selection reads 16 KiB of a connection at most. */
    private static final int SELECTIONS = 200;

    private static final int TIMEOUT_SECONDS = 20;

    private final Core core;
    private final Transport transport;
    /** Of the probe alone: its connections must not take any that the tested listener allows. */
    private final TCPNIOServerConnection listener;

    private final CountDownLatch loopMayGoOn = new CountDownLatch(1);

    /** Starts a listener of its own on the transport's selector thread. */
    public InputProbe(Core core, Transport transport) throws IOException {
        this.core = core;
        this.transport = transport;
        this.listener = transport.listen(new InetSocketAddress("127.0.0.1", 0), Transport.chain(new BaseFilter() {}));
    }

    /** Holds the event loop until {@link #release}. */
    public void blockLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        core.post(() -> {
            blocked.countDown();
            try {
                loopMayGoOn.await(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(blocked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Lets the event loop go on. */
    public void release() {
        loopMayGoOn.countDown();
    }

    /** Lets the event loop go on, and waits until it has handled all that is queued now. */
    public void releaseAndAwaitTasks() throws InterruptedException {
        CountDownLatch handled = new CountDownLatch(1);
        core.post(handled::countDown);
        release();
        assertTrue(handled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Override
    public void close() {
        release();
        listener.closeSilently();
    }

    /** Waits until the selector thread has read all that it will of what is in the sockets now. */
    public void awaitSelections() throws Exception {
        LinkedBlockingQueue<Connection<?>> opened = new LinkedBlockingQueue<>();
        transport.connect(
                (InetSocketAddress) listener.getLocalAddress(),
                Transport.chain(new BaseFilter() {}),
                opened::add,
                problem -> {});
        Connection<?> connection = opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        for (int i = 0; i < SELECTIONS; i++) {
            CountDownLatch read = new CountDownLatch(1);
            Transport.runAfterReading(connection, read::countDown);
            assertTrue(read.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        connection.closeSilently();
    }

    /** The value of a counter. */
    public int counter(String name) {
        return core.counters()
                .toText()
                .lines()
                .filter(line -> line.startsWith(name + ' '))
                .mapToInt(line -> Integer.parseInt(line.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow();
    }
}
